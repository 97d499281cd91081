package consensus

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	tracedigest "portflow/internal/testing/digest"
)

// A world of control processes in virtual time: machines with disks, lines between them, and what harms both. All chance is
// drawn from one seed. The carrier does what Effects ask, in their order, and nothing else.

const (
	ms     = int64(1e6)
	second = int64(1e9)
)

type task struct {
	at, seq int64
	do      func()
}

type tasks []task

func (q tasks) Len() int { return len(q) }

func (q tasks) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q tasks) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *tasks) Push(x any) { *q = append(*q, x.(task)) }

func (q *tasks) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// machine is a process with its disk. A machine that is off for good may still be switched on again.
type machine struct {
	n                   int
	ip, zone, name      string
	offset              int64
	rate                float64
	disk                HardState
	items               map[config.Key]config.Item
	node                *Node
	incarnation         int
	up, frozen, removed bool // away: off until somebody switches it on
	backlog             []func()
	writes, syncing     []diskWrite
	maxSync             int64 // longest time of a sync
	diskHung            bool
	applied             uint64
	status              Peer
	frozenAt            int64 // when it was last frozen
	calls               map[uint64]*call
}

func (m *machine) clock(now int64) int64 { return m.offset + int64(float64(now)*m.rate) }

// decidedState is the set as it was at a number.
type decidedState struct {
	sum       uint64
	items     map[config.Key]config.Item
	reachedAt int64
}

// counters counts what happened.
type counters map[string]int64

func (c counters) add(o counters) {
	for k, n := range o {
		c[k] += n
	}
}

// collectCounts takes up what a process has counted.
func (sim *simulation) collectCounts(m *machine) {
	if m.node != nil && m.up {
		c := m.node.Counts
		sim.tally.add(counters{"prepared": c.Prepared, "proposed": c.Proposed, "beaten": c.Beaten, "handed": c.Handed, "fetches": c.Fetches, "cuts": c.Cuts, "taken over": c.TakenOver})
	}
}

type simulation struct {
	seed           uint64
	random         *rand.Rand
	now            int64
	seq            int64
	queue          tasks
	machines       []*machine
	byIP           map[string]*machine
	lines          map[[2]int]*link
	perZone        int
	founders       []string
	encodeMessages bool // messages go through their encoding
	mutation       mutant
	lives          int
	diskIDs        int
	tags           uint64

	states         []decidedState // by number, from 1
	lists          map[uint64]string
	proposedLists  map[uint64][]membership.List // lists that were proposed, by number
	groups         []*operationCopies
	confirmedIndex uint64 // the highest number that was told to anybody
	version        uint64
	tally          counters
	lostDisks      []lostDisk
	maxSync        int64    // longest sync of a disk that nothing ails
	softFaults     counters // faults that end no day
	sent           map[MessageKind]int
	trace          uint64
	log            func(string, ...any)
	effects        *tracedigest.Digest // of all processes, where they are recorded
}

// lostDisk is a disk that is gone.
type lostDisk struct {
	membership.Member
	at int64
}

// violation is a fault that was found. It is unsafe, or else something that should have come to its end did not.
type violation struct {
	what string
	safe bool
}

func (b *violation) String() string {
	if b == nil {
		return ""
	}
	return b.what
}

func (sim *simulation) fail(format string, args ...any) {
	panic(&violation{fmt.Sprintf("at %.3f s: ", float64(sim.now)/1e9) + fmt.Sprintf(format, args...), false})
}

// failLiveness is for what should have come to its end.
func (sim *simulation) failLiveness(format string, args ...any) {
	panic(&violation{fmt.Sprintf("at %.3f s: ", float64(sim.now)/1e9) + fmt.Sprintf(format, args...), true})
}

func (sim *simulation) after(d int64, do func()) {
	sim.seq++
	heap.Push(&sim.queue, task{sim.now + max(d, 0), sim.seq, do})
}

func (sim *simulation) between(from, to int64) int64 {
	return from + sim.random.Int64N(max(1, to-from))
}

func (sim *simulation) run(until int64) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		t := heap.Pop(&sim.queue).(task)
		sim.now = t.at
		t.do()
		if len(sim.queue) > 20000 {
			sim.failLiveness("a storm: %d messages are under way or due, sent in all %v", len(sim.queue), sim.sent)
		}
	}
	sim.now = until
}

// newSimulation has machines that are off.
func newSimulation(seed uint64, wrong mutant) *simulation {
	w := &simulation{seed: seed, random: rand.New(rand.NewPCG(seed, 41)), byIP: map[string]*machine{}, lines: map[[2]int]*link{},
		lists: map[uint64]string{}, proposedLists: map[uint64][]membership.List{}, mutation: wrong, tally: counters{}, softFaults: counters{}, sent: map[MessageKind]int{}, encodeMessages: seed%8 == 3, version: 1, log: func(string, ...any) {}}
	w.maxSync = []int64{4 * ms, 4 * ms, 40 * ms, 300 * ms}[w.random.IntN(4)]
	size := 3 + w.random.IntN(7)
	w.perZone = max(1, size/3)
	for n := range size {
		w.founders = append(w.founders, fmt.Sprintf("10.0.%d.%d", n%3, n))
	}
	slices.Sort(w.founders)
	for n := range size {
		m := w.machine(n % 3)
		m.disk.Founders = w.founders
	}
	return w
}

// machine adds a machine that is off and has an empty disk.
func (sim *simulation) machine(zone int) *machine {
	n := len(sim.machines)
	sim.diskIDs++
	m := &machine{n: n, disk: HardState{DiskID: fmt.Sprintf("d%d", sim.diskIDs)}, ip: fmt.Sprintf("10.0.%d.%d", zone, n), zone: fmt.Sprintf("z%d", zone), name: fmt.Sprintf("c%d", n),
		offset: sim.between(second, 1000*second), rate: 0.98 + 0.04*sim.random.Float64(), maxSync: sim.maxSync, items: map[config.Key]config.Item{}}
	for _, o := range sim.machines {
		l := &link{latency: sim.between(ms/5, 2*ms)}
		if o.zone != m.zone {
			l.latency = sim.between(ms, 40*ms)
		}
		sim.lines[[2]int{o.n, n}] = l
	}
	sim.machines, sim.byIP[m.ip] = append(sim.machines, m), m
	return m
}

// start starts a process with what the disk holds.
func (sim *simulation) start(m *machine) {
	if m.up {
		return
	}
	sim.lives++
	m.incarnation, m.up, m.frozen, m.removed, m.backlog = sim.lives, true, false, false, nil
	raw, _ := json.Marshal(m.disk)
	var hardState HardState
	json.Unmarshal(raw, &hardState)
	set := config.NewSet()
	for _, k := range slices.SortedFunc(maps.Keys(m.items), keys) {
		set.Merge(m.items[k])
	}
	incarnationName := fmt.Sprintf("%04x.%d", sim.random.IntN(1<<16), m.incarnation)
	if sim.mutation.sameIncarnation {
		incarnationName = m.ip
	}
	m.node = New(membership.Member{IP: m.ip, Name: m.name, Zone: m.zone}, incarnationName, sim.perZone, hardState, set, m.clock(sim.now))
	m.applied, m.status, m.calls = m.node.Applied(), Peer{}, map[uint64]*call{}
	sim.checkState(m)
	life0 := m.incarnation
	sim.after(sim.between(0, 50*ms), func() { sim.scheduleTicks(m, life0) })
	sim.after(sim.between(0, 500*ms), func() { sim.scheduleStatus(m, life0) })
	for _, o := range sim.machines {
		if o != m {
			sim.connect(m, o)
		}
	}
}

func keys(a, b config.Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// runOn has a process do something, unless it has ended; one that is frozen does it later.
func (sim *simulation) runOn(m *machine, incarnation int, do func()) {
	switch {
	case !m.up || m.incarnation != incarnation:
	case m.frozen:
		m.backlog = append(m.backlog, do)
	default:
		do()
	}
}

func (sim *simulation) scheduleTicks(m *machine, incarnation int) {
	sim.runOn(m, incarnation, func() {
		sim.step(m, Event{Tick: true})
		next := 200 * ms
		if m.node.Busy() {
			next = 50 * ms
		}
		sim.after(next, func() { sim.scheduleTicks(m, incarnation) })
	})
}

// scheduleStatus sends a process's status now and then.
func (sim *simulation) scheduleStatus(m *machine, incarnation int) {
	sim.runOn(m, incarnation, func() {
		sim.broadcastStatus(m)
		sim.after(sim.between(400*ms, 1000*ms), func() { sim.scheduleStatus(m, incarnation) })
	})
}

func (sim *simulation) broadcastStatus(m *machine) {
	m.status = sim.statusOf(m)
	for _, o := range sim.machines {
		if o != m {
			sim.sendStatus(m, o)
		}
	}
}

func (sim *simulation) statusOf(m *machine) Peer {
	return Peer{membership.Member{IP: m.ip, ID: m.node.HardState().DiskID, Name: m.name, Zone: m.zone}, m.node.Membership().Epoch, m.node.Applied(), m.node.CaughtUp()}
}

func (sim *simulation) sendStatus(from, to *machine) {
	p := sim.statusOf(from)
	sim.deliver(from, to, func() { sim.step(to, Event{From: from.ip, Peer: &p}) })
}

// stop ends a process; without power its disk keeps what was synced, and perhaps some of what was being synced.
func (sim *simulation) stop(m *machine, powerLost bool) {
	if !m.up {
		return
	}
	sim.collectCounts(m)
	m.up, m.frozen, m.backlog = false, false, nil
	n := len(m.syncing)
	if powerLost {
		n = sim.random.IntN(n + 1)
	}
	for _, pendingWrite := range m.syncing[:n] {
		m.persist(pendingWrite)
	}
	m.syncing, m.writes = nil, nil
	for _, o := range sim.machines {
		if o == m {
			continue
		}
		l, end := sim.line(m, o)
		if l.ends[end] = false; l.ends[1-end] {
			in := sim.between(ms, 50*ms)
			if powerLost {
				in = sim.between(50*ms, 2000*ms)
			}
			sim.noticeLater(o, m, in, func() bool { return true })
		}
	}
	for _, c := range m.calls {
		c.done, c.endedAt = true, sim.now // its caller never hears
		c.result = Result{Kind: apierror.Unavailable, Reason: "no answer"}
	}
	m.calls = nil
}

func (sim *simulation) sendAll(m *machine, all map[string][]Message) {
	for _, ip := range slices.Sorted(maps.Keys(all)) {
		for _, x := range all[ip] {
			sim.send(m, sim.byIP[ip], x)
		}
	}
}

func (sim *simulation) send(from, to *machine, message Message) {
	if to == nil {
		sim.fail("%s sends to nobody: %v", from.ip, message.Kind)
	}
	sim.sent[message.Kind]++
	if message.Kind == Accept {
		if l := membershipIn(message.Value); l.Epoch != 0 {
			sim.proposedLists[message.Index] = append(sim.proposedLists[message.Index], l)
		}
	}
	if sim.encodeMessages {
		raw, err := json.Marshal(message)
		if err != nil {
			sim.fail("a message can't be encoded: %v", err)
		}
		message = Message{}
		json.Unmarshal(raw, &message)
	}
	if sim.mutation.message != nil && !sim.mutation.message(sim, from, to, &message) {
		return
	}
	if from == to {
		life := from.incarnation
		sim.after(0, func() { sim.runOn(to, life, func() { sim.step(to, Event{From: from.ip, Message: &message}) }) })
		return
	}
	sim.deliver(from, to, func() { sim.step(to, Event{From: from.ip, Message: &message}) })
}

// step is one event of a process, and what comes of it.
func (sim *simulation) step(m *machine, e Event) {
	e.Now, e.Random = m.clock(sim.now), sim.random.Float64()
	life := m.incarnation
	effects := m.node.Step(e)
	sim.records(m, effects)
	sim.checkState(m)
	if effects.HardState != nil {
		pendingWrite := diskWrite{*effects.HardState, effects.SaveItems, effects.DeleteKeys, effects.SendAfterSync}
		if sim.mutation.hardState != nil {
			sim.mutation.hardState(&pendingWrite.hardState)
		}
		m.writes = append(m.writes, pendingWrite)
		sim.startSync(m)
		if sim.mutation.unsynced {
			sim.sendAll(m, pendingWrite.synced)
		}
	} else if len(effects.SaveItems)+len(effects.DeleteKeys)+len(effects.SendAfterSync) > 0 {
		sim.fail("%s: something to be synced without a record", m.ip)
	}
	sim.sendAll(m, effects.Send)
	for _, a := range effects.Answers {
		sim.handleAnswer(m, a)
	}
	if p := sim.statusOf(m); m.incarnation == life && (effects.Changed || p != m.status) {
		sim.broadcastStatus(m)
	}
}

// records adds to the digest what a process asks for, and what it then is.
func (sim *simulation) records(m *machine, out Effects) {
	if sim.effects == nil {
		return
	}
	node := m.node
	sim.effects.Add(sim.now, m.n, out, node.Applied(), node.Set.Checksum(), node.Membership(), node.Busy(), node.CaughtUp(), node.IsMember())
}
