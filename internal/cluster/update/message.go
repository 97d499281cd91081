package update

import (
	"encoding/json"

	"portflow/internal/cluster/outlier"
	"portflow/internal/quota"
)

// Message is a message on a stream. The process that dials is the subscriber, which is a proxy or another control process. In the
// comments below, "up" is from the subscriber to the control process that it dialled, and "down" is the opposite direction. Messages
// are encoded in the order of the fields.
type Message struct {
	Hello         *Hello                     `json:"h,omitempty"` // the first message in each direction
	Batch         *Batch                     `json:"n,omitempty"` // down
	Status        *Status                    `json:"s,omitempty"` // down, on each change and periodically
	Ack           uint64                     `json:"a,omitempty"` // up: number of the last change received
	Proxy         *Proxy                     `json:"f,omitempty"` // up, from a proxy: its own state
	Votes         []Vote                     `json:"p,omitempty"` // up, from a proxy
	Consensus     json.RawMessage            `json:"q,omitempty"` // up, between control processes: a consensus.Message, encoded once for all recipients
	Outliers      map[string][]outlier.Stats `json:"e,omitempty"` // up, from a proxy: statistics of instances with failures, by service
	Quota         *QuotaUpdate               `json:"t,omitempty"` // up from a proxy, down to a proxy, and down between control processes
	RolloutStarts []RolloutStart             `json:"r,omitempty"` // down, between control processes, with Status: the recently started rollouts
	Now           int64                      `json:"u,omitempty"` // the sender's clock in nanoseconds, at least if the message has times (see ClockOffset)
	Chunk         *Chunk                     `json:"k,omitempty"` // down, to a proxy that sent Progress with Hello
	Progress      *Progress                  `json:"w,omitempty"` // up, from a proxy: with Hello, and to acknowledge each chunk
	StatusOnly    bool                       `json:"y,omitempty"` // up, with a proxy's Hello: send only Status until the proxy sends Proxy
}

// QuotaUpdate is the information about callers' quotas that proxies and control processes exchange.
type QuotaUpdate struct {
	Reports     []quota.Report                 `json:"r,omitempty"` // sent by a proxy
	Loads       []quota.Load                   `json:"l,omitempty"` // of one proxy, or of all proxies that subscribe to the sending control process
	Callers     map[string][]quota.CallerCount `json:"c,omitempty"` // of one proxy, by service
	ZoneUsage   []quota.ZoneUsage              `json:"s,omitempty"` // of all proxies that subscribe to the sending control process
	Allocations []quota.Allocation             `json:"a,omitempty"` // sent to a proxy
	Capacity    map[string]float64             `json:"p,omitempty"` // sent to a proxy: requests per second that each service can serve, by service
}

// Hello identifies the sender and, from a subscriber, the position at which its subscription resumes.
type Hello struct {
	Name        string `json:"n"`
	IP          string `json:"p"`
	Zone        string `json:"z"`
	Control     bool   `json:"c,omitempty"`
	Incarnation string `json:"l,omitempty"` // incarnation of the control process whose changes the subscriber has received up to Offset
	Offset      uint64 `json:"h,omitempty"`
	ID          string `json:"d,omitempty"` // disk ID of a control process
	Now         int64  `json:"t,omitempty"` // a control process's clock in nanoseconds; it never steps within an incarnation
}

// Batch has all changes with numbers above From up to To or, if Snapshot is set, the state as of To.
type Batch struct {
	Incarnation string   `json:"l"`
	From        uint64   `json:"f,omitempty"`
	To          uint64   `json:"t"`
	Snapshot    bool     `json:"s,omitempty"`
	Changes     []Change `json:"n,omitempty"`
	Epoch       uint64   `json:"e,omitempty"` // epoch of the configuration as of this batch
	Number      uint64   `json:"u,omitempty"` // index of the configuration; a subscriber doesn't go back to an earlier epoch and index
}

// Status is the state of a control process.
type Status struct {
	Complete       bool   `json:"w,omitempty"` // since its start it has received everything that was decided when it queried a majority
	Member         bool   `json:"i,omitempty"` // it is a voting member, as of Epoch
	HasQuorum      bool   `json:"m,omitempty"` // it is complete and connected to a majority of the members
	Leaving        bool   `json:"l,omitempty"` // it is shutting down: nothing is forwarded to it, and it can't become a member
	ConfigChecksum uint64 `json:"s,omitempty"` // checksum of its configuration
	Epoch          uint64 `json:"e,omitempty"`
	Number         uint64 `json:"n,omitempty"` // log index that it has applied
}

// RolloutStart announces when a service's newest rollout began. StartedAt is in nanoseconds of the sender's clock.
type RolloutStart struct {
	Service   string `json:"s"`
	Number    uint64 `json:"o"`
	StartedAt int64  `json:"b"`
}
