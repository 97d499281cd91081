package lanes

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/berths"
)

// Over all routers the parts at a host never come to more than its bounds: at any number of routers, wherever they are, with
// a zone's or a region's routers gone; and where routers are few, none of the bound is lost.
func TestPartsAddUp(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{6, 13, 92, 300} {
		for _, lost := range []string{"", "z0", "r0"} {
			regions, all := map[string]string{}, Roster{}
			for z := range 6 {
				regions[fmt.Sprint("z", z)] = fmt.Sprint("r", z/2)
			}
			for i := range n {
				z := fmt.Sprint("z", i%6)
				if z != lost && regions[z] != lost {
					all[z] = append(all[z], fmt.Sprint("router-", i))
				}
			}
			terms := Terms{Overrun: 1.5, Slack: 5, ColdPerS: 5.4}
			least := 1000
			uses := map[string]int{}
			for host := range 40 {
				h := berths.Host{ID: fmt.Sprint("host-", host), Zone: "z0", Slots: 3}
				open, cold := 0, 0
				for z, names := range all {
					for _, name := range names {
						p := Part(h, name, Place{z, regions[z]}, regions, all, terms)
						open += p.Open
						cold += p.Cold
						if p.Open > 0 {
							uses[name]++
						}
					}
				}
				c.Check(cold, qt.Equals, 11, qt.Commentf("%d routers, lost %q: a second at a cold host", n, lost))
				c.Check(open <= (deep+near+far)*h.Slots, qt.IsTrue, qt.Commentf("%d routers, lost %q: %d open", n, lost, open))
				least = min(least, open)
			}
			c.Check(least >= far*3, qt.IsTrue, qt.Commentf("%d routers, lost %q: only %d open", n, lost, least))
			for z, names := range all {
				for _, name := range names {
					if n < 300 {
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
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprint("router-", i))
	}
	moved, held := 0, 0
	for host := range 200 {
		h := berths.Host{ID: fmt.Sprint("host-", host), Zone: "z0", Slots: 3}
		for _, name := range names {
			part := func(n int) int {
				return Part(h, name, Place{"z0", "r0"}, regions, Roster{"z0": names[:n]}, Terms{}).Open
			}
			if a, b := part(19), part(20); name != "router-19" {
				held += a
				moved += max(a-b, b-a)
			}
		}
	}
	c.Check(moved*10 < held, qt.IsTrue, qt.Commentf("%d of %d moved", moved, held))
}

func TestWindow(t *testing.T) {
	c := qt.New(t)
	var w Window
	sent := []int64{}
	for now := int64(0); now < 5*second; now += second / 50 {
		if w.Room(now, 3) {
			w.Add(now)
			sent = append(sent, now)
		}
	}
	for i := 3; i < len(sent); i++ {
		c.Check(sent[i]-sent[i-3] > second, qt.IsTrue)
	}
	c.Check(len(sent) >= 12, qt.IsTrue)
}
