package store

import (
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// OpenDir opens a directory as the backend of a Store, and creates it if it does not exist. Only one process at a time can have it open.
func OpenDir(path string) (storage.Storage, error) {
	s, err := storage.OpenFile(path, false)
	if err != nil {
		return nil, err
	}
	return &dirSyncStorage{Storage: s, syncDir: func() error { return syncDirectory(path) }}, nil
}

// dirSyncStorage makes directory entries durable. Until the directory itself is fsynced, a power loss may lose a file whose contents
// were fsynced, or bring back one that was removed. The database fsyncs the directory only after a manifest file. That is too late for a
// new journal, which may already have fsynced records, and for a new table, to which the fsynced manifest file already refers.
type dirSyncStorage struct {
	storage.Storage
	syncDir func() error // fsyncs the directory
}

var _ storage.Storage = (*dirSyncStorage)(nil)

// Create creates a file and fsyncs the directory before anything is written to the file. For a manifest file the database itself fsyncs
// the directory, with each fsync of the file.
func (s *dirSyncStorage) Create(fd storage.FileDesc) (storage.Writer, error) {
	w, err := s.Storage.Create(fd)
	if err != nil || fd.Type == storage.TypeManifest {
		return w, err
	}
	if err := s.syncDir(); err != nil {
		_ = w.Close() // nothing was written to it
		return nil, fmt.Errorf("%v: syncing the directory: %w", fd, err)
	}
	return w, nil
}

// Remove removes a file. The database tolerates that one of its own files reappears after a power loss, so only the removal of the damage
// marker is fsynced: were it to reappear, a disk that has caught up would count as incomplete again.
func (s *dirSyncStorage) Remove(fd storage.FileDesc) error {
	err := s.Storage.Remove(fd)
	if err != nil || fd != damageMarker {
		return err
	}
	return s.syncDir()
}

// syncDirectory fsyncs a directory. It ignores EINVAL, which file systems return that can't fsync directories.
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
