// Package quorum is the agreement of the core. There is one register, whose value is the whole set of items; what changes it
// is decided number by number, each once and for ever, by more than half of the members of the present epoch (prepare and
// accept, as in Paxos). Any member may propose; nobody is elected, and no past change is needed once it is applied. A member
// votes on a number only when it has applied all before it, so that who is behind, or has lost its disk, counts for nothing.
// The package is pure: time comes in with each event, and what is to be sent, written and answered goes out.
package quorum

import (
	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/orders"
)

// Ballot is a proposer's try. By is one life of one process: no two proposers ever use the same ballot.
type Ballot struct {
	N  uint64 `json:"n"`
	By string `json:"b"`
}

// Less orders ballots.
func (a Ballot) Less(b Ballot) bool { return a.N < b.N || a.N == b.N && a.By < b.By }

// Kind is what a message says.
type Kind string

const (
	Prepare   Kind = "p" // a proposer asks for promises; Number is what it wants to decide
	Promise   Kind = "q" // with what was voted for at that number, and at number 1 who it is and what it holds
	Accept    Kind = "a" // a proposer asks for votes on Value
	Voted     Kind = "v" // the vote is synced
	Beaten    Kind = "b" // a higher ballot was promised
	Commit    Kind = "c" // Number is decided as voted for in Ballot
	Behind    Kind = "l" // the sender has applied less (Applied) than is needed here
	Ahead     Kind = "h" // the sender has applied more, or is of a later epoch
	Confirm   Kind = "r" // a reader asks how far there are votes
	Confirmed Kind = "s" // with the vote that is on its disk on the number after the last applied
	Kept      Kind = "y" // to itself: its vote on Number in Ballot is on disk
	Fetch     Kind = "f" // asks for what was decided after Applied; Sums are of the parts that are had
	Changes   Kind = "g" // Batches follow on number Number
	Parts     Kind = "w" // a chunk of a consistent cut as of Number: whole parts of the set
	Hand      Kind = "o" // an order for the member that proposes for the others
	Handed    Kind = "k" // how it ended
)

// Message is what members tell each other. Epoch, ID and Applied are always of the sender.
type Message struct {
	Kind    Kind              `json:"k"`
	Epoch   uint64            `json:"e,omitempty"`
	ID      string            `json:"d,omitempty"`
	Applied uint64            `json:"a,omitempty"`
	Number  uint64            `json:"n,omitempty"`
	Ballot  Ballot            `json:"b,omitzero"`
	Vote    Ballot            `json:"v,omitzero"`
	Value   []manifest.Item   `json:"i,omitempty"`
	Member  *muster.Member    `json:"m,omitempty"`
	Tag     uint64            `json:"t,omitempty"` // of a confirm, or of an order that was handed over
	Life    string            `json:"w,omitempty"` // of who asks by that tag, and in the answer: tags begin anew with each life
	Order   *orders.Order     `json:"o,omitempty"`
	Result  *Result           `json:"r,omitempty"`
	Batches [][]manifest.Item `json:"c,omitempty"`
	Sums    []uint64          `json:"s,omitempty"`
	Parts   []int             `json:"p,omitempty"`
	Last    bool              `json:"z,omitempty"` // of the chunks
}

// Result is how an order ended.
type Result struct {
	Kind   faults.Kind `json:"k,omitempty"` // None: it stands, kept by more than half
	Reason string      `json:"w,omitempty"`
	Number uint64      `json:"n,omitempty"`
	Never  bool        `json:"v,omitempty"` // of one that was handed over: nothing of it was voted on, and none will be
}

// Err is the result as an error.
func (r Result) Err() error {
	if r.Kind == faults.None {
		return nil
	}
	return faults.New(r.Kind, "%s", r.Reason)
}

// Disk is what a member keeps beside its items, in one record: it is synced before any reply that rests on it.
type Disk struct {
	ID       string          `json:"id"`
	Applied  uint64          `json:"applied"`
	Promised Ballot          `json:"promised,omitzero"`
	Vote     Ballot          `json:"vote,omitzero"`
	At       uint64          `json:"at,omitempty"` // the number voted on
	Value    []manifest.Item `json:"value,omitempty"`
	Founders []string        `json:"founders,omitempty"` // IP numbers of those who make the first epoch; the first start's settings name them
}

// Effects are what a step asks of the carrier, to be done in this order: the write is queued before anything else, and
// Synced messages go out once it is on disk.
type Effects struct {
	Disk    *Disk                // to be written, with Items and Gone, in one synced step
	Items   []manifest.Item      // what has come into the set since the last write
	Gone    []manifest.Key       // what is no longer in it
	News    []manifest.Item      // applied in this step: to be told to those who follow
	Left    []manifest.Key       // no longer in the set since this step
	Cut     bool                 // items went, or older ones came: not told by News alone
	Changed bool                 // the set, the list or this process's standing has changed
	Send    map[string][]Message // by IP number, at once
	Synced  map[string][]Message // once the disk has it
	Answers []Answer
}

// Answer is the end of an order or of a read of this process.
type Answer struct {
	Tag    uint64
	Result Result
}
