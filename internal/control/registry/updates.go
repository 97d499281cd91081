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

// MaxUpdates is how many changes are kept for subscribers that are behind.
const MaxUpdates = 4096

// VoteKey is the proxy and the service of a vote.
type VoteKey struct{ Proxy, Service string }

// Publish publishes items that were decided, for the proxies that subscribe here. live says that they were decided while this process
// runs, as far as it knows.
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

// itemChange is an item as proxies are sent it.
func (s *State) itemChange(now int64, i config.Item) update.Change {
	i.History = nil // of no use to proxies
	change := update.Change{Item: &i}
	if i.Kind == config.KindRollouts && !i.Deleted {
		change.RolloutStartedAt = s.RolloutAges.Localize(now, rollout.FromItem(i)).StartedAt
	}
	return change
}

// PublishInstance publishes a host. firstHand says that it sends heartbeats here.
func (s *State) PublishInstance(host instance.Instance, firstHand bool) {
	s.Updates.Add(update.Change{Instance: &host, FirstHand: firstHand})
}

// PublishVote publishes a proxy's vote, unless a newer one is known, or takes its evidence alone. Evidence stays here: it is for
// operators, who ask each control process; only votes are sent to the others.
func (s *State) PublishVote(vote update.Vote, firstHand bool) {
	key := VoteKey{vote.Proxy, vote.Service}
	if vote.Evidence != nil {
		s.Metrics[key] = vote
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

// PublishEjection publishes a host's ejection, by this process or by another, unless a newer one is known. Ejections whose probation is
// over are forgotten.
func (s *State) PublishEjection(now int64, ejection outlier.Ejection, firstHand bool) {
	maps.DeleteFunc(s.Ejections, func(_ string, known outlier.Ejection) bool { return now > known.ProbationUntil })
	if !ejection.Supersedes(s.Ejections[ejection.ID]) {
		return
	}
	s.Ejections[ejection.ID] = ejection
	s.Updates.Add(update.Change{Ejection: &ejection, FirstHand: firstHand})
}

// Merge takes a change that another control process has published.
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

// mergeProxy takes another control process's view of a proxy. A process that claims a proxy by a clock that is behind, after a restart
// or as it didn't know of the proxy, is sent the claim that counts: until its clock has caught up, what it sends would be ignored.
// That a proxy has left is no claim: of each one that moves that is published once others know where it is.
func (s *State) mergeProxy(proxy Proxy) {
	current := s.Proxies[proxy.Name]
	if !s.PublishProxy(proxy, false) && !proxy.Gone && current.Supersedes(proxy) {
		s.Updates.Add(update.Change{Proxy: &current, FirstHand: true})
	}
}

// Snapshot is all that a proxy must know, or all that another control process knows only from this one.
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

// Filter leaves out of a batch what its subscriber learns elsewhere: control processes send each other what they know at first hand, and
// items are decided by consensus. Of several changes of one thing it keeps the last, in its place.
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
