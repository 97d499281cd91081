package registry

import (
	"maps"
	"slices"

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
// live is set if they were decided, as far as known, while this process has been running.
func (s *State) Publish(now int64, items []config.Item, live bool) {
	for _, i := range items {
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

func (s *State) mergeInstance(now int64, host instance.Instance) {
	updated, republish := s.Instances.Merge(now, host)
	if updated {
		s.PublishInstance(host, false)
	} else if republish {
		s.PublishInstance(s.Instances.Lookup(host.ID), true)
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

// Snapshot returns the changes of a snapshot for a proxy: all items, hosts, proxies and ejections. If forControl is set, it returns those
// for another control process: the hosts and proxies that this process owns, and all known ejections and votes.
func (s *State) Snapshot(now int64, forControl bool) (changes []update.Change) {
	hosts := s.Instances.All()
	if forControl {
		hosts = s.Instances.Owned()
	} else {
		for _, i := range s.Set.All() {
			changes = append(changes, s.itemChange(now, i))
		}
	}
	for _, host := range hosts {
		changes = append(changes, update.Change{Instance: &host})
	}
	var names []string
	for name, proxy := range s.Proxies {
		if !forControl || proxy.Owner == s.Self.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		proxy := s.Proxies[name]
		changes = append(changes, update.Change{Proxy: &proxy})
	}
	for _, id := range slices.Sorted(maps.Keys(s.Ejections)) {
		ejection := s.Ejections[id]
		changes = append(changes, update.Change{Ejection: &ejection})
	}
	if forControl {
		for _, vote := range s.Votes {
			changes = append(changes, update.Change{Vote: &vote})
		}
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
