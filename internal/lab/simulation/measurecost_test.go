package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/stream"
)

// controlCost is the cost of all control processes together: totals, or averages per change or second.
type controlCost struct {
	frames, syncs, crossRegionBytes float64
	takenAt                         time.Time // when the totals were read
}

func (b *benchmark) currentCost() controlCost {
	s := controlCost{frames: float64(stream.FramesWritten.Load()), takenAt: time.Now()}
	for _, node := range b.cluster.Controls {
		node.Disk.mu.Lock()
		s.syncs += float64(node.Disk.SyncCount)
		node.Disk.mu.Unlock()
	}
	regions, _ := b.cluster.Network.crossTraffic()
	s.crossRegionBytes = float64(regions)
	return s
}

// perChange returns the average cost of n changes between totals a and z, after subtracting the cost of an idle cluster; idle is per
// second.
func (a controlCost) perChange(z, idle controlCost, n int) controlCost {
	s, k := z.takenAt.Sub(a.takenAt).Seconds(), float64(n)
	return controlCost{frames: (z.frames - a.frames - idle.frames*s) / k, syncs: (z.syncs - a.syncs - idle.syncs*s) / k, crossRegionBytes: (z.crossRegionBytes - a.crossRegionBytes - idle.crossRegionBytes*s) / k}
}

// idleCost measures the cost per second of an idle cluster.
func (b *benchmark) idleCost() controlCost {
	a := b.currentCost()
	time.Sleep(20 * time.Second)
	return a.perChange(b.currentCost(), controlCost{}, 20)
}

func checkChangeCost(t *testing.T) {
	runBenchmark(t, newLayout(6, 0, 0, 1), func(b *benchmark) {
		idle := b.idleCost()
		for _, at := range []int{0, 5} {
			a := b.currentCost()
			all := b.sendChanges(at, 40, 200*time.Millisecond)
			x := a.perChange(b.currentCost(), idle, len(all))
			b.c.Logf("process %d, per change: %.1f frames, %.1f syncs, %.0f bytes between regions", at, x.frames, x.syncs, x.crossRegionBytes)
			b.c.Check(x.frames <= maxFrames, qt.IsTrue, qt.Commentf("%.1f frames per change", x.frames))
			b.c.Check(x.syncs <= maxSyncs, qt.IsTrue, qt.Commentf("%.1f syncs per change", x.syncs))
			b.c.Check(x.crossRegionBytes <= maxCrossRegionBytes, qt.IsTrue, qt.Commentf("%.0f bytes between regions per change", x.crossRegionBytes))
			for _, o := range all {
				b.c.Check(o.status == 200 && o.attempts == 1 && o.latency < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%+v", o))
			}
		}
	})
}

func measureCost(t *testing.T) {
	t.Log("| six members, no proxies | stream frames | syncs | bytes between regions |")
	runBenchmark(t, newLayout(6, 0, 0, 1), func(b *benchmark) {
		idle := b.idleCost()
		t.Logf("| an idle second | %.1f | %.2f | %.0f |", idle.frames, idle.syncs, idle.crossRegionBytes)
		logCost := func(name string, n int, a controlCost) {
			x := a.perChange(b.currentCost(), idle, n)
			t.Logf("| %s | %.1f | %.2f | %.0f |", name, x.frames, x.syncs, x.crossRegionBytes)
		}
		for _, at := range []int{0, 1, 5} {
			a := b.currentCost()
			all := b.sendChanges(at, 200, 200*time.Millisecond)
			logCost(fmt.Sprintf("a change at process %d", at), len(all), a)
		}
		a := b.currentCost()
		all := b.streamChanges(40, 30*time.Second, 0, 1, 2, 3, 4, 5)()
		logCost("a change, at 40 changes/s", len(all), a)
		for _, at := range []int{0, 5} {
			a = b.currentCost()
			for range 200 {
				b.sleepAbout(100 * time.Millisecond)
				b.callOnce(at, at, "configuration.read", "", nil)
			}
			logCost(fmt.Sprintf("a read at process %d", at), 200, a)
		}
	})
}

// measureSize measures how the cost of changing one route grows with the number of items, in real time. The proposer validates each
// change, and each process rebuilds its routing table for it.
func measureSize(t *testing.T) {
	t.Log("| items | validating a change of one route ms | building the routing table ms | cloning the set ms |")
	for _, x := range [][2]int{{10, 0}, {1000, 0}, {3200, 0}, {3200, 10000}, {3200, 33000}} {
		set := config.NewSet()
		set.Merge(config.Item{Kind: config.KindServices, Name: "desk", Version: 1, Body: json.RawMessage(`{"cold-per-s":3,"cold-start-s":3,` +
			`"connection-limit":140,"health-path":"/health","name":"desk","protocol":"h1","transport-security":false}`)})
		route := func(i int, version uint64) config.Item {
			return config.Item{Kind: config.KindRoutes, Name: fmt.Sprintf("load-%05d", i), Version: version, Body: fmt.Appendf(nil,
				`{"host-name":"desk.example","maximum-attempts":2,"name":"load-%05d","path-prefix":"/load/%05d/%d","priority-level":1,`+
					`"route-kind":"unsafe_method","service":"desk","target-s":0.8,"timeout-s":2}`, i, i, version)}
		}
		for i := range x[0] {
			set.Merge(route(i, 1))
		}
		for i := range x[1] {
			set.Merge(config.Item{Kind: config.KindQuotas, Name: fmt.Sprintf("s-%05d", i), Version: 1, Body: fmt.Appendf(nil,
				`{"burst":1,"caller":"tenant-%05d","caller-header":"X-Agency","name":"s-%05d","per-s":0.01,"service":"desk"}`, i, i)})
		}
		timed := func(f func()) string {
			var latencies []time.Duration
			for range 15 {
				start := time.Now()
				f()
				latencies = append(latencies, time.Since(start))
			}
			slices.Sort(latencies)
			return formatMillis(latencies[len(latencies)/2])
		}
		check := timed(func() {
			if _, err := set.CheckChange([]config.Item{route(7, 2)}); err != nil {
				t.Fatal(err)
			}
		})
		t.Logf("| %d routes, %d quotas | %s | %s | %s |", x[0], x[1], check, timed(func() { config.NewRoutingTable(set) }), timed(func() { set.Clone() }))
	}
}

// Upper bounds per change, about 10% above the figures in docs/hardening/measured.md.
const (
	maxFrames           = 48.0
	maxSyncs            = 6.2
	maxCrossRegionBytes = 4700.0
)
