package proxy

import (
	"strings"
	"sync/atomic"
)

// cutCause is why this process ended a client's connection without an answer, or in the middle of one, or because it was idle.
type cutCause uint8

const (
	cutIdleTimeout   cutCause = iota // nothing came for idle-timeout-s
	cutHeaderTimeout                 // a head, or the first byte of a new connection, took longer than header-timeout-s
	cutEvicted                       // its slot was wanted for another connection
	cutClientGone                    // the client had closed it, or its sending side, with a request at work
	cutWriteStalled                  // the client read nothing of its answer
	cutStreamBroken                  // a long answer broke off at its host, at its timeout, or because the client had gone
	cutBodyUnread                    // a refused request's body didn't come to its end
	cutCauseCount
)

var cutNames = [cutCauseCount]string{
	cutIdleTimeout:   "idle",
	cutHeaderTimeout: "head",
	cutEvicted:       "room",
	cutClientGone:    "gone",
	cutWriteStalled:  "stalled",
	cutStreamBroken:  "broken",
	cutBodyUnread:    "unread",
}

func (c cutCause) String() string { return cutNames[c] }

// cutCounts counts cuts by their cause.
type cutCounts [cutCauseCount]atomic.Int64

// add counts a cut; a nil cutCounts counts nothing.
func (c *cutCounts) add(cause cutCause) {
	if c != nil {
		c[cause].Add(1)
	}
}

// String is the counts that are not zero, each behind a space.
func (c *cutCounts) String() string {
	var b strings.Builder
	for cause := range cutCauseCount {
		writeNonZero(&b, "cut."+cause.String(), &c[cause])
	}
	return b.String()
}
