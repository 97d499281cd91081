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
	seeds     = flag.Int("seeds", 0, "how many drawn days are played, 0 for the few of every run")
	firstSeed = flag.Uint64("from", 0, "the first seed")
	verbose   = flag.Bool("tell", false, "every harm and answer is logged")
)

// mutant takes one of the mends out.
type mutant struct {
	firstSeed       uint64           // the first seed that is played
	keepID          bool             // a wiped disk comes back as the same member
	unsynced        bool             // what rests on the disk is said before it is synced
	sameIncarnation bool             // two lives of one process use the same ballots
	localReads      bool             // a read is answered by what this process happens to have
	keepFounders    bool             // a wiped disk is one of the founders still
	hardState       func(*HardState) // the record lacks something
	message         func(w *simulation, from, to *machine, x *Message) bool
}

// simulate plays one seed: a start, harms, calm, and the questions at the end.
func simulate(seed uint64, mutation mutant, log func(string, ...any)) (sim *simulation, found *violation) {
	sim = newSimulation(seed, mutation)
	if log != nil {
		sim.log = log
	}
	return sim, sim.play()
}

// play plays the seed of a new world.
func (sim *simulation) play() (found *violation) {
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
	sim.scheduleAll(harms)
	sim.run(harms + 6500*ms) // all spans have ended by then
	for _, m := range sim.machines {
		if m.maxSync = 4 * ms; !m.removed {
			sim.start(m)
		}
	}
	sim.run(sim.now + 18*second)
	if sim.foundingIsLost() { // what operators do then, with nothing lost
		sim.tally["founded anew"]++
		for _, m := range sim.machines {
			if sim.stop(m, false); slices.Contains(sim.founders, m.ip) && !m.removed {
				sim.wipeDisk(m)
				m.hardState.Founders = sim.founders
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

// scheduleAll has the processes start, and harms and calls come until a time.
func (sim *simulation) scheduleAll(harms int64) {
	for n, m := range sim.machines {
		if n > len(sim.machines)/2 && sim.rand.IntN(4) == 0 { // it comes late
			sim.after(sim.between(0, 20*second), func() { sim.start(m) })
			continue
		}
		sim.after(sim.between(0, 2*second), func() { sim.start(m) })
	}
	first := &operationCopies{operation: deskOperation()}
	sim.operations = append(sim.operations, first)
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

// foundingIsLost tells that the first list was voted on and lacks a majority for good: a founder's disk was lost within the round
// trip, while another one was not heard. Anything else that keeps a core from its beginning is a fault, and so is an order
// that was confirmed by then.
func (sim *simulation) foundingIsLost() bool {
	if len(sim.states) > 0 || sim.confirmedIndex > 0 || sim.tally["confirmed"] > 0 {
		return false
	}
	for _, m := range sim.machines {
		l, n := membershipIn(m.hardState.AcceptedValue), 0
		for _, x := range l.Members {
			if o := sim.byIP[x.IP]; o.up && o.hardState.DiskID == x.ID {
				n++
			}
		}
		if m.up && m.hardState.AcceptedIndex == 1 && l.Epoch == 1 && n < l.Majority() {
			return true
		}
	}
	return false
}

// simulateMany plays many seeds, at most three at a time.
func simulateMany(first uint64, n int, mutation mutant, each func(seed uint64, sim *simulation, found *violation) bool) {
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
				sim, found := simulate(first+uint64(at), mutation, nil)
				lock.Lock()
				if !each(first+uint64(at), sim, found) {
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
	n := cmp.Or(*seeds, defaultSeeds)
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
			bad[seed] = found.message
			kinds[withoutNumbers(found.message)]++
		}
		return true
	})
	for _, seed := range slices.Sorted(maps.Keys(bad)) {
		if len(bad) <= 12 || kinds[withoutNumbers(bad[seed])] >= 0 {
			t.Errorf("seed %d: %s", seed, bad[seed])
			kinds[withoutNumbers(bad[seed])] = -1
		}
	}
	for what, n := range soft {
		t.Errorf("%s: %d times", what, n)
	}
	t.Logf("%d seeds, %d with faults: %v", n, len(bad), sum)
}

// withoutNumbers is a fault without its figures.
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
