package store

import (
	"fmt"
	"io"
	"os"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// damageMarker is a file that exists from when corruption was found until the disk holds the complete state again. The database leaves
// existing files of this type alone.
var damageMarker = storage.FileDesc{Type: storage.TypeTemp, Num: 1 << 30}

const damageMarkerText = "spoilt\n"

// putDamageMarker writes and fsyncs the damage marker.
func putDamageMarker(backend storage.Storage) error {
	w, err := backend.Create(damageMarker)
	if err != nil {
		return fmt.Errorf("writing the damage marker: %w", err)
	}
	if _, err = io.WriteString(w, damageMarkerText); err == nil {
		err = w.Sync()
	}
	if closeErr := w.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("writing the damage marker: %w", err)
	}
	return nil
}

// removeDamageMarker removes the damage marker. It returns nil if there is none.
func removeDamageMarker(backend storage.Storage) error {
	if err := backend.Remove(damageMarker); err != nil && !os.IsNotExist(err) {
		return fmt.Errorf("removing the damage marker: %w", err)
	}
	return nil
}

// maxJournalBytes limits how much of a journal or manifest file is read. The database starts a new journal when its write buffer, of
// 1 MiB, is full, so that a journal exceeds that by one write at most.
const maxJournalBytes = 32 << 20

// findDamage reports whether a journal or a manifest file is corrupted, or the damage marker exists. The database itself skips corrupted
// records silently.
func findDamage(backend storage.Storage) (damaged bool, err error) {
	files, err := backend.List(storage.TypeJournal | storage.TypeManifest | storage.TypeTemp)
	if err != nil {
		return false, fmt.Errorf("listing files: %w", err)
	}
	for _, file := range files {
		if file.Type == storage.TypeTemp {
			damaged = damaged || file == damageMarker
			continue
		}
		raw, err := readLimited(backend, file)
		if err != nil {
			return false, fmt.Errorf("%v: %w", file, err)
		}
		if file.Type == storage.TypeManifest {
			damaged = damaged || versionLogDamaged(raw)
		} else {
			damaged = damaged || Damaged(raw)
		}
	}
	return damaged, nil
}

func readLimited(backend storage.Storage, file storage.FileDesc) ([]byte, error) {
	r, err := backend.Open(file)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return io.ReadAll(io.LimitReader(r, maxJournalBytes))
}
