package lanes

import (
	"math"
	"slices"
)

// Settling is for how long a part that has grown is not used, nanoseconds: the others shrink theirs as they hear of it, and
// what they sent before that arrives. Control is done telling within a second, or the line to it ends.
const Settling = second + second/3

// Former is a roster until it was replaced, Unix nanoseconds.
type Former struct {
	Roster  Roster
	Counted bool // this router was on it
	Until   int64
}

// Past is the rosters of late, the newest last; a new one is made by Then, so that many may read it.
type Past []Former

// Then is the past once a roster has been replaced.
func (p Past) Then(now int64, was Roster, counted bool) Past {
	p = slices.DeleteFunc(slices.Clone(p), func(f Former) bool { return now-f.Until > Settling })
	return append(p, Former{was, counted, now})
}

// Cold is the least part of a cold host that this router has had of late, none where it was not counted.
func (p Past) Cold(now int64, part func(Roster) int) int {
	least := math.MaxInt
	for _, f := range p {
		if now-f.Until < Settling {
			if !f.Counted {
				return 0
			}
			least = min(least, part(f.Roster))
		}
	}
	return least
}

// Open is the least part of a host that this router has had of late by other weights of the same routers, and until when
// that holds. Where routers came or went, the parts are used at once: a zone that has lost some can't wait, and a host's
// queue bears what the lost ones had there.
func (p Past) Open(now int64, is Roster, part func(Roster) int) (least int, until int64) {
	least, until = part(is), int64(math.MaxInt64)
	for _, f := range p {
		if now-f.Until < Settling && f.Counted && f.Roster.same(is) {
			least = min(least, part(f.Roster))
			until = min(until, f.Until+Settling)
		}
	}
	return least, until
}

// same tells whether two rosters have the same routers.
func (r Roster) same(x Roster) bool {
	if len(r) != len(x) {
		return false
	}
	for z, all := range r {
		if !slices.EqualFunc(all, x[z], func(a, b Router) bool { return a.Name == b.Name }) {
			return false
		}
	}
	return true
}

// Short is whether a router is short of room in its own zone: the one place where that changes is Look.
type Short struct {
	is    bool
	quiet int // looks in a row in which it used no more than its usual parts
	away  int // looks in a row in which it handed much to other zones
}

const (
	// LookEvery is the time between two looks, nanoseconds.
	LookEvery = second / 2
	spilled   = 4 // hand-offs to other zones in a look, and a fifth of all, show that a router is short
	lasting   = 3 // such looks in a row: a rush that comes to all of a zone is none that others could help with
	back      = 8 // quiet looks after which what was lent goes back
)

// Look takes what was handed off since the last look: in all, to other zones though the request might have stayed, and to
// hosts that had more than the usual part then. It tells whether the router is short now.
func (s *Short) Look(all, away, over int) bool {
	if s.away++; away < spilled || away*5 <= all {
		s.away = 0
	}
	switch {
	case s.away >= lasting:
		s.is, s.quiet = true, 0
	case s.away > 0 || over > 0:
		s.quiet = 0
	default:
		if s.quiet++; s.quiet >= back {
			s.is = false
		}
	}
	return s.is
}
