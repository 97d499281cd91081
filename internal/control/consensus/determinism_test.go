package consensus

import "testing"

// A seed plays alike each time: what is decided depends on nothing but the events.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := range uint64(defaultRepeats) {
		a, first := simulate(seed, mutant{}, nil)
		for range 2 {
			if b, again := simulate(seed, mutant{}, nil); a.trace != b.trace || first.String() != again.String() {
				t.Errorf("seed %d: the same seed ends at %d and %d, %q and %q", seed, len(a.states), len(b.states), first.String(), again.String())
				break
			}
		}
	}
}
