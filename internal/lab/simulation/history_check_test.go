package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"
)

// check holds the history against what must be: first plain rules, which name the fault, then the models.
func (w *watch) check() {
	for _, b := range w.h.Broken {
		w.fault("broken", "%s", b)
	}
	byContent := map[int16]*order{}
	for _, o := range w.orders {
		for _, c := range o.items {
			byContent[c.id] = o
		}
		if o.status == 409 && !slices.ContainsFunc(o.items, func(c content) bool { return c.rivals >= 0 }) {
			w.fault("409 without a rival", "order %d", o.n)
		}
		for _, a := range o.again {
			if o.status == 200 && a.status != 200 {
				w.fault("confirmed, then refused", "order %d got %d", o.n, a.status)
			}
		}
	}
	seen := map[int16]string{}
	maps.Copy(seen, w.forced)
	for _, r := range w.readings {
		for _, id := range r.seen {
			seen[id] = fmt.Sprint("reading at ", r.at)
		}
	}
	delete(seen, 0)
	rivals := map[int]int16{}
	for _, id := range slices.Sorted(maps.Keys(seen)) {
		c := w.contents[id]
		if o := byContent[id]; o.status == 409 {
			w.fault("refused and in force", "order %d, %s: %s; %+v, refused from %d to %d, then %+v", o.n, c.prefix, seen[id], o.items, o.began, o.ended, o.again)
		}
		if c.rivals < 0 {
			continue
		}
		if x, there := rivals[c.rivals]; there {
			w.fault("two contents of one version", "r%d %d: %s at %s, %s at %s", c.route, c.version, w.contents[x].prefix, seen[x], c.prefix, seen[id])
		}
		rivals[c.rivals] = id
		for _, x := range w.contents[1:] {
			if o := byContent[x.id]; x.rivals == c.rivals && x.id != id && o.status == 200 && !w.superseded(o, x) {
				w.fault(lo.Ternary(byContent[id].status == 200, "two confirmed under one version", "confirmed, and another in force"), "r%d %d: order %d, and order %d that is in force", x.route, x.version, o.n, byContent[id].n)
			}
		}
	}
	slices.SortFunc(w.readings, func(a, b reading) int { return int(a.call - b.call) })
	for i, r := range w.readings {
		for _, earlier := range w.readings[:i] {
			for route, v := range earlier.versions {
				if earlier.ret < r.call && r.seen[route] > 0 && r.versions[route] < v {
					w.fault("a reading behind another", "at %d: r%d is at %d, was at %d at %d", r.at, route, r.versions[route], v, earlier.at)
				}
			}
		}
		for _, o := range w.orders {
			if o.status == 200 && o.ended < r.call {
				for _, c := range o.items {
					// a drop may stand where nothing is seen
					if r.versions[c.route] < c.version && !(r.seen[c.route] == 0 && w.dropped(c.route, c.version, r.ret)) {
						w.fault("a reading behind what was confirmed", "at %d: r%d is at %d, order %d of %d was confirmed %v before", r.at, c.route, r.versions[c.route],
							o.n, c.version, time.Duration(r.call-o.ended))
					}
				}
			}
		}
		for _, o := range w.orders {
			part, missing := false, false
			for _, c := range o.items {
				part = part || c.prefix != "" && r.seen[c.route] == c.id
				missing = missing || r.versions[c.route] < c.version && r.seen[c.route] != 0 || r.versions[c.route] == c.version && r.seen[c.route] != c.id
			}
			if part && missing {
				w.fault("in part in a reading", "order %d at %d", o.n, r.at)
			}
		}
	}
	first := map[string]int64{} // by target: when it was sent first
	for _, a := range w.rolls {
		if x := a.op.(rollOp); !x.read {
			first[x.target] = min(x.call, cmp.Or(first[x.target], x.call))
		}
	}
	for i, a := range w.rolls {
		x := a.op.(rollOp)
		for _, b := range w.rolls[:i] {
			y := b.op.(rollOp)
			from, by := min(first[x.target], first[y.target]), max(x.ret, y.ret)
			if !x.read && !y.read && x.status == 200 && y.status == 200 && x.target != y.target && by < w.ends(from) {
				w.fault("two rollouts begun at once", "%s and %s", x.target, y.target)
			}
		}
	}
	w.linear("configuration", configuration(w.contents), w.confOps())
	w.linear("evacuation", evacuation, w.timedOps(w.evacs))
	w.linear("rollouts", rollouts(w.ends), w.timedOps(w.rolls))
}

// ends is when at the earliest a rollout has ended that was begun at one time or later: routers have voted, or its term is
// nearly over.
func (w *watch) ends(from int64) int64 {
	by := from + (termFor-2)*int64(time.Second)
	for _, at := range w.votes {
		if at >= from {
			by = min(by, at)
		}
	}
	return by
}

// superseded tells whether an order's content may have lain under a later version already when the order was confirmed.
func (w *watch) superseded(o *order, c content) bool {
	return slices.ContainsFunc(w.orders, func(x *order) bool {
		return x.began > 0 && x.began < o.ended && x.status != 409 && slices.ContainsFunc(x.items, func(i content) bool { return i.route == c.route && i.version > c.version })
	})
}

// dropped tells whether a route may have been dropped by a time, by a version as high or higher.
func (w *watch) dropped(route int, version uint64, by int64) bool {
	return slices.ContainsFunc(w.orders, func(x *order) bool {
		return x.began > 0 && x.began < by && slices.ContainsFunc(x.items, func(i content) bool {
			return i.route == route && i.version >= version && i.prefix == ""
		})
	})
}

// confOps are the calls about the configuration. What readings show narrows when an order that isn't refused can have come in
// force, as a version that stands is never followed by a lower one: not after the first reading that saw it ended, and not
// before the last one that saw a lower version began. The model judges as before, it only tries less.
func (w *watch) confOps() (ops []porcupine.Operation) {
	add := func(op confOp, call, ret int64) {
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: op, Call: call, Return: ret})
	}
	for _, o := range w.orders {
		if o.began == 0 {
			continue
		}
		items := lo.Map(o.items, func(c content, _ int) content { return w.contents[c.id] })
		call, ret := o.began, lo.Ternary(o.status == 0, never, o.ended)
		if o.status == 0 || o.status == 200 {
			call, ret = w.narrowed(items, call, ret)
		}
		add(confOp{items: items, status: lo.Ternary(o.status == 200 || o.status == 409, o.status, 0), spare: o.status != 409 && w.spare(items, ret)}, call, ret)
		for _, a := range o.again {
			if o.status == 409 && a.status == 200 { // only where nothing of it could come in force any more
				add(confOp{items: items, status: 200}, a.call, a.ret)
			}
		}
	}
	for _, r := range w.readings {
		add(confOp{read: true, seen: r.seen}, r.call, r.ret)
	}
	return ops
}

// spare tells whether an order that isn't refused may come in last of all and then change nothing, or nothing that is seen, and
// is unlikely to have been needed before: it has no end, or all its routes were read at later versions before its end; no
// reading saw any of it, it drops nothing, and no rival of it was refused.
func (w *watch) spare(items []content, ret int64) bool {
	passed := ret == never
	for _, r := range w.readings {
		over := r.ret < ret
		for _, c := range items {
			if r.seen[c.route] == c.id {
				return false
			}
			over = over && r.seen[c.route] > 0 && r.versions[c.route] > c.version
		}
		passed = passed || over
	}
	return passed && !slices.ContainsFunc(items, func(c content) bool {
		return c.prefix == "" || c.rivals >= 0 && slices.ContainsFunc(w.orders, func(o *order) bool {
			return o.status == 409 && slices.ContainsFunc(o.items, func(x content) bool { return w.contents[x.id].rivals == c.rivals })
		})
	})
}

// narrowed is the time in which an order can have come in force, from the time between its call and its answer.
func (w *watch) narrowed(items []content, call, ret int64) (from, by int64) {
	from, by = call, ret
	for _, r := range w.readings {
		for _, c := range items {
			switch id := r.seen[c.route]; {
			case id == c.id && c.prefix != "":
				by = min(by, r.ret)
			case id > 0 && r.versions[c.route] < c.version:
				from = max(from, r.call)
			}
		}
	}
	if from > by { // no model allows that: it is to be found and shown as it was
		return call, ret
	}
	return from, by
}

func (w *watch) timedOps(all []timed) (ops []porcupine.Operation) {
	for _, t := range all {
		ret := t.ret
		if ret == never && t.call < w.calm { // what is unclear is decided or gone by then
			ret = w.calm
		}
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: t.op, Call: t.call, Return: ret})
	}
	return ops
}

// linear holds calls against a model, first without those that are spare: where there is an order without them there is one
// with them. If there is none, they are all tried.
func (w *watch) linear(what string, m porcupine.Model, ops []porcupine.Operation) {
	some := slices.DeleteFunc(slices.Clone(ops), func(o porcupine.Operation) bool {
		op, is := o.Input.(confOp)
		return is && op.spare
	})
	if len(some) < len(ops) {
		if ok, _ := ordered(m, some); ok {
			return
		}
	}
	switch ok, steps := ordered(m, ops); {
	case ok:
	case steps >= mostSteps:
		w.fault("not checked: "+what, "%d calls, in %d steps", len(ops), steps)
	default:
		w.fault("not linearizable: "+what, "%d calls", len(ops))
	}
	if *show {
		w.write(what, ops)
	}
}

// ordered tells whether a model allows calls in some order, and in how many of its steps that was found out; it gives up after
// mostSteps.
func ordered(m porcupine.Model, ops []porcupine.Operation) (ok bool, steps int64) {
	var n atomic.Int64
	step := m.Step
	m.Step = func(state, input, output any) (bool, any) {
		if n.Add(1) > mostSteps {
			return false, state
		}
		return step(state, input, output)
	}
	ok = porcupine.CheckOperations(m, ops)
	return ok, n.Load()
}

// write writes a history down by the times of the calls, in milliseconds.
func (w *watch) write(what string, ops []porcupine.Operation) {
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	fmt.Println(what, w.seed)
	for _, op := range ops {
		ret := "open"
		if op.Return < never {
			ret = fmt.Sprint((op.Return - ops[0].Call) / 1e6)
		}
		fmt.Printf("%d-%s %+v\n", (op.Call-ops[0].Call)/1e6, ret, op.Input)
	}
}

// What a 409 must say, and the plain rules over a history that is written by hand: one order each of two rivals, and what was
// read and answered again.
func TestRules(t *testing.T) {
	c := qt.New(t)
	made := func() *watch {
		w := &watch{h: &Harbour{}, record: &record{contents: []content{{rivals: -1}}, faults: map[string][]string{}, forced: map[int16]string{}, rivals: 1}}
		one, two := w.intern(0, 2, "/a/"), w.intern(0, 2, "/b/")
		alone := w.intern(1, 2, "/c/")
		one.rivals, two.rivals = 0, 0
		w.contents[1], w.contents[2] = one, two
		w.orders = []*order{{n: 0, items: []content{one}, began: 1, ended: 2, status: 200},
			{n: 1, items: []content{two, alone}, began: 1, ended: 2, status: 409}}
		return w
	}
	kinds := func(w *watch) []string { return slices.Sorted(maps.Keys(w.faults)) }
	for name, x := range map[string]struct {
		do   func(w *watch)
		want []string
	}{
		"nothing":                 {func(w *watch) {}, nil},
		"a right 409":             {func(w *watch) { w.refused(w.orders[1], []byte(`{"error":"conflict","reason":"r0: /a/ stands"}`)) }, nil},
		"no kind of its own":      {func(w *watch) { w.refused(w.orders[1], []byte(`{"error":"outdated"}`)) }, []string{"409 of another kind"}},
		"without the content":     {func(w *watch) { w.refused(w.orders[1], []byte(`{"error":"conflict","reason":"r0"}`)) }, []string{"409 doesn't say what stands"}},
		"confirmed, then refused": {func(w *watch) { w.orders[0].again = []answer{{3, 4, 409}} }, []string{"confirmed, then refused"}},
		"at a router":             {func(w *watch) { w.forced[2] = "there" }, []string{"confirmed, and another in force", "refused and in force"}},
		"both at routers":         {func(w *watch) { w.forced[1], w.forced[2] = "there", "here" }, []string{"confirmed, and another in force", "refused and in force", "two contents of one version"}},
		"in part": {func(w *watch) {
			w.readings = []reading{{call: 3, ret: 4, seen: [routesN]int16{1, 3}, versions: [routesN]uint64{2, 2}}}
		},
			[]string{"in part in a reading", "not linearizable: configuration", "refused and in force"}},
		"behind":         {func(w *watch) { w.readings = []reading{{call: 3, ret: 4}} }, []string{"a reading behind what was confirmed", "not linearizable: configuration"}},
		"both confirmed": {func(w *watch) { w.orders[1].status, w.forced[1] = 200, "there" }, []string{"not linearizable: configuration", "two confirmed under one version"}},
		"409 alone": {func(w *watch) {
			w.orders = append(w.orders, &order{n: 2, items: []content{w.intern(2, 3, "/d/")}, began: 5, ended: 6, status: 409})
		}, []string{"409 without a rival", "not linearizable: configuration"}},
		"seen before it was sent": {func(w *watch) {
			w.orders = append(w.orders, &order{n: 2, items: []content{w.intern(2, 3, "/d/")}, began: 8, ended: 9, status: 200})
			w.readings = []reading{{call: 5, ret: 6, seen: [routesN]int16{1, 0, 4}, versions: [routesN]uint64{2, 0, 3}}}
		}, []string{"not linearizable: configuration"}},
		"unclear, seen, then not": {func(w *watch) {
			w.orders = append(w.orders, &order{n: 2, items: []content{w.intern(2, 3, "/d/")}, began: 3})
			w.readings = []reading{{call: 5, ret: 6, seen: [routesN]int16{1, 0, 4}, versions: [routesN]uint64{2, 0, 3}},
				{call: 7, ret: 8, seen: [routesN]int16{1}, versions: [routesN]uint64{2}}}
		}, []string{"not linearizable: configuration"}},
		"unclear, and a later one that was confirmed isn't seen": {func(w *watch) {
			w.orders = append(w.orders, &order{n: 2, items: []content{w.intern(0, 4, "/d/")}, began: 3},
				&order{n: 3, items: []content{w.intern(0, 6, "/e/")}, began: 3, ended: 4, status: 200})
			w.readings = []reading{{call: 5, ret: 6, seen: [routesN]int16{4}, versions: [routesN]uint64{4}}}
		}, []string{"a reading behind what was confirmed", "not linearizable: configuration"}},
		"unclear, and nobody sees it": {func(w *watch) {
			w.orders = append(w.orders, &order{n: 2, items: []content{w.intern(0, 4, "/d/")}, began: 3})
			w.readings = []reading{{call: 5, ret: 6, seen: [routesN]int16{1}, versions: [routesN]uint64{2}}}
		}, nil},
		"unclear, and a rival is refused for it": {func(w *watch) {
			one, two := w.intern(0, 4, "/d/"), w.intern(0, 4, "/e/")
			one.rivals, two.rivals, w.rivals = 1, 1, 2
			w.contents[one.id], w.contents[two.id] = one, two
			w.orders = append(w.orders, &order{n: 2, items: []content{one}, began: 3}, &order{n: 3, items: []content{two}, began: 3, ended: 9, status: 409},
				&order{n: 4, items: []content{w.intern(0, 6, "/f/")}, began: 3, ended: 4, status: 200})
			w.readings = []reading{{call: 5, ret: 6, seen: [routesN]int16{6}, versions: [routesN]uint64{6}}}
		}, nil},
		"confirmed late, when a later one stands": {func(w *watch) {
			w.orders = append(w.orders, &order{n: 2, items: []content{w.intern(0, 4, "/d/")}, began: 3, ended: 20, status: 200},
				&order{n: 3, items: []content{w.intern(0, 6, "/e/")}, began: 3, ended: 4, status: 200})
			w.readings = []reading{{call: 5, ret: 6, seen: [routesN]int16{5}, versions: [routesN]uint64{6}}}
		}, nil},
		"refused, then taken where it is over in part": {func(w *watch) {
			w.orders = append(w.orders, &order{n: 2, items: []content{w.intern(0, 4, "/d/")}, began: 5, ended: 6, status: 200})
			w.orders[1].again = []answer{{7, 8, 200}}
		}, []string{"not linearizable: configuration"}},
	} {
		w := made()
		x.do(w)
		w.check()
		c.Check(kinds(w), qt.DeepEquals, x.want, qt.Commentf(name))
	}
}
