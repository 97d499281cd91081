//go:build !race

package consensus

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"portflow/internal/cluster/config"
)

// Digests of the events that are not messages.
const (
	tickDigest         = 1
	memberChangeDigest = 2
	rivalDigest        = 3
)

// tickStep is the time by which a tick advances a process's clock. It is longer than every timeout of a proposal.
const tickStep = 2100 * ms

// stepResult is the result of an event at a process. It depends only on what eventKey identifies, so results are cached.
type stepResult struct {
	after     *process
	packets   []*packet
	decided   []decidedSet
	confirmed [2]bool
}

// eventKey identifies an event at a process in a certain state, and whether the write of the step is synced.
type eventKey struct {
	process       int
	processDigest uint64
	eventDigest   uint64
	synced        bool
}

// transition is a possible next event in a state.
type transition struct {
	at          int // the index of the process
	target      *process
	event       Event
	eventDigest uint64
	powered     bool // the process keeps power until its write is synced
	describe    func() string
	change      func(*searchState) // makes the other changes to the next state; nil for none
}

// searcher is a breadth-first search.
type searcher struct {
	mutation  searchMutant
	seen      map[uint64]bool // digests of the visited states
	results   map[eventKey]*stepResult
	processes map[uint64]*process // all distinct processes, by digest
	decided   map[decidedSet]bool
	violation string // empty for none, otherwise a description with the events that led to it
	steps     int    // number of distinct events handled, not counting cached results
	depth     int
	complete  bool // all states up to the maximum depth were visited
	exhausted bool // the last states have no unvisited successors
}

// searchMutant breaks one of the rules that safety depends on.
type searchMutant struct {
	sameIncarnation bool // all incarnations of a process use the same ballots
	unsynced        bool // messages that depend on a write are sent even if the write is lost
	keepID          bool // a wiped disk keeps its ID

	hardState func(*HardState)                                            // changes what is written
	message   func(sr *searcher, state *searchState, p *packet) []*packet // returns the packets to send instead of p
}

// successor returns the state after a transition, or nil if that was visited before or does not differ from state.
func (sr *searcher) successor(state *searchState, t transition) *searchState {
	result := sr.result(t)
	if result.after == t.target && len(result.packets) == 0 && t.powered && state.processes[t.at] == t.target {
		return nil // the event has no effect; a message may as well remain in flight
	}
	next := state.fork(t.describe)
	if t.change != nil {
		t.change(next)
	}
	next.processes[t.at] = result.after
	sr.addPackets(state, next, result.packets)
	sr.addDecided(next, t.at, result.decided)
	sr.addConfirmed(next, result.confirmed)
	return sr.visit(next)
}

// result returns the result of a transition's event at its process, from the cache if it is there.
func (sr *searcher) result(t transition) *stepResult {
	key := eventKey{t.at, t.target.digest, t.eventDigest, t.powered}
	result := sr.results[key]
	if result == nil {
		result = sr.step(t.at, t.target, t.event, t.powered)
		sr.results[key] = result
	}
	return result
}

// visit marks a state as visited and returns it, or returns nil if it was visited before.
func (sr *searcher) visit(state *searchState) *searchState {
	state.computeDigest()
	if sr.seen[state.digest] {
		return nil
	}
	sr.seen[state.digest] = true
	return state
}

// addPackets adds sent packets to those in flight. It drops duplicates, as they would lead to no other states.
func (sr *searcher) addPackets(state, next *searchState, sent []*packet) {
	for _, original := range sent {
		packets := []*packet{original}
		if sr.mutation.message != nil {
			packets = sr.mutation.message(sr, state, original)
		}
		for _, p := range packets {
			at, exists := slices.BinarySearchFunc(next.packets, p, func(a, b *packet) int { return cmp.Compare(a.digest, b.digest) })
			if !exists {
				next.packets = slices.Insert(slices.Clone(next.packets), at, p)
			}
		}
	}
}

// addDecided adds the sets that a process has applied, and checks that all processes have the same set at each index.
func (sr *searcher) addDecided(next *searchState, process int, decided []decidedSet) {
	for _, set := range decided {
		at, exists := slices.BinarySearchFunc(next.decided, set, func(a, b decidedSet) int { return cmp.Compare(a.index, b.index) })
		switch {
		case !exists:
			next.decided = slices.Insert(slices.Clone(next.decided), at, set)
			sr.decided[set] = true
		case next.decided[at] != set:
			sr.violation = fmt.Sprintf("process %d has a different value at index %d: %s", process+1, set.index, next.trace())
		}
	}
}

// addConfirmed adds the rivals that are confirmed, and checks that it is at most one.
func (sr *searcher) addConfirmed(next *searchState, confirmed [2]bool) {
	for rival := range confirmed {
		next.confirmed[rival] = next.confirmed[rival] || confirmed[rival]
		if next.confirmed[0] && next.confirmed[1] {
			sr.violation = "both rivals are confirmed: " + next.trace()
		}
	}
}

// step has a process handle an event, and then the messages that it sends to itself. If powered is false, the process restarts before its
// write is synced.
func (sr *searcher) step(at int, old *process, e Event, powered bool) *stepResult {
	sr.steps++
	p := *old
	p.node = deepCopy(reflect.ValueOf(old.node)).Interface().(*Node)
	e.Now = p.now
	result := &stepResult{}
	for queue := []Event{e}; len(queue) > 0; queue = queue[1:] {
		effects := p.node.Step(queue[0])
		result.record(p.node, effects.Answers)
		if effects.HardState != nil && powered {
			sr.write(&p, effects)
		}
		queue = append(queue, sr.send(at, p.now, effects, powered, result)...)
	}
	if !powered {
		p.hardState, p.items = old.hardState, old.items
		result.after = sr.restart(at, p)
		return result
	}
	result.after = sr.intern(p)
	return result
}

// record adds the current set of a process, and the rivals that the answers confirm.
func (r *stepResult) record(node *Node, answers []Answer) {
	decided := decidedSet{node.Applied(), node.Set.Checksum()}
	if decided.index > 0 && !slices.Contains(r.decided, decided) {
		r.decided = append(r.decided, decided)
	}
	for _, answer := range answers {
		if answer.Result.Err() == nil && (answer.Tag == 1 || answer.Tag == 2) {
			r.confirmed[answer.Tag-1] = true
		}
	}
}

// write applies the write of a step to the process's disk.
func (sr *searcher) write(p *process, effects Effects) {
	p.hardState = *effects.HardState
	if sr.mutation.hardState != nil {
		sr.mutation.hardState(&p.hardState)
	}
	p.items = newSet(append(slices.Clone(p.items), effects.SaveItems...)).All()
}

// send adds the messages of a step to its result, and returns those to the process itself as events. Messages of kinds that are not part
// of the search are dropped.
func (sr *searcher) send(from int, now int64, effects Effects, powered bool, result *stepResult) (own []Event) {
	ip := fmt.Sprint(from + 1)
	sends := []map[string][]Message{effects.Send}
	if powered || sr.mutation.unsynced {
		sends = append(sends, effects.SendAfterSync)
	}
	for _, messages := range sends {
		for _, to := range slices.Sorted(maps.Keys(messages)) {
			for _, m := range messages[to] {
				switch {
				case to == ip:
					own = append(own, Event{Now: now, From: ip, Message: &m})
				case isSearched(m.Kind):
					result.packets = append(result.packets, newPacket(from, int(to[0]-'1'), m))
				}
			}
		}
	}
	return own
}

// isSearched reports whether messages of a kind are part of the search. These are the messages by which values are decided.
func isSearched(kind MessageKind) bool {
	switch kind {
	case Prepare, Promise, Accept, Accepted, Commit, VotePersisted:
		return true
	}
	return false
}

// intern returns the shared instance of a process: equal processes are represented by one.
func (sr *searcher) intern(p process) *process {
	p.digest = digestOf(p.node, p.hardState, p.now, p.incarnation)
	if known, exists := sr.processes[p.digest]; exists {
		return known
	}
	sr.processes[p.digest] = &p
	return &p
}

// restart returns the next incarnation of a process, which starts from its disk. Unless the disk is empty, it may propose and vote at once,
// as catching up is not part of the search.
func (sr *searcher) restart(at int, p process) *process {
	p.incarnation++
	member := allMembers()[at]
	incarnation := fmt.Sprintf("%s%d", member.Name, p.incarnation)
	if sr.mutation.sameIncarnation {
		incarnation = member.Name
	}
	p.node = New(member, incarnation, 1, p.hardState, newSet(p.items), p.now)
	p.node.caughtUp = p.hardState.Applied > 0
	if p.node.caughtUp {
		p.node.acceptor.startupReplies = nil
	}
	for _, other := range worldPeers[at] {
		peer := allMembers()[other]
		p.node.peers[peer.IP] = Peer{Member: peer, Epoch: 1, Applied: 1, CaughtUp: true}
	}
	return sr.intern(p)
}

func newSet(items []config.Item) *config.Set {
	set := config.NewSet()
	for _, item := range items {
		set.Merge(item)
	}
	return set
}

// successors calls each for every unvisited successor of a state.
func (sr *searcher) successors(state *searchState, each func(*searchState)) {
	add := func(next *searchState) {
		if next != nil {
			each(next)
		}
	}
	for n, p := range state.packets {
		delivery := sr.delivery(state, n, p)
		add(sr.successor(state, delivery))
		if state.budget.powerLosses > 0 {
			add(sr.successor(state, delivery.withoutPower()))
		}
	}
	for at, target := range state.processes {
		if state.budget.ticks > 0 && at < 2 {
			add(sr.successor(state, sr.tick(at, target)))
		}
		if state.budget.wipes > 0 && at < 3 && !strings.HasSuffix(target.hardState.DiskID, wipedSuffix) {
			add(sr.wipe(state, at, target))
		}
	}
}

// delivery returns the transition that delivers the n-th packet in flight.
func (sr *searcher) delivery(state *searchState, n int, p *packet) transition {
	m := p.message
	return transition{
		at:          p.to,
		target:      state.processes[p.to],
		event:       Event{From: fmt.Sprint(p.from + 1), Message: &m},
		eventDigest: p.digest,
		powered:     true,
		describe: func() string {
			return fmt.Sprintf("%s %d>%d index %d ballot %v", m.Kind, p.from+1, p.to+1, m.Index, m.Ballot)
		},
		change: func(next *searchState) { next.packets = slices.Delete(slices.Clone(next.packets), n, n+1) },
	}
}

// withoutPower returns the transition with a power loss at the process before its write is synced.
func (t transition) withoutPower() transition {
	powered := t
	t.powered = false
	t.describe = func() string { return powered.describe() + " without power" }
	t.change = func(next *searchState) {
		powered.change(next)
		next.budget.powerLosses--
	}
	return t
}

// tick returns the transition that advances the clock of a process.
func (sr *searcher) tick(at int, target *process) transition {
	later := *target
	later.now += tickStep
	return transition{
		at:          at,
		target:      sr.intern(later),
		event:       Event{Tick: true},
		eventDigest: tickDigest,
		powered:     true,
		describe:    func() string { return fmt.Sprintf("tick at %d", at+1) },
		change:      func(next *searchState) { next.budget.ticks-- },
	}
}

// wipedSuffix marks the ID of a wiped disk.
const wipedSuffix = "'"

// wipe returns the state after a process has restarted with a wiped disk, or nil if that was visited before.
func (sr *searcher) wipe(state *searchState, at int, target *process) *searchState {
	wiped := *target
	wiped.hardState = HardState{DiskID: target.hardState.DiskID + wipedSuffix}
	wiped.items = nil
	if sr.mutation.keepID { // the process has fetched everything again except its promises and votes
		wiped.hardState = HardState{DiskID: target.hardState.DiskID, Applied: target.hardState.Applied}
		wiped.items = target.items
	}
	next := state.fork(func() string { return fmt.Sprintf("wipe of %d", at+1) })
	next.budget.wipes--
	next.processes[at] = sr.restart(at, wiped)
	return sr.visit(next)
}

// run visits the states of a world level by level, until it finds a violation or reaches maxDepth or stateLimit.
func (sr *searcher) run(name string, maxDepth, stateLimit int) {
	world := worlds[name]
	sr.seen = map[uint64]bool{}
	sr.results = map[eventKey]*stepResult{}
	sr.processes = map[uint64]*process{}
	sr.decided = map[decidedSet]bool{}
	level := []*searchState{sr.initialState(world.limits, world.memberChanges)}
	for sr.depth = 0; sr.depth < maxDepth && len(level) > 0; sr.depth++ {
		var next []*searchState
		for _, state := range level {
			sr.successors(state, func(successor *searchState) { next = append(next, successor) })
			if sr.violation != "" || len(sr.seen) > stateLimit {
				return
			}
		}
		level = next
	}
	sr.complete, sr.exhausted = true, len(level) == 0
}
