package endpoint

import (
	"math"
	"slices"
)

// SettleTime is how long, in nanoseconds, a proxy waits before it uses a share that has grown. In this time the other proxies receive the
// new list and shrink their shares, and the requests that they sent before arrive. Control notifies each proxy within a second;
// otherwise the proxy's stream ends.
const SettleTime = second + second/3

// FormerList is a proxy list that has been replaced.
type FormerList struct {
	Proxies ProxyList
	Counted bool  // whether this proxy was on the list
	Until   int64 // when it was replaced, in Unix nanoseconds
}

// History has the recently replaced proxy lists, the newest last. It is immutable, so that goroutines may share it: Append returns a copy.
type History []FormerList

// Append returns a history that also has the list that is replaced now, without the lists that were replaced more than SettleTime ago.
func (h History) Append(now int64, replaced ProxyList, counted bool) History {
	h = slices.DeleteFunc(slices.Clone(h), func(f FormerList) bool { return now-f.Until > SettleTime })
	return append(h, FormerList{replaced, counted, now})
}

// LeastCold returns this proxy's least share of a cold host over the lists that were replaced within SettleTime, where share computes the
// share by a list. It returns 0 if one of them didn't have this proxy, and math.MaxInt if there are none.
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

// LeastConcurrent returns this proxy's least share of a host over the current list and the lists of the same proxies, with other weights,
// that were replaced within SettleTime. The result is valid until the returned time. When proxies are added or removed, the new
// shares apply at once: a zone that lost proxies can't wait, and a host's queue can absorb the requests of the lost proxies.
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
