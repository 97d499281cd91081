package simulation

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// across is how many bytes have gone between regions, and how many within zones.
func (s *Sea) across() (regions, zones int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x, n := range s.Bytes {
		switch a, b := zoneOf(x[0]), zoneOf(x[1]); {
		case a == b:
			zones += n
		case a/2 != b/2:
			regions += n
		}
	}
	return regions, zones
}

// What the system says to itself on a calm day, without a request: between regions it follows the core and the shuffles, one
// small datagram a process every four seconds, and not routers times hosts; a host's drain crosses once for each control
// process, whatever the number of routers.
func TestCostOfCalm(t *testing.T) {
	type cost struct{ calm, drain int64 }
	costs := map[int]cost{}
	for _, routers := range []int{2, 15} { // in each of six zones
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			l := small
			l.Zones, l.Routers, l.Hosts = 6, routers, 4
			h := New(l)
			c.Assert(h.Start(), qt.IsNil)
			defer h.Stop()
			time.Sleep(2 * time.Second)
			status, _, _ := h.Order("configuration.modify", "", h.Configure(true, look, issue), 5*time.Second, 0)
			c.Assert(status, qt.Equals, 200)
			time.Sleep(20 * time.Second)
			before, _ := h.Sea.across()
			time.Sleep(20 * time.Second)
			calm, _ := h.Sea.across()
			for _, q := range h.Quays[:4] {
				q.Drain()
			}
			time.Sleep(20 * time.Second)
			drain, _ := h.Sea.across()
			costs[routers] = cost{(calm - before) / 20, (drain - 2*calm + before) / 4}
			for _, f := range h.Fairways {
				c.Check(f.Running.UsableHosts("desk"), qt.Equals, 20)
			}
		})
	}
	t.Logf("bytes a second between regions, and for a host's drain, by routers a zone: %+v", costs)
	c := qt.New(t)
	c.Check(costs[15].calm-costs[2].calm < 78*110, qt.IsTrue) // a shuffle of each router more
	c.Check(costs[15].drain < 6000, qt.IsTrue)                // the calm's own chance is in it; a copy for each router would be 9,000
}
