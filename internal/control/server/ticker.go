package server

import (
	"time"

	"k8s.io/klog/v2"

	"portflow/internal/control/consensus"
	"portflow/internal/control/registry"
)

// Intervals of periodic work; logTicks and expireTicks are in ticks.
const (
	tickInterval   = 200 * time.Millisecond
	ticksPerSecond = int(time.Second / tickInterval)
	logTicks       = 10 * ticksPerSecond // between log entries with the counters
	expireTicks    = 60 * ticksPerSecond // between removals of expired state
)

// runTicker performs periodic work until ctx ends.
func (s *Server) runTicker() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
		s.tick(round)
		s.advanceRollouts()
		if isPeriodEnd(round, expireTicks) {
			s.expireState()
		}
		if isPeriodEnd(round, logTicks) {
			s.LogCounters()
		}
	}
}

// isPeriodEnd reports whether round is the last tick of a period, given in ticks.
func isPeriodEnd(round, period int) bool { return round%period == period-1 }

// tick detects unresponsive hosts and lost proxies, steps the consensus node, allocates quotas and ejects outliers.
func (s *Server) tick(round int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkHeartbeats()
	if s.state.Tick(s.clock()) {
		s.subscriptions.notify()
	}
	if isPeriodEnd(round, ticksPerSecond) {
		s.reclaimProxies()
		s.departures.forget(func(id string) bool { return s.state.Instances.Lookup(id).ID == "" })
	}
	s.stepNode(consensus.Event{Tick: true})
	s.rewriteDisk()
	s.updateTolerance()
	s.allocateQuotas(round)
	s.ejectOutliers()
	s.announceStatusChange()
}

// checkHeartbeats publishes hosts whose heartbeats are overdue. The caller holds mu.
func (s *Server) checkHeartbeats() {
	hasQuorum := s.state.Status() == registry.HasQuorum
	for _, host := range s.state.Instances.CheckHeartbeats(s.clock(), hasQuorum) {
		klog.InfoS("host silent", "host", host.ID, "service", host.Service, "zone", host.Zone)
		s.state.PublishInstance(host, host.Owner == s.Settings.Name)
		s.subscriptions.notify()
	}
}

func (s *Server) expireState() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Expire(s.clock())
}
