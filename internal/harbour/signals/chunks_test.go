package signals

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/manifest"
)

func plain(word []byte) []byte { return word }

// held is what a control process has, for trying out: what is set last of a name holds.
type held struct {
	life   string
	now    int64
	epoch  uint64
	number uint64
	routes map[string]manifest.Item
	ledger *Ledger
	shelf  Shelf
	made   int
}

func newHeld(life string, routes int) *held {
	h := &held{life: life, epoch: 1, routes: map[string]manifest.Item{}, ledger: NewLedger(4096)}
	for n := range routes {
		h.set(fmt.Sprintf("route-%05d", n), 1, 400)
	}
	return h
}

// set is a change: a route with a body of so many bytes.
func (h *held) set(name string, version uint64, size int) {
	h.number++
	i := manifest.Item{Kind: manifest.Routes, Name: name, Version: version, Body: fmt.Appendf(nil, `{"v":%d,"x":"%0*d"}`, version, size, version)}
	h.routes[name] = i
	h.ledger.Add(Note{Item: &i})
}

func (h *held) notes() (all []Note) {
	for n := range len(h.routes) { // their names come in order
		i := h.routes[fmt.Sprintf("route-%05d", n)]
		all = append(all, Note{Item: &i})
	}
	return all
}

// cut is what a router is sent that says what it has.
func (h *held) cut(part Part) *Cut {
	m := h.shelf.Named(h.now, part.Name, h.life, h.ledger)
	if m == nil {
		m = h.shelf.Fresh(h.now, h.life, h.ledger)
	}
	if m == nil {
		m = h.shelf.Begin(h.now, Head{Life: h.life, To: h.ledger.Last(), Epoch: h.epoch, Number: h.number})
		m.Make(h.notes(), plain)
		h.made++
	}
	return m.Cut
}

// closing is the batch behind a cut.
func (h *held) closing(c *Cut) News {
	notes, _ := h.ledger.After(c.To)
	return News{Life: h.life, From: c.To, To: h.ledger.Last(), Notes: notes, Epoch: h.epoch, Number: h.number}
}

// router is one that is told.
type router struct {
	Assembly
	board  map[string]manifest.Item
	number uint64
	chunks int
}

func (r *router) take(word []byte) error {
	var w Word
	if err := json.Unmarshal(word, &w); err != nil {
		return err
	}
	r.chunks++
	return r.Assembly.Take(*w.Chunk)
}

// close takes the batch in, as the whole or not at all.
func (r *router) close(n News) bool {
	notes, ok := r.Close(n)
	if ok {
		r.board, r.number = map[string]manifest.Item{}, n.Number
		for _, x := range notes {
			r.board[x.Item.Name] = *x.Item
		}
	}
	return ok
}

// whole sends all that is left.
func (r *router) whole(c *qt.C, h *held) {
	cut := h.cut(r.Part())
	for t, done := NewTransfer(cut, r.Part()), false; !done; {
		var words [][]byte
		words, done = t.Next(r.Part())
		c.Assert(len(words) <= Window, qt.IsTrue)
		for _, w := range words {
			c.Assert(r.take(w), qt.IsNil)
		}
	}
	c.Assert(r.close(h.closing(cut)), qt.IsTrue)
	c.Assert(maps.EqualFunc(r.board, h.routes, manifest.Item.Same), qt.IsTrue)
	c.Assert(r.number, qt.Equals, h.number)
	c.Assert(r.Part(), qt.Equals, Part{})
}

// A snapshot's chunks are bounded, and hold together what it holds; one at the size of docs/CAPACITY.md as any other.
func TestCut(t *testing.T) {
	for _, x := range []struct{ routes, size, chunks int }{{0, 0, 1}, {1, 10, 1}, {1000, 400, 8}, {1, 300 << 10, 1}, {3, 300 << 10, 3}, {36200, 600, 0}} {
		c := qt.New(t)
		h := newHeld("a", 0)
		for n := range x.routes {
			h.set(fmt.Sprintf("route-%05d", n), 1, x.size)
		}
		cut := h.cut(Part{})
		if x.chunks > 0 {
			c.Check(cut.Words, qt.HasLen, x.chunks)
		}
		total := 0
		for _, w := range cut.Words {
			total += len(w)
			c.Check(len(w) <= ChunkBytes+x.size+1024, qt.IsTrue, qt.Commentf("%d bytes", len(w)))
		}
		c.Check(cut.Bytes, qt.Equals, total)
		(&router{}).whole(c, h)
		c.Check(h.made, qt.Equals, 1)
	}
	_, err := NewCut(Head{}, make([]Note, MostNotes+1), plain)
	qt.Check(t, err, qt.ErrorMatches, ".*over 1048576")
}

// The line breaks behind each chunk: the next one goes on from there, each chunk is sent once, and nothing is in force before
// the whole is there with what came since.
func TestLineBreaksAtEachChunk(t *testing.T) {
	c := qt.New(t)
	h := newHeld("a", 3000)
	n := len(h.cut(Part{}).Words)
	c.Assert(n > 15, qt.IsTrue)
	for breaks := range n + 1 {
		r := &router{}
		for _, w := range h.cut(r.Part()).Words[:breaks] {
			c.Assert(r.take(w), qt.IsNil)
		}
		c.Assert(r.board, qt.IsNil)
		c.Assert(r.Whole(), qt.Equals, breaks == n)
		if breaks < n {
			c.Assert(r.close(h.closing(h.cut(Part{}))), qt.IsFalse)
			c.Assert(r.board, qt.IsNil)
		}
		h.set("route-00007", h.number, 400) // while it is away
		r.whole(c, h)
		c.Assert(r.chunks, qt.Equals, n)
	}
	c.Check(h.made, qt.Equals, 1)
}

// Changes come between any two chunks: they are kept, and follow; and with each of them the whole is as it stands at the end.
func TestChangesBetweenChunks(t *testing.T) {
	c := qt.New(t)
	draw := rand.New(rand.NewPCG(1, 41))
	for at := range 20 {
		h := newHeld("a", 3000)
		r := &router{}
		cut := h.cut(Part{})
		for n, w := range cut.Words {
			c.Assert(r.take(w), qt.IsNil)
			if n == at%len(cut.Words) || at > 10 {
				for range 1 + draw.IntN(30) {
					h.set(fmt.Sprintf("route-%05d", draw.IntN(3100)%3000), h.number+1, 400)
				}
			}
		}
		c.Assert(r.close(h.closing(cut)), qt.IsTrue)
		c.Assert(maps.EqualFunc(r.board, h.routes, manifest.Item.Same), qt.IsTrue)
	}
}

// More came than one batch may hold, or than is kept: the router begins anew, with what stands then.
func TestTooMuchCameMeanwhile(t *testing.T) {
	for name, x := range map[string]struct{ changes, size int }{"bytes": {30, 60 << 10}, "changes": {7000, 10}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHeld("a", 1000)
			r := &router{}
			cut := h.cut(Part{})
			for _, w := range cut.Words[:len(cut.Words)-1] {
				c.Assert(r.take(w), qt.IsNil)
			}
			for n := range x.changes {
				h.set(fmt.Sprintf("route-%05d", n%1000), h.number+1, x.size)
			}
			c.Assert(h.cut(r.Part()) != cut, qt.IsTrue)
			r.whole(c, h)
			c.Check(h.made, qt.Equals, 2)
		})
	}
}

// What is sent behind a cut is the last of each thing, and is little beside the cut itself: one route that changes hundreds of times
// is one note; where a fourth of the cut's own size has changed, whoever comes next is sent a new one.
func TestLittleFollowsACut(t *testing.T) {
	c := qt.New(t)
	h := newHeld("a", 1000)
	cut := h.cut(Part{})
	for range 500 {
		h.set("route-00001", h.number+1, 400)
	}
	c.Check(h.cut(Part{}) == cut, qt.IsTrue)
	c.Check(h.cut(Part{cut.Name, cut.ends[0]}) == cut, qt.IsTrue)
	n := 2
	for h.cut(Part{}) == cut {
		h.set(fmt.Sprintf("route-%05d", n), h.number+1, 100)
		n++
	}
	least, most := cut.Laid/4/400, cut.Laid/4/300
	c.Check(n >= least && n <= most, qt.IsTrue, qt.Commentf("after %d of %d to %d", n, least, most))
	c.Check(h.made, qt.Equals, 2)
	small := newHeld("b", 3)
	first := small.cut(Part{})
	for range 100 {
		small.set("route-00001", small.number+1, 100)
	}
	c.Check(small.cut(Part{}) == first, qt.IsTrue)
}

// The control process was restarted amid: what a router has of its old life is of no use, and nothing of it is in force.
func TestControlRestartedAmid(t *testing.T) {
	c := qt.New(t)
	old, now := newHeld("a", 2000), newHeld("b", 1500)
	for n := range old.cut(Part{}).Words {
		r := &router{}
		for _, w := range old.cut(Part{}).Words[:n+1] {
			c.Assert(r.take(w), qt.IsNil)
		}
		c.Assert(r.close(now.closing(now.cut(Part{}))), qt.IsFalse) // not across two lives
		c.Assert(r.board, qt.IsNil)
		r.whole(c, now)
	}
}

// Who takes nothing up is sent a window and no more; others are sent all meanwhile, of the same copy.
func TestSlowBesideFast(t *testing.T) {
	c := qt.New(t)
	h := newHeld("a", 7000)
	slow := NewTransfer(h.cut(Part{}), Part{})
	first, done := slow.Next(Part{})
	c.Check(first, qt.HasLen, Window)
	c.Check(done, qt.IsFalse)
	for range 8 {
		(&router{}).whole(c, h)
		again, _ := slow.Next(Part{})
		c.Check(again, qt.HasLen, 0)
	}
	c.Check(h.made, qt.Equals, 1)
	r := &router{}
	for _, w := range first {
		c.Assert(r.take(w), qt.IsNil)
	}
	next, _ := slow.Next(r.Part())
	c.Check(next, qt.HasLen, min(Window, len(slow.Cut.Words)-Window))
	r.whole(c, h)
}

// A copy serves as long as little has come since; two are kept, and none that nobody has asked for in half a minute.
func TestShelf(t *testing.T) {
	c := qt.New(t)
	h := newHeld("a", 1000)
	one := h.cut(Part{})
	for range FreshChanges {
		h.set("route-00001", h.number+1, 10)
	}
	c.Check(h.cut(Part{}) == one, qt.IsTrue)
	h.set("route-00001", h.number+1, 10)
	two := h.cut(Part{})
	c.Check(two != one, qt.IsTrue)
	half := Part{one.Name, one.ends[0]}
	c.Check(h.cut(half) == one, qt.IsTrue) // who has a part of it goes on
	h.set("route-00001", h.number+1, FreshBytes)
	three := h.cut(Part{})
	c.Check(three != two, qt.IsTrue)
	c.Check(h.cut(half) == three, qt.IsTrue) // two are kept
	c.Check(h.shelf.Held(), qt.Equals, two.Bytes+three.Bytes)
	h.life += "+" // the set was taken over: what goes on from here isn't what was
	c.Check(h.cut(Part{}) != three, qt.IsTrue)
	c.Check(h.cut(Part{three.Name, three.ends[0]}) != three, qt.IsTrue)
	h.now += unusedFor - 1
	c.Check(h.shelf.Tidy(h.now), qt.IsTrue)
	h.now++
	c.Check(h.shelf.Tidy(h.now), qt.IsFalse)
	c.Check(h.shelf.Held(), qt.Equals, 0)
}

// More comes while a cut is made than a fresh one may lack: who waited for it is sent it all the same, as long as what came is
// kept; whoever asks meanwhile waits for the same one.
func TestMuchComesWhileItIsMade(t *testing.T) {
	c := qt.New(t)
	h := newHeld("a", 100)
	m := h.shelf.Begin(0, Head{Life: "a", To: h.ledger.Last(), Epoch: 1, Number: h.number})
	notes := h.notes()
	for range FreshChanges + 1000 {
		h.set("route-00001", h.number+1, 10)
		c.Assert(h.shelf.Fresh(0, "a", h.ledger) == m, qt.IsTrue)
	}
	m.Make(notes, plain)
	c.Check(h.shelf.Fresh(0, "a", h.ledger), qt.IsNil) // for who comes now
	c.Check(h.shelf.Named(0, m.Name, "a", h.ledger) == m, qt.IsTrue)
	for range 7000 {
		h.set("route-00001", h.number+1, 10)
	}
	c.Check(h.shelf.Named(0, m.Name, "a", h.ledger), qt.IsNil)
}

// What isn't the next chunk is refused, whatever it is, and what was there goes with it.
func TestChunkRefused(t *testing.T) {
	c := qt.New(t)
	h := newHeld("a", 1000)
	other := newHeld("b", 900).cut(Part{})
	chunk := func(cut *Cut, n int) Chunk {
		var w Word
		c.Assert(json.Unmarshal(cut.Words[n], &w), qt.IsNil)
		return *w.Chunk
	}
	cut := h.cut(Part{})
	for name, spoil := range map[string]func(x *Chunk){
		"again":        func(x *Chunk) { *x = chunk(cut, 1) },
		"passed over":  func(x *Chunk) { *x = chunk(cut, 3) },
		"of another":   func(x *Chunk) { *x = chunk(other, 2) },
		"its head":     func(x *Chunk) { x.Number++ },
		"its sum":      func(x *Chunk) { x.Sum[3] ^= 1 },
		"no sum":       func(x *Chunk) { x.Sum = nil },
		"its notes":    func(x *Chunk) { x.Notes[40] ^= 1 },
		"no notes":     func(x *Chunk) { x.Notes = json.RawMessage("[]") },
		"too many":     func(x *Chunk) { x.Of, x.From = MostNotes+1, 0 },
		"less than no": func(x *Chunk) { x.Of, x.From = -1, 0 },
		"no name":      func(x *Chunk) { x.Name, x.From = "", 0 },
	} {
		r := &router{}
		for n := range 2 {
			c.Assert(r.Take(chunk(cut, n)), qt.IsNil)
		}
		x := chunk(cut, 2)
		spoil(&x)
		c.Check(r.Take(x), qt.Not(qt.IsNil), qt.Commentf(name))
		c.Check(r.Part(), qt.Equals, Part{}, qt.Commentf(name))
		c.Check(r.Whole(), qt.IsFalse)
		r.whole(c, h)
	}
}

// FuzzAssembly: whatever comes as words after chunks that are well, either nothing is there, or the first notes of the snapshot
// that it says, as they were laid out; and nothing is whole that hasn't as many as it says.
func FuzzAssembly(f *testing.F) {
	h := newHeld("a", 0)
	for n := range 12 {
		h.set(fmt.Sprintf("route-%05d", n), 1, 4)
	}
	cut, err := newCut(Head{Name: "a.1", Life: "a", To: 12, Epoch: 1, Number: 12}, h.notes(), 200, plain)
	if err != nil {
		f.Fatal(err)
	}
	for n, w := range cut.Words {
		f.Add(w, uint8(n))
		f.Add(w, uint8(0))
	}
	small, err := NewCut(Head{Name: "a.9", Life: "a", To: 3}, []Note{{Host: &berths.Host{ID: "h"}}, {Front: &Front{Name: "r"}}}, plain)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(small.Words[0], uint8(1))
	f.Add([]byte(`{"k":{"i":"x","l":"a","t":0,"o":0,"s":"","n":[]}}`), uint8(0))
	f.Add([]byte(`{"k":{"i":"x","l":"a","t":0,"o":1048577,"s":null,"n":null}}`), uint8(0))
	f.Fuzz(func(t *testing.T, raw []byte, before uint8) {
		var a Assembly
		for _, w := range cut.Words[:min(int(before), len(cut.Words))] {
			var x Word
			if json.Unmarshal(w, &x) != nil || a.Take(*x.Chunk) != nil {
				t.Fatal("a chunk that is well is refused")
			}
		}
		had := a.Part()
		var w Word
		if json.Unmarshal(raw, &w) != nil || w.Chunk == nil {
			return
		}
		err := a.Take(*w.Chunk)
		switch p := a.Part(); {
		case err != nil && (p != Part{} || a.Whole()):
			t.Fatalf("%v, and %+v is there", err, p)
		case err == nil && (p.Name != w.Chunk.Name || p.Have < w.Chunk.From || p.Have > w.Chunk.Of || w.Chunk.From != 0 && p.Name != had.Name):
			t.Fatalf("%+v after %+v, of %+v", p, had, w.Chunk.Head)
		case a.Whole() != (err == nil && p.Have == w.Chunk.Of):
			t.Fatalf("whole with %+v of %d", p, w.Chunk.Of)
		}
		if _, ok := a.Close(News{Life: w.Chunk.Life, From: w.Chunk.To, To: w.Chunk.To}); ok && err != nil {
			t.Fatal("closed after an error")
		}
	})
}
