package retryguard

import (
	"testing"
)

// A host returns cold after connection failures but not after timeouts, hosts not observed yet are estimated from the others, and
// an invalid capacity counts as 1.
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
			t.Error("one of ten hosts is down: got capacity", down)
		}
		capacity.AttemptEnded(2*second, 4, Answered)
		if got := capacity.At(2 * second); got < test.want-0.01 || got > test.want+0.01 {
			t.Errorf("capacity after signal %d: got %v, want %v", test.signal, got, test.want)
		}
		if warm := capacity.At(6 * second); warm != 10 {
			t.Error("all hosts are warm: got capacity", warm)
		}
	}
	capacity := NewCapacity(0.33, 4*second)
	capacity.HostsChanged(true, newHosts(4, 0))
	capacity.AttemptEnded(0, 1, Answered)
	for range 2 {
		capacity.AttemptEnded(0, 2, ConnectionFailed)
	}
	if got := capacity.At(0); got != 2 { // one of the two observed hosts is up, so half of the other two count as up
		t.Error(got)
	}
	capacity.HostsChanged(true, []Host{{ID: 9, Ready: true, Capacity: -1}})
	if capacity.Total() != 1 {
		t.Error("with an impossible capacity:", capacity.Total())
	}
}
