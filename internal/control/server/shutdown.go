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

// Leave ends this process's part in the cluster, on SIGTERM: it takes no more calls, completes those in progress, and has itself
// voted out where the other members tolerate more losses without it than with a member that is gone. It returns within maxLeaveTimeout
// or half of the grace period, whichever is shorter. The caller ends the context that Start was given afterwards.
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

// submitRemoval has this process voted out, as long as that is useful. It returns how often it was submitted.
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

// poll returns once a condition holds, or the context ends.
func poll(ctx context.Context, condition func() bool) {
	for {
		if condition() || !pause(ctx) {
			return
		}
	}
}

// pause waits until the next look. It reports false once the context ends.
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

// selfRemoval is the operation that votes this process out, and whether the others then tolerate at least one loss, and more than with
// this process a member that is gone. So an even number of members becomes an odd one, and an odd one stays as it is: a further vote
// gains nothing then, and where all processes are ended, no more than one or two are ever voted out.
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

// removalUseful compares what two lists of members tolerate, each with those of it that are unavailable.
func removalUseful(list, next membership.List, unavailable, nextUnavailable []string) bool {
	with, _ := list.Tolerates(unavailable)
	without, _ := next.Tolerates(nextUnavailable)
	return without >= 1 && without > with
}

// removalAcknowledged reports whether a majority of the members knows this process's list of members, or this process still is one of them.
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
