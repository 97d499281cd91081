package consensus

import (
	"portflow/internal/cluster/config"
)

// Ballot is a Paxos ballot number. Proposer is the incarnation of the proposing process; it makes ballots unique across
// proposers and across the incarnations of one process.
type Ballot struct {
	Number   uint64 `json:"n"`
	Proposer string `json:"b"`
}

// Less reports whether b is lower than other. The order is total.
func (b Ballot) Less(other Ballot) bool {
	return b.Number < other.Number || b.Number == other.Number && b.Proposer < other.Proposer
}

// HardState is the acceptor state that is kept on disk as one record, in addition to the items. It must be synced before any
// reply that depends on it is sent: if an acceptor forgot a promise or a vote, two values could be decided at one index.
type HardState struct {
	DiskID        string        `json:"id"`                 // identifies the disk; a member that lost its disk is a different member
	Applied       uint64        `json:"applied"`            // the last applied log index
	Promised      Ballot        `json:"promised,omitzero"`  // the highest ballot promised or voted in
	Accepted      Ballot        `json:"vote,omitzero"`      // the ballot of the last vote
	AcceptedIndex uint64        `json:"at,omitempty"`       // the index of the last vote, 0 for none
	AcceptedValue []config.Item `json:"value,omitempty"`    // the value of the last vote
	Founders      []string      `json:"founders,omitempty"` // IP addresses of the members of the first epoch, from the settings at the first start
}
