package consensus

import (
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// Peer is the status of another control process, as it last reported it.
type Peer struct {
	Member   membership.Member
	Epoch    uint64
	Applied  uint64
	CaughtUp bool
}

// Event is the input of Node.Step. It is exactly one of: Tick; Message (with From); Peer (with From); PeerLost (with From);
// Operation (with Tag); Read (with Tag); Recover.
type Event struct {
	Now       int64                // of a monotonic clock, nanoseconds
	Random    float64              // drawn from [0, 1)
	Tick      bool                 // time has passed; due soon again while Node.Busy
	From      string               // IP address of the sender of a message, or of the peer
	Message   *Message             // a message has arrived
	Peer      *Peer                // a peer is connected, and reports this status
	PeerLost  bool                 // the connection to a peer is lost
	Operation *operation.Operation // a client of this process submits an operation
	Read      bool                 // a client of this process wants a linearizable read
	Recover   bool                 // an operator makes this process the only member, because the others are lost for good
	Tag       uint64               // identifies the operation or the read in its Answer; not 0, and below 1<<32
}

// Effects are the output of Node.Step. The caller carries them out in this order: it queues the write first, then sends Send at
// once, and sends SendAfterSync only when that write is on disk.
type Effects struct {
	HardState     *HardState           // if not nil, to be written with SaveItems and DeleteKeys in one synced write
	SaveItems     []config.Item        // that entered the set since the last write
	DeleteKeys    []config.Key         // that left the set since the last write
	Updated       []config.Item        // applied in this step, for subscribers
	Removed       []config.Key         // that left the set in this step
	Replaced      bool                 // items were removed or went back to older versions: subscribers need a snapshot, Updated is not enough
	Changed       bool                 // the set, the members or this process's status has changed
	Send          map[string][]Message // by IP address, to be sent at once
	SendAfterSync map[string][]Message // by IP address, to be sent when the write is synced
	Answers       []Answer
}

// Answer ends an operation or a read of a client of this process.
type Answer struct {
	Tag    uint64
	Result Result
}
