package consensus

import (
	"testing"

	tracedigest "portflow/internal/testing/digest"
)

// Pins the effects of all processes over simulated runs with faults, operations and reads. The digests depend on the order of the
// fields of Effects, HardState, Message and the types in them, and on the values of constants, but not on names.
func TestTrace(t *testing.T) {
	want := []string{"db3f37c34d511457", "5fb14d52431f3e23", "dd71ed5243d89bd7", "316a48bd12b2391d"}
	tracedigest.Pin(t, 25, want, func(seed uint64, d *tracedigest.Digest) {
		sim := newSimulation(seed, mutant{})
		sim.digest = d
		sim.scheduleAll(7 * second)
		sim.run(10 * second)
	})
}
