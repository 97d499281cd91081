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

// Open opens or creates the store in backend and returns its items and records, whose bytes the caller must not change. If data on disk
// is corrupted, Open returns the rest and sets Repaired; complete is then false, also after later starts, until a write declares the
// state complete again. Open fails if the disk can't be read or the repair can't be written.
func Open(backend storage.Storage) (store *Store, items []config.Item, records map[string][]byte, complete bool, err error) {
	store = &Store{
		backend: backend,
		lock:    make(chan struct{}, 1),
		items:   config.NewItemMap(),
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
			store.items.Put(item)
			items = append(items, item)
		}
	})
	store.Repaired = store.Repaired || err != nil
	if store.Repaired {
		if err := store.repair(unreadable); err != nil {
			_ = store.db.Close() // report the repair's error instead
			return nil, nil, nil, false, fmt.Errorf("store: repairing: %w", err)
		}
	}
	return store, items, records, store.complete, nil
}

// openDB opens the database. repaired reports whether corruption or the damage marker was found. Opening replaces the journals and so
// destroys the evidence of corruption; the damage marker must be fsynced before that.
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

// repair deletes the unreadable rows and the completeKey row, so that the next start does not take the state for complete. The damage
// marker is fsynced first.
func (s *Store) repair(unreadable *leveldb.Batch) error {
	s.complete = false
	s.damageMarked = true
	unreadable.Delete([]byte(completeKey))
	if err := putDamageMarker(s.backend); err != nil {
		return err
	}
	return s.db.Write(unreadable, syncWrite)
}

// forEachRow calls visit for each row in key order. raw is valid only until visit returns.
func forEachRow(db *leveldb.DB, visit func(key string, raw []byte)) error {
	it := db.NewIterator(nil, nil)
	defer it.Release()
	for it.Next() {
		visit(string(it.Key()), it.Value())
	}
	return it.Error()
}

// reopen reopens the database after a failed write. The database accepts no write after that; if it did, the next write would reuse the
// sequence number of the failed one, and recovery would skip it. Where the rows on disk differ from those last written successfully,
// reopen adds to batch what restores them. The caller holds lock.
func (s *Store) reopen(batch *leveldb.Batch) error {
	db, repaired, err := openDB(s.backend)
	if err != nil {
		return err
	}
	if err := s.addDifference(db, batch); err != nil {
		_ = db.Close() // report the error of addDifference instead
		return err
	}
	s.db = db
	s.damageMarked = s.damageMarked || repaired
	s.Reopened.Add(1)
	return nil
}

// addDifference adds to batch the puts and deletions that restore the last successfully written rows.
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

// writtenRows returns the last successfully written rows, by key.
func (s *Store) writtenRows() (map[string][]byte, error) {
	rows := make(map[string][]byte, s.items.Len()+len(s.records)+1)
	for i := range s.items.All() {
		key := i.Key()
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
