package proxy

import (
	"strings"
	"sync/atomic"
)

// cutCause is the reason why the proxy closed a client's connection without a response, in the middle of one, or while it was idle.
type cutCause uint8

const (
	cutIdleTimeout   cutCause = iota // no request for idle-timeout-s
	cutHeaderTimeout                 // a request header, or the first byte on a new connection, took longer than header-timeout-s
	cutEvicted                       // its slot was needed for another connection
	cutClientGone                    // the client closed it, or its sending side, while a request was handled
	cutWriteStalled                  // the client read nothing of its response for too long
	cutStreamBroken                  // a streamed response was truncated by its host, a timeout, or the client's disconnect
	cutBodyUnread                    // the body of a rejected request didn't end in time, or broke off
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

// cutCounts counts closed connections by cause.
type cutCounts [cutCauseCount]atomic.Int64

// add does nothing on a nil cutCounts.
func (c *cutCounts) add(cause cutCause) {
	if c != nil {
		c[cause].Add(1)
	}
}

// String returns the counts that are not zero, each preceded by a space.
func (c *cutCounts) String() string {
	var b strings.Builder
	for cause := range cutCauseCount {
		writeNonZero(&b, "cut."+cause.String(), &c[cause])
	}
	return b.String()
}
