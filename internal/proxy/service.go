package proxy

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/settings"
	"portflow/internal/decay"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/endpoint"
	"portflow/internal/quota"
)

// service is one service's rules, and what this router has at each of its hosts.
type service struct {
	proxy       *Proxy
	name        string
	dispatcher  *dispatch.Dispatcher
	rollout     pilotageRollout
	rolloutNews atomic.Pointer[decision.Rollout]
	trialTicks  int // ticks of a trial; the reducer's

	mu        sync.Mutex
	forecast  endpoint.Forecast
	meter     *quota.Meter // nil where no caller has a share
	inFlight  int          // hand-offs that are out
	evenSlots float64      // this router's even part of the slots that it uses
	load      decay.Sum    // answers, and the seconds that they took
	outliers  *outlier.Recorder
	hosts     map[string]*hostState

	bandMu sync.Mutex // over the bands; the reducer never takes it, as a band may wait for room in its queue
	bands  bandTable
}

// startService begins a service: its rules run until the process ends.
func (p *Proxy) startService(name string) *service {
	s := &service{proxy: p, name: name, hosts: map[string]*hostState{}, outliers: outlier.NewRecorder()}
	s.dispatcher = dispatch.New(p.clock, zerolog.New(decisionLog{name}))
	v := decision.Rollout{State: decision.Released, ExposureCap: 1, Age: 3600e9}
	s.rolloutNews.Store(&v)
	go s.dispatcher.Run(p.ctx, dispatch.Config{Settings: decisionSettings(p.Settings.Terms), Seed: p.Seed ^ uint64(len(p.services)+1)<<32, Rollout: dispatch.RolloutChanged{Rollout: v}},
		dispatch.Outputs{Upstream: s, Platform: s, Peers: s, HostWatcher: s})
	if old := p.snapshot.Load(); old != nil && old.count > 0 {
		s.dispatcher.Post(dispatch.RankChanged{Rank: old.rank, Routers: old.count})
	}
	return s
}

// decisionSettings are the rules' for a service. What they say of all routers is divided by their number as that is told.
func decisionSettings(b settings.Terms) decision.Settings {
	return decision.Settings{Routers: 1, TimerResolution: int64(5e6), MaxAttempts: 1, Cancellation: true, NoEarlyRetry: true, MixedTargets: true, RequireCertainty: true,
		MaxRetryAfter: int64(500e6), Gossip: true, Gate: decision.MajorityVote, AdvanceVotes: voterCount, RollBackVotes: voterCount, VoteLifetime: voteLifetime,
		VoteTimeout: int64(500e6), FleetRetryBurst: b.BudgetSlack / 2, FleetTrialBurst: b.ExposureSlack * 0.7, FirstStageCap: trialShare(b), SideBySide: true}
}

// updateHosts takes up what is known of the hosts now.
func (s *service) updateHosts(all map[string]instance.Instance, asides map[string]outlier.Ejection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range all {
		if h.Service != s.name {
			continue
		}
		if b := s.hosts[id]; b != nil {
			b.Instance = h
		} else {
			s.hosts[id] = &hostState{Instance: h}
		}
		s.hosts[id].ejection = asides[id]
	}
	for id, b := range s.hosts {
		if h, there := all[id]; b.inFlight == 0 && (!there || h.State == instance.Gone) {
			delete(s.hosts, id)
			s.outliers.RemoveHost(id)
		}
	}
}

// CloseIdle closes the idle connections to an address.
func (s *service) CloseIdle(address string) { s.proxy.upstreams.CloseIdle(address) }

// Forget lets an address go.
func (s *service) Forget(address string) { s.proxy.upstreams.Forget(address) }

// Watch is not needed: news comes by itself.
func (s *service) Watch(bool) {}
