package harbourmaster

import (
	"time"

	"portflow/internal/harbour/logbook"
	"portflow/internal/harbour/manifest"
)

// job is items to be kept; done is told once they are synced.
type job struct {
	items []manifest.Item
	cells map[string][]byte
	whole bool
	done  func()
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

func (k *keeper) keep(j job) {
	select {
	case k.in <- j:
	default: // the disk hangs: others' acknowledgements have to do, and the items come again by repair
		k.fail(errFull)
	}
}

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
		var items []manifest.Item
		cells, whole := map[string][]byte{}, false
		for _, j := range all {
			items = append(items, j.items...)
			whole = whole || j.whole
			for name, raw := range j.cells {
				cells[name] = raw
			}
		}
		for {
			err := k.book.Write(items, cells, whole)
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
