package connlimit

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"portflow/internal/testing/digest"
)

// Pins which connections are evicted, and when, while connections open, change state and close at random in virtual time.
func TestTrace(t *testing.T) {
	digest.Pin(t, 30, []string{"0040b8cd8bb83fdb", "b85ac12a004ecc91", "2771f6c26ad2564b"}, func(seed uint64, d *digest.Digest) {
		synctest.Test(t, func(t *testing.T) { traceEvictions(seed, d) })
	})
}

func traceEvictions(seed uint64, d *digest.Digest) {
	rng := rand.New(rand.NewPCG(seed, 1))
	limiter := New(4+rng.IntN(6), 2+rng.IntN(6))
	startedAt := time.Now()
	open := []*Slot{}
	for n := range 120 {
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		switch rng.IntN(5) {
		case 0, 1:
			done := make(chan struct{})
			timer := time.AfterFunc(300*time.Millisecond, func() { close(done) })
			slot := limiter.Acquire(done)
			timer.Stop()
			if d.Add(n, slot != nil); slot != nil {
				slot.Attach(State(rng.IntN(4)), func() {
					d.Add(n, int64(time.Since(startedAt)))
					slot.Release()
				})
				open = append(open, slot)
			}
		case 2:
			slot := limiter.TryAcquire()
			if d.Add(n, slot != nil); slot != nil {
				slot.Release()
			}
		case 3:
			if len(open) > 0 {
				open[rng.IntN(len(open))].SetState(State(rng.IntN(4)))
			}
		default:
			if len(open) > 0 {
				open[rng.IntN(len(open))].Release()
			}
		}
		d.Add(limiter.Len(), int64(time.Since(startedAt)))
	}
}
