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

// Measurements of the control processes: the write path, membership, and how a process that is behind catches up. They use only
// what is visible from outside (calls, disk syncs, bytes and frames on streams), so that they also work with other versions of the
// control process. Times are virtual: exact for the simulated delays and independent of the load of the machine.
//
//	go test ./internal/lab/simulation -run 'TestMeasure' -v -timeout 60m -args -measure
//	go test ./internal/lab/simulation -run 'TestMeasure/day' -v -timeout 120m -args -measure -day
var (
	measureControl  = flag.Bool("measure", false, "measure control, and write the figures as rows of tables")
	measureLongRun  = flag.Bool("day", false, "of the measurements also the day of 1,100 changes and 330 restarts")
	longRunDuration = flag.Duration("lasts", 24*time.Hour, "of that day, virtual")
)

// benchmark is a cluster under measurement, with an operator in each zone, 0.1 ms from the zone's control process.
type benchmark struct {
	c        *qt.C
	cluster  *Cluster
	clients  []*http.Client
	rng      *rand.Rand
	mu       sync.Mutex
	versions map[string]int // by route name
	pending  sync.WaitGroup
	calls    sync.WaitGroup // calls sent by streamChanges
}

func newLayout(zones, proxies, hosts int, seed uint64) Layout {
	return Layout{Zones: zones, ProxiesPerZone: proxies, HostsPerZone: hosts, Services: []string{"desk"}, ServiceTime: 80 * time.Millisecond, Concurrency: 3, Rate: 4, Seed: seed}
}

// runBenchmark runs one measurement on a cluster that has been running for 12 s.
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

// close waits for calls in flight and closes idle connections.
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

// sleepAbout sleeps for d plus or minus up to 50%, so that loops don't run in lockstep.
func (b *benchmark) sleepAbout(d time.Duration) {
	time.Sleep(time.Duration(float64(d) * (0.5 + b.float64())))
}

// callOnce sends one call from a zone's operator to a control process. The status is 0 if there is no response within a second.
func (b *benchmark) callOnce(from, control int, call, target string, body []byte) (status int, reply []byte) {
	status, reply, err := callRPC(context.Background(), b.clients[from], b.cluster.Controls[control].Settings.ListenAddresses["control"], call, target, body)
	if err != nil {
		return 0, nil
	}
	return status, reply
}

// callResult is the result of a call that is retried until it has a definite response.
type callResult struct {
	sent     time.Time
	latency  time.Duration
	attempts int
	status   int
}

// callUntilAnswered sends a call to the control process of the operator's zone, and then to the others in turn, 50 ms apart, until
// the status is 200, 400, 404 or 409, or 30 s have passed.
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

// nextChange returns a change that sets a route to its next version.
func (b *benchmark) nextChange(route string) []byte {
	b.mu.Lock()
	b.versions[route]++
	n := b.versions[route]
	b.mu.Unlock()
	return b.cluster.ChangeBody(false, Route{Name: route, Prefix: fmt.Sprintf("/%s/%d/", route, n), Service: "desk", Version: fmt.Sprintf("%08x", n)})
}

// loadRoutes configures n routes, 400 in a change.
func (b *benchmark) loadRoutes(n int) {
	var batch []Route
	for i := range n {
		b.versions[fmt.Sprintf("load-%05d", i)] = 1
		batch = append(batch, Route{Name: fmt.Sprintf("load-%05d", i), Prefix: fmt.Sprintf("/load/%05d/", i), Service: "desk", Version: "00000001"})
		if len(batch) == 400 || i == n-1 {
			b.mustChange(b.cluster.ChangeBody(false, batch...))
			batch = nil
		}
	}
}

func (b *benchmark) mustChange(change []byte) {
	o := b.callUntilAnswered(0, "configuration.modify", "", change)
	b.c.Assert(o.status, qt.Equals, 200, qt.Commentf("%+v of %.300s", o, change))
}

// sendChanges sends n changes from a zone one after another, with a pause of about rest before each.
func (b *benchmark) sendChanges(from, n int, rest time.Duration) (results []callResult) {
	for range n {
		b.sleepAbout(rest)
		results = append(results, b.callUntilAnswered(from, "configuration.modify", "", b.nextChange(fmt.Sprintf("one-%d", from))))
	}
	return results
}

// streamChanges sends changes at a constant average rate, from the given zones in turn, without waiting for responses. wait returns
// the results once all calls have ended.
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

// coreView is the part of a control process's status that concerns the voting members. Versions without epochs report only which
// members are connected.
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

// tolerance returns how many more losses the voting members tolerate. If the process doesn't report it, it is computed from the
// members that are connected and caught up.
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

// setPartition blocks or restores the connections between the given control processes and all others. Clients still reach them.
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

// TestMeasure runs all measurements with -measure. Without it, it only checks that the cost of a change with six voting members stays
// within bounds.
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

// setDisk sets the duration of a disk's syncs, and whether its writes fail.
func (b *benchmark) setDisk(at int, delay time.Duration, failing bool) {
	b.cluster.Controls[at].Disk.SetFaults(delay, failing)
}

// limitLink limits the bandwidth between a machine and all other zones, in bytes per second in each direction. It wraps
// Network.Delay, which the network calls for each send: bytes sent since the last call queue behind those sent before.
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

// loadQuotas configures a number of quotas in addition to the routes.
func (b *benchmark) loadQuotas(count int) {
	var rows [][]any
	for i := range count {
		rows = append(rows, []any{fmt.Sprintf("s-%05d", i), "desk", "X-Agency", fmt.Sprintf("tenant-%05d", i), 0.01, 1, "00000001"})
		if len(rows) == 1000 || i == count-1 {
			raw, _ := json.Marshal(map[string]any{"set-items": map[string]any{"shares": map[string]any{
				"table-columns": []string{"name", "service", "caller-header", "caller", "per-s", "burst", "version"}, "table-rows": rows}}})
			b.mustChange(raw)
			rows = nil
		}
	}
}
