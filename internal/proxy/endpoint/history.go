package endpoint

import (
	"math"
	"slices"
)

// SettleTime is for how long a part that has grown is not used, nanoseconds: the others shrink theirs as they hear of it, and
// what they sent before that arrives. Control is done telling within a second, or the line to it ends.
const SettleTime = second + second/3

// FormerList is a roster until it was replaced, Unix nanoseconds.
type FormerList struct {
	Proxies ProxyList
	Counted bool // this router was on it
	Until   int64
}

// History is the rosters of late, the newest last; a new one is made by Then, so that many may read it.
type History []FormerList

// Append is the past once a roster has been replaced.
func (h History) Append(now int64, was ProxyList, counted bool) History {
	h = slices.DeleteFunc(slices.Clone(h), func(f FormerList) bool { return now-f.Until > SettleTime })
	return append(h, FormerList{was, counted, now})
}

// LeastCold is the least part of a cold host that this router has had of late, none where it was not counted.
func (h History) LeastCold(now int64, part func(ProxyList) int) int {
	least := math.MaxInt
	for _, f := range h {
		if now-f.Until < SettleTime {
			if !f.Counted {
				return 0
			}
			least = min(least, part(f.Proxies))
		}
	}
	return least
}

// LeastConcurrent is the least part of a host that this router has had of late by other weights of the same routers, and until when
// that holds. Where routers came or went, the parts are used at once: a zone that has lost some can't wait, and a host's
// queue bears what the lost ones had there.
func (h History) LeastConcurrent(now int64, is ProxyList, part func(ProxyList) int) (least int, until int64) {
	least, until = part(is), int64(math.MaxInt64)
	for _, f := range h {
		if now-f.Until < SettleTime && f.Counted && f.Proxies.sameProxies(is) {
			least = min(least, part(f.Proxies))
			until = min(until, f.Until+SettleTime)
		}
	}
	return least, until
}

// sameProxies tells whether two rosters have the same routers.
func (l ProxyList) sameProxies(x ProxyList) bool {
	if len(l) != len(x) {
		return false
	}
	for z, all := range l {
		if !slices.EqualFunc(all, x[z], func(a, b Proxy) bool { return a.Name == b.Name }) {
			return false
		}
	}
	return true
}

// Shortage is whether a router is short of room in its own zone: the one place where that changes is Look.
type Shortage struct {
	short       bool
	quietChecks int // looks in a row in which it used no more than its usual parts
	spillChecks int // looks in a row in which it handed much to other zones
}

const (
	// CheckInterval is the time between two looks, nanoseconds.
	CheckInterval       = second / 2
	minSpill            = 4 // hand-offs to other zones in a look, and a fifth of all, show that a router is short
	spillChecksToBorrow = 3 // such looks in a row: a rush that comes to all of a zone is none that others could help with
	quietChecksToReturn = 8 // quiet looks after which what was lent goes back
)

// Check takes what was handed off since the last look: in all, to other zones though the request might have stayed, and to
// hosts that had more than the usual part then. It tells whether the router is short now.
func (s *Shortage) Check(all, away, over int) bool {
	if s.spillChecks++; away < minSpill || away*5 <= all {
		s.spillChecks = 0
	}
	switch {
	case s.spillChecks >= spillChecksToBorrow:
		s.short, s.quietChecks = true, 0
	case s.spillChecks > 0 || over > 0:
		s.quietChecks = 0
	default:
		if s.quietChecks++; s.quietChecks >= quietChecksToReturn {
			s.short = false
		}
	}
	return s.short
}
