// Package registry owns what a control process knows: the hosts and proxies there are, the configuration's items as package consensus
// has them decided, the proxies' votes, the ejected hosts, the other control processes, and the log of updates for subscribers. It
// never does I/O, has no clock and starts no goroutines; the caller passes the time, in nanoseconds.
//
// Begin with State; peers.go has what is known of other control processes, proxies.go of proxies, and updates.go what subscribers are
// sent.
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

// Status is how far a control process can be relied on.
type Status uint8

// The statuses, in the order in which a process that starts goes through them.
const (
	CatchingUp    Status = iota // it may lack what was acknowledged: it sends no updates and takes no operations
	WithoutQuorum               // it has applied all that was decided when it asked, and reaches no majority of the members now
	HasQuorum                   // it reaches a majority
)

// String is the text that operators are answered and the log has.
func (s Status) String() string { return [...]string{"adrift", "alone", "in touch"}[s] }

// State is what a control process knows. It is not safe for concurrent use.
type State struct {
	Self        update.Hello
	Node        *consensus.Node // this process's part in the consensus
	Set         *config.Set
	Instances   *instance.Table
	Proxies     map[string]update.Proxy
	Updates     *update.Log
	Votes       map[VoteKey]update.Vote
	Ejections   map[string]outlier.Ejection // by host ID: those ejected, or back on probation
	Metrics     map[VoteKey]update.Vote     // the last evidence of proxies that subscribe here
	Peers       map[string]*Peer            // by IP, those that are connected now
	lostPeers   map[string]int64            // by name, control processes that are not connected, since when
	goneSince   map[string]int64            // by name, proxies that are gone, since when that is known
	orphans     map[string]orphan           // by name, proxies whose control process is connected, and has started again without them
	RolloutAges rollout.StartTimes          // when the rollouts began, by this process's clock
}

// NewState makes the state around a node that has what the disk held. heartbeat is the interval of hosts' heartbeats, nanoseconds.
func NewState(self update.Hello, node *consensus.Node, heartbeat int64) *State {
	return &State{
		Self:        self,
		Node:        node,
		Set:         node.Set,
		Instances:   instance.NewTable(self.Name, heartbeat),
		Proxies:     map[string]update.Proxy{},
		Updates:     update.NewLog(MaxUpdates),
		Votes:       map[VoteKey]update.Vote{},
		Ejections:   map[string]outlier.Ejection{},
		Metrics:     map[VoteKey]update.Vote{},
		Peers:       map[string]*Peer{},
		lostPeers:   map[string]int64{},
		goneSince:   map[string]int64{},
		orphans:     map[string]orphan{},
		RolloutAges: rollout.StartTimes{},
	}
}

// Status is how far this process can be relied on.
func (s *State) Status() Status {
	switch {
	case !s.Node.CaughtUp():
		return CatchingUp
	case !s.Node.HasQuorum():
		return WithoutQuorum
	}
	return HasQuorum
}

// PeerStatus is the status that subscribers are sent.
func (s *State) PeerStatus() update.Status {
	return update.Status{
		Complete:  s.Node.CaughtUp(),
		Member:    s.Node.IsMember(),
		HasQuorum: s.Status() == HasQuorum,
		Sum:       s.Set.Checksum(),
		Epoch:     s.Node.Membership().Epoch,
		Number:    s.Node.Applied(),
	}
}

// retention is how long, in nanoseconds, proxies and control processes that are gone and votes are known: longer than any message about
// them is on its way, or any stream is silent before it is closed.
const retention = int64(600e9)

// Expire forgets what ended more than the retention ago, so that the state is bounded by what there is and what ended in that time. It
// is called now and then.
func (s *State) Expire(now int64) {
	s.Instances.EvictUnresponsive(now)
	for _, votes := range []map[VoteKey]update.Vote{s.Votes, s.Metrics} {
		maps.DeleteFunc(votes, func(_ VoteKey, vote update.Vote) bool { return now-vote.ReceivedAt > retention })
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
