package simulation

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// measureJoin measures how long a control process that lost its disk takes to rejoin, and the bytes that it receives.
func measureJoin(t *testing.T) {
	t.Log("| routes | until in touch ms | until two failures are tolerated ms | bytes received | bytes received when idle, same time |")
	for _, n := range []int{10, 100, 1000, 3200} {
		runBenchmark(t, newLayout(6, 0, 0, 1), func(b *benchmark) {
			b.loadRoutes(n)
			time.Sleep(5 * time.Second)
			node := b.cluster.Controls[5]
			node.Kill()
			node.Disk.Wipe()
			time.Sleep(4 * time.Second)
			before, start := b.cluster.Network.ReceivedBytes(node.Settings.IP), time.Now()
			node.mustStart()
			catchUp := b.awaitCaughtUp(5, 60*time.Second)
			bytes := b.cluster.Network.ReceivedBytes(node.Settings.IP) - before
			counted := time.Duration(0)
			for time.Since(start) < 60*time.Second {
				if s := b.readCore(0); s.tolerance(6) >= 2 {
					counted = time.Since(start)
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			idle := b.cluster.Network.ReceivedBytes(node.Settings.IP)
			time.Sleep(10 * time.Second)
			idle = b.cluster.Network.ReceivedBytes(node.Settings.IP) - idle
			t.Logf("| %d | %s | %s | %d | %.0f |", n, formatMillis(catchUp), formatMillis(counted), bytes, float64(idle)*catchUp.Seconds()/10)
		})
	}
}

// measureCatchUp measures how long a control process that missed changes takes to catch up, with and without concurrent changes.
func measureCatchUp(t *testing.T) {
	t.Log("| items | missed changes | concurrent changes/s | link | until in touch ms | until it has all changes acknowledged before its start ms | bytes received | peak heap growth MB | slowest concurrent change ms |")
	for _, x := range []struct {
		routes, quotas, missed     int
		changesPerSecond, linkRate float64
	}{
		{10, 0, 10, 0, 0}, {10, 0, 100, 0, 0}, {10, 0, 1000, 0, 0},
		{10, 0, 10, 40, 0}, {10, 0, 100, 40, 0}, {10, 0, 1000, 40, 0}, {10, 0, 10000, 40, 0},
		{1000, 0, 1000, 40, 0}, {3200, 0, 1000, 40, 0}, {3200, 0, 1000, 40, 250e3}, {3200, 10000, 100, 40, 250e3}, {3200, 10000, 1000, 40, 250e3},
	} {
		t.Run(fmt.Sprintf("%d routes, %d quotas, %d missed, %.0f changes/s, link %.0f", x.routes, x.quotas, x.missed, x.changesPerSecond, x.linkRate), func(t *testing.T) {
			runBenchmark(t, newLayout(6, 0, 0, 1), func(b *benchmark) {
				b.loadRoutes(x.routes)
				b.loadQuotas(x.quotas)
				time.Sleep(3 * time.Second)
				node := b.cluster.Controls[5]
				b.setPoweredOff(5, true)
				time.Sleep(4 * time.Second)
				for i := range x.missed {
					o := b.callUntilAnswered(0, "configuration.modify", "", b.nextChange(fmt.Sprintf("load-%05d", i%max(x.routes, 10))))
					b.c.Assert(o.status, qt.Equals, 200)
				}
				if x.linkRate > 0 {
					b.limitLink(node.Settings.IP, x.linkRate)
				}
				wait := func() []callResult { return nil }
				if x.changesPerSecond > 0 {
					wait = b.streamChanges(x.changesPerSecond, 20*time.Second, 0, 1, 2, 3, 4)
					time.Sleep(2 * time.Second)
				}
				want := b.nextChange("mark")
				o := b.callUntilAnswered(0, "configuration.modify", "", want)
				b.c.Assert(o.status, qt.Equals, 200)
				runtime.GC()
				var mem runtime.MemStats
				runtime.ReadMemStats(&mem)
				heap, most := mem.HeapAlloc, uint64(0)
				before, start := b.cluster.Network.ReceivedBytes(node.Settings.IP), time.Now()
				b.setPoweredOff(5, false)
				caughtUp := time.Duration(0)
				for time.Since(start) < 60*time.Second {
					runtime.ReadMemStats(&mem)
					most = max(most, mem.HeapAlloc)
					if node.Status() == "in touch" {
						caughtUp = time.Since(start)
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				bytes := b.cluster.Network.ReceivedBytes(node.Settings.IP) - before
				readable := time.Duration(0)
				for time.Since(start) < 60*time.Second {
					if status, raw := b.callOnce(5, 5, "configuration.read", "", nil); status == 200 && strings.Contains(string(raw), "/mark/") {
						readable = time.Since(start)
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				worst := time.Duration(0)
				for _, o := range wait() {
					worst = max(worst, o.latency)
				}
				t.Logf("| %d routes, %d quotas | %d | %.0f | %s | %s | %s | %d | %.1f | %s |", x.routes, x.quotas, x.missed, x.changesPerSecond,
					map[bool]string{true: "2 Mbit/s", false: "free"}[x.linkRate > 0], formatMillis(caughtUp), formatMillis(readable), bytes, float64(most-min(heap, most))/1e6, formatMillis(worst))
			})
		})
	}
}

// measureRestart measures how soon a restarted control process serves calls of each kind.
func measureRestart(t *testing.T) {
	first := map[string][]time.Duration{}
	for seed := range uint64(20) {
		runBenchmark(t, newLayout(6, 2, 1, seed+1), func(b *benchmark) {
			b.loadRoutes(100)
			const at = 5
			b.sleepAbout(2 * time.Second)
			b.cluster.Controls[at].Kill()
			b.sleepAbout(2 * time.Second)
			wait := b.streamChanges(40, 6*time.Second, 0, 1, 2, 3, 4)
			b.sleepAbout(2 * time.Second)
			start := time.Now()
			b.cluster.Controls[at].mustStart()
			var mu sync.Mutex
			probe := func(name string, ask func() bool) {
				b.pending.Go(func() {
					for time.Since(start) < 30*time.Second && !ask() {
						time.Sleep(2 * time.Millisecond)
					}
					mu.Lock()
					defer mu.Unlock()
					first[name] = append(first[name], time.Since(start))
				})
			}
			probe("in touch", func() bool { return b.cluster.Controls[at].Status() == "in touch" })
			probe("a heartbeat", b.countHeartbeats(at))
			probe("configuration.read", func() bool {
				status, _ := b.callOnce(at, at, "configuration.read", "", nil)
				return status == 200
			})
			probe("configuration.modify", func() bool {
				status, _ := b.callOnce(at, at, "configuration.modify", "", b.nextChange("back"))
				return status == 200
			})
			probe("a subscription of a proxy of its zone", func() bool { return b.dialStream(at) })
			wait()
		})
	}
	t.Log("| first success after a restart (40 changes/s, 20 seeds) | p50 ms | p99 ms | worst ms |")
	for _, name := range []string{"in touch", "a heartbeat", "configuration.read", "configuration.modify", "a subscription of a proxy of its zone"} {
		t.Logf("| %s | %s |", name, percentiles(first[name]))
	}
}

// measureSoak makes 1,100 changes during 330 power losses, a few of which also lose the disk. Afterwards all control processes must
// have caught up and hold every acknowledged change.
func measureSoak(t *testing.T) {
	if !*measureLongRun {
		t.Skip("only with -day")
	}
	start := time.Now()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBenchmark(c, startCluster(c, newLayout(6, 1, 1, 1)))
		time.Sleep(10 * time.Second)
		const changes, restarts = 1100, 330
		var mu sync.Mutex
		var all []callResult
		confirmed := map[string]int{}
		var each sync.WaitGroup
		each.Go(func() {
			for range changes {
				b.sleepAbout(*longRunDuration / changes)
				route := fmt.Sprintf("day-%d", int(b.float64()*120))
				change := b.nextChange(route)
				o := b.callUntilAnswered(int(b.float64()*6), "configuration.modify", "", change)
				mu.Lock()
				all = append(all, o)
				if o.status == 200 {
					confirmed[route] = b.versions[route]
				}
				mu.Unlock()
			}
		})
		var caughtUp []time.Duration
		wiped := 0
		each.Go(func() {
			for n := range restarts {
				b.sleepAbout(*longRunDuration / restarts)
				at := int(b.float64() * 6)
				b.setPoweredOff(at, true)
				if n%33 == 5 {
					b.cluster.Controls[at].Disk.Wipe()
					wiped++
				}
				b.sleepAbout(10 * time.Second)
				b.setPoweredOff(at, false)
				caughtUp = append(caughtUp, b.awaitCaughtUp(at, 60*time.Second))
			}
		})
		each.Wait()
		time.Sleep(30 * time.Second)
		lost, differing := 0, 0
		var first string
		for i := range b.cluster.Controls {
			c.Check(b.cluster.Controls[i].Status(), qt.Equals, "in touch")
			status, raw := b.callOnce(i, i, "configuration.read", "", nil)
			c.Check(status, qt.Equals, 200)
			if i == 0 {
				first = string(raw)
				for name, n := range confirmed {
					if !strings.Contains(first, fmt.Sprintf("/%s/%d/", name, n)) {
						lost++
					}
				}
			} else if string(raw) != first {
				differing++
			}
		}
		c.Check(lost, qt.Equals, 0)
		c.Check(differing, qt.Equals, 0)
		disk := 0
		for _, node := range b.cluster.Controls {
			size := 0
			node.Disk.mu.Lock()
			for _, f := range node.Disk.files {
				size += len(f.data)
			}
			node.Disk.mu.Unlock()
			disk = max(disk, size)
		}
		t.Log("| soak run | changes | p50 ms | p99 ms | worst ms | retried | unacknowledged |")
		t.Log(tableRow(fmt.Sprintf("%d changes, %d restarts (%d with a wiped disk) in %v", changes, restarts, wiped, *longRunDuration), all))
		t.Logf("| from start until in touch | %d | %s | lost %d | differing %d | largest disk %d bytes | %d routes |", len(caughtUp), percentiles(caughtUp), lost, differing, disk, len(confirmed))
		b.close()
	})
	t.Logf("took %v of real time", time.Since(start).Round(time.Second))
}
