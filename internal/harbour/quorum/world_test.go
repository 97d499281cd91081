package quorum

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/orders"
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
func (q *tasks) Push(x any)   { *q = append(*q, x.(task)) }
func (q *tasks) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// write is one synced step of a disk.
type write struct {
	disk   Disk
	items  []manifest.Item
	gone   []manifest.Key
	synced map[string][]Message
}

// machine is a process with its disk. A machine that is off for good may still be switched on again.
type machine struct {
	n                int
	ip, zone, name   string
	offset           int64
	rate             float64
	disk             Disk
	items            map[manifest.Key]manifest.Item
	node             *Node
	life             int
	up, frozen, away bool // away: off until somebody switches it on
	backlog          []func()
	writes, syncing  []write
	slow             int64 // longest time of a sync
	hangs            bool
	applied          uint64
	status           Peer
	froze            int64 // when it was last frozen
	calls            map[uint64]*call
}

func (m *machine) clock(now int64) int64 { return m.offset + int64(float64(now)*m.rate) }

// line is between two machines; each end finds out by itself that it is broken.
type line struct {
	ends  [2]bool
	life  int
	last  [2]int64 // arrival of the newest message to each end
	held  [2][]func()
	cut   [2]int // how many harms hold what goes to each end
	takes int64  // one way
	late  int64  // by which messages may be late at the most
}

type call struct {
	tag    uint64
	order  *orders.Order // nil for a read
	group  *group
	m      *machine
	life   int
	began  int64
	floor  uint64 // a read: the highest number that had been told to anybody before
	done   bool
	ended  int64
	result Result
}

// group are the copies of one order.
type group struct {
	n     int
	order orders.Order
	calls []*call
}

// state is the set as it was at a number.
type state struct {
	sum   uint64
	items map[manifest.Key]manifest.Item
	at    int64
}

// tally counts what happened.
type tally map[string]int64

func (t tally) add(o tally) {
	for k, n := range o {
		t[k] += n
	}
}

// gather takes up what a process has counted.
func (w *world) gather(m *machine) {
	if m.node != nil && m.up {
		c := m.node.Counts
		w.tally.add(tally{"prepared": c.Prepared, "proposed": c.Proposed, "beaten": c.Beaten, "handed": c.Handed, "fetches": c.Fetches, "cuts": c.Cuts, "taken over": c.TakenOver})
	}
}

type world struct {
	seed     uint64
	draw     *rand.Rand
	now      int64
	seq      int64
	queue    tasks
	machines []*machine
	byIP     map[string]*machine
	lines    map[[2]int]*line
	perZone  int
	founders []string
	encoded  bool // messages go through their encoding
	wrong    mutant
	lives    int
	ids      int
	tags     uint64

	states   []state // by number, from 1
	lists    map[uint64]string
	ahead    map[uint64][]muster.List // lists that were proposed, by number
	groups   []*group
	told     uint64 // the highest number that was told to anybody
	version  uint64
	harmless bool
	tally    tally
	lost     []loss
	slow     int64 // longest sync of a disk that nothing ails
	soft     tally // faults that end no day
	sent     map[Kind]int
	trace    uint64
	log      func(string, ...any)
	effects  *tracedigest.Digest // of all processes, where they are recorded
}

// loss is a disk that is gone.
type loss struct {
	muster.Member
	at int64
}

// broken is a fault that was found. It is unsafe, or else something that should have come to its end did not.
type broken struct {
	what string
	safe bool
}

func (b *broken) String() string {
	if b == nil {
		return ""
	}
	return b.what
}

func (w *world) fail(format string, args ...any) {
	panic(&broken{fmt.Sprintf("at %.3f s: ", float64(w.now)/1e9) + fmt.Sprintf(format, args...), false})
}

// stuck is for what should have come to its end.
func (w *world) stuck(format string, args ...any) {
	panic(&broken{fmt.Sprintf("at %.3f s: ", float64(w.now)/1e9) + fmt.Sprintf(format, args...), true})
}

func (w *world) after(d int64, do func()) {
	w.seq++
	heap.Push(&w.queue, task{w.now + max(d, 0), w.seq, do})
}

func (w *world) between(from, to int64) int64 { return from + w.draw.Int64N(max(1, to-from)) }

func (w *world) run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		t := heap.Pop(&w.queue).(task)
		w.now = t.at
		t.do()
		if len(w.queue) > 20000 {
			w.stuck("a storm: %d messages are under way or due, sent in all %v", len(w.queue), w.sent)
		}
	}
	w.now = until
}

// newWorld has machines that are off.
func newWorld(seed uint64, wrong mutant) *world {
	w := &world{seed: seed, draw: rand.New(rand.NewPCG(seed, 41)), byIP: map[string]*machine{}, lines: map[[2]int]*line{},
		lists: map[uint64]string{}, ahead: map[uint64][]muster.List{}, wrong: wrong, tally: tally{}, soft: tally{}, sent: map[Kind]int{}, encoded: seed%8 == 3, version: 1, log: func(string, ...any) {}}
	w.slow = []int64{4 * ms, 4 * ms, 40 * ms, 300 * ms}[w.draw.IntN(4)]
	size := 3 + w.draw.IntN(7)
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
func (w *world) machine(zone int) *machine {
	n := len(w.machines)
	w.ids++
	m := &machine{n: n, disk: Disk{ID: fmt.Sprintf("d%d", w.ids)}, ip: fmt.Sprintf("10.0.%d.%d", zone, n), zone: fmt.Sprintf("z%d", zone), name: fmt.Sprintf("c%d", n),
		offset: w.between(second, 1000*second), rate: 0.98 + 0.04*w.draw.Float64(), slow: w.slow, items: map[manifest.Key]manifest.Item{}}
	for _, o := range w.machines {
		l := &line{takes: w.between(ms/5, 2*ms)}
		if o.zone != m.zone {
			l.takes = w.between(ms, 40*ms)
		}
		w.lines[[2]int{o.n, n}] = l
	}
	w.machines, w.byIP[m.ip] = append(w.machines, m), m
	return m
}

// line is the one between two machines, and which end of it is a's.
func (w *world) line(a, b *machine) (l *line, end int) {
	if a.n < b.n {
		return w.lines[[2]int{a.n, b.n}], 0
	}
	return w.lines[[2]int{b.n, a.n}], 1
}

// on starts a process with what the disk holds.
func (w *world) on(m *machine) {
	if m.up {
		return
	}
	w.lives++
	m.life, m.up, m.frozen, m.away, m.backlog = w.lives, true, false, false, nil
	raw, _ := json.Marshal(m.disk)
	var d Disk
	json.Unmarshal(raw, &d)
	set := manifest.NewSet()
	for _, k := range slices.SortedFunc(maps.Keys(m.items), keys) {
		set.Merge(m.items[k])
	}
	life := fmt.Sprintf("%04x.%d", w.draw.IntN(1<<16), m.life)
	if w.wrong.sameLife {
		life = m.ip
	}
	m.node = New(muster.Member{IP: m.ip, Name: m.name, Zone: m.zone}, life, w.perZone, d, set, m.clock(w.now))
	m.applied, m.status, m.calls = m.node.Applied(), Peer{}, map[uint64]*call{}
	w.looks(m)
	life0 := m.life
	w.after(w.between(0, 50*ms), func() { w.ticks(m, life0) })
	w.after(w.between(0, 500*ms), func() { w.tells(m, life0) })
	for _, o := range w.machines {
		if o != m {
			w.connects(m, o)
		}
	}
}

func keys(a, b manifest.Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// inbox has a process do something, unless it has ended; one that is frozen does it later.
func (w *world) inbox(m *machine, life int, do func()) {
	switch {
	case !m.up || m.life != life:
	case m.frozen:
		m.backlog = append(m.backlog, do)
	default:
		do()
	}
}

func (w *world) ticks(m *machine, life int) {
	w.inbox(m, life, func() {
		w.step(m, Event{Tick: true})
		next := 200 * ms
		if m.node.Busy() {
			next = 50 * ms
		}
		w.after(next, func() { w.ticks(m, life) })
	})
}

// tells sends a process's status now and then.
func (w *world) tells(m *machine, life int) {
	w.inbox(m, life, func() {
		w.status(m)
		w.after(w.between(400*ms, 1000*ms), func() { w.tells(m, life) })
	})
}

func (w *world) status(m *machine) {
	m.status = w.says(m)
	for _, o := range w.machines {
		if o != m {
			w.tell(m, o)
		}
	}
}

func (w *world) says(m *machine) Peer {
	return Peer{muster.Member{IP: m.ip, ID: m.node.Disk().ID, Name: m.name, Zone: m.zone}, m.node.List().Epoch, m.node.Applied(), m.node.Whole()}
}

func (w *world) tell(from, to *machine) {
	p := w.says(from)
	w.carry(from, to, func() { w.step(to, Event{From: from.ip, Peer: &p}) })
}

// carry brings something to the other end, in the order in which it was sent, unless the line breaks.
func (w *world) carry(from, to *machine, do func()) {
	l, end := w.line(from, to)
	if !l.ends[end] {
		return
	}
	life, process, other := l.life, to.life, 1-end
	come := func() {
		at := max(w.now+l.takes+w.between(0, l.takes/4+1+l.late), l.last[other]+1)
		l.last[other] = at
		w.after(at-w.now, func() {
			if l.life == life && l.ends[other] {
				w.inbox(to, process, do)
			}
		})
	}
	if l.cut[other] > 0 {
		l.held[other] = append(l.held[other], func() {
			if l.life == life {
				come()
			}
		})
		return
	}
	come()
}

// connects goes on until there is a line.
func (w *world) connects(a, b *machine) {
	lifeA, lifeB := a.life, b.life
	l, end := w.line(a, b)
	w.after(w.between(5*ms, 300*ms), func() {
		switch {
		case !a.up || !b.up || a.life != lifeA || b.life != lifeB || l.ends == [2]bool{true, true}:
		case l.ends != [2]bool{} || l.cut != [2]int{} || a.frozen || b.frozen:
			w.connects(a, b)
		default:
			l.life++
			l.ends, l.last, l.held = [2]bool{true, true}, [2]int64{}, [2][]func(){}
			if end == 1 {
				a, b = b, a
			}
			w.tell(a, b)
			w.tell(b, a)
		}
	})
}

// breaks has one end of a line find out that it is broken.
func (w *world) breaks(m, other *machine) {
	l, end := w.line(m, other)
	if !l.ends[end] {
		return
	}
	l.ends[end] = false
	w.inbox(m, m.life, func() { w.step(m, Event{From: other.ip, Lost: true}) })
	if l.ends == [2]bool{} && m.up && other.up {
		w.connects(m, other)
	}
}

// notices has one end of a line find out later, if it is still so.
func (w *world) notices(m, other *machine, in int64, still func() bool) {
	l, _ := w.line(m, other)
	life := l.life
	w.after(in, func() {
		if l.life == life && still() {
			w.breaks(m, other)
		}
	})
}

// cuts holds what goes from one machine to another; the receiver finds out by silence and closes, which the sender sees at
// once, or by its own silence where it hears nothing either.
func (w *world) cuts(from, to *machine) {
	l, end := w.line(to, from)
	l.cut[end]++
	life := l.life
	w.after(w.between(800*ms, 2000*ms), func() {
		if l.life != life || l.cut[end] == 0 {
			return
		}
		w.breaks(to, from)
		if l.cut[1-end] == 0 {
			w.notices(from, to, w.between(ms, 100*ms), func() bool { return true })
		} else {
			w.notices(from, to, w.between(0, 1200*ms), func() bool { return true })
		}
	})
}

func (w *world) heals(from, to *machine) {
	l, end := w.line(to, from)
	if l.cut[end]--; l.cut[end] == 0 {
		held := l.held[end]
		l.held[end] = nil
		for _, come := range held {
			come()
		}
	}
}

// off ends a process; without power its disk keeps what was synced, and perhaps some of what was being synced.
func (w *world) off(m *machine, power bool) {
	if !m.up {
		return
	}
	w.gather(m)
	m.up, m.frozen, m.backlog = false, false, nil
	n := len(m.syncing)
	if power {
		n = w.draw.IntN(n + 1)
	}
	for _, x := range m.syncing[:n] {
		m.keep(x)
	}
	m.syncing, m.writes = nil, nil
	for _, o := range w.machines {
		if o == m {
			continue
		}
		l, end := w.line(m, o)
		if l.ends[end] = false; l.ends[1-end] {
			in := w.between(ms, 50*ms)
			if power {
				in = w.between(50*ms, 2000*ms)
			}
			w.notices(o, m, in, func() bool { return true })
		}
	}
	for _, c := range m.calls {
		c.done, c.ended = true, w.now // its caller never hears
		c.result = Result{Kind: faults.Unready, Reason: "no answer"}
	}
	m.calls = nil
}

func (m *machine) keep(x write) {
	m.disk = x.disk
	for _, i := range x.items {
		m.items[i.Key()] = i
	}
	for _, k := range x.gone {
		delete(m.items, k)
	}
}

// syncs writes what has queued, in one go.
func (w *world) syncs(m *machine) {
	if m.syncing != nil || len(m.writes) == 0 || m.hangs {
		return
	}
	batch, life := m.writes, m.life
	m.syncing, m.writes = batch, nil
	w.after(w.between(ms/4, m.slow), func() { w.synced(m, life, batch) })
}

func (w *world) synced(m *machine, life int, batch []write) {
	if !m.up || m.life != life {
		return
	}
	if m.hangs {
		w.after(20*ms, func() { w.synced(m, life, batch) })
		return
	}
	m.syncing = nil
	for _, x := range batch {
		m.keep(x)
	}
	if !w.wrong.early {
		w.inbox(m, life, func() {
			for _, x := range batch {
				w.sends(m, x.synced)
			}
		})
	}
	w.syncs(m)
}

func (w *world) sends(m *machine, all map[string][]Message) {
	for _, ip := range slices.Sorted(maps.Keys(all)) {
		for _, x := range all[ip] {
			w.message(m, w.byIP[ip], x)
		}
	}
}

func (w *world) message(from, to *machine, x Message) {
	if to == nil {
		w.fail("%s sends to nobody: %v", from.ip, x.Kind)
	}
	w.sent[x.Kind]++
	if x.Kind == Accept {
		if l := listIn(x.Value); l.Epoch != 0 {
			w.ahead[x.Number] = append(w.ahead[x.Number], l)
		}
	}
	if w.encoded {
		raw, err := json.Marshal(x)
		if err != nil {
			w.fail("a message can't be encoded: %v", err)
		}
		x = Message{}
		json.Unmarshal(raw, &x)
	}
	if w.wrong.message != nil && !w.wrong.message(w, from, to, &x) {
		return
	}
	if from == to {
		life := from.life
		w.after(0, func() { w.inbox(to, life, func() { w.step(to, Event{From: from.ip, Message: &x}) }) })
		return
	}
	w.carry(from, to, func() { w.step(to, Event{From: from.ip, Message: &x}) })
}

// step is one event of a process, and what comes of it.
func (w *world) step(m *machine, e Event) {
	e.Now, e.Chance = m.clock(w.now), w.draw.Float64()
	life := m.life
	out := m.node.Step(e)
	w.records(m, out)
	w.looks(m)
	if out.Disk != nil {
		x := write{*out.Disk, out.Items, out.Gone, out.Synced}
		if w.wrong.disk != nil {
			w.wrong.disk(&x.disk)
		}
		m.writes = append(m.writes, x)
		w.syncs(m)
		if w.wrong.early {
			w.sends(m, x.synced)
		}
	} else if len(out.Items)+len(out.Gone)+len(out.Synced) > 0 {
		w.fail("%s: something to be synced without a record", m.ip)
	}
	w.sends(m, out.Send)
	for _, a := range out.Answers {
		w.answered(m, a)
	}
	if p := w.says(m); m.life == life && (out.Changed || p != m.status) {
		w.status(m)
	}
}

// records adds to the digest what a process asks for, and what it then is.
func (w *world) records(m *machine, out Effects) {
	if w.effects == nil {
		return
	}
	node := m.node
	w.effects.Add(w.now, m.n, out, node.Applied(), node.Set.Sum(), node.List(), node.Busy(), node.Whole(), node.Member())
}

// looks holds a process against what was ever decided.
func (w *world) looks(m *machine) {
	n, sum := m.node.Applied(), m.node.Set.Sum()
	if n < m.applied {
		w.fail("%s went back from %d to %d", m.ip, m.applied, n)
	}
	m.applied = n
	w.trace = w.trace*1099511628211 ^ n ^ sum ^ uint64(w.now)
	switch {
	case n == 0:
		return
	case n > uint64(len(w.states)+1):
		w.fail("%s has number %d, and nobody has had %d", m.ip, n, n-1)
	case n <= uint64(len(w.states)):
		if s := w.states[n-1]; s.sum != sum {
			w.fail("%s has another set at number %d: %v, first was %v", m.ip, n, m.node.Set.All(), s.items)
		}
		return
	}
	s := state{sum, map[manifest.Key]manifest.Item{}, w.now}
	for _, i := range m.node.Set.All() {
		s.items[i.Key()] = i
	}
	w.states = append(w.states, s)
	delete(w.ahead, n)
	w.tally["numbers"]++
	l := m.node.List()
	raw, _ := json.Marshal(l)
	if was, there := w.lists[l.Epoch]; there && was != string(raw) {
		w.fail("two lists of epoch %d: %s and %s", l.Epoch, was, raw)
	} else if !there {
		w.lists[l.Epoch] = string(raw)
		w.tally["lists"]++
	}
	if n > 1 {
		w.follows(w.states[n-2], s, n)
	}
}

// follows holds one state against the one before.
func (w *world) follows(was, is state, n uint64) {
	for k, i := range was.items {
		if j, there := is.items[k]; !there || j.Version < i.Version || j.Version == i.Version && !j.Same(i) {
			w.fail("at number %d %s follows on %s", n, show(j), show(i))
		}
	}
	// a call stands as a whole
	for k, i := range is.items {
		if !was.items[k].Same(i) {
			w.log("%.3f number %d: %s", float64(w.now)/1e9, n, show(i))
		}
		if i.Dropped || was.items[k].Same(i) { // drops of many calls are alike
			continue
		}
		for _, g := range w.groups {
			if g.order.Kind != orders.Modify || !slices.ContainsFunc(g.order.Items, func(x manifest.Item) bool { return x.Same(i) }) {
				continue
			}
			for _, x := range g.order.Items {
				if !stands(is, x) {
					w.fail("at number %d %s came into force, and %s of the same call did not", n, show(i), show(x))
				}
			}
		}
	}
}

// stands tells whether an item, or a later one in its place, is in a state.
func stands(s state, i manifest.Item) bool {
	now, there := s.items[i.Key()]
	return there && (now.Version > i.Version || now.Same(i))
}

// list is the newest list that was decided.
func (w *world) list() muster.List { return w.listAt(len(w.states)) }

// listAt is the list at a number; before the first, the founders.
func (w *world) listAt(n int) muster.List {
	if n > 0 {
		return muster.Read(w.states[n-1].items[muster.Key])
	}
	l := muster.List{}
	for _, m := range w.machines[:len(w.founders)] {
		l.Members = append(l.Members, muster.Member{IP: m.ip, ID: fmt.Sprintf("d%d", m.n+1)})
	}
	return l
}

// bears tells whether the core can lose a machine's disk: under the list that holds, under any that may yet be decided, and
// under the one before as long as no other disk has the change of it.
func (w *world) bears(m *machine) bool {
	lists := []muster.List{w.list()}
	for _, more := range w.ahead {
		lists = append(lists, more...)
	}
	// who comes in may have been proposed by one that hasn't heard of its loss yet
	come := slices.DeleteFunc(slices.Clone(w.lost), func(x loss) bool { return w.now-x.at > 5*second })
	for _, o := range w.machines {
		if !o.away {
			come = append(come, loss{muster.Member{IP: o.ip, ID: o.disk.ID}, 0})
		}
	}
	all := muster.List{Members: slices.Clone(lists[0].Members)}
	for _, x := range come {
		if !slices.ContainsFunc(all.Members, func(y muster.Member) bool { return y.IP == x.IP }) {
			all.Members = append(all.Members, x.Member)
		}
	}
	lists = append(lists, all)
	for n := len(w.states); n > 0; n-- {
		if slices.ContainsFunc(w.machines, func(o *machine) bool {
			return o != m && !o.away && o.disk.Applied >= uint64(n) && lists[0].Has(o.ip, o.disk.ID)
		}) {
			break
		}
		lists = append(lists, w.listAt(n-1))
	}
	for _, l := range lists {
		n := 0
		for _, x := range l.Members {
			if o := w.byIP[x.IP]; o != m && o.disk.ID == x.ID && !o.away {
				n++
			}
		}
		if n < l.Majority() {
			return false
		}
	}
	return true
}

func show(i manifest.Item) string {
	body := string(i.Body)
	if at := strings.Index(body, `,"host-name`); at > 0 {
		body = body[:at]
	}
	return fmt.Sprintf("%s %s version %d dropped %v %s", i.Kind, i.Name, i.Version, i.Dropped, body)
}
