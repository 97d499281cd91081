// Package proxy is the process that carries traffic: it follows the news of a control process, and its rules choose a
// host for each request.
package proxy

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"k8s.io/klog/v2"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/gossip"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/network"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/settings"
	"portflow/internal/cluster/update"
	"portflow/internal/connlimit"
	"portflow/internal/decay"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/attempt"
	"portflow/internal/proxy/endpoint"
	"portflow/internal/quota"
	"portflow/internal/random"
	"portflow/internal/upstream"
)

// Options are how a process that carries traffic runs.
type Options struct {
	Settings settings.Settings
	Network  network.Network
	Seed     uint64
	Clock    dispatch.Clock // nanoseconds, never back; none for this machine's, anchored once
}

// Proxy is such a process.
type Proxy struct {
	Options
	ctx         context.Context
	clock       dispatch.Clock
	upstreams   *upstream.Pool
	gossiper    *gossip.Gossiper
	connections *connlimit.Limiter
	server      atomic.Pointer[http.Server]

	mu           sync.Mutex // over the board and all that follows
	endpoints    *endpoint.Table
	services     map[string]*service
	control      *controlLink
	subscribedAt int64
	history      endpoint.History
	shortage     endpoint.Shortage

	snapshot     atomic.Pointer[routingSnapshot]
	cutOffSince  atomic.Int64 // since when no control process in touch is heard, 0 for not
	ready        atomic.Bool  // a snapshot has come
	draining     atomic.Bool
	refusing     atomic.Bool  // it takes no more requests
	rejoinedAt   atomic.Int64 // when one was heard again
	openRequests atomic.Int64 // requests
	front        atomic.Pointer[net.Listener]
	accepted     chan struct{} // closed once no connection is accepted any more
	// clients' connections that are new, or have a request that isn't answered yet
	unfinished     atomic.Int64
	heldBodyBytes  atomic.Int64 // bytes of bodies
	counters       counters
	forwarded      forwardCounts
	borrowing      atomic.Bool // others' parts, to this router
	quotasActive   bool        // callers' shares are told of
	reportedDemand bool        // what they ask for, the last time
	randomMu       sync.Mutex
	random         random.Source
}

// forwardCounts counts hand-offs since the last look at whether this router is short.
type forwardCounts struct{ all, otherZone, overShare atomic.Int64 }

// routingSnapshot is what requests go by; it is replaced as a whole.
type routingSnapshot struct {
	routing     *config.RoutingTable
	services    map[string]*service
	proxies     endpoint.ProxyList
	listVersion int // counts the rosters
	rank        int
	count       int
	counted     bool
	history     endpoint.History
}

const second = int64(time.Second)

// clockSkew is by how much the clocks of machines may differ.
const clockSkew = second / 2

const (
	connectTimeout      = 400 * time.Millisecond // beyond the longest way twice, and a packet sent again
	upstreamIdleTimeout = 8 * time.Second        // hosts close connections that stand idle for some seconds
	maxBufferedAnswer   = 256 << 10              // bytes of a host's answer that is read whole; longer ones are passed on as they come
)

// Start brings the process up; it serves until Leave.
func Start(ctx context.Context, o Options) (*Proxy, error) {
	b := o.Settings
	f := &Proxy{Options: o, ctx: ctx, clock: o.Clock, accepted: make(chan struct{}), services: map[string]*service{}, subscribedAt: time.Now().UnixNano()}
	if f.clock == nil {
		f.clock = dispatch.NewClock() // a step of the time of day changes nothing
	}
	f.random.Seed = ^o.Seed
	f.endpoints = endpoint.NewTable(b.Name, endpoint.Location{Zone: b.Zone, Region: b.Region}, b.ZoneRegions)
	half := max(64, (b.Descriptors-300)/2)
	f.connections = connlimit.New(half, half*3/4)
	f.upstreams = upstream.New(upstream.Options{Protocol: hostProtocol{maxBufferedAnswer}, ConnectTimeout: connectTimeout, IdleTimeout: upstreamIdleTimeout, MaxConns: half,
		Dial: o.Network.Dial, OnPanic: func(v any, stack []byte) {
			f.counters.panics.Add(1)
			klog.ErrorS(fmt.Errorf("%v", v), "hand-off", "stack", string(stack))
		}})
	packets, err := o.Network.ListenPacket(net.JoinHostPort(b.IP, strconv.Itoa(b.InternalPorts[1])))
	if err != nil {
		return nil, fmt.Errorf("network.internal-port-range: %w", err)
	}
	f.gossiper = gossip.Start(gossip.Member{IP: b.IP, Kind: gossip.Proxy, Zone: b.Zone}, packets, [2]int{b.InternalPorts[0], b.InternalPorts[1]},
		o.Seed, f.receiveGossip)
	for _, s := range b.SeedNodes {
		if host, _, err := net.SplitHostPort(s); err == nil {
			f.gossiper.Add(gossip.Member{IP: host, Kind: gossip.Control})
		}
	}
	var all []net.Listener
	for _, name := range []string{"front", "readiness"} {
		l, err := o.Network.Listen(b.ListenAddresses[name])
		if err != nil {
			return nil, fmt.Errorf("network.listen-addresses.%s: %w", name, err)
		}
		all = append(all, l)
	}
	f.publish(endpoint.Changes{Routing: true, Proxies: true})
	f.startServers(all[0], all[1])
	go f.gossiper.Run(ctx)
	go f.followControl()
	go f.runTicker()
	klog.InfoS("fairway serves", "node", b.Name, "zone", b.Zone)
	return f, nil
}

// publish makes what the board now says what requests go by; the caller holds the lock, or nothing else runs yet.
func (p *Proxy) publish(c endpoint.Changes) {
	old := p.snapshot.Load()
	v := routingSnapshot{}
	if old != nil {
		v = *old
	}
	if c.Routing || v.routing == nil {
		v.routing = v.routing.Rebuild(p.endpoints.Set)
		for _, y := range v.routing.Inactive {
			klog.InfoS("yields", "item", y)
		}
		for name := range v.routing.Services {
			if p.services[name] == nil {
				p.services[name] = p.startService(name)
				if c.Services == nil {
					c.Services = map[string]bool{}
				}
				c.Services[name] = true
			}
		}
		v.services = make(map[string]*service, len(p.services))
		for name, s := range p.services {
			v.services[name] = s
		}
	}
	if c.Proxies || v.proxies == nil {
		p.history = p.history.Append(p.clock(), v.proxies, v.counted)
		v.history = p.history
		v.listVersion++
		v.rank, v.count, v.proxies, v.counted = p.endpoints.ProxyRank()
		for _, s := range p.services {
			s.dispatcher.Post(dispatch.RankChanged{Rank: v.rank, Routers: v.count})
		}
	}
	if c.Routing || c.Proxies {
		p.updateMeters(v.routing, v.count)
	}
	p.snapshot.Store(&v)
	for name := range c.Services {
		s := p.services[name]
		if s == nil {
			continue
		}
		s.updateHosts(p.endpoints.InstancesOf(name), p.endpoints.Ejections)
		all := p.endpoints.Hosts(name)
		if r := p.endpoints.Rollout(name); r != s.rollout {
			if s.rollout.Number != r.Number || s.rollout.State != r.State {
				klog.InfoS("rollout", "service", name, "order", r.Number, "target", r.Target, "state", r.State)
			}
			s.rollout = r
			s.notifyRollout(r.DecisionInput(p.clock(), trialShare(p.Settings.Terms)))
		}
		s.dispatcher.Post(dispatch.HostsChanged{Kind: decision.Delta, Hosts: all})
		p.endpoints.ForgetGone(name)
	}
}

// trialShare is the part of its requests that a router gives to a version on trial: under the bound, as what is turned away
// does not reach the service and yet was taken.
func trialShare(b settings.Terms) float64 { return 0.8 * b.ExposureShare }

// receiveGossip hears what another router's rules say.
func (p *Proxy) receiveGossip(topic string, raw []byte) {
	v := p.snapshot.Load()
	if s := v.services[topic]; s != nil && v.count > 1 {
		s.dispatcher.Post(dispatch.GossipReceived{Peer: (v.rank + 1) % v.count, Message: raw})
	}
}

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

// hostState is one host as this router uses it.
type hostState struct {
	instance.Instance
	inFlight     int
	coldWindow   endpoint.SlidingWindow
	share        endpoint.Share // as of a roster and a chart, and no longer than until
	evenShare    int            // its part of the open ones while nobody lends any
	shareVersion int
	shareRouting *config.RoutingTable
	shareUntil   int64
	ejection     outlier.Ejection
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

// notifyRollout tells the rules how the rollout stands.
func (s *service) notifyRollout(n decision.Rollout) {
	s.rolloutNews.Store(&n)
	s.dispatcher.Post(dispatch.RolloutChanged{Rollout: n})
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

// bandOf is the number of a route's band in the rules.
func (s *service) bandOf(r *config.Route) int {
	s.bandMu.Lock() // until the band is posted: who finds its number posts a command after it
	defer s.bandMu.Unlock()
	k := bandKey{r.Idempotent, r.Timeout, r.LatencyTarget, r.Priority}
	n, added := s.bands.number(k)
	if added {
		s.dispatcher.Post(dispatch.ClassAdded{RequestClass: k.band()})
	}
	return n
}

// mayUse tells whether a request with these homes may go to a host now, as far as this router's parts and the news go.
func (s *service) mayUse(h dispatch.Host, homes []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.hosts[h.Name]
	if b == nil {
		return false
	}
	f := s.proxy
	if len(homes) > 0 && !slices.Contains(homes, f.Settings.ZoneRegions[b.Zone]) {
		return false
	}
	v := f.snapshot.Load()
	now := f.clock()
	if b.shareVersion != v.listVersion || b.shareRouting != v.routing || now >= b.shareUntil { // the parts change with the roster and the service only
		b.share, b.shareVersion, b.shareRouting, b.shareUntil = f.hostShare(b.Instance, v, v.proxies), v.listVersion, v.routing, math.MaxInt64
		b.evenShare = b.share.Concurrent
		if b.Zone == f.Settings.Zone { // where routers lend to each other
			open := func(all endpoint.ProxyList) int { return f.hostShare(b.Instance, v, all).Concurrent }
			b.share.Concurrent, b.shareUntil = v.history.LeastConcurrent(now, v.proxies, open)
			if b.evenShare = b.share.Concurrent; f.borrowing.Load() {
				b.evenShare = open(v.proxies.EvenWeights())
			}
		}
	}
	p := b.share
	if b.inFlight >= p.Concurrent || b.inFlight > 0 && now < b.ejection.ProbationUntil { // one on its way back is met gently
		return false
	}
	if b.WarmUpUntil+clockSkew <= now {
		return true
	}
	return b.coldWindow.Allows(now, min(p.ColdPerSecond, f.coldShare(now, b.Instance, v)))
}

func (p *Proxy) hostShare(h instance.Instance, v *routingSnapshot, all endpoint.ProxyList) endpoint.Share {
	t := endpoint.ColdBounds{Overrun: p.Settings.Terms.ColdOverrun, Slack: p.Settings.Terms.ColdSlack, PerSecond: v.routing.Services[h.Service].WarmUpPerSecond}
	return endpoint.ShareOf(h, p.Settings.Name, endpoint.Location{Zone: p.Settings.Zone, Region: p.Settings.Region}, p.Settings.ZoneRegions, all, t)
}

// coldShare is the least part of a cold host that this router has had of late: one that is cut off, has just come back, or isn't
// counted yet has none.
func (p *Proxy) coldShare(now int64, h instance.Instance, v *routingSnapshot) int {
	if p.cutOffSince.Load() != 0 || now-p.rejoinedAt.Load() < endpoint.SettleTime || !v.counted {
		return 0
	}
	return v.history.LeastCold(now, func(all endpoint.ProxyList) int { return p.hostShare(h, v, all).ColdPerSecond })
}

// retryAfter is after how long one that is sent away now should come back: by the forecast of when there is room, and a third of
// the time that it has at most, as clients wait no longer.
func (s *service) retryAfter(cutOff int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.proxy.clock()
	return time.Duration(s.forecast.Wait(now, max(0, cutOff-now)/3))
}

// Forward sends a request to a host; the rules chose it a moment ago.
func (s *service) Forward(to dispatch.Host, r *dispatch.Request, left time.Duration, done func(dispatch.Outcome)) dispatch.Attempt {
	c := r.Payload.(*clientRequest)
	if !c.beginAttempt() { // it may have run, or one is out: the rules don't ask for that
		s.proxy.counters.withheld.Add(1)
		go done(dispatch.Outcome{Result: decision.Unsent})
		return unsentAttempt{}
	}
	s.mu.Lock()
	b, began := s.hosts[to.Name], s.proxy.clock()
	s.inFlight++
	s.outliers.RequestSent(began, to.Name)
	if b != nil {
		if b.inFlight++; b.inFlight > b.evenShare {
			s.proxy.forwarded.overShare.Add(1)
		}
		if b.WarmUpUntil+clockSkew > began {
			b.coldWindow.Add(began)
		}
	}
	s.mu.Unlock()
	s.proxy.counters.byRing[to.Distance].Add(1)
	if s.proxy.forwarded.all.Add(1); to.Distance > 0 && !c.hasHomes {
		s.proxy.forwarded.otherZone.Add(1)
	}
	if c.attemptCount++; c.attemptCount > 1 {
		s.proxy.counters.retried.Add(1)
	}
	return s.proxy.upstreams.Forward(to, r, left, func(o dispatch.Outcome) {
		var odd attempt.Event
		if o.Result, odd = c.endAttempt(o.Result); odd != 0 {
			s.proxy.counters.invalidAnswers[odd].Add(1)
		}
		s.mu.Lock()
		if b != nil {
			b.inFlight--
		}
		s.inFlight--
		now := s.proxy.clock()
		s.outliers.RequestEnded(now, to.Name, began, outlierOutcomes[o.Result])
		if o.Result == decision.Succeeded || o.Result == decision.Failed {
			s.forecast.Answered(now)
			if s.meter != nil {
				s.load.Add(now, loadMemory, float64(now-began)/float64(second))
			}
		}
		s.mu.Unlock()
		s.proxy.counters.endings[o.Result].Add(1)
		if a, ok := o.Reply.(*reply); ok && a.misdirected && b != nil {
			s.proxy.markReplaced(to.Name)
		}
		done(o)
	})
}

// unsentAttempt is a hand-off that was not begun.
type unsentAttempt struct{}

func (unsentAttempt) Cancel()       {}
func (unsentAttempt) CancelUnsent() {}

// outlierOutcomes is what the endings of hand-offs say of their hosts.
var outlierOutcomes = [...]outlier.Outcome{decision.Succeeded: outlier.Success, decision.Failed: outlier.Failure, decision.Rejected: outlier.Inconclusive,
	decision.TimedOut: outlier.Failure, decision.ConnectFailed: outlier.Inconclusive, decision.ConnectionReset: outlier.Failure, decision.Canceled: outlier.Inconclusive,
	decision.Unsent: outlier.Inconclusive, decision.InvalidAnswer: outlier.Failure}

// reportOutliers tells control of hosts that do badly, and goes on with those that come back.
func (p *Proxy) reportOutliers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, seen := p.clock(), map[string][]outlier.Stats{}
	for name, s := range p.services {
		s.mu.Lock()
		if all := s.outliers.Report(now); all != nil {
			seen[name] = all
		}
		s.mu.Unlock()
	}
	if len(seen) > 0 && p.control != nil {
		p.control.stream.Send(update.Message{Outliers: seen})
	}
	if services := p.endpoints.EndEjections(now); len(services) > 0 {
		p.publish(endpoint.Changes{Services: services})
	}
}

// CloseIdle closes the idle connections to an address.
func (s *service) CloseIdle(address string) { s.proxy.upstreams.CloseIdle(address) }

// Forget lets an address go.
func (s *service) Forget(address string) { s.proxy.upstreams.Forget(address) }

// Watch is not needed: news comes by itself.
func (s *service) Watch(bool) {}

// Vote tells control what this router wants of a rollout.
func (s *service) Vote(v decision.Verdict, build, stage int) {
	p := update.Vote{Service: s.name, Number: uint64(build), Verdict: uint8(v), ReceivedAt: s.proxy.clock()}
	if v != decision.NoVote { // which only takes the last one back
		p.Evidence = s.trialStatistics()
	}
	s.proxy.SendVote(p)
	n := *s.rolloutNews.Load()
	n.VoteReply = true
	go s.dispatcher.Post(dispatch.RolloutChanged{Rollout: n}) // the rules are in the middle of a step
}

// trialStatistics is what the rules go by; it is for the midst of an effect.
func (s *service) trialStatistics() *update.Evidence {
	j := s.dispatcher.TrialStatistics()
	return &update.Evidence{Outcomes: j.Outcomes, Excess: j.Excess, Error: j.StandardError, Threshold: j.Threshold, Allowance: j.RemainingBurst}
}

// statisticsEvery is how many ticks of the rules lie between two times that a voter tells control its figures.
const statisticsEvery = 20

// SendGossip gossips: while a version is on trial, as there is nothing to be said else. Those who vote tell control what they see.
func (s *service) SendGossip(_ int, message []byte) {
	n := s.rolloutNews.Load()
	if n.State != decision.OnTrial {
		return
	}
	s.proxy.gossiper.Send(s.name, message)
	if s.trialTicks++; s.trialTicks%statisticsEvery == 0 && s.proxy.snapshot.Load().rank <= voterCount {
		s.proxy.SendVote(update.Vote{Service: s.name, Number: uint64(n.Build), ReceivedAt: s.proxy.clock(), Evidence: s.trialStatistics(), ReportOnly: true})
	}
}

// markReplaced notes that a host's address is another's: it has ended without a word.
func (p *Proxy) markReplaced(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, ok := p.endpoints.Instances[id]; ok && !h.Unresponsive {
		h.Unresponsive = true
		p.endpoints.Instances[id] = h
		p.publish(endpoint.Changes{Services: map[string]bool{h.Service: true}})
	}
}

// randomFloat is a number from [0, 1) by chance.
func (p *Proxy) randomFloat() float64 {
	p.randomMu.Lock()
	defer p.randomMu.Unlock()
	return p.random.Float64()
}

// RouteVersions are those of the routes that this router goes by, dropped ones too.
func (p *Proxy) RouteVersions() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]uint64{}
	for _, i := range p.endpoints.Set.All() {
		if i.Kind == config.KindRoutes {
			all[i.Name] = i.Version
		}
	}
	return all
}

// UsableHosts is how many hosts of a service this router may use as far as control has told.
func (p *Proxy) UsableHosts(service string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.endpoints.Hosts(service) {
		if h.Health == decision.Ready {
			n++
		}
	}
	return n
}

// removeStaleHosts lets hosts go that have been silent for long.
func (p *Proxy) removeStaleHosts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if services := p.endpoints.RemoveStale(p.clock()); len(services) > 0 {
		p.publish(endpoint.Changes{Services: services})
	}
}

// runTicker looks whether this router is short, and writes the counters now and then.
func (p *Proxy) runTicker() {
	t := time.NewTicker(time.Duration(endpoint.CheckInterval))
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-t.C:
		case <-p.ctx.Done():
			return
		}
		p.reportOutliers()
		h := &p.forwarded
		if short := p.shortage.Check(int(h.all.Swap(0)), int(h.otherZone.Swap(0)), int(h.overShare.Swap(0))); p.borrowing.Swap(short) != short {
			klog.InfoS("short of room in the zone", "is", short)
			p.reportStatus()
		}
		if n%20 == 0 {
			p.removeStaleHosts()
			p.LogCounters()
		}
	}
}

// LogCounters writes the counters on one line.
func (p *Proxy) LogCounters() {
	p.mu.Lock()
	hosts := len(p.endpoints.Instances)
	p.mu.Unlock()
	v := p.snapshot.Load()
	klog.InfoS("counters", "open", p.openRequests.Load(), "routers", v.count, "rank", v.rank, "hosts", hosts, "routes", len(v.routing.Routes),
		"counts", p.counters.String())
}
