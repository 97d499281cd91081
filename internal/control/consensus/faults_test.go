package consensus

import (
	"fmt"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

// maxMachines is the number of machines in a simulation above which none is replaced by a new one.
const maxMachines = 16

// faults are the faults that may be injected, each entry with equal probability. A fault at a single machine affects m. span is the
// duration of a fault, in nanoseconds.
var faults = [...]func(sim *simulation, m *machine, span int64){
	(*simulation).kill,
	(*simulation).kill,
	(*simulation).cutPower,
	(*simulation).cutPowerOfMany,
	(*simulation).loseDisk,
	(*simulation).loseDisk,
	(*simulation).splitInTwo,
	(*simulation).isolate,
	(*simulation).splitOneWay,
	(*simulation).isolateOneWay,
	(*simulation).slowDisk,
	(*simulation).hangDisk,
	(*simulation).delayMessages,
	(*simulation).freezeRunning,
	(*simulation).replaceMachine,
	(*simulation).hangAllDisks,
	(*simulation).cutPowerInTurn,
}

// injectFault injects a random fault at a random machine. The fault ends by itself.
func (sim *simulation) injectFault() {
	m := sim.machines[sim.rand.IntN(len(sim.machines))]
	span := sim.between(100*ms, 6*second)
	fault := sim.rand.IntN(len(faults))
	sim.log("%.3f fault %d at %s", float64(sim.now)/1e9, fault, m.ip)
	faults[fault](sim, m, span)
}

// restartAfter starts a machine after a delay, unless it is removed by then.
func (sim *simulation) restartAfter(m *machine, delay int64) {
	sim.after(delay, func() {
		if !m.removed {
			sim.start(m)
		}
	})
}

func (sim *simulation) kill(m *machine, span int64) {
	sim.tally["kills"]++
	sim.stop(m, false)
	sim.restartAfter(m, span)
}

func (sim *simulation) cutPower(m *machine, span int64) {
	sim.tally["powers"]++
	sim.stop(m, true)
	sim.restartAfter(m, span)
}

// cutPowerOfMany cuts the power of about half of the machines at once, sometimes of all.
func (sim *simulation) cutPowerOfMany(_ *machine, _ int64) {
	sim.tally["together"]++
	all := sim.rand.IntN(3) == 0
	for _, m := range sim.machines {
		if all || sim.rand.IntN(2) == 0 {
			sim.stop(m, true)
			sim.restartAfter(m, sim.between(100*ms, 3*second))
		}
	}
}

// cutPowerInTurn briefly cuts the power of a few machines at random times within two seconds.
func (sim *simulation) cutPowerInTurn(_ *machine, _ int64) {
	sim.tally["blinks"]++
	for range sim.between(2, 6) {
		m := sim.machines[sim.rand.IntN(len(sim.machines))]
		sim.after(sim.between(0, 2*second), func() {
			sim.stop(m, true)
			sim.restartAfter(m, sim.between(0, 30*ms))
		})
	}
}

func (sim *simulation) loseDisk(m *machine, span int64) {
	if !sim.survivesLoss(m) {
		return
	}
	sim.tally["wipes"]++
	sim.stop(m, true)
	sim.wipeDisk(m)
	sim.restartAfter(m, span/2)
}

// wipeDisk replaces the disk of a machine by an empty one with a new ID.
func (sim *simulation) wipeDisk(m *machine) {
	sim.diskIDs++
	id := fmt.Sprintf("d%d", sim.diskIDs)
	if sim.mutation.keepID {
		id = m.hardState.DiskID
	}
	sim.recordLostDisk(m)
	m.hardState = HardState{DiskID: id}
	m.items = map[config.Key]config.Item{}
	m.applied = 0
	if sim.mutation.keepFounders && slices.Contains(sim.founders, m.ip) {
		m.hardState.Founders = sim.founders
	}
}

func (sim *simulation) recordLostDisk(m *machine) {
	sim.lostDisks = append(sim.lostDisks, lostDisk{membership.Member{IP: m.ip, ID: m.hardState.DiskID}, sim.now})
}

// replaceMachine removes a machine and starts a new one in its zone. The removed machine may come back later.
func (sim *simulation) replaceMachine(m *machine, _ int64) {
	if m.removed || !sim.survivesLoss(m) || len(sim.machines) > maxMachines {
		return
	}
	sim.tally["replaced"]++
	sim.stop(m, true)
	m.removed = true
	sim.recordLostDisk(m)
	next := sim.addMachine(int(m.zone[1] - '0'))
	sim.after(sim.between(0, 4*second), func() { sim.start(next) })
	if sim.rand.IntN(2) == 0 {
		sim.after(sim.between(5*second, 20*second), func() {
			sim.tally["back"]++
			sim.start(m)
		})
	}
}

// splitInTwo partitions the network into two random sets of machines.
func (sim *simulation) splitInTwo(_ *machine, span int64) {
	sim.tally["parted"]++
	side := sim.rand.Uint64()
	sim.partition(span, func(a, b *machine) bool { return side>>a.id&1 != side>>b.id&1 })
}

func (sim *simulation) isolate(m *machine, span int64) {
	sim.tally["parted"]++
	sim.partition(span, func(a, b *machine) bool { return a == m || b == m })
}

// splitOneWay blocks all messages from one random set of machines to the others, but not in the other direction.
func (sim *simulation) splitOneWay(_ *machine, span int64) {
	sim.tally["oneWay"]++
	side := sim.rand.Uint64()
	sim.partition(span, func(a, b *machine) bool { return side>>a.id&1 != 0 && side>>b.id&1 == 0 })
}

// isolateOneWay blocks all messages from a machine, or all messages to it.
func (sim *simulation) isolateOneWay(m *machine, span int64) {
	sim.tally["oneWay"]++
	outgoing := sim.rand.IntN(2) == 0
	sim.partition(span, func(a, b *machine) bool { return outgoing && a == m || !outgoing && b == m })
}

// partition cuts the links for which isCut is true, and heals them after span.
func (sim *simulation) partition(span int64, isCut func(from, to *machine) bool) {
	var cut [][2]*machine
	for _, from := range sim.machines {
		for _, to := range sim.machines {
			if from != to && isCut(from, to) {
				sim.cutLink(from, to)
				cut = append(cut, [2]*machine{from, to})
			}
		}
	}
	sim.after(span, func() {
		for _, pair := range cut {
			sim.healLink(pair[0], pair[1])
		}
	})
}

// delayMessages delays the messages between a machine and about half of the others.
func (sim *simulation) delayMessages(m *machine, span int64) {
	sim.tally["late"]++
	for _, other := range sim.machines {
		if other != m && sim.rand.IntN(2) == 0 {
			l, _ := sim.link(m, other)
			l.extraDelay = sim.between(10*ms, 800*ms)
			sim.after(span, func() { l.extraDelay = 0 })
		}
	}
}

func (sim *simulation) slowDisk(m *machine, span int64) {
	sim.tally["slow"]++
	m.maxSync = sim.maxSync + sim.between(10*ms, 400*ms)
	sim.after(span, func() { m.maxSync = sim.maxSync })
}

func (sim *simulation) hangDisk(m *machine, span int64) {
	sim.tally["disk hangs"]++
	sim.hangDiskFor(m, span)
}

func (sim *simulation) hangDiskFor(m *machine, span int64) {
	m.diskHangs = true
	sim.after(span, func() {
		m.diskHangs = false
		sim.startSync(m)
	})
}

// hangAllDisks makes all disks hang briefly, and cuts the power of about half of the machines around that time.
func (sim *simulation) hangAllDisks(_ *machine, _ int64) {
	sim.tally["stalled"]++
	span := sim.between(20*ms, 500*ms)
	for _, m := range sim.machines {
		sim.hangDiskFor(m, span)
		if sim.rand.IntN(2) == 0 {
			sim.after(sim.between(0, span+50*ms), func() {
				sim.stop(m, true)
				sim.restartAfter(m, sim.between(0, 200*ms))
			})
		}
	}
}

func (sim *simulation) freezeRunning(m *machine, span int64) {
	if !m.up || m.frozen {
		return
	}
	sim.tally["frozen"]++
	sim.freeze(m, span)
}

// freeze suspends a process: it handles nothing until it thaws, and then everything that has arrived meanwhile. Its peers close their
// connections to it after a while.
func (sim *simulation) freeze(m *machine, span int64) {
	m.frozen, m.frozenAt = true, sim.now
	incarnation := m.incarnation
	for _, other := range sim.machines {
		if other == m {
			continue
		}
		sim.breakLinkLater(other, m, sim.between(second, 2*second), func() bool {
			if !m.frozen || m.incarnation != incarnation {
				return false
			}
			sim.breakLink(m, other)
			return true
		})
	}
	sim.after(span, func() {
		if m.up && m.incarnation == incarnation {
			m.thaw(sim.now)
		}
	})
}

// thaw resumes a frozen process, which then handles everything that has arrived meanwhile.
func (m *machine) thaw(now int64) {
	m.frozen, m.frozenAt = false, now
	for len(m.backlog) > 0 && m.up && !m.frozen {
		do := m.backlog[0]
		m.backlog = m.backlog[1:]
		do()
	}
}
