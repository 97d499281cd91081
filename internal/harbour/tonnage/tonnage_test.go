package tonnage

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/manifest"
)

func share(caller string, perS float64) manifest.Share {
	return manifest.Share{Name: "s-" + caller, Service: "desk", Header: "X-Agency", Caller: caller, PerS: perS, Burst: max(1, perS)}
}

// Who is who: callers without a name, unknown ones, and forged or huge names are others; others without a share have what is
// left over.
func TestWhoTheCallerIs(t *testing.T) {
	for _, x := range []struct {
		caller string
		others bool // they have a share
		room   Room
		share  string
		in     bool
	}{
		{"a", false, None, "s-a", true}, {"", false, None, "", false}, {"", false, Ample, "", true}, {"b", false, None, "", false},
		{"b", true, None, "s-*", true}, {"", true, None, "s-*", true}, {"*", true, None, "s-*", true},
		{strings.Repeat("x", 1<<16), true, None, "s-*", true}, {strings.Repeat("x", 1<<16), false, None, "", false},
	} {
		c := qt.New(t)
		shares := []manifest.Share{share("a", 5)}
		if x.others {
			shares = append(shares, share(manifest.Others, 5))
		}
		v := NewMeter(shares, 1, 0).Take(1, x.caller, false, x.room)
		c.Check([2]any{v.Share, v.In}, qt.Equals, [2]any{x.share, x.in}, qt.Commentf("%.10q, others %v, room %v", x.caller, x.others, x.room))
	}
}

// Over its share a caller may use what others leave, lookups first to lose it; within its share lookups leave the last of it
// to what must not be repeated. Whoever is sent away gets a turn of its own.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	m := NewMeter([]manifest.Share{share("a", 10)}, 1, 0)
	now := 10 * second
	safe, unsafe := 0, 0
	for range 100 {
		if m.Take(now, "a", true, None).In {
			safe++
		}
	}
	for range 100 {
		if m.Take(now, "a", false, None).In {
			unsafe++
		}
	}
	c.Check(safe > 0 && unsafe >= safe/5 && safe+unsafe <= 40, qt.IsTrue, qt.Commentf("%d and %d", safe, unsafe))
	for _, x := range []struct {
		room Room
		safe bool
		in   bool
	}{{Ample, true, true}, {Ample, false, true}, {Scarce, true, false}, {Scarce, false, true}, {None, true, false}, {None, false, false}} {
		v := m.Take(now, "a", x.safe, x.room)
		c.Check([2]bool{v.In, v.Over}, qt.Equals, [2]bool{x.in, x.in}, qt.Commentf("%+v", x))
	}
	last := int64(0)
	for range 10 {
		v := m.Take(now, "a", false, None)
		c.Check(v.In, qt.IsFalse)
		c.Check(v.Wait > last || v.Wait == Window, qt.IsTrue)
		last = v.Wait
	}
	for used, want := range map[float64]Room{0: Ample, 0.69: Ample, 0.7: Scarce, 0.85: None, 2: None} {
		c.Check(RoomOf(used), qt.Equals, want)
	}
	m.Set([]manifest.Share{{Name: "w", Caller: "a", Header: "X-Agency", Watch: true}}, 1, now)
	c.Check(m.Take(now, "a", true, None).In, qt.IsTrue) // it is only watched
}

// A lease ends by itself, and a caller of whom nothing is known any more has what it had at first.
func TestLeaseEnds(t *testing.T) {
	c := qt.New(t)
	m := NewMeter([]manifest.Share{share("a", 100)}, 10, 0)
	count := func(from, to int64) (n int) {
		for now := from; now < to; now += second / 200 {
			if m.Take(now, "a", false, None).In {
				n++
			}
		}
		return n
	}
	c.Check(count(0, 5*second) <= 5*40+40, qt.IsTrue) // four times its even part
	m.Dealt(5*second, []Allotment{{Share: "s-a", Rate: 70, Used: 500}})
	n := count(5*second, 8*second)
	c.Check(n >= 200 && n <= 3*71+80, qt.IsTrue, qt.Commentf("%d", n))
	n = count(9*second, 14*second)
	c.Check(n <= 5*40+80, qt.IsTrue, qt.Commentf("%d after the lease", n))
	m.Dealt(14*second, []Allotment{{Share: "s-a", Rate: 0, Used: 500}, {Share: "unknown", Rate: 9}})
	n = count(14*second, 17*second)
	c.Check(n <= 3+40, qt.IsTrue, qt.Commentf("%d on the even part alone", n))
}

// The parts that all zones deal never come to more than the share once demand has been the same for a moment, and a zone that
// is lost keeps its part until its leases are over.
func TestDealersAddUp(t *testing.T) {
	c := qt.New(t)
	draw := rand.New(rand.NewPCG(5, 5))
	shares := map[string][]manifest.Share{"desk": {share("a", 90)}}
	dealers := []*Dealer{NewDealer(), NewDealer(), NewDealer()}
	want := []float64{100, 300, 0}
	for _, d := range dealers {
		d.Set(shares)
	}
	rates := map[string]float64{}
	tell := func(now int64, heard ...int) {
		for z, d := range dealers {
			if want[z] > 0 {
				d.Told(now, fmt.Sprint(z), []Report{{Share: "s-a", Want: want[z], Short: true}}, nil)
			} else {
				d.Told(now, fmt.Sprint(z), nil, nil)
			}
		}
		for z, d := range dealers {
			for _, x := range heard {
				if x != z {
					sums, loads := dealers[x].Sums()
					d.Zone(now, fmt.Sprint(x), sums, loads)
				}
			}
			for router, all := range d.Deal(now) {
				for _, a := range all {
					rates[router] = a.Rate
				}
			}
		}
	}
	sum := func() (all float64) {
		for _, r := range rates {
			all += r
		}
		return all
	}
	for now := int64(second); now < 40*second; now += DealEvery {
		if draw.IntN(10) == 0 {
			want[draw.IntN(3)] = float64(draw.IntN(5)) * 100
		}
		tell(now, 0, 1, 2)
		c.Assert(sum() <= 90*(1-Even)*1.06, qt.IsTrue, qt.Commentf("%v of 90 at %d, wanted %v", rates, now, want))
	}
	want = []float64{100, 100, 100}
	for now := 40 * second; now < 45*second; now += DealEvery {
		tell(now, 0, 1, 2)
	}
	c.Check(sum() > 75, qt.IsTrue, qt.Commentf("%v", rates))
	for _, d := range dealers[:2] {
		d.Lost(45*second, "2")
	}
	for now := 45 * second; now < 45*second+Held; now += DealEvery {
		tell(now, 0, 1)
		c.Assert(rates["0"] < 30, qt.IsTrue) // the lost one's routers may still use theirs
	}
	for now := 45*second + Held; now < 55*second; now += DealEvery {
		tell(now, 0, 1)
	}
	c.Check(rates["0"] > 35, qt.IsTrue, qt.Commentf("%v", rates))
	dealers[0].Set(map[string][]manifest.Share{})
	c.Check(dealers[0].Off(), qt.IsTrue)
	c.Check(dealers[0].Deal(56*second), qt.HasLen, 0)
}

// A part of what a service can carry follows the hosts and how long their answers take.
func TestPartOfWhatIsCarried(t *testing.T) {
	c := qt.New(t)
	d := NewDealer()
	s := share("a", 0)
	s.PerS, s.Part = 1, 0.5
	d.Set(map[string][]manifest.Share{"desk": {s}})
	c.Check(d.CarriesAll(), qt.HasLen, 0)
	d.Slots(map[string]int{"desk": 30})
	d.Told(1, "r", nil, []Load{{"desk", 10, 1}}) // a tenth of a second each
	d.Zone(1, "z", nil, []Load{{"desk", 10, 3}})
	c.Check(d.CarriesAll()["desk"], qt.Equals, 150.0)
	c.Check(d.States(1, "self")[0].Limit, qt.Equals, 75.0)
	m := NewMeter([]manifest.Share{s}, 1, 0)
	m.Carries(150)
	c.Check(m.Take(1, "a", false, None).Limit, qt.Equals, 750.0)
}

// However many callers there are, a census names a bounded number, and loses none of the count; an hour forgets what is older.
func TestCensus(t *testing.T) {
	c := qt.New(t)
	s := NewCensus(8)
	for i := range 10000 {
		s.Count(fmt.Sprint("forged-", i))
		if i%4 == 0 {
			s.Count("often")
		}
	}
	all := s.Hand()
	c.Check(len(all) <= 9, qt.IsTrue)
	sum, often := uint64(0), uint64(0)
	for _, x := range all {
		if sum += x.N; x.Caller == "often" {
			often = x.N
		}
	}
	c.Check(sum, qt.Equals, uint64(12500))
	c.Check(often > 0, qt.IsTrue)
	c.Check(s.Hand(), qt.HasLen, 0)
	h := NewHours(2)
	for m := range int64(90) {
		h.Add(m*minute+5, []Count{{"a", 120}, {"b", 6}, {fmt.Sprint("c", m), 1}})
	}
	callers := h.All(90 * minute)
	c.Assert(callers, qt.HasLen, 3)
	c.Check([2]any{callers[0].Name, callers[1].Name}, qt.Equals, [2]any{"", "a"})
	c.Check(callers[1].Minutes, qt.HasLen, 60)
	c.Check(callers[1].HeldBack(1), qt.Equals, uint64(59*60))
	c.Check(callers[1].HeldBack(2), qt.Equals, uint64(0))
	c.Check(h.All(500*minute), qt.HasLen, 0)
}

// A request's check costs no allocation, also at ten thousand callers.
func TestTakeAllocates(t *testing.T) {
	var shares []manifest.Share
	for i := range 10000 {
		shares = append(shares, share(fmt.Sprint("c", i), 1))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m, now := NewMeter(shares, 10, 0), int64(0)
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%d bytes a caller at a router", (after.HeapAlloc-before.HeapAlloc)/uint64(len(shares)))
	n := testing.AllocsPerRun(1000, func() {
		now += second / 1000
		m.Take(now, "c77", true, Ample)
	})
	qt.Check(t, n, qt.Equals, 0.0)
}

func BenchmarkTake(b *testing.B) {
	m, now := NewMeter([]manifest.Share{share("a", 100)}, 10, 0), int64(0)
	for b.Loop() {
		now += second / 1000
		m.Take(now, "a", true, Ample)
	}
}

// What nobody reports costs the dealer nothing, however many shares stand: with 33,000 each deal went through all of them, five
// times a second, and worked out 33,000 times what 220 services carry.
func TestCostOfIdleShares(t *testing.T) {
	c := qt.New(t)
	costs := map[int][2]uint64{}
	for _, shares := range []int{220, 11000} {
		d, all := NewDealer(), map[string][]manifest.Share{}
		for n := range shares {
			s := fmt.Sprint("service-", n%22)
			all[s] = append(all[s], manifest.Share{Name: fmt.Sprint("share-", n), Service: s, Header: "X-Agency", Caller: fmt.Sprint(n), PerS: 5, Burst: 5})
		}
		d.Set(all)
		for n := range 20 {
			router := fmt.Sprint("r", n)
			d.Meet(router)
			d.Told(1e9, router, []Report{{Share: "share-7", Want: 2, Took: 3}}, []Load{{Service: "service-3", Answers: 10, Work: 1}})
		}
		d.Slots(map[string]int{"service-3": 40})
		d.Deal(1e9)
		bytes := func(call func()) uint64 {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range 20 {
				call()
			}
			runtime.ReadMemStats(&after)
			return (after.TotalAlloc - before.TotalAlloc) / 20
		}
		costs[shares] = [2]uint64{bytes(func() { d.Deal(2e9) }), bytes(func() { d.CarriesAll() })}
		c.Check(d.CarriesAll(), qt.HasLen, 1)
		c.Check(d.CarriesAll()["service-3"] > 0, qt.IsTrue)
	}
	t.Logf("bytes a deal and a look at what services carry, by shares: %v", costs)
	for i := range 2 {
		c.Check(costs[11000][i] < costs[220][i]*2+1024, qt.IsTrue)
	}
}

// Callers at rest cost a router nothing, however many shares stand: with 33,000 a router without a request spent 3.5% of a core on
// looking at each of them five times a second. Who comes is looked at until it is at rest again, and reported as before.
func TestRestingCallers(t *testing.T) {
	c := qt.New(t)
	var shares []manifest.Share
	for n := range 5000 {
		shares = append(shares, share(fmt.Sprint("c", n), 20))
	}
	m := NewMeter(shares, 4, 1)
	now := second
	for range 30 {
		m.Take(now, "c7", false, Ample)
		m.Take(now, "c8", true, Ample)
		now += second / 10
	}
	c.Check(m.Reports(now), qt.HasLen, 2)
	c.Check(m.awake, qt.HasLen, 2)
	now += 20 * second
	m.Dealt(now, []Allotment{{Share: "s-c8", Rate: 3}, {Share: "s-c9", Rate: 2}})
	c.Check(m.Reports(now), qt.HasLen, 1) // c8 by its lease; c7 asked for too little of late, c9 has a lease and asked for nothing
	c.Check(m.awake, qt.HasLen, 3)
	now += 60 * second
	c.Check(m.Reports(now), qt.HasLen, 0)
	c.Check(m.awake, qt.HasLen, 0)
	m.Take(now, "c4999", false, Ample)
	m.Set(shares[:10], 4, now) // a share that goes takes its caller along
	c.Check(m.awake, qt.HasLen, 0)
	for range 60 {
		m.Take(now, "c9", false, Ample)
	}
	c.Check(m.Reports(now)[0].Share, qt.Equals, "s-c9")
}
