// Package membership is the membership of the core: a list with an epoch, which is itself an item of the state and so is changed
// by the same agreement as all other items. It is pure.
package membership

import (
	"encoding/json"
	"slices"
	"strings"

	"portflow/internal/cluster/config"
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
	Epoch             uint64   `json:"e"`
	Members           []Member `json:"m"`
	Excluded          []Member `json:"h,omitempty"` // let go by an operator: they aren't voted in again by themselves with these disks
	RestoredSnapshots []string `json:"r,omitempty"` // the last snapshots that took the place of all that stood, so that a late copy does nothing
}

// MaxRestoredSnapshots is how many restored snapshots are known.
const MaxRestoredSnapshots = 8

// WithRestored is the next epoch's list, which knows of one more.
func (l List) WithRestored(id string) List {
	l.Epoch++
	l.RestoredSnapshots = append(slices.Clone(l.RestoredSnapshots), id)
	l.RestoredSnapshots = l.RestoredSnapshots[max(0, len(l.RestoredSnapshots)-MaxRestoredSnapshots):]
	return l
}

// MaxExcluded is how many of those that were let go are held out; beyond it the first is forgotten.
const MaxExcluded = 32

// Key is where the list stands in the set of items.
var Key = config.Key{Kind: config.KindCore, Name: "members"}

// FromSet reads the list that stands in a set.
func FromSet(s *config.Set) List {
	i, ok := s.Lookup(Key)
	if !ok {
		return List{}
	}
	return FromItem(i)
}

// FromItem is the list of an item; one that can't be read is no list.
func FromItem(i config.Item) (l List) {
	if json.Unmarshal(i.Body, &l) != nil || l.Epoch != i.Version {
		return List{}
	}
	return l
}

// Item is the list as an item: its version is the epoch.
func (l List) Item() config.Item {
	body, _ := json.Marshal(l)
	return config.Item{Kind: Key.Kind, Name: Key.Name, Version: l.Epoch, Body: body}
}

// Majority is how many members are more than half.
func (l List) Majority() int { return len(l.Members)/2 + 1 }

// ByIP is the member with an IP number.
func (l List) ByIP(ip string) (Member, bool) {
	for _, m := range l.Members {
		if m.IP == ip {
			return m, true
		}
	}
	return Member{}, false
}

// Contains tells whether a process with this disk is a member.
func (l List) Contains(ip, id string) bool {
	m, ok := l.ByIP(ip)
	return ok && m.ID == id
}

// HasQuorum tells whether those who said yes, by IP number with the IDs of their disks, are more than half.
func (l List) HasQuorum(acks map[string]string) bool {
	return len(l.Members) > 0 && l.QuorumMargin(acks) >= 0
}

// QuorumMargin is by how many members those who said yes are more than a bare majority; below 0 they are none.
func (l List) QuorumMargin(acks map[string]string) int {
	count := 0
	for ip, id := range acks {
		if l.Contains(ip, id) {
			count++
		}
	}
	return count - l.Majority()
}

// Change is the next epoch's list with members that come in, each in the place of an older one of its IP number, and without
// those that go. It is the same list where nothing changes.
func (l List) Change(joining []Member, leaving []string) List {
	next := List{Epoch: l.Epoch + 1, RestoredSnapshots: l.RestoredSnapshots, Excluded: slices.DeleteFunc(slices.Clone(l.Excluded), func(m Member) bool {
		return slices.ContainsFunc(joining, func(joined Member) bool { return joined.ID == m.ID })
	})}
	changed := false
	for _, m := range l.Members {
		if slices.Contains(leaving, m.IP) || slices.ContainsFunc(joining, func(joined Member) bool { return joined.IP == m.IP && joined != m }) {
			changed = true
			continue
		}
		next.Members = append(next.Members, m)
	}
	for _, m := range joining {
		if _, there := next.ByIP(m.IP); !there && !slices.Contains(leaving, m.IP) {
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

// Exclude is the list with those that are let go held out, the last of them last.
func (l List) Exclude(leaving []Member) List {
	l.Excluded = slices.DeleteFunc(slices.Clone(l.Excluded), func(m Member) bool { return slices.Contains(leaving, m) })
	l.Excluded = append(l.Excluded, leaving...)
	l.Excluded = l.Excluded[max(0, len(l.Excluded)-MaxExcluded):]
	return l
}

// Excludes tells whether a process with this disk is held out.
func (l List) Excludes(id string) bool {
	return slices.ContainsFunc(l.Excluded, func(m Member) bool { return m.ID == id })
}

// Removable are the members, of those that are silent, that may go because their zones have successors: no zone sinks under
// perZone members by it.
func (l List) Removable(silent []string, perZone int) (removable []string) {
	count := map[string]int{}
	for _, m := range l.Members {
		count[m.Zone]++
	}
	for _, m := range l.Members {
		if count[m.Zone] > perZone && slices.Contains(silent, m.IP) {
			count[m.Zone]--
			removable = append(removable, m.IP)
		}
	}
	return removable
}

// Tolerates tells which losses the members could bear while those in down are lost already: how many members more, and which
// zones alone. Without a majority it bears none, less than none.
func (l List) Tolerates(down []string) (members int, zones []string) {
	up, byZone := 0, map[string]int{}
	for _, m := range l.Members {
		if byZone[m.Zone] += 0; !slices.Contains(down, m.IP) {
			up++
			byZone[m.Zone]++
		}
	}
	for zone, count := range byZone {
		if up-count >= l.Majority() {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return up - l.Majority(), zones
}
