package consensus

import (
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// Peer is another control process that is heard, as it last said of itself.
type Peer struct {
	Member   membership.Member
	Epoch    uint64
	Applied  uint64
	CaughtUp bool
}

// Event is what happens to a node. Exactly one of the pointers, or Tick, is set.
type Event struct {
	Now       int64   // monotonic, nanoseconds
	Random    float64 // in [0, 1)
	Tick      bool
	From      string   // IP number, of a message or a peer
	Message   *Message // that came
	Peer      *Peer    // is heard, and says this
	PeerLost  bool     // From isn't heard any more
	Operation *operation.Operation
	Read      bool // somebody wants the set as it is now, not as it was
	Recover   bool // an operator makes this process the whole core, as the others never come back
	Tag       uint64
}

// Effects are what a step asks of the carrier, to be done in this order: the write is queued before anything else, and
// Synced messages go out once it is on disk.
type Effects struct {
	HardState     *HardState           // to be written, with Items and Gone, in one synced step
	SaveItems     []config.Item        // what has come into the set since the last write
	DeleteKeys    []config.Key         // what is no longer in it
	Updated       []config.Item        // applied in this step: to be told to those who follow
	Removed       []config.Key         // no longer in the set since this step
	Replaced      bool                 // items went, or older ones came: not told by News alone
	Changed       bool                 // the set, the list or this process's standing has changed
	Send          map[string][]Message // by IP number, at once
	SendAfterSync map[string][]Message // once the disk has it
	Answers       []Answer
}

// Answer is the end of an order or of a read of this process.
type Answer struct {
	Tag    uint64
	Result Result
}
