package bridge

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/signals"
	"portflow/rules"
)

func state(size int, intact bool) *State {
	return NewState(signals.Hello{Name: "a", IP: "10.0.0.1", Zone: "z0", Control: true}, size, nil, intact, 1300e6)
}

// How far a control process may be gone by, in cores of several sizes, after a start on an intact disk or on a lost one.
func TestStanding(t *testing.T) {
	for _, x := range []struct {
		size   int
		intact bool
		others []bool // that were taken over from: whether their disks are intact
		lost   int    // of them that are not heard any more
		want   Standing
	}{
		{6, true, nil, 0, Adrift},
		{6, true, []bool{true, true}, 0, Adrift},
		{6, true, []bool{true, true, true}, 0, InTouch},
		{6, true, []bool{true, true, false, false}, 0, Adrift}, // those know nothing themselves
		{6, true, []bool{true, true, true}, 1, Alone},
		{6, true, []bool{true, true, true, true, true}, 2, InTouch},
		{6, false, []bool{true, true}, 0, Adrift},
		{6, false, []bool{true, true, true}, 0, InTouch},
		{9, true, []bool{true, true, true}, 0, Adrift},
		{9, true, []bool{true, true, true, true}, 0, InTouch},
		{9, false, []bool{true, true, true, true}, 0, Adrift},
		{9, false, []bool{true, true, true, true, true}, 0, InTouch},
		{1, true, nil, 0, InTouch},
		{3, false, []bool{false}, 0, Adrift},
		{3, false, []bool{false, false}, 0, Alone}, // all disks were lost: whole, and in touch once the others are
	} {
		s := state(x.size, x.intact)
		for i, intact := range x.others {
			ip := fmt.Sprint("10.0.1.", i)
			s.Heard(ip, signals.Status{Intact: intact, Sum: s.Set.Sum()})
		}
		for i := range x.lost {
			s.Lost(0, fmt.Sprint("10.0.1.", i), fmt.Sprint("b", i))
		}
		qt.Check(t, s.Standing(), qt.Equals, x.want, qt.Commentf("%+v", x))
	}
}

// A peer whose items differ counts once all that differed has been taken over, not before.
func TestTakesOverBeforeItCounts(t *testing.T) {
	c := qt.New(t)
	s := state(3, true)
	item := manifest.Item{Kind: manifest.Evacuations, Name: "z1", Version: 3, Body: []byte(`{"begun":true}`)}
	there := manifest.NewSet()
	there.Merge(item)
	c.Check(s.Heard("10.0.1.1", signals.Status{Intact: true, Sum: there.Sum()}), qt.IsTrue)
	c.Check(s.Standing(), qt.Equals, Adrift)
	s.Merge(there.Differing(s.Set.Sums()))
	s.Synced("10.0.1.1")
	c.Check(s.Standing(), qt.Equals, InTouch)
	got, _ := s.Set.Get(item.Key())
	c.Check(got.Same(item), qt.IsTrue)
}

// An order under way makes sums differ for a moment: nobody is asked for that, but whoever goes on differing is, and a
// process that isn't whole asks at once.
func TestAsksOnlyWhoGoesOnDiffering(t *testing.T) {
	c := qt.New(t)
	s := state(3, true)
	s.Heard("10.0.1.1", signals.Status{Intact: true, Sum: 7})
	c.Check(s.Differs(1, "10.0.1.1"), qt.IsTrue) // adrift
	s.Synced("10.0.1.1")
	c.Assert(s.Whole, qt.IsTrue)
	for _, x := range []struct {
		now  int64
		sum  uint64
		want bool
	}{
		{1e9, 0, false}, {2e9, 7, false}, {2e9 + settling - 1, 7, false}, {2e9 + settling, 7, true}, {3e9, 0, false}, {4e9, 7, false},
	} {
		s.Heard("10.0.1.1", signals.Status{Intact: true, Sum: x.sum})
		c.Check(s.Differs(x.now, "10.0.1.1"), qt.Equals, x.want, qt.Commentf("%+v", x))
	}
	c.Check(s.Differs(9e9, "10.0.1.9"), qt.IsFalse) // isn't heard
}

// Who a router hangs on holds against whatever was known of it: from another process, from before a step of its clock, or
// from one that took it for gone.
func TestClaims(t *testing.T) {
	c := qt.New(t)
	s := state(6, true)
	here := signals.Front{Name: "r", Zone: "z0", Owner: "a", Ready: true}
	f := s.Claim(100, here)
	c.Check(f.Since, qt.Equals, int64(100))
	f = s.Claim(101, f)
	c.Check([2]int64{f.Since, int64(f.Change)}, qt.Equals, [2]int64{100, 1})
	s.TellFront(signals.Front{Name: "r", Zone: "z0", Owner: "b", Ready: true, Since: 900}, false) // by a clock that was ahead
	f = s.Claim(110, f)
	c.Check(s.Fronts["r"].Owner, qt.Equals, "a")
	gone := s.Fronts["r"]
	gone.Gone = true
	c.Check(s.TellFront(gone, false), qt.IsTrue)
	c.Check(s.Roster(), qt.HasLen, 0)
	s.Claim(111, f)
	c.Check(s.Roster(), qt.HasLen, 1)

	// one that hung on a process which is lost is gone after a while, unless it hangs elsewhere by then
	for name, owner := range map[string]string{"x": "b", "y": "b"} {
		s.TellFront(signals.Front{Name: name, Owner: owner, Ready: true, Since: 1}, false)
	}
	s.Heard("10.0.1.1", signals.Status{Intact: true})
	s.Lost(1000, "10.0.1.1", "b")
	s.Claim(2000, signals.Front{Name: "y", Owner: "a", Ready: true})
	s.Tick(1000 + adriftFor)
	c.Check(s.Roster(), qt.HasLen, 3)
	s.Tick(1001 + adriftFor)
	c.Check(s.Roster(), qt.HasLen, 2)
	c.Check(s.Fronts["x"].Gone, qt.IsTrue)
}

// A vote stands until the router's next one, also one that takes it back; figures alone change no vote, and stay here.
func TestPolls(t *testing.T) {
	c := qt.New(t)
	s := state(6, true)
	k := PollKey{"r", "desk"}
	for i, x := range []struct {
		verdict rules.Verdict
		figures bool
		shown   bool
		want    rules.Verdict
		news    uint64
	}{
		{rules.NoVote, true, true, rules.NoVote, 0}, {rules.Back, true, false, rules.Back, 1}, {rules.NoVote, true, true, rules.Back, 1},
		{rules.NoVote, false, false, rules.NoVote, 2}, {rules.On, true, false, rules.On, 3},
	} {
		p := signals.Poll{Front: "r", Service: "desk", Order: 1, Verdict: uint8(x.verdict), At: int64(i + 1), Shown: x.shown}
		if x.figures {
			p.Figures = &signals.Figures{Left: float64(i)}
		}
		s.TellPoll(p, true)
		c.Check(rules.Verdict(s.Polls[k].Verdict), qt.Equals, x.want, qt.Commentf("poll %d", i))
		c.Check(s.Ledger.Last(), qt.Equals, x.news, qt.Commentf("poll %d", i))
		c.Check(s.Polls[k].Figures, qt.IsNil)
	}
	c.Check(s.Views[k].Figures.Left, qt.Equals, 4.0)
}

// Control processes tell each other only what they hear themselves, so that no news goes round.
func TestNewsGoesOnce(t *testing.T) {
	c := qt.New(t)
	s := state(6, true)
	h, changed := s.Register.Beat(1, berths.Host{ID: "i", Service: "desk", Sequence: 1})
	c.Assert(changed, qt.IsTrue)
	s.TellHost(h, true)
	s.Take(1, signals.Note{Host: &berths.Host{ID: "j", Service: "desk", Sequence: 1, Owner: "b"}})
	notes, ok := s.Ledger.After(0)
	c.Assert(ok, qt.IsTrue)
	c.Check(Fit(notes, true), qt.HasLen, 1)
	c.Check(Fit(notes, false), qt.HasLen, 2)
	c.Check(s.Snapshot(true), qt.HasLen, 1)
	c.Check(s.Snapshot(false), qt.HasLen, 2)
}

func TestAddresses(t *testing.T) {
	c := qt.New(t)
	s := state(6, true)
	regions := map[string]string{"z0": "r0", "z1": "r0", "z2": "r1"}
	for name, zone := range map[string]string{"a1": "z0", "b1": "z1", "b2": "z1", "c1": "z2"} {
		s.TellFront(signals.Front{Name: name, Zone: zone, Address: name, Ready: true, Since: 1}, false)
	}
	for _, x := range []struct{ zone, region, want string }{
		{"z0", "r0", "[a1]"}, {"z1", "r0", "[b1 b2]"}, {"z9", "r0", "[a1 b1 b2]"}, {"z9", "r9", "[a1 b1 b2 c1]"}, {"", "", "[a1 b1 b2 c1]"},
	} {
		c.Check(fmt.Sprint(s.Addresses(x.zone, x.region, regions)), qt.Equals, x.want)
	}
}
