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

// The exhaustive search visits all that can happen in a world of a few processes, to a depth: messages arrive in any order or not at
// all, processes lose power before a write is synced or after it, disks are wiped, time passes. Each state is visited once. A write
// is synced at once unless the power goes; what a process sends itself arrives at once.

var (
	searchDepth = flag.Int("depth", 0, "how deep the small worlds are searched, 0 for the depth of every run")
	maxStates   = flag.Int("states", 0, "at how many states of a small world the search ends, 0 for those of every run")
)

// In whatever order messages arrive, whoever loses power or disk, and while members change: rivals are never both confirmed, and an index
// has one value.
func TestExhaustiveSearch(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(worlds)) {
		t.Run(name, func(t *testing.T) {
			sr, start := &searcher{}, time.Now()
			sr.run(name, cmp.Or(*searchDepth, 10), cmp.Or(*maxStates, defaultStates))
			if sr.violation != "" {
				t.Error(sr.violation)
			}
			t.Logf("%d states to depth %d (all of them: %v, and nothing more can happen: %v), %d different steps of %d different processes, %d different numbers, %v",
				len(sr.seen), sr.depth, sr.complete, sr.exhausted, sr.steps, len(sr.processes), len(sr.decided), time.Since(start).Round(time.Millisecond))
		})
	}
}

// searchMutants each break a rule, with the world that shows it. Those that need catch-up or more than twenty steps are shown by the
// random faults alone.
var searchMutants = map[string]struct {
	world  string
	mutant searchMutant
}{
	"promises aren't kept on disk":                       {"rivals and power", searchMutant{hardState: func(d *HardState) { d.Promised = Ballot{} }}},
	"votes aren't kept on disk":                          {"rivals and power", searchMutant{hardState: func(d *HardState) { d.Accepted, d.AcceptedIndex, d.AcceptedValue = Ballot{}, 0, nil }}},
	"promises and votes are sent before they are synced": {"rivals and power", searchMutant{unsynced: true}},
	"a wiped disk is the same member still":              {"rivals and a wipe", searchMutant{keepID: true}},
	"a promise tells of no vote": {"rivals", searchMutant{message: func(_ *searcher, _ *searchState, p *packet) []*packet {
		m := p.message
		if m.Kind == Promise {
			m.Accepted, m.Value = Ballot{}, nil
		}
		return []*packet{newPacket(p.from, p.to, m)}
	}}},
	"a ballot that was promised away is voted for": {"rivals", searchMutant{message: func(_ *searcher, state *searchState, p *packet) []*packet {
		if p.message.Kind == Accept && p.message.Ballot.Less(state.processes[p.to].hardState.Promised) {
			m := Message{Kind: Accepted, Index: p.message.Index, Ballot: p.message.Ballot, Epoch: 1, DiskID: state.processes[p.to].hardState.DiskID}
			return []*packet{p, newPacket(p.to, p.from, m)}
		}
		return []*packet{p}
	}}},
}

// The search finds what it is for: with a rule broken both rivals are confirmed, or an index has two values.
func TestExhaustiveSearchFindsMutants(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(searchMutants)) {
		t.Run(name, func(t *testing.T) {
			m := searchMutants[name]
			sr, start := &searcher{mutation: m.mutant}, time.Now()
			sr.run(m.world, cmp.Or(*searchDepth, 30), cmp.Or(*maxStates, 2000000))
			if sr.violation == "" {
				t.Fatalf("nothing found in %d states to depth %d, %v", len(sr.seen), sr.depth, time.Since(start))
			}
			t.Logf("found at depth %d, after %d states, %v: %s", sr.depth+1, len(sr.seen), time.Since(start).Round(time.Millisecond), sr.violation)
		})
	}
}
