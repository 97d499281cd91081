package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"portflow/internal/cluster/config"
	"portflow/internal/control/store"
)

func item(name string, version uint64) config.Item {
	body, _ := json.Marshal(map[string]string{"name": name, "path-prefix": "/" + name + "/"})
	return config.Item{Kind: config.KindRoutes, Name: name, Version: version, Body: body}
}

// What was synced is there after a loss of power; what was not is there whole or not at all.
func TestLogbookAfterPowerLoss(t *testing.T) {
	for _, torn := range []bool{false, true} {
		c := qt.New(t)
		d := NewDisk()
		book, items, _, whole, err := store.Open(d.Handle())
		c.Assert(err, qt.IsNil)
		c.Check(items, qt.HasLen, 0)
		c.Check(whole, qt.IsFalse)
		for n := range 200 {
			c.Assert(book.Write([]config.Item{item(fmt.Sprint("r", n), 1)}, map[string][]byte{"desk#1": []byte("cell")}, n == 0), qt.IsNil)
		}
		d.PowerLoss(torn)
		_, items, cells, whole, err := store.Open(d.Handle())
		c.Assert(err, qt.IsNil)
		c.Check(items, qt.HasLen, 200)
		c.Check(whole, qt.IsTrue)
		c.Check(string(cells["desk#1"]), qt.Equals, "cell")
	}
}

// A disk that refuses for a while is written to again once it doesn't: its process goes on, and was not restarted.
func TestLogbookAfterRefusal(t *testing.T) {
	c := qt.New(t)
	d := NewDisk()
	book, _, _, _, err := store.Open(d.Handle())
	c.Assert(err, qt.IsNil)
	c.Assert(book.Write([]config.Item{item("r", 1)}, nil, true), qt.IsNil)
	d.set(0, true)
	c.Assert(book.Write([]config.Item{item("r", 2)}, nil, false), qt.IsNotNil)
	d.set(0, false)
	c.Check(book.Write([]config.Item{item("r", 3)}, nil, false), qt.IsNil)
	_, items, _, _, err := store.Open(d.Handle())
	c.Assert(err, qt.IsNil)
	c.Check(newest(items), qt.Equals, uint64(3))
}

// A disk with spoilt bytes is never taken for an empty or an earlier one: an error at the start, or what can still be read
// with the word that it is not all; the others make that good before this process counts. Only what spoils the last record,
// as a loss of power would, reads as a write that didn't come through.
func TestLogbookSpoilt(t *testing.T) {
	said := map[string]int{}
	for at := range 120 {
		d := NewDisk()
		book, _, _, _, err := store.Open(d.Handle())
		qt.Assert(t, err, qt.IsNil)
		for n := range 900 { // three blocks of the journal
			qt.Assert(t, book.Write([]config.Item{item(fmt.Sprint("r", n%50), uint64(n))}, nil, n == 0), qt.IsNil)
		}
		book.Close()
		for fd, f := range d.files {
			if (fd.Type == storage.TypeManifest) == (at%3 == 0) && len(f.data) > 0 {
				f.data[at*len(f.data)/120] ^= 0x5a
			}
		}
		again, items, _, whole, err := store.Open(d.Handle())
		switch {
		case err != nil:
			said["error"]++
		case whole && len(items) == 50 && newest(items) == 899:
			said["unharmed"]++ // the byte was in nothing that is read
		case whole:
			t.Errorf("byte %d: %d of 50 items, the newest %d, and said to be whole", at, len(items), newest(items))
		default:
			said["not whole"]++
		}
		if again != nil {
			again.Close()
		}
	}
	t.Log(said)
}

func newest(items []config.Item) (last uint64) {
	for _, i := range items {
		last = max(last, i.Version)
	}
	return last
}

// A journal that is cut at any byte, as by a loss of power, is not spoilt; one with a bad byte before its last record is.
func TestTornIsNotSpoilt(t *testing.T) {
	c := qt.New(t)
	d := NewDisk()
	book, _, _, _, err := store.Open(d.Handle())
	c.Assert(err, qt.IsNil)
	for n := range 8 {
		i := item(fmt.Sprint("r", n), 1)
		if n == 3 {
			i.Body = []byte(`"` + strings.Repeat("x", 70<<10) + `"`) // a record of several blocks
		}
		c.Assert(book.Write([]config.Item{i}, nil, false), qt.IsNil)
	}
	var raw []byte
	for fd, f := range d.files {
		if fd.Type == storage.TypeJournal {
			raw = f.data
		}
	}
	c.Assert(len(raw) > 70<<10, qt.IsTrue)
	c.Check(store.Damaged(raw), qt.IsFalse)
	last := bytes.LastIndex(raw, []byte("i/routes/r7")) - 40 // in the record before the last, or its end
	for at := range raw {
		if at%97 != 0 && at < len(raw)-500 {
			continue // the long record by samples
		}
		c.Assert(store.Damaged(raw[:at]), qt.IsFalse, qt.Commentf("cut at %d", at))
		bad := bytes.Clone(raw)
		if bad[at] ^= 0x5a; at < last {
			c.Assert(store.Damaged(bad), qt.IsTrue, qt.Commentf("byte %d of %d", at, len(raw)))
		}
		zeros := append(bytes.Clone(raw[:at]), make([]byte, len(raw)-at)...) // written long, and not filled
		c.Assert(store.Damaged(zeros), qt.IsFalse, qt.Commentf("zeros from %d", at))
	}
}

// The disk holds what stands and little more, however many changes there were; old drops go.
func TestLogbookStaysSmall(t *testing.T) {
	c := qt.New(t)
	d := NewDisk()
	book, _, _, _, err := store.Open(d.Handle())
	c.Assert(err, qt.IsNil)
	for n := range 300 {
		var all []config.Item
		for r := range 400 {
			all = append(all, item(fmt.Sprint("r", r), uint64(n+1)))
		}
		c.Assert(book.Write(all, nil, false), qt.IsNil)
	}
	book.Close()
	size := 0
	for _, f := range d.files {
		size += len(f.data)
	}
	c.Check(size < 8<<20, qt.IsTrue, qt.Commentf("%d bytes for 400 items after 120,000 changes", size))

	set := config.NewSet()
	for n := range config.MaxDeleted * 2 {
		set.Merge(config.Item{Kind: config.KindRoutes, Name: fmt.Sprint("d", n), Version: uint64(n + 1), Deleted: true})
	}
	c.Check(set.Len() <= config.MaxDeleted, qt.IsTrue)
	other := config.NewSet()
	for n := config.MaxDeleted*2 - 1; n >= 0; n-- {
		other.Merge(config.Item{Kind: config.KindRoutes, Name: fmt.Sprint("d", n), Version: uint64(n + 1), Deleted: true})
	}
	newest := config.Key{Kind: config.KindRoutes, Name: fmt.Sprint("d", config.MaxDeleted*2-1)}
	_, a := set.Lookup(newest)
	_, b := other.Lookup(newest)
	c.Check(a && b, qt.IsTrue)
}

// After a cut the bytes to the one that was cut off follow what changed, and not how much there is; and an order costs one
// sync on each disk, and its own bytes to each.
func TestRepairFollowsWhatChanged(t *testing.T) {
	const orders = 5
	var cost, order []int64
	for _, routes := range []int{10, 100, 1000} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			l := small
			l.Zones, l.Routers, l.Hosts = 6, 1, 0
			h := New(l)
			c.Assert(h.Start(), qt.IsNil)
			defer h.Stop()
			time.Sleep(2 * time.Second)
			var all []Route
			for n := range routes {
				all = append(all, Route{Name: fmt.Sprint("r", n), Prefix: fmt.Sprintf("/r%d/", n), Service: "desk", Version: "00000001", Safe: true})
			}
			status, _, answer := h.Order("configuration.modify", "", h.Configure(true, all...), 6*time.Second, 0)
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", answer))
			time.Sleep(5 * time.Second)
			syncs := 0
			for _, m := range h.Masters {
				syncs -= m.Disk.syncs()
			}
			before, _ := h.Sea.across()
			time.Sleep(orders * 2400 * time.Millisecond)
			calm, _ := h.Sea.across()
			for n := range orders { // gossip by chance and words by turns are as much as one order, and not as five
				all[3].Version = fmt.Sprintf("%08d", n+2)
				status, _, _ = h.Order("configuration.modify", "", h.Configure(false, all[3]), 2400*time.Millisecond, 1)
				c.Assert(status, qt.Equals, 200)
				time.Sleep(2400 * time.Millisecond)
			}
			after, _ := h.Sea.across()
			order = append(order, (after-calm-(calm-before))/orders)
			for _, m := range h.Masters {
				syncs += m.Disk.syncs()
			}
			c.Check(syncs, qt.Equals, orders*len(h.Masters))

			cut := h.Masters[5]
			for _, m := range h.Masters[:5] {
				h.Sea.Cut(m.Boot.IP, cut.Boot.IP, true)
			}
			time.Sleep(4 * time.Second)
			all[5].Version = "00000003"
			status, _, _ = h.Order("configuration.modify", "", h.Configure(false, all[5]), 3*time.Second, 1)
			c.Assert(status, qt.Equals, 200)
			time.Sleep(time.Second)
			before = h.Sea.To(cut.Boot.IP)
			for _, m := range h.Masters[:5] {
				h.Sea.Cut(m.Boot.IP, cut.Boot.IP, false)
			}
			time.Sleep(5 * time.Second)
			c.Check(cut.Standing(), qt.Equals, "in touch")
			_, _, answer = h.Order("configuration.read", "", nil, time.Second, 5)
			c.Check(string(answer), qt.Contains, `"00000003"`)
			cost = append(cost, h.Sea.To(cut.Boot.IP)-before)
		})
	}
	t.Log("bytes to the one that was cut off, at 10, 100 and 1000 routes:", cost)
	t.Log("bytes between regions for an order of one route, the calm's taken off:", order)
	qt.Check(t, max(order[0], order[1], order[2]) < 6000, qt.IsTrue, qt.Commentf("%v", order))
	qt.Check(t, cost[2] < 3*cost[0], qt.IsTrue, qt.Commentf("%v", cost))
}

// A disk without space refuses what it can't keep, and half a record stays behind. Once there is space the next write is
// taken without a restart, and what was taken is there after a loss of power.
func TestLogbookOnFullDisk(t *testing.T) {
	for _, torn := range []bool{false, true} {
		c := qt.New(t)
		d := NewDisk()
		book, _, _, _, err := store.Open(d.Handle())
		c.Assert(err, qt.IsNil)
		c.Assert(book.Write([]config.Item{item("r", 1)}, nil, true), qt.IsNil)
		for version := uint64(2); version < 60; version += 2 {
			d.fill(true)
			c.Assert(book.Write([]config.Item{item("r", version)}, nil, false), qt.IsNotNil)
			d.fill(false)
			c.Assert(book.Write([]config.Item{item("r", version+1)}, nil, false), qt.IsNil)
		}
		d.fill(true)
		c.Assert(book.Write([]config.Item{item("r", 90)}, nil, false), qt.IsNotNil)
		d.PowerLoss(torn)
		d.fill(false)
		_, items, _, whole, err := store.Open(d.Handle())
		c.Assert(err, qt.IsNil)
		c.Check(newest(items), qt.Equals, uint64(59))
		c.Check(whole, qt.IsTrue)
	}
}
