package quorum

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/orders"
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
	sendAgain   = int64(250e6) // to those that have not answered a step of a proposal, or a read
	giveUp      = int64(2e9)   // a proposal that gets no further: the next try has a higher ballot
	askHand     = int64(100e6) // between askings of one that was handed an order whether it still answers
	handAgain   = int64(250e6) // one that was handed an order and has answered nothing for so long is passed over
	handStuck   = int64(700e6) // so is one that answers, and has decided nothing for so long
	stuck       = int64(500e6) // a vote that nobody tells the end of is brought to its end by another
	turn        = int64(150e6) // each member waits for those before it
	fetchAgain  = int64(500e6)
	fetchSoon   = int64(250e6) // a peer that has more is asked
	foundWaits  = int64(400e6)
	startWaits  = int64(400e6) // since the start, for the members that haven't told yet how far they are
	listWaits   = int64(200e6) // for members that are heard and haven't promised yet, before a list is judged by those that have
	listAgain   = int64(400e6) // between proposals of a list
	silentFor   = int64(3e9)   // a member that has a successor in its zone goes
	orderWaits  = int64(2500e6)
	mostWaiting = 512 // orders, and reads, beyond which more are refused at once
	mostItems   = 4096
	keptChanges = 512
	keptItems   = 16384
	keptBytes   = 16 << 20
	chunkBytes  = 256 << 10
	mostBehind  = 64 // numbers by which one that comes in may be behind
	mostLag     = 4  // numbers by which one that proposes for all may be behind: who does is ahead of the others
)

// Peer is another control process that is heard, as it last said of itself.
type Peer struct {
	Member  muster.Member
	Epoch   uint64
	Applied uint64
	Whole   bool
}

// Event is what happens to a node. Exactly one of the pointers, or Tick, is set.
type Event struct {
	Now     int64   // monotonic, nanoseconds
	Chance  float64 // in [0, 1)
	Tick    bool
	From    string   // IP number, of a message or a peer
	Message *Message // that came
	Peer    *Peer    // is heard, and says this
	Lost    bool     // From isn't heard any more
	Order   *orders.Order
	Read    bool // somebody wants the set as it is now, not as it was
	Recover bool // an operator makes this process the whole core, as the others never come back
	Tag     uint64
}

type pending struct {
	tag    uint64
	order  orders.Order
	came   int64
	handed int64  // when it was handed over, 0 for not, or for to be handed over anew
	given  int    // how often it was handed over: copies of it may be about
	again  int64  // not to be handed over before
	at     uint64 // the number at which it was last voted on
	to     string // whom
	by     string // the IP number of the process that handed it over here, empty for this one
	theirs uint64 // its tag there, in the life that asked
	life   string
	local  bool // it is proposed here
	own    bool // it is the node's own: nobody waits for its end
}

// noRead is the tag of a Confirm that no read waits for.
const noRead = ^uint64(0)

type read struct {
	epoch  uint64
	came   int64
	asked  int64
	yes    map[string]string
	votes  map[string]Message // those that told of a vote on the number after what is applied here
	target uint64
	known  bool // the target is
}

type kept struct {
	number uint64
	items  []manifest.Item
	laid   int // bytes
}

// Node is a control process's part in the agreement. It is not safe for two goroutines.
type Node struct {
	Set        *manifest.Set
	self       muster.Member
	life       string
	perZone    int
	disk       Disk
	list       muster.List
	whole      bool               // since this life began, it has had all that was decided when it asked
	start      map[string]Message // what others told since this life began; nil once this process may promise and vote
	startAsked int64              // when they were last asked
	kept       Message            // the vote that is on disk: its number and its ballot
	muted      bool               // its disk holds less than what it knows: it says nothing that must be on disk
	began      int64

	phase   Phase
	number  uint64
	ballot  Ballot
	seen    uint64
	sticky  bool // the ballot is the last that more than half promised, as far as is known: no need to prepare
	fresh   bool // more than half have told that nothing is decided beyond what is applied here
	value   []manifest.Item
	mine    []uint64 // tags of the orders in it
	yes     map[string]string
	no      map[string]bool
	members []muster.Member
	old     []manifest.Item
	best    Ballot
	bestOf  []manifest.Item
	since   int64
	sent    int64
	retry   int64
	voted   int64 // when this process last voted

	wait  []*pending
	reads map[uint64]*read
	last  uint64 // tag of this process's own

	peers  map[string]Peer
	silent map[string]int64
	said   map[string]int64 // when another last answered this process
	moved  map[string]int64 // when another last decided something, or ended an order of this process
	passed map[string]bool  // members that were handed an order and are passed over: until they answer or, if true, decide something
	listed int64            // when the next list may be proposed
	probed int64            // when one that was handed an order was last asked whether it answers
	apart  int64            // since when a peer has had more, 0 for none
	fetch  struct {
		from   string
		at     int64
		behind uint64
		parts  []int
		items  []manifest.Item
	}
	writes   bool                            // at the end of this step
	unsaved  map[manifest.Key]*manifest.Item // applied, and not yet in a write; nil for what has gone
	ring     []kept
	ringed   int // items in it
	ringLaid int // bytes of them
	out      *Effects
	Counts   Counts
	restarts int
}

// Counts are for the log.
type Counts struct{ Decided, Prepared, Proposed, Beaten, Handed, Fetches, Cuts, Reads, TakenOver, Copied int64 }

// New is a node that begins with what its disk held. perZone is how many members a zone has at the least before one that
// is silent may go.
func New(self muster.Member, life string, perZone int, disk Disk, set *manifest.Set, now int64) *Node {
	self.ID = disk.ID
	return &Node{Set: set, self: self, life: life, perZone: max(1, perZone), disk: disk, list: muster.Of(set), seen: disk.Promised.N, began: now,
		kept: Message{Number: disk.At, Ballot: disk.Vote}, unsaved: map[manifest.Key]*manifest.Item{}, start: map[string]Message{},
		reads: map[uint64]*read{}, peers: map[string]Peer{}, said: map[string]int64{}, moved: map[string]int64{}, passed: map[string]bool{}, silent: map[string]int64{}, last: 1 << 32}
}

// List is the membership as of what is applied here.
func (x *Node) List() muster.List { return x.list }

// Applied is the number of the last change that this process has applied.
func (x *Node) Applied() uint64 { return x.disk.Applied }

// Disk is what must be on disk beside the items.
func (x *Node) Disk() Disk { return x.disk }

// Whole tells whether this process has had, since it started, all that was decided when it asked more than half.
func (x *Node) Whole() bool { return x.whole }

// Member tells whether this process's vote counts.
func (x *Node) Member() bool { return x.list.Has(x.self.IP, x.self.ID) }

// Hears tells whether more than half of the members are heard, this process among them if it is one; and of those of a list
// that it has voted for, which may be decided already: without them nothing goes on.
func (x *Node) Hears() bool {
	yes := map[string]string{x.self.IP: x.self.ID}
	for ip, p := range x.peers {
		yes[ip] = p.Member.ID
	}
	next := muster.List{}
	if x.disk.At == x.disk.Applied+1 {
		next = listIn(x.disk.Value)
	}
	return x.list.Quorum(yes) && (next.Epoch == 0 || next.Quorum(yes))
}

// Down are the members that aren't heard.
func (x *Node) Down() (ips []string) {
	for _, m := range x.list.Members {
		if p, heard := x.peers[m.IP]; m.IP != x.self.IP && (!heard || p.Member.ID != m.ID) || m.IP == x.self.IP && !x.Member() {
			ips = append(ips, m.IP)
		}
	}
	return ips
}

// Busy tells whether a tick should come soon.
func (x *Node) Busy() bool {
	return x.phase != Idle || len(x.wait) > 0 || len(x.reads) > 0 || x.disk.At == x.disk.Applied+1 || !x.whole || x.start != nil || x.fetch.from != ""
}

// Phase is where this process's own proposal stands.
func (x *Node) Phase() Phase { return x.phase }

// Mute has the node say nothing that rests on its disk, as the disk lacks some of it; or ends that.
func (x *Node) Mute(on bool) { x.muted = on }

// Step is the one function that changes a node.
func (x *Node) Step(e Event) Effects {
	x.out = &Effects{Send: map[string][]Message{}, Synced: map[string][]Message{}}
	switch {
	case e.Message != nil:
		x.alive(e, *e.Message)
		if p, heard := x.peers[e.From]; heard && p.Applied < e.Message.Applied && p.Member.ID == e.Message.ID {
			p.Applied = e.Message.Applied // its status comes by turns, and is some numbers behind where there are many orders
			x.peers[e.From] = p
		}
		x.receive(e, *e.Message)
	case e.Peer != nil:
		_, heard := x.peers[e.From]
		x.peers[e.From] = *e.Peer
		delete(x.silent, e.From)
		if !heard {
			x.met(e)
		}
		x.behind(e.Now)
	case e.Lost:
		delete(x.peers, e.From)
		delete(x.said, e.From)
		delete(x.moved, e.From)
		delete(x.passed, e.From)
		x.silent[e.From] = e.Now
		x.lostHand(e.From)
		if x.fetch.from == e.From {
			x.stopFetch()
		}
	case e.Order != nil:
		x.order(e.Now, &pending{tag: e.Tag, order: *e.Order})
	case e.Read:
		x.read(e.Now, e.Tag)
	case e.Recover:
		x.force(e.Now, e.Chance)
	case e.Tick:
		x.tick(e)
	}
	x.pump(e)
	if x.writes {
		x.flush()
	}
	out := *x.out
	x.out = nil
	return out
}

// alive notes what a message shows of its sender: that it hears this process, and that it gets on. What it says again and again
// by itself shows neither.
func (x *Node) alive(e Event, m Message) {
	hears := m.Kind == Confirmed || m.Kind == Handed
	moves := m.Kind == Commit || m.Kind == Handed && m.Result != nil && m.Result.Kind != faults.Unready
	if hears {
		x.said[e.From] = e.Now
	}
	if moves {
		x.moved[e.From] = e.Now
	}
	if stuck, passed := x.passed[e.From]; passed && (moves || hears && !stuck) {
		delete(x.passed, e.From)
	}
}

// met says to one who has only just come to be heard what it is asked now, and not with the next repeat.
func (x *Node) met(e Event) {
	x.repeat(e.From)
	for _, tag := range x.asking() {
		r := x.reads[tag]
		if _, member := x.list.At(e.From); member && !r.known {
			x.say(e.From, Message{Kind: Confirm, Tag: tag})
		}
	}
	if _, told := x.start[e.From]; x.disk.Applied > 0 && x.whole && x.start != nil && !told {
		x.say(e.From, Message{Kind: Confirm})
	}
	if x.disk.Applied > 0 && !x.whole && x.reads[0] == nil {
		x.read(e.Now, 0)
	}
}

func (x *Node) say(to string, m Message) {
	m.Epoch, m.ID, m.Applied = x.list.Epoch, x.self.ID, x.disk.Applied
	if m.Kind == Confirm || m.Kind == Hand {
		m.Life = x.life
	}
	if to == x.self.IP {
		x.receive(Event{Now: x.sent, From: to}, m)
		return
	}
	x.out.Send[to] = append(x.out.Send[to], m)
}

// sayOn says it once what it rests on is on disk.
func (x *Node) sayOn(to string, m Message) {
	m.Epoch, m.ID, m.Applied = x.list.Epoch, x.self.ID, x.disk.Applied
	x.write()
	if !x.muted {
		x.out.Synced[to] = append(x.out.Synced[to], m)
	}
}

// write has the record written, and with it what has come into the set since the last write. A change whose vote is on this
// disk need not be written when it is applied: it goes along with the next vote, so that an order costs a disk one sync.
func (x *Node) write() { x.writes = true }

// flush is the step's one write.
func (x *Node) flush() {
	d := x.disk
	x.out.Disk, x.writes = &d, false
	for _, k := range x.unsavedKeys() {
		if i, there := x.unsaved[k]; there && i != nil {
			x.out.Items = append(x.out.Items, *i)
		} else {
			x.out.Gone = append(x.out.Gone, k)
		}
	}
	clear(x.unsaved)
}

func (x *Node) unsavedKeys() []manifest.Key {
	return slices.SortedFunc(maps.Keys(x.unsaved), func(a, b manifest.Key) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

// save and drop note what has come into the set, and what has left it, for the next write: what was last holds.
func (x *Node) save(i manifest.Item) {
	x.out.News = append(x.out.News, i)
	x.unsaved[i.Key()] = &i
}

func (x *Node) drop(k manifest.Key) {
	x.out.Left = append(x.out.Left, k)
	x.unsaved[k] = nil
}

func (x *Node) answer(tag uint64, r Result) {
	if tag != 0 {
		x.out.Answers = append(x.out.Answers, Answer{tag, r})
	}
}

// voters are those who are asked about the next number: the members, or the founders before there are any; and with them
// those who come in by the value.
func (x *Node) voters() (ips []string) {
	if x.disk.Applied == 0 {
		return x.disk.Founders
	}
	for _, m := range x.list.Members {
		ips = append(ips, m.IP)
	}
	if x.phase == Accepting {
		for _, m := range listIn(x.value).Members {
			if !slices.Contains(ips, m.IP) {
				ips = append(ips, m.IP)
			}
		}
	}
	return ips
}

// listIn is the list that a value sets, the zero List for none.
func listIn(value []manifest.Item) muster.List {
	for _, i := range value {
		if i.Key() == muster.Key {
			return muster.Read(i)
		}
	}
	return muster.List{}
}

// enough tells whether those who said yes decide: more than half of the members, or of the founders; and of the members
// that the value makes, as those must have taken it over.
func (x *Node) enough(yes map[string]string, value []manifest.Item) bool {
	if x.disk.Applied == 0 {
		n := 0
		for ip := range yes {
			if slices.Contains(x.disk.Founders, ip) {
				n++
			}
		}
		if n < len(x.disk.Founders)/2+1 {
			return false
		}
	} else if !x.list.Quorum(yes) {
		return false
	}
	next := listIn(value)
	return next.Epoch == 0 || next.Quorum(yes)
}

// may tells whether a process's word counts at the next number.
func (x *Node) may(ip, id string, value []manifest.Item) bool {
	if x.disk.Applied == 0 {
		return slices.Contains(x.disk.Founders, ip)
	}
	return x.list.Has(ip, id) || listIn(value).Has(ip, id)
}

// receive takes a message.
func (x *Node) receive(e Event, m Message) {
	switch m.Kind {
	case Prepare, Accept:
		x.asked(e, m)
	case Promise, Voted, Beaten, Ahead, Behind:
		x.told(e, m)
	case Commit:
		x.committed(e, m)
	case Confirm:
		if m.Tag == 0 || x.counts() { // who starts is told by all; who reads only by those that may vote
			x.say(e.From, x.confirmed(m.Tag, m.Life))
		}
	case Confirmed:
		if m.Life != x.life { // to one that had its disk before
			return
		}
		if m.Tag == 0 && x.start != nil {
			x.start[e.From] = m
			x.begins(e.Now)
		}
		if r := x.reads[m.Tag]; r != nil {
			r.votes[e.From] = m
			if !r.known && x.list.Has(e.From, m.ID) { // who only comes in may have voted, and counts for nothing yet
				r.yes[e.From] = m.ID
				r.target = max(r.target, m.Number)
				r.known = x.list.Quorum(r.yes) && r.epoch == x.list.Epoch && (m.Tag == 0 || x.counts())
			}
			x.chosen(e, r)
			x.readOn(e.Now, m.Tag, r)
		}
	case Kept:
		if e.From == x.self.IP {
			x.kept = Message{Number: m.Number, Ballot: m.Ballot}
		}
	case Fetch:
		x.give(e.From, m)
	case Changes:
		x.follow(e, m)
	case Parts:
		x.cut(e, m)
	case Hand:
		if m.Order != nil {
			x.order(e.Now, &pending{order: *m.Order, by: e.From, theirs: m.Tag, life: m.Life})
		}
	case Handed:
		if m.Life == x.life {
			x.handed(e, m)
		}
	}
}

// asked is the acceptor: it votes on the number after the last that it has applied, and on no other.
func (x *Node) asked(e Event, m Message) {
	next := x.disk.Applied + 1
	switch {
	case m.Number < next:
		x.say(e.From, Message{Kind: Ahead, Number: m.Number, Ballot: m.Ballot})
		return
	case m.Number > next:
		x.say(e.From, Message{Kind: Behind, Number: m.Number, Ballot: m.Ballot})
		x.ask(e.Now, e.From)
		return
	case !x.may(x.self.IP, x.self.ID, m.Value) || !x.may(e.From, m.ID, nil) || x.muted || !x.counts():
		return
	case m.Ballot.Less(x.disk.Promised):
		x.say(e.From, Message{Kind: Beaten, Number: m.Number, Ballot: x.disk.Promised, Vote: m.Ballot})
		return
	}
	x.ballots(e.Now, m)
	if m.Kind == Accept {
		x.sayOn(e.From, Message{Kind: Voted, Number: m.Number, Ballot: m.Ballot})
		return
	}
	r := Message{Kind: Promise, Number: m.Number, Ballot: m.Ballot}
	if x.disk.At == m.Number {
		r.Vote, r.Value = x.disk.Vote, x.disk.Value
	}
	if m.Number == 1 {
		self := x.self
		r.Member = &self
		if all := x.Set.All(); len(all) > 0 {
			r.Batches = [][]manifest.Item{all}
		}
	}
	x.sayOn(e.From, r)
}

// ballots notes a promise or a vote for the disk, the only place that does.
func (x *Node) ballots(now int64, m Message) {
	x.disk.Promised = m.Ballot
	x.seen = max(x.seen, m.Ballot.N)
	if m.Kind == Accept {
		x.disk.Vote, x.disk.At, x.disk.Value = m.Ballot, m.Number, m.Value
		x.voted = now
		x.sayOn(x.self.IP, Message{Kind: Kept, Number: m.Number, Ballot: m.Ballot})
	}
}

// told is the proposer, as answers come.
func (x *Node) told(e Event, m Message) {
	switch {
	case m.Kind == Behind:
		return
	case m.Kind == Ahead:
		if m.Applied > x.disk.Applied {
			if x.phase != Idle && m.Number == x.number && m.Ballot == x.ballot {
				x.idle(e, false)
				x.retry = e.Now + fetchSoon // at the latest; what is fetched ends it
			}
			x.ask(e.Now, e.From)
		}
		return
	case m.Kind == Beaten:
		x.seen = max(x.seen, m.Ballot.N)
		if x.phase == Idle || m.Number != x.number || m.Vote != x.ballot {
			return
		}
		x.Counts.Beaten++
		x.sticky = false
		if x.no[e.From] = true; len(x.voters())-len(x.no) < len(x.voters())/2+1 {
			x.idle(e, true)
		}
		return
	case m.Number != x.number || m.Ballot != x.ballot || !x.may(e.From, m.ID, x.value):
		return
	}
	switch {
	case m.Kind == Promise && x.phase == Preparing:
		x.yes[e.From] = m.ID
		if m.Vote != (Ballot{}) && x.best.Less(m.Vote) {
			x.best, x.bestOf = m.Vote, m.Value
		}
		if m.Member != nil {
			x.members = append(x.members, *m.Member)
		}
		for _, b := range m.Batches {
			x.old = append(x.old, b...)
		}
		x.promised(e)
	case m.Kind == Voted && x.phase == Accepting:
		if x.yes[e.From] = m.ID; x.enough(x.yes, x.value) {
			x.decide(e)
		}
	}
}

// promised goes on once more than half have promised; for the first list it waits a moment for the founders that are heard, as
// one of a bare majority bears no loss, and for a later one for the members that are heard, as takes goes by who promised.
func (x *Node) promised(e Event) {
	if x.phase != Preparing || !x.enough(x.yes, nil) {
		return
	}
	if x.disk.Applied == 0 && e.Now-x.since < foundWaits {
		for _, ip := range x.disk.Founders {
			if _, heard := x.peers[ip]; heard && x.yes[ip] == "" || ip == x.self.IP && x.yes[ip] == "" {
				return
			}
		}
	}
	if x.disk.Applied > 0 && e.Now-x.since < listWaits && slices.ContainsFunc(x.wait, func(p *pending) bool { return p.local && p.order.Kind == orders.Join }) {
		for _, m := range x.list.Members {
			if p, heard := x.peers[m.IP]; x.yes[m.IP] == "" && (m.IP == x.self.IP && x.Member() || heard && p.Member.ID == m.ID) {
				return
			}
		}
	}
	x.accept(e)
}

// idle ends a proposal without an end.
func (x *Node) idle(e Event, beaten bool) {
	if x.phase != Idle && beaten {
		x.retry = e.Now + int64(e.Chance*float64(turn)*float64(1+x.restarts))
		if first := x.first(); first == x.self.IP && x.restarts == 0 { // it may have known too low a ballot
			x.retry = e.Now
		} else if first != x.self.IP && x.disk.Applied > 0 { // that one goes on
			x.retry += 2 * turn
		}
		x.restarts = min(x.restarts+1, 4)
	}
	x.phase, x.sticky, x.value, x.mine, x.members, x.old, x.bestOf = Idle, false, nil, nil, nil, nil, nil
}

// prepare begins a proposal with a new ballot.
func (x *Node) prepare(e Event) {
	x.seen++
	x.Counts.Prepared++
	x.phase, x.number, x.ballot = Preparing, x.disk.Applied+1, Ballot{x.seen, x.life}
	x.yes, x.no, x.best, x.bestOf, x.members, x.old, x.value, x.mine = map[string]string{}, map[string]bool{}, Ballot{}, nil, nil, nil, nil, nil
	x.since, x.sent, x.fresh = e.Now, e.Now, false
	x.propose()
}

// accept asks for votes: on the value of the highest ballot that was told, or on this process's own orders.
func (x *Node) accept(e Event) {
	value, mine := x.bestOf, []uint64(nil)
	switch {
	case x.best != (Ballot{}):
		x.Counts.TakenOver++
	case x.disk.Applied == 0:
		value = x.found()
	default:
		x.fresh = true
		x.nothing(e)
		value, mine = x.build(e.Now)
	}
	if len(value) == 0 {
		x.phase, x.sticky = Idle, true
		x.restarts = 0
		x.voted = e.Now // what may be voted for here alone is looked at again in a while
		return
	}
	x.vote(e, value, mine)
}

// nothing ends reads that waited for a vote which more than half, that promised since the read came, don't have: it was not
// decided, and can't be any more.
func (x *Node) nothing(e Event) {
	for _, tag := range x.asking() {
		if r := x.reads[tag]; r.known && r.epoch == x.list.Epoch && r.target == x.disk.Applied+1 && x.since >= r.came {
			r.target = x.disk.Applied
			x.readOn(e.Now, tag, r)
		}
	}
}

// vote asks for votes on a value; with a ballot this is done once a number.
func (x *Node) vote(e Event, value []manifest.Item, mine []uint64) {
	x.Counts.Proposed++
	x.phase, x.number, x.value, x.mine, x.yes = Accepting, x.disk.Applied+1, value, mine, map[string]string{}
	x.no = map[string]bool{}
	x.since, x.sent, x.sticky = e.Now, e.Now, true
	for _, p := range x.wait {
		if slices.Contains(mine, p.tag) {
			p.at = x.number
			if !p.order.Bound { // the vote may be brought to its end by another: it is not made once more on what comes after
				p.order = orders.Bind(x.Set, p.order)
			}
		}
	}
	x.propose()
}

// proposal is the present step.
func (x *Node) proposal() Message {
	if x.phase == Accepting {
		return Message{Kind: Accept, Number: x.number, Ballot: x.ballot, Value: x.value}
	}
	return Message{Kind: Prepare, Number: x.number, Ballot: x.ballot}
}

// propose says the present step to all who haven't answered it.
func (x *Node) propose() {
	m := x.proposal()
	for _, ip := range x.voters() {
		if _, said := x.yes[ip]; !said && ip != x.self.IP {
			x.say(ip, m)
		}
	}
	if _, said := x.yes[x.self.IP]; !said && slices.Contains(x.voters(), x.self.IP) {
		x.say(x.self.IP, m)
	}
}

// found is the first value: those who promised are the first members. On disks of before the agreement there may be items:
// the newest of all hold.
func (x *Node) found() []manifest.Item {
	all := manifest.NewSet()
	for _, i := range x.old {
		if i.Kind != manifest.Core {
			all.Merge(i)
		}
	}
	return append(all.All(), muster.List{}.Join(x.members, nil).Item())
}

// build makes a value of the orders that wait, and answers those that need none.
func (x *Node) build(now int64) (value []manifest.Item, mine []uint64) {
	var next *manifest.Set // as it is with the value, which only a second order needs
	at, merged, size := map[manifest.Key]int{}, 0, 0
	var left []*pending
	for _, p := range x.wait {
		alone := p.order.Kind == orders.Restore && len(value) > 0 || orders.IsWhole(value)
		if left = append(left, p); !p.local || alone || len(value) >= mostItems || p.order.Kind == orders.Join && listIn(value).Epoch != 0 {
			continue
		}
		if p.order.Kind == orders.Join && !(x.fresh && x.takes(p.order)) {
			if !x.fresh {
				x.sticky = false // it is looked at again when more than half have promised anew
				continue
			}
			left = left[:len(left)-1]
			x.end(p, Result{Kind: faults.Unready, Reason: "the new members can't be sure to take over"})
			continue
		}
		set := x.Set
		if len(value) > 0 {
			if next == nil {
				next = x.Set.Clone()
				x.Counts.Copied++
			}
			for _, i := range value[merged:] {
				next.Merge(i)
			}
			set, merged = next, len(value)
		}
		items, err := orders.Apply(set, p.order)
		if (err != nil || len(items) == 0) && set != x.Set { // by what is not decided yet: it is looked at again
			if items, err = orders.Apply(x.Set, p.order); err == nil && len(items) > 0 {
				continue
			}
		}
		switch {
		case err != nil:
			k := faults.Of(err)
			if k != faults.Conflict && p.at == x.disk.Applied+1 {
				continue // a vote on it may still be taken over: it isn't refused before that number is decided
			}
			if k != faults.Conflict && !x.fresh { // it may be wrong only by what this process doesn't know yet
				x.sticky = false
				continue
			}
			left = left[:len(left)-1]
			if k != faults.Conflict && p.given > 0 { // its copy may still be taken, once what it lacks is there
				x.end(p, Result{Kind: faults.Unready, Reason: "not clear yet: " + err.Error()})
				continue
			}
			x.end(p, Result{Kind: k, Reason: err.Error(), Number: x.disk.Applied, Never: p.at == 0})
			continue
		case len(items) == 0 && p.order.Rests() && !x.fresh: // it may stand here alone, and be over where this process isn't heard
			x.sticky = false
			continue
		case len(items) == 0:
			left = left[:len(left)-1]
			x.end(p, Result{Number: x.disk.Applied})
			continue
		}
		if orders.IsWhole(items) {
			value, mine = items, append(mine, p.tag)
			continue
		}
		if size+manifest.Laid(items) > orders.MostLaid { // it goes into a later number
			continue
		}
		size += manifest.Laid(items)
		for _, i := range items {
			if n, there := at[i.Key()]; there {
				if value[n] = i; n < merged {
					next.Merge(i)
				}
			} else {
				at[i.Key()] = len(value)
				value = append(value, i)
			}
		}
		mine = append(mine, p.tag)
	}
	x.wait = left
	return value, mine
}

// end tells how an order ended, here or where it came from.
func (x *Node) end(p *pending, r Result) {
	if p.by != "" {
		x.say(p.by, Message{Kind: Handed, Tag: p.theirs, Life: p.life, Result: &r})
		return
	}
	if !p.own {
		x.answer(p.tag, r)
	}
}

// decide is where a number is decided by this process's proposal.
func (x *Node) decide(e Event) {
	value, mine, ballot, number, sticky := x.value, x.mine, x.ballot, x.number, x.sticky
	x.phase, x.value, x.mine, x.restarts = Idle, nil, nil, 0
	x.apply(e.Now, number, value)
	x.sticky = sticky
	for _, ip := range slices.Sorted(maps.Keys(x.peers)) {
		x.say(ip, Message{Kind: Commit, Number: number, Ballot: ballot})
	}
	x.wait = slices.DeleteFunc(x.wait, func(p *pending) bool {
		if slices.Contains(mine, p.tag) {
			x.end(p, Result{Number: number})
			return true
		}
		return false
	})
}

// committed learns a decision that another's proposal brought.
func (x *Node) committed(e Event, m Message) {
	if m.Number <= x.disk.Applied {
		return
	}
	if m.Number == x.disk.Applied+1 && x.disk.At == m.Number && x.disk.Vote == m.Ballot {
		value := x.disk.Value
		if x.phase != Idle {
			x.idle(e, false)
		}
		x.sticky = false
		x.apply(e.Now, m.Number, value)
		return
	}
	x.ask(e.Now, e.From)
}

// apply is the one place where a decided change comes into the set.
func (x *Node) apply(now int64, number uint64, items []manifest.Item) {
	if orders.IsWhole(items) {
		changed, gone := x.Set.Become(items[1:])
		for _, i := range changed {
			x.save(i)
		}
		for _, k := range gone {
			x.drop(k)
		}
		x.out.Cut = true
		items = nil // it is kept for nobody: who is behind takes a cut
		x.forgetChanges()
	}
	for _, i := range items {
		if x.Set.Merge(i) {
			x.save(i)
		}
	}
	for _, k := range x.Set.Forgotten() {
		x.drop(k)
	}
	if items != nil {
		k := kept{number, items, manifest.Laid(items)}
		x.ring, x.ringed, x.ringLaid = append(x.ring, k), x.ringed+len(items), x.ringLaid+k.laid
	}
	for len(x.ring) > keptChanges || (x.ringed > keptItems || x.ringLaid > keptBytes) && len(x.ring) > 0 {
		x.ringed, x.ringLaid = x.ringed-len(x.ring[0].items), x.ringLaid-x.ring[0].laid
		x.ring = x.ring[1:]
	}
	x.applied(now, number)
	x.Counts.Decided++
}

// forgetChanges forgets the last changes, as the set isn't what they made any more.
func (x *Node) forgetChanges() { x.ring, x.ringed, x.ringLaid = nil, 0, 0 }

func (x *Node) applied(now int64, number uint64) {
	x.disk.Applied = number
	saved := x.disk.At == number && len(x.unsaved) <= mostItems
	if x.disk.At <= number {
		x.disk.Vote, x.disk.At, x.disk.Value = Ballot{}, 0, nil
	}
	x.list = muster.Of(x.Set)
	x.retry = 0
	x.out.Changed = true
	if !saved {
		x.write()
	}
	for _, tag := range x.asking() {
		x.readOn(now, tag, x.reads[tag])
	}
	if !x.whole && x.reads[0] == nil {
		x.read(now, 0)
	}
}

// order takes an order up.
func (x *Node) order(now int64, p *pending) {
	p.came = now
	if p.own = p.by == "" && p.tag == 0; p.by != "" || p.own {
		x.last++
		p.tag = x.last
	}
	if len(x.wait) >= mostWaiting {
		x.end(p, Result{Kind: faults.Unready, Reason: "too many orders wait", Never: true})
		return
	}
	if p.by != "" && !x.Member() {
		x.end(p, Result{Kind: faults.Unready, Reason: "no member of the core", Never: true})
		return
	}
	p.local = p.by != ""
	x.wait = append(x.wait, p)
}

// first is the member that proposes for the others as long as it is heard. Nothing rests on that all see the same one.
func (x *Node) first() string {
	for _, m := range x.list.Members {
		if m.IP == x.self.IP && x.Member() {
			return m.IP
		}
		_, passed := x.passed[m.IP]
		if p, heard := x.peers[m.IP]; heard && p.Whole && p.Member.ID == m.ID && !passed && p.Applied+mostLag >= x.disk.Applied {
			return m.IP
		}
	}
	return ""
}

// lostHand has orders that were handed to a member which isn't heard any more handed to the next.
func (x *Node) lostHand(ip string) {
	for _, p := range x.wait {
		if p.to == ip {
			p.handed, p.to = 0, ""
		}
	}
}

// handed is how an order ended that was handed over.
func (x *Node) handed(e Event, m Message) {
	for n, p := range x.wait {
		if p.tag == m.Tag && p.to == e.From && m.Result != nil {
			if m.Result.Kind == faults.Unready { // it was bound to what stands no more, or that one can't propose
				p.handed, p.to, p.again = 0, "", e.Now+turn
				if m.Result.Never && p.given == 1 && p.at == 0 { // no copy of it is anywhere, nor a vote: it may go by what stands now
					p.given, p.order.Bound = 0, false
				}
				return
			}
			r := *m.Result
			if r.Kind != faults.None && r.Kind != faults.Conflict && p.given > 1 { // another has a copy, and may still take it
				r = Result{Kind: faults.Unready, Reason: "not clear yet: " + r.Reason}
			}
			x.wait = slices.Delete(x.wait, n, n+1)
			x.end(p, r)
			return
		}
	}
}

// pump goes on with what waits, where nothing of it is under way.
func (x *Node) pump(e Event) {
	x.wait = slices.DeleteFunc(x.wait, func(p *pending) bool {
		if e.Now-p.came <= orderWaits {
			return false
		}
		x.end(p, Result{Kind: faults.Unready, Reason: "not yet kept by more than half of the core"})
		return true
	})
	if !x.whole || x.disk.Applied == 0 {
		return
	}
	local := x.hand(e)
	if x.phase != Idle || e.Now < x.retry || !x.Member() || x.muted {
		return
	}
	left := x.disk.At == x.disk.Applied+1 && e.Now-x.voted > stuck+int64(x.before())*turn
	if !local && !left {
		return
	}
	if x.sticky && !left && x.disk.At != x.disk.Applied+1 {
		x.fresh = false
		if value, mine := x.build(e.Now); len(value) > 0 {
			x.vote(e, value, mine)
			return
		} else if x.sticky || !slices.ContainsFunc(x.wait, func(p *pending) bool { return p.local }) {
			return
		}
	}
	if !left && !x.sticky && !x.stands() {
		return
	}
	x.prepare(e)
}

// stands ends the changes that stand already, as another brought them to their end, and tells whether there are orders that
// this process is to propose: a ballot that nothing needs would only beat the one that goes on. A change that stands does so
// for ever, by its versions; of other orders that is known only by who has what is decided now.
func (x *Node) stands() (others bool) {
	x.wait = slices.DeleteFunc(x.wait, func(p *pending) bool {
		if !p.local {
			return false
		}
		if p.order.Kind == orders.Modify {
			if items, err := orders.Apply(x.Set, p.order); err == nil && len(items) == 0 {
				x.end(p, Result{Number: x.disk.Applied})
				return true
			}
		}
		others = true
		return false
	})
	return others
}

// hand hands orders over to the member that proposes for all, and tells whether there are some that this process is to
// propose itself: it is that member, or nobody is. That several propose at once beats them all, so an order stays handed as long
// as the one that has it answers and decides something now and then; else that one is passed over. Who has had an order for
// a while is asked by a Confirm whether it answers: in calm the order has ended before.
func (x *Node) hand(e Event) (local bool) {
	asked := map[string]bool{}
	for _, p := range x.wait {
		if p.handed != 0 {
			silent, idle := e.Now-max(p.handed, x.said[p.to]), e.Now-max(p.handed, x.moved[p.to])
			switch {
			case silent > handAgain, idle > handStuck:
				x.passed[p.to] = silent <= handAgain
				x.lostHand(p.to) // with all else that it was handed
			case e.Now-p.handed > handStuck: // it may have lost it
				p.handed, p.to = 0, ""
			case silent > askHand && !asked[p.to] && e.Now-x.probed > askHand:
				asked[p.to] = true
				x.say(p.to, Message{Kind: Confirm, Tag: noRead})
			}
		}
		first := x.first()
		switch {
		case p.local:
		case first == x.self.IP || first == "" && e.Now-p.came > handAgain && x.Member():
			p.local = true
		case p.handed == 0 && first != "" && e.Now >= p.again:
			x.Counts.Handed++
			p.handed, p.to, p.given = e.Now, first, p.given+1
			if !p.order.Bound { // else a copy is about, or a vote on it: all of them go by what stood before the first, so that one is made
				p.order = orders.Bind(x.Set, p.order)
			}
			o := p.order
			x.say(first, Message{Kind: Hand, Tag: p.tag, Order: &o})
		}
		local = local || p.local
	}
	if len(asked) > 0 {
		x.probed = e.Now
	}
	return local
}

// before is how many members that are heard come before this one.
func (x *Node) before() (n int) {
	for _, m := range x.list.Members {
		if _, heard := x.peers[m.IP]; heard && m.IP < x.self.IP {
			n++
		}
	}
	return n
}

// tick looks at what has waited for long.
func (x *Node) tick(e Event) {
	if x.phase != Idle {
		if e.Now-x.since > giveUp {
			x.idle(e, true)
		} else if e.Now-x.sent > sendAgain {
			x.sent = e.Now
			x.propose()
		}
	}
	x.promised(e)
	x.behind(e.Now)
	x.begins(e.Now)
	if x.start != nil && x.whole && x.disk.Applied > 0 && e.Now-x.startAsked > sendAgain { // the members may be others since
		x.startAsked = e.Now
		for _, m := range x.list.Members {
			if x.start[m.IP].ID != m.ID {
				x.say(m.IP, Message{Kind: Confirm})
			}
		}
	}
	for _, tag := range x.asking() {
		if e.Now-x.reads[tag].came > orderWaits {
			delete(x.reads, tag)
			x.answer(tag, Result{Kind: faults.Unready, Reason: "not enough of the core tells how far it is"})
		}
	}
	if x.disk.Applied == 0 {
		x.begin(e)
		return
	}
	if !x.whole && x.reads[0] == nil {
		x.read(e.Now, 0)
	}
	for _, tag := range x.asking() {
		r := x.reads[tag]
		switch {
		case !r.known && e.Now-r.asked > sendAgain:
			x.inquire(e.Now, tag, r)
		case r.known && x.phase == Idle && x.Member() && r.target == x.disk.Applied+1 &&
			e.Now-r.asked > sendAgain+int64(x.before())*turn && e.Now >= x.retry:
			x.prepare(e) // a vote that nobody ends
		}
	}
	x.upkeep(e)
}

// begin makes the first epoch: the founders are named by the settings of the first start, alike at all, and more than half
// of them decide the first number as any other. A process whose disk was lost is no founder any more.
func (x *Node) begin(e Event) {
	at := slices.Index(x.disk.Founders, x.self.IP)
	if at < 0 || x.phase != Idle || e.Now < x.retry || e.Now-x.began < int64(at)*2*turn {
		return
	}
	n := 1
	for _, ip := range x.disk.Founders {
		if _, heard := x.peers[ip]; heard {
			n++
		}
	}
	if n >= len(x.disk.Founders)/2+1 {
		x.prepare(e)
	}
}

// upkeep has the first member bring in who has come, and let go who has a successor.
func (x *Node) upkeep(e Event) {
	for _, m := range x.list.Members {
		if _, heard := x.peers[m.IP]; m.IP != x.self.IP && !heard && x.silent[m.IP] == 0 {
			x.silent[m.IP] = e.Now
		}
	}
	if !x.whole || x.first() != x.self.IP || slices.ContainsFunc(x.wait, func(p *pending) bool { return p.order.Kind == orders.Join }) {
		return
	}
	var in []muster.Member
	for _, ip := range slices.Sorted(maps.Keys(x.peers)) {
		if p := x.peers[ip]; p.Whole && !x.list.Has(ip, p.Member.ID) && !x.list.Holds(p.Member.ID) && p.Applied+mostBehind >= x.disk.Applied && p.Member.ID != "" &&
			(slices.Contains(x.Down(), ip) || x.live(p.Member.Zone, in) < x.perZone) { // in the place of its lost disk always
			in = append(in, p.Member)
		}
	}
	var silent []string
	for _, m := range x.list.Members {
		if since := x.silent[m.IP]; since != 0 && e.Now-since > silentFor {
			silent = append(silent, m.IP)
		}
	}
	out := x.list.Join(in, nil).Surplus(silent, x.perZone)
	out = x.lets(in, out)
	if len(out) == 0 && x.bears(x.list) >= 0 && x.bears(x.list.Join(in, nil)) <= x.bears(x.list) && x.gap(in) {
		in = nil // with its predecessor counted too it would be one more to lose, and bear none more: they go by turns in one step
	}
	if len(in)+len(out) > 0 && e.Now >= x.listed && x.bears(x.list.Join(in, out)) >= 0 {
		x.listed = e.Now + listAgain
		x.order(e.Now, &pending{order: orders.Order{Kind: orders.Join, In: in, Out: out, Number: x.list.Epoch}})
	}
}

// gap tells whether a member of the zone of one that comes in isn't heard.
func (x *Node) gap(in []muster.Member) bool {
	return slices.ContainsFunc(x.list.Members, func(m muster.Member) bool {
		_, heard := x.peers[m.IP]
		return m.IP != x.self.IP && !heard && slices.ContainsFunc(in, func(n muster.Member) bool { return n.Zone == m.Zone && n.IP != m.IP })
	})
}

// lets tells who of those that may go does: one at a time, or as many as it takes until the core bears a loss, as of five with
// two lost that no list of four would.
func (x *Node) lets(in []muster.Member, out []string) []string {
	for n := range out {
		if x.bears(x.list.Join(in, out[:n+1])) >= max(1, x.bears(x.list)) {
			return out[:n+1]
		}
	}
	return nil
}

// live is how many members of a zone are heard, with those that come in. Where a zone has enough, who comes is a learner that
// stands by: it is voted in once one of them is lost.
func (x *Node) live(zone string, in []muster.Member) (n int) {
	for _, m := range x.list.Members {
		if p, heard := x.peers[m.IP]; m.Zone == zone && (m.IP == x.self.IP || heard && p.Member.ID == m.ID) {
			n++
		}
	}
	for _, m := range in {
		if m.Zone == zone {
			n++
		}
	}
	return n
}

// takes tells whether a list that an order makes may be voted on. A list that was voted on may have been decided, and so can't
// be given up: once it lacks a majority, the core waits until enough are back. So those who have only just promised must be
// more than half of it, whatever becomes of those that come in. Only where more losses are borne with them than without, or
// where one member is all there is, may they be needed.
func (x *Node) takes(o orders.Order) bool {
	next, come := x.list.Join(o.In, o.Out), maps.Clone(x.yes)
	if next.Quorum(x.yes) {
		return true
	}
	for _, m := range o.In {
		if p, heard := x.peers[m.IP]; heard {
			come[m.IP] = p.Member.ID
		}
	}
	return next.Quorum(come) && (next.Margin(come) > x.list.Margin(x.yes) || len(x.list.Members) == 1)
}

// bears is how many members of a list may be lost beside those that aren't heard now. A list that could not lose one more,
// or fewer than the present one, isn't made by letting a member go.
func (x *Node) bears(l muster.List) int {
	var down []string
	for _, m := range l.Members {
		if p, heard := x.peers[m.IP]; m.IP != x.self.IP && (!heard || p.Member.ID != m.ID) {
			down = append(down, m.IP)
		}
	}
	n, _ := l.Bears(down)
	return n
}

// The high bits of a number and of an epoch count how often an operator has made one process the whole core. What follows
// them is drawn: of two that were made so at once, one is the later by both, and the other gives way as soon as they meet.
const recoveredNumber, recoveredEpoch, recoveredDraw = 48, 32, 1 << 31

// Jump is by how much at least a number goes up where one core gives way to another that an operator made.
const Jump = 1 << 16

// force makes this process the whole core: a number and an epoch that fence all that was before.
func (x *Node) force(now int64, chance float64) {
	if x.disk.Applied == 0 || x.list.Epoch == 0 { // it has nothing to go on from
		return
	}
	x.idle(Event{Now: now}, false)
	drawn := uint64(chance * recoveredDraw)
	next := muster.List{Epoch: (x.list.Epoch>>recoveredEpoch+1)<<recoveredEpoch + drawn, Members: []muster.Member{x.self}, Held: x.list.Held}
	items := []manifest.Item{next.Item()}
	if x.disk.At == x.disk.Applied+1 { // what it voted for may have been decided, and confirmed: it is kept, but for its list
		at := 0
		if orders.IsWhole(x.disk.Value) {
			at = 1
		}
		rest := slices.DeleteFunc(slices.Clone(x.disk.Value), func(i manifest.Item) bool { return i.Key() == muster.Key })
		items = slices.Insert(rest, at, items...)
	}
	x.forgetChanges()
	x.whole, x.start = true, nil
	x.apply(now, (x.disk.Applied>>recoveredNumber+1)<<recoveredNumber+drawn<<16, items)
}

// read begins a read: it is answered once this process has all that was decided when it came.
func (x *Node) read(now int64, tag uint64) {
	if len(x.reads) >= mostWaiting {
		x.answer(tag, Result{Kind: faults.Unready, Reason: "too many reads wait"})
		return
	}
	r := &read{came: now}
	x.reads[tag] = r
	x.Counts.Reads++
	x.inquire(now, tag, r)
}

func (x *Node) inquire(now int64, tag uint64, r *read) {
	r.asked, r.epoch, r.yes, r.target, r.known = now, x.list.Epoch, map[string]string{}, x.disk.Applied, false
	r.votes = map[string]Message{}
	for _, m := range x.list.Members {
		if m.IP != x.self.IP {
			x.say(m.IP, Message{Kind: Confirm, Tag: tag})
		}
	}
	x.say(x.self.IP, x.confirmed(tag, x.life))
}

// confirmed is how far this process is, for who asked in a life of its own.
func (x *Node) confirmed(tag uint64, life string) Message {
	m := Message{Kind: Confirmed, Tag: tag, Life: life, Number: max(x.disk.Applied, x.disk.At)}
	if x.disk.At == x.disk.Applied+1 && x.kept.Number == x.disk.At && x.kept.Ballot == x.disk.Vote {
		m.Vote = x.disk.Vote
		if tag == 0 { // of one that starts
			m.Value = x.disk.Value
		}
	}
	return m
}

// begins looks whether this process may promise and vote: since it started, it has asked the others, and lacks nothing that one
// of them has applied. All members are waited for a moment, as an image of a disk that was put back, and one that is behind,
// might be more than half. The highest vote that was told of is taken for this process's own, as if its Accept had come just
// now: by an image it may have been forgotten.
func (x *Node) begins(now int64) {
	if x.start == nil || x.disk.Applied == 0 || x.muted {
		return
	}
	yes, next, best := map[string]string{}, x.disk.Applied+1, Message{}
	if x.disk.At == next {
		best.Vote = x.disk.Vote
	}
	for _, ip := range slices.Sorted(maps.Keys(x.start)) {
		m := x.start[ip]
		if m.Applied > x.disk.Applied {
			return
		}
		if yes[ip] = m.ID; m.Number == next && best.Vote.Less(m.Vote) && len(m.Value) > 0 {
			best = m
		}
	}
	all := !slices.ContainsFunc(x.list.Members, func(m muster.Member) bool { return yes[m.IP] != m.ID })
	if !x.list.Quorum(yes) || !all && now-x.began < startWaits {
		return
	}
	x.start = nil
	if len(best.Value) > 0 && !best.Vote.Less(x.disk.Promised) && x.may(x.self.IP, x.self.ID, best.Value) {
		x.ballots(now, Message{Kind: Accept, Number: next, Ballot: best.Vote, Value: best.Value})
	}
}

// counts tells whether this process may promise and vote.
func (x *Node) counts() bool { return x.start == nil || x.disk.Applied == 0 }

// chosen finds out whether the vote of this process on the next number is one of those that have decided it already: more
// than half have it on their disks. After a loss of power of all nobody need propose anything.
func (x *Node) chosen(e Event, r *read) {
	number, vote := x.disk.Applied+1, x.disk.Vote
	if x.disk.At != number || vote == (Ballot{}) || x.disk.Applied == 0 {
		return
	}
	yes := map[string]string{}
	for ip, m := range r.votes {
		if m.Number == number && m.Vote == vote {
			yes[ip] = m.ID
		}
	}
	if x.enough(yes, x.disk.Value) {
		value := x.disk.Value
		if x.phase != Idle {
			x.idle(e, false)
		}
		x.sticky = false
		x.apply(e.Now, number, value)
	}
}

// asking are the tags of the reads that wait, in order.
func (x *Node) asking() []uint64 { return slices.Sorted(maps.Keys(x.reads)) }

// readOn ends a read, or begins it anew where the members have changed meanwhile.
func (x *Node) readOn(now int64, tag uint64, r *read) {
	switch {
	case x.reads[tag] != r:
	case r.epoch != x.list.Epoch:
		if r.known || r.target <= x.disk.Applied {
			x.inquire(now, tag, r)
		}
	case r.known && r.target <= x.disk.Applied:
		delete(x.reads, tag)
		if tag == 0 {
			x.whole, x.out.Changed = true, true
		}
		x.answer(tag, Result{Number: x.disk.Applied})
	}
}

// behind asks a peer that has had more for a while.
func (x *Node) behind(now int64) {
	best := ""
	for _, ip := range slices.Sorted(maps.Keys(x.peers)) {
		if p := x.peers[ip]; p.Applied > x.disk.Applied && (best == "" || p.Applied > x.peers[best].Applied) {
			best = ip
		}
	}
	switch {
	case best == "":
		x.apart = 0
	case x.apart == 0:
		x.apart = now
		fallthrough
	default:
		if !x.whole || now-x.apart >= fetchSoon {
			x.ask(now, best)
		}
	}
}

// ask asks a peer for what was decided since.
func (x *Node) ask(now int64, ip string) {
	if x.fetch.from != "" && now-x.fetch.at < fetchAgain || ip == x.self.IP {
		return
	}
	x.Counts.Fetches++
	sums := x.Set.Sums()
	x.stopFetch()
	x.fetch.from, x.fetch.at, x.fetch.behind = ip, now, x.disk.Applied
	x.say(ip, Message{Kind: Fetch, Sums: sums[:]})
}

func (x *Node) stopFetch() {
	x.fetch.from, x.fetch.parts, x.fetch.items = "", nil, nil
}

// give tells what was decided since: the changes, as long as they are kept; else a consistent cut, in chunks.
func (x *Node) give(to string, m Message) {
	if m.Applied >= x.disk.Applied || x.disk.Applied == 0 {
		return
	}
	if len(x.ring) > 0 && x.ring[0].number <= m.Applied+1 {
		var batches [][]manifest.Item
		n, laid := 0, 0
		for _, k := range x.ring {
			if k.number <= m.Applied {
				continue
			}
			if laid += k.laid; n >= keptItems/4 || laid > orders.MostLaid && n > 0 { // the rest is asked for again
				break
			}
			batches = append(batches, k.items)
			n += len(k.items) + 1
		}
		x.say(to, Message{Kind: Changes, Number: m.Applied, Batches: batches})
		x.repeat(to)
		return
	}
	x.Counts.Cuts++
	parts := x.Set.Differ(m.Sums)
	chunk := Message{Kind: Parts, Number: x.disk.Applied, Parts: parts, Tag: x.Set.Sum()}
	size := 0
	for _, i := range x.Set.In(parts) {
		if chunk.Value, size = append(chunk.Value, i), size+len(i.Body)+96; size >= chunkBytes {
			x.say(to, chunk)
			chunk.Value, chunk.Parts, size = nil, nil, 0
		}
	}
	chunk.Last = true
	x.say(to, chunk)
	x.repeat(to)
}

// repeat says the present proposal to one that was behind, right after what it lacked.
func (x *Node) repeat(to string) {
	if _, said := x.yes[to]; x.phase != Idle && !said && slices.Contains(x.voters(), to) {
		x.say(to, x.proposal())
	}
}

// follow applies changes that follow on what is had.
func (x *Node) follow(e Event, m Message) {
	if x.fetch.from != e.From || m.Number > x.disk.Applied {
		return
	}
	x.stopFetch()
	for n, items := range m.Batches {
		if number := m.Number + uint64(n) + 1; number == x.disk.Applied+1 {
			x.idle(e, false)
			x.apply(e.Now, number, items)
		}
	}
	if m.Applied > x.disk.Applied {
		x.ask(e.Now, e.From)
	}
}

// cut takes a chunk of a consistent cut, and puts it in the place of what is had once it is there as a whole.
func (x *Node) cut(e Event, m Message) {
	f := &x.fetch
	if f.from != e.From || f.behind != x.disk.Applied {
		return
	}
	f.at = e.Now
	if m.Parts != nil {
		f.parts, f.items = m.Parts, nil
	}
	if f.items = append(f.items, m.Value...); !m.Last {
		return
	}
	parts, items := f.parts, f.items
	x.stopFetch()
	if m.Number <= x.disk.Applied {
		return
	}
	next := x.Set.Clone()
	if next.Replace(parts, items); next.Sum() != m.Tag {
		return // it is asked for again
	}
	x.idle(e, false)
	news, gone := x.Set.Replace(parts, items)
	for _, i := range news {
		x.save(i)
	}
	for _, k := range gone {
		x.drop(k)
	}
	x.out.Cut = len(gone) > 0
	x.forgetChanges()
	x.applied(e.Now, m.Number)
}

// String is the node's state in a log.
func (x *Node) String() string {
	return fmt.Sprintf("number %d, epoch %d of %d, %v, whole %v", x.disk.Applied, x.list.Epoch, len(x.list.Members), x.phase, x.whole)
}

// Silent tells for how long each member that isn't heard has been silent, nanoseconds.
func (x *Node) Silent(now int64) map[string]int64 {
	all := map[string]int64{}
	for _, ip := range x.Down() {
		if at := x.silent[ip]; at != 0 {
			all[ip] = cmp.Or(now-at, 1)
		}
	}
	return all
}
