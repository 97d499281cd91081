package simulation

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"portflow/internal/control/server"
)

// steadyWriter sends one small configuration change after another and records which were confirmed, and when. Confirmed changes must
// not be lost, and the longest gap shows for how long a membership change blocked writes.
type steadyWriter struct {
	cluster     *Cluster
	mu          sync.Mutex
	confirmed   [writerRoutes]uint64 // highest confirmed version by route
	sent        [writerRoutes]uint64 // highest sent version by route
	confirmedAt []time.Time
	stop        chan bool
	done        chan bool
}

// longestGap returns the longest interval without a confirmed change between from and now.
func (w *steadyWriter) longestGap(from time.Time) (longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := from
	for _, at := range w.confirmedAt {
		if at.After(from) {
			longest, last = max(longest, at.Sub(last)), at
		}
	}
	return max(longest, time.Since(last))
}

func (w *steadyWriter) close() { close(w.stop); <-w.done }

// checkConfirmed checks that a control process has the confirmed version, or a newer version that was sent, of each route.
func (w *steadyWriter) checkConfirmed(c *qt.C, control int) {
	_, raw := w.cluster.callOne(control, "configuration.read", nil)
	for route, version := range w.confirmed {
		match := regexp.MustCompile(fmt.Sprintf(`"pulse-%d"[^\]]*"(\d{8})"\]`, route)).FindSubmatch(raw)
		if version == 0 {
			continue
		}
		stored := uint64(0)
		if match != nil {
			stored, _ = strconv.ParseUint(string(match[1]), 10, 64)
		}
		c.Check(stored >= version && stored <= w.sent[route], qt.IsTrue, qt.Commentf("control process %d, route %d: got version %d, want at least %d (confirmed) and at most %d (sent)", control, route, stored, version, w.sent[route]))
	}
}

func (cl *Cluster) startWriter() *steadyWriter {
	writer := &steadyWriter{cluster: cl, stop: make(chan bool), done: make(chan bool)}
	client := cl.httpClient(cl.Network.Process("10.200.0.30"), time.Second)
	go func() {
		defer close(writer.done)
		defer client.CloseIdleConnections()
		for n, to := 0, 0; ; n++ {
			select {
			case <-writer.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			r, v := n%writerRoutes, uint64(n+10)
			change := cl.ChangeBody(false, Route{Name: fmt.Sprint("pulse-", r), Prefix: fmt.Sprintf("/pulse/%d/", r), Service: "desk", Version: fmt.Sprintf("%08d", v), Idempotent: true})
			writer.mu.Lock()
			writer.sent[r] = v
			writer.mu.Unlock()
			for range len(cl.Controls) {
				if status, _, err := callRPC(cl.ctx, client, cl.controlAddress(to), "configuration.modify", "", change); err == nil && status == 200 {
					writer.mu.Lock()
					writer.confirmed[r] = v
					writer.confirmedAt = append(writer.confirmedAt, time.Now())
					writer.mu.Unlock()
					break
				}
				to = (to + 1) % len(cl.Controls)
			}
		}
	}()
	return writer
}

// callOne sends one call to one control process, without a retry. The status is 0 and the reply is the error's text if there is no
// response.
func (cl *Cluster) callOne(at int, call string, body any) (int, []byte) {
	raw := []byte(nil)
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	return cl.callOneFor(at, call, "", raw)
}

func (cl *Cluster) callOneFor(at int, call, target string, raw []byte) (int, []byte) {
	client := cl.httpClient(cl.Network.Process("10.200.0.31"), 2*time.Second)
	defer client.CloseIdleConnections()
	status, reply, err := callRPC(context.Background(), client, cl.controlAddress(at), call, target, raw)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return status, reply
}

func (cl *Cluster) coreStatus(at int) (coreStatus server.CoreStatus) {
	_, raw := cl.callOne(at, "core.read", nil)
	json.Unmarshal(raw, &coreStatus)
	return coreStatus
}

func (cl *Cluster) changeCore(at int, action, member, replacement string, dryRun, force bool) (out server.CoreChangeResult, status int, raw []byte) {
	status, raw = cl.callOne(at, "core.change", server.CoreChange{Action: action, Member: member, Replacement: replacement, DryRun: dryRun, Force: force})
	json.Unmarshal(raw, &out)
	return out, status, raw
}

func memberNames(all []server.CoreMember) []string {
	return lo.Map(all, func(x server.CoreMember, _ int) string { return x.Name })
}

// waitUntil waits for a condition and returns the time that took. If the condition is still false after limit, the test is marked as
// failed and goes on.
func waitUntil(c *qt.C, limit time.Duration, label string, condition func() bool) time.Duration {
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			c.Errorf("%s: condition not met within %v", label, limit)
			return limit
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// withControls runs a scenario in virtual time on a cluster that has only control processes, one in each zone, once all of them are
// voting members.
func withControls(t *testing.T, zones int, seed uint64, scenario func(c *qt.C, cluster *Cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cluster := New(Layout{Zones: zones, Services: []string{"desk"}, Seed: seed})
		c.Assert(cluster.Start(), qt.IsNil)
		defer cluster.Stop()
		time.Sleep(2 * time.Second)
		configure(c, cluster, cluster.ChangeBody(true, safeRoute), 0)
		waitUntil(c, 10*time.Second, "all control processes are voting members", func() bool {
			return len(cluster.coreStatus(0).Members) == zones && cluster.coreStatus(0).Tolerates == zones-zones/2-1
		})
		scenario(c, cluster)
	})
}

const writerRoutes = 20

var replacementRuns = flag.Int("replacements", 0, "drawn replacements and starts of the core to play, instead of a few")

// converged reports whether all running control processes are connected to a quorum, have caught up, and agree on the epoch and the
// index, with a member list of the given length. No change may be sent meanwhile.
func (cl *Cluster) converged(members int) bool { return cl.sameMembership(members, true) }

// sameMembership is like converged, but compares the index only if compareIndex is set.
func (cl *Cluster) sameMembership(members int, compareIndex bool) bool {
	first := server.CoreStatus{}
	for at, node := range cl.Controls {
		if node.cancel == nil {
			continue
		}
		coreStatus := cl.coreStatus(at)
		if coreStatus.Status != "in touch" || !coreStatus.Current || len(coreStatus.Members) != members {
			return false
		}
		if first.Node == "" {
			first = coreStatus
		}
		if coreStatus.Epoch != first.Epoch || compareIndex && coreStatus.Index != first.Index {
			return false
		}
	}
	return true
}

// membershipRecorder polls the member list of each control process and checks that all lists of an epoch are equal.
type membershipRecorder struct {
	mu      sync.Mutex
	byEpoch map[uint64]string // member lists
	pending sync.WaitGroup
	stop    chan bool
}

func (cl *Cluster) recordMemberships(c *qt.C) *membershipRecorder {
	w := &membershipRecorder{byEpoch: map[uint64]string{}, stop: make(chan bool)}
	for at := range cl.Controls {
		w.pending.Go(func() {
			client := cl.httpClient(cl.Network.Process(fmt.Sprint("10.200.0.", 40+at)), time.Second)
			defer client.CloseIdleConnections()
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				status, raw, err := callRPC(cl.ctx, client, cl.controlAddress(at), "core.read", "", nil)
				var coreStatus server.CoreStatus
				if err != nil || status != 200 || json.Unmarshal(raw, &coreStatus) != nil || coreStatus.Epoch == 0 {
					continue
				}
				members := fmt.Sprint(lo.Map(coreStatus.Members, func(x server.CoreMember, _ int) string { return x.IP + "/" + x.DiskID }))
				w.mu.Lock()
				if previous, known := w.byEpoch[coreStatus.Epoch]; known && previous != members {
					c.Errorf("epoch %d: got member list %s at control process %d, earlier %s", coreStatus.Epoch, members, at, previous)
				}
				w.byEpoch[coreStatus.Epoch] = members
				w.mu.Unlock()
			}
		})
	}
	return w
}

// runSeeds runs a subtest for each of defaultCount seeds, a quarter of that with the race detector. If -replacements is set, it runs that
// many seeds, beginning with -from.
func runSeeds(t *testing.T, defaultCount int, run func(t *testing.T, seed int)) {
	first, count := 0, lo.Ternary(raceEnabled, defaultCount/4, defaultCount)
	if *replacementRuns > 0 {
		first, count = *firstSeed, *replacementRuns
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// failRandomly injects a random failure into a control process. It returns the name of the failure and a function that ends it.
func (cl *Cluster) failRandomly(randomIntn func(int) int, node *ControlNode) (failure string, restore func()) {
	ip := node.Settings.IP
	switch randomIntn(5) {
	case 0:
		node.Kill()
		return "killed", node.mustStart
	case 1:
		cl.Network.SetPoweredOff(ip, true)
		node.Kill()
		node.Disk.PowerLoss(randomIntn(2) == 0)
		return "powered off", func() { cl.Network.SetPoweredOff(ip, false); node.mustStart() }
	case 2:
		cl.Network.Freeze(ip, true)
		node.Disk.setHanging(true)
		return "frozen", func() { node.Disk.setHanging(false); cl.Network.Freeze(ip, false) }
	case 3:
		for _, x := range cl.Controls {
			if x != node {
				cl.Network.SetPartition(ip, x.Settings.IP, true)
			}
		}
		return "cut", func() {
			for _, x := range cl.Controls {
				if x != node {
					cl.Network.SetPartition(ip, x.Settings.IP, false)
				}
			}
		}
	}
	node.Shutdown()
	return "shut down", node.mustStart
}
