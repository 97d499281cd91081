package lanes

import (
	"hash/fnv"

	"portflow/internal/harbour/berths"
)

// This file has the bounds that all routers share without a call between them. Each router works out its own part from the
// routers that are ready, by name and zone, as control tells them; what doesn't divide goes to some of them, by a hash of
// router and host, so that at every host others have it, and few parts move when a router comes or goes.

// Roster is the routers that are ready, by zone, in the order of their names.
type Roster map[string][]string

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
	var region, beyond []string
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
	p.Open = deal(bound, h.ID, name, group)
	keepers := home
	if len(keepers) == 0 {
		keepers = region
	}
	if len(keepers) == 0 {
		keepers = beyond
	}
	p.Cold = deal(int(spare*(t.ColdPerS*t.Overrun+t.Slack)), h.ID, name, keepers)
	return p
}

// deal is one's part of a number that is dealt out to a group: as much as all get, and one more for those that come first
// at this host. Who isn't of the group has none.
func deal(n int, host, name string, group []string) int {
	if n <= 0 || len(group) == 0 {
		return 0
	}
	part, rest := n/len(group), n%len(group)
	own, before, among := place(host, name), 0, false
	for _, other := range group {
		if other == name {
			among = true
		} else if rest > 0 {
			if x := place(host, other); x < own || x == own && other < name {
				before++
			}
		}
	}
	switch {
	case !among:
		return 0
	case before < rest:
		return part + 1
	}
	return part
}

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
