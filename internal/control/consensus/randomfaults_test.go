package consensus

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

var (
	seeds     = flag.Int("seeds", 0, "how many drawn days are played, 0 for the few of every run")
	firstSeed = flag.Uint64("from", 0, "the first seed")
	verbose   = flag.Bool("tell", false, "every harm and answer is logged")
)

// mutant takes one of the mends out.
type mutant struct {
	first           uint64           // the first seed that is played
	keepID          bool             // a wiped disk comes back as the same member
	unsynced        bool             // what rests on the disk is said before it is synced
	sameIncarnation bool             // two lives of one process use the same ballots
	localReads      bool             // a read is answered by what this process happens to have
	founder         bool             // a wiped disk is one of the founders still
	hardState       func(*HardState) // the record lacks something
	message         func(w *simulation, from, to *machine, x *Message) bool
}

func item(kind, name string, version uint64, body string) config.Item {
	return config.Item{Kind: kind, Name: name, Version: version, Body: []byte(body)}
}

// randomRoute is one whose content nobody else sends.
func (sim *simulation) randomRoute(g, n int, name string, version uint64) config.Item {
	service := "desk"
	if sim.random.IntN(40) == 0 {
		service = "nowhere"
	}
	return item(config.KindRoutes, name, version, fmt.Sprintf(`{"home-regions":["g%d.%d"],"host-name":"%s.example","name":"%s","path-prefix":"/","route-kind":"safe_method","service":"%s","timeout-s":1}`, g, n, name, name, service))
}

func deskOperation() operation.Operation {
	return operation.Operation{Kind: operation.ModifyConfig, Items: []config.Item{item(config.KindServices, "desk", 1, `{"health-path":"/","name":"desk"}`)}}
}

// randomMachine is a process that runs; with calm, one that isn't frozen.
func (sim *simulation) randomMachine() *machine {
	up := slices.DeleteFunc(slices.Clone(sim.machines), func(m *machine) bool { return !m.up })
	if len(up) == 0 {
		return nil
	}
	return up[sim.random.IntN(len(up))]
}

// randomOperation makes a new order.
func (sim *simulation) randomOperation() *operationCopies {
	g := &operationCopies{n: len(sim.groups)}
	switch at := sim.random.IntN(20); {
	case at < 15:
		g.operation.Kind = operation.ModifyConfig
		names := sim.random.Perm(5)[:1+sim.random.IntN(3)]
		if sim.random.IntN(5) > 1 {
			sim.version++
		}
		for n, x := range names {
			i := sim.randomRoute(g.n, n, fmt.Sprintf("r%d", x), sim.version-uint64(min(sim.random.IntN(8), 1)))
			if sim.random.IntN(10) == 0 {
				i.Deleted, i.Body = true, nil
			}
			g.operation.Items = append(g.operation.Items, i)
		}
	case at < 17:
		g.operation = operation.Operation{Kind: operation.Evacuate, Name: fmt.Sprintf("z%d", sim.random.IntN(3)), Active: sim.random.IntN(2) == 0}
	default:
		g.operation = operation.Operation{Kind: operation.BeginRollout, Name: "desk", TargetVersion: fmt.Sprintf("v%d", g.n), Duration: 10 * second, RetryWindow: 10 * second, SubmittedAt: sim.now}
		if sim.random.IntN(3) == 0 && len(sim.states) > 0 {
			g.operation = operation.Operation{Kind: operation.EndRollout, Name: "desk", Expected: sim.rolloutNumber(), Outcome: 2, SubmittedAt: sim.now}
		}
	}
	return g
}

func (sim *simulation) rolloutNumber() uint64 {
	return sim.states[len(sim.states)-1].items[config.Key{Kind: config.KindRollouts, Name: "desk"}].Version / 2
}

// sendsOrder has a caller send an order to a process, or ask it for the set.
func (sim *simulation) call(m *machine, g *operationCopies) *call {
	sim.tags++
	c := &call{tag: sim.tags, copies: g, machine: m, incarnation: m.incarnation, startedAt: sim.now, minIndex: sim.confirmedIndex}
	if g != nil {
		c.operation = &g.operation
		g.calls = append(g.calls, c)
	}
	m.calls[c.tag] = c
	if sim.log("%.3f %s is asked %d", float64(sim.now)/1e9, m.ip, c.tag); g != nil {
		sim.log("  order %d %v", g.n, g.operation)
		for _, i := range g.operation.Items {
			sim.log("    %s", describeItem(i))
		}
	}
	life := m.incarnation
	if sim.mutation.localReads && g == nil {
		sim.runOn(m, life, func() {
			r := Result{Index: m.node.Applied()}
			if r.Index == 0 {
				r.Kind = apierror.Unavailable
			}
			sim.handleAnswer(m, Answer{c.tag, r})
		})
		return c
	}
	sim.runOn(m, life, func() {
		asked := sim.now
		if g == nil {
			sim.step(m, Event{Read: true, Tag: c.tag})
		} else {
			o := g.operation
			sim.step(m, Event{Operation: &o, Tag: c.tag})
		}
		sim.after(requestTimeout+600*ms, func() {
			if !c.done && m.frozenAt < asked {
				sim.failLiveness("%s has held call %d for %.1f s", m.ip, c.tag, float64(sim.now-asked)/1e9)
			}
		})
	})
	return c
}

// handleAnswer is what a caller hears.
func (sim *simulation) handleAnswer(m *machine, a Answer) {
	c := m.calls[a.Tag]
	if c == nil && a.Tag > 1<<32 {
		sim.softFaults["a process answers a call of its own"]++
		return
	}
	if c == nil || c.done {
		sim.fail("%s answers a call that isn't there: %v", m.ip, a)
	}
	c.done, c.result, c.endedAt = true, a.Result, sim.now
	delete(m.calls, a.Tag)
	sim.log("%.3f %s answers %d: %v", float64(sim.now)/1e9, m.ip, a.Tag, a.Result)
	switch a.Result.Kind {
	case apierror.None:
		if a.Result.Index > m.node.Applied() && c.operation == nil {
			sim.fail("%s answers a read with %d, and has %d", m.ip, a.Result.Index, m.node.Applied())
		}
		if a.Result.Index == 0 || a.Result.Index > uint64(len(sim.states)) {
			sim.fail("%s answers call %d with number %d of %d", m.ip, a.Tag, a.Result.Index, len(sim.states))
		}
		if c.operation == nil {
			sim.tally["reads"]++
			if a.Result.Index < c.minIndex {
				sim.fail("%s answers a read that began at %.3f s with number %d, and %d had been told to somebody by then", m.ip, float64(c.startedAt)/1e9, a.Result.Index, c.minIndex)
			}
		} else {
			sim.tally["confirmed"]++
			sim.checkConfirmed(c)
		}
		sim.confirmedIndex = max(sim.confirmedIndex, a.Result.Index)
	case apierror.Conflict:
		sim.tally["conflicts"]++
	case apierror.InProgress:
		sim.tally["underWay"]++
	case apierror.Invalid:
		sim.tally["invalid"]++
	case apierror.Unavailable:
		sim.tally["unready"]++
	default:
		sim.fail("%s answers call %d with %v", m.ip, a.Tag, a.Result)
	}
}

// checkConfirmed looks whether an order stands at the number that its caller was told.
func (sim *simulation) checkConfirmed(c *call) {
	s := sim.states[c.result.Index-1]
	switch o := c.operation; o.Kind {
	case operation.ModifyConfig:
		for _, i := range o.Items {
			if !holds(s, i) {
				sim.fail("call %d is confirmed at number %d, where %s stands and not %s", c.tag, c.result.Index, describeItem(s.items[i.Key()]), describeItem(i))
			}
		}
	case operation.BeginRollout:
		for _, s := range sim.states[:c.result.Index] {
			if strings.Contains(string(s.items[config.Key{Kind: config.KindRollouts, Name: o.Name}].Body), `"`+o.TargetVersion+`"`) {
				return
			}
		}
		sim.fail("call %d began %s to %s, and that was never so", c.tag, o.Name, o.TargetVersion)
	}
}

// checkEvacuations looks whether a zone stays as somebody was told, until somebody else wants it otherwise.
func (sim *simulation) checkEvacuations() {
	var all []*call
	for _, g := range sim.groups {
		if g.operation.Kind == operation.Evacuate {
			all = append(all, g.calls...)
		}
	}
	for _, c := range all {
		if !c.done || c.result.Kind != apierror.None {
			continue
		}
		for n := c.result.Index; n <= uint64(len(sim.states)); n++ {
			i := sim.states[n-1].items[config.Key{Kind: config.KindEvacuations, Name: c.operation.Name}]
			begun := strings.Contains(string(i.Body), "true")
			if begun != c.operation.Active && !slices.ContainsFunc(all, func(d *call) bool {
				return d.operation.Name == c.operation.Name && d.operation.Active == begun && (!d.done || d.result.Kind == apierror.Unavailable || d.endedAt >= c.startedAt)
			}) {
				sim.fail("call %d, which began at %.3f s, had zone %s evacuated %v at number %d, and at number %d it is otherwise, though all who wanted that had ended", c.tag, float64(c.startedAt)/1e9, c.operation.Name, c.operation.Active, c.result.Index, n)
			}
		}
	}
}

// checkOutcomes looks over all that was told, once the day is over.
func (sim *simulation) checkOutcomes() {
	sim.checkEvacuations()
	for _, g := range sim.groups {
		definite, no := len(g.calls) > 0, ""
		for _, c := range g.calls {
			switch {
			case !c.done || c.result.Kind == apierror.None || c.result.Kind == apierror.Unavailable:
				definite = false
			case c.result.Kind == apierror.Conflict:
				no = c.result.Reason
			}
		}
		if !definite && no == "" {
			continue
		}
		for n, s := range sim.states {
			switch g.operation.Kind {
			case operation.ModifyConfig:
				for _, i := range g.operation.Items {
					if !i.Deleted && s.items[i.Key()].Equal(i) {
						sim.fail("call of order %d was refused (%s), and %s of it stands at number %d", g.n, no, describeItem(i), n+1)
					}
				}
			case operation.BeginRollout:
				if strings.Contains(string(s.items[config.Key{Kind: config.KindRollouts, Name: g.operation.Name}].Body), `"target":"`+g.operation.TargetVersion+`"`) {
					sim.fail("order %d, a begin to %s, was refused each time and stands at number %d", g.n, g.operation.TargetVersion, n+1)
				}
			}
		}
	}
}

// injectFault is one, drawn, with its end.
func (sim *simulation) injectFault() {
	m := sim.machines[sim.random.IntN(len(sim.machines))]
	span := sim.between(100*ms, 6*second)
	restart := func(m *machine) func() {
		return func() {
			if !m.removed {
				sim.start(m)
			}
		}
	}
	what := sim.random.IntN(17)
	sim.log("%.3f harm %d at %s", float64(sim.now)/1e9, what, m.ip)
	switch what {
	case 0, 1:
		sim.tally["kills"]++
		sim.stop(m, false)
		sim.after(span, restart(m))
	case 2:
		sim.tally["powers"]++
		sim.stop(m, true)
		sim.after(span, restart(m))
	case 3: // many at once lose their power, sometimes all
		sim.tally["together"]++
		all := sim.random.IntN(3) == 0
		for _, m := range sim.machines {
			if all || sim.random.IntN(2) == 0 {
				sim.stop(m, true)
				sim.after(sim.between(100*ms, 3*second), restart(m))
			}
		}
	case 4, 5:
		if !sim.survivesLoss(m) {
			return
		}
		sim.tally["wipes"]++
		sim.stop(m, true)
		sim.wipeDisk(m)
		sim.after(span/2, restart(m))
	case 6:
		sim.tally["parted"]++
		side := sim.random.Uint64()
		sim.partition(span, func(a, b *machine) bool { return side>>a.n&1 != side>>b.n&1 })
	case 7:
		sim.tally["parted"]++
		sim.partition(span, func(a, b *machine) bool { return a == m || b == m })
	case 8:
		sim.tally["oneWay"]++
		side := sim.random.Uint64()
		sim.partition(span, func(a, b *machine) bool { return side>>a.n&1 != 0 && side>>b.n&1 == 0 })
	case 9:
		sim.tally["oneWay"]++
		out := sim.random.IntN(2) == 0
		sim.partition(span, func(a, b *machine) bool { return out && a == m || !out && b == m })
	case 10:
		sim.tally["slow"]++
		m.maxSync = sim.maxSync + sim.between(10*ms, 400*ms)
		sim.after(span, func() { m.maxSync = sim.maxSync })
	case 11:
		sim.tally["hung"]++
		m.diskHung = true
		sim.after(span, func() { m.diskHung = false; sim.startSync(m) })
	case 12:
		sim.tally["late"]++
		for _, o := range sim.machines {
			if o != m && sim.random.IntN(2) == 0 {
				l, _ := sim.line(m, o)
				l.extraDelay = sim.between(10*ms, 800*ms)
				sim.after(span, func() { l.extraDelay = 0 })
			}
		}
	case 13:
		if !m.up || m.frozen {
			return
		}
		sim.tally["frozen"]++
		sim.freeze(m, span)
	case 15: // all disks hang for a moment, and some lose their power meanwhile
		sim.tally["stalled"]++
		span = sim.between(20*ms, 500*ms)
		for _, m := range sim.machines {
			m.diskHung = true
			sim.after(span, func() { m.diskHung = false; sim.startSync(m) })
			if sim.random.IntN(2) == 0 {
				sim.after(sim.between(0, span+50*ms), func() {
					sim.stop(m, true)
					sim.after(sim.between(0, 200*ms), restart(m))
				})
			}
		}
	case 16: // some lose their power for a moment, one after the other
		sim.tally["blinks"]++
		for range sim.between(2, 6) {
			m := sim.machines[sim.random.IntN(len(sim.machines))]
			sim.after(sim.between(0, 2*second), func() {
				sim.stop(m, true)
				sim.after(sim.between(0, 30*ms), restart(m))
			})
		}
	case 14: // a new machine in the place of one that may come back later
		if m.removed || !sim.survivesLoss(m) || len(sim.machines) > 16 {
			return
		}
		sim.tally["replaced"]++
		sim.stop(m, true)
		m.removed = true
		sim.lostDisks = append(sim.lostDisks, lostDisk{membership.Member{IP: m.ip, ID: m.disk.DiskID}, sim.now})
		next := sim.machine(int(m.zone[1] - '0'))
		sim.after(sim.between(0, 4*second), func() { sim.start(next) })
		if sim.random.IntN(2) == 0 {
			sim.after(sim.between(5*second, 20*second), func() {
				sim.tally["back"]++
				sim.start(m)
			})
		}
	}
}

func (sim *simulation) wipeDisk(m *machine) {
	sim.diskIDs++
	id := fmt.Sprintf("d%d", sim.diskIDs)
	if sim.mutation.keepID {
		id = m.disk.DiskID
	}
	sim.lostDisks = append(sim.lostDisks, lostDisk{membership.Member{IP: m.ip, ID: m.disk.DiskID}, sim.now})
	m.disk, m.items, m.applied = HardState{DiskID: id}, map[config.Key]config.Item{}, 0
	if sim.mutation.founder && slices.Contains(sim.founders, m.ip) {
		m.disk.Founders = sim.founders
	}
}

// partition holds all between two machines, one way, where which says so.
func (sim *simulation) partition(span int64, which func(from, to *machine) bool) {
	var all [][2]*machine
	for _, a := range sim.machines {
		for _, b := range sim.machines {
			if a != b && which(a, b) {
				sim.cutLink(a, b)
				all = append(all, [2]*machine{a, b})
			}
		}
	}
	sim.after(span, func() {
		for _, x := range all {
			sim.healLink(x[0], x[1])
		}
	})
}

func (sim *simulation) freeze(m *machine, span int64) {
	m.frozen, m.frozenAt = true, sim.now
	life := m.incarnation
	for _, o := range sim.machines {
		if o != m {
			sim.noticeLater(o, m, sim.between(second, 2*second), func() bool {
				if !m.frozen || m.incarnation != life {
					return false
				}
				sim.breakLink(m, o)
				return true
			})
		}
	}
	sim.after(span, func() {
		if !m.up || m.incarnation != life {
			return
		}
		m.frozen, m.frozenAt = false, sim.now
		for len(m.backlog) > 0 && m.up && !m.frozen {
			do := m.backlog[0]
			m.backlog = m.backlog[1:]
			do()
		}
	})
}

// simulate plays one seed: a start, harms, calm, and the questions at the end.
func simulate(seed uint64, wrong mutant, log func(string, ...any)) (w *simulation, found *violation) {
	w = newSimulation(seed, wrong)
	if log != nil {
		w.log = log
	}
	return w, w.day()
}

// day plays the seed of a new world.
func (sim *simulation) day() (found *violation) {
	defer func() {
		if x := recover(); x != nil {
			b, ok := x.(*violation)
			if !ok {
				panic(fmt.Sprintf("seed %d: %v", sim.seed, x))
			}
			found = b
		}
	}()
	const harms = 40 * second
	sim.begins(harms)
	sim.run(harms + 6500*ms) // all spans have ended by then
	for _, m := range sim.machines {
		if m.maxSync = 4 * ms; !m.removed {
			sim.start(m)
		}
	}
	sim.run(sim.now + 18*second)
	if sim.neverBootstrapped() { // what operators do then, with nothing lost
		sim.tally["founded anew"]++
		for _, m := range sim.machines {
			if sim.stop(m, false); slices.Contains(sim.founders, m.ip) && !m.removed {
				sim.wipeDisk(m)
				m.disk.Founders = sim.founders
			}
		}
		for _, m := range sim.machines {
			if !m.removed {
				sim.start(m)
			}
		}
		sim.run(sim.now + 18*second)
	}
	sim.checkLiveness()
	sim.checkOutcomes()
	for _, m := range sim.machines {
		sim.collectCounts(m)
	}
	return nil
}

// begins has the processes start, and harms and calls come until a time.
func (sim *simulation) begins(harms int64) {
	for n, m := range sim.machines {
		if n > len(sim.machines)/2 && sim.random.IntN(4) == 0 { // it comes late
			sim.after(sim.between(0, 20*second), func() { sim.start(m) })
			continue
		}
		sim.after(sim.between(0, 2*second), func() { sim.start(m) })
	}
	first := &operationCopies{operation: deskOperation()}
	sim.groups = append(sim.groups, first)
	sim.after(3*second, func() { sim.submitRepeatedly(first, 20) })
	pace := sim.between(200*ms, 3*second)
	var hurts, asks func()
	hurts = func() {
		if sim.now < harms {
			sim.injectFault()
			sim.after(sim.between(0, 2*pace), hurts)
		}
	}
	asks = func() {
		if sim.now < harms {
			sim.randomCalls()
			sim.after(sim.between(0, 400*ms), asks)
		}
	}
	sim.after(sim.between(0, 4*second), hurts)
	sim.after(3*second, asks)
}

// neverBootstrapped tells that the first list was voted on and lacks a majority for good: a founder's disk was lost within the round
// trip, while another one was not heard. Anything else that keeps a core from its beginning is a fault, and so is an order
// that was confirmed by then.
func (sim *simulation) neverBootstrapped() bool {
	if len(sim.states) > 0 || sim.confirmedIndex > 0 || sim.tally["confirmed"] > 0 {
		return false
	}
	for _, m := range sim.machines {
		l, n := membershipIn(m.disk.AcceptedValue), 0
		for _, x := range l.Members {
			if o := sim.byIP[x.IP]; o.up && o.disk.DiskID == x.ID {
				n++
			}
		}
		if m.up && m.disk.AcceptedIndex == 1 && l.Epoch == 1 && n < l.Majority() {
			return true
		}
	}
	return false
}

// submitRepeatedly sends an order, and once more as long as it isn't confirmed.
func (sim *simulation) submitRepeatedly(g *operationCopies, times int) {
	m := sim.randomMachine()
	if m == nil || times == 0 {
		return
	}
	c := sim.call(m, g)
	sim.after(3500*ms, func() {
		if !c.done || c.result.Kind == apierror.Unavailable {
			sim.submitRepeatedly(g, times-1)
		}
	})
}

// randomCalls is one call of operators, or some at once.
func (sim *simulation) randomCalls() {
	m := sim.randomMachine()
	if m == nil {
		return
	}
	switch at := sim.random.IntN(10); {
	case at < 3:
		sim.call(m, nil)
	case at < 5 && len(sim.groups) > 3: // one of before, once more
		sim.call(m, sim.groups[len(sim.groups)-1-sim.random.IntN(min(len(sim.groups), 30))])
	default:
		g := sim.randomOperation()
		sim.groups = append(sim.groups, g)
		sim.submitRepeatedly(g, 1+sim.random.IntN(3))
		if sim.random.IntN(4) == 0 { // also elsewhere, at once
			sim.call(sim.randomMachine(), g)
		}
		if sim.random.IntN(4) == 0 { // a rival
			r := sim.randomOperation()
			sim.groups = append(sim.groups, r)
			sim.call(sim.randomMachine(), r)
		}
	}
}

// checkLiveness asks what must be so once nothing has harmed for long.
func (sim *simulation) checkLiveness() {
	up := slices.DeleteFunc(slices.Clone(sim.machines), func(m *machine) bool { return !m.up })
	all := func(what string) string {
		s := what
		for _, m := range sim.machines {
			s += fmt.Sprintf("\n%s %s up %v: %v, disk %v %v at %d, waits %d, reads %d, voted for %v", m.ip, m.node.HardState().DiskID, m.up, m.node, m.node.HardState().Promised, m.node.HardState().Accepted, m.node.HardState().AcceptedIndex, len(m.node.pending), len(m.node.reads), membershipIn(m.node.HardState().AcceptedValue))
		}
		return s + fmt.Sprintf("\n%v", sim.membership())
	}
	if len(sim.states) == 0 {
		sim.failLiveness("%s", all("the core never began"))
	}
	for _, m := range up {
		switch {
		case m.node.Applied() != uint64(len(sim.states)):
			sim.failLiveness(all("%s is not at number %d"), m.ip, len(sim.states))
		case !m.node.CaughtUp():
			sim.failLiveness(all("%s is not whole"), m.ip)
		}
	}
	// the members live, and each zone has as many of them as there are to be, or all that live there; others stand by
	count, live := map[string]int{}, map[string]int{}
	for _, m := range up {
		if live[m.zone]++; m.node.IsMember() {
			count[m.zone]++
		}
	}
	for _, x := range sim.membership().Members {
		if m := sim.byIP[x.IP]; !m.up || m.disk.DiskID != x.ID {
			sim.failLiveness(all("member %s %s doesn't live"), x.IP, x.ID)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(live)) {
		if count[zone] < min(live[zone], sim.perZone) {
			sim.failLiveness(all("zone %s has %d members, and %d live there"), zone, count[zone], live[zone])
		}
	}
	sim.call(up[0], sim.groups[0]) // the service stands from here on, as is looked at below
	sim.run(sim.now + second)
	for _, m := range up {
		g := &operationCopies{n: len(sim.groups)}
		g.operation = operation.Operation{Kind: operation.ModifyConfig}
		sim.version++
		g.operation.Items = []config.Item{item(config.KindRoutes, fmt.Sprintf("q%d", m.n), sim.version, fmt.Sprintf(`{"host-name":"q%d.example","name":"q%d","path-prefix":"/","route-kind":"safe_method","service":"desk","timeout-s":1}`, m.n, m.n))}
		sim.groups = append(sim.groups, g)
		c, r := sim.call(m, g), sim.call(m, nil)
		sim.run(sim.now + second)
		if !c.done || c.result.Kind != apierror.None {
			sim.failLiveness(all("in the calm %s has not confirmed an order within 1 s: %v"), m.ip, c.result)
		}
		if !r.done || r.result.Kind != apierror.None {
			sim.failLiveness(all("in the calm %s has not answered a read within 1 s: %v"), m.ip, r.result)
		}
	}
}

// simulateMany plays many seeds, at most three at a time.
func simulateMany(first uint64, n int, wrong mutant, each func(seed uint64, w *simulation, found *violation) bool) {
	var next atomic.Int64
	var lock sync.Mutex
	var all sync.WaitGroup
	var stop atomic.Bool
	for range min(3, runtime.GOMAXPROCS(0)) {
		all.Go(func() {
			for !stop.Load() {
				at := next.Add(1) - 1
				if at >= int64(n) {
					return
				}
				w, found := simulate(first+uint64(at), wrong, nil)
				lock.Lock()
				if !each(first+uint64(at), w, found) {
					stop.Store(true)
				}
				lock.Unlock()
			}
		})
	}
	all.Wait()
}

// Drawn days: whatever is killed, wiped, cut, slow, late, frozen or replaced, one value a number, nothing confirmed is lost,
// nothing refused comes into force, reads are as of now, and after the harms all goes on by itself.
func TestRandomFaults(t *testing.T) {
	n := cmp.Or(*seeds, fewDays)
	if *verbose {
		if _, found := simulate(*firstSeed, mutant{}, t.Logf); found != nil {
			t.Error(found)
		}
		return
	}
	sum, soft := counters{}, counters{}
	bad := map[uint64]string{}
	kinds := map[string]int{}
	simulateMany(*firstSeed, n, mutant{}, func(seed uint64, w *simulation, found *violation) bool {
		sum.add(w.tally)
		soft.add(w.softFaults)
		if found != nil {
			bad[seed] = found.what
			kinds[withoutFigures(found.what)]++
		}
		return true
	})
	for _, seed := range slices.Sorted(maps.Keys(bad)) {
		if len(bad) <= 12 || kinds[withoutFigures(bad[seed])] >= 0 {
			t.Errorf("seed %d: %s", seed, bad[seed])
			kinds[withoutFigures(bad[seed])] = -1
		}
	}
	for what, n := range soft {
		t.Errorf("%s: %d times", what, n)
	}
	t.Logf("%d seeds, %d with faults: %v", n, len(bad), sum)
}

// withoutFigures is a fault without its figures.
func withoutFigures(s string) string {
	s, _, _ = strings.Cut(s, "\n")
	_, s, _ = strings.Cut(s, ": ")
	return strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r == '.' {
			return -1
		}
		return r
	}, s[:min(len(s), 60)])
}
