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

// testOutputs is all that is around a router: it keeps what was asked for.
type testOutputs struct {
	mu            sync.Mutex // a wait for the reducer orders its writes before the test's reads, and not the other way
	attempts      []*testAttempt
	forgotten     []string
	votes         int
	watchRequests chan bool // gets one for each hand-off
}

type testAttempt struct {
	address                  string
	done                     func(Outcome)
	canceled, canceledUnsent bool
	completed                bool
}

func (f *testOutputs) all() []*testAttempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.attempts)
}

func (s *testAttempt) Cancel()       { s.canceled = true }
func (s *testAttempt) CancelUnsent() { s.canceledUnsent = true }

func (f *testOutputs) Forward(to Host, r *Request, left time.Duration, done func(Outcome)) Attempt {
	s := &testAttempt{address: to.Address, done: done}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, s)
	return s
}
func (f *testOutputs) CloseIdle(string)                {}
func (f *testOutputs) Forget(address string)           { f.forgotten = append(f.forgotten, address) }
func (f *testOutputs) Vote(decision.Verdict, int, int) { f.votes++ }
func (f *testOutputs) SendGossip(int, []byte)          {}
func (f *testOutputs) Watch(bool)                      {}

func start() Config {
	second := int64(time.Second)
	return Config{Seed: 1, Settings: decision.Settings{Routers: 1, TimerResolution: 1e6, MaxAttempts: 3, Hedging: true, Cancellation: true,
		Classes: []decision.RequestClass{{LatencyTarget: second, Timeout: 2 * second, Value: 1}}, Customers: []decision.Customer{{PerSecond: 1e6}},
		CollapseFactor: 4, WarmUpTime: second, ColdCapacity: 0.3, VoteLifetime: second, TrialBurst: 2},
		Hosts:   HostsChanged{Kind: decision.CachedSnapshot, Hosts: []Host{{Name: "a", Address: "a:1", Capacity: 1}, {Name: "b", Address: "b:1", Capacity: 1}}},
		Rollout: RolloutChanged{decision.Rollout{State: decision.Released, ExposureCap: 1}}}
}

// runAll runs a router beside the test, in time that only passes where all wait.
func runAll(t *testing.T, act func(r *Dispatcher, f *testOutputs)) { startGuarded(t, nil, act) }

// startGuarded is play with a guard.
func startGuarded(t *testing.T, g Guard, act func(r *Dispatcher, f *testOutputs)) {
	synctest.Test(t, func(t *testing.T) {
		f := &testOutputs{}
		r := New(NewClock(), zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		s := start()
		s.Guard = g
		go r.Run(ctx, s, Outputs{Upstream: f, Platform: f, Peers: f, HostWatcher: f})
		synctest.Wait()
		defer synctest.Wait()
		defer cancel()
		act(r, f)
	})
}

func (d *Dispatcher) receive(left time.Duration) *Call {
	c := &Call{Deadline: d.clock() + int64(left), Request: &Request{}, Responder: make(AnswerChan, 1)}
	d.Post(RequestReceived{c})
	synctest.Wait()
	return c
}

func TestSucceeded(t *testing.T) {
	runAll(t, func(r *Dispatcher, f *testOutputs) {
		c := r.receive(time.Second)
		if len(f.all()) != 1 || f.all()[0].address == "" {
			t.Fatal(f.all())
		}
		f.all()[0].done(Outcome{Result: decision.Succeeded, Body: []byte("hi")})
		if a := <-c.Responder.(AnswerChan); a.Kind != Succeeded || string(a.Body) != "hi" {
			t.Error(a)
		}
		synctest.Wait()
		if len(r.calls) != 0 {
			t.Error("not forgotten")
		}
	})
}

// What waits for a connection when its command is answered or its client leaves must not be sent any more.
func TestUnsentAttemptsCanceledWithTheirCall(t *testing.T) {
	runAll(t, func(r *Dispatcher, f *testOutputs) {
		c := r.receive(time.Second)
		r.Post(ClientGone{c})
		synctest.Wait()
		if !f.all()[0].canceledUnsent || !f.all()[0].canceled {
			t.Error("still on its way")
		}
		f.all()[0].done(Outcome{Result: decision.Canceled})
		late := r.receive(time.Second)
		a := <-late.Responder.(AnswerChan)
		synctest.Wait()
		if a.Kind != Failed || !f.all()[1].canceledUnsent {
			t.Error(a.Kind, f.all()[1].canceledUnsent)
		}
	})
}

// The list, news and messages must not queue behind commands.
func TestUrgentFirst(t *testing.T) {
	r := New(NewClock(), zerolog.Nop())
	f := &testOutputs{}
	for range 100 {
		r.Post(RequestReceived{&Call{Deadline: r.clock() + 1e9, Request: &Request{}, Responder: make(AnswerChan, 1)}})
	}
	r.Post(HostsChanged{Kind: decision.Snapshot, Hosts: []Host{{Name: "c", Address: "c:1", Capacity: 1}}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { r.Run(ctx, start(), Outputs{Upstream: f, Platform: f, Peers: f, HostWatcher: f}); done <- true }()
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
func TestClassAddedBeforeItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, real, readings, left := &testOutputs{}, NewClock(), 0, 300
		var r *Dispatcher
		var all []*Call
		r = New(func() int64 {
			if readings++; readings%7 == 0 && left > 0 {
				left--
				c := &Call{Class: 1 + len(all), Deadline: real() + int64(time.Hour), Request: &Request{}, Responder: make(AnswerChan, 1)}
				all = append(all, c)
				r.Post(ClassAdded{decision.RequestClass{LatencyTarget: int64(time.Second), Timeout: int64(time.Hour), Value: 1}})
				r.Post(RequestReceived{c})
			}
			return real()
		}, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		go r.Run(ctx, start(), Outputs{Upstream: f, Platform: f, Peers: f, HostWatcher: f})
		time.Sleep(time.Minute)
		synctest.Wait()
		if cancel(); left > 0 {
			t.Error(left, "not posted")
		}
		synctest.Wait()
		for _, c := range all {
			if len(c.attempts) == 0 {
				t.Error("band", c.Class, "overtaken: its command was handed to no host")
			}
		}
	})
}

// A command of a band that nobody has told is answered, and not kept.
func TestUnknownClass(t *testing.T) {
	runAll(t, func(r *Dispatcher, f *testOutputs) {
		c := &Call{Class: 1, Deadline: r.clock() + int64(time.Second), Request: &Request{}, Responder: make(AnswerChan, 1)}
		r.Post(RequestReceived{c})
		synctest.Wait()
		if len(c.Responder.(AnswerChan)) != 1 || (<-c.Responder.(AnswerChan)).Kind != Rejected || len(r.calls) != 0 {
			t.Error("held")
		}
	})
}

// Builds follow one another, and ids and addresses come back under other builds: what is held levels off, and a host
// that returns is a new one, with which nothing of the old one is shared.
func TestHostsComeAndGo(t *testing.T) {
	runAll(t, func(r *Dispatcher, f *testOutputs) {
		for build := range 1000 {
			var hosts []Host
			for n := range 5 {
				hosts = append(hosts, Host{Name: string(rune('a' + (build+n)%26)), Address: string(rune('a'+n)) + ":1", Capacity: 1, Build: build})
			}
			form := decision.Snapshot
			if build%3 == 1 {
				form = decision.Delta
				for name := range r.hostIDs {
					hosts = append(hosts, Host{Name: name + "x"}, Host{Name: name, Health: decision.Gone})
				}
				hosts = hosts[5:]
			}
			r.Post(HostsChanged{Kind: form, Hosts: hosts})
			synctest.Wait()
		}
		if len(r.hostIDs) != 5 || len(r.hosts) != 5 || int(r.lastHostID) < 1000 || len(f.forgotten) < 1000 {
			t.Error(len(r.hostIDs), len(r.hosts), r.lastHostID, len(f.forgotten))
		}
	})
}

// recordingGuard sends marked tries away, and notes what it is told.
type recordingGuard struct{ calls []string }

func (w *recordingGuard) Admit(_ int64, t *retryguard.Request) (bool, int64) {
	w.calls = append(w.calls, fmt.Sprint("take ", t.Retry, t.Fingerprint != 0, t.Remaining > 0))
	return !t.Retry, 3e8
}
func (w *recordingGuard) AttemptStarted(_ int64, _ *retryguard.Request, n int) {
	w.calls = append(w.calls, fmt.Sprint("off ", n))
}
func (w *recordingGuard) Rejected(int64, *retryguard.Request, int64) int64 {
	w.calls = append(w.calls, "dismissed")
	return 7e8
}
func (w *recordingGuard) Abandoned(int64, *retryguard.Request) { w.calls = append(w.calls, "unserved") }
func (w *recordingGuard) AttemptEnded(_ int64, _ *retryguard.Request, host uint32, s retryguard.Signal, fulfilled bool, _ int64) {
	w.calls = append(w.calls, fmt.Sprint("ended ", host > 0, s, fulfilled))
}
func (w *recordingGuard) HostsChanged(_ int64, whole bool, hosts []retryguard.Host) {
	w.calls = append(w.calls, fmt.Sprint("list ", whole, len(hosts)))
}

// A guard is asked first: what it sends away is answered at once, and neither handed off nor known to the module. It is
// told all that becomes of the rest.
func TestGuard(t *testing.T) {
	w := &recordingGuard{}
	startGuarded(t, w, func(r *Dispatcher, f *testOutputs) {
		again := &Call{Deadline: r.clock() + 1e9, Key: 5, Retried: true, Request: &Request{}, Responder: make(AnswerChan, 1)}
		r.Post(RequestReceived{again})
		if a := <-again.Responder.(AnswerChan); a.Kind != Rejected || a.RetryAfter != 300*time.Millisecond || len(f.all()) > 0 {
			t.Error(a)
		}
		r.receive(time.Second)
		f.all()[0].done(Outcome{Result: decision.Succeeded})
		synctest.Wait()
		gone := r.receive(time.Second)
		r.Post(ClientGone{gone})
		synctest.Wait()
		f.all()[1].done(Outcome{Result: decision.Canceled})
		r.Post(HostsChanged{Kind: decision.Snapshot, Hosts: []Host{{Name: "a", Health: decision.Draining}}})
		late := r.receive(time.Second)
		if a := <-late.Responder.(AnswerChan); a.Kind != Rejected || a.RetryAfter != 700*time.Millisecond {
			t.Error(a)
		}
		synctest.Wait()
		if len(r.calls) != 0 {
			t.Error(len(r.calls), "not forgotten")
		}
	})
	want := "[list false 2 take true true true take false false true off 0 ended true 0 true take false false true off 0 unserved" +
		" ended true 4 false list true 3 take false false true dismissed]"
	if got := fmt.Sprint(w.calls); got != want {
		t.Errorf("told\n%s, want\n%s", got, want)
	}
}

// FuzzReducer plays random events: each command that stays gets one answer in time, and no hand-off follows it.
func FuzzReducer(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		runAll(t, func(r *Dispatcher, f *testOutputs) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			var open []*Call
			for range 300 {
				switch rnd.IntN(6) {
				case 0, 1:
					open = append(open, r.receive(time.Duration(rnd.IntN(500))*time.Millisecond))
				case 2, 3:
					if len(f.all()) > 0 {
						if s := f.all()[rnd.IntN(len(f.all()))]; !s.completed {
							s.completed = true
							s.done(Outcome{Result: decision.Result(rnd.IntN(8)), Body: []byte{1}})
						}
					}
				case 4:
					if len(open) > 0 {
						r.Post(ClientGone{open[rnd.IntN(len(open))]})
					}
				case 5:
					time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
				}
				synctest.Wait()
			}
			time.Sleep(time.Second)
			synctest.Wait()
			for _, c := range open {
				if !c.done || len(c.Responder.(AnswerChan)) > 1 {
					t.Fatal("no answer, or more than one")
				}
			}
			for i := 0; i < len(f.all()); i++ {
				if !f.all()[i].completed {
					f.all()[i].done(Outcome{Result: decision.Canceled})
					synctest.Wait()
				}
			}
			if len(r.calls) != 0 {
				t.Fatal(len(r.calls), "not forgotten")
			}
		})
	})
}

// step makes a function that plays one command through a router that is stepped by hand.
func step(g Guard) func() {
	f := &testOutputs{}
	now := int64(1e18)
	r := New(func() int64 { return now }, zerolog.Nop())
	s := start()
	s.Guard = g
	r.Start(s, Outputs{Upstream: f, Platform: f, Peers: f, HostWatcher: f})
	answer, request := make(AnswerChan, 1), &Request{}
	return func() {
		now += 5e6
		r.Post(RequestReceived{&Call{Deadline: now + 1e9, Key: uint64(now), Request: request, Responder: answer}})
		for r.Step() {
		}
		for _, s := range f.attempts {
			now += 1e6
			s.done(Outcome{Result: decision.Succeeded})
		}
		f.attempts = f.attempts[:0]
		for r.Step() {
		}
		<-answer
	}
}

func newRetryGuard(t testing.TB) Guard {
	g, err := retryguard.New(retryguard.Settings{Tuning: retryguard.Defaults(), Customers: 1, Routers: 1, ColdCapacity: 0.3, WarmUpTime: 1e9, MaxRetryAfter: 1e9,
		Classes: []retryguard.Class{{LatencyTarget: 1e9, Timeout: 2e9, Value: 1}}}, 1, 1e18)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// With the guard on and calm traffic a command costs no allocation more.
func TestGuardAllocatesNothing(t *testing.T) {
	off, on := testing.AllocsPerRun(3000, step(nil)), testing.AllocsPerRun(3000, step(newRetryGuard(t)))
	if on > off {
		t.Error(on, "allocations a command,", off, "without the guard")
	}
}

func BenchmarkCall(b *testing.B) {
	for name, g := range map[string]Guard{"off": nil, "on": newRetryGuard(b)} {
		b.Run(name, func(b *testing.B) {
			play := step(g)
			b.ReportAllocs()
			for b.Loop() {
				play()
			}
		})
	}
}
