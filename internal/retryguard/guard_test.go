package retryguard

import (
	"container/heap"
	"math/rand/v2"
	"runtime"
	"testing"
)

func testSettings() Settings {
	return Settings{Tuning: Defaults(), Customers: 3, Routers: 3, ColdCapacity: 0.33, WarmUpTime: 4 * second, MaxRetryAfter: second,
		Classes: []Class{{LatencyTarget: 1500e6, Timeout: 5 * second, Value: 1}, {LatencyTarget: 750e6, Timeout: 3 * second, Value: 5}}}
}

// world is a guard with ten warm hosts and a clock.
type world struct {
	*Guard
	now int64
	rnd *rand.Rand
	key uint64
}

func newWorld(t testing.TB, s Settings, seed uint64) *world {
	w := &world{now: 1e18, rnd: rand.New(rand.NewPCG(seed, 1))}
	var err error
	if w.Guard, err = New(s, seed, w.now); err != nil {
		t.Fatal(err)
	}
	w.HostsChanged(w.now, true, listHosts(10, 0))
	return w
}

func listHosts(n int, started int64) (all []Host) {
	for i := range n {
		all = append(all, Host{ID: uint32(i + 1), Ready: true, Capacity: 1, StartedAt: started})
	}
	return all
}

// request brings a new command; what is let in is fulfilled after the usual time if served, else its host is gone.
func (w *world) request(carrier int, fingerprint uint64, served bool) (admitted bool, wait int64) {
	x := &Request{Class: 0, Customer: carrier, Fingerprint: fingerprint, Remaining: 5 * second}
	if admitted, wait = w.Admit(w.now, x); !admitted {
		return
	}
	host := uint32(w.rnd.IntN(10) + 1)
	w.AttemptStarted(w.now, x, 0)
	if served {
		w.AttemptEnded(w.now, x, host, Answered, true, 3e8)
		return
	}
	w.AttemptEnded(w.now, x, host, ConnectionFailed, false, 1e6)
	return admitted, w.Rejected(w.now, x, 25e7)
}

// calm plays ordinary traffic: so many tries a second, a part of which come again after they went unserved.
func (w *world) calm(seconds float64, perSecond int, again float64) {
	for range int(seconds * float64(perSecond)) {
		w.now += second / int64(perSecond)
		w.key++
		print := FingerprintOf(0, int(w.key%3), w.key, "")
		if w.rnd.Float64() < again/(1-again) { // one more try of it
			w.Abandoned(w.now, &Request{Fingerprint: print})
		}
		w.request(int(w.key%3), print, true)
	}
}

// Calm traffic raises no alarm in an hour, at the rates of small and busy routers, with as many further tries as hasty
// fleets make: here a tenth of an hour for each of ten seeds.
func TestNoFalseAlarms(t *testing.T) {
	for _, rate := range []int{2, 30, 240} {
		for _, again := range []float64{0, 0.05, 0.2} {
			alarms := 0
			for seed := range uint64(10) {
				w := newWorld(t, testSettings(), seed)
				w.detector.calmShare, w.customers[0].calmShare = again, again // what hours of it have taught
				for i := range w.customers {
					w.customers[i].calmShare = again
				}
				w.calm(360, rate, again)
				alarms += w.Stats.Storms + w.Stats.CustomerStorms
			}
			if alarms > 0 {
				t.Errorf("%d tries a second, %v of them again: %d alarms in an hour", rate, again, alarms)
			}
		}
	}
}

// A storm is noticed within half a second of the first unserved second, by its further tries alone.
func TestDetectsStorm(t *testing.T) {
	w := newWorld(t, testSettings(), 1)
	w.calm(20, 50, 0.05)
	from := w.now
	for !w.detector.Storm && w.now < from+2*second {
		w.now += second / 100
		print := FingerprintOf(0, w.rnd.IntN(3), uint64(w.rnd.IntN(40)), "") // each of 40 comes again and again
		x := &Request{Customer: w.rnd.IntN(3), Fingerprint: print, Remaining: 5 * second}
		w.Admit(w.now, x)
		w.Abandoned(w.now, x)
	}
	if took := w.now - from; took > 1500e6 {
		t.Errorf("noticed after %d ms", took/1e6)
	}
	// where the hosts are gone, at once
	w = newWorld(t, testSettings(), 1)
	w.calm(20, 50, 0.05)
	from = w.now
	for w.now < from+500e6 && !w.detector.Storm {
		w.now += second / 50
		w.key++
		w.request(0, FingerprintOf(0, 0, w.key, ""), false)
	}
	if !w.detector.Storm {
		t.Error("not noticed though the hosts are gone")
	}
}

// outage plays hosts that go for some seconds, with all that is sent away coming back as it is told.
func (w *world) outage(seconds float64, perSecond int) {
	type due struct {
		at    int64
		print uint64
		c     int
	}
	var waiting []due
	end := w.now + int64(seconds*1e9)
	for w.now < end {
		w.now += second / int64(perSecond)
		w.key++
		waiting = append(waiting, due{w.now, FingerprintOf(0, int(w.key%3), w.key, ""), int(w.key % 3)})
		for i := 0; i < len(waiting); i++ {
			if d := &waiting[i]; d.at <= w.now {
				_, wait := w.request(d.c, d.print, false)
				d.at = w.now + max(wait, 1e6)
			}
		}
	}
}

// What is let in stays within the ceiling of what hosts can do as they warm up, and grows with them.
func TestCeiling(t *testing.T) {
	w := newWorld(t, testSettings(), 3)
	w.calm(30, 60, 0)
	shown := w.calmWorkRate
	w.outage(5, 60)
	if !w.detector.Storm || w.now != int64(w.now) {
		t.Fatal("no storm")
	}
	back := w.now
	w.HostsChanged(back, true, []Host{})
	var cold []Host
	for _, h := range listHosts(10, back) {
		h.ID += 100
		cold = append(cold, h)
	}
	w.HostsChanged(back, false, cold)
	if can := w.capacity.At(back); can < 3.2 || can > 3.4 {
		t.Error("cold hosts can do", can)
	}
	work := 0.0
	for w.now < back+second/2 {
		w.now += second / 1000
		w.key++
		x := &Request{Fingerprint: FingerprintOf(0, 0, w.key, ""), Customer: int(w.key % 3), Remaining: 5 * second}
		if in, _ := w.Admit(w.now, x); in {
			work += w.latency[0]
		}
	}
	// a third router's part: of 30 s of work a second when warm, half a second, cold
	may := 1.25 * max(shown*w.capacity.At(w.now)*0.5, w.capacity.At(w.now)/3*0.5) * 1.2
	if work == 0 || work > may {
		t.Errorf("%.2f s of work let in, %.2f may be", work, may)
	}
}

// One carrier's storm costs the others nothing.
func TestOneCustomer(t *testing.T) {
	w := newWorld(t, testSettings(), 4)
	w.calm(20, 60, 0)
	away, others := 0, 0
	for range 1500 {
		w.now += second / 300
		print := FingerprintOf(0, 1, uint64(w.rnd.IntN(3)+1), "")
		x := &Request{Customer: 1, Fingerprint: print, Remaining: second}
		if in, _ := w.Admit(w.now, x); !in {
			away++
		} else {
			w.Abandoned(w.now, x)
		}
		if w.rnd.IntN(6) == 0 {
			w.key++
			if in, _ := w.request(int(w.key%2)*2, FingerprintOf(0, 0, w.key, ""), true); !in {
				others++
			}
		}
	}
	if w.detector.Storm || !w.customers[1].Storm || away < 500 || others > 0 {
		t.Errorf("storm of all %v, of the carrier %v; %d of it away, %d of others", w.detector.Storm, w.customers[1].Storm, away, others)
	}
}

// Who is sent away comes back at a time with room, no two crowds at once; who comes earlier has no advantage, and who
// keeps the time goes before the others.
func TestAppointments(t *testing.T) {
	w := newWorld(t, testSettings(), 5)
	w.calm(20, 60, 0)
	w.outage(3, 60)
	w.HostsChanged(w.now, true, listHosts(10, w.now))
	for i := range w.capacity.ready {
		w.capacity.ready[i].known, w.capacity.ready[i].down = true, false
	}
	w.now += tickInterval
	perSlot := map[int64]int{}
	for range 600 {
		w.key++
		x := &Request{Fingerprint: FingerprintOf(0, 0, w.key, ""), Remaining: 5 * second}
		if in, wait := w.Admit(w.now, x); !in {
			if wait <= 0 || wait > second {
				t.Fatal("told to wait", wait)
			}
			perSlot[wait/slot]++
		}
	}
	most := 0
	for _, n := range perSlot {
		most = max(most, n)
	}
	if len(perSlot) < 5 || most > 150 {
		t.Error(len(perSlot), "slots, most in one", most)
	}
	c := w.customer(0)
	early := w.Stats.AppointmentsEarly
	if got := w.classify(c, w.now, w.now-1e8, w.now+3e8); got != unscheduledRetry || w.Stats.AppointmentsEarly != early+1 {
		t.Error("came early and counts as", got)
	}
	if got := w.classify(c, w.now, w.now-1e9, w.now); got != appointmentKept {
		t.Error("kept its time and counts as", got)
	}
	if got := w.classify(c, w.now, w.now-second, w.now+2*second); got != unscheduledRetry || w.Stats.AppointmentsEarly != early+1 {
		t.Error("came when told, before its due time, and counts as", got, w.Stats.AppointmentsEarly)
	}
	var full workBudget
	full.available, full.rate = 0.4, 10
	spare := 0.0
	mine := workBudget{available: 10, retryBudget: 0}
	if mine.admit(&full, &spare, unscheduledRetry, 0.3, 0.5, 0) || !mine.admit(&full, &spare, appointmentKept, 0.3, 0.5, 0) {
		t.Error("an appointment does not go first")
	}
}

// Carriers whose clients come when they like get no slots that others would keep.
func TestIgnoredAppointments(t *testing.T) {
	w := newWorld(t, testSettings(), 6)
	w.calm(20, 60, 0)
	w.outage(2, 60)
	for range 200 {
		w.classify(w.customer(0), w.now, w.now, w.now+second/2)
	}
	booked := w.Stats.Appointments
	x := &Request{Fingerprint: 77, Customer: 0, Remaining: second}
	if wait := w.Rejected(w.now, x, 0); w.Stats.Appointments != booked || wait < second/2 || wait > second {
		t.Error(w.Stats.Appointments-booked, "booked, told", wait)
	}
	if len(w.fingerprints.entries)*8 > testSettings().MemoryBytes {
		t.Error("the table grew")
	}
}

// Work that can't be done before its client leaves is not begun, whatever room there is.
func TestHopeless(t *testing.T) {
	w := newWorld(t, testSettings(), 7)
	w.calm(20, 60, 0)
	w.outage(2, 60)
	w.budget.available = 100
	w.maxInFlight = 100
	if in, _ := w.Admit(w.now, &Request{Fingerprint: 1, Remaining: 1e7}); in || w.Stats.Hopeless == 0 {
		t.Error("begun with 10 ms left")
	}
}

// Whatever comes, in whatever order: nothing panics, memory stays at its bound, waits are within the advice, and the
// count of what is open never goes below zero.
func FuzzGuard(f *testing.F) {
	for seed := range uint64(6) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		s := testSettings()
		s.MemoryBytes = 8 << 10
		w := newWorld(t, s, seed)
		bytes := w.Bytes()
		var open []*Request
		for range 4000 {
			switch w.rnd.IntN(40) {
			case 0:
				w.now += int64(w.rnd.IntN(int(20 * second))) // a clock that jumps
			case 1:
				w.now -= int64(w.rnd.IntN(int(20 * second)))
			case 2:
				w.HostsChanged(w.now, w.rnd.IntN(2) == 0, []Host{{ID: uint32(w.rnd.IntN(12)), Ready: w.rnd.IntN(2) == 0, Capacity: w.rnd.Float64()*3 - 1,
					StartedAt: w.now - int64(w.rnd.IntN(int(10*second)))}})
			default:
				w.now += int64(w.rnd.IntN(2e7))
			}
			x := &Request{Class: w.rnd.IntN(4) - 1, Customer: w.rnd.IntN(6) - 1, Fingerprint: uint64(w.rnd.IntN(50)) * 0x9e3779b97f4a7c15,
				Retry: w.rnd.IntN(3) == 0, Remaining: int64(w.rnd.IntN(int(5*second))) - 1e8}
			if in, wait := w.Admit(w.now, x); in {
				open = append(open, x)
			} else if wait < 0 || wait > s.MaxRetryAfter {
				t.Fatal("wait", wait)
			}
			if len(open) > 0 && w.rnd.IntN(3) > 0 {
				i := w.rnd.IntN(len(open))
				x := open[i]
				w.AttemptStarted(w.now, x, w.rnd.IntN(2))
				sign := Signal(w.rnd.IntN(5))
				w.AttemptEnded(w.now, x, uint32(w.rnd.IntN(12)), sign, sign == Answered, int64(w.rnd.IntN(1e9))-1e7)
				if sign != Answered {
					if wait := w.Rejected(w.now, x, 25e7); wait < 0 || wait > s.MaxRetryAfter {
						t.Fatal("wait", wait)
					}
				}
				open[i] = open[len(open)-1]
				open = open[:len(open)-1]
			}
			if w.inFlight < 0 || w.Bytes() != bytes || !(w.rateFactor >= minFactor && w.rateFactor <= maxFactor) || !(w.budget.available < 1e6) {
				t.Fatal(w.inFlight, w.Bytes(), w.rateFactor, w.budget.available)
			}
		}
	})
}

// Forged marks by the million leave the table at its size, and the true ones' are found as long as they are young.
func TestFingerprints(t *testing.T) {
	p := NewFingerprints(64<<10, 5*second)
	now := int64(1e18)
	found := 0
	for i := range 1_000_000 {
		now += second / 100_000
		p.Put(mix(uint64(i)+1), now, 0)
		if i >= 1000 && i%100 == 0 {
			if _, _, ok := p.Take(mix(uint64(i-1000)+1), now); ok {
				found++
			}
		}
	}
	if p.Bytes() != 64<<10 || p.Evicted == 0 || found < 9900 {
		t.Error(p.Bytes(), p.Evicted, found)
	}
	false_ := 0
	for i := range 1_000_000 {
		if _, _, ok := p.Take(mix(uint64(i)+1e9), now); ok {
			false_++
		}
	}
	if false_ > 2 {
		t.Error(false_, "of a million were never put")
	}
	p.Put(5, now, now+3*second)
	if made, due, ok := p.Take(5, now+second); !ok || made-now > timeUnit || now-made > timeUnit || due-now-3*second > 2*timeUnit || now+3*second-due > 2*timeUnit {
		t.Error(made-now, due-now, ok)
	}
	if _, _, ok := p.Take(5, now+second); ok {
		t.Error("found twice")
	}
	p.Put(6, now, 0)
	if _, _, ok := p.Take(6, now+6*second); ok {
		t.Error("found after its time")
	}
	p.Put(7, now, 0)
	for i := range int64(300) { // until the times come round
		for range 10 {
			p.Sweep(now + i*second)
		}
	}
	if _, _, ok := p.Take(7, now+timeUnits*timeUnit); ok {
		t.Error("found when the times had come round")
	}
}

// A wheel's promises stay within each slot's room, fill up in order, and are what a plain scan would give.
func TestSchedule(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		w := NewSchedule(2 * second)
		now := int64(1e18)
		room := func(at int64) float64 { return float64(at/slot%7) / 7 }
		w.Forecast(now, room)
		for range 400 {
			earliest := now + int64(rnd.IntN(int(2*second)))
			want := int64(-1)
			for at := max(earliest/slot, w.firstSlot); at < w.firstSlot+int64(len(w.capacity)); at++ {
				if i := w.index(at); w.promised[i] < w.capacity[i] {
					want = at * slot
					break
				}
			}
			due, ok := w.Reserve(earliest, 0.2)
			if ok != (want >= 0) || ok && due != want {
				t.Fatal(seed, due, ok, want)
			}
			if rnd.IntN(20) == 0 {
				w.Release(due, 0.2)
				now += int64(rnd.IntN(int(second / 5)))
				w.Forecast(now, room)
			}
		}
	}
}

// With the part on and calm, a command costs no allocation.
func TestNoAllocations(t *testing.T) {
	w := newWorld(t, testSettings(), 9)
	w.calm(5, 60, 0.1)
	x := &Request{Fingerprint: 9, Remaining: second}
	if n := testing.AllocsPerRun(2000, func() {
		w.now += second / 200
		*x = Request{Fingerprint: FingerprintOf(0, 0, uint64(w.now), ""), Remaining: second}
		w.Admit(w.now, x)
		w.AttemptStarted(w.now, x, 0)
		w.AttemptEnded(w.now, x, 1, Answered, true, 2e8)
	}); n > 0 {
		t.Error(n, "allocations a command")
	}
}

func TestSettings(t *testing.T) {
	for _, spoil := range []func(*Settings){func(s *Settings) { s.Ceiling = 9 }, func(s *Settings) { s.MemoryBytes = 1 },
		func(s *Settings) { s.Horizon = 0 }, func(s *Settings) { s.Classes = nil }, func(s *Settings) { s.Routers = 0 }} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1, 0); err == nil {
			t.Error("taken:", s)
		}
	}
}

type appointments []struct{ at, print int64 }

func (a appointments) Len() int           { return len(a) }
func (a appointments) Less(i, j int) bool { return a[i].at < a[j].at }
func (a appointments) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *appointments) Push(x any)        { *a = append(*a, x.(struct{ at, print int64 })) }
func (a *appointments) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

const many = 1_000_000

func allocatedBytes(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc-before.HeapAlloc) / many
}

// A million appointments in the wheel and its prints, in a heap with a map, and in a map that is walked.
func BenchmarkAppointments(b *testing.B) {
	now := int64(1e18)
	fillWheel := func() any {
		w, p := NewSchedule(60*second), NewFingerprints(16<<20, 60*second)
		w.Forecast(now, func(int64) float64 { return 400 })
		for i := range many {
			due, _ := w.Reserve(now, 1)
			p.Put(mix(uint64(i)), now, due)
		}
		return [2]any{w, p}
	}
	fillHeap := func() any {
		var h appointments
		at := make(map[int64]int64)
		for i := range many {
			due := now + int64(i)*60000
			heap.Push(&h, struct{ at, print int64 }{due, int64(mix(uint64(i)))})
			at[int64(mix(uint64(i)))] = due
		}
		return [2]any{h, at}
	}
	for name, fill := range map[string]func() any{"wheel": fillWheel, "heap": fillHeap} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				fill()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/many, "ns/appointment")
			b.ReportMetric(allocatedBytes(fill), "B/appointment")
		})
	}
}

// Half a million lie between a print's Put and its Take, as many as both then hold.
func BenchmarkFingerprints(b *testing.B) {
	const half = 500_000
	now := int64(1e18)
	b.Run("table", func(b *testing.B) {
		p := NewFingerprints(16<<20, 60*second)
		i := uint64(0)
		for b.Loop() {
			i++
			p.Put(mix(i), now, 0)
			p.Take(mix(i-min(i, half)), now)
		}
	})
	b.Run("map", func(b *testing.B) {
		p := map[uint64]int64{}
		i := uint64(0)
		for b.Loop() {
			i++
			p[mix(i)] = now
			if _, ok := p[mix(i-min(i, half))]; ok {
				delete(p, mix(i-min(i, half)))
			}
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	w := newWorld(b, testSettings(), 9)
	x := &Request{}
	for b.Loop() {
		w.now += second / 200
		*x = Request{Fingerprint: FingerprintOf(0, 0, uint64(w.now), ""), Remaining: second}
		w.Admit(w.now, x)
		w.AttemptStarted(w.now, x, 0)
		w.AttemptEnded(w.now, x, 1, Answered, true, 2e8)
	}
}

// Small matters of the guard, each of which once was forgotten somewhere.
func TestEdgeCases(t *testing.T) {
	w := newWorld(t, testSettings(), 10)
	w.calm(20, 60, 0)
	waits := map[int64]bool{}
	for i := range uint64(20) { // in calm, those who go together don't come together
		x := &Request{Fingerprint: i + 1, Remaining: second}
		w.Admit(w.now, x)
		wait := w.Rejected(w.now, x, 250e6)
		if waits[wait] = true; wait < 125e6 || wait > 375e6 {
			t.Error("told", wait)
		}
	}
	if len(waits) < 15 {
		t.Error("told the same", len(waits))
	}
	w.now -= 3600 * second // the clock is set back: ticks go on
	calm := w.calmTicks
	w.calm(2, 60, 0)
	if w.calmTicks < calm+15 || w.Stats.ClockJumps != 1 {
		t.Error("ticks after the jump:", w.calmTicks-calm, w.Stats.ClockJumps)
	}
	w.outage(2, 60)
	w.budget.available = 1
	x := &Request{Remaining: second}
	w.AttemptStarted(w.now, x, 0)
	if w.AttemptStarted(w.now, x, 1); w.budget.available != 1-w.latency[0] {
		t.Error("a further hand-off takes no room:", w.budget.available)
	}
	w.rateFactor, w.concurrencyFactor, w.answers = 2, 2, 0.1
	if w.adjustLimits(); w.rateFactor != 1 || w.concurrencyFactor != 1 {
		t.Error("goes on at the pace of before the hosts went:", w.rateFactor, w.concurrencyFactor)
	}
	d := NewDetector(0.25)
	for range 4 {
		d.Count(true)
	}
	if d.Tick(false) {
		t.Error("four tries are a storm")
	}
}

// A host whose connections broke comes back cold, one that was silent as it was; the list's start goes before.
func TestCapacity(t *testing.T) {
	for _, c := range []struct {
		sign Signal
		can  float64
	}{{ConnectionFailed, 9.33}, {NoAnswer, 10}, {NotSent, 10}} {
		f := NewCapacity(0.33, 4*second)
		f.HostsChanged(true, listHosts(10, 0))
		for id := range uint32(10) {
			f.AttemptEnded(second, id+1, Answered)
		}
		for range 3 {
			f.AttemptEnded(second, 4, c.sign)
		}
		if down := f.At(second); c.sign != NotSent && down != 9 {
			t.Error("one is down, and the others can do", down)
		}
		f.AttemptEnded(2*second, 4, Answered)
		if can := f.At(2 * second); can < c.can-0.01 || can > c.can+0.01 {
			t.Errorf("after sign %d: %v, want %v", c.sign, can, c.can)
		}
		if warm := f.At(6 * second); warm != 10 {
			t.Error("warm hosts can do", warm)
		}
	}
	f := NewCapacity(0.33, 4*second)
	f.HostsChanged(true, listHosts(4, 0))
	f.AttemptEnded(0, 1, Answered)
	for range 2 {
		f.AttemptEnded(0, 2, ConnectionFailed)
	}
	if can := f.At(0); can != 2 { // of two it met one is up: so is one of the two others
		t.Error(can)
	}
	if f.HostsChanged(true, []Host{{ID: 9, Ready: true, Capacity: -1}}); f.Total() != 1 {
		t.Error("a size that can't be:", f.Total())
	}
}
