package retryguard

import (
	"container/heap"
	"math/rand/v2"
	"runtime"
	"testing"
)

func set() Settings {
	return Settings{Tuning: Defaults(), Carriers: 3, Routers: 3, ColdFrom: 0.33, ColdFor: 4 * second, MaxAdvice: second,
		Bands: []Band{{Contract: 1500e6, CutOff: 5 * second, Importance: 1}, {Contract: 750e6, CutOff: 3 * second, Importance: 5}}}
}

// world is a guard with ten warm hosts and a clock.
type world struct {
	*Guard
	now int64
	rnd *rand.Rand
	key uint64
}

func begin(t testing.TB, s Settings, seed uint64) *world {
	w := &world{now: 1e18, rnd: rand.New(rand.NewPCG(seed, 1))}
	var err error
	if w.Guard, err = New(s, seed, w.now); err != nil {
		t.Fatal(err)
	}
	w.List(w.now, true, hosts(10, 0))
	return w
}

func hosts(n int, started int64) (all []Host) {
	for i := range n {
		all = append(all, Host{ID: uint32(i + 1), Ready: true, Size: 1, Started: started})
	}
	return all
}

// try brings a new command; what is let in is fulfilled after the usual time if served, else its host is gone.
func (w *world) try(carrier int, print uint64, served bool) (in bool, wait int64) {
	x := &Try{Band: 0, Carrier: carrier, Print: print, Left: 5 * second}
	if in, wait = w.Take(w.now, x); !in {
		return
	}
	host := uint32(w.rnd.IntN(10) + 1)
	w.HandedOff(w.now, x, 0)
	if served {
		w.Ended(w.now, x, host, Answered, true, 3e8)
		return
	}
	w.Ended(w.now, x, host, Broken, false, 1e6)
	return in, w.Dismissed(w.now, x, 25e7)
}

// calm plays ordinary traffic: so many tries a second, a part of which come again after they went unserved.
func (w *world) calm(seconds float64, perSecond int, again float64) {
	for range int(seconds * float64(perSecond)) {
		w.now += second / int64(perSecond)
		w.key++
		print := Print(0, int(w.key%3), w.key, "")
		if w.rnd.Float64() < again/(1-again) { // one more try of it
			w.Unserved(w.now, &Try{Print: print})
		}
		w.try(int(w.key%3), print, true)
	}
}

// Calm traffic raises no alarm in an hour, at the rates of small and busy routers, with as many further tries as hasty
// fleets make: here a tenth of an hour for each of ten seeds.
func TestNoFalseAlarms(t *testing.T) {
	for _, rate := range []int{2, 30, 240} {
		for _, again := range []float64{0, 0.05, 0.2} {
			alarms := 0
			for seed := range uint64(10) {
				w := begin(t, set(), seed)
				w.all.calm, w.carriers[0].calm = again, again // what hours of it have taught
				for i := range w.carriers {
					w.carriers[i].calm = again
				}
				w.calm(360, rate, again)
				alarms += w.Stats.Storms + w.Stats.Carrier
			}
			if alarms > 0 {
				t.Errorf("%d tries a second, %v of them again: %d alarms in an hour", rate, again, alarms)
			}
		}
	}
}

// A storm is noticed within half a second of the first unserved second, by its further tries alone.
func TestNoticed(t *testing.T) {
	w := begin(t, set(), 1)
	w.calm(20, 50, 0.05)
	from := w.now
	for !w.all.Storm && w.now < from+2*second {
		w.now += second / 100
		print := Print(0, w.rnd.IntN(3), uint64(w.rnd.IntN(40)), "") // each of 40 comes again and again
		x := &Try{Carrier: w.rnd.IntN(3), Print: print, Left: 5 * second}
		w.Take(w.now, x)
		w.Unserved(w.now, x)
	}
	if took := w.now - from; took > 1500e6 {
		t.Errorf("noticed after %d ms", took/1e6)
	}
	// where the hosts are gone, at once
	w = begin(t, set(), 1)
	w.calm(20, 50, 0.05)
	from = w.now
	for w.now < from+500e6 && !w.all.Storm {
		w.now += second / 50
		w.key++
		w.try(0, Print(0, 0, w.key, ""), false)
	}
	if !w.all.Storm {
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
		waiting = append(waiting, due{w.now, Print(0, int(w.key%3), w.key, ""), int(w.key % 3)})
		for i := 0; i < len(waiting); i++ {
			if d := &waiting[i]; d.at <= w.now {
				_, wait := w.try(d.c, d.print, false)
				d.at = w.now + max(wait, 1e6)
			}
		}
	}
}

// What is let in stays within the ceiling of what hosts can do as they warm up, and grows with them.
func TestCeiling(t *testing.T) {
	w := begin(t, set(), 3)
	w.calm(30, 60, 0)
	shown := w.shown
	w.outage(5, 60)
	if !w.all.Storm || w.now != int64(w.now) {
		t.Fatal("no storm")
	}
	back := w.now
	w.List(back, true, []Host{})
	var cold []Host
	for _, h := range hosts(10, back) {
		h.ID += 100
		cold = append(cold, h)
	}
	w.List(back, false, cold)
	if can := w.fleet.At(back); can < 3.2 || can > 3.4 {
		t.Error("cold hosts can do", can)
	}
	work := 0.0
	for w.now < back+second/2 {
		w.now += second / 1000
		w.key++
		x := &Try{Print: Print(0, 0, w.key, ""), Carrier: int(w.key % 3), Left: 5 * second}
		if in, _ := w.Take(w.now, x); in {
			work += w.typical[0]
		}
	}
	// a third router's part: of 30 s of work a second when warm, half a second, cold
	may := 1.25 * max(shown*w.fleet.At(w.now)*0.5, w.fleet.At(w.now)/3*0.5) * 1.2
	if work == 0 || work > may {
		t.Errorf("%.2f s of work let in, %.2f may be", work, may)
	}
}

// One carrier's storm costs the others nothing.
func TestOneCarrier(t *testing.T) {
	w := begin(t, set(), 4)
	w.calm(20, 60, 0)
	away, others := 0, 0
	for range 1500 {
		w.now += second / 300
		print := Print(0, 1, uint64(w.rnd.IntN(3)+1), "")
		x := &Try{Carrier: 1, Print: print, Left: second}
		if in, _ := w.Take(w.now, x); !in {
			away++
		} else {
			w.Unserved(w.now, x)
		}
		if w.rnd.IntN(6) == 0 {
			w.key++
			if in, _ := w.try(int(w.key%2)*2, Print(0, 0, w.key, ""), true); !in {
				others++
			}
		}
	}
	if w.all.Storm || !w.carriers[1].Storm || away < 500 || others > 0 {
		t.Errorf("storm of all %v, of the carrier %v; %d of it away, %d of others", w.all.Storm, w.carriers[1].Storm, away, others)
	}
}

// Who is sent away comes back at a time with room, no two crowds at once; who comes earlier has no advantage, and who
// keeps the time goes before the others.
func TestAppointments(t *testing.T) {
	w := begin(t, set(), 5)
	w.calm(20, 60, 0)
	w.outage(3, 60)
	w.List(w.now, true, hosts(10, w.now))
	for i := range w.fleet.ready {
		w.fleet.ready[i].known, w.fleet.ready[i].down = true, false
	}
	w.now += tickLen
	perSlot := map[int64]int{}
	for range 600 {
		w.key++
		x := &Try{Print: Print(0, 0, w.key, ""), Left: 5 * second}
		if in, wait := w.Take(w.now, x); !in {
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
	c := w.of(0)
	early := w.Stats.Early
	if got := w.appointed(c, w.now, w.now-1e8, w.now+3e8); got != further || w.Stats.Early != early+1 {
		t.Error("came early and counts as", got)
	}
	if got := w.appointed(c, w.now, w.now-1e9, w.now); got != expected {
		t.Error("kept its time and counts as", got)
	}
	if got := w.appointed(c, w.now, w.now-second, w.now+2*second); got != further || w.Stats.Early != early+1 {
		t.Error("came when told, before its due time, and counts as", got, w.Stats.Early)
	}
	var full pool
	full.have, full.rate = 0.4, 10
	spare := 0.0
	mine := pool{have: 10, allowed: 0}
	if mine.admit(&full, &spare, further, 0.3, 0.5, 0) || !mine.admit(&full, &spare, expected, 0.3, 0.5, 0) {
		t.Error("an appointment does not go first")
	}
}

// Carriers whose clients come when they like get no slots that others would keep.
func TestHeedless(t *testing.T) {
	w := begin(t, set(), 6)
	w.calm(20, 60, 0)
	w.outage(2, 60)
	for range 200 {
		w.appointed(w.of(0), w.now, w.now, w.now+second/2)
	}
	booked := w.Stats.Booked
	x := &Try{Print: 77, Carrier: 0, Left: second}
	if wait := w.Dismissed(w.now, x, 0); w.Stats.Booked != booked || wait < second/2 || wait > second {
		t.Error(w.Stats.Booked-booked, "booked, told", wait)
	}
	if len(w.prints.entries)*8 > set().Memory {
		t.Error("the table grew")
	}
}

// Work that can't be done before its client leaves is not begun, whatever room there is.
func TestHopeless(t *testing.T) {
	w := begin(t, set(), 7)
	w.calm(20, 60, 0)
	w.outage(2, 60)
	w.room.have = 100
	w.bound = 100
	if in, _ := w.Take(w.now, &Try{Print: 1, Left: 1e7}); in || w.Stats.Hopeless == 0 {
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
		s := set()
		s.Memory = 8 << 10
		w := begin(t, s, seed)
		bytes := w.Bytes()
		var open []*Try
		for range 4000 {
			switch w.rnd.IntN(40) {
			case 0:
				w.now += int64(w.rnd.IntN(int(20 * second))) // a clock that jumps
			case 1:
				w.now -= int64(w.rnd.IntN(int(20 * second)))
			case 2:
				w.List(w.now, w.rnd.IntN(2) == 0, []Host{{ID: uint32(w.rnd.IntN(12)), Ready: w.rnd.IntN(2) == 0, Size: w.rnd.Float64()*3 - 1,
					Started: w.now - int64(w.rnd.IntN(int(10*second)))}})
			default:
				w.now += int64(w.rnd.IntN(2e7))
			}
			x := &Try{Band: w.rnd.IntN(4) - 1, Carrier: w.rnd.IntN(6) - 1, Print: uint64(w.rnd.IntN(50)) * 0x9e3779b97f4a7c15,
				Marked: w.rnd.IntN(3) == 0, Left: int64(w.rnd.IntN(int(5*second))) - 1e8}
			if in, wait := w.Take(w.now, x); in {
				open = append(open, x)
			} else if wait < 0 || wait > s.MaxAdvice {
				t.Fatal("wait", wait)
			}
			if len(open) > 0 && w.rnd.IntN(3) > 0 {
				i := w.rnd.IntN(len(open))
				x := open[i]
				w.HandedOff(w.now, x, w.rnd.IntN(2))
				sign := Sign(w.rnd.IntN(5))
				w.Ended(w.now, x, uint32(w.rnd.IntN(12)), sign, sign == Answered, int64(w.rnd.IntN(1e9))-1e7)
				if sign != Answered {
					if wait := w.Dismissed(w.now, x, 25e7); wait < 0 || wait > s.MaxAdvice {
						t.Fatal("wait", wait)
					}
				}
				open[i] = open[len(open)-1]
				open = open[:len(open)-1]
			}
			if w.out < 0 || w.Bytes() != bytes || !(w.pace >= lowest && w.pace <= greatest) || !(w.room.have < 1e6) {
				t.Fatal(w.out, w.Bytes(), w.pace, w.room.have)
			}
		}
	})
}

// Forged marks by the million leave the table at its size, and the true ones' are found as long as they are young.
func TestPrints(t *testing.T) {
	p := NewPrints(64<<10, 5*second)
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
	if p.Bytes() != 64<<10 || p.Lost == 0 || found < 9900 {
		t.Error(p.Bytes(), p.Lost, found)
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
	if made, due, ok := p.Take(5, now+second); !ok || made-now > unit || now-made > unit || due-now-3*second > 2*unit || now+3*second-due > 2*unit {
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
			p.Age(now + i*second)
		}
	}
	if _, _, ok := p.Take(7, now+span*unit); ok {
		t.Error("found when the times had come round")
	}
}

// A wheel's promises stay within each slot's room, fill up in order, and are what a plain scan would give.
func TestWheel(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		w := NewWheel(2 * second)
		now := int64(1e18)
		room := func(at int64) float64 { return float64(at/slot%7) / 7 }
		w.Forecast(now, room)
		for range 400 {
			earliest := now + int64(rnd.IntN(int(2*second)))
			want := int64(-1)
			for at := max(earliest/slot, w.from); at < w.from+int64(len(w.room)); at++ {
				if i := w.index(at); w.promised[i] < w.room[i] {
					want = at * slot
					break
				}
			}
			due, ok := w.Promise(earliest, 0.2)
			if ok != (want >= 0) || ok && due != want {
				t.Fatal(seed, due, ok, want)
			}
			if rnd.IntN(20) == 0 {
				w.Free(due, 0.2)
				now += int64(rnd.IntN(int(second / 5)))
				w.Forecast(now, room)
			}
		}
	}
}

// With the part on and calm, a command costs no allocation.
func TestNoAllocations(t *testing.T) {
	w := begin(t, set(), 9)
	w.calm(5, 60, 0.1)
	x := &Try{Print: 9, Left: second}
	if n := testing.AllocsPerRun(2000, func() {
		w.now += second / 200
		*x = Try{Print: Print(0, 0, uint64(w.now), ""), Left: second}
		w.Take(w.now, x)
		w.HandedOff(w.now, x, 0)
		w.Ended(w.now, x, 1, Answered, true, 2e8)
	}); n > 0 {
		t.Error(n, "allocations a command")
	}
}

func TestSettings(t *testing.T) {
	for _, spoil := range []func(*Settings){func(s *Settings) { s.Ceiling = 9 }, func(s *Settings) { s.Memory = 1 },
		func(s *Settings) { s.Horizon = 0 }, func(s *Settings) { s.Bands = nil }, func(s *Settings) { s.Routers = 0 }} {
		s := set()
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

func bytesOf(make func() any) float64 {
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
		w, p := NewWheel(60*second), NewPrints(16<<20, 60*second)
		w.Forecast(now, func(int64) float64 { return 400 })
		for i := range many {
			due, _ := w.Promise(now, 1)
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
			b.ReportMetric(bytesOf(fill), "B/appointment")
		})
	}
}

// Half a million lie between a print's Put and its Take, as many as both then hold.
func BenchmarkPrints(b *testing.B) {
	const half = 500_000
	now := int64(1e18)
	b.Run("table", func(b *testing.B) {
		p := NewPrints(16<<20, 60*second)
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

func BenchmarkTake(b *testing.B) {
	w := begin(b, set(), 9)
	x := &Try{}
	for b.Loop() {
		w.now += second / 200
		*x = Try{Print: Print(0, 0, uint64(w.now), ""), Left: second}
		w.Take(w.now, x)
		w.HandedOff(w.now, x, 0)
		w.Ended(w.now, x, 1, Answered, true, 2e8)
	}
}

// Small matters of the guard, each of which once was forgotten somewhere.
func TestSmallMatters(t *testing.T) {
	w := begin(t, set(), 10)
	w.calm(20, 60, 0)
	waits := map[int64]bool{}
	for i := range uint64(20) { // in calm, those who go together don't come together
		x := &Try{Print: i + 1, Left: second}
		w.Take(w.now, x)
		wait := w.Dismissed(w.now, x, 250e6)
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
	if w.calmTicks < calm+15 || w.Stats.Jumps != 1 {
		t.Error("ticks after the jump:", w.calmTicks-calm, w.Stats.Jumps)
	}
	w.outage(2, 60)
	w.room.have = 1
	x := &Try{Left: second}
	w.HandedOff(w.now, x, 0)
	if w.HandedOff(w.now, x, 1); w.room.have != 1-w.typical[0] {
		t.Error("a further hand-off takes no room:", w.room.have)
	}
	w.pace, w.wide, w.answers = 2, 2, 0.1
	if w.regulate(); w.pace != 1 || w.wide != 1 {
		t.Error("goes on at the pace of before the hosts went:", w.pace, w.wide)
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
func TestFleet(t *testing.T) {
	for _, c := range []struct {
		sign Sign
		can  float64
	}{{Broken, 9.33}, {Silent, 10}, {Unsent, 10}} {
		f := NewFleet(0.33, 4*second)
		f.List(true, hosts(10, 0))
		for id := range uint32(10) {
			f.Ended(second, id+1, Answered)
		}
		for range 3 {
			f.Ended(second, 4, c.sign)
		}
		if down := f.At(second); c.sign != Unsent && down != 9 {
			t.Error("one is down, and the others can do", down)
		}
		f.Ended(2*second, 4, Answered)
		if can := f.At(2 * second); can < c.can-0.01 || can > c.can+0.01 {
			t.Errorf("after sign %d: %v, want %v", c.sign, can, c.can)
		}
		if warm := f.At(6 * second); warm != 10 {
			t.Error("warm hosts can do", warm)
		}
	}
	f := NewFleet(0.33, 4*second)
	f.List(true, hosts(4, 0))
	f.Ended(0, 1, Answered)
	for range 2 {
		f.Ended(0, 2, Broken)
	}
	if can := f.At(0); can != 2 { // of two it met one is up: so is one of the two others
		t.Error(can)
	}
	if f.List(true, []Host{{ID: 9, Ready: true, Size: -1}}); f.Whole() != 1 {
		t.Error("a size that can't be:", f.Whole())
	}
}
