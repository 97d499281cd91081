package update

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/instance"
)

// Any chunk but the next one is refused, and what was received before is dropped.
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

// FuzzAssembly: whatever messages follow on valid chunks, the assembly is either empty, or has the first changes of the snapshot as they
// were encoded; it is not complete with fewer changes than the snapshot has.
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
			t.Fatalf("complete with %+v of %d", p, w.Chunk.Total)
		}
		if _, ok := a.Finish(Batch{Incarnation: w.Chunk.Incarnation, From: w.Chunk.To, To: w.Chunk.To}); ok && err != nil {
			t.Fatal("closed after an error")
		}
	})
}
