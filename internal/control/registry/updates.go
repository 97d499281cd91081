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

// MaxUpdates is how many changes are kept for those who are behind.
const MaxUpdates = 4096

// VoteKey is whose vote on what.
type VoteKey struct{ Proxy, Service string }

// Publish tells items that were decided to the routers that hang here. seen tells that they were decided since this process
// runs, as far as it can tell.
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

// itemChange is an item as routers are told it.
func (s *State) itemChange(now int64, i config.Item) update.Change {
	i.History = nil // is of no use to routers
	n := update.Change{Item: &i}
	if i.Kind == config.KindRollouts && !i.Deleted {
		n.RolloutStartedAt = s.RolloutAges.Localize(now, rollout.FromItem(i)).StartedAt
	}
	return n
}

// PublishInstance makes news of a host that this process hears.
func (s *State) PublishInstance(host instance.Instance, firstHand bool) {
	s.Updates.Add(update.Change{Instance: &host, FirstHand: firstHand})
}

// PublishVote takes up a router's vote, or its figures alone. Figures stay here: they are for operators, who ask each control
// process; only votes go on to the others.
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

// PublishEjection takes up that a host is set aside, by this process or by another; what is over is forgotten.
func (s *State) PublishEjection(now int64, ejection outlier.Ejection, firstHand bool) {
	maps.DeleteFunc(s.Ejections, func(_ string, x outlier.Ejection) bool { return now > x.ProbationUntil })
	if !ejection.Supersedes(s.Ejections[ejection.ID]) {
		return
	}
	s.Ejections[ejection.ID] = ejection
	s.Updates.Add(update.Change{Ejection: &ejection, FirstHand: firstHand})
}

// Merge takes a note of another control process in.
func (s *State) Merge(now int64, change update.Change) {
	switch {
	case change.Instance != nil:
		updated, republish := s.Instances.Merge(now, *change.Instance)
		if updated {
			s.PublishInstance(*change.Instance, false)
		} else if republish {
			s.PublishInstance(s.Instances.Lookup(change.Instance.ID), true)
		}
	case change.Proxy != nil:
		// who claims a router by a clock that is behind, after a restart or as it never heard of it, learns of the claim that
		// stands from here: what it tells would else be passed over until its clock has come as far. That a router has left is no
		// claim: each one that moves is said to have left once others know where it is
		if current := s.Proxies[change.Proxy.Name]; !s.PublishProxy(*change.Proxy, false) && !change.Proxy.Gone && current.Supersedes(*change.Proxy) {
			s.Updates.Add(update.Change{Proxy: &current, FirstHand: true})
		}
	case change.Vote != nil:
		s.PublishVote(*change.Vote, false)
	case change.Ejection != nil:
		s.PublishEjection(now, *change.Ejection, false)
	}
}

// Snapshot is all that a router must know, or a control process of what only this one hears.
func (s *State) Snapshot(now int64, forControl bool) (changes []update.Change) {
	hosts := s.Instances.All()
	if forControl {
		hosts = s.Instances.Owned()
	} else {
		for _, i := range s.Set.All() {
			changes = append(changes, s.itemChange(now, i))
		}
	}
	for _, h := range hosts {
		changes = append(changes, update.Change{Instance: &h})
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
		for _, p := range s.Votes {
			changes = append(changes, update.Change{Vote: &p})
		}
	}
	return changes
}

// Filter leaves out of a batch what the follower knows otherwise: control processes tell each other what they hear
// themselves, and items by orders and by repair. Of several notes on one thing the last is enough, in its place.
func Filter(changes []update.Change, forControl bool) []update.Change {
	batch := make([]update.Change, 0, len(changes))
	for _, n := range changes {
		if forControl && !n.FirstHand || !forControl && n.Vote != nil {
			continue
		}
		batch = append(batch, n)
	}
	return update.Compact(batch)
}
