package harbourmaster

import (
	"errors"
	"maps"
	"slices"
	"time"

	"portflow/internal/harbour/logbook"
	"portflow/internal/harbour/manifest"
)

// job is what is to be kept; done is told once it is synced.
type job struct {
	items   []manifest.Item
	gone    []manifest.Key
	cells   map[string][]byte
	whole   bool
	rewrite bool // what isn't among the items goes
	done    func()
}

const (
	jobs      = 1024                   // that may wait for the disk
	diskAgain = 200 * time.Millisecond // between writes that the disk refuses
)

// keeper writes to the logbook, one synced write after another; what comes meanwhile goes into the next one.
type keeper struct {
	book *logbook.Book
	in   chan job
	stop chan struct{}
	fail func(error)
}

// keep tells whether the job was taken: not, where the disk hangs.
func (k *keeper) keep(j job) bool {
	select {
	case k.in <- j:
		return true
	default:
		k.fail(errFull)
		return false
	}
}

// idle tells whether nothing waits for the disk.
func (k *keeper) idle() bool { return len(k.in) == 0 }

var errFull = errors.New("too many orders wait for the disk")

func (k *keeper) run() {
	for {
		var all []job
		select {
		case j := <-k.in:
			all = append(all, j)
		case <-k.stop:
			return
		}
		for more := true; more && len(all) < jobs; {
			select {
			case j := <-k.in:
				all = append(all, j)
			default:
				more = false
			}
		}
		var last job // all of them in one, in their order
		items := map[manifest.Key]manifest.Item{}
		gone := map[manifest.Key]bool{}
		last.cells = map[string][]byte{}
		for _, j := range all {
			if last.whole = last.whole || j.whole; j.rewrite {
				last.rewrite = true
				clear(items)
				clear(gone)
			}
			for _, i := range j.items {
				items[i.Key()] = i
				delete(gone, i.Key())
			}
			for _, key := range j.gone {
				gone[key] = true
				delete(items, key)
			}
			maps.Copy(last.cells, j.cells)
		}
		last.items, last.gone = slices.Collect(maps.Values(items)), slices.Collect(maps.Keys(gone))
		for {
			err := k.write(last)
			if err == nil {
				break
			}
			k.fail(err)
			select {
			case <-time.After(diskAgain):
			case <-k.stop:
				return
			}
		}
		for _, j := range all {
			j.done()
		}
	}
}

func (k *keeper) write(j job) error {
	if j.rewrite {
		return k.book.Rewrite(j.items, j.cells, j.whole)
	}
	return k.book.Replace(j.items, j.gone, j.cells, j.whole)
}
