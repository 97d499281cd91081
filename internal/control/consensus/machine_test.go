package consensus

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

// machine is a process with its disk. A machine that is off for good may still be switched on again.
type machine struct {
	id                  int
	ip, zone, name      string
	clockOffset         int64
	clockRate           float64
	hardState           HardState
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

func (m *machine) clock(now int64) int64 { return m.clockOffset + int64(float64(now)*m.clockRate) }

// addMachine adds a machine that is off and has an empty disk.
func (sim *simulation) addMachine(zone int) *machine {
	n := len(sim.machines)
	sim.diskIDs++
	m := &machine{id: n, hardState: HardState{DiskID: fmt.Sprintf("d%d", sim.diskIDs)}, ip: fmt.Sprintf("10.0.%d.%d", zone, n), zone: fmt.Sprintf("z%d", zone), name: fmt.Sprintf("c%d", n),
		clockOffset: sim.between(second, 1000*second), clockRate: 0.98 + 0.04*sim.rand.Float64(), maxSync: sim.maxSync, items: map[config.Key]config.Item{}}
	for _, o := range sim.machines {
		l := &link{latency: sim.between(ms/5, 2*ms)}
		if o.zone != m.zone {
			l.latency = sim.between(ms, 40*ms)
		}
		sim.links[[2]int{o.id, n}] = l
	}
	sim.machines, sim.byIP[m.ip] = append(sim.machines, m), m
	return m
}

// start starts a process with what the disk holds.
func (sim *simulation) start(m *machine) {
	if m.up {
		return
	}
	sim.incarnations++
	m.incarnation, m.up, m.frozen, m.removed, m.backlog = sim.incarnations, true, false, false, nil
	raw, _ := json.Marshal(m.hardState)
	var hardState HardState
	json.Unmarshal(raw, &hardState)
	set := config.NewSet()
	for _, k := range slices.SortedFunc(maps.Keys(m.items), compareKeys) {
		set.Merge(m.items[k])
	}
	incarnationName := fmt.Sprintf("%04x.%d", sim.rand.IntN(1<<16), m.incarnation)
	if sim.mutation.sameIncarnation {
		incarnationName = m.ip
	}
	m.node = New(membership.Member{IP: m.ip, Name: m.name, Zone: m.zone}, incarnationName, sim.minPerZone, hardState, set, m.clock(sim.now))
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

// stop ends a process; without power its disk keeps what was synced, and perhaps some of what was being synced.
func (sim *simulation) stop(m *machine, powerLost bool) {
	if !m.up {
		return
	}
	sim.collectCounts(m)
	m.up, m.frozen, m.backlog = false, false, nil
	n := len(m.syncing)
	if powerLost {
		n = sim.rand.IntN(n + 1)
	}
	for _, pendingWrite := range m.syncing[:n] {
		m.persist(pendingWrite)
	}
	m.syncing, m.writes = nil, nil
	for _, o := range sim.machines {
		if o == m {
			continue
		}
		l, end := sim.link(m, o)
		if l.connected[end] = false; l.connected[1-end] {
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
