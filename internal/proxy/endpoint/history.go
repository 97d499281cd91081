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
