package store

import (
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// OpenDir opens a directory as the storage of a store. Only one process can have it open.
func OpenDir(path string) (storage.Storage, error) {
	s, err := storage.OpenFile(path, false)
	if err != nil {
		return nil, err
	}
	return &dirSyncStorage{Storage: s, syncDir: func() error { return syncDirectory(path) }}, nil
}

// dirSyncStorage makes the names of files durable. Until the directory itself is synced, a power loss may take a file that was synced,
// and bring back one that was removed. The database syncs the directory only with a manifest file: it writes synced data to a new journal
// before that, and a synced manifest file may name a table whose name is lost.
type dirSyncStorage struct {
	storage.Storage
	syncDir func() error // syncs the directory
}

var _ storage.Storage = (*dirSyncStorage)(nil)

// Create creates a file and makes its name durable before anything is written to it. The name of a manifest file is durable once the
// database has synced the manifest file.
func (s *dirSyncStorage) Create(fd storage.FileDesc) (storage.Writer, error) {
	w, err := s.Storage.Create(fd)
	if err != nil || fd.Type == storage.TypeManifest {
		return w, err
	}
	if err := s.syncDir(); err != nil {
		_ = w.Close() // nothing was written to it
		return nil, fmt.Errorf("%v: syncing its folder: %w", fd, err)
	}
	return w, nil
}

// Remove removes a file. The database tolerates it if one of its own files is back after a power loss; the damage marker must not be,
// as a disk with it counts as lost.
func (s *dirSyncStorage) Remove(fd storage.FileDesc) error {
	err := s.Storage.Remove(fd)
	if err != nil || fd != damageMarker {
		return err
	}
	return s.syncDir()
}

// syncDirectory syncs a directory. File systems that can't sync one say so by EINVAL.
func syncDirectory(path string) error {
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
