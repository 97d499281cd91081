package consensus

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// Phase is where this process's own proposal stands.
type Phase uint8

const (
	Idle Phase = iota
	Preparing
	Accepting
)

func (p Phase) String() string { return [...]string{"idle", "preparing", "accepting"}[p] }

// The times of the agreement, nanoseconds of a monotonic clock. None of them is needed for its safety.
const (
	resendAfter            = int64(250e6) // to those that have not answered a step of a proposal, or a read
	proposalTimeout        = int64(2e9)   // a proposal that gets no further: the next try has a higher ballot
	probeInterval          = int64(100e6) // between askings of one that was handed an order whether it still answers
	forwardSilenceTimeout  = int64(250e6) // one that was handed an order and has answered nothing for so long is passed over
	forwardProgressTimeout = int64(700e6) // so is one that answers, and has decided nothing for so long
	orphanedVoteTimeout    = int64(500e6) // a vote that nobody tells the end of is brought to its end by another
	turnDelay              = int64(150e6) // each member waits for those before it
	fetchRetryAfter        = int64(500e6)
	fetchDelay             = int64(250e6) // a peer that has more is asked
	foundersWait           = int64(400e6)
	startupWait            = int64(400e6) // since the start, for the members that haven't told yet how far they are
	membershipWait         = int64(200e6) // for members that are heard and haven't promised yet, before a list is judged by those that have
	membershipInterval     = int64(400e6) // between proposals of a list
	removalSilence         = int64(3e9)   // a member that has a successor in its zone goes
	requestTimeout         = int64(2500e6)
	maxPending             = 512 // orders, and reads, beyond which more are refused at once
	maxBatchItems          = 4096
	maxRecentChanges       = 512
	maxRecentItems         = 16384
	maxRecentBytes         = 16 << 20
	chunkBytes             = 256 << 10
	maxJoinLag             = 64 // numbers by which one that comes in may be behind
	maxProposerLag         = 4  // numbers by which one that proposes for all may be behind: who does is ahead of the others
)

// Peer is another control process that is heard, as it last said of itself.
type Peer struct {
	Member   membership.Member
	Epoch    uint64
	Applied  uint64
	CaughtUp bool
}

// Event is what happens to a node. Exactly one of the pointers, or Tick, is set.
type Event struct {
	Now       int64   // monotonic, nanoseconds
	Random    float64 // in [0, 1)
	Tick      bool
	From      string   // IP number, of a message or a peer
	Message   *Message // that came
	Peer      *Peer    // is heard, and says this
	PeerLost  bool     // From isn't heard any more
	Operation *operation.Operation
	Read      bool // somebody wants the set as it is now, not as it was
	Recover   bool // an operator makes this process the whole core, as the others never come back
	Tag       uint64
}

type pendingOperation struct {
	tag               uint64
	operation         operation.Operation
	receivedAt        int64
	forwardedAt       int64  // when it was handed over, 0 for not, or for to be handed over anew
	forwards          int    // how often it was handed over: copies of it may be about
	forwardNotBefore  int64  // not to be handed over before
	proposedIndex     uint64 // the number at which it was last voted on
	forwardedTo       string // whom
	origin            string // the IP number of the process that handed it over here, empty for this one
	originTag         uint64 // its tag there, in the life that asked
	originIncarnation string
	proposeHere       bool // it is proposed here
	internal          bool // it is the node's own: nobody waits for its end
}

// probeTag is the tag of a Confirm that no read waits for.
const probeTag = ^uint64(0)

type pendingRead struct {
	epoch       uint64
	receivedAt  int64
	queriedAt   int64
	acks        map[string]string
	replies     map[string]Message // those that told of a vote on the number after what is applied here
	target      uint64
	targetKnown bool // the target is
}

type recentChange struct {
	index uint64
	items []config.Item
	bytes int // bytes
}

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

// voters are those who are asked about the next number: the members, or the founders before there are any; and with them
// those who come in by the value.
func (n *Node) voters() (ips []string) {
	if n.hardState.Applied == 0 {
		return n.hardState.Founders
	}
	for _, m := range n.membership.Members {
		ips = append(ips, m.IP)
	}
	if n.phase == Accepting {
		for _, m := range membershipIn(n.value).Members {
			if !slices.Contains(ips, m.IP) {
				ips = append(ips, m.IP)
			}
		}
	}
	return ips
}

// membershipIn is the list that a value sets, the zero List for none.
func membershipIn(value []config.Item) membership.List {
	for _, i := range value {
		if i.Key() == membership.Key {
			return membership.FromItem(i)
		}
	}
	return membership.List{}
}

// reachesQuorum tells whether those who said yes decide: more than half of the members, or of the founders; and of the members
// that the value makes, as those must have taken it over.
func (n *Node) reachesQuorum(acks map[string]string, value []config.Item) bool {
	if n.hardState.Applied == 0 {
		count := 0
		for ip := range acks {
			if slices.Contains(n.hardState.Founders, ip) {
				count++
			}
		}
		if count < len(n.hardState.Founders)/2+1 {
			return false
		}
	} else if !n.membership.HasQuorum(acks) {
		return false
	}
	next := membershipIn(value)
	return next.Epoch == 0 || next.HasQuorum(acks)
}

// isVoter tells whether a process's word counts at the next number.
func (n *Node) isVoter(ip, id string, value []config.Item) bool {
	if n.hardState.Applied == 0 {
		return slices.Contains(n.hardState.Founders, ip)
	}
	return n.membership.Contains(ip, id) || membershipIn(value).Contains(ip, id)
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

// handleProposal is the acceptor: it votes on the number after the last that it has applied, and on no other.
func (n *Node) handleProposal(e Event, m Message) {
	next := n.hardState.Applied + 1
	switch {
	case m.Index < next:
		n.send(e.From, Message{Kind: Ahead, Index: m.Index, Ballot: m.Ballot})
		return
	case m.Index > next:
		n.send(e.From, Message{Kind: Behind, Index: m.Index, Ballot: m.Ballot})
		n.requestChanges(e.Now, e.From)
		return
	case !n.isVoter(n.self.IP, n.self.ID, m.Value) || !n.isVoter(e.From, m.DiskID, nil) || n.muted || !n.mayVote():
		return
	case m.Ballot.Less(n.hardState.Promised):
		n.send(e.From, Message{Kind: Rejected, Index: m.Index, Ballot: n.hardState.Promised, Accepted: m.Ballot})
		return
	}
	n.recordBallot(e.Now, m)
	if m.Kind == Accept {
		n.sendAfterSync(e.From, Message{Kind: Accepted, Index: m.Index, Ballot: m.Ballot})
		return
	}
	r := Message{Kind: Promise, Index: m.Index, Ballot: m.Ballot}
	if n.hardState.AcceptedIndex == m.Index {
		r.Accepted, r.Value = n.hardState.Accepted, n.hardState.AcceptedValue
	}
	if m.Index == 1 {
		self := n.self
		r.Member = &self
		if all := n.Set.All(); len(all) > 0 {
			r.Batches = [][]config.Item{all}
		}
	}
	n.sendAfterSync(e.From, r)
}

// recordBallot notes a promise or a vote for the disk, the only place that does.
func (n *Node) recordBallot(now int64, m Message) {
	n.hardState.Promised = m.Ballot
	n.highestBallot = max(n.highestBallot, m.Ballot.Number)
	if m.Kind == Accept {
		n.hardState.Accepted, n.hardState.AcceptedIndex, n.hardState.AcceptedValue = m.Ballot, m.Index, m.Value
		n.lastAcceptedAt = now
		n.sendAfterSync(n.self.IP, Message{Kind: VotePersisted, Index: m.Index, Ballot: m.Ballot})
	}
}

// handleAcceptorReply is the proposer, as answers come.
func (n *Node) handleAcceptorReply(e Event, m Message) {
	switch {
	case m.Kind == Behind:
		return
	case m.Kind == Ahead:
		if m.Applied > n.hardState.Applied {
			if n.phase != Idle && m.Index == n.index && m.Ballot == n.ballot {
				n.abandonProposal(e, false)
				n.retryAt = e.Now + fetchDelay // at the latest; what is fetched ends it
			}
			n.requestChanges(e.Now, e.From)
		}
		return
	case m.Kind == Rejected:
		n.highestBallot = max(n.highestBallot, m.Ballot.Number)
		if n.phase == Idle || m.Index != n.index || m.Accepted != n.ballot {
			return
		}
		n.Counts.Beaten++
		n.prepared = false
		if n.rejections[e.From] = true; len(n.voters())-len(n.rejections) < len(n.voters())/2+1 {
			n.abandonProposal(e, true)
		}
		return
	case m.Index != n.index || m.Ballot != n.ballot || !n.isVoter(e.From, m.DiskID, n.value):
		return
	}
	switch {
	case m.Kind == Promise && n.phase == Preparing:
		n.acks[e.From] = m.DiskID
		if m.Accepted != (Ballot{}) && n.highestAccepted.Less(m.Accepted) {
			n.highestAccepted, n.highestAcceptedValue = m.Accepted, m.Value
		}
		if m.Member != nil {
			n.promisers = append(n.promisers, *m.Member)
		}
		for _, batch := range m.Batches {
			n.legacyItems = append(n.legacyItems, batch...)
		}
		n.tryAccept(e)
	case m.Kind == Accepted && n.phase == Accepting:
		if n.acks[e.From] = m.DiskID; n.reachesQuorum(n.acks, n.value) {
			n.decide(e)
		}
	}
}

// tryAccept goes on once more than half have promised; for the first list it waits a moment for the founders that are heard, as
// one of a bare majority bears no loss, and for a later one for the members that are heard, as takes goes by who promised.
func (n *Node) tryAccept(e Event) {
	if n.phase != Preparing || !n.reachesQuorum(n.acks, nil) {
		return
	}
	if n.hardState.Applied == 0 && e.Now-n.phaseStartedAt < foundersWait {
		for _, ip := range n.hardState.Founders {
			if _, heard := n.peers[ip]; heard && n.acks[ip] == "" || ip == n.self.IP && n.acks[ip] == "" {
				return
			}
		}
	}
	if n.hardState.Applied > 0 && e.Now-n.phaseStartedAt < membershipWait && slices.ContainsFunc(n.pending, func(p *pendingOperation) bool { return p.proposeHere && p.operation.Kind == operation.ChangeMembers }) {
		for _, member := range n.membership.Members {
			if p, heard := n.peers[member.IP]; n.acks[member.IP] == "" && (member.IP == n.self.IP && n.IsMember() || heard && p.Member.ID == member.ID) {
				return
			}
		}
	}
	n.accept(e)
}

// abandonProposal ends a proposal without an end.
func (n *Node) abandonProposal(e Event, rejected bool) {
	if n.phase != Idle && rejected {
		n.retryAt = e.Now + int64(e.Random*float64(turnDelay)*float64(1+n.retries))
		if first := n.preferredProposer(); first == n.self.IP && n.retries == 0 { // it may have known too low a ballot
			n.retryAt = e.Now
		} else if first != n.self.IP && n.hardState.Applied > 0 { // that one goes on
			n.retryAt += 2 * turnDelay
		}
		n.retries = min(n.retries+1, 4)
	}
	n.phase, n.prepared, n.value, n.valueTags, n.promisers, n.legacyItems, n.highestAcceptedValue = Idle, false, nil, nil, nil, nil, nil
}

// prepare begins a proposal with a new ballot.
func (n *Node) prepare(e Event) {
	n.highestBallot++
	n.Counts.Prepared++
	n.phase, n.index, n.ballot = Preparing, n.hardState.Applied+1, Ballot{n.highestBallot, n.incarnation}
	n.acks, n.rejections, n.highestAccepted, n.highestAcceptedValue, n.promisers, n.legacyItems, n.value, n.valueTags = map[string]string{}, map[string]bool{}, Ballot{}, nil, nil, nil, nil, nil
	n.phaseStartedAt, n.lastSentAt, n.confirmedLatest = e.Now, e.Now, false
	n.sendProposal()
}

// accept asks for votes: on the value of the highest ballot that was told, or on this process's own orders.
func (n *Node) accept(e Event) {
	value, tags := n.highestAcceptedValue, []uint64(nil)
	switch {
	case n.highestAccepted != (Ballot{}):
		n.Counts.TakenOver++
	case n.hardState.Applied == 0:
		value = n.foundingValue()
	default:
		n.confirmedLatest = true
		n.settleUndecidedReads(e)
		value, tags = n.buildValue(e.Now)
	}
	if len(value) == 0 {
		n.phase, n.prepared = Idle, true
		n.retries = 0
		n.lastAcceptedAt = e.Now // what may be voted for here alone is looked at again in a while
		return
	}
	n.proposeValue(e, value, tags)
}

// settleUndecidedReads ends reads that waited for a vote which more than half, that promised since the read came, don't have: it was not
// decided, and can't be any more.
func (n *Node) settleUndecidedReads(e Event) {
	for _, tag := range n.pendingReadTags() {
		if r := n.reads[tag]; r.targetKnown && r.epoch == n.membership.Epoch && r.target == n.hardState.Applied+1 && n.phaseStartedAt >= r.receivedAt {
			r.target = n.hardState.Applied
			n.advanceRead(e.Now, tag, r)
		}
	}
}

// proposeValue asks for votes on a value; with a ballot this is done once a number.
func (n *Node) proposeValue(e Event, value []config.Item, tags []uint64) {
	n.Counts.Proposed++
	n.phase, n.index, n.value, n.valueTags, n.acks = Accepting, n.hardState.Applied+1, value, tags, map[string]string{}
	n.rejections = map[string]bool{}
	n.phaseStartedAt, n.lastSentAt, n.prepared = e.Now, e.Now, true
	for _, p := range n.pending {
		if slices.Contains(tags, p.tag) {
			p.proposedIndex = n.index
			if !p.operation.Conditional { // the vote may be brought to its end by another: it is not made once more on what comes after
				p.operation = operation.Bind(n.Set, p.operation)
			}
		}
	}
	n.sendProposal()
}

// currentProposal is the present step.
func (n *Node) currentProposal() Message {
	if n.phase == Accepting {
		return Message{Kind: Accept, Index: n.index, Ballot: n.ballot, Value: n.value}
	}
	return Message{Kind: Prepare, Index: n.index, Ballot: n.ballot}
}

// sendProposal says the present step to all who haven't answered it.
func (n *Node) sendProposal() {
	m := n.currentProposal()
	for _, ip := range n.voters() {
		if _, said := n.acks[ip]; !said && ip != n.self.IP {
			n.send(ip, m)
		}
	}
	if _, said := n.acks[n.self.IP]; !said && slices.Contains(n.voters(), n.self.IP) {
		n.send(n.self.IP, m)
	}
}

// foundingValue is the first value: those who promised are the first members. On disks of before the agreement there may be items:
// the newest of all hold.
func (n *Node) foundingValue() []config.Item {
	all := config.NewSet()
	for _, i := range n.legacyItems {
		if i.Kind != config.KindCore {
			all.Merge(i)
		}
	}
	return append(all.All(), membership.List{}.Change(n.promisers, nil).Item())
}

// buildValue makes a value of the orders that wait, and answers those that need none.
func (n *Node) buildValue(now int64) (value []config.Item, tags []uint64) {
	var next *config.Set // as it is with the value, which only a second order needs
	position, merged, size := map[config.Key]int{}, 0, 0
	var remaining []*pendingOperation
	for _, op := range n.pending {
		exclusive := op.operation.Kind == operation.RestoreSnapshot && len(value) > 0 || operation.ReplacesAll(value)
		if remaining = append(remaining, op); !op.proposeHere || exclusive || len(value) >= maxBatchItems || op.operation.Kind == operation.ChangeMembers && membershipIn(value).Epoch != 0 {
			continue
		}
		if op.operation.Kind == operation.ChangeMembers && !(n.confirmedLatest && n.mayChangeMembership(op.operation)) {
			if !n.confirmedLatest {
				n.prepared = false // it is looked at again when more than half have promised anew
				continue
			}
			remaining = remaining[:len(remaining)-1]
			n.finish(op, Result{Kind: apierror.Unavailable, Reason: "the new members can't be sure to take over"})
			continue
		}
		set := n.Set
		if len(value) > 0 {
			if next == nil {
				next = n.Set.Clone()
				n.Counts.Copied++
			}
			for _, i := range value[merged:] {
				next.Merge(i)
			}
			set, merged = next, len(value)
		}
		items, err := operation.Apply(set, op.operation)
		if (err != nil || len(items) == 0) && set != n.Set { // by what is not decided yet: it is looked at again
			if items, err = operation.Apply(n.Set, op.operation); err == nil && len(items) > 0 {
				continue
			}
		}
		switch {
		case err != nil:
			kind := apierror.KindOf(err)
			if kind != apierror.Conflict && op.proposedIndex == n.hardState.Applied+1 {
				continue // a vote on it may still be taken over: it isn't refused before that number is decided
			}
			if kind != apierror.Conflict && !n.confirmedLatest { // it may be wrong only by what this process doesn't know yet
				n.prepared = false
				continue
			}
			remaining = remaining[:len(remaining)-1]
			if kind != apierror.Conflict && op.forwards > 0 { // its copy may still be taken, once what it lacks is there
				n.finish(op, Result{Kind: apierror.Unavailable, Reason: "not clear yet: " + err.Error()})
				continue
			}
			n.finish(op, Result{Kind: kind, Reason: err.Error(), Index: n.hardState.Applied, NotProposed: op.proposedIndex == 0})
			continue
		case len(items) == 0 && op.operation.DependsOnState() && !n.confirmedLatest: // it may stand here alone, and be over where this process isn't heard
			n.prepared = false
			continue
		case len(items) == 0:
			remaining = remaining[:len(remaining)-1]
			n.finish(op, Result{Index: n.hardState.Applied})
			continue
		}
		if operation.ReplacesAll(items) {
			value, tags = items, append(tags, op.tag)
			continue
		}
		if size+config.EncodedSizeBound(items) > operation.MaxValueBytes { // it goes into a later number
			continue
		}
		size += config.EncodedSizeBound(items)
		for _, i := range items {
			if at, there := position[i.Key()]; there {
				if value[at] = i; at < merged {
					next.Merge(i)
				}
			} else {
				position[i.Key()] = len(value)
				value = append(value, i)
			}
		}
		tags = append(tags, op.tag)
	}
	n.pending = remaining
	return value, tags
}

// finish tells how an order ended, here or where it came from.
func (n *Node) finish(op *pendingOperation, r Result) {
	if op.origin != "" {
		n.send(op.origin, Message{Kind: ForwardResult, Tag: op.originTag, Incarnation: op.originIncarnation, Result: &r})
		return
	}
	if !op.internal {
		n.answer(op.tag, r)
	}
}

// decide is where a number is decided by this process's proposal.
func (n *Node) decide(e Event) {
	value, tags, ballot, index, prepared := n.value, n.valueTags, n.ballot, n.index, n.prepared
	n.phase, n.value, n.valueTags, n.retries = Idle, nil, nil, 0
	n.apply(e.Now, index, value)
	n.prepared = prepared
	for _, ip := range slices.Sorted(maps.Keys(n.peers)) {
		n.send(ip, Message{Kind: Commit, Index: index, Ballot: ballot})
	}
	n.pending = slices.DeleteFunc(n.pending, func(p *pendingOperation) bool {
		if slices.Contains(tags, p.tag) {
			n.finish(p, Result{Index: index})
			return true
		}
		return false
	})
}

// handleCommit learns a decision that another's proposal brought.
func (n *Node) handleCommit(e Event, m Message) {
	if m.Index <= n.hardState.Applied {
		return
	}
	if m.Index == n.hardState.Applied+1 && n.hardState.AcceptedIndex == m.Index && n.hardState.Accepted == m.Ballot {
		value := n.hardState.AcceptedValue
		if n.phase != Idle {
			n.abandonProposal(e, false)
		}
		n.prepared = false
		n.apply(e.Now, m.Index, value)
		return
	}
	n.requestChanges(e.Now, e.From)
}

// apply is the one place where a decided change comes into the set.
func (n *Node) apply(now int64, index uint64, items []config.Item) {
	if operation.ReplacesAll(items) {
		changed, gone := n.Set.ReplaceAll(items[1:])
		for _, i := range changed {
			n.stageItem(i)
		}
		for _, k := range gone {
			n.stageRemoval(k)
		}
		n.effects.Replaced = true
		items = nil // it is kept for nobody: who is behind takes a cut
		n.forgetChanges()
	}
	for _, i := range items {
		if n.Set.Merge(i) {
			n.stageItem(i)
		}
	}
	for _, k := range n.Set.TakeEvicted() {
		n.stageRemoval(k)
	}
	if items != nil {
		k := recentChange{index, items, config.EncodedSizeBound(items)}
		n.recent, n.recentItems, n.recentBytes = append(n.recent, k), n.recentItems+len(items), n.recentBytes+k.bytes
	}
	for len(n.recent) > maxRecentChanges || (n.recentItems > maxRecentItems || n.recentBytes > maxRecentBytes) && len(n.recent) > 0 {
		n.recentItems, n.recentBytes = n.recentItems-len(n.recent[0].items), n.recentBytes-n.recent[0].bytes
		n.recent = n.recent[1:]
	}
	n.afterApply(now, index)
	n.Counts.Decided++
}

// forgetChanges forgets the last changes, as the set isn't what they made any more.
func (n *Node) forgetChanges() { n.recent, n.recentItems, n.recentBytes = nil, 0, 0 }

func (n *Node) afterApply(now int64, index uint64) {
	n.hardState.Applied = index
	saved := n.hardState.AcceptedIndex == index && len(n.unsaved) <= maxBatchItems
	if n.hardState.AcceptedIndex <= index {
		n.hardState.Accepted, n.hardState.AcceptedIndex, n.hardState.AcceptedValue = Ballot{}, 0, nil
	}
	n.membership = membership.FromSet(n.Set)
	n.retryAt = 0
	n.effects.Changed = true
	if !saved {
		n.requestWrite()
	}
	for _, tag := range n.pendingReadTags() {
		n.advanceRead(now, tag, n.reads[tag])
	}
	if !n.caughtUp && n.reads[0] == nil {
		n.startRead(now, 0)
	}
}

// submit takes an order up.
func (n *Node) submit(now int64, op *pendingOperation) {
	op.receivedAt = now
	if op.internal = op.origin == "" && op.tag == 0; op.origin != "" || op.internal {
		n.lastTag++
		op.tag = n.lastTag
	}
	if len(n.pending) >= maxPending {
		n.finish(op, Result{Kind: apierror.Unavailable, Reason: "too many orders wait", NotProposed: true})
		return
	}
	if op.origin != "" && !n.IsMember() {
		n.finish(op, Result{Kind: apierror.Unavailable, Reason: "no member of the core", NotProposed: true})
		return
	}
	op.proposeHere = op.origin != ""
	n.pending = append(n.pending, op)
}

// preferredProposer is the member that proposes for the others as long as it is heard. Nothing rests on that all see the same one.
func (n *Node) preferredProposer() string {
	for _, m := range n.membership.Members {
		if m.IP == n.self.IP && n.IsMember() {
			return m.IP
		}
		_, passed := n.skipped[m.IP]
		if p, heard := n.peers[m.IP]; heard && p.CaughtUp && p.Member.ID == m.ID && !passed && p.Applied+maxProposerLag >= n.hardState.Applied {
			return m.IP
		}
	}
	return ""
}

// recallForwarded has orders that were handed to a member which isn't heard any more handed to the next.
func (n *Node) recallForwarded(ip string) {
	for _, p := range n.pending {
		if p.forwardedTo == ip {
			p.forwardedAt, p.forwardedTo = 0, ""
		}
	}
}

// handleForwardResult is how an order ended that was handed over.
func (n *Node) handleForwardResult(e Event, m Message) {
	for i, op := range n.pending {
		if op.tag == m.Tag && op.forwardedTo == e.From && m.Result != nil {
			if m.Result.Kind == apierror.Unavailable { // it was bound to what stands no more, or that one can't propose
				op.forwardedAt, op.forwardedTo, op.forwardNotBefore = 0, "", e.Now+turnDelay
				if m.Result.NotProposed && op.forwards == 1 && op.proposedIndex == 0 { // no copy of it is anywhere, nor a vote: it may go by what stands now
					op.forwards, op.operation.Conditional = 0, false
				}
				return
			}
			r := *m.Result
			if r.Kind != apierror.None && r.Kind != apierror.Conflict && op.forwards > 1 { // another has a copy, and may still take it
				r = Result{Kind: apierror.Unavailable, Reason: "not clear yet: " + r.Reason}
			}
			n.pending = slices.Delete(n.pending, i, i+1)
			n.finish(op, r)
			return
		}
	}
}

// advance goes on with what waits, where nothing of it is under way.
func (n *Node) advance(e Event) {
	n.pending = slices.DeleteFunc(n.pending, func(p *pendingOperation) bool {
		if e.Now-p.receivedAt <= requestTimeout {
			return false
		}
		n.finish(p, Result{Kind: apierror.Unavailable, Reason: "not yet kept by more than half of the core"})
		return true
	})
	if !n.caughtUp || n.hardState.Applied == 0 {
		return
	}
	proposeHere := n.forwardPending(e)
	if n.phase != Idle || e.Now < n.retryAt || !n.IsMember() || n.muted {
		return
	}
	orphaned := n.hardState.AcceptedIndex == n.hardState.Applied+1 && e.Now-n.lastAcceptedAt > orphanedVoteTimeout+int64(n.precedingPeers())*turnDelay
	if !proposeHere && !orphaned {
		return
	}
	if n.prepared && !orphaned && n.hardState.AcceptedIndex != n.hardState.Applied+1 {
		n.confirmedLatest = false
		if value, mine := n.buildValue(e.Now); len(value) > 0 {
			n.proposeValue(e, value, mine)
			return
		} else if n.prepared || !slices.ContainsFunc(n.pending, func(p *pendingOperation) bool { return p.proposeHere }) {
			return
		}
	}
	if !orphaned && !n.prepared && !n.finishSatisfied() {
		return
	}
	n.prepare(e)
}

// finishSatisfied ends the changes that stand already, as another brought them to their end, and tells whether there are orders that
// this process is to propose: a ballot that nothing needs would only beat the one that goes on. A change that stands does so
// for ever, by its versions; of other orders that is known only by who has what is decided now.
func (n *Node) finishSatisfied() (unsatisfied bool) {
	n.pending = slices.DeleteFunc(n.pending, func(p *pendingOperation) bool {
		if !p.proposeHere {
			return false
		}
		if p.operation.Kind == operation.ModifyConfig {
			if items, err := operation.Apply(n.Set, p.operation); err == nil && len(items) == 0 {
				n.finish(p, Result{Index: n.hardState.Applied})
				return true
			}
		}
		unsatisfied = true
		return false
	})
	return unsatisfied
}

// forwardPending hands orders over to the member that proposes for all, and tells whether there are some that this process is to
// propose itself: it is that member, or nobody is. That several propose at once beats them all, so an order stays handed as long
// as the one that has it answers and decides something now and then; else that one is passed over. Who has had an order for
// a while is asked by a Confirm whether it answers: in calm the order has ended before.
func (n *Node) forwardPending(e Event) (proposeHere bool) {
	probed := map[string]bool{}
	for _, op := range n.pending {
		if op.forwardedAt != 0 {
			silentFor, stalledFor := e.Now-max(op.forwardedAt, n.lastReplyAt[op.forwardedTo]), e.Now-max(op.forwardedAt, n.lastProgressAt[op.forwardedTo])
			switch {
			case silentFor > forwardSilenceTimeout, stalledFor > forwardProgressTimeout:
				n.skipped[op.forwardedTo] = silentFor <= forwardSilenceTimeout
				n.recallForwarded(op.forwardedTo) // with all else that it was handed
			case e.Now-op.forwardedAt > forwardProgressTimeout: // it may have lost it
				op.forwardedAt, op.forwardedTo = 0, ""
			case silentFor > probeInterval && !probed[op.forwardedTo] && e.Now-n.lastProbeAt > probeInterval:
				probed[op.forwardedTo] = true
				n.send(op.forwardedTo, Message{Kind: ReadIndex, Tag: probeTag})
			}
		}
		first := n.preferredProposer()
		switch {
		case op.proposeHere:
		case first == n.self.IP || first == "" && e.Now-op.receivedAt > forwardSilenceTimeout && n.IsMember():
			op.proposeHere = true
		case op.forwardedAt == 0 && first != "" && e.Now >= op.forwardNotBefore:
			n.Counts.Handed++
			op.forwardedAt, op.forwardedTo, op.forwards = e.Now, first, op.forwards+1
			if !op.operation.Conditional { // else a copy is about, or a vote on it: all of them go by what stood before the first, so that one is made
				op.operation = operation.Bind(n.Set, op.operation)
			}
			forwarded := op.operation
			n.send(first, Message{Kind: Forward, Tag: op.tag, Operation: &forwarded})
		}
		proposeHere = proposeHere || op.proposeHere
	}
	if len(probed) > 0 {
		n.lastProbeAt = e.Now
	}
	return proposeHere
}

// precedingPeers is how many members that are heard come before this one.
func (n *Node) precedingPeers() (count int) {
	for _, m := range n.membership.Members {
		if _, heard := n.peers[m.IP]; heard && m.IP < n.self.IP {
			count++
		}
	}
	return count
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

// bootstrap makes the first epoch: the founders are named by the settings of the first start, alike at all, and more than half
// of them decide the first number as any other. A process whose disk was lost is no founder any more.
func (n *Node) bootstrap(e Event) {
	position := slices.Index(n.hardState.Founders, n.self.IP)
	if position < 0 || n.phase != Idle || e.Now < n.retryAt || e.Now-n.startedAt < int64(position)*2*turnDelay {
		return
	}
	reachable := 1
	for _, ip := range n.hardState.Founders {
		if _, heard := n.peers[ip]; heard {
			reachable++
		}
	}
	if reachable >= len(n.hardState.Founders)/2+1 {
		n.prepare(e)
	}
}

// maintainMembership has the first member bring in who has come, and let go who has a successor.
func (n *Node) maintainMembership(e Event) {
	for _, member := range n.membership.Members {
		if _, heard := n.peers[member.IP]; member.IP != n.self.IP && !heard && n.silentSince[member.IP] == 0 {
			n.silentSince[member.IP] = e.Now
		}
	}
	if !n.caughtUp || n.preferredProposer() != n.self.IP || slices.ContainsFunc(n.pending, func(p *pendingOperation) bool { return p.operation.Kind == operation.ChangeMembers }) {
		return
	}
	var joining []membership.Member
	for _, ip := range slices.Sorted(maps.Keys(n.peers)) {
		if p := n.peers[ip]; p.CaughtUp && !n.membership.Contains(ip, p.Member.ID) && !n.membership.Excludes(p.Member.ID) && p.Applied+maxJoinLag >= n.hardState.Applied && p.Member.ID != "" &&
			(slices.Contains(n.Unreachable(), ip) || n.liveInZone(p.Member.Zone, joining) < n.minPerZone) { // in the place of its lost disk always
			joining = append(joining, p.Member)
		}
	}
	var silent []string
	for _, member := range n.membership.Members {
		if since := n.silentSince[member.IP]; since != 0 && e.Now-since > removalSilence {
			silent = append(silent, member.IP)
		}
	}
	leaving := n.membership.Change(joining, nil).Removable(silent, n.minPerZone)
	leaving = n.selectRemovals(joining, leaving)
	if len(leaving) == 0 && n.tolerance(n.membership) >= 0 && n.tolerance(n.membership.Change(joining, nil)) <= n.tolerance(n.membership) && n.zoneHasSilentMember(joining) {
		joining = nil // with its predecessor counted too it would be one more to lose, and bear none more: they go by turns in one step
	}
	if len(joining)+len(leaving) > 0 && e.Now >= n.nextMembershipChange && n.tolerance(n.membership.Change(joining, leaving)) >= 0 {
		n.nextMembershipChange = e.Now + membershipInterval
		n.submit(e.Now, &pendingOperation{operation: operation.Operation{Kind: operation.ChangeMembers, Add: joining, Remove: leaving, Expected: n.membership.Epoch}})
	}
}

// zoneHasSilentMember tells whether a member of the zone of one that comes in isn't heard.
func (n *Node) zoneHasSilentMember(joining []membership.Member) bool {
	return slices.ContainsFunc(n.membership.Members, func(m membership.Member) bool {
		_, heard := n.peers[m.IP]
		return m.IP != n.self.IP && !heard && slices.ContainsFunc(joining, func(candidate membership.Member) bool { return candidate.Zone == m.Zone && candidate.IP != m.IP })
	})
}

// selectRemovals tells who of those that may go does: one at a time, or as many as it takes until the core bears a loss, as of five with
// two lost that no list of four would.
func (n *Node) selectRemovals(joining []membership.Member, leaving []string) []string {
	for i := range leaving {
		if n.tolerance(n.membership.Change(joining, leaving[:i+1])) >= max(1, n.tolerance(n.membership)) {
			return leaving[:i+1]
		}
	}
	return nil
}

// liveInZone is how many members of a zone are heard, with those that come in. Where a zone has enough, who comes is a learner that
// stands by: it is voted in once one of them is lost.
func (n *Node) liveInZone(zone string, joining []membership.Member) (count int) {
	for _, m := range n.membership.Members {
		if p, heard := n.peers[m.IP]; m.Zone == zone && (m.IP == n.self.IP || heard && p.Member.ID == m.ID) {
			count++
		}
	}
	for _, m := range joining {
		if m.Zone == zone {
			count++
		}
	}
	return count
}

// mayChangeMembership tells whether a list that an order makes may be voted on. A list that was voted on may have been decided, and so can't
// be given up: once it lacks a majority, the core waits until enough are back. So those who have only just promised must be
// more than half of it, whatever becomes of those that come in. Only where more losses are borne with them than without, or
// where one member is all there is, may they be needed.
func (n *Node) mayChangeMembership(op operation.Operation) bool {
	next, reachable := n.membership.Change(op.Add, op.Remove), maps.Clone(n.acks)
	if next.HasQuorum(n.acks) {
		return true
	}
	for _, m := range op.Add {
		if p, heard := n.peers[m.IP]; heard {
			reachable[m.IP] = p.Member.ID
		}
	}
	return next.HasQuorum(reachable) && (next.QuorumMargin(reachable) > n.membership.QuorumMargin(n.acks) || len(n.membership.Members) == 1)
}

// tolerance is how many members of a list may be lost beside those that aren't heard now. A list that could not lose one more,
// or fewer than the present one, isn't made by letting a member go.
func (n *Node) tolerance(list membership.List) int {
	var down []string
	for _, m := range list.Members {
		if p, heard := n.peers[m.IP]; m.IP != n.self.IP && (!heard || p.Member.ID != m.ID) {
			down = append(down, m.IP)
		}
	}
	members, _ := list.Tolerates(down)
	return members
}

// The high bits of a number and of an epoch count how often an operator has made one process the whole core. What follows
// them is drawn: of two that were made so at once, one is the later by both, and the other gives way as soon as they meet.
const recoveryIndexShift, recoveryEpochShift, recoveryDrawRange = 48, 32, 1 << 31

// RecoveryIndexJump is by how much at least a number goes up where one core gives way to another that an operator made.
const RecoveryIndexJump = 1 << 16

// forceRecovery makes this process the whole core: a number and an epoch that fence all that was before.
func (n *Node) forceRecovery(now int64, chance float64) {
	if n.hardState.Applied == 0 || n.membership.Epoch == 0 { // it has nothing to go on from
		return
	}
	n.abandonProposal(Event{Now: now}, false)
	drawn := uint64(chance * recoveryDrawRange)
	next := membership.List{Epoch: (n.membership.Epoch>>recoveryEpochShift+1)<<recoveryEpochShift + drawn, Members: []membership.Member{n.self}, Excluded: n.membership.Excluded}
	items := []config.Item{next.Item()}
	if n.hardState.AcceptedIndex == n.hardState.Applied+1 { // what it voted for may have been decided, and confirmed: it is kept, but for its list
		position := 0
		if operation.ReplacesAll(n.hardState.AcceptedValue) {
			position = 1
		}
		rest := slices.DeleteFunc(slices.Clone(n.hardState.AcceptedValue), func(i config.Item) bool { return i.Key() == membership.Key })
		items = slices.Insert(rest, position, items...)
	}
	n.forgetChanges()
	n.caughtUp, n.startReplies = true, nil
	n.apply(now, (n.hardState.Applied>>recoveryIndexShift+1)<<recoveryIndexShift+drawn<<16, items)
}

// startRead begins a read: it is answered once this process has all that was decided when it came.
func (n *Node) startRead(now int64, tag uint64) {
	if len(n.reads) >= maxPending {
		n.answer(tag, Result{Kind: apierror.Unavailable, Reason: "too many reads wait"})
		return
	}
	r := &pendingRead{receivedAt: now}
	n.reads[tag] = r
	n.Counts.Reads++
	n.queryMembers(now, tag, r)
}

func (n *Node) queryMembers(now int64, tag uint64, r *pendingRead) {
	r.queriedAt, r.epoch, r.acks, r.target, r.targetKnown = now, n.membership.Epoch, map[string]string{}, n.hardState.Applied, false
	r.replies = map[string]Message{}
	for _, m := range n.membership.Members {
		if m.IP != n.self.IP {
			n.send(m.IP, Message{Kind: ReadIndex, Tag: tag})
		}
	}
	n.send(n.self.IP, n.readIndexReply(tag, n.incarnation))
}

// readIndexReply is how far this process is, for who asked in a life of its own.
func (n *Node) readIndexReply(tag uint64, life string) Message {
	m := Message{Kind: ReadIndexReply, Tag: tag, Incarnation: life, Index: max(n.hardState.Applied, n.hardState.AcceptedIndex)}
	if n.hardState.AcceptedIndex == n.hardState.Applied+1 && n.persistedVote.Index == n.hardState.AcceptedIndex && n.persistedVote.Ballot == n.hardState.Accepted {
		m.Accepted = n.hardState.Accepted
		if tag == 0 { // of one that starts
			m.Value = n.hardState.AcceptedValue
		}
	}
	return m
}

// tryResumeVoting looks whether this process may promise and vote: since it started, it has asked the others, and lacks nothing that one
// of them has applied. All members are waited for a moment, as an image of a disk that was put back, and one that is behind,
// might be more than half. The highest vote that was told of is taken for this process's own, as if its Accept had come just
// now: by an image it may have been forgotten.
func (n *Node) tryResumeVoting(now int64) {
	if n.startReplies == nil || n.hardState.Applied == 0 || n.muted {
		return
	}
	acks, next, highest := map[string]string{}, n.hardState.Applied+1, Message{}
	if n.hardState.AcceptedIndex == next {
		highest.Accepted = n.hardState.Accepted
	}
	for _, ip := range slices.Sorted(maps.Keys(n.startReplies)) {
		m := n.startReplies[ip]
		if m.Applied > n.hardState.Applied {
			return
		}
		if acks[ip] = m.DiskID; m.Index == next && highest.Accepted.Less(m.Accepted) && len(m.Value) > 0 {
			highest = m
		}
	}
	all := !slices.ContainsFunc(n.membership.Members, func(m membership.Member) bool { return acks[m.IP] != m.ID })
	if !n.membership.HasQuorum(acks) || !all && now-n.startedAt < startupWait {
		return
	}
	n.startReplies = nil
	if len(highest.Value) > 0 && !highest.Accepted.Less(n.hardState.Promised) && n.isVoter(n.self.IP, n.self.ID, highest.Value) {
		n.recordBallot(now, Message{Kind: Accept, Index: next, Ballot: highest.Accepted, Value: highest.Value})
	}
}

// mayVote tells whether this process may promise and vote.
func (n *Node) mayVote() bool { return n.startReplies == nil || n.hardState.Applied == 0 }

// commitPersistedVote finds out whether the vote of this process on the next number is one of those that have decided it already: more
// than half have it on their disks. After a loss of power of all nobody need propose anything.
func (n *Node) commitPersistedVote(e Event, r *pendingRead) {
	index, vote := n.hardState.Applied+1, n.hardState.Accepted
	if n.hardState.AcceptedIndex != index || vote == (Ballot{}) || n.hardState.Applied == 0 {
		return
	}
	acks := map[string]string{}
	for ip, m := range r.replies {
		if m.Index == index && m.Accepted == vote {
			acks[ip] = m.DiskID
		}
	}
	if n.reachesQuorum(acks, n.hardState.AcceptedValue) {
		value := n.hardState.AcceptedValue
		if n.phase != Idle {
			n.abandonProposal(e, false)
		}
		n.prepared = false
		n.apply(e.Now, index, value)
	}
}

// pendingReadTags are the tags of the reads that wait, in order.
func (n *Node) pendingReadTags() []uint64 { return slices.Sorted(maps.Keys(n.reads)) }

// advanceRead ends a read, or begins it anew where the members have changed meanwhile.
func (n *Node) advanceRead(now int64, tag uint64, r *pendingRead) {
	switch {
	case n.reads[tag] != r:
	case r.epoch != n.membership.Epoch:
		if r.targetKnown || r.target <= n.hardState.Applied {
			n.queryMembers(now, tag, r)
		}
	case r.targetKnown && r.target <= n.hardState.Applied:
		delete(n.reads, tag)
		if tag == 0 {
			n.caughtUp, n.effects.Changed = true, true
		}
		n.answer(tag, Result{Index: n.hardState.Applied})
	}
}

// checkLag asks a peer that has had more for a while.
func (n *Node) checkLag(now int64) {
	furthest := ""
	for _, ip := range slices.Sorted(maps.Keys(n.peers)) {
		if p := n.peers[ip]; p.Applied > n.hardState.Applied && (furthest == "" || p.Applied > n.peers[furthest].Applied) {
			furthest = ip
		}
	}
	switch {
	case furthest == "":
		n.behindSince = 0
	case n.behindSince == 0:
		n.behindSince = now
		fallthrough
	default:
		if !n.caughtUp || now-n.behindSince >= fetchDelay {
			n.requestChanges(now, furthest)
		}
	}
}

// requestChanges asks a peer for what was decided since.
func (n *Node) requestChanges(now int64, ip string) {
	if n.catchUp.from != "" && now-n.catchUp.at < fetchRetryAfter || ip == n.self.IP {
		return
	}
	n.Counts.Fetches++
	sums := n.Set.PartitionSums()
	n.cancelFetch()
	n.catchUp.from, n.catchUp.at, n.catchUp.behind = ip, now, n.hardState.Applied
	n.send(ip, Message{Kind: FetchChanges, Checksums: sums[:]})
}

func (n *Node) cancelFetch() {
	n.catchUp.from, n.catchUp.parts, n.catchUp.items = "", nil, nil
}

// serveChanges tells what was decided since: the changes, as long as they are kept; else a consistent cut, in chunks.
func (n *Node) serveChanges(to string, m Message) {
	if m.Applied >= n.hardState.Applied || n.hardState.Applied == 0 {
		return
	}
	if len(n.recent) > 0 && n.recent[0].index <= m.Applied+1 {
		var batches [][]config.Item
		items, bytes := 0, 0
		for _, change := range n.recent {
			if change.index <= m.Applied {
				continue
			}
			if bytes += change.bytes; items >= maxRecentItems/4 || bytes > operation.MaxValueBytes && items > 0 { // the rest is asked for again
				break
			}
			batches = append(batches, change.items)
			items += len(change.items) + 1
		}
		n.send(to, Message{Kind: Changes, Index: m.Applied, Batches: batches})
		n.resendProposal(to)
		return
	}
	n.Counts.Cuts++
	parts := n.Set.DifferingPartitions(m.Checksums)
	chunk := Message{Kind: SnapshotChunk, Index: n.hardState.Applied, Parts: parts, Tag: n.Set.Checksum()}
	size := 0
	for _, i := range n.Set.InPartitions(parts) {
		if chunk.Value, size = append(chunk.Value, i), size+len(i.Body)+96; size >= chunkBytes {
			n.send(to, chunk)
			chunk.Value, chunk.Parts, size = nil, nil, 0
		}
	}
	chunk.Final = true
	n.send(to, chunk)
	n.resendProposal(to)
}

// resendProposal says the present proposal to one that was behind, right after what it lacked.
func (n *Node) resendProposal(to string) {
	if _, said := n.acks[to]; n.phase != Idle && !said && slices.Contains(n.voters(), to) {
		n.send(to, n.currentProposal())
	}
}

// handleChanges applies changes that follow on what is had.
func (n *Node) handleChanges(e Event, m Message) {
	if n.catchUp.from != e.From || m.Index > n.hardState.Applied {
		return
	}
	n.cancelFetch()
	for i, items := range m.Batches {
		if index := m.Index + uint64(i) + 1; index == n.hardState.Applied+1 {
			n.abandonProposal(e, false)
			n.apply(e.Now, index, items)
		}
	}
	if m.Applied > n.hardState.Applied {
		n.requestChanges(e.Now, e.From)
	}
}

// handleSnapshotChunk takes a chunk of a consistent cut, and puts it in the place of what is had once it is there as a whole.
func (n *Node) handleSnapshotChunk(e Event, m Message) {
	fetch := &n.catchUp
	if fetch.from != e.From || fetch.behind != n.hardState.Applied {
		return
	}
	fetch.at = e.Now
	if m.Parts != nil {
		fetch.parts, fetch.items = m.Parts, nil
	}
	if fetch.items = append(fetch.items, m.Value...); !m.Final {
		return
	}
	parts, items := fetch.parts, fetch.items
	n.cancelFetch()
	if m.Index <= n.hardState.Applied {
		return
	}
	next := n.Set.Clone()
	if next.ReplacePartitions(parts, items); next.Checksum() != m.Tag {
		return // it is asked for again
	}
	n.abandonProposal(e, false)
	updated, removed := n.Set.ReplacePartitions(parts, items)
	for _, i := range updated {
		n.stageItem(i)
	}
	for _, k := range removed {
		n.stageRemoval(k)
	}
	n.effects.Replaced = len(removed) > 0
	n.forgetChanges()
	n.afterApply(e.Now, m.Index)
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
