package update

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/instance"
)

// An invalid or out-of-sequence chunk must be rejected and reset the assembly, after which the transfer can start over.
func TestInvalidChunkRejected(t *testing.T) {
	c := qt.New(t)
	control := newFakeControl("a", 1000)
	other := newFakeControl("b", 900).snapshot(Progress{})
	chunk := func(snap *Snapshot, n int) Chunk {
		var message Message
		c.Assert(json.Unmarshal(snap.Messages[n], &message), qt.IsNil)
		return *message.Chunk
	}
	snap := control.snapshot(Progress{})
	for name, corrupt := range map[string]func(x *Chunk){
		"again":           func(x *Chunk) { *x = chunk(snap, 1) },
		"skipped one":     func(x *Chunk) { *x = chunk(snap, 3) },
		"other snapshot":  func(x *Chunk) { *x = chunk(other, 2) },
		"wrong header":    func(x *Chunk) { x.Number++ },
		"wrong checksum":  func(x *Chunk) { x.Checksum[3] ^= 1 },
		"no checksum":     func(x *Chunk) { x.Checksum = nil },
		"changes altered": func(x *Chunk) { x.Changes[40] ^= 1 },
		"no changes":      func(x *Chunk) { x.Changes = json.RawMessage("[]") },
		"total too large": func(x *Chunk) { x.Total, x.From = MaxSnapshotChanges+1, 0 },
		"total negative":  func(x *Chunk) { x.Total, x.From = -1, 0 },
		"no name":         func(x *Chunk) { x.Name, x.From = "", 0 },
	} {
		proxy := &fakeProxy{}
		for n := range 2 {
			c.Assert(proxy.Add(chunk(snap, n)), qt.IsNil)
		}
		x := chunk(snap, 2)
		corrupt(&x)
		c.Check(proxy.Add(x), qt.Not(qt.IsNil), qt.Commentf(name))
		c.Check(proxy.Progress(), qt.Equals, Progress{}, qt.Commentf(name))
		c.Check(proxy.Complete(), qt.IsFalse)
		proxy.checkComplete(c, control)
	}
}

// FuzzAssembly adds an arbitrary message after some valid chunks. The assembly must then either be empty or have advanced within the
// chunk's snapshot, and must not be complete with fewer changes than the snapshot has.
func FuzzAssembly(f *testing.F) {
	control := newFakeControl("a", 0)
	for n := range 12 {
		control.set(fmt.Sprintf("route-%05d", n), 1, 4)
	}
	snapshot, err := encodeSnapshot(SnapshotHeader{Name: "a.1", Incarnation: "a", To: 12, Epoch: 1, Number: 12}, control.changes(), 200, unpacked)
	if err != nil {
		f.Fatal(err)
	}
	for n, message := range snapshot.Messages {
		f.Add(message, uint8(n))
		f.Add(message, uint8(0))
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
		for _, message := range snapshot.Messages[:min(int(before), len(snapshot.Messages))] {
			var decoded Message
			if json.Unmarshal(message, &decoded) != nil || a.Add(*decoded.Chunk) != nil {
				t.Fatal("valid chunk rejected")
			}
		}
		previous := a.Progress()
		var message Message
		if json.Unmarshal(raw, &message) != nil || message.Chunk == nil {
			return
		}
		err := a.Add(*message.Chunk)
		switch progress := a.Progress(); {
		case err != nil && (progress != Progress{} || a.Complete()):
			t.Fatalf("got error %v, but progress is %+v", err, progress)
		case err == nil && (progress.Name != message.Chunk.Name || progress.Received < message.Chunk.From || progress.Received > message.Chunk.Total || message.Chunk.From != 0 && progress.Name != previous.Name):
			t.Fatalf("progress %+v after %+v is not possible with header %+v", progress, previous, message.Chunk.SnapshotHeader)
		case a.Complete() != (err == nil && progress.Received == message.Chunk.Total):
			t.Fatalf("wrong result of Complete with progress %+v of %d changes", progress, message.Chunk.Total)
		}
		if _, ok := a.Finish(Batch{Incarnation: message.Chunk.Incarnation, From: message.Chunk.To, To: message.Chunk.To}); ok && err != nil {
			t.Fatal("Finish succeeded after an error")
		}
	})
}
