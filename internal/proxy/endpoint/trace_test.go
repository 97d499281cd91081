package endpoint

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/update"
	"portflow/internal/testing/digest"
)

// randomChange returns a random change. It uses few names, so that changes often concern the same object.
func randomChange(draw *rand.Rand, now int64) update.Change {
	zone := fmt.Sprint("z", draw.IntN(4))
	service := fmt.Sprint("s", draw.IntN(3))
	host := fmt.Sprint("h", draw.IntN(12))
	switch draw.IntN(8) {
	case 0, 1, 2:
		return update.Change{Instance: &instance.Instance{ID: host, Service: service, Address: host + ":1", Zone: zone,
			Version: fmt.Sprint("v", draw.IntN(3)), Slots: 1 + draw.IntN(4), State: instance.State(draw.IntN(3)),
			WarmUpUntil: now + draw.Int64N(4*second) - 2*second, Sequence: uint64(draw.IntN(200)), Unresponsive: draw.IntN(4) == 0, Owner: "c1"}}
	case 3:
		name := fmt.Sprint("router", draw.IntN(6))
		return update.Change{Proxy: &update.Proxy{Name: name, Zone: zone, Ready: draw.IntN(4) > 0, LacksCapacity: draw.IntN(4) == 0,
			Gone: draw.IntN(8) == 0, RegisteredAt: int64(draw.IntN(3)), Revision: draw.IntN(9)}}
	case 4:
		return update.Change{Ejection: &outlier.Ejection{ID: host, Service: service, EjectedUntil: now + draw.Int64N(4*second),
			ProbationUntil: now + 4*second + draw.Int64N(4*second), Count: draw.IntN(3)}}
	case 5:
		r := rollout.Rollout{Service: service, Number: uint64(1 + draw.IntN(3)), From: "v0", Target: "v1", StartedAt: now, Duration: 15 * second,
			State: rollout.State(1 + draw.IntN(3))}
		i := r.Item()
		return update.Change{Item: &i, RolloutStartedAt: now - draw.Int64N(second)}
	case 6:
		i := config.Item{Kind: config.KindEvacuations, Name: zone, Version: uint64(1 + draw.IntN(40)), Body: fmt.Appendf(nil, `{"begun":%v}`, draw.IntN(2) == 0)}
		return update.Change{Item: &i}
	}
	kind, body := config.KindServices, fmt.Sprintf(`{"health-path":"/","name":"%s"}`, service)
	if draw.IntN(2) == 0 {
		kind, body = config.KindStableVersions, fmt.Sprintf(`{"version":"v%d"}`, draw.IntN(2))
	}
	i := config.Item{Kind: kind, Name: service, Version: uint64(1 + draw.IntN(40)), Body: []byte(body)}
	return update.Change{Item: &i}
}

// Pins the results of Table after random changes, snapshots and times. The digests depend on the order of struct fields and the values of
// constants, not on names.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"289c23d85de978be", "75c24153f12b5473", "2e56f927fd06d87d", "97509e503b119f5c"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		table := NewTable("router1", Location{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0", "z1": "r0", "z2": "r1"})
		now := 1000 * second
		for range 60 {
			now += draw.Int64N(second / 2)
			var changes []update.Change
			for range draw.IntN(4) {
				changes = append(changes, randomChange(draw, now))
			}
			switch draw.IntN(8) {
			case 0:
				d.Add(table.Apply(changes, true))
			case 1:
				d.Add(table.Apply(changes, false))
			case 2:
				d.Add(table.EndEjections(now))
			case 3:
				d.Add(table.RemoveStale(now))
			case 4:
				table.ForgetGone("s1")
			default:
				d.Add(table.ApplyAt(Position{1, uint64(draw.IntN(50))}, changes, draw.IntN(6) == 0))
			}
			rank, count, list, counted := table.ProxyRank()
			d.Add(table.Position(), rank, count, list, counted, len(table.Instances), table.Ejections, table.Set.Checksum())
			for n := range 3 {
				service := fmt.Sprint("s", n)
				d.Add(table.Hosts(service), table.InstancesOf(service), table.Rollout(service), table.Evacuated(fmt.Sprint("z", n)), table.ZoneDistance(fmt.Sprint("z", n)))
				for _, id := range []string{"h1", "h2"} {
					if h, known := table.Instances[id]; known {
						d.Add(ShareOf(h, "router1", Location{"z0", "r0"}, map[string]string{"z0": "r0", "z1": "r0"}, list, ColdBounds{1.5, 5, 5.4}))
					}
				}
			}
		}
	})
}

// Pins the results of History, Shortage, Forecast and SlidingWindow for random inputs.
func TestTraceOfParts(t *testing.T) {
	digest.Pin(t, 50, []string{"d74a85972e05fc81", "cadcb8926acf65f0"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 2))
		var history History
		var shortage Shortage
		var forecast Forecast
		var window SlidingWindow
		now := 1000 * second
		current := ProxyList{}
		share := func(r ProxyList) int {
			return ShareOf(instance.Instance{ID: "h", Zone: "z0", Slots: 3}, "a", Location{"z0", "r0"}, nil, r, ColdBounds{1.5, 5, 5.4}).Concurrent
		}
		for range 200 {
			now += draw.Int64N(second / 10)
			switch draw.IntN(5) {
			case 0:
				history = history.Append(now, current, draw.IntN(4) > 0)
				current = ProxyList{"z0": {{"a", 1 + draw.IntN(BorrowedWeight)}, {"b", 1 + draw.IntN(BorrowedWeight)}}, "z1": {{"c", 1}}}
				d.Add(current.EvenWeights())
			case 1:
				all := draw.IntN(50)
				d.Add(shortage.Check(all, draw.IntN(all+1), draw.IntN(all+1)))
			case 2:
				forecast.Answered(now)
			case 3:
				d.Add(forecast.Wait(now, second))
			default:
				window.Add(now)
			}
			least, until := history.LeastConcurrent(now, current, share)
			d.Add(least, until, history.LeastCold(now, share), window.Allows(now, 1+draw.IntN(20)))
		}
	})
}
