package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/syndtr/goleveldb/leveldb"
	dberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"portflow/internal/cluster/config"
)

var (
	options = &opt.Options{
		WriteBuffer:            1 << 20,
		BlockCacheCapacity:     256 << 10,
		OpenFilesCacheCapacity: 16,
		CompactionTableSize:    1 << 20,
		DisableSeeksCompaction: true,
	}
	syncWrite = &opt.WriteOptions{Sync: true}
)

// Open opens the store in a storage, and returns the items and records in it. Where something on the disk is damaged, the rest is
// returned and Repaired is set; then complete is false until a write says that the disk holds the complete state again. An error
// means that the disk can't be read, or refuses the repair.
func Open(backend storage.Storage) (store *Store, items []config.Item, records map[string][]byte, complete bool, err error) {
	store = &Store{
		backend: backend,
		lock:    make(chan struct{}, 1),
		items:   map[config.Key]config.Item{},
		records: map[string][]byte{},
	}
	if store.db, store.Repaired, err = openDB(backend); err != nil {
		return nil, nil, nil, false, fmt.Errorf("store: %w", err)
	}
	records = map[string][]byte{}
	unreadable := new(leveldb.Batch)
	err = forEachRow(store.db, func(key string, raw []byte) {
		if name, ok := strings.CutPrefix(key, recordPrefix); ok {
			store.records[name] = bytes.Clone(raw)
			records[name] = store.records[name]
			return
		}
		var item config.Item
		switch {
		case key == completeKey:
			store.complete = true
		case json.Unmarshal(raw, &item) != nil || key != rowKey(item.Key()):
			store.Repaired = true
			unreadable.Delete([]byte(key))
		default:
			store.items[item.Key()] = item
			items = append(items, item)
		}
	})
	store.Repaired = store.Repaired || err != nil
	if store.Repaired {
		if err := store.repair(unreadable); err != nil {
			_ = store.db.Close() // the error of the repair says more
			return nil, nil, nil, false, fmt.Errorf("store: repairing: %w", err)
		}
	}
	return store, items, records, store.complete, nil
}

// openDB opens the database; repaired says that something on the disk is damaged. Opening rewrites the journals, and with them the
// traces of damage, so that the marker must be on the disk before.
func openDB(backend storage.Storage) (db *leveldb.DB, repaired bool, err error) {
	if repaired, err = findDamage(backend); err != nil {
		return nil, false, err
	}
	if repaired {
		if err := putDamageMarker(backend); err != nil {
			return nil, false, err
		}
	}
	db, err = leveldb.Open(backend, options)
	if dberrors.IsCorrupted(err) {
		repaired = true
		if err = putDamageMarker(backend); err == nil {
			db, err = leveldb.Recover(backend, options)
		}
	}
	return db, repaired, err
}

// repair removes unreadable rows, and the row that says that the state is complete, which the next start would believe.
func (s *Store) repair(unreadable *leveldb.Batch) error {
	s.complete = false
	s.damageMarked = true
	unreadable.Delete([]byte(completeKey))
	if err := putDamageMarker(s.backend); err != nil {
		return err
	}
	return s.db.Write(unreadable, syncWrite)
}

// forEachRow calls visit for each row, in the order of keys. The bytes are valid until visit returns.
func forEachRow(db *leveldb.DB, visit func(key string, raw []byte)) error {
	it := db.NewIterator(nil, nil)
	defer it.Release()
	for it.Next() {
		visit(string(it.Key()), it.Value())
	}
	return it.Error()
}

// reopen opens the database again after a refused write. The database takes no write after one, and would give the next one the
// number of the refused one, so that the next start would pass over it. Where the disk differs from what was written before, reopen
// adds the difference to the batch.
func (s *Store) reopen(batch *leveldb.Batch) error {
	db, repaired, err := openDB(s.backend)
	if err != nil {
		return err
	}
	if err := s.addDifference(db, batch); err != nil {
		_ = db.Close() // the error before says more
		return err
	}
	s.db = db
	s.damageMarked = s.damageMarked || repaired
	s.Reopened.Add(1)
	return nil
}

// addDifference adds to a batch what makes the rows of a database those that were written before.
func (s *Store) addDifference(db *leveldb.DB, batch *leveldb.Batch) error {
	missing, err := s.writtenRows()
	if err != nil {
		return err
	}
	err = forEachRow(db, func(key string, raw []byte) {
		if value, wanted := missing[key]; !wanted {
			batch.Delete([]byte(key))
		} else if bytes.Equal(value, raw) {
			delete(missing, key)
		}
	})
	if err != nil {
		return err
	}
	for key, raw := range missing {
		batch.Put([]byte(key), raw)
	}
	return nil
}

// writtenRows returns the rows that the disk is to hold.
func (s *Store) writtenRows() (map[string][]byte, error) {
	rows := make(map[string][]byte, len(s.items)+len(s.records)+1)
	for key, i := range s.items {
		raw, err := json.Marshal(i)
		if err != nil {
			return nil, fmt.Errorf("%s %s: %w", key.Kind, key.Name, err)
		}
		rows[rowKey(key)] = raw
	}
	for name, raw := range s.records {
		rows[recordPrefix+name] = raw
	}
	if s.complete {
		rows[completeKey] = completeValue
	}
	return rows, nil
}
