package quota

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
)

func testQuota(caller string, perSecond float64) config.Quota {
	return config.Quota{Name: "s-" + caller, Service: "desk", CallerHeader: "X-Agency", Caller: caller, Rate: perSecond, Burst: max(1, perSecond)}
}

// Who is who: callers without a name, unknown ones, and forged or huge names are others; others without a share have what is
// left over.
func TestCallerIdentification(t *testing.T) {
	for _, x := range []struct {
		caller         string
		hasOthersQuota bool // they have a share
		headroom       Headroom
		quota          string
		admitted       bool
	}{
		{"a", false, NoHeadroom, "s-a", true}, {"", false, NoHeadroom, "", false}, {"", false, AmpleHeadroom, "", true}, {"b", false, NoHeadroom, "", false},
		{"b", true, NoHeadroom, "s-*", true}, {"", true, NoHeadroom, "s-*", true}, {"*", true, NoHeadroom, "s-*", true},
		{strings.Repeat("x", 1<<16), true, NoHeadroom, "s-*", true}, {strings.Repeat("x", 1<<16), false, NoHeadroom, "", false},
	} {
		c := qt.New(t)
		quotas := []config.Quota{testQuota("a", 5)}
		if x.hasOthersQuota {
			quotas = append(quotas, testQuota(config.OtherCallers, 5))
		}
		decision := NewMeter(quotas, 1, 0).Admit(1, x.caller, false, x.headroom)
		c.Check([2]any{decision.Quota, decision.Admitted}, qt.Equals, [2]any{x.quota, x.admitted}, qt.Commentf("%.10q, others %v, room %v", x.caller, x.hasOthersQuota, x.headroom))
	}
}

// Over its share a caller may use what others leave, lookups first to lose it; within its share lookups leave the last of it
// to what must not be repeated. Whoever is sent away gets a turn of its own.
func TestAdmissionPriority(t *testing.T) {
	c := qt.New(t)
	m := NewMeter([]config.Quota{testQuota("a", 10)}, 1, 0)
	now := 10 * second
	idempotent, nonIdempotent := 0, 0
	for range 100 {
		if m.Admit(now, "a", true, NoHeadroom).Admitted {
			idempotent++
		}
	}
	for range 100 {
		if m.Admit(now, "a", false, NoHeadroom).Admitted {
			nonIdempotent++
		}
	}
	c.Check(idempotent > 0 && nonIdempotent >= idempotent/5 && idempotent+nonIdempotent <= 40, qt.IsTrue, qt.Commentf("%d and %d", idempotent, nonIdempotent))
	for _, x := range []struct {
		headroom   Headroom
		idempotent bool
		admitted   bool
	}{{AmpleHeadroom, true, true}, {AmpleHeadroom, false, true}, {ScarceHeadroom, true, false}, {ScarceHeadroom, false, true}, {NoHeadroom, true, false}, {NoHeadroom, false, false}} {
		decision := m.Admit(now, "a", x.idempotent, x.headroom)
		c.Check([2]bool{decision.Admitted, decision.OverQuota}, qt.Equals, [2]bool{x.admitted, x.admitted}, qt.Commentf("%+v", x))
	}
	last := int64(0)
	for range 10 {
		decision := m.Admit(now, "a", false, NoHeadroom)
		c.Check(decision.Admitted, qt.IsFalse)
		c.Check(decision.RetryAfter > last || decision.RetryAfter == LimitWindow, qt.IsTrue)
		last = decision.RetryAfter
	}
	for used, want := range map[float64]Headroom{0: AmpleHeadroom, 0.69: AmpleHeadroom, 0.7: ScarceHeadroom, 0.85: NoHeadroom, 2: NoHeadroom} {
		c.Check(HeadroomFor(used), qt.Equals, want)
	}
	m.SetQuotas([]config.Quota{{Name: "w", Caller: "a", CallerHeader: "X-Agency", WatchOnly: true}}, 1, now)
	c.Check(m.Admit(now, "a", true, NoHeadroom).Admitted, qt.IsTrue) // it is only watched
}

// A lease ends by itself, and a caller of whom nothing is known any more has what it had at first.
func TestLeaseExpiry(t *testing.T) {
	c := qt.New(t)
	m := NewMeter([]config.Quota{testQuota("a", 100)}, 10, 0)
	count := func(from, to int64) (n int) {
		for now := from; now < to; now += second / 200 {
			if m.Admit(now, "a", false, NoHeadroom).Admitted {
				n++
			}
		}
		return n
	}
	c.Check(count(0, 5*second) <= 5*40+40, qt.IsTrue) // four times its even part
	m.ApplyAllocations(5*second, []Allocation{{Quota: "s-a", Rate: 70, Used: 500}})
	n := count(5*second, 8*second)
	c.Check(n >= 200 && n <= 3*71+80, qt.IsTrue, qt.Commentf("%d", n))
	n = count(9*second, 14*second)
	c.Check(n <= 5*40+80, qt.IsTrue, qt.Commentf("%d after the lease", n))
	m.ApplyAllocations(14*second, []Allocation{{Quota: "s-a", Rate: 0, Used: 500}, {Quota: "unknown", Rate: 9}})
	n = count(14*second, 17*second)
	c.Check(n <= 3+40, qt.IsTrue, qt.Commentf("%d on the even part alone", n))
}

// The parts that all zones deal never come to more than the share once demand has been the same for a moment, and a zone that
// is lost keeps its part until its leases are over.
func TestAllocatedRatesStayWithinQuota(t *testing.T) {
	c := qt.New(t)
	draw := rand.New(rand.NewPCG(5, 5))
	quotas := map[string][]config.Quota{"desk": {testQuota("a", 90)}}
	allocators := []*Allocator{NewAllocator(), NewAllocator(), NewAllocator()}
	demand := []float64{100, 300, 0}
	for _, allocator := range allocators {
		allocator.SetQuotas(quotas)
	}
	rates := map[string]float64{}
	exchange := func(now int64, connected ...int) {
		for zone, allocator := range allocators {
			if demand[zone] > 0 {
				allocator.AddReports(now, fmt.Sprint(zone), []Report{{Quota: "s-a", Demand: demand[zone], Short: true}}, nil)
			} else {
				allocator.AddReports(now, fmt.Sprint(zone), nil, nil)
			}
		}
		for zone, allocator := range allocators {
			for _, other := range connected {
				if other != zone {
					usage, loads := allocators[other].Usage()
					allocator.MergeZone(now, fmt.Sprint(other), usage, loads)
				}
			}
			for proxy, all := range allocator.Allocate(now) {
				for _, allocation := range all {
					rates[proxy] = allocation.Rate
				}
			}
		}
	}
	totalRate := func() (all float64) {
		for _, r := range rates {
			all += r
		}
		return all
	}
	for now := int64(second); now < 40*second; now += AllocationInterval {
		if draw.IntN(10) == 0 {
			demand[draw.IntN(3)] = float64(draw.IntN(5)) * 100
		}
		exchange(now, 0, 1, 2)
		c.Assert(totalRate() <= 90*(1-EvenFraction)*1.06, qt.IsTrue, qt.Commentf("%v of 90 at %d, wanted %v", rates, now, demand))
	}
	demand = []float64{100, 100, 100}
	for now := 40 * second; now < 45*second; now += AllocationInterval {
		exchange(now, 0, 1, 2)
	}
	c.Check(totalRate() > 75, qt.IsTrue, qt.Commentf("%v", rates))
	for _, allocator := range allocators[:2] {
		allocator.ZoneLost(45*second, "2")
	}
	for now := 45 * second; now < 45*second+ZoneRetention; now += AllocationInterval {
		exchange(now, 0, 1)
		c.Assert(rates["0"] < 30, qt.IsTrue) // the lost one's routers may still use theirs
	}
	for now := 45*second + ZoneRetention; now < 55*second; now += AllocationInterval {
		exchange(now, 0, 1)
	}
	c.Check(rates["0"] > 35, qt.IsTrue, qt.Commentf("%v", rates))
	allocators[0].SetQuotas(map[string][]config.Quota{})
	c.Check(allocators[0].Empty(), qt.IsTrue)
	c.Check(allocators[0].Allocate(56*second), qt.HasLen, 0)
}

// A part of what a service can carry follows the hosts and how long their answers take.
func TestFractionOfCapacity(t *testing.T) {
	c := qt.New(t)
	allocator := NewAllocator()
	quota := testQuota("a", 0)
	quota.Rate, quota.Fraction = 1, 0.5
	allocator.SetQuotas(map[string][]config.Quota{"desk": {quota}})
	c.Check(allocator.Capacities(), qt.HasLen, 0)
	allocator.SetSlots(map[string]int{"desk": 30})
	allocator.AddReports(1, "r", nil, []Load{{"desk", 10, 1}}) // a tenth of a second each
	allocator.MergeZone(1, "z", nil, []Load{{"desk", 10, 3}})
	c.Check(allocator.Capacities()["desk"], qt.Equals, 150.0)
	c.Check(allocator.Statuses(1, "self")[0].Limit, qt.Equals, 75.0)
	m := NewMeter([]config.Quota{quota}, 1, 0)
	m.SetCapacity(150)
	c.Check(m.Admit(1, "a", false, NoHeadroom).Limit, qt.Equals, 750.0)
}

// However many callers there are, a census names a bounded number, and loses none of the count; an hour forgets what is older.
func TestCallerCounter(t *testing.T) {
	c := qt.New(t)
	counter := NewCallerCounter(8)
	for i := range 10000 {
		counter.Add(fmt.Sprint("forged-", i))
		if i%4 == 0 {
			counter.Add("often")
		}
	}
	all := counter.Drain()
	c.Check(len(all) <= 9, qt.IsTrue)
	total, frequent := uint64(0), uint64(0)
	for _, x := range all {
		if total += x.Requests; x.Caller == "often" {
			frequent = x.Requests
		}
	}
	c.Check(total, qt.Equals, uint64(12500))
	c.Check(frequent > 0, qt.IsTrue)
	c.Check(counter.Drain(), qt.HasLen, 0)
	history := NewMinuteHistory(2)
	for m := range int64(90) {
		history.Add(m*minute+5, []CallerCount{{"a", 120}, {"b", 6}, {fmt.Sprint("c", m), 1}})
	}
	callers := history.All(90 * minute)
	c.Assert(callers, qt.HasLen, 3)
	c.Check([2]any{callers[0].Name, callers[1].Name}, qt.Equals, [2]any{"", "a"})
	c.Check(callers[1].Minutes, qt.HasLen, 60)
	c.Check(callers[1].ExcessRequests(1), qt.Equals, uint64(59*60))
	c.Check(callers[1].ExcessRequests(2), qt.Equals, uint64(0))
	c.Check(history.All(500*minute), qt.HasLen, 0)
}

// A request's check costs no allocation, also at ten thousand callers.
func TestAdmitDoesNotAllocate(t *testing.T) {
	var quotas []config.Quota
	for i := range 10000 {
		quotas = append(quotas, testQuota(fmt.Sprint("c", i), 1))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m, now := NewMeter(quotas, 10, 0), int64(0)
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%d bytes a caller at a router", (after.HeapAlloc-before.HeapAlloc)/uint64(len(quotas)))
	n := testing.AllocsPerRun(1000, func() {
		now += second / 1000
		m.Admit(now, "c77", true, AmpleHeadroom)
	})
	qt.Check(t, n, qt.Equals, 0.0)
}

func BenchmarkAdmit(b *testing.B) {
	m, now := NewMeter([]config.Quota{testQuota("a", 100)}, 10, 0), int64(0)
	for b.Loop() {
		now += second / 1000
		m.Admit(now, "a", true, AmpleHeadroom)
	}
}

// What nobody reports costs the dealer nothing, however many shares stand: with 33,000 each deal went through all of them, five
// times a second, and worked out 33,000 times what 220 services carry.
func TestCostOfIdleQuotas(t *testing.T) {
	c := qt.New(t)
	costs := map[int][2]uint64{}
	for _, quotas := range []int{220, 11000} {
		allocator, all := NewAllocator(), map[string][]config.Quota{}
		for n := range quotas {
			service := fmt.Sprint("service-", n%22)
			all[service] = append(all[service], config.Quota{Name: fmt.Sprint("share-", n), Service: service, CallerHeader: "X-Agency", Caller: fmt.Sprint(n), Rate: 5, Burst: 5})
		}
		allocator.SetQuotas(all)
		for n := range 20 {
			proxy := fmt.Sprint("r", n)
			allocator.AddRouter(proxy)
			allocator.AddReports(1e9, proxy, []Report{{Quota: "share-7", Demand: 2, Admitted: 3}}, []Load{{Service: "service-3", Completed: 10, Work: 1}})
		}
		allocator.SetSlots(map[string]int{"service-3": 40})
		allocator.Allocate(1e9)
		bytes := func(call func()) uint64 {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range 20 {
				call()
			}
			runtime.ReadMemStats(&after)
			return (after.TotalAlloc - before.TotalAlloc) / 20
		}
		costs[quotas] = [2]uint64{bytes(func() { allocator.Allocate(2e9) }), bytes(func() { allocator.Capacities() })}
		c.Check(allocator.Capacities(), qt.HasLen, 1)
		c.Check(allocator.Capacities()["service-3"] > 0, qt.IsTrue)
	}
	t.Logf("bytes a deal and a look at what services carry, by shares: %v", costs)
	for i := range 2 {
		c.Check(costs[11000][i] < costs[220][i]*2+1024, qt.IsTrue)
	}
}

// Callers at rest cost a router nothing, however many shares stand: with 33,000 a router without a request spent 3.5% of a core on
// looking at each of them five times a second. Who comes is looked at until it is at rest again, and reported as before.
func TestIdleCallers(t *testing.T) {
	c := qt.New(t)
	var quotas []config.Quota
	for n := range 5000 {
		quotas = append(quotas, testQuota(fmt.Sprint("c", n), 20))
	}
	m := NewMeter(quotas, 4, 1)
	now := second
	for range 30 {
		m.Admit(now, "c7", false, AmpleHeadroom)
		m.Admit(now, "c8", true, AmpleHeadroom)
		now += second / 10
	}
	c.Check(m.Reports(now), qt.HasLen, 2)
	c.Check(m.active, qt.HasLen, 2)
	now += 20 * second
	m.ApplyAllocations(now, []Allocation{{Quota: "s-c8", Rate: 3}, {Quota: "s-c9", Rate: 2}})
	c.Check(m.Reports(now), qt.HasLen, 1) // c8 by its lease; c7 asked for too little of late, c9 has a lease and asked for nothing
	c.Check(m.active, qt.HasLen, 3)
	now += 60 * second
	c.Check(m.Reports(now), qt.HasLen, 0)
	c.Check(m.active, qt.HasLen, 0)
	m.Admit(now, "c4999", false, AmpleHeadroom)
	m.SetQuotas(quotas[:10], 4, now) // a share that goes takes its caller along
	c.Check(m.active, qt.HasLen, 0)
	for range 60 {
		m.Admit(now, "c9", false, AmpleHeadroom)
	}
	c.Check(m.Reports(now)[0].Quota, qt.Equals, "s-c9")
}
