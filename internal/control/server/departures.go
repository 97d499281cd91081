package server

import (
	"context"
	"maps"
	"time"

	"portflow/internal/cluster/apierror"
	"portflow/internal/control/consensus"
	"portflow/internal/control/operation"
)

// leaveAckTimeout limits the wait of a leaving host, which moves on to the next control process after one second.
const leaveAckTimeout = 700 * time.Millisecond

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

// confirmDeparture waits until a host's departure is both known and recorded: a majority of the members, which notify the proxies, has
// acknowledged the update that announces it, and a majority has the record on disk. The update alone would be lost with the memory of
// these processes, and a heartbeat that the host sent before would then count as one of a new host.
func (s *Server) confirmDeparture(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, leaveAckTimeout)
	defer cancel()
	tag, result, err := s.beginRecord(id)
	if err != nil {
		return err
	}
	defer s.endCall(tag)
	if err := s.awaitMajorityAck(ctx, id); err != nil {
		return err
	}
	return s.awaitResult(ctx, result)
}

// beginRecord submits the record of a departure and returns its result, which is available at once if the record exists. Once submitted,
// the record is decided even if nobody waits any longer.
func (s *Server) beginRecord(id string) (tag uint64, result <-chan consensus.Result, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.HasDeparted(id) {
		recorded := make(chan consensus.Result, 1)
		recorded <- consensus.Result{}
		return 0, recorded, nil
	}
	op := operation.RecordDeparture(id)
	return s.beginCallLocked(consensus.Event{Operation: &op})
}

// awaitMajorityAck waits until a majority of the members, including this process, has acknowledged the departure of a host. The host
// terminates after the answer, so proxies subscribed to any of these members must learn of the departure first, and a process that does
// not know yet that it is partitioned must not answer. Other updates about hosts don't wait for acknowledgements.
func (s *Server) awaitMajorityAck(ctx context.Context, id string) error {
	for {
		complete, changed := s.resolveDeparture(id)
		if complete {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return apierror.Wrap(apierror.Unavailable, ctx.Err(), "of: the departure of %s has not been acknowledged by a majority of the voting members yet", id)
		}
	}
}

// resolveDeparture reports whether a host's departure is complete. If not, changed is closed when it should be called again.
func (s *Server) resolveDeparture(id string) (complete bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.departures.resolve(id, s.majorityAcked), s.departures.changed
}

// majorityAcked reports whether a majority of the members, including this process, has acknowledged all updates up to number. The caller
// holds mu.
func (s *Server) majorityAcked(number uint64) bool {
	acks := map[string]string{s.Settings.IP: s.state.Self.ID}
	for sub := range s.subscriptions.subscribers {
		if sub.identity.Control && sub.acked >= number {
			acks[sub.identity.IP] = sub.identity.ID
		}
	}
	return s.state.Node.Membership().HasQuorum(acks)
}
