package update

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
)

// Assembly is a snapshot that a proxy receives. Nothing of it may be used before it is complete and the changes since it have come
// (Finish). It holds one snapshot, of at most MaxSnapshotChanges and MaxSnapshotBytes. The zero value is empty; it is empty again
// after an error.
type Assembly struct {
	header  SnapshotHeader
	changes []Change
	bytes   int // of the changes as JSON
	hash    hash.Hash
}

// ErrChunkSequence is returned for a chunk that isn't the next one of the snapshot, or isn't valid.
var ErrChunkSequence = errors.New("a snapshot's chunk does not follow")

// Add adds the next chunk. The first chunk of another snapshot replaces all that was received. Errors wrap ErrChunkSequence, but for
// changes that aren't valid JSON.
func (a *Assembly) Add(chunk Chunk) error {
	if err := a.add(chunk); err != nil {
		a.Reset()
		return err
	}
	return nil
}

func (a *Assembly) add(chunk Chunk) error {
	if chunk.From == 0 && (chunk.Name != a.header.Name || len(a.changes) > 0) {
		if chunk.Name == "" || chunk.Total < 0 || chunk.Total > MaxSnapshotChanges {
			return fmt.Errorf("%w: %q of %d notes", ErrChunkSequence, chunk.Name, chunk.Total)
		}
		*a = Assembly{header: chunk.SnapshotHeader, hash: chunk.newHash()}
	}
	if chunk.SnapshotHeader != a.header || a.hash == nil || chunk.From != len(a.changes) {
		return fmt.Errorf("%w: note %d of %q, after %d of %q", ErrChunkSequence, chunk.From, chunk.Name, len(a.changes), a.header.Name)
	}
	a.bytes += len(chunk.Changes)
	if a.bytes > MaxSnapshotBytes {
		return fmt.Errorf("%w: over %d bytes", ErrChunkSequence, MaxSnapshotBytes)
	}
	a.hash.Write(chunk.Changes)
	if !bytes.Equal(a.hash.Sum(nil), chunk.Checksum) {
		return fmt.Errorf("%w: its sum is another", ErrChunkSequence)
	}
	var changes []Change
	if err := json.Unmarshal(chunk.Changes, &changes); err != nil {
		return err
	}
	received := len(a.changes) + len(changes)
	if received > chunk.Total || len(changes) == 0 && chunk.Total > 0 {
		return fmt.Errorf("%w: %d notes of %d", ErrChunkSequence, received, chunk.Total)
	}
	a.changes = append(a.changes, changes...)
	return nil
}

// Progress returns how much was received.
func (a *Assembly) Progress() Progress {
	return Progress{Name: a.header.Name, Received: len(a.changes)}
}

// Complete reports whether all chunks were received.
func (a *Assembly) Complete() bool { return a.hash != nil && len(a.changes) == a.header.Total }

// Finish takes the batch that follows on the complete snapshot and returns the changes of both, once. ok is false if the batch doesn't
// follow.
func (a *Assembly) Finish(batch Batch) (changes []Change, ok bool) {
	follows := batch.Incarnation == a.header.Incarnation && batch.From == a.header.To && batch.To >= batch.From
	if !a.Complete() || batch.Snapshot || !follows {
		return nil, false
	}
	changes = append(a.changes, batch.Changes...)
	a.Reset()
	return changes, true
}

// Reset drops what was received.
func (a *Assembly) Reset() { *a = Assembly{} }
