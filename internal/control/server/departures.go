package server

import "maps"

// departures tracks the hosts that send heartbeats to this process and are leaving. A leaving host is answered once a majority of the
// members has acknowledged the update that announces its departure. The server's mu guards it.
type departures struct {
	pending   map[string]uint64 // by host ID; number of the update that a majority has not acknowledged yet
	completed map[string]bool   // by host ID; departures published here that a majority has acknowledged
	changed   chan struct{}     // closed and replaced when a member acknowledges updates while a departure is pending
}

func newDepartures() departures {
	return departures{pending: map[string]uint64{}, completed: map[string]bool{}, changed: make(chan struct{})}
}

// isPublished reports whether this process has already published a host's departure.
func (d *departures) isPublished(id string) bool { return d.isPending(id) || d.completed[id] }

func (d *departures) isPending(id string) bool {
	_, pending := d.pending[id]
	return pending
}

// begin records the number of the update that announces a host's departure.
func (d *departures) begin(id string, update uint64) {
	d.pending[id] = update
	delete(d.completed, id)
}

// resolve completes a host's departure if a majority has acknowledged its update. It reports whether no departure of the host is
// pending any more.
func (d *departures) resolve(id string, majorityAcked func(update uint64) bool) bool {
	update, pending := d.pending[id]
	if !pending {
		return true
	}
	if !majorityAcked(update) {
		return false
	}
	delete(d.pending, id)
	d.completed[id] = true
	return true
}

// notifyWaiters wakes the waiting goroutines after a member has acknowledged updates.
func (d *departures) notifyWaiters() {
	if len(d.pending) > 0 {
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// forget drops expired hosts, which bounds both maps.
func (d *departures) forget(expired func(id string) bool) {
	maps.DeleteFunc(d.pending, func(id string, _ uint64) bool { return expired(id) })
	maps.DeleteFunc(d.completed, func(id string, _ bool) bool { return expired(id) })
}
