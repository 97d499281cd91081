package endpoint

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/instance"
)

// Over all routers the parts at a host never come to more than its bounds: at any number of routers, wherever they are, with
// a zone's or a region's routers gone; and where routers are few, none of the bound is lost.
func TestPartsAddUp(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{6, 13, 92, 300} {
		for _, lost := range []string{"", "z0", "r0"} {
			regions, all := map[string]string{}, ProxyList{}
			for z := range 6 {
				regions[fmt.Sprint("z", z)] = fmt.Sprint("r", z/2)
			}
			for i := range n {
				z := fmt.Sprint("z", i%6)
				if z != lost && regions[z] != lost {
					all[z] = append(all[z], Proxy{fmt.Sprint("router-", i), 1})
				}
			}
			terms := ColdBounds{Overrun: 1.5, Slack: 5, PerSecond: 5.4}
			least := 1000
			uses := map[string]int{}
			for host := range 40 {
				h := instance.Instance{ID: fmt.Sprint("host-", host), Zone: "z0", Slots: 3}
				open, cold := 0, 0
				for z, routers := range all {
					for _, r := range routers {
						name := r.Name
						p := ShareOf(h, name, Location{z, regions[z]}, regions, all, terms)
						open += p.Concurrent
						cold += p.ColdPerSecond
						if p.Concurrent > 0 {
							uses[name]++
						}
					}
				}
				c.Check(cold, qt.Equals, 11, qt.Commentf("%d routers, lost %q: a second at a cold host", n, lost))
				c.Check(open <= (ownZoneDepth+sameRegionDepth+otherRegionDepth)*h.Slots, qt.IsTrue, qt.Commentf("%d routers, lost %q: %d open", n, lost, open))
				least = min(least, open)
			}
			c.Check(least >= otherRegionDepth*3, qt.IsTrue, qt.Commentf("%d routers, lost %q: only %d open", n, lost, least))
			for z, routers := range all {
				for _, r := range routers {
					if name := r.Name; n < 300 {
						c.Check(uses[name] > 0, qt.IsTrue, qt.Commentf("%s of %s may use none of 40 hosts", name, z))
					}
				}
			}
		}
	}
}

// When a router comes, few parts move: about its own.
func TestFewPartsMove(t *testing.T) {
	c := qt.New(t)
	regions := map[string]string{"z0": "r0"}
	var routers []Proxy
	for i := range 20 {
		routers = append(routers, Proxy{fmt.Sprint("router-", i), 1})
	}
	moved, held := 0, 0
	for host := range 200 {
		h := instance.Instance{ID: fmt.Sprint("host-", host), Zone: "z0", Slots: 3}
		for _, r := range routers {
			name := r.Name
			part := func(n int) int {
				return ShareOf(h, name, Location{"z0", "r0"}, regions, ProxyList{"z0": routers[:n]}, ColdBounds{}).Concurrent
			}
			if a, b := part(19), part(20); name != "router-19" {
				held += a
				moved += max(a-b, b-a)
			}
		}
	}
	c.Check(moved*10 < held, qt.IsTrue, qt.Commentf("%d of %d moved", moved, held))
}

// What is lent adds up too: at no moment have all routers together more than a host's bounds, though each hears at another
// time who is short and who isn't any more; and the one that is short gets more.
func TestLentPartsAddUp(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{13, 92} {
		draw := rand.New(rand.NewPCG(uint64(n), 3))
		regions, usual := map[string]string{}, ProxyList{}
		for i := range n {
			z := fmt.Sprint("z", i%6)
			regions[z] = fmt.Sprint("r", i%6/2)
			usual[z] = append(usual[z], Proxy{fmt.Sprint("router-", i), 1})
		}
		weigh := func(short map[string]bool) ProxyList {
			all := usual.EvenWeights()
			for _, routers := range all {
				for i := range routers {
					if short[routers[i].Name] {
						routers[i].Weight = BorrowedWeight
					}
				}
			}
			return all
		}
		type router struct {
			name string
			zone string
			is   ProxyList
			past History
			next []FormerList // what it will hear, and when
		}
		var all []*router
		for z, routers := range usual {
			for _, r := range routers {
				all = append(all, &router{name: r.Name, zone: z, is: usual})
			}
		}
		hosts := []instance.Instance{{ID: "host-1", Zone: "z0", Slots: 3}, {ID: "host-2", Zone: "z1", Slots: 3}, {ID: "host-3", Zone: "z5", Slots: 5}}
		short := map[string]bool{}
		for now := int64(0); now < 40*second; now += second / 10 {
			if draw.IntN(20) == 0 {
				name := all[draw.IntN(len(all))].name
				short[name] = !short[name]
				announced := weigh(short)
				for _, r := range all { // within a second, and in order
					at := now + int64(draw.Float64()*0.95*float64(second))
					if len(r.next) > 0 {
						at = max(at, r.next[len(r.next)-1].Until)
					}
					r.next = append(r.next, FormerList{Proxies: announced, Until: at})
				}
			}
			open := make([]int, len(hosts))
			for _, r := range all {
				for len(r.next) > 0 && r.next[0].Until <= now {
					r.past = r.past.Append(now, r.is, true)
					r.is, r.next = r.next[0].Proxies, r.next[1:]
				}
				for i, h := range hosts {
					part := func(x ProxyList) int {
						return ShareOf(h, r.name, Location{r.zone, regions[r.zone]}, regions, x, ColdBounds{}).Concurrent
					}
					least, until := r.past.LeastConcurrent(now, r.is, part)
					c.Assert(until > now, qt.IsTrue)
					open[i] += least
				}
			}
			for i, h := range hosts {
				c.Assert(open[i] <= (ownZoneDepth+sameRegionDepth+otherRegionDepth)*h.Slots, qt.IsTrue, qt.Commentf("%d routers, %d at %s", n, open[i], h.ID))
			}
		}
		gains, usually := 0, 0
		for host := range 40 {
			h := instance.Instance{ID: fmt.Sprint("host-", host), Zone: "z0", Slots: 3}
			part := func(x ProxyList) int {
				return ShareOf(h, "router-0", Location{"z0", "r0"}, regions, x, ColdBounds{}).Concurrent
			}
			usually += part(usual)
			gains += part(weigh(map[string]bool{"router-0": true}))
		}
		c.Check(float64(gains) > 1.3*float64(usually), qt.IsTrue, qt.Commentf("%d routers: %d for %d", n, gains, usually))
	}
}

// A proxy is short once a fifth of what it forwards has gone to other zones for a second and a half, and gives back what was lent after four seconds in
// which it needed none of it.
func TestShortage(t *testing.T) {
	c := qt.New(t)
	var s Shortage
	for i, x := range []struct {
		all, away, over int
		want            bool
	}{
		{100, 3, 0, false}, {10, 3, 0, false}, {100, 20, 0, false}, {100, 21, 0, false}, {100, 21, 0, false}, {100, 9, 0, false},
		{100, 21, 0, false}, {100, 21, 0, false}, {100, 21, 0, true}, {100, 0, 9, true},
		{50, 0, 0, true}, {50, 0, 1, true},
		{9, 0, 0, true}, {9, 0, 0, true}, {9, 0, 0, true}, {9, 0, 0, true}, {9, 0, 0, true}, {9, 0, 0, true}, {9, 0, 0, true}, {9, 0, 0, false},
	} {
		c.Check(s.Check(x.all, x.away, x.over), qt.Equals, x.want, qt.Commentf("look %d", i))
	}
}

func TestWindow(t *testing.T) {
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
