package retryguard

import (
	"testing"
)

// A host whose connections broke comes back cold, one that was silent as it was; a start on the list goes before.
func TestCapacity(t *testing.T) {
	for _, test := range []struct {
		signal Signal
		want   float64
	}{{ConnectionFailed, 9.33}, {NoAnswer, 10}, {NotSent, 10}} {
		capacity := NewCapacity(0.33, 4*second)
		capacity.HostsChanged(true, newHosts(10, 0))
		for id := range uint32(10) {
			capacity.AttemptEnded(second, id+1, Answered)
		}
		for range 3 {
			capacity.AttemptEnded(second, 4, test.signal)
		}
		if down := capacity.At(second); test.signal != NotSent && down != 9 {
			t.Error("one is down, and the others can do", down)
		}
		capacity.AttemptEnded(2*second, 4, Answered)
		if can := capacity.At(2 * second); can < test.want-0.01 || can > test.want+0.01 {
			t.Errorf("after signal %d: %v, want %v", test.signal, can, test.want)
		}
		if warm := capacity.At(6 * second); warm != 10 {
			t.Error("warm hosts can do", warm)
		}
	}
	capacity := NewCapacity(0.33, 4*second)
	capacity.HostsChanged(true, newHosts(4, 0))
	capacity.AttemptEnded(0, 1, Answered)
	for range 2 {
		capacity.AttemptEnded(0, 2, ConnectionFailed)
	}
	if can := capacity.At(0); can != 2 { // of the two that it has met one is up, and so of the two others
		t.Error(can)
	}
	capacity.HostsChanged(true, []Host{{ID: 9, Ready: true, Capacity: -1}})
	if capacity.Total() != 1 {
		t.Error("with an impossible capacity:", capacity.Total())
	}
}
