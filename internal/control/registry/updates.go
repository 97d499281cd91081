package registry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/samber/lo"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/update"
)

// MaxUpdates is the capacity of State.Updates: the number of changes kept for subscribers that lag behind.
const MaxUpdates = 4096

// VoteKey identifies the current vote of a proxy on a service's rollout.
type VoteKey struct{ Proxy, Service string }

// Publish publishes decided items to the proxies that subscribe to this process, except items that the set no longer has in this version.
// Instead of the record of a departure it publishes the host. live is set if the items were decided, as far as known, while this process
// has been running.
func (s *State) Publish(now int64, items []config.Item, live bool) {
	for _, i := range items {
		if i.Kind == config.KindDepartures {
			s.applyDeparture(i.Name)
			continue
		}
		if i.Kind == config.KindRollouts && !i.Deleted {
			s.RolloutAges.Observe(now, rollout.FromItem(i), live)
		}
		if current, ok := s.Set.Lookup(i.Key()); ok && current.Equal(i) {
			s.Updates.Add(s.itemChange(now, current))
		}
	}
}

// itemChange returns the change to send to proxies for an item.
func (s *State) itemChange(now int64, i config.Item) update.Change {
	i.History = nil // proxies don't use it
	change := update.Change{Item: &i}
	if i.Kind == config.KindRollouts && !i.Deleted {
		change.RolloutStartedAt = s.RolloutAges.Localize(now, rollout.FromItem(i)).StartedAt
	}
	return change
}

// PublishInstance publishes the state of a host. firstHand is set if the state is to be sent to other control processes as well.
func (s *State) PublishInstance(host instance.Instance, firstHand bool) {
	s.Updates.Add(update.Change{Instance: &host, FirstHand: firstHand})
}

// PublishVote stores a proxy's vote unless a newer one is known. If firstHand is set, the vote is also sent to other control processes.
// Evidence is kept in LastEvidence and not forwarded, because operators query each process for it. A ReportOnly vote only updates
// LastEvidence.
func (s *State) PublishVote(vote update.Vote, firstHand bool) {
	key := VoteKey{vote.Proxy, vote.Service}
	if vote.Evidence != nil {
		s.LastEvidence[key] = vote
		vote.Evidence = nil
	}
	if vote.ReportOnly {
		return
	}
	if old, ok := s.Votes[key]; ok && old.ReceivedAt >= vote.ReceivedAt {
		return
	}
	s.Votes[key] = vote
	if firstHand {
		s.Updates.Add(update.Change{Vote: &vote, FirstHand: true})
	}
}

// PublishEjection publishes a host's ejection if it supersedes the known one, and removes ejections whose probation is over. firstHand is
// set if this process decided the ejection.
func (s *State) PublishEjection(now int64, ejection outlier.Ejection, firstHand bool) {
	maps.DeleteFunc(s.Ejections, func(_ string, known outlier.Ejection) bool { return now > known.ProbationUntil })
	if !ejection.Supersedes(s.Ejections[ejection.ID]) {
		return
	}
	s.Ejections[ejection.ID] = ejection
	s.Updates.Add(update.Change{Ejection: &ejection, FirstHand: firstHand})
}

// Merge applies a change received from another control process, with times converted to this process's clock. It ignores items.
func (s *State) Merge(now int64, change update.Change) {
	switch {
	case change.Instance != nil:
		s.mergeInstance(now, *change.Instance)
	case change.Proxy != nil:
		s.mergeProxy(*change.Proxy)
	case change.Vote != nil:
		s.PublishVote(*change.Vote, false)
	case change.Ejection != nil:
		s.PublishEjection(now, *change.Ejection, false)
	}
}

// mergeProxy applies another control process's state of a proxy. If the known state supersedes the received one, the known one is sent
// to the other processes again: the sender may have claimed the proxy with a clock that is behind, after a restart or without knowing
// the proxy, and its updates would be ignored until it claims the proxy with a later registration. An outdated Gone is not answered,
// because it is received regularly: a proxy that moves is often claimed by its new owner before the former one reports it gone.
func (s *State) mergeProxy(proxy Proxy) {
	current := s.Proxies[proxy.Name]
	if !s.PublishProxy(proxy, false) && !proxy.Gone && current.Supersedes(proxy) {
		s.Updates.Add(update.Change{Proxy: &current, FirstHand: true})
	}
}

// maxSnapshotTombstones is the number of tombstones that a snapshot for a proxy names at most.
const maxSnapshotTombstones = 10000

// Snapshot returns the changes of a snapshot that is sent in a single message: for a proxy all items, hosts, proxies and ejections; if
// forControl is set, the hosts and proxies that this process owns, and all known ejections and votes, for another control process. Of
// more than maxSnapshotTombstones tombstones a proxy gets those with the highest versions: one of a release without positions merges
// the items, and needs tombstones to remove what was deleted while it was disconnected.
func (s *State) Snapshot(now int64, forControl bool) (changes []update.Change) {
	if forControl {
		return s.controlSnapshot()
	}
	return s.proxySnapshot(now, limitTombstones(s.Set.WithoutDepartures(), maxSnapshotTombstones))
}

// ChunkedSnapshot is Snapshot for a proxy that accepts chunks, without tombstones if there are more than maxSnapshotTombstones. Such a
// proxy knows positions and replaces all of its items by the snapshot's, so it depends on no tombstone. The cost is bounded by the
// configuration in force, however many items were deleted since the cluster was founded.
func (s *State) ChunkedSnapshot(now int64) (changes []update.Change) {
	if s.Set.DroppedNames() > maxSnapshotTombstones {
		return s.proxySnapshot(now, s.Set.AllLive())
	}
	return s.proxySnapshot(now, s.Set.WithoutDepartures())
}

// limitTombstones returns the live items and at most the given number of tombstones, those with the highest versions.
func limitTombstones(items []config.Item, limit int) []config.Item {
	live, tombstones := lo.FilterReject(items, func(item config.Item, _ int) bool { return !item.Deleted })
	if len(tombstones) <= limit {
		return items
	}
	slices.SortStableFunc(tombstones, func(a, b config.Item) int { return cmp.Compare(b.Version, a.Version) })
	return append(live, tombstones[:limit]...)
}

// proxySnapshot returns the items given and all hosts, proxies and ejections.
func (s *State) proxySnapshot(now int64, items []config.Item) (changes []update.Change) {
	for _, item := range items {
		changes = append(changes, s.itemChange(now, item))
	}
	for _, host := range s.Instances.All() {
		changes = append(changes, update.Change{Instance: &host})
	}
	changes = s.appendProxies(changes, func(Proxy) bool { return true })
	return s.appendEjections(changes)
}

// controlSnapshot returns the hosts and proxies that this process owns, and all ejections and votes.
func (s *State) controlSnapshot() (changes []update.Change) {
	for _, host := range s.Instances.Owned() {
		changes = append(changes, update.Change{Instance: &host})
	}
	changes = s.appendProxies(changes, func(proxy Proxy) bool { return proxy.Owner == s.Self.Name })
	changes = s.appendEjections(changes)
	for _, vote := range s.Votes {
		changes = append(changes, update.Change{Vote: &vote})
	}
	return changes
}

// appendProxies appends the selected proxies, sorted by name.
func (s *State) appendProxies(changes []update.Change, selected func(Proxy) bool) []update.Change {
	for _, name := range slices.Sorted(maps.Keys(s.Proxies)) {
		if proxy := s.Proxies[name]; selected(proxy) {
			changes = append(changes, update.Change{Proxy: &proxy})
		}
	}
	return changes
}

// appendEjections appends all ejections, sorted by the ID of the host.
func (s *State) appendEjections(changes []update.Change) []update.Change {
	for _, id := range slices.Sorted(maps.Keys(s.Ejections)) {
		ejection := s.Ejections[id]
		changes = append(changes, update.Change{Ejection: &ejection})
	}
	return changes
}

// Filter returns the changes to send to a subscriber, without modifying the given slice. Control processes are sent only first-hand
// changes, as they receive the others, and items, elsewhere; proxies are sent everything but votes. Only the last change of each object
// is kept.
func Filter(changes []update.Change, forControl bool) []update.Change {
	batch := make([]update.Change, 0, len(changes))
	for _, change := range changes {
		if forControl && !change.FirstHand || !forControl && change.Vote != nil {
			continue
		}
		batch = append(batch, change)
	}
	return update.Compact(batch)
}
