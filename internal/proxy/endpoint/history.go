package endpoint

import (
	"math"
	"slices"
)

// SettleTime is for how long a share that has grown is not used, nanoseconds: the other proxies shrink theirs as they are notified, and
// what they sent before that arrives. Control has notified all within a second, or the stream to it ends.
const SettleTime = second + second/3

// FormerList is a proxy list until it was replaced.
type FormerList struct {
	Proxies ProxyList
	Counted bool  // this proxy was on it
	Until   int64 // Unix nanoseconds
}

// History is the proxy lists of late, the newest last. It is immutable: Append makes a new one, so that many may read it.
type History []FormerList

// Append is the history once a proxy list has been replaced.
func (h History) Append(now int64, replaced ProxyList, counted bool) History {
	h = slices.DeleteFunc(slices.Clone(h), func(f FormerList) bool { return now-f.Until > SettleTime })
	return append(h, FormerList{replaced, counted, now})
}

// LeastCold is the least share of a cold host that this proxy has had of late, by a function of the list: none where it was not counted.
func (h History) LeastCold(now int64, share func(ProxyList) int) int {
	least := math.MaxInt
	for _, f := range h {
		if now-f.Until >= SettleTime {
			continue
		}
		if !f.Counted {
			return 0
		}
		least = min(least, share(f.Proxies))
	}
	return least
}

// LeastConcurrent is the least share of a host that this proxy has had of late by other weights of the same proxies, and until when
// that holds. Where proxies came or went, the new shares are used at once: a zone that has lost some can't wait, and a host's
// queue bears what the lost ones had there.
func (h History) LeastConcurrent(now int64, current ProxyList, share func(ProxyList) int) (least int, until int64) {
	least, until = share(current), int64(math.MaxInt64)
	for _, f := range h {
		if now-f.Until < SettleTime && f.Counted && f.Proxies.sameProxies(current) {
			least = min(least, share(f.Proxies))
			until = min(until, f.Until+SettleTime)
		}
	}
	return least, until
}
