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

// testOutputs records the effects of a dispatcher.
type testOutputs struct {
	// mu guards attempts. synctest.Wait orders the dispatcher's writes before the test's reads, but not the reverse.
	mu        sync.Mutex
	attempts  []*testAttempt
	forgotten []string
	votes     int
}

type testAttempt struct {
	address        string
	done           func(Outcome)
	canceled       bool
	canceledUnsent bool
	completed      bool // done was called
}

// outputs returns Outputs that all record to o.
func (o *testOutputs) outputs() Outputs {
	return Outputs{Upstream: o, Platform: o, Peers: o, HostWatcher: o}
}

// startedAttempts returns a copy of the attempts started so far.
func (o *testOutputs) startedAttempts() []*testAttempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.attempts)
}

func (a *testAttempt) Cancel()       { a.canceled = true }
func (a *testAttempt) CancelUnsent() { a.canceledUnsent = true }

func (o *testOutputs) Forward(to Host, r *Request, timeout time.Duration, done func(Outcome)) Attempt {
	a := &testAttempt{address: to.Address, done: done}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts = append(o.attempts, a)
	return a
}
func (o *testOutputs) CloseIdle(string)                {}
func (o *testOutputs) Forget(address string)           { o.forgotten = append(o.forgotten, address) }
func (o *testOutputs) Vote(decision.Verdict, int, int) { o.votes++ }
func (o *testOutputs) SendGossip(int, []byte)          {}
func (o *testOutputs) Watch(bool)                      {}

// testConfig returns a configuration with two ready hosts and a released build.
func testConfig() Config {
	second := int64(time.Second)
	return Config{
		Seed: 1,
		Settings: decision.Settings{
			Routers:         1,
			TimerResolution: 1e6,
			MaxAttempts:     3,
			Hedging:         true,
			Cancellation:    true,
			Classes:         []decision.RequestClass{{LatencyTarget: second, Timeout: 2 * second, Value: 1}},
			Customers:       []decision.Customer{{PerSecond: 1e6}},
			CollapseFactor:  4,
			WarmUpTime:      second,
			ColdCapacity:    0.3,
			VoteLifetime:    second,
			TrialBurst:      2,
		},
		Hosts: HostsChanged{Kind: decision.CachedSnapshot, Hosts: []Host{
			{Name: "a", Address: "a:1", Capacity: 1},
			{Name: "b", Address: "b:1", Capacity: 1},
		}},
		Rollout: RolloutChanged{decision.Rollout{State: decision.Released, ExposureCap: 1}},
	}
}

// runDispatcher calls run while a dispatcher runs in another goroutine, in virtual time.
func runDispatcher(t *testing.T, run func(d *Dispatcher, out *testOutputs)) { runGuarded(t, nil, run) }

// runGuarded is like runDispatcher, with a guard.
func runGuarded(t *testing.T, g Guard, run func(d *Dispatcher, out *testOutputs)) {
	synctest.Test(t, func(t *testing.T) {
		out := &testOutputs{}
		d := New(NewClock(), zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		config := testConfig()
		config.Guard = g
		go d.Run(ctx, config, out.outputs())
		synctest.Wait()
		defer synctest.Wait()
		defer cancel()
		run(d, out)
	})
}

// receive posts a request with a timeout and waits until it has been handled.
func (d *Dispatcher) receive(timeout time.Duration) *Call {
	c := &Call{Deadline: d.clock() + int64(timeout), Request: &Request{}, Responder: make(AnswerChan, 1)}
	d.Post(RequestReceived{c})
	synctest.Wait()
	return c
}

func TestSucceeded(t *testing.T) {
	runDispatcher(t, func(d *Dispatcher, out *testOutputs) {
		c := d.receive(time.Second)
		if len(out.startedAttempts()) != 1 || out.startedAttempts()[0].address == "" {
			t.Fatal(out.startedAttempts())
		}
		out.startedAttempts()[0].done(Outcome{Result: decision.Succeeded, Body: []byte("hi")})
		if a := <-c.Responder.(AnswerChan); a.Kind != Succeeded || string(a.Body) != "hi" {
			t.Error(a)
		}
		synctest.Wait()
		if len(d.calls) != 0 {
			t.Error("answered call was not removed")
		}
	})
}

// An attempt that waits for a connection must not be sent once its request has been answered or its client has disconnected.
func TestUnsentAttemptsCanceledWithTheirCall(t *testing.T) {
	runDispatcher(t, func(d *Dispatcher, out *testOutputs) {
		c := d.receive(time.Second)
		d.Post(ClientGone{c})
		synctest.Wait()
		if !out.startedAttempts()[0].canceledUnsent || !out.startedAttempts()[0].canceled {
			t.Error("attempt was not canceled when its client disconnected")
		}
		out.startedAttempts()[0].done(Outcome{Result: decision.Canceled})
		timedOut := d.receive(time.Second)
		a := <-timedOut.Responder.(AnswerChan)
		synctest.Wait()
		if a.Kind != Failed || !out.startedAttempts()[1].canceledUnsent {
			t.Error(a.Kind, out.startedAttempts()[1].canceledUnsent)
		}
	})
}

// Changes of hosts must not queue behind requests.
func TestUrgentEventsFirst(t *testing.T) {
	d := New(NewClock(), zerolog.Nop())
	out := &testOutputs{}
	for range 100 {
		d.Post(RequestReceived{&Call{Deadline: d.clock() + 1e9, Request: &Request{}, Responder: make(AnswerChan, 1)}})
	}
	d.Post(HostsChanged{Kind: decision.Snapshot, Hosts: []Host{{Name: "c", Address: "c:1", Capacity: 1}}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { d.Run(ctx, testConfig(), out.outputs()); done <- true }()
	for len(d.ordinary) > 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	for _, a := range out.startedAttempts() {
		if a.address != "c:1" {
			t.Fatal("sent to", a.address)
		}
	}
}

// A request must not overtake its class, which is posted just before it, even if both are posted between the dispatcher's check
// of its queues and its wait. The dispatcher reads the clock there, so the clock posts them, on every seventh reading.
func TestClassAddedBeforeItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &testOutputs{}
		realClock := NewClock()
		readings := 0
		remaining := 300
		var d *Dispatcher
		var calls []*Call
		d = New(func() int64 {
			if readings++; readings%7 == 0 && remaining > 0 {
				remaining--
				c := &Call{Class: 1 + len(calls), Deadline: realClock() + int64(time.Hour), Request: &Request{}, Responder: make(AnswerChan, 1)}
				calls = append(calls, c)
				d.Post(ClassAdded{decision.RequestClass{LatencyTarget: int64(time.Second), Timeout: int64(time.Hour), Value: 1}})
				d.Post(RequestReceived{c})
			}
			return realClock()
		}, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		go d.Run(ctx, testConfig(), out.outputs())
		time.Sleep(time.Minute)
		synctest.Wait()
		if cancel(); remaining > 0 {
			t.Error(remaining, "requests were not posted")
		}
		synctest.Wait()
		for _, c := range calls {
			if len(c.attempts) == 0 {
				t.Error("class", c.Class, "was overtaken by its request, which was not forwarded to any host")
			}
		}
	})
}

// A request of an unknown class is rejected at once and not kept.
func TestUnknownClass(t *testing.T) {
	runDispatcher(t, func(d *Dispatcher, out *testOutputs) {
		c := &Call{Class: 1, Deadline: d.clock() + int64(time.Second), Request: &Request{}, Responder: make(AnswerChan, 1)}
		d.Post(RequestReceived{c})
		synctest.Wait()
		if len(c.Responder.(AnswerChan)) != 1 || (<-c.Responder.(AnswerChan)).Kind != Rejected || len(d.calls) != 0 {
			t.Error("held")
		}
	})
}

// The dispatcher must keep no state of removed hosts while builds replace one another, and must give a new ID to a host whose name
// or address was in use under another build.
func TestRemovedHostsForgotten(t *testing.T) {
	runDispatcher(t, func(d *Dispatcher, out *testOutputs) {
		for build := range 1000 {
			var hosts []Host
			for n := range 5 {
				hosts = append(hosts, Host{Name: string(rune('a' + (build+n)%26)), Address: string(rune('a'+n)) + ":1", Capacity: 1, Build: build})
			}
			kind := decision.Snapshot
			if build%3 == 1 {
				kind = decision.Delta
				for name := range d.hostIDs {
					hosts = append(hosts, Host{Name: name + "x"}, Host{Name: name, Health: decision.Gone})
				}
				hosts = hosts[5:]
			}
			d.Post(HostsChanged{Kind: kind, Hosts: hosts})
			synctest.Wait()
		}
		if len(d.hostIDs) != 5 || len(d.hosts) != 5 || int(d.lastHostID) < 1000 || len(out.forgotten) < 1000 {
			t.Error(len(d.hostIDs), len(d.hosts), d.lastHostID, len(out.forgotten))
		}
	})
}

// recordingGuard is a Guard that rejects retries and records the calls of its methods.
type recordingGuard struct{ calls []string }

func (g *recordingGuard) Admit(_ int64, r *retryguard.Request) (bool, int64) {
	g.calls = append(g.calls, fmt.Sprint("admit ", r.Retry, r.Fingerprint != 0, r.Remaining > 0))
	return !r.Retry, 3e8
}
func (g *recordingGuard) AttemptStarted(_ int64, _ *retryguard.Request, number int) {
	g.calls = append(g.calls, fmt.Sprint("started ", number))
}
func (g *recordingGuard) Rejected(int64, *retryguard.Request, int64) int64 {
	g.calls = append(g.calls, "dismissed")
	return 7e8
}
func (g *recordingGuard) Abandoned(int64, *retryguard.Request) { g.calls = append(g.calls, "unserved") }
func (g *recordingGuard) AttemptEnded(_ int64, _ *retryguard.Request, host uint32, s retryguard.Signal, succeeded bool, _ int64) {
	g.calls = append(g.calls, fmt.Sprint("ended ", host > 0, s, succeeded))
}
func (g *recordingGuard) HostsChanged(_ int64, complete bool, hosts []retryguard.Host) {
	g.calls = append(g.calls, fmt.Sprint("hosts ", complete, len(hosts)))
}

// A request that the guard rejects is answered at once and reaches neither the engine nor a host. The guard is notified of the
// further course of the others.
func TestGuard(t *testing.T) {
	g := &recordingGuard{}
	runGuarded(t, g, func(d *Dispatcher, out *testOutputs) {
		retry := &Call{Deadline: d.clock() + 1e9, Key: 5, Retried: true, Request: &Request{}, Responder: make(AnswerChan, 1)}
		d.Post(RequestReceived{retry})
		if a := <-retry.Responder.(AnswerChan); a.Kind != Rejected || a.RetryAfter != 300*time.Millisecond || len(out.startedAttempts()) > 0 {
			t.Error(a)
		}
		d.receive(time.Second)
		out.startedAttempts()[0].done(Outcome{Result: decision.Succeeded})
		synctest.Wait()
		abandoned := d.receive(time.Second)
		d.Post(ClientGone{abandoned})
		synctest.Wait()
		out.startedAttempts()[1].done(Outcome{Result: decision.Canceled})
		d.Post(HostsChanged{Kind: decision.Snapshot, Hosts: []Host{{Name: "a", Health: decision.Draining}}})
		rejected := d.receive(time.Second)
		if a := <-rejected.Responder.(AnswerChan); a.Kind != Rejected || a.RetryAfter != 700*time.Millisecond {
			t.Error(a)
		}
		synctest.Wait()
		if len(d.calls) != 0 {
			t.Error(len(d.calls), "calls were not removed")
		}
	})
	want := "[hosts false 2 admit true true true admit false false true started 0 ended true 0 true admit false false true started 0 unserved" +
		" ended true 4 false hosts true 3 admit false false true dismissed]"
	if got := fmt.Sprint(g.calls); got != want {
		t.Errorf("calls of the guard:\n%s, want\n%s", got, want)
	}
}

// FuzzEvents posts random events. Each call must be done by its deadline, with at most one answer, and be removed once its
// attempts have ended.
func FuzzEvents(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		runDispatcher(t, func(d *Dispatcher, out *testOutputs) {
			rng := rand.New(rand.NewPCG(seed, 1))
			var open []*Call
			for range 300 {
				switch rng.IntN(6) {
				case 0, 1:
					open = append(open, d.receive(time.Duration(rng.IntN(500))*time.Millisecond))
				case 2, 3:
					if len(out.startedAttempts()) > 0 {
						if a := out.startedAttempts()[rng.IntN(len(out.startedAttempts()))]; !a.completed {
							a.completed = true
							a.done(Outcome{Result: decision.Result(rng.IntN(8)), Body: []byte{1}})
						}
					}
				case 4:
					if len(open) > 0 {
						d.Post(ClientGone{open[rng.IntN(len(open))]})
					}
				case 5:
					time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
				}
				synctest.Wait()
			}
			time.Sleep(time.Second)
			synctest.Wait()
			for _, c := range open {
				if !c.done || len(c.Responder.(AnswerChan)) > 1 {
					t.Fatal("call is not done, or has more than one answer")
				}
			}
			for i := 0; i < len(out.startedAttempts()); i++ {
				if !out.startedAttempts()[i].completed {
					out.startedAttempts()[i].done(Outcome{Result: decision.Canceled})
					synctest.Wait()
				}
			}
			if len(d.calls) != 0 {
				t.Fatal(len(d.calls), "calls were not removed")
			}
		})
	})
}

// newCallRunner returns a function that passes one request through a dispatcher, by calling Step until it has been answered.
func newCallRunner(g Guard) func() {
	out := &testOutputs{}
	now := int64(1e18)
	d := New(func() int64 { return now }, zerolog.Nop())
	config := testConfig()
	config.Guard = g
	d.Start(config, out.outputs())
	answer, request := make(AnswerChan, 1), &Request{}
	return func() {
		now += 5e6
		d.Post(RequestReceived{&Call{Deadline: now + 1e9, Key: uint64(now), Request: request, Responder: answer}})
		for d.Step() {
		}
		for _, a := range out.attempts {
			now += 1e6
			a.done(Outcome{Result: decision.Succeeded})
		}
		out.attempts = out.attempts[:0]
		for d.Step() {
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

// Without a retry storm, the guard must not add allocations to a request.
func TestGuardAddsNoAllocations(t *testing.T) {
	off, on := testing.AllocsPerRun(3000, newCallRunner(nil)), testing.AllocsPerRun(3000, newCallRunner(newRetryGuard(t)))
	if on > off {
		t.Error(on, "allocations per request, want no more than the", off, "without the guard")
	}
}

func BenchmarkCall(b *testing.B) {
	for name, g := range map[string]Guard{"off": nil, "on": newRetryGuard(b)} {
		b.Run(name, func(b *testing.B) {
			runCall := newCallRunner(g)
			b.ReportAllocs()
			for b.Loop() {
				runCall()
			}
		})
	}
}
