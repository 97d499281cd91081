package update

import (
	"encoding/json"

	"portflow/internal/cluster/outlier"
	"portflow/internal/quota"
)

// Message is a message on a stream. The process that dials is the subscriber; "up" is from it to the control process that it
// dialled, "down" the other way. The order of the fields is the order of bytes on the wire.
type Message struct {
	Hello         *Hello                     `json:"h,omitempty"` // the first message each way
	Batch         *Batch                     `json:"n,omitempty"` // down
	Status        *Status                    `json:"s,omitempty"` // down, at each change of it and periodically
	Ack           uint64                     `json:"a,omitempty"` // up: the number of the last change received
	Proxy         *Proxy                     `json:"f,omitempty"` // up, from a proxy: its state
	Votes         []Vote                     `json:"p,omitempty"` // up, from a proxy
	Consensus     json.RawMessage            `json:"q,omitempty"` // up, between control processes: a consensus.Message, encoded once for all
	Outliers      map[string][]outlier.Stats `json:"e,omitempty"` // up, from a proxy: instances with failures, by service
	Quota         *QuotaUpdate               `json:"t,omitempty"` // up from a proxy, down to it, and down between control processes
	RolloutStarts []RolloutStart             `json:"r,omitempty"` // down between control processes, with a status: recent rollouts
	Now           int64                      `json:"u,omitempty"` // the sender's clock, in nanoseconds, if the message has times (see ClockOffset)
	Chunk         *Chunk                     `json:"k,omitempty"` // down, to a proxy that sent Progress with its hello
	Progress      *Progress                  `json:"w,omitempty"` // up, from a proxy: with its hello, and to acknowledge each chunk
	StatusOnly    bool                       `json:"y,omitempty"` // up, with a proxy's hello: it wants nothing but Status until it sends Proxy
}

// QuotaUpdate has what is sent about the quotas of callers.
type QuotaUpdate struct {
	Reports     []quota.Report                 `json:"r,omitempty"` // from a proxy
	Loads       []quota.Load                   `json:"l,omitempty"` // of a proxy, or of all proxies that subscribe to a control process
	Callers     map[string][]quota.CallerCount `json:"c,omitempty"` // of a proxy, by service
	ZoneUsage   []quota.ZoneUsage              `json:"s,omitempty"` // of all proxies that subscribe to a control process
	Allocations []quota.Allocation             `json:"a,omitempty"` // to a proxy
	Capacity    map[string]float64             `json:"p,omitempty"` // to a proxy: requests a second that services can serve
}

// Hello says which process speaks.
type Hello struct {
	Name        string `json:"n"`
	IP          string `json:"p"`
	Zone        string `json:"z"`
	Control     bool   `json:"c,omitempty"`
	Incarnation string `json:"l,omitempty"` // of the control process whose changes it has received, up to Offset
	Offset      uint64 `json:"h,omitempty"`
	ID          string `json:"d,omitempty"` // of a control process's disk
	Now         int64  `json:"t,omitempty"` // a control process's clock, in nanoseconds; it never steps within an incarnation
}

// Batch has all changes with numbers above From up to To, or all of a snapshot as of To.
type Batch struct {
	Incarnation string   `json:"l"`
	From        uint64   `json:"f,omitempty"`
	To          uint64   `json:"t"`
	Snapshot    bool     `json:"s,omitempty"`
	Changes     []Change `json:"n,omitempty"`
	Epoch       uint64   `json:"e,omitempty"` // epoch and index of the configuration as of this batch: a subscriber doesn't go back behind them
	Number      uint64   `json:"u,omitempty"`
}

// Status is the state of a control process.
type Status struct {
	Complete  bool   `json:"w,omitempty"` // since its start it has received all that was decided when it asked a majority
	Member    bool   `json:"i,omitempty"` // it votes, as of its epoch
	HasQuorum bool   `json:"m,omitempty"` // it is complete, and connected to a majority of the members
	Leaving   bool   `json:"l,omitempty"` // it shuts down: nothing is forwarded to it, and it can't become a member
	Sum       uint64 `json:"s,omitempty"` // checksum of its configuration
	Epoch     uint64 `json:"e,omitempty"`
	Number    uint64 `json:"n,omitempty"` // index of the last change that it has applied
}

// RolloutStart is when a service's newest rollout began, in nanoseconds of the sender's clock.
type RolloutStart struct {
	Service   string `json:"s"`
	Number    uint64 `json:"o"`
	StartedAt int64  `json:"b"`
}
