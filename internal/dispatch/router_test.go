package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
	"portflow/internal/retryguard"
)

// field is all that is around a router: it keeps what was asked for.
type field struct {
	mu        sync.Mutex // a wait for the reducer orders its writes before the test's reads, and not the other way
	sent      []*sending
	forgotten []string
	votes     int
	asked     chan bool // gets one for each hand-off
}

type sending struct {
	address           string
	done              func(Outcome)
	recalled, revoked bool
	over              bool
}

func (f *field) all() []*sending {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sent)
}

func (s *sending) Recall() { s.recalled = true }
func (s *sending) Revoke() { s.revoked = true }

func (f *field) HandOff(to Host, r *Request, left time.Duration, done func(Outcome)) HandOff {
	s := &sending{address: to.Address, done: done}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, s)
	return s
}
func (f *field) Close(string)                    {}
func (f *field) Forget(address string)           { f.forgotten = append(f.forgotten, address) }
func (f *field) Vote(decision.Verdict, int, int) { f.votes++ }
func (f *field) Tell(int, []byte)                {}
func (f *field) Watch(bool)                      {}

func start() Start {
	second := int64(time.Second)
	return Start{Seed: 1, Settings: decision.Settings{Routers: 1, Tick: 1e6, MaxHandOffs: 3, Copies: true, Recalls: true,
		Bands: []decision.Band{{Contract: second, CutOff: 2 * second, Importance: 1}}, Carriers: []decision.Carrier{{PerSecond: 1e6}},
		FallMultiple: 4, ColdFor: second, ColdFrom: 0.3, VoteLife: second, Free: 2},
		List: List{Form: decision.Cached, Hosts: []Host{{Name: "a", Address: "a:1", Size: 1}, {Name: "b", Address: "b:1", Size: 1}}},
		News: News{decision.News{Standing: decision.Released, Cap: 1}}}
}

// play runs a router beside the test, in time that only passes where all wait.
func play(t *testing.T, act func(r *Router, f *field)) { guarded(t, nil, act) }

// guarded is play with a guard.
func guarded(t *testing.T, g Guard, act func(r *Router, f *field)) {
	synctest.Test(t, func(t *testing.T) {
		f := &field{}
		r := New(NewClock(), zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		s := start()
		s.Storm = g
		go r.Run(ctx, s, Out{Hosts: f, Platform: f, Peers: f, List: f})
		synctest.Wait()
		defer synctest.Wait()
		defer cancel()
		act(r, f)
	})
}

func (r *Router) taken(left time.Duration) *Command {
	c := &Command{CutOff: r.clock() + int64(left), Request: &Request{}, Answer: make(Chan, 1)}
	r.Post(Taken{c})
	synctest.Wait()
	return c
}

func TestFulfilled(t *testing.T) {
	play(t, func(r *Router, f *field) {
		c := r.taken(time.Second)
		if len(f.all()) != 1 || f.all()[0].address == "" {
			t.Fatal(f.all())
		}
		f.all()[0].done(Outcome{Ending: decision.Fulfilled, Body: []byte("hi")})
		if a := <-c.Answer.(Chan); a.Kind != Fulfilled || string(a.Body) != "hi" {
			t.Error(a)
		}
		synctest.Wait()
		if len(r.commands) != 0 {
			t.Error("not forgotten")
		}
	})
}

// What waits for a connection when its command is answered or its client leaves must not be sent any more.
func TestRevokedWithItsCommand(t *testing.T) {
	play(t, func(r *Router, f *field) {
		c := r.taken(time.Second)
		r.Post(Left{c})
		synctest.Wait()
		if !f.all()[0].revoked || !f.all()[0].recalled {
			t.Error("still on its way")
		}
		f.all()[0].done(Outcome{Ending: decision.Recalled})
		late := r.taken(time.Second)
		a := <-late.Answer.(Chan)
		synctest.Wait()
		if a.Kind != Scrapped || !f.all()[1].revoked {
			t.Error(a.Kind, f.all()[1].revoked)
		}
	})
}

// The list, news and messages must not queue behind commands.
func TestUrgentFirst(t *testing.T) {
	r := New(NewClock(), zerolog.Nop())
	f := &field{}
	for range 100 {
		r.Post(Taken{&Command{CutOff: r.clock() + 1e9, Request: &Request{}, Answer: make(Chan, 1)}})
	}
	r.Post(List{Form: decision.Whole, Hosts: []Host{{Name: "c", Address: "c:1", Size: 1}}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { r.Run(ctx, start(), Out{Hosts: f, Platform: f, Peers: f, List: f}); done <- true }()
	for len(r.ordinary) > 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	for _, s := range f.all() {
		if s.address != "c:1" {
			t.Fatal("sent to", s.address)
		}
	}
}

// A command whose band is posted just before it must not overtake the band, also where both come between the router's look at
// its queues and its wait: the clock, which is read there too, posts them at every seventh reading.
func TestBandBeforeItsCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, real, readings, left := &field{}, NewClock(), 0, 300
		var r *Router
		var all []*Command
		r = New(func() int64 {
			if readings++; readings%7 == 0 && left > 0 {
				left--
				c := &Command{Band: 1 + len(all), CutOff: real() + int64(time.Hour), Request: &Request{}, Answer: make(Chan, 1)}
				all = append(all, c)
				r.Post(Band{decision.Band{Contract: int64(time.Second), CutOff: int64(time.Hour), Importance: 1}})
				r.Post(Taken{c})
			}
			return real()
		}, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		go r.Run(ctx, start(), Out{Hosts: f, Platform: f, Peers: f, List: f})
		time.Sleep(time.Minute)
		synctest.Wait()
		if cancel(); left > 0 {
			t.Error(left, "not posted")
		}
		synctest.Wait()
		for _, c := range all {
			if len(c.handOffs) == 0 {
				t.Error("band", c.Band, "overtaken: its command was handed to no host")
			}
		}
	})
}

// A command of a band that nobody has told is answered, and not kept.
func TestUnknownBand(t *testing.T) {
	play(t, func(r *Router, f *field) {
		c := &Command{Band: 1, CutOff: r.clock() + int64(time.Second), Request: &Request{}, Answer: make(Chan, 1)}
		r.Post(Taken{c})
		synctest.Wait()
		if len(c.Answer.(Chan)) != 1 || (<-c.Answer.(Chan)).Kind != Dismissed || len(r.commands) != 0 {
			t.Error("held")
		}
	})
}

// Builds follow one another, and ids and addresses come back under other builds: what is held levels off, and a host
// that returns is a new one, with which nothing of the old one is shared.
func TestHostsComeAndGo(t *testing.T) {
	play(t, func(r *Router, f *field) {
		for build := range 1000 {
			var hosts []Host
			for n := range 5 {
				hosts = append(hosts, Host{Name: string(rune('a' + (build+n)%26)), Address: string(rune('a'+n)) + ":1", Size: 1, Build: build})
			}
			form := decision.Whole
			if build%3 == 1 {
				form = decision.Changes
				for name := range r.names {
					hosts = append(hosts, Host{Name: name + "x"}, Host{Name: name, Health: decision.Gone})
				}
				hosts = hosts[5:]
			}
			r.Post(List{Form: form, Hosts: hosts})
			synctest.Wait()
		}
		if len(r.names) != 5 || len(r.hosts) != 5 || int(r.lastHost) < 1000 || len(f.forgotten) < 1000 {
			t.Error(len(r.names), len(r.hosts), r.lastHost, len(f.forgotten))
		}
	})
}

// watchman sends marked tries away, and notes what it is told.
type watchman struct{ told []string }

func (w *watchman) Take(_ int64, t *retryguard.Try) (bool, int64) {
	w.told = append(w.told, fmt.Sprint("take ", t.Marked, t.Print != 0, t.Left > 0))
	return !t.Marked, 3e8
}
func (w *watchman) HandedOff(_ int64, _ *retryguard.Try, n int) {
	w.told = append(w.told, fmt.Sprint("off ", n))
}
func (w *watchman) Dismissed(int64, *retryguard.Try, int64) int64 {
	w.told = append(w.told, "dismissed")
	return 7e8
}
func (w *watchman) Unserved(int64, *retryguard.Try) { w.told = append(w.told, "unserved") }
func (w *watchman) Ended(_ int64, _ *retryguard.Try, host uint32, s retryguard.Sign, fulfilled bool, _ int64) {
	w.told = append(w.told, fmt.Sprint("ended ", host > 0, s, fulfilled))
}
func (w *watchman) List(_ int64, whole bool, hosts []retryguard.Host) {
	w.told = append(w.told, fmt.Sprint("list ", whole, len(hosts)))
}

// A guard is asked first: what it sends away is answered at once, and neither handed off nor known to the module. It is
// told all that becomes of the rest.
func TestGuard(t *testing.T) {
	w := &watchman{}
	guarded(t, w, func(r *Router, f *field) {
		again := &Command{CutOff: r.clock() + 1e9, Key: 5, Again: true, Request: &Request{}, Answer: make(Chan, 1)}
		r.Post(Taken{again})
		if a := <-again.Answer.(Chan); a.Kind != Dismissed || a.Wait != 300*time.Millisecond || len(f.all()) > 0 {
			t.Error(a)
		}
		r.taken(time.Second)
		f.all()[0].done(Outcome{Ending: decision.Fulfilled})
		synctest.Wait()
		gone := r.taken(time.Second)
		r.Post(Left{gone})
		synctest.Wait()
		f.all()[1].done(Outcome{Ending: decision.Recalled})
		r.Post(List{Form: decision.Whole, Hosts: []Host{{Name: "a", Health: decision.Draining}}})
		late := r.taken(time.Second)
		if a := <-late.Answer.(Chan); a.Kind != Dismissed || a.Wait != 700*time.Millisecond {
			t.Error(a)
		}
		synctest.Wait()
		if len(r.commands) != 0 {
			t.Error(len(r.commands), "not forgotten")
		}
	})
	want := "[list false 2 take true true true take false false true off 0 ended true 0 true take false false true off 0 unserved" +
		" ended true 4 false list true 3 take false false true dismissed]"
	if got := fmt.Sprint(w.told); got != want {
		t.Errorf("told\n%s, want\n%s", got, want)
	}
}

// FuzzReducer plays random events: each command that stays gets one answer in time, and no hand-off follows it.
func FuzzReducer(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		play(t, func(r *Router, f *field) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			var open []*Command
			for range 300 {
				switch rnd.IntN(6) {
				case 0, 1:
					open = append(open, r.taken(time.Duration(rnd.IntN(500))*time.Millisecond))
				case 2, 3:
					if len(f.all()) > 0 {
						if s := f.all()[rnd.IntN(len(f.all()))]; !s.over {
							s.over = true
							s.done(Outcome{Ending: decision.Ending(rnd.IntN(8)), Body: []byte{1}})
						}
					}
				case 4:
					if len(open) > 0 {
						r.Post(Left{open[rnd.IntN(len(open))]})
					}
				case 5:
					time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
				}
				synctest.Wait()
			}
			time.Sleep(time.Second)
			synctest.Wait()
			for _, c := range open {
				if !c.over || len(c.Answer.(Chan)) > 1 {
					t.Fatal("no answer, or more than one")
				}
			}
			for i := 0; i < len(f.all()); i++ {
				if !f.all()[i].over {
					f.all()[i].done(Outcome{Ending: decision.Recalled})
					synctest.Wait()
				}
			}
			if len(r.commands) != 0 {
				t.Fatal(len(r.commands), "not forgotten")
			}
		})
	})
}

// step makes a function that plays one command through a router that is stepped by hand.
func step(g Guard) func() {
	f := &field{}
	now := int64(1e18)
	r := New(func() int64 { return now }, zerolog.Nop())
	s := start()
	s.Storm = g
	r.Begin(s, Out{Hosts: f, Platform: f, Peers: f, List: f})
	answer, request := make(Chan, 1), &Request{}
	return func() {
		now += 5e6
		r.Post(Taken{&Command{CutOff: now + 1e9, Key: uint64(now), Request: request, Answer: answer}})
		for r.Step() {
		}
		for _, s := range f.sent {
			now += 1e6
			s.done(Outcome{Ending: decision.Fulfilled})
		}
		f.sent = f.sent[:0]
		for r.Step() {
		}
		<-answer
	}
}

func stormGuard(t testing.TB) Guard {
	g, err := retryguard.New(retryguard.Settings{Tuning: retryguard.Defaults(), Carriers: 1, Routers: 1, ColdFrom: 0.3, ColdFor: 1e9, MaxAdvice: 1e9,
		Bands: []retryguard.Band{{Contract: 1e9, CutOff: 2e9, Importance: 1}}}, 1, 1e18)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// With the guard on and calm traffic a command costs no allocation more.
func TestGuardAllocatesNothing(t *testing.T) {
	off, on := testing.AllocsPerRun(3000, step(nil)), testing.AllocsPerRun(3000, step(stormGuard(t)))
	if on > off {
		t.Error(on, "allocations a command,", off, "without the guard")
	}
}

func BenchmarkCommand(b *testing.B) {
	for name, g := range map[string]Guard{"off": nil, "on": stormGuard(b)} {
		b.Run(name, func(b *testing.B) {
			play := step(g)
			b.ReportAllocs()
			for b.Loop() {
				play()
			}
		})
	}
}
