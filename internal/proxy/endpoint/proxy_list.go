package endpoint

import (
	"slices"
	"strings"

	"portflow/internal/cluster/update"
)

// Proxy is a ready proxy, and how many shares it has for one of the others': more while it is short of capacity.
type Proxy struct {
	Name   string
	Weight int // 1 to BorrowedWeight
}

// BorrowedWeight is a proxy's weight while it is short of capacity in its zone and others' shares there are idle. The others keep enough
// to begin with. It holds for the zone's own hosts alone, and not for cold ones: elsewhere each has its even share.
const BorrowedWeight = 4

// ProxyList is the ready proxies by zone, in the order of their names. It is immutable once a proxy goes by it.
type ProxyList map[string][]Proxy

// EvenWeights is the same list while no proxy is short of capacity.
func (l ProxyList) EvenWeights() ProxyList {
	even := make(ProxyList, len(l))
	for zone, proxies := range l {
		for _, p := range proxies {
			even[zone] = append(even[zone], Proxy{p.Name, 1})
		}
	}
	return even
}

// sameProxies reports whether two lists have the same proxies, whatever their weights.
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

// listedFields is what of a proxy's state the list depends on: whether it is on it, where, and at what weight.
func listedFields(p update.Proxy) update.Proxy {
	return update.Proxy{Zone: p.Zone, Ready: p.Ready && !p.Gone, LacksCapacity: p.LacksCapacity}
}

// ProxyRank is the rank of this proxy among the ready ones, how many there are, and their list. A proxy that isn't counted yet takes
// the rank behind the others, and adds itself to the list.
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

// weightedList is the list of ready proxies. Where more than half of a zone's are short of capacity the others can't help, and none
// borrows.
func weightedList(ready []update.Proxy) ProxyList {
	list := ProxyList{}
	short := map[string]int{} // by zone
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
