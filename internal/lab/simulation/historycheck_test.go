package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"
)

// checkHistory checks the history against plain rules, which name the fault, and then against the models.
func (rc *recorder) checkHistory() {
	for _, violation := range rc.cluster.Violations {
		rc.violation("broken", "%s", violation)
	}
	changeOf := rc.changesByContent()
	rc.checkAnswers()
	rc.checkRivals(changeOf)
	rc.checkReads()
	rc.checkRollouts()
	rc.checkLinearizable("configuration", configModel(rc.contents), rc.configOps())
	rc.checkLinearizable("evacuation", evacuationModel, rc.timedOperations(rc.evacuations))
	rc.checkLinearizable("rollouts", rolloutModel(rc.earliestEnd), rc.timedOperations(rc.rollouts))
}

// changesByContent returns the change that each content, by its id, belongs to.
func (rc *recorder) changesByContent() map[int16]*change {
	changeOf := map[int16]*change{}
	for _, ch := range rc.changes {
		for _, c := range ch.items {
			changeOf[c.id] = ch
		}
	}
	return changeOf
}

// checkAnswers checks that changes are refused only for a rival, and that what was confirmed is confirmed whenever it is sent again.
func (rc *recorder) checkAnswers() {
	for _, ch := range rc.changes {
		if ch.status == 409 && !slices.ContainsFunc(ch.items, func(c content) bool { return c.conflict >= 0 }) {
			rc.violation("409 without a rival", "order %d", ch.id)
		}
		for _, a := range ch.repeats {
			if ch.status == 200 && a.status != 200 {
				rc.violation("confirmed, then refused", "order %d got %d", ch.id, a.status)
			}
		}
	}
}

// observedContents returns where each content was observed: at a proxy, or by a read.
func (rc *recorder) observedContents() map[int16]string {
	observed := map[int16]string{}
	maps.Copy(observed, rc.active)
	for _, rd := range rc.reads {
		for _, id := range rd.contents {
			observed[id] = fmt.Sprint("reading at ", rd.control)
		}
	}
	delete(observed, 0)
	return observed
}

// checkRivals checks that nothing that was refused is observed, and of two contents of one version only the one that was confirmed.
func (rc *recorder) checkRivals(changeOf map[int16]*change) {
	observed := rc.observedContents()
	rivals := map[int]int16{}
	for _, id := range slices.Sorted(maps.Keys(observed)) {
		c := rc.contents[id]
		if ch := changeOf[id]; ch.status == 409 {
			rc.violation("refused and in force", "order %d, %s: %s; %+v, refused from %d to %d, then %+v",
				ch.id, c.prefix, observed[id], ch.items, ch.firstSent, ch.answeredAt, ch.repeats)
		}
		if c.conflict < 0 {
			continue
		}
		if other, found := rivals[c.conflict]; found {
			rc.violation("two contents of one version", "r%d %d: %s at %s, %s at %s",
				c.route, c.version, rc.contents[other].prefix, observed[other], c.prefix, observed[id])
		}
		rivals[c.conflict] = id
		rc.checkConfirmedRivals(c, changeOf)
	}
}

// checkConfirmedRivals checks that no rival of a content that is in force was confirmed, unless a later version came before it.
func (rc *recorder) checkConfirmedRivals(inForce content, changeOf map[int16]*change) {
	for _, rival := range rc.contents[1:] {
		ch := changeOf[rival.id]
		if rival.conflict != inForce.conflict || rival.id == inForce.id || ch.status != 200 || rc.superseded(ch, rival) {
			continue
		}
		kind := lo.Ternary(changeOf[inForce.id].status == 200, "two confirmed under one version", "confirmed, and another in force")
		rc.violation(kind, "r%d %d: order %d, and order %d that is in force", rival.route, rival.version, ch.id, changeOf[inForce.id].id)
	}
}

// checkReads checks each read against earlier reads, against what was confirmed before it, and for changes that it shows in part.
func (rc *recorder) checkReads() {
	slices.SortFunc(rc.reads, func(a, b read) int { return int(a.calledAt - b.calledAt) })
	for i, rd := range rc.reads {
		rc.checkMonotonic(rd, rc.reads[:i])
		rc.checkConfirmedRead(rd)
		rc.checkAtomic(rd)
	}
}

// checkMonotonic checks that a read shows no older version than reads that ended before it began.
func (rc *recorder) checkMonotonic(rd read, earlierReads []read) {
	for _, earlier := range earlierReads {
		for route, v := range earlier.versions {
			if earlier.returnedAt < rd.calledAt && rd.contents[route] > 0 && rd.versions[route] < v {
				rc.violation("a reading behind another", "at %d: r%d is at %d, was at %d at %d", rd.control, route, rd.versions[route], v, earlier.control)
			}
		}
	}
}

// checkConfirmedRead checks that a read shows no older version than what was confirmed before it began.
func (rc *recorder) checkConfirmedRead(rd read) {
	for _, ch := range rc.changes {
		if ch.status != 200 || ch.answeredAt >= rd.calledAt {
			continue
		}
		for _, c := range ch.items {
			// a dropped route may be where nothing is seen
			if rd.versions[c.route] < c.version && (rd.contents[c.route] != 0 || !rc.dropped(c.route, c.version, rd.returnedAt)) {
				rc.violation("a reading behind what was confirmed", "at %d: r%d is at %d, order %d of %d was confirmed %v before",
					rd.control, c.route, rd.versions[c.route], ch.id, c.version, time.Duration(rd.calledAt-ch.answeredAt))
			}
		}
	}
}

// checkAtomic checks that a read shows no change of several routes in part.
func (rc *recorder) checkAtomic(rd read) {
	for _, ch := range rc.changes {
		part, missing := false, false
		for _, c := range ch.items {
			version, id := rd.versions[c.route], rd.contents[c.route]
			part = part || c.prefix != "" && id == c.id
			missing = missing || version < c.version && id != 0 || version == c.version && id != c.id
		}
		if part && missing {
			rc.violation("in part in a reading", "order %d at %d", ch.id, rd.control)
		}
	}
}

// checkRollouts checks that no two rollouts were begun in less time than one lasts.
func (rc *recorder) checkRollouts() {
	firstSent := map[string]int64{} // by target
	for _, a := range rc.rollouts {
		if x := a.op.(rolloutOp); !x.read {
			firstSent[x.target] = min(x.calledAt, cmp.Or(firstSent[x.target], x.calledAt))
		}
	}
	for i, a := range rc.rollouts {
		x := a.op.(rolloutOp)
		for _, b := range rc.rollouts[:i] {
			y := b.op.(rolloutOp)
			from, by := min(firstSent[x.target], firstSent[y.target]), max(x.returnedAt, y.returnedAt)
			if !x.read && !y.read && x.status == 200 && y.status == 200 && x.target != y.target && by < rc.earliestEnd(from) {
				rc.violation("two rollouts begun at once", "%s and %s", x.target, y.target)
			}
		}
	}
}

// superseded reports whether a change's content may have been replaced by a later version already when the change was confirmed.
func (rc *recorder) superseded(ch *change, c content) bool {
	return slices.ContainsFunc(rc.changes, func(x *change) bool {
		return x.firstSent > 0 && x.firstSent < ch.answeredAt && x.status != 409 && slices.ContainsFunc(x.items, func(i content) bool { return i.route == c.route && i.version > c.version })
	})
}

// dropped reports whether a route may have been dropped by a time, by a version as high or higher.
func (rc *recorder) dropped(route int, version uint64, by int64) bool {
	return slices.ContainsFunc(rc.changes, func(x *change) bool {
		return x.firstSent > 0 && x.firstSent < by && slices.ContainsFunc(x.items, func(i content) bool {
			return i.route == route && i.version >= version && i.prefix == ""
		})
	})
}

// What a 409 must say, and the plain rules over a history that is written by hand: one change each of two rivals, and what was read
// and answered again.
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
