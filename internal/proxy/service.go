package proxy

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/settings"
	"portflow/internal/decay"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/endpoint"
	"portflow/internal/quota"
)

// service has the decision engine of a service, and the state of its hosts at this proxy.
type service struct {
	proxy         *Proxy
	name          string
	dispatcher    *dispatch.Dispatcher
	rollout       rollout.Rollout                  // last published state; guarded by Proxy.mu
	engineRollout atomic.Pointer[decision.Rollout] // last state that the decision engine was notified of
	trialTicks    int                              // number of engine ticks during trials; used only by the engine's goroutine

	mu        sync.Mutex // guards the fields up to hosts
	forecast  endpoint.Forecast
	meter     *quota.Meter // nil if no caller has a quota
	inFlight  int          // number of attempts
	evenSlots float64      // this proxy's even share of the slots of the hosts, see evenSlotShare
	load      decay.Sum    // decaying count of answers and total of the seconds that they took
	outliers  *outlier.Recorder
	hosts     map[string]*hostState

	classMu sync.Mutex // guards classes; the engine's goroutine must never lock it, as classOf holds it while it waits in Post
	classes classTable
}

// A service implements the outputs of its decision engine.
var (
	_ dispatch.Upstream        = (*service)(nil)
	_ dispatch.RolloutPlatform = (*service)(nil)
	_ dispatch.Peers           = (*service)(nil)
	_ dispatch.HostWatcher     = (*service)(nil)
)

const (
	releasedAge         = int64(3600e9) // nanoseconds; assumed age of the version of a service without a known rollout
	timerResolution     = int64(5e6)    // nanoseconds
	maxEngineRetryAfter = int64(500e6)  // nanoseconds
	voteTimeout         = int64(500e6)  // nanoseconds
	trialBurstPerSlack  = 0.7           // fraction of Terms.ExposureSlack
	retryBurstPerSlack  = 0.5           // fraction of Terms.BudgetSlack
)

// startService starts the decision engine of a service, which runs until the proxy's context is done. The caller holds Proxy.mu.
func (p *Proxy) startService(name string) *service {
	s := &service{proxy: p, name: name, hosts: map[string]*hostState{}, outliers: outlier.NewRecorder()}
	s.dispatcher = dispatch.New(p.clock, zerolog.New(decisionLog{name}))
	released := decision.Rollout{State: decision.Released, ExposureCap: 1, Age: releasedAge}
	s.engineRollout.Store(&released)
	engine := dispatch.Config{
		Settings: decisionSettings(p.Settings.Terms),
		Seed:     p.Seed ^ uint64(len(p.services)+1)<<32,
		Rollout:  dispatch.RolloutChanged{Rollout: released},
	}
	go s.dispatcher.Run(p.ctx, engine, dispatch.Outputs{Upstream: s, Platform: s, Peers: s, HostWatcher: s})
	if old := p.snapshot.Load(); old != nil && old.count > 0 {
		s.dispatcher.Post(dispatch.RankChanged{Rank: old.rank, Routers: old.count})
	}
	return s
}

// decisionSettings returns the settings of a service's decision engine. The engine divides the bounds for all proxies together by the
// number of proxies, which RankChanged events report.
func decisionSettings(terms settings.Terms) decision.Settings {
	return decision.Settings{
		Routers:          1,
		TimerResolution:  timerResolution,
		MaxAttempts:      1,
		Cancellation:     true,
		NoEarlyRetry:     true,
		MixedTargets:     true,
		RequireCertainty: true,
		MaxRetryAfter:    maxEngineRetryAfter,
		Gossip:           true,
		Gate:             decision.MajorityVote,
		AdvanceVotes:     voterCount,
		RollBackVotes:    voterCount,
		VoteLifetime:     voteLifetime,
		VoteTimeout:      voteTimeout,
		FleetRetryBurst:  terms.BudgetSlack * retryBurstPerSlack,
		FleetTrialBurst:  terms.ExposureSlack * trialBurstPerSlack,
		FirstStageCap:    trialShare(terms),
		SideBySide:       true,
	}
}

// CloseIdle implements dispatch.Upstream.
func (s *service) CloseIdle(address string) { s.proxy.upstreams.CloseIdle(address) }

// Forget implements dispatch.Upstream.
func (s *service) Forget(address string) { s.proxy.upstreams.Forget(address) }

// Watch implements dispatch.HostWatcher. It does nothing, as control sends all updates of hosts anyway.
func (s *service) Watch(bool) {}
