package pilotage

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/signals"
)

// A rollout's age by one process, whatever the time of day is: as it is seen to begin, as others tell it, and by the time of
// day only where nobody has run since. It is never more than the truth, which is 10 s at 100 s.
func TestAges(t *testing.T) {
	day := int64(1e18)
	r := Rollout{Service: "desk", Order: 2, Began: day, Term: 15 * s, State: Running, Dated: true}
	undated := r
	undated.Dated = false
	for _, x := range []struct {
		name string
		do   func(a Ages)
		want int64 // age at 100 s
	}{
		{"not known", func(a Ages) {}, 0},
		{"seen from its beginning", func(a Ages) { a.Take(90*s, r, true) }, 10 * s},
		{"seen once more", func(a Ages) { a.Take(90*s, r, true); a.Take(95*s, r, true) }, 10 * s},
		{"seen late, as changes were taken over", func(a Ages) { a.Take(97*s, r, true) }, 3 * s},
		{"and told by another", func(a Ages) { a.Take(97*s, r, true); a.Hear(signals.Since{Service: "desk", Order: 2, Began: 90 * s}) }, 10 * s},
		{"a later beginning is told", func(a Ages) { a.Take(90*s, r, true); a.Hear(signals.Since{Service: "desk", Order: 2, Began: 95 * s}) }, 10 * s},
		{"one of another order is told", func(a Ages) { a.Take(90*s, r, true); a.Hear(signals.Since{Service: "desk", Order: 1, Began: 5 * s}) }, 10 * s},
		{"restarted, nothing is told", func(a Ages) { a.Take(96*s, r, false) }, 4 * s},
		{"restarted, by the time of day", func(a Ages) { a.Take(96*s, r, false); a.Date(100*s, day+10*s, r) }, 10 * s},
		{"restarted, of a day that wasn't agreed on at the beginning", func(a Ages) { a.Take(96*s, undated, false); a.Date(100*s, day+3600*s, undated) }, 4 * s},
		{"restarted, by a day before the beginning", func(a Ages) { a.Take(96*s, r, false); a.Date(100*s, day-3600*s, r) }, 4 * s},
		{"restarted, told by another, and a wrong day", func(a Ages) {
			a.Take(96*s, r, false)
			a.Hear(signals.Since{Service: "desk", Order: 2, Began: 90 * s})
			a.Date(100*s, day+3600*s, r)
		}, 10 * s},
		{"seen, and a wrong day", func(a Ages) { a.Take(90*s, r, true); a.Date(100*s, day+3600*s, r) }, 10 * s},
		{"the next order", func(a Ages) {
			a.Take(20*s, Rollout{Service: "desk", Order: 1, State: Completed}, true)
			a.Take(90*s, r, true)
		}, 10 * s},
		{"one from before a restore", func(a Ages) {
			a.Take(20*s, Rollout{Service: "desk", Order: 9, State: Completed}, true)
			a.Take(90*s, r, true)
		}, 10 * s},
	} {
		a := Ages{}
		x.do(a)
		here := a.Here(100*s, r)
		qt.Check(t, 100*s-here.Began, qt.Equals, x.want, qt.Commentf(x.name))
		here.Began = r.Began
		qt.Check(t, here, qt.Equals, r)
		qt.Check(t, len(a) <= 1, qt.IsTrue)
	}
}

// What was seen from its beginning is told for a while; what was found on a disk is not, until another has told it.
func TestAgesTold(t *testing.T) {
	c := qt.New(t)
	a := Ages{}
	a.Take(10*s, Rollout{Service: "a", Order: 1, State: Running}, true)
	a.Take(20*s, Rollout{Service: "c", Order: 3, State: Running}, true)
	a.Take(20*s, Rollout{Service: "b", Order: 2, State: Running}, false)
	c.Check(a.Told(30*s, 15*s), qt.DeepEquals, []signals.Since{{Service: "c", Order: 3, Began: 20 * s}})
	c.Check(a.Told(30*s, 60*s), qt.DeepEquals, []signals.Since{{Service: "a", Order: 1, Began: 10 * s}, {Service: "c", Order: 3, Began: 20 * s}})
	a.Hear(signals.Since{Service: "b", Order: 2, Began: 19 * s})
	c.Check(a.Told(30*s, 15*s), qt.DeepEquals, []signals.Since{{Service: "b", Order: 2, Began: 19 * s}, {Service: "c", Order: 3, Began: 20 * s}})
}

// Routers have their time to leave the old hosts from when a process sees a rollout switching, a restarted one from its start.
func TestSwitched(t *testing.T) {
	c := qt.New(t)
	a := Ages{}
	r := Rollout{Service: "desk", Order: 1, State: Running}
	a.Take(10*s, r, true)
	c.Check(a.Switched(20*s, r), qt.Equals, 20*s)
	r.State, r.Switching = Completed, true
	a.Take(21*s, r, true)
	a.Take(29*s, r, true)
	c.Check(a.Switched(30*s, r), qt.Equals, 21*s)
	r.Order = 2
	c.Check(a.Switched(30*s, r), qt.Equals, 30*s)
	for _, x := range []struct {
		after  int64
		before int
		want   bool
	}{{s * 7 / 10, 0, false}, {s * 8 / 10, 0, true}, {s * 8 / 10, 1, false}, {s * 12 / 10, 1, true}} {
		c.Check(Vacated(5*s+x.after, 5*s, x.before), qt.Equals, x.want)
	}
}

// The time of day is what more than half of the members agree on. Fewer than that are believed nothing.
func TestDay(t *testing.T) {
	h := int64(3600e9)
	for _, x := range []struct {
		name    string
		apart   []int64
		members int
		want    int64
		agreed  bool
	}{
		{"one alone", []int64{0}, 1, 0, true},
		{"all agree", []int64{0, s / 10, -s / 10}, 3, 0, true},
		{"one is ahead", []int64{0, h, -s / 10}, 3, -s / 10, true},
		{"this one is wrong", []int64{0, h, h + s/10}, 3, h, true},
		{"two of three, one is wrong", []int64{0, -h}, 3, -h, false},
		{"two of three agree", []int64{0, s / 10}, 3, 0, true},
		{"three of six agree", []int64{0, 0, 0, h, -h}, 6, 0, false},
		{"four of six agree", []int64{0, 0, 0, 0, h, -h}, 6, 0, true},
		{"all differ", []int64{0, s, 2 * s}, 3, s, false},
		{"nobody", nil, 3, 0, false},
		{"no member", []int64{0}, 0, 0, true},
	} {
		day, agreed := Day(77*h, x.apart, x.members)
		qt.Check(t, day-77*h, qt.Equals, x.want, qt.Commentf(x.name))
		qt.Check(t, agreed, qt.Equals, x.agreed, qt.Commentf(x.name))
	}
}
