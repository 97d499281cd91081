package consensus

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	tracedigest "portflow/internal/testing/digest"
)

// counters are event counts by name.
type counters map[string]int64

func (c counters) add(o counters) {
	for k, n := range o {
		c[k] += n
	}
}

// collectCounts adds the counters of a running process to the tally.
func (sim *simulation) collectCounts(m *machine) {
	if m.node != nil && m.up {
		c := m.node.Counts
		sim.tally.add(counters{"prepared": c.Prepared, "proposed": c.Proposed, "beaten": c.Beaten, "handed": c.Handed, "fetches": c.Fetches, "cuts": c.Cuts, "taken over": c.TakenOver})
	}
}

// simulation runs control processes in virtual time, with machines, disks, links and their faults. All randomness comes from one seed,
// so that a run is reproducible. For each Node it only carries out the Effects, in their order.
type simulation struct {
	seed           uint64
	rand           *rand.Rand
	now            int64
	seq            int64
	tasks          tasks
	machines       []*machine
	byIP           map[string]*machine
	links          map[[2]int]*link
	minPerZone     int
	founders       []string
	encodeMessages bool // messages are encoded and decoded in transit
	mutation       mutant
	incarnations   int    // number of incarnations started, of all machines
	diskIDs        int    // number of disk IDs assigned
	tags           uint64 // the last tag assigned to a call

	states              []decidedState               // states[i] is the state at index i+1
	membershipByEpoch   map[uint64]string            // encoded member lists
	proposedMemberships map[uint64][]membership.List // member lists that were proposed and may still be decided, by index
	operations          []*operationCopies
	confirmedIndex      uint64 // the highest index in an answer to a client
	version             uint64 // the highest version given to an item
	tally               counters
	lostDisks           []lostDisk
	maxSync             int64    // maximum duration of a sync of a disk without a fault, in nanoseconds
	nonfatalViolations  counters // violations that do not end the run
	sent                map[MessageKind]int
	trace               uint64 // hash of the states of all processes over time
	log                 func(string, ...any)
	digest              *tracedigest.Digest // digest of all effects; nil if they are not recorded
}

// lostDisk is a member that lost its disk, and the time of the loss.
type lostDisk struct {
	membership.Member
	at int64
}

// newSimulation returns a simulation of 3 to 9 machines in three zones, all of them founders and powered off.
func newSimulation(seed uint64, mutation mutant) *simulation {
	sim := &simulation{
		seed:                seed,
		rand:                rand.New(rand.NewPCG(seed, 41)),
		byIP:                map[string]*machine{},
		links:               map[[2]int]*link{},
		encodeMessages:      seed%8 == 3,
		mutation:            mutation,
		membershipByEpoch:   map[uint64]string{},
		proposedMemberships: map[uint64][]membership.List{},
		version:             1,
		tally:               counters{},
		nonfatalViolations:  counters{},
		sent:                map[MessageKind]int{},
		log:                 func(string, ...any) {},
	}
	sim.maxSync = []int64{4 * ms, 4 * ms, 40 * ms, 300 * ms}[sim.rand.IntN(4)]
	size := 3 + sim.rand.IntN(7)
	sim.minPerZone = max(1, size/3)
	for n := range size {
		sim.founders = append(sim.founders, fmt.Sprintf("10.0.%d.%d", n%3, n))
	}
	slices.Sort(sim.founders)
	for n := range size {
		m := sim.addMachine(n % 3)
		m.hardState.Founders = sim.founders
	}
	return sim
}

// compareKeys orders keys by kind and name.
func compareKeys(a, b config.Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// sendAll sends messages, ordered by receiver so that runs are reproducible.
func (sim *simulation) sendAll(m *machine, all map[string][]Message) {
	for _, ip := range slices.Sorted(maps.Keys(all)) {
		for _, x := range all[ip] {
			sim.send(m, sim.byIP[ip], x)
		}
	}
}

// send sends a message, unless the mutation drops it. A message to the process itself arrives without delay.
func (sim *simulation) send(from, to *machine, message Message) {
	if to == nil {
		sim.fail("%s sends to an unknown address: %v", from.ip, message.Kind)
	}
	sim.sent[message.Kind]++
	if message.Kind == Accept {
		if l := membershipIn(message.Value); l.Epoch != 0 {
			sim.proposedMemberships[message.Index] = append(sim.proposedMemberships[message.Index], l)
		}
	}
	if sim.encodeMessages {
		raw, err := json.Marshal(message)
		if err != nil {
			sim.fail("encoding a message: %v", err)
		}
		message = Message{}
		json.Unmarshal(raw, &message)
	}
	if sim.mutation.message != nil && !sim.mutation.message(sim, from, to, &message) {
		return
	}
	if from == to {
		incarnation := from.incarnation
		sim.after(0, func() { sim.runOn(to, incarnation, func() { sim.step(to, Event{From: from.ip, Message: &message}) }) })
		return
	}
	sim.deliver(from, to, func() { sim.step(to, Event{From: from.ip, Message: &message}) })
}

// step has a process handle an event and carries out its effects.
func (sim *simulation) step(m *machine, e Event) {
	e.Now, e.Random = m.clock(sim.now), sim.rand.Float64()
	incarnation := m.incarnation
	effects := m.node.Step(e)
	sim.recordEffects(m, effects)
	sim.checkState(m)
	if effects.HardState != nil {
		pendingWrite := diskWrite{*effects.HardState, effects.SaveItems, effects.DeleteKeys, effects.SendAfterSync}
		if sim.mutation.hardState != nil {
			sim.mutation.hardState(&pendingWrite.hardState)
		}
		m.writes = append(m.writes, pendingWrite)
		sim.startSync(m)
		if sim.mutation.unsynced {
			sim.sendAll(m, pendingWrite.sendAfterSync)
		}
	} else if len(effects.SaveItems)+len(effects.DeleteKeys)+len(effects.SendAfterSync) > 0 {
		sim.fail("%s: items, deletions or messages to be synced without a hard state", m.ip)
	}
	sim.sendAll(m, effects.Send)
	for _, a := range effects.Answers {
		sim.handleAnswer(m, a)
	}
	if p := sim.statusOf(m); m.incarnation == incarnation && (effects.Changed || p != m.status) {
		sim.broadcastStatus(m)
	}
}

// recordEffects adds the effects of a step and the resulting state of the process to the digest.
func (sim *simulation) recordEffects(m *machine, out Effects) {
	if sim.digest == nil {
		return
	}
	node := m.node
	sim.digest.Add(sim.now, m.id, out, node.Applied(), node.Set.Checksum(), node.Membership(), node.Busy(), node.CaughtUp(), node.IsMember())
}
