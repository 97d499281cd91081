package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"portflow/internal/cluster/config"
	"portflow/internal/control/consensus"
	"portflow/internal/control/store"
	"portflow/internal/random"
)

// faulty is a disk whose next so many steps are refused, of the kinds that are chosen.
type faulty struct {
	storage.Storage
	mu      sync.Mutex // over what follows: the store compacts beside
	refuse  int
	kind    string // "" for all
	refused int
	open    int // files that are open
}

func (f *faulty) step(kind string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse == 0 || f.kind != "" && f.kind != kind {
		return nil
	}
	f.refuse--
	f.refused++
	return errRefused
}

func (f *faulty) opened(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open += n
	return f.open
}

func (f *faulty) next(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = n
}

func (f *faulty) Create(fd storage.FileDesc) (storage.Writer, error) {
	if err := f.step("create"); err != nil {
		return nil, err
	}
	w, err := f.Storage.Create(fd)
	if err == nil {
		f.opened(1)
	}
	return &faultyWriter{w, f}, err
}

func (f *faulty) Open(fd storage.FileDesc) (storage.Reader, error) {
	r, err := f.Storage.Open(fd)
	if err == nil {
		f.opened(1)
		r = &faultyReader{r, f}
	}
	return r, err
}

func (f *faulty) SetMeta(fd storage.FileDesc) error {
	if err := f.step("meta"); err != nil {
		return err
	}
	return f.Storage.SetMeta(fd)
}

func (f *faulty) Remove(fd storage.FileDesc) error {
	if err := f.step("remove"); err != nil {
		return err
	}
	return f.Storage.Remove(fd)
}

type faultyReader struct {
	storage.Reader
	f *faulty
}

func (r *faultyReader) Close() error {
	r.f.opened(-1)
	return r.Reader.Close()
}

type faultyWriter struct {
	storage.Writer
	f *faulty
}

func (w *faultyWriter) Write(b []byte) (int, error) {
	if err := w.f.step("write"); err != nil {
		n, _ := w.Writer.Write(b[:len(b)/2])
		return n, err
	}
	return w.Writer.Write(b)
}

func (w *faultyWriter) Sync() error {
	if err := w.f.step("sync"); err != nil {
		return err
	}
	return w.Writer.Sync()
}

func (w *faultyWriter) Close() error {
	w.f.opened(-1)
	return w.Writer.Close()
}

// After a write that was refused, whatever the step at which it was, the next ones are taken; and what was acknowledged is
// there at the next start, after a loss of power too, though the one that failed is not sent again. -args -seeds 60 plays more.
func TestLogbookOpensAgainAfterRefusal(t *testing.T) {
	for _, kind := range []string{"write", "sync", "create", "meta", "remove", ""} {
		for seed := range uint64(*seeds) {
			synctest.Test(t, func(t *testing.T) { refusal(qt.New(t), kind, seed) }) // the store waits between its tries
		}
	}
}

// copied is what a disk holds at this moment.
func diskCopied(d *Disk) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := NewDisk()
	x.meta = d.meta
	for fd, f := range d.files {
		x.files[fd] = &file{data: slices.Clone(f.data), synced: f.synced}
	}
	return x
}

// refusal plays one history of writes on a disk that refuses steps of a kind now and then.
func refusal(c *qt.C, kind string, seed uint64) {
	draw := random.Source{Seed: seed*31 + uint64(len(kind))}
	n := func(n int) int { return int(draw.Next() * float64(n)) }
	d := NewDisk()
	f := &faulty{Storage: d.Handle(), kind: kind}
	book, _, _, _, err := store.Open(f)
	c.Assert(err, qt.IsNil)
	c.Assert(book.Write(nil, nil, true), qt.IsNil)
	want := map[string]uint64{}
	for version := uint64(1); version < 120; version++ {
		if n(10) == 0 {
			f.next(1 + n(6))
		}
		name := fmt.Sprint("r", n(30))
		i := item(name, version)
		if n(4) == 0 { // long enough that the store begins new files
			i.Body, _ = json.Marshal(map[string]string{"x": string(make([]byte, 30<<10))})
		}
		if n(3) == 0 {
			if err = book.Replace(nil, []config.Key{i.Key()}, nil, false); err == nil {
				delete(want, name)
			}
		} else if err = book.Write([]config.Item{i}, nil, false); err == nil {
			want[name] = version
		}
	}
	f.next(0)
	c.Assert(book.Write([]config.Item{item("last", 999)}, nil, false), qt.IsNil, qt.Commentf("%s %d", kind, seed))
	want["last"] = 999
	left := diskCopied(d) // as a loss of power at this moment leaves it
	left.PowerLoss(true)
	c.Assert(book.Close(), qt.IsNil)
	c.Check(f.opened(0) <= 2, qt.IsTrue, qt.Commentf("%s %d: %d files are open after %d refusals", kind, seed, f.opened(0), f.refused))
	if n(2) == 0 {
		left = d
	}
	again, items, _, whole, err := store.Open(left.Handle())
	c.Assert(err, qt.IsNil)
	have := map[string]uint64{}
	for _, i := range items {
		have[i.Name] = i.Version
	}
	c.Assert(maps.Equal(have, want), qt.IsTrue, qt.Commentf("%s %d, %d refused, whole %v: have %v, want %v", kind, seed, f.refused, whole, have, want))
	c.Assert(whole, qt.IsTrue)
	again.Close()
	time.Sleep(2 * time.Second) // the store's own goroutines end
}

// A disk refuses to write for a while and is well again; then a region is lost. Its process is needed for more than half:
// it has to take orders again without a restart, and keep them.
func TestDiskRefusedThenRegionLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := small
		l.Zones, l.Routers, l.Hosts = 6, 1, 1
		h := opened(c, l)
		change := func(version string, first int) int {
			r := look
			r.Version, r.Prefix = version, "/look-"+version+"/"
			status, _, _ := h.Order("configuration.modify", "", h.Configure(false, r), 6*time.Second, first)
			return status
		}
		ill := h.Masters[0]
		ill.Disk.set(5*time.Millisecond, true)
		c.Check(change("00000002", 1), qt.Equals, 200) // the other five have it
		time.Sleep(2 * time.Second)
		ill.Disk.set(5*time.Millisecond, false)
		time.Sleep(3 * time.Second)
		for _, m := range h.Masters[2:4] {
			m.Kill()
			h.Sea.Down(m.Boot.IP, true)
		}
		time.Sleep(4 * time.Second)
		c.Check(change("00000003", 4), qt.Equals, 200)
		for _, m := range h.Masters { // the ill one's own disk, and one more, hold it
			m.Kill()
			m.Disk.PowerLoss(true)
		}
		time.Sleep(time.Second)
		disk, items, cells, whole, err := store.Open(ill.Disk.Handle())
		c.Assert(err, qt.IsNil)
		disk.Close()
		var node consensus.HardState // the last change may still be its vote
		c.Assert(json.Unmarshal(cells["node"], &node), qt.IsNil)
		items = append(items, node.AcceptedValue...)
		c.Check(whole, qt.IsTrue)
		newest := uint64(0)
		for _, i := range items {
			if i.Kind == config.KindRoutes && i.Name == look.Name {
				newest = i.Version
			}
		}
		c.Check(newest, qt.Equals, uint64(3))
	})
}

// A logbook is closed in the middle of a write that waits for the disk: the write ends first, and virtual time goes on.
func TestLogbookClosedInTheMiddle(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			d := NewDisk()
			book, _, _, _, err := store.Open(d.Handle())
			c.Assert(err, qt.IsNil)
			if d.set(0, refuse); refuse {
				c.Assert(book.Write([]config.Item{item("r", 1)}, nil, false), qt.ErrorIs, errRefused)
				c.Assert(book.Write([]config.Item{item("r", 1)}, nil, false), qt.ErrorIs, errRefused)
			}
			d.set(125*time.Millisecond, false)
			done := make(chan error, 1)
			go func() { done <- book.Write([]config.Item{item("r", 2)}, nil, false) }()
			time.Sleep(50 * time.Millisecond)
			c.Check(book.Close(), qt.IsNil)
			c.Check(<-done, qt.IsNil)
			c.Check(book.Write(nil, nil, true), qt.ErrorIs, store.ErrClosed)
			c.Check(book.Reopened.Load() == 1, qt.Equals, refuse)
			time.Sleep(2 * time.Second) // the store's own goroutines end
		})
	}
}

// Its process is ended in the middle of a write that waits for the disk, and while the disk refuses: nothing waits for ever.
func TestKilledWhileTheDiskRefuses(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 125 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			l := small
			l.Zones, l.Routers, l.Hosts = 6, 1, 0
			h := opened(c, l)
			for n := range 6 {
				m := h.Masters[n]
				go h.Order("configuration.modify", "", h.Configure(false, Route{Name: "r", Prefix: fmt.Sprintf("/r%d/", n), Service: "desk",
					Version: config.FormatVersion(uint64(n + 2))}), 3*time.Second, (n+1)%6)
				m.Disk.set(delay, true)
				time.Sleep(time.Duration(n*70) * time.Millisecond)
				m.Disk.set(delay, n%2 == 0)
				time.Sleep(time.Duration(n*31) * time.Millisecond)
				m.Kill()
				time.Sleep(1300 * time.Millisecond)
				m.Disk.set(5*time.Millisecond, false)
				c.Assert(m.Start(), qt.IsNil)
				time.Sleep(3 * time.Second)
				c.Check(m.Standing(), qt.Equals, "in touch")
			}
		})
	}
}
