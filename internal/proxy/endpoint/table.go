// Package endpoint is what a router that carries traffic knows, and its part of the bounds that all routers share. It is pure.
package endpoint

import (
	"encoding/json"
	"maps"
	"slices"

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

// NewTable makes an empty one.
func NewTable(name string, self Location, regions map[string]string) *Table {
	return &Table{self: self, name: name, regions: regions, Set: config.NewSet(), Instances: map[string]instance.Instance{},
		proxies: map[string]update.Proxy{}, Ejections: map[string]outlier.Ejection{}, onProbation: map[string]bool{}, byService: map[string]map[string]bool{}, missing: map[string]bool{}, silentSince: map[string]int64{}, rolloutStarts: map[string]update.RolloutStart{}}
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
