package simulation

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/stream"
)

// The measurements of control: its write path, its members and how one that is behind catches up. They go by what can be
// seen from outside alone (calls, syncs of disks, bytes and frames on lines), so that this file also measures versions of
// another making. Times are virtual: they are exact for the emulator's delays, and a busy machine changes none of them.
//
//	go test ./internal/lab/simulation -run 'TestMeasure' -v -timeout 60m -args -measure
//	go test ./internal/lab/simulation -run 'TestMeasure/day' -v -timeout 120m -args -measure -day
var (
	measureControl  = flag.Bool("measure", false, "measure control, and write the figures as rows of tables")
	measureLongRun  = flag.Bool("day", false, "of the measurements also the day of 1,100 changes and 330 restarts")
	longRunDuration = flag.Duration("lasts", 24*time.Hour, "of that day, virtual")
)

// benchmark is a harbour that is measured: in each zone an operator 0.1 ms from its control process.
type benchmark struct {
	c        *qt.C
	cluster  *Cluster
	clients  []*http.Client
	rng      *rand.Rand
	mu       sync.Mutex
	versions map[string]int // by route: its version
	pending  sync.WaitGroup
	calls    sync.WaitGroup // calls of streams
}

func layoutOf(zones, routers, hosts int, seed uint64) Layout {
	return Layout{Zones: zones, ProxiesPerZone: routers, HostsPerZone: hosts, Services: []string{"desk"}, ServiceTime: 80 * time.Millisecond, Concurrency: 3, Rate: 4, Seed: seed}
}

// runBenchmark runs one measurement on a harbour that has been up for 12 s.
func runBenchmark(t *testing.T, layout Layout, f func(b *benchmark)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBenchmark(c, startCluster(c, layout))
		time.Sleep(10 * time.Second)
		f(b)
		b.close()
	})
}

func newBenchmark(c *qt.C, cluster *Cluster) *benchmark {
	b := &benchmark{c: c, cluster: cluster, rng: rand.New(rand.NewPCG(cluster.Seed, 8)), versions: map[string]int{}}
	for z := range cluster.Zones {
		p := cluster.Network.Process(fmt.Sprintf("10.%d.210.1", z+1))
		b.clients = append(b.clients, &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: p.Dial,
			DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}})
	}
	return b
}

// close waits for what is under way.
func (b *benchmark) close() {
	b.pending.Wait()
	b.calls.Wait()
	for _, x := range b.clients {
		x.CloseIdleConnections()
	}
}

func (b *benchmark) float64() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64()
}

// sleepAbout waits for so long, give or take a half, so that nothing falls in step.
func (b *benchmark) sleepAbout(d time.Duration) {
	time.Sleep(time.Duration(float64(d) * (0.5 + b.float64())))
}

// callOnce is one call by the operator of a zone to a control process; the status is 0 where no answer came within a second.
func (b *benchmark) callOnce(from, control int, call, target string, body []byte) (status int, reply []byte) {
	status, reply, err := callRPC(context.Background(), b.clients[from], b.cluster.Controls[control].Settings.ListenAddresses["control"], call, target, body)
	if err != nil {
		return 0, nil
	}
	return status, reply
}

// callResult is how a call ended that was sent again until it had a clear answer.
type callResult struct {
	sent     time.Time
	latency  time.Duration
	attempts int
	status   int
}

// callUntilAnswered sends a call to the operator's own control process and then to each in turn, 50 ms after an answer that isn't clear.
func (b *benchmark) callUntilAnswered(from int, call, target string, body []byte) callResult {
	result := callResult{sent: time.Now()}
	for control := from; time.Since(result.sent) < 30*time.Second; control = (control + 1) % len(b.cluster.Controls) {
		result.attempts++
		if result.status, _ = b.callOnce(from, control, call, target, body); result.status == 200 || result.status == 400 || result.status == 404 || result.status == 409 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	result.latency = time.Since(result.sent)
	return result
}

// nextChange is a change of one route to its next version.
func (b *benchmark) nextChange(route string) []byte {
	b.mu.Lock()
	b.versions[route]++
	n := b.versions[route]
	b.mu.Unlock()
	return b.cluster.ChangeBody(false, Route{Name: route, Prefix: fmt.Sprintf("/%s/%d/", route, n), Service: "desk", Version: fmt.Sprintf("%08x", n)})
}

// loadRoutes has the harbour take so many routes.
func (b *benchmark) loadRoutes(n int) {
	var part []Route
	for i := range n {
		b.versions[fmt.Sprintf("load-%05d", i)] = 1
		part = append(part, Route{Name: fmt.Sprintf("load-%05d", i), Prefix: fmt.Sprintf("/load/%05d/", i), Service: "desk", Version: "00000001"})
		if len(part) == 400 || i == n-1 {
			b.mustChange(b.cluster.ChangeBody(false, part...))
			part = nil
		}
	}
}

func (b *benchmark) mustChange(change []byte) {
	o := b.callUntilAnswered(0, "configuration.modify", "", change)
	b.c.Assert(o.status, qt.Equals, 200, qt.Commentf("%+v of %.300s", o, change))
}

// sendChanges sends so many changes one after another from a zone, each resting for about so long before.
func (b *benchmark) sendChanges(from, n int, rest time.Duration) (results []callResult) {
	for range n {
		b.sleepAbout(rest)
		results = append(results, b.callUntilAnswered(from, "configuration.modify", "", b.nextChange(fmt.Sprintf("one-%d", from))))
	}
	return results
}

// streamChanges sends changes at a rate, each from a zone of those given, without waiting for their ends; wait gives them.
func (b *benchmark) streamChanges(perSecond float64, duration time.Duration, zones ...int) (wait func() []callResult) {
	var mu sync.Mutex
	var all []callResult
	b.pending.Go(func() {
		gap := time.Duration(float64(time.Second) / perSecond)
		for n, deadline := 0, time.Now().Add(duration); time.Now().Before(deadline); n++ {
			change, z := b.nextChange(fmt.Sprintf("stream-%d", n%97)), zones[n%len(zones)]
			b.calls.Go(func() {
				o := b.callUntilAnswered(z, "configuration.modify", "", change)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, o)
			})
			b.sleepAbout(gap)
		}
	})
	return func() []callResult {
		b.pending.Wait()
		b.calls.Wait()
		return all
	}
}

// tableRow is one row of a table of latencies: how many, p50, p99, worst, and how many needed more than one try.
func tableRow(name string, results []callResult) string {
	var latencies []time.Duration
	retried, failed := 0, 0
	for _, o := range results {
		latencies = append(latencies, o.latency)
		if o.attempts > 1 {
			retried++
		}
		if o.status != 200 {
			failed++
		}
	}
	return fmt.Sprintf("| %s | %d | %s | %d | %d |", name, len(results), percentiles(latencies), retried, failed)
}

func percentiles(latencies []time.Duration) string {
	if len(latencies) == 0 {
		return "- | - | -"
	}
	slices.Sort(latencies)
	return fmt.Sprintf("%s | %s | %s", formatMillis(latencies[(len(latencies)-1)/2]), formatMillis(latencies[(len(latencies)-1)*99/100]), formatMillis(latencies[len(latencies)-1]))
}

func formatMillis(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/1e6) }

// controlCost is what control spent: frames on lines, syncs, bytes between regions.
type controlCost struct {
	frames, syncs, crossRegionBytes float64
	takenAt                         time.Time
}

func (b *benchmark) costSoFar() controlCost {
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

// perChange is what each of n orders cost from one time to the next, less what a calm stretch of the same length does. calm is
// per second.
func (a controlCost) perChange(z, idle controlCost, n int) controlCost {
	s, k := z.takenAt.Sub(a.takenAt).Seconds(), float64(n)
	return controlCost{frames: (z.frames - a.frames - idle.frames*s) / k, syncs: (z.syncs - a.syncs - idle.syncs*s) / k, crossRegionBytes: (z.crossRegionBytes - a.crossRegionBytes - idle.crossRegionBytes*s) / k}
}

// idleCost is what control spends a second on nothing.
func (b *benchmark) idleCost() controlCost {
	a := b.costSoFar()
	time.Sleep(20 * time.Second)
	return a.perChange(b.costSoFar(), controlCost{}, 20)
}

// coreView is what a control process tells of the core; a version that knows no epochs tells who is heard.
type coreView struct {
	Status string `json:"standing"`
	Voters []struct {
		IP     string `json:"ip"`
		Heard  bool   `json:"heard"`
		Whole  bool   `json:"whole"`
		Same   bool   `json:"same"`
		Member *bool  `json:"member"`
	} `json:"core"`
	Tolerates *int `json:"bears"`
	Items     int  `json:"items"`
}

func (b *benchmark) readCore(at int) (s coreView) {
	_, raw := b.callOnce(at, at, "harbour.read", "", nil)
	json.Unmarshal(raw, &s)
	return s
}

// tolerance is how many more losses the core would bear, as a process tells; where it doesn't tell, by who is heard and whole.
func (s coreView) tolerance(size int) int {
	if s.Tolerates != nil {
		return *s.Tolerates
	}
	up := 1
	for _, x := range s.Voters {
		if x.Heard && x.Whole {
			up++
		}
	}
	return min(up, size) - (size/2 + 1)
}

func (b *benchmark) setPoweredOff(at int, off bool) {
	node := b.cluster.Controls[at]
	if off {
		b.cluster.Network.SetPoweredOff(node.Settings.IP, true)
		node.Kill()
		node.Disk.PowerLoss(false)
		return
	}
	b.cluster.Network.SetPoweredOff(node.Settings.IP, false)
	node.mustStart()
}

// setPartition has control processes cut off from all others, or joined; their clients reach them all the same.
func (b *benchmark) setPartition(blocked bool, at ...int) {
	for i, node := range b.cluster.Controls {
		for _, x := range at {
			if !slices.Contains(at, i) {
				b.cluster.Network.SetPartition(node.Settings.IP, b.cluster.Controls[x].Settings.IP, blocked)
			}
		}
	}
}

// awaitCaughtUp waits until a process stands in touch, and tells how long that took.
func (b *benchmark) awaitCaughtUp(at int, limit time.Duration) time.Duration {
	start := time.Now()
	for b.cluster.Controls[at].Status() != "in touch" && time.Since(start) < limit {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// TestMeasure measures with -measure; without it, it holds what an order costs at six members to counts just above those that
// were measured.
func TestMeasure(t *testing.T) {
	if !*measureControl {
		t.Run("guard", checkChangeCost)
		return
	}
	for _, x := range []struct {
		name string
		f    func(*testing.T)
	}{{"ack", measureAck}, {"cost", measureCost}, {"reads", measureReads}, {"races", measureRaces}, {"start", measureStart}, {"loss", measureLoss},
		{"cutoff", measurePartitions}, {"join", measureJoin}, {"behind", measureBehind}, {"restart", measureRestart}, {"size", measureSize}, {"day", measureLongDay}} {
		t.Run(x.name, x.f)
	}
}

// The bounds are some 10% above what was measured; see docs/hardening/measured.md.
const (
	maxFrames           = 48.0
	maxSyncs            = 6.2
	maxCrossRegionBytes = 4700.0
)

func checkChangeCost(t *testing.T) {
	runBenchmark(t, layoutOf(6, 0, 0, 1), func(b *benchmark) {
		calm := b.idleCost()
		for _, at := range []int{0, 5} {
			a := b.costSoFar()
			all := b.sendChanges(at, 40, 200*time.Millisecond)
			x := a.perChange(b.costSoFar(), calm, len(all))
			b.c.Logf("at %d: %.1f frames, %.1f syncs, %.0f bytes between regions an order", at, x.frames, x.syncs, x.crossRegionBytes)
			b.c.Check(x.frames <= maxFrames, qt.IsTrue, qt.Commentf("%.1f frames an order", x.frames))
			b.c.Check(x.syncs <= maxSyncs, qt.IsTrue, qt.Commentf("%.1f syncs an order", x.syncs))
			b.c.Check(x.crossRegionBytes <= maxCrossRegionBytes, qt.IsTrue, qt.Commentf("%.0f bytes an order", x.crossRegionBytes))
			for _, o := range all {
				b.c.Check(o.status == 200 && o.attempts == 1 && o.latency < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%+v", o))
			}
		}
	})
}

// refuse has a disk refuse, and slow has it take so long for a sync.
func (b *benchmark) setDisk(at int, delay time.Duration, refuses bool) {
	b.cluster.Controls[at].Disk.SetFaults(delay, refuses)
}

func measureAck(t *testing.T) {
	t.Log("| acknowledgement | orders | p50 ms | p99 ms | worst ms | sent again | not confirmed |")
	const n = 300
	zones := []int{0, 1, 2, 3, 4, 5}
	for _, x := range []struct {
		name string
		do   func(b *benchmark)
		at   []int // where orders come
	}{
		{"calm", func(b *benchmark) {}, []int{0, 1, 5}},
		{"one down for 5 s", func(b *benchmark) { b.setPoweredOff(1, true); time.Sleep(5 * time.Second) }, []int{0, 5}},
		{"the proposer down for 5 s", func(b *benchmark) { b.setPoweredOff(0, true); time.Sleep(5 * time.Second) }, []int{1, 5}},
		{"a region gone for 5 s (not the proposer's)", func(b *benchmark) { b.setPoweredOff(4, true); b.setPoweredOff(5, true); time.Sleep(5 * time.Second) }, []int{0, 2}},
		{"the proposer's region gone for 5 s", func(b *benchmark) { b.setPoweredOff(0, true); b.setPoweredOff(1, true); time.Sleep(5 * time.Second) }, []int{2, 4}},
		{"slow disk (125 ms) at the proposer", func(b *benchmark) { b.setDisk(0, 125*time.Millisecond, false) }, []int{0, 5}},
		{"slow disk (125 ms) at another", func(b *benchmark) { b.setDisk(3, 125*time.Millisecond, false) }, []int{0, 3, 5}},
		{"refusing disk at the proposer", func(b *benchmark) { b.setDisk(0, 5*time.Millisecond, true) }, []int{0, 5}},
		{"refusing disk at another", func(b *benchmark) { b.setDisk(3, 5*time.Millisecond, true) }, []int{0, 3, 5}},
	} {
		for _, at := range x.at {
			runBenchmark(t, layoutOf(6, 0, 0, 1), func(b *benchmark) {
				x.do(b)
				t.Log(tableRow(fmt.Sprintf("%s; at process %d", x.name, at), b.sendChanges(at, n, 100*time.Millisecond)))
			})
		}
	}
	// just gone: the first two seconds after a loss, over many losses
	for _, x := range []struct {
		name  string
		lost  []int
		zones []int
	}{{"one just gone (power)", []int{1}, []int{0, 2, 3, 4, 5}}, {"the proposer just gone (power)", []int{0}, zones[1:]},
		{"a region just gone (not the proposer's)", []int{4, 5}, zones[:4]}, {"the proposer's region just gone", []int{0, 1}, zones[2:]}} {
		runBenchmark(t, layoutOf(6, 0, 0, 1), func(b *benchmark) {
			var all []callResult
			for range 15 {
				for _, i := range x.lost {
					b.setPoweredOff(i, true)
				}
				all = append(all, b.streamChanges(10, 2*time.Second, x.zones...)()...)
				time.Sleep(4 * time.Second)
				for _, i := range x.lost {
					b.setPoweredOff(i, false)
				}
				time.Sleep(8 * time.Second)
				b.sleepAbout(time.Second)
			}
			t.Log(tableRow(x.name, all))
		})
	}
	runBenchmark(t, layoutOf(6, 0, 0, 1), func(b *benchmark) {
		var all []callResult
		var mu sync.Mutex
		var each sync.WaitGroup
		for w := range 8 {
			each.Go(func() {
				for range 60 {
					o := b.callUntilAnswered(w%6, "configuration.modify", "", b.nextChange(fmt.Sprintf("worker-%d", w)))
					mu.Lock()
					all = append(all, o)
					mu.Unlock()
				}
			})
		}
		each.Wait()
		t.Log(tableRow("eight under way at once, at all processes", all))
	})
	for _, perSecond := range []float64{40, 100} {
		runBenchmark(t, layoutOf(6, 0, 0, 1), func(b *benchmark) {
			t.Log(tableRow(fmt.Sprintf("%.0f a second for 30 s, at all processes", perSecond), b.streamChanges(perSecond, 30*time.Second, zones...)()))
		})
	}
}

func measureCost(t *testing.T) {
	t.Log("| six members, no routers | frames on lines | syncs | bytes between regions |")
	runBenchmark(t, layoutOf(6, 0, 0, 1), func(b *benchmark) {
		calm := b.idleCost()
		t.Logf("| a calm second | %.1f | %.2f | %.0f |", calm.frames, calm.syncs, calm.crossRegionBytes)
		logCost := func(name string, n int, a controlCost) {
			x := a.perChange(b.costSoFar(), calm, n)
			t.Logf("| %s | %.1f | %.2f | %.0f |", name, x.frames, x.syncs, x.crossRegionBytes)
		}
		for _, at := range []int{0, 1, 5} {
			a := b.costSoFar()
			all := b.sendChanges(at, 200, 200*time.Millisecond)
			logCost(fmt.Sprintf("an order at process %d", at), len(all), a)
		}
		a := b.costSoFar()
		all := b.streamChanges(40, 30*time.Second, 0, 1, 2, 3, 4, 5)()
		logCost("an order of 40 a second", len(all), a)
		for _, at := range []int{0, 5} {
			a = b.costSoFar()
			for range 200 {
				b.sleepAbout(100 * time.Millisecond)
				b.callOnce(at, at, "configuration.read", "", nil)
			}
			logCost(fmt.Sprintf("a read at process %d", at), 200, a)
		}
	})
}

func measureReads(t *testing.T) {
	t.Log("| reads | calls | p50 ms | p99 ms | worst ms | sent again | not 200 |")
	for _, x := range []struct {
		name string
		do   func(b *benchmark)
		at   []int
	}{
		{"calm", func(b *benchmark) {}, []int{0, 5}},
		{"40 changes a second", func(b *benchmark) { b.streamChanges(40, 120*time.Second, 0, 1, 2, 3, 4, 5) }, []int{0, 5}},
		{"a region gone for 5 s (not the proposer's)", func(b *benchmark) { b.setPoweredOff(4, true); b.setPoweredOff(5, true); time.Sleep(5 * time.Second) }, []int{0, 2}},
		{"the proposer's region gone for 5 s", func(b *benchmark) { b.setPoweredOff(0, true); b.setPoweredOff(1, true); time.Sleep(5 * time.Second) }, []int{2, 4}},
	} {
		for _, at := range x.at {
			runBenchmark(t, layoutOf(6, 0, 0, 1), func(b *benchmark) {
				o := b.callUntilAnswered(0, "rollouts.begin", "", []byte(`{"service":"desk","target-version":"v2","duration-s":80000}`))
				b.c.Assert(o.status, qt.Equals, 200)
				x.do(b)
				for _, call := range []string{"configuration.read", "rollouts.read"} {
					var all []callResult
					for range 300 {
						b.sleepAbout(100 * time.Millisecond)
						all = append(all, b.callUntilAnswered(at, call, "desk", nil))
					}
					t.Log(tableRow(fmt.Sprintf("%s; %s; at process %d", call, x.name, at), all))
				}
			})
		}
	}
	runBenchmark(t, layoutOf(6, 0, 0, 1), func(b *benchmark) {
		var all []callResult
		for range 15 {
			b.setPoweredOff(4, true)
			b.setPoweredOff(5, true)
			for range 20 {
				b.sleepAbout(50 * time.Millisecond)
				all = append(all, b.callUntilAnswered(len(all)%4, "configuration.read", "", nil))
			}
			time.Sleep(4 * time.Second)
			b.setPoweredOff(4, false)
			b.setPoweredOff(5, false)
			time.Sleep(8 * time.Second)
		}
		t.Log(tableRow("configuration.read; a region just gone", all))
	})
}

// measureRaces has two operators send two contents of one number at two processes.
func measureRaces(t *testing.T) {
	runBenchmark(t, layoutOf(6, 0, 0, 1), func(b *benchmark) {
		ends := map[string]int{}
		clear := map[string]int{}
		for n := range 1000 {
			one, two := n%6, (n+1+n/6%5)%6
			send := func(at int, prefix string) (int, callResult) {
				x := b.cluster.ChangeBody(false, Route{Name: fmt.Sprintf("race-%d", n%50), Prefix: fmt.Sprintf("/%s/%d/", prefix, n), Service: "desk", Version: fmt.Sprintf("%08x", n/50+1)})
				status, _ := b.callOnce(at, at, "configuration.modify", "", x)
				if status == 200 || status == 409 {
					return status, callResult{status: status}
				}
				return status, b.callUntilAnswered(at, "configuration.modify", "", x)
			}
			var first, second int
			var a, z callResult
			var each sync.WaitGroup
			each.Go(func() { first, a = send(one, "left") })
			skew := time.Duration(b.float64() * float64(100*time.Millisecond))
			each.Go(func() { time.Sleep(skew); second, z = send(two, "right") })
			each.Wait()
			x := []int{first, second}
			slices.Sort(x)
			ends[fmt.Sprint(x)]++
			x = []int{a.status, z.status}
			slices.Sort(x)
			clear[fmt.Sprint(x)]++
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("| 1,000 pairs of rivals, 0 to 100 ms apart | first answers %v | once sent until clear %v |", ends, clear)
	})
}

// measureStart is how long a first start takes: until orders are taken, and until all are members.
func measureStart(t *testing.T) {
	var taken, members []time.Duration
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			cluster := New(layoutOf(6, 0, 0, seed+1))
			defer cluster.Stop()
			b := newBenchmark(c, cluster)
			for _, i := range b.rng.Perm(6) { // in any order, within 0.3 s
				c.Assert(cluster.Controls[i].Start(), qt.IsNil)
				b.sleepAbout(50 * time.Millisecond)
			}
			start := time.Now()
			b.pending.Go(func() {
				o := b.callUntilAnswered(0, "configuration.modify", "", cluster.ChangeBody(true, safeRoute, unsafeRoute))
				taken = append(taken, o.latency)
			})
			for time.Since(start) < 60*time.Second {
				if s := b.readCore(0); s.Status == "in touch" && len(s.Voters) >= 5 && s.tolerance(6) >= 2 {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			members = append(members, time.Since(start))
			b.close()
		})
	}
	t.Log("| after the last of a first start in any order, 20 seeds | p50 ms | p99 ms | worst ms |")
	t.Logf("| until the first order is confirmed | %s |", percentiles(taken))
	t.Logf("| until all six are counted | %s |", percentiles(members))
}

// measureLoss is what orders feel of a loss or of a change of members, and how long the core bears one loss fewer. Orders
// come at 20 a second from 1 s before to 11 s after, at the processes that are left.
func measureLoss(t *testing.T) {
	t.Log("| event, 10 seeds each | orders after it | p50 ms | p99 ms | worst ms | sent again | not confirmed | longest without a confirmation ms (p50, p99, worst) | until the next loss is borne again s (p50, worst) | when that longest, and the worst order, began, s after the event |")
	type parts struct {
		name  string
		do    func(b *benchmark) // the loss
		after time.Duration
		back  func(b *benchmark) // what is done against it
		lost  int
	}
	freeze := func(b *benchmark, at int, on bool) bool {
		x, can := any(b.cluster.Network).(interface{ Freeze(string, bool) })
		if can {
			x.Freeze(b.cluster.Controls[at].Settings.IP, on)
		}
		return can
	}
	for _, x := range []parts{
		{"nothing", func(b *benchmark) {}, 0, func(b *benchmark) {}, 5},
		{"the proposer is killed, and started after 3 s", func(b *benchmark) { b.cluster.Controls[0].Kill() }, 3 * time.Second, func(b *benchmark) { b.cluster.Controls[0].mustStart() }, 0},
		{"the proposer loses power for 3 s", func(b *benchmark) { b.setPoweredOff(0, true) }, 3 * time.Second, func(b *benchmark) { b.setPoweredOff(0, false) }, 0},
		{"the proposer is cut off for 6 s", func(b *benchmark) { b.setPartition(true, 0) }, 6 * time.Second, func(b *benchmark) { b.setPartition(false, 0) }, 0},
		{"the proposer is frozen for 6 s", func(b *benchmark) { freeze(b, 0, true) }, 6 * time.Second, func(b *benchmark) { freeze(b, 0, false) }, 0},
		{"another is killed, and started after 3 s", func(b *benchmark) { b.cluster.Controls[5].Kill() }, 3 * time.Second, func(b *benchmark) { b.cluster.Controls[5].mustStart() }, 5},
		{"another loses its disk, and is started at once", func(b *benchmark) { b.cluster.Controls[5].Kill(); b.cluster.Controls[5].Disk.Wipe() }, 100 * time.Millisecond, func(b *benchmark) { b.cluster.Controls[5].mustStart() }, 5},
		{"the proposer loses its disk, and is started at once", func(b *benchmark) { b.cluster.Controls[0].Kill(); b.cluster.Controls[0].Disk.Wipe() }, 100 * time.Millisecond, func(b *benchmark) { b.cluster.Controls[0].mustStart() }, 0},
		{"another is replaced by a new machine after 3 s", func(b *benchmark) { b.setPoweredOff(5, true) }, 3 * time.Second, func(b *benchmark) {
			any(b.cluster.Controls[5]).(interface{ Replace() }).Replace()
			b.cluster.Controls[5].mustStart()
		}, 5},
		{"the proposer is replaced by a new machine after 3 s", func(b *benchmark) { b.setPoweredOff(0, true) }, 3 * time.Second, func(b *benchmark) {
			any(b.cluster.Controls[0]).(interface{ Replace() }).Replace()
			b.cluster.Controls[0].mustStart()
		}, 0},
	} {
		_, replaces := any(&ControlNode{}).(interface{ Replace() })
		_, freezes := any(&Network{}).(interface{ Freeze(string, bool) })
		if !replaces && strings.Contains(x.name, "replaced") || !freezes && strings.Contains(x.name, "frozen") {
			t.Logf("| %s | not measured: this version's emulator can't |", x.name)
			continue
		}
		var all []callResult
		var gaps, repaired []time.Duration
		longest, slowest, when, whence := time.Duration(0), time.Duration(0), time.Duration(0), time.Duration(0)
		for seed := range uint64(10) {
			runBenchmark(t, layoutOf(6, 0, 0, seed+1), func(b *benchmark) {
				zones := slices.DeleteFunc([]int{0, 1, 2, 3, 4, 5}, func(z int) bool { return z == x.lost })
				b.sleepAbout(time.Second)
				wait := b.streamChanges(20, 12*time.Second, zones...)
				time.Sleep(time.Second)
				at := time.Now()
				x.do(b)
				b.pending.Go(func() {
					time.Sleep(x.after)
					x.back(b)
				})
				watcher := 2
				b.pending.Go(func() {
					// the loss must be seen before it can be mended
					down := false
					for time.Since(at) < 40*time.Second {
						s := b.readCore(watcher)
						if n := s.tolerance(6); s.Status == "in touch" && n >= 2 && (down || time.Since(at) > x.after+4*time.Second) && b.cluster.Controls[x.lost].Status() == "in touch" {
							if !down && x.name == "nothing" {
								return
							}
							repaired = append(repaired, time.Since(at))
							return
						} else if n < 2 {
							down = true
						}
						time.Sleep(50 * time.Millisecond)
					}
					repaired = append(repaired, 40*time.Second)
				})
				mine := wait()
				var ends []time.Time
				for _, o := range mine {
					if o.sent.After(at) {
						all = append(all, o)
						if o.latency > slowest {
							slowest, whence = o.latency, o.sent.Sub(at)
						}
					}
					if o.status == 200 {
						ends = append(ends, o.sent.Add(o.latency))
					}
				}
				slices.SortFunc(ends, time.Time.Compare)
				worst := time.Duration(0)
				for i := range ends[1:] {
					if ends[i+1].After(at) {
						worst = max(worst, ends[i+1].Sub(ends[i]))
						if worst > longest {
							longest, when = worst, ends[i].Sub(at)
						}
					}
				}
				gaps = append(gaps, worst)
			})
		}
		slices.Sort(repaired)
		until := "-"
		if len(repaired) > 0 {
			until = fmt.Sprintf("%.1f, %.1f", repaired[(len(repaired)-1)/2].Seconds(), repaired[len(repaired)-1].Seconds())
		}
		t.Logf("%s %s | %s | %.1f, %.1f |", tableRow(x.name, all), strings.ReplaceAll(percentiles(gaps), " | ", ", "), until, when.Seconds(), whence.Seconds())
	}
}

// measurePartitions is how long a control process that is cut off from all others still answers, and how long routers hang on it:
// while it is asked for all that it does, and while nobody but hosts and the directory's clients ask, so that it has little to
// say to the others.
func measurePartitions(t *testing.T) {
	t.Log("| cut off from all others, 20 seeds: last answered with 200 after the cut | p50 ms | p99 ms | worst ms |")
	for _, x := range []struct {
		name   string
		asked  bool
		silent time.Duration // after which connections give up what nobody acknowledges
	}{{"", true, 1500 * time.Millisecond}, {"nobody reads or orders there: ", false, 1500 * time.Millisecond},
		{"connections give nothing up: ", true, time.Hour}} {
		last := map[string][]time.Duration{}
		for seed := range uint64(20) {
			runBenchmark(t, layoutOf(6, 2, 1, seed+1), func(b *benchmark) {
				b.cluster.Network.AckTimeout = x.silent
				b.measurePartition(5, x.asked, last)
			})
		}
		for _, name := range slices.Sorted(maps.Keys(last)) {
			t.Logf("| %s%s | %s |", x.name, name, percentiles(last[name]))
		}
	}
}

func (b *benchmark) measurePartition(at int, asked bool, last map[string][]time.Duration) {
	o := b.callUntilAnswered(0, "rollouts.begin", "", []byte(`{"service":"desk","target-version":"v2","duration-s":80000}`))
	b.c.Assert(o.status, qt.Equals, 200)
	b.sleepAbout(2 * time.Second)
	b.setPartition(true, at)
	cut := time.Now()
	const lasts = 12 * time.Second
	var mu sync.Mutex
	record := func(name string, late time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		last[name] = append(last[name], late)
	}
	probe := func(name string, every time.Duration, ask func() bool) {
		b.pending.Go(func() {
			b.sleepAbout(20 * time.Millisecond)
			late := time.Duration(0)
			for time.Since(cut) < lasts {
				if ask() {
					late = time.Since(cut)
				}
				time.Sleep(every)
			}
			record(name, late)
		})
	}
	call := func(call, of string, body func() []byte) func() bool {
		return func() bool {
			status, _ := b.callOnce(at, at, call, of, body())
			return status == 200
		}
	}
	empty := func() []byte { return nil }
	if asked {
		probe("configuration.read", 20*time.Millisecond, call("configuration.read", "", empty))
		probe("rollouts.read", 20*time.Millisecond, call("rollouts.read", "desk", empty))
		probe("configuration.modify", 20*time.Millisecond, call("configuration.modify", "", func() []byte { return b.nextChange("cut") }))
	}
	probe("instances.heartbeat", 20*time.Millisecond, b.countHeartbeats(at))
	probe("directory", 20*time.Millisecond, func() bool {
		resp, err := b.clients[at].Get("http://" + b.cluster.Controls[at].Settings.ListenAddresses["directory"] + "/-/resolution?zone-name=" + zoneName(at))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode == 200
	})
	b.pending.Go(func() { // when its router goes, and how long it hangs there in all, as it looks again now and then
		leftAfter, subscribed := time.Duration(0), time.Duration(0)
		for time.Since(cut) < lasts {
			if b.dialStream(at) {
				subscribed += 5 * time.Millisecond
			} else if leftAfter == 0 {
				leftAfter = time.Since(cut)
			}
			time.Sleep(5 * time.Millisecond)
		}
		record("the line of a router of its zone: until it first goes", leftAfter)
		record("the line of a router of its zone: in all of the 12 s", subscribed)
	})
}

// countHeartbeats is a host's beat to a process, another with each call; it tells whether it was served.
func (b *benchmark) countHeartbeats(at int) func() bool {
	n := 0
	return func() bool {
		n++
		body, _ := json.Marshal(map[string]any{"address": fmt.Sprintf("10.%d.64.250:9000", at+1), "information": map[string]any{"service": "desk",
			"version": "v1", "zone-name": zoneName(at), "slot-count": 3}, "current-status": map[string]any{"server-state": "ready", "sequence": n,
			"cold-remaining-s": 0}})
		status, _ := b.callOnce(at, at, "instances.heartbeat", "i-more", body)
		return status == 200
	}
}

// dialStream tells whether the second router of a zone holds a line to its control process.
func (b *benchmark) dialStream(at int) bool {
	to, from := b.cluster.Controls[at].Settings.IP, fmt.Sprintf("10.%d.0.2", at+1)
	b.cluster.Network.mu.Lock()
	defer b.cluster.Network.mu.Unlock()
	for x := range b.cluster.Network.conns {
		if x.local.IP.String() == from && x.remote.IP.String() == to && x.remote.Port == firstInternalPort {
			return true
		}
	}
	return false
}

// measureJoin is what it costs to bring in one whose disk was lost.
func measureJoin(t *testing.T) {
	t.Log("| routes | until it is in touch ms | until the next loss is borne ms | bytes to it | of all to it in the same time when calm |")
	for _, n := range []int{10, 100, 1000, 3200} {
		runBenchmark(t, layoutOf(6, 0, 0, 1), func(b *benchmark) {
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

// limitLink gives a machine a link of so many bytes a second each way to all outside of its zone, by the one thing that the sea asks for when something is
// sent: its delay. What has gone since it was last asked waits behind what went before.
func (b *benchmark) limitLink(ip string, perSecond float64) {
	network, base := b.cluster.Network, b.cluster.Network.Delay
	var mu sync.Mutex
	counted := map[[2]string]int64{}
	linkFreeAt := map[bool]time.Time{}
	network.Delay = func(from, to string) time.Duration {
		latency := base(from, to)
		if from != ip && to != ip || zoneIndexOf(from) == zoneIndexOf(to) {
			return latency
		}
		network.mu.Lock()
		n := network.SentBytes[[2]string{from, to}]
		network.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		added := n - counted[[2]string{from, to}]
		counted[[2]string{from, to}] = n
		now, inbound := time.Now(), to == ip
		if linkFreeAt[inbound].Before(now) {
			linkFreeAt[inbound] = now
		}
		linkFreeAt[inbound] = linkFreeAt[inbound].Add(time.Duration(float64(added) / perSecond * 1e9))
		return latency + linkFreeAt[inbound].Sub(now)
	}
}

// fillTo has the harbour take so many shares, beside its routes.
func (b *benchmark) fillTo(shares int) {
	var rows [][]any
	for i := range shares {
		rows = append(rows, []any{fmt.Sprintf("s-%05d", i), "desk", "X-Agency", fmt.Sprintf("tenant-%05d", i), 0.01, 1, "00000001"})
		if len(rows) == 1000 || i == shares-1 {
			raw, _ := json.Marshal(map[string]any{"set-items": map[string]any{"shares": map[string]any{
				"table-columns": []string{"name", "service", "caller-header", "caller", "per-s", "burst", "version"}, "table-rows": rows}}})
			b.mustChange(raw)
			rows = nil
		}
	}
}

// measureBehind is how long one that missed changes is behind, while 40 a second go on.
func measureBehind(t *testing.T) {
	t.Log("| items | missed | a second meanwhile | link | until in touch ms | until all that was confirmed at the start is had ms | bytes to it | heap at its most MB, over before | worst order meanwhile ms |")
	for _, x := range []struct {
		routes, shares, missed int
		perS, link             float64
	}{
		{10, 0, 10, 0, 0}, {10, 0, 100, 0, 0}, {10, 0, 1000, 0, 0},
		{10, 0, 10, 40, 0}, {10, 0, 100, 40, 0}, {10, 0, 1000, 40, 0}, {10, 0, 10000, 40, 0},
		{1000, 0, 1000, 40, 0}, {3200, 0, 1000, 40, 0}, {3200, 0, 1000, 40, 250e3}, {3200, 10000, 100, 40, 250e3}, {3200, 10000, 1000, 40, 250e3},
	} {
		t.Run(fmt.Sprintf("%d+%d missed %d at %.0f link %.0f", x.routes, x.shares, x.missed, x.perS, x.link), func(t *testing.T) {
			runBenchmark(t, layoutOf(6, 0, 0, 1), func(b *benchmark) {
				b.loadRoutes(x.routes)
				b.fillTo(x.shares)
				time.Sleep(3 * time.Second)
				node := b.cluster.Controls[5]
				b.setPoweredOff(5, true)
				time.Sleep(4 * time.Second)
				for i := range x.missed {
					o := b.callUntilAnswered(0, "configuration.modify", "", b.nextChange(fmt.Sprintf("load-%05d", i%max(x.routes, 10))))
					b.c.Assert(o.status, qt.Equals, 200)
				}
				if x.link > 0 {
					b.limitLink(node.Settings.IP, x.link)
				}
				wait := func() []callResult { return nil }
				if x.perS > 0 {
					wait = b.streamChanges(x.perS, 20*time.Second, 0, 1, 2, 3, 4)
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
				touch := time.Duration(0)
				for time.Since(start) < 60*time.Second {
					runtime.ReadMemStats(&mem)
					most = max(most, mem.HeapAlloc)
					if node.Status() == "in touch" {
						touch = time.Since(start)
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				bytes := b.cluster.Network.ReceivedBytes(node.Settings.IP) - before
				had := time.Duration(0)
				for time.Since(start) < 60*time.Second {
					if status, raw := b.callOnce(5, 5, "configuration.read", "", nil); status == 200 && strings.Contains(string(raw), "/mark/") {
						had = time.Since(start)
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				worst := time.Duration(0)
				for _, o := range wait() {
					worst = max(worst, o.latency)
				}
				t.Logf("| %d routes, %d shares | %d | %.0f | %s | %s | %s | %d | %.1f | %s |", x.routes, x.shares, x.missed, x.perS,
					map[bool]string{true: "2 Mbit/s", false: "free"}[x.link > 0], formatMillis(touch), formatMillis(had), bytes, float64(most-min(heap, most))/1e6, formatMillis(worst))
			})
		})
	}
}

// measureRestart is how soon a process that was ended and started again serves.
func measureRestart(t *testing.T) {
	first := map[string][]time.Duration{}
	for seed := range uint64(20) {
		runBenchmark(t, layoutOf(6, 2, 1, seed+1), func(b *benchmark) {
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
			probe("a beat", b.countHeartbeats(at))
			probe("configuration.read", func() bool {
				status, _ := b.callOnce(at, at, "configuration.read", "", nil)
				return status == 200
			})
			probe("configuration.modify", func() bool {
				status, _ := b.callOnce(at, at, "configuration.modify", "", b.nextChange("back"))
				return status == 200
			})
			probe("a line of a router of its zone", func() bool { return b.dialStream(at) })
			wait()
		})
	}
	t.Log("| restarted after 2 to 6 s, 40 changes a second, 20 seeds: first | p50 ms | p99 ms | worst ms |")
	for _, name := range []string{"in touch", "a beat", "configuration.read", "configuration.modify", "a line of a router of its zone"} {
		t.Logf("| %s | %s |", name, percentiles(first[name]))
	}
}

// measureSize is what a change of one route costs of a core by the items that stand: in real time, unlike all else here. Check
// is done for each order by who proposes it, the chart is drawn by each process for each change.
func measureSize(t *testing.T) {
	t.Log("| items | check of one route's change ms | drawing the chart ms | a copy of the set ms |")
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
		t.Logf("| %d routes, %d shares | %s | %s | %s |", x[0], x[1], check, timed(func() { config.NewRoutingTable(set) }), timed(func() { set.Clone() }))
	}
}

// measureLongDay is the long run: 1,100 changes and 330 restarts, a part of them with a loss of power and a few with a lost disk.
// What was confirmed stands at all at the end, and all are whole.
func measureLongDay(t *testing.T) {
	if !*measureLongRun {
		t.Skip("only with -day")
	}
	start := time.Now()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBenchmark(c, startCluster(c, layoutOf(6, 1, 1, 1)))
		time.Sleep(10 * time.Second)
		const changes, restarts = 1100, 330
		var mu sync.Mutex
		var all []callResult
		stands := map[string]int{}
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
					stands[route] = b.versions[route]
				}
				mu.Unlock()
			}
		})
		var whole []time.Duration
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
				whole = append(whole, b.awaitCaughtUp(at, 60*time.Second))
			}
		})
		each.Wait()
		time.Sleep(30 * time.Second)
		type route struct {
			Name    string `json:"name"`
			Version string `json:"version"`
		}
		lost, unlike := 0, 0
		var one string
		for i := range b.cluster.Controls {
			c.Check(b.cluster.Controls[i].Status(), qt.Equals, "in touch")
			status, raw := b.callOnce(i, i, "configuration.read", "", nil)
			c.Check(status, qt.Equals, 200)
			if i == 0 {
				one = string(raw)
				for name, n := range stands {
					if !strings.Contains(one, fmt.Sprintf("/%s/%d/", name, n)) {
						lost++
					}
				}
			} else if string(raw) != one {
				unlike++
			}
		}
		c.Check(lost, qt.Equals, 0)
		c.Check(unlike, qt.Equals, 0)
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
		t.Log("| a day | orders | p50 ms | p99 ms | worst ms | sent again | not confirmed |")
		t.Log(tableRow(fmt.Sprintf("%d changes, %d restarts (%d of them with a lost disk) in %v", changes, restarts, wiped, *longRunDuration), all))
		t.Logf("| started until in touch | %d | %s | lost %d | unlike %d | largest disk %d bytes | %d routes |", len(whole), percentiles(whole), lost, unlike, disk, len(stands))
		b.close()
	})
	t.Logf("took %v of this machine", time.Since(start).Round(time.Second))
}
