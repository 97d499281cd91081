package registry

import (
	"portflow/internal/cluster/instance"
	"portflow/internal/control/operation"
)

// Heartbeat applies a heartbeat received by this process. A host whose departure is recorded is never ready again, whatever the heartbeat
// says: it was sent before the departure. The results are those of instance.Table.Heartbeat.
func (s *State) Heartbeat(now int64, heartbeat instance.Instance) (host instance.Instance, changed bool) {
	host, _ = s.correctDeparted(heartbeat)
	return s.Instances.Heartbeat(now, host)
}

// HasDeparted reports whether the departure of a host is recorded in the replicated set.
func (s *State) HasDeparted(id string) bool { return operation.HasDeparted(s.Set, id) }

// correctDeparted returns the host as draining if it claims to be ready although its departure is recorded.
func (s *State) correctDeparted(host instance.Instance) (corrected instance.Instance, wrong bool) {
	if host.State != instance.Ready || !s.HasDeparted(host.ID) {
		return host, false
	}
	host.State = instance.Draining
	return host, true
}

// applyDeparture publishes a host as draining when its departure is recorded, unless this process has learned that it leaves before.
func (s *State) applyDeparture(id string) {
	if host, changed := s.Instances.Drain(id); changed {
		s.PublishInstance(host, false) // every control process applies the record
	}
}

// mergeInstance applies another control process's state of a host. The sender is corrected if it lacks a departure or is behind: it has
// then restarted, and a heartbeat of before reached it.
func (s *State) mergeInstance(now int64, received instance.Instance) {
	host, wrong := s.correctDeparted(received)
	updated, reannounce := s.Instances.Merge(now, host)
	switch {
	case updated:
		s.PublishInstance(host, wrong)
	case wrong || reannounce:
		s.PublishInstance(s.Instances.Lookup(host.ID), true)
	}
}
