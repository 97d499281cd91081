package server

import (
	"errors"
	"maps"
	"slices"
	"time"

	"portflow/internal/cluster/config"
	"portflow/internal/control/store"
)

// writeJob is what is to be kept; done is told once it is synced.
type writeJob struct {
	items      []config.Item
	removed    []config.Key
	records    map[string][]byte
	complete   bool
	replaceAll bool // what isn't among the items goes
	done       func()
}

const (
	maxQueuedWrites = 1024                   // that may wait for the disk
	writeRetryDelay = 200 * time.Millisecond // between writes that the disk refuses
)

// diskWriter writes to the logbook, one synced write after another; what comes meanwhile goes into the next one.
type diskWriter struct {
	store       *store.Store
	queue       chan writeJob
	stop        chan struct{}
	reportError func(error)
}

// enqueue tells whether the job was taken: not, where the disk hangs.
func (w *diskWriter) enqueue(j writeJob) bool {
	select {
	case w.queue <- j:
		return true
	default:
		w.reportError(errQueueFull)
		return false
	}
}

// idle tells whether nothing waits for the disk.
func (w *diskWriter) idle() bool { return len(w.queue) == 0 }

var errQueueFull = errors.New("too many orders wait for the disk")

func (w *diskWriter) run() {
	for {
		var batch []writeJob
		select {
		case j := <-w.queue:
			batch = append(batch, j)
		case <-w.stop:
			return
		}
		for more := true; more && len(batch) < maxQueuedWrites; {
			select {
			case j := <-w.queue:
				batch = append(batch, j)
			default:
				more = false
			}
		}
		var merged writeJob // all of them in one, in their order
		items := map[config.Key]config.Item{}
		removed := map[config.Key]bool{}
		merged.records = map[string][]byte{}
		for _, j := range batch {
			if merged.complete = merged.complete || j.complete; j.replaceAll {
				merged.replaceAll = true
				clear(items)
				clear(removed)
			}
			for _, i := range j.items {
				items[i.Key()] = i
				delete(removed, i.Key())
			}
			for _, key := range j.removed {
				removed[key] = true
				delete(items, key)
			}
			maps.Copy(merged.records, j.records)
		}
		merged.items, merged.removed = slices.Collect(maps.Values(items)), slices.Collect(maps.Keys(removed))
		for {
			err := w.write(merged)
			if err == nil {
				break
			}
			w.reportError(err)
			select {
			case <-time.After(writeRetryDelay):
			case <-w.stop:
				return
			}
		}
		for _, j := range batch {
			j.done()
		}
	}
}

func (w *diskWriter) write(j writeJob) error {
	if j.replaceAll {
		return w.store.Rewrite(j.items, j.records, j.complete)
	}
	return w.store.Replace(j.items, j.removed, j.records, j.complete)
}
