package server

import (
	"context"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/settings"
	"portflow/internal/cluster/update"
	"portflow/internal/control/operation"
	"portflow/internal/control/registry"
	"portflow/internal/control/rpc"
)

// maxRolloutSeconds is the maximum duration of a rollout.
const maxRolloutSeconds = 24 * 60 * 60

// handleRolloutBegin starts a rollout of a service to a target version.
func (s *Server) handleRolloutBegin(ctx context.Context, _ string, body []byte) (any, error) {
	tree, err := rpc.ParseObject(body)
	if err != nil {
		return nil, err
	}
	reader := settings.NewReader(tree)
	op := operation.Operation{
		Kind:          operation.BeginRollout,
		Name:          reader.At("service").Text(),
		TargetVersion: reader.At("target-version").Text(),
		Duration:      reader.At("duration-s").Seconds(0, maxRolloutSeconds),
		RetryWindow:   s.Settings.Terms.Acknowledge,
	}
	if err := reader.Err(); err != nil {
		return nil, apierror.Wrap(apierror.Invalid, err, "invalid rollout request")
	}
	s.addRolloutTimes(&op)
	return nil, s.submit(ctx, op)
}

// addRolloutTimes sets the wall clock time and, if the service has a rollout, its number and its age as known to this process.
func (s *Server) addRolloutTimes(op *operation.Operation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	op.SubmittedAt, op.ClockAgreed = s.wallClock()
	item, exists := s.state.Set.Lookup(rolloutKey(op.Name))
	if !exists {
		return
	}
	known := s.state.RolloutAges.Localize(s.clock(), rollout.FromItem(item))
	op.KnownRollout = known.Number
	op.KnownRolloutAge = s.clock() - known.StartedAt
}

func rolloutKey(service string) config.Key {
	return config.Key{Kind: config.KindRollouts, Name: service}
}

// handleRolloutRead returns the state of a service's last rollout.
func (s *Server) handleRolloutRead(ctx context.Context, service string, _ []byte) (any, error) {
	if err := s.confirmLatest(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	item, exists := s.state.Set.Lookup(rolloutKey(service))
	if !exists {
		return nil, apierror.New(apierror.NotFound, "of: no rollout of %q", service)
	}
	ro := rollout.FromItem(item)
	return map[string]string{"server-state": ro.VisibleState().String(), "target-version": ro.Target}, nil
}

// advanceRollouts submits the decisions that are due on running rollouts.
func (s *Server) advanceRollouts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Status() != registry.HasQuorum {
		return
	}
	now := s.clock()
	wallTime, agreed := s.wallClock()
	for _, item := range s.state.Set.Live(config.KindRollouts) {
		ro := rollout.FromItem(item)
		if agreed {
			s.state.RolloutAges.AdjustToWallClock(now, wallTime, ro)
		}
		if ro.VisibleState() != rollout.Running || s.pendingDecisions[ro.ID()] {
			continue
		}
		ro = s.state.RolloutAges.Localize(now, ro)
		if op, due := s.rolloutDecision(now, wallTime, ro); due {
			s.pendingDecisions[ro.ID()] = true
			go s.submitRolloutDecision(ro, op)
		}
	}
}

// rolloutDecision returns the operation that a running rollout needs now, and whether one is due. Members with more preceding peers wait
// longer, so that usually one submits the operation and the others see its result. The caller holds mu.
func (s *Server) rolloutDecision(now, wallTime int64, ro rollout.Rollout) (op operation.Operation, due bool) {
	op = operation.Operation{Name: ro.Service, Expected: ro.Number}
	if ro.Switching {
		op.Kind = operation.CompleteSwitch
		return op, rollout.SwitchComplete(now, s.state.RolloutAges.SwitchingSince(now, ro), s.precedingPeers())
	}
	op.Kind = operation.EndRollout
	op.Outcome = rollout.Decide(now, ro, s.votesOn(ro), s.state.ReadyProxies(), s.precedingPeers())
	op.SubmittedAt = wallTime
	return op, op.Outcome != rollout.Running
}

// votesOn returns the proxies' votes on a rollout, in no particular order. The caller holds mu.
func (s *Server) votesOn(ro rollout.Rollout) (votes []update.Vote) {
	for key, vote := range s.state.Votes {
		if key.Service == ro.Service && vote.Number == ro.Number {
			votes = append(votes, vote)
		}
	}
	return votes
}

// precedingPeers returns the number of connected members whose IP addresses sort before this process's. The caller holds mu.
func (s *Server) precedingPeers() (count int) {
	for _, ip := range s.state.VotingPeers() {
		if ip < s.Settings.IP {
			count++
		}
	}
	return count
}

// submitRolloutDecision submits a decision on a rollout. It runs in its own goroutine, which ends with the operation. The operation
// contains the rollout's number, so that only the first decision has an effect. After a failure, a later tick submits it again.
func (s *Server) submitRolloutDecision(ro rollout.Rollout, op operation.Operation) {
	if err := s.submit(s.ctx, op); err != nil {
		klog.InfoS("rollout end not committed; retrying", "service", ro.Service, "order", op.Kind, "to", op.Outcome, "why", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingDecisions, ro.ID())
}
