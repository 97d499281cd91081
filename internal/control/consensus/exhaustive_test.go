//go:build !race

package consensus

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// All that can happen in a small world, to a depth: messages come in any order or not at all, processes lose their power
// before a record is synced or after, disks are wiped, time runs out. Each state is seen once. A record is synced at once
// unless the power goes; what a process tells itself comes at once.

var (
	searchDepth = flag.Int("depth", 0, "how deep the small worlds are searched, 0 for the depth of every run")
	maxStates   = flag.Int("states", 0, "at how many states of a small world the search ends, 0 for those of every run")
)

// stepResult is what came of an event at a process: the same event at the same process always comes to the same.
type stepResult struct {
	after     *process
	packets   []*packet
	decided   []decidedSet
	confirmed [2]bool
	violation string
}

type eventKey struct {
	process    int
	processSum uint64
	eventSum   uint64
	synced     bool
}

// searcher is a search.
type searcher struct {
	mutation  searchMutant
	seen      map[uint64]bool
	results   map[eventKey]*stepResult
	processes map[uint64]*process
	decided   map[decidedSet]bool
	violation string
	steps     int
	depth     int
	complete  bool // all that there is to the depth was seen
	exhausted bool // nothing more can happen
}

// searchMutant takes a mend out.
type searchMutant struct {
	sameIncarnation, unsynced, keepID bool
	hardState                         func(*HardState)
	message                           func(h *searcher, p *searchState, l *packet) []*packet
}

// successor is the place after an event at a process, nil where it was seen.
func (sr *searcher) successor(p *searchState, at int, s *process, e Event, what uint64, power bool, say func() string, change func(*searchState)) *searchState {
	key := eventKey{at, s.sum, what, power}
	result := sr.results[key]
	if result == nil {
		result = sr.step(at, s, e, power)
		sr.results[key] = result
	}
	if result.after == s && len(result.packets) == 0 && power && p.processes[at] == s { // nothing comes of it: it is as if it were still under way
		return nil
	}
	q := &searchState{processes: p.processes, packets: p.packets, decided: p.decided, confirmed: p.confirmed, budget: p.budget, previous: p, describe: say}
	if change != nil {
		change(q)
	}
	q.processes[at] = result.after
	if result.violation != "" {
		sr.violation = result.violation + ": " + q.trace()
	}
	for _, l := range result.packets {
		packets := []*packet{l}
		if sr.mutation.message != nil {
			packets = sr.mutation.message(sr, p, l)
		}
		for _, l := range packets {
			n, there := slices.BinarySearchFunc(q.packets, l, func(a, b *packet) int { return cmp.Compare(a.sum, b.sum) })
			if !there { // a second one like it tells nothing more
				q.packets = slices.Insert(slices.Clone(q.packets), n, l)
			}
		}
	}
	for _, f := range result.decided {
		n, there := slices.BinarySearchFunc(q.decided, f, func(a, b decidedSet) int { return cmp.Compare(a.number, b.number) })
		if !there {
			q.decided = slices.Insert(slices.Clone(q.decided), n, f)
			sr.decided[f] = true
		} else if q.decided[n] != f {
			sr.violation = fmt.Sprintf("process %d has another value at number %d: %s", at+1, f.number, q.trace())
		}
	}
	for n, confirmed := range result.confirmed {
		if q.confirmed[n] = q.confirmed[n] || confirmed; q.confirmed[0] && q.confirmed[1] {
			sr.violation = "both rivals are confirmed: " + q.trace()
		}
	}
	q.computeSum()
	if sr.seen[q.sum] {
		return nil
	}
	sr.seen[q.sum] = true
	return q
}

// step is one event of a process. Without power it ends before its record is synced.
func (sr *searcher) step(at int, old *process, e Event, power bool) *stepResult {
	sr.steps++
	s := *old
	s.node = deepCopy(reflect.ValueOf(old.node)).Interface().(*Node)
	e.Now = s.now
	result := &stepResult{}
	ip := fmt.Sprint(at + 1)
	for queue := []Event{e}; len(queue) > 0; queue = queue[1:] {
		effects := s.node.Step(queue[0])
		decided := decidedSet{s.node.Applied(), s.node.Set.Checksum()}
		if decided.number > 0 && !slices.Contains(result.decided, decided) {
			result.decided = append(result.decided, decided)
		}
		if effects.HardState != nil && power {
			s.hardState = *effects.HardState
			if sr.mutation.hardState != nil {
				sr.mutation.hardState(&s.hardState)
			}
			set := config.NewSet()
			for _, i := range append(slices.Clone(s.items), effects.SaveItems...) {
				set.Merge(i)
			}
			s.items = set.All()
		}
		for _, a := range effects.Answers {
			if a.Result.Err() == nil && (a.Tag == 1 || a.Tag == 2) {
				result.confirmed[a.Tag-1] = true
			}
		}
		sends := []map[string][]Message{effects.Send}
		if power || sr.mutation.unsynced {
			sends = append(sends, effects.SendAfterSync)
		}
		for _, all := range sends {
			for _, to := range slices.Sorted(maps.Keys(all)) {
				for _, m := range all[to] {
					if to == ip {
						queue = append(queue, Event{Now: s.now, From: ip, Message: &m})
						continue
					}
					switch m.Kind {
					case Behind, Forward, ForwardResult, FetchChanges, Changes, SnapshotChunk, ReadIndex, ReadIndexReply, Ahead, Rejected:
						continue // nothing of what is searched for rests on them
					}
					l := &packet{at, int(to[0] - '1'), m, 0}
					l.sum = digestOf(l.from, l.to, m)
					result.packets = append(result.packets, l)
				}
			}
		}
	}
	if !power {
		s.hardState, s.items = old.hardState, old.items
		result.after = sr.restart(at, s)
		return result
	}
	result.after = sr.intern(s)
	return result
}

// intern keeps one of all that are alike.
func (sr *searcher) intern(s process) *process {
	s.sum = digestOf(s.node, s.hardState, s.now, s.incarnation)
	if was, there := sr.processes[s.sum]; there {
		return was
	}
	sr.processes[s.sum] = &s
	return &s
}

// restart is a new life with what the disk holds. As all that it lacks would come to it by and by, it may propose at once.
func (sr *searcher) restart(at int, s process) *process {
	s.incarnation++
	set := config.NewSet()
	for _, i := range s.items {
		set.Merge(i)
	}
	m := allMembers()[at]
	incarnation := fmt.Sprintf("%s%d", m.Name, s.incarnation)
	if sr.mutation.sameIncarnation {
		incarnation = m.Name
	}
	s.node = New(m, incarnation, 1, s.hardState, set, s.now)
	if s.node.caughtUp = s.hardState.Applied > 0; s.node.caughtUp {
		s.node.acceptor.startReplies = nil
	}
	for _, n := range smallPeers[at] {
		s.node.peers[allMembers()[n].IP] = Peer{Member: allMembers()[n], Epoch: 1, Applied: 1, CaughtUp: true}
	}
	return sr.intern(s)
}

// successors is whatever can happen next.
func (sr *searcher) successors(p *searchState, each func(*searchState)) {
	add := func(q *searchState) {
		if q != nil {
			each(q)
		}
	}
	for n, l := range p.packets {
		m := l.message
		say := func() string {
			return fmt.Sprintf("%s %d>%d number %d ballot %v", m.Kind, l.from+1, l.to+1, m.Index, m.Ballot)
		}
		taken := func(q *searchState) { q.packets = slices.Delete(slices.Clone(q.packets), n, n+1) }
		e := Event{From: fmt.Sprint(l.from + 1), Message: &m}
		add(sr.successor(p, l.to, p.processes[l.to], e, l.sum, true, say, taken))
		if p.budget.powers > 0 {
			add(sr.successor(p, l.to, p.processes[l.to], e, l.sum, false, func() string { return say() + " without power" }, func(q *searchState) {
				taken(q)
				q.budget.powers--
			}))
		}
	}
	for at, s := range p.processes {
		if p.budget.turns > 0 && at < 2 {
			later := *s
			later.now += 2100 * ms
			add(sr.successor(p, at, sr.intern(later), Event{Tick: true}, 1, true, func() string { return fmt.Sprintf("time at %d", at+1) }, func(q *searchState) { q.budget.turns-- }))
		}
		if p.budget.wipes > 0 && at < 3 && !strings.HasSuffix(s.hardState.DiskID, "'") {
			gone := *s
			id := s.hardState.DiskID + "'"
			if sr.mutation.keepID {
				id = s.hardState.DiskID
			}
			gone.hardState, gone.items = HardState{DiskID: id}, nil
			if sr.mutation.keepID { // all but its votes came to it again
				gone.hardState.Applied, gone.items = s.hardState.Applied, s.items
			}
			q := &searchState{processes: p.processes, packets: p.packets, decided: p.decided, confirmed: p.confirmed, budget: p.budget, previous: p, describe: func() string { return fmt.Sprintf("wiped %d", at+1) }}
			q.budget.wipes--
			q.processes[at] = sr.restart(at, gone)
			if q.computeSum(); !sr.seen[q.sum] {
				sr.seen[q.sum] = true
				add(q)
			}
		}
	}
}

var newcomer = membership.Member{IP: "4", ID: "d", Name: "D", Zone: "4"}

func smallMembership() (l membership.List) {
	l.Epoch, l.Members = 1, allMembers()[:3]
	return l
}

func allMembers() (all []membership.Member) {
	for n, name := range []string{"A", "B", "C", "D"} {
		all = append(all, membership.Member{IP: fmt.Sprint(n + 1), ID: strings.ToLower(name), Name: name, Zone: fmt.Sprint(n + 1)})
	}
	return all
}

// smallPeers is who hears whom: the second doesn't hear the first, so that both propose.
var smallPeers = [][]int{{1, 2, 3}, {2, 3}, {0, 1}, {0, 1}}

// initial is where a search begins: three members at number 1, a newcomer that holds the same, and rival orders at the first and
// second.
func (sr *searcher) initial(left budget, more map[int]operation.Operation) *searchState {
	p := &searchState{budget: left}
	items := []config.Item{smallMembership().Item(), item(config.KindServices, "desk", 1, `{"health-path":"/","name":"desk"}`)}
	for n, m := range allMembers() {
		p.processes[n] = sr.restart(n, process{hardState: HardState{DiskID: m.ID, Applied: 1}, items: items, now: 1000 * second})
	}
	for n := range 2 {
		if o, there := more[n]; there {
			p = sr.successor(p, n, p.processes[n], Event{Operation: &o, Tag: 9}, 2, true, nil, nil)
		}
		o := operation.Operation{Kind: operation.ModifyConfig, Items: []config.Item{item(config.KindServices, "gate", 1, fmt.Sprintf(`{"health-path":"/%d","name":"gate"}`, n))}}
		p = sr.successor(p, n, p.processes[n], Event{Operation: &o, Tag: uint64(n + 1)}, 3, true, nil, nil)
	}
	p.previous = nil
	return p
}

func swap(in membership.Member, out ...string) operation.Operation {
	return operation.Operation{Kind: operation.ChangeMembers, Add: []membership.Member{in}, Remove: out}
}

// smallWorlds are what is searched: what may happen, and who asks for other members.
var smallWorlds = map[string]struct {
	left budget
	more map[int]operation.Operation
}{
	"rivals":                          {budget{turns: 2}, nil},
	"rivals and power":                {budget{turns: 1, powers: 2}, nil},
	"rivals and a wipe":               {budget{turns: 1, wipes: 1}, nil},
	"a member for another":            {budget{turns: 1}, map[int]operation.Operation{0: swap(newcomer, "3")}},
	"a member for the other proposer": {budget{turns: 1}, map[int]operation.Operation{0: swap(newcomer, "2")}},
	"a member more, and a wipe":       {budget{turns: 1, wipes: 1}, map[int]operation.Operation{0: swap(newcomer)}},
	"two lists at once":               {budget{turns: 1}, map[int]operation.Operation{0: swap(newcomer, "3"), 1: swap(newcomer, "1")}},
	"two lists, power and wipe":       {budget{turns: 1, powers: 1, wipes: 1}, map[int]operation.Operation{0: swap(newcomer, "3"), 1: swap(newcomer, "1")}},
}

// run goes level by level, until a fault, the depth or as many states as may be.
func (sr *searcher) run(name string, deepest, most int) {
	w := smallWorlds[name]
	sr.seen, sr.results, sr.processes, sr.decided = map[uint64]bool{}, map[eventKey]*stepResult{}, map[uint64]*process{}, map[decidedSet]bool{}
	level := []*searchState{sr.initial(w.left, w.more)}
	for sr.depth = 0; sr.depth < deepest && len(level) > 0; sr.depth++ {
		var next []*searchState
		for _, p := range level {
			sr.successors(p, func(q *searchState) { next = append(next, q) })
			if sr.violation != "" || len(sr.seen) > most {
				return
			}
		}
		level = next
	}
	sr.complete, sr.exhausted = true, len(level) == 0
}

// Whatever order messages come in, whoever loses power or disk, and while members change: two halves never both confirm, and a
// number has one value.
func TestExhaustiveSearch(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(smallWorlds)) {
		t.Run(name, func(t *testing.T) {
			h, began := &searcher{}, time.Now()
			h.run(name, cmp.Or(*searchDepth, 10), cmp.Or(*maxStates, fewStates))
			if h.violation != "" {
				t.Error(h.violation)
			}
			t.Logf("%d states to depth %d (all of them: %v, and nothing more can happen: %v), %d different steps of %d different processes, %d different numbers, %v",
				len(h.seen), h.depth, h.complete, h.exhausted, h.steps, len(h.processes), len(h.decided), time.Since(began).Round(time.Millisecond))
		})
	}
}

// smallMutants are mends taken out in the small worlds, with the world that shows it. Those that need what is fetched or more
// than twenty steps are shown by the drawn days alone.
var smallMutants = map[string]struct {
	world string
	wrong searchMutant
}{
	"promises aren't kept on disk":                       {"rivals and power", searchMutant{hardState: func(d *HardState) { d.Promised = Ballot{} }}},
	"votes aren't kept on disk":                          {"rivals and power", searchMutant{hardState: func(d *HardState) { d.Accepted, d.AcceptedIndex, d.AcceptedValue = Ballot{}, 0, nil }}},
	"promises and votes are told before they are synced": {"rivals and power", searchMutant{unsynced: true}},
	"a wiped disk is the same member still":              {"rivals and a wipe", searchMutant{keepID: true}},
	"a promise tells of no vote": {"rivals", searchMutant{message: func(_ *searcher, _ *searchState, l *packet) []*packet {
		m := l.message
		if m.Kind == Promise {
			m.Accepted, m.Value = Ballot{}, nil
		}
		return []*packet{addPacket(l.from, l.to, m)}
	}}},
	"a ballot that was promised away is voted for": {"rivals", searchMutant{message: func(_ *searcher, p *searchState, l *packet) []*packet {
		if l.message.Kind == Accept && l.message.Ballot.Less(p.processes[l.to].hardState.Promised) {
			m := Message{Kind: Accepted, Index: l.message.Index, Ballot: l.message.Ballot, Epoch: 1, DiskID: p.processes[l.to].hardState.DiskID}
			return []*packet{l, addPacket(l.to, l.from, m)}
		}
		return []*packet{l}
	}}},
}

func addPacket(from, to int, m Message) *packet {
	return &packet{from, to, m, digestOf(from, to, m)}
}

// The search finds what it is for: with a mend taken out two halves confirm, or a number has two values.
func TestExhaustiveSearchFindsMutants(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(smallMutants)) {
		t.Run(name, func(t *testing.T) {
			m := smallMutants[name]
			h, began := &searcher{mutation: m.wrong}, time.Now()
			h.run(m.world, cmp.Or(*searchDepth, 30), cmp.Or(*maxStates, 2000000))
			if h.violation == "" {
				t.Fatalf("nothing found in %d states to depth %d, %v", len(h.seen), h.depth, time.Since(began))
			}
			t.Logf("found at depth %d, after %d states, %v: %s", h.depth+1, len(h.seen), time.Since(began).Round(time.Millisecond), h.violation)
		})
	}
}
