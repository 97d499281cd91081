// Package berths knows which hosts there are, by their beats. It is pure: times are handed in, Unix nanoseconds.
package berths

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"portflow/internal/harbour/papers"
)

// State is what a host says of itself, or what became of it. It only ever goes down this list.
type State uint8

const (
	Ready State = iota
	Draining
	Gone
)

func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Host is one life of a host: a start of it has an id of its own.
type Host struct {
	ID        string `json:"i"`
	Service   string `json:"s,omitempty"`
	Address   string `json:"a,omitempty"`
	Zone      string `json:"z,omitempty"`
	Version   string `json:"v,omitempty"`
	Slots     int    `json:"l,omitempty"`
	State     State  `json:"t,omitempty"`
	ColdUntil int64  `json:"c,omitempty"` // Unix nanoseconds, 0 where it isn't cold
	Sequence  uint64 `json:"q"`
	Silent    bool   `json:"x,omitempty"` // its owner misses its beats
	Owner     string `json:"o,omitempty"` // the control process that hears it
}

// Newer tells whether a holds against b, of one id: who is gone stays so; then the later beat; then what its owner says
// of the beats that did not come.
func Newer(a, b Host) bool {
	if g := cmp.Compare(a.State/Gone, b.State/Gone); g != 0 {
		return g > 0
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	if a.Silent != b.Silent {
		return a.Silent
	}
	return a.State > b.State || a.State == b.State && a.Owner > b.Owner
}

const (
	coldSlack = int64(300e6) // beats differ by so much in when they say the cold ends
	keep      = int64(60e9)  // for so long an id that ended is known; late beats are over by then
	quietFor  = int64(600e9) // for so long a host that is silent by another's word is known
)

// Register is what one control process knows. It is not safe for two goroutines.
type Register struct {
	self   string
	missed int64 // after so long without a beat a host is silent
	hosts  map[string]Host
	heard  map[string]int64 // of those that are its own, when they were last heard
	ended  map[string]int64
	quiet  map[string]int64 // hosts that are silent by another's word, since when that was seen
}

// New makes an empty register for the control process of this name.
func New(self string, beat int64) *Register {
	return &Register{self: self, missed: 3*beat - beat/4, hosts: map[string]Host{}, heard: map[string]int64{}, ended: map[string]int64{}, quiet: map[string]int64{}}
}

// ReadBeat reads and checks a beat's body; the id stands in the call.
func ReadBeat(id string, tree any, now int64) (Host, error) {
	r := papers.Read(tree)
	info, status := r.At("information"), r.At("current-status")
	h := Host{ID: id, Address: r.At("address").Text(), Service: info.At("service").Text(), Version: info.At("version").Text(),
		Zone: info.At("zone-name").Text(), Slots: info.At("slot-count").Whole(1, 1<<20),
		Sequence: uint64(status.At("sequence").Number(0, 1<<53))}
	switch s := status.At("server-state").Text(); s {
	case "ready", "":
	case "draining":
		h.State = Draining
	default:
		status.At("server-state").Fail("%q is neither ready nor draining", s)
	}
	if c := status.At("cold-remaining-s"); c.There() {
		if left := c.Seconds(0, 86400); left > 0 {
			h.ColdUntil = now + left
		}
	}
	return h, r.Err()
}

// Beat takes a beat up, and tells the host as it is now known and whether anything changed that others must hear.
func (r *Register) Beat(now int64, h Host) (Host, bool) {
	old, known := r.hosts[h.ID]
	if _, over := r.ended[h.ID]; over && old.State == Gone {
		return old, false
	}
	if known && old.Owner == r.self {
		r.heard[h.ID] = now
	}
	if known && h.Sequence <= old.Sequence { // it came late
		return old, false
	}
	h.Owner = r.self
	if known {
		h.State = max(h.State, old.State)
		if d := h.ColdUntil - old.ColdUntil; h.ColdUntil > now && d < coldSlack && d > -coldSlack {
			h.ColdUntil = old.ColdUntil
		} else if h.ColdUntil == 0 && old.ColdUntil <= now { // over by itself
			h.ColdUntil = old.ColdUntil
		}
	}
	r.hosts[h.ID], r.heard[h.ID] = h, now
	was := old
	was.Sequence = h.Sequence
	return h, !known || was != h
}

// Leave takes a host's last word.
func (r *Register) Leave(now int64, id string) (Host, bool) {
	h, known := r.hosts[id]
	if known && h.State == Gone {
		return h, false
	}
	h.ID, h.State, h.Owner = id, Gone, r.self
	h.Sequence++
	r.put(now, h)
	return h, true
}

// Merge takes in what another control process knows, and tells whether it was new, or whether the others must hear of the
// host from here, as one took it for silent that is heard here.
func (r *Register) Merge(now int64, h Host) (news, tell bool) {
	old, known := r.hosts[h.ID]
	if known && !Newer(h, old) {
		return false, h.Silent && old.Owner == r.self && !old.Silent && old.State != Gone
	}
	if h.Owner != r.self {
		delete(r.heard, h.ID)
	}
	r.put(now, h)
	return true, false
}

// Host is one host as it is known.
func (r *Register) Host(id string) Host { return r.hosts[id] }

func (r *Register) put(now int64, h Host) {
	if r.hosts[h.ID] = h; h.State == Gone {
		delete(r.heard, h.ID)
		r.ended[h.ID] = now
	}
}

// Orphan makes hosts whose owner isn't heard any more this process's to watch, from now on: they beat elsewhere, or are
// silent.
func (r *Register) Orphan(now int64, owner string) {
	for id, h := range r.hosts {
		if h.Owner == owner && h.State != Gone && owner != r.self {
			if _, watched := r.heard[id]; !watched {
				r.heard[id] = now
			}
		}
	}
}

// Return ends that: the owner is heard again and watches its hosts by itself.
func (r *Register) Return(owner string) {
	for id, h := range r.hosts {
		if h.Owner == owner && owner != r.self {
			delete(r.heard, id)
		}
	}
}

// Listed takes an owner's list of all that it hears: of its hosts, those that it doesn't name are this process's to watch from now on.
// It has started again, and its new life hasn't heard of them: they beat elsewhere soon, or are silent.
func (r *Register) Listed(now int64, owner string, named map[string]bool) {
	for id, h := range r.hosts {
		if _, watched := r.heard[id]; h.Owner == owner && owner != r.self && h.State != Gone && !named[id] && !watched {
			r.heard[id] = now
		}
	}
}

// Tick finds hosts that have become silent, and forgets those that ended long ago. A process that hears too few others
// can't judge the hosts that beat elsewhere: judge is false then, and their time begins anew.
func (r *Register) Tick(now int64, judge bool) (silent []Host) {
	for id, at := range r.heard {
		h := r.hosts[id]
		if !judge && h.Owner != r.self {
			r.heard[id] = now
			continue
		}
		if now-at > r.missed && !h.Silent {
			h.Silent = true
			r.hosts[id] = h
			silent = append(silent, h)
		}
		if now-at > keep { // nobody heard of it again
			delete(r.hosts, id)
			delete(r.heard, id)
		}
	}
	for id, at := range r.ended {
		if now-at > keep {
			delete(r.ended, id)
			delete(r.hosts, id)
		}
	}
	slices.SortFunc(silent, byID)
	return silent
}

// Forget forgets hosts that others have called silent for long: who calls them so tells no end, as they may be heard again. It is to be
// called now and then.
func (r *Register) Forget(now int64) {
	for id, h := range r.hosts {
		_, own := r.heard[id]
		at, known := r.quiet[id]
		switch {
		case own || !h.Silent || h.State == Gone:
			delete(r.quiet, id)
		case !known:
			r.quiet[id] = now
		case now-at > quietFor:
			delete(r.hosts, id)
		}
	}
	maps.DeleteFunc(r.quiet, func(id string, _ int64) bool { return r.hosts[id].ID == "" })
}

func byID(a, b Host) int { return strings.Compare(a.ID, b.ID) }

// All are the hosts, by id; those that ended too.
func (r *Register) All() []Host {
	all := make([]Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		all = append(all, h)
	}
	slices.SortFunc(all, byID)
	return all
}

// Own are those that this process hears.
func (r *Register) Own() (all []Host) {
	for _, h := range r.All() {
		if h.Owner == r.self {
			all = append(all, h)
		}
	}
	return all
}
