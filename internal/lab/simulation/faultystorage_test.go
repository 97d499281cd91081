package simulation

import (
	"slices"
	"sync"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// faultyStorage is a disk on which the next failuresLeft operations of one kind, or of any kind, fail.
type faultyStorage struct {
	storage.Storage
	mu           sync.Mutex // guards the fields below; the store compacts in the background
	failuresLeft int
	kind         string // kind of the operations that fail, "" for all
	failures     int
	openFiles    int // number of open files
}

func (f *faultyStorage) step(kind string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failuresLeft == 0 || f.kind != "" && f.kind != kind {
		return nil
	}
	f.failuresLeft--
	f.failures++
	return errWriteFailed
}

func (f *faultyStorage) opened(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openFiles += n
	return f.openFiles
}

func (f *faultyStorage) failNext(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failuresLeft = n
}

func (f *faultyStorage) Create(fd storage.FileDesc) (storage.Writer, error) {
	if err := f.step("create"); err != nil {
		return nil, err
	}
	w, err := f.Storage.Create(fd)
	if err == nil {
		f.opened(1)
	}
	return &faultyWriter{w, f}, err
}

func (f *faultyStorage) Open(fd storage.FileDesc) (storage.Reader, error) {
	r, err := f.Storage.Open(fd)
	if err == nil {
		f.opened(1)
		r = &faultyReader{r, f}
	}
	return r, err
}

func (f *faultyStorage) SetMeta(fd storage.FileDesc) error {
	if err := f.step("meta"); err != nil {
		return err
	}
	return f.Storage.SetMeta(fd)
}

func (f *faultyStorage) Remove(fd storage.FileDesc) error {
	if err := f.step("remove"); err != nil {
		return err
	}
	return f.Storage.Remove(fd)
}

type faultyReader struct {
	storage.Reader
	f *faultyStorage
}

func (r *faultyReader) Close() error {
	r.f.opened(-1)
	return r.Reader.Close()
}

type faultyWriter struct {
	storage.Writer
	f *faultyStorage
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

// copyDisk returns a copy of a disk's current content, without its faults and delays.
func copyDisk(d *Disk) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := NewDisk()
	x.meta = d.meta
	for fd, f := range d.files {
		x.files[fd] = &file{data: slices.Clone(f.data), synced: f.synced}
	}
	return x
}
