// Package instance knows which hosts there are, by their beats. It is pure: times are handed in, Unix nanoseconds.
package instance

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"portflow/internal/cluster/settings"
)

// State is what a host says of itself, or what became of it. It only ever goes down this list.
type State uint8

const (
	Ready State = iota
	Draining
	Gone
)

func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Instance is one life of a host: a start of it has an id of its own.
type Instance struct {
	ID           string `json:"i"`
	Service      string `json:"s,omitempty"`
	Address      string `json:"a,omitempty"`
	Zone         string `json:"z,omitempty"`
	Version      string `json:"v,omitempty"`
	Slots        int    `json:"l,omitempty"`
	State        State  `json:"t,omitempty"`
	WarmUpUntil  int64  `json:"c,omitempty"` // Unix nanoseconds, 0 where it isn't cold
	Sequence     uint64 `json:"q"`
	Unresponsive bool   `json:"x,omitempty"` // its owner misses its beats
	Owner        string `json:"o,omitempty"` // the control process that hears it
}

// Supersedes tells whether a holds against b, of one id: who is gone stays so; then the later beat; then what its owner says
// of the beats that did not come.
func Supersedes(a, b Instance) bool {
	if g := cmp.Compare(a.State/Gone, b.State/Gone); g != 0 {
		return g > 0
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	if a.Unresponsive != b.Unresponsive {
		return a.Unresponsive
	}
	return a.State > b.State || a.State == b.State && a.Owner > b.Owner
}

const (
	warmUpTolerance       = int64(300e6) // beats differ by so much in when they say the cold ends
	goneRetention         = int64(60e9)  // for so long an id that ended is known; late beats are over by then
	unresponsiveRetention = int64(600e9) // for so long a host that is silent by another's word is known
)

// Table is what one control process knows. It is not safe for two goroutines.
type Table struct {
	self              string
	heartbeatTimeout  int64 // after so long without a beat a host is silent
	instances         map[string]Instance
	lastHeartbeat     map[string]int64 // of those that are its own, when they were last heard
	goneSince         map[string]int64
	unresponsiveSince map[string]int64 // hosts that are silent by another's word, since when that was seen
}

// NewTable makes an empty register for the control process of this name.
func NewTable(self string, heartbeatInterval int64) *Table {
	return &Table{self: self, heartbeatTimeout: 3*heartbeatInterval - heartbeatInterval/4, instances: map[string]Instance{}, lastHeartbeat: map[string]int64{}, goneSince: map[string]int64{}, unresponsiveSince: map[string]int64{}}
}

// ParseHeartbeat reads and checks a beat's body; the id stands in the call.
func ParseHeartbeat(id string, tree any, now int64) (Instance, error) {
	reader := settings.NewReader(tree)
	information, status := reader.At("information"), reader.At("current-status")
	h := Instance{ID: id, Address: reader.At("address").Text(), Service: information.At("service").Text(), Version: information.At("version").Text(),
		Zone: information.At("zone-name").Text(), Slots: information.At("slot-count").Int(1, 1<<20),
		Sequence: uint64(status.At("sequence").Float(0, 1<<53))}
	switch state := status.At("server-state").Text(); state {
	case "ready", "":
	case "draining":
		h.State = Draining
	default:
		status.At("server-state").Errorf("%q is neither ready nor draining", state)
	}
	if warmUp := status.At("cold-remaining-s"); warmUp.Exists() {
		if remaining := warmUp.Seconds(0, 86400); remaining > 0 {
			h.WarmUpUntil = now + remaining
		}
	}
	return h, reader.Err()
}

// Heartbeat takes a beat up, and tells the host as it is now known and whether anything changed that others must hear.
func (t *Table) Heartbeat(now int64, h Instance) (Instance, bool) {
	old, known := t.instances[h.ID]
	if _, gone := t.goneSince[h.ID]; gone && old.State == Gone {
		return old, false
	}
	if known && old.Owner == t.self {
		t.lastHeartbeat[h.ID] = now
	}
	if known && h.Sequence <= old.Sequence { // it came late
		return old, false
	}
	h.Owner = t.self
	if known {
		h.State = max(h.State, old.State)
		if difference := h.WarmUpUntil - old.WarmUpUntil; h.WarmUpUntil > now && difference < warmUpTolerance && difference > -warmUpTolerance {
			h.WarmUpUntil = old.WarmUpUntil
		} else if h.WarmUpUntil == 0 && old.WarmUpUntil <= now { // over by itself
			h.WarmUpUntil = old.WarmUpUntil
		}
	}
	t.instances[h.ID], t.lastHeartbeat[h.ID] = h, now
	previous := old
	previous.Sequence = h.Sequence
	return h, !known || previous != h
}

// Deregister takes a host's last word.
func (t *Table) Deregister(now int64, id string) (Instance, bool) {
	h, known := t.instances[id]
	if known && h.State == Gone {
		return h, false
	}
	h.ID, h.State, h.Owner = id, Gone, t.self
	h.Sequence++
	t.put(now, h)
	return h, true
}

// Merge takes in what another control process knows, and tells whether it was new, or whether the others must hear of the
// host from here, as one took it for silent that is heard here.
func (t *Table) Merge(now int64, h Instance) (changed, reannounce bool) {
	old, known := t.instances[h.ID]
	if known && !Supersedes(h, old) {
		return false, h.Unresponsive && old.Owner == t.self && !old.Unresponsive && old.State != Gone
	}
	if h.Owner != t.self {
		delete(t.lastHeartbeat, h.ID)
	}
	t.put(now, h)
	return true, false
}

// Lookup is one host as it is known.
func (t *Table) Lookup(id string) Instance { return t.instances[id] }

func (t *Table) put(now int64, h Instance) {
	if t.instances[h.ID] = h; h.State == Gone {
		delete(t.lastHeartbeat, h.ID)
		t.goneSince[h.ID] = now
	}
}

// Adopt makes hosts whose owner isn't heard any more this process's to watch, from now on: they beat elsewhere, or are
// silent.
func (t *Table) Adopt(now int64, owner string) {
	for id, h := range t.instances {
		if h.Owner == owner && h.State != Gone && owner != t.self {
			if _, watched := t.lastHeartbeat[id]; !watched {
				t.lastHeartbeat[id] = now
			}
		}
	}
}

// Release ends that: the owner is heard again and watches its hosts by itself.
func (t *Table) Release(owner string) {
	for id, h := range t.instances {
		if h.Owner == owner && owner != t.self {
			delete(t.lastHeartbeat, id)
		}
	}
}

// Reconcile takes an owner's list of all that it hears: of its hosts, those that it doesn't name are this process's to watch from now on.
// It has started again, and its new life hasn't heard of them: they beat elsewhere soon, or are silent.
func (t *Table) Reconcile(now int64, owner string, listed map[string]bool) {
	for id, h := range t.instances {
		if _, watched := t.lastHeartbeat[id]; h.Owner == owner && owner != t.self && h.State != Gone && !listed[id] && !watched {
			t.lastHeartbeat[id] = now
		}
	}
}

// CheckHeartbeats finds hosts that have become silent, and forgets those that ended long ago. A process that hears too few others
// can't judge the hosts that beat elsewhere: judge is false then, and their time begins anew.
func (t *Table) CheckHeartbeats(now int64, canJudge bool) (unresponsive []Instance) {
	for id, at := range t.lastHeartbeat {
		h := t.instances[id]
		if !canJudge && h.Owner != t.self {
			t.lastHeartbeat[id] = now
			continue
		}
		if now-at > t.heartbeatTimeout && !h.Unresponsive {
			h.Unresponsive = true
			t.instances[id] = h
			unresponsive = append(unresponsive, h)
		}
		if now-at > goneRetention { // nobody heard of it again
			delete(t.instances, id)
			delete(t.lastHeartbeat, id)
		}
	}
	for id, at := range t.goneSince {
		if now-at > goneRetention {
			delete(t.goneSince, id)
			delete(t.instances, id)
		}
	}
	slices.SortFunc(unresponsive, compareIDs)
	return unresponsive
}

// EvictUnresponsive forgets hosts that others have called silent for long: who calls them so tells no end, as they may be heard again. It is to be
// called now and then.
func (t *Table) EvictUnresponsive(now int64) {
	for id, h := range t.instances {
		_, own := t.lastHeartbeat[id]
		at, known := t.unresponsiveSince[id]
		switch {
		case own || !h.Unresponsive || h.State == Gone:
			delete(t.unresponsiveSince, id)
		case !known:
			t.unresponsiveSince[id] = now
		case now-at > unresponsiveRetention:
			delete(t.instances, id)
		}
	}
	maps.DeleteFunc(t.unresponsiveSince, func(id string, _ int64) bool { return t.instances[id].ID == "" })
}

func compareIDs(a, b Instance) int { return strings.Compare(a.ID, b.ID) }

// All are the hosts, by id; those that ended too.
func (t *Table) All() []Instance {
	all := make([]Instance, 0, len(t.instances))
	for _, h := range t.instances {
		all = append(all, h)
	}
	slices.SortFunc(all, compareIDs)
	return all
}

// Owned are those that this process hears.
func (t *Table) Owned() (all []Instance) {
	for _, h := range t.All() {
		if h.Owner == t.self {
			all = append(all, h)
		}
	}
	return all
}
