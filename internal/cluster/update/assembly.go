package update

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
)

// Assembly reassembles a snapshot from the chunks that a proxy receives. The changes become available only through Finish, once all
// chunks and the batch that follows the snapshot have been received. It holds one snapshot of at most MaxSnapshotChanges changes and
// MaxSnapshotBytes bytes. The zero value is empty; an error from Add empties it again.
type Assembly struct {
	header  SnapshotHeader
	changes []Change
	bytes   int // size of the changes as JSON
	hash    hash.Hash
}

// ErrChunkSequence is returned for a chunk that is invalid or is not the next chunk of the snapshot.
var ErrChunkSequence = errors.New("a snapshot's chunk does not follow")

// Add adds the next chunk. The first chunk of a snapshot discards what was received before. An error wraps ErrChunkSequence, or is
// that of json.Unmarshal if the changes can't be decoded.
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
			return fmt.Errorf("%w: invalid header: snapshot %q of %d changes", ErrChunkSequence, chunk.Name, chunk.Total)
		}
		*a = Assembly{header: chunk.SnapshotHeader, hash: chunk.newHash()}
	}
	if chunk.SnapshotHeader != a.header || a.hash == nil || chunk.From != len(a.changes) {
		return fmt.Errorf("%w: note %d of %q, after %d of %q", ErrChunkSequence, chunk.From, chunk.Name, len(a.changes), a.header.Name)
	}
	a.bytes += len(chunk.Changes)
	if a.bytes > MaxSnapshotBytes {
		return fmt.Errorf("%w: the snapshot exceeds %d bytes", ErrChunkSequence, MaxSnapshotBytes)
	}
	a.hash.Write(chunk.Changes)
	if !bytes.Equal(a.hash.Sum(nil), chunk.Checksum) {
		return fmt.Errorf("%w: checksum mismatch", ErrChunkSequence)
	}
	var changes []Change
	if err := json.Unmarshal(chunk.Changes, &changes); err != nil {
		return err
	}
	received := len(a.changes) + len(changes)
	if received > chunk.Total || len(changes) == 0 && chunk.Total > 0 {
		return fmt.Errorf("%w: the chunk is empty or exceeds the total: %d changes received of %d", ErrChunkSequence, received, chunk.Total)
	}
	a.changes = append(a.changes, changes...)
	return nil
}

// Progress returns the progress to acknowledge. It is the zero value if the assembly is empty.
func (a *Assembly) Progress() Progress {
	return Progress{Name: a.header.Name, Received: len(a.changes)}
}

// Complete reports whether all chunks have been received.
func (a *Assembly) Complete() bool { return a.hash != nil && len(a.changes) == a.header.Total }

// Finish returns the changes of the complete snapshot followed by those of batch, and empties the assembly. ok is false, and the assembly
// is unchanged, if the snapshot is incomplete or batch is not the one that follows it.
func (a *Assembly) Finish(batch Batch) (changes []Change, ok bool) {
	follows := batch.Incarnation == a.header.Incarnation && batch.From == a.header.To && batch.To >= batch.From
	if !a.Complete() || batch.Snapshot || !follows {
		return nil, false
	}
	changes = append(a.changes, batch.Changes...)
	a.Reset()
	return changes, true
}

// Reset discards what was received.
func (a *Assembly) Reset() { *a = Assembly{} }
