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
	maxQueuedWrites = 1024                   // jobs
	writeRetryDelay = 200 * time.Millisecond // after a failed write
)

var errQueueFull = errors.New("disk write queue is full")

// writeJob is one change to the data on disk.
type writeJob struct {
	items      []config.Item
	removed    []config.Key
	records    map[string][]byte
	complete   bool   // afterwards the disk holds the complete state of this process
	replaceAll bool   // all other items are removed
	done       func() // called by the disk writer's goroutine after the job has been fsynced
}

// diskWriter performs one fsynced write to the store at a time. Jobs queued during a write are merged into the next one. Its goroutine
// executes run and ends when stop is closed.
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

// enqueue queues a job without blocking. It reports false if the queue is full.
func (w *diskWriter) enqueue(job writeJob) bool {
	select {
	case w.queue <- job:
		return true
	default:
		w.reportError(errQueueFull)
		return false
	}
}

// idle reports whether the queue is empty. A write may still be in progress.
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

// nextBatch waits for a job and returns it with all jobs queued behind it, or nil once the writer is stopped.
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

// mergeJobs returns one job with the same effect as the jobs in batch applied in order. Its done is nil.
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

// writeWithRetry repeats a write until it succeeds. It reports false if the writer is stopped first.
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
