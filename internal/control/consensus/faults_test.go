package consensus

import (
	"fmt"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

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
