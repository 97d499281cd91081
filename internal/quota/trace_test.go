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

// drawnShares are shares of one service.
func drawnShares(draw *rand.Rand) map[string][]config.Quota {
	var all []config.Quota
	for _, caller := range []string{"a", "b", "c", config.OtherCallers} {
		if draw.IntN(4) == 0 {
			continue
		}
		s := testQuota(caller, float64(1+draw.IntN(100)))
		s.WatchOnly = draw.IntN(8) == 0
		if draw.IntN(3) == 0 {
			s.Fraction = draw.Float64() / 2
		}
		all = append(all, s)
	}
	return map[string][]config.Quota{"desk": all}
}

// Dealers of three zones with two routers each, under drawn demand, losses of zones and routers and other shares, deal and say
// what they did, and the routers' meters take what they took. The order of the fields of what is recorded counts; names don't.
func TestTrace(t *testing.T) {
	digest.Pin(t, 25, []string{"111d12e9b36a00d3", "51ed69bbd4558565", "bb7253a18ced5dc8", "abb03a660caf11c0"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		now := 1000 * second
		shares := drawnShares(draw)
		var dealers [traceZones]*Allocator
		var meters [2 * traceZones]*Meter
		for z := range dealers {
			dealers[z] = NewAllocator()
			dealers[z].SetQuotas(shares)
			dealers[z].SetSlots(map[string]int{"desk": 30})
		}
		for n := range meters {
			meters[n] = NewMeter(shares["desk"], len(meters), now)
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
			traceDeal(draw, d, now, dealers[:], meters[:])
			if draw.IntN(25) == 0 {
				shares = drawnShares(draw)
				for _, dealer := range dealers {
					dealer.SetQuotas(shares)
				}
				for _, m := range meters {
					m.SetQuotas(shares["desk"], len(meters), now)
				}
			}
		}
	})
}

// exact is a figure in sixty-fourths. A dealer sums figures in the order of a map: of these the sum is the same in any order, while
// the last bit of others varies, and what is dealt is rounded down to three figures.
func exact(f float64) float64 { return math.Round(f*64) / 64 }

// traceDeal is one round of reports, sums and dealing.
func traceDeal(draw *rand.Rand, d *digest.Digest, now int64, dealers []*Allocator, meters []*Meter) {
	for n, m := range meters {
		if draw.IntN(30) == 0 { // the report is lost
			continue
		}
		reports := m.Reports(now)
		d.Add(reports)
		for i := range reports {
			reports[i].Demand, reports[i].Recent = exact(reports[i].Demand), exact(reports[i].Recent)
		}
		dealers[n/2].AddReports(now, fmt.Sprint("router", n), reports, []Load{{"desk", 10 + exact(draw.Float64()), exact(draw.Float64())}})
		if draw.IntN(20) == 0 {
			census := m.DrainCallerCounts()
			d.Add(census, m.CallerHeader())
			dealers[n/2].AddCallerCounts(now, "desk", census)
		}
	}
	for z, dealer := range dealers {
		for x, other := range dealers {
			if z != x && draw.IntN(20) > 0 {
				sums, loads := other.Usage()
				d.Add(sums, loads)
				dealer.MergeZone(now, fmt.Sprint("z", x), sums, loads)
			}
		}
		switch draw.IntN(60) {
		case 0:
			dealer.ZoneLost(now, fmt.Sprint("z", (z+1)%traceZones))
		case 1:
			dealer.RemoveRouter(fmt.Sprint("router", 2*z))
		case 2:
			dealer.AddRouter(fmt.Sprint("router", 2*z+1))
		}
		news := dealer.Allocate(now)
		d.Add(news, dealer.Capacities(), dealer.Statuses(now, "self"), dealer.Empty())
		for n := 2 * z; n < 2*z+2; n++ {
			meters[n].ApplyAllocations(now, news[fmt.Sprint("router", n)])
			meters[n].SetCapacity(dealer.Capacity("desk"))
		}
		if draw.IntN(20) == 0 {
			d.Add(dealer.LastHour(now))
		}
	}
}
