package operation

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/membership"
)

const second = int64(1e9)

func service(name string, version uint64) config.Item {
	return config.Item{Kind: config.KindServices, Name: name, Version: version, Body: []byte(fmt.Sprintf(`{"health-path":"/","name":"%s"}`, name))}
}

// route returns a route with its own host name. Items of one version conflict if their content differs.
func route(name string, version uint64, service, content string) config.Item {
	return config.Item{Kind: config.KindRoutes, Name: name, Version: version, Body: []byte(fmt.Sprintf(
		`{"home-regions":["%s"],"host-name":"%s.example","name":"%s","path-prefix":"/","route-kind":"safe_method","service":"%s","timeout-s":1}`, content, name, name, service))}
}

func tombstone(kind, name string, version uint64) config.Item {
	return config.Item{Kind: kind, Name: name, Version: version, Deleted: true}
}

func modifyOp(items ...config.Item) Operation { return Operation{Kind: ModifyConfig, Items: items} }

// beginOp returns a BeginRollout submitted at now, by a process that has known rollout 1 since 100 s and whose wall clock is not agreed on.
func beginOp(target string, now int64) Operation {
	return Operation{Kind: BeginRollout, Name: "desk", TargetVersion: target, Duration: 10 * second, RetryWindow: 5 * second, SubmittedAt: now, KnownRollout: 1, KnownRolloutAge: now - 100*second}
}

// beginCopyOp returns a BeginRollout submitted by a process that has known the rollout with number known for age.
func beginCopyOp(target string, known uint64, age int64) Operation {
	return Operation{Kind: BeginRollout, Name: "desk", TargetVersion: target, Duration: 10 * second, RetryWindow: 5 * second, KnownRollout: known, KnownRolloutAge: age}
}

func completeSwitchOp(number uint64) Operation {
	return Operation{Kind: CompleteSwitch, Name: "desk", Expected: number}
}

func endOp(number uint64, state rollout.State) Operation {
	return Operation{Kind: EndRollout, Name: "desk", Expected: number, Outcome: state, SubmittedAt: 77 * second}
}

func evacuateOp(active bool) Operation { return Operation{Kind: Evacuate, Name: "z1", Active: active} }

func changeMembersOp(epoch uint64, add string, remove ...string) Operation {
	o := Operation{Kind: ChangeMembers, Remove: remove, Expected: epoch}
	for _, f := range strings.Fields(add) {
		o.Add = append(o.Add, membership.Member{IP: f, ID: "d" + f, Zone: "z"})
	}
	return o
}

// conditionalOp is an operation that is bound to an earlier state of the set.
type conditionalOp struct {
	Operation
	stepsBefore int // number of steps applied before that state
}

// Applies operations in sequence. Each step states the number of items set, or the kind of error and a pattern of its text.
func TestOperations(t *testing.T) {
	base := modifyOp(service("desk", 1), service("bags", 1))
	r1, r2 := route("r1", 2, "desk", "a"), route("r2", 2, "desk", "a")
	type step struct {
		o         any
		sets      int
		wantKind  apierror.Kind
		wantError string
	}
	for name, steps := range map[string][]step{
		"applied, then repeated": {
			{modifyOp(r1, r2), 2, apierror.None, ""},
			{modifyOp(r1, r2), 0, apierror.None, ""},
			{modifyOp(r2), 0, apierror.None, ""},
		},
		"late copy after later versions": {
			{modifyOp(r1), 1, apierror.None, ""},
			{modifyOp(route("r1", 3, "bags", "b")), 1, apierror.None, ""},
			{modifyOp(tombstone(config.KindRoutes, "r1", 4)), 1, apierror.None, ""},
			{modifyOp(r1), 0, apierror.None, ""},
			{modifyOp(route("r1", 3, "bags", "b")), 0, apierror.None, ""},
		},
		"conflict with the current version": {
			{modifyOp(r1), 1, apierror.None, ""},
			{modifyOp(route("r1", 2, "desk", "b")), 0, apierror.Conflict, "routes r1: home-regions: version 00000002 stands as .*\"a\""},
			{modifyOp(route("r1", 2, "bags", "a")), 0, apierror.Conflict, "r1: service: version"},
			{modifyOp(tombstone(config.KindRoutes, "r1", 2)), 0, apierror.Conflict, "r1: dropped: version"},
		},
		"conflict with a deletion": {
			{modifyOp(r1), 1, apierror.None, ""},
			{modifyOp(tombstone(config.KindRoutes, "r1", 3)), 1, apierror.None, ""},
			{modifyOp(tombstone(config.KindRoutes, "r1", 3)), 0, apierror.None, ""},
			{modifyOp(route("r1", 3, "desk", "b")), 0, apierror.Conflict, "r1: dropped: version 00000003 stands as dropped"},
		},
		"one conflicting item rejects the entire change": {
			{modifyOp(r1), 1, apierror.None, ""},
			{modifyOp(r2, route("r1", 2, "desk", "b")), 0, apierror.Conflict, "routes r1"},
			{modifyOp(r2), 1, apierror.None, ""},
		},
		"rejected change stays rejected after a later version": {
			{modifyOp(r1), 1, apierror.None, ""},
			{modifyOp(r2, route("r1", 2, "desk", "b")), 0, apierror.Conflict, "routes r1"},
			{modifyOp(route("r1", 3, "desk", "c")), 1, apierror.None, ""},
			{modifyOp(r2, route("r1", 2, "desk", "b")), 0, apierror.Conflict, "r1: version 00000002 was taken with another content; version 00000003 stands"},
			{modifyOp(r2, r1), 1, apierror.None, ""},
		},
		"outdated item that was never set is skipped, the rest is set": {
			{modifyOp(route("r1", 5, "desk", "a")), 1, apierror.None, ""},
			{modifyOp(route("r1", 3, "desk", "z"), r2), 1, apierror.None, ""},
			{modifyOp(route("r1", 5, "desk", "a")), 0, apierror.None, ""},
		},
		"unknown service": {
			{modifyOp(route("r1", 2, "nowhere", "a"), r2), 0, apierror.Invalid, "route r1: service:? nowhere does not stand"},
			{modifyOp(r2), 1, apierror.None, ""},
		},
		"service in the same change": {
			{modifyOp(route("r1", 2, "gate", "a"), service("gate", 2)), 2, apierror.None, ""},
			{modifyOp(route("r1", 2, "gate", "a"), service("gate", 2)), 0, apierror.None, ""},
		},
		"outdated route to a service deleted since": {
			{modifyOp(route("r1", 2, "bags", "a")), 1, apierror.None, ""},
			{modifyOp(route("r1", 3, "desk", "b"), tombstone(config.KindServices, "bags", 3)), 2, apierror.None, ""},
			{modifyOp(route("r1", 2, "bags", "a")), 0, apierror.None, ""},
			{modifyOp(route("r1", 4, "bags", "c")), 0, apierror.Invalid, "service bags does not stand|service: bags does not stand"},
		},
		"same host and path prefix as another route": {
			{modifyOp(r1), 1, apierror.None, ""},
			{modifyOp(config.Item{Kind: config.KindRoutes, Name: "r3", Version: 2, Body: []byte(strings.Replace(string(r1.Body), `"name":"r1"`, `"name":"r3"`, 1))}), 0, apierror.Invalid, "r[13]"},
		},
		"evacuation begun and withdrawn": {
			{evacuateOp(false), 0, apierror.None, ""},
			{evacuateOp(true), 1, apierror.None, ""},
			{evacuateOp(true), 0, apierror.None, ""},
			{evacuateOp(false), 1, apierror.None, ""},
			{evacuateOp(false), 0, apierror.None, ""},
			{evacuateOp(true), 1, apierror.None, ""},
		},
		"conditional evacuation, withdrawn in the meantime": {
			{evacuateOp(true), 1, apierror.None, ""},
			{evacuateOp(false), 1, apierror.None, ""},
			{conditionalOp{evacuateOp(true), 0}, 0, apierror.Unavailable, "changed since"},
			{conditionalOp{evacuateOp(false), 0}, 0, apierror.None, ""},
			{conditionalOp{evacuateOp(true), 2}, 1, apierror.None, ""},
		},
		"begin repeated": {
			{beginOp("v2", 100*second), 1, apierror.None, ""},
			{beginOp("v2", 100*second), 0, apierror.None, ""},
			{beginOp("v2", 105*second), 0, apierror.None, ""},
			{endOp(1, rollout.Completed), 1, apierror.None, ""},
			{completeSwitchOp(1), 1, apierror.None, ""},
			{beginOp("v2", 114*second), 0, apierror.None, ""}, // late copy
			{beginOp("v2", 115*second), 1, apierror.None, ""}, // new rollout
		},
		"begin with another target": {
			{beginOp("v2", 100*second), 1, apierror.None, ""},
			{beginOp("v3", 101*second), 0, apierror.InProgress, "desk is being moved to v2"},
			{endOp(1, rollout.RolledBack), 1, apierror.None, ""},
			{beginOp("v3", 102*second), 1, apierror.None, ""},
		},
		"begin with another duration after the first rollout ended": {
			{beginOp("v2", 100*second), 1, apierror.None, ""},
			{endOp(1, rollout.RolledBack), 1, apierror.None, ""},
			{Operation{Kind: BeginRollout, Name: "desk", TargetVersion: "v2", Duration: 20 * second, RetryWindow: 5 * second, SubmittedAt: 101 * second, KnownRollout: 1, KnownRolloutAge: second}, 1, apierror.None, ""},
		},
		"copy of a begin, submitters' wall clocks an hour apart": {
			{beginOp("v2", 100*second), 1, apierror.None, ""},
			{endOp(1, rollout.RolledBack), 1, apierror.None, ""},
			{Operation{Kind: BeginRollout, Name: "desk", TargetVersion: "v2", Duration: 10 * second, RetryWindow: 5 * second, SubmittedAt: 3700 * second, KnownRollout: 1, KnownRolloutAge: 14 * second}, 0, apierror.None, ""},
			{Operation{Kind: BeginRollout, Name: "desk", TargetVersion: "v2", Duration: 10 * second, RetryWindow: 5 * second, SubmittedAt: 1, KnownRollout: 1, KnownRolloutAge: 15 * second}, 1, apierror.None, ""}, // new rollout
		},
		"copy of a begin, submitter doesn't know the rollout yet": {
			{beginOp("v2", 100*second), 1, apierror.None, ""},
			{endOp(1, rollout.RolledBack), 1, apierror.None, ""},
			{Operation{Kind: BeginRollout, Name: "desk", TargetVersion: "v2", Duration: 10 * second, RetryWindow: 5 * second, SubmittedAt: 200 * second, KnownRollout: 0, KnownRolloutAge: 99 * second}, 0, apierror.None, ""},
		},
		"completed but still switching": {
			{completeSwitchOp(1), 0, apierror.None, ""},
			{beginOp("v2", 100*second), 1, apierror.None, ""},
			{completeSwitchOp(1), 0, apierror.None, ""}, // still running
			{endOp(1, rollout.Completed), 1, apierror.None, ""},
			{beginOp("v2", 200*second), 0, apierror.None, ""}, // still running for operators
			{beginOp("v3", 200*second), 0, apierror.InProgress, "desk is being moved to v2"},
			{endOp(1, rollout.Completed), 0, apierror.None, ""}, // a copy of the end does not complete the switch
			{endOp(1, rollout.RolledBack), 0, apierror.None, ""},
			{completeSwitchOp(2), 0, apierror.None, ""},
			{completeSwitchOp(1), 1, apierror.None, ""},
			{completeSwitchOp(1), 0, apierror.None, ""},
			{beginOp("v3", 200*second), 1, apierror.None, ""},
			{completeSwitchOp(1), 0, apierror.None, ""}, // rollout 1 is over
			{completeSwitchOp(2), 0, apierror.None, ""},
		},
		"no switch after a rollback": {
			{beginOp("v2", 100*second), 1, apierror.None, ""},
			{endOp(1, rollout.RolledBack), 1, apierror.None, ""},
			{completeSwitchOp(1), 0, apierror.None, ""},
		},
		"copy of a begin during and after the next rollout": {
			{beginOp("v2", 100*second), 1, apierror.None, ""},
			{endOp(1, rollout.RolledBack), 1, apierror.None, ""},
			{beginOp("v3", 101*second), 1, apierror.None, ""},
			{beginCopyOp("v2", 2, 2*second), 0, apierror.None, ""},  // already applied: confirmed, not begun again
			{beginCopyOp("v2", 1, 99*second), 0, apierror.None, ""}, // submitter doesn't know the next rollout yet
			{beginCopyOp("v4", 2, 2*second), 0, apierror.InProgress, "desk is being moved to v3"},
			{Operation{Kind: BeginRollout, Name: "desk", TargetVersion: "v2", Duration: 20 * second, RetryWindow: 5 * second, KnownRollout: 2, KnownRolloutAge: 2 * second}, 0, apierror.InProgress, "v3"}, // another duration
			{beginCopyOp("v2", 2, 5*second), 0, apierror.InProgress, "desk is being moved to v3"},                                                                                                          // too late to be a retry
			{endOp(2, rollout.RolledBack), 1, apierror.None, ""},
			{beginCopyOp("v2", 2, 4*second), 0, apierror.None, ""},
			{beginCopyOp("v3", 2, 14*second), 0, apierror.None, ""},
			{beginCopyOp("v2", 2, 5*second), 1, apierror.None, ""}, // new rollout
			{beginCopyOp("v3", 3, second), 0, apierror.None, ""},
		},
		"conditional begin, another rollout since": {
			{beginOp("v2", 100*second), 1, apierror.None, ""},
			{endOp(1, rollout.Completed), 1, apierror.None, ""},
			{completeSwitchOp(1), 1, apierror.None, ""},
			{conditionalOp{beginOp("v3", 100*second), 0}, 0, apierror.Unavailable, "changed since"},
			{conditionalOp{beginOp("v2", 100*second), 0}, 0, apierror.None, ""},
		},
		"begin for an unknown service": {
			{Operation{Kind: BeginRollout, Name: "nowhere", TargetVersion: "v2"}, 0, apierror.Invalid, "service: nowhere does not stand"},
		},
		"begin for a deleted service": {
			{modifyOp(tombstone(config.KindServices, "desk", 4)), 1, apierror.None, ""},
			{beginOp("v2", 100*second), 0, apierror.Invalid, "service: desk does not stand"},
		},
		"end repeated, and invalid ends": {
			{endOp(1, rollout.Completed), 0, apierror.None, ""}, // none running
			{beginOp("v2", 100*second), 1, apierror.None, ""},
			{endOp(2, rollout.Completed), 0, apierror.None, ""},
			{endOp(0, rollout.Completed), 0, apierror.None, ""},
			{endOp(1, rollout.None), 0, apierror.None, ""},
			{endOp(1, rollout.Running), 0, apierror.None, ""},
			{endOp(1, rollout.RolledBack+1), 0, apierror.None, ""},
			{endOp(1, rollout.RolledBack), 1, apierror.None, ""},
			{endOp(1, rollout.Completed), 0, apierror.None, ""}, // already ended
			{endOp(1, rollout.RolledBack), 0, apierror.None, ""},
		},
		"initial version": {
			{Operation{Kind: SetInitialVersion, Name: "desk", Version: "v1"}, 1, apierror.None, ""},
			{Operation{Kind: SetInitialVersion, Name: "desk", Version: "v1"}, 0, apierror.None, ""},
			{Operation{Kind: SetInitialVersion, Name: "desk", Version: "v9"}, 0, apierror.None, ""}, // keeps the first version
		},
		"members": {
			{changeMembersOp(0, "1 2 3"), 1, apierror.None, ""},
			{changeMembersOp(0, "1 2 3"), 0, apierror.None, ""},
			{changeMembersOp(1, "4", "3"), 1, apierror.None, ""},
			{changeMembersOp(1, "5"), 0, apierror.Unavailable, "epoch 2, not 1"},
			{changeMembersOp(2, "", "9"), 0, apierror.None, ""},
			{changeMembersOp(2, "", "1", "2", "4"), 0, apierror.None, ""}, // no members would remain
			{changeMembersOp(0, "5"), 1, apierror.None, ""},
		},
		"unknown operation kind": {
			{Operation{Kind: "sink"}, 0, apierror.Malformed, "sink"},
			{Operation{}, 0, apierror.Malformed, ""},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			set := config.NewSet()
			sets := []*config.Set{}
			do := func(o Operation) ([]config.Item, error) {
				before := set.Checksum()
				items, err := Apply(set, o)
				c.Assert(set.Checksum(), qt.Equals, before, qt.Commentf("Apply modified the set"))
				return items, err
			}
			items, err := do(base)
			c.Assert(err, qt.IsNil)
			for _, i := range items {
				set.Merge(i)
			}
			for n, x := range steps {
				sets = append(sets, set.Clone())
				o, unconditional := x.o.(Operation)
				if b, ok := x.o.(conditionalOp); !unconditional && ok {
					o = Bind(sets[b.stepsBefore], b.Operation)
				}
				items, err := do(o)
				c.Check(apierror.KindOf(err), qt.Equals, x.wantKind, qt.Commentf("step %d: %v", n, err))
				if x.wantError != "" {
					c.Check(err, qt.ErrorMatches, "(?s).*("+x.wantError+").*", qt.Commentf("step %d", n))
				}
				c.Check(items, qt.HasLen, x.sets, qt.Commentf("step %d: %v", n, items))
				for _, i := range items {
					c.Check(set.Merge(i), qt.IsTrue, qt.Commentf("step %d: %v is not newer than the item in the set", n, i))
				}
				again, err := do(o)
				if x.wantKind == apierror.None && o.Expected == 0 { // applied, so a repetition has no effect
					c.Check(err, qt.IsNil)
					c.Check(again, qt.HasLen, 0, qt.Commentf("step %d, again: %v", n, again))
				}
			}
		})
	}
}

// A restore replaces everything except the members, in a new epoch, even with older versions. A copy of the operation has no effect,
// whatever was confirmed since.
func TestRestore(t *testing.T) {
	c := qt.New(t)
	set := config.NewSet()
	do := func(o Operation) []config.Item {
		items, err := Apply(set, o)
		c.Assert(err, qt.IsNil)
		if ReplacesAll(items) {
			set.ReplaceAll(RestoredItems(set, items))
		} else {
			for _, i := range items {
				set.Merge(i)
			}
		}
		return items
	}
	do(modifyOp(service("desk", 1), route("r1", 5, "desk", "a"), route("r2", 5, "desk", "a")))
	do(changeMembersOp(0, "1 2"))
	snapshot := Operation{Kind: RestoreSnapshot, Expected: 1, Version: "first", Items: []config.Item{service("desk", 1), route("r1", 3, "desk", "old"), tombstone(config.KindRoutes, "r3", 4), membership.List{Epoch: 9}.Item()}}
	c.Check(ReplacesAll(do(snapshot)), qt.IsTrue)
	c.Check(membership.FromSet(set), qt.DeepEquals, membership.List{Epoch: 2, Members: changeMembersOp(0, "1 2").Add, RestoredSnapshots: []string{"first"}})
	for _, i := range snapshot.Items[:3] {
		item, exists := set.Lookup(i.Key())
		c.Check(exists && item.Equal(i), qt.IsTrue, qt.Commentf("%s %s", i.Kind, i.Name))
	}
	_, exists := set.Lookup(config.Key{Kind: config.KindRoutes, Name: "r2"})
	c.Check(exists, qt.IsFalse)
	_, exists = set.Lookup(ReplaceAllKey)
	c.Check(exists, qt.IsFalse)
	c.Check(set.Len(), qt.Equals, 4)
	c.Check(do(snapshot), qt.HasLen, 0, qt.Commentf("again"))
	c.Check(do(modifyOp(route("r2", 4, "desk", "b"))), qt.HasLen, 1, qt.Commentf("a lower version than before the restore"))
	// A delayed copy of the operation must not undo what was confirmed since.
	c.Check(do(snapshot), qt.HasLen, 0, qt.Commentf("a late copy"))
	snapshot.Expected = 2
	c.Check(do(snapshot), qt.HasLen, 0, qt.Commentf("a late copy of a later attempt"))
	do(changeMembersOp(2, "3"))
	c.Check(do(snapshot), qt.HasLen, 0, qt.Commentf("a late copy after a membership change"))
	item, _ := set.Lookup(config.Key{Kind: config.KindRoutes, Name: "r2"})
	c.Check(item.Version, qt.Equals, uint64(4))
	// Restoring the same snapshot again is a different operation. It fails if it expects an older epoch.
	snapshot.Version = "second"
	_, err := Apply(set, snapshot)
	c.Check(apierror.KindOf(err), qt.Equals, apierror.Unavailable)
	snapshot.Expected = 3
	c.Check(ReplacesAll(do(snapshot)), qt.IsTrue)
	c.Check(membership.FromSet(set).Epoch, qt.Equals, uint64(4))
	c.Check(membership.FromSet(set).RestoredSnapshots, qt.DeepEquals, []string{"first", "second"})
	for n := range 20 {
		snapshot.Expected, snapshot.Version = uint64(4+n), fmt.Sprint(n)
		do(snapshot)
	}
	c.Check(membership.FromSet(set).RestoredSnapshots, qt.HasLen, membership.MaxRestoredSnapshots)
	c.Check(ReplacesAll(nil), qt.IsFalse)
}

// A rollout starts from the stable version with the next number, and keeps that number when it ends.
func TestRollouts(t *testing.T) {
	c := qt.New(t)
	set := config.NewSet()
	do := func(o Operation) rollout.Rollout {
		items, err := Apply(set, o)
		c.Assert(err, qt.IsNil)
		for _, i := range items {
			set.Merge(i)
		}
		i, _ := set.Lookup(config.Key{Kind: config.KindRollouts, Name: "desk"})
		return rollout.FromItem(i)
	}
	do(modifyOp(service("desk", 1)))
	do(Operation{Kind: SetInitialVersion, Name: "desk", Version: "v1"})
	for n, x := range []struct {
		o    Operation
		want rollout.Rollout
	}{
		{beginOp("v2", 1*second), rollout.Rollout{Number: 1, From: "v1", Target: "v2", StartedAt: 1 * second, State: rollout.Running}},
		{endOp(1, rollout.RolledBack), rollout.Rollout{Number: 1, From: "v1", Target: "v2", StartedAt: 1 * second, State: rollout.RolledBack, EndedAt: 77 * second}},
		{beginOp("v3", 2*second), rollout.Rollout{Number: 2, From: "v1", Target: "v3", StartedAt: 2 * second, State: rollout.Running, PastDigests: pastDigests("v2")}},
		{endOp(2, rollout.Completed), rollout.Rollout{Number: 2, From: "v1", Target: "v3", StartedAt: 2 * second, State: rollout.Completed, EndedAt: 77 * second, Switching: true, PastDigests: pastDigests("v2")}},
		{completeSwitchOp(2), rollout.Rollout{Number: 2, From: "v1", Target: "v3", StartedAt: 2 * second, State: rollout.Completed, EndedAt: 77 * second, PastDigests: pastDigests("v2")}},
		{beginOp("v4", 3*second), rollout.Rollout{Number: 3, From: "v3", BaseNumber: 2, Target: "v4", StartedAt: 3 * second, State: rollout.Running, PastDigests: pastDigests("v3", "v2")}},
	} {
		x.want.Service, x.want.Duration = "desk", 10*second
		c.Check(do(x.o), qt.Equals, x.want, qt.Commentf("step %d", n))
	}
}

// pastDigests returns the digests of rollouts to the targets with a duration of 10 s, newest first.
func pastDigests(targets ...string) (all [rollout.MaxPastDigests]uint64) {
	for n, x := range targets {
		all[n] = rollout.Digest(x, 10*second)
	}
	return all
}

// A rollout has the digests of the rollouts before it, up to MaxPastDigests, also after decoding from its item.
func TestPastDigests(t *testing.T) {
	c := qt.New(t)
	r := rollout.Rollout{Service: "desk"}
	var targets []string
	for n := range 12 {
		r = r.Next()
		r.Target, r.Duration = fmt.Sprint("v", n), 10*second
		c.Check(rollout.FromItem(r.Item()), qt.Equals, r)
		c.Check(r.PastDigests, qt.Equals, pastDigests(targets[:min(len(targets), rollout.MaxPastDigests)]...))
		targets = append([]string{r.Target}, targets...)
	}
	c.Check(rollout.Digest("v1", 1) != rollout.Digest("v1", 2), qt.IsTrue)
	c.Check(rollout.Digest("1 v", 2) != rollout.Digest("v", 21), qt.IsTrue)
	c.Check(string(rollout.Rollout{Number: 1, State: rollout.Running}.Item().Body), qt.Not(qt.Contains), "past") // omitted if empty
}

// DifferingField returns the first differing field in the order of names, whichever item comes first.
func TestDifferingField(t *testing.T) {
	a := config.Item{Body: []byte(`{"b":1,"c":[1,2]}`)}
	for body, field := range map[string]string{`{"b":1,"c":[1,2]}`: "", `{"b":2,"c":[1]}`: "b", `{"b":1,"c":[2,1]}`: "c", `{"b":1}`: "c", `{"a":0,"b":2,"c":[1,2]}`: "a", `{}`: "b"} {
		qt.Check(t, DifferingField(a, config.Item{Body: []byte(body)}), qt.Equals, field, qt.Commentf(body))
		qt.Check(t, DifferingField(config.Item{Body: []byte(body)}, a), qt.Equals, field, qt.Commentf(body))
	}
	qt.Check(t, DifferingField(a, config.Item{Deleted: true}), qt.Equals, "dropped")
}

// The encoded items of an operation, with their history, must fit a frame. A restore that doesn't fit is rejected with both sizes, and
// EncodedSizeBound is an upper bound of the encoding.
func TestValueFitsAFrame(t *testing.T) {
	c := qt.New(t)
	set := config.NewSet()
	var restored []config.Item
	for n := range 3 {
		restored = append(restored, config.Item{Kind: config.KindServices, Name: fmt.Sprint("s", n), Version: 1, Body: []byte(fmt.Sprintf(`{"health-path":"/%s"}`, strings.Repeat("x", 7<<20)))})
	}
	_, err := Apply(set, Operation{Kind: RestoreSnapshot, Items: restored[:2], Version: "one"})
	c.Check(err, qt.IsNil)
	_, err = Apply(set, Operation{Kind: RestoreSnapshot, Items: restored, Version: "two"})
	c.Check(apierror.KindOf(err), qt.Equals, apierror.BodyTooLarge)
	c.Check(err, qt.ErrorMatches, "(?s).*restore , 3 items: value of up to 220[0-9]{5} bytes exceeds the limit of 20971520 bytes .*")

	var items []config.Item
	for n := range 400 { // each with a full history and large version numbers
		i := config.Item{Kind: config.KindRoutes, Name: fmt.Sprint("route-", n), Version: 1 << 62, Body: []byte(`{}`)}
		for v := range uint64(9) {
			old := i
			i.Version += v + 1
			i = i.WithHistory(old)
		}
		items = append(items, i)
	}
	raw, err := json.Marshal(items)
	c.Assert(err, qt.IsNil)
	c.Check(len(raw) <= config.EncodedSizeBound(items), qt.IsTrue, qt.Commentf("encoded in %d bytes, bound %d", len(raw), config.EncodedSizeBound(items)))
	c.Check(len(raw) > config.EncodedSizeBound(items)*3/4, qt.IsTrue, qt.Commentf("encoded in %d bytes, bound %d", len(raw), config.EncodedSizeBound(items)))
}
