package dispatch

import (
	"portflow/internal/decision"
	"portflow/internal/retryguard"
)

// Host is an entry of a host list.
type Host struct {
	Name, Address    string
	Zone, Kind, Cell int
	Health           decision.Health
	Build            int
	Capacity         float64
	StartedAt        int64 // Unix nanoseconds, 0 if it started long ago
	Distance         int   // from this router, 0 for the nearest hosts
}

// isSameProcess reports whether two entries with the same name describe the same process, that is, have the same address, build
// and start time.
func (h Host) isSameProcess(other Host) bool {
	return h.Address == other.Address && h.Build == other.Build && h.StartedAt == other.StartedAt
}

// entry returns the decision engine's entry for the host.
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

// apply assigns an ID to each new host. A known name with a different address, build or start time is a new host, which replaces
// the previous one.
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

// updateHost updates one host and appends its entries for the engine.
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

// removeUnlisted removes the known hosts that are missing from a complete list, and appends their entries for the engine. These
// are in map order; the engine does not depend on the order of entries of different hosts.
func (d *Dispatcher) removeUnlisted(entries []decision.Host, listed map[string]bool) []decision.Host {
	for name := range d.hostIDs {
		if !listed[name] {
			entries = append(entries, d.removeHost(name))
		}
	}
	return entries
}

// removeHost removes a host and returns the entry that reports its removal to the engine.
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
