package logbook

import (
	"encoding/json"
	"fmt"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"

	"portflow/internal/harbour/manifest"
)

// Replace writes items and removes others in one synced step, with cells as Write has them.
func (b *Book) Replace(items []manifest.Item, gone []manifest.Key, cells map[string][]byte, whole bool) error {
	batch := new(leveldb.Batch)
	for _, k := range gone {
		batch.Delete([]byte(itemKey + k.Kind + "/" + k.Name))
	}
	return b.batch(batch, items, cells, whole)
}

// Rewrite writes items and removes all others, in one synced step.
func (b *Book) Rewrite(items []manifest.Item, cells map[string][]byte, whole bool) error {
	batch := new(leveldb.Batch)
	it := b.db.NewIterator(util.BytesPrefix([]byte(itemKey)), nil)
	for it.Next() {
		batch.Delete(append([]byte(nil), it.Key()...))
	}
	it.Release()
	if err := it.Error(); err != nil {
		return fmt.Errorf("logbook: %w", err)
	}
	return b.batch(batch, items, cells, whole)
}

func (b *Book) batch(batch *leveldb.Batch, items []manifest.Item, cells map[string][]byte, whole bool) error {
	for _, i := range items {
		raw, err := json.Marshal(i)
		if err != nil {
			return fmt.Errorf("logbook: %s %s: %w", i.Kind, i.Name, err)
		}
		batch.Put([]byte(name(i)), raw)
	}
	for name, raw := range cells {
		batch.Put([]byte(cellKey+name), raw)
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
