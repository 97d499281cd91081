package harbourmaster

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"portflow/internal/golden"
	"portflow/internal/harbour/logbook"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/papers"
	"portflow/internal/harbour/quorum"
)

// The record of the consensus lies in its cell with the same bytes.
func TestGoldenRecord(t *testing.T) {
	var d quorum.Disk
	golden.Fill(&d)
	want, err := os.ReadFile("../../golden/testdata/golden/messages/stored-consensus.json")
	if err != nil {
		t.Fatal(err)
	}
	if got := record(d); len(got) != 1 || !bytes.Equal(got["node"], want) {
		t.Errorf("the record is %q, not %q", got, want)
	}
}

// A control process that starts on an earlier release's disk goes on from where that one was: the same member, at the same
// number, with its vote, and with all items.
func TestGoldenDisk(t *testing.T) {
	folder, image := t.TempDir(), "../../golden/testdata/golden/disk/image"
	files, err := os.ReadDir(image)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		raw, err := os.ReadFile(filepath.Join(image, f.Name()))
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, f.Name()), raw, 0o644)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	disk, err := logbook.Folder(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	book, items, cells, whole, err := logbook.Open(disk)
	if err != nil {
		t.Fatal(err)
	}
	defer book.Close()
	m := &Master{Options: Options{Boot: papers.Boot{IP: "10.0.0.1", FirstStart: true}}, life: "another"}
	d, set, gone, made := m.load(items, cells, whole, book.Repaired)
	vote := manifest.Item{Kind: manifest.Evacuations, Name: "z1", Version: 2, Body: json.RawMessage(`{"begun":false}`)}
	want := quorum.Disk{ID: "disk-1", Applied: 13, Promised: quorum.Ballot{N: 7, By: "life-3"}, Vote: quorum.Ballot{N: 6, By: "life-2"}, At: 14,
		Value: []manifest.Item{vote}, Founders: []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}}
	if made || len(gone) > 0 || !reflect.DeepEqual(d, want) {
		t.Errorf("it starts with %+v, made %v, gone %v", d, made, gone)
	}
	if list := muster.Of(set); list.Epoch != 2 || !list.Has("10.0.0.1", "disk-1") {
		t.Errorf("the members are %+v", list)
	}
	if !reflect.DeepEqual(set.All(), items) {
		t.Errorf("of %d items there are %d", len(items), set.Len())
	}
	if err := book.Write(set.All(), record(d), true); err != nil {
		t.Fatal(err)
	}
	if book, again, cellsAgain, _, err := reopened(t, book, folder, disk.Close); err != nil || !reflect.DeepEqual(again, items) || !reflect.DeepEqual(cellsAgain, cells) {
		t.Errorf("written again it holds %d items and %q, %v", len(again), cellsAgain, err)
	} else {
		book.Close()
	}
}

func reopened(t *testing.T, book *logbook.Book, folder string, close func() error) (*logbook.Book, []manifest.Item, map[string][]byte, bool, error) {
	t.Helper()
	if err := book.Close(); err != nil {
		t.Fatal(err)
	}
	if err := close(); err != nil {
		t.Fatal(err)
	}
	disk, err := logbook.Folder(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { disk.Close() })
	return logbook.Open(disk)
}
