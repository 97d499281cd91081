package instance

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

const second = int64(1e9)

// Each case applies steps to the table of process "a" and checks the resulting state, responsiveness and owner of one instance.
func TestStateTransitions(t *testing.T) {
	at := func(seq uint64, state State) Instance {
		return Instance{ID: "i", Service: "desk", Address: "10.0.0.1:1", State: state, Sequence: seq}
	}
	unresponsive := func(h Instance) Instance { h.Unresponsive = true; return h }
	type step func(r *Table)
	heartbeat := func(now int64, h Instance) step { return func(r *Table) { r.Heartbeat(now, h) } }
	merge := func(now int64, h Instance) step { return func(r *Table) { r.Merge(now, h) } }
	checkHeartbeats := func(now int64) step { return func(r *Table) { r.CheckHeartbeats(now, true) } }
	reconcile := func(now int64, owner string, ids ...string) step {
		return func(r *Table) {
			listed := map[string]bool{}
			for _, id := range ids {
				listed[id] = true
			}
			r.Reconcile(now, owner, listed)
		}
	}
	for _, x := range []struct {
		name         string
		steps        []step
		state        State
		unresponsive bool
		owner        string
	}{
		{"first heartbeat", []step{heartbeat(0, at(1, Ready))}, Ready, false, "a"},
		{"drains", []step{heartbeat(0, at(1, Ready)), heartbeat(second, at(2, Draining))}, Draining, false, "a"},
		{"late heartbeat does not undo draining", []step{heartbeat(0, at(2, Draining)), heartbeat(second, at(1, Ready))}, Draining, false, "a"},
		{"newer heartbeat does not undo draining", []step{heartbeat(0, at(2, Draining)), heartbeat(second, at(3, Ready))}, Draining, false, "a"},
		{"left", []step{heartbeat(0, at(1, Ready)), func(r *Table) { r.Deregister(second, "i") }}, Gone, false, "a"},
		{"heartbeat after it deregistered", []step{heartbeat(0, at(1, Ready)), func(r *Table) { r.Deregister(second, "i") }, heartbeat(2*second, at(9, Ready))}, Gone, false, "a"},
		{"gone according to another process", []step{heartbeat(0, at(5, Ready)), merge(second, at(1, Gone))}, Gone, false, ""},
		{"overdue beyond the timeout", []step{heartbeat(0, at(1, Ready)), checkHeartbeats(4 * second)}, Ready, true, "a"},
		{"overdue by less than the timeout", []step{heartbeat(0, at(1, Ready)), checkHeartbeats(3 * second)}, Ready, false, "a"},
		{"heartbeat after a timeout", []step{heartbeat(0, at(1, Ready)), checkHeartbeats(4 * second), heartbeat(5*second, at(2, Ready))}, Ready, false, "a"},
		{"heartbeats go to another process", []step{heartbeat(0, at(1, Ready)), merge(second, Instance{ID: "i", Sequence: 2, Owner: "b"}), checkHeartbeats(9 * second)}, Ready, false, "b"},
		{"unresponsive according to another process but sends heartbeats here", []step{heartbeat(0, at(1, Ready)), heartbeat(second, at(2, Ready)),
			merge(2*second, unresponsive(at(1, Ready)))}, Ready, false, "a"},
		{"owner disconnects and heartbeats stop", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}),
			func(r *Table) { r.Adopt(second, "b") }, checkHeartbeats(5 * second)}, Ready, true, "b"},
		{"owner disconnects and reconnects", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}),
			func(r *Table) { r.Adopt(second, "b"); r.Release("b") }, checkHeartbeats(9 * second)}, Ready, false, "b"},
		{"owner restarts and does not list it", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}),
			func(r *Table) { r.Adopt(second, "b"); r.Release("b") }, reconcile(2*second, "b"), checkHeartbeats(5 * second), checkHeartbeats(6 * second)}, Ready, true, "b"},
		{"owner restarts and does not list it, timeout not reached", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}),
			func(r *Table) { r.Adopt(second, "b"); r.Release("b") }, reconcile(2*second, "b"), checkHeartbeats(5 * second)}, Ready, false, "b"},
		{"owner restarts and receives a heartbeat later", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}),
			func(r *Table) { r.Adopt(second, "b"); r.Release("b") }, reconcile(2*second, "b"), merge(3*second, Instance{ID: "i", Sequence: 4, Owner: "b"}), checkHeartbeats(9 * second)}, Ready, false, "b"},
		{"owner restarts and lists it", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}), reconcile(2*second, "b", "i"), checkHeartbeats(9 * second)}, Ready, false, "b"},
		{"process that is not the owner does not list it", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}), reconcile(2*second, "c"), checkHeartbeats(9 * second)}, Ready, false, "b"},
		{"heartbeats arrive here and the former owner does not list it", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}), heartbeat(second, at(2, Ready)), reconcile(2*second, "b"),
			checkHeartbeats(3 * second)}, Ready, false, "a"},
		{"gone and not listed by its owner", []step{merge(0, Instance{ID: "i", Sequence: 1, State: Gone, Owner: "b"}), reconcile(2*second, "b"), checkHeartbeats(9 * second)}, Gone, false, "b"},
		{"process with too few connections marks nothing unresponsive", []step{merge(0, Instance{ID: "i", Sequence: 1, Owner: "b"}),
			func(r *Table) { r.Adopt(second, "b"); r.CheckHeartbeats(9*second, false) }, checkHeartbeats(10 * second)}, Ready, false, "b"},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			r := NewTable("a", 1300e6)
			for _, step := range x.steps {
				step(r)
			}
			h := r.Lookup("i")
			c.Check(h.State, qt.Equals, x.state)
			c.Check(h.Unresponsive, qt.Equals, x.unresponsive)
			c.Check(h.Owner, qt.Equals, x.owner)
		})
	}
}

// Heartbeats that change nothing but the sequence number must not cause announcements.
func TestOnlyChangesAnnounced(t *testing.T) {
	c := qt.New(t)
	r := NewTable("a", 1300e6)
	h := Instance{ID: "i", Service: "desk", Sequence: 1, WarmUpUntil: 10 * second}
	for i, x := range []struct {
		change  func()
		changed bool
	}{
		{func() {}, true},
		{func() {}, false},
		{func() { h.WarmUpUntil += second / 10 }, false}, // within warmUpTolerance
		{func() { h.WarmUpUntil += 5 * second }, true},   // a new warm-up
		{func() { h.State = Draining }, true},
		{func() {}, false},
	} {
		x.change()
		h.Sequence++
		_, changed := r.Heartbeat(second, h)
		c.Check(changed, qt.Equals, x.changed, qt.Commentf("step %d", i))
	}
}

// An instance that another process reports as unresponsive is evicted after unresponsiveRetention, unless it recovers.
func TestUnresponsiveRetention(t *testing.T) {
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
	_, changed := r.Heartbeat(1300*second, Instance{ID: "dead", Service: "desk", Sequence: 9}) // reconnects after its eviction
	c.Check(changed, qt.IsTrue)
	c.Check(known(), qt.DeepEquals, []string{"dead", "own", "well"})
}
