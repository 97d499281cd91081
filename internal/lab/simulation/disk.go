package simulation

import (
	"bytes"
	"errors"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// Disk is a disk in memory, as goleveldb writes to it. A loss of power keeps what was synced, and perhaps a part of what
// was written since.
type Disk struct {
	mu         sync.Mutex // guards all of it
	files      map[storage.FileDesc]*file
	meta       storage.FileDesc
	SyncDelay  time.Duration // of one sync
	FailWrites bool          // writes and syncs fail
	full       bool          // a write fails after its first half
	SyncCount  int
	resumeSync chan struct{} // closed when syncs go on; nil while they do
}

// file is a file's content; the first synced bytes survive a loss of power.
type file struct {
	data   []byte
	synced int
}

var (
	errWriteFailed = errors.New("the disk refuses to write")
	errNoSpace     = errors.New("no space left on the disk")
)

// NewDisk makes an empty disk.
func NewDisk() *Disk { return &Disk{files: map[storage.FileDesc]*file{}} }

// Wipe removes all files.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files, d.meta = map[storage.FileDesc]*file{}, storage.FileDesc{}
}

// SetFaults sets how long a sync lasts, and whether writes fail.
func (d *Disk) SetFaults(delay time.Duration, failWrites bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.SyncDelay, d.FailWrites = delay, failWrites
}

// setFull sets whether the disk is full.
func (d *Disk) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// setHanging has syncs wait, or resumes them.
func (d *Disk) setHanging(hanging bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case hanging && d.resumeSync == nil:
		d.resumeSync = make(chan struct{})
	case !hanging && d.resumeSync != nil:
		close(d.resumeSync)
		d.resumeSync = nil
	}
}

func (d *Disk) syncCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.SyncCount
}

// PowerLoss drops what was not synced, but half of it stays where torn is set.
func (d *Disk) PowerLoss(torn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for fd, f := range d.files {
		keep := f.synced
		if torn {
			keep += (len(f.data) - f.synced) / 2
		}
		f.data = f.data[:keep]
		if keep == 0 {
			delete(d.files, fd)
		}
	}
}

// Open returns the disk for one start of a process.
func (d *Disk) Open() storage.Storage { return d.open() }

func (d *Disk) open() *diskHandle { return &diskHandle{disk: d} }

// diskHandle is the disk as one start of a process sees it.
type diskHandle struct {
	disk   *Disk
	mu     sync.Mutex // guards closed; it may be taken while disk.mu is held
	closed bool       // the process was killed
}

var _ storage.Storage = (*diskHandle)(nil)

// nopLocker locks nothing: one process at a time has the disk.
type nopLocker struct{}

func (nopLocker) Unlock() {}

func (h *diskHandle) Lock() (storage.Locker, error) { return nopLocker{}, nil }
func (h *diskHandle) Log(string)                    {}

func (h *diskHandle) SetMeta(fd storage.FileDesc) error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	switch {
	case h.disk.FailWrites:
		return errWriteFailed
	case h.disk.full:
		return errNoSpace
	}
	h.disk.meta = fd
	return nil
}

func (h *diskHandle) GetMeta() (storage.FileDesc, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.disk.meta.Zero() {
		return storage.FileDesc{}, os.ErrNotExist
	}
	return h.disk.meta, nil
}

func (h *diskHandle) List(t storage.FileType) (all []storage.FileDesc, err error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	for fd := range h.disk.files {
		if fd.Type&t != 0 {
			all = append(all, fd)
		}
	}
	slices.SortFunc(all, func(a, b storage.FileDesc) int { return int(a.Num - b.Num) })
	return all, nil
}

// fileReader reads a file as it was when it was opened.
type fileReader struct{ *bytes.Reader }

func (fileReader) Close() error { return nil }

func (h *diskHandle) Open(fd storage.FileDesc) (storage.Reader, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	f := h.disk.files[fd]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return fileReader{bytes.NewReader(slices.Clone(f.data))}, nil
}

func (h *diskHandle) Create(fd storage.FileDesc) (storage.Writer, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.disk.FailWrites {
		return nil, errWriteFailed
	}
	f := &file{}
	h.disk.files[fd] = f
	return &fileWriter{handle: h, file: f}, nil
}

func (h *diskHandle) Remove(fd storage.FileDesc) error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.disk.files[fd] == nil {
		return os.ErrNotExist
	}
	delete(h.disk.files, fd)
	return nil
}

func (h *diskHandle) Rename(from, to storage.FileDesc) error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	f := h.disk.files[from]
	if f == nil {
		return os.ErrNotExist
	}
	h.disk.files[to] = f
	delete(h.disk.files, from)
	return nil
}

func (h *diskHandle) Close() error { return nil }

// invalidate has writes of a process that was killed fail, which may still be about to come.
func (h *diskHandle) invalidate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
}

func (h *diskHandle) invalid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

// fileWriter appends to a file.
type fileWriter struct {
	handle *diskHandle
	file   *file
}

func (w *fileWriter) Write(b []byte) (int, error) {
	d := w.handle.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.FailWrites || w.handle.invalid() {
		return 0, errWriteFailed
	}
	if d.full && len(b) > 0 {
		w.file.data = append(w.file.data, b[:len(b)/2]...)
		return len(b) / 2, errNoSpace
	}
	w.file.data = append(w.file.data, b...)
	return len(b), nil
}

func (w *fileWriter) Sync() error {
	d := w.handle.disk
	d.mu.Lock()
	n, wait := len(w.file.data), d.SyncDelay
	d.mu.Unlock()
	time.Sleep(wait)
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.resumeSync != nil {
		resume := d.resumeSync
		d.mu.Unlock()
		<-resume
		d.mu.Lock()
	}
	if d.FailWrites || w.handle.invalid() {
		return errWriteFailed
	}
	w.file.synced = max(w.file.synced, min(n, len(w.file.data)))
	d.SyncCount++
	return nil
}

func (w *fileWriter) Close() error { return nil }
