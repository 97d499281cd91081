package snapshot

import (
	"time"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
)

const (
	maxCached   = 2                // snapshots that a Cache keeps
	idleTimeout = 30 * time.Second // after the last request of a transfer, when it is taken for abandoned
)

// Cache keeps the snapshots that are being read, at most maxCached of them. It is not safe for concurrent use. Times are nanoseconds
// of one clock.
type Cache struct{ snapshots map[string]*cachedSnapshot }

type cachedSnapshot struct {
	header     Header
	items      []config.Item
	lastUsedAt int64
}

// Serve answers a request for a chunk. current returns the items of the set in the order of their keys, with the epoch and the
// index; the items share their bodies with the set's, so that a snapshot costs some 90 bytes an item. The rest of a snapshot that is
// not kept any more can be read from any process whose set is still the same; else the error is of kind NotFound, and the reader
// must start again.
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
		return ReadResponse{}, apierror.New(apierror.Invalid, "from: %d of %d items", req.FirstItem, len(entry.items))
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

// open returns a snapshot of the current items, which must be the one of a name unless it is empty.
func (c *Cache) open(name string, current func() (items []config.Item, epoch, index uint64)) (*cachedSnapshot, error) {
	items, epoch, index := current()
	header, err := NewHeader(items, epoch, index)
	if err != nil {
		return nil, apierror.Wrap(apierror.BodyTooLarge, err, "the snapshot can't be laid out")
	}
	if name != "" && name != header.String() {
		return nil, apierror.New(apierror.NotFound, "snapshot: %q is gone, %q stands", name, header)
	}
	entry := c.snapshots[header.String()]
	if entry == nil {
		entry = &cachedSnapshot{header: header, items: items}
		c.add(entry)
	}
	return entry, nil
}

// add adds a snapshot, in place of the least recently used one if there are too many.
func (c *Cache) add(entry *cachedSnapshot) {
	if c.snapshots == nil {
		c.snapshots = map[string]*cachedSnapshot{}
	}
	if len(c.snapshots) >= maxCached {
		delete(c.snapshots, c.leastRecentlyUsed())
	}
	c.snapshots[entry.header.String()] = entry
}

// leastRecentlyUsed returns the name of the snapshot that was used the longest ago; of several, the first by name.
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
