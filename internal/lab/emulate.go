package lab

import (
	"math"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/random"
	"portflow/internal/retryguard"
	"portflow/internal/standin"
)

// emulation plays an experiment in virtual time: the program's reducers, rules and guards, and models around them.
type emulation struct {
	Storm
	timeline
	book    *book
	draw    random.Source
	nodes   []*emulated
	hosts   []*host
	effects standin.Effects
	busy    []uint64 // clients that wait for an answer, a bit each
	tries   map[string]*try
	serial  int
	backs   int
}

// emulated is a router.
type emulated struct {
	*emulation
	stepped
	rank  int
	guard *retryguard.Guard
}

type host struct {
	*standin.Machine
	name    string
	start   int64
	build   int
	goes    bool // with the outage
	life    int
	sending []*sending
}

type try struct {
	*command
	client int
	sent   int64
	node   *emulated
	taken  *dispatch.Command
	over   bool
}

// Emulate plays an experiment in virtual time.
func Emulate(s Storm) (Result, error) {
	if err := s.check(); err != nil {
		return Result{}, err
	}
	began := time.Now()
	e := &emulation{Storm: s, book: newBook(s), draw: random.Source{Seed: s.Seed}, busy: make([]uint64, s.Clients/64+1),
		effects: standin.Effects{Memory: 2e9}, tries: map[string]*try{}}
	for i := range s.Hosts {
		h := &host{Machine: s.machine(), name: "h" + strconv.Itoa(i), build: 1, goes: s.Kind == "hosts" || s.Kind == "half" && i%2 == 0}
		if s.Trial && i%5 == 4 {
			h.build = 2
		}
		h.Start(0, true)
		e.hosts = append(e.hosts, h)
	}
	for rank := range s.Routers {
		g, spy, err := s.guard(rank, 0)
		if err != nil {
			return Result{}, err
		}
		n := &emulated{emulation: e, rank: rank, guard: spy}
		n.stepped.timeline = &e.timeline
		n.router = dispatch.New(func() int64 { return e.now + 1 }, zerolog.Nop())
		news := decision.News{Build: 1, Standing: decision.Released, Cap: 1, Age: 60e9}
		if s.Trial {
			news = decision.News{Build: 2, Stage: 1, Standing: decision.OnTrial, Cap: 0.4}
		}
		n.router.Begin(dispatch.Start{Settings: s.settings(rank), Seed: s.Seed*77 + uint64(rank), Storm: g,
			List: dispatch.List{Form: decision.Whole, Hosts: e.list(true)}, News: dispatch.News{News: news}},
			dispatch.Out{Hosts: n, Platform: n, Peers: n, List: n})
		n.pump()
		e.nodes = append(e.nodes, n)
	}
	e.script()
	e.arrive()
	e.measure()
	e.run(s.end())
	r := e.book.result()
	noticed := make([]int64, len(e.nodes))
	for i, n := range e.nodes {
		if n.guard != nil {
			noticed[i] = n.guard.Stats.Noticed
		}
	}
	e.book.noticed(&r, noticed)
	r.Duplicates, r.Backs = e.effects.Twice, e.backs
	for _, h := range e.hosts {
		if h.Fallen {
			r.Fallen++
		}
	}
	r.Seconds = time.Since(began).Seconds()
	return r, nil
}

// script plays what goes and returns. Hosts that died return cold, one after another within a second.
func (e *emulation) script() {
	outage := func(at int64) {
		switch e.Kind {
		case "hosts", "half":
			e.after(at, func() {
				for _, h := range e.hosts {
					if h.goes {
						h.end()
					}
				}
			})
			for i, h := range e.hosts {
				if h.goes {
					e.after(at+int64(e.Outage)+int64(i)*1e9/int64(len(e.hosts)), func() {
						h.life++
						h.start = e.now + 1
						h.Start(e.now, false)
					})
				}
			}
			e.after(at+int64(e.Outage)+1e9, func() { e.tell(true) })
		case "list":
			e.after(at, func() { e.tell(false) })
			e.after(at+int64(e.Outage), func() { e.tell(true) })
		}
	}
	outage(int64(e.Calm))
	if e.Again {
		outage(int64(e.Calm+e.Outage) + 3e9)
	}
}

// tell sends all routers the list, each some moments later.
func (e *emulation) tell(whole bool) {
	for _, n := range e.nodes {
		e.after(int64(e.draw.Next()*3e8), func() {
			n.router.Post(dispatch.List{Form: decision.Changes, Hosts: e.list(whole)})
			n.pump()
		})
	}
}

func (e *emulation) list(there bool) (all []dispatch.Host) {
	for _, h := range e.hosts {
		x := dispatch.Host{Name: h.name, Address: h.name, Build: h.build, Size: 1, Started: h.start}
		if !there {
			x.Health = decision.Gone
		}
		all = append(all, x)
	}
	return all
}

// arrive plays the clients' commands: a Poisson stream from all clients that don't wait for an answer.
func (e *emulation) arrive() {
	rate := e.rate()
	in := e.now >= int64(e.Calm) && e.now < int64(e.Calm+e.Outage)
	if e.Kind == "carrier" && in {
		rate *= 2
	}
	e.after(int64(-math.Log(1-e.draw.Next())/rate*1e9), func() {
		client := int(e.draw.Next() * float64(e.Clients))
		if e.busy[client/64]>>(client%64)&1 == 0 {
			c := e.next(e.now, client, &e.draw)
			if !(e.Kind == "carrier" && in && c.carrier != e.Carrier && e.draw.Next() < 0.5) { // only its traffic doubles
				e.busy[client/64] |= 1 << (client % 64)
				e.ask(c, client)
			}
		}
		e.arrive()
	})
}

// measure adds up what the hosts that went can do.
func (e *emulation) measure() {
	for _, h := range e.hosts {
		if h.goes || e.Kind == "list" || e.Kind == "carrier" || e.Kind == "none" {
			put(e.book.capacity, e.now, h.Capacity(e.now))
		}
	}
	e.after(int64(step), e.measure)
}

// ask sends one try to the client's router.
func (e *emulation) ask(c *command, client int) {
	e.serial++
	rank := client % e.Routers
	if e.Busy && client%10 != 0 {
		rank = 0
	}
	t := &try{command: c, client: client, sent: e.now, node: e.nodes[rank]}
	patient := int64(c.habit.Patience * float64(bands[c.band].CutOff))
	e.book.asked(e.now, c)
	trace := strconv.Itoa(e.serial)
	e.tries[trace] = t
	t.taken = &dispatch.Command{Band: c.band, Carrier: c.carrier, Key: c.key, CutOff: e.now + patient, Again: c.habit.Marks && c.tries > 1,
		Request: &dispatch.Request{Trace: trace, Mark: c.mark}, Answer: t}
	t.node.router.Post(dispatch.Taken{Command: t.taken})
	t.node.pump()
	e.after(patient+50e6, func() {
		if !t.over {
			t.over = true
			e.book.told(e.now, t.sent, c, false, false)
			t.node.router.Post(dispatch.Left{Command: t.taken})
			t.node.pump()
			e.again(t, 0)
		}
		delete(e.tries, trace)
	})
}

// Give gets the router's final answer.
func (t *try) Give(a dispatch.Answer) {
	e := t.node.emulation
	e.after(5e5, func() {
		if t.over {
			return
		}
		t.over = true
		e.book.told(e.now, t.sent, t.command, a.Kind == dispatch.Fulfilled, true)
		if a.Kind == dispatch.Fulfilled {
			e.busy[t.client/64] &^= 1 << (t.client % 64)
			return
		}
		e.again(t, int64(a.Wait))
	})
}

func (e *emulation) again(t *try, told int64) {
	wait, again := t.habit.Next(t.command.tries-1, told, e.draw.Next())
	if !again {
		e.busy[t.client/64] &^= 1 << (t.client % 64)
		return
	}
	e.after(wait, func() { e.ask(t.command, t.client) })
}

// sending is a hand-off on its way.
type sending struct {
	node       *emulated
	done       func(dispatch.Outcome)
	sent, over bool
	host       *host
}

func (s *sending) end(o dispatch.Outcome) {
	if s.over {
		return
	}
	s.over = true
	if h := s.host; h != nil {
		for i, x := range h.sending {
			if x == s {
				h.sending[i] = h.sending[len(h.sending)-1]
				h.sending = h.sending[:len(h.sending)-1]
				break
			}
		}
	}
	s.done(o)
}

// ended ends it from outside the router.
func (s *sending) ended(o dispatch.Outcome) {
	if !s.over {
		s.end(o)
		s.node.pump()
	}
}

func (s *sending) Recall() { s.end(dispatch.Outcome{Ending: decision.Recalled}) }
func (s *sending) Revoke() {
	if !s.sent {
		s.end(dispatch.Outcome{Ending: decision.Unsent})
	}
}

func (h *host) end() {
	h.Stop()
	h.life++
	for len(h.sending) > 0 {
		h.sending[0].ended(dispatch.Outcome{Ending: decision.Reset})
	}
}

func (n *emulated) HandOff(to dispatch.Host, r *dispatch.Request, left time.Duration, done func(dispatch.Outcome)) dispatch.HandOff {
	s := &sending{node: n, done: done}
	t := n.tries[r.Trace]
	n.after(int64(left), func() { s.ended(dispatch.Outcome{Ending: decision.TimedOut}) })
	n.after(3e5, func() {
		if s.over {
			return
		}
		i, err := strconv.Atoi(to.Address[min(1, len(to.Address)):])
		if err != nil || i >= len(n.hosts) || !n.hosts[i].Up {
			s.ended(dispatch.Outcome{Ending: decision.NoConnect})
			return
		}
		h := n.hosts[i]
		s.sent, s.host = true, h
		need := t.work(&n.draw)
		if h.goes || n.Kind != "half" {
			n.book.came(n.now, need)
		}
		if t.mark != "" && !n.effects.Run(n.now, t.mark, r.Trace) {
			need = 1e6 // the repeat is known
		}
		at, ok := h.Arrive(n.now, need)
		if !ok {
			s.ended(dispatch.Outcome{Ending: decision.TurnedAway})
			return
		}
		h.sending = append(h.sending, s)
		life := h.life
		n.after(at-n.now+3e5, func() {
			if h.life == life {
				s.ended(dispatch.Outcome{Ending: decision.Fulfilled})
			}
		})
	})
	return s
}

func (n *emulated) Close(string)  {}
func (n *emulated) Forget(string) {}
func (n *emulated) Watch(bool)    {}

// Vote answers a vote with the build as it stands.
func (n *emulated) Vote(v decision.Verdict, build, stage int) {
	if v == decision.Back {
		n.backs++
	}
	n.post(2e6, dispatch.News{News: decision.News{Build: build, Stage: stage, Standing: decision.OnTrial, Reply: true, Cap: 0.4}})
}

// Tell carries a message, of which one in fifty is lost.
func (n *emulated) Tell(peer int, message []byte) {
	if n.draw.Next() < 0.02 {
		return
	}
	n.nodes[peer].post(2e6, dispatch.Heard{Peer: n.rank, Message: message})
}
