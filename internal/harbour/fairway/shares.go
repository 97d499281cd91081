package fairway

import "portflow/internal/harbour/berths"

// This file has the bounds that all routers share without a call between them: each takes its part, by how many routers
// there are and where, as control counts them.

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
	spare = 0.85 // of the cold bound is dealt out: what is sent in one second may arrive in the next
)

// Part is the part of a router at a host. The host's zone has most of it; routers elsewhere may have one request at it.
// While it is cold the keepers alone may use it: the routers of its zone, or where there are none those of its region, or
// else all.
func Part(h berths.Host, self Place, regions map[string]string, zones map[string]int, t Terms) Parts {
	home := self.Zone == h.Zone
	p := Parts{Open: 1}
	if n := zones[h.Zone]; home && n > 0 {
		p.Open = max(1, (deep*h.Slots+n-1)/n)
	} else if n == 0 { // nobody is near: the others share what its zone would have
		all := 0
		for _, x := range zones {
			all += x
		}
		p.Open = max(1, deep*h.Slots/max(1, all))
	}
	keepers, one := zones[h.Zone], home
	if keepers == 0 {
		one = regions[self.Zone] == regions[h.Zone]
		for z, n := range zones {
			if regions[z] == regions[h.Zone] {
				keepers += n
			}
		}
	}
	if keepers == 0 {
		one = true
		for _, n := range zones {
			keepers += n
		}
	}
	if one && keepers > 0 {
		p.Cold = int(spare * (t.ColdPerS*t.Overrun + t.Slack) / float64(keepers))
	}
	return p
}

// window counts what was sent within the last second.
type window struct{ at []int64 }

const second = int64(1e9)

// room tells whether fewer than n were sent in the second before now.
func (w *window) room(now int64, n int) bool {
	drop := 0
	for drop < len(w.at) && now-w.at[drop] > second+second/10 {
		drop++
	}
	w.at = w.at[drop:]
	return len(w.at) < n
}

func (w *window) add(now int64) { w.at = append(w.at, now) }
