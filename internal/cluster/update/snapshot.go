package update

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"slices"
)

// Bounds of a router's snapshot.
const (
	ChunkBytes         = 64 << 10 // notes go into a chunk until their JSON has so many bytes, and one more
	MaxSnapshotBytes   = 64 << 20 // of a whole snapshot's notes, as JSON
	MaxSnapshotChanges = 1 << 20
	ChunkWindow        = 32 // chunks that one router may be sent without having acknowledged them
)

// SnapshotHeader says which snapshot a chunk is of. The notes of a snapshot are counted from 0, in the order in which they are sent.
type SnapshotHeader struct {
	Name        string `json:"i"` // one for each snapshot, of all lives
	Incarnation string `json:"l"` // of whose news it is
	To          uint64 `json:"t"` // the number of the last change of these news that is in it
	Epoch       uint64 `json:"e,omitempty"`
	Number      uint64 `json:"u,omitempty"` // the set's epoch and number as of it
	Total       int    `json:"o"`           // notes in all
}

// Chunk is a part of a snapshot: the notes from From on.
type Chunk struct {
	SnapshotHeader
	From     int             `json:"f,omitempty"`
	Checksum []byte          `json:"s"` // SHA-256 over the head's JSON, then all notes up to the end of this chunk, as they are laid out; the last one's is the whole's
	Changes  json.RawMessage `json:"n"` // a list of them; last, so that the rest is read without it
}

// Progress is how much of a snapshot a router has: the first Have notes of it. The zero Part is of none, and says with a hello that
// the router takes chunks.
type Progress struct {
	Name     string `json:"i,omitempty"`
	Received int    `json:"h,omitempty"`
}

func (h SnapshotHeader) newHash() hash.Hash {
	sum := sha256.New()
	raw, _ := json.Marshal(h) // numbers and texts
	sum.Write(raw)
	return sum
}

// Snapshot is a snapshot, encoded once for all routers that ask for it: words that are ready to be sent.
type Snapshot struct {
	SnapshotHeader
	Messages  [][]byte // as pack laid them out
	Bytes     int      // of all of them
	JSONBytes int      // bytes of the notes as JSON
	chunkEnds []int    // up to which note each chunk goes
}

// NewSnapshot encodes the notes of a snapshot; Of is set. Each word goes through pack, which lays out what is sent: there is never
// more than one chunk that isn't packed.
func NewSnapshot(header SnapshotHeader, changes []Change, pack func(word []byte) []byte) (*Snapshot, error) {
	return encodeSnapshot(header, changes, ChunkBytes, pack)
}

func encodeSnapshot(header SnapshotHeader, changes []Change, chunkBytes int, pack func(message []byte) []byte) (*Snapshot, error) {
	if header.Total = len(changes); header.Total > MaxSnapshotChanges {
		return nil, fmt.Errorf("a snapshot of %d notes, over %d", header.Total, MaxSnapshotChanges)
	}
	snapshot, digest := &Snapshot{SnapshotHeader: header}, header.newHash()
	var list bytes.Buffer
	encoder := json.NewEncoder(&list)
	size := 0
	for next := 0; next < header.Total || next == 0; {
		from := next
		list.Reset()
		list.WriteByte('[')
		for ; next < header.Total && list.Len() < chunkBytes; next++ {
			if next > from {
				list.WriteByte(',')
			}
			if err := encoder.Encode(changes[next]); err != nil {
				return nil, err
			}
			list.Truncate(list.Len() - 1) // the encoder ends each with a line
		}
		list.WriteByte(']')
		size += list.Len()
		if snapshot.JSONBytes = size; size > MaxSnapshotBytes {
			return nil, fmt.Errorf("a snapshot of over %d bytes", MaxSnapshotBytes)
		}
		digest.Write(list.Bytes())
		raw, err := json.Marshal(Message{Chunk: &Chunk{SnapshotHeader: header, From: from, Checksum: digest.Sum(nil), Changes: json.RawMessage("0")}})
		if err != nil {
			return nil, err
		}
		message := slices.Concat(raw[:len(raw)-len("0}}")], list.Bytes(), []byte("}}"))
		packed := pack(message)
		snapshot.Messages, snapshot.chunkEnds, snapshot.Bytes = append(snapshot.Messages, packed), append(snapshot.chunkEnds, next), snapshot.Bytes+len(packed)
		if next == header.Total {
			break
		}
	}
	return snapshot, nil
}

// NextChunk is the number of the first chunk that one who has a part is still to be sent; a part of another snapshot, or one that
// doesn't end where a chunk does, is of no use: 0.
func (s *Snapshot) NextChunk(progress Progress) int {
	if progress.Name != s.Name {
		return 0
	}
	chunk, found := slices.BinarySearch(s.chunkEnds, progress.Received)
	if !found {
		return 0
	}
	return chunk + 1
}

// Transfer is a snapshot on its way to one router.
type Transfer struct {
	Snapshot *Snapshot
	next     int // chunk that is to be sent
}

// NewTransfer begins behind what the router has.
func NewTransfer(snapshot *Snapshot, progress Progress) *Transfer {
	return &Transfer{Snapshot: snapshot, next: snapshot.NextChunk(progress)}
}

// Next are the words that may be sent now, has being what the router acknowledged last; done tells that all have been sent with
// them, and that the changes since follow.
func (t *Transfer) Next(progress Progress) (messages [][]byte, done bool) {
	acked := min(t.Snapshot.NextChunk(progress), t.next)
	end := min(len(t.Snapshot.Messages), acked+ChunkWindow)
	if end > t.next {
		messages, t.next = t.Snapshot.Messages[t.next:end], end
	}
	return messages, t.next == len(t.Snapshot.Messages)
}

// Assembly is a snapshot that comes in at a router, until it is whole and the changes since it have come: nothing of it is in
// force before. It holds one at a time, of MostNotes and MostBytes at most. After an error it is empty.
type Assembly struct {
	header  SnapshotHeader
	changes []Change
	bytes   int
	hash    hash.Hash
}

// ErrChunkSequence says that a chunk isn't the next one of what is there.
var ErrChunkSequence = errors.New("a snapshot's chunk does not follow")

// Add takes the next chunk in. The first chunk of another snapshot takes the place of all that is there.
func (a *Assembly) Add(chunk Chunk) (err error) {
	defer func() {
		if err != nil {
			a.Reset()
		}
	}()
	if chunk.From == 0 && (chunk.Name != a.header.Name || len(a.changes) > 0) {
		if chunk.Name == "" || chunk.Total < 0 || chunk.Total > MaxSnapshotChanges {
			return fmt.Errorf("%w: %q of %d notes", ErrChunkSequence, chunk.Name, chunk.Total)
		}
		*a = Assembly{header: chunk.SnapshotHeader, hash: chunk.SnapshotHeader.newHash()}
	}
	if chunk.SnapshotHeader != a.header || a.hash == nil || chunk.From != len(a.changes) {
		return fmt.Errorf("%w: note %d of %q, after %d of %q", ErrChunkSequence, chunk.From, chunk.Name, len(a.changes), a.header.Name)
	}
	if a.bytes += len(chunk.Changes); a.bytes > MaxSnapshotBytes {
		return fmt.Errorf("%w: over %d bytes", ErrChunkSequence, MaxSnapshotBytes)
	}
	if a.hash.Write(chunk.Changes); !bytes.Equal(a.hash.Sum(nil), chunk.Checksum) {
		return fmt.Errorf("%w: its sum is another", ErrChunkSequence)
	}
	var changes []Change
	if err := json.Unmarshal(chunk.Changes, &changes); err != nil {
		return err
	}
	if n := len(a.changes) + len(changes); n > chunk.Total || len(changes) == 0 && chunk.Total > 0 {
		return fmt.Errorf("%w: %d notes of %d", ErrChunkSequence, n, chunk.Total)
	}
	a.changes = append(a.changes, changes...)
	return nil
}

// Progress is how much is there.
func (a *Assembly) Progress() Progress {
	return Progress{Name: a.header.Name, Received: len(a.changes)}
}

// Complete tells whether all chunks are there.
func (a *Assembly) Complete() bool { return a.hash != nil && len(a.changes) == a.header.Total }

// Finish takes the batch that follows on a whole snapshot and gives all notes of both, once; ok is false where the batch doesn't.
func (a *Assembly) Finish(batch Batch) (changes []Change, ok bool) {
	if !a.Complete() || batch.Snapshot || batch.Incarnation != a.header.Incarnation || batch.From != a.header.To || batch.To < batch.From {
		return nil, false
	}
	changes = append(a.changes, batch.Changes...)
	a.Reset()
	return changes, true
}

// Reset forgets what is there.
func (a *Assembly) Reset() { *a = Assembly{} }

// SnapshotCache keeps the cuts that routers are sent, so that who asks for one at the same number, or little later, is sent the same. It
// holds two; what is older is let go, and who was being sent it begins anew. It is not safe for two goroutines.
type SnapshotCache struct {
	snapshots []*PendingSnapshot
	created   int
	lastUsed  int64
}

// PendingSnapshot is a cut that is being made, by one goroutine. Cut and Err are set once Done is closed.
type PendingSnapshot struct {
	SnapshotHeader
	Done     chan struct{}
	Snapshot *Snapshot
	Err      error
}

const (
	maxCachedSnapshots = 2
	cacheIdleTimeout   = int64(30e9) // after which nobody is expected to ask on
)

// Limits of what may have come since a cut that is still used, and of a batch of changes that is sent in one frame: beyond it a
// new snapshot takes less.
const (
	MaxFreshChanges = 1024
	MaxFreshBytes   = 256 << 10
	MaxBatchBytes   = 1 << 20
	freshDivisor    = 4       // of a cut's own size at the most is sent behind it, as each router is sent that anew
	minFreshBytes   = 4 << 10 // or this, for a cut that is small itself
)

// EstimateSize is about how many bytes notes take as JSON: a bound for what items make of it.
func EstimateSize(changes []Change) (size int) {
	for _, change := range changes {
		if size += 200; change.Item != nil {
			size += len(change.Item.Body) + len(change.Item.Name)
		}
	}
	return size
}

// compactedSize is the size of what is sent behind a cut, where these notes came since: the last of each thing.
func compactedSize(changes []Change) int { return EstimateSize(Compact(slices.Clone(changes))) }

// Newest is the newest cut, if little has come since or it is still being made: who asks then waits for it and takes it as Named
// gives it, or where more comes than is fresh while one is made nobody would ever get one. None where a new one is to be made.
func (c *SnapshotCache) Newest(now int64, incarnation string, log *Log) *PendingSnapshot {
	c.evictIdle(now)
	if len(c.snapshots) == 0 {
		return nil
	}
	newest := c.snapshots[len(c.snapshots)-1]
	if newest.Incarnation != incarnation || newest.failed() {
		return nil
	}
	if changes, ok := log.After(newest.To); !newest.inProgress() && (!ok || len(changes) > MaxFreshChanges ||
		compactedSize(changes) > min(MaxFreshBytes, max(minFreshBytes, newest.Snapshot.JSONBytes/freshDivisor))) {
		return nil
	}
	c.lastUsed = now
	return newest
}

// ByName is a cut by its name, for who has a part of it or is being sent it; none where it isn't kept any more, or what came since
// isn't, or is more than one batch may be.
func (c *SnapshotCache) ByName(now int64, name, incarnation string, log *Log) *PendingSnapshot {
	c.evictIdle(now)
	for _, snapshot := range c.snapshots {
		if changes, ok := log.After(snapshot.To); ok && snapshot.Name == name && snapshot.Incarnation == incarnation && compactedSize(changes) <= MaxBatchBytes && !snapshot.failed() {
			c.lastUsed = now
			return snapshot
		}
	}
	return nil
}

func (p *PendingSnapshot) failed() bool { return !p.inProgress() && p.Err != nil }

func (p *PendingSnapshot) inProgress() bool {
	select {
	case <-p.Done:
		return false
	default:
		return true
	}
}

// Start puts a cut there that is to be made; its name and Done are set.
func (c *SnapshotCache) Start(now int64, header SnapshotHeader) *PendingSnapshot {
	c.created++
	header.Name = fmt.Sprintf("%s.%d", header.Incarnation, c.created)
	pending := &PendingSnapshot{SnapshotHeader: header, Done: make(chan struct{})}
	c.snapshots = append(c.snapshots, pending)
	c.snapshots = c.snapshots[max(0, len(c.snapshots)-maxCachedSnapshots):]
	c.lastUsed = now
	return pending
}

// Encode makes it of the notes as of its number, and closes Done.
func (p *PendingSnapshot) Encode(changes []Change, pack func([]byte) []byte) {
	defer close(p.Done)
	p.Snapshot, p.Err = NewSnapshot(p.SnapshotHeader, changes, pack)
}

// EvictIdle lets all cuts go that nobody has asked for in half a minute, and tells whether any is left.
func (c *SnapshotCache) EvictIdle(now int64) bool {
	c.evictIdle(now)
	return len(c.snapshots) > 0
}

func (c *SnapshotCache) evictIdle(now int64) {
	if now-c.lastUsed >= cacheIdleTimeout {
		c.snapshots = nil
	}
}

// CachedBytes is how many bytes the cuts that are kept take, as they are sent.
func (c *SnapshotCache) CachedBytes() (bytes int) {
	for _, snapshot := range c.snapshots {
		select {
		case <-snapshot.Done:
			if snapshot.Snapshot != nil {
				bytes += snapshot.Snapshot.Bytes
			}
		default:
		}
	}
	return bytes
}
