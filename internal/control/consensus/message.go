// Package consensus is the agreement of the core. There is one register, whose value is the whole set of items; what changes it
// is decided number by number, each once and for ever, by more than half of the members of the present epoch (prepare and
// accept, as in Paxos). Any member may propose; nobody is elected, and no past change is needed once it is applied. A member
// votes on a number only when it has applied all before it, so that who is behind, or has lost its disk, counts for nothing.
// The package is pure: time comes in with each event, and what is to be sent, written and answered goes out.
package consensus

import (
	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// MessageKind is what a message says.
type MessageKind string

const (
	Prepare        MessageKind = "p" // a proposer asks for promises; Number is what it wants to decide
	Promise        MessageKind = "q" // with what was voted for at that number, and at number 1 who it is and what it holds
	Accept         MessageKind = "a" // a proposer asks for votes on Value
	Accepted       MessageKind = "v" // the vote is synced
	Rejected       MessageKind = "b" // a higher ballot was promised
	Commit         MessageKind = "c" // Number is decided as voted for in Ballot
	Behind         MessageKind = "l" // the sender has applied less (Applied) than is needed here
	Ahead          MessageKind = "h" // the sender has applied more, or is of a later epoch
	ReadIndex      MessageKind = "r" // a reader asks how far there are votes
	ReadIndexReply MessageKind = "s" // with the vote that is on its disk on the number after the last applied
	VotePersisted  MessageKind = "y" // to itself: its vote on Number in Ballot is on disk
	FetchChanges   MessageKind = "f" // asks for what was decided after Applied; Sums are of the parts that are had
	Changes        MessageKind = "g" // Batches follow on number Number
	SnapshotChunk  MessageKind = "w" // a chunk of a consistent cut as of Number: whole parts of the set
	Forward        MessageKind = "o" // an order for the member that proposes for the others
	ForwardResult  MessageKind = "k" // how it ended
)

// Message is what members tell each other. Epoch, ID and Applied are always of the sender.
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
	Tag         uint64               `json:"t,omitempty"` // of a confirm, or of an order that was handed over
	Incarnation string               `json:"w,omitempty"` // of who asks by that tag, and in the answer: tags begin anew with each life
	Operation   *operation.Operation `json:"o,omitempty"`
	Result      *Result              `json:"r,omitempty"`
	Batches     [][]config.Item      `json:"c,omitempty"`
	Checksums   []uint64             `json:"s,omitempty"`
	Parts       []int                `json:"p,omitempty"`
	Final       bool                 `json:"z,omitempty"` // of the chunks
}

// Result is how an order ended.
type Result struct {
	Kind        apierror.Kind `json:"k,omitempty"` // None: it stands, kept by more than half
	Reason      string        `json:"w,omitempty"`
	Index       uint64        `json:"n,omitempty"`
	NotProposed bool          `json:"v,omitempty"` // of one that was handed over: nothing of it was voted on, and none will be
}

// Err is the result as an error.
func (r Result) Err() error {
	if r.Kind == apierror.None {
		return nil
	}
	return apierror.New(r.Kind, "%s", r.Reason)
}
