// Package lanes is what a router that carries traffic knows, and its part of the bounds that all routers share. It is pure.
package lanes

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/lookout"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/harbour/signals"
	"portflow/internal/parts/router"
	"portflow/rules"
)

// Place is where a process stands.
type Place struct{ Zone, Region string }

// Board is what a router was told. It is not safe for two goroutines; a View of it is.
type Board struct {
	self    Place
	name    string
	regions map[string]string // by zone
	Set     *manifest.Set
	Known   map[string]berths.Host
	Asides  map[string]lookout.Judgement // hosts that are set aside, or on their way back
	lapsed  map[string]bool              // of them, those that the rules were told are on their way back
	fronts  map[string]signals.Front
}

// NewBoard makes an empty one.
func NewBoard(name string, self Place, regions map[string]string) *Board {
	return &Board{self: self, name: name, regions: regions, Set: manifest.NewSet(), Known: map[string]berths.Host{},
		fronts: map[string]signals.Front{}, Asides: map[string]lookout.Judgement{}, lapsed: map[string]bool{}}
}

// Changes is what a batch of news touched.
type Changes struct {
	Chart, Fronts bool
	Services      map[string]bool // whose hosts, or the choice among them, changed
}

// Renew has the items of a snapshot stand alone, whatever their versions and what stood beside them: of a core that is as far
// as what stood here, or further. After an operator has recovered a core there may be less than before.
func (b *Board) Renew(notes []signals.Note) Changes {
	var items []manifest.Item
	for _, n := range notes {
		if n.Item != nil {
			items = append(items, *n.Item)
		}
	}
	parts := make([]int, manifest.Parts)
	for p := range parts {
		parts[p] = p
	}
	c := Changes{Services: map[string]bool{}}
	if news, gone := b.Set.Replace(parts, items); len(news)+len(gone) == 0 {
		return c
	}
	c.Chart = true
	for _, h := range b.Known {
		c.Services[h.Service] = true
	}
	return c
}

// Take takes news in. After a snapshot, hosts and routers that it doesn't name are silent or gone: they ended while this
// router followed nobody.
func (b *Board) Take(notes []signals.Note, snapshot bool) Changes {
	c := Changes{Services: map[string]bool{}}
	all := func() {
		for _, h := range b.Known {
			c.Services[h.Service] = true
		}
	}
	named := map[string]bool{}
	for _, n := range notes {
		switch {
		case n.Item != nil:
			if !b.Set.Merge(*n.Item) {
				continue
			}
			switch n.Item.Kind {
			case manifest.Routes, manifest.Services, manifest.Shares, manifest.Limits:
				c.Chart = true
			case manifest.Evacuations:
				all()
			case manifest.Rollouts, manifest.Settled:
				c.Services[n.Item.Name] = true
			}
		case n.Host != nil:
			h := *n.Host
			named[h.ID] = true
			old, known := b.Known[h.ID]
			if known && !berths.Newer(h, old) {
				continue
			}
			if h.Service == "" {
				h.Service = old.Service
			}
			if h.State == berths.Gone && !known {
				continue
			}
			b.Known[h.ID] = h
			c.Services[h.Service] = true
		case n.Aside != nil:
			if j := *n.Aside; j.Aside > b.Asides[j.ID].Aside {
				b.Asides[j.ID] = j
				delete(b.lapsed, j.ID)
				c.Services[j.Service] = true
			}
		case n.Front != nil:
			f := *n.Front
			named["front "+f.Name] = true
			if old, known := b.fronts[f.Name]; !known || f.Newer(old) {
				b.fronts[f.Name] = f
				c.Fronts = true
			}
		}
	}
	if snapshot {
		for id, h := range b.Known {
			if !named[id] && !h.Silent {
				h.Silent = true
				b.Known[id] = h
				c.Services[h.Service] = true
			}
		}
		for name := range b.fronts {
			if !named["front "+name] {
				delete(b.fronts, name)
				c.Fronts = true
			}
		}
	}
	return c
}

// Evacuated tells whether a zone's hosts get nothing more.
func (b *Board) Evacuated(zone string) bool {
	i, ok := b.Set.Get(manifest.Key{Kind: manifest.Evacuations, Name: zone})
	if !ok {
		return false
	}
	var v struct {
		Begun bool `json:"begun"`
	}
	return json.Unmarshal(i.Body, &v) == nil && v.Begun
}

// Rollout is a service's newest order.
func (b *Board) Rollout(service string) pilotage.Rollout {
	i, ok := b.Set.Get(manifest.Key{Kind: manifest.Rollouts, Name: service})
	if !ok {
		return pilotage.Rollout{Service: service}
	}
	return pilotage.Read(i)
}

// Lapse tells the services with hosts that are on their way back from now on, and forgets who is back.
func (b *Board) Lapse(now int64) map[string]bool {
	services := map[string]bool{}
	for id, j := range b.Asides {
		if now >= j.Back {
			delete(b.Asides, id)
			delete(b.lapsed, id)
		} else if now >= j.Aside && !b.lapsed[id] {
			b.lapsed[id] = true
			services[j.Service] = true
		}
	}
	return services
}

// Hosts are a service's as the rules are to have them: of versions that are neither settled nor on trial, of zones that are
// evacuated, silent ones and those that are set aside take nothing.
func (b *Board) Hosts(service string) (all []router.Host) {
	r := b.Rollout(service)
	first, _ := b.Set.Get(manifest.Key{Kind: manifest.Settled, Name: service})
	settled := pilotage.Settled(first, r)
	for _, id := range slices.Sorted(maps.Keys(b.Known)) {
		h := b.Known[id]
		if h.Service != service {
			continue
		}
		x := router.Host{Name: h.ID, Address: h.Address, Size: float64(max(1, h.Slots)), Build: int(r.Build()),
			Health: rules.Ready, Ring: b.Ring(h.Zone)}
		trial := r.State == pilotage.Running && h.Version == r.Target
		if trial {
			x.Build = int(r.Order)
		}
		switch {
		case h.State == berths.Gone:
			x.Health = rules.Gone
		case h.State == berths.Draining, h.Silent, h.Version != settled && !trial, b.Evacuated(h.Zone), b.Asides[id].Aside > 0 && !b.lapsed[id]:
			x.Health = rules.Draining
		}
		all = append(all, x)
	}
	return all
}

// Forget forgets a service's hosts that ended, once the rules have been told.
func (b *Board) Forget(service string) {
	maps.DeleteFunc(b.Known, func(_ string, h berths.Host) bool { return h.Service == service && h.State == berths.Gone })
}

// Ring is how far a zone is: 0 this one, 1 in this region, 2 beyond.
func (b *Board) Ring(zone string) int {
	switch {
	case zone == b.self.Zone:
		return 0
	case b.regions[zone] == b.self.Region:
		return 1
	}
	return 2
}

// Standing is the number of this router among those that are ready, how many there are, and their roster. One that isn't
// counted yet takes the place behind the others, and counts itself in.
func (b *Board) Standing() (rank, count int, all Roster, counted bool) {
	all = Roster{}
	ready := signals.Roster(b.fronts)
	short := map[string]int{}
	for _, f := range ready {
		x := Router{f.Name, 1}
		if f.Short {
			x.Weight = Lend
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
	rank = slices.IndexFunc(ready, func(f signals.Front) bool { return strings.EqualFold(f.Name, b.name) })
	count, counted = len(ready), rank >= 0
	if !counted {
		rank = count
		count++
		all[b.self.Zone] = append(all[b.self.Zone], Router{b.name, 1})
	}
	return rank, count, all, counted
}
