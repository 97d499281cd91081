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

// service is one service's decision engine, and the state of its hosts as this proxy uses them.
type service struct {
	proxy         *Proxy
	name          string
	dispatcher    *dispatch.Dispatcher
	rollout       rollout.Rollout                  // as it was published last; guarded by the proxy's lock
	engineRollout atomic.Pointer[decision.Rollout] // as the decision engine was notified of it last
	trialTicks    int                              // ticks of the engine during a trial; only the engine's goroutine uses it

	mu        sync.Mutex // guards what follows
	forecast  endpoint.Forecast
	meter     *quota.Meter // nil where no caller has a quota
	inFlight  int          // attempts
	evenSlots float64      // this proxy's even share of the slots that it uses
	load      decay.Sum    // answers, and the seconds that they took
	outliers  *outlier.Recorder
	hosts     map[string]*hostState

	classMu sync.Mutex // guards classes; the engine's goroutine never locks it, as a class may wait for room in its queue
	classes classTable
}

// The decision engine acts through its service.
var (
	_ dispatch.Upstream        = (*service)(nil)
	_ dispatch.RolloutPlatform = (*service)(nil)
	_ dispatch.Peers           = (*service)(nil)
	_ dispatch.HostWatcher     = (*service)(nil)
)

const (
	releasedAge         = int64(3600e9) // nanoseconds: of the version of a service of which no rollout is known
	timerResolution     = int64(5e6)    // nanoseconds
	maxEngineRetryAfter = int64(500e6)  // nanoseconds
	voteTimeout         = int64(500e6)  // nanoseconds
	trialBurstPerSlack  = 0.7           // of the slack of a trial's exposure
	retryBurstPerSlack  = 0.5           // of the slack of the retry budget
)

// startService begins a service, whose decision engine runs until the process's context ends; the caller holds the lock of the proxy.
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

// decisionSettings are the settings of a service's decision engine. Bounds of all proxies together are divided by their number, of
// which the engine is notified.
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

// CloseIdle closes the idle connections to an address.
func (s *service) CloseIdle(address string) { s.proxy.upstreams.CloseIdle(address) }

// Forget drops what is kept for an address.
func (s *service) Forget(address string) { s.proxy.upstreams.Forget(address) }

// Watch does nothing: updates come without being asked for.
func (s *service) Watch(bool) {}
