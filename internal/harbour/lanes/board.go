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
	at      Mark                       // as of which the items are
	of      map[string]map[string]bool // by service: ids of the hosts that are known
	quiet   map[string]int64           // of them, those that are silent or missing, since when that was seen
	missing map[string]bool            // of them, those that the last snapshot didn't name, and no note since
	began   map[string]signals.Since   // by service, when its newest rollout began, by this process's clock
}

// Mark is a place in the order of the decided changes: the epoch of the core, then the number of the change. The zero mark
// is of control processes that number none.
type Mark struct{ Epoch, Number uint64 }

// Before tells whether m comes before o.
func (m Mark) Before(o Mark) bool {
	return m.Epoch < o.Epoch || m.Epoch == o.Epoch && m.Number < o.Number
}

// At is the mark as of which the board's items are.
func (b *Board) At() Mark { return b.at }

// NewBoard makes an empty one.
func NewBoard(name string, self Place, regions map[string]string) *Board {
	return &Board{self: self, name: name, regions: regions, Set: manifest.NewSet(), Known: map[string]berths.Host{},
		fronts: map[string]signals.Front{}, Asides: map[string]lookout.Judgement{}, lapsed: map[string]bool{}, of: map[string]map[string]bool{}, missing: map[string]bool{}, quiet: map[string]int64{}, began: map[string]signals.Since{}}
}

// Changes is what a batch of news touched.
type Changes struct {
	Chart, Fronts bool
	Services      map[string]bool // whose hosts, or the choice among them, changed
}

// touch notes what an item that changed, came or went changes.
func (c *Changes) touch(b *Board, k manifest.Key) {
	switch k.Kind {
	case manifest.Routes, manifest.Services, manifest.Shares, manifest.Limits:
		c.Chart = true
	case manifest.Evacuations:
		for _, h := range b.Known {
			c.Services[h.Service] = true
		}
	case manifest.Rollouts, manifest.Settled:
		c.Services[k.Name] = true
	}
}

// items takes a batch's items in, in their order. A snapshot takes the place of all that the board has, so that what was
// dropped and forgotten while this router was away goes; changes take the place of what stood. What is of an earlier mark
// than the board's is passed over: the board has it, or what came after. Items without a mark are merged one by one.
func (b *Board) items(c *Changes, notes []signals.Note, snapshot bool, at Mark) {
	var all []manifest.Item
	old := at != Mark{} && at.Before(b.at)
	for _, n := range notes {
		if n.Item == nil {
			continue
		}
		all = append(all, *n.Item)
		if k := n.Item.Key(); k.Kind == manifest.Rollouts && n.Began != 0 && !old {
			if r := pilotage.Read(*n.Item); r.Order != b.began[k.Name].Order {
				b.began[k.Name] = signals.Since{Service: k.Name, Order: r.Order, Began: n.Began}
			}
		}
	}
	defer b.Set.Forgotten() // a router has no disk from which they are to go
	switch {
	case at == Mark{}:
		for _, i := range all {
			if b.Set.Merge(i) {
				c.touch(b, i.Key())
			}
		}
	case old:
	case snapshot:
		changed, gone := b.Set.Become(all)
		for _, i := range changed {
			c.touch(b, i.Key())
		}
		for _, k := range gone {
			c.touch(b, k)
		}
		b.at = at
	default:
		b.Set.Apply(all)
		for _, i := range all {
			c.touch(b, i.Key())
		}
		b.at = at
	}
}

// Take takes news without a mark in.
func (b *Board) Take(notes []signals.Note, snapshot bool) Changes {
	return b.TakeAt(Mark{}, notes, snapshot)
}

// TakeAt takes news in; at is where its last change stands. After a snapshot, hosts and routers that it doesn't name are
// missing or gone: they ended while this router followed nobody. A host may also be one of which this control process hasn't heard
// yet, as the former one had: it is missing until it is named, whatever its beats are then.
func (b *Board) TakeAt(at Mark, notes []signals.Note, snapshot bool) Changes {
	c := Changes{Services: map[string]bool{}}
	b.items(&c, notes, snapshot, at)
	named := map[string]bool{}
	for _, n := range notes {
		switch {
		case n.Host != nil:
			h := *n.Host
			named[h.ID] = true
			old, known := b.Known[h.ID]
			if b.missing[h.ID] {
				delete(b.missing, h.ID)
				c.Services[old.Service] = true
			}
			if known && !berths.Newer(h, old) {
				continue
			}
			if h.Service == "" {
				h.Service = old.Service
			}
			if h.State == berths.Gone && !known {
				continue
			}
			b.put(old, h)
			c.Services[h.Service] = true
		case n.Aside != nil:
			if j := *n.Aside; j.Newer(b.Asides[j.ID]) {
				b.Asides[j.ID] = j
				delete(b.lapsed, j.ID)
				c.Services[j.Service] = true
			}
		case n.Front != nil:
			f := *n.Front
			named["front "+f.Name] = true
			if old, known := b.fronts[f.Name]; !known || f.Newer(old) {
				b.fronts[f.Name] = f
				c.Fronts = c.Fronts || !known || counts(f) != counts(old)
			}
		}
	}
	if snapshot {
		for id, h := range b.Known {
			if !named[id] && !b.missing[id] {
				b.missing[id] = true
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

// Rollout is a service's newest order, with the time that it began by this process's clock, where that was told.
func (b *Board) Rollout(service string) pilotage.Rollout {
	i, ok := b.Set.Get(manifest.Key{Kind: manifest.Rollouts, Name: service})
	if !ok {
		return pilotage.Rollout{Service: service}
	}
	r := pilotage.Read(i)
	if s := b.began[service]; s.Order == r.Order && r.Order > 0 {
		r.Began = s.Began
	}
	r.Switching = false // is for operators to hear
	return r
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

// quietFor is for how long a host that is silent or missing is known: nobody tells its end, as it may be heard again.
const quietFor = int64(600e9)

// Tidy takes hosts that have been silent or missing for long for gone, and tells their services. A word of one that comes later makes it
// known anew. It is to be called now and then.
func (b *Board) Tidy(now int64) map[string]bool {
	services := map[string]bool{}
	for id, h := range b.Known {
		at, known := b.quiet[id]
		switch {
		case !h.Silent && !b.missing[id] || h.State == berths.Gone:
			delete(b.quiet, id)
		case !known:
			b.quiet[id] = now
		case now-at > quietFor:
			h.State = berths.Gone
			b.Known[id] = h
			services[h.Service] = true
		}
	}
	maps.DeleteFunc(b.quiet, func(id string, _ int64) bool { return b.Known[id].ID == "" })
	return services
}

// Hosts are a service's as the rules are to have them: of versions that are neither settled nor on trial, of zones that are
// evacuated, silent ones and those that are set aside take nothing.
func (b *Board) Hosts(service string) (all []router.Host) {
	r := b.Rollout(service)
	first, _ := b.Set.Get(manifest.Key{Kind: manifest.Settled, Name: service})
	settled := pilotage.Settled(first, r)
	evacuated := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(b.of[service])) {
		h := b.Known[id]
		if _, asked := evacuated[h.Zone]; !asked {
			evacuated[h.Zone] = b.Evacuated(h.Zone)
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
		case h.State == berths.Draining, h.Silent, b.missing[h.ID], h.Version != settled && !trial, evacuated[h.Zone], b.Asides[id].Aside > 0 && !b.lapsed[id]:
			x.Health = rules.Draining
		}
		all = append(all, x)
	}
	return all
}

// Forget forgets a service's hosts that ended, once the rules have been told.
func (b *Board) Forget(service string) {
	for id := range b.of[service] {
		if b.Known[id].State == berths.Gone {
			delete(b.Known, id)
			delete(b.missing, id)
			delete(b.of[service], id)
		}
	}
	if len(b.of[service]) == 0 {
		delete(b.of, service)
	}
}

// Of are the hosts of a service that are known, by id. A change of one host costs what its service has, not what all have.
func (b *Board) Of(service string) map[string]berths.Host {
	all := make(map[string]berths.Host, len(b.of[service]))
	for id := range b.of[service] {
		all[id] = b.Known[id]
	}
	return all
}

// put notes a host; one that is of another service now is that one's.
func (b *Board) put(old, h berths.Host) {
	if old.Service != h.Service {
		delete(b.of[old.Service], h.ID)
	}
	if b.of[h.Service] == nil {
		b.of[h.Service] = map[string]bool{}
	}
	b.of[h.Service][h.ID] = true
	b.Known[h.ID] = h
}

// counts is what of a router's state the roster goes by: whether it is in, where, and at what weight.
func counts(f signals.Front) signals.Front {
	return signals.Front{Zone: f.Zone, Ready: f.Ready && !f.Gone, Short: f.Short}
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
