package simulation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// lined tells whether one machine holds a line to the control process of another.
func (h *Harbour) lined(from, to string) bool {
	h.Sea.mu.Lock()
	defer h.Sea.mu.Unlock()
	for x := range h.Sea.conns {
		if x.local.IP.String() == from && x.remote.IP.String() == to && x.remote.Port == firstPort {
			return true
		}
	}
	return false
}

// The control process of a router's zone is of no use for 20 s: cut off from the others, without power, frozen. The router hangs on
// another one. It looks every now and then whether the nearer one is of use again, and doesn't let the one that it has go for that:
// a change that is confirmed meanwhile is in force there as soon as at other times. Once the nearer one is of use, it moves.
func TestNearerIsTriedBesideTheLine(t *testing.T) {
	for name, harm := range map[string]func(h *Harbour, m *Master, on bool){
		"cut off from the others": func(h *Harbour, m *Master, on bool) { h.part(m, on) },
		"heard, and hears nobody": func(h *Harbour, m *Master, on bool) {
			for _, x := range h.Masters {
				if x != m {
					h.Sea.CutWay(x.Boot.IP, m.Boot.IP, on)
				}
			}
		},
		"without power": func(h *Harbour, m *Master, on bool) {
			if h.Sea.Down(m.Boot.IP, on); on {
				m.Kill()
				m.Disk.PowerLoss(true)
			} else {
				m.mustStart()
			}
		},
		"frozen": func(h *Harbour, m *Master, on bool) {
			h.Sea.Freeze(m.Boot.IP, on)
			m.Disk.hang(on)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := opened(c, Layout{Zones: 6, Routers: 2, Services: []string{"desk"}, Seed: 9})
				m := h.Masters[5]
				var f *Fairway
				for _, x := range h.Fairways {
					if x.Boot.Zone == m.Boot.Zone && x.Boot.IP != m.Boot.IP {
						f = x
					}
				}
				until(c, 5*time.Second, "hangs on its zone's", func() bool { return h.lined(f.Boot.IP, m.Boot.IP) })
				harm(h, m, true)
				time.Sleep(4500 * time.Millisecond) // until it knows, and has left
				began, worst := time.Now(), time.Duration(0)
				for n := 0; time.Since(began) < 15*time.Second; n++ {
					changed := look
					changed.Version = fmt.Sprintf("%08x", n+10)
					configure(c, h, h.Configure(false, changed), 0)
					at := time.Now()
					for f.Running.RouteVersions()[look.Name] != uint64(n+10) && time.Since(at) < 5*time.Second {
						time.Sleep(5 * time.Millisecond)
					}
					worst = max(worst, time.Since(at))
					time.Sleep(130 * time.Millisecond)
				}
				c.Check(worst < 200*time.Millisecond, qt.IsTrue, qt.Commentf("in force %v after it was confirmed", worst))
				harm(h, m, false)
				back := until(c, 8*time.Second, "moves once it is of use", func() bool {
					return h.lined(f.Boot.IP, m.Boot.IP) && !h.lined(f.Boot.IP, h.Masters[4].Boot.IP) && m.Standing() == "in touch"
				})
				c.Logf("%s: in force after %v at the most, back after %v", name, worst, back)
			})
		})
	}
}
