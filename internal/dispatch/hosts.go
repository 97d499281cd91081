package dispatch

import (
	"portflow/internal/decision"
	"portflow/internal/retryguard"
)

// Host is a host as the list has it.
type Host struct {
	Name, Address    string
	Zone, Kind, Cell int
	Health           decision.Health
	Build            int
	Capacity         float64
	StartedAt        int64 // Unix nanoseconds, 0 for long ago
	Distance         int   // from this router, 0 for near
}

// isSameProcess says whether two entries of one name are of the same process: it has kept its address, start and build.
func (h Host) isSameProcess(other Host) bool {
	return h.Address == other.Address && h.Build == other.Build && h.StartedAt == other.StartedAt
}

// entry is the host under the id by which the engine knows it.
func (h Host) entry(id uint32, health decision.Health, distance int) decision.Host {
	return decision.Host{
		ID:        id,
		Zone:      h.Zone,
		Kind:      h.Kind,
		Cell:      h.Cell,
		Health:    health,
		Build:     h.Build,
		Capacity:  h.Capacity,
		StartedAt: h.StartedAt,
		Distance:  distance,
	}
}

// apply gives each host that appears an id. A name that returns with another address, start or build is a new host, and
// the previous one is gone.
func (e HostsChanged) apply(d *Dispatcher) {
	entries := make([]decision.Host, 0, len(e.Hosts))
	listed := make(map[string]bool, len(e.Hosts))
	for _, host := range e.Hosts {
		listed[host.Name] = true
		entries = d.updateHost(entries, host)
	}
	if e.Kind == decision.Snapshot {
		entries = d.removeUnlisted(entries, listed)
	}
	now := d.clock()
	if d.guard != nil {
		d.guard.HostsChanged(now, e.Kind == decision.Snapshot, guardHosts(entries))
	}
	d.engine.HostsChanged(now, e.Kind, entries)
}

// updateHost appends the engine's entries for one host of the list.
func (d *Dispatcher) updateHost(entries []decision.Host, host Host) []decision.Host {
	id, known := d.hostIDs[host.Name]
	if known && (host.Health == decision.Gone || !host.isSameProcess(d.hosts[id])) {
		entries = append(entries, d.removeHost(host.Name))
		known = false
	}
	if host.Health == decision.Gone {
		return entries
	}
	if !known {
		d.lastHostID++
		id = d.lastHostID
		d.hostIDs[host.Name] = id
	}
	d.hosts[id] = host
	return append(entries, host.entry(id, host.Health, host.Distance))
}

// removeUnlisted appends an entry for each known host that a complete list does not name. The engine applies entries of
// different hosts in any order alike.
func (d *Dispatcher) removeUnlisted(entries []decision.Host, listed map[string]bool) []decision.Host {
	for name := range d.hostIDs {
		if !listed[name] {
			entries = append(entries, d.removeHost(name))
		}
	}
	return entries
}

// removeHost forgets a host and returns the entry that says that it is gone.
func (d *Dispatcher) removeHost(name string) decision.Host {
	id := d.hostIDs[name]
	host := d.hosts[id]
	d.outputs.Upstream.Forget(host.Address)
	delete(d.hostIDs, name)
	delete(d.hosts, id)
	return host.entry(id, decision.Gone, 0)
}

func guardHosts(entries []decision.Host) []retryguard.Host {
	hosts := make([]retryguard.Host, len(entries))
	for i, entry := range entries {
		hosts[i] = retryguard.Host{
			ID:        entry.ID,
			Ready:     entry.Health == decision.Ready,
			Capacity:  entry.Capacity,
			StartedAt: entry.StartedAt,
		}
	}
	return hosts
}
