package signals

import (
	"encoding/json"

	"portflow/internal/harbour/lookout"
	"portflow/internal/harbour/tonnage"
)

// Word is what is said on a held connection. Who dials follows; who is dialled tells the news.
type Word struct {
	Hello  *Hello                     `json:"h,omitempty"` // first, from each side
	News   *News                      `json:"n,omitempty"` // down
	Status *Status                    `json:"s,omitempty"` // down, at each change and now and then
	Ack    uint64                     `json:"a,omitempty"` // up: the number up to which the news was taken
	Front  *Front                     `json:"f,omitempty"` // up, from a router: how it is
	Polls  []Poll                     `json:"p,omitempty"` // up, from a router
	Agreed json.RawMessage            `json:"q,omitempty"` // up, between control processes: a quorum.Message, laid out once for all
	Seen   map[string][]lookout.Count `json:"e,omitempty"` // up, from a router: hosts with bad outcomes, by service
	Tons   *Tons                      `json:"t,omitempty"` // up from a router, down to it, and down between control processes
	Ages   []Since                    `json:"r,omitempty"` // down between control processes: rollouts of late, with a status
	Now    int64                      `json:"u,omitempty"` // by a control process's clock, where the word holds times (see Offset)
	Chunk  *Chunk                     `json:"k,omitempty"` // down, to a router that says Part with its hello
	Part   *Part                      `json:"w,omitempty"` // up, from a router: with its hello, and as the acknowledgement of each chunk
	Trial  bool                       `json:"y,omitempty"` // up, with a router's hello: it wants to hear the status alone, until it says how it is
}

// Tons is what is told of callers' shares; nothing is where there are none.
type Tons struct {
	Reports    []tonnage.Report           `json:"r,omitempty"` // a router's
	Loads      []tonnage.Load             `json:"l,omitempty"` // a router's, or of all that hang on a control process
	Census     map[string][]tonnage.Count `json:"c,omitempty"` // a router's, by service
	Sums       []tonnage.Sum              `json:"s,omitempty"` // of all routers that hang on a control process
	Allotments []tonnage.Allotment        `json:"a,omitempty"` // to a router
	Carries    map[string]float64         `json:"p,omitempty"` // to a router: what services can carry, requests a second
}

// Hello is who speaks.
type Hello struct {
	Name    string `json:"n"`
	IP      string `json:"p"`
	Zone    string `json:"z"`
	Control bool   `json:"c,omitempty"`
	Life    string `json:"l,omitempty"` // whose news it has, and up to which number
	Have    uint64 `json:"h,omitempty"`
	ID      string `json:"d,omitempty"` // of a control process's disk
	Now     int64  `json:"t,omitempty"` // by a control process's clock, nanoseconds: it never steps within a life
}

// News is a batch: all numbers after From up to To, or a snapshot as of To.
type News struct {
	Life     string `json:"l"`
	From     uint64 `json:"f,omitempty"`
	To       uint64 `json:"t"`
	Snapshot bool   `json:"s,omitempty"`
	Notes    []Note `json:"n,omitempty"`
	Epoch    uint64 `json:"e,omitempty"` // the set's epoch and number as of this batch: who has had a later number doesn't go back
	Number   uint64 `json:"u,omitempty"`
}

// Status is how a control process stands.
type Status struct {
	Whole    bool   `json:"w,omitempty"` // since its start it has had all that was decided when it asked more than half
	Member   bool   `json:"i,omitempty"` // of the core as of its epoch: its vote counts
	Majority bool   `json:"m,omitempty"` // it is whole, and hears more than half of the members
	Leaving  bool   `json:"l,omitempty"` // it ends: nothing is handed to it, and it isn't voted in
	Sum      uint64 `json:"s,omitempty"`
	Epoch    uint64 `json:"e,omitempty"`
	Number   uint64 `json:"n,omitempty"` // of the last change that it has applied
}
