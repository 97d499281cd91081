package update

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"hash"
	"slices"
)

// The bounds of a snapshot.
const (
	ChunkBytes         = 64 << 10 // of a chunk's changes as JSON; the last one may exceed it
	MaxSnapshotBytes   = 64 << 20 // of all changes as JSON
	MaxSnapshotChanges = 1 << 20
	ChunkWindow        = 32 // chunks that may be sent to one proxy before it acknowledges any of them
)

// SnapshotHeader identifies the snapshot that a chunk is of. The changes of a snapshot are numbered from 0, in the order in which they
// are sent.
type SnapshotHeader struct {
	Name        string `json:"i"` // unique among the snapshots of all incarnations
	Incarnation string `json:"l"` // of the control process that made it
	To          uint64 `json:"t"` // number of the last change in the log that it has
	Epoch       uint64 `json:"e,omitempty"`
	Number      uint64 `json:"u,omitempty"` // epoch and index of the configuration as of it
	Total       int    `json:"o"`           // number of changes
}

// Chunk has the changes of a snapshot from From on. The order of its fields matters: Changes is the last one, so that the other
// fields can be encoded and read without it.
type Chunk struct {
	SnapshotHeader
	From     int             `json:"f,omitempty"`
	Checksum []byte          `json:"s"` // SHA-256 of the header as JSON and the Changes of all chunks up to this one
	Changes  json.RawMessage `json:"n"` // a list of Change
}

// Progress is how much of a snapshot a proxy has received: the first Received changes. The zero value is of no snapshot; with a hello
// it says that the proxy receives chunks.
type Progress struct {
	Name     string `json:"i,omitempty"`
	Received int    `json:"h,omitempty"`
}

// newHash returns a hash that has the header. Encoding it can't fail, as it has numbers and texts alone.
func (h SnapshotHeader) newHash() hash.Hash {
	digest := sha256.New()
	raw, _ := json.Marshal(h)
	digest.Write(raw)
	return digest
}

// Snapshot is a snapshot that is encoded once for all proxies that ask for it.
type Snapshot struct {
	SnapshotHeader
	Messages  [][]byte // a message a chunk, as pack returned it
	Bytes     int      // of all messages
	JSONBytes int      // of the changes as JSON
	chunkEnds []int    // numbers of the changes that the chunks after these begin with
}

// NewSnapshot encodes a snapshot of changes; the header's Total is set by it. pack encodes a message as it is sent; there is never
// more than one message that isn't packed.
func NewSnapshot(header SnapshotHeader, changes []Change, pack func(message []byte) []byte) (*Snapshot, error) {
	return encodeSnapshot(header, changes, ChunkBytes, pack)
}

func encodeSnapshot(header SnapshotHeader, changes []Change, chunkBytes int, pack func(message []byte) []byte) (*Snapshot, error) {
	header.Total = len(changes)
	if header.Total > MaxSnapshotChanges {
		return nil, fmt.Errorf("a snapshot of %d notes, over %d", header.Total, MaxSnapshotChanges)
	}
	snapshot := &Snapshot{SnapshotHeader: header}
	digest := header.newHash()
	var list bytes.Buffer
	for next := 0; ; {
		from := next
		count, err := encodeChanges(&list, changes[from:], chunkBytes)
		if err != nil {
			return nil, err
		}
		next += count
		snapshot.JSONBytes += list.Len()
		if snapshot.JSONBytes > MaxSnapshotBytes {
			return nil, fmt.Errorf("a snapshot of over %d bytes", MaxSnapshotBytes)
		}
		digest.Write(list.Bytes())
		message, err := encodeChunk(Chunk{SnapshotHeader: header, From: from, Checksum: digest.Sum(nil)}, list.Bytes())
		if err != nil {
			return nil, err
		}
		packed := pack(message)
		snapshot.Messages = append(snapshot.Messages, packed)
		snapshot.chunkEnds = append(snapshot.chunkEnds, next)
		snapshot.Bytes += len(packed)
		if next == header.Total {
			return snapshot, nil
		}
	}
}

// encodeChanges replaces the contents of list by a JSON list of the first changes, until it has limit bytes. It returns how many
// changes these are.
func encodeChanges(list *bytes.Buffer, changes []Change, limit int) (count int, err error) {
	list.Reset()
	list.WriteByte('[')
	encoder := json.NewEncoder(list)
	for ; count < len(changes) && list.Len() < limit; count++ {
		if count > 0 {
			list.WriteByte(',')
		}
		if err := encoder.Encode(changes[count]); err != nil {
			return 0, err
		}
		list.Truncate(list.Len() - 1) // the encoder ends each value with a line break
	}
	list.WriteByte(']')
	return count, nil
}

// encodeChunk returns the message of a chunk with the given changes. They are put in place of a short value behind the rest, as
// encoding a json.RawMessage would copy and check them again.
func encodeChunk(chunk Chunk, changes []byte) ([]byte, error) {
	const placeholder, suffix = "0", "}}"
	chunk.Changes = json.RawMessage(placeholder)
	raw, err := json.Marshal(Message{Chunk: &chunk})
	if err != nil {
		return nil, err
	}
	prefix := raw[:len(raw)-len(placeholder+suffix)]
	return slices.Concat(prefix, changes, []byte(suffix)), nil
}

// NextChunk returns the index of the first chunk that a proxy still needs. Progress of another snapshot, or that doesn't end with a
// chunk, is of no use: then it is 0.
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
