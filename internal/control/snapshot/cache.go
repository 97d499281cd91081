package snapshot

import (
	"time"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
)

const (
	maxCached   = 2                // maximum number of snapshots in a Cache
	idleTimeout = 30 * time.Second // a transfer without a request for this long counts as abandoned
)

// Cache keeps the snapshots that are being read, at most maxCached of them, so that a reader can complete a transfer while the
// configuration changes. The zero value is empty and ready to use. It is not safe for concurrent use. Times are in nanoseconds; all must
// come from the same clock.
type Cache struct{ snapshots map[string]*cachedSnapshot }

type cachedSnapshot struct {
	header     Header
	items      []config.Item
	lastUsedAt int64
}

// Serve returns the requested chunk. It calls current for the current items in key order, with their epoch and index, if the requested
// snapshot is not cached. A cached snapshot shares the bodies of its items with the configuration, so that it costs only about 90 bytes
// an item. A snapshot that is not cached can still be served while the current items are the same, also by another process; otherwise the
// error is of kind NotFound and the reader must start over.
func (c *Cache) Serve(now int64, req ReadRequest, current func() (items []config.Item, epoch, index uint64)) (ReadResponse, error) {
	c.expire(now)
	entry := c.snapshots[req.Snapshot]
	if entry == nil {
		var err error
		if entry, err = c.open(req.Snapshot, current); err != nil {
			return ReadResponse{}, err
		}
	}
	if req.FirstItem < 0 || req.FirstItem > len(entry.items) {
		return ReadResponse{}, apierror.New(apierror.Invalid, "from: item %d is out of range: the snapshot has %d items", req.FirstItem, len(entry.items))
	}
	entry.lastUsedAt = now
	raw, next, done := EncodeChunk(entry.items, entry.header, req.FirstItem)
	return ReadResponse{
		Snapshot:   entry.header.String(),
		Chunk:      raw,
		NextItem:   next,
		TotalItems: len(entry.items),
		Done:       done,
	}, nil
}

// expire removes the snapshots of abandoned transfers.
func (c *Cache) expire(now int64) {
	for name, entry := range c.snapshots {
		if now-entry.lastUsedAt > int64(idleTimeout) {
			delete(c.snapshots, name)
		}
	}
}

// open returns a snapshot of the current items, and caches it. If name is not empty, the snapshot must have this name.
func (c *Cache) open(name string, current func() (items []config.Item, epoch, index uint64)) (*cachedSnapshot, error) {
	items, epoch, index := current()
	header, err := NewHeader(items, epoch, index)
	if err != nil {
		return nil, apierror.Wrap(apierror.BodyTooLarge, err, "the snapshot can't be created")
	}
	if name != "" && name != header.String() {
		return nil, apierror.New(apierror.NotFound, "snapshot: %q is not available any more, the current one is %q", name, header)
	}
	entry := c.snapshots[header.String()]
	if entry == nil {
		entry = &cachedSnapshot{header: header, items: items}
		c.add(entry)
	}
	return entry, nil
}

// add caches a snapshot, and evicts the least recently used one if the cache is full.
func (c *Cache) add(entry *cachedSnapshot) {
	if c.snapshots == nil {
		c.snapshots = map[string]*cachedSnapshot{}
	}
	if len(c.snapshots) >= maxCached {
		delete(c.snapshots, c.leastRecentlyUsed())
	}
	c.snapshots[entry.header.String()] = entry
}

// leastRecentlyUsed returns the name of the least recently used snapshot; ties go to the first by name.
func (c *Cache) leastRecentlyUsed() (oldest string) {
	for name, entry := range c.snapshots {
		if oldest == "" {
			oldest = name
			continue
		}
		lastUsedAt := c.snapshots[oldest].lastUsedAt
		if entry.lastUsedAt < lastUsedAt || entry.lastUsedAt == lastUsedAt && name < oldest {
			oldest = name
		}
	}
	return oldest
}
