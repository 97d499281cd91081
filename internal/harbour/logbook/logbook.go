// Package logbook keeps the items on disk, by goleveldb, synced before anybody is told that they last.
package logbook

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync/atomic"

	"github.com/syndtr/goleveldb/leveldb"
	dberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"portflow/internal/harbour/manifest"
)

// Book is an open logbook. Its methods wait for the disk. It knows what the disk is to hold: the items that were written,
// whose bodies it shares with the caller and never changes, and the cells.
type Book struct {
	Syncs    atomic.Int64 // writes that waited for the disk
	Reopened atomic.Int64 // times that the store was opened again, after a write that the disk refused
	Repaired bool

	// lock is held by who uses what follows. It is a channel, as who holds it waits for the disk: a mutex would keep virtual
	// time from passing.
	lock   chan struct{}
	disk   storage.Storage
	db     *leveldb.DB // nil after a write that was refused
	closed bool
	marked bool // as spoilt, until a write says that the disk holds all
	items  map[manifest.Key]manifest.Item
	cells  map[string][]byte
	whole  bool
}

// The keys: items, this acceptor's cells of registers, and that this disk has held the whole state since its last loss.
const (
	itemKey  = "i/"
	cellKey  = "c/"
	wholeKey = "w"
)

// ErrClosed is returned by a logbook that was closed.
var ErrClosed = errors.New("logbook: closed")

var (
	options = &opt.Options{WriteBuffer: 1 << 20, BlockCacheCapacity: 256 << 10, OpenFilesCacheCapacity: 16,
		CompactionTableSize: 1 << 20, DisableSeeksCompaction: true}
	synced = &opt.WriteOptions{Sync: true}
)

// Open opens the logbook in a folder, and reads all items. What can't be read is repaired as far as it can be, and said so:
// the rest comes from the other control processes, as whole is false then, until a write says that it is whole again.
func Open(s storage.Storage) (b *Book, items []manifest.Item, cells map[string][]byte, whole bool, err error) {
	b = &Book{disk: s, lock: make(chan struct{}, 1), items: map[manifest.Key]manifest.Item{}, cells: map[string][]byte{}}
	if b.db, b.Repaired, err = open(s); err != nil {
		return nil, nil, nil, false, fmt.Errorf("logbook: %w", err)
	}
	cells = map[string][]byte{}
	bad := new(leveldb.Batch)
	err = each(b.db, func(key string, raw []byte) {
		if register, ok := strings.CutPrefix(key, cellKey); ok {
			b.cells[register] = bytes.Clone(raw)
			cells[register] = b.cells[register]
			return
		}
		var i manifest.Item
		switch {
		case key == wholeKey:
			b.whole = true
		case json.Unmarshal(raw, &i) != nil || key != name(i.Key()):
			b.Repaired = true
			bad.Delete([]byte(key))
		default:
			b.items[i.Key()] = i
			items = append(items, i)
		}
	})
	if b.Repaired = b.Repaired || err != nil; b.Repaired {
		b.whole, b.marked = false, true
		bad.Delete([]byte(wholeKey)) // or the next start would find a disk that is well and says that it is whole
		if err = putMark(s); err == nil {
			err = b.db.Write(bad, synced)
		}
		if err != nil {
			b.db.Close()
			return nil, nil, nil, false, fmt.Errorf("logbook: repairing: %w", err)
		}
	}
	return b, items, cells, b.whole, nil
}

// open opens the store; repaired says that something on the disk could not be read. The store's own opening writes its
// journals anew and so takes away what shows that they were spoilt: a file marks that before.
func open(s storage.Storage) (db *leveldb.DB, repaired bool, err error) {
	if repaired, err = inspect(s); err != nil {
		return nil, false, err
	}
	if repaired {
		if err := putMark(s); err != nil {
			return nil, false, err
		}
	}
	db, err = leveldb.Open(s, options)
	if dberrors.IsCorrupted(err) {
		repaired = true
		if err = putMark(s); err == nil {
			db, err = leveldb.Recover(s, options)
		}
	}
	return db, repaired, err
}

// mark is the file that says that the disk was found spoilt and has not held all since. The store leaves files of this kind
// alone.
var mark = storage.FileDesc{Type: storage.TypeTemp, Num: 1 << 30}

func putMark(s storage.Storage) error {
	w, err := s.Create(mark)
	if err != nil {
		return fmt.Errorf("marking: %w", err)
	}
	if _, err = w.Write([]byte("spoilt\n")); err == nil {
		err = w.Sync()
	}
	if e := w.Close(); err == nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("marking: %w", err)
	}
	return nil
}

func unmark(s storage.Storage) error {
	if err := s.Remove(mark); err != nil && !os.IsNotExist(err) {
		return fmt.Errorf("the mark: %w", err)
	}
	return nil
}

// each hands all rows to take, in the order of their keys; what it is given is good until it returns.
func each(db *leveldb.DB, take func(key string, raw []byte)) error {
	it := db.NewIterator(nil, nil)
	defer it.Release()
	for it.Next() {
		take(string(it.Key()), it.Value())
	}
	return it.Error()
}

// inspect looks for journals and lists of tables with bad bytes among good ones, and for the mark that some were found: the store would pass
// over them without a word.
func inspect(s storage.Storage) (spoilt bool, err error) {
	files, err := s.List(storage.TypeJournal | storage.TypeManifest | storage.TypeTemp)
	if err != nil {
		return false, fmt.Errorf("listing: %w", err)
	}
	for _, f := range files {
		if f.Type == storage.TypeTemp {
			spoilt = spoilt || f == mark
			continue
		}
		r, err := s.Open(f)
		if err != nil {
			return false, fmt.Errorf("%v: %w", f, err)
		}
		raw, err := io.ReadAll(io.LimitReader(r, longest))
		r.Close()
		if err != nil {
			return false, fmt.Errorf("%v: %w", f, err)
		}
		if f.Type == storage.TypeManifest {
			spoilt = spoilt || spoiltList(raw)
		} else {
			spoilt = spoilt || Spoilt(raw)
		}
	}
	return spoilt, nil
}

// longest is what is read of a journal: the store begins another at a megabyte and the write that passes it.
const longest = 32 << 20

func name(k manifest.Key) string { return itemKey + k.Kind + "/" + k.Name }

// Write writes items, cells of registers, and whether the disk now holds all, in one synced step. A cell of nil goes. After
// an error the disk may hold all of it or nothing, until the next write: that one opens the store again, puts the disk back
// to what was written before, and adds its own.
func (b *Book) Write(items []manifest.Item, cells map[string][]byte, whole bool) error {
	return b.Replace(items, nil, cells, whole)
}

// Replace is Write; the items that are gone leave the disk in the same step.
func (b *Book) Replace(items []manifest.Item, gone []manifest.Key, cells map[string][]byte, whole bool) error {
	b.lock <- struct{}{}
	defer func() { <-b.lock }()
	batch := new(leveldb.Batch)
	if b.closed {
		return ErrClosed
	}
	if b.db == nil {
		if err := b.reopen(batch); err != nil {
			return fmt.Errorf("logbook: opening again: %w", err)
		}
	}
	for _, k := range gone {
		batch.Delete([]byte(name(k)))
	}
	for _, i := range items {
		raw, err := json.Marshal(i)
		if err != nil {
			return fmt.Errorf("logbook: %s %s: %w", i.Kind, i.Name, err)
		}
		batch.Put([]byte(name(i.Key())), raw)
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
	if err := b.db.Write(batch, synced); err != nil {
		b.db.Close()
		b.db = nil
		return fmt.Errorf("logbook: %w", err)
	}
	if b.marked && (whole || b.whole) && unmark(b.disk) == nil { // left there it costs a catching up at the next start
		b.marked = false
	}
	for _, k := range gone {
		delete(b.items, k)
	}
	for _, i := range items {
		b.items[i.Key()] = i
	}
	for name, raw := range cells {
		if raw == nil {
			delete(b.cells, name)
		} else {
			b.cells[name] = raw
		}
	}
	b.whole = b.whole || whole
	return nil
}

// reopen opens the store again after a write that was refused: the store takes none after it, and numbers the next one as
// the one that failed, so that a start would pass over it. What differs from what was written before goes into the batch.
func (b *Book) reopen(batch *leveldb.Batch) error {
	db, repaired, err := open(b.disk)
	if err != nil {
		return err
	}
	want := make(map[string][]byte, len(b.items)+len(b.cells)+1)
	for k, i := range b.items {
		raw, err := json.Marshal(i)
		if err != nil {
			db.Close()
			return fmt.Errorf("%s %s: %w", k.Kind, k.Name, err)
		}
		want[name(k)] = raw
	}
	for name, raw := range b.cells {
		want[cellKey+name] = raw
	}
	if b.whole {
		want[wholeKey] = []byte{1}
	}
	err = each(db, func(key string, raw []byte) {
		if x, there := want[key]; !there {
			batch.Delete([]byte(key))
		} else if bytes.Equal(x, raw) {
			delete(want, key)
		}
	})
	if err != nil { // the disk spoils what it holds
		db.Close()
		return err
	}
	for key, raw := range want {
		batch.Put([]byte(key), raw)
	}
	b.db, b.marked = db, b.marked || repaired
	b.Reopened.Add(1)
	return nil
}

// Prune removes what isn't known any more, as old drops.
func (b *Book) Prune(items []manifest.Item, known func(manifest.Key) bool) error {
	var gone []manifest.Key
	for _, i := range items {
		if !known(i.Key()) {
			gone = append(gone, i.Key())
		}
	}
	if len(gone) == 0 {
		return nil
	}
	return b.Replace(nil, gone, nil, false)
}

// Close closes it; later writes are refused.
func (b *Book) Close() error {
	b.lock <- struct{}{}
	defer func() { <-b.lock }()
	b.closed = true
	if b.db == nil {
		return nil
	}
	db := b.db
	b.db = nil
	return db.Close()
}
