package rollout

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/update"
)

// A rollout's age by one process, whatever the time of day is: as it is seen to begin, as others tell it, and by the time of
// day only where nobody has run since. It is never more than the truth, which is 10 s at 100 s.
func TestStartTimes(t *testing.T) {
	start := int64(1e18)
	r := Rollout{Service: "desk", Number: 2, StartedAt: start, Duration: 15 * s, State: Running, ClocksAgreed: true}
	skewed := r
	skewed.ClocksAgreed = false
	for _, test := range []struct {
		name    string
		prepare func(a StartTimes)
		want    int64 // age at 100 s
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
		{"restarted, by the time of day", func(a StartTimes) { a.Observe(96*s, r, false); a.AdjustToWallClock(100*s, start+10*s, r) }, 10 * s},
		{"restarted, of a day that wasn't agreed on at the beginning", func(a StartTimes) { a.Observe(96*s, skewed, false); a.AdjustToWallClock(100*s, start+3600*s, skewed) }, 4 * s},
		{"restarted, by a day before the beginning", func(a StartTimes) { a.Observe(96*s, r, false); a.AdjustToWallClock(100*s, start-3600*s, r) }, 4 * s},
		{"restarted, told by another, and a wrong day", func(a StartTimes) {
			a.Observe(96*s, r, false)
			a.Merge(update.RolloutStart{Service: "desk", Number: 2, StartedAt: 90 * s})
			a.AdjustToWallClock(100*s, start+3600*s, r)
		}, 10 * s},
		{"seen, and a wrong day", func(a StartTimes) { a.Observe(90*s, r, true); a.AdjustToWallClock(100*s, start+3600*s, r) }, 10 * s},
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
		test.prepare(a)
		localized := a.Localize(100*s, r)
		qt.Check(t, 100*s-localized.StartedAt, qt.Equals, test.want, qt.Commentf(test.name))
		localized.StartedAt = r.StartedAt
		qt.Check(t, localized, qt.Equals, r)
		qt.Check(t, len(a) <= 1, qt.IsTrue)
	}
}

// What was seen from its beginning is told for a while; what was found on a disk is not, until another has told it.
func TestAnnouncements(t *testing.T) {
	c := qt.New(t)
	starts := StartTimes{}
	starts.Observe(10*s, Rollout{Service: "a", Number: 1, State: Running}, true)
	starts.Observe(20*s, Rollout{Service: "c", Number: 3, State: Running}, true)
	starts.Observe(20*s, Rollout{Service: "b", Number: 2, State: Running}, false)
	c.Check(starts.Announcements(30*s, 15*s), qt.DeepEquals, []update.RolloutStart{{Service: "c", Number: 3, StartedAt: 20 * s}})
	c.Check(starts.Announcements(30*s, 60*s), qt.DeepEquals, []update.RolloutStart{{Service: "a", Number: 1, StartedAt: 10 * s}, {Service: "c", Number: 3, StartedAt: 20 * s}})
	starts.Merge(update.RolloutStart{Service: "b", Number: 2, StartedAt: 19 * s})
	c.Check(starts.Announcements(30*s, 15*s), qt.DeepEquals, []update.RolloutStart{{Service: "b", Number: 2, StartedAt: 19 * s}, {Service: "c", Number: 3, StartedAt: 20 * s}})
}

// Routers have their time to leave the old hosts from when a process sees a rollout switching, a restarted one from its start.
func TestSwitchingSince(t *testing.T) {
	c := qt.New(t)
	starts := StartTimes{}
	r := Rollout{Service: "desk", Number: 1, State: Running}
	starts.Observe(10*s, r, true)
	c.Check(starts.SwitchingSince(20*s, r), qt.Equals, 20*s)
	r.State, r.Switching = Completed, true
	starts.Observe(21*s, r, true)
	starts.Observe(29*s, r, true)
	c.Check(starts.SwitchingSince(30*s, r), qt.Equals, 21*s)
	r.Number = 2
	c.Check(starts.SwitchingSince(30*s, r), qt.Equals, 30*s)
	for _, test := range []struct {
		elapsed int64
		rank    int
		want    bool
	}{{s * 7 / 10, 0, false}, {s * 8 / 10, 0, true}, {s * 8 / 10, 1, false}, {s * 12 / 10, 1, true}} {
		c.Check(SwitchComplete(5*s+test.elapsed, 5*s, test.rank), qt.Equals, test.want)
	}
}

// The time of day is what more than half of the members agree on. Fewer than that are believed nothing.
func TestWallClock(t *testing.T) {
	hour := int64(3600e9)
	for _, test := range []struct {
		name    string
		offsets []int64
		members int
		want    int64
		agreed  bool
	}{
		{"one alone", []int64{0}, 1, 0, true},
		{"all agree", []int64{0, s / 10, -s / 10}, 3, 0, true},
		{"one is ahead", []int64{0, hour, -s / 10}, 3, -s / 10, true},
		{"this one is wrong", []int64{0, hour, hour + s/10}, 3, hour, true},
		{"two of three, one is wrong", []int64{0, -hour}, 3, -hour, false},
		{"two of three agree", []int64{0, s / 10}, 3, 0, true},
		{"three of six agree", []int64{0, 0, 0, hour, -hour}, 6, 0, false},
		{"four of six agree", []int64{0, 0, 0, 0, hour, -hour}, 6, 0, true},
		{"all differ", []int64{0, s, 2 * s}, 3, s, false},
		{"nobody", nil, 3, 0, false},
		{"no member", []int64{0}, 0, 0, true},
	} {
		wallClock, agreed := WallClock(77*hour, test.offsets, test.members)
		qt.Check(t, wallClock-77*hour, qt.Equals, test.want, qt.Commentf(test.name))
		qt.Check(t, agreed, qt.Equals, test.agreed, qt.Commentf(test.name))
	}
}
