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

// checkHistory holds the history against what must be: first plain rules, which name the fault, then the models.
func (rc *recorder) checkHistory() {
	for _, violation := range rc.cluster.Violations {
		rc.violation("broken", "%s", violation)
	}
	changeOf := map[int16]*change{}
	for _, ch := range rc.changes {
		for _, c := range ch.items {
			changeOf[c.id] = ch
		}
		if ch.status == 409 && !slices.ContainsFunc(ch.items, func(c content) bool { return c.conflict >= 0 }) {
			rc.violation("409 without a rival", "order %d", ch.id)
		}
		for _, a := range ch.repeats {
			if ch.status == 200 && a.status != 200 {
				rc.violation("confirmed, then refused", "order %d got %d", ch.id, a.status)
			}
		}
	}
	observed := map[int16]string{}
	maps.Copy(observed, rc.active)
	for _, rd := range rc.reads {
		for _, id := range rd.contents {
			observed[id] = fmt.Sprint("reading at ", rd.control)
		}
	}
	delete(observed, 0)
	rivals := map[int]int16{}
	for _, id := range slices.Sorted(maps.Keys(observed)) {
		c := rc.contents[id]
		if ch := changeOf[id]; ch.status == 409 {
			rc.violation("refused and in force", "order %d, %s: %s; %+v, refused from %d to %d, then %+v", ch.id, c.prefix, observed[id], ch.items, ch.firstSent, ch.answeredAt, ch.repeats)
		}
		if c.conflict < 0 {
			continue
		}
		if x, there := rivals[c.conflict]; there {
			rc.violation("two contents of one version", "r%d %d: %s at %s, %s at %s", c.route, c.version, rc.contents[x].prefix, observed[x], c.prefix, observed[id])
		}
		rivals[c.conflict] = id
		for _, x := range rc.contents[1:] {
			if ch := changeOf[x.id]; x.conflict == c.conflict && x.id != id && ch.status == 200 && !rc.superseded(ch, x) {
				rc.violation(lo.Ternary(changeOf[id].status == 200, "two confirmed under one version", "confirmed, and another in force"), "r%d %d: order %d, and order %d that is in force", x.route, x.version, ch.id, changeOf[id].id)
			}
		}
	}
	slices.SortFunc(rc.reads, func(a, violation read) int { return int(a.calledAt - violation.calledAt) })
	for i, rd := range rc.reads {
		for _, earlier := range rc.reads[:i] {
			for route, v := range earlier.versions {
				if earlier.returnedAt < rd.calledAt && rd.contents[route] > 0 && rd.versions[route] < v {
					rc.violation("a reading behind another", "at %d: r%d is at %d, was at %d at %d", rd.control, route, rd.versions[route], v, earlier.control)
				}
			}
		}
		for _, ch := range rc.changes {
			if ch.status == 200 && ch.answeredAt < rd.calledAt {
				for _, c := range ch.items {
					// a drop may stand where nothing is seen
					if rd.versions[c.route] < c.version && !(rd.contents[c.route] == 0 && rc.dropped(c.route, c.version, rd.returnedAt)) {
						rc.violation("a reading behind what was confirmed", "at %d: r%d is at %d, order %d of %d was confirmed %v before", rd.control, c.route, rd.versions[c.route],
							ch.id, c.version, time.Duration(rd.calledAt-ch.answeredAt))
					}
				}
			}
		}
		for _, ch := range rc.changes {
			part, missing := false, false
			for _, c := range ch.items {
				part = part || c.prefix != "" && rd.contents[c.route] == c.id
				missing = missing || rd.versions[c.route] < c.version && rd.contents[c.route] != 0 || rd.versions[c.route] == c.version && rd.contents[c.route] != c.id
			}
			if part && missing {
				rc.violation("in part in a reading", "order %d at %d", ch.id, rd.control)
			}
		}
	}
	firstSent := map[string]int64{} // by target: when it was sent first
	for _, a := range rc.rollouts {
		if x := a.op.(rolloutOp); !x.read {
			firstSent[x.target] = min(x.calledAt, cmp.Or(firstSent[x.target], x.calledAt))
		}
	}
	for i, a := range rc.rollouts {
		x := a.op.(rolloutOp)
		for _, violation := range rc.rollouts[:i] {
			y := violation.op.(rolloutOp)
			from, by := min(firstSent[x.target], firstSent[y.target]), max(x.returnedAt, y.returnedAt)
			if !x.read && !y.read && x.status == 200 && y.status == 200 && x.target != y.target && by < rc.earliestEnd(from) {
				rc.violation("two rollouts begun at once", "%s and %s", x.target, y.target)
			}
		}
	}
	rc.checkLinearizable("configuration", configModel(rc.contents), rc.configOps())
	rc.checkLinearizable("evacuation", evacuationModel, rc.timedOperations(rc.evacuations))
	rc.checkLinearizable("rollouts", rolloutModel(rc.earliestEnd), rc.timedOperations(rc.rollouts))
}

// earliestEnd is when at the earliest a rollout has ended that was begun at one time or later: routers have voted, or its term is
// nearly over.
func (rc *recorder) earliestEnd(from int64) int64 {
	end := from + (rolloutSeconds-2)*int64(time.Second)
	for _, at := range rc.votedAt {
		if at >= from {
			end = min(end, at)
		}
	}
	return end
}

// superseded tells whether an order's content may have lain under a later version already when the order was confirmed.
func (rc *recorder) superseded(ch *change, c content) bool {
	return slices.ContainsFunc(rc.changes, func(x *change) bool {
		return x.firstSent > 0 && x.firstSent < ch.answeredAt && x.status != 409 && slices.ContainsFunc(x.items, func(i content) bool { return i.route == c.route && i.version > c.version })
	})
}

// dropped tells whether a route may have been dropped by a time, by a version as high or higher.
func (rc *recorder) dropped(route int, version uint64, by int64) bool {
	return slices.ContainsFunc(rc.changes, func(x *change) bool {
		return x.firstSent > 0 && x.firstSent < by && slices.ContainsFunc(x.items, func(i content) bool {
			return i.route == route && i.version >= version && i.prefix == ""
		})
	})
}

// configOps are the calls about the configuration. What readings show narrows when an order that isn't refused can have come in
// force, as a version that stands is never followed by a lower one: not after the first reading that saw it ended, and not
// before the last one that saw a lower version began. The model judges as before, it only tries less.
func (rc *recorder) configOps() (ops []porcupine.Operation) {
	add := func(op configOp, call, ret int64) {
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: op, Call: call, Return: ret})
	}
	for _, ch := range rc.changes {
		if ch.firstSent == 0 {
			continue
		}
		items := lo.Map(ch.items, func(c content, _ int) content { return rc.contents[c.id] })
		call, ret := ch.firstSent, lo.Ternary(ch.status == 0, never, ch.answeredAt)
		if ch.status == 0 || ch.status == 200 {
			call, ret = rc.narrowed(items, call, ret)
		}
		add(configOp{items: items, status: lo.Ternary(ch.status == 200 || ch.status == 409, ch.status, 0), removable: ch.status != 409 && rc.removable(items, ret)}, call, ret)
		for _, a := range ch.repeats {
			if ch.status == 409 && a.status == 200 { // only where nothing of it could come in force any more
				add(configOp{items: items, status: 200}, a.calledAt, a.returnedAt)
			}
		}
	}
	for _, r := range rc.reads {
		add(configOp{read: true, contents: r.contents}, r.calledAt, r.returnedAt)
	}
	return ops
}

// removable tells whether an order that isn't refused may come in last of all and then change nothing, or nothing that is seen, and
// is unlikely to have been needed before: it has no end, or all its routes were read at later versions before its end; no
// reading saw any of it, it drops nothing, and no rival of it was refused.
func (rc *recorder) removable(items []content, ret int64) bool {
	passed := ret == never
	for _, r := range rc.reads {
		over := r.returnedAt < ret
		for _, c := range items {
			if r.contents[c.route] == c.id {
				return false
			}
			over = over && r.contents[c.route] > 0 && r.versions[c.route] > c.version
		}
		passed = passed || over
	}
	return passed && !slices.ContainsFunc(items, func(c content) bool {
		return c.prefix == "" || c.conflict >= 0 && slices.ContainsFunc(rc.changes, func(o *change) bool {
			return o.status == 409 && slices.ContainsFunc(o.items, func(x content) bool { return rc.contents[x.id].conflict == c.conflict })
		})
	})
}

// narrowed is the time in which an order can have come in force, from the time between its call and its answer.
func (rc *recorder) narrowed(items []content, call, ret int64) (from, by int64) {
	from, by = call, ret
	for _, r := range rc.reads {
		for _, c := range items {
			switch id := r.contents[c.route]; {
			case id == c.id && c.prefix != "":
				by = min(by, r.returnedAt)
			case id > 0 && r.versions[c.route] < c.version:
				from = max(from, r.calledAt)
			}
		}
	}
	if from > by { // no model allows that: it is to be found and shown as it was
		return call, ret
	}
	return from, by
}

func (rc *recorder) timedOperations(all []timedCall) (ops []porcupine.Operation) {
	for _, t := range all {
		ret := t.returnedAt
		if ret == never && t.calledAt < rc.settledAt { // what is unclear is decided or gone by then
			ret = rc.settledAt
		}
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: t.op, Call: t.calledAt, Return: ret})
	}
	return ops
}

// checkLinearizable holds calls against a model, first without those that are spare: where there is an order without them there is one
// with them. If there is none, they are all tried.
func (rc *recorder) checkLinearizable(label string, model porcupine.Model, ops []porcupine.Operation) {
	required := slices.DeleteFunc(slices.Clone(ops), func(o porcupine.Operation) bool {
		op, is := o.Input.(configOp)
		return is && op.removable
	})
	if len(required) < len(ops) {
		if ok, _ := findOrder(model, required); ok {
			return
		}
	}
	switch ok, steps := findOrder(model, ops); {
	case ok:
	case steps >= maxSteps:
		rc.violation("not checked: "+label, "%d calls, in %d steps", len(ops), steps)
	default:
		rc.violation("not linearizable: "+label, "%d calls", len(ops))
	}
	if *printHistory {
		rc.printOperations(label, ops)
	}
}

// findOrder tells whether a model allows calls in some order, and in how many of its steps that was found out; it gives up after
// mostSteps.
func findOrder(m porcupine.Model, ops []porcupine.Operation) (ok bool, steps int64) {
	var n atomic.Int64
	step := m.Step
	m.Step = func(state, input, output any) (bool, any) {
		if n.Add(1) > maxSteps {
			return false, state
		}
		return step(state, input, output)
	}
	ok = porcupine.CheckOperations(m, ops)
	return ok, n.Load()
}

// printOperations writes a history down by the times of the calls, in milliseconds.
func (rc *recorder) printOperations(label string, ops []porcupine.Operation) {
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	fmt.Println(label, rc.seed)
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
func TestHistoryRules(t *testing.T) {
	c := qt.New(t)
	made := func() *recorder {
		w := &recorder{cluster: &Cluster{}, history: &history{contents: []content{{conflict: -1}}, violations: map[string][]string{}, active: map[int16]string{}, conflicts: 1}}
		one, two := w.internContent(0, 2, "/a/"), w.internContent(0, 2, "/b/")
		alone := w.internContent(1, 2, "/c/")
		one.conflict, two.conflict = 0, 0
		w.contents[1], w.contents[2] = one, two
		w.changes = []*change{{id: 0, items: []content{one}, firstSent: 1, answeredAt: 2, status: 200},
			{id: 1, items: []content{two, alone}, firstSent: 1, answeredAt: 2, status: 409}}
		return w
	}
	kinds := func(w *recorder) []string { return slices.Sorted(maps.Keys(w.violations)) }
	for name, x := range map[string]struct {
		do   func(w *recorder)
		want []string
	}{
		"nothing": {func(w *recorder) {}, nil},
		"a right 409": {func(w *recorder) {
			w.checkConflict(w.changes[1], []byte(`{"error":"conflict","reason":"r0: /a/ stands"}`))
		}, nil},
		"no kind of its own":      {func(w *recorder) { w.checkConflict(w.changes[1], []byte(`{"error":"outdated"}`)) }, []string{"409 of another kind"}},
		"without the content":     {func(w *recorder) { w.checkConflict(w.changes[1], []byte(`{"error":"conflict","reason":"r0"}`)) }, []string{"409 doesn't say what stands"}},
		"confirmed, then refused": {func(w *recorder) { w.changes[0].repeats = []response{{3, 4, 409}} }, []string{"confirmed, then refused"}},
		"at a router":             {func(w *recorder) { w.active[2] = "there" }, []string{"confirmed, and another in force", "refused and in force"}},
		"both at routers":         {func(w *recorder) { w.active[1], w.active[2] = "there", "here" }, []string{"confirmed, and another in force", "refused and in force", "two contents of one version"}},
		"in part": {func(w *recorder) {
			w.reads = []read{{calledAt: 3, returnedAt: 4, contents: [routeCount]int16{1, 3}, versions: [routeCount]uint64{2, 2}}}
		},
			[]string{"in part in a reading", "not linearizable: configuration", "refused and in force"}},
		"behind":         {func(w *recorder) { w.reads = []read{{calledAt: 3, returnedAt: 4}} }, []string{"a reading behind what was confirmed", "not linearizable: configuration"}},
		"both confirmed": {func(w *recorder) { w.changes[1].status, w.active[1] = 200, "there" }, []string{"not linearizable: configuration", "two confirmed under one version"}},
		"409 alone": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(2, 3, "/d/")}, firstSent: 5, answeredAt: 6, status: 409})
		}, []string{"409 without a rival", "not linearizable: configuration"}},
		"seen before it was sent": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(2, 3, "/d/")}, firstSent: 8, answeredAt: 9, status: 200})
			w.reads = []read{{calledAt: 5, returnedAt: 6, contents: [routeCount]int16{1, 0, 4}, versions: [routeCount]uint64{2, 0, 3}}}
		}, []string{"not linearizable: configuration"}},
		"unclear, seen, then not": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(2, 3, "/d/")}, firstSent: 3})
			w.reads = []read{{calledAt: 5, returnedAt: 6, contents: [routeCount]int16{1, 0, 4}, versions: [routeCount]uint64{2, 0, 3}},
				{calledAt: 7, returnedAt: 8, contents: [routeCount]int16{1}, versions: [routeCount]uint64{2}}}
		}, []string{"not linearizable: configuration"}},
		"unclear, and a later one that was confirmed isn't seen": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(0, 4, "/d/")}, firstSent: 3},
				&change{id: 3, items: []content{w.internContent(0, 6, "/e/")}, firstSent: 3, answeredAt: 4, status: 200})
			w.reads = []read{{calledAt: 5, returnedAt: 6, contents: [routeCount]int16{4}, versions: [routeCount]uint64{4}}}
		}, []string{"a reading behind what was confirmed", "not linearizable: configuration"}},
		"unclear, and nobody sees it": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(0, 4, "/d/")}, firstSent: 3})
			w.reads = []read{{calledAt: 5, returnedAt: 6, contents: [routeCount]int16{1}, versions: [routeCount]uint64{2}}}
		}, nil},
		"unclear, and a rival is refused for it": {func(w *recorder) {
			one, two := w.internContent(0, 4, "/d/"), w.internContent(0, 4, "/e/")
			one.conflict, two.conflict, w.conflicts = 1, 1, 2
			w.contents[one.id], w.contents[two.id] = one, two
			w.changes = append(w.changes, &change{id: 2, items: []content{one}, firstSent: 3}, &change{id: 3, items: []content{two}, firstSent: 3, answeredAt: 9, status: 409},
				&change{id: 4, items: []content{w.internContent(0, 6, "/f/")}, firstSent: 3, answeredAt: 4, status: 200})
			w.reads = []read{{calledAt: 5, returnedAt: 6, contents: [routeCount]int16{6}, versions: [routeCount]uint64{6}}}
		}, nil},
		"confirmed late, when a later one stands": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(0, 4, "/d/")}, firstSent: 3, answeredAt: 20, status: 200},
				&change{id: 3, items: []content{w.internContent(0, 6, "/e/")}, firstSent: 3, answeredAt: 4, status: 200})
			w.reads = []read{{calledAt: 5, returnedAt: 6, contents: [routeCount]int16{5}, versions: [routeCount]uint64{6}}}
		}, nil},
		"refused, then taken where it is over in part": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(0, 4, "/d/")}, firstSent: 5, answeredAt: 6, status: 200})
			w.changes[1].repeats = []response{{7, 8, 200}}
		}, []string{"not linearizable: configuration"}},
	} {
		w := made()
		x.do(w)
		w.checkHistory()
		c.Check(kinds(w), qt.DeepEquals, x.want, qt.Commentf(name))
	}
}
