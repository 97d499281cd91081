// Package registry is what a control process knows and how far it may be gone by: which hosts and routers there are, the
// items (as package quorum has them decided), the votes, the other control processes, and the news. It does no I/O and has no clock.
package registry

import (
	"maps"

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

// PeerStatus is what others are told of this process.
func (s *State) PeerStatus() update.Status {
	return update.Status{Complete: s.Node.CaughtUp(), Member: s.Node.IsMember(), HasQuorum: s.Status() == HasQuorum, Sum: s.Set.Checksum(),
		Epoch: s.Node.Membership().Epoch, Number: s.Node.Applied()}
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
