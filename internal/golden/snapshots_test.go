package golden

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"reflect"
	"testing"

	"portflow/internal/harbour/lines"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/pilot"
	"portflow/internal/harbour/signals"
	"portflow/internal/harbour/soundings"
)

// many are items that take more than one chunk.
func many() (all []manifest.Item) {
	for n := range 900 {
		all = append(all, manifest.Item{Kind: manifest.Services, Name: fmt.Sprintf("service-%03d", n), Version: uint64(n + 1), Dropped: n%7 == 6,
			Body: fmt.Appendf(nil, `{"health-path":"/%0100d","name":"service-%03d"}`, n, n)})
	}
	return all
}

// An operator's snapshot has the same bytes, chunk by chunk, and is read as the same items.
func TestOperatorsSnapshot(t *testing.T) {
	set, _ := everything(t)
	for name, items := range map[string][]manifest.Item{"snapshots/everything.bin": withoutPast(set.All()), "snapshots/chunks.bin": many()} {
		head, err := soundings.NewHead(items, 2, 13)
		if err != nil {
			t.Fatal(err)
		}
		var file []byte
		chunks := 0
		for from, done := 0, false; !done; chunks++ {
			var chunk []byte
			chunk, from, done = soundings.Chunk(items, head, from)
			file = append(binary.BigEndian.AppendUint32(file, uint32(len(chunk))), chunk...)
		}
		if name == "snapshots/chunks.bin" && chunks < 2 {
			t.Errorf("%d chunks", chunks)
		}
		raw := Equal(t, name, file)
		var read []manifest.Item
		got, err := pilot.ReadSnapshot(bytes.NewReader(raw), func(_ int64, _ []byte, items []manifest.Item) error {
			read = append(read, items...)
			return nil
		})
		if err != nil || got != head || !reflect.DeepEqual(read, items) {
			t.Errorf("%s: read as %v, %d items, %v", name, got, len(read), err)
		}
	}
}

func withoutPast(all []manifest.Item) []manifest.Item {
	for n := range all {
		all[n].Past = nil
	}
	return all
}

// A router's snapshot goes out in the same frames, and is put together from them.
func TestRoutersSnapshot(t *testing.T) {
	items := many()
	notes := make([]signals.Note, len(items))
	for n := range items {
		notes[n].Item = &items[n]
	}
	notes = append(notes, signals.Note{Host: &goldenHost}, signals.Note{Front: &goldenRouter}, signals.Note{Poll: &goldenVote})
	cut, err := signals.NewCut(signals.Head{Name: "life-1.1", Life: "life-1", To: 9, Epoch: 2, Number: 13}, notes, lines.Frame)
	if err != nil {
		t.Fatal(err)
	}
	if len(cut.Words) < 2 {
		t.Errorf("%d chunks", len(cut.Words))
	}
	raw := Equal(t, "snapshots/router.bin", bytes.Join(cut.Words, nil))
	var assembly signals.Assembly
	l := lines.Open[signals.Word](recorded{in: io.MultiReader(bytes.NewReader([]byte("pfl1")), bytes.NewReader(raw)), out: new(bytes.Buffer), Conn: quiet{}}, lines.Slow)
	l.Run(func(w signals.Word) {
		if w.Chunk == nil {
			t.Errorf("no chunk: %s", mustJSON(t, w))
		} else if err := assembly.Take(*w.Chunk); err != nil {
			t.Error(err)
		}
	})
	got, ok := assembly.Close(signals.News{Life: "life-1", From: 9, To: 9})
	if !ok || !reflect.DeepEqual(got, notes) {
		t.Errorf("put together from %d of %d notes: %v", len(got), len(notes), ok)
	}
}
