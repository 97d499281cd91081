package consensus

import (
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// Peer is the last reported status of another control process.
type Peer struct {
	Member   membership.Member
	Epoch    uint64
	Applied  uint64
	CaughtUp bool
}

// Event is the input of Node.Step. Exactly one of these is set: Tick; Message (with From); Peer (with From); PeerLost (with
// From); Operation (with Tag); Read (with Tag); Recover.
type Event struct {
	Now       int64                // monotonic time in nanoseconds
	Random    float64              // a random number in [0, 1)
	Tick      bool                 // time has passed; the next Tick is due soon while Node.Busy
	From      string               // IP address of the sender of Message, or of the peer
	Message   *Message             // a message was received
	Peer      *Peer                // a connected peer reported its status
	PeerLost  bool                 // the connection to a peer was lost
	Operation *operation.Operation // a client of this process submitted an operation
	Read      bool                 // a client of this process requested a linearizable read
	Recover   bool                 // an operator makes this process the only member because the others are permanently lost
	Tag       uint64               // identifies the operation or read in its Answer; greater than 0 and less than 1<<32
}

// Effects are the output of Node.Step. The caller must first queue the write, then send the messages in Send at once, and send
// those in SendAfterSync only after the write has been synced.
type Effects struct {
	HardState     *HardState           // if not nil, to be written with SaveItems and DeleteKeys in one synced write
	SaveItems     []config.Item        // items added to the set or updated since the last write
	DeleteKeys    []config.Key         // keys removed from the set since the last write
	Updated       []config.Item        // items added or updated in this step, for subscribers
	Removed       []config.Key         // keys removed from the set in this step
	Replaced      bool                 // items were removed or reverted to older versions; subscribers need a snapshot instead of Updated
	Changed       bool                 // the set, the membership or the status of this process has changed
	Send          map[string][]Message // messages to send at once, by IP address
	SendAfterSync map[string][]Message // messages to send after the write has been synced, by IP address
	Answers       []Answer
}

// Answer is the result of an operation or a read submitted by a client of this process.
type Answer struct {
	Tag    uint64
	Result Result
}
