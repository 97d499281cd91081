package endpoint

import (
	"slices"
	"strings"

	"portflow/internal/cluster/update"
)

// Proxy is one that is ready, and how many parts it has for one of the others': more while it is short.
type Proxy struct {
	Name   string
	Weight int // 1 to most
}

// ProxyList is the routers that are ready, by zone, in the order of their names.
type ProxyList map[string][]Proxy

// EvenWeights is the same roster while nobody is short.
func (l ProxyList) EvenWeights() ProxyList {
	all := make(ProxyList, len(l))
	for z, routers := range l {
		for _, x := range routers {
			all[z] = append(all[z], Proxy{x.Name, 1})
		}
	}
	return all
}

// BorrowedWeight is a router's weight while it is short of room in its zone and others' parts there lie idle. The others keep enough
// to begin with. It is of the zone's own hosts alone, and not of cold ones: elsewhere each has its even part.
const BorrowedWeight = 4

// listedFields is what of a router's state the roster goes by: whether it is in, where, and at what weight.
func listedFields(f update.Proxy) update.Proxy {
	return update.Proxy{Zone: f.Zone, Ready: f.Ready && !f.Gone, LacksCapacity: f.LacksCapacity}
}

// ProxyRank is the number of this router among those that are ready, how many there are, and their roster. One that isn't
// counted yet takes the place behind the others, and counts itself in.
func (t *Table) ProxyRank() (rank, count int, all ProxyList, counted bool) {
	all = ProxyList{}
	ready := update.ReadyProxies(t.proxies)
	short := map[string]int{}
	for _, f := range ready {
		x := Proxy{f.Name, 1}
		if f.LacksCapacity {
			x.Weight = BorrowedWeight
			short[f.Zone]++
		}
		all[f.Zone] = append(all[f.Zone], x)
	}
	for z, n := range short {
		if routers := all[z]; 2*n > len(routers) { // too many for the others to help
			for i := range routers {
				routers[i].Weight = 1
			}
		}
	}
	rank = slices.IndexFunc(ready, func(f update.Proxy) bool { return strings.EqualFold(f.Name, t.name) })
	count, counted = len(ready), rank >= 0
	if !counted {
		rank = count
		count++
		all[t.self.Zone] = append(all[t.self.Zone], Proxy{t.name, 1})
	}
	return rank, count, all, counted
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
