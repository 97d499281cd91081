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

// Disk is an in-memory disk for goleveldb. A power loss keeps all synced data, and optionally a part of the data written since the
// last sync.
type Disk struct {
	mu         sync.Mutex // guards all fields
	files      map[storage.FileDesc]*file
	meta       storage.FileDesc
	SyncDelay  time.Duration // duration of a sync
	FailWrites bool          // writes and syncs fail
	full       bool          // a write stores its first half and fails; SetMeta fails
	SyncCount  int           // number of successful syncs
	resumeSync chan struct{} // closed when hanging syncs resume; nil while syncs don't hang
}

// file is the content of a file. The first synced bytes survive a power loss.
type file struct {
	data   []byte
	synced int
}

var (
	errWriteFailed = errors.New("simulated disk: write failed")
	errNoSpace     = errors.New("simulated disk: no space left on device")
)

// NewDisk returns an empty disk without faults.
func NewDisk() *Disk { return &Disk{files: map[storage.FileDesc]*file{}} }

// Wipe removes all files and the metadata.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files, d.meta = map[storage.FileDesc]*file{}, storage.FileDesc{}
}

// SetFaults sets the duration of a sync and whether writes and syncs fail.
func (d *Disk) SetFaults(delay time.Duration, failWrites bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.SyncDelay, d.FailWrites = delay, failWrites
}

func (d *Disk) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// setHanging blocks syncs, or resumes them.
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

// PowerLoss drops all data that is not synced. If torn is set, the first half of each file's unsynced data is kept. Files without
// remaining data are removed.
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

// Open returns the storage for one run of a process.
func (d *Disk) Open() storage.Storage { return d.open() }

func (d *Disk) open() *diskHandle { return &diskHandle{disk: d} }

// diskHandle gives one run of a process access to the disk.
type diskHandle struct {
	disk   *Disk
	mu     sync.Mutex // guards closed; may be locked while disk.mu is held
	closed bool       // the process was killed
}

var _ storage.Storage = (*diskHandle)(nil)

// nopLocker locks nothing, as only one process at a time uses the disk.
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

// fileReader reads the content that a file had when it was opened.
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

// invalidate makes all further writes and syncs through the handle fail. Goroutines of a killed process may still attempt them.
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
