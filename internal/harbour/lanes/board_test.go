package lanes

import (
	"fmt"
	"runtime"
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
	changes := b.Take([]signals.Note{{Aside: &lookout.Judgement{ID: "h", Service: "desk", Aside: 100e9, Back: 150e9}}}, false)
	c.Check(changes.Services["desk"], qt.IsTrue)
	c.Check(health(), qt.Equals, rules.Draining)
	c.Check(b.Lapse(99e9), qt.HasLen, 0)
	b.Take([]signals.Note{{Aside: &lookout.Judgement{ID: "h", Service: "desk", Aside: 90e9, Back: 95e9}}}, false)
	c.Check(health(), qt.Equals, rules.Draining)
	changes = b.Take([]signals.Note{{Aside: &lookout.Judgement{ID: "h", Service: "desk", Aside: 100.1e9, Back: 150.1e9}}}, false) // the same by another way
	c.Check(changes.Services, qt.HasLen, 0)
	c.Check(b.Lapse(100e9)["desk"], qt.IsTrue)
	c.Check(b.Lapse(101e9), qt.HasLen, 0)
	c.Check(health(), qt.Equals, rules.Ready)
	b.Take([]signals.Note{{Aside: &lookout.Judgement{ID: "h", Service: "desk", Aside: 300e9, Back: 350e9}}}, false)
	c.Check(health(), qt.Equals, rules.Draining)
	b.Lapse(400e9)
	c.Check(health(), qt.Equals, rules.Ready)
	c.Check(b.Asides, qt.HasLen, 0)
}

// many is a board that knows so many hosts of a hundred services.
func many(hosts int) *Board {
	b := board()
	for n := range hosts {
		b.Take([]signals.Note{{Host: &berths.Host{ID: fmt.Sprintf("h%05d", n), Service: fmt.Sprint("s", min(n/20, 99)), Zone: "a", Sequence: 1}}}, false)
	}
	return b
}

// What a change of one host costs follows the hosts of its service, and not all hosts: a router that knew 4,200 sorted all of
// them at each change, and 220 times after a snapshot.
func TestCostOfHosts(t *testing.T) {
	c := qt.New(t)
	bytes := func(b *Board) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range 20 {
			b.Hosts("s3")
			b.Of("s3")
			b.Forget("s3")
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / 20
	}
	few, all := bytes(many(100)), bytes(many(2000))
	t.Logf("bytes: %d at 100 hosts, %d at 2,000", few, all)
	c.Check(all < few*2, qt.IsTrue)
}

// The hosts of a service are those that were told last, whatever came between: one that ended goes once the rules know, and one
// that is told under another service is that one's.
func TestHostsOfService(t *testing.T) {
	c := qt.New(t)
	b := many(60)
	c.Check(b.Hosts("s1"), qt.HasLen, 20)
	b.Take([]signals.Note{{Host: &berths.Host{ID: "h00020", Sequence: 2, State: berths.Gone}}}, false) // as a leave tells it
	c.Check(b.Hosts("s1"), qt.HasLen, 20)
	c.Check(b.Hosts("s1")[0].Health, qt.Equals, rules.Gone)
	b.Forget("s1")
	c.Check(b.Hosts("s1"), qt.HasLen, 19)
	c.Check(b.Of("s1"), qt.HasLen, 19)
	b.Take([]signals.Note{{Host: &berths.Host{ID: "h00021", Service: "s2", Zone: "a", Sequence: 2}}}, false)
	c.Check(b.Hosts("s1"), qt.HasLen, 18)
	c.Check(b.Hosts("s2"), qt.HasLen, 21)
	b.Take([]signals.Note{{Host: &berths.Host{ID: "h00022", Service: "s1", Zone: "a", Sequence: 1}}}, true)
	silent := 0
	for _, h := range b.Hosts("s1") {
		if h.Health == rules.Draining {
			silent++
		}
	}
	c.Check(silent, qt.Equals, 17) // all that the snapshot doesn't name
	c.Check(b.Known, qt.HasLen, 59)
}

// A router that is told anew, and as it was, changes no roster; one that comes, goes, is ready, is short or moves does.
func TestRouterToldAnew(t *testing.T) {
	c := qt.New(t)
	b := board()
	f := signals.Front{Name: "b1", Zone: "b", Ready: true, Since: 5, Owner: "m1"}
	take := func(change func()) bool {
		change()
		f.Change++
		x := f
		return b.Take([]signals.Note{{Front: &x}}, false).Fronts
	}
	c.Check(take(func() {}), qt.IsTrue)
	c.Check(take(func() {}), qt.IsFalse)
	c.Check(take(func() { f.Owner = "m2" }), qt.IsFalse)
	c.Check(take(func() { f.Short = true }), qt.IsTrue)
	c.Check(take(func() { f.Ready = false }), qt.IsTrue)
	c.Check(take(func() { f.Ready, f.Zone = true, "a" }), qt.IsTrue)
	c.Check(take(func() { f.Gone = true }), qt.IsTrue)
	c.Check(take(func() { f.Since, f.Change, f.Gone = 9, 0, false }), qt.IsTrue)
	rank, count, _, counted := b.Standing()
	c.Check([]any{rank, count, counted}, qt.DeepEquals, []any{1, 2, false})
}
