package signals

import "net/netip"

// Ask is a step of a register: a value that is decided once by more than half of the core, for ever. It goes by prepare
// and accept, as in single-decree agreement; there is no log and no leader.
type Ask struct {
	ID     uint64 `json:"i"`
	Name   string `json:"n"` // of the register
	Ballot uint64 `json:"b"`
	Accept string `json:"a,omitempty"` // the value to accept; none for prepare
}

// Reply answers it.
type Reply struct {
	ID     uint64 `json:"i"`
	OK     bool   `json:"k,omitempty"`
	Ballot uint64 `json:"b,omitempty"` // the highest that was promised
	Voted  uint64 `json:"v,omitempty"` // the ballot of the value that was accepted here, 0 for none
	Value  string `json:"s,omitempty"`
}

// Cell is one acceptor's part of a register. It must be on disk before its reply goes out.
type Cell struct {
	Promised uint64 `json:"p"`
	Voted    uint64 `json:"v,omitempty"`
	Value    string `json:"s,omitempty"`
	Barred   bool   `json:"x,omitempty"` // what it promised was lost with its disk: it takes no more part in this register
}

// Ballot is a proposer's next one: above what was promised here, by the time, and no other proposer's, as it ends in the
// lower 24 bits of its IP number.
func Ballot(promised uint64, now int64, ip string) uint64 {
	own := uint64(0)
	if a, err := netip.ParseAddr(ip); err == nil {
		for _, b := range a.AsSlice() {
			own = (own<<8 | uint64(b)) & (1<<24 - 1)
		}
	}
	return max(uint64(now/1e7), promised>>24+1)<<24 | own
}

// Take is the acceptor's only step. One that is barred says nothing that counts: neither a promise nor that it was beaten.
func (c Cell) Take(a Ask) (Cell, Reply) {
	if c.Barred {
		return c, Reply{ID: a.ID}
	}
	if a.Accept == "" && a.Ballot > c.Promised {
		c.Promised = a.Ballot
	} else if a.Accept != "" && a.Ballot >= c.Promised {
		c.Promised, c.Voted, c.Value = a.Ballot, a.Ballot, a.Accept
	} else {
		return c, Reply{ID: a.ID, Ballot: c.Promised, Voted: c.Voted, Value: c.Value}
	}
	return c, Reply{ID: a.ID, OK: true, Ballot: c.Promised, Voted: c.Voted, Value: c.Value}
}

// Round is one proposer's try at a register: it prepares, takes over the value of the highest ballot that it hears of, or
// proposes its own, and is decided once more than half have accepted.
type Round struct {
	Ballot   uint64
	Majority int
	own      string
	highest  uint64
	value    string
	promises map[string]bool
	accepts  map[string]bool
	state    RoundState
}

// RoundState is where a round stands.
type RoundState uint8

const (
	Preparing RoundState = iota
	Accepting
	Decided
	Beaten // by a higher ballot
)

// NewRound begins one. A ballot is used by one proposer only.
func NewRound(ballot uint64, majority int, own string) *Round {
	return &Round{Ballot: ballot, Majority: majority, own: own, promises: map[string]bool{}, accepts: map[string]bool{}}
}

// State is where it stands.
func (r *Round) State() RoundState { return r.state }

// Value is what is proposed, once it accepts, and decided in the end.
func (r *Round) Value() string { return r.value }

// Ask is what all are asked now.
func (r *Round) Ask(name string) Ask {
	a := Ask{Name: name, Ballot: r.Ballot}
	if r.state == Accepting {
		a.Accept = r.value
	}
	return a
}

// Take takes a reply of the present step, and tells whether the step has changed.
func (r *Round) Take(from string, step RoundState, p Reply) bool {
	if step != r.state || r.state >= Decided {
		return false
	}
	if !p.OK {
		if p.Ballot > r.Ballot {
			r.state = Beaten
			return true
		}
		return false
	}
	switch r.state {
	case Preparing:
		r.promises[from] = true
		if p.Voted > r.highest {
			r.highest, r.value = p.Voted, p.Value
		}
		if len(r.promises) >= r.Majority {
			if r.highest == 0 {
				r.value = r.own
			}
			r.state = Accepting
			return true
		}
	case Accepting:
		r.accepts[from] = true
		if len(r.accepts) >= r.Majority {
			r.state = Decided
			return true
		}
	}
	return false
}
