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

// laid is a small disk: what it holds lies in the journal alone, in a table alone (it was opened again), in tables and the
// journal, or in files that the store began as the journal was full (the list of its files has grown by records of its own).
func laid(c *qt.C, how string) (d *Disk, holds string) {
	d = NewDisk()
	open := func() *store.Store {
		book, _, _, _, err := store.Open(d.Handle())
		c.Assert(err, qt.IsNil)
		return book
	}
	book := open()
	write := func(from, to, long int) {
		for n := from; n < to; n++ {
			i := item(fmt.Sprint("r", n%7), uint64(n))
			i.Body = []byte(`{"x":"` + strings.Repeat("x", long) + `"}`)
			c.Assert(book.Write([]config.Item{i}, map[string][]byte{"number": []byte(fmt.Sprint(n))}, n == 0), qt.IsNil)
		}
	}
	write(0, 12, 9)
	switch how {
	case "table":
		book.Close()
		book = open()
	case "table and journal":
		book.Close()
		book = open()
		write(12, 20, 9)
		book.Close()
		book = open()
		write(20, 24, 9)
	case "full":
		write(12, 48, 60<<10)
	}
	c.Assert(book.Close(), qt.IsNil)
	book, items, cells, whole, err := store.Open(diskCopied(d).Handle())
	c.Assert(err, qt.IsNil)
	c.Assert(whole, qt.IsTrue)
	book.Close()
	return d, fmt.Sprint(items, cells)
}

// Every byte of small disks is spoilt in turn, in up to four ways: an error, or the word that it is not all, or all of it. Never an
// earlier state that is said to be whole; also not at the start after that, nor where the disk refuses at any step of the
// repair. Only a last byte that turns zero reads as a write that did not come through.
func TestEveryByteSpoilt(t *testing.T) {
	said := map[string]int{}
	for _, how := range []string{"journal", "table", "table and journal", "full"} {
		c := qt.New(t)
		d, holds := laid(c, how)
		for fd, f := range d.files {
			for at := range f.data {
				if how == "full" && fd.Type != storage.TypeManifest && (at+500 < len(f.data) || at%16 > 0) { // of long files their end, by samples
					continue
				}
				ways := map[storage.FileType][]byte{storage.TypeTable: {0x5a}, storage.TypeJournal: {0x5a, f.data[at]},
					storage.TypeManifest: {0x5a, f.data[at], 0x01, 0x80}}[fd.Type]
				for _, x := range ways {
					if x == 0 || x == f.data[at] && fd.Type == storage.TypeJournal && at == len(f.data)-1 {
						continue
					}
					spoilt := diskCopied(d)
					spoilt.files[fd].data[at] ^= x
					refusing := &faulty{Storage: diskCopied(spoilt).Handle(), refuse: at / 4 % 9}
					starts := []storage.Storage{spoilt.Handle()}
					if x == 0x5a && at%4 == 0 {
						starts = append(starts, spoilt.Handle(), refusing, refusing)
					}
					for start, disk := range starts {
						book, items, cells, whole, err := store.Open(disk)
						if start == 2 {
							refusing.next(0)
						}
						word := "not whole"
						switch {
						case err != nil:
							word = "error"
						case whole && fmt.Sprint(items, cells) == holds:
							word = "unharmed"
						case whole:
							t.Fatalf("%s: %v byte %d of %d ^ %x, start %d: a part is said to be whole", how, fd, at, len(f.data), x, start)
						}
						if start == 0 {
							said[word]++
						}
						if book != nil {
							book.Close()
						}
					}
				}
			}
		}
	}
	t.Log(said)
	qt.Check(t, said["not whole"] > 4000, qt.IsTrue)
	qt.Check(t, said["error"], qt.Equals, 0)
}

// What was repaired stays so at later starts, until a write says that the disk holds all again.
func TestRepairedUntilWhole(t *testing.T) {
	c := qt.New(t)
	d, _ := laid(c, "journal")
	for fd, f := range d.files {
		if fd.Type == storage.TypeJournal {
			f.data[len(f.data)/2] ^= 0x10
		}
	}
	for _, says := range []bool{false, false, true} {
		book, _, _, whole, err := store.Open(d.Handle())
		c.Assert(err, qt.IsNil)
		c.Check(whole, qt.IsFalse)
		c.Check(book.Repaired, qt.IsTrue) // or a first start that is not over would be taken for intact
		c.Assert(book.Write([]config.Item{item("r", 9)}, nil, says), qt.IsNil)
		c.Assert(book.Close(), qt.IsNil)
	}
	book, _, _, whole, err := store.Open(d.Handle())
	c.Assert(err, qt.IsNil)
	c.Check(whole, qt.IsTrue)
	c.Check(book.Repaired, qt.IsFalse)
}

// An image of the disk from before is consistent, and the disk can't tell that it is old: it gives the number and the id that
// were written then, by which the others find it out.
func TestImageFromBefore(t *testing.T) {
	c := qt.New(t)
	d := NewDisk()
	book, _, _, _, err := store.Open(d.Handle())
	c.Assert(err, qt.IsNil)
	var image *Disk
	for n := range 10 {
		c.Assert(book.Write([]config.Item{item("r", uint64(n))}, map[string][]byte{"number": []byte(fmt.Sprint(n)), "id": []byte("a")}, n == 0), qt.IsNil)
		if n == 4 {
			image = diskCopied(d)
		}
	}
	c.Assert(book.Close(), qt.IsNil)
	for disk, number := range map[*Disk]string{image: "4", d: "9"} {
		book, items, cells, whole, err := store.Open(disk.Handle())
		c.Assert(err, qt.IsNil)
		c.Check(whole, qt.IsTrue)
		c.Check(items, qt.HasLen, 1)
		c.Check(string(cells["number"])+string(cells["id"]), qt.Equals, number+"a")
		c.Assert(book.Close(), qt.IsNil)
	}
}
