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

// handleRolloutBegin takes the order to move a service to a version.
func (s *Server) handleRolloutBegin(ctx context.Context, _ string, body []byte) (any, error) {
	tree, err := rpc.ParseObject(body)
	if err != nil {
		return nil, err
	}
	r := settings.NewReader(tree)
	service, target, term := r.At("service").Text(), r.At("target-version").Text(), r.At("duration-s").Seconds(0, 86400)
	if err := r.Err(); err != nil {
		return nil, apierror.Wrap(apierror.Invalid, err, "the order is invalid")
	}
	op := operation.Operation{Kind: operation.BeginRollout, Name: service, TargetVersion: target, Duration: term, RetryWindow: s.Settings.Terms.Acknowledge}
	s.mu.Lock()
	op.SubmittedAt, op.ClockAgreed = s.wallClock()
	if i, exists := s.state.Set.Lookup(config.Key{Kind: config.KindRollouts, Name: service}); exists {
		r := s.state.RolloutAges.Localize(s.clock(), rollout.FromItem(i))
		op.KnownRollout, op.KnownRolloutAge = r.Number, s.clock()-r.StartedAt
	}
	s.mu.Unlock()
	return nil, s.submit(ctx, op)
}

func (s *Server) handleRolloutRead(ctx context.Context, service string, _ []byte) (any, error) {
	if err := s.confirmLatest(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.state.Set.Lookup(config.Key{Kind: config.KindRollouts, Name: service})
	if !ok {
		return nil, apierror.New(apierror.NotFound, "of: no rollout of %q", service)
	}
	r := rollout.FromItem(i)
	return map[string]string{"server-state": r.VisibleState().String(), "target-version": r.Target}, nil
}

// advanceRollouts looks at the votes on each rollout that runs, and has the core decide where they say so.
func (s *Server) advanceRollouts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Status() != registry.HasQuorum {
		return
	}
	now := s.clock()
	today, agreed := s.wallClock()
	for _, i := range s.state.Set.Live(config.KindRollouts) {
		ro := rollout.FromItem(i)
		if agreed {
			s.state.RolloutAges.AdjustToWallClock(now, today, ro)
		}
		if ro.VisibleState() != rollout.Running || s.decidingRollouts[ro.ID()] {
			continue
		}
		if ro = s.state.RolloutAges.Localize(now, ro); ro.Switching {
			if rollout.SwitchComplete(now, s.state.RolloutAges.SwitchingSince(now, ro), s.precedingPeers()) {
				s.decidingRollouts[ro.ID()] = true
				go s.submitRolloutDecision(ro, operation.Operation{Kind: operation.CompleteSwitch, Name: ro.Service, Expected: ro.Number})
			}
			continue
		}
		var votes []update.Vote
		for key, vote := range s.state.Votes {
			if key.Service == ro.Service && vote.Number == ro.Number {
				votes = append(votes, vote)
			}
		}
		// the control processes take turns, so that one proposes and the others see what it decided
		if outcome := rollout.Decide(now, ro, votes, s.state.ReadyProxies(), s.precedingPeers()); outcome != rollout.Running {
			s.decidingRollouts[ro.ID()] = true
			go s.submitRolloutDecision(ro, operation.Operation{Kind: operation.EndRollout, Name: ro.Service, Expected: ro.Number, Outcome: outcome, SubmittedAt: today})
		}
	}
}

// precedingPeers is how many control processes that are heard come before this one.
func (s *Server) precedingPeers() (count int) {
	for _, ip := range s.state.VotingPeers() {
		if ip < s.Settings.IP {
			count++
		}
	}
	return count
}

// submitRolloutDecision has the core decide on a rollout's end, or that operators hear of it: each is one of its numbers, so that the first
// end is the only one.
func (s *Server) submitRolloutDecision(ro rollout.Rollout, op operation.Operation) {
	if err := s.submit(s.ctx, op); err != nil {
		klog.InfoS("rollout not ended yet", "service", ro.Service, "order", op.Kind, "to", op.Outcome, "why", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.decidingRollouts, ro.ID())
}
