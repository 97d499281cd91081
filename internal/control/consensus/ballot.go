package consensus

import (
	"portflow/internal/cluster/config"
)

// Ballot is a proposer's try. By is one life of one process: no two proposers ever use the same ballot.
type Ballot struct {
	Number   uint64 `json:"n"`
	Proposer string `json:"b"`
}

// Less orders ballots.
func (b Ballot) Less(other Ballot) bool {
	return b.Number < other.Number || b.Number == other.Number && b.Proposer < other.Proposer
}

// HardState is what a member keeps beside its items, in one record: it is synced before any reply that rests on it.
type HardState struct {
	DiskID        string        `json:"id"`
	Applied       uint64        `json:"applied"`
	Promised      Ballot        `json:"promised,omitzero"`
	Accepted      Ballot        `json:"vote,omitzero"`
	AcceptedIndex uint64        `json:"at,omitempty"` // the number voted on
	AcceptedValue []config.Item `json:"value,omitempty"`
	Founders      []string      `json:"founders,omitempty"` // IP numbers of those who make the first epoch; the first start's settings name them
}
