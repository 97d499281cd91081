package bridge

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/quorum"
	"portflow/internal/harbour/signals"
	"portflow/rules"
)

// member is the control process n of a core, with a disk that holds number 1 of a core of that size.
func member(n, size int, intact bool) *quorum.Node {
	var list muster.List
	at := func(n int) muster.Member {
		return muster.Member{IP: fmt.Sprint("10.0.1.", n), ID: fmt.Sprint("d", n), Name: fmt.Sprint("b", n), Zone: fmt.Sprint("z", n)}
	}
	var all []muster.Member
	for n := range size {
		all = append(all, at(n))
	}
	list = list.Join(all, nil)
	set, disk := manifest.NewSet(), quorum.Disk{ID: "new"}
	if intact {
		set.Merge(list.Item())
		disk = quorum.Disk{ID: fmt.Sprint("d", n), Applied: 1}
	}
	return quorum.New(at(n), "life", 1, disk, set, 0)
}

func state(size int, intact bool) *State {
	return NewState(signals.Hello{Name: "b0", IP: "10.0.1.0", Zone: "z0", Control: true}, member(0, size, intact), 1300e6)
}

// How far a control process may be gone by, in cores of several sizes, after a start on an intact disk or on a lost one:
// whole once more than half of the members have told how far they are and it has come as far; those whose disks are others
// than the list has don't count, nor does who has only just come.
func TestStanding(t *testing.T) {
	for _, x := range []struct {
		size   int
		intact bool
		others []bool // that are heard and answer: whether their disks are those of the list
		lost   int    // of them that are not heard any more
		want   Standing
	}{
		{6, true, nil, 0, Adrift},
		{6, true, []bool{true, true}, 0, Adrift},
		{6, true, []bool{true, true, true}, 0, InTouch},
		{6, true, []bool{true, true, false, false}, 0, Adrift}, // those are no members
		{6, true, []bool{true, true, true}, 1, Alone},
		{6, true, []bool{true, true, true, true, true}, 2, InTouch},
		{6, false, []bool{true, true}, 0, Adrift},
		{6, false, []bool{true, true, true}, 0, Adrift}, // its own disk counts for nothing: four others are needed
		{6, false, []bool{true, true, true, true}, 0, InTouch},
		{9, true, []bool{true, true, true}, 0, Adrift},
		{9, true, []bool{true, true, true, true}, 0, InTouch},
		{9, false, []bool{true, true, true, true}, 0, Adrift},
		{9, false, []bool{true, true, true, true, true}, 0, InTouch},
		{1, true, nil, 0, InTouch},
		{3, false, []bool{false}, 0, Adrift},
		{3, false, []bool{false, false}, 0, Adrift}, // all disks were lost: an operator must say what is to be
	} {
		s := state(x.size, x.intact)
		nodes := map[string]*quorum.Node{"10.0.1.0": s.Node}
		for i, intact := range x.others {
			nodes[fmt.Sprint("10.0.1.", i+1)] = member(i+1, x.size, intact)
		}
		var mail []quorum.Event
		to := []string{}
		post := func(from string, out quorum.Effects) {
			for _, box := range []map[string][]quorum.Message{out.Send, out.Synced} {
				for ip, all := range box {
					for _, m := range all {
						mail, to = append(mail, quorum.Event{Now: 1, From: from, Message: &m}), append(to, ip)
					}
				}
			}
		}
		for _, ip := range slices.Sorted(maps.Keys(nodes)) {
			if n := nodes[ip]; n != s.Node {
				id := n.Disk().ID
				post("10.0.1.0", s.Node.Step(quorum.Event{Now: 1, From: ip, Peer: &quorum.Peer{Member: muster.Member{IP: ip, ID: id}, Applied: n.Applied()}}))
			}
		}
		post("10.0.1.0", s.Node.Step(quorum.Event{Now: 1, Tick: true}))
		for len(mail) > 0 {
			e, ip := mail[0], to[0]
			if mail, to = mail[1:], to[1:]; nodes[ip] != nil {
				post(ip, nodes[ip].Step(e))
			}
		}
		for i := range x.lost {
			s.Node.Step(quorum.Event{Now: 1, From: fmt.Sprint("10.0.1.", i+1), Lost: true})
		}
		qt.Check(t, s.Standing(), qt.Equals, x.want, qt.Commentf("%+v", x))
	}
}

// Who a router hangs on holds against whatever was known of it: from another process, from before a step of its clock, or
// from one that took it for gone.
func TestClaims(t *testing.T) {
	c := qt.New(t)
	s := state(6, true)
	s.Self.Name = "a"
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
	s.Heard("10.0.1.1", signals.Status{Member: true})
	s.Lost(1000, "10.0.1.1", "b")
	s.Claim(2000, signals.Front{Name: "y", Owner: "a", Ready: true})
	s.Tick(1000 + adriftFor)
	c.Check(s.Roster(), qt.HasLen, 3)
	s.Tick(1001 + adriftFor)
	c.Check(s.Roster(), qt.HasLen, 2)
	c.Check(s.Fronts["x"].Gone, qt.IsTrue)
}

// A control process that starts again names who hangs on it; the others take its former routers that it doesn't name for gone, unless they
// are heard of anew meanwhile, there or elsewhere.
func TestListed(t *testing.T) {
	for _, x := range []struct {
		name  string
		named []signals.Note
		then  func(s *State)
		want  bool // gone
	}{
		{"not named", nil, nil, true},
		{"named", []signals.Note{{Front: &signals.Front{Name: "x", Owner: "b", Ready: true, Since: 10}}}, nil, false},
		{"hangs there again", nil, func(s *State) {
			s.Take(1000, signals.Note{Front: &signals.Front{Name: "x", Owner: "b", Ready: true, Since: 1000}})
		}, false},
		{"hangs elsewhere", nil, func(s *State) {
			s.Take(1000, signals.Note{Front: &signals.Front{Name: "x", Owner: "c", Ready: true, Since: 1000}})
		}, false},
		{"hangs here", nil, func(s *State) { s.Claim(1000, signals.Front{Name: "x", Owner: s.Self.Name, Ready: true}) }, false},
		{"its process is lost again", nil, func(s *State) { s.Lost(1000, "10.0.1.1", "b") }, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := state(6, true)
			for _, f := range []signals.Front{{Name: "x", Owner: "b", Ready: true, Since: 10}, {Name: "y", Owner: "b", Ready: true, Since: 10}, {Name: "z", Owner: "c", Ready: true, Since: 10}} {
				s.Take(900, signals.Note{Front: &f})
			}
			s.Heard("10.0.1.1", signals.Status{Member: true})
			s.Lost(950, "10.0.1.1", "b")
			s.Found("b")
			notes := append(x.named, signals.Note{Front: &signals.Front{Name: "y", Owner: "b", Ready: true, Since: 10}})
			s.Listed(1000, "b", notes)
			if x.then != nil {
				x.then(s)
			}
			c.Check(s.Tick(1000+adriftFor), qt.IsFalse)
			c.Check(s.Roster(), qt.HasLen, 3)
			s.Tick(1001 + adriftFor)
			c.Check(s.Fronts["x"].Gone, qt.Equals, x.want)
			c.Check(s.Fronts["z"].Gone, qt.IsFalse)
			c.Check(s.strays, qt.HasLen, 0)
		})
	}
}

// A control process restarts with its router by a clock that is an hour behind that of its former life: its claim is older than
// what the others know. It hears of that from them, and claims the router anew; then all have it as it is, in a bounded number
// of notes.
func TestClaimAfterRestart(t *testing.T) {
	for _, owner := range []string{"a", "b"} { // whose the former claim was: its own, or another's that is lost
		c := qt.New(t)
		all := map[string]*State{}
		seen := map[string]uint64{}
		for _, name := range []string{"a", "c", "d"} {
			all[name] = state(3, true)
			all[name].Self.Name = name
			if name != "a" {
				all[name].TellFront(signals.Front{Name: "r", Owner: owner, Ready: true, Since: 4600, Gone: true, Change: 7}, false)
				seen[name] = all[name].Ledger.Last()
			}
		}
		here := all["a"].Claim(1000, signals.Front{Name: "r", Owner: "a", Ready: true})
		notes := 0
		for range 5 {
			for _, from := range []string{"a", "c", "d"} {
				news, ok := all[from].Ledger.After(seen[from])
				c.Assert(ok, qt.IsTrue)
				seen[from] = all[from].Ledger.Last()
				for _, n := range Fit(news, true) {
					for to, s := range all {
						if to != from {
							notes++
							s.Take(1001, n)
						}
					}
				}
			}
			if x := all["a"].Fronts["r"]; x.Gone || x.Owner != "a" { // as reclaim finds it
				here = all["a"].Claim(1002, here)
			}
		}
		for name, s := range all {
			x := s.Fronts["r"]
			c.Check(!x.Gone && x.Ready && x.Owner == "a", qt.IsTrue, qt.Commentf("%s of %s: %+v", name, owner, x))
			c.Check(s.Roster(), qt.HasLen, 1)
		}
		c.Check(notes <= 10, qt.IsTrue, qt.Commentf("%d notes", notes))
	}
}

// A router moves, and the word of its new process comes before the word of its former one that it has left. Nobody tells either once
// more: each would tell all others and all its routers, for every router that moves.
func TestMovesAreToldOnce(t *testing.T) {
	c := qt.New(t)
	s := state(6, true)
	old := signals.Front{Name: "r", Owner: "b", Ready: true, Since: 10}
	s.Take(20, signals.Note{Front: &old})
	now := signals.Front{Name: "r", Owner: "c", Ready: true, Since: 20}
	s.Take(30, signals.Note{Front: &now})
	at := s.Ledger.Last()
	left := old
	left.Gone, left.Change = true, 1
	s.Take(31, signals.Note{Front: &left})
	c.Check(s.Ledger.Last(), qt.Equals, at)
	c.Check(s.Fronts["r"], qt.Equals, now)
	old.Change = 2 // a claim that is older, of who may not know better, is
	s.Take(32, signals.Note{Front: &old})
	notes, _ := s.Ledger.After(at)
	c.Assert(notes, qt.HasLen, 1)
	c.Check(*notes[0].Front, qt.Equals, now)
	c.Check(notes[0].First, qt.IsTrue)
}

// Of several notes on one thing the last goes out, in its place; each kind of thing by itself.
func TestFitLeavesTheLast(t *testing.T) {
	c := qt.New(t)
	front := func(name string, change int) signals.Note {
		return signals.Note{Front: &signals.Front{Name: name, Change: change}, First: true}
	}
	host := func(id string, sequence uint64) signals.Note {
		return signals.Note{Host: &berths.Host{ID: id, Sequence: sequence}, First: true}
	}
	item := func(kind, name string, version uint64) signals.Note {
		return signals.Note{Item: &manifest.Item{Kind: kind, Name: name, Version: version}}
	}
	poll := func(front, service string, order uint64) signals.Note {
		return signals.Note{Poll: &signals.Poll{Front: front, Service: service, Order: order}, First: true}
	}
	all := []signals.Note{front("a", 1), item(manifest.Routes, "a", 1), host("a", 1), front("b", 1), poll("a", "x", 1), front("a", 2), item(manifest.Services, "a", 1),
		poll("a", "y", 1), host("b", 1), item(manifest.Routes, "a", 2), host("a", 2), poll("a", "x", 2), front("a", 3)}
	kept := slices.Clone(all)
	c.Check(fmt.Sprint(texts(Fit(all, false))), qt.Equals, fmt.Sprint(texts([]signals.Note{all[3], all[6], all[8], all[9], all[10], all[12]})))
	c.Check(fmt.Sprint(texts(Fit(all, true))), qt.Equals, fmt.Sprint(texts([]signals.Note{all[3], all[7], all[8], all[10], all[11], all[12]})))
	c.Check(all, qt.DeepEquals, kept) // the ledger's own
	c.Check(Fit(nil, true), qt.HasLen, 0)
}

func texts(notes []signals.Note) (all []string) {
	for _, n := range notes {
		raw, _ := json.Marshal(n)
		all = append(all, string(raw))
	}
	return all
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
	c.Check(s.Snapshot(1, true), qt.HasLen, 1)
	c.Check(s.Snapshot(1, false), qt.HasLen, 3) // and the list of members
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

// Thousands of routers come, vote and go in a day, and control processes with them: what is known is bounded by what is there and by
// what went in the last ten minutes, and what lives is never forgotten.
func TestForget(t *testing.T) {
	c := qt.New(t)
	s := state(6, true)
	minute := int64(60e9)
	s.Claim(1, signals.Front{Name: "stays", Owner: s.Self.Name, Ready: true})
	most := 0
	for n := range int64(2000) { // one a minute
		now := (n + 1) * minute
		f := signals.Front{Name: fmt.Sprint("r", n), Owner: "b", Ready: true, Since: now}
		s.Take(now, signals.Note{Front: &f})
		s.TellPoll(signals.Poll{Front: f.Name, Service: "desk", Order: 1, Verdict: uint8(rules.On), At: now, Figures: &signals.Figures{}}, true)
		if n%2 == 0 {
			f.Gone, f.Change = true, 1
			s.Take(now+1, signals.Note{Front: &f})
		} else { // its control process goes with it
			name := fmt.Sprint("b", n)
			f.Owner, f.Since = name, now+1
			s.Take(now+1, signals.Note{Front: &f})
			s.Lost(now+2, "10.0.9.9", name)
			s.Tick(now + 2 + adriftFor + 1)
		}
		s.Forget(now + 10e9)
		most = max(most, len(s.Fronts)+len(s.Polls)+len(s.Views)+len(s.lost)+len(s.ended)+len(s.strays))
	}
	c.Check(most <= 1+5*13, qt.IsTrue, qt.Commentf("%d", most))
	c.Check(s.Roster(), qt.HasLen, 1)
	c.Check(s.Fronts["stays"].Gone, qt.IsFalse)
}
