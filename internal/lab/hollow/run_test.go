package hollow

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/update"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
	"portflow/internal/control/registry"
)

func compress(raw []byte) []byte {
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	w.Write(raw)
	w.Close()
	return b.Bytes()
}

// parseFrame must agree with the encoding of update.Message, compressed or not, also where it decompresses only the beginning.
func TestParseFrame(t *testing.T) {
	c := qt.New(t)
	changes := []update.Change{{Instance: &instance.Instance{ID: "h"}}, {Proxy: &update.Proxy{Name: "r"}}, {Proxy: &update.Proxy{Name: "q"}},
		{Item: &config.Item{Kind: "routes", Name: "probe", Version: 3}}}
	var long []update.Change
	for n := range 20000 {
		long = append(long, update.Change{Instance: &instance.Instance{ID: fmt.Sprintf("host-%d-%d", n, n*7919), Service: fmt.Sprint(n * n)}})
	}
	for _, x := range []struct {
		message update.Message
		want    frameHeader
	}{
		{update.Message{Hello: &update.Hello{Name: "m"}}, frameHeader{Kind: HelloFrame}},
		{update.Message{Status: &update.Status{Complete: true, HasQuorum: true}}, frameHeader{Kind: StatusFrame, Complete: true, Quorum: true}},
		{update.Message{Status: &update.Status{}}, frameHeader{Kind: StatusFrame}},
		{update.Message{Quota: &update.QuotaUpdate{}}, frameHeader{Kind: QuotaFrame}},
		{update.Message{Consensus: json.RawMessage(`{"k":"c"}`)}, frameHeader{Kind: OtherFrame}},
		{update.Message{Batch: &update.Batch{Incarnation: "l", From: 3, To: 9, Changes: changes}}, frameHeader{Kind: BatchFrame, Incarnation: "l", From: 3, To: 9, Hosts: 1, Routers: 2, Items: 1}},
		{update.Message{Batch: &update.Batch{Incarnation: "l", To: 9}}, frameHeader{Kind: BatchFrame, Incarnation: "l", To: 9}},
		{update.Message{Batch: &update.Batch{Incarnation: "l", To: 9, Snapshot: true, Changes: long}}, frameHeader{Kind: SnapshotFrame, Incarnation: "l", To: 9}},
	} {
		raw, err := json.Marshal(x.message)
		c.Assert(err, qt.IsNil)
		for _, deflated := range []bool{false, true} {
			if deflated {
				raw = compress(raw)
			}
			h, err := parseFrame(raw, deflated)
			c.Assert(err, qt.IsNil)
			if h.Body = nil; h.Kind == SnapshotFrame {
				h.Hosts = 0
			}
			c.Check(h, qt.DeepEquals, x.want)
		}
	}
	snapshot, err := update.NewSnapshot(update.SnapshotHeader{Name: "l.1", Incarnation: "l", To: 9}, long, func(message []byte) []byte { return message })
	c.Assert(err, qt.IsNil)
	received := 0
	for _, w := range snapshot.Messages { // a snapshot in chunks
		h, err := parseFrame(compress(w), true)
		c.Assert(err, qt.IsNil)
		c.Check(h.Progress.Received > received, qt.IsTrue)
		received = h.Progress.Received
		c.Check(h, qt.DeepEquals, frameHeader{Kind: SnapshotFrame, Incarnation: "l", To: 9, Progress: update.Progress{Name: "l.1", Received: received}, ChunkTotal: len(long)})
	}
	c.Check(received, qt.Equals, len(long))
}

func FuzzParseFrame(f *testing.F) {
	f.Add([]byte(`{"n":{"l":"x","t":3,"s":true,"n":[]}}`), false)
	f.Add(compress([]byte(`{"n":{"l":"x","f":2,"t":3}}`)), true)
	f.Add([]byte(`{"s":{"w":true}}`), false)
	f.Fuzz(func(t *testing.T, raw []byte, deflated bool) { parseFrame(raw, deflated) })
}

// Every region gets a control process before any region gets a second, plans beyond the limits are rejected, and no two machines
// share an address.
func TestPlanControlZones(t *testing.T) {
	c := qt.New(t)
	p := TargetPlan()
	c.Assert(p.validate(), qt.IsNil)
	c.Check(p.controlZones(), qt.DeepEquals, []int{0, 3, 6, 9, 1, 4, 7})
	c.Check(distance(0, 0), qt.Equals, 0)
	c.Check(distance(0, 2), qt.Equals, 1)
	c.Check(distance(2, 3), qt.Equals, 2)
	for _, invalidate := range []func(*Plan){func(p *Plan) { p.Routers = maxRouters + 1 }, func(p *Plan) { p.Hosts = maxHosts + 1 }, func(p *Plan) { p.Voters = 12 },
		func(p *Plan) { p.IdleTime = time.Hour }, func(p *Plan) { p.Services = 0 }, func(p *Plan) { p.RealRouters = maxRealRouters + 1 }} {
		p := TargetPlan()
		invalidate(&p)
		c.Check(p.validate(), qt.IsNotNil)
	}
	seen := map[string]bool{}
	for z := range p.Zones {
		for _, n := range slices.Concat([]int{0}, intRange(100, 1099), intRange(2000, 2000+maxRouters/p.Zones), intRange(4000, 4000+maxRealRouters)) {
			c.Assert(seen[address(z, n)], qt.IsFalse)
			seen[address(z, n)] = true
		}
	}
}

func intRange(a, b int) (all []int) {
	for n := a; n <= b; n++ {
		all = append(all, n)
	}
	return all
}

// newTestRegistry returns the state of a control process with the given numbers of routers, hosts and routes.
func newTestRegistry(routers, hosts, routes int) *registry.State {
	items := config.NewSet()
	for n := range routes {
		items.Merge(config.Item{Kind: config.KindRoutes, Name: fmt.Sprintf("route-%04d", n), Version: 1, Body: []byte(`{"name":"route","path-prefix":"/r","service":"s"}`)})
	}
	self := membership.Member{IP: "10.0.0.1", ID: "d", Name: "m", Zone: "a"}
	s := registry.NewState(update.Hello{Name: "m", IP: self.IP, Zone: "a", Control: true}, consensus.New(self, "life", 1, consensus.HardState{DiskID: "d"}, items, 1), int64(heartbeatInterval))
	for n := range hosts {
		h, _ := s.Instances.Heartbeat(1, instance.Instance{ID: fmt.Sprintf("host-%05d", n), Service: "s", Zone: "a", Address: "10.0.1.1:80", Version: "v", Slots: 6, Sequence: 1})
		s.PublishInstance(h, true)
	}
	for n := range routers {
		s.ClaimProxy(1, update.Proxy{Name: fmt.Sprintf("router-%04d", n), Zone: "a", IP: "10.0.2.1", Address: "10.0.2.1:80", Ready: true, Owner: "m"})
	}
	return s
}

// changesFor returns the number of changes that change causes for a subscriber, and the size of the encoded batch.
func changesFor(s *registry.State, control bool, change func()) (count, size int) {
	at := s.Updates.Last()
	change()
	all, _ := s.Updates.After(at)
	batch := registry.Filter(all, control)
	raw, _ := json.Marshal(update.Message{Batch: &update.Batch{Incarnation: "l", From: at, To: s.Updates.Last(), Changes: batch}})
	return len(batch), len(raw)
}

// The update for one change must not grow with the number of routers, hosts or items, a heartbeat without a change must cause none,
// and the snapshot must stay below a fixed number of bytes per router, host and item. docs/CAPACITY.md relies on these sizes.
func TestCostOfChange(t *testing.T) {
	c := qt.New(t)
	type cost struct{ Beat, Drain, Router, Item, Snapshot int }
	costs := map[[3]int]cost{}
	for _, size := range [][3]int{{10, 100, 100}, {510, 100, 100}, {10, 4200, 100}, {10, 100, 3200}} {
		s := newTestRegistry(size[0], size[1], size[2])
		h := s.Instances.Lookup("host-00007")
		heartbeat := func(state instance.State) func() {
			return func() {
				h.Sequence, h.State = h.Sequence+1, state
				if x, changed := s.Instances.Heartbeat(2, h); changed {
					s.PublishInstance(x, true)
				}
			}
		}
		var x cost
		count, size0 := changesFor(s, false, heartbeat(instance.Ready))
		c.Check(count, qt.Equals, 0)
		x.Beat = size0
		count, x.Drain = changesFor(s, false, heartbeat(instance.Draining))
		c.Check(count, qt.Equals, 1)
		count, x.Router = changesFor(s, false, func() { s.ClaimProxy(3, s.Proxies["router-0003"]) })
		c.Check(count, qt.Equals, 1)
		count, x.Item = changesFor(s, false, func() {
			i := config.Item{Kind: config.KindRoutes, Name: "route-0003", Version: 2, Body: []byte(`{"name":"route"}`)}
			c.Assert(s.Set.Merge(i), qt.IsTrue)
			s.Publish(1, []config.Item{i}, true)
		})
		c.Check(count, qt.Equals, 1)
		raw, err := json.Marshal(s.Snapshot(1, false))
		c.Assert(err, qt.IsNil)
		x.Snapshot = len(raw)
		costs[size] = x
		t.Logf("%v: %+v", size, x)
	}
	base := costs[[3]int{10, 100, 100}]
	for size, x := range costs {
		for _, pair := range [][2]int{{x.Drain, base.Drain}, {x.Router, base.Router}, {x.Item, base.Item}, {x.Beat, base.Beat}} {
			c.Check(pair[0]-pair[1] < 12, qt.IsTrue, qt.Commentf("%v: got %d bytes, %d for the smallest registry", size, pair[0], pair[1])) // more digits in larger numbers
		}
	}
	per := func(size [3]int, n int) int { return (costs[size].Snapshot - base.Snapshot) / n }
	c.Check(per([3]int{510, 100, 100}, 500) < 140, qt.IsTrue)
	c.Check(per([3]int{10, 4200, 100}, 4100) < 120, qt.IsTrue)
	c.Check(per([3]int{10, 100, 3200}, 3100) < 120, qt.IsTrue)
}

// Latencies are in milliseconds, and timeouts are counted separately.
func TestLatencies(t *testing.T) {
	c := qt.New(t)
	s := latencies([]time.Duration{3e6, 1e6, 2e6}, 1)
	c.Check(s, qt.Equals, Latencies{Count: 3, P50: 2, P99: 2, Worst: 3, TimedOut: 1})
	c.Check(latencies(nil, 2), qt.Equals, Latencies{TimedOut: 2})
}

// A metric that grows with the square of the number of routers has exponent 2. WritePlot writes files, and rejects a single result.
func TestGrowthExponent(t *testing.T) {
	c := qt.New(t)
	var all []Result
	for _, n := range []int{10, 100, 300} {
		r := Result{Plan: Plan{Routers: n}, Control: []ProcessRate{{Cores: float64(n*n) / 1e6, PeakMB: 50}, {Cores: 0, PeakMB: float64(n)}}, Phases: map[string]Phase{}}
		all = append(all, r)
	}
	c.Check(math.Abs(GrowthExponent(all, Metrics[0])-2) < 1e-9, qt.IsTrue)
	c.Check(Metrics[1].Value(all[2]), qt.Equals, 300.0)
	dir := t.TempDir()
	c.Assert(WritePlot(dir, all), qt.IsNil)
	_, err := os.Stat(filepath.Join(dir, "cores-of-the-busiest-control-process--calm.svg"))
	c.Check(err, qt.IsNil)
	c.Check(WritePlot(dir, all[:1]), qt.ErrorMatches, ".*two results.*")
}
