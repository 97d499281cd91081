package connlimit

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"portflow/internal/testing/digest"
)

// Which connections are closed to make room, and when, is what it was: connections come, change their use and go as drawn, in
// time that only passes where all wait.
func TestTrace(t *testing.T) {
	digest.Pin(t, 30, []string{"0040b8cd8bb83fdb", "b85ac12a004ecc91", "2771f6c26ad2564b"}, func(seed uint64, d *digest.Digest) {
		synctest.Test(t, func(t *testing.T) { traceRoom(seed, d) })
	})
}

func traceRoom(seed uint64, d *digest.Digest) {
	draw := rand.New(rand.NewPCG(seed, 1))
	r := New(4+draw.IntN(6), 2+draw.IntN(6))
	began := time.Now()
	open := []*Slot{}
	for n := range 120 {
		time.Sleep(time.Duration(draw.IntN(30)) * time.Millisecond)
		switch draw.IntN(5) {
		case 0, 1:
			done := make(chan struct{})
			timer := time.AfterFunc(300*time.Millisecond, func() { close(done) })
			p := r.Acquire(done)
			timer.Stop()
			if d.Add(n, p != nil); p != nil {
				p.Attach(State(draw.IntN(4)), func() {
					d.Add(n, int64(time.Since(began)))
					p.Release()
				})
				open = append(open, p)
			}
		case 2:
			p := r.TryAcquire()
			if d.Add(n, p != nil); p != nil {
				p.Release()
			}
		case 3:
			if len(open) > 0 {
				open[draw.IntN(len(open))].SetState(State(draw.IntN(4)))
			}
		default:
			if len(open) > 0 {
				open[draw.IntN(len(open))].Release()
			}
		}
		d.Add(r.Len(), int64(time.Since(began)))
	}
}
