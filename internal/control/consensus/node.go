// Package consensus replicates the set of configuration items across the control processes using Paxos. It manages the ballots,
// the votes, the log index and the membership. It performs no I/O, reads no clock, generates no random numbers and starts no
// goroutines: time, randomness and messages are passed in with each Event, and messages to send, data to write and answers are
// returned as Effects.
//
// Changes of the set are decided one log index at a time, each by a quorum in the two phases of Paxos (Lamport, "Paxos Made
// Simple", sections 2.2 and 3): Prepare and Promise, then Accept and Accepted. It differs from common implementations as
// follows. Any member may propose; there is no elected leader, only a preferred proposer to which the others forward their
// operations. A member takes part at an index only after it has applied all previous ones, so only one index is undecided at a
// time, and the disk holds the set and the last vote instead of a log. A membership change is a value, decided by majorities of
// both the old and the new members.
//
// Node.Step is the entry point. proposer.go, acceptor.go and learner.go implement the roles of Paxos, batch.go builds values,
// and quorum.go defines quorums. forward.go, read.go, catchup.go, membership.go and recovery.go implement operation forwarding,
// linearizable reads, catch-up, membership changes and forced recovery. write.go collects what is written to disk.
package consensus

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

// Node is the consensus state machine of one control process. It is not safe for concurrent use. Only Step and SetMuted modify
// it.
type Node struct {
	Set    *config.Set // the replicated set as of Applied; callers must not modify it
	Counts Counts

	self        membership.Member
	incarnation string // unique to this run of the process
	minPerZone  int    // number of members that a zone keeps at least when silent members are removed
	startedAt   int64

	hardState  HardState
	membership membership.List // as of Applied
	caughtUp   bool            // the startup read has completed, or a recovery was forced

	acceptor  acceptorState
	proposer  proposerState
	forwarder forwarderState
	reads     map[uint64]*pendingRead // by tag, at most maxPending
	catchUp   catchUpState
	history   changeHistory
	unsaved   writeBuffer

	peers                map[string]Peer  // connected peers, by IP address
	silentSince          map[string]int64 // since when a process has not been connected, by IP address
	nextMembershipChange int64            // the earliest time of the next proposed membership change

	effects *Effects // the effects of the current step
}

// Counts are cumulative event counters. They are logged under their field names.
type Counts struct {
	Decided   int64 // values applied
	Prepared  int64 // proposals started with a new ballot
	Proposed  int64 // values put to the vote
	Beaten    int64 // rejections due to a higher ballot
	Handed    int64 // operations forwarded
	Fetches   int64 // requests for missing changes
	Cuts      int64 // snapshots sent
	Reads     int64 // reads started
	TakenOver int64 // values of other proposers that were proposed again
	Copied    int64 // copies of the set made to evaluate operations
}

// New returns a node that starts from the state on its disk: hardState and the items in set, which the node takes ownership of.
// minPerZone is the number of members that a zone keeps at least when silent members are removed.
func New(self membership.Member, incarnation string, minPerZone int, hardState HardState, set *config.Set, now int64) *Node {
	self.ID = hardState.DiskID
	return &Node{
		Set:         set,
		self:        self,
		incarnation: incarnation,
		minPerZone:  max(1, minPerZone),
		startedAt:   now,
		hardState:   hardState,
		membership:  membership.FromSet(set),
		acceptor: acceptorState{
			startupReplies: map[string]Message{},
			persistedVote:  persistedVote{index: hardState.AcceptedIndex, ballot: hardState.Accepted},
		},
		proposer: proposerState{highestBallot: hardState.Promised.Number},
		forwarder: forwarderState{
			lastTag:        internalTagBase,
			lastReplyAt:    map[string]int64{},
			lastProgressAt: map[string]int64{},
			skipped:        map[string]bool{},
		},
		reads:       map[uint64]*pendingRead{},
		unsaved:     writeBuffer{items: map[config.Key]*config.Item{}},
		peers:       map[string]Peer{},
		silentSince: map[string]int64{},
	}
}

// Membership returns the member list as of Applied.
func (n *Node) Membership() membership.List { return n.membership }

// Applied returns the last log index that this process has applied.
func (n *Node) Applied() uint64 { return n.hardState.Applied }

// HardState returns the state that must be on disk in addition to the items.
func (n *Node) HardState() HardState { return n.hardState }

// CaughtUp reports whether this process has, since it started, applied everything that was decided when it queried a majority.
func (n *Node) CaughtUp() bool { return n.caughtUp }

// IsMember reports whether this process is a voting member with its current disk.
func (n *Node) IsMember() bool { return n.membership.Contains(n.self.IP, n.self.ID) }

// HasQuorum reports whether a majority of the members is connected, counting this process if it is a member. If this process
// has voted for a membership change, which may already be decided, a majority of the new members is required as well.
func (n *Node) HasQuorum() bool {
	connected := map[string]string{n.self.IP: n.self.ID}
	for ip, peer := range n.peers {
		connected[ip] = peer.Member.ID
	}
	next := membership.List{}
	if n.hasUndecidedVote() {
		next = membershipIn(n.hardState.AcceptedValue)
	}
	return n.membership.HasQuorum(connected) && (next.Epoch == 0 || next.HasQuorum(connected))
}

// Unreachable returns the IP addresses of the members that are not connected or that returned with a different disk.
func (n *Node) Unreachable() (ips []string) {
	for _, member := range n.membership.Members {
		reachable := n.isReachable(member)
		if member.IP == n.self.IP {
			reachable = n.IsMember()
		}
		if !reachable {
			ips = append(ips, member.IP)
		}
	}
	return ips
}

// SilentFor returns how long each unreachable member has been silent at time now, in nanoseconds, by IP address.
func (n *Node) SilentFor(now int64) map[string]int64 {
	silent := map[string]int64{}
	for _, ip := range n.Unreachable() {
		if since := n.silentSince[ip]; since != 0 {
			silent[ip] = cmp.Or(now-since, 1)
		}
	}
	return silent
}

// Busy reports whether work is in progress that needs a Tick soon.
func (n *Node) Busy() bool {
	starting := !n.caughtUp || n.acceptor.startupReplies != nil
	waiting := len(n.forwarder.pending) > 0 || len(n.reads) > 0
	return starting || waiting || n.proposer.phase != Idle || n.hasUndecidedVote() || n.catchUp.from != ""
}

// Phase returns the phase of the proposal of this process, Idle if there is none.
func (n *Node) Phase() Phase { return n.proposer.phase }

// SetMuted sets whether the node suppresses messages that depend on its disk. The caller mutes the node while the disk lacks
// some of HardState.
func (n *Node) SetMuted(muted bool) { n.acceptor.muted = muted }

// String returns a short description of the state for logs.
func (n *Node) String() string {
	return fmt.Sprintf("number %d, epoch %d of %d, %v, whole %v", n.hardState.Applied, n.membership.Epoch, len(n.membership.Members), n.proposer.phase, n.caughtUp)
}

// Step handles one event and returns the effects that the caller must carry out.
func (n *Node) Step(e Event) Effects {
	n.effects = &Effects{Send: map[string][]Message{}, SendAfterSync: map[string][]Message{}}
	n.handleEvent(e)
	n.advance(e)
	if n.unsaved.requested {
		n.writeHardState()
	}
	out := *n.effects
	n.effects = nil
	return out
}

func (n *Node) handleEvent(e Event) {
	switch {
	case e.Message != nil:
		n.recordProgress(e.Now, e.From, *e.Message)
		n.updatePeerApplied(e.From, *e.Message)
		n.receive(e, *e.Message)
	case e.Peer != nil:
		n.updatePeer(e)
	case e.PeerLost:
		n.removePeer(e)
	case e.Operation != nil:
		n.submit(e.Now, &pendingOperation{tag: e.Tag, operation: *e.Operation})
	case e.Read:
		n.startRead(e.Now, e.Tag)
	case e.Recover:
		n.forceRecovery(e.Now, e.Random)
	case e.Tick:
		n.tick(e)
	}
}

func (n *Node) receive(e Event, m Message) {
	switch m.Kind {
	case Prepare, Accept:
		n.handleProposal(e, m)
	case Promise, Accepted, Rejected, Ahead, Behind:
		n.handleAcceptorReply(e, m)
	case Commit:
		n.handleCommit(e, m)
	case ReadIndex:
		n.handleReadIndex(e.From, m)
	case ReadIndexReply:
		n.handleReadIndexReply(e, m)
	case VotePersisted:
		if e.From == n.self.IP {
			n.acceptor.persistedVote = persistedVote{index: m.Index, ballot: m.Ballot}
		}
	case FetchChanges:
		n.serveChanges(e.From, m)
	case Changes:
		n.handleChanges(e, m)
	case SnapshotChunk:
		n.handleSnapshotChunk(e, m)
	case Forward:
		n.handleForward(e, m)
	case ForwardResult:
		if m.Incarnation == n.incarnation { // otherwise an earlier incarnation of this process forwarded it
			n.handleForwardResult(e, m)
		}
	}
}

// tick handles timeouts and periodic work.
func (n *Node) tick(e Event) {
	n.retryProposal(e)
	n.tryAccept(e)
	n.checkLag(e.Now)
	n.tryResumeVoting(e.Now)
	n.queryStartupReplies(e.Now)
	n.expireReads(e.Now)
	if n.hardState.Applied == 0 {
		n.bootstrap(e)
		return
	}
	n.ensureStartupRead(e.Now)
	n.retryReads(e)
	n.maintainMembership(e)
}

// updatePeerApplied updates a peer's applied index from a message, as peers report their status only periodically.
func (n *Node) updatePeerApplied(from string, m Message) {
	peer, connected := n.peers[from]
	if connected && peer.Applied < m.Applied && peer.Member.ID == m.DiskID {
		peer.Applied = m.Applied
		n.peers[from] = peer
	}
}

// updatePeer records the reported status of a peer.
func (n *Node) updatePeer(e Event) {
	_, connected := n.peers[e.From]
	n.peers[e.From] = *e.Peer
	delete(n.silentSince, e.From)
	if !connected {
		n.sendPendingTo(e)
	}
	n.checkLag(e.Now)
}

// removePeer handles the loss of the connection to a peer.
func (n *Node) removePeer(e Event) {
	delete(n.peers, e.From)
	delete(n.forwarder.lastReplyAt, e.From)
	delete(n.forwarder.lastProgressAt, e.From)
	delete(n.forwarder.skipped, e.From)
	n.silentSince[e.From] = e.Now
	n.resetForwardsTo(e.From)
	if n.catchUp.from == e.From {
		n.catchUp.reset()
	}
}

// sendPendingTo sends a newly connected peer the pending requests that it has to answer, without waiting for the next resend.
// It starts the startup read if that is still needed.
func (n *Node) sendPendingTo(e Event) {
	n.resendProposal(e.From)
	_, member := n.membership.ByIP(e.From)
	for _, tag := range n.pendingReadTags() {
		if member && !n.reads[tag].targetKnown {
			n.send(e.From, Message{Kind: ReadIndex, Tag: tag})
		}
	}
	if n.hardState.Applied == 0 {
		return
	}
	if _, replied := n.acceptor.startupReplies[e.From]; n.caughtUp && n.acceptor.startupReplies != nil && !replied {
		n.send(e.From, Message{Kind: ReadIndex})
	}
	n.ensureStartupRead(e.Now)
}

// send sends a message without waiting for the disk. A message to this process is handled immediately.
func (n *Node) send(to string, m Message) {
	m = n.stamp(m)
	if m.Kind == ReadIndex || m.Kind == Forward {
		m.Incarnation = n.incarnation
	}
	if to == n.self.IP {
		n.receive(Event{Now: n.proposer.lastSentAt, From: to}, m)
		return
	}
	n.effects.Send[to] = append(n.effects.Send[to], m)
}

func (n *Node) sendToPeers(m Message) {
	for _, ip := range slices.Sorted(maps.Keys(n.peers)) {
		n.send(ip, m)
	}
}

// sendAfterSync sends a message that depends on the current HardState, once that is on disk.
func (n *Node) sendAfterSync(to string, m Message) {
	n.requestWrite()
	if !n.acceptor.muted {
		n.effects.SendAfterSync[to] = append(n.effects.SendAfterSync[to], n.stamp(m))
	}
}

// stamp sets the fields that describe the sender.
func (n *Node) stamp(m Message) Message {
	m.Epoch = n.membership.Epoch
	m.DiskID = n.self.ID
	m.Applied = n.hardState.Applied
	return m
}

// answer returns the result of an operation or a read to the client. The startup read has no client.
func (n *Node) answer(tag uint64, r Result) {
	if tag != startupReadTag {
		n.effects.Answers = append(n.effects.Answers, Answer{tag, r})
	}
}
