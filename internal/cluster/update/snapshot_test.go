package update

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
)

func unpacked(message []byte) []byte { return message }

// fakeControl is a control process whose state is the current routes.
type fakeControl struct {
	incarnation string
	now         int64
	epoch       uint64
	number      uint64
	routes      map[string]config.Item
	log         *Log
	cache       SnapshotCache
	created     int
}

func newFakeControl(id string, routes int) *fakeControl {
	control := &fakeControl{incarnation: id, epoch: 1, routes: map[string]config.Item{}, log: NewLog(4096)}
	for n := range routes {
		control.set(fmt.Sprintf("route-%05d", n), 1, 400)
	}
	return control
}

// set sets a route whose body has about size bytes.
func (f *fakeControl) set(name string, version uint64, size int) {
	f.number++
	i := config.Item{Kind: config.KindRoutes, Name: name, Version: version, Body: fmt.Appendf(nil, `{"v":%d,"x":"%0*d"}`, version, size, version)}
	f.routes[name] = i
	f.log.Add(Change{Item: &i})
}

func (f *fakeControl) changes() (all []Change) {
	for n := range len(f.routes) { // in the order of their names
		i := f.routes[fmt.Sprintf("route-%05d", n)]
		all = append(all, Change{Item: &i})
	}
	return all
}

// snapshot returns the snapshot to send to a proxy with the given progress, and creates one if none in the cache is suitable.
func (f *fakeControl) snapshot(progress Progress) *Snapshot {
	pending := f.cache.ByName(f.now, progress.Name, f.incarnation, f.log)
	if pending == nil {
		pending = f.cache.Newest(f.now, f.incarnation, f.log)
	}
	if pending == nil {
		pending = f.cache.Start(f.now, SnapshotHeader{Incarnation: f.incarnation, To: f.log.Last(), Epoch: f.epoch, Number: f.number})
		pending.Encode(f.changes(), unpacked)
		f.created++
	}
	return pending.Snapshot
}

// finalBatch returns the batch of the changes since a snapshot.
func (f *fakeControl) finalBatch(snapshot *Snapshot) Batch {
	changes, _ := f.log.After(snapshot.To)
	return Batch{Incarnation: f.incarnation, From: snapshot.To, To: f.log.Last(), Changes: changes, Epoch: f.epoch, Number: f.number}
}

// fakeProxy is a proxy that receives a snapshot.
type fakeProxy struct {
	Assembly
	routes map[string]config.Item
	number uint64
	chunks int // number of chunks received
}

func (p *fakeProxy) receive(message []byte) error {
	var m Message
	if err := json.Unmarshal(message, &m); err != nil {
		return err
	}
	p.chunks++
	return p.Add(*m.Chunk)
}

// finish applies the snapshot with the final batch, completely or not at all.
func (p *fakeProxy) finish(batch Batch) bool {
	changes, ok := p.Finish(batch)
	if ok {
		p.routes, p.number = map[string]config.Item{}, batch.Number
		for _, change := range changes {
			p.routes[change.Item.Name] = *change.Item
		}
	}
	return ok
}

// checkComplete sends the proxy everything that it lacks and checks that it then has the state of control.
func (p *fakeProxy) checkComplete(c *qt.C, control *fakeControl) {
	snap := control.snapshot(p.Progress())
	for transfer, done := NewTransfer(snap, p.Progress()), false; !done; {
		var messages [][]byte
		messages, done = transfer.Next(p.Progress())
		c.Assert(len(messages) <= ChunkWindow, qt.IsTrue)
		for _, message := range messages {
			c.Assert(p.receive(message), qt.IsNil)
		}
	}
	c.Assert(p.finish(control.finalBatch(snap)), qt.IsTrue)
	c.Assert(maps.EqualFunc(p.routes, control.routes, config.Item.Equal), qt.IsTrue)
	c.Assert(p.number, qt.Equals, control.number)
	c.Assert(p.Progress(), qt.Equals, Progress{})
}

// The chunks of a snapshot must be bounded in size and together have all of its changes, also at the size stated in docs/CAPACITY.md.
func TestSnapshot(t *testing.T) {
	for _, x := range []struct{ routes, size, chunks int }{{0, 0, 1}, {1, 10, 1}, {1000, 400, 8}, {1, 300 << 10, 1}, {3, 300 << 10, 3}, {36200, 600, 0}} {
		c := qt.New(t)
		control := newFakeControl("a", 0)
		for n := range x.routes {
			control.set(fmt.Sprintf("route-%05d", n), 1, x.size)
		}
		snapshot := control.snapshot(Progress{})
		if x.chunks > 0 {
			c.Check(snapshot.Messages, qt.HasLen, x.chunks)
		}
		total := 0
		for _, message := range snapshot.Messages {
			total += len(message)
			c.Check(len(message) <= ChunkBytes+x.size+1024, qt.IsTrue, qt.Commentf("%d bytes", len(message)))
		}
		c.Check(snapshot.Bytes, qt.Equals, total)
		(&fakeProxy{}).checkComplete(c, control)
		c.Check(control.created, qt.Equals, 1)
	}
	_, err := NewSnapshot(SnapshotHeader{}, make([]Change, MaxSnapshotChanges+1), unpacked)
	qt.Check(t, err, qt.ErrorMatches, ".*limit of 1048576")
}

// If the connection breaks after any number of chunks, the transfer must resume there without repeating a chunk, and nothing may be
// applied before the snapshot is complete with the changes since.
func TestTransferResumesAfterDisconnect(t *testing.T) {
	c := qt.New(t)
	control := newFakeControl("a", 3000)
	n := len(control.snapshot(Progress{}).Messages)
	c.Assert(n > 15, qt.IsTrue)
	for received := range n + 1 {
		proxy := &fakeProxy{}
		for _, message := range control.snapshot(proxy.Progress()).Messages[:received] {
			c.Assert(proxy.receive(message), qt.IsNil)
		}
		c.Assert(proxy.routes, qt.IsNil)
		c.Assert(proxy.Complete(), qt.Equals, received == n)
		if received < n {
			c.Assert(proxy.finish(control.finalBatch(control.snapshot(Progress{}))), qt.IsFalse)
			c.Assert(proxy.routes, qt.IsNil)
		}
		control.set("route-00007", control.number, 400) // while the proxy is disconnected
		proxy.checkComplete(c, control)
		c.Assert(proxy.chunks, qt.Equals, n)
	}
	c.Check(control.created, qt.Equals, 1)
}

// Changes made between any two chunks must reach the proxy with the final batch.
func TestChangesBetweenChunks(t *testing.T) {
	c := qt.New(t)
	draw := rand.New(rand.NewPCG(1, 41))
	for run := range 20 {
		control := newFakeControl("a", 3000)
		proxy := &fakeProxy{}
		snap := control.snapshot(Progress{})
		for n, message := range snap.Messages {
			c.Assert(proxy.receive(message), qt.IsNil)
			if n == run%len(snap.Messages) || run > 10 {
				for range 1 + draw.IntN(30) {
					control.set(fmt.Sprintf("route-%05d", draw.IntN(3100)%3000), control.number+1, 400)
				}
			}
		}
		c.Assert(proxy.finish(control.finalBatch(snap)), qt.IsTrue)
		c.Assert(maps.EqualFunc(proxy.routes, control.routes, config.Item.Equal), qt.IsTrue)
	}
}

// If the changes since a snapshot exceed a batch or are no longer in the log, the transfer must start over with a new snapshot.
func TestTooManyChangesDuringTransfer(t *testing.T) {
	for name, x := range map[string]struct{ changes, size int }{"bytes": {30, 60 << 10}, "changes": {7000, 10}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			control := newFakeControl("a", 1000)
			proxy := &fakeProxy{}
			snap := control.snapshot(Progress{})
			for _, message := range snap.Messages[:len(snap.Messages)-1] {
				c.Assert(proxy.receive(message), qt.IsNil)
			}
			for n := range x.changes {
				control.set(fmt.Sprintf("route-%05d", n%1000), control.number+1, x.size)
			}
			c.Assert(control.snapshot(proxy.Progress()) != snap, qt.IsTrue)
			proxy.checkComplete(c, control)
			c.Check(control.created, qt.Equals, 2)
		})
	}
}

// If the control process restarts during a transfer, the proxy must not apply what it has received of the old snapshot.
func TestControlRestartDuringTransfer(t *testing.T) {
	c := qt.New(t)
	old, restarted := newFakeControl("a", 2000), newFakeControl("b", 1500)
	for n := range old.snapshot(Progress{}).Messages {
		proxy := &fakeProxy{}
		for _, message := range old.snapshot(Progress{}).Messages[:n+1] {
			c.Assert(proxy.receive(message), qt.IsNil)
		}
		c.Assert(proxy.finish(restarted.finalBatch(restarted.snapshot(Progress{}))), qt.IsFalse) // batch of another incarnation
		c.Assert(proxy.routes, qt.IsNil)
		proxy.checkComplete(c, restarted)
	}
}

// A proxy that acknowledges nothing must be sent one window and no more, while others receive all of the same snapshot.
func TestSlowProxyDoesNotDelayOthers(t *testing.T) {
	c := qt.New(t)
	control := newFakeControl("a", 7000)
	slow := NewTransfer(control.snapshot(Progress{}), Progress{})
	first, done := slow.Next(Progress{})
	c.Check(first, qt.HasLen, ChunkWindow)
	c.Check(done, qt.IsFalse)
	for range 8 {
		(&fakeProxy{}).checkComplete(c, control)
		again, _ := slow.Next(Progress{})
		c.Check(again, qt.HasLen, 0)
	}
	c.Check(control.created, qt.Equals, 1)
	proxy := &fakeProxy{}
	for _, message := range first {
		c.Assert(proxy.receive(message), qt.IsNil)
	}
	next, _ := slow.Next(proxy.Progress())
	c.Check(next, qt.HasLen, min(ChunkWindow, len(slow.Snapshot.Messages)-ChunkWindow))
	proxy.checkComplete(c, control)
}
