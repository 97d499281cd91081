package server

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

const (
	maxLeaveTimeout   = 4 * time.Second
	leavePollInterval = 50 * time.Millisecond
)

// Leave shuts this process down gracefully, on SIGTERM: it accepts no more calls, completes those in progress, and removes itself from the
// voting members if the others tolerate more losses without it than with it as a lost member. It returns within maxLeaveTimeout or half
// of the grace period, whichever is shorter. The caller must cancel the context passed to Start afterwards.
func (s *Server) Leave() {
	began := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, s.leaveTimeout())
	defer cancel()
	s.stopCalls()
	poll(ctx, func() bool { return !s.hasPendingCalls() })
	submitted := s.submitRemoval(ctx)
	poll(ctx, s.removalAcknowledged)
	s.logLeave(submitted, time.Since(began))
	s.LogCounters()
}

func (s *Server) leaveTimeout() time.Duration {
	if half := time.Duration(s.Settings.Terms.Grace) / 2; half > 0 {
		return min(maxLeaveTimeout, half)
	}
	return maxLeaveTimeout
}

func (s *Server) stopCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.subscriptions.notify()
}

// submitRemoval submits the removal of this process from the voting members until that succeeds, is no longer useful, or ctx ends. It
// returns the number of submissions.
func (s *Server) submitRemoval(ctx context.Context) (submitted int) {
	for {
		op, useful := s.selfRemoval()
		if !useful {
			return submitted
		}
		submitted++
		if s.submit(ctx, op) != nil && !pause(ctx) {
			return submitted
		}
	}
}

// poll returns once condition returns true or ctx ends.
func poll(ctx context.Context, condition func() bool) {
	for {
		if condition() || !pause(ctx) {
			return
		}
	}
}

// pause waits for leavePollInterval. It reports false if ctx ends first.
func pause(ctx context.Context) bool {
	select {
	case <-time.After(leavePollInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) logLeave(submitted int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	node := s.state.Node
	list := node.Membership()
	klog.InfoS("leaves", "counted", node.IsMember(), "epoch", list.Epoch, "of", len(list.Members),
		"asked", submitted, "unanswered", s.calls.len(), "took_ms", took.Milliseconds())
}

func (s *Server) hasPendingCalls() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls.len() > 0
}

// selfRemoval returns the operation that removes this process from the voting members. It is useful if the others then tolerate at least
// one loss, and more losses than with this process as a lost member. An even number of members thus becomes odd, while an odd number
// stays: a smaller list would tolerate no more. If all processes are shut down, only one or two are removed.
func (s *Server) selfRemoval() (op operation.Operation, useful bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.state.Node.Membership()
	if !s.state.Node.IsMember() || s.checkQuorum() != nil {
		return operation.Operation{}, false
	}
	op = operation.Operation{Kind: operation.ChangeMembers, Remove: []string{s.Settings.IP}, Expected: list.Epoch}
	next := list.Change(nil, op.Remove)
	return op, removalUseful(list, next, s.unavailable(list), s.unavailable(next))
}

// removalUseful compares the losses that two member lists tolerate, given the unavailable members of each.
func removalUseful(list, next membership.List, unavailable, nextUnavailable []string) bool {
	with, _ := list.Tolerates(unavailable)
	without, _ := next.Tolerates(nextUnavailable)
	return without >= 1 && without > with
}

// removalAcknowledged reports whether a majority of the members has reached the epoch of this process's member list, or this process is
// still a member.
func (s *Server) removalAcknowledged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.state.Node.Membership()
	acks := map[string]string{}
	for ip, peer := range s.state.Peers {
		if conn := s.peers[ip]; conn != nil && peer.Status.Epoch >= list.Epoch {
			acks[ip] = conn.member.ID
		}
	}
	return s.state.Node.IsMember() || list.HasQuorum(acks)
}
