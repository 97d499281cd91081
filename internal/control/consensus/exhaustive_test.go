//go:build !race

package consensus

import (
	"cmp"
	"flag"
	"maps"
	"slices"
	"testing"
	"time"
)

// The exhaustive search visits every state that a world of a few processes can reach within a number of events: messages arrive in any
// order or not at all, processes lose power before or after a write is synced, disks are wiped, and time passes. Each state is visited
// once. Unless power is lost, writes are synced at once; messages of a process to itself arrive at once.

var (
	searchDepth = flag.Int("depth", 0, "how deep the small worlds are searched, 0 for the depth of every run")
	maxStates   = flag.Int("states", 0, "at how many states of a small world the search ends, 0 for those of every run")
)

// Whatever the order of messages, power losses, wiped disks and membership changes: at most one of two rival operations is confirmed, and
// each index has one value.
func TestExhaustiveSearch(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(worlds)) {
		t.Run(name, func(t *testing.T) {
			sr, start := &searcher{}, time.Now()
			sr.run(name, cmp.Or(*searchDepth, 10), cmp.Or(*maxStates, defaultStates))
			if sr.violation != "" {
				t.Error(sr.violation)
			}
			t.Logf("%d states to depth %d (complete: %v, exhausted: %v), %d distinct steps of %d distinct processes, %d distinct decided sets, %v",
				len(sr.seen), sr.depth, sr.complete, sr.exhausted, sr.steps, len(sr.processes), len(sr.decided), time.Since(start).Round(time.Millisecond))
		})
	}
}

// searchMutants each break a rule that safety depends on, in a world where the search finds the violation. Mutants that need catch-up or
// more than twenty steps to cause one are found only by the simulations with random faults.
var searchMutants = map[string]struct {
	world  string
	mutant searchMutant
}{
	"promises are not written to disk":                   {"rivals and power loss", searchMutant{hardState: func(d *HardState) { d.Promised = Ballot{} }}},
	"votes are not written to disk":                      {"rivals and power loss", searchMutant{hardState: func(d *HardState) { d.Accepted, d.AcceptedIndex, d.AcceptedValue = Ballot{}, 0, nil }}},
	"promises and votes are sent before they are synced": {"rivals and power loss", searchMutant{unsynced: true}},
	"a wiped disk remains the same member":               {"rivals and a wipe", searchMutant{keepID: true}},
	"a promise does not report the vote": {"rivals", searchMutant{message: func(_ *searcher, _ *searchState, p *packet) []*packet {
		m := p.message
		if m.Kind == Promise {
			m.Accepted, m.Value = Ballot{}, nil
		}
		return []*packet{newPacket(p.from, p.to, m)}
	}}},
	"a ballot below the promised one is voted for": {"rivals", searchMutant{message: func(_ *searcher, state *searchState, p *packet) []*packet {
		if p.message.Kind == Accept && p.message.Ballot.Less(state.processes[p.to].hardState.Promised) {
			m := Message{Kind: Accepted, Index: p.message.Index, Ballot: p.message.Ballot, Epoch: 1, DiskID: state.processes[p.to].hardState.DiskID}
			return []*packet{p, newPacket(p.to, p.from, m)}
		}
		return []*packet{p}
	}}},
}

// The search must detect each mutant: it confirms both rivals or decides two values at one index.
func TestExhaustiveSearchFindsMutants(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(searchMutants)) {
		t.Run(name, func(t *testing.T) {
			m := searchMutants[name]
			sr, start := &searcher{mutation: m.mutant}, time.Now()
			sr.run(m.world, cmp.Or(*searchDepth, 30), cmp.Or(*maxStates, 2000000))
			if sr.violation == "" {
				t.Fatalf("no violation found in %d states to depth %d, %v", len(sr.seen), sr.depth, time.Since(start))
			}
			t.Logf("found at depth %d, after %d states, %v: %s", sr.depth+1, len(sr.seen), time.Since(start).Round(time.Millisecond), sr.violation)
		})
	}
}
