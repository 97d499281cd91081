package update

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"hash"
	"slices"
)

// Limits of a snapshot. Sizes are those of the changes as JSON.
const (
	ChunkBytes         = 64 << 10 // a chunk ends with the change that reaches this size
	MaxSnapshotBytes   = 64 << 20
	MaxSnapshotChanges = 1 << 20
	ChunkWindow        = 32 // maximum number of unacknowledged chunks per proxy
)

// SnapshotHeader identifies the snapshot that a chunk belongs to. The changes of a snapshot are numbered from 0 in the order in which
// they are sent.
type SnapshotHeader struct {
	Name        string `json:"i"`           // unique among the snapshots of all incarnations
	Incarnation string `json:"l"`           // incarnation of the control process that created it
	To          uint64 `json:"t"`           // number of the last change of the log that it includes
	Epoch       uint64 `json:"e,omitempty"` // epoch of the configuration in it
	Number      uint64 `json:"u,omitempty"` // index of the configuration in it
	Total       int    `json:"o"`           // number of changes
}

// Chunk has consecutive changes of a snapshot, starting with number From. Changes must remain the last field, because encodeChunk
// appends the changes to the encoded other fields.
type Chunk struct {
	SnapshotHeader
	From     int             `json:"f,omitempty"`
	Checksum []byte          `json:"s"` // SHA-256 of the header as JSON and of Changes of all chunks up to and including this one
	Changes  json.RawMessage `json:"n"` // a JSON array of Change
}

// Progress is how much of a snapshot a proxy has received. The zero value means no snapshot; sent with a hello, even the zero value
// announces that the proxy accepts chunks.
type Progress struct {
	Name     string `json:"i,omitempty"` // name of the snapshot
	Received int    `json:"h,omitempty"` // number of changes received, from the first one on
}

// newHash returns a hash of the header. Encoding the header can't fail, as it has only numbers and strings.
func (h SnapshotHeader) newHash() hash.Hash {
	digest := sha256.New()
	raw, _ := json.Marshal(h)
	digest.Write(raw)
	return digest
}

// Snapshot is a snapshot that is encoded once for all proxies that request it. It must not be modified.
type Snapshot struct {
	SnapshotHeader
	Messages  [][]byte // one message per chunk, as returned by pack
	Bytes     int      // total size of Messages
	JSONBytes int      // size of the changes as JSON
	chunkEnds []int    // for each chunk, the number of changes up to its end
}

// NewSnapshot encodes a snapshot of changes and sets the header's Total. pack encodes a JSON message for the wire. Messages are packed
// one at a time, so that at most one unpacked message is in memory.
func NewSnapshot(header SnapshotHeader, changes []Change, pack func(message []byte) []byte) (*Snapshot, error) {
	return encodeSnapshot(header, changes, ChunkBytes, pack)
}

func encodeSnapshot(header SnapshotHeader, changes []Change, chunkBytes int, pack func(message []byte) []byte) (*Snapshot, error) {
	header.Total = len(changes)
	if header.Total > MaxSnapshotChanges {
		return nil, fmt.Errorf("snapshot has %d changes, more than the limit of %d", header.Total, MaxSnapshotChanges)
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
			return nil, fmt.Errorf("snapshot exceeds %d bytes of JSON", MaxSnapshotBytes)
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

// encodeChanges replaces the contents of list with a JSON array of the first changes. It stops after the change with which the array
// reaches limit bytes, and returns the number of changes encoded.
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
		list.Truncate(list.Len() - 1) // the newline that the encoder adds
	}
	list.WriteByte(']')
	return count, nil
}

// encodeChunk returns the message of a chunk with the given changes. The changes replace a placeholder at the end of the message, because
// encoding them as a json.RawMessage would validate and copy them again.
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

// NextChunk returns the index of the first chunk that a proxy still needs. It returns 0 if the progress is that of another snapshot or
// doesn't end at the end of a chunk.
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
