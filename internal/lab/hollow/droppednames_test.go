package hollow

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"portflow/internal/cluster/config"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
	"portflow/internal/control/snapshot"
	"portflow/internal/control/store"
)

// per10k scales a figure to 10,000 dropped names.
func per10k(total, names int) float64 { return float64(total) / float64(names) * 10_000 }

// heapBytes returns the size of the reachable heap.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// droppedRoute returns a route that was set once and then dropped.
func droppedRoute(n int) config.Item {
	name := fmt.Sprintf("route-%07d", n)
	set := config.Item{Kind: config.KindRoutes, Name: name, Version: 16, Body: fmt.Appendf(nil, `{"name":"%s"}`, name)}
	dropped := config.Item{Kind: config.KindRoutes, Name: name, Version: 18, Deleted: true}
	return dropped.WithHistory(set)
}

func folderBytes(b *testing.B, folder string) (bytes int) {
	err := filepath.WalkDir(folder, func(_ string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		info, err := e.Info()
		if err == nil && !e.IsDir() {
			bytes += int(info.Size())
		}
		return err
	})
	if err != nil {
		b.Fatal(err)
	}
	return bytes
}

// messageBytes returns the size of the messages that a step sends, as JSON.
func messageBytes(b *testing.B, effects consensus.Effects) (bytes int) {
	for _, messages := range effects.Send {
		for _, message := range messages {
			raw, err := json.Marshal(message)
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(raw)
		}
	}
	return bytes
}

// fetch returns the bytes and the time for which a process serves a peer with the given checksums.
func fetch(b *testing.B, node *consensus.Node, from membership.Member, checksums [config.Partitions]uint64) (bytes int, took time.Duration) {
	request := consensus.Message{Kind: consensus.FetchChanges, Epoch: 1, DiskID: from.ID, Applied: 1, Checksums: checksums[:]}
	start := time.Now()
	effects := node.Step(consensus.Event{Now: 1e9, From: from.IP, Message: &request})
	took = time.Since(start)
	return messageBytes(b, effects), took
}

// storeOnDisk writes items to a new store, as many changes as drop 370 names each, and returns the size on disk and the heap that the store
// uses, then the time to open it again and build a set.
func storeOnDisk(b *testing.B, items []config.Item) (disk, heap int, opened time.Duration) {
	folder := b.TempDir()
	files, err := store.OpenDir(folder)
	if err != nil {
		b.Fatal(err)
	}
	before := heapBytes()
	db, _, _, _, err := store.Open(files)
	if err != nil {
		b.Fatal(err)
	}
	const namesPerChange = 370
	for change := range slices.Chunk(items, namesPerChange) {
		if err := db.Write(change, nil, false); err != nil {
			b.Fatal(err)
		}
	}
	heap = heapBytes() - before
	_ = db.Close()
	_ = files.Close()
	start := time.Now()
	if files, err = store.OpenDir(folder); err != nil {
		b.Fatal(err)
	}
	db, stored, _, _, err := store.Open(files)
	if err != nil {
		b.Fatal(err)
	}
	set := config.NewSet()
	for _, item := range stored {
		set.Merge(item)
	}
	opened = time.Since(start)
	if set.Tombstones() != len(items) {
		b.Fatalf("%d tombstones after opening, want %d", set.Tombstones(), len(items))
	}
	_ = db.Close()
	_ = files.Close()
	return folderBytes(b, folder), heap, opened
}

// changeTime returns the median and the longest time to evaluate and apply a change of one route, out of 2,000, with a copy of the set as
// for a second operation in a batch.
func changeTime(b *testing.B, set *config.Set) (median, longest time.Duration) {
	var took []time.Duration
	for n := range 2000 {
		change := operation.Operation{Kind: operation.ModifyConfig, Items: []config.Item{
			{Kind: config.KindRoutes, Name: fmt.Sprintf("other-%04d", n), Version: 2, Deleted: true},
		}}
		start := time.Now()
		items, err := operation.Apply(set.Clone(), change)
		if err != nil {
			b.Fatal(err)
		}
		set.Apply(items)
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	return took[len(took)/2], took[len(took)-1]
}

// Measures what dropped names cost a control process, by their number. All figures per 10,000 names are differences to none. Run it with
// -benchtime 1x; TMPDIR selects the disk.
func BenchmarkDroppedNames(b *testing.B) {
	for _, names := range []int{0, 10_000, 100_000, 400_000, 1_000_000} {
		b.Run(fmt.Sprint(names), func(b *testing.B) {
			for b.Loop() {
				measureTombstones(b, names, droppedRoute)
			}
		})
	}
}

// Measures what recorded departures cost a control process, by their number, as BenchmarkDroppedNames does.
func BenchmarkDepartures(b *testing.B) {
	record := func(n int) config.Item { return operation.RecordDeparture(fmt.Sprintf("i-%08x", n)).Items[0] }
	for _, hosts := range []int{0, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for b.Loop() {
				measureTombstones(b, hosts, record)
			}
		})
	}
}

// measureTombstones measures what a number of tombstones cost; tombstone returns the one with an index.
func measureTombstones(b *testing.B, names int, tombstone func(n int) config.Item) {
	self := membership.Member{IP: "10.0.0.1", ID: "a", Zone: "z0"}
	peer := membership.Member{IP: "10.0.0.2", ID: "b", Zone: "z1"}
	before := heapBytes()
	set := config.NewSet()
	set.Merge(membership.List{Epoch: 1, Members: []membership.Member{self, peer}}.Item())
	for n := range names {
		set.Merge(tombstone(n))
	}
	setBytes := heapBytes() - before
	node := consensus.New(self, "incarnation", 1, consensus.HardState{DiskID: "a", Applied: 900}, set, 0)

	fullBytes, fullTime := fetch(b, node, peer, config.NewSet().PartitionSums())
	oneBehind := set.Clone()
	oneBehind.Merge(config.Item{Kind: config.KindRoutes, Name: "one", Version: 1, Deleted: true})
	partitionBytes, partitionTime := fetch(b, node, peer, oneBehind.PartitionSums())

	start := time.Now()
	items := set.All()
	for n := range items {
		items[n].History = nil
	}
	header, err := snapshot.NewHeader(items, 1, 900)
	snapshotTime := time.Since(start)
	snapshotBytes := 0
	for next, done := 0, err != nil; !done; {
		var raw []byte
		raw, next, done = snapshot.EncodeChunk(items, header, next)
		snapshotBytes += len(raw)
	}
	if err != nil {
		b.Logf("operators' snapshot: %v", err)
	}
	restoreBytes := config.EncodedSizeBound(items)

	if names > 0 {
		dropped := make([]config.Item, 0, names)
		for _, item := range items {
			if item.Deleted {
				full, _ := set.Lookup(item.Key())
				dropped = append(dropped, full)
			}
		}
		diskBytes, storeBytes, opened := storeOnDisk(b, dropped)
		b.ReportMetric(per10k(setBytes, names), "set-B/10k")
		b.ReportMetric(per10k(storeBytes, names), "store-B/10k")
		b.ReportMetric(per10k(diskBytes, names), "disk-B/10k")
		b.ReportMetric(per10k(int(opened.Microseconds()), names), "open-us/10k")
		b.ReportMetric(per10k(fullBytes, names), "catchup-all-B/10k")
		b.ReportMetric(per10k(partitionBytes, names), "catchup-one-B/10k")
		b.ReportMetric(per10k(snapshotBytes, names), "snapshot-B/10k")
		b.ReportMetric(per10k(restoreBytes, names), "restore-bound-B/10k")
	}
	b.ReportMetric(float64(fullTime.Microseconds()), "catchup-all-us")
	b.ReportMetric(float64(partitionTime.Microseconds()), "catchup-one-us")
	b.ReportMetric(float64(snapshotTime.Microseconds()), "snapshot-us")
	median, longest := changeTime(b, set)
	b.ReportMetric(float64(median.Nanoseconds()), "change-p50-ns")
	b.ReportMetric(float64(longest.Microseconds()), "change-max-us")
}
