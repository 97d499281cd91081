package lanes

import (
	"hash/fnv"

	"portflow/internal/harbour/berths"
)

// This file has the bounds that all routers share without a call between them. Each router works out its own part from the
// routers that are ready, by name and zone, as control tells them; what doesn't divide goes to some of them, by a hash of
// router and host, so that at every host others have it, and few parts move when a router comes or goes.

// Router is one that is ready, and how many parts it has for one of the others': more while it is short.
type Router struct {
	Name   string
	Weight int // 1 to most
}

// Roster is the routers that are ready, by zone, in the order of their names.
type Roster map[string][]Router

// Usual is the same roster while nobody is short.
func (r Roster) Usual() Roster {
	all := make(Roster, len(r))
	for z, routers := range r {
		for _, x := range routers {
			all[z] = append(all[z], Router{x.Name, 1})
		}
	}
	return all
}

// Lend is a router's weight while it is short of room in its zone and others' parts there lie idle. The others keep enough
// to begin with. It is of the zone's own hosts alone, and not of cold ones: elsewhere each has its even part.
const Lend = 4

// Parts is what one router may do at one host.
type Parts struct {
	Open int // requests at once
	Cold int // requests within any second while it is cold
}

// Terms are what the parts are of.
type Terms struct {
	Overrun, Slack float64 // of the bound on cold hosts
	ColdPerS       float64
}

const (
	deep  = 2    // times its slots is what a host's own zone may have at it at once: what waits at it is soon done
	near  = 1    // times its slots for routers of its region's other zones
	far   = 2    // times its slots for all beyond: homes may leave them no other hosts
	spare = 0.85 // of the cold bound is dealt out: what is sent in one second may arrive in the next
)

// Part is the part of a router at a host. While it is cold its keepers alone may use it: the routers of its zone, or where
// there are none those of its region, or else all.
func Part(h berths.Host, name string, self Place, regions map[string]string, all Roster, t Terms) (p Parts) {
	var region, beyond []Router
	for z, names := range all {
		switch {
		case z == h.Zone:
		case regions[z] == regions[h.Zone]:
			region = append(region, names...)
		default:
			beyond = append(beyond, names...)
		}
	}
	home := all[h.Zone]
	bound, group := far*h.Slots, beyond
	switch {
	case self.Zone == h.Zone:
		bound, group = deep*h.Slots, home
	case self.Region == regions[h.Zone] && len(home) == 0:
		bound, group = (deep+near)*h.Slots, region
	case self.Region == regions[h.Zone]:
		bound, group = near*h.Slots, region
	}
	p.Open = deal(bound, h.ID, name, group, self.Zone != h.Zone)
	keepers := home
	if len(keepers) == 0 {
		keepers = region
	}
	if len(keepers) == 0 {
		keepers = beyond
	}
	p.Cold = deal(int(spare*(t.ColdPerS*t.Overrun+t.Slack)), h.ID, name, keepers, true)
	return p
}

// deal is one's part of a number that is dealt out to a group, evenly or by weight: the whole parts of what each would have,
// and one more for those whose turn it is at this host: by a hash, and the sooner the more they lack. It sums up to the
// number whatever the weights. Who isn't of the group has none.
func deal(n int, host, name string, group []Router, even bool) int {
	weight := func(r Router) int {
		if even {
			return 1
		}
		return r.Weight
	}
	sum, own := 0, 0
	for _, r := range group {
		sum += weight(r)
		if r.Name == name {
			own = weight(r)
		}
	}
	if n <= 0 || own <= 0 {
		return 0
	}
	part, rest := n*own/sum, n
	for _, r := range group {
		rest -= n * weight(r) / sum
	}
	if rest == 0 || n*own%sum == 0 {
		return part
	}
	mine, before := turn(host, name, n*own%sum), 0
	for _, r := range group {
		if lacks := n * weight(r) % sum; lacks > 0 && r.Name != name {
			if x := turn(host, r.Name, lacks); x < mine || x == mine && r.Name < name {
				before++
			}
		}
	}
	if before < rest {
		part++
	}
	return part
}

// turn orders those who lack a part of one.
func turn(host, name string, lacks int) uint64 { return place(host, name) >> 24 / uint64(lacks) }

func place(host, name string) uint64 {
	f := fnv.New64a()
	f.Write([]byte(host))
	f.Write([]byte{0})
	f.Write([]byte(name))
	x := f.Sum64()
	x ^= x >> 32
	return x * 0x9e3779b97f4a7c15
}

// Window counts what was sent within the last second.
type Window struct{ at []int64 }

const second = int64(1e9)

// Room tells whether fewer than n were sent in the second before now.
func (w *Window) Room(now int64, n int) bool {
	drop := 0
	for drop < len(w.at) && now-w.at[drop] > second+second/10 {
		drop++
	}
	w.at = w.at[drop:]
	return len(w.at) < n
}

// Add counts one.
func (w *Window) Add(now int64) { w.at = append(w.at, now) }
