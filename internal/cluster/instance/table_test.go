package instance

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

const second = int64(1e9)

// Each step is what one control process hears of a host; want is how it is known then.
func TestStates(t *testing.T) {
	at := func(seq uint64, state State) Instance {
		return Instance{ID: "i", Service: "desk", Address: "10.0.0.1:1", State: state, Sequence: seq}
	}
	silent := func(h Instance) Instance { h.Unresponsive = true; return h }
	type step func(r *Table)
	beat := func(now int64, h Instance) step { return func(r *Table) { r.Heartbeat(now, h) } }
	merge := func(now int64, h Instance) step { return func(r *Table) { r.Merge(now, h) } }
	tick := func(now int64) step { return func(r *Table) { r.CheckHeartbeats(now, true) } }
	lists := func(now int64, owner string, ids ...string) step {
		return func(r *Table) {
			named := map[string]bool{}
			for _, id := range ids {
				named[id] = true
			}
			r.Reconcile(now, owner, named)
		}
	}
	for _, x := range []struct {
		name   string
		steps  []step
		state  State
		silent bool
		owner  string
	}{
		{"a beat", []step{beat(0, at(1, Ready))}, Ready, false, "a"},
		{"drains", []step{beat(0, at(1, Ready)), beat(second, at(2, Draining))}, Draining, false, "a"},
		{"a late beat takes nothing back", []step{beat(0, at(2, Draining)), beat(second, at(1, Ready))}, Draining, false, "a"},
		{"a newer beat doesn't make it ready again", []step{beat(0, at(2, Draining)), beat(second, at(3, Ready))}, Draining, false, "a"},
		{"left", []step{beat(0, at(1, Ready)), func(r *Table) { r.Deregister(second, "i") }}, Gone, false, "a"},
		{"a beat after it left", []step{beat(0, at(1, Ready)), func(r *Table) { r.Deregister(second, "i") }, beat(2*second, at(9, Ready))}, Gone, false, "a"},
		{"left, as another knows", []step{beat(0, at(5, Ready)), merge(second, at(1, Gone))}, Gone, false, ""},
		{"missed beats", []step{beat(0, at(1, Ready)), tick(4 * second)}, Ready, true, "a"},
		{"missed fewer", []step{beat(0, at(1, Ready)), tick(3 * second)}, Ready, false, "a"},
		{"heard again", []step{beat(0, at(1, Ready)), tick(4 * second), beat(5*second, at(2, Ready))}, Ready, false, "a"},
		{"beats elsewhere", []step{beat(0, at(1, Ready)), merge(second, Instance{ID: "i", Sequence: 2, Owner: "b"}), tick(9 * second)}, Ready, false, "b"},
		{"another took it for silent that beats here", []step{beat(0, at(1, Ready)), beat(second, at(2, Ready)),
			merge(2*second, silent(at(1, Ready)))}, Ready, false, "a"},
		{"its owner is lost, and it beats nowhere", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}),
			func(r *Table) { r.Adopt(second, "b") }, tick(5 * second)}, Ready, true, "b"},
		{"its owner is lost and found", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}),
			func(r *Table) { r.Adopt(second, "b"); r.Release("b") }, tick(9 * second)}, Ready, false, "b"},
		{"its owner starts again, and doesn't name it", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}),
			func(r *Table) { r.Adopt(second, "b"); r.Release("b") }, lists(2*second, "b"), tick(5 * second), tick(6 * second)}, Ready, true, "b"},
		{"it isn't missed yet", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}),
			func(r *Table) { r.Adopt(second, "b"); r.Release("b") }, lists(2*second, "b"), tick(5 * second)}, Ready, false, "b"},
		{"and is beaten to", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}),
			func(r *Table) { r.Adopt(second, "b"); r.Release("b") }, lists(2*second, "b"), merge(3*second, Instance{ID: "i", Sequence: 4, Owner: "b"}), tick(9 * second)}, Ready, false, "b"},
		{"and names it", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}), lists(2*second, "b", "i"), tick(9 * second)}, Ready, false, "b"},
		{"another lists its own", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}), lists(2*second, "c"), tick(9 * second)}, Ready, false, "b"},
		{"beats here, and its former owner lists none", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}), beat(second, at(2, Ready)), lists(2*second, "b"),
			tick(3 * second)}, Ready, false, "a"},
		{"gone, and not named", []step{merge(0, Instance{ID: "i", Sequence: 1, State: Gone, Owner: "b"}), lists(2*second, "b"), tick(9 * second)}, Gone, false, "b"},
		{"who hears too few judges nobody", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}),
			func(r *Table) { r.Adopt(second, "b"); r.CheckHeartbeats(9*second, false) }, tick(10 * second)}, Ready, false, "b"},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			r := NewTable("a", 1300e6)
			for _, step := range x.steps {
				step(r)
			}
			h := r.Lookup("i")
			c.Check(h.State, qt.Equals, x.state)
			c.Check(h.Unresponsive, qt.Equals, x.silent)
			c.Check(h.Owner, qt.Equals, x.owner)
		})
	}
}

// Only changes travel: a beat that says what is known tells nobody anything.
func TestOnlyChangesTravel(t *testing.T) {
	c := qt.New(t)
	r := NewTable("a", 1300e6)
	h := Instance{ID: "i", Service: "desk", Sequence: 1, WarmUpUntil: 10 * second}
	for i, x := range []struct {
		change  func()
		changed bool
	}{
		{func() {}, true},
		{func() {}, false},
		{func() { h.WarmUpUntil += second / 10 }, false}, // the way takes its time
		{func() { h.WarmUpUntil += 5 * second }, true},   // cold again
		{func() { h.State = Draining }, true},
		{func() {}, false},
	} {
		x.change()
		h.Sequence++
		_, changed := r.Heartbeat(second, h)
		c.Check(changed, qt.Equals, x.changed, qt.Commentf("step %d", i))
	}
}

func TestParseHeartbeat(t *testing.T) {
	c := qt.New(t)
	good := func() map[string]any {
		return map[string]any{"address": "10.0.0.1:1", "information": map[string]any{"service": "s", "version": "v1", "zone-name": "z",
			"slot-count": 3.0}, "current-status": map[string]any{"server-state": "ready", "sequence": 4.0, "cold-remaining-s": 1.5}}
	}
	h, err := ParseHeartbeat("i", good(), second)
	c.Assert(err, qt.IsNil)
	c.Check(h, qt.Equals, Instance{ID: "i", Service: "s", Address: "10.0.0.1:1", Zone: "z", Version: "v1", Slots: 3, Sequence: 4, WarmUpUntil: second + 3*second/2})
	for path, spoil := range map[string]func(map[string]any){
		"information.service":         func(t map[string]any) { delete(t["information"].(map[string]any), "service") },
		"current-status.server-state": func(t map[string]any) { t["current-status"].(map[string]any)["server-state"] = "well" },
		"current-status.sequence":     func(t map[string]any) { t["current-status"].(map[string]any)["sequence"] = -1.0 },
		"address":                     func(t map[string]any) { t["address"] = 7.0 },
		"information.slot-count":      func(t map[string]any) { t["information"].(map[string]any)["slot-count"] = 0.5 },
	} {
		tree := good()
		spoil(tree)
		_, err := ParseHeartbeat("i", tree, second)
		c.Check(err, qt.ErrorMatches, "(?s).*"+path+": .*", qt.Commentf(path))
	}
}

// A host that another has called silent is known for ten minutes more, and one that is heard again for as long as it is.
func TestForgottenWhenLongSilent(t *testing.T) {
	c := qt.New(t)
	r := NewTable("a", 1300e6)
	for _, id := range []string{"back", "dead", "own", "well"} {
		r.Merge(0, Instance{ID: id, Service: "desk", Sequence: 1, Owner: "b", Unresponsive: id == "back" || id == "dead"})
	}
	r.Heartbeat(0, Instance{ID: "own", Service: "desk", Sequence: 2})
	known := func() (ids []string) {
		for _, h := range r.All() {
			ids = append(ids, h.ID)
		}
		return ids
	}
	for at := int64(0); at <= 600*second; at += 60 * second {
		r.Heartbeat(at, Instance{ID: "own", Service: "desk", Sequence: uint64(at/second) + 3})
		if r.EvictUnresponsive(at); at == 300*second {
			r.Merge(at, Instance{ID: "back", Service: "desk", Sequence: 2, Owner: "b"})
		}
		c.Check(known(), qt.DeepEquals, []string{"back", "dead", "own", "well"}, qt.Commentf("%d s", at/second))
	}
	r.Merge(600*second, Instance{ID: "back", Service: "desk", Sequence: 2, Owner: "b", Unresponsive: true})
	r.EvictUnresponsive(660 * second)
	c.Check(known(), qt.DeepEquals, []string{"back", "own", "well"})
	r.EvictUnresponsive(1200 * second)
	c.Check(known(), qt.DeepEquals, []string{"back", "own", "well"})
	r.EvictUnresponsive(1261 * second)
	c.Check(known(), qt.DeepEquals, []string{"own", "well"})
	c.Check(r.unresponsiveSince, qt.HasLen, 0)
	_, news := r.Heartbeat(1300*second, Instance{ID: "dead", Service: "desk", Sequence: 9}) // it was cut off from all
	c.Check(news, qt.IsTrue)
	c.Check(known(), qt.DeepEquals, []string{"dead", "own", "well"})
}
