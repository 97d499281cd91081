package basin

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A control process is killed and starts again a second later. Of the hosts that beat to it one went dark meanwhile: the process has never
// heard of it in its new life, and the others leave the hosts of a process that is heard to that one. All routers hear all the same
// that the host is silent; those that live go on, also where the process comes back before a beat was missed.
func TestHostLostWhileItsProcessRestarts(t *testing.T) {
	for name, down := range map[string]time.Duration{"1 s": time.Second, "300 ms": 300 * time.Millisecond, "longer than beats are missed": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				l := small
				l.Zones, l.Rate = 6, 2
				h := opened(c, l)
				time.Sleep(4 * time.Second)
				for _, f := range h.Fairways {
					c.Assert(f.Running.Usable("desk"), qt.Equals, 12)
				}
				m, lost := h.Masters[5], (*Quay)(nil)
				for _, q := range h.Quays {
					if q.Zone == m.Boot.Zone {
						lost = q
					}
				}
				m.Kill()
				h.Sea.Down(lost.IP(), true)
				lost.Crash()
				time.Sleep(down)
				m.mustStart()
				time.Sleep(9 * time.Second)
				for range 8 {
					for _, f := range h.Fairways {
						c.Check(f.Running.Usable("desk"), qt.Equals, 11, qt.Commentf(f.Boot.Name))
					}
					time.Sleep(time.Second)
				}
			})
		})
	}
}
