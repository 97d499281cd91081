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
	mu     sync.Mutex
	files  map[storage.FileDesc]*file
	meta   storage.FileDesc
	Delay  time.Duration // of a sync
	Refuse bool          // writes and syncs fail
	full   bool          // takes no more bytes: of a write the first half stays
	Syncs  int
	hangs  chan struct{} // closed when syncs go on; nil while they do
}

type file struct {
	data   []byte
	synced int
}

var (
	errRefused = errors.New("the disk refuses to write")
	errFull    = errors.New("no space left on the disk")
)

// NewDisk makes an empty one.
func NewDisk() *Disk { return &Disk{files: map[storage.FileDesc]*file{}} }

// Wipe loses all.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files, d.meta = map[storage.FileDesc]*file{}, storage.FileDesc{}
}

// set makes syncs take so long, and has it refuse to write or not.
func (d *Disk) set(delay time.Duration, refuse bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Delay, d.Refuse = delay, refuse
}

// fill has it take no more bytes, or again.
func (d *Disk) fill(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// hang has syncs wait, or go on.
func (d *Disk) hang(hangs bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case hangs && d.hangs == nil:
		d.hangs = make(chan struct{})
	case !hangs && d.hangs != nil:
		close(d.hangs)
		d.hangs = nil
	}
}

func (d *Disk) syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Syncs
}

// PowerLoss keeps what was synced; torn says that half of what was written since stays too.
func (d *Disk) PowerLoss(torn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for fd, f := range d.files {
		keep := f.synced
		if torn {
			keep += (len(f.data) - f.synced) / 2
		}
		if f.data = f.data[:keep]; keep == 0 {
			delete(d.files, fd)
		}
	}
}

// Handle is the disk as one life of a process has it.
func (d *Disk) Handle() storage.Storage { return &handle{disk: d} }

type handle struct {
	disk *Disk
	mu   sync.Mutex
	over bool
}

type nolock struct{}

func (nolock) Unlock() {}

func (h *handle) Lock() (storage.Locker, error) { return nolock{}, nil }
func (h *handle) Log(string)                    {}

func (h *handle) SetMeta(fd storage.FileDesc) error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	switch {
	case h.disk.Refuse:
		return errRefused
	case h.disk.full:
		return errFull
	}
	h.disk.meta = fd
	return nil
}

func (h *handle) GetMeta() (storage.FileDesc, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.disk.meta.Zero() {
		return storage.FileDesc{}, os.ErrNotExist
	}
	return h.disk.meta, nil
}

func (h *handle) List(t storage.FileType) (all []storage.FileDesc, err error) {
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

type reader struct{ *bytes.Reader }

func (reader) Close() error { return nil }

func (h *handle) Open(fd storage.FileDesc) (storage.Reader, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	f := h.disk.files[fd]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return reader{bytes.NewReader(slices.Clone(f.data))}, nil
}

func (h *handle) Create(fd storage.FileDesc) (storage.Writer, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.disk.Refuse {
		return nil, errRefused
	}
	f := &file{}
	h.disk.files[fd] = f
	return &writer{handle: h, file: f}, nil
}

func (h *handle) Remove(fd storage.FileDesc) error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.disk.files[fd] == nil {
		return os.ErrNotExist
	}
	delete(h.disk.files, fd)
	return nil
}

func (h *handle) Rename(from, to storage.FileDesc) error {
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

func (h *handle) Close() error { return nil }

// end keeps what a process that was killed may still be about to write from the disk.
func (h *handle) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.over = true
}

func (h *handle) dead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.over
}

type writer struct {
	handle *handle
	file   *file
}

func (w *writer) Write(b []byte) (int, error) {
	d := w.handle.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Refuse || w.handle.dead() {
		return 0, errRefused
	}
	if d.full && len(b) > 0 {
		w.file.data = append(w.file.data, b[:len(b)/2]...)
		return len(b) / 2, errFull
	}
	w.file.data = append(w.file.data, b...)
	return len(b), nil
}

func (w *writer) Sync() error {
	d := w.handle.disk
	d.mu.Lock()
	n, wait := len(w.file.data), d.Delay
	d.mu.Unlock()
	time.Sleep(wait)
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.hangs != nil {
		hangs := d.hangs
		d.mu.Unlock()
		<-hangs
		d.mu.Lock()
	}
	if d.Refuse || w.handle.dead() {
		return errRefused
	}
	w.file.synced = max(w.file.synced, min(n, len(w.file.data)))
	d.Syncs++
	return nil
}

func (w *writer) Close() error { return nil }
