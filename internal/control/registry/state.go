// Package registry is what a control process knows and how far it may be gone by: which hosts and routers there are, the
// items (as package quorum has them decided), the votes, the other control processes, and the news. It does no I/O and has no clock.
package registry

import (
	"maps"
	"slices"
	"strings"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/update"
	"portflow/internal/control/consensus"
)

// Status is how far a control process may be gone by.
type Status uint8

const (
	CatchingUp    Status = iota // it may lack what was acknowledged: it feeds nobody and takes no order
	WithoutQuorum               // it has had all that was decided when it asked, and doesn't hear more than half of the members now
	HasQuorum                   // it hears more than half
)

func (s Status) String() string { return [...]string{"adrift", "alone", "in touch"}[s] }

// Peer is another control process, as it is heard over the line that this one dialled.
type Peer struct {
	Status update.Status
}

// State is what a control process knows. It is not safe for two goroutines.
type State struct {
	Self        update.Hello
	Node        *consensus.Node // this process's part in the agreement of the core
	Set         *config.Set
	Instances   *instance.Table
	Proxies     map[string]update.Proxy
	Updates     *update.Log
	Votes       map[VoteKey]update.Vote
	Ejections   map[string]outlier.Ejection // by host: those that were set aside of late
	Metrics     map[VoteKey]update.Vote     // the newest figures of routers that hang here
	Peers       map[string]*Peer            // by IP, those that are heard now
	lostPeers   map[string]int64            // by name, control processes that are not heard, since when
	goneSince   map[string]int64            // by name, routers that are gone, since when that was seen
	orphans     map[string]orphan           // by name, routers whose control process is heard, and has started again without them
	RolloutAges rollout.StartTimes          // for how long the rollouts have run
}

// Proxy is a router as control knows it.
type Proxy = update.Proxy

// orphan is a router as it was known when that was noted.
type orphan struct {
	proxy Proxy
	since int64
}

// VoteKey is whose vote on what.
type VoteKey struct{ Proxy, Service string }

// MaxUpdates is how many changes are kept for those who are behind.
const MaxUpdates = 4096

// NewState begins with a node that has what the disk held.
func NewState(self update.Hello, node *consensus.Node, heartbeat int64) *State {
	return &State{Self: self, Node: node, Set: node.Set, Instances: instance.NewTable(self.Name, heartbeat),
		Proxies: map[string]update.Proxy{}, Updates: update.NewLog(MaxUpdates), Votes: map[VoteKey]update.Vote{},
		Metrics: map[VoteKey]update.Vote{}, Ejections: map[string]outlier.Ejection{}, Peers: map[string]*Peer{}, lostPeers: map[string]int64{}, goneSince: map[string]int64{}, orphans: map[string]orphan{}, RolloutAges: rollout.StartTimes{}}
}

// Status tells how far this process may be gone by.
func (s *State) Status() Status {
	switch {
	case !s.Node.CaughtUp():
		return CatchingUp
	case !s.Node.HasQuorum():
		return WithoutQuorum
	}
	return HasQuorum
}

// VotingPeers are the peers that are heard and whose votes count.
func (s *State) VotingPeers() (ips []string) {
	for ip, p := range s.Peers {
		if p.Status.Member {
			ips = append(ips, ip)
		}
	}
	slices.Sort(ips)
	return ips
}

// PeerStatus is what others are told of this process.
func (s *State) PeerStatus() update.Status {
	return update.Status{Complete: s.Node.CaughtUp(), Member: s.Node.IsMember(), HasQuorum: s.Status() == HasQuorum, Sum: s.Set.Checksum(),
		Epoch: s.Node.Membership().Epoch, Number: s.Node.Applied()}
}

// UpdatePeer notes that a peer is heard, and how it stands.
func (s *State) UpdatePeer(ip string, status update.Status) {
	peer := s.Peers[ip]
	if peer == nil {
		peer = &Peer{}
		s.Peers[ip] = peer
	}
	peer.Status = status
}

// PeerLost notes that a peer isn't heard any more: its hosts and routers are now for others to hear of.
func (s *State) PeerLost(now int64, ip, name string) {
	delete(s.Peers, ip)
	s.lostPeers[name] = now
	s.Instances.Adopt(now, name)
}

// PeerFound ends that.
func (s *State) PeerFound(name string) {
	delete(s.lostPeers, name)
	s.Instances.Release(name)
}

// ReconcilePeer takes another control process's snapshot, once its notes are taken in: it names all hosts and routers that it hears. Those
// that this one knows as the other's and that aren't named were heard in its former life: they are on their way elsewhere, or lost.
func (s *State) ReconcilePeer(now int64, name string, changes []update.Change) {
	instances, proxies := map[string]bool{}, map[string]bool{}
	for _, change := range changes {
		if change.Instance != nil {
			instances[change.Instance.ID] = true
		}
		if change.Proxy != nil {
			proxies[change.Proxy.Name] = true
		}
	}
	s.Instances.Reconcile(now, name, instances)
	for _, proxy := range s.Proxies {
		if proxy.Owner == name && name != s.Self.Name && !proxy.Gone && !proxies[proxy.Name] {
			s.orphans[proxy.Name] = orphan{proxy, now}
		}
	}
}

// reconnectGrace is for how long the routers that hung on a control process which isn't heard any more, or has started again, may be on
// their way to another before they are taken for gone.
const reconnectGrace = int64(1200e6)

// Tick finds routers that went down with the control process that they hung on.
func (s *State) Tick(now int64) (changed bool) {
	for _, proxy := range s.Proxies {
		if at, lost := s.lostPeers[proxy.Owner]; lost && !proxy.Gone && now-at > reconnectGrace {
			proxy.Gone = true
			changed = s.PublishProxy(proxy, false) || changed
		}
	}
	for name, stray := range s.orphans {
		proxy := s.Proxies[name]
		if proxy != stray.proxy { // something newer is known of it
			delete(s.orphans, name)
		} else if now-stray.since > reconnectGrace {
			delete(s.orphans, name)
			proxy.Gone = true
			changed = s.PublishProxy(proxy, false) || changed
		}
	}
	return changed
}

// retention is for how long routers and control processes that are gone, and what was voted, are known: longer than any word of them
// is on its way, or any line is silent before it ends.
const retention = int64(600e9)

// Expire forgets what has been over for long, so that what is known is bounded by what there is and by what went in that time. It is
// to be called now and then.
func (s *State) Expire(now int64) {
	s.Instances.EvictUnresponsive(now)
	for _, votes := range []map[VoteKey]update.Vote{s.Votes, s.Metrics} {
		maps.DeleteFunc(votes, func(_ VoteKey, p update.Vote) bool { return now-p.ReceivedAt > retention })
	}
	owners := map[string]bool{}
	for name, proxy := range s.Proxies {
		at, known := s.goneSince[name]
		switch {
		case !proxy.Gone:
			delete(s.goneSince, name)
			owners[proxy.Owner] = true
		case !known:
			s.goneSince[name] = now
		case now-at > retention:
			delete(s.Proxies, name)
			delete(s.goneSince, name)
		}
	}
	maps.DeleteFunc(s.lostPeers, func(name string, at int64) bool { return now-at > retention && !owners[name] })
}

// ReannounceProxies has this process's own routers told anew to another that was away: it may have taken them for gone.
func (s *State) ReannounceProxies() {
	for _, f := range s.Proxies {
		if f.Owner == s.Self.Name && !f.Gone {
			f.Revision++
			s.PublishProxy(f, true)
		}
	}
}

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

// ClaimProxy takes a router up that hangs here: whatever is known of it from elsewhere, or from before a step of its clock, is
// older than what is heard now.
func (s *State) ClaimProxy(now int64, proxy Proxy) Proxy {
	old, known := s.Proxies[proxy.Name]
	if proxy.RegisteredAt == 0 || known && (old.Owner != proxy.Owner || old.Gone) {
		proxy.RegisteredAt, proxy.Revision = max(now, old.RegisteredAt+1), 0
	} else if known {
		proxy.RegisteredAt, proxy.Revision = old.RegisteredAt, old.Revision+1
	}
	s.PublishProxy(proxy, true)
	return proxy
}

// PublishProxy takes up how a router that hangs here is.
func (s *State) PublishProxy(proxy update.Proxy, firstHand bool) bool {
	old, known := s.Proxies[proxy.Name]
	if known && !proxy.Supersedes(old) {
		return false
	}
	s.Proxies[proxy.Name] = proxy
	s.Updates.Add(update.Change{Proxy: &proxy, FirstHand: firstHand})
	return true
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

// ReadyProxies is the routers that are ready, as the design counts and numbers them.
func (s *State) ReadyProxies() []update.Proxy { return update.ReadyProxies(s.Proxies) }

// MemberIPs are the IP numbers of the core that are known, but this one.
func (s *State) MemberIPs() (ips []string) {
	for ip := range s.Set.Members() {
		if ip != s.Self.IP {
			ips = append(ips, ip)
		}
	}
	return ips
}

// Addresses answers the directory: ready fronts of the client's zone; where none is, of its region; else all.
func (s *State) Addresses(zone, region string, regions map[string]string) (all []string) {
	nearest := 0
	for _, proxy := range s.ReadyProxies() {
		proximity := 1
		switch {
		case proxy.Zone == zone:
			proximity = 3
		case regions[proxy.Zone] == region && region != "":
			proximity = 2
		}
		if proximity > nearest {
			nearest, all = proximity, all[:0]
		}
		if proximity == nearest {
			all = append(all, proxy.Address)
		}
	}
	slices.SortFunc(all, strings.Compare)
	return all[:min(len(all), 64)]
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
