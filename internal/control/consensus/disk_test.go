package consensus

import (
	"portflow/internal/cluster/config"
)

// diskWrite is a write with the messages to send once it is synced.
type diskWrite struct {
	hardState     HardState
	items         []config.Item
	removed       []config.Key
	sendAfterSync map[string][]Message
}

// persist applies a write to the disk.
func (m *machine) persist(x diskWrite) {
	m.hardState = x.hardState
	for _, i := range x.items {
		m.items[i.Key()] = i
	}
	for _, k := range x.removed {
		delete(m.items, k)
	}
}

// startSync starts a sync of all queued writes, unless a sync is in progress or the disk hangs.
func (sim *simulation) startSync(m *machine) {
	if m.syncing != nil || len(m.writes) == 0 || m.diskHangs {
		return
	}
	batch, incarnation := m.writes, m.incarnation
	m.syncing, m.writes = batch, nil
	sim.after(sim.between(ms/4, m.maxSync), func() { sim.finishSync(m, incarnation, batch) })
}

// finishSync completes a sync, sends the messages that waited for it, and starts the next sync. While the disk hangs, it is delayed.
func (sim *simulation) finishSync(m *machine, incarnation int, batch []diskWrite) {
	if !m.up || m.incarnation != incarnation {
		return
	}
	if m.diskHangs {
		sim.after(20*ms, func() { sim.finishSync(m, incarnation, batch) })
		return
	}
	m.syncing = nil
	for _, x := range batch {
		m.persist(x)
	}
	if !sim.mutation.unsynced {
		sim.runOn(m, incarnation, func() {
			for _, x := range batch {
				sim.sendAll(m, x.sendAfterSync)
			}
		})
	}
	sim.startSync(m)
}
