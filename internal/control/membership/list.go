// Package membership defines who the members of the core are: a list of control processes with an epoch. It owns which sets of them
// are a quorum, how lists follow on each other, and which losses a list tolerates. The list is an item of the replicated set, and is
// changed by consensus like any other; this package never decides a change. It is pure.
//
// Begin reading at List; Tolerance follows over time how many losses the members tolerate.
package membership

import (
	"encoding/json"
	"slices"
	"strings"

	"portflow/internal/cluster/config"
)

// MaxRestoredSnapshots is how many restored snapshots a list remembers; beyond it the oldest is forgotten.
const MaxRestoredSnapshots = 8

// MaxExcluded is how many excluded members a list remembers; beyond it the first is forgotten.
const MaxExcluded = 32

// Key is the key of the list's item in the replicated set.
var Key = config.Key{Kind: config.KindCore, Name: "members"}

// Member is a control process whose vote counts. ID identifies its disk: a process that lost its disk comes back as another member,
// as it forgot what it promised and voted.
type Member struct {
	IP   string `json:"p"`
	ID   string `json:"i"`
	Name string `json:"n"`
	Zone string `json:"z"`
}

// List is the members of one epoch, in the order of their IP addresses. The zero List stands for the time before the first epoch.
// Methods return changed copies and leave the list as it is.
type List struct {
	Epoch             uint64   `json:"e"`
	Members           []Member `json:"m"`
	Excluded          []Member `json:"h,omitempty"` // removed by an operator: with these disks they don't join again by themselves
	RestoredSnapshots []string `json:"r,omitempty"` // names of the last restores, so that a late copy of one does nothing
}

// FromSet returns the list in a set, the zero List if there is none.
func FromSet(s *config.Set) List {
	item, exists := s.Lookup(Key)
	if !exists {
		return List{}
	}
	return FromItem(item)
}

// FromItem returns the list in an item, the zero List if it can't be read or is of another epoch than the item's version.
func FromItem(item config.Item) (l List) {
	if json.Unmarshal(item.Body, &l) != nil || l.Epoch != item.Version {
		return List{}
	}
	return l
}

// Item returns the list as an item; its version is the epoch.
func (l List) Item() config.Item {
	body, _ := json.Marshal(l) // can't fail: it holds strings and numbers
	return config.Item{Kind: Key.Kind, Name: Key.Name, Version: l.Epoch, Body: body}
}

// ByIP returns the member with an IP address, and whether there is one.
func (l List) ByIP(ip string) (Member, bool) {
	index := slices.IndexFunc(l.Members, func(m Member) bool { return m.IP == ip })
	if index < 0 {
		return Member{}, false
	}
	return l.Members[index], true
}

// Contains reports whether the process with an IP address and a disk is a member.
func (l List) Contains(ip, id string) bool {
	member, exists := l.ByIP(ip)
	return exists && member.ID == id
}

// Majority returns how many members are a quorum: more than half, so that any two quorums of a list have a member in common.
func (l List) Majority() int { return len(l.Members)/2 + 1 }

// HasQuorum reports whether those that acknowledged, disk IDs by IP address, include a quorum. An empty list has none.
func (l List) HasQuorum(acks map[string]string) bool {
	return len(l.Members) > 0 && l.QuorumMargin(acks) >= 0
}

// QuorumMargin returns by how many members those that acknowledged exceed a majority; below 0 they are no quorum.
func (l List) QuorumMargin(acks map[string]string) int {
	count := 0
	for ip, id := range acks {
		if l.Contains(ip, id) {
			count++
		}
	}
	return count - l.Majority()
}

// Change returns the list of the next epoch, with members that join and without those that leave (by IP address). One that joins
// takes the place of a member with its IP address. Where nothing changes, or nobody would be left, it returns the same list.
func (l List) Change(joining []Member, leaving []string) List {
	next := List{
		Epoch:             l.Epoch + 1,
		Excluded:          l.excludedWithout(joining),
		RestoredSnapshots: l.RestoredSnapshots,
	}
	changed := false
	for _, member := range l.Members {
		if slices.Contains(leaving, member.IP) || isReplaced(member, joining) {
			changed = true
			continue
		}
		next.Members = append(next.Members, member)
	}
	for _, member := range joining {
		if _, exists := next.ByIP(member.IP); !exists && !slices.Contains(leaving, member.IP) {
			next.Members = append(next.Members, member)
			changed = true
		}
	}
	if !changed || len(next.Members) == 0 {
		return l
	}
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.IP, b.IP) })
	return next
}

// isReplaced reports whether one that joins has a member's IP address and differs from it.
func isReplaced(member Member, joining []Member) bool {
	return slices.ContainsFunc(joining, func(joined Member) bool { return joined.IP == member.IP && joined != member })
}

// excludedWithout returns the excluded members without those whose disks join.
func (l List) excludedWithout(joining []Member) []Member {
	return slices.DeleteFunc(slices.Clone(l.Excluded), func(excluded Member) bool {
		return slices.ContainsFunc(joining, func(joined Member) bool { return joined.ID == excluded.ID })
	})
}

// Exclude returns the list with members excluded that are removed, the last of them last.
func (l List) Exclude(removed []Member) List {
	excluded := slices.DeleteFunc(slices.Clone(l.Excluded), func(m Member) bool { return slices.Contains(removed, m) })
	excluded = append(excluded, removed...)
	l.Excluded = excluded[max(0, len(excluded)-MaxExcluded):]
	return l
}

// Excludes reports whether a process with a disk is excluded.
func (l List) Excludes(id string) bool {
	return slices.ContainsFunc(l.Excluded, func(m Member) bool { return m.ID == id })
}

// WithRestored returns the list of the next epoch, which remembers a restore by its name.
func (l List) WithRestored(name string) List {
	l.Epoch++
	restored := append(slices.Clone(l.RestoredSnapshots), name)
	l.RestoredSnapshots = restored[max(0, len(restored)-MaxRestoredSnapshots):]
	return l
}

// Removable returns the IP addresses of those silent members that can be removed while their zones keep at least perZone members.
func (l List) Removable(silent []string, perZone int) (removable []string) {
	count := map[string]int{}
	for _, member := range l.Members {
		count[member.Zone]++
	}
	for _, member := range l.Members {
		if count[member.Zone] > perZone && slices.Contains(silent, member.IP) {
			count[member.Zone]--
			removable = append(removable, member.IP)
		}
	}
	return removable
}

// Tolerates returns how many more members may be lost while those in down (by IP address) are lost already, below 0 if there is no
// majority now; and the zones of which any one may be lost, in order.
func (l List) Tolerates(down []string) (members int, zones []string) {
	up := 0
	upInZone := map[string]int{}
	for _, member := range l.Members {
		upInZone[member.Zone] += 0 // a zone that is down can be lost too
		if !slices.Contains(down, member.IP) {
			up++
			upInZone[member.Zone]++
		}
	}
	for zone, count := range upInZone {
		if up-count >= l.Majority() {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return up - l.Majority(), zones
}
