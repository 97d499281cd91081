// Package dispatch is the reducer of a router on sockets: one goroutine owns the decision module, the ids and the
// open commands. Typed events come in; the effects that the module asks for are carried out elsewhere and never
// make it wait.
package dispatch

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
	"portflow/internal/retryguard"
)

// HandOff is one that is on its way.
type HandOff interface {
	Recall() // ends it, also where it has been sent
	Revoke() // ends it where it has not been sent yet
}

// Hosts carries out hand-offs.
type Hosts interface {
	HandOff(to Host, r *Request, left time.Duration, done func(Outcome)) HandOff
	Close(address string)  // its idle connections
	Forget(address string) // it takes no further hand-offs
}

// Platform takes votes; each gets a News in reply.
type Platform interface {
	Vote(v decision.Verdict, build, stage int)
}

// Peers carries messages between routers.
type Peers interface {
	Tell(peer int, message []byte)
}

// Watcher asks for the list's changes where that is the router's to do.
type Watcher interface{ Watch(on bool) }

// Guard is asked before a command goes to the module; *storm.Guard is one. It is told all that became of commands.
type Guard interface {
	Take(now int64, t *retryguard.Try) (in bool, wait int64)
	HandedOff(now int64, t *retryguard.Try, number int)
	Dismissed(now int64, t *retryguard.Try, wait int64) int64
	Unserved(now int64, t *retryguard.Try)
	Ended(now int64, t *retryguard.Try, host uint32, s retryguard.Sign, fulfilled bool, took int64)
	List(now int64, whole bool, hosts []retryguard.Host)
}

// Out are those who carry out the effects.
type Out struct {
	Hosts    Hosts
	Platform Platform
	Peers    Peers
	List     Watcher
}

// Router is the reducer.
type Router struct {
	log    zerolog.Logger
	clock  Clock
	out    Out
	module *decision.Router
	guard  Guard // nil where that part is off

	commands map[uint32]*Command
	lastID   uint32
	hosts    map[uint32]Host // as they are listed now
	names    map[string]uint32
	lastHost uint32

	ordinary, urgent chan Event
	wakeAt           int64 // when the latest wake-up is due, 0 for none
	mark             uint64
	stopped          chan struct{}
}

// backlog bounds the events that wait: more than a router's open connections can bring at once.
const backlog = 4096

// New makes a router that waits for Run; what is posted before then is kept.
func New(clock Clock, log zerolog.Logger) *Router {
	return &Router{log: log, clock: clock, commands: map[uint32]*Command{}, hosts: map[uint32]Host{},
		names: map[string]uint32{}, ordinary: make(chan Event, backlog), urgent: make(chan Event, backlog),
		stopped: make(chan struct{})}
}

// Post tells an event. The list, news, reports and peers' messages do not queue behind commands. A band does: its own
// commands, posted after it, must not overtake it, and one that waits on another queue may be overtaken.
func (r *Router) Post(e Event) {
	queue := r.ordinary
	switch e.(type) {
	case List, News, Flagged, Heard, Number:
		queue = r.urgent
	}
	select {
	case queue <- e:
	case <-r.stopped:
	}
}

// Start is what a router is told before its first event.
type Start struct {
	Settings decision.Settings
	Seed     uint64
	List     List
	News     News
	Storm    Guard // nil for none
}

// Begin starts the module. Run does it; who steps a router by hand does so once, before the first Step.
func (r *Router) Begin(s Start, out Out) {
	r.out, r.guard = out, s.Storm
	r.module = decision.New(s.Settings, s.Seed, r.clock(), effects{r})
	s.List.apply(r)
	s.News.apply(r)
}

// Judged is what the module goes by when it judges the newest build. It is for those who carry out an effect, in the midst
// of it: nobody else may ask while the router runs.
func (r *Router) Judged() decision.Judged { return r.module.Judged() }

// Due is when the router wants to be stepped though no event comes, 0 for never.
func (r *Router) Due() int64 { return r.wakeAt }

// Step plays the wake-up that is due, or else applies one event that waits; false says that there is neither.
func (r *Router) Step() bool {
	if now := r.clock(); r.wakeAt != 0 && now >= r.wakeAt {
		r.wakeAt = 0
		r.module.Woken(now, r.mark)
		return true
	}
	select {
	case e := <-r.urgent:
		e.apply(r)
		return true
	default:
	}
	select {
	case e := <-r.urgent:
		e.apply(r)
	case e := <-r.ordinary:
		e.apply(r)
	default:
		return false
	}
	return true
}

// Run starts the module and applies events until the context ends.
func (r *Router) Run(ctx context.Context, s Start, out Out) {
	defer close(r.stopped)
	r.Begin(s, out)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		if r.Step() {
			continue
		}
		if r.wakeAt != 0 {
			timer.Reset(time.Duration(r.wakeAt - r.clock()))
		}
		select {
		case e := <-r.urgent:
			e.apply(r)
		case e := <-r.ordinary:
			e.apply(r)
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

func (e Taken) apply(r *Router) {
	c, now := e.Command, r.clock()
	if c.over { // its client left before
		return
	}
	if r.guard != nil {
		c.try = retryguard.Try{Band: c.Band, Carrier: c.Carrier, Marked: c.Again, Left: c.CutOff - now,
			Print: retryguard.Print(c.Band, c.Carrier, c.Key, c.Request.Mark)}
		if in, wait := r.guard.Take(now, &c.try); !in { // the module never hears of it: nothing was handed off
			c.answer(Answer{Kind: Dismissed, Wait: time.Duration(wait)})
			return
		}
	}
	r.lastID++
	c.id = r.lastID
	r.commands[c.id] = c
	r.module.Take(now, decision.Command{ID: c.id, Band: c.Band, Carrier: c.Carrier, Key: c.Key, Left: max(0, c.CutOff-now),
		Most: c.Most, May: r.may(c)})
	r.forget(c)
}

// may asks the command's maker about a host, where there is one to ask.
func (r *Router) may(c *Command) decision.Question {
	if c.May == nil {
		return nil
	}
	return question{r, c}
}

type question struct {
	router  *Router
	command *Command
}

func (q question) May(host uint32) bool { return q.command.May(q.router.hosts[host]) }

func (e Left) apply(r *Router) {
	c := e.Command
	if c.over {
		return
	}
	c.finish()
	now := r.clock()
	if r.guard != nil && c.id != 0 {
		r.guard.Unserved(now, &c.try)
	}
	r.module.Left(now, c.id)
	r.forget(c)
}

func (e Streams) apply(r *Router) {
	if !e.Command.over {
		r.module.Begun(r.clock(), e.Command.id, len(e.Command.handOffs)-1)
		Left(e).apply(r)
	}
}

func (e Ended) apply(r *Router) {
	c := e.Command
	c.out--
	if e.Outcome.Ending == decision.Fulfilled && !c.over {
		c.answer(Answer{Kind: Fulfilled, Body: e.Outcome.Body, Reply: e.Outcome.Reply})
	}
	c.reply = e.Outcome.Reply
	now, h := r.clock(), c.handOffs[e.Number]
	if r.guard != nil {
		r.guard.Ended(now, &c.try, h.host, signs[e.Outcome.Ending], e.Outcome.Ending == decision.Fulfilled, now-h.at)
	}
	r.module.Ended(now, c.id, e.Number, e.Outcome.Ending, c.over, now-h.at, e.Outcome.Report)
	r.forget(c)
}

// signs are what hand-offs' endings say of their hosts.
var signs = [...]retryguard.Sign{decision.Fulfilled: retryguard.Answered, decision.Failed: retryguard.Answered, decision.Spoilt: retryguard.Answered,
	decision.TurnedAway: retryguard.Refused, decision.NoConnect: retryguard.Broken, decision.Reset: retryguard.Broken,
	decision.TimedOut: retryguard.Silent, decision.Recalled: retryguard.Unsent, decision.Unsent: retryguard.Unsent}

// answer gives the final answer; what has not been sent to a host by then never is.
func (c *Command) answer(a Answer) {
	c.finish()
	c.Answer.Give(a)
}

func (c *Command) finish() {
	c.over = true
	for _, h := range c.handOffs {
		h.sent.Revoke()
	}
}

func (r *Router) forget(c *Command) {
	if c.over && c.out == 0 {
		delete(r.commands, c.id)
	}
}

// apply gives each host that appears an id. One that returns with another address, start or build is a new host, and
// the one that it was is gone.
func (e List) apply(r *Router) {
	entries := make([]decision.Listed, 0, len(e.Hosts))
	listed := make(map[string]bool, len(e.Hosts))
	for _, h := range e.Hosts {
		listed[h.Name] = true
		id, known := r.names[h.Name]
		was := r.hosts[id]
		if known && (h.Health == decision.Gone || was.Address != h.Address || was.Build != h.Build || was.Started != h.Started) {
			entries = append(entries, r.lose(h.Name))
			known = false
		}
		if h.Health == decision.Gone {
			continue
		}
		if !known {
			r.lastHost++
			id = r.lastHost
			r.names[h.Name] = id
		}
		r.hosts[id] = h
		entries = append(entries, decision.Listed{ID: id, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, Health: h.Health,
			Build: h.Build, Size: h.Size, Started: h.Started, Ring: h.Ring})
	}
	if e.Form == decision.Whole {
		for name := range r.names {
			if !listed[name] {
				entries = append(entries, r.lose(name))
			}
		}
	}
	now := r.clock()
	if r.guard != nil {
		known := make([]retryguard.Host, len(entries))
		for i, x := range entries {
			known[i] = retryguard.Host{ID: x.ID, Ready: x.Health == decision.Ready, Size: x.Size, Started: x.Started}
		}
		r.guard.List(now, e.Form == decision.Whole, known)
	}
	r.module.List(now, e.Form, entries)
}

// lose forgets a host.
func (r *Router) lose(name string) decision.Listed {
	id := r.names[name]
	h := r.hosts[id]
	r.out.Hosts.Forget(h.Address)
	delete(r.names, name)
	delete(r.hosts, id)
	return decision.Listed{ID: id, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, Health: decision.Gone, Build: h.Build, Size: h.Size,
		Started: h.Started}
}

func (e News) apply(r *Router) { r.module.Hear(r.clock(), e.News) }

func (e Band) apply(r *Router) { r.module.Append(e.Band) }

func (e Number) apply(r *Router) { r.module.Numbered(r.clock(), e.Rank, e.Routers) }

func (e Flagged) apply(r *Router) {
	if id, ok := r.names[e.Host]; ok {
		r.module.Flagged(r.clock(), id, e.Band, e.Age)
	}
}

func (e Heard) apply(r *Router) { r.module.Heard(r.clock(), e.Peer, e.Message) }

// effects are the module's; they are carried out at once where nothing can wait, and else by those in Out.
type effects struct{ *Router }

func (r effects) HandOff(command, host uint32, until int64) {
	c, now := r.commands[command], r.clock()
	number := len(c.handOffs)
	if r.guard != nil {
		r.guard.HandedOff(now, &c.try, number)
	}
	c.out++
	c.handOffs = append(c.handOffs, handOff{at: now, host: host})
	c.handOffs[number].sent = r.out.Hosts.HandOff(r.hosts[host], c.Request, time.Duration(until-now),
		func(o Outcome) { r.Post(Ended{c, number, o}) })
}

func (r effects) Dismiss(command uint32, wait int64) {
	if r.guard != nil {
		wait = r.guard.Dismissed(r.clock(), &r.commands[command].try, wait)
	}
	r.end(command, Answer{Kind: Dismissed, Wait: time.Duration(wait)})
}

func (r effects) Scrap(command uint32) {
	if r.guard != nil {
		r.guard.Unserved(r.clock(), &r.commands[command].try)
	}
	r.end(command, Answer{Kind: Scrapped, Reply: r.commands[command].reply})
}

// end may come with any event, and not only with the command's own.
func (r effects) end(command uint32, a Answer) {
	c := r.commands[command]
	c.answer(a)
	r.forget(c)
}

func (r effects) Recall(command uint32, number int) {
	r.commands[command].handOffs[number].sent.Recall()
}

func (r effects) Vote(v decision.Verdict, build, stage int) { r.out.Platform.Vote(v, build, stage) }

func (r effects) Tell(peer int, message []byte) { r.out.Peers.Tell(peer, message) }

func (r effects) Wake(after int64, mark uint64) { r.wakeAt, r.mark = r.clock()+after, mark }

func (r effects) Close(host uint32) { r.out.Hosts.Close(r.hosts[host].Address) } // of none if it is gone

func (r effects) Watch(on bool) { r.out.List.Watch(on) }

func (r effects) Note(text string) { r.log.Info().Msg(text) }
