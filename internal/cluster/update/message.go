package update

import (
	"encoding/json"

	"portflow/internal/cluster/outlier"
	"portflow/internal/quota"
)

// Message is what is said on a held connection. Who dials follows; who is dialled tells the news.
type Message struct {
	Hello         *Hello                     `json:"h,omitempty"` // first, from each side
	Batch         *Batch                     `json:"n,omitempty"` // down
	Status        *Status                    `json:"s,omitempty"` // down, at each change and now and then
	Ack           uint64                     `json:"a,omitempty"` // up: the number up to which the news was taken
	Proxy         *Proxy                     `json:"f,omitempty"` // up, from a router: how it is
	Votes         []Vote                     `json:"p,omitempty"` // up, from a router
	Consensus     json.RawMessage            `json:"q,omitempty"` // up, between control processes: a quorum.Message, laid out once for all
	Outliers      map[string][]outlier.Stats `json:"e,omitempty"` // up, from a router: hosts with bad outcomes, by service
	Quota         *QuotaUpdate               `json:"t,omitempty"` // up from a router, down to it, and down between control processes
	RolloutStarts []RolloutStart             `json:"r,omitempty"` // down between control processes: rollouts of late, with a status
	Now           int64                      `json:"u,omitempty"` // by a control process's clock, where the word holds times (see Offset)
	Chunk         *Chunk                     `json:"k,omitempty"` // down, to a router that says Part with its hello
	Progress      *Progress                  `json:"w,omitempty"` // up, from a router: with its hello, and as the acknowledgement of each chunk
	StatusOnly    bool                       `json:"y,omitempty"` // up, with a router's hello: it wants to hear the status alone, until it says how it is
}

// QuotaUpdate is what is told of callers' shares; nothing is where there are none.
type QuotaUpdate struct {
	Reports     []quota.Report                 `json:"r,omitempty"` // a router's
	Loads       []quota.Load                   `json:"l,omitempty"` // a router's, or of all that hang on a control process
	Callers     map[string][]quota.CallerCount `json:"c,omitempty"` // a router's, by service
	ZoneUsage   []quota.ZoneUsage              `json:"s,omitempty"` // of all routers that hang on a control process
	Allocations []quota.Allocation             `json:"a,omitempty"` // to a router
	Capacity    map[string]float64             `json:"p,omitempty"` // to a router: what services can carry, requests a second
}

// Hello is who speaks.
type Hello struct {
	Name        string `json:"n"`
	IP          string `json:"p"`
	Zone        string `json:"z"`
	Control     bool   `json:"c,omitempty"`
	Incarnation string `json:"l,omitempty"` // whose news it has, and up to which number
	Offset      uint64 `json:"h,omitempty"`
	ID          string `json:"d,omitempty"` // of a control process's disk
	Now         int64  `json:"t,omitempty"` // by a control process's clock, nanoseconds: it never steps within a life
}

// Batch is a batch: all numbers after From up to To, or a snapshot as of To.
type Batch struct {
	Incarnation string   `json:"l"`
	From        uint64   `json:"f,omitempty"`
	To          uint64   `json:"t"`
	Snapshot    bool     `json:"s,omitempty"`
	Changes     []Change `json:"n,omitempty"`
	Epoch       uint64   `json:"e,omitempty"` // the set's epoch and number as of this batch: who has had a later number doesn't go back
	Number      uint64   `json:"u,omitempty"`
}

// Status is how a control process stands.
type Status struct {
	Complete  bool   `json:"w,omitempty"` // since its start it has had all that was decided when it asked more than half
	Member    bool   `json:"i,omitempty"` // of the core as of its epoch: its vote counts
	HasQuorum bool   `json:"m,omitempty"` // it is whole, and hears more than half of the members
	Leaving   bool   `json:"l,omitempty"` // it ends: nothing is handed to it, and it isn't voted in
	Sum       uint64 `json:"s,omitempty"`
	Epoch     uint64 `json:"e,omitempty"`
	Number    uint64 `json:"n,omitempty"` // of the last change that it has applied
}
