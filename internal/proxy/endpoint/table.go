// Package endpoint is what a router that carries traffic knows, and its part of the bounds that all routers share. It is pure.
package endpoint

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
)

// Location is where a process stands.
type Location struct{ Zone, Region string }

// Table is what a router was told. It is not safe for two goroutines; a View of it is.
type Table struct {
	self          Location
	name          string
	regions       map[string]string // by zone
	Set           *config.Set
	Instances     map[string]instance.Instance
	Ejections     map[string]outlier.Ejection // hosts that are set aside, or on their way back
	onProbation   map[string]bool             // of them, those that the rules were told are on their way back
	proxies       map[string]update.Proxy
	position      Position                       // as of which the items are
	byService     map[string]map[string]bool     // by service: ids of the hosts that are known
	silentSince   map[string]int64               // of them, those that are silent or missing, since when that was seen
	missing       map[string]bool                // of them, those that the last snapshot didn't name, and no note since
	rolloutStarts map[string]update.RolloutStart // by service, when its newest rollout began, by this process's clock
}

// Position is a place in the order of the decided changes: the epoch of the core, then the number of the change. The zero mark
// is of control processes that number none.
type Position struct{ Epoch, Number uint64 }

// Before tells whether m comes before o.
func (p Position) Before(o Position) bool {
	return p.Epoch < o.Epoch || p.Epoch == o.Epoch && p.Number < o.Number
}

// Position is the mark as of which the board's items are.
func (t *Table) Position() Position { return t.position }

// NewTable makes an empty one.
func NewTable(name string, self Location, regions map[string]string) *Table {
	return &Table{self: self, name: name, regions: regions, Set: config.NewSet(), Instances: map[string]instance.Instance{},
		proxies: map[string]update.Proxy{}, Ejections: map[string]outlier.Ejection{}, onProbation: map[string]bool{}, byService: map[string]map[string]bool{}, missing: map[string]bool{}, silentSince: map[string]int64{}, rolloutStarts: map[string]update.RolloutStart{}}
}

// Changes is what a batch of news touched.
type Changes struct {
	Routing, Proxies bool
	Services         map[string]bool // whose hosts, or the choice among them, changed
}

// note notes what an item that changed, came or went changes.
func (c *Changes) note(b *Table, k config.Key) {
	switch k.Kind {
	case config.KindRoutes, config.KindServices, config.KindQuotas, config.KindLimits:
		c.Routing = true
	case config.KindEvacuations:
		for _, h := range b.Instances {
			c.Services[h.Service] = true
		}
	case config.KindRollouts, config.KindStableVersions:
		c.Services[k.Name] = true
	}
}

// applyItems takes a batch's items in, in their order. A snapshot takes the place of all that the board has, so that what was
// dropped and forgotten while this router was away goes; changes take the place of what stood. What is of an earlier mark
// than the board's is passed over: the board has it, or what came after. Items without a mark are merged one by one.
func (t *Table) applyItems(c *Changes, notes []update.Change, snapshot bool, at Position) {
	var all []config.Item
	old := at != Position{} && at.Before(t.position)
	for _, n := range notes {
		if n.Item == nil {
			continue
		}
		all = append(all, *n.Item)
		if k := n.Item.Key(); k.Kind == config.KindRollouts && n.RolloutStartedAt != 0 && !old {
			if r := rollout.FromItem(*n.Item); r.Number != t.rolloutStarts[k.Name].Number {
				t.rolloutStarts[k.Name] = update.RolloutStart{Service: k.Name, Number: r.Number, StartedAt: n.RolloutStartedAt}
			}
		}
	}
	defer t.Set.TakeEvicted() // a router has no disk from which they are to go
	switch {
	case at == Position{}:
		for _, i := range all {
			if t.Set.Merge(i) {
				c.note(t, i.Key())
			}
		}
	case old:
	case snapshot:
		changed, gone := t.Set.ReplaceAll(all)
		for _, i := range changed {
			c.note(t, i.Key())
		}
		for _, k := range gone {
			c.note(t, k)
		}
		t.position = at
	default:
		t.Set.Apply(all)
		for _, i := range all {
			c.note(t, i.Key())
		}
		t.position = at
	}
}

// Apply takes news without a mark in.
func (t *Table) Apply(notes []update.Change, snapshot bool) Changes {
	return t.ApplyAt(Position{}, notes, snapshot)
}

// ApplyAt takes news in; at is where its last change stands. After a snapshot, hosts and routers that it doesn't name are
// missing or gone: they ended while this router followed nobody. A host may also be one of which this control process hasn't heard
// yet, as the former one had: it is missing until it is named, whatever its beats are then.
func (t *Table) ApplyAt(at Position, notes []update.Change, snapshot bool) Changes {
	c := Changes{Services: map[string]bool{}}
	t.applyItems(&c, notes, snapshot, at)
	named := map[string]bool{}
	for _, n := range notes {
		switch {
		case n.Instance != nil:
			h := *n.Instance
			named[h.ID] = true
			old, known := t.Instances[h.ID]
			if t.missing[h.ID] {
				delete(t.missing, h.ID)
				c.Services[old.Service] = true
			}
			if known && !instance.Supersedes(h, old) {
				continue
			}
			if h.Service == "" {
				h.Service = old.Service
			}
			if h.State == instance.Gone && !known {
				continue
			}
			t.put(old, h)
			c.Services[h.Service] = true
		case n.Ejection != nil:
			if j := *n.Ejection; j.Supersedes(t.Ejections[j.ID]) {
				t.Ejections[j.ID] = j
				delete(t.onProbation, j.ID)
				c.Services[j.Service] = true
			}
		case n.Proxy != nil:
			f := *n.Proxy
			named["front "+f.Name] = true
			if old, known := t.proxies[f.Name]; !known || f.Supersedes(old) {
				t.proxies[f.Name] = f
				c.Proxies = c.Proxies || !known || listedFields(f) != listedFields(old)
			}
		}
	}
	if snapshot {
		for id, h := range t.Instances {
			if !named[id] && !t.missing[id] {
				t.missing[id] = true
				c.Services[h.Service] = true
			}
		}
		for name := range t.proxies {
			if !named["front "+name] {
				delete(t.proxies, name)
				c.Proxies = true
			}
		}
	}
	return c
}

// Evacuated tells whether a zone's hosts get nothing more.
func (t *Table) Evacuated(zone string) bool {
	i, ok := t.Set.Lookup(config.Key{Kind: config.KindEvacuations, Name: zone})
	if !ok {
		return false
	}
	var v struct {
		Begun bool `json:"begun"`
	}
	return json.Unmarshal(i.Body, &v) == nil && v.Begun
}

// Rollout is a service's newest order, with the time that it began by this process's clock, where that was told.
func (t *Table) Rollout(service string) rollout.Rollout {
	i, ok := t.Set.Lookup(config.Key{Kind: config.KindRollouts, Name: service})
	if !ok {
		return rollout.Rollout{Service: service}
	}
	r := rollout.FromItem(i)
	if s := t.rolloutStarts[service]; s.Number == r.Number && r.Number > 0 {
		r.StartedAt = s.StartedAt
	}
	r.Switching = false // is for operators to hear
	return r
}

// EndEjections tells the services with hosts that are on their way back from now on, and forgets who is back.
func (t *Table) EndEjections(now int64) map[string]bool {
	services := map[string]bool{}
	for id, j := range t.Ejections {
		if now >= j.ProbationUntil {
			delete(t.Ejections, id)
			delete(t.onProbation, id)
		} else if now >= j.EjectedUntil && !t.onProbation[id] {
			t.onProbation[id] = true
			services[j.Service] = true
		}
	}
	return services
}

// silentHostLifetime is for how long a host that is silent or missing is known: nobody tells its end, as it may be heard again.
const silentHostLifetime = int64(600e9)

// RemoveStale takes hosts that have been silent or missing for long for gone, and tells their services. A word of one that comes later makes it
// known anew. It is to be called now and then.
func (t *Table) RemoveStale(now int64) map[string]bool {
	services := map[string]bool{}
	for id, h := range t.Instances {
		at, known := t.silentSince[id]
		switch {
		case !h.Unresponsive && !t.missing[id] || h.State == instance.Gone:
			delete(t.silentSince, id)
		case !known:
			t.silentSince[id] = now
		case now-at > silentHostLifetime:
			h.State = instance.Gone
			t.Instances[id] = h
			services[h.Service] = true
		}
	}
	maps.DeleteFunc(t.silentSince, func(id string, _ int64) bool { return t.Instances[id].ID == "" })
	return services
}

// Hosts are a service's as the rules are to have them: of versions that are neither settled nor on trial, of zones that are
// evacuated, silent ones and those that are set aside take nothing.
func (t *Table) Hosts(service string) (all []dispatch.Host) {
	r := t.Rollout(service)
	first, _ := t.Set.Lookup(config.Key{Kind: config.KindStableVersions, Name: service})
	settled := rollout.StableVersion(first, r)
	evacuated := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(t.byService[service])) {
		h := t.Instances[id]
		if _, asked := evacuated[h.Zone]; !asked {
			evacuated[h.Zone] = t.Evacuated(h.Zone)
		}
		x := dispatch.Host{Name: h.ID, Address: h.Address, Capacity: float64(max(1, h.Slots)), Build: int(r.StableBuild()),
			Health: decision.Ready, Distance: t.Ring(h.Zone)}
		trial := r.State == rollout.Running && h.Version == r.Target
		if trial {
			x.Build = int(r.Number)
		}
		switch {
		case h.State == instance.Gone:
			x.Health = decision.Gone
		case h.State == instance.Draining, h.Unresponsive, t.missing[h.ID], h.Version != settled && !trial, evacuated[h.Zone], t.Ejections[id].EjectedUntil > 0 && !t.onProbation[id]:
			x.Health = decision.Draining
		}
		all = append(all, x)
	}
	return all
}

// ForgetGone forgets a service's hosts that ended, once the rules have been told.
func (t *Table) ForgetGone(service string) {
	for id := range t.byService[service] {
		if t.Instances[id].State == instance.Gone {
			delete(t.Instances, id)
			delete(t.missing, id)
			delete(t.byService[service], id)
		}
	}
	if len(t.byService[service]) == 0 {
		delete(t.byService, service)
	}
}

// InstancesOf are the hosts of a service that are known, by id. A change of one host costs what its service has, not what all have.
func (t *Table) InstancesOf(service string) map[string]instance.Instance {
	all := make(map[string]instance.Instance, len(t.byService[service]))
	for id := range t.byService[service] {
		all[id] = t.Instances[id]
	}
	return all
}

// put notes a host; one that is of another service now is that one's.
func (t *Table) put(old, h instance.Instance) {
	if old.Service != h.Service {
		delete(t.byService[old.Service], h.ID)
	}
	if t.byService[h.Service] == nil {
		t.byService[h.Service] = map[string]bool{}
	}
	t.byService[h.Service][h.ID] = true
	t.Instances[h.ID] = h
}

// listedFields is what of a router's state the roster goes by: whether it is in, where, and at what weight.
func listedFields(f update.Proxy) update.Proxy {
	return update.Proxy{Zone: f.Zone, Ready: f.Ready && !f.Gone, LacksCapacity: f.LacksCapacity}
}

// Ring is how far a zone is: 0 this one, 1 in this region, 2 beyond.
func (t *Table) Ring(zone string) int {
	switch {
	case zone == t.self.Zone:
		return 0
	case t.regions[zone] == t.self.Region:
		return 1
	}
	return 2
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
