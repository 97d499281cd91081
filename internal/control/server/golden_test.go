package server

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/settings"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
	"portflow/internal/control/store"
	"portflow/internal/golden"
)

// The consensus node's record has the same bytes as in earlier releases.
func TestGoldenRecord(t *testing.T) {
	var d consensus.HardState
	golden.Fill(&d)
	want, err := os.ReadFile("../../golden/testdata/golden/messages/stored-consensus.json")
	if err != nil {
		t.Fatal(err)
	}
	if got := encodeHardState(d); len(got) != 1 || !bytes.Equal(got["node"], want) {
		t.Errorf("record: got %q, want %q", got, want)
	}
}

// A control process that starts on the disk of an earlier release continues as the same member, at the same index, with the same vote and
// all items.
func TestGoldenDisk(t *testing.T) {
	dir, image := t.TempDir(), "../../golden/testdata/golden/disk/image"
	files, err := os.ReadDir(image)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		raw, err := os.ReadFile(filepath.Join(image, f.Name()))
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, f.Name()), raw, 0o644)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	disk, err := store.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	itemStore, items, records, complete, err := store.Open(disk)
	if err != nil {
		t.Fatal(err)
	}
	defer itemStore.Close()
	s := &Server{Options: Options{Settings: settings.Settings{IP: "10.0.0.1", FirstStart: true}}, incarnation: "another"}
	hardState, set, removed, created := s.loadHardState(items, records, complete, itemStore.Repaired)
	vote := config.Item{Kind: config.KindEvacuations, Name: "z1", Version: 2, Body: json.RawMessage(`{"begun":false}`)}
	want := consensus.HardState{DiskID: "disk-1", Applied: 13, Promised: consensus.Ballot{Number: 7, Proposer: "life-3"}, Accepted: consensus.Ballot{Number: 6, Proposer: "life-2"}, AcceptedIndex: 14,
		AcceptedValue: []config.Item{vote}, Founders: []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}}
	if created || len(removed) > 0 || !reflect.DeepEqual(hardState, want) {
		t.Errorf("got hard state %+v, created %v, removed %v", hardState, created, removed)
	}
	if list := membership.FromSet(set); list.Epoch != 2 || !list.Contains("10.0.0.1", "disk-1") {
		t.Errorf("unexpected members %+v", list)
	}
	if !reflect.DeepEqual(set.All(), items) {
		t.Errorf("the items in the set differ from those on disk: %d items on disk, %d in the set", len(items), set.Len())
	}
	if err := itemStore.Write(set.All(), encodeHardState(hardState), true); err != nil {
		t.Fatal(err)
	}
	if reopenedStore, reopenedItems, reopenedRecords, _, err := reopen(t, itemStore, dir, disk.Close); err != nil || !reflect.DeepEqual(reopenedItems, items) || !reflect.DeepEqual(reopenedRecords, records) {
		t.Errorf("after another write and reopening: got %d items, records %q, error %v", len(reopenedItems), reopenedRecords, err)
	} else {
		reopenedStore.Close()
	}
}

// reopen closes a store and its disk and opens both again.
func reopen(t *testing.T, itemStore *store.Store, dir string, closeDisk func() error) (*store.Store, []config.Item, map[string][]byte, bool, error) {
	t.Helper()
	if err := itemStore.Close(); err != nil {
		t.Fatal(err)
	}
	if err := closeDisk(); err != nil {
		t.Fatal(err)
	}
	disk, err := store.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { disk.Close() })
	return store.Open(disk)
}
