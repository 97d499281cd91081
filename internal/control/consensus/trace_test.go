package consensus

import (
	"testing"

	tracedigest "portflow/internal/testing/digest"
)

// The effects of all processes, over simulated starts with faults, operations and reads, are what they were. The digests hold values by
// position: the order of the fields of Effects, HardState, Message and what they consist of, and the numbers of constants, count;
// names don't.
func TestTrace(t *testing.T) {
	want := []string{"db3f37c34d511457", "5fb14d52431f3e23", "dd71ed5243d89bd7", "316a48bd12b2391d"}
	tracedigest.Pin(t, 25, want, func(seed uint64, d *tracedigest.Digest) {
		sim := newSimulation(seed, mutant{})
		sim.recorded = d
		sim.scheduleAll(7 * second)
		sim.run(10 * second)
	})
}
