package server

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"portflow/internal/control/operation"
)

const (
	maxLeaveTime      = 4 * time.Second // at most, and half of the grace
	leavePollInterval = 50 * time.Millisecond
)

// Leave ends this process's part in the core, on SIGTERM: it takes no more calls, brings those that are under way to their
// end, and is voted out where the core bears more without it than with it counted and gone. It returns within the smaller of
// half of the grace and leaveIn.
func (s *Server) Leave() {
	within := maxLeaveTime
	if half := time.Duration(s.Settings.Terms.Grace) / 2; half > 0 {
		within = min(within, half)
	}
	ctx, cancel := context.WithTimeout(s.ctx, within)
	defer cancel()
	began := time.Now()
	s.mu.Lock()
	s.stopping = true
	s.notifySubscribers()
	s.mu.Unlock()
	pause := func() bool {
		select {
		case <-time.After(leavePollInterval):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for s.hasWaiters() && pause() {
	}
	submitted := 0
	for {
		op, useful := s.selfRemoval()
		if !useful {
			break
		}
		if submitted++; s.submit(ctx, op) != nil && !pause() {
			break
		}
	}
	for !s.removalKnown() && pause() { // that it is out
	}
	s.mu.Lock()
	list := s.state.Node.Membership()
	klog.InfoS("leaves", "counted", s.state.Node.IsMember(), "epoch", list.Epoch, "of", len(list.Members), "asked", submitted, "unanswered", len(s.waiters),
		"took_ms", time.Since(began).Milliseconds())
	s.mu.Unlock()
	s.LogCounters()
}

func (s *Server) hasWaiters() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters) > 0
}

// selfRemoval is the order that votes this process out, and whether the core then bears more than with it counted and gone, and
// at least one loss. So an even number becomes an odd one, and an odd one stays: then a vote more gains nothing, and where
// all are told to end, more than one or two never go.
func (s *Server) selfRemoval() (operation.Operation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.state.Node.Membership()
	if !s.state.Node.IsMember() || s.checkQuorum() != nil {
		return operation.Operation{}, false
	}
	next := list.Change(nil, []string{s.Settings.IP})
	with, _ := list.Tolerates(s.unavailable(list))
	without, _ := next.Tolerates(s.unavailable(next))
	return operation.Operation{Kind: operation.ChangeMembers, Remove: []string{s.Settings.IP}, Expected: list.Epoch}, without >= 1 && without > with
}

// removalKnown tells whether more than half of the members go by this process's list; or it is a member still.
func (s *Server) removalKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, acks := s.state.Node.Membership(), map[string]string{}
	for ip, peer := range s.state.Peers {
		if conn := s.peers[ip]; conn != nil && peer.Status.Epoch >= list.Epoch {
			acks[ip] = conn.member.ID
		}
	}
	return s.state.Node.IsMember() || list.HasQuorum(acks)
}
