package consensus

import (
	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// MessageKind is the type of a message. The values are part of the wire format.
type MessageKind string

// The message kinds: the two phases of Paxos with their replies, then reads, catch-up and forwarded operations.
const (
	Prepare        MessageKind = "p" // phase 1a: a proposer asks for promises to decide Index in Ballot
	Promise        MessageKind = "q" // phase 1b: with the acceptor's vote at Index, if any; at index 1 also with its Member and items
	Accept         MessageKind = "a" // phase 2a: a proposer asks for votes on Value
	Accepted       MessageKind = "v" // phase 2b: the vote is on disk
	Rejected       MessageKind = "b" // the acceptor has promised the higher ballot Ballot; Accepted is the rejected ballot
	Commit         MessageKind = "c" // the value voted for in Ballot is decided at Index
	Behind         MessageKind = "l" // the sender's Applied is too low to vote at Index
	Ahead          MessageKind = "h" // the sender has already applied Index
	ReadIndex      MessageKind = "r" // a reader asks for the highest index that was applied or voted at
	ReadIndexReply MessageKind = "s" // the reply, with that Index, and in Accepted the ballot of a persisted vote at the index after Applied
	VotePersisted  MessageKind = "y" // from a node to itself: its vote at Index in Ballot is on disk
	FetchChanges   MessageKind = "f" // requests the changes decided after Applied; Checksums are those of the sender's partitions
	Changes        MessageKind = "g" // Batches are the values decided at the indexes following Index
	SnapshotChunk  MessageKind = "w" // a chunk of a snapshot taken at Index, which replaces the partitions listed in Parts
	Forward        MessageKind = "o" // an operation forwarded to the preferred proposer
	ForwardResult  MessageKind = "k" // the result of a forwarded operation
)

// Message is a message between control processes. Epoch, DiskID and Applied always describe the sender. The fields are encoded
// in this order.
type Message struct {
	Kind        MessageKind          `json:"k"`
	Epoch       uint64               `json:"e,omitempty"`
	DiskID      string               `json:"d,omitempty"`
	Applied     uint64               `json:"a,omitempty"`
	Index       uint64               `json:"n,omitempty"`
	Ballot      Ballot               `json:"b,omitzero"`
	Accepted    Ballot               `json:"v,omitzero"`
	Value       []config.Item        `json:"i,omitempty"`
	Member      *membership.Member   `json:"m,omitempty"`
	Tag         uint64               `json:"t,omitempty"` // identifies a read or a forwarded operation; in a snapshot, the checksum of the set
	Incarnation string               `json:"w,omitempty"` // of the process that chose Tag, echoed in replies; tags restart with each incarnation
	Operation   *operation.Operation `json:"o,omitempty"`
	Result      *Result              `json:"r,omitempty"`
	Batches     [][]config.Item      `json:"c,omitempty"`
	Checksums   []uint64             `json:"s,omitempty"`
	Parts       []int                `json:"p,omitempty"` // partition numbers
	Final       bool                 `json:"z,omitempty"` // marks the last chunk of a snapshot
}

// Result is the outcome of an operation or a read.
type Result struct {
	Kind        apierror.Kind `json:"k,omitempty"` // None if the operation was decided or the read is up to date
	Reason      string        `json:"w,omitempty"`
	Index       uint64        `json:"n,omitempty"` // the log index as of which the result is valid
	NotProposed bool          `json:"v,omitempty"` // the forwarded operation was not put to the vote by the replying process and will not be
}

// Err returns the result as an error, or nil if it is a success.
func (r Result) Err() error {
	if r.Kind == apierror.None {
		return nil
	}
	return apierror.New(r.Kind, "%s", r.Reason)
}
