package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"portflow/internal/cluster/config"
	"portflow/internal/testing/digest"
)

const traceZones = 3

// randomQuotas returns random quotas of one service.
func randomQuotas(draw *rand.Rand) map[string][]config.Quota {
	var all []config.Quota
	for _, caller := range []string{"a", "b", "c", config.OtherCallers} {
		if draw.IntN(4) == 0 {
			continue
		}
		quota := testQuota(caller, float64(1+draw.IntN(100)))
		quota.WatchOnly = draw.IntN(8) == 0
		if draw.IntN(3) == 0 {
			quota.Fraction = draw.Float64() / 2
		}
		all = append(all, quota)
	}
	return map[string][]config.Quota{"desk": all}
}

// Pins by digests what allocators of three zones and the meters of two proxies in each return under random demand, losses of zones and
// proxies, and changes of quotas. The digests depend on the order of fields in the recorded structs, but not on names.
func TestTrace(t *testing.T) {
	digest.Pin(t, 25, []string{"111d12e9b36a00d3", "51ed69bbd4558565", "bb7253a18ced5dc8", "abb03a660caf11c0"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		now := 1000 * second
		quotas := randomQuotas(draw)
		var allocators [traceZones]*Allocator
		var meters [2 * traceZones]*Meter
		for z := range allocators {
			allocators[z] = NewAllocator()
			allocators[z].SetQuotas(quotas)
			allocators[z].SetSlots(map[string]int{"desk": 30})
		}
		for n := range meters {
			meters[n] = NewMeter(quotas["desk"], len(meters), now)
		}
		rate := 40
		for range 60 {
			if draw.IntN(10) == 0 {
				rate = 1 + draw.IntN(80)
			}
			for range rate {
				m, caller := meters[draw.IntN(len(meters))], []string{"a", "a", "b", "c", "d", ""}[draw.IntN(6)]
				d.Add(m.Admit(now+draw.Int64N(AllocationInterval), caller, draw.IntN(2) == 0, HeadroomFor(draw.Float64())))
			}
			now += AllocationInterval
			traceRound(draw, d, now, allocators[:], meters[:])
			if draw.IntN(25) == 0 {
				quotas = randomQuotas(draw)
				for _, allocator := range allocators {
					allocator.SetQuotas(quotas)
				}
				for _, m := range meters {
					m.SetQuotas(quotas["desk"], len(meters), now)
				}
			}
		}
	})
}

// exact rounds to a multiple of 1/64. An allocator adds values in map order: sums of such multiples are exact in any order, while the
// last bit of other sums varies, which could change the digits that remain after rounding down.
func exact(f float64) float64 { return math.Round(f*64) / 64 }

// traceRound plays one round of reports, exchange of usage between zones, and allocation.
func traceRound(draw *rand.Rand, d *digest.Digest, now int64, allocators []*Allocator, meters []*Meter) {
	for n, m := range meters {
		if draw.IntN(30) == 0 { // the report is lost
			continue
		}
		reports := m.Reports(now)
		d.Add(reports)
		for i := range reports {
			reports[i].Demand, reports[i].Recent = exact(reports[i].Demand), exact(reports[i].Recent)
		}
		allocators[n/2].AddReports(now, fmt.Sprint("router", n), reports, []Load{{"desk", 10 + exact(draw.Float64()), exact(draw.Float64())}})
		if draw.IntN(20) == 0 {
			counts := m.DrainCallerCounts()
			d.Add(counts, m.CallerHeader())
			allocators[n/2].AddCallerCounts(now, "desk", counts)
		}
	}
	for z, allocator := range allocators {
		for x, other := range allocators {
			if z != x && draw.IntN(20) > 0 {
				usage, loads := other.Usage()
				d.Add(usage, loads)
				allocator.MergeZone(now, fmt.Sprint("z", x), usage, loads)
			}
		}
		switch draw.IntN(60) {
		case 0:
			allocator.ZoneLost(now, fmt.Sprint("z", (z+1)%traceZones))
		case 1:
			allocator.RemoveRouter(fmt.Sprint("router", 2*z))
		case 2:
			allocator.AddRouter(fmt.Sprint("router", 2*z+1))
		}
		allocations := allocator.Allocate(now)
		d.Add(allocations, allocator.Capacities(), allocator.Statuses(now, "self"), allocator.Empty())
		for n := 2 * z; n < 2*z+2; n++ {
			meters[n].ApplyAllocations(now, allocations[fmt.Sprint("router", n)])
			meters[n].SetCapacity(allocator.Capacity("desk"))
		}
		if draw.IntN(20) == 0 {
			d.Add(allocator.LastHour(now))
		}
	}
}
