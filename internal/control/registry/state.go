// Package registry holds the state of a control process: the hosts, the proxies, the replicated configuration items, the proxies'
// votes, the ejected hosts, the other control processes, and the log of updates for subscribers. It performs no I/O, reads no clock and
// starts no goroutines; the caller passes the time in nanoseconds.
//
// Start reading at State. peers.go handles other control processes, proxies.go proxies, and updates.go the updates for subscribers.
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

// Status describes whether a control process is up to date and has a quorum.
type Status uint8

// The statuses, in the order in which a starting process passes through them.
const (
	CatchingUp    Status = iota // it may lack acknowledged changes, and sends proxies no updates
	WithoutQuorum               // it has caught up since it started, but is not connected to a majority of the members
	HasQuorum                   // it has caught up and is connected to a majority, as is required to accept operations
)

// String returns the name of the status in answers to operators and in the log.
func (s Status) String() string { return [...]string{"adrift", "alone", "in touch"}[s] }

// State is the state of a control process. It is not safe for concurrent use.
type State struct {
	Self         update.Hello
	Node         *consensus.Node
	Set          *config.Set // the replicated items, which Node modifies
	Instances    *instance.Table
	Proxies      map[string]update.Proxy
	Updates      *update.Log
	Votes        map[VoteKey]update.Vote
	Ejections    map[string]outlier.Ejection // by host ID; includes hosts on probation after an ejection
	LastEvidence map[VoteKey]update.Vote     // the last evidence of each proxy that subscribes to this process
	Peers        map[string]*Peer            // connected peers, by IP address
	lostPeers    map[string]int64            // time at which a control process disconnected, by name
	goneSince    map[string]int64            // time at which a proxy was found gone, by name
	orphans      map[string]orphan           // proxies missing from the snapshot of their restarted control process, by name
	RolloutAges  rollout.StartTimes          // start times of the rollouts on this process's clock
}

// NewState returns the initial state for node, whose item set it shares. heartbeat is the interval of the hosts' heartbeats in
// nanoseconds.
func NewState(self update.Hello, node *consensus.Node, heartbeat int64) *State {
	return &State{
		Self:         self,
		Node:         node,
		Set:          node.Set,
		Instances:    instance.NewTable(self.Name, heartbeat),
		Proxies:      map[string]update.Proxy{},
		Updates:      update.NewLog(MaxUpdates),
		Votes:        map[VoteKey]update.Vote{},
		Ejections:    map[string]outlier.Ejection{},
		LastEvidence: map[VoteKey]update.Vote{},
		Peers:        map[string]*Peer{},
		lostPeers:    map[string]int64{},
		goneSince:    map[string]int64{},
		orphans:      map[string]orphan{},
		RolloutAges:  rollout.StartTimes{},
	}
}

// Status returns the current status of this process.
func (s *State) Status() Status {
	switch {
	case !s.Node.CaughtUp():
		return CatchingUp
	case !s.Node.HasQuorum():
		return WithoutQuorum
	}
	return HasQuorum
}

// PeerStatus returns the status to send to subscribers.
func (s *State) PeerStatus() update.Status {
	return update.Status{
		Complete:       s.Node.CaughtUp(),
		Member:         s.Node.IsMember(),
		HasQuorum:      s.Status() == HasQuorum,
		ConfigChecksum: s.Set.Checksum(),
		Epoch:          s.Node.Membership().Epoch,
		Number:         s.Node.Applied(),
	}
}

// retention is the time, in nanoseconds, for which votes, gone proxies and disconnected control processes are remembered. It exceeds the
// delay of any message about them and the time after which a silent stream is closed.
const retention = int64(600e9)

// Expire removes votes older than retention, proxies gone and control processes disconnected for longer than retention, and hosts that
// have been unresponsive for long, so that the state stays bounded. It is to be called periodically.
func (s *State) Expire(now int64) {
	s.Instances.EvictUnresponsive(now)
	for _, votes := range []map[VoteKey]update.Vote{s.Votes, s.LastEvidence} {
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
