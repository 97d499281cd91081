package store

import (
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// OpenDir is the logbook's storage in a folder.
func OpenDir(path string) (storage.Storage, error) {
	s, err := storage.OpenFile(path, false)
	if err != nil {
		return nil, err
	}
	return &namedStorage{Storage: s, syncNames: func() error { return syncFolder(path) }}, nil
}

// namedStorage makes the names of files durable. A file that was synced may still be missing after a loss of power, and one
// that was removed may be back, until the folder itself is synced. The store syncs the folder only with its list of tables:
// a journal that it has just begun takes synced writes before that, and a synced list may name a table whose name is lost.
type namedStorage struct {
	storage.Storage
	syncNames func() error // syncs the folder
}

// Create makes a file whose name is durable before anything is written to it. Those of lists of tables are durable once the
// store has synced the list.
func (s *namedStorage) Create(fd storage.FileDesc) (storage.Writer, error) {
	w, err := s.Storage.Create(fd)
	if err != nil || fd.Type == storage.TypeManifest {
		return w, err
	}
	if err := s.syncNames(); err != nil {
		w.Close()
		return nil, fmt.Errorf("%v: syncing its folder: %w", fd, err)
	}
	return w, nil
}

// Remove removes a file. The store bears that one of its own is back; the mark must not be, as a disk with it counts as lost.
func (s *namedStorage) Remove(fd storage.FileDesc) error {
	err := s.Storage.Remove(fd)
	if err != nil || fd != damageMarker {
		return err
	}
	return s.syncNames()
}

// syncFolder syncs a folder; file systems that can't do that say so by EINVAL.
func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Sync(); err != nil && !errors.Is(err, syscall.EINVAL) {
		return err
	}
	return nil
}
