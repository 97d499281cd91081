package consensus

import (
	"portflow/internal/cluster/config"
)

// Ballot numbers a proposal, as in Paxos. Proposer is the incarnation of the proposing process; it is part of the ballot so that no
// two proposers, nor two incarnations of one process, ever use the same ballot.
type Ballot struct {
	Number   uint64 `json:"n"`
	Proposer string `json:"b"`
}

// Less reports whether b comes before other. The order is total.
func (b Ballot) Less(other Ballot) bool {
	return b.Number < other.Number || b.Number == other.Number && b.Proposer < other.Proposer
}

// HardState is what an acceptor keeps on disk beside the items, in one record. It must be synced before any reply that depends on
// it is sent: an acceptor that forgot a promise or a vote could let two values be decided at one index.
type HardState struct {
	DiskID        string        `json:"id"`                 // identifies the disk: a member that lost its disk is another member
	Applied       uint64        `json:"applied"`            // the last log index that is applied
	Promised      Ballot        `json:"promised,omitzero"`  // the highest ballot that is promised or voted in
	Accepted      Ballot        `json:"vote,omitzero"`      // the ballot of the last vote
	AcceptedIndex uint64        `json:"at,omitempty"`       // the index of the last vote, 0 for none
	AcceptedValue []config.Item `json:"value,omitempty"`    // the value of the last vote
	Founders      []string      `json:"founders,omitempty"` // IP addresses of the members of the first epoch, from the settings of the first start
}
