package server

import "maps"

// departures are the hosts that leave and send heartbeats here. A host that leaves is answered once a majority of the members has
// acknowledged the update that says so. The server's mu guards it.
type departures struct {
	pending   map[string]uint64 // by host ID, the number of the update that a majority hasn't acknowledged yet
	completed map[string]bool   // by host ID, departures from here that a majority has acknowledged
	changed   chan struct{}     // closed, and replaced, when a member acknowledges updates while a departure is pending
}

func newDepartures() departures {
	return departures{pending: map[string]uint64{}, completed: map[string]bool{}, changed: make(chan struct{})}
}

// isPublished reports whether a host's departure was published from here already.
func (d *departures) isPublished(id string) bool { return d.isPending(id) || d.completed[id] }

func (d *departures) isPending(id string) bool {
	_, pending := d.pending[id]
	return pending
}

// begin notes that a host's departure was published with this update.
func (d *departures) begin(id string, update uint64) {
	d.pending[id] = update
	delete(d.completed, id)
}

// resolve reports whether nothing is left to wait for: a departure that is pending is complete once a majority has acknowledged
// its update.
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

// notifyWaiters has those who wait look again, as a member has acknowledged updates.
func (d *departures) notifyWaiters() {
	if len(d.pending) > 0 {
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// forget drops hosts that are not known any more, which bounds both maps.
func (d *departures) forget(expired func(id string) bool) {
	maps.DeleteFunc(d.pending, func(id string, _ uint64) bool { return expired(id) })
	maps.DeleteFunc(d.completed, func(id string, _ bool) bool { return expired(id) })
}
