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

// Requests without a caller, with an unknown or overlong caller, or with the reserved name count against the quota of other callers.
// Without such a quota they are admitted only as headroom allows.
func TestCallerIdentification(t *testing.T) {
	for _, x := range []struct {
		caller         string
		hasOthersQuota bool // config.OtherCallers has a quota
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
		c.Check([2]any{decision.Quota, decision.Admitted}, qt.Equals, [2]any{x.quota, x.admitted}, qt.Commentf("caller %.10q, quota for other callers %v, headroom %v", x.caller, x.hasOthersQuota, x.headroom))
	}
}

// The last tokens are reserved for non-idempotent requests. Requests over the quota are admitted as headroom allows, non-idempotent
// ones longer. RetryAfter increases with each rejected request.
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
	c.Check(idempotent > 0 && nonIdempotent >= idempotent/5 && idempotent+nonIdempotent <= 40, qt.IsTrue, qt.Commentf("admitted %d idempotent and %d non-idempotent requests", idempotent, nonIdempotent))
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
	c.Check(m.Admit(now, "a", true, NoHeadroom).Admitted, qt.IsTrue) // WatchOnly never rejects
}

// A lease expires by itself; afterwards the proxy admits as much as before the lease.
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
	c.Check(count(0, 5*second) <= 5*40+40, qt.IsTrue) // UnknownCallerFactor times the even share, and the burst
	m.ApplyAllocations(5*second, []Allocation{{Quota: "s-a", Rate: 70, Used: 500}})
	n := count(5*second, 8*second)
	c.Check(n >= 200 && n <= 3*71+80, qt.IsTrue, qt.Commentf("%d", n))
	n = count(9*second, 14*second)
	c.Check(n <= 5*40+80, qt.IsTrue, qt.Commentf("admitted %d requests after the lease", n))
	m.ApplyAllocations(14*second, []Allocation{{Quota: "s-a", Rate: 0, Used: 500}, {Quota: "unknown", Rate: 9}})
	n = count(14*second, 17*second)
	c.Check(n <= 3+40, qt.IsTrue, qt.Commentf("admitted %d requests with only the even share", n))
}

// The rates that all zones allocate never add up to more than the quota while demand changes, and use most of it once demand is
// constant. An unreachable zone keeps its share for ZoneRetention.
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
		c.Assert(totalRate() <= 90*(1-EvenFraction)*1.06, qt.IsTrue, qt.Commentf("rates %v exceed the quota of 90 at %d, demand %v", rates, now, demand))
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
		c.Assert(rates["0"] < 30, qt.IsTrue) // proxies of the lost zone may still use their leases
	}
	for now := 45*second + ZoneRetention; now < 55*second; now += AllocationInterval {
		exchange(now, 0, 1)
	}
	c.Check(rates["0"] > 35, qt.IsTrue, qt.Commentf("%v", rates))
	allocators[0].SetQuotas(map[string][]config.Quota{})
	c.Check(allocators[0].Empty(), qt.IsTrue)
	c.Check(allocators[0].Allocate(56*second), qt.HasLen, 0)
}

// A quota with a Fraction follows the capacity of the service, that is the slots of its hosts and their mean service time.
func TestFractionOfCapacity(t *testing.T) {
	c := qt.New(t)
	allocator := NewAllocator()
	quota := testQuota("a", 0)
	quota.Rate, quota.Fraction = 1, 0.5
	allocator.SetQuotas(map[string][]config.Quota{"desk": {quota}})
	c.Check(allocator.Capacities(), qt.HasLen, 0)
	allocator.SetSlots(map[string]int{"desk": 30})
	allocator.AddReports(1, "r", nil, []Load{{"desk", 10, 1}}) // mean service time 0.1 s
	allocator.MergeZone(1, "z", nil, []Load{{"desk", 10, 3}})
	c.Check(allocator.Capacities()["desk"], qt.Equals, 150.0)
	c.Check(allocator.Statuses(1, "self")[0].Limit, qt.Equals, 75.0)
	m := NewMeter([]config.Quota{quota}, 1, 0)
	m.SetCapacity(150)
	c.Check(m.Admit(1, "a", false, NoHeadroom).Limit, qt.Equals, 750.0)
}

// CallerCounter names a bounded number of callers and keeps the total exact, however many callers there are. MinuteHistory drops
// counts older than an hour.
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

// Admit allocates no memory, even with 10,000 quotas.
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
	t.Logf("%d bytes of memory per caller in a meter", (after.HeapAlloc-before.HeapAlloc)/uint64(len(quotas)))
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

// Guards against costs of Allocate and Capacities that grow with the number of idle quotas. Memory allocated stands for the cost.
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
	t.Logf("bytes allocated by Allocate and by Capacities, by number of quotas: %v", costs)
	for i := range 2 {
		c.Check(costs[11000][i] < costs[220][i]*2+1024, qt.IsTrue)
	}
}

// Guards against costs of Reports that grow with the number of idle quotas. A bucket is active from its first request or allocation
// until it is idle again.
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
	c.Check(m.Reports(now), qt.HasLen, 1) // c8: it has a lease; c7 has too few recent requests, c9 has a lease but no requests
	c.Check(m.active, qt.HasLen, 3)
	now += 60 * second
	c.Check(m.Reports(now), qt.HasLen, 0)
	c.Check(m.active, qt.HasLen, 0)
	m.Admit(now, "c4999", false, AmpleHeadroom)
	m.SetQuotas(quotas[:10], 4, now) // removing a quota removes its active bucket
	c.Check(m.active, qt.HasLen, 0)
	for range 60 {
		m.Admit(now, "c9", false, AmpleHeadroom)
	}
	c.Check(m.Reports(now)[0].Quota, qt.Equals, "s-c9")
}
