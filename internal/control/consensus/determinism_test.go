package consensus

import "testing"

// Runs with the same seed must be identical: decisions depend only on the events.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := range uint64(defaultRepeats) {
		a, first := simulate(seed, mutant{}, nil)
		for range 2 {
			if b, again := simulate(seed, mutant{}, nil); a.trace != b.trace || first.String() != again.String() {
				t.Errorf("seed %d: runs differ: decided %d and %d indexes, violations %q and %q", seed, len(a.states), len(b.states), first.String(), again.String())
				break
			}
		}
	}
}
