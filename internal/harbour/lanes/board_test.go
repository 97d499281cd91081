package lanes

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/lookout"
	"portflow/internal/harbour/signals"
	"portflow/rules"
)

func board() *Board {
	return NewBoard("a1", Place{Zone: "a", Region: "r"}, map[string]string{"a": "r", "b": "r"})
}

// Routers lend to those that are short, unless more than half of a zone's are: then nobody has anything to lend.
func TestWhoLends(t *testing.T) {
	for short, want := range map[int]int{0: 1, 1: Lend, 2: Lend, 3: 1, 4: 1} {
		c := qt.New(t)
		b := board()
		for i := range 4 {
			for _, z := range []string{"a", "b"} {
				b.Take([]signals.Note{{Front: &signals.Front{Name: fmt.Sprint(z, i), Zone: z, Ready: true, Since: 1, Short: z == "a" && i < short}}}, false)
			}
		}
		_, _, all, counted := b.Standing()
		c.Check(counted, qt.IsTrue)
		c.Check(all["a"][0].Weight, qt.Equals, want, qt.Commentf("%d short", short))
		c.Check(all["a"][3].Weight, qt.Equals, 1)
		c.Check(all["b"][0].Weight, qt.Equals, 1)
	}
}

// A host that is set aside takes nothing until its time is over, then comes back, and is forgotten once it is back; an older
// judgement changes nothing.
func TestSetAside(t *testing.T) {
	c := qt.New(t)
	b := board()
	b.Take([]signals.Note{{Host: &berths.Host{ID: "h", Service: "desk", Zone: "a", Sequence: 1}}}, false)
	health := func() rules.Health { return b.Hosts("desk")[0].Health }
	c.Check(health(), qt.Equals, rules.Ready)
	changes := b.Take([]signals.Note{{Aside: &lookout.Judgement{ID: "h", Service: "desk", Aside: 100, Back: 150}}}, false)
	c.Check(changes.Services["desk"], qt.IsTrue)
	c.Check(health(), qt.Equals, rules.Draining)
	c.Check(b.Lapse(99), qt.HasLen, 0)
	b.Take([]signals.Note{{Aside: &lookout.Judgement{ID: "h", Service: "desk", Aside: 90, Back: 95}}}, false)
	c.Check(health(), qt.Equals, rules.Draining)
	c.Check(b.Lapse(100)["desk"], qt.IsTrue)
	c.Check(b.Lapse(101), qt.HasLen, 0)
	c.Check(health(), qt.Equals, rules.Ready)
	b.Take([]signals.Note{{Aside: &lookout.Judgement{ID: "h", Service: "desk", Aside: 300, Back: 350}}}, false)
	c.Check(health(), qt.Equals, rules.Draining)
	b.Lapse(400)
	c.Check(health(), qt.Equals, rules.Ready)
	c.Check(b.Asides, qt.HasLen, 0)
}
