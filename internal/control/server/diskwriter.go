package server

import (
	"errors"
	"maps"
	"slices"
	"time"

	"portflow/internal/cluster/config"
	"portflow/internal/control/store"
)

const (
	maxQueuedWrites = 1024                   // jobs that may wait for the disk
	writeRetryDelay = 200 * time.Millisecond // between attempts at a write that the disk refuses
)

var errQueueFull = errors.New("too many writes wait for the disk")

// writeJob is one change of what is on disk.
type writeJob struct {
	items      []config.Item
	removed    []config.Key
	records    map[string][]byte
	complete   bool   // the disk then holds all that this process has
	replaceAll bool   // all other items are removed
	done       func() // called once the job is synced, by the disk writer's goroutine
}

// diskWriter writes to the store, one synced write after another; jobs that come meanwhile go into the next write together. Its
// goroutine is run, which ends when stop is closed.
type diskWriter struct {
	store       *store.Store
	queue       chan writeJob
	stop        chan struct{}
	reportError func(error) // may be called with the server's mu held
}

func newDiskWriter(itemStore *store.Store, reportError func(error)) *diskWriter {
	return &diskWriter{
		store:       itemStore,
		queue:       make(chan writeJob, maxQueuedWrites),
		stop:        make(chan struct{}),
		reportError: reportError,
	}
}

// enqueue takes a job without waiting. It reports false where too many jobs wait for the disk.
func (w *diskWriter) enqueue(job writeJob) bool {
	select {
	case w.queue <- job:
		return true
	default:
		w.reportError(errQueueFull)
		return false
	}
}

// idle reports whether no job waits for the disk.
func (w *diskWriter) idle() bool { return len(w.queue) == 0 }

func (w *diskWriter) run() {
	for {
		batch := w.nextBatch()
		if batch == nil || !w.writeWithRetry(mergeJobs(batch)) {
			return
		}
		for _, job := range batch {
			job.done()
		}
	}
}

// nextBatch waits for a job and returns it with all that are queued behind it; nil once the writer is stopped.
func (w *diskWriter) nextBatch() (batch []writeJob) {
	select {
	case job := <-w.queue:
		batch = append(batch, job)
	case <-w.stop:
		return nil
	}
	for len(batch) < maxQueuedWrites {
		select {
		case job := <-w.queue:
			batch = append(batch, job)
		default:
			return batch
		}
	}
	return batch
}

// mergeJobs makes one job that has the effect of all jobs in their order. It has no done.
func mergeJobs(batch []writeJob) writeJob {
	merged := writeJob{records: map[string][]byte{}}
	items := map[config.Key]config.Item{}
	removed := map[config.Key]bool{}
	for _, job := range batch {
		merged.complete = merged.complete || job.complete
		if job.replaceAll {
			merged.replaceAll = true
			clear(items)
			clear(removed)
		}
		for _, item := range job.items {
			items[item.Key()] = item
			delete(removed, item.Key())
		}
		for _, key := range job.removed {
			removed[key] = true
			delete(items, key)
		}
		maps.Copy(merged.records, job.records)
	}
	merged.items = slices.Collect(maps.Values(items))
	merged.removed = slices.Collect(maps.Keys(removed))
	return merged
}

// writeWithRetry attempts a write until the disk takes it. It reports false where the writer is stopped before.
func (w *diskWriter) writeWithRetry(job writeJob) bool {
	for {
		err := w.write(job)
		if err == nil {
			return true
		}
		w.reportError(err)
		select {
		case <-time.After(writeRetryDelay):
		case <-w.stop:
			return false
		}
	}
}

func (w *diskWriter) write(job writeJob) error {
	if job.replaceAll {
		return w.store.Rewrite(job.items, job.records, job.complete)
	}
	return w.store.Replace(job.items, job.removed, job.records, job.complete)
}
