package rollout

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/update"
)

// A rollout's age by one process, whatever the time of day is: as it is seen to begin, as others tell it, and by the time of
// day only where nobody has run since. It is never more than the truth, which is 10 s at 100 s.
func TestStartTimes(t *testing.T) {
	day := int64(1e18)
	r := Rollout{Service: "desk", Number: 2, StartedAt: day, Duration: 15 * s, State: Running, ClocksAgreed: true}
	undated := r
	undated.ClocksAgreed = false
	for _, x := range []struct {
		name string
		do   func(a StartTimes)
		want int64 // age at 100 s
	}{
		{"not known", func(a StartTimes) {}, 0},
		{"seen from its beginning", func(a StartTimes) { a.Observe(90*s, r, true) }, 10 * s},
		{"seen once more", func(a StartTimes) { a.Observe(90*s, r, true); a.Observe(95*s, r, true) }, 10 * s},
		{"seen late, as changes were taken over", func(a StartTimes) { a.Observe(97*s, r, true) }, 3 * s},
		{"and told by another", func(a StartTimes) {
			a.Observe(97*s, r, true)
			a.Merge(update.RolloutStart{Service: "desk", Number: 2, StartedAt: 90 * s})
		}, 10 * s},
		{"a later beginning is told", func(a StartTimes) {
			a.Observe(90*s, r, true)
			a.Merge(update.RolloutStart{Service: "desk", Number: 2, StartedAt: 95 * s})
		}, 10 * s},
		{"one of another order is told", func(a StartTimes) {
			a.Observe(90*s, r, true)
			a.Merge(update.RolloutStart{Service: "desk", Number: 1, StartedAt: 5 * s})
		}, 10 * s},
		{"restarted, nothing is told", func(a StartTimes) { a.Observe(96*s, r, false) }, 4 * s},
		{"restarted, by the time of day", func(a StartTimes) { a.Observe(96*s, r, false); a.AdjustToWallClock(100*s, day+10*s, r) }, 10 * s},
		{"restarted, of a day that wasn't agreed on at the beginning", func(a StartTimes) { a.Observe(96*s, undated, false); a.AdjustToWallClock(100*s, day+3600*s, undated) }, 4 * s},
		{"restarted, by a day before the beginning", func(a StartTimes) { a.Observe(96*s, r, false); a.AdjustToWallClock(100*s, day-3600*s, r) }, 4 * s},
		{"restarted, told by another, and a wrong day", func(a StartTimes) {
			a.Observe(96*s, r, false)
			a.Merge(update.RolloutStart{Service: "desk", Number: 2, StartedAt: 90 * s})
			a.AdjustToWallClock(100*s, day+3600*s, r)
		}, 10 * s},
		{"seen, and a wrong day", func(a StartTimes) { a.Observe(90*s, r, true); a.AdjustToWallClock(100*s, day+3600*s, r) }, 10 * s},
		{"the next order", func(a StartTimes) {
			a.Observe(20*s, Rollout{Service: "desk", Number: 1, State: Completed}, true)
			a.Observe(90*s, r, true)
		}, 10 * s},
		{"one from before a restore", func(a StartTimes) {
			a.Observe(20*s, Rollout{Service: "desk", Number: 9, State: Completed}, true)
			a.Observe(90*s, r, true)
		}, 10 * s},
	} {
		a := StartTimes{}
		x.do(a)
		here := a.Localize(100*s, r)
		qt.Check(t, 100*s-here.StartedAt, qt.Equals, x.want, qt.Commentf(x.name))
		here.StartedAt = r.StartedAt
		qt.Check(t, here, qt.Equals, r)
		qt.Check(t, len(a) <= 1, qt.IsTrue)
	}
}

// What was seen from its beginning is told for a while; what was found on a disk is not, until another has told it.
func TestAnnouncements(t *testing.T) {
	c := qt.New(t)
	a := StartTimes{}
	a.Observe(10*s, Rollout{Service: "a", Number: 1, State: Running}, true)
	a.Observe(20*s, Rollout{Service: "c", Number: 3, State: Running}, true)
	a.Observe(20*s, Rollout{Service: "b", Number: 2, State: Running}, false)
	c.Check(a.Announcements(30*s, 15*s), qt.DeepEquals, []update.RolloutStart{{Service: "c", Number: 3, StartedAt: 20 * s}})
	c.Check(a.Announcements(30*s, 60*s), qt.DeepEquals, []update.RolloutStart{{Service: "a", Number: 1, StartedAt: 10 * s}, {Service: "c", Number: 3, StartedAt: 20 * s}})
	a.Merge(update.RolloutStart{Service: "b", Number: 2, StartedAt: 19 * s})
	c.Check(a.Announcements(30*s, 15*s), qt.DeepEquals, []update.RolloutStart{{Service: "b", Number: 2, StartedAt: 19 * s}, {Service: "c", Number: 3, StartedAt: 20 * s}})
}

// Routers have their time to leave the old hosts from when a process sees a rollout switching, a restarted one from its start.
func TestSwitchingSince(t *testing.T) {
	c := qt.New(t)
	a := StartTimes{}
	r := Rollout{Service: "desk", Number: 1, State: Running}
	a.Observe(10*s, r, true)
	c.Check(a.SwitchingSince(20*s, r), qt.Equals, 20*s)
	r.State, r.Switching = Completed, true
	a.Observe(21*s, r, true)
	a.Observe(29*s, r, true)
	c.Check(a.SwitchingSince(30*s, r), qt.Equals, 21*s)
	r.Number = 2
	c.Check(a.SwitchingSince(30*s, r), qt.Equals, 30*s)
	for _, x := range []struct {
		after  int64
		before int
		want   bool
	}{{s * 7 / 10, 0, false}, {s * 8 / 10, 0, true}, {s * 8 / 10, 1, false}, {s * 12 / 10, 1, true}} {
		c.Check(SwitchComplete(5*s+x.after, 5*s, x.before), qt.Equals, x.want)
	}
}

// The time of day is what more than half of the members agree on. Fewer than that are believed nothing.
func TestWallClock(t *testing.T) {
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
		day, agreed := WallClock(77*h, x.apart, x.members)
		qt.Check(t, day-77*h, qt.Equals, x.want, qt.Commentf(x.name))
		qt.Check(t, agreed, qt.Equals, x.agreed, qt.Commentf(x.name))
	}
}
