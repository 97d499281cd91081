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

// checkHistory checks the history with simple rules, which name the violation, and then for linearizability.
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

// changesByContent returns the change that each content belongs to, by content ID.
func (rc *recorder) changesByContent() map[int16]*change {
	changeOf := map[int16]*change{}
	for _, ch := range rc.changes {
		for _, c := range ch.items {
			changeOf[c.id] = ch
		}
	}
	return changeOf
}

// checkAnswers checks that changes are rejected only because of a rival, and that a confirmed change is confirmed again when repeated.
func (rc *recorder) checkAnswers() {
	for _, ch := range rc.changes {
		if ch.status == 409 && !slices.ContainsFunc(ch.items, func(c content) bool { return c.conflict >= 0 }) {
			rc.violation("409 without a rival", "change %d", ch.id)
		}
		for _, a := range ch.repeats {
			if ch.status == 200 && a.status != 200 {
				rc.violation("confirmed, then rejected", "change %d got %d", ch.id, a.status)
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
			observed[id] = fmt.Sprint("read at ", rd.control)
		}
	}
	delete(observed, 0)
	return observed
}

// checkRivals checks that no rejected content is observed, that at most one of several rival contents (those of the same route and
// version) is, and that none of its rivals was confirmed.
func (rc *recorder) checkRivals(changeOf map[int16]*change) {
	observed := rc.observedContents()
	rivals := map[int]int16{}
	for _, id := range slices.Sorted(maps.Keys(observed)) {
		c := rc.contents[id]
		if ch := changeOf[id]; ch.status == 409 {
			rc.violation("rejected but in force", "change %d, %s: %s; %+v, rejected from %d to %d, then %+v",
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

// checkConfirmedRivals checks that no rival of a content in force was confirmed, unless a later version may already have replaced it.
func (rc *recorder) checkConfirmedRivals(inForce content, changeOf map[int16]*change) {
	for _, rival := range rc.contents[1:] {
		ch := changeOf[rival.id]
		if rival.conflict != inForce.conflict || rival.id == inForce.id || ch.status != 200 || rc.superseded(ch, rival) {
			continue
		}
		kind := lo.Ternary(changeOf[inForce.id].status == 200, "two confirmed under one version", "confirmed, but another in force")
		rc.violation(kind, "r%d %d: change %d, and change %d that is in force", rival.route, rival.version, ch.id, changeOf[inForce.id].id)
	}
}

// checkReads checks each read against earlier reads and earlier confirmed changes, and for partly visible changes.
func (rc *recorder) checkReads() {
	slices.SortFunc(rc.reads, func(a, b read) int { return int(a.calledAt - b.calledAt) })
	for i, rd := range rc.reads {
		rc.checkMonotonic(rd, rc.reads[:i])
		rc.checkConfirmedRead(rd)
		rc.checkAtomic(rd)
	}
}

// checkMonotonic checks that a read returns no older version than reads that ended before it began.
func (rc *recorder) checkMonotonic(rd read, earlierReads []read) {
	for _, earlier := range earlierReads {
		for route, v := range earlier.versions {
			if earlier.returnedAt < rd.calledAt && rd.contents[route] > 0 && rd.versions[route] < v {
				rc.violation("a read older than an earlier read", "process %d: r%d is at %d, was at %d at process %d", rd.control, route, rd.versions[route], v, earlier.control)
			}
		}
	}
}

// checkConfirmedRead checks that a read returns no older version than changes that were confirmed before it began.
func (rc *recorder) checkConfirmedRead(rd read) {
	for _, ch := range rc.changes {
		if ch.status != 200 || ch.answeredAt >= rd.calledAt {
			continue
		}
		for _, c := range ch.items {
			// a route that is missing from the read may have been dropped
			if rd.versions[c.route] < c.version && (rd.contents[c.route] != 0 || !rc.dropped(c.route, c.version, rd.returnedAt)) {
				rc.violation("a read older than a confirmed change", "process %d: r%d is at %d, change %d of version %d was confirmed %v before",
					rd.control, c.route, rd.versions[c.route], ch.id, c.version, time.Duration(rd.calledAt-ch.answeredAt))
			}
		}
	}
}

// checkAtomic checks that a read returns changes of several routes either completely or not at all.
func (rc *recorder) checkAtomic(rd read) {
	for _, ch := range rc.changes {
		visible, missing := false, false
		for _, c := range ch.items {
			version, id := rd.versions[c.route], rd.contents[c.route]
			visible = visible || c.prefix != "" && id == c.id
			missing = missing || version < c.version && id != 0 || version == c.version && id != c.id
		}
		if visible && missing {
			rc.violation("change partly visible in a read", "change %d at process %d", ch.id, rd.control)
		}
	}
}

// checkRollouts checks that no rollout was begun while an earlier one must still have been running.
func (rc *recorder) checkRollouts() {
	firstSent := map[string]int64{} // by target version
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
				rc.violation("two rollouts at once", "%s and %s", x.target, y.target)
			}
		}
	}
}

// superseded reports whether a later version may already have replaced a change's content when the change was confirmed.
func (rc *recorder) superseded(ch *change, c content) bool {
	return slices.ContainsFunc(rc.changes, func(x *change) bool {
		return x.firstSent > 0 && x.firstSent < ch.answeredAt && x.status != 409 && slices.ContainsFunc(x.items, func(i content) bool { return i.route == c.route && i.version > c.version })
	})
}

// dropped reports whether a change of the given or a higher version may have dropped a route before a time.
func (rc *recorder) dropped(route int, version uint64, by int64) bool {
	return slices.ContainsFunc(rc.changes, func(x *change) bool {
		return x.firstSent > 0 && x.firstSent < by && slices.ContainsFunc(x.items, func(i content) bool {
			return i.route == route && i.version >= version && i.prefix == ""
		})
	})
}

// The checks of 409 responses and histories find the violations in a handwritten history of two conflicting changes, to which each case
// adds calls or responses.
func TestHistoryChecks(t *testing.T) {
	c := qt.New(t)
	newRecorder := func() *recorder {
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
		"a correct 409": {func(w *recorder) {
			w.checkConflict(w.changes[1], []byte(`{"error":"conflict","reason":"r0: /a/ stands"}`))
		}, nil},
		"another error kind":       {func(w *recorder) { w.checkConflict(w.changes[1], []byte(`{"error":"outdated"}`)) }, []string{"409 with another error kind"}},
		"without the content":      {func(w *recorder) { w.checkConflict(w.changes[1], []byte(`{"error":"conflict","reason":"r0"}`)) }, []string{"409 without the content in force"}},
		"confirmed, then rejected": {func(w *recorder) { w.changes[0].repeats = []response{{3, 4, 409}} }, []string{"confirmed, then rejected"}},
		"at a proxy":               {func(w *recorder) { w.active[2] = "there" }, []string{"confirmed, but another in force", "rejected but in force"}},
		"both at proxies":          {func(w *recorder) { w.active[1], w.active[2] = "there", "here" }, []string{"confirmed, but another in force", "rejected but in force", "two contents of one version"}},
		"partly visible": {func(w *recorder) {
			w.reads = []read{{calledAt: 3, returnedAt: 4, contents: [routeCount]int16{1, 3}, versions: [routeCount]uint64{2, 2}}}
		},
			[]string{"change partly visible in a read", "not linearizable: configuration", "rejected but in force"}},
		"behind":         {func(w *recorder) { w.reads = []read{{calledAt: 3, returnedAt: 4}} }, []string{"a read older than a confirmed change", "not linearizable: configuration"}},
		"both confirmed": {func(w *recorder) { w.changes[1].status, w.active[1] = 200, "there" }, []string{"not linearizable: configuration", "two confirmed under one version"}},
		"409 alone": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(2, 3, "/d/")}, firstSent: 5, answeredAt: 6, status: 409})
		}, []string{"409 without a rival", "not linearizable: configuration"}},
		"read before it was sent": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(2, 3, "/d/")}, firstSent: 8, answeredAt: 9, status: 200})
			w.reads = []read{{calledAt: 5, returnedAt: 6, contents: [routeCount]int16{1, 0, 4}, versions: [routeCount]uint64{2, 0, 3}}}
		}, []string{"not linearizable: configuration"}},
		"no response, read once, then not": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(2, 3, "/d/")}, firstSent: 3})
			w.reads = []read{{calledAt: 5, returnedAt: 6, contents: [routeCount]int16{1, 0, 4}, versions: [routeCount]uint64{2, 0, 3}},
				{calledAt: 7, returnedAt: 8, contents: [routeCount]int16{1}, versions: [routeCount]uint64{2}}}
		}, []string{"not linearizable: configuration"}},
		"no response, and read instead of a later confirmed one": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(0, 4, "/d/")}, firstSent: 3},
				&change{id: 3, items: []content{w.internContent(0, 6, "/e/")}, firstSent: 3, answeredAt: 4, status: 200})
			w.reads = []read{{calledAt: 5, returnedAt: 6, contents: [routeCount]int16{4}, versions: [routeCount]uint64{4}}}
		}, []string{"a read older than a confirmed change", "not linearizable: configuration"}},
		"no response, and never read": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(0, 4, "/d/")}, firstSent: 3})
			w.reads = []read{{calledAt: 5, returnedAt: 6, contents: [routeCount]int16{1}, versions: [routeCount]uint64{2}}}
		}, nil},
		"no response, and a rival is rejected because of it": {func(w *recorder) {
			one, two := w.internContent(0, 4, "/d/"), w.internContent(0, 4, "/e/")
			one.conflict, two.conflict, w.conflicts = 1, 1, 2
			w.contents[one.id], w.contents[two.id] = one, two
			w.changes = append(w.changes, &change{id: 2, items: []content{one}, firstSent: 3}, &change{id: 3, items: []content{two}, firstSent: 3, answeredAt: 9, status: 409},
				&change{id: 4, items: []content{w.internContent(0, 6, "/f/")}, firstSent: 3, answeredAt: 4, status: 200})
			w.reads = []read{{calledAt: 5, returnedAt: 6, contents: [routeCount]int16{6}, versions: [routeCount]uint64{6}}}
		}, nil},
		"confirmed after a later one is in force": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(0, 4, "/d/")}, firstSent: 3, answeredAt: 20, status: 200},
				&change{id: 3, items: []content{w.internContent(0, 6, "/e/")}, firstSent: 3, answeredAt: 4, status: 200})
			w.reads = []read{{calledAt: 5, returnedAt: 6, contents: [routeCount]int16{5}, versions: [routeCount]uint64{6}}}
		}, nil},
		"rejected, then confirmed once it is partly superseded": {func(w *recorder) {
			w.changes = append(w.changes, &change{id: 2, items: []content{w.internContent(0, 4, "/d/")}, firstSent: 5, answeredAt: 6, status: 200})
			w.changes[1].repeats = []response{{7, 8, 200}}
		}, []string{"not linearizable: configuration"}},
	} {
		w := newRecorder()
		x.do(w)
		w.checkHistory()
		c.Check(kinds(w), qt.DeepEquals, x.want, qt.Commentf(name))
	}
}
