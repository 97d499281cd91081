package server

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"portflow/internal/cluster/config"
	"portflow/internal/control/store"
)

func testItem(name string, version uint64) config.Item {
	return config.Item{Kind: config.KindEvacuations, Name: name, Version: version, Body: json.RawMessage(`{"begun":true}`)}
}

// A merged job has the same effect as its jobs in order.
func TestMergeJobs(t *testing.T) {
	a1, a2, b1 := testItem("a", 1), testItem("a", 2), testItem("b", 1)
	record := func(value string) map[string][]byte { return map[string][]byte{"node": []byte(value)} }
	for name, test := range map[string]struct {
		jobs []writeJob
		want writeJob
	}{
		"the last version of an item wins": {
			jobs: []writeJob{{items: []config.Item{a1, b1}}, {items: []config.Item{a2}}},
			want: writeJob{items: []config.Item{a2, b1}},
		},
		"an item is removed after it was written": {
			jobs: []writeJob{{items: []config.Item{a1}}, {removed: []config.Key{a1.Key()}}},
			want: writeJob{removed: []config.Key{a1.Key()}},
		},
		"an item is written after it was removed": {
			jobs: []writeJob{{removed: []config.Key{a1.Key()}}, {items: []config.Item{a2}}},
			want: writeJob{items: []config.Item{a2}},
		},
		"a replacement discards earlier jobs": {
			jobs: []writeJob{{items: []config.Item{a1}, removed: []config.Key{b1.Key()}}, {items: []config.Item{b1}, replaceAll: true}},
			want: writeJob{items: []config.Item{b1}, replaceAll: true},
		},
		"jobs after a replacement are added to it": {
			jobs: []writeJob{{items: []config.Item{b1}, replaceAll: true}, {items: []config.Item{a2}, removed: []config.Key{b1.Key()}}},
			want: writeJob{items: []config.Item{a2}, removed: []config.Key{b1.Key()}, replaceAll: true},
		},
		"the last record wins, and complete stays set": {
			jobs: []writeJob{{records: record("1"), complete: true}, {records: record("2")}},
			want: writeJob{records: record("2"), complete: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			merged := mergeJobs(test.jobs)
			slices.SortFunc(merged.items, func(a, b config.Item) int { return strings.Compare(a.Name, b.Name) })
			c.Check(merged.items, qt.HasLen, len(test.want.items))
			for i, item := range test.want.items {
				c.Check(merged.items[i].Equal(item), qt.IsTrue, qt.Commentf("%v", merged.items[i]))
			}
			c.Check(append([]config.Key(nil), merged.removed...), qt.DeepEquals, test.want.removed)
			c.Check(string(merged.records["node"]), qt.Equals, string(test.want.records["node"]))
			c.Check(merged.complete, qt.Equals, test.want.complete)
			c.Check(merged.replaceAll, qt.Equals, test.want.replaceAll)
		})
	}
}

// While the disk is stalled and the queue is full, enqueue rejects jobs without blocking and reports an error.
func TestEnqueueFull(t *testing.T) {
	c := qt.New(t)
	var reported []error
	w := newDiskWriter(nil, func(err error) { reported = append(reported, err) })
	c.Check(w.idle(), qt.IsTrue)
	for range maxQueuedWrites {
		c.Assert(w.enqueue(writeJob{}), qt.IsTrue)
	}
	c.Check(w.idle(), qt.IsFalse)
	c.Check(w.enqueue(writeJob{}), qt.IsFalse)
	c.Assert(reported, qt.HasLen, 1)
	c.Check(errors.Is(reported[0], errQueueFull), qt.IsTrue)
}

// Queued jobs are written with one fsync, and their done functions are called in order afterwards.
func TestDiskWriterRun(t *testing.T) {
	c := qt.New(t)
	disk := storage.NewMemStorage()
	itemStore, _, _, _, err := store.Open(disk)
	c.Assert(err, qt.IsNil)
	w := newDiskWriter(itemStore, func(err error) { t.Errorf("unexpected error: %v", err) })
	syncs := itemStore.Syncs.Load()
	var done []string
	finished := make(chan struct{})
	w.enqueue(writeJob{items: []config.Item{testItem("a", 1)}, complete: true, done: func() { done = append(done, "a") }})
	w.enqueue(writeJob{items: []config.Item{testItem("b", 1)}, done: func() { done = append(done, "b"); close(finished) }})
	ended := make(chan struct{})
	go func() {
		w.run()
		close(ended)
	}()
	<-finished
	close(w.stop)
	<-ended
	c.Check(done, qt.DeepEquals, []string{"a", "b"})
	c.Check(itemStore.Syncs.Load()-syncs, qt.Equals, int64(1))
	c.Assert(itemStore.Close(), qt.IsNil)
	reopenedStore, items, _, complete, err := store.Open(disk)
	c.Assert(err, qt.IsNil)
	defer reopenedStore.Close()
	c.Check(items, qt.HasLen, 2)
	c.Check(complete, qt.IsTrue)
}
