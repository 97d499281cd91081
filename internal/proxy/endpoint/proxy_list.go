package endpoint

import (
	"slices"
	"strings"

	"portflow/internal/cluster/update"
)

// Proxy is a ready proxy with its weight in the division of hosts' capacity, which is greater than 1 while it is short of capacity.
type Proxy struct {
	Name   string
	Weight int // 1 to BorrowedWeight
}

// BorrowedWeight is the weight of a proxy that is short of capacity in its zone, so that it borrows idle shares of the zone's other
// proxies; these keep enough for new requests. It applies only to hosts of the same zone, and not while they are cold.
const BorrowedWeight = 4

// ProxyList has the ready proxies by zone, sorted by name. It is immutable once it is in use.
type ProxyList map[string][]Proxy

// EvenWeights returns a copy of the list in which all weights are 1, as when no proxy is short of capacity.
func (l ProxyList) EvenWeights() ProxyList {
	even := make(ProxyList, len(l))
	for zone, proxies := range l {
		for _, p := range proxies {
			even[zone] = append(even[zone], Proxy{p.Name, 1})
		}
	}
	return even
}

// sameProxies reports whether two lists have the same proxies, regardless of their weights.
func (l ProxyList) sameProxies(other ProxyList) bool {
	if len(l) != len(other) {
		return false
	}
	for zone, proxies := range l {
		if !slices.EqualFunc(proxies, other[zone], func(a, b Proxy) bool { return a.Name == b.Name }) {
			return false
		}
	}
	return true
}

// listedFields returns the part of a proxy's state that the proxy list depends on: whether the proxy is listed, its zone and its weight.
func listedFields(p update.Proxy) update.Proxy {
	return update.Proxy{Zone: p.Zone, Ready: p.Ready && !p.Gone, LacksCapacity: p.LacksCapacity}
}

// ProxyRank returns the rank of this proxy among the ready proxies, their number, and their list. If control doesn't announce this proxy as
// ready yet, counted is false, and this proxy is added to count and list, with the last rank.
func (t *Table) ProxyRank() (rank, count int, list ProxyList, counted bool) {
	ready := update.ReadyProxies(t.proxies)
	list = weightedList(ready)
	rank = slices.IndexFunc(ready, func(p update.Proxy) bool { return strings.EqualFold(p.Name, t.name) })
	count, counted = len(ready), rank >= 0
	if !counted {
		rank = count
		count++
		list[t.self.Zone] = append(list[t.self.Zone], Proxy{t.name, 1})
	}
	return rank, count, list, counted
}

// weightedList returns the list of ready proxies. If more than half of a zone's proxies are short of capacity, the others can't help, so
// all proxies of the zone have weight 1.
func weightedList(ready []update.Proxy) ProxyList {
	list := ProxyList{}
	short := map[string]int{} // number of proxies short of capacity, by zone
	for _, p := range ready {
		weight := 1
		if p.LacksCapacity {
			weight = BorrowedWeight
			short[p.Zone]++
		}
		list[p.Zone] = append(list[p.Zone], Proxy{p.Name, weight})
	}
	for zone, n := range short {
		proxies := list[zone]
		if 2*n <= len(proxies) {
			continue
		}
		for i := range proxies {
			proxies[i].Weight = 1
		}
	}
	return list
}
