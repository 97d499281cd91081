package fairway

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/berths"
)

// Over all routers the parts at a host stay under its bounds: at any number of routers, wherever they are, and with a zone's
// own routers gone.
func TestPartsAddUp(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{6, 13, 92, 300} {
		for _, lost := range []string{"", "z0", "r0"} {
			regions, zones := map[string]string{}, map[string]int{}
			for z := range 6 {
				regions[fmt.Sprint("z", z)] = fmt.Sprint("r", z/2)
			}
			for i := range n {
				z := fmt.Sprint("z", i%6)
				if z != lost && regions[z] != lost {
					zones[z]++
				}
			}
			terms := Terms{Overrun: 1.5, Slack: 5, ColdPerS: 5.4}
			h := berths.Host{Zone: "z0", Slots: 3}
			near, cold := 0, 0
			for z, n := range zones {
				p := Part(h, Place{z, regions[z]}, regions, zones, terms)
				if z == h.Zone {
					near += n * p.Open
				}
				cold += n * p.Cold
			}
			c.Check(float64(cold) <= 5.4*1.5+5, qt.IsTrue, qt.Commentf("%d routers, lost %q: %d a second at a cold host", n, lost, cold))
			c.Check(near <= max(deep*h.Slots+zones[h.Zone], 0), qt.IsTrue, qt.Commentf("%d routers, lost %q: %d open", n, lost, near))
		}
	}
}

func TestWindow(t *testing.T) {
	c := qt.New(t)
	var w window
	sent := []int64{}
	for now := int64(0); now < 5*second; now += second / 50 {
		if w.room(now, 3) {
			w.add(now)
			sent = append(sent, now)
		}
	}
	for i := 3; i < len(sent); i++ {
		c.Check(sent[i]-sent[i-3] > second, qt.IsTrue)
	}
	c.Check(len(sent) >= 12, qt.IsTrue)
}
