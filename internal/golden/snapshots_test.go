package golden

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"reflect"
	"testing"

	"portflow/internal/client"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
	"portflow/internal/control/snapshot"
)

// manyItems returns enough items to need more than one chunk.
func manyItems() (all []config.Item) {
	for n := range 900 {
		all = append(all, config.Item{Kind: config.KindServices, Name: fmt.Sprintf("service-%03d", n), Version: uint64(n + 1), Deleted: n%7 == 6,
			Body: fmt.Appendf(nil, `{"health-path":"/%0100d","name":"service-%03d"}`, n, n)})
	}
	return all
}

// Guards the bytes of each chunk of an operator's snapshot, and that they decode to the same items.
func TestOperatorSnapshot(t *testing.T) {
	set, _ := everything(t)
	for name, items := range map[string][]config.Item{"snapshots/everything.bin": withoutHistory(set.All()), "snapshots/chunks.bin": manyItems()} {
		header, err := snapshot.NewHeader(items, 2, 13)
		if err != nil {
			t.Fatal(err)
		}
		var file []byte
		chunks := 0
		for from, done := 0, false; !done; chunks++ {
			var chunk []byte
			chunk, from, done = snapshot.EncodeChunk(items, header, from)
			file = append(binary.BigEndian.AppendUint32(file, uint32(len(chunk))), chunk...)
		}
		if name == "snapshots/chunks.bin" && chunks < 2 {
			t.Errorf("%d chunks, want at least 2", chunks)
		}
		raw := Equal(t, name, file)
		var decoded []config.Item
		got, err := client.ReadSnapshot(bytes.NewReader(raw), func(_ int64, _ []byte, items []config.Item) error {
			decoded = append(decoded, items...)
			return nil
		})
		if err != nil || got != header || !reflect.DeepEqual(decoded, items) {
			t.Errorf("%s: decoded as %v, %d items, %v", name, got, len(decoded), err)
		}
	}
}

func withoutHistory(all []config.Item) []config.Item {
	for n := range all {
		all[n].History = nil
	}
	return all
}

// Guards the frames of a snapshot sent to a router, and that it is reassembled from them.
func TestRouterSnapshot(t *testing.T) {
	items := manyItems()
	changes := make([]update.Change, len(items))
	for n := range items {
		changes[n].Item = &items[n]
	}
	changes = append(changes, update.Change{Instance: &goldenHost}, update.Change{Proxy: &goldenProxy}, update.Change{Vote: &goldenVote})
	encoded, err := update.NewSnapshot(update.SnapshotHeader{Name: "life-1.1", Incarnation: "life-1", To: 9, Epoch: 2, Number: 13}, changes, stream.EncodeFrame)
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded.Messages) < 2 {
		t.Errorf("%d chunks, want at least 2", len(encoded.Messages))
	}
	raw := Equal(t, "snapshots/router.bin", bytes.Join(encoded.Messages, nil))
	var assembly update.Assembly
	l := stream.Open[update.Message](recordedConn{in: io.MultiReader(bytes.NewReader([]byte("pfl1")), bytes.NewReader(raw)), out: new(bytes.Buffer), Conn: noDeadlineConn{}}, stream.ControlKeepalive)
	l.Run(func(w update.Message) {
		if w.Chunk == nil {
			t.Errorf("message without a chunk: %s", mustJSON(t, w))
		} else if err := assembly.Add(*w.Chunk); err != nil {
			t.Error(err)
		}
	})
	got, ok := assembly.Finish(update.Batch{Incarnation: "life-1", From: 9, To: 9})
	if !ok || !reflect.DeepEqual(got, changes) {
		t.Errorf("reassembled %d of %d changes, ok = %v", len(got), len(changes), ok)
	}
}
