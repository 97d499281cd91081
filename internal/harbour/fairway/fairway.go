// Package fairway is the process that carries traffic: it follows the news of a control process, and its rules choose a
// host for each request.
package fairway

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

	"portflow/internal/harbour/attempt"
	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/convoy"
	"portflow/internal/harbour/lanes"
	"portflow/internal/harbour/lookout"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/papers"
	"portflow/internal/harbour/sea"
	"portflow/internal/harbour/signals"
	"portflow/internal/harbour/tonnage"
	"portflow/internal/parts/chance"
	"portflow/internal/parts/faded"
	"portflow/internal/parts/hosts"
	"portflow/internal/parts/room"
	"portflow/internal/parts/router"
	"portflow/rules"
)

// Options are how a process that carries traffic runs.
type Options struct {
	Boot  papers.Boot
	Sea   sea.Sea
	Seed  uint64
	Clock router.Clock // nanoseconds, never back; none for this machine's, anchored once
}

// Fairway is such a process.
type Fairway struct {
	Options
	ctx    context.Context
	clock  router.Clock
	pool   *hosts.Pool
	convoy *convoy.Convoy
	room   *room.Room
	server atomic.Pointer[http.Server]

	mu       sync.Mutex // over the board and all that follows
	board    *lanes.Board
	services map[string]*service
	link     *link
	since    int64
	past     lanes.Past
	short    lanes.Short

	view     atomic.Pointer[view]
	cutOff   atomic.Int64 // since when no control process in touch is heard, 0 for not
	ready    atomic.Bool  // a snapshot has come
	leaving  atomic.Bool
	ending   atomic.Bool  // it takes no more requests
	rejoined atomic.Int64 // when one was heard again
	open     atomic.Int64 // requests
	held     atomic.Int64 // bytes of bodies
	counts   counts
	handed   handed
	lent     atomic.Bool // others' parts, to this router
	metering bool        // callers' shares are told of
	toldTons bool        // what they ask for, the last time
	dice     sync.Mutex
	chance   chance.Source
}

// handed counts hand-offs since the last look at whether this router is short.
type handed struct{ all, away, over atomic.Int64 }

// view is what requests go by; it is replaced as a whole.
type view struct {
	chart    *manifest.Chart
	services map[string]*service
	roster   lanes.Roster
	number   int // counts the rosters
	rank     int
	count    int
	counted  bool
	past     lanes.Past
}

const second = int64(time.Second)

// skew is by how much the clocks of machines may differ.
const skew = second / 2

const (
	connectIn = 400 * time.Millisecond // beyond the longest way twice, and a packet sent again
	hostIdle  = 8 * time.Second        // hosts close connections that stand idle for some seconds
	largest   = 256 << 10              // bytes of a host's answer that is read whole; longer ones are passed on as they come
)

// Start brings the process up; it serves until Leave.
func Start(ctx context.Context, o Options) (*Fairway, error) {
	b := o.Boot
	f := &Fairway{Options: o, ctx: ctx, clock: o.Clock, services: map[string]*service{}, since: time.Now().UnixNano()}
	if f.clock == nil {
		f.clock = router.NewClock() // a step of the time of day changes nothing
	}
	f.chance.Seed = ^o.Seed
	f.board = lanes.NewBoard(b.Name, lanes.Place{Zone: b.Zone, Region: b.Region}, b.Zones)
	half := max(64, (b.Descriptors-300)/2)
	f.room = room.New(half, half*3/4)
	f.pool = hosts.New(hosts.Options{Protocol: speech{largest}, ConnectIn: connectIn, IdleIn: hostIdle, Most: half,
		Dial: o.Sea.Dial, Panicked: func(v any, stack []byte) {
			f.counts.panics.Add(1)
			klog.ErrorS(fmt.Errorf("%v", v), "hand-off", "stack", string(stack))
		}})
	packets, err := o.Sea.Packet(net.JoinHostPort(b.IP, strconv.Itoa(b.Ports[1])))
	if err != nil {
		return nil, fmt.Errorf("network.internal-port-range: %w", err)
	}
	f.convoy = convoy.Start(convoy.Member{IP: b.IP, Kind: convoy.Traffic, Zone: b.Zone}, packets, [2]int{b.Ports[0], b.Ports[1]},
		o.Seed, f.gossip)
	for _, s := range b.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			f.convoy.Meet(convoy.Member{IP: host, Kind: convoy.Control})
		}
	}
	var all []net.Listener
	for _, name := range []string{"front", "readiness"} {
		l, err := o.Sea.Listen(b.Listen[name])
		if err != nil {
			return nil, fmt.Errorf("network.listen-addresses.%s: %w", name, err)
		}
		all = append(all, l)
	}
	f.publish(lanes.Changes{Chart: true, Fronts: true})
	f.serve(all[0], all[1])
	go f.convoy.Run(ctx)
	go f.follow()
	go f.tick()
	klog.InfoS("fairway serves", "node", b.Name, "zone", b.Zone)
	return f, nil
}

// publish makes what the board now says what requests go by; the caller holds the lock, or nothing else runs yet.
func (f *Fairway) publish(c lanes.Changes) {
	old := f.view.Load()
	v := view{}
	if old != nil {
		v = *old
	}
	if c.Chart || v.chart == nil {
		v.chart = v.chart.Next(f.board.Set)
		for _, y := range v.chart.Yielding {
			klog.InfoS("yields", "item", y)
		}
		for name := range v.chart.Services {
			if f.services[name] == nil {
				f.services[name] = f.enter(name)
				if c.Services == nil {
					c.Services = map[string]bool{}
				}
				c.Services[name] = true
			}
		}
		v.services = make(map[string]*service, len(f.services))
		for name, s := range f.services {
			v.services[name] = s
		}
	}
	if c.Fronts || v.roster == nil {
		f.past = f.past.Then(f.clock(), v.roster, v.counted)
		v.past = f.past
		v.number++
		v.rank, v.count, v.roster, v.counted = f.board.Standing()
		for _, s := range f.services {
			s.reducer.Post(router.Number{Rank: v.rank, Routers: v.count})
		}
	}
	if c.Chart || c.Fronts {
		f.meters(v.chart, v.count)
	}
	f.view.Store(&v)
	for name := range c.Services {
		s := f.services[name]
		if s == nil {
			continue
		}
		s.learn(f.board.Of(name), f.board.Asides)
		all := f.board.Hosts(name)
		if r := f.board.Rollout(name); r != s.rollout {
			if s.rollout.Order != r.Order || s.rollout.State != r.State {
				klog.InfoS("rollout", "service", name, "order", r.Order, "target", r.Target, "state", r.State)
			}
			s.rollout = r
			s.told(r.News(f.clock(), share(f.Boot.Bounds)))
		}
		s.reducer.Post(router.List{Form: rules.Changes, Hosts: all})
		f.board.Forget(name)
	}
}

// share is the part of its requests that a router gives to a version on trial: under the bound, as what is turned away
// does not reach the service and yet was taken.
func share(b papers.Bounds) float64 { return 0.8 * b.ExposureShare }

// gossip hears what another router's rules say.
func (f *Fairway) gossip(topic string, raw []byte) {
	v := f.view.Load()
	if s := v.services[topic]; s != nil && v.count > 1 {
		s.reducer.Post(router.Heard{Peer: (v.rank + 1) % v.count, Message: raw})
	}
}

// service is one service's rules, and what this router has at each of its hosts.
type service struct {
	f       *Fairway
	name    string
	reducer *router.Router
	rollout pilotageRollout
	news    atomic.Pointer[rules.News]
	shown   int // ticks of a trial; the reducer's

	mu       sync.Mutex
	forecast lanes.Forecast
	meter    *tonnage.Meter // nil where no caller has a share
	out      int            // hand-offs that are out
	slots    float64        // this router's even part of the slots that it uses
	load     faded.Sum      // answers, and the seconds that they took
	log      *lookout.Log
	berths   map[string]*berth

	naming sync.Mutex // over the bands; the reducer never takes it, as a band may wait for room in its queue
	bands  bandTable
}

// berth is one host as this router uses it.
type berth struct {
	berths.Host
	open    int
	cold    lanes.Window
	parts   lanes.Parts // as of a roster and a chart, and no longer than until
	usual   int         // its part of the open ones while nobody lends any
	parted  int
	partsOf *manifest.Chart
	until   int64
	aside   lookout.Judgement
}

// enter begins a service: its rules run until the process ends.
func (f *Fairway) enter(name string) *service {
	s := &service{f: f, name: name, berths: map[string]*berth{}, log: lookout.NewLog()}
	s.reducer = router.New(f.clock, zerolog.New(notes{name}))
	v := rules.News{Standing: rules.Released, Cap: 1, Age: 3600e9}
	s.news.Store(&v)
	go s.reducer.Run(f.ctx, router.Start{Settings: settings(f.Boot.Bounds), Seed: f.Seed ^ uint64(len(f.services)+1)<<32, News: router.News{News: v}},
		router.Out{Hosts: s, Platform: s, Peers: s, List: s})
	if old := f.view.Load(); old != nil && old.count > 0 {
		s.reducer.Post(router.Number{Rank: old.rank, Routers: old.count})
	}
	return s
}

// settings are the rules' for a service. What they say of all routers is divided by their number as that is told.
func settings(b papers.Bounds) rules.Settings {
	return rules.Settings{Routers: 1, Tick: int64(5e6), MaxHandOffs: 1, Recalls: true, Patient: true, Mixed: true, Certain: true,
		MaxAdvice: int64(500e6), Peers: true, Gate: rules.Share, OnVotes: voters, BackVotes: voters, VoteLife: voteLife,
		VoteWait: int64(500e6), AgainSlack: b.BudgetSlack / 2, FreeOfAll: b.ExposureSlack * 0.7, FirstCap: share(b), Beside: true}
}

// told tells the rules how the rollout stands.
func (s *service) told(n rules.News) {
	s.news.Store(&n)
	s.reducer.Post(router.News{News: n})
}

// learn takes up what is known of the hosts now.
func (s *service) learn(all map[string]berths.Host, asides map[string]lookout.Judgement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range all {
		if h.Service != s.name {
			continue
		}
		if b := s.berths[id]; b != nil {
			b.Host = h
		} else {
			s.berths[id] = &berth{Host: h}
		}
		s.berths[id].aside = asides[id]
	}
	for id, b := range s.berths {
		if h, there := all[id]; b.open == 0 && (!there || h.State == berths.Gone) {
			delete(s.berths, id)
			s.log.Forget(id)
		}
	}
}

// band is the number of a route's band in the rules.
func (s *service) band(r *manifest.Route) int {
	s.naming.Lock() // until the band is posted: who finds its number posts a command after it
	defer s.naming.Unlock()
	k := bandKey{r.Safe, r.Timeout, r.Target, r.Rank}
	n, added := s.bands.number(k)
	if added {
		s.reducer.Post(router.Band{Band: k.band()})
	}
	return n
}

// may tells whether a request with these homes may go to a host now, as far as this router's parts and the news go.
func (s *service) may(h router.Host, homes []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.berths[h.Name]
	if b == nil {
		return false
	}
	f := s.f
	if len(homes) > 0 && !slices.Contains(homes, f.Boot.Zones[b.Zone]) {
		return false
	}
	v := f.view.Load()
	now := f.clock()
	if b.parted != v.number || b.partsOf != v.chart || now >= b.until { // the parts change with the roster and the service only
		b.parts, b.parted, b.partsOf, b.until = f.part(b.Host, v, v.roster), v.number, v.chart, math.MaxInt64
		b.usual = b.parts.Open
		if b.Zone == f.Boot.Zone { // where routers lend to each other
			open := func(all lanes.Roster) int { return f.part(b.Host, v, all).Open }
			b.parts.Open, b.until = v.past.Open(now, v.roster, open)
			if b.usual = b.parts.Open; f.lent.Load() {
				b.usual = open(v.roster.Usual())
			}
		}
	}
	p := b.parts
	if b.open >= p.Open || b.open > 0 && now < b.aside.Back { // one on its way back is met gently
		return false
	}
	if b.ColdUntil+skew <= now {
		return true
	}
	return b.cold.Room(now, min(p.Cold, f.cold(now, b.Host, v)))
}

func (f *Fairway) part(h berths.Host, v *view, all lanes.Roster) lanes.Parts {
	t := lanes.Terms{Overrun: f.Boot.Bounds.ColdOverrun, Slack: f.Boot.Bounds.ColdSlack, ColdPerS: v.chart.Services[h.Service].ColdPerS}
	return lanes.Part(h, f.Boot.Name, lanes.Place{Zone: f.Boot.Zone, Region: f.Boot.Region}, f.Boot.Zones, all, t)
}

// cold is the least part of a cold host that this router has had of late: one that is cut off, has just come back, or isn't
// counted yet has none.
func (f *Fairway) cold(now int64, h berths.Host, v *view) int {
	if f.cutOff.Load() != 0 || now-f.rejoined.Load() < lanes.Settling || !v.counted {
		return 0
	}
	return v.past.Cold(now, func(all lanes.Roster) int { return f.part(h, v, all).Cold })
}

// wait is after how long one that is sent away now should come back: by the forecast of when there is room, and a third of
// the time that it has at most, as clients wait no longer.
func (s *service) wait(cutOff int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.f.clock()
	return time.Duration(s.forecast.Wait(now, max(0, cutOff-now)/3))
}

// HandOff sends a request to a host; the rules chose it a moment ago.
func (s *service) HandOff(to router.Host, r *router.Request, left time.Duration, done func(router.Outcome)) router.HandOff {
	c := r.Cargo.(*cargo)
	if !c.begin() { // it may have run, or one is out: the rules don't ask for that
		s.f.counts.withheld.Add(1)
		go done(router.Outcome{Ending: rules.Unsent})
		return unsent{}
	}
	s.mu.Lock()
	b, began := s.berths[to.Name], s.f.clock()
	s.out++
	s.log.Sent(began, to.Name)
	if b != nil {
		if b.open++; b.open > b.usual {
			s.f.handed.over.Add(1)
		}
		if b.ColdUntil+skew > began {
			b.cold.Add(began)
		}
	}
	s.mu.Unlock()
	s.f.counts.rings[to.Ring].Add(1)
	if s.f.handed.all.Add(1); to.Ring > 0 && !c.homes {
		s.f.handed.away.Add(1)
	}
	if c.tries++; c.tries > 1 {
		s.f.counts.again.Add(1)
	}
	return s.f.pool.HandOff(to, r, left, func(o router.Outcome) {
		var odd attempt.Event
		if o.Ending, odd = c.end(o.Ending); odd != 0 {
			s.f.counts.odd[odd].Add(1)
		}
		s.mu.Lock()
		if b != nil {
			b.open--
		}
		s.out--
		now := s.f.clock()
		s.log.Ended(now, to.Name, began, saying[o.Ending])
		if o.Ending == rules.Fulfilled || o.Ending == rules.Failed {
			s.forecast.Answered(now)
			if s.meter != nil {
				s.load.Add(now, loadMemory, float64(now-began)/float64(second))
			}
		}
		s.mu.Unlock()
		s.f.counts.endings[o.Ending].Add(1)
		if a, ok := o.Reply.(*reply); ok && a.other && b != nil {
			s.f.moved(to.Name)
		}
		done(o)
	})
}

// unsent is a hand-off that was not begun.
type unsent struct{}

func (unsent) Recall() {}
func (unsent) Revoke() {}

// saying is what the endings of hand-offs say of their hosts.
var saying = [...]lookout.Outcome{rules.Fulfilled: lookout.Good, rules.Failed: lookout.Bad, rules.TurnedAway: lookout.Nothing,
	rules.TimedOut: lookout.Bad, rules.NoConnect: lookout.Nothing, rules.Reset: lookout.Bad, rules.Recalled: lookout.Nothing,
	rules.Unsent: lookout.Nothing, rules.Spoilt: lookout.Bad}

// look tells control of hosts that do badly, and goes on with those that come back.
func (f *Fairway) look() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, seen := f.clock(), map[string][]lookout.Count{}
	for name, s := range f.services {
		s.mu.Lock()
		if all := s.log.Look(now); all != nil {
			seen[name] = all
		}
		s.mu.Unlock()
	}
	if len(seen) > 0 && f.link != nil {
		f.link.line.Send(signals.Word{Seen: seen})
	}
	if services := f.board.Lapse(now); len(services) > 0 {
		f.publish(lanes.Changes{Services: services})
	}
}

// Close closes the idle connections to an address.
func (s *service) Close(address string) { s.f.pool.Close(address) }

// Forget lets an address go.
func (s *service) Forget(address string) { s.f.pool.Forget(address) }

// Watch is not needed: news comes by itself.
func (s *service) Watch(bool) {}

// Vote tells control what this router wants of a rollout.
func (s *service) Vote(v rules.Verdict, build, stage int) {
	p := signals.Poll{Service: s.name, Order: uint64(build), Verdict: uint8(v), At: s.f.clock()}
	if v != rules.NoVote { // which only takes the last one back
		p.Figures = s.figures()
	}
	s.f.Vote(p)
	n := *s.news.Load()
	n.Reply = true
	go s.reducer.Post(router.News{News: n}) // the rules are in the middle of a step
}

// figures is what the rules go by; it is for the midst of an effect.
func (s *service) figures() *signals.Figures {
	j := s.reducer.Judged()
	return &signals.Figures{Outcomes: j.Outcomes, Excess: j.Excess, Error: j.Error, Threshold: j.Threshold, Left: j.Left}
}

// showEvery is how many ticks of the rules lie between two times that a voter tells control its figures.
const showEvery = 20

// Tell gossips: while a version is on trial, as there is nothing to be said else. Those who vote tell control what they see.
func (s *service) Tell(_ int, message []byte) {
	n := s.news.Load()
	if n.Standing != rules.OnTrial {
		return
	}
	s.f.convoy.Tell(s.name, message)
	if s.shown++; s.shown%showEvery == 0 && s.f.view.Load().rank <= voters {
		s.f.Vote(signals.Poll{Service: s.name, Order: uint64(n.Build), At: s.f.clock(), Figures: s.figures(), Shown: true})
	}
}

// moved notes that a host's address is another's: it has ended without a word.
func (f *Fairway) moved(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h, ok := f.board.Known[id]; ok && !h.Silent {
		h.Silent = true
		f.board.Known[id] = h
		f.publish(lanes.Changes{Services: map[string]bool{h.Service: true}})
	}
}

// draw is a number from [0, 1) by chance.
func (f *Fairway) draw() float64 {
	f.dice.Lock()
	defer f.dice.Unlock()
	return f.chance.Next()
}

// Versions are those of the routes that this router goes by, dropped ones too.
func (f *Fairway) Versions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]uint64{}
	for _, i := range f.board.Set.All() {
		if i.Kind == manifest.Routes {
			all[i.Name] = i.Version
		}
	}
	return all
}

// Usable is how many hosts of a service this router may use as far as control has told.
func (f *Fairway) Usable(service string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.board.Hosts(service) {
		if h.Health == rules.Ready {
			n++
		}
	}
	return n
}

// tidy lets hosts go that have been silent for long.
func (f *Fairway) tidy() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if services := f.board.Tidy(f.clock()); len(services) > 0 {
		f.publish(lanes.Changes{Services: services})
	}
}

// tick looks whether this router is short, and writes the counters now and then.
func (f *Fairway) tick() {
	t := time.NewTicker(time.Duration(lanes.LookEvery))
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-t.C:
		case <-f.ctx.Done():
			return
		}
		f.look()
		h := &f.handed
		if short := f.short.Look(int(h.all.Swap(0)), int(h.away.Swap(0)), int(h.over.Swap(0))); f.lent.Swap(short) != short {
			klog.InfoS("short of room in the zone", "is", short)
			f.tellSelf()
		}
		if n%20 == 0 {
			f.tidy()
			f.Log()
		}
	}
}

// Log writes the counters on one line.
func (f *Fairway) Log() {
	f.mu.Lock()
	hosts := len(f.board.Known)
	f.mu.Unlock()
	v := f.view.Load()
	klog.InfoS("counters", "open", f.open.Load(), "routers", v.count, "rank", v.rank, "hosts", hosts, "routes", len(v.chart.Routes),
		"counts", f.counts.String())
}
