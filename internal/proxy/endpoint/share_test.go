package endpoint

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/instance"
)

// The shares of all proxies together must stay within the bounds of each host, for various numbers of proxies, also without the proxies of
// a zone or region. The cold bound must be used in full, and with fewer than 300 proxies each must have a share of some host.
func TestSharesWithinBounds(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{6, 13, 92, 300} {
		for _, lost := range []string{"", "z0", "r0"} {
			regions, proxies := map[string]string{}, ProxyList{}
			for z := range 6 {
				regions[fmt.Sprint("z", z)] = fmt.Sprint("r", z/2)
			}
			for i := range n {
				z := fmt.Sprint("z", i%6)
				if z != lost && regions[z] != lost {
					proxies[z] = append(proxies[z], Proxy{fmt.Sprint("router-", i), 1})
				}
			}
			bounds := ColdBounds{Overrun: 1.5, Slack: 5, PerSecond: 5.4}
			minConcurrent := 1000
			hostsUsed := map[string]int{}
			for host := range 40 {
				h := instance.Instance{ID: fmt.Sprint("host-", host), Zone: "z0", Slots: 3}
				concurrent, cold := 0, 0
				for z, zoneProxies := range proxies {
					for _, r := range zoneProxies {
						name := r.Name
						p := ShareOf(h, name, Location{z, regions[z]}, regions, proxies, bounds)
						concurrent += p.Concurrent
						cold += p.ColdPerSecond
						if p.Concurrent > 0 {
							hostsUsed[name]++
						}
					}
				}
				c.Check(cold, qt.Equals, 11, qt.Commentf("%d proxies, lost %q: requests/s to a cold host", n, lost))
				c.Check(concurrent <= (ownZoneDepth+sameRegionDepth+otherRegionDepth)*h.Slots, qt.IsTrue, qt.Commentf("%d proxies, lost %q: %d concurrent requests", n, lost, concurrent))
				minConcurrent = min(minConcurrent, concurrent)
			}
			c.Check(minConcurrent >= otherRegionDepth*3, qt.IsTrue, qt.Commentf("%d proxies, lost %q: only %d concurrent requests", n, lost, minConcurrent))
			for z, zoneProxies := range proxies {
				for _, r := range zoneProxies {
					if name := r.Name; n < 300 {
						c.Check(hostsUsed[name] > 0, qt.IsTrue, qt.Commentf("%s of %s has no share of any of 40 hosts", name, z))
					}
				}
			}
		}
	}
}

// A proxy that is added must change few shares of the others.
func TestFewSharesMove(t *testing.T) {
	c := qt.New(t)
	regions := map[string]string{"z0": "r0"}
	var proxies []Proxy
	for i := range 20 {
		proxies = append(proxies, Proxy{fmt.Sprint("router-", i), 1})
	}
	moved, total := 0, 0
	for host := range 200 {
		h := instance.Instance{ID: fmt.Sprint("host-", host), Zone: "z0", Slots: 3}
		for _, r := range proxies {
			name := r.Name
			share := func(n int) int {
				return ShareOf(h, name, Location{"z0", "r0"}, regions, ProxyList{"z0": proxies[:n]}, ColdBounds{}).Concurrent
			}
			if a, b := share(19), share(20); name != "router-19" {
				total += a
				moved += max(a-b, b-a)
			}
		}
	}
	c.Check(moved*10 < total, qt.IsTrue, qt.Commentf("%d of %d share units moved", moved, total))
}

// Borrowed shares must not exceed the bounds of a host at any time, although proxies are notified at different times of who is short of
// capacity; and a proxy that is short must get more.
func TestBorrowedSharesWithinBounds(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{13, 92} {
		draw := rand.New(rand.NewPCG(uint64(n), 3))
		regions, evenList := map[string]string{}, ProxyList{}
		for i := range n {
			z := fmt.Sprint("z", i%6)
			regions[z] = fmt.Sprint("r", i%6/2)
			evenList[z] = append(evenList[z], Proxy{fmt.Sprint("router-", i), 1})
		}
		weightedBy := func(short map[string]bool) ProxyList {
			proxies := evenList.EvenWeights()
			for _, zoneProxies := range proxies {
				for i := range zoneProxies {
					if short[zoneProxies[i].Name] {
						zoneProxies[i].Weight = BorrowedWeight
					}
				}
			}
			return proxies
		}
		type proxy struct {
			name    string
			zone    string
			list    ProxyList
			history History
			pending []FormerList // lists to be received, each at its Until
		}
		var proxies []*proxy
		for z, zoneProxies := range evenList {
			for _, r := range zoneProxies {
				proxies = append(proxies, &proxy{name: r.Name, zone: z, list: evenList})
			}
		}
		hosts := []instance.Instance{{ID: "host-1", Zone: "z0", Slots: 3}, {ID: "host-2", Zone: "z1", Slots: 3}, {ID: "host-3", Zone: "z5", Slots: 5}}
		short := map[string]bool{}
		for now := int64(0); now < 40*second; now += second / 10 {
			if draw.IntN(20) == 0 {
				name := proxies[draw.IntN(len(proxies))].name
				short[name] = !short[name]
				announced := weightedBy(short)
				for _, r := range proxies { // notified within a second, in order
					at := now + int64(draw.Float64()*0.95*float64(second))
					if len(r.pending) > 0 {
						at = max(at, r.pending[len(r.pending)-1].Until)
					}
					r.pending = append(r.pending, FormerList{Proxies: announced, Until: at})
				}
			}
			concurrent := make([]int, len(hosts))
			for _, r := range proxies {
				for len(r.pending) > 0 && r.pending[0].Until <= now {
					r.history = r.history.Append(now, r.list, true)
					r.list, r.pending = r.pending[0].Proxies, r.pending[1:]
				}
				for i, h := range hosts {
					share := func(x ProxyList) int {
						return ShareOf(h, r.name, Location{r.zone, regions[r.zone]}, regions, x, ColdBounds{}).Concurrent
					}
					least, until := r.history.LeastConcurrent(now, r.list, share)
					c.Assert(until > now, qt.IsTrue)
					concurrent[i] += least
				}
			}
			for i, h := range hosts {
				c.Assert(concurrent[i] <= (ownZoneDepth+sameRegionDepth+otherRegionDepth)*h.Slots, qt.IsTrue, qt.Commentf("%d proxies, %d concurrent requests at %s", n, concurrent[i], h.ID))
			}
		}
		borrowedTotal, evenTotal := 0, 0
		for host := range 40 {
			h := instance.Instance{ID: fmt.Sprint("host-", host), Zone: "z0", Slots: 3}
			share := func(x ProxyList) int {
				return ShareOf(h, "router-0", Location{"z0", "r0"}, regions, x, ColdBounds{}).Concurrent
			}
			evenTotal += share(evenList)
			borrowedTotal += share(weightedBy(map[string]bool{"router-0": true}))
		}
		c.Check(float64(borrowedTotal) > 1.3*float64(evenTotal), qt.IsTrue, qt.Commentf("%d proxies: share %d, even share %d", n, borrowedTotal, evenTotal))
	}
}

// A proxy is short of capacity after three consecutive checks with more than a fifth of its requests sent to other zones, and stops
// borrowing after eight consecutive checks without need.
func TestShortage(t *testing.T) {
	c := qt.New(t)
	var s Shortage
	for i, x := range []struct {
		all, otherZone, overShare int
		want                      bool
	}{
		{100, 3, 0, false}, {10, 3, 0, false}, {100, 20, 0, false}, {100, 21, 0, false}, {100, 21, 0, false}, {100, 9, 0, false},
		{100, 21, 0, false}, {100, 21, 0, false}, {100, 21, 0, true}, {100, 0, 9, true},
		{50, 0, 0, true}, {50, 0, 1, true},
		{9, 0, 0, true}, {9, 0, 0, true}, {9, 0, 0, true}, {9, 0, 0, true}, {9, 0, 0, true}, {9, 0, 0, true}, {9, 0, 0, true}, {9, 0, 0, false},
	} {
		c.Check(s.Check(x.all, x.otherZone, x.overShare), qt.Equals, x.want, qt.Commentf("check %d", i))
	}
}

func TestSlidingWindow(t *testing.T) {
	c := qt.New(t)
	var w SlidingWindow
	sent := []int64{}
	for now := int64(0); now < 5*second; now += second / 50 {
		if w.Allows(now, 3) {
			w.Add(now)
			sent = append(sent, now)
		}
	}
	for i := 3; i < len(sent); i++ {
		c.Check(sent[i]-sent[i-3] > second, qt.IsTrue)
	}
	c.Check(len(sent) >= 12, qt.IsTrue)
}
