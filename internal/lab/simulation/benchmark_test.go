package simulation

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// The measurements of control: its write path, its members and how one that is behind catches up. They use what can be seen from
// outside alone (calls, syncs of disks, bytes and frames on streams), so that this file also measures other versions. Times are
// virtual: they are exact for the simulated delays, and a busy machine changes none of them.
//
//	go test ./internal/lab/simulation -run 'TestMeasure' -v -timeout 60m -args -measure
//	go test ./internal/lab/simulation -run 'TestMeasure/day' -v -timeout 120m -args -measure -day
var (
	measureControl  = flag.Bool("measure", false, "measure control, and write the figures as rows of tables")
	measureLongRun  = flag.Bool("day", false, "of the measurements also the day of 1,100 changes and 330 restarts")
	longRunDuration = flag.Duration("lasts", 24*time.Hour, "of that day, virtual")
)

// benchmark is a cluster that is measured: in each zone an operator 0.1 ms from its control process.
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

// runBenchmark runs one measurement on a cluster that has been up for 12 s.
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

// sleepAbout sleeps for a duration, by half less or more, so that no two loops run in step.
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

// loadRoutes configures a number of routes.
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

// coreView is what a control process answers about the members; versions that know no epochs answer which members are in contact.
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

// tolerance returns how many more losses the members would tolerate, as the process answers it; where it doesn't, it is computed
// from the members that are in contact and caught up.
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

// awaitCaughtUp waits until a process has a quorum and has caught up, and returns how long that took.
func (b *benchmark) awaitCaughtUp(at int, limit time.Duration) time.Duration {
	start := time.Now()
	for b.cluster.Controls[at].Status() != "in touch" && time.Since(start) < limit {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// TestMeasure measures with -measure; without it, it checks what a change costs at six members against bounds just above what was
// measured.
func TestMeasure(t *testing.T) {
	if !*measureControl {
		t.Run("guard", checkChangeCost)
		return
	}
	for _, x := range []struct {
		name string
		f    func(*testing.T)
	}{{"ack", measureAck}, {"cost", measureCost}, {"reads", measureReads}, {"races", measureRaces}, {"start", measureStart}, {"loss", measureLoss},
		{"cutoff", measurePartitions}, {"join", measureJoin}, {"behind", measureCatchUp}, {"restart", measureRestart}, {"size", measureSize}, {"day", measureSoak}} {
		t.Run(x.name, x.f)
	}
}

// refuse has a disk refuse, and slow has it take so long for a sync.
func (b *benchmark) setDisk(at int, delay time.Duration, refuses bool) {
	b.cluster.Controls[at].Disk.SetFaults(delay, refuses)
}

// limitLink limits a machine's link to all outside of its zone, in bytes a second each way. It does that by the one function that
// the network calls when something is sent: the delay. What was sent since the last call queues behind what was sent before.
func (b *benchmark) limitLink(ip string, perSecond float64) {
	network, base := b.cluster.Network, b.cluster.Network.Delay
	var mu sync.Mutex
	counted := map[link]int64{}
	linkFreeAt := map[bool]time.Time{}
	network.Delay = func(from, to string) time.Duration {
		latency := base(from, to)
		if from != ip && to != ip || zoneIndexOf(from) == zoneIndexOf(to) {
			return latency
		}
		network.mu.Lock()
		n := network.SentBytes[link{from, to}]
		network.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		added := n - counted[link{from, to}]
		counted[link{from, to}] = n
		now, inbound := time.Now(), to == ip
		if linkFreeAt[inbound].Before(now) {
			linkFreeAt[inbound] = now
		}
		linkFreeAt[inbound] = linkFreeAt[inbound].Add(time.Duration(float64(added) / perSecond * 1e9))
		return latency + linkFreeAt[inbound].Sub(now)
	}
}

// fillTo configures a number of quotas, beside the routes.
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
