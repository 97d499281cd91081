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
)

var (
	seeds     = flag.Int("seeds", 0, "how many seeds are played, 0 for those of every run")
	firstSeed = flag.Uint64("from", 0, "the first seed")
	verbose   = flag.Bool("tell", false, "one seed is played, and every fault and answer is logged")
)

// mutant breaks one of the rules that safety depends on. The zero value breaks none.
type mutant struct {
	firstSeed       uint64           // the first seed to run
	keepID          bool             // a wiped disk keeps its ID
	unsynced        bool             // messages that depend on a write are sent before it is synced
	sameIncarnation bool             // all incarnations of a process use the same ballots
	localReads      bool             // reads return the index that the process has applied, without querying others
	keepFounders    bool             // the wiped disk of a founder still lists the founders
	hardState       func(*HardState) // modifies what is written to disk
	// message modifies a message before it is sent; if it returns false, the message is dropped.
	message func(sim *simulation, from, to *machine, m *Message) bool
}

// simulate runs one seed: starts, faults, a period without faults, and the final checks. It returns the violation found, if any.
func simulate(seed uint64, mutation mutant, log func(string, ...any)) (sim *simulation, found *violation) {
	sim = newSimulation(seed, mutation)
	if log != nil {
		sim.log = log
	}
	return sim, sim.play()
}

// play runs a new simulation to its end, or to the first violation.
func (sim *simulation) play() (found *violation) {
	defer func() {
		switch reason := recover().(type) {
		case nil:
		case *violation:
			found = reason
		default:
			panic(fmt.Sprintf("seed %d: %v", sim.seed, reason))
		}
	}()
	const faultsEnd, settleTime = 40 * second, 18 * second
	sim.scheduleAll(faultsEnd)
	sim.run(faultsEnd + 6500*ms) // all faults have ended, but replaced machines may still return
	for _, m := range sim.machines {
		m.maxSync = 4 * ms
	}
	sim.startAll()
	sim.run(sim.now + settleTime)
	if sim.bootstrapIsBlocked() {
		sim.bootstrapAgain()
		sim.run(sim.now + settleTime)
	}
	sim.checkLiveness()
	sim.checkOutcomes()
	for _, m := range sim.machines {
		sim.collectCounts(m)
	}
	return nil
}

func (sim *simulation) startAll() {
	for _, m := range sim.machines {
		if !m.removed {
			sim.start(m)
		}
	}
}

// bootstrapAgain does what operators do if the first epoch can no longer be decided: it restarts the founders with empty disks. Nothing
// is lost, as nothing was confirmed.
func (sim *simulation) bootstrapAgain() {
	sim.tally["bootstrapped again"]++
	for _, m := range sim.machines {
		sim.stop(m, false)
		if slices.Contains(sim.founders, m.ip) && !m.removed {
			sim.wipeDisk(m)
			m.hardState.Founders = sim.founders
		}
	}
	sim.startAll()
}

// scheduleAll schedules the starts of the processes, and random faults and calls until faultsEnd.
func (sim *simulation) scheduleAll(faultsEnd int64) {
	for n, m := range sim.machines {
		if n > len(sim.machines)/2 && sim.rand.IntN(4) == 0 { // a late start
			sim.after(sim.between(0, 20*second), func() { sim.start(m) })
			continue
		}
		sim.after(sim.between(0, 2*second), func() { sim.start(m) })
	}
	first := &operationCopies{operation: deskOperation()}
	sim.operations = append(sim.operations, first)
	sim.after(3*second, func() { sim.submitRepeatedly(first, 20) })
	pace := sim.between(200*ms, 3*second)
	var injectFaults, makeCalls func()
	injectFaults = func() {
		if sim.now < faultsEnd {
			sim.injectFault()
			sim.after(sim.between(0, 2*pace), injectFaults)
		}
	}
	makeCalls = func() {
		if sim.now < faultsEnd {
			sim.randomCalls()
			sim.after(sim.between(0, 400*ms), makeCalls)
		}
	}
	sim.after(sim.between(0, 4*second), injectFaults)
	sim.after(3*second, makeCalls)
}

// bootstrapIsBlocked reports whether a process has voted for first members that permanently lack a majority: while they were being
// voted on, a founder lost its disk and another founder was not connected. Any other reason why the first epoch is not decided is
// a violation, and so is an operation that was confirmed by then.
func (sim *simulation) bootstrapIsBlocked() bool {
	if len(sim.states) > 0 || sim.confirmedIndex > 0 || sim.tally["confirmed"] > 0 {
		return false
	}
	for _, m := range sim.machines {
		list, count := membershipIn(m.hardState.AcceptedValue), 0
		for _, member := range list.Members {
			if other := sim.byIP[member.IP]; other.up && other.hardState.DiskID == member.ID {
				count++
			}
		}
		if m.up && m.hardState.AcceptedIndex == 1 && list.Epoch == 1 && count < list.Majority() {
			return true
		}
	}
	return false
}

// simulateMany runs n seeds, at most three in parallel, until each returns false. Calls of each do not overlap. It returns when all
// runs have ended.
func simulateMany(first uint64, n int, mutation mutant, each func(seed uint64, sim *simulation, found *violation) bool) {
	var next atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	var stop atomic.Bool
	for range min(3, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for !stop.Load() {
				at := next.Add(1) - 1
				if at >= int64(n) {
					return
				}
				sim, found := simulate(first+uint64(at), mutation, nil)
				mu.Lock()
				if !each(first+uint64(at), sim, found) {
					stop.Store(true)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// Random faults of processes, disks and links violate no invariant: each index has one value, confirmed operations are not lost,
// rejected ones have no effect, reads are linearizable, and after the last fault the cluster makes progress without an operator.
func TestRandomFaults(t *testing.T) {
	n := cmp.Or(*seeds, defaultSeeds)
	if *verbose {
		if _, found := simulate(*firstSeed, mutant{}, t.Logf); found != nil {
			t.Error(found)
		}
		return
	}
	total, nonfatal := counters{}, counters{}
	violations := map[uint64]string{}
	kinds := map[string]int{}
	simulateMany(*firstSeed, n, mutant{}, func(seed uint64, sim *simulation, found *violation) bool {
		total.add(sim.tally)
		nonfatal.add(sim.nonfatalViolations)
		if found != nil {
			violations[seed] = found.message
			kinds[withoutNumbers(found.message)]++
		}
		return true
	})
	for _, seed := range slices.Sorted(maps.Keys(violations)) {
		if len(violations) <= 12 || kinds[withoutNumbers(violations[seed])] >= 0 {
			t.Errorf("seed %d: %s", seed, violations[seed])
			kinds[withoutNumbers(violations[seed])] = -1
		}
	}
	for description, n := range nonfatal {
		t.Errorf("%s: %d times", description, n)
	}
	t.Logf("%d seeds, %d with violations: %v", n, len(violations), total)
}

// withoutNumbers returns the start of a violation's message without its time and numbers, by which violations are grouped.
func withoutNumbers(s string) string {
	s, _, _ = strings.Cut(s, "\n")
	_, s, _ = strings.Cut(s, ": ")
	return strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r == '.' {
			return -1
		}
		return r
	}, s[:min(len(s), 60)])
}
