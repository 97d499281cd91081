package simulation

import (
	"math"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
)

// Sequential models for the linearizability check of histories: the configuration as a set of route registers, an evacuation as a
// boolean register, and the rollouts of a service. Times are in nanoseconds.

const (
	routeCount   = 5
	maxConflicts = 40 // versions that are sent with more than one content
	never        = int64(math.MaxInt64)

	// maxSteps bounds the model steps of one search. It is a count, not a duration, so that the result doesn't depend on the machine.
	maxSteps = int64(20_000_000)
)

// configState is the state of the configuration, as content IDs; 0 stands for none.
type configState struct {
	current [routeCount]int16   // by route: the content in force
	decided [maxConflicts]int16 // by conflict: the content that was chosen
}

// content is the value that a change sets for one version of a route.
type content struct {
	id       int16 // from 1
	route    int
	version  uint64
	prefix   string // empty if the route is deleted
	conflict int    // index of the conflict if the version was sent with several contents, otherwise -1
}

// configOp is a call that changes or reads the configuration, with its result.
type configOp struct {
	items     []content
	status    int // of a change; 0 if the outcome is unknown
	read      bool
	contents  [routeCount]int16 // read content IDs by route, 0 for no route
	removable bool              // see recorder.removable
}

// configModel is the model of the configuration: the highest version is in force, a version never has more than one content, and a
// change takes effect completely or not at all. contents are indexed by ID.
func configModel(contents []content) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return configState{} },
		Step: func(state, input, _ any) (bool, any) {
			st, op := state.(configState), input.(configOp)
			if op.read {
				for r, id := range st.current {
					if id > 0 && contents[id].prefix == "" {
						id = 0
					}
					if id != op.contents[r] {
						return false, st
					}
				}
				return true, st
			}
			conflicts, superseded := false, true
			for _, c := range op.items {
				conflicts = conflicts || c.conflict >= 0 && st.decided[c.conflict] > 0 && st.decided[c.conflict] != c.id
				superseded = superseded && contents[st.current[c.route]].version > c.version
			}
			switch {
			case op.status == 409:
				return conflicts, st
			case conflicts && op.status == 200: // accepted without effect, as all of its items are superseded
				return superseded, st
			case conflicts:
				return true, st
			}
			for _, c := range op.items {
				if c.version > contents[st.current[c.route]].version {
					st.current[c.route] = c.id
					if c.conflict >= 0 {
						st.decided[c.conflict] = c.id
					}
				}
			}
			return true, st
		},
	}
}

// evacuationOp is a call that begins, ends or reads an evacuation.
type evacuationOp struct {
	read, evacuated bool
	status          int
}

// evacuationModel is the model of one zone's evacuation. A call whose outcome is unknown takes effect at some later time or never.
var evacuationModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, input, _ any) []any {
		op := input.(evacuationOp)
		switch {
		case op.read && op.evacuated != state.(bool):
			return nil
		case op.read:
			return []any{state}
		case op.status == 200:
			return []any{op.evacuated}
		}
		return []any{state, op.evacuated}
	},
}).ToModel()

// rolloutState is the state of the newest rollout of a service.
type rolloutState struct {
	target     string // empty if there was no rollout
	phase      string // none, running, completed, rolled_back
	beganAfter int64  // earliest time at which the rollout began
	notBefore  int64  // earliest time at which this state was reached
}

// rolloutOp is a call that begins or reads a rollout.
type rolloutOp struct {
	read                 bool
	target, phase        string // phase is none if there is no rollout
	status               int
	calledAt, returnedAt int64
}

// rolloutModel is the model of one service's rollouts: at most one is running, and each ends once. earliestEnd returns the earliest
// time at which a rollout that began at from or later can have ended.
func rolloutModel(earliestEnd func(from int64) int64) porcupine.Model {
	begin := func(v rolloutState, op rolloutOp) (all []any) {
		if v.target == op.target { // idempotent: it is running, or has ended and its result is returned
			all = append(all, v)
		}
		due := v.notBefore
		if v.phase == "running" {
			due = max(due, earliestEnd(v.beganAfter))
		}
		if due <= op.returnedAt {
			all = append(all, rolloutState{op.target, "running", max(op.calledAt, due), due})
		}
		return all
	}
	return (&porcupine.NondeterministicModel{
		Init: func() []any { return []any{rolloutState{phase: "none"}} },
		Step: func(state, input, _ any) []any {
			v, op := state.(rolloutState), input.(rolloutOp)
			switch {
			case op.returnedAt < v.notBefore:
			case op.read && op.phase == "none":
				if v.phase == "none" {
					return []any{v}
				}
			case op.read && v.target == op.target && v.phase == op.phase:
				return []any{v}
			case op.read && v.target == op.target && v.phase == "running" && earliestEnd(v.beganAfter) <= op.returnedAt:
				return []any{rolloutState{v.target, op.phase, v.beganAfter, max(v.notBefore, earliestEnd(v.beganAfter))}}
			case op.read:
			case op.status == 200:
				return begin(v, op)
			case op.status == 409:
				if v.phase == "running" && v.target != op.target {
					return []any{v}
				}
			default:
				return append(begin(v, op), v)
			}
			return nil
		},
	}).ToModel()
}

// The models must accept valid histories and reject each kind of invalid one.
func TestModels(t *testing.T) {
	contents := []content{{}, {id: 1, route: 0, version: 2, prefix: "/a/", conflict: 0}, {id: 2, route: 0, version: 2, prefix: "/b/", conflict: 0},
		{id: 3, route: 1, version: 2, prefix: "/c/", conflict: -1}, {id: 4, route: 0, version: 3, prefix: "/d/", conflict: -1},
		{id: 5, route: 0, version: 4, conflict: -1}, {id: 6, route: 1, version: 3, prefix: "/e/", conflict: -1}}
	set := func(status int, ids ...int) configOp {
		op := configOp{status: status}
		for _, id := range ids {
			op.items = append(op.items, contents[id])
		}
		return op
	}
	see := func(ids ...int16) (op configOp) {
		op.read = true
		copy(op.contents[:], ids)
		return op
	}
	begin := func(target string, status int) rolloutOp { return rolloutOp{target: target, status: status} }
	look := func(target, phase string) rolloutOp { return rolloutOp{read: true, target: target, phase: phase} }
	configM, rolloutM := configModel(contents), rolloutModel(func(from int64) int64 { return from + 100 })
	type timedOp struct {
		call, ret int64
		op        any
	}
	for name, x := range map[string]struct {
		model porcupine.Model
		good  bool
		ops   []timedOp
	}{
		"acknowledged change is read":                           {configM, true, []timedOp{{0, 1, set(200, 1)}, {2, 3, see(1)}}},
		"acknowledged change is not read":                       {configM, false, []timedOp{{0, 1, set(200, 1)}, {2, 3, see()}}},
		"concurrent read sees either state":                     {configM, true, []timedOp{{0, 9, set(200, 1)}, {2, 3, see()}, {4, 5, see(1)}}},
		"read goes back to the old state":                       {configM, false, []timedOp{{0, 9, set(200, 1)}, {2, 3, see(1)}, {4, 5, see()}}},
		"two contents, one rejected":                            {configM, true, []timedOp{{0, 9, set(200, 1)}, {0, 9, set(409, 2)}, {10, 11, see(1)}}},
		"two contents, both acknowledged":                       {configM, false, []timedOp{{0, 9, set(200, 1)}, {0, 9, set(200, 2)}, {10, 11, see(2)}}},
		"two contents, both rejected":                           {configM, false, []timedOp{{0, 9, set(409, 1)}, {0, 9, set(409, 2)}}},
		"two contents, both rejected, unrelated change unknown": {configM, false, []timedOp{{0, 9, set(0, 3)}, {0, 9, set(409, 1)}, {0, 9, set(409, 2)}}},
		"rejected without a conflict":                           {configM, false, []timedOp{{0, 9, set(409, 3)}}},
		"rejected for an unknown change":                        {configM, true, []timedOp{{0, never, set(0, 1)}, {2, 9, set(409, 2)}, {10, 11, see(1)}}},
		"rejected for an unknown change that is not read":       {configM, false, []timedOp{{0, never, set(0, 1)}, {2, 9, set(409, 2)}, {10, 11, see()}}},
		"rejected change takes effect":                          {configM, false, []timedOp{{0, 1, set(200, 1)}, {2, 3, set(409, 2)}, {4, 5, see(2)}}},
		"rejected change takes effect partially":                {configM, false, []timedOp{{0, 1, set(200, 1)}, {2, 3, set(409, 2, 3)}, {4, 5, see(1, 3)}}},
		"unknown change takes effect partially":                 {configM, false, []timedOp{{0, never, set(0, 1, 3)}, {4, 5, see(1)}}},
		"unknown change takes effect late":                      {configM, true, []timedOp{{0, never, set(0, 1, 3)}, {4, 5, see()}, {6, 7, see(1, 3)}}},
		"unknown change never takes effect":                     {configM, true, []timedOp{{0, never, set(0, 1, 3)}, {4, 5, see()}, {6, 7, set(200, 2)}, {8, 9, see(2)}}},
		"older version changes nothing":                         {configM, true, []timedOp{{0, 1, set(200, 4)}, {2, 3, set(200, 1)}, {4, 5, see(4)}}},
		"older version takes effect":                            {configM, false, []timedOp{{0, 1, set(200, 4)}, {2, 3, set(200, 1)}, {4, 5, see(1)}}},
		"dropped":                                               {configM, true, []timedOp{{0, 1, set(200, 4)}, {2, 3, set(200, 5)}, {4, 5, see()}}},
		"deleted route is restored by an older version":         {configM, false, []timedOp{{0, 1, set(200, 5)}, {2, 3, set(200, 4)}, {4, 5, see(4)}}},
		"conflicting change, all items superseded":              {configM, true, []timedOp{{0, 1, set(200, 1)}, {2, 3, set(409, 2)}, {4, 5, set(200, 4)}, {6, 7, set(200, 2)}}},
		"conflicting change, some items superseded":             {configM, false, []timedOp{{0, 1, set(200, 1)}, {2, 3, set(200, 4)}, {4, 5, set(200, 2, 3)}, {6, 7, see(4, 3)}}},
		"evacuated":                     {evacuationModel, true, []timedOp{{0, 1, evacuationOp{evacuated: true, status: 200}}, {2, 3, evacuationOp{read: true, evacuated: true}}}},
		"not evacuated":                 {evacuationModel, false, []timedOp{{0, 1, evacuationOp{evacuated: true, status: 200}}, {2, 3, evacuationOp{read: true}}}},
		"end of the evacuation is lost": {evacuationModel, false, []timedOp{{0, 1, evacuationOp{evacuated: true, status: 200}}, {2, 3, evacuationOp{status: 200}}, {4, 5, evacuationOp{read: true, evacuated: true}}}},
		"unknown begin takes effect after its bound":  {evacuationModel, false, []timedOp{{0, 4, evacuationOp{evacuated: true}}, {5, 6, evacuationOp{read: true}}, {7, 8, evacuationOp{read: true, evacuated: true}}}},
		"unknown begin takes effect within its bound": {evacuationModel, true, []timedOp{{0, 9, evacuationOp{evacuated: true}}, {5, 6, evacuationOp{read: true}}, {7, 8, evacuationOp{read: true, evacuated: true}}}},
		"two targets, one begins":                     {rolloutM, true, []timedOp{{0, 9, begin("a", 200)}, {0, 9, begin("b", 409)}, {10, 11, look("a", "running")}}},
		"two targets, both begin":                     {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {0, 9, begin("b", 200)}}},
		"two targets, neither begins":                 {rolloutM, false, []timedOp{{0, 9, begin("a", 409)}, {0, 9, begin("b", 409)}}},
		"same target begun twice":                     {rolloutM, true, []timedOp{{0, 9, begin("a", 200)}, {0, 9, begin("a", 200)}, {10, 11, look("a", "running")}}},
		"same target rejected":                        {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {10, 19, begin("a", 409)}}},
		"rejected target is read":                     {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {0, 9, begin("b", 409)}, {10, 11, look("b", "running")}}},
		"begun rollout is not read":                   {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {10, 11, look("", "none")}}},
		"one end, then the next rollout":              {rolloutM, true, []timedOp{{0, 9, begin("a", 200)}, {150, 151, look("a", "completed")}, {160, 161, begin("b", 200)}}},
		"two different ends":                          {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {150, 151, look("a", "completed")}, {160, 161, look("a", "rolled_back")}}},
		"end is too early":                            {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {50, 51, look("a", "completed")}}},
		"next rollout before the end":                 {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {50, 51, begin("b", 200)}}},
		"rejected for an unknown begin":               {rolloutM, true, []timedOp{{0, never, begin("a", 0)}, {10, 11, begin("b", 409)}, {20, 21, look("a", "running")}}},
		"two targets begin, one unknown at first":     {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {0, never, begin("b", 0)}, {20, 29, begin("b", 200)}}},
		"unknown begin takes effect after the end":    {rolloutM, true, []timedOp{{0, 9, begin("a", 200)}, {0, never, begin("b", 0)}, {120, 129, begin("b", 200)}}},
		"running rollout disappears":                  {rolloutM, false, []timedOp{{0, never, begin("a", 0)}, {10, 11, look("a", "running")}, {20, 21, look("", "none")}}},
	} {
		var ops []porcupine.Operation
		for i, o := range x.ops {
			if r, ok := o.op.(rolloutOp); ok {
				r.calledAt, r.returnedAt = o.call, o.ret
				o.op = r
			}
			ops = append(ops, porcupine.Operation{ClientId: i, Input: o.op, Call: o.call, Return: o.ret})
		}
		qt.Check(t, porcupine.CheckOperations(x.model, ops), qt.Equals, x.good, qt.Commentf(name))
		slices.Reverse(ops)
		qt.Check(t, porcupine.CheckOperations(x.model, ops), qt.Equals, x.good, qt.Commentf("%s, operations in reverse order", name))
	}
}
