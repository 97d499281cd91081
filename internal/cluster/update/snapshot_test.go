package update

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
)

func unpacked(word []byte) []byte { return word }

// fakeControl is what a control process has, for trying out: what is set last of a name holds.
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

// set is a change: a route with a body of so many bytes.
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

// snapshot is what a router is sent that says what it has.
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

// finalBatch is the batch behind a cut.
func (f *fakeControl) finalBatch(c *Snapshot) Batch {
	notes, _ := f.log.After(c.To)
	return Batch{Incarnation: f.incarnation, From: c.To, To: f.log.Last(), Changes: notes, Epoch: f.epoch, Number: f.number}
}

// fakeProxy is one that is told.
type fakeProxy struct {
	Assembly
	routes map[string]config.Item
	number uint64
	chunks int
}

func (p *fakeProxy) take(word []byte) error {
	var w Message
	if err := json.Unmarshal(word, &w); err != nil {
		return err
	}
	p.chunks++
	return p.Assembly.Add(*w.Chunk)
}

// close takes the batch in, as the whole or not at all.
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

// checkComplete sends all that is left.
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

// A snapshot's chunks are bounded, and hold together what it holds; one at the size of docs/CAPACITY.md as any other.
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

// The line breaks behind each chunk: the next one goes on from there, each chunk is sent once, and nothing is in force before
// the whole is there with what came since.
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

// Changes come between any two chunks: they are kept, and follow; and with each of them the whole is as it stands at the end.
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

// More came than one batch may hold, or than is kept: the router begins anew, with what stands then.
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

// What is sent behind a cut is the last of each thing, and is little beside the cut itself: one route that changes hundreds of times
// is one note; where a fourth of the cut's own size has changed, whoever comes next is sent a new one.
func TestLittleFollowsASnapshot(t *testing.T) {
	c := qt.New(t)
	h := newFakeControl("a", 1000)
	cut := h.snapshot(Progress{})
	for range 500 {
		h.set("route-00001", h.number+1, 400)
	}
	c.Check(h.snapshot(Progress{}) == cut, qt.IsTrue)
	c.Check(h.snapshot(Progress{cut.Name, cut.chunkEnds[0]}) == cut, qt.IsTrue)
	n := 2
	for h.snapshot(Progress{}) == cut {
		h.set(fmt.Sprintf("route-%05d", n), h.number+1, 100)
		n++
	}
	least, most := cut.JSONBytes/4/400, cut.JSONBytes/4/300
	c.Check(n >= least && n <= most, qt.IsTrue, qt.Commentf("after %d of %d to %d", n, least, most))
	c.Check(h.created, qt.Equals, 2)
	small := newFakeControl("b", 3)
	first := small.snapshot(Progress{})
	for range 100 {
		small.set("route-00001", small.number+1, 100)
	}
	c.Check(small.snapshot(Progress{}) == first, qt.IsTrue)
}

// The control process was restarted amid: what a router has of its old life is of no use, and nothing of it is in force.
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

// Who takes nothing up is sent a window and no more; others are sent all meanwhile, of the same copy.
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

// A copy serves as long as little has come since; two are kept, and none that nobody has asked for in half a minute.
func TestSnapshotCache(t *testing.T) {
	c := qt.New(t)
	h := newFakeControl("a", 1000)
	one := h.snapshot(Progress{})
	for range MaxFreshChanges {
		h.set("route-00001", h.number+1, 10)
	}
	c.Check(h.snapshot(Progress{}) == one, qt.IsTrue)
	h.set("route-00001", h.number+1, 10)
	two := h.snapshot(Progress{})
	c.Check(two != one, qt.IsTrue)
	half := Progress{one.Name, one.chunkEnds[0]}
	c.Check(h.snapshot(half) == one, qt.IsTrue) // who has a part of it goes on
	h.set("route-00001", h.number+1, MaxFreshBytes)
	three := h.snapshot(Progress{})
	c.Check(three != two, qt.IsTrue)
	c.Check(h.snapshot(half) == three, qt.IsTrue) // two are kept
	c.Check(h.cache.CachedBytes(), qt.Equals, two.Bytes+three.Bytes)
	h.incarnation += "+" // the set was taken over: what goes on from here isn't what was
	c.Check(h.snapshot(Progress{}) != three, qt.IsTrue)
	c.Check(h.snapshot(Progress{three.Name, three.chunkEnds[0]}) != three, qt.IsTrue)
	h.now += cacheIdleTimeout - 1
	c.Check(h.cache.EvictIdle(h.now), qt.IsTrue)
	h.now++
	c.Check(h.cache.EvictIdle(h.now), qt.IsFalse)
	c.Check(h.cache.CachedBytes(), qt.Equals, 0)
}

// More comes while a cut is made than a fresh one may lack: who waited for it is sent it all the same, as long as what came is
// kept; whoever asks meanwhile waits for the same one.
func TestMuchComesWhileItIsMade(t *testing.T) {
	c := qt.New(t)
	h := newFakeControl("a", 100)
	m := h.cache.Start(0, SnapshotHeader{Incarnation: "a", To: h.log.Last(), Epoch: 1, Number: h.number})
	notes := h.changes()
	for range MaxFreshChanges + 1000 {
		h.set("route-00001", h.number+1, 10)
		c.Assert(h.cache.Newest(0, "a", h.log) == m, qt.IsTrue)
	}
	m.Encode(notes, unpacked)
	c.Check(h.cache.Newest(0, "a", h.log), qt.IsNil) // for who comes now
	c.Check(h.cache.ByName(0, m.Name, "a", h.log) == m, qt.IsTrue)
	for range 7000 {
		h.set("route-00001", h.number+1, 10)
	}
	c.Check(h.cache.ByName(0, m.Name, "a", h.log), qt.IsNil)
}

// What isn't the next chunk is refused, whatever it is, and what was there goes with it.
func TestChunkRefused(t *testing.T) {
	c := qt.New(t)
	h := newFakeControl("a", 1000)
	other := newFakeControl("b", 900).snapshot(Progress{})
	chunk := func(cut *Snapshot, n int) Chunk {
		var w Message
		c.Assert(json.Unmarshal(cut.Messages[n], &w), qt.IsNil)
		return *w.Chunk
	}
	cut := h.snapshot(Progress{})
	for name, spoil := range map[string]func(x *Chunk){
		"again":        func(x *Chunk) { *x = chunk(cut, 1) },
		"passed over":  func(x *Chunk) { *x = chunk(cut, 3) },
		"of another":   func(x *Chunk) { *x = chunk(other, 2) },
		"its head":     func(x *Chunk) { x.Number++ },
		"its sum":      func(x *Chunk) { x.Checksum[3] ^= 1 },
		"no sum":       func(x *Chunk) { x.Checksum = nil },
		"its notes":    func(x *Chunk) { x.Changes[40] ^= 1 },
		"no notes":     func(x *Chunk) { x.Changes = json.RawMessage("[]") },
		"too many":     func(x *Chunk) { x.Total, x.From = MaxSnapshotChanges+1, 0 },
		"less than no": func(x *Chunk) { x.Total, x.From = -1, 0 },
		"no name":      func(x *Chunk) { x.Name, x.From = "", 0 },
	} {
		r := &fakeProxy{}
		for n := range 2 {
			c.Assert(r.Add(chunk(cut, n)), qt.IsNil)
		}
		x := chunk(cut, 2)
		spoil(&x)
		c.Check(r.Add(x), qt.Not(qt.IsNil), qt.Commentf(name))
		c.Check(r.Progress(), qt.Equals, Progress{}, qt.Commentf(name))
		c.Check(r.Complete(), qt.IsFalse)
		r.checkComplete(c, h)
	}
}

// FuzzAssembly: whatever comes as words after chunks that are well, either nothing is there, or the first notes of the snapshot
// that it says, as they were laid out; and nothing is whole that hasn't as many as it says.
func FuzzAssembly(f *testing.F) {
	h := newFakeControl("a", 0)
	for n := range 12 {
		h.set(fmt.Sprintf("route-%05d", n), 1, 4)
	}
	cut, err := encodeSnapshot(SnapshotHeader{Name: "a.1", Incarnation: "a", To: 12, Epoch: 1, Number: 12}, h.changes(), 200, unpacked)
	if err != nil {
		f.Fatal(err)
	}
	for n, w := range cut.Messages {
		f.Add(w, uint8(n))
		f.Add(w, uint8(0))
	}
	small, err := NewSnapshot(SnapshotHeader{Name: "a.9", Incarnation: "a", To: 3}, []Change{{Instance: &instance.Instance{ID: "h"}}, {Proxy: &Proxy{Name: "r"}}}, unpacked)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(small.Messages[0], uint8(1))
	f.Add([]byte(`{"k":{"i":"x","l":"a","t":0,"o":0,"s":"","n":[]}}`), uint8(0))
	f.Add([]byte(`{"k":{"i":"x","l":"a","t":0,"o":1048577,"s":null,"n":null}}`), uint8(0))
	f.Fuzz(func(t *testing.T, raw []byte, before uint8) {
		var a Assembly
		for _, w := range cut.Messages[:min(int(before), len(cut.Messages))] {
			var x Message
			if json.Unmarshal(w, &x) != nil || a.Add(*x.Chunk) != nil {
				t.Fatal("a chunk that is well is refused")
			}
		}
		had := a.Progress()
		var w Message
		if json.Unmarshal(raw, &w) != nil || w.Chunk == nil {
			return
		}
		err := a.Add(*w.Chunk)
		switch p := a.Progress(); {
		case err != nil && (p != Progress{} || a.Complete()):
			t.Fatalf("%v, and %+v is there", err, p)
		case err == nil && (p.Name != w.Chunk.Name || p.Received < w.Chunk.From || p.Received > w.Chunk.Total || w.Chunk.From != 0 && p.Name != had.Name):
			t.Fatalf("%+v after %+v, of %+v", p, had, w.Chunk.SnapshotHeader)
		case a.Complete() != (err == nil && p.Received == w.Chunk.Total):
			t.Fatalf("whole with %+v of %d", p, w.Chunk.Total)
		}
		if _, ok := a.Finish(Batch{Incarnation: w.Chunk.Incarnation, From: w.Chunk.To, To: w.Chunk.To}); ok && err != nil {
			t.Fatal("closed after an error")
		}
	})
}
