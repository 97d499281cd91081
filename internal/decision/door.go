// Package decision decides what a router does with its commands and how it votes on builds.
// This file is its interface: what comes in, what goes out, and the tables from ids to objects.
package decision

import (
	"cmp"
	"slices"
)

// Repeat tells whether a band's commands may run again.
type Repeat uint8

const (
	Replayable Repeat = iota // may run again
	Referenced               // carries a mark by which its group of hosts knows a repeat
	SingleUse                // must never run twice
)

// Group is the set of hosts that drops a referenced command's repeats.
type Group uint8

const (
	AllHosts Group = iota
	SameZone
	SameCell
)

// Gate is how votes move a build.
type Gate uint8

const (
	AnyOne Gate = iota // one vote is enough
	Share              // a share of the routers must stand for it
	Clock              // stages move on by themselves unless held
)

// Verdict is what a vote says.
type Verdict uint8

const (
	NoVote Verdict = iota
	On
	Hold
	Back
)

func (v Verdict) String() string { return [...]string{"none", "on", "hold", "back"}[v] }

// Standing is where a build is.
type Standing uint8

const (
	OnTrial Standing = iota
	GoingBack
	Released
	Withdrawn
)

// Ending is how a hand-off or a call ended.
type Ending uint8

const (
	Fulfilled  Ending = iota
	Failed            // the host answered with an error: it may have run
	TurnedAway        // the host's queue was full: it never ran
	TimedOut          // no answer in time: it may have run
	NoConnect         // no connection: it never ran
	Reset             // the connection broke: it may have run
	Recalled          // called off: it may have run
	Unsent            // never left: it never ran
	Spoilt            // what came is no answer: it may have run
)

// Health is a host's state on the list.
type Health uint8

const (
	Ready Health = iota
	Draining
	Gone
)

// Form is how a list of hosts is to be read.
type Form uint8

const (
	Changes Form = iota
	Whole
	Cached
	CallFailed
)

// Band is one band of commands.
type Band struct {
	Contract, CutOff   int64 // times from the client's first try
	Repeat             Repeat
	Group              Group
	Memory             int64 // how long repeats are dropped, from the first sending
	Importance, LateOf float64
}

// Guess is how long its answers are taken to need before any has come, nanoseconds.
func (b Band) Guess() float64 { return float64(b.Contract) / 5 }

// Carrier is one customer and the rate that it may ask for.
type Carrier struct{ PerSecond float64 }

// Settings are what a router is told when it starts.
type Settings struct {
	Rank, Routers int
	Bands         []Band
	Carriers      []Carrier
	OverShare     float64 // what a command beyond its carrier's share is worth
	Tick          int64   // the shortest time between two calls
	Subscribe     bool    // the list must be asked for
	AskEvery      int64   // within so long discovery expects one call of each router
	Most          int     // commands that can be open at once, 0 for any number
	MaxHandOffs   int
	Copies        bool // two hand-offs at once are allowed
	Recalls       bool
	Peers         bool
	Mixed         bool    // bands' contracts differ widely: the pressure goes by their mean over the commands
	Certain       bool    // waiting is cheap: a build is let on only once its states are surely under the threshold
	Patient       bool    // a host that works is left to it until the cut-off
	AgainSlack    float64 // what all routers may hand off again at once, 0 for a usual number at each
	MaxAdvice     int64
	Gate          Gate
	OnVotes       int
	BackVotes     int
	HoldVotes     int
	VoteLife      int64
	VoteWait      int64
	Free          float64 // exposure: hand-offs beyond the cap
	FreeOfAll     float64 // the same for all routers together, 0 where Free says it for each
	FirstCap      float64
	CapByBand     bool
	Beside        bool // the earlier hosts stay until the release
	Guarded       int  // so many first stages take replayable commands only
	KeysStay      bool
	FlagShare     float64 // part of the wrong answers that is reported
	ColdFrom      float64
	ColdFor       int64
	FallMultiple  float64  // what topples a cold host, over what it can do
	Reports       []Report // what the values of a load report are
}

// Report is one value of a host's load report.
type Report uint8

const (
	Unknown  Report = iota
	Holding         // commands in work
	Waiting         // commands that wait
	Busy            // part of the cores in use
	MeanTime        // recent time of service, milliseconds
)

// Command is a client's command as it comes in.
type Command struct {
	ID      uint32
	Band    int
	Carrier int
	Key     uint64
	Left    int64    // until the client gives up this try
	Hint    int64    // expected work, 0 for none
	Most    int      // hand-offs that it may have, 0 for as many as the settings say
	May     Question // asked about each host that it might go to, nil for none
}

// Question tells whether a command may go to a host now.
type Question interface{ May(host uint32) bool }

// Listed is a host as the list shows it.
type Listed struct {
	ID      uint32
	Zone    int
	Kind    int
	Cell    int
	Health  Health
	Build   int
	Size    float64
	Started int64
	Ring    int // how far it is from this router: nearer hosts that have room go first
}

// News is what the platform says about the newest build.
type News struct {
	Build    int
	Stage    int
	Standing Standing
	Reply    bool // it answers a vote
	Ending   CallEnding
	Cap      float64
	Age      int64
}

// CallEnding is how a vote's call ended.
type CallEnding uint8

const (
	Counts CallEnding = iota
	Moot
	CallsFull
	CallError
	CallSilent // no answer: it may count
)

// Effects is what a router can do.
type Effects interface {
	HandOff(command, host uint32, until int64)
	Dismiss(command uint32, wait int64)
	Scrap(command uint32)
	Recall(command uint32, number int)
	Vote(v Verdict, build, stage int)
	Tell(peer int, message []byte)
	Wake(after int64, mark uint64)
	Close(host uint32) // its idle connections
	Watch(on bool)
	Note(text string)
}

// Router is one instance. It is not safe for use by two goroutines.
type Router struct {
	*decider
	commands map[uint32]*command
	hosts    map[uint32]*host
}

// New makes a router; nothing is decided before the first call.
func New(s Settings, seed uint64, now int64, out Effects) *Router {
	r := &Router{decider: newDecider(s, seed, out), commands: map[uint32]*command{}, hosts: map[uint32]*host{}}
	r.now = now
	r.begin()
	r.settle()
	return r
}

// Take hands in a command. One of a band that is not known is dismissed: what nobody looks at again must not be held.
func (r *Router) Take(now int64, in Command) {
	if _, held := r.commands[in.ID]; held {
		return
	}
	if in.Band < 0 || in.Band >= len(r.bands) {
		r.out.Dismiss(in.ID, r.advice())
		return
	}
	b := r.bands[in.Band]
	c := &command{id: in.ID, band: b, carrier: in.Carrier, key: in.Key, hint: in.Hint, at: now, may: in.May, most: cmp.Or(in.Most, r.set.MaxHandOffs),
		cutOff: now + in.Left, contract: now + b.Contract}
	r.commands[in.ID] = c
	r.now = now
	r.take(c)
	r.settle()
	r.forget(c)
}

// Ended tells how a hand-off ended; over says that the command needs no answer any more.
func (r *Router) Ended(now int64, id uint32, number int, e Ending, over bool, took int64, report []float64) {
	c := r.commands[id]
	if c == nil || number < 0 || number >= len(c.handOffs) || c.handOffs[number].ended {
		return
	}
	r.now = now
	c.handOffs[number].ended = true
	c.out--
	r.ended(c, c.handOffs[number], e, over, took, report)
	r.settle()
	r.forget(c)
}

// Begun tells that a streamed answer has begun.
func (r *Router) Begun(now int64, id uint32, number int) {
	if c := r.commands[id]; c != nil && number >= 0 && number < len(c.handOffs) {
		r.now = now
		c.streams = true // the client's now, without a cut-off
		r.queue.Remove(c.due)
		c.handOffs[number].host.waiting = now
	}
}

// Left tells that the client has gone.
func (r *Router) Left(now int64, id uint32) {
	if c := r.commands[id]; c != nil {
		r.now = now
		r.close(c)
		r.settle()
		r.forget(c)
	}
}

// advice is after how long a command that is dismissed may come again: about as long as a queue takes to drain.
func (d *decider) advice() int64 { return min(d.set.MaxAdvice, second/4) }

// forget drops a command once nothing is owed or out.
func (r *Router) forget(c *command) {
	if c.over && c.out == 0 {
		delete(r.commands, c.id)
	}
}

// List brings the list of hosts, or its changes.
func (r *Router) List(now int64, form Form, entries []Listed) {
	r.now = now
	if form == CallFailed {
		r.listFailed()
		r.settle()
		return
	}
	r.unheard = 0
	if form != Changes { // what a whole list does not name is gone
		for _, h := range r.fleet {
			if !slices.ContainsFunc(entries, func(e Listed) bool { return e.ID == h.id }) {
				entries = append(entries[:len(entries):len(entries)], Listed{ID: h.id, Health: Gone, Build: h.build,
					Size: h.size, Started: h.started})
			}
		}
	}
	for _, e := range entries {
		h := r.hosts[e.ID]
		if h == nil {
			h = &host{id: e.ID, health: Gone}
			r.hosts[e.ID] = h
		}
		r.show(h, e)
		h.zone, h.kind, h.cell, h.health, h.build, h.started, h.ring = e.Zone, e.Kind, e.Cell, e.Health, e.Build, e.Started, e.Ring
		if h.size = e.Size; !(h.size > 1e-3 && h.size < 1e6) { // no size that can be reckoned with
			h.size = 1
		}
	}
	r.fleet = r.fleet[:0]
	for id, h := range r.hosts {
		if h.health == Gone { // its hand-offs keep it as long as they are out
			delete(r.hosts, id)
			continue
		}
		r.fleet = append(r.fleet, h)
	}
	slices.SortFunc(r.fleet, func(a, b *host) int { return cmp.Compare(a.id, b.id) })
	r.loose()
	r.survey()
	r.settle()
}

// loose replaces single ties by one for all keys once a build is released and no host of an earlier one is left.
func (r *Router) loose() {
	if r.news.Standing == GoingBack || r.news.Standing == Withdrawn {
		r.floor = min(r.floor, r.news.Build-1)
	}
	if r.news.Standing != Released || !r.set.KeysStay || len(r.fleet) == 0 {
		return
	}
	oldest := slices.MinFunc(r.fleet, func(a, b *host) int { return cmp.Compare(a.build, b.build) }).build
	floor := max(r.floor, min(oldest, r.news.Build))
	if r.news.Build < floor { // builds are counted anew
		floor = 0
	}
	if floor != r.floor { // none is added up to it
		r.floor = floor
		r.stuck.untie(floor)
	}
}

// Numbered tells how many routers there are now and which of them this one is: 0 <= rank < routers.
func (r *Router) Numbered(now int64, rank, routers int) {
	if rank >= 0 && rank < routers {
		r.now = now
		r.set.Rank, r.set.Routers = rank, routers
		if r.set.AgainSlack > 0 {
			r.again.top = r.set.AgainSlack / float64(routers)
			r.again.add(0)
		}
		if r.set.FreeOfAll > 0 {
			r.exposed.top = r.set.FreeOfAll / float64(routers)
			r.exposed.add(0)
		}
	}
}

// Append adds a band while the router runs, as settings that change do, and tells its number.
func (r *Router) Append(b Band) int {
	r.bands = append(r.bands, r.row(b))
	if r.mean == 0 { // none was known before
		r.mean = b.Guess()
	}
	return len(r.bands) - 1
}

// Judged is what a router goes by when it judges the newest build. The first of each pair is of failures, the second of
// times; all are pooled over the routers as far as gossip has brought them.
type Judged struct {
	Outcomes  [2]float64 // of the build's hand-offs, of the last seconds
	Excess    [2]float64 // the state for each outcome: how much worse than the earlier build
	Error     [2]float64 // its standard error
	Threshold [2]float64 // over which, by more than some errors, a build goes back
	Left      float64    // hand-offs that this router may still give to the build at once
}

// Judged tells what this router goes by now.
func (r *Router) Judged() (j Judged) {
	for k := range r.state {
		j.Outcomes[k], j.Threshold[k] = r.count[k]*r.company, threshold[k]
		j.Excess[k], j.Error[k] = r.excess(k)
	}
	j.Left = r.exposed.have
	return j
}

// Hear brings news of the newest build.
func (r *Router) Hear(now int64, n News) {
	r.now = now
	r.hear(n)
	r.loose()
	r.settle()
}

// Flagged tells that a client found an answer of this host wrong, and how long ago it was handed off.
func (r *Router) Flagged(now int64, id uint32, band int, age int64) {
	if h := r.hosts[id]; h != nil && band >= 0 && band < len(r.bands) {
		r.now = now
		r.flagged(h)
		r.settle()
	}
}

// Woken tells that the wake-up of this mark has come.
func (r *Router) Woken(now int64, mark uint64) {
	r.now = now
	r.woken(mark)
	r.settle()
	for _, c := range r.gone {
		r.forget(c)
	}
	r.gone = r.gone[:0]
}

// Heard brings a peer's message; one that is not of the right length or holds impossible numbers is ignored.
func (r *Router) Heard(now int64, peer int, raw []byte) {
	if build, figures, ok := r.decode(raw); ok && peer >= 0 && peer < r.set.Routers && peer != r.set.Rank {
		r.now = now
		r.heard(build, figures)
		r.settle()
	}
}
