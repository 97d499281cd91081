package store

import (
	"fmt"
	"io"
	"os"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// damageMarker is a file that says that the disk was found damaged and has not held the complete state since. The database leaves
// files of this type alone.
var damageMarker = storage.FileDesc{Type: storage.TypeTemp, Num: 1 << 30}

// damageMarkerText is what the file holds.
const damageMarkerText = "spoilt\n"

// putDamageMarker writes the marker, synced.
func putDamageMarker(backend storage.Storage) error {
	w, err := backend.Create(damageMarker)
	if err != nil {
		return fmt.Errorf("marking: %w", err)
	}
	if _, err = io.WriteString(w, damageMarkerText); err == nil {
		err = w.Sync()
	}
	if closeErr := w.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("marking: %w", err)
	}
	return nil
}

// removeDamageMarker removes the marker; it is no error if there is none.
func removeDamageMarker(backend storage.Storage) error {
	if err := backend.Remove(damageMarker); err != nil && !os.IsNotExist(err) {
		return fmt.Errorf("removing the damage marker: %w", err)
	}
	return nil
}

// maxJournalBytes bounds what is read of a journal: the database begins another one at a megabyte and the write that exceeds it.
const maxJournalBytes = 32 << 20

// findDamage looks for damaged journals and any manifest file, which the database would pass over silently, and for the marker.
func findDamage(backend storage.Storage) (damaged bool, err error) {
	files, err := backend.List(storage.TypeJournal | storage.TypeManifest | storage.TypeTemp)
	if err != nil {
		return false, fmt.Errorf("listing: %w", err)
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
			damaged = damaged || manifestDamaged(raw)
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
