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

// testSubscriber is a proxy made by hand: it subscribes to a control process and reads a snapshot, with a pause after each chunk,
// and closes its stream after a number of them.
type testSubscriber struct {
	cluster              *Cluster
	ip                   string
	acceptsChunks        bool // it takes them; routers of before don't
	pause                time.Duration
	breakAfter           int // chunks after which it lets go, 0 for never
	assembly             update.Assembly
	chunkStarts          []int // notes that it had when each chunk came, over all lines
	singleFrameSnapshots int   // snapshots that came in one
	changes              []update.Change
	subscription         update.Subscription
	elapsed              time.Duration
}

// subscribe takes news until it has a whole snapshot, or its line ends.
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
				proxyStream.Close(fmt.Errorf("broken after %d", n))
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
				proxyStream.Close(fmt.Errorf("news does not follow"))
				return
			}
			s.changes, s.elapsed = received, time.Since(start)
			s.subscription.Advance(w.Batch.Incarnation, 0, w.Batch.To, true)
			proxyStream.Close(nil)
		}
	})
}

// prefix is where a route stands by a snapshot, in the order in which it is taken in.
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

// wideLayout is a cluster of three control processes and many routes, whose bodies don't compress well.
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

// nextVersion changes a route, which is everywhere when it returns.
func changeRoute(c *qt.C, cluster *Cluster, n int) string {
	prefix := fmt.Sprintf("/turn/%d/", n)
	configure(c, cluster, cluster.ChangeBody(false, Route{Name: "wide-00007", Prefix: prefix, Service: "desk", Version: fmt.Sprintf("%08x", 10+n)}), 0)
	return prefix
}

// A proxy's stream breaks after each of the first chunks, and there is a change before it connects again: it is sent each chunk
// once, nothing is in force before the snapshot is complete, and then the last change is.
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
			c.Assert(sub.subscribe(0), qt.ErrorMatches, "broken after.*")
			c.Assert(sub.changes, qt.HasLen, 0)
			want = changeRoute(c, cluster, breaks)
			sub.breakAfter = 0
			sub.subscribe(0)
			c.Assert(sub.chunkStarts, qt.DeepEquals, uninterrupted.chunkStarts)
			c.Assert(sub.prefix("wide-00007"), qt.Equals, want)
		}
		// another control process holds no part of it: it is begun anew there
		sub := &testSubscriber{cluster: cluster, ip: "10.1.0.99", acceptsChunks: true, breakAfter: 5}
		sub.subscribe(0)
		sub.breakAfter = 0
		sub.subscribe(1)
		c.Check(sub.chunkStarts[5], qt.Equals, 0)
		c.Check(sub.chunkStarts[5:], qt.HasLen, n)
		c.Check(sub.prefix("wide-00007"), qt.Equals, want)
		// and so it is with this one once it was restarted
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

// Routers that are slow hold up none that are quick, changes that come meanwhile are in what each ends with, and a router of
// before is sent one frame.
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
			c.Assert(sub.prefix("wide-00007"), qt.Equals, last, qt.Commentf("turn %d: %v", n, why))
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
