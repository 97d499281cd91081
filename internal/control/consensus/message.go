package consensus

import (
	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// MessageKind says what a message means. The values are sent.
type MessageKind string

// The kinds of messages: the two phases of Paxos with their replies, then reads, catch-up and forwarded operations.
const (
	Prepare        MessageKind = "p" // phase 1a: a proposer asks for promises; Index is the log index that it wants to decide
	Promise        MessageKind = "q" // phase 1b: with the vote that the acceptor has at that index; at index 1 also with its Member and items
	Accept         MessageKind = "a" // phase 2a: a proposer asks for votes on Value
	Accepted       MessageKind = "v" // phase 2b: the vote is on disk
	Rejected       MessageKind = "b" // a higher ballot, Ballot, is promised; Accepted holds the ballot that was refused
	Commit         MessageKind = "c" // Index is decided, with the value that was voted for in Ballot
	Behind         MessageKind = "l" // the sender has applied too little (Applied) to vote at Index
	Ahead          MessageKind = "h" // the sender has applied Index already
	ReadIndex      MessageKind = "r" // a reader asks for the highest index at which there is a vote
	ReadIndexReply MessageKind = "s" // with that index, and the ballot of the vote that is on disk at the index after Applied
	VotePersisted  MessageKind = "y" // from a node to itself: its vote at Index in Ballot is on disk
	FetchChanges   MessageKind = "f" // asks for what was decided after Applied; Checksums are of the set's partitions at the sender
	Changes        MessageKind = "g" // Batches were decided at the indexes after Index
	SnapshotChunk  MessageKind = "w" // a part of a snapshot as of Index, which replaces the partitions Parts
	Forward        MessageKind = "o" // an operation for the preferred proposer
	ForwardResult  MessageKind = "k" // how a forwarded operation ended
)

// Message is what members send each other. Epoch, DiskID and Applied always describe the sender. The order of the fields is that
// of the encoding.
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
	Tag         uint64               `json:"t,omitempty"` // of a read or a forwarded operation; of a snapshot, the set's checksum
	Incarnation string               `json:"w,omitempty"` // of the process that chose Tag, echoed in the reply: tags begin anew with each incarnation
	Operation   *operation.Operation `json:"o,omitempty"`
	Result      *Result              `json:"r,omitempty"`
	Batches     [][]config.Item      `json:"c,omitempty"`
	Checksums   []uint64             `json:"s,omitempty"`
	Parts       []int                `json:"p,omitempty"`
	Final       bool                 `json:"z,omitempty"` // the last chunk of a snapshot
}

// Result is how an operation or a read ended.
type Result struct {
	Kind        apierror.Kind `json:"k,omitempty"` // None: the operation is decided, or the read is up to date
	Reason      string        `json:"w,omitempty"`
	Index       uint64        `json:"n,omitempty"` // the log index at which it holds
	NotProposed bool          `json:"v,omitempty"` // of a forwarded operation: it was never voted on, and never will be
}

// Err returns the result as an error, nil for success.
func (r Result) Err() error {
	if r.Kind == apierror.None {
		return nil
	}
	return apierror.New(r.Kind, "%s", r.Reason)
}
