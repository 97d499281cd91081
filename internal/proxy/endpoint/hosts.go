package endpoint

import (
	"maps"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/rollout"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
)

// Hosts returns a service's hosts for its decision engine, sorted by ID. Hosts get no more requests (decision.Draining) if their version is
// neither stable nor on trial, their zone is evacuated, or they are unresponsive, missing or ejected.
func (t *Table) Hosts(service string) (hosts []dispatch.Host) {
	r := t.Rollout(service)
	first, _ := t.Set.Lookup(config.Key{Kind: config.KindStableVersions, Name: service}) // the zero item if there is none
	stable := rollout.StableVersion(first, r)
	evacuated := map[string]bool{} // by zone; caches Evacuated
	for _, id := range slices.Sorted(maps.Keys(t.byService[service])) {
		h := t.Instances[id]
		if _, known := evacuated[h.Zone]; !known {
			evacuated[h.Zone] = t.Evacuated(h.Zone)
		}
		onTrial := r.State == rollout.Running && h.Version == r.Target
		build := r.StableBuild()
		if onTrial {
			build = r.Number
		}
		health := t.healthOf(h)
		if health == decision.Ready && (evacuated[h.Zone] || h.Version != stable && !onTrial) {
			health = decision.Draining
		}
		hosts = append(hosts, dispatch.Host{
			Name:     h.ID,
			Address:  h.Address,
			Capacity: float64(max(1, h.Slots)),
			Build:    int(build),
			Health:   health,
			Distance: t.ZoneDistance(h.Zone),
		})
	}
	return hosts
}

// healthOf returns a host's health without regard to its zone and version.
func (t *Table) healthOf(h instance.Instance) decision.Health {
	ejected := t.Ejections[h.ID].EjectedUntil > 0 && !t.onProbation[h.ID]
	switch {
	case h.State == instance.Gone:
		return decision.Gone
	case h.State == instance.Draining, h.Unresponsive, t.missing[h.ID], ejected:
		return decision.Draining
	}
	return decision.Ready
}

// InstancesOf returns the known hosts of a service by ID. Its cost depends on the hosts of this service only.
func (t *Table) InstancesOf(service string) map[string]instance.Instance {
	instances := make(map[string]instance.Instance, len(t.byService[service]))
	for id := range t.byService[service] {
		instances[id] = t.Instances[id]
	}
	return instances
}

// put stores a host and updates byService, also when the host's service has changed since old.
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

// EndEjections ends the ejections and probations that have expired, and returns the services with hosts whose probation begins.
func (t *Table) EndEjections(now int64) map[string]bool {
	services := map[string]bool{}
	for id, e := range t.Ejections {
		switch {
		case now >= e.ProbationUntil:
			delete(t.Ejections, id)
			delete(t.onProbation, id)
		case now >= e.EjectedUntil && !t.onProbation[id]:
			t.onProbation[id] = true
			services[e.Service] = true
		}
	}
	return services
}

// staleHostLifetime is how long, in nanoseconds, an unresponsive or missing host stays in the table. Control doesn't announce
// the removal of such a host, as its heartbeats may resume.
const staleHostLifetime = int64(600e9)

// RemoveStale marks hosts as gone that have been unresponsive or missing for longer than staleHostLifetime, and returns their services.
// A later change can add such a host again. The caller has to call RemoveStale periodically, as it also detects when a host becomes stale.
func (t *Table) RemoveStale(now int64) map[string]bool {
	services := map[string]bool{}
	for id, h := range t.Instances {
		since, known := t.staleSince[id]
		stale := h.State != instance.Gone && (h.Unresponsive || t.missing[id])
		switch {
		case !stale:
			delete(t.staleSince, id)
		case !known:
			t.staleSince[id] = now
		case now-since > staleHostLifetime:
			h.State = instance.Gone
			t.Instances[id] = h
			services[h.Service] = true
		}
	}
	maps.DeleteFunc(t.staleSince, func(id string, _ int64) bool { return t.Instances[id].ID == "" })
	return services
}

// ForgetGone removes a service's hosts that are gone. Call it once the decision engine has been notified of them.
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
