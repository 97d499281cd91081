package proxy

import (
	"fmt"
	"strings"
	"sync/atomic"
)

// cutCause is why this process ended a client's connection without an answer, or in the midst of one, or because it was idle.
type cutCause uint8

const (
	cutIdle    cutCause = iota // nothing came for idle-timeout-s
	cutHead                    // a head, or the first byte of a new connection, took longer than header-timeout-s
	cutRoom                    // its place was wanted for another connection
	cutGone                    // the client had closed it, or its sending side, with a request at work
	cutStalled                 // the client took nothing of its answer
	cutBroken                  // a long answer broke off at its host, at its time-out, or because the client had gone
	cutUnread                  // a refused request's body didn't come to its end
	cuts
)

var cutNames = [cuts]string{cutIdle: "idle", cutHead: "head", cutRoom: "room", cutGone: "gone", cutStalled: "stalled",
	cutBroken: "broken", cutUnread: "unread"}

func (c cutCause) String() string { return cutNames[c] }

// cutCounts counts cuts by their cause.
type cutCounts [cuts]atomic.Int64

// add counts one; a nil cutCounts counts nothing.
func (c *cutCounts) add(why cutCause) {
	if c != nil {
		c[why].Add(1)
	}
}

// String are the counts that are not zero, each behind a space.
func (c *cutCounts) String() string {
	var b strings.Builder
	for why := range cuts {
		if n := c[why].Load(); n > 0 {
			fmt.Fprintf(&b, " cut.%s=%d", why, n)
		}
	}
	return b.String()
}
