package rollout

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/update"
)

// A rollout that began at 90 s must never be taken to be older than 10 s at 100 s, and the wall clock must count only if no process has
// observed it from its start.
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
		{"unknown rollout", func(a StartTimes) {}, 0},
		{"observed from the start", func(a StartTimes) { a.Observe(90*s, r, true) }, 10 * s},
		{"observed twice", func(a StartTimes) { a.Observe(90*s, r, true); a.Observe(95*s, r, true) }, 10 * s},
		{"observed late, while catching up", func(a StartTimes) { a.Observe(97*s, r, true) }, 3 * s},
		{"observed late, announced by a peer", func(a StartTimes) {
			a.Observe(97*s, r, true)
			a.Merge(update.RolloutStart{Service: "desk", Number: 2, StartedAt: 90 * s})
		}, 10 * s},
		{"a later start is announced", func(a StartTimes) {
			a.Observe(90*s, r, true)
			a.Merge(update.RolloutStart{Service: "desk", Number: 2, StartedAt: 95 * s})
		}, 10 * s},
		{"the start of another rollout is announced", func(a StartTimes) {
			a.Observe(90*s, r, true)
			a.Merge(update.RolloutStart{Service: "desk", Number: 1, StartedAt: 5 * s})
		}, 10 * s},
		{"restarted, nothing announced", func(a StartTimes) { a.Observe(96*s, r, false) }, 4 * s},
		{"restarted, by the wall clock", func(a StartTimes) { a.Observe(96*s, r, false); a.AdjustToWallClock(100*s, start+10*s, r) }, 10 * s},
		{"restarted, clocks disagreed at the start", func(a StartTimes) { a.Observe(96*s, skewed, false); a.AdjustToWallClock(100*s, start+3600*s, skewed) }, 4 * s},
		{"restarted, wall clock before the start", func(a StartTimes) { a.Observe(96*s, r, false); a.AdjustToWallClock(100*s, start-3600*s, r) }, 4 * s},
		{"restarted, announced by a peer, wrong wall clock", func(a StartTimes) {
			a.Observe(96*s, r, false)
			a.Merge(update.RolloutStart{Service: "desk", Number: 2, StartedAt: 90 * s})
			a.AdjustToWallClock(100*s, start+3600*s, r)
		}, 10 * s},
		{"observed from the start, wrong wall clock", func(a StartTimes) { a.Observe(90*s, r, true); a.AdjustToWallClock(100*s, start+3600*s, r) }, 10 * s},
		{"after a previous rollout", func(a StartTimes) {
			a.Observe(20*s, Rollout{Service: "desk", Number: 1, State: Completed}, true)
			a.Observe(90*s, r, true)
		}, 10 * s},
		{"after one with a higher number, before a restore", func(a StartTimes) {
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

// Only recent rollouts are announced, and those read from disk only once a peer has announced their start.
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

// switchingTime must count from when this process first saw the rollout switching, and the rank must delay the proposal.
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

// Clocks agree only if more than half of all members do, not just of the connected ones.
func TestWallClock(t *testing.T) {
	hour := int64(3600e9)
	for _, test := range []struct {
		name    string
		offsets []int64
		members int
		want    int64
		agreed  bool
	}{
		{"single member", []int64{0}, 1, 0, true},
		{"all agree", []int64{0, s / 10, -s / 10}, 3, 0, true},
		{"one is ahead", []int64{0, hour, -s / 10}, 3, -s / 10, true},
		{"this one is wrong", []int64{0, hour, hour + s/10}, 3, hour, true},
		{"two of three connected, one is wrong", []int64{0, -hour}, 3, -hour, false},
		{"two of three connected, both agree", []int64{0, s / 10}, 3, 0, true},
		{"three of six agree", []int64{0, 0, 0, hour, -hour}, 6, 0, false},
		{"four of six agree", []int64{0, 0, 0, 0, hour, -hour}, 6, 0, true},
		{"all differ", []int64{0, s, 2 * s}, 3, s, false},
		{"nobody", nil, 3, 0, false},
		{"no members", []int64{0}, 0, 0, true},
	} {
		wallClock, agreed := WallClock(77*hour, test.offsets, test.members)
		qt.Check(t, wallClock-77*hour, qt.Equals, test.want, qt.Commentf(test.name))
		qt.Check(t, agreed, qt.Equals, test.agreed, qt.Commentf(test.name))
	}
}
