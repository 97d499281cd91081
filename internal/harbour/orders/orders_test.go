package orders

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/pilotage"
)

const s = int64(1e9)

func service(name string, version uint64) manifest.Item {
	return manifest.Item{Kind: manifest.Services, Name: name, Version: version, Body: []byte(fmt.Sprintf(`{"health-path":"/","name":"%s"}`, name))}
}

// route is one on a host of its own; content tells rivals apart.
func route(name string, version uint64, service, content string) manifest.Item {
	return manifest.Item{Kind: manifest.Routes, Name: name, Version: version, Body: []byte(fmt.Sprintf(
		`{"home-regions":["%s"],"host-name":"%s.example","name":"%s","path-prefix":"/","route-kind":"safe_method","service":"%s","timeout-s":1}`, content, name, name, service))}
}

func drop(kind, name string, version uint64) manifest.Item {
	return manifest.Item{Kind: kind, Name: name, Version: version, Dropped: true}
}

func modifies(items ...manifest.Item) Order { return Order{Kind: Modify, Items: items} }

// began is taken by a process that knows the first rollout, which began at 100 s; its clock of day is wrong.
func began(target string, now int64) Order {
	return Order{Kind: Begin, Of: "desk", Target: target, Term: 10 * s, Again: 5 * s, Now: now, Known: 1, Age: now - 100*s}
}

// copyOf is a begin at one who knows a rollout, which began so long ago.
func copyOf(target string, known uint64, age int64) Order {
	return Order{Kind: Begin, Of: "desk", Target: target, Term: 10 * s, Again: 5 * s, Known: known, Age: age}
}

func told(number uint64) Order { return Order{Kind: Tell, Of: "desk", Number: number} }

func ended(number uint64, state pilotage.State) Order {
	return Order{Kind: End, Of: "desk", Number: number, State: state, Now: 77 * s}
}

func evacuated(begun bool) Order { return Order{Kind: Evacuate, Of: "z1", Begun: begun} }

func joined(epoch uint64, in string, out ...string) Order {
	o := Order{Kind: Join, Out: out, Number: epoch}
	for _, f := range strings.Fields(in) {
		o.In = append(o.In, muster.Member{IP: f, ID: "d" + f, Zone: "z"})
	}
	return o
}

// bound is an order as it is handed over where only what came before an order stands.
type bound struct {
	Order
	at int // after how many of the orders before
}

// Orders come one after the other; each tells how many items it sets, or the kind of error and something of its reason.
func TestOrders(t *testing.T) {
	base := modifies(service("desk", 1), service("bags", 1))
	r1, r2 := route("r1", 2, "desk", "a"), route("r2", 2, "desk", "a")
	type step struct {
		o    any
		sets int
		kind faults.Kind
		says string
	}
	for name, steps := range map[string][]step{
		"taken, and again": {
			{modifies(r1, r2), 2, faults.None, ""},
			{modifies(r1, r2), 0, faults.None, ""},
			{modifies(r2), 0, faults.None, ""},
		},
		"a late copy after later versions": {
			{modifies(r1), 1, faults.None, ""},
			{modifies(route("r1", 3, "bags", "b")), 1, faults.None, ""},
			{modifies(drop(manifest.Routes, "r1", 4)), 1, faults.None, ""},
			{modifies(r1), 0, faults.None, ""},
			{modifies(route("r1", 3, "bags", "b")), 0, faults.None, ""},
		},
		"a rival of what stands": {
			{modifies(r1), 1, faults.None, ""},
			{modifies(route("r1", 2, "desk", "b")), 0, faults.Conflict, "routes r1: home-regions: version 00000002 stands as .*\"a\""},
			{modifies(route("r1", 2, "bags", "a")), 0, faults.Conflict, "r1: service: version"},
			{modifies(drop(manifest.Routes, "r1", 2)), 0, faults.Conflict, "r1: dropped: version"},
		},
		"a rival of a drop": {
			{modifies(r1), 1, faults.None, ""},
			{modifies(drop(manifest.Routes, "r1", 3)), 1, faults.None, ""},
			{modifies(drop(manifest.Routes, "r1", 3)), 0, faults.None, ""},
			{modifies(route("r1", 3, "desk", "b")), 0, faults.Conflict, "r1: dropped: version 00000003 stands as dropped"},
		},
		"a rival with other items is refused as a whole": {
			{modifies(r1), 1, faults.None, ""},
			{modifies(r2, route("r1", 2, "desk", "b")), 0, faults.Conflict, "routes r1"},
			{modifies(r2), 1, faults.None, ""},
		},
		"a rival stays refused once a later version stands": {
			{modifies(r1), 1, faults.None, ""},
			{modifies(r2, route("r1", 2, "desk", "b")), 0, faults.Conflict, "routes r1"},
			{modifies(route("r1", 3, "desk", "c")), 1, faults.None, ""},
			{modifies(r2, route("r1", 2, "desk", "b")), 0, faults.Conflict, "r1: version 00000002 was taken with another content; version 00000003 stands"},
			{modifies(r2, r1), 1, faults.None, ""},
		},
		"what is behind and was never taken changes nothing, and the rest is taken": {
			{modifies(route("r1", 5, "desk", "a")), 1, faults.None, ""},
			{modifies(route("r1", 3, "desk", "z"), r2), 1, faults.None, ""},
			{modifies(route("r1", 5, "desk", "a")), 0, faults.None, ""},
		},
		"an unknown service": {
			{modifies(route("r1", 2, "nowhere", "a"), r2), 0, faults.Invalid, "route r1: service:? nowhere does not stand"},
			{modifies(r2), 1, faults.None, ""},
		},
		"a service in the same call": {
			{modifies(route("r1", 2, "gate", "a"), service("gate", 2)), 2, faults.None, ""},
			{modifies(route("r1", 2, "gate", "a"), service("gate", 2)), 0, faults.None, ""},
		},
		"behind, with a service that was dropped since": {
			{modifies(route("r1", 2, "bags", "a")), 1, faults.None, ""},
			{modifies(route("r1", 3, "desk", "b"), drop(manifest.Services, "bags", 3)), 2, faults.None, ""},
			{modifies(route("r1", 2, "bags", "a")), 0, faults.None, ""},
			{modifies(route("r1", 4, "bags", "c")), 0, faults.Invalid, "service bags does not stand|service: bags does not stand"},
		},
		"the place of another route": {
			{modifies(r1), 1, faults.None, ""},
			{modifies(manifest.Item{Kind: manifest.Routes, Name: "r3", Version: 2, Body: []byte(strings.Replace(string(r1.Body), `"name":"r1"`, `"name":"r3"`, 1))}), 0, faults.Invalid, "r[13]"},
		},
		"an evacuation": {
			{evacuated(false), 0, faults.None, ""},
			{evacuated(true), 1, faults.None, ""},
			{evacuated(true), 0, faults.None, ""},
			{evacuated(false), 1, faults.None, ""},
			{evacuated(false), 0, faults.None, ""},
			{evacuated(true), 1, faults.None, ""},
		},
		"an evacuation handed over, and withdrawn meanwhile": {
			{evacuated(true), 1, faults.None, ""},
			{evacuated(false), 1, faults.None, ""},
			{bound{evacuated(true), 0}, 0, faults.Unready, "changed since"},
			{bound{evacuated(false), 0}, 0, faults.None, ""},
			{bound{evacuated(true), 2}, 1, faults.None, ""},
		},
		"a begin, and again": {
			{began("v2", 100*s), 1, faults.None, ""},
			{began("v2", 100*s), 0, faults.None, ""},
			{began("v2", 105*s), 0, faults.None, ""},
			{ended(1, pilotage.Completed), 1, faults.None, ""},
			{told(1), 1, faults.None, ""},
			{began("v2", 114*s), 0, faults.None, ""}, // a late copy
			{began("v2", 115*s), 1, faults.None, ""}, // anew
		},
		"a begin to another target": {
			{began("v2", 100*s), 1, faults.None, ""},
			{began("v3", 101*s), 0, faults.UnderWay, "desk is being moved to v2"},
			{ended(1, pilotage.RolledBack), 1, faults.None, ""},
			{began("v3", 102*s), 1, faults.None, ""},
		},
		"a begin of another term once the first has ended": {
			{began("v2", 100*s), 1, faults.None, ""},
			{ended(1, pilotage.RolledBack), 1, faults.None, ""},
			{Order{Kind: Begin, Of: "desk", Target: "v2", Term: 20 * s, Again: 5 * s, Now: 101 * s, Known: 1, Age: s}, 1, faults.None, ""},
		},
		"a copy of a begin, by clocks of day an hour apart": {
			{began("v2", 100*s), 1, faults.None, ""},
			{ended(1, pilotage.RolledBack), 1, faults.None, ""},
			{Order{Kind: Begin, Of: "desk", Target: "v2", Term: 10 * s, Again: 5 * s, Now: 3700 * s, Known: 1, Age: 14 * s}, 0, faults.None, ""},
			{Order{Kind: Begin, Of: "desk", Target: "v2", Term: 10 * s, Again: 5 * s, Now: 1, Known: 1, Age: 15 * s}, 1, faults.None, ""}, // anew
		},
		"a copy of a begin, at one who doesn't know of it yet": {
			{began("v2", 100*s), 1, faults.None, ""},
			{ended(1, pilotage.RolledBack), 1, faults.None, ""},
			{Order{Kind: Begin, Of: "desk", Target: "v2", Term: 10 * s, Again: 5 * s, Now: 200 * s, Known: 0, Age: 99 * s}, 0, faults.None, ""},
		},
		"completed, and not yet told to be": {
			{told(1), 0, faults.None, ""},
			{began("v2", 100*s), 1, faults.None, ""},
			{told(1), 0, faults.None, ""}, // it runs
			{ended(1, pilotage.Completed), 1, faults.None, ""},
			{began("v2", 200*s), 0, faults.None, ""}, // for operators it runs still
			{began("v3", 200*s), 0, faults.UnderWay, "desk is being moved to v2"},
			{ended(1, pilotage.Completed), 0, faults.None, ""}, // a copy of the end tells nothing
			{ended(1, pilotage.RolledBack), 0, faults.None, ""},
			{told(2), 0, faults.None, ""},
			{told(1), 1, faults.None, ""},
			{told(1), 0, faults.None, ""},
			{began("v3", 200*s), 1, faults.None, ""},
			{told(1), 0, faults.None, ""}, // of one that is over
			{told(2), 0, faults.None, ""},
		},
		"rolled back is told at once": {
			{began("v2", 100*s), 1, faults.None, ""},
			{ended(1, pilotage.RolledBack), 1, faults.None, ""},
			{told(1), 0, faults.None, ""},
		},
		"a copy of a begin, while the next one runs, and once that has ended": {
			{began("v2", 100*s), 1, faults.None, ""},
			{ended(1, pilotage.RolledBack), 1, faults.None, ""},
			{began("v3", 101*s), 1, faults.None, ""},
			{copyOf("v2", 2, 2*s), 0, faults.None, ""},  // it was taken: confirmed, and not begun once more
			{copyOf("v2", 1, 99*s), 0, faults.None, ""}, // by one who doesn't know the next one yet
			{copyOf("v4", 2, 2*s), 0, faults.UnderWay, "desk is being moved to v3"},
			{Order{Kind: Begin, Of: "desk", Target: "v2", Term: 20 * s, Again: 5 * s, Known: 2, Age: 2 * s}, 0, faults.UnderWay, "v3"}, // of another term
			{copyOf("v2", 2, 5*s), 0, faults.UnderWay, "desk is being moved to v3"},                                                    // nobody sends it again so late
			{ended(2, pilotage.RolledBack), 1, faults.None, ""},
			{copyOf("v2", 2, 4*s), 0, faults.None, ""},
			{copyOf("v3", 2, 14*s), 0, faults.None, ""},
			{copyOf("v2", 2, 5*s), 1, faults.None, ""}, // anew
			{copyOf("v3", 3, s), 0, faults.None, ""},
		},
		"a begin handed over, and another since": {
			{began("v2", 100*s), 1, faults.None, ""},
			{ended(1, pilotage.Completed), 1, faults.None, ""},
			{told(1), 1, faults.None, ""},
			{bound{began("v3", 100*s), 0}, 0, faults.Unready, "changed since"},
			{bound{began("v2", 100*s), 0}, 0, faults.None, ""},
		},
		"a begin of what doesn't stand": {
			{Order{Kind: Begin, Of: "nowhere", Target: "v2"}, 0, faults.Invalid, "service: nowhere does not stand"},
		},
		"a begin of what was dropped": {
			{modifies(drop(manifest.Services, "desk", 4)), 1, faults.None, ""},
			{began("v2", 100*s), 0, faults.Invalid, "service: desk does not stand"},
		},
		"an end, twice, and the wrong ones": {
			{ended(1, pilotage.Completed), 0, faults.None, ""}, // none runs
			{began("v2", 100*s), 1, faults.None, ""},
			{ended(2, pilotage.Completed), 0, faults.None, ""},
			{ended(0, pilotage.Completed), 0, faults.None, ""},
			{ended(1, pilotage.None), 0, faults.None, ""},
			{ended(1, pilotage.Running), 0, faults.None, ""},
			{ended(1, pilotage.RolledBack+1), 0, faults.None, ""},
			{ended(1, pilotage.RolledBack), 1, faults.None, ""},
			{ended(1, pilotage.Completed), 0, faults.None, ""}, // it is decided once
			{ended(1, pilotage.RolledBack), 0, faults.None, ""},
		},
		"a first version": {
			{Order{Kind: Settle, Of: "desk", Version: "v1"}, 1, faults.None, ""},
			{Order{Kind: Settle, Of: "desk", Version: "v1"}, 0, faults.None, ""},
			{Order{Kind: Settle, Of: "desk", Version: "v9"}, 0, faults.None, ""}, // the first holds
		},
		"members": {
			{joined(0, "1 2 3"), 1, faults.None, ""},
			{joined(0, "1 2 3"), 0, faults.None, ""},
			{joined(1, "4", "3"), 1, faults.None, ""},
			{joined(1, "5"), 0, faults.Unready, "epoch 2, not 1"},
			{joined(2, "", "9"), 0, faults.None, ""},
			{joined(2, "", "1", "2", "4"), 0, faults.None, ""}, // nobody would be left
			{joined(0, "5"), 1, faults.None, ""},
		},
		"no such order": {
			{Order{Kind: "sink"}, 0, faults.Malformed, "sink"},
			{Order{}, 0, faults.Malformed, ""},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			set := manifest.NewSet()
			sets := []*manifest.Set{}
			do := func(o Order) ([]manifest.Item, error) {
				before := set.Sum()
				items, err := Apply(set, o)
				c.Assert(set.Sum(), qt.Equals, before, qt.Commentf("the set is not touched"))
				return items, err
			}
			items, err := do(base)
			c.Assert(err, qt.IsNil)
			for _, i := range items {
				set.Merge(i)
			}
			for n, x := range steps {
				sets = append(sets, set.Clone())
				o, plain := x.o.(Order)
				if b, ok := x.o.(bound); !plain && ok {
					o = Bind(sets[b.at], b.Order)
				}
				items, err := do(o)
				c.Check(faults.Of(err), qt.Equals, x.kind, qt.Commentf("step %d: %v", n, err))
				if x.says != "" {
					c.Check(err, qt.ErrorMatches, "(?s).*("+x.says+").*", qt.Commentf("step %d", n))
				}
				c.Check(items, qt.HasLen, x.sets, qt.Commentf("step %d: %v", n, items))
				for _, i := range items {
					c.Check(set.Merge(i), qt.IsTrue, qt.Commentf("step %d: %v isn't newer than what stands", n, i))
				}
				again, err := do(o)
				if x.kind == faults.None && o.Number == 0 { // it stands
					c.Check(err, qt.IsNil)
					c.Check(again, qt.HasLen, 0, qt.Commentf("step %d, again: %v", n, again))
				}
			}
		})
	}
}

// A snapshot takes the place of all that stands but the members, also where it is older, under a new epoch; a copy of the
// order changes nothing, whatever was confirmed since.
func TestRestore(t *testing.T) {
	c := qt.New(t)
	set := manifest.NewSet()
	do := func(o Order) []manifest.Item {
		items, err := Apply(set, o)
		c.Assert(err, qt.IsNil)
		if IsWhole(items) {
			set.Become(items[1:])
		} else {
			for _, i := range items {
				set.Merge(i)
			}
		}
		return items
	}
	do(modifies(service("desk", 1), route("r1", 5, "desk", "a"), route("r2", 5, "desk", "a")))
	do(joined(0, "1 2"))
	snapshot := Order{Kind: Restore, Number: 1, Version: "first", Items: []manifest.Item{service("desk", 1), route("r1", 3, "desk", "old"), drop(manifest.Routes, "r3", 4), muster.List{Epoch: 9}.Item()}}
	c.Check(IsWhole(do(snapshot)), qt.IsTrue)
	c.Check(muster.Of(set), qt.DeepEquals, muster.List{Epoch: 2, Members: joined(0, "1 2").In, Restored: []string{"first"}})
	for _, i := range snapshot.Items[:3] {
		now, there := set.Get(i.Key())
		c.Check(there && now.Same(i), qt.IsTrue, qt.Commentf("%s %s", i.Kind, i.Name))
	}
	_, there := set.Get(manifest.Key{Kind: manifest.Routes, Name: "r2"})
	c.Check(there, qt.IsFalse)
	_, there = set.Get(Whole)
	c.Check(there, qt.IsFalse)
	c.Check(set.Len(), qt.Equals, 4)
	c.Check(do(snapshot), qt.HasLen, 0, qt.Commentf("again"))
	c.Check(do(modifies(route("r2", 4, "desk", "b"))), qt.HasLen, 1, qt.Commentf("a version lower than what stood before"))
	// a copy of the order that was on its way changes nothing that was confirmed since
	c.Check(do(snapshot), qt.HasLen, 0, qt.Commentf("a late copy"))
	snapshot.Number = 2
	c.Check(do(snapshot), qt.HasLen, 0, qt.Commentf("a late copy of a later try"))
	do(joined(2, "3"))
	c.Check(do(snapshot), qt.HasLen, 0, qt.Commentf("after a change of members"))
	now, _ := set.Get(manifest.Key{Kind: manifest.Routes, Name: "r2"})
	c.Check(now.Version, qt.Equals, uint64(4))
	// the same snapshot restored once more is another order; one that goes by an older epoch is none
	snapshot.Version = "second"
	_, err := Apply(set, snapshot)
	c.Check(faults.Of(err), qt.Equals, faults.Unready)
	snapshot.Number = 3
	c.Check(IsWhole(do(snapshot)), qt.IsTrue)
	c.Check(muster.Of(set).Epoch, qt.Equals, uint64(4))
	c.Check(muster.Of(set).Restored, qt.DeepEquals, []string{"first", "second"})
	for n := range 20 {
		snapshot.Number, snapshot.Version = uint64(4+n), fmt.Sprint(n)
		do(snapshot)
	}
	c.Check(muster.Of(set).Restored, qt.HasLen, muster.MostRestored)
	c.Check(IsWhole(nil), qt.IsFalse)
}

// A rollout's order goes up by one, from what was settled, and its end is of the same order.
func TestRollouts(t *testing.T) {
	c := qt.New(t)
	set := manifest.NewSet()
	do := func(o Order) pilotage.Rollout {
		items, err := Apply(set, o)
		c.Assert(err, qt.IsNil)
		for _, i := range items {
			set.Merge(i)
		}
		i, _ := set.Get(manifest.Key{Kind: manifest.Rollouts, Name: "desk"})
		return pilotage.Read(i)
	}
	do(modifies(service("desk", 1)))
	do(Order{Kind: Settle, Of: "desk", Version: "v1"})
	for n, x := range []struct {
		o    Order
		want pilotage.Rollout
	}{
		{began("v2", 1*s), pilotage.Rollout{Order: 1, From: "v1", Target: "v2", Began: 1 * s, State: pilotage.Running}},
		{ended(1, pilotage.RolledBack), pilotage.Rollout{Order: 1, From: "v1", Target: "v2", Began: 1 * s, State: pilotage.RolledBack, Ended: 77 * s}},
		{began("v3", 2*s), pilotage.Rollout{Order: 2, From: "v1", Target: "v3", Began: 2 * s, State: pilotage.Running, Past: past("v2")}},
		{ended(2, pilotage.Completed), pilotage.Rollout{Order: 2, From: "v1", Target: "v3", Began: 2 * s, State: pilotage.Completed, Ended: 77 * s, Switching: true, Past: past("v2")}},
		{told(2), pilotage.Rollout{Order: 2, From: "v1", Target: "v3", Began: 2 * s, State: pilotage.Completed, Ended: 77 * s, Past: past("v2")}},
		{began("v4", 3*s), pilotage.Rollout{Order: 3, From: "v3", Base: 2, Target: "v4", Began: 3 * s, State: pilotage.Running, Past: past("v3", "v2")}},
	} {
		x.want.Service, x.want.Term = "desk", 10*s
		c.Check(do(x.o), qt.Equals, x.want, qt.Commentf("step %d", n))
	}
}

// past is what orders of the usual term asked for, the newest first.
func past(targets ...string) (all [pilotage.MostPast]uint64) {
	for n, x := range targets {
		all[n] = pilotage.Asked(x, 10*s)
	}
	return all
}

// A rollout knows the orders before it, as many as are kept, also as it is read from its item.
func TestRolloutsBefore(t *testing.T) {
	c := qt.New(t)
	r := pilotage.Rollout{Service: "desk"}
	var targets []string
	for n := range 12 {
		r = r.Next()
		r.Target, r.Term = fmt.Sprint("v", n), 10*s
		c.Check(pilotage.Read(r.Item()), qt.Equals, r)
		c.Check(r.Past, qt.Equals, past(targets[:min(len(targets), pilotage.MostPast)]...))
		targets = append([]string{r.Target}, targets...)
	}
	c.Check(pilotage.Asked("v1", 1) != pilotage.Asked("v1", 2), qt.IsTrue)
	c.Check(pilotage.Asked("1 v", 2) != pilotage.Asked("v", 21), qt.IsTrue)
	c.Check(string(pilotage.Rollout{Order: 1, State: pilotage.Running}.Item().Body), qt.Not(qt.Contains), "past") // as before where there is none
}

// Differs names the first field by name.
func TestDiffers(t *testing.T) {
	a := manifest.Item{Body: []byte(`{"b":1,"c":[1,2]}`)}
	for body, field := range map[string]string{`{"b":1,"c":[1,2]}`: "", `{"b":2,"c":[1]}`: "b", `{"b":1,"c":[2,1]}`: "c", `{"b":1}`: "c", `{"a":0,"b":2,"c":[1,2]}`: "a", `{}`: "b"} {
		qt.Check(t, Differs(a, manifest.Item{Body: []byte(body)}), qt.Equals, field, qt.Commentf(body))
		qt.Check(t, Differs(manifest.Item{Body: []byte(body)}, a), qt.Equals, field, qt.Commentf(body))
	}
	qt.Check(t, Differs(a, manifest.Item{Dropped: true}), qt.Equals, "dropped")
}

// What an order sets fits a frame as it is laid out, marks of earlier versions and all; a restore that doesn't is refused with the
// figures, and so is a change that wouldn't with its marks.
func TestLaidInAFrame(t *testing.T) {
	c := qt.New(t)
	set := manifest.NewSet()
	var restored []manifest.Item
	for n := range 3 {
		restored = append(restored, manifest.Item{Kind: manifest.Services, Name: fmt.Sprint("s", n), Version: 1, Body: []byte(fmt.Sprintf(`{"health-path":"/%s"}`, strings.Repeat("x", 7<<20)))})
	}
	_, err := Apply(set, Order{Kind: Restore, Items: restored[:2], Version: "one"})
	c.Check(err, qt.IsNil)
	_, err = Apply(set, Order{Kind: Restore, Items: restored, Version: "two"})
	c.Check(faults.Of(err), qt.Equals, faults.Oversized)
	c.Check(err, qt.ErrorMatches, "(?s).*restore , 3 items: 220[0-9]{5} bytes, of at most 20971520 .*")

	var items []manifest.Item
	for n := range 400 { // of nine versions each, the longest figures
		i := manifest.Item{Kind: manifest.Routes, Name: fmt.Sprint("route-", n), Version: 1 << 62, Body: []byte(`{}`)}
		for v := range uint64(9) {
			old := i
			i.Version += v + 1
			i = i.After(old)
		}
		items = append(items, i)
	}
	raw, err := json.Marshal(items)
	c.Assert(err, qt.IsNil)
	c.Check(len(raw) <= manifest.Laid(items), qt.IsTrue, qt.Commentf("%d, told as %d", len(raw), manifest.Laid(items)))
	c.Check(len(raw) > manifest.Laid(items)*3/4, qt.IsTrue, qt.Commentf("%d, told as %d", len(raw), manifest.Laid(items)))
}
