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

// fakeControl is the state of a control process: the last item set of each name.
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

func newFakeControl(life string, routes int) *fakeControl {
	h := &fakeControl{incarnation: life, epoch: 1, routes: map[string]config.Item{}, log: NewLog(4096)}
	for n := range routes {
		h.set(fmt.Sprintf("route-%05d", n), 1, 400)
	}
	return h
}

// set changes a route, with a body of a number of bytes.
func (f *fakeControl) set(name string, version uint64, size int) {
	f.number++
	i := config.Item{Kind: config.KindRoutes, Name: name, Version: version, Body: fmt.Appendf(nil, `{"v":%d,"x":"%0*d"}`, version, size, version)}
	f.routes[name] = i
	f.log.Add(Change{Item: &i})
}

func (f *fakeControl) changes() (all []Change) {
	for n := range len(f.routes) { // their names come in order
		i := f.routes[fmt.Sprintf("route-%05d", n)]
		all = append(all, Change{Item: &i})
	}
	return all
}

// snapshot returns the snapshot that a proxy with some progress is sent.
func (f *fakeControl) snapshot(progress Progress) *Snapshot {
	m := f.cache.ByName(f.now, progress.Name, f.incarnation, f.log)
	if m == nil {
		m = f.cache.Newest(f.now, f.incarnation, f.log)
	}
	if m == nil {
		m = f.cache.Start(f.now, SnapshotHeader{Incarnation: f.incarnation, To: f.log.Last(), Epoch: f.epoch, Number: f.number})
		m.Encode(f.changes(), unpacked)
		f.created++
	}
	return m.Snapshot
}

// finalBatch returns the batch that follows on a snapshot.
func (f *fakeControl) finalBatch(c *Snapshot) Batch {
	notes, _ := f.log.After(c.To)
	return Batch{Incarnation: f.incarnation, From: c.To, To: f.log.Last(), Changes: notes, Epoch: f.epoch, Number: f.number}
}

// fakeProxy is a proxy that receives a snapshot.
type fakeProxy struct {
	Assembly
	routes map[string]config.Item
	number uint64
	chunks int
}

func (p *fakeProxy) take(message []byte) error {
	var w Message
	if err := json.Unmarshal(message, &w); err != nil {
		return err
	}
	p.chunks++
	return p.Add(*w.Chunk)
}

// close takes the final batch, completely or not at all.
func (p *fakeProxy) close(n Batch) bool {
	notes, ok := p.Finish(n)
	if ok {
		p.routes, p.number = map[string]config.Item{}, n.Number
		for _, x := range notes {
			p.routes[x.Item.Name] = *x.Item
		}
	}
	return ok
}

// checkComplete sends all that is missing, and checks the result.
func (p *fakeProxy) checkComplete(c *qt.C, h *fakeControl) {
	cut := h.snapshot(p.Progress())
	for t, done := NewTransfer(cut, p.Progress()), false; !done; {
		var words [][]byte
		words, done = t.Next(p.Progress())
		c.Assert(len(words) <= ChunkWindow, qt.IsTrue)
		for _, w := range words {
			c.Assert(p.take(w), qt.IsNil)
		}
	}
	c.Assert(p.close(h.finalBatch(cut)), qt.IsTrue)
	c.Assert(maps.EqualFunc(p.routes, h.routes, config.Item.Equal), qt.IsTrue)
	c.Assert(p.number, qt.Equals, h.number)
	c.Assert(p.Progress(), qt.Equals, Progress{})
}

// The chunks of a snapshot are bounded and have all of its changes together, also at the size of docs/CAPACITY.md.
func TestSnapshot(t *testing.T) {
	for _, x := range []struct{ routes, size, chunks int }{{0, 0, 1}, {1, 10, 1}, {1000, 400, 8}, {1, 300 << 10, 1}, {3, 300 << 10, 3}, {36200, 600, 0}} {
		c := qt.New(t)
		h := newFakeControl("a", 0)
		for n := range x.routes {
			h.set(fmt.Sprintf("route-%05d", n), 1, x.size)
		}
		snapshot := h.snapshot(Progress{})
		if x.chunks > 0 {
			c.Check(snapshot.Messages, qt.HasLen, x.chunks)
		}
		total := 0
		for _, w := range snapshot.Messages {
			total += len(w)
			c.Check(len(w) <= ChunkBytes+x.size+1024, qt.IsTrue, qt.Commentf("%d bytes", len(w)))
		}
		c.Check(snapshot.Bytes, qt.Equals, total)
		(&fakeProxy{}).checkComplete(c, h)
		c.Check(h.created, qt.Equals, 1)
	}
	_, err := NewSnapshot(SnapshotHeader{}, make([]Change, MaxSnapshotChanges+1), unpacked)
	qt.Check(t, err, qt.ErrorMatches, ".*over 1048576")
}

// The connection breaks after each chunk: the next one goes on from there, each chunk is sent once, and nothing is in force before the
// snapshot is complete with the changes since.
func TestStreamBreaksAtEachChunk(t *testing.T) {
	c := qt.New(t)
	h := newFakeControl("a", 3000)
	n := len(h.snapshot(Progress{}).Messages)
	c.Assert(n > 15, qt.IsTrue)
	for breaks := range n + 1 {
		r := &fakeProxy{}
		for _, w := range h.snapshot(r.Progress()).Messages[:breaks] {
			c.Assert(r.take(w), qt.IsNil)
		}
		c.Assert(r.routes, qt.IsNil)
		c.Assert(r.Complete(), qt.Equals, breaks == n)
		if breaks < n {
			c.Assert(r.close(h.finalBatch(h.snapshot(Progress{}))), qt.IsFalse)
			c.Assert(r.routes, qt.IsNil)
		}
		h.set("route-00007", h.number, 400) // while it is away
		r.checkComplete(c, h)
		c.Assert(r.chunks, qt.Equals, n)
	}
	c.Check(h.created, qt.Equals, 1)
}

// Changes come between any two chunks: they are kept and follow, and the result is the state at the end.
func TestChangesBetweenChunks(t *testing.T) {
	c := qt.New(t)
	draw := rand.New(rand.NewPCG(1, 41))
	for at := range 20 {
		h := newFakeControl("a", 3000)
		r := &fakeProxy{}
		cut := h.snapshot(Progress{})
		for n, w := range cut.Messages {
			c.Assert(r.take(w), qt.IsNil)
			if n == at%len(cut.Messages) || at > 10 {
				for range 1 + draw.IntN(30) {
					h.set(fmt.Sprintf("route-%05d", draw.IntN(3100)%3000), h.number+1, 400)
				}
			}
		}
		c.Assert(r.close(h.finalBatch(cut)), qt.IsTrue)
		c.Assert(maps.EqualFunc(r.routes, h.routes, config.Item.Equal), qt.IsTrue)
	}
}

// If more changes came than one batch may have, or than are kept, the proxy begins anew with the current state.
func TestTooMuchCameMeanwhile(t *testing.T) {
	for name, x := range map[string]struct{ changes, size int }{"bytes": {30, 60 << 10}, "changes": {7000, 10}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newFakeControl("a", 1000)
			r := &fakeProxy{}
			cut := h.snapshot(Progress{})
			for _, w := range cut.Messages[:len(cut.Messages)-1] {
				c.Assert(r.take(w), qt.IsNil)
			}
			for n := range x.changes {
				h.set(fmt.Sprintf("route-%05d", n%1000), h.number+1, x.size)
			}
			c.Assert(h.snapshot(r.Progress()) != cut, qt.IsTrue)
			r.checkComplete(c, h)
			c.Check(h.created, qt.Equals, 2)
		})
	}
}

// If the control process restarts during a transfer, what a proxy has received is of no use, and nothing of it is in force.
func TestControlRestartedAmid(t *testing.T) {
	c := qt.New(t)
	old, now := newFakeControl("a", 2000), newFakeControl("b", 1500)
	for n := range old.snapshot(Progress{}).Messages {
		r := &fakeProxy{}
		for _, w := range old.snapshot(Progress{}).Messages[:n+1] {
			c.Assert(r.take(w), qt.IsNil)
		}
		c.Assert(r.close(now.finalBatch(now.snapshot(Progress{}))), qt.IsFalse) // not across two lives
		c.Assert(r.routes, qt.IsNil)
		r.checkComplete(c, now)
	}
}

// A proxy that acknowledges nothing is sent a window and no more; others are sent all of the same snapshot meanwhile.
func TestSlowBesideFast(t *testing.T) {
	c := qt.New(t)
	h := newFakeControl("a", 7000)
	slow := NewTransfer(h.snapshot(Progress{}), Progress{})
	first, done := slow.Next(Progress{})
	c.Check(first, qt.HasLen, ChunkWindow)
	c.Check(done, qt.IsFalse)
	for range 8 {
		(&fakeProxy{}).checkComplete(c, h)
		again, _ := slow.Next(Progress{})
		c.Check(again, qt.HasLen, 0)
	}
	c.Check(h.created, qt.Equals, 1)
	r := &fakeProxy{}
	for _, w := range first {
		c.Assert(r.take(w), qt.IsNil)
	}
	next, _ := slow.Next(r.Progress())
	c.Check(next, qt.HasLen, min(ChunkWindow, len(slow.Snapshot.Messages)-ChunkWindow))
	r.checkComplete(c, h)
}
