package simulation

import (
	"math"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
)

// What a history is held against: the configuration as one object of some routes' registers, an evacuation as a register of
// yes and no, and a service's rollouts. Times are nanoseconds.

const (
	routeCount   = 5  // registers
	maxConflicts = 40 // versions under which there are several contents
	never        = int64(math.MaxInt64)

	maxSteps = int64(20_000_000) // of a model, for one history: a count, as the machine's time is not the test's
)

// configState is the state of the configuration: by route the content that is in force, 0 for none, and by version under which
// there are several contents the one that was decided for it.
type configState struct {
	current [routeCount]int16
	decided [maxConflicts]int16
}

// content is what a change sets for one route under one version.
type content struct {
	id       int16 // from 1
	route    int
	version  uint64
	prefix   string // empty: the route is dropped
	conflict int    // the number of a version that has several contents, from 0; -1 where this is the only one
}

// configOp is a call: a change, or a read, with its answer.
type configOp struct {
	items     []content
	status    int // of a change; 0 for none that is clear
	read      bool
	contents  [routeCount]int16 // by a reading: the contents, 0 for no route
	removable bool              // the history needn't have it: see watch.spare
}

// configModel is the model of the configuration: the highest version is in force, a version has one content for ever, and a change
// comes into force completely or not at all. all are the contents, by id.
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
			case conflicts && op.status == 200: // it changes nothing, and no part of it could any more
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

// evacuationOp is a call that begins or ends an evacuation, or looks.
type evacuationOp struct {
	read, evacuated bool
	status          int
}

// evacuationModel is the model of one zone's evacuation. A call without a clear answer comes into force at some time or never.
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

// rolloutState is the state of a service's rollouts: the newest one.
type rolloutState struct {
	target     string // empty: there was none
	phase      string // running, completed, rolled_back
	beganAfter int64  // it began then or later
	notBefore  int64  // this state can't have come before then
}

// rolloutOp is a call that begins a rollout, or looks.
type rolloutOp struct {
	read                 bool
	target, phase        string // phase none: there is no rollout
	status               int
	calledAt, returnedAt int64
}

// rolloutModel is the model of one service's rollouts: at most one runs, and each ends once. ends returns when at the earliest one
// has ended that was begun at a time or later.
func rolloutModel(earliestEnd func(from int64) int64) porcupine.Model {
	begin := func(v rolloutState, op rolloutOp) (all []any) {
		if v.target == op.target { // it stands, or is told as what it was
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

// The models themselves: what must pass, and each fault that must not.
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
		"an order is seen":                    {configM, true, []timedOp{{0, 1, set(200, 1)}, {2, 3, see(1)}}},
		"it is not":                           {configM, false, []timedOp{{0, 1, set(200, 1)}, {2, 3, see()}}},
		"a reading beside it may see either":  {configM, true, []timedOp{{0, 9, set(200, 1)}, {2, 3, see()}, {4, 5, see(1)}}},
		"and not go back":                     {configM, false, []timedOp{{0, 9, set(200, 1)}, {2, 3, see(1)}, {4, 5, see()}}},
		"two contents, one refused":           {configM, true, []timedOp{{0, 9, set(200, 1)}, {0, 9, set(409, 2)}, {10, 11, see(1)}}},
		"two contents, both confirmed":        {configM, false, []timedOp{{0, 9, set(200, 1)}, {0, 9, set(200, 2)}, {10, 11, see(2)}}},
		"both refused":                        {configM, false, []timedOp{{0, 9, set(409, 1)}, {0, 9, set(409, 2)}}},
		"both refused, a third is unclear":    {configM, false, []timedOp{{0, 9, set(0, 3)}, {0, 9, set(409, 1)}, {0, 9, set(409, 2)}}},
		"refused without a rival":             {configM, false, []timedOp{{0, 9, set(409, 3)}}},
		"refused for one that is unclear":     {configM, true, []timedOp{{0, never, set(0, 1)}, {2, 9, set(409, 2)}, {10, 11, see(1)}}},
		"which must then be seen":             {configM, false, []timedOp{{0, never, set(0, 1)}, {2, 9, set(409, 2)}, {10, 11, see()}}},
		"the refused one comes in force":      {configM, false, []timedOp{{0, 1, set(200, 1)}, {2, 3, set(409, 2)}, {4, 5, see(2)}}},
		"an order of two in part":             {configM, false, []timedOp{{0, 1, set(200, 1)}, {2, 3, set(409, 2, 3)}, {4, 5, see(1, 3)}}},
		"an unclear one in part":              {configM, false, []timedOp{{0, never, set(0, 1, 3)}, {4, 5, see(1)}}},
		"an unclear one late":                 {configM, true, []timedOp{{0, never, set(0, 1, 3)}, {4, 5, see()}, {6, 7, see(1, 3)}}},
		"an unclear one never":                {configM, true, []timedOp{{0, never, set(0, 1, 3)}, {4, 5, see()}, {6, 7, set(200, 2)}, {8, 9, see(2)}}},
		"an older one changes nothing":        {configM, true, []timedOp{{0, 1, set(200, 4)}, {2, 3, set(200, 1)}, {4, 5, see(4)}}},
		"it may not":                          {configM, false, []timedOp{{0, 1, set(200, 4)}, {2, 3, set(200, 1)}, {4, 5, see(1)}}},
		"dropped":                             {configM, true, []timedOp{{0, 1, set(200, 4)}, {2, 3, set(200, 5)}, {4, 5, see()}}},
		"and back by an older one":            {configM, false, []timedOp{{0, 1, set(200, 5)}, {2, 3, set(200, 4)}, {4, 5, see(4)}}},
		"a loser that is wholly over":         {configM, true, []timedOp{{0, 1, set(200, 1)}, {2, 3, set(409, 2)}, {4, 5, set(200, 4)}, {6, 7, set(200, 2)}}},
		"a loser that is over in part":        {configM, false, []timedOp{{0, 1, set(200, 1)}, {2, 3, set(200, 4)}, {4, 5, set(200, 2, 3)}, {6, 7, see(4, 3)}}},
		"evacuated":                           {evacuationModel, true, []timedOp{{0, 1, evacuationOp{evacuated: true, status: 200}}, {2, 3, evacuationOp{read: true, evacuated: true}}}},
		"not evacuated":                       {evacuationModel, false, []timedOp{{0, 1, evacuationOp{evacuated: true, status: 200}}, {2, 3, evacuationOp{read: true}}}},
		"a later end is lost":                 {evacuationModel, false, []timedOp{{0, 1, evacuationOp{evacuated: true, status: 200}}, {2, 3, evacuationOp{status: 200}}, {4, 5, evacuationOp{read: true, evacuated: true}}}},
		"unclear, over the bound":             {evacuationModel, false, []timedOp{{0, 4, evacuationOp{evacuated: true}}, {5, 6, evacuationOp{read: true}}, {7, 8, evacuationOp{read: true, evacuated: true}}}},
		"unclear, in time":                    {evacuationModel, true, []timedOp{{0, 9, evacuationOp{evacuated: true}}, {5, 6, evacuationOp{read: true}}, {7, 8, evacuationOp{read: true, evacuated: true}}}},
		"two targets, one begins":             {rolloutM, true, []timedOp{{0, 9, begin("a", 200)}, {0, 9, begin("b", 409)}, {10, 11, look("a", "running")}}},
		"two targets begin":                   {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {0, 9, begin("b", 200)}}},
		"neither begins":                      {rolloutM, false, []timedOp{{0, 9, begin("a", 409)}, {0, 9, begin("b", 409)}}},
		"the same twice":                      {rolloutM, true, []timedOp{{0, 9, begin("a", 200)}, {0, 9, begin("a", 200)}, {10, 11, look("a", "running")}}},
		"the same is refused":                 {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {10, 19, begin("a", 409)}}},
		"the other is seen":                   {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {0, 9, begin("b", 409)}, {10, 11, look("b", "running")}}},
		"begun and not seen":                  {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {10, 11, look("", "none")}}},
		"one end":                             {rolloutM, true, []timedOp{{0, 9, begin("a", 200)}, {150, 151, look("a", "completed")}, {160, 161, begin("b", 200)}}},
		"another end":                         {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {150, 151, look("a", "completed")}, {160, 161, look("a", "rolled_back")}}},
		"an end too early":                    {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {50, 51, look("a", "completed")}}},
		"the next before the end":             {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {50, 51, begin("b", 200)}}},
		"an unclear begin, refused for it":    {rolloutM, true, []timedOp{{0, never, begin("a", 0)}, {10, 11, begin("b", 409)}, {20, 21, look("a", "running")}}},
		"an unclear one and two targets":      {rolloutM, false, []timedOp{{0, 9, begin("a", 200)}, {0, never, begin("b", 0)}, {20, 29, begin("b", 200)}}},
		"an unclear one after the end":        {rolloutM, true, []timedOp{{0, 9, begin("a", 200)}, {0, never, begin("b", 0)}, {120, 129, begin("b", 200)}}},
		"an unclear begin is running by half": {rolloutM, false, []timedOp{{0, never, begin("a", 0)}, {10, 11, look("a", "running")}, {20, 21, look("", "none")}}},
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
		qt.Check(t, porcupine.CheckOperations(x.model, ops), qt.Equals, x.good, qt.Commentf("%s, noted in another order", name))
	}
}
