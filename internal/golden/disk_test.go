package golden

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"

	"portflow/internal/cluster/config"
	"portflow/internal/control/consensus"
	"portflow/internal/control/store"
)

const imageFolder = "testdata/golden/disk/image"

// consensusCell is the name of the cell in which a control process stores its consensus.HardState.
const consensusCell = "node"

// consensusRecord returns the consensus state of a voting member that has accepted a change that isn't committed yet.
func consensusRecord(set *config.Set) consensus.HardState {
	item, _ := set.Lookup(config.Key{Kind: config.KindEvacuations, Name: "z1"})
	return consensus.HardState{DiskID: "disk-1", Applied: 13, Promised: consensus.Ballot{Number: 7, Proposer: "life-3"}, Accepted: consensus.Ballot{Number: 6, Proposer: "life-2"}, AcceptedIndex: 14,
		AcceptedValue: []config.Item{item}, Founders: []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}}
}

func openStore(t testing.TB, folder string) (db *store.Store, items []config.Item, cells map[string][]byte, complete bool, closeStore func()) {
	t.Helper()
	disk, err := store.OpenDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	db, items, cells, complete, err = store.Open(disk)
	if err != nil {
		t.Fatal(err)
	}
	return db, items, cells, complete, func() {
		t.Helper()
		if err := db.Close(); err != nil {
			t.Fatal(err)
		}
		if err := disk.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// writeDisk stores the items of everything in several writes, as a control process does, including an item and a cell that are
// deleted again. Opening the store a second time leaves an SSTable beside the journal.
func writeDisk(t testing.TB, folder string) {
	t.Helper()
	set, _ := everything(t)
	record := mustJSON(t, consensusRecord(set))
	db, _, _, _, closeStore := openStore(t, folder)
	all := append(set.All(), config.Item{Kind: config.KindCore, Name: "10.0.0.9", Version: 1, Body: json.RawMessage(`{"name":"old"}`)})
	half := len(all) / 2
	if err := db.Write(all[:half], map[string][]byte{consensusCell: []byte(`{"id":"earlier","applied":1}`), "gone": []byte("x")}, false); err != nil {
		t.Fatal(err)
	}
	closeStore()
	db, _, _, _, closeStore = openStore(t, folder)
	if err := db.Write(all[half:], map[string][]byte{consensusCell: record, "gone": nil}, true); err != nil {
		t.Fatal(err)
	}
	if err := db.Replace(nil, []config.Key{{Kind: config.KindCore, Name: "10.0.0.9"}}, nil, false); err != nil {
		t.Fatal(err)
	}
	closeStore()
}

// dumpRows dumps all keys and values of the underlying LevelDB database, one pair per line.
func dumpRows(t testing.TB, folder string) []byte {
	t.Helper()
	db, err := leveldb.OpenFile(folder, &opt.Options{ErrorIfMissing: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var all bytes.Buffer
	it := db.NewIterator(nil, nil)
	defer it.Release()
	for it.Next() {
		fmt.Fprintf(&all, "%q\t%q\n", it.Key(), it.Value())
	}
	if err := it.Error(); err != nil {
		t.Fatal(err)
	}
	return all.Bytes()
}

func copyFolder(t testing.TB, to, from string) {
	t.Helper()
	files, err := os.ReadDir(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(to, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if f.Name() == "LOCK" || strings.HasPrefix(f.Name(), "LOG") { // runtime files, not stored data
			continue
		}
		raw, err := os.ReadFile(filepath.Join(from, f.Name()))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(to, f.Name()), raw, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// copyImage returns a temporary copy of the golden disk image, which an earlier release wrote.
func copyImage(t testing.TB) string {
	t.Helper()
	if _, err := os.Stat(imageFolder); os.IsNotExist(err) && os.Getenv(rewriteVariable) == "yes" { // an existing image is never rewritten
		folder := t.TempDir()
		writeDisk(t, folder)
		copyFolder(t, imageFolder, folder)
		t.Errorf("%s: disk image rewritten", imageFolder)
	}
	folder := t.TempDir()
	copyFolder(t, folder, imageFolder)
	return folder
}

// Guards the keys and values that the store writes.
func TestStoredRows(t *testing.T) {
	folder := t.TempDir()
	writeDisk(t, folder)
	Equal(t, "disk/rows.txt", dumpRows(t, folder))
}

// Guards that a disk written by an earlier release opens as complete, has the expected rows, items and consensus state, and
// yields the same rows when written again.
func TestDiskImage(t *testing.T) {
	folder := copyImage(t)
	want := Read(t, "disk/rows.txt")
	if got := dumpRows(t, folder); !bytes.Equal(got, want) {
		t.Errorf("rows on disk\n%s\nwant\n%s", got, want)
	}
	folder = copyImage(t)
	db, items, cells, complete, closeStore := openStore(t, folder)
	set, _ := everything(t)
	if !complete || db.Repaired {
		t.Errorf("complete %v, repaired %v", complete, db.Repaired)
	}
	if !reflect.DeepEqual(items, set.All()) {
		t.Errorf("unexpected items from disk:\n%s", jsonLines(t, items))
	}
	var record consensus.HardState
	if err := json.Unmarshal(cells[consensusCell], &record); err != nil || len(cells) != 1 {
		t.Fatal(err, cells)
	}
	if !reflect.DeepEqual(record, consensusRecord(set)) {
		t.Errorf("unexpected consensus state from disk: %+v", record)
	}
	closeStore()

	again := t.TempDir()
	db, _, _, _, closeStore = openStore(t, again)
	if err := db.Write(items, map[string][]byte{consensusCell: mustJSON(t, record)}, complete); err != nil {
		t.Fatal(err)
	}
	closeStore()
	if got := dumpRows(t, again); !bytes.Equal(got, want) {
		t.Errorf("rows after writing again\n%s\nwant\n%s", got, want)
	}
}

// Guards the name of the file that marks a store as damaged, and its removal once the store is complete again.
func TestDamageMarker(t *testing.T) {
	const name, text = "1073741824.tmp", "spoilt\n"
	folder := copyImage(t)
	if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	db, items, _, complete, closeStore := openStore(t, folder)
	if complete || !db.Repaired {
		t.Errorf("complete %v, repaired %v", complete, db.Repaired)
	}
	if raw, err := os.ReadFile(filepath.Join(folder, name)); err != nil || string(raw) != text {
		t.Errorf("damage marker contains %q, %v", raw, err)
	}
	if err := db.Write(items, nil, true); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(folder, name)); !os.IsNotExist(err) {
		t.Errorf("damage marker still exists: %v", err)
	}
	closeStore()
}
