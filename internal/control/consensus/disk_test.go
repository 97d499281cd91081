package consensus

import (
	"portflow/internal/cluster/config"
)

// diskWrite is one synced step of a disk.
type diskWrite struct {
	hardState     HardState
	items         []config.Item
	removed       []config.Key
	sendAfterSync map[string][]Message
}

func (m *machine) persist(x diskWrite) {
	m.hardState = x.hardState
	for _, i := range x.items {
		m.items[i.Key()] = i
	}
	for _, k := range x.removed {
		delete(m.items, k)
	}
}

// startSync writes what has queued, in one go.
func (sim *simulation) startSync(m *machine) {
	if m.syncing != nil || len(m.writes) == 0 || m.diskHung {
		return
	}
	batch, life := m.writes, m.incarnation
	m.syncing, m.writes = batch, nil
	sim.after(sim.between(ms/4, m.maxSync), func() { sim.finishSync(m, life, batch) })
}

func (sim *simulation) finishSync(m *machine, life int, batch []diskWrite) {
	if !m.up || m.incarnation != life {
		return
	}
	if m.diskHung {
		sim.after(20*ms, func() { sim.finishSync(m, life, batch) })
		return
	}
	m.syncing = nil
	for _, x := range batch {
		m.persist(x)
	}
	if !sim.mutation.unsynced {
		sim.runOn(m, life, func() {
			for _, x := range batch {
				sim.sendAll(m, x.sendAfterSync)
			}
		})
	}
	sim.startSync(m)
}
