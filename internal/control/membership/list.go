// Package membership defines the list of voting members: control processes under an epoch. It determines which sets of members form a
// quorum, how the next list is derived from the current one, and how many losses a list tolerates. The list is an item of the
// replicated set and is changed by consensus like any other item; this package does not decide changes. It has no side effects.
//
// Start with List. Tolerance tracks over time how many losses the members tolerate.
package membership

import (
	"encoding/json"
	"slices"
	"strings"

	"portflow/internal/cluster/config"
)

// MaxRestoredSnapshots is the maximum length of List.RestoredSnapshots; the oldest names are dropped first.
const MaxRestoredSnapshots = 8

// MaxExcluded is the maximum length of List.Excluded; the oldest entries are dropped first.
const MaxExcluded = 32

// Key is the key of the member list in the replicated set.
var Key = config.Key{Kind: config.KindCore, Name: "members"}

// Member is a control process that votes. ID identifies its disk: a process that lost its disk also lost its promises and votes, so it
// returns as a different member.
type Member struct {
	IP   string `json:"p"`
	ID   string `json:"i"`
	Name string `json:"n"`
	Zone string `json:"z"`
}

// List holds the members of one epoch, sorted by IP address. The zero List is the state before the first epoch. Methods never modify the
// list; those that change it return a copy.
type List struct {
	Epoch   uint64   `json:"e"`
	Members []Member `json:"m"`
	// Excluded holds the members and learners that an operator removed or replaced, oldest first. A process with one of these disks
	// does not rejoin automatically.
	Excluded []Member `json:"h,omitempty"`
	// RestoredSnapshots holds the names of the latest restores, oldest first, so that a delayed copy of one has no effect.
	RestoredSnapshots []string `json:"r,omitempty"`
}

// FromSet returns the set's member list, or the zero List if it has none.
func FromSet(s *config.Set) List {
	item, exists := s.Lookup(Key)
	if !exists {
		return List{}
	}
	return FromItem(item)
}

// FromItem decodes a list from an item. It returns the zero List if the body can't be decoded or its epoch differs from the item's version.
func FromItem(item config.Item) (l List) {
	if json.Unmarshal(item.Body, &l) != nil || l.Epoch != item.Version {
		return List{}
	}
	return l
}

// Item encodes the list as an item whose version is the epoch.
func (l List) Item() config.Item {
	body, _ := json.Marshal(l) // can't fail: the list holds only strings and numbers
	return config.Item{Kind: Key.Kind, Name: Key.Name, Version: l.Epoch, Body: body}
}

// ByIP returns the member with the given IP address and whether it exists.
func (l List) ByIP(ip string) (Member, bool) {
	index := slices.IndexFunc(l.Members, func(m Member) bool { return m.IP == ip })
	if index < 0 {
		return Member{}, false
	}
	return l.Members[index], true
}

// Contains reports whether there is a member with this IP address and this disk ID.
func (l List) Contains(ip, id string) bool {
	member, exists := l.ByIP(ip)
	return exists && member.ID == id
}

// Majority returns the size of a quorum: more than half of the members, so that any two quorums of a list intersect.
func (l List) Majority() int { return len(l.Members)/2 + 1 }

// HasQuorum reports whether acks, which maps IP addresses to disk IDs, includes a quorum. An empty list has no quorum.
func (l List) HasQuorum(acks map[string]string) bool {
	return len(l.Members) > 0 && l.QuorumMargin(acks) >= 0
}

// QuorumMargin returns the number of members in acks (disk IDs by IP address) minus Majority. A negative margin means no quorum.
func (l List) QuorumMargin(acks map[string]string) int {
	count := 0
	for ip, id := range acks {
		if l.Contains(ip, id) {
			count++
		}
	}
	return count - l.Majority()
}

// Change returns the list of the next epoch with the members of joining added and those of leaving (IP addresses) removed. A joining
// member replaces a member with the same IP address; leaving takes precedence over joining. Change returns the list unchanged if there
// is nothing to change or if no members would remain.
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

// isReplaced reports whether a joining member has the member's IP address but differs from it.
func isReplaced(member Member, joining []Member) bool {
	return slices.ContainsFunc(joining, func(joined Member) bool { return joined.IP == member.IP && joined != member })
}

// excludedWithout returns the excluded members except those whose disk IDs are in joining.
func (l List) excludedWithout(joining []Member) []Member {
	return slices.DeleteFunc(slices.Clone(l.Excluded), func(excluded Member) bool {
		return slices.ContainsFunc(joining, func(joined Member) bool { return joined.ID == excluded.ID })
	})
}

// Exclude returns the list with removed appended to its excluded members; members that were excluded already move to the end. The epoch
// does not change.
func (l List) Exclude(removed []Member) List {
	excluded := slices.DeleteFunc(slices.Clone(l.Excluded), func(m Member) bool { return slices.Contains(removed, m) })
	excluded = append(excluded, removed...)
	l.Excluded = excluded[max(0, len(excluded)-MaxExcluded):]
	return l
}

// Excludes reports whether the disk ID belongs to an excluded member.
func (l List) Excludes(id string) bool {
	return slices.ContainsFunc(l.Excluded, func(m Member) bool { return m.ID == id })
}

// WithRestored returns the list of the next epoch with the name of a restore added to RestoredSnapshots.
func (l List) WithRestored(name string) List {
	l.Epoch++
	restored := append(slices.Clone(l.RestoredSnapshots), name)
	l.RestoredSnapshots = restored[max(0, len(restored)-MaxRestoredSnapshots):]
	return l
}

// Removable returns the IP addresses of the silent members that can be removed such that their zones keep at least perZone members.
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

// Tolerates returns how many members can be lost in addition to those in down (IP addresses) without losing the majority; a negative
// number means that there is no majority. It also returns, sorted, the zones that can be lost as a whole, any one of them at a time.
func (l List) Tolerates(down []string) (members int, zones []string) {
	up := 0
	upInZone := map[string]int{}
	for _, member := range l.Members {
		upInZone[member.Zone] += 0 // include zones with no member up
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
