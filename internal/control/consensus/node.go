package consensus

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

// Node is a control process's part in the agreement. It is not safe for two goroutines.
type Node struct {
	Set            *config.Set
	self           membership.Member
	incarnation    string
	minPerZone     int
	hardState      HardState
	membership     membership.List
	caughtUp       bool               // since this life began, it has had all that was decided when it asked
	startReplies   map[string]Message // what others told since this life began; nil once this process may promise and vote
	startQueriedAt int64              // when they were last asked
	persistedVote  Message            // the vote that is on disk: its number and its ballot
	muted          bool               // its disk holds less than what it knows: it says nothing that must be on disk
	startedAt      int64

	phase                Phase
	index                uint64
	ballot               Ballot
	highestBallot        uint64
	prepared             bool // the ballot is the last that more than half promised, as far as is known: no need to prepare
	confirmedLatest      bool // more than half have told that nothing is decided beyond what is applied here
	value                []config.Item
	valueTags            []uint64 // tags of the orders in it
	acks                 map[string]string
	rejections           map[string]bool
	promisers            []membership.Member
	legacyItems          []config.Item
	highestAccepted      Ballot
	highestAcceptedValue []config.Item
	phaseStartedAt       int64
	lastSentAt           int64
	retryAt              int64
	lastAcceptedAt       int64 // when this process last voted

	pending []*pendingOperation
	reads   map[uint64]*pendingRead
	lastTag uint64 // tag of this process's own

	peers                map[string]Peer
	silentSince          map[string]int64
	lastReplyAt          map[string]int64 // when another last answered this process
	lastProgressAt       map[string]int64 // when another last decided something, or ended an order of this process
	skipped              map[string]bool  // members that were handed an order and are passed over: until they answer or, if true, decide something
	nextMembershipChange int64            // when the next list may be proposed
	lastProbeAt          int64            // when one that was handed an order was last asked whether it answers
	behindSince          int64            // since when a peer has had more, 0 for none
	catchUp              struct {
		from   string
		at     int64
		behind uint64
		parts  []int
		items  []config.Item
	}
	needsWrite  bool                        // at the end of this step
	unsaved     map[config.Key]*config.Item // applied, and not yet in a write; nil for what has gone
	recent      []recentChange
	recentItems int // items in it
	recentBytes int // bytes of them
	effects     *Effects
	Counts      Counts
	retries     int
}

// Counts are for the log.
type Counts struct{ Decided, Prepared, Proposed, Beaten, Handed, Fetches, Cuts, Reads, TakenOver, Copied int64 }

// New is a node that begins with what its disk held. perZone is how many members a zone has at the least before one that
// is silent may go.
func New(self membership.Member, incarnation string, minPerZone int, hardState HardState, set *config.Set, now int64) *Node {
	self.ID = hardState.DiskID
	return &Node{Set: set, self: self, incarnation: incarnation, minPerZone: max(1, minPerZone), hardState: hardState, membership: membership.FromSet(set), highestBallot: hardState.Promised.Number, startedAt: now,
		persistedVote: Message{Index: hardState.AcceptedIndex, Ballot: hardState.Accepted}, unsaved: map[config.Key]*config.Item{}, startReplies: map[string]Message{},
		reads: map[uint64]*pendingRead{}, peers: map[string]Peer{}, lastReplyAt: map[string]int64{}, lastProgressAt: map[string]int64{}, skipped: map[string]bool{}, silentSince: map[string]int64{}, lastTag: 1 << 32}
}

// Membership is the membership as of what is applied here.
func (n *Node) Membership() membership.List { return n.membership }

// Applied is the number of the last change that this process has applied.
func (n *Node) Applied() uint64 { return n.hardState.Applied }

// HardState is what must be on disk beside the items.
func (n *Node) HardState() HardState { return n.hardState }

// CaughtUp tells whether this process has had, since it started, all that was decided when it asked more than half.
func (n *Node) CaughtUp() bool { return n.caughtUp }

// IsMember tells whether this process's vote counts.
func (n *Node) IsMember() bool { return n.membership.Contains(n.self.IP, n.self.ID) }

// HasQuorum tells whether more than half of the members are heard, this process among them if it is one; and of those of a list
// that it has voted for, which may be decided already: without them nothing goes on.
func (n *Node) HasQuorum() bool {
	acks := map[string]string{n.self.IP: n.self.ID}
	for ip, peer := range n.peers {
		acks[ip] = peer.Member.ID
	}
	next := membership.List{}
	if n.hardState.AcceptedIndex == n.hardState.Applied+1 {
		next = membershipIn(n.hardState.AcceptedValue)
	}
	return n.membership.HasQuorum(acks) && (next.Epoch == 0 || next.HasQuorum(acks))
}

// Unreachable are the members that aren't heard.
func (n *Node) Unreachable() (ips []string) {
	for _, member := range n.membership.Members {
		if peer, heard := n.peers[member.IP]; member.IP != n.self.IP && (!heard || peer.Member.ID != member.ID) || member.IP == n.self.IP && !n.IsMember() {
			ips = append(ips, member.IP)
		}
	}
	return ips
}

// Busy tells whether a tick should come soon.
func (n *Node) Busy() bool {
	return n.phase != Idle || len(n.pending) > 0 || len(n.reads) > 0 || n.hardState.AcceptedIndex == n.hardState.Applied+1 || !n.caughtUp || n.startReplies != nil || n.catchUp.from != ""
}

// Phase is where this process's own proposal stands.
func (n *Node) Phase() Phase { return n.phase }

// SetMuted has the node say nothing that rests on its disk, as the disk lacks some of it; or ends that.
func (n *Node) SetMuted(on bool) { n.muted = on }

// Step is the one function that changes a node.
func (n *Node) Step(e Event) Effects {
	n.effects = &Effects{Send: map[string][]Message{}, SendAfterSync: map[string][]Message{}}
	switch {
	case e.Message != nil:
		n.noteProgress(e, *e.Message)
		if p, heard := n.peers[e.From]; heard && p.Applied < e.Message.Applied && p.Member.ID == e.Message.DiskID {
			p.Applied = e.Message.Applied // its status comes by turns, and is some numbers behind where there are many orders
			n.peers[e.From] = p
		}
		n.receive(e, *e.Message)
	case e.Peer != nil:
		_, heard := n.peers[e.From]
		n.peers[e.From] = *e.Peer
		delete(n.silentSince, e.From)
		if !heard {
			n.peerAppeared(e)
		}
		n.checkLag(e.Now)
	case e.PeerLost:
		delete(n.peers, e.From)
		delete(n.lastReplyAt, e.From)
		delete(n.lastProgressAt, e.From)
		delete(n.skipped, e.From)
		n.silentSince[e.From] = e.Now
		n.recallForwarded(e.From)
		if n.catchUp.from == e.From {
			n.cancelFetch()
		}
	case e.Operation != nil:
		n.submit(e.Now, &pendingOperation{tag: e.Tag, operation: *e.Operation})
	case e.Read:
		n.startRead(e.Now, e.Tag)
	case e.Recover:
		n.forceRecovery(e.Now, e.Random)
	case e.Tick:
		n.tick(e)
	}
	n.advance(e)
	if n.needsWrite {
		n.writeHardState()
	}
	out := *n.effects
	n.effects = nil
	return out
}

// noteProgress notes what a message shows of its sender: that it hears this process, and that it gets on. What it says again and again
// by itself shows neither.
func (n *Node) noteProgress(e Event, m Message) {
	replied := m.Kind == ReadIndexReply || m.Kind == ForwardResult
	progressed := m.Kind == Commit || m.Kind == ForwardResult && m.Result != nil && m.Result.Kind != apierror.Unavailable
	if replied {
		n.lastReplyAt[e.From] = e.Now
	}
	if progressed {
		n.lastProgressAt[e.From] = e.Now
	}
	if wasStuck, isSkipped := n.skipped[e.From]; isSkipped && (progressed || replied && !wasStuck) {
		delete(n.skipped, e.From)
	}
}

// peerAppeared says to one who has only just come to be heard what it is asked now, and not with the next repeat.
func (n *Node) peerAppeared(e Event) {
	n.resendProposal(e.From)
	for _, tag := range n.pendingReadTags() {
		r := n.reads[tag]
		if _, member := n.membership.ByIP(e.From); member && !r.targetKnown {
			n.send(e.From, Message{Kind: ReadIndex, Tag: tag})
		}
	}
	if _, replied := n.startReplies[e.From]; n.hardState.Applied > 0 && n.caughtUp && n.startReplies != nil && !replied {
		n.send(e.From, Message{Kind: ReadIndex})
	}
	if n.hardState.Applied > 0 && !n.caughtUp && n.reads[0] == nil {
		n.startRead(e.Now, 0)
	}
}

func (n *Node) send(to string, m Message) {
	m.Epoch, m.DiskID, m.Applied = n.membership.Epoch, n.self.ID, n.hardState.Applied
	if m.Kind == ReadIndex || m.Kind == Forward {
		m.Incarnation = n.incarnation
	}
	if to == n.self.IP {
		n.receive(Event{Now: n.lastSentAt, From: to}, m)
		return
	}
	n.effects.Send[to] = append(n.effects.Send[to], m)
}

// sendAfterSync says it once what it rests on is on disk.
func (n *Node) sendAfterSync(to string, m Message) {
	m.Epoch, m.DiskID, m.Applied = n.membership.Epoch, n.self.ID, n.hardState.Applied
	n.requestWrite()
	if !n.muted {
		n.effects.SendAfterSync[to] = append(n.effects.SendAfterSync[to], m)
	}
}

// requestWrite has the record written, and with it what has come into the set since the last write. A change whose vote is on this
// disk need not be written when it is applied: it goes along with the next vote, so that an order costs a disk one sync.
func (n *Node) requestWrite() { n.needsWrite = true }

// writeHardState is the step's one write.
func (n *Node) writeHardState() {
	hardState := n.hardState
	n.effects.HardState, n.needsWrite = &hardState, false
	for _, k := range n.unsavedKeys() {
		if staged, changed := n.unsaved[k]; changed && staged != nil {
			n.effects.SaveItems = append(n.effects.SaveItems, *staged)
		} else {
			n.effects.DeleteKeys = append(n.effects.DeleteKeys, k)
		}
	}
	clear(n.unsaved)
}

func (n *Node) unsavedKeys() []config.Key {
	return slices.SortedFunc(maps.Keys(n.unsaved), func(a, b config.Key) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

// stageItem and drop note what has come into the set, and what has left it, for the next write: what was last holds.
func (n *Node) stageItem(i config.Item) {
	n.effects.Updated = append(n.effects.Updated, i)
	n.unsaved[i.Key()] = &i
}

func (n *Node) stageRemoval(k config.Key) {
	n.effects.Removed = append(n.effects.Removed, k)
	n.unsaved[k] = nil
}

func (n *Node) answer(tag uint64, r Result) {
	if tag != 0 {
		n.effects.Answers = append(n.effects.Answers, Answer{tag, r})
	}
}

// receive takes a message.
func (n *Node) receive(e Event, m Message) {
	switch m.Kind {
	case Prepare, Accept:
		n.handleProposal(e, m)
	case Promise, Accepted, Rejected, Ahead, Behind:
		n.handleAcceptorReply(e, m)
	case Commit:
		n.handleCommit(e, m)
	case ReadIndex:
		if m.Tag == 0 || n.mayVote() { // who starts is told by all; who reads only by those that may vote
			n.send(e.From, n.readIndexReply(m.Tag, m.Incarnation))
		}
	case ReadIndexReply:
		if m.Incarnation != n.incarnation { // to one that had its disk before
			return
		}
		if m.Tag == 0 && n.startReplies != nil {
			n.startReplies[e.From] = m
			n.tryResumeVoting(e.Now)
		}
		if r := n.reads[m.Tag]; r != nil {
			r.replies[e.From] = m
			if !r.targetKnown && n.membership.Contains(e.From, m.DiskID) { // who only comes in may have voted, and counts for nothing yet
				r.acks[e.From] = m.DiskID
				r.target = max(r.target, m.Index)
				r.targetKnown = n.membership.HasQuorum(r.acks) && r.epoch == n.membership.Epoch && (m.Tag == 0 || n.mayVote())
			}
			n.commitPersistedVote(e, r)
			n.advanceRead(e.Now, m.Tag, r)
		}
	case VotePersisted:
		if e.From == n.self.IP {
			n.persistedVote = Message{Index: m.Index, Ballot: m.Ballot}
		}
	case FetchChanges:
		n.serveChanges(e.From, m)
	case Changes:
		n.handleChanges(e, m)
	case SnapshotChunk:
		n.handleSnapshotChunk(e, m)
	case Forward:
		if m.Operation != nil {
			n.submit(e.Now, &pendingOperation{operation: *m.Operation, origin: e.From, originTag: m.Tag, originIncarnation: m.Incarnation})
		}
	case ForwardResult:
		if m.Incarnation == n.incarnation {
			n.handleForwardResult(e, m)
		}
	}
}

// tick looks at what has waited for long.
func (n *Node) tick(e Event) {
	if n.phase != Idle {
		if e.Now-n.phaseStartedAt > proposalTimeout {
			n.abandonProposal(e, true)
		} else if e.Now-n.lastSentAt > resendAfter {
			n.lastSentAt = e.Now
			n.sendProposal()
		}
	}
	n.tryAccept(e)
	n.checkLag(e.Now)
	n.tryResumeVoting(e.Now)
	if n.startReplies != nil && n.caughtUp && n.hardState.Applied > 0 && e.Now-n.startQueriedAt > resendAfter { // the members may be others since
		n.startQueriedAt = e.Now
		for _, m := range n.membership.Members {
			if n.startReplies[m.IP].DiskID != m.ID {
				n.send(m.IP, Message{Kind: ReadIndex})
			}
		}
	}
	for _, tag := range n.pendingReadTags() {
		if e.Now-n.reads[tag].receivedAt > requestTimeout {
			delete(n.reads, tag)
			n.answer(tag, Result{Kind: apierror.Unavailable, Reason: "not enough of the core tells how far it is"})
		}
	}
	if n.hardState.Applied == 0 {
		n.bootstrap(e)
		return
	}
	if !n.caughtUp && n.reads[0] == nil {
		n.startRead(e.Now, 0)
	}
	for _, tag := range n.pendingReadTags() {
		r := n.reads[tag]
		switch {
		case !r.targetKnown && e.Now-r.queriedAt > resendAfter:
			n.queryMembers(e.Now, tag, r)
		case r.targetKnown && n.phase == Idle && n.IsMember() && r.target == n.hardState.Applied+1 &&
			e.Now-r.queriedAt > resendAfter+int64(n.precedingPeers())*turnDelay && e.Now >= n.retryAt:
			n.prepare(e) // a vote that nobody ends
		}
	}
	n.maintainMembership(e)
}

// String is the node's state in a log.
func (n *Node) String() string {
	return fmt.Sprintf("number %d, epoch %d of %d, %v, whole %v", n.hardState.Applied, n.membership.Epoch, len(n.membership.Members), n.phase, n.caughtUp)
}

// SilentFor tells for how long each member that isn't heard has been silent, nanoseconds.
func (n *Node) SilentFor(now int64) map[string]int64 {
	all := map[string]int64{}
	for _, ip := range n.Unreachable() {
		if at := n.silentSince[ip]; at != 0 {
			all[ip] = cmp.Or(now-at, 1)
		}
	}
	return all
}
