package consensus

import (
	"encoding/json"
	"fmt"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

// machine is a simulated host that runs a control process. Its disk outlives the process.
type machine struct {
	id                  int
	ip, zone, name      string
	clockOffset         int64
	clockRate           float64
	hardState           HardState
	items               map[config.Key]config.Item
	node                *Node
	incarnation         int
	up, frozen, removed bool        // a removed machine stays off unless replaceMachine brings it back
	backlog             []func()    // deferred until the process thaws
	writes, syncing     []diskWrite // queued writes, and those whose sync is running
	maxSync             int64       // maximum duration of a sync, in nanoseconds
	diskHangs           bool
	applied             uint64           // highest applied index seen by checkState
	status              Peer             // the last broadcast status
	frozenAt            int64            // time of the last freeze or thaw
	calls               map[uint64]*call // pending calls, by tag
}

// clock converts simulation time to the machine's monotonic clock, which has its own offset and rate.
func (m *machine) clock(now int64) int64 { return m.clockOffset + int64(float64(now)*m.clockRate) }

// addMachine adds a machine with an empty disk, powered off.
func (sim *simulation) addMachine(zone int) *machine {
	n := len(sim.machines)
	sim.diskIDs++
	m := &machine{
		id:          n,
		ip:          fmt.Sprintf("10.0.%d.%d", zone, n),
		zone:        fmt.Sprintf("z%d", zone),
		name:        fmt.Sprintf("c%d", n),
		clockOffset: sim.between(second, 1000*second),
		clockRate:   0.98 + 0.04*sim.rand.Float64(),
		hardState:   HardState{DiskID: fmt.Sprintf("d%d", sim.diskIDs)},
		items:       map[config.Key]config.Item{},
		maxSync:     sim.maxSync,
	}
	for _, other := range sim.machines {
		l := &link{latency: sim.between(ms/5, 2*ms)}
		if other.zone != m.zone {
			l.latency = sim.between(ms, 40*ms)
		}
		sim.links[[2]int{other.id, n}] = l
	}
	sim.machines = append(sim.machines, m)
	sim.byIP[m.ip] = m
	return m
}

// start starts a new incarnation of a process from the state on its disk.
func (sim *simulation) start(m *machine) {
	if m.up {
		return
	}
	sim.incarnations++
	m.incarnation = sim.incarnations
	m.up = true
	m.frozen = false
	m.removed = false
	m.backlog = nil
	raw, _ := json.Marshal(m.hardState)
	var hardState HardState
	json.Unmarshal(raw, &hardState)
	set := setOf(m.items)
	incarnationName := fmt.Sprintf("%04x.%d", sim.rand.IntN(1<<16), m.incarnation)
	if sim.mutation.sameIncarnation {
		incarnationName = m.ip
	}
	m.node = New(membership.Member{IP: m.ip, Name: m.name, Zone: m.zone}, incarnationName, sim.minPerZone, hardState, set, m.clock(sim.now))
	m.applied = m.node.Applied()
	m.status = Peer{}
	m.calls = map[uint64]*call{}
	sim.checkState(m)
	incarnation := m.incarnation
	sim.after(sim.between(0, 50*ms), func() { sim.scheduleTicks(m, incarnation) })
	sim.after(sim.between(0, 500*ms), func() { sim.scheduleStatus(m, incarnation) })
	for _, other := range sim.machines {
		if other != m {
			sim.connect(m, other)
		}
	}
}

// stop terminates a process. Without a power loss, the writes being synced all reach the disk; with one, a random prefix of them
// does. Queued writes are lost in either case.
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
	for _, other := range sim.machines {
		if other == m {
			continue
		}
		l, end := sim.link(m, other)
		if l.connected[end] = false; l.connected[1-end] {
			in := sim.between(ms, 50*ms)
			if powerLost {
				in = sim.between(50*ms, 2000*ms)
			}
			sim.breakLinkLater(other, m, in, func() bool { return true })
		}
	}
	for _, c := range m.calls {
		c.done, c.endedAt = true, sim.now // the client gets no answer
		c.result = Result{Kind: apierror.Unavailable, Reason: "no answer"}
	}
	m.calls = nil
}

// runOn calls do at a process, or once it thaws if it is frozen. It does nothing if that incarnation has ended.
func (sim *simulation) runOn(m *machine, incarnation int, do func()) {
	switch {
	case !m.up || m.incarnation != incarnation:
	case m.frozen:
		m.backlog = append(m.backlog, do)
	default:
		do()
	}
}

// scheduleTicks sends ticks to a process, at shorter intervals while it is busy.
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

// scheduleStatus broadcasts the status of a process at random intervals.
func (sim *simulation) scheduleStatus(m *machine, incarnation int) {
	sim.runOn(m, incarnation, func() {
		sim.broadcastStatus(m)
		sim.after(sim.between(400*ms, 1000*ms), func() { sim.scheduleStatus(m, incarnation) })
	})
}

func (sim *simulation) broadcastStatus(m *machine) {
	m.status = sim.statusOf(m)
	for _, other := range sim.machines {
		if other != m {
			sim.sendStatus(m, other)
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
