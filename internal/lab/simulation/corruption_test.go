package simulation

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"portflow/internal/cluster/config"
	"portflow/internal/control/store"
)

// writeTestDisk returns a small disk and a printout of its content, which is in the journal alone, in a table alone (after reopening
// the store), in tables and the journal, or in files that the store created because the journal was full (its list of files then has
// further records).
func writeTestDisk(c *qt.C, layout string) (d *Disk, printed string) {
	d = NewDisk()
	open := func() *store.Store {
		st, _, _, _, err := store.Open(d.Open())
		c.Assert(err, qt.IsNil)
		return st
	}
	st := open()
	write := func(from, to, bodySize int) {
		for n := from; n < to; n++ {
			i := testItem(fmt.Sprint("r", n%7), uint64(n))
			i.Body = []byte(`{"x":"` + strings.Repeat("x", bodySize) + `"}`)
			c.Assert(st.Write([]config.Item{i}, map[string][]byte{"number": []byte(fmt.Sprint(n))}, n == 0), qt.IsNil)
		}
	}
	write(0, 12, 9)
	switch layout {
	case "table":
		st.Close()
		st = open()
	case "table and journal":
		st.Close()
		st = open()
		write(12, 20, 9)
		st.Close()
		st = open()
		write(20, 24, 9)
	case "full":
		write(12, 48, 60<<10)
	}
	c.Assert(st.Close(), qt.IsNil)
	st, items, cells, complete, err := store.Open(copyDisk(d).Open())
	c.Assert(err, qt.IsNil)
	c.Assert(complete, qt.IsTrue)
	st.Close()
	return d, fmt.Sprint(items, cells)
}

// Every byte of small disks is corrupted in turn, in up to four ways. The store must return an error, report that its content is
// incomplete, or return all of it, but never report a partial or earlier state as complete, neither at the next start nor if the disk
// fails during the repair. The one exception is a journal whose last byte becomes zero, which reads as an unfinished write.
func TestEveryByteCorrupted(t *testing.T) {
	outcomes := map[string]int{}
	for _, layout := range []string{"journal", "table", "table and journal", "full"} {
		c := qt.New(t)
		d, want := writeTestDisk(c, layout)
		for fd, f := range d.files {
			for at := range f.data {
				if layout == "full" && fd.Type != storage.TypeManifest && (at+500 < len(f.data) || at%16 > 0) { // of long files only the end and a sample
					continue
				}
				ways := map[storage.FileType][]byte{storage.TypeTable: {0x5a}, storage.TypeJournal: {0x5a, f.data[at]},
					storage.TypeManifest: {0x5a, f.data[at], 0x01, 0x80}}[fd.Type]
				for _, x := range ways {
					if x == 0 || x == f.data[at] && fd.Type == storage.TypeJournal && at == len(f.data)-1 {
						continue
					}
					corrupted := copyDisk(d)
					corrupted.files[fd].data[at] ^= x
					refusing := &faultyStorage{Storage: copyDisk(corrupted).Open(), failuresLeft: at / 4 % 9}
					starts := []storage.Storage{corrupted.Open()}
					if x == 0x5a && at%4 == 0 {
						starts = append(starts, corrupted.Open(), refusing, refusing)
					}
					for start, disk := range starts {
						st, items, cells, complete, err := store.Open(disk)
						if start == 2 {
							refusing.failNext(0)
						}
						outcome := "not complete"
						switch {
						case err != nil:
							outcome = "error"
						case complete && fmt.Sprint(items, cells) == want:
							outcome = "unharmed"
						case complete:
							t.Fatalf("%s: %v byte %d of %d ^ %x, start %d: partial content reported as complete", layout, fd, at, len(f.data), x, start)
						}
						if start == 0 {
							outcomes[outcome]++
						}
						if st != nil {
							st.Close()
						}
					}
				}
			}
		}
	}
	t.Log(outcomes)
	qt.Check(t, outcomes["not complete"] > 4000, qt.IsTrue)
	qt.Check(t, outcomes["error"], qt.Equals, 0)
}

// A repaired store is reported as incomplete at later starts too, until a write marks its content as complete.
func TestRepairUntilComplete(t *testing.T) {
	c := qt.New(t)
	d, _ := writeTestDisk(c, "journal")
	for fd, f := range d.files {
		if fd.Type == storage.TypeJournal {
			f.data[len(f.data)/2] ^= 0x10
		}
	}
	for _, markComplete := range []bool{false, false, true} {
		st, _, _, complete, err := store.Open(d.Open())
		c.Assert(err, qt.IsNil)
		c.Check(complete, qt.IsFalse)
		c.Check(st.Repaired, qt.IsTrue) // otherwise the disk would pass for an intact one whose first start isn't finished
		c.Assert(st.Write([]config.Item{testItem("r", 9)}, nil, markComplete), qt.IsNil)
		c.Assert(st.Close(), qt.IsNil)
	}
	st, _, _, complete, err := store.Open(d.Open())
	c.Assert(err, qt.IsNil)
	c.Check(complete, qt.IsTrue)
	c.Check(st.Repaired, qt.IsFalse)
}

// An old image of a disk is consistent, so the store can't detect that it is old. It returns the index and ID of that time, by which
// the other members detect it.
func TestOldDiskImage(t *testing.T) {
	c := qt.New(t)
	d := NewDisk()
	st, _, _, _, err := store.Open(d.Open())
	c.Assert(err, qt.IsNil)
	var image *Disk
	for n := range 10 {
		c.Assert(st.Write([]config.Item{testItem("r", uint64(n))}, map[string][]byte{"number": []byte(fmt.Sprint(n)), "id": []byte("a")}, n == 0), qt.IsNil)
		if n == 4 {
			image = copyDisk(d)
		}
	}
	c.Assert(st.Close(), qt.IsNil)
	for disk, number := range map[*Disk]string{image: "4", d: "9"} {
		st, items, cells, complete, err := store.Open(disk.Open())
		c.Assert(err, qt.IsNil)
		c.Check(complete, qt.IsTrue)
		c.Check(items, qt.HasLen, 1)
		c.Check(string(cells["number"])+string(cells["id"]), qt.Equals, number+"a")
		c.Assert(st.Close(), qt.IsNil)
	}
}
