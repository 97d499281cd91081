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
	routesN = 5  // registers
	rivalsN = 40 // versions under which there are several contents
	never   = int64(math.MaxInt64)

	mostSteps = int64(20_000_000) // of a model, for one history: a count, as the machine's time is not the test's
)

// board is the state of the configuration: by route the content that stands, 0 for none, and by version under which there
// are several contents the one that it was decided for.
type board struct {
	stands  [routesN]int16
	decided [rivalsN]int16
}

// content is what an order says of one route under one version.
type content struct {
	id      int16 // from 1
	route   int
	version uint64
	prefix  string // empty: the route is dropped
	rivals  int    // the number of a version that has several contents, from 0; -1 where this is the only one
}

// confOp is a call: the change of an order, or a reading, with what was answered.
type confOp struct {
	items  []content
	status int // of a change; 0 for none that is clear
	read   bool
	seen   [routesN]int16 // by a reading: the contents, 0 for no route
	spare  bool           // the history needn't have it: see watch.spare
}

// configuration is the model: highest version holds, a version has one content for ever, and an order comes in force as a
// whole or not at all. all are the contents, by id.
func configuration(all []content) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return board{} },
		Step: func(state, input, _ any) (bool, any) {
			b, op := state.(board), input.(confOp)
			if op.read {
				for r, id := range b.stands {
					if id > 0 && all[id].prefix == "" {
						id = 0
					}
					if id != op.seen[r] {
						return false, b
					}
				}
				return true, b
			}
			lost, over := false, true
			for _, c := range op.items {
				lost = lost || c.rivals >= 0 && b.decided[c.rivals] > 0 && b.decided[c.rivals] != c.id
				over = over && all[b.stands[c.route]].version > c.version
			}
			switch {
			case op.status == 409:
				return lost, b
			case lost && op.status == 200: // it changes nothing, and no part of it could any more
				return over, b
			case lost:
				return true, b
			}
			for _, c := range op.items {
				if c.version > all[b.stands[c.route]].version {
					b.stands[c.route] = c.id
					if c.rivals >= 0 {
						b.decided[c.rivals] = c.id
					}
				}
			}
			return true, b
		},
	}
}

// evacOp is a call that begins or ends an evacuation, or looks.
type evacOp struct {
	read, begun bool
	status      int
}

// evacuation is the model of one zone's. An order without a clear answer comes in force at some time or never.
var evacuation = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, input, _ any) []any {
		op := input.(evacOp)
		switch {
		case op.read && op.begun != state.(bool):
			return nil
		case op.read:
			return []any{state}
		case op.status == 200:
			return []any{op.begun}
		}
		return []any{state, op.begun}
	},
}).ToModel()

// voyage is the state of a service's rollouts: the newest order.
type voyage struct {
	target string // empty: there was none
	phase  string // running, completed, rolled_back
	from   int64  // it began then or later
	due    int64  // this state can't have come before then
}

// rollOp is a call that begins a rollout, or looks.
type rollOp struct {
	read          bool
	target, phase string // phase none: there is no rollout
	status        int
	call, ret     int64
}

// rollouts is the model of one service's: at most one runs, and each ends once. ends tells when at the earliest one has ended
// that was begun at one time or later.
func rollouts(ends func(from int64) int64) porcupine.Model {
	begin := func(v voyage, op rollOp) (all []any) {
		if v.target == op.target { // it stands, or is told as what it was
			all = append(all, v)
		}
		due := v.due
		if v.phase == "running" {
			due = max(due, ends(v.from))
		}
		if due <= op.ret {
			all = append(all, voyage{op.target, "running", max(op.call, due), due})
		}
		return all
	}
	return (&porcupine.NondeterministicModel{
		Init: func() []any { return []any{voyage{phase: "none"}} },
		Step: func(state, input, _ any) []any {
			v, op := state.(voyage), input.(rollOp)
			switch {
			case op.ret < v.due:
			case op.read && op.phase == "none":
				if v.phase == "none" {
					return []any{v}
				}
			case op.read && v.target == op.target && v.phase == op.phase:
				return []any{v}
			case op.read && v.target == op.target && v.phase == "running" && ends(v.from) <= op.ret:
				return []any{voyage{v.target, op.phase, v.from, max(v.due, ends(v.from))}}
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
	all := []content{{}, {id: 1, route: 0, version: 2, prefix: "/a/", rivals: 0}, {id: 2, route: 0, version: 2, prefix: "/b/", rivals: 0},
		{id: 3, route: 1, version: 2, prefix: "/c/", rivals: -1}, {id: 4, route: 0, version: 3, prefix: "/d/", rivals: -1},
		{id: 5, route: 0, version: 4, rivals: -1}, {id: 6, route: 1, version: 3, prefix: "/e/", rivals: -1}}
	set := func(status int, ids ...int) confOp {
		op := confOp{status: status}
		for _, id := range ids {
			op.items = append(op.items, all[id])
		}
		return op
	}
	see := func(ids ...int16) (op confOp) {
		op.read = true
		copy(op.seen[:], ids)
		return op
	}
	begin := func(target string, status int) rollOp { return rollOp{target: target, status: status} }
	look := func(target, phase string) rollOp { return rollOp{read: true, target: target, phase: phase} }
	conf, roll := configuration(all), rollouts(func(from int64) int64 { return from + 100 })
	type one struct {
		call, ret int64
		op        any
	}
	for name, x := range map[string]struct {
		model porcupine.Model
		good  bool
		ops   []one
	}{
		"an order is seen":                    {conf, true, []one{{0, 1, set(200, 1)}, {2, 3, see(1)}}},
		"it is not":                           {conf, false, []one{{0, 1, set(200, 1)}, {2, 3, see()}}},
		"a reading beside it may see either":  {conf, true, []one{{0, 9, set(200, 1)}, {2, 3, see()}, {4, 5, see(1)}}},
		"and not go back":                     {conf, false, []one{{0, 9, set(200, 1)}, {2, 3, see(1)}, {4, 5, see()}}},
		"two contents, one refused":           {conf, true, []one{{0, 9, set(200, 1)}, {0, 9, set(409, 2)}, {10, 11, see(1)}}},
		"two contents, both confirmed":        {conf, false, []one{{0, 9, set(200, 1)}, {0, 9, set(200, 2)}, {10, 11, see(2)}}},
		"both refused":                        {conf, false, []one{{0, 9, set(409, 1)}, {0, 9, set(409, 2)}}},
		"both refused, a third is unclear":    {conf, false, []one{{0, 9, set(0, 3)}, {0, 9, set(409, 1)}, {0, 9, set(409, 2)}}},
		"refused without a rival":             {conf, false, []one{{0, 9, set(409, 3)}}},
		"refused for one that is unclear":     {conf, true, []one{{0, never, set(0, 1)}, {2, 9, set(409, 2)}, {10, 11, see(1)}}},
		"which must then be seen":             {conf, false, []one{{0, never, set(0, 1)}, {2, 9, set(409, 2)}, {10, 11, see()}}},
		"the refused one comes in force":      {conf, false, []one{{0, 1, set(200, 1)}, {2, 3, set(409, 2)}, {4, 5, see(2)}}},
		"an order of two in part":             {conf, false, []one{{0, 1, set(200, 1)}, {2, 3, set(409, 2, 3)}, {4, 5, see(1, 3)}}},
		"an unclear one in part":              {conf, false, []one{{0, never, set(0, 1, 3)}, {4, 5, see(1)}}},
		"an unclear one late":                 {conf, true, []one{{0, never, set(0, 1, 3)}, {4, 5, see()}, {6, 7, see(1, 3)}}},
		"an unclear one never":                {conf, true, []one{{0, never, set(0, 1, 3)}, {4, 5, see()}, {6, 7, set(200, 2)}, {8, 9, see(2)}}},
		"an older one changes nothing":        {conf, true, []one{{0, 1, set(200, 4)}, {2, 3, set(200, 1)}, {4, 5, see(4)}}},
		"it may not":                          {conf, false, []one{{0, 1, set(200, 4)}, {2, 3, set(200, 1)}, {4, 5, see(1)}}},
		"dropped":                             {conf, true, []one{{0, 1, set(200, 4)}, {2, 3, set(200, 5)}, {4, 5, see()}}},
		"and back by an older one":            {conf, false, []one{{0, 1, set(200, 5)}, {2, 3, set(200, 4)}, {4, 5, see(4)}}},
		"a loser that is wholly over":         {conf, true, []one{{0, 1, set(200, 1)}, {2, 3, set(409, 2)}, {4, 5, set(200, 4)}, {6, 7, set(200, 2)}}},
		"a loser that is over in part":        {conf, false, []one{{0, 1, set(200, 1)}, {2, 3, set(200, 4)}, {4, 5, set(200, 2, 3)}, {6, 7, see(4, 3)}}},
		"evacuated":                           {evacuation, true, []one{{0, 1, evacOp{begun: true, status: 200}}, {2, 3, evacOp{read: true, begun: true}}}},
		"not evacuated":                       {evacuation, false, []one{{0, 1, evacOp{begun: true, status: 200}}, {2, 3, evacOp{read: true}}}},
		"a later end is lost":                 {evacuation, false, []one{{0, 1, evacOp{begun: true, status: 200}}, {2, 3, evacOp{status: 200}}, {4, 5, evacOp{read: true, begun: true}}}},
		"unclear, over the bound":             {evacuation, false, []one{{0, 4, evacOp{begun: true}}, {5, 6, evacOp{read: true}}, {7, 8, evacOp{read: true, begun: true}}}},
		"unclear, in time":                    {evacuation, true, []one{{0, 9, evacOp{begun: true}}, {5, 6, evacOp{read: true}}, {7, 8, evacOp{read: true, begun: true}}}},
		"two targets, one begins":             {roll, true, []one{{0, 9, begin("a", 200)}, {0, 9, begin("b", 409)}, {10, 11, look("a", "running")}}},
		"two targets begin":                   {roll, false, []one{{0, 9, begin("a", 200)}, {0, 9, begin("b", 200)}}},
		"neither begins":                      {roll, false, []one{{0, 9, begin("a", 409)}, {0, 9, begin("b", 409)}}},
		"the same twice":                      {roll, true, []one{{0, 9, begin("a", 200)}, {0, 9, begin("a", 200)}, {10, 11, look("a", "running")}}},
		"the same is refused":                 {roll, false, []one{{0, 9, begin("a", 200)}, {10, 19, begin("a", 409)}}},
		"the other is seen":                   {roll, false, []one{{0, 9, begin("a", 200)}, {0, 9, begin("b", 409)}, {10, 11, look("b", "running")}}},
		"begun and not seen":                  {roll, false, []one{{0, 9, begin("a", 200)}, {10, 11, look("", "none")}}},
		"one end":                             {roll, true, []one{{0, 9, begin("a", 200)}, {150, 151, look("a", "completed")}, {160, 161, begin("b", 200)}}},
		"another end":                         {roll, false, []one{{0, 9, begin("a", 200)}, {150, 151, look("a", "completed")}, {160, 161, look("a", "rolled_back")}}},
		"an end too early":                    {roll, false, []one{{0, 9, begin("a", 200)}, {50, 51, look("a", "completed")}}},
		"the next before the end":             {roll, false, []one{{0, 9, begin("a", 200)}, {50, 51, begin("b", 200)}}},
		"an unclear begin, refused for it":    {roll, true, []one{{0, never, begin("a", 0)}, {10, 11, begin("b", 409)}, {20, 21, look("a", "running")}}},
		"an unclear one and two targets":      {roll, false, []one{{0, 9, begin("a", 200)}, {0, never, begin("b", 0)}, {20, 29, begin("b", 200)}}},
		"an unclear one after the end":        {roll, true, []one{{0, 9, begin("a", 200)}, {0, never, begin("b", 0)}, {120, 129, begin("b", 200)}}},
		"an unclear begin is running by half": {roll, false, []one{{0, never, begin("a", 0)}, {10, 11, look("a", "running")}, {20, 21, look("", "none")}}},
	} {
		var ops []porcupine.Operation
		for i, o := range x.ops {
			if r, ok := o.op.(rollOp); ok {
				r.call, r.ret = o.call, o.ret
				o.op = r
			}
			ops = append(ops, porcupine.Operation{ClientId: i, Input: o.op, Call: o.call, Return: o.ret})
		}
		qt.Check(t, porcupine.CheckOperations(x.model, ops), qt.Equals, x.good, qt.Commentf(name))
		slices.Reverse(ops)
		qt.Check(t, porcupine.CheckOperations(x.model, ops), qt.Equals, x.good, qt.Commentf("%s, noted in another order", name))
	}
}
