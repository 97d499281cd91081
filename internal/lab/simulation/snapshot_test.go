package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
)

// testSubscriber emulates a proxy that subscribes to a control process and reads a snapshot, with a pause after each chunk. It can
// close its stream after a number of chunks.
type testSubscriber struct {
	cluster              *Cluster
	ip                   string
	acceptsChunks        bool // false for older proxies, which need the snapshot in one frame
	pause                time.Duration
	breakAfter           int // number of chunks after which it closes the stream, 0 for never
	assembly             update.Assembly
	chunkStarts          []int // index of the first change of each chunk, over all streams
	singleFrameSnapshots int   // snapshots received in one frame
	changes              []update.Change
	subscription         update.Subscription
	elapsed              time.Duration // from the dial to the complete snapshot
}

// subscribe reads updates until the snapshot is complete or the stream ends.
func (s *testSubscriber) subscribe(at int) error {
	start := time.Now()
	p := s.cluster.Network.Process(s.ip)
	defer p.Kill()
	c, err := p.Dial(context.Background(), "tcp", net.JoinHostPort(s.cluster.Controls[at].Settings.IP, fmt.Sprint(firstInternalPort)))
	if err != nil {
		return err
	}
	proxyStream := stream.Open[update.Message](c, stream.ProxyKeepalive)
	progress := s.assembly.Progress()
	w := update.Message{Hello: &update.Hello{Name: "hand-" + s.ip, IP: s.ip, Zone: zoneName(at)}}
	if s.acceptsChunks {
		w.Progress = &progress
	}
	proxyStream.Send(w)
	n := 0
	return proxyStream.Run(func(w update.Message) {
		switch {
		case w.Chunk != nil:
			s.chunkStarts = append(s.chunkStarts, w.Chunk.From)
			if err := s.assembly.Add(*w.Chunk); err != nil {
				proxyStream.Close(err)
				return
			}
			if n++; n == s.breakAfter {
				proxyStream.Close(fmt.Errorf("closed after %d chunks", n))
				return
			}
			time.Sleep(s.pause)
			progress := s.assembly.Progress()
			proxyStream.Send(update.Message{Progress: &progress})
		case w.Batch != nil:
			received, ok := s.assembly.Finish(*w.Batch)
			if w.Batch.Snapshot {
				s.singleFrameSnapshots++
				received, ok = w.Batch.Changes, true
			}
			if !ok {
				proxyStream.Close(fmt.Errorf("batch does not follow the chunks received"))
				return
			}
			s.changes, s.elapsed = received, time.Since(start)
			s.subscription.Advance(w.Batch.Incarnation, 0, w.Batch.To, true)
			proxyStream.Close(nil)
		}
	})
}

// prefix returns the path prefix of a route after applying the changes of the snapshot in order.
func (s *testSubscriber) prefix(name string) (prefix string) {
	for _, n := range s.changes {
		if n.Item != nil && n.Item.Name == name {
			var v struct {
				Prefix string `json:"path-prefix"`
			}
			json.Unmarshal(n.Item.Body, &v)
			prefix = v.Prefix
		}
	}
	return prefix
}

// startWithRoutes starts a cluster of three control processes with many routes whose bodies don't compress well.
func startWithRoutes(c *qt.C, routes int) *Cluster {
	layout := smallLayout
	layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone = 3, 1, 1
	cluster := startCluster(c, layout)
	draw := rand.New(rand.NewPCG(1, 2))
	var all []Route
	for n := range routes {
		all = append(all, Route{Name: fmt.Sprintf("wide-%05d", n), Prefix: fmt.Sprintf("/%016x%016x%016x/", draw.Uint64(), draw.Uint64(), draw.Uint64()), Service: "desk", Version: "00000001"})
	}
	configure(c, cluster, cluster.ChangeBody(false, all...), 0)
	time.Sleep(2 * time.Second)
	return cluster
}

// changeRoute changes a route and returns its new prefix once the change is acknowledged.
func changeRoute(c *qt.C, cluster *Cluster, n int) string {
	prefix := fmt.Sprintf("/turn/%d/", n)
	configure(c, cluster, cluster.ChangeBody(false, Route{Name: "wide-00007", Prefix: prefix, Service: "desk", Version: fmt.Sprintf("%08x", 10+n)}), 0)
	return prefix
}

// A proxy whose stream breaks between chunks must resume the snapshot: each chunk is sent once, nothing is applied before the snapshot
// is complete, and the result includes changes made before the proxy reconnected.
func TestSnapshotStreamBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cluster := startWithRoutes(c, 2000)
		uninterrupted := &testSubscriber{cluster: cluster, ip: "10.1.0.90", acceptsChunks: true}
		uninterrupted.subscribe(0)
		n := len(uninterrupted.chunkStarts)
		c.Assert(n >= 6, qt.IsTrue, qt.Commentf("%d chunks", n))
		want := ""
		for breaks := 1; breaks < n; breaks++ {
			sub := &testSubscriber{cluster: cluster, ip: fmt.Sprintf("10.1.0.%d", 100+breaks), acceptsChunks: true, breakAfter: breaks}
			c.Assert(sub.subscribe(0), qt.ErrorMatches, "closed after.*")
			c.Assert(sub.changes, qt.HasLen, 0)
			want = changeRoute(c, cluster, breaks)
			sub.breakAfter = 0
			sub.subscribe(0)
			c.Assert(sub.chunkStarts, qt.DeepEquals, uninterrupted.chunkStarts)
			c.Assert(sub.prefix("wide-00007"), qt.Equals, want)
		}
		// another control process can't resume the snapshot and sends it from the start
		sub := &testSubscriber{cluster: cluster, ip: "10.1.0.99", acceptsChunks: true, breakAfter: 5}
		sub.subscribe(0)
		sub.breakAfter = 0
		sub.subscribe(1)
		c.Check(sub.chunkStarts[5], qt.Equals, 0)
		c.Check(sub.chunkStarts[5:], qt.HasLen, n)
		c.Check(sub.prefix("wide-00007"), qt.Equals, want)
		// neither can the same control process after a restart
		sub = &testSubscriber{cluster: cluster, ip: "10.1.0.98", acceptsChunks: true, breakAfter: 5}
		sub.subscribe(0)
		cluster.Controls[0].Kill()
		time.Sleep(time.Second)
		c.Assert(cluster.Controls[0].Start(), qt.IsNil)
		time.Sleep(2 * time.Second)
		sub.breakAfter = 0
		sub.subscribe(0)
		c.Check(sub.chunkStarts[5], qt.Equals, 0)
		c.Check(sub.chunkStarts[5:], qt.HasLen, n)
		c.Check(sub.prefix("wide-00007"), qt.Equals, want)
	})
}

// A slow subscriber must not delay fast ones, every subscriber ends with the latest change, and an older proxy receives the snapshot in
// one frame.
func TestSlowSubscriberDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cluster := startWithRoutes(c, 8000)
		slow := &testSubscriber{cluster: cluster, ip: "10.1.0.90", acceptsChunks: true, pause: 700 * time.Millisecond}
		done := make(chan error, 1)
		go func() { done <- slow.subscribe(0) }()
		last := ""
		for n := range 8 {
			last = changeRoute(c, cluster, n)
			sub := &testSubscriber{cluster: cluster, ip: fmt.Sprintf("10.1.0.%d", 100+n), acceptsChunks: true}
			why := sub.subscribe(0)
			c.Assert(sub.prefix("wide-00007"), qt.Equals, last, qt.Commentf("change %d: %v", n, why))
			c.Assert(sub.elapsed < time.Second, qt.IsTrue, qt.Commentf("%v", sub.elapsed))
		}
		c.Check(slow.changes, qt.HasLen, 0)
		<-done
		c.Check(slow.prefix("wide-00007"), qt.Equals, last)
		c.Check(slow.elapsed > 10*time.Second, qt.IsTrue)
		old := &testSubscriber{cluster: cluster, ip: "10.1.0.91"}
		old.subscribe(0)
		c.Check(old.singleFrameSnapshots, qt.Equals, 1)
		c.Check(old.chunkStarts, qt.HasLen, 0)
		c.Check(old.prefix("wide-00007"), qt.Equals, last)
		c.Check(strings.HasPrefix(old.subscription.Incarnation, slow.subscription.Incarnation), qt.IsTrue)
	})
}
