package lab

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/standin"
)

// FleetExperiment is an experiment in virtual time with the calls that idle routers make to the discovery service, which serves one
// call at a time, and to the platform, which limits the rate of calls. After 2 s, a trial of a build starts; after 20 s, a fraction of
// the routers is killed and restarts without state.
type FleetExperiment struct {
	Routers, Hosts         int
	ListSeconds            float64 // time that the discovery service needs for one call of each router
	PlatformCallsPerSecond float64 // rate limit of the platform
	RequiredVotes          int     // votes that advance the build to the next stage
	KilledFraction         float64 // fraction of the routers that is killed
	Seed                   uint64
}

// FleetResult has the totals of all routers. Times are in seconds, -1 for never.
type FleetResult struct {
	// Calls to the discovery service; those of them that were answered after the caller's timeout; those rejected.
	ListCalls, LateCalls, RejectedCalls int
	// Time from the start until all routers had a host list; time from the kill until the last list that arrived while all had one.
	ListedSeconds, RelistedSeconds float64
	// Calls to the platform; those of them that were rejected; those that withdrew a vote.
	VoteCalls, RejectedVotes, WithdrawnVotes int
	// Times at which the second and later stages began.
	Stages []float64
}

const (
	killAt          = 20 * 1e9
	restartDelay    = int64(1e9)
	fleetDuration   = 90 * 1e9
	trialStart      = 2 * 1e9
	stageDwell      = int64(1.8e9) // minimum time in a stage
	listCallTimeout = int64(2e9)
)

type fleetEmulation struct {
	FleetExperiment
	timeline
	routers         []*idleRouter
	discovery       standin.CallQueue
	callTokens      float64 // of the platform's rate limit
	refilledAt      int64
	votesValidUntil []int64 // by router: expiry of its vote to advance the stage
	stage           int     // -1 before the trial
	stageSince      int64
	result          FleetResult
}

// idleRouter is a router without requests. It implements the outputs of its own dispatcher.
type idleRouter struct {
	*fleetEmulation
	steppedRouter
	index  int
	listed bool // has received a host list
}

// EmulateFleet runs a fleet experiment.
func EmulateFleet(exp FleetExperiment) FleetResult {
	f := &fleetEmulation{FleetExperiment: exp, votesValidUntil: make([]int64, exp.Routers), stage: -1}
	f.discovery = standin.CallQueue{ServiceNanos: min(int64(1e9), int64(exp.ListSeconds*1e9)/int64(exp.Routers)), MaxQueueNanos: 3 * listCallTimeout, CallerTimeout: listCallTimeout}
	f.result.ListedSeconds, f.result.RelistedSeconds = -1, -1
	f.callTokens = 2 * exp.PlatformCallsPerSecond
	f.routers = make([]*idleRouter, exp.Routers)
	for rank := range exp.Routers {
		f.startRouter(rank, exp.Seed)
	}
	f.after(trialStart, func() { f.advanceStage(0) })
	f.after(killAt, func() {
		for rank := range int(exp.KilledFraction * float64(exp.Routers)) {
			f.routers[rank].stopped = true
			f.after(restartDelay, func() { f.startRouter(rank, exp.Seed+1) })
		}
	})
	f.run(fleetDuration)
	f.result.ListCalls, f.result.LateCalls, f.result.RejectedCalls = f.discovery.Calls, f.discovery.Late, f.discovery.Rejected
	return f.result
}

func (f *fleetEmulation) startRouter(rank int, seed uint64) {
	r := &idleRouter{fleetEmulation: f, index: rank}
	r.steppedRouter.timeline = &f.timeline
	f.routers[rank] = r
	r.router = dispatch.New(func() int64 { return f.now + 1 }, zerolog.Nop())
	defaults := DefaultStorm()
	defaults.Routers, defaults.Hosts = f.Routers, f.Hosts
	settings := defaults.routerSettings(rank)
	settings.Subscribe, settings.FetchInterval, settings.AdvanceVotes, settings.RollBackVotes = true, 10e9, f.RequiredVotes, f.RequiredVotes
	r.router.Start(dispatch.Config{Settings: settings, Seed: seed*1e6 + uint64(rank), Hosts: dispatch.HostsChanged{Kind: decision.CachedSnapshot, Hosts: f.buildHosts(1)},
		Rollout: dispatch.RolloutChanged{Rollout: f.release()}}, dispatch.Outputs{Upstream: r, Platform: r, Peers: r, HostWatcher: r})
	r.pump()
}

// buildHosts returns the host list of a build.
func (f *fleetEmulation) buildHosts(build int) (all []dispatch.Host) {
	for i := range f.Hosts {
		name := strconv.Itoa(build) + "-" + strconv.Itoa(i)
		all = append(all, dispatch.Host{Name: name, Address: name, Health: decision.Ready, Build: build, Capacity: 1, StartedAt: int64(build-1) * trialStart})
	}
	return all
}

func (f *fleetEmulation) release() decision.Rollout {
	if f.stage < 0 {
		return decision.Rollout{Build: 1, State: decision.Released, ExposureCap: 1, Age: 60e9}
	}
	return decision.Rollout{Build: 2, Stage: f.stage, ExposureCap: 0.3, Age: f.now - f.stageSince}
}

// advanceStage starts a stage of the trial, discards the votes and announces the stage to all routers.
func (f *fleetEmulation) advanceStage(stage int) {
	if f.stage, f.stageSince = stage, f.now; stage > 0 {
		f.result.Stages = append(f.result.Stages, float64(f.now)/1e9)
	}
	clear(f.votesValidUntil)
	for _, r := range f.routers {
		r.post(3e8, dispatch.RolloutChanged{Rollout: f.release()})
	}
}

// Watch calls the discovery service, and records when all routers have received a host list.
func (r *idleRouter) Watch(bool) {
	ok, at := r.discovery.Call(r.now)
	if !ok {
		r.post(at-r.now, dispatch.HostsChanged{Kind: decision.FetchFailed})
		return
	}
	r.post(at-r.now, dispatch.HostsChanged{Kind: decision.Delta, Hosts: r.buildHosts(1)})
	r.after(at-r.now, func() {
		r.listed = !r.stopped
		for _, other := range r.routers {
			if !other.listed {
				return
			}
		}
		if r.result.ListedSeconds < 0 {
			r.result.ListedSeconds = float64(r.now) / 1e9
		} else if r.now > killAt {
			r.result.RelistedSeconds = float64(r.now-killAt) / 1e9
		}
	})
}

// Vote calls the platform, which rejects calls over its rate limit and advances the stage once it has the required votes.
func (r *idleRouter) Vote(v decision.Verdict, build, stage int) {
	r.result.VoteCalls++
	if v == decision.NoVote {
		r.result.WithdrawnVotes++
	}
	r.callTokens = min(2*r.PlatformCallsPerSecond, r.callTokens+r.PlatformCallsPerSecond*float64(r.now-r.refilledAt)/1e9)
	r.refilledAt = r.now
	reply := decision.Rollout{VoteReply: true, VoteResult: decision.VoteThrottled}
	if r.callTokens >= 1 {
		r.callTokens--
		if reply = r.release(); v == decision.NoVote {
			r.votesValidUntil[r.index] = 0
		} else if v == decision.Advance && stage == r.stage {
			r.votesValidUntil[r.index] = r.now + 4e9
		}
		reply.VoteReply = true
	} else {
		r.result.RejectedVotes++
	}
	r.post(1e8, dispatch.RolloutChanged{Rollout: reply})
	votes := 0
	for _, until := range r.votesValidUntil {
		if until > r.now {
			votes++
		}
	}
	if r.stage >= 0 && votes >= r.RequiredVotes && r.now-r.stageSince > stageDwell {
		r.advanceStage(r.stage + 1)
	}
}

// SendGossip delivers a message to a peer after 5 ms.
func (r *idleRouter) SendGossip(peer int, message []byte) {
	r.routers[peer].post(5e6, dispatch.GossipReceived{Peer: r.index, Message: message})
}

func (r *idleRouter) CloseIdle(string) {}
func (r *idleRouter) Forget(string)    {}

func (r *idleRouter) Forward(dispatch.Host, *dispatch.Request, time.Duration, func(dispatch.Outcome)) dispatch.Attempt {
	return nil
}
