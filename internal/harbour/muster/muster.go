// Package muster is the membership of the core: a list with an epoch, which is itself an item of the state and so is changed
// by the same agreement as all other items. It is pure.
package muster

import (
	"encoding/json"
	"slices"
	"strings"

	"portflow/internal/harbour/manifest"
)

// Member is a control process whose vote counts. ID is of its disk: who lost the disk comes back as another member.
type Member struct {
	IP   string `json:"p"`
	ID   string `json:"i"`
	Name string `json:"n"`
	Zone string `json:"z"`
}

// List is the members of one epoch, in the order of their IP numbers. The zero List is before the first.
type List struct {
	Epoch    uint64   `json:"e"`
	Members  []Member `json:"m"`
	Held     []Member `json:"h,omitempty"` // let go by an operator: they aren't voted in again by themselves with these disks
	Restored []string `json:"r,omitempty"` // the last snapshots that took the place of all that stood, so that a late copy does nothing
}

// MostRestored is how many restored snapshots are known.
const MostRestored = 8

// Restore is the next epoch's list, which knows of one more.
func (l List) Restore(id string) List {
	l.Epoch++
	l.Restored = append(slices.Clone(l.Restored), id)
	l.Restored = l.Restored[max(0, len(l.Restored)-MostRestored):]
	return l
}

// MostHeld is how many of those that were let go are held out; beyond it the first is forgotten.
const MostHeld = 32

// Key is where the list stands in the set of items.
var Key = manifest.Key{Kind: manifest.Core, Name: "members"}

// Of reads the list that stands in a set.
func Of(s *manifest.Set) List {
	i, ok := s.Get(Key)
	if !ok {
		return List{}
	}
	return Read(i)
}

// Read is the list of an item; one that can't be read is no list.
func Read(i manifest.Item) (l List) {
	if json.Unmarshal(i.Body, &l) != nil || l.Epoch != i.Version {
		return List{}
	}
	return l
}

// Item is the list as an item: its version is the epoch.
func (l List) Item() manifest.Item {
	body, _ := json.Marshal(l)
	return manifest.Item{Kind: Key.Kind, Name: Key.Name, Version: l.Epoch, Body: body}
}

// Majority is how many members are more than half.
func (l List) Majority() int { return len(l.Members)/2 + 1 }

// At is the member with an IP number.
func (l List) At(ip string) (Member, bool) {
	for _, m := range l.Members {
		if m.IP == ip {
			return m, true
		}
	}
	return Member{}, false
}

// Has tells whether a process with this disk is a member.
func (l List) Has(ip, id string) bool {
	m, ok := l.At(ip)
	return ok && m.ID == id
}

// Quorum tells whether those who said yes, by IP number with the IDs of their disks, are more than half.
func (l List) Quorum(yes map[string]string) bool { return len(l.Members) > 0 && l.Margin(yes) >= 0 }

// Margin is by how many members those who said yes are more than a bare majority; below 0 they are none.
func (l List) Margin(yes map[string]string) int {
	n := 0
	for ip, id := range yes {
		if l.Has(ip, id) {
			n++
		}
	}
	return n - l.Majority()
}

// Join is the next epoch's list with members that come in, each in the place of an older one of its IP number, and without
// those that go. It is the same list where nothing changes.
func (l List) Join(in []Member, out []string) List {
	next := List{Epoch: l.Epoch + 1, Restored: l.Restored, Held: slices.DeleteFunc(slices.Clone(l.Held), func(m Member) bool {
		return slices.ContainsFunc(in, func(x Member) bool { return x.ID == m.ID })
	})}
	changed := false
	for _, m := range l.Members {
		if slices.Contains(out, m.IP) || slices.ContainsFunc(in, func(x Member) bool { return x.IP == m.IP && x != m }) {
			changed = true
			continue
		}
		next.Members = append(next.Members, m)
	}
	for _, m := range in {
		if _, there := next.At(m.IP); !there && !slices.Contains(out, m.IP) {
			next.Members = append(next.Members, m)
			changed = true
		}
	}
	if !changed || len(next.Members) == 0 {
		return l
	}
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.IP, b.IP) })
	return next
}

// Hold is the list with those that are let go held out, the last of them last.
func (l List) Hold(out []Member) List {
	l.Held = slices.DeleteFunc(slices.Clone(l.Held), func(m Member) bool { return slices.Contains(out, m) })
	l.Held = append(l.Held, out...)
	l.Held = l.Held[max(0, len(l.Held)-MostHeld):]
	return l
}

// Holds tells whether a process with this disk is held out.
func (l List) Holds(id string) bool {
	return slices.ContainsFunc(l.Held, func(m Member) bool { return m.ID == id })
}

// Surplus are the members, of those that are silent, that may go because their zones have successors: no zone sinks under
// perZone members by it.
func (l List) Surplus(silent []string, perZone int) (out []string) {
	count := map[string]int{}
	for _, m := range l.Members {
		count[m.Zone]++
	}
	for _, m := range l.Members {
		if count[m.Zone] > perZone && slices.Contains(silent, m.IP) {
			count[m.Zone]--
			out = append(out, m.IP)
		}
	}
	return out
}

// Bears tells which losses the members could bear while those in down are lost already: how many members more, and which
// zones alone. Without a majority it bears none, less than none.
func (l List) Bears(down []string) (members int, zones []string) {
	up, byZone := 0, map[string]int{}
	for _, m := range l.Members {
		if byZone[m.Zone] += 0; !slices.Contains(down, m.IP) {
			up++
			byZone[m.Zone]++
		}
	}
	for zone, n := range byZone {
		if up-n >= l.Majority() {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return up - l.Majority(), zones
}
