// Package logbook keeps the items on disk, by goleveldb, synced before anybody is told that they last.
package logbook

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync/atomic"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"portflow/internal/harbour/manifest"
)

// Book is an open logbook. Its methods wait for the disk.
type Book struct {
	db       *leveldb.DB
	Syncs    atomic.Int64 // writes that waited for the disk
	Repaired bool
}

// The keys: items, this acceptor's cells of registers, and that this disk has held the whole state since its last loss.
const (
	itemKey  = "i/"
	cellKey  = "c/"
	wholeKey = "w"
)

var options = &opt.Options{WriteBuffer: 1 << 20, BlockCacheCapacity: 256 << 10, OpenFilesCacheCapacity: 16,
	CompactionTableSize: 1 << 20, DisableSeeksCompaction: true}

// Open opens the logbook in a folder, and reads all items. What can't be read is repaired as far as it can be, and said so:
// the rest comes from the other control processes, as whole is false then.
func Open(s storage.Storage) (b *Book, items []manifest.Item, cells map[string][]byte, whole bool, err error) {
	b, cells = &Book{}, map[string][]byte{}
	if b.Repaired, err = inspect(s); err != nil {
		return nil, nil, nil, false, fmt.Errorf("logbook: %w", err)
	}
	b.db, err = leveldb.Open(s, options)
	if errors.IsCorrupted(err) {
		b.Repaired = true
		b.db, err = leveldb.Recover(s, options)
	}
	if err != nil {
		return nil, nil, nil, false, fmt.Errorf("logbook: %w", err)
	}
	it := b.db.NewIterator(nil, nil)
	defer it.Release()
	for it.Next() {
		key := string(it.Key())
		if key == wholeKey {
			whole = !b.Repaired
			continue
		}
		if register, ok := strings.CutPrefix(key, cellKey); ok {
			cells[register] = append([]byte(nil), it.Value()...)
			continue
		}
		var i manifest.Item
		if json.Unmarshal(it.Value(), &i) != nil || key != name(i) {
			b.Repaired, whole = true, false
			continue
		}
		items = append(items, i)
	}
	if err := it.Error(); err != nil {
		b.Repaired = true
	}
	return b, items, cells, whole && !b.Repaired, nil
}

// inspect looks for journals with bad bytes among good ones: the store would pass over them without a word.
func inspect(s storage.Storage) (spoilt bool, err error) {
	files, err := s.List(storage.TypeJournal)
	if err != nil {
		return false, fmt.Errorf("listing: %w", err)
	}
	for _, f := range files {
		r, err := s.Open(f)
		if err != nil {
			return false, fmt.Errorf("%v: %w", f, err)
		}
		raw, err := io.ReadAll(io.LimitReader(r, longest))
		r.Close()
		if err != nil {
			return false, fmt.Errorf("%v: %w", f, err)
		}
		spoilt = spoilt || Spoilt(raw)
	}
	return spoilt, nil
}

// longest is what is read of a journal: the store begins another at a megabyte and the write that passes it.
const longest = 32 << 20

// Folder is the logbook's storage in a folder.
func Folder(path string) (storage.Storage, error) { return storage.OpenFile(path, false) }

func name(i manifest.Item) string { return itemKey + i.Kind + "/" + i.Name }

// Write writes items, cells of registers, and whether the disk now holds all, in one synced step. A cell of nil goes.
func (b *Book) Write(items []manifest.Item, cells map[string][]byte, whole bool) error {
	batch := new(leveldb.Batch)
	for _, i := range items {
		raw, err := json.Marshal(i)
		if err != nil {
			return fmt.Errorf("logbook: %s %s: %w", i.Kind, i.Name, err)
		}
		batch.Put([]byte(name(i)), raw)
	}
	for name, raw := range cells {
		if raw == nil {
			batch.Delete([]byte(cellKey + name))
		} else {
			batch.Put([]byte(cellKey+name), raw)
		}
	}
	if whole {
		batch.Put([]byte(wholeKey), []byte{1})
	}
	b.Syncs.Add(1)
	if err := b.db.Write(batch, &opt.WriteOptions{Sync: true}); err != nil {
		return fmt.Errorf("logbook: %w", err)
	}
	return nil
}

// Prune removes what isn't known any more, as old drops.
func (b *Book) Prune(items []manifest.Item, known func(manifest.Key) bool) error {
	batch := new(leveldb.Batch)
	for _, i := range items {
		if !known(i.Key()) {
			batch.Delete([]byte(name(i)))
		}
	}
	if batch.Len() == 0 {
		return nil
	}
	if err := b.db.Write(batch, &opt.WriteOptions{Sync: true}); err != nil {
		return fmt.Errorf("logbook: %w", err)
	}
	return nil
}

// Close closes it.
func (b *Book) Close() error { return b.db.Close() }
