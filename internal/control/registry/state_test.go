package registry

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/update"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
	"portflow/internal/decision"
)

// newNode returns the node of control process n in a cluster of size members. If intact, its disk has index 1 with the member list;
// otherwise the disk is new.
func newNode(n, size int, intact bool) *consensus.Node {
	var list membership.List
	member := func(n int) membership.Member {
		return membership.Member{IP: fmt.Sprint("10.0.1.", n), ID: fmt.Sprint("d", n), Name: fmt.Sprint("b", n), Zone: fmt.Sprint("z", n)}
	}
	var members []membership.Member
	for n := range size {
		members = append(members, member(n))
	}
	list = list.Change(members, nil)
	set, disk := config.NewSet(), consensus.HardState{DiskID: "new"}
	if intact {
		set.Merge(list.Item())
		disk = consensus.HardState{DiskID: fmt.Sprint("d", n), Applied: 1}
	}
	return consensus.New(member(n), "life", 1, disk, set, 0)
}

func newState(size int, intact bool) *State {
	return NewState(update.Hello{Name: "b0", IP: "10.0.1.0", Zone: "z0", Control: true}, newNode(0, size, intact), 1300e6)
}

// A control process has caught up only once a majority of the members has answered its query and it has applied what they had applied.
// Processes whose disk is not the one in the member list, such as new ones, must not count, nor must this process if it lost its disk.
func TestStatus(t *testing.T) {
	for _, x := range []struct {
		size         int
		intact       bool
		peers        []bool // for each connected peer, whether its disk is intact
		disconnected int    // number of peers that disconnect after they answered
		want         Status
	}{
		{6, true, nil, 0, CatchingUp},
		{6, true, []bool{true, true}, 0, CatchingUp},
		{6, true, []bool{true, true, true}, 0, HasQuorum},
		{6, true, []bool{true, true, false, false}, 0, CatchingUp}, // a process with a new disk is not a member
		{6, true, []bool{true, true, true}, 1, WithoutQuorum},
		{6, true, []bool{true, true, true, true, true}, 2, HasQuorum},
		{6, false, []bool{true, true}, 0, CatchingUp},
		{6, false, []bool{true, true, true}, 0, CatchingUp}, // it doesn't count itself: four others are required
		{6, false, []bool{true, true, true, true}, 0, HasQuorum},
		{9, true, []bool{true, true, true}, 0, CatchingUp},
		{9, true, []bool{true, true, true, true}, 0, HasQuorum},
		{9, false, []bool{true, true, true, true}, 0, CatchingUp},
		{9, false, []bool{true, true, true, true, true}, 0, HasQuorum},
		{1, true, nil, 0, HasQuorum},
		{3, false, []bool{false}, 0, CatchingUp},
		{3, false, []bool{false, false}, 0, CatchingUp}, // all disks are lost: an operator has to recover the cluster
	} {
		s := newState(x.size, x.intact)
		nodes := map[string]*consensus.Node{"10.0.1.0": s.Node}
		for i, intact := range x.peers {
			nodes[fmt.Sprint("10.0.1.", i+1)] = newNode(i+1, x.size, intact)
		}
		var queue []consensus.Event
		recipients := []string{}
		send := func(from string, effects consensus.Effects) {
			for _, messages := range []map[string][]consensus.Message{effects.Send, effects.SendAfterSync} {
				for ip, batch := range messages {
					for _, m := range batch {
						queue, recipients = append(queue, consensus.Event{Now: 1, From: from, Message: &m}), append(recipients, ip)
					}
				}
			}
		}
		for _, ip := range slices.Sorted(maps.Keys(nodes)) {
			if n := nodes[ip]; n != s.Node {
				id := n.HardState().DiskID
				send("10.0.1.0", s.Node.Step(consensus.Event{Now: 1, From: ip, Peer: &consensus.Peer{Member: membership.Member{IP: ip, ID: id}, Applied: n.Applied()}}))
			}
		}
		send("10.0.1.0", s.Node.Step(consensus.Event{Now: 1, Tick: true}))
		for len(queue) > 0 {
			event, ip := queue[0], recipients[0]
			if queue, recipients = queue[1:], recipients[1:]; nodes[ip] != nil {
				send(ip, nodes[ip].Step(event))
			}
		}
		for i := range x.disconnected {
			s.Node.Step(consensus.Event{Now: 1, From: fmt.Sprint("10.0.1.", i+1), PeerLost: true})
		}
		qt.Check(t, s.Status(), qt.Equals, x.want, qt.Commentf("%+v", x))
	}
}

// A proxy's subscription must override any state known before: one of another process, one by a clock that was ahead, or one that
// marked the proxy as gone.
func TestClaimProxy(t *testing.T) {
	c := qt.New(t)
	s := newState(6, true)
	s.Self.Name = "a"
	proxy := update.Proxy{Name: "r", Zone: "z0", Owner: "a", Ready: true}
	claimed := s.ClaimProxy(100, proxy)
	c.Check(claimed.RegisteredAt, qt.Equals, int64(100))
	claimed = s.ClaimProxy(101, claimed)
	c.Check([2]int64{claimed.RegisteredAt, int64(claimed.Revision)}, qt.Equals, [2]int64{100, 1})
	s.PublishProxy(update.Proxy{Name: "r", Zone: "z0", Owner: "b", Ready: true, RegisteredAt: 900}, false) // registered by a clock that is ahead
	claimed = s.ClaimProxy(110, claimed)
	c.Check(s.Proxies["r"].Owner, qt.Equals, "a")
	gone := s.Proxies["r"]
	gone.Gone = true
	c.Check(s.PublishProxy(gone, false), qt.IsTrue)
	c.Check(s.ReadyProxies(), qt.HasLen, 0)
	s.ClaimProxy(111, claimed)
	c.Check(s.ReadyProxies(), qt.HasLen, 1)

	// a proxy of a disconnected process is gone after reconnectGrace, unless it subscribes elsewhere by then
	for name, owner := range map[string]string{"x": "b", "y": "b"} {
		s.PublishProxy(update.Proxy{Name: name, Owner: owner, Ready: true, RegisteredAt: 1}, false)
	}
	s.UpdatePeer("10.0.1.1", update.Status{Member: true})
	s.PeerLost(1000, "10.0.1.1", "b")
	s.ClaimProxy(2000, update.Proxy{Name: "y", Owner: "a", Ready: true})
	s.Tick(1000 + reconnectGrace)
	c.Check(s.ReadyProxies(), qt.HasLen, 3)
	s.Tick(1001 + reconnectGrace)
	c.Check(s.ReadyProxies(), qt.HasLen, 2)
	c.Check(s.Proxies["x"].Gone, qt.IsTrue)
}

// Proxies missing from the snapshot of a restarted control process must be marked as gone after reconnectGrace, unless they subscribe
// again by then, to it or to another process.
func TestReconcilePeer(t *testing.T) {
	for _, x := range []struct {
		name     string
		snapshot []update.Change
		then     func(s *State)
		want     bool // gone
	}{
		{"not listed", nil, nil, true},
		{"named", []update.Change{{Proxy: &update.Proxy{Name: "x", Owner: "b", Ready: true, RegisteredAt: 10}}}, nil, false},
		{"subscribes there again", nil, func(s *State) {
			s.Merge(1000, update.Change{Proxy: &update.Proxy{Name: "x", Owner: "b", Ready: true, RegisteredAt: 1000}})
		}, false},
		{"subscribes elsewhere", nil, func(s *State) {
			s.Merge(1000, update.Change{Proxy: &update.Proxy{Name: "x", Owner: "c", Ready: true, RegisteredAt: 1000}})
		}, false},
		{"subscribes here", nil, func(s *State) { s.ClaimProxy(1000, update.Proxy{Name: "x", Owner: s.Self.Name, Ready: true}) }, false},
		{"its process disconnects again", nil, func(s *State) { s.PeerLost(1000, "10.0.1.1", "b") }, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := newState(6, true)
			for _, proxy := range []update.Proxy{{Name: "x", Owner: "b", Ready: true, RegisteredAt: 10}, {Name: "y", Owner: "b", Ready: true, RegisteredAt: 10}, {Name: "z", Owner: "c", Ready: true, RegisteredAt: 10}} {
				s.Merge(900, update.Change{Proxy: &proxy})
			}
			s.UpdatePeer("10.0.1.1", update.Status{Member: true})
			s.PeerLost(950, "10.0.1.1", "b")
			s.PeerFound("b")
			changes := append(x.snapshot, update.Change{Proxy: &update.Proxy{Name: "y", Owner: "b", Ready: true, RegisteredAt: 10}})
			s.ReconcilePeer(1000, "b", changes)
			if x.then != nil {
				x.then(s)
			}
			c.Check(s.Tick(1000+reconnectGrace), qt.IsFalse)
			c.Check(s.ReadyProxies(), qt.HasLen, 3)
			s.Tick(1001 + reconnectGrace)
			c.Check(s.Proxies["x"].Gone, qt.Equals, x.want)
			c.Check(s.Proxies["z"].Gone, qt.IsFalse)
			c.Check(s.orphans, qt.HasLen, 0)
		})
	}
}

// A control process restarts with a clock that is an hour behind, so that its claim of a proxy is older than the state that the others
// know. They must send it that state so that it claims the proxy again, and all must agree after a bounded number of changes.
func TestClaimAfterRestart(t *testing.T) {
	for _, owner := range []string{"a", "b"} { // owner of the previous claim: the restarted process, or one that is lost
		c := qt.New(t)
		states := map[string]*State{}
		seen := map[string]uint64{}
		for _, name := range []string{"a", "c", "d"} {
			states[name] = newState(3, true)
			states[name].Self.Name = name
			if name != "a" {
				states[name].PublishProxy(update.Proxy{Name: "r", Owner: owner, Ready: true, RegisteredAt: 4600, Gone: true, Revision: 7}, false)
				seen[name] = states[name].Updates.Last()
			}
		}
		claimed := states["a"].ClaimProxy(1000, update.Proxy{Name: "r", Owner: "a", Ready: true})
		merged := 0
		for range 5 {
			for _, from := range []string{"a", "c", "d"} {
				changes, ok := states[from].Updates.After(seen[from])
				c.Assert(ok, qt.IsTrue)
				seen[from] = states[from].Updates.Last()
				for _, change := range Filter(changes, true) {
					for to, s := range states {
						if to != from {
							merged++
							s.Merge(1001, change)
						}
					}
				}
			}
			if proxy := states["a"].Proxies["r"]; proxy.Gone || proxy.Owner != "a" { // the condition of Server.reclaimProxies
				claimed = states["a"].ClaimProxy(1002, claimed)
			}
		}
		for name, s := range states {
			proxy := s.Proxies["r"]
			c.Check(!proxy.Gone && proxy.Ready && proxy.Owner == "a", qt.IsTrue, qt.Commentf("state of %s, previous owner %s: %+v", name, owner, proxy))
			c.Check(s.ReadyProxies(), qt.HasLen, 1)
		}
		c.Check(merged <= 10, qt.IsTrue, qt.Commentf("%d changes merged", merged))
	}
}

// If the claim of a proxy's new owner arrives before the Gone state of its former owner, neither may be published again. Otherwise each
// move of a proxy would cause each process to send another change to all others and all proxies.
func TestMovesArePublishedOnce(t *testing.T) {
	c := qt.New(t)
	s := newState(6, true)
	old := update.Proxy{Name: "r", Owner: "b", Ready: true, RegisteredAt: 10}
	s.Merge(20, update.Change{Proxy: &old})
	current := update.Proxy{Name: "r", Owner: "c", Ready: true, RegisteredAt: 20}
	s.Merge(30, update.Change{Proxy: &current})
	last := s.Updates.Last()
	left := old
	left.Gone, left.Revision = true, 1
	s.Merge(31, update.Change{Proxy: &left})
	c.Check(s.Updates.Last(), qt.Equals, last)
	c.Check(s.Proxies["r"], qt.Equals, current)
	old.Revision = 2 // an outdated claim is answered: its sender may not know the current one
	s.Merge(32, update.Change{Proxy: &old})
	changes, _ := s.Updates.After(last)
	c.Assert(changes, qt.HasLen, 1)
	c.Check(*changes[0].Proxy, qt.Equals, current)
	c.Check(changes[0].FirstHand, qt.IsTrue)
}

// Filter must keep the last change of each object, in order, and not confuse objects of different kinds with the same name.
func TestFilterKeepsLatestChange(t *testing.T) {
	c := qt.New(t)
	proxy := func(name string, revision int) update.Change {
		return update.Change{Proxy: &update.Proxy{Name: name, Revision: revision}, FirstHand: true}
	}
	host := func(id string, sequence uint64) update.Change {
		return update.Change{Instance: &instance.Instance{ID: id, Sequence: sequence}, FirstHand: true}
	}
	item := func(kind, name string, version uint64) update.Change {
		return update.Change{Item: &config.Item{Kind: kind, Name: name, Version: version}}
	}
	vote := func(proxy, service string, number uint64) update.Change {
		return update.Change{Vote: &update.Vote{Proxy: proxy, Service: service, Number: number}, FirstHand: true}
	}
	all := []update.Change{proxy("a", 1), item(config.KindRoutes, "a", 1), host("a", 1), proxy("b", 1), vote("a", "x", 1), proxy("a", 2), item(config.KindServices, "a", 1),
		vote("a", "y", 1), host("b", 1), item(config.KindRoutes, "a", 2), host("a", 2), vote("a", "x", 2), proxy("a", 3)}
	original := slices.Clone(all)
	c.Check(fmt.Sprint(encodeJSON(Filter(all, false))), qt.Equals, fmt.Sprint(encodeJSON([]update.Change{all[3], all[6], all[8], all[9], all[10], all[12]})))
	c.Check(fmt.Sprint(encodeJSON(Filter(all, true))), qt.Equals, fmt.Sprint(encodeJSON([]update.Change{all[3], all[7], all[8], all[10], all[11], all[12]})))
	c.Check(all, qt.DeepEquals, original) // the log's slice must not be modified
	c.Check(Filter(nil, true), qt.HasLen, 0)
}

func encodeJSON(changes []update.Change) (all []string) {
	for _, change := range changes {
		raw, _ := json.Marshal(change)
		all = append(all, string(raw))
	}
	return all
}

// A vote must be replaced by the proxy's next one, also by its withdrawal. Evidence must be kept separately and not change the vote.
func TestPublishVote(t *testing.T) {
	c := qt.New(t)
	s := newState(6, true)
	key := VoteKey{"r", "desk"}
	for i, x := range []struct {
		vote       decision.Verdict
		evidence   bool
		reportOnly bool
		want       decision.Verdict
		wantLast   uint64
	}{
		{decision.NoVote, true, true, decision.NoVote, 0}, {decision.RollBack, true, false, decision.RollBack, 1}, {decision.NoVote, true, true, decision.RollBack, 1},
		{decision.NoVote, false, false, decision.NoVote, 2}, {decision.Advance, true, false, decision.Advance, 3},
	} {
		published := update.Vote{Proxy: "r", Service: "desk", Number: 1, Verdict: uint8(x.vote), ReceivedAt: int64(i + 1), ReportOnly: x.reportOnly}
		if x.evidence {
			published.Evidence = &update.Evidence{Allowance: float64(i)}
		}
		s.PublishVote(published, true)
		c.Check(decision.Verdict(s.Votes[key].Verdict), qt.Equals, x.want, qt.Commentf("vote %d", i))
		c.Check(s.Updates.Last(), qt.Equals, x.wantLast, qt.Commentf("vote %d", i))
		c.Check(s.Votes[key].Evidence, qt.IsNil)
	}
	c.Check(s.LastEvidence[key].Evidence.Allowance, qt.Equals, 4.0)
}

// A control process must send others only first-hand changes, or changes would circulate.
func TestSecondHandChangeNotForwarded(t *testing.T) {
	c := qt.New(t)
	s := newState(6, true)
	host, changed := s.Instances.Heartbeat(1, instance.Instance{ID: "i", Service: "desk", Sequence: 1})
	c.Assert(changed, qt.IsTrue)
	s.PublishInstance(host, true)
	s.Merge(1, update.Change{Instance: &instance.Instance{ID: "j", Service: "desk", Sequence: 1, Owner: "b"}})
	changes, ok := s.Updates.After(0)
	c.Assert(ok, qt.IsTrue)
	c.Check(Filter(changes, true), qt.HasLen, 1)
	c.Check(Filter(changes, false), qt.HasLen, 2)
	c.Check(s.Snapshot(1, true), qt.HasLen, 1)
	c.Check(s.Snapshot(1, false), qt.HasLen, 3) // the two hosts and the member list
}

func TestAddresses(t *testing.T) {
	c := qt.New(t)
	s := newState(6, true)
	regions := map[string]string{"z0": "r0", "z1": "r0", "z2": "r1"}
	for name, zone := range map[string]string{"a1": "z0", "b1": "z1", "b2": "z1", "c1": "z2"} {
		s.PublishProxy(update.Proxy{Name: name, Zone: zone, Address: name, Ready: true, RegisteredAt: 1}, false)
	}
	for _, x := range []struct{ zone, region, want string }{
		{"z0", "r0", "[a1]"}, {"z1", "r0", "[b1 b2]"}, {"z9", "r0", "[a1 b1 b2]"}, {"z9", "r9", "[a1 b1 b2 c1]"}, {"", "", "[a1 b1 b2 c1]"},
	} {
		c.Check(fmt.Sprint(s.Addresses(x.zone, x.region, regions)), qt.Equals, x.want)
	}
}

// With thousands of proxies and control processes that come and go, the size of the state must stay bounded by what exists and what
// was removed within the retention, and a connected proxy must never expire.
func TestExpireBoundsState(t *testing.T) {
	c := qt.New(t)
	s := newState(6, true)
	minute := int64(60e9)
	s.ClaimProxy(1, update.Proxy{Name: "stays", Owner: s.Self.Name, Ready: true})
	most := 0
	for n := range int64(2000) { // one per minute
		now := (n + 1) * minute
		proxy := update.Proxy{Name: fmt.Sprint("r", n), Owner: "b", Ready: true, RegisteredAt: now}
		s.Merge(now, update.Change{Proxy: &proxy})
		s.PublishVote(update.Vote{Proxy: proxy.Name, Service: "desk", Number: 1, Verdict: uint8(decision.Advance), ReceivedAt: now, Evidence: &update.Evidence{}}, true)
		if n%2 == 0 {
			proxy.Gone, proxy.Revision = true, 1
			s.Merge(now+1, update.Change{Proxy: &proxy})
		} else { // its control process disconnects too
			name := fmt.Sprint("b", n)
			proxy.Owner, proxy.RegisteredAt = name, now+1
			s.Merge(now+1, update.Change{Proxy: &proxy})
			s.PeerLost(now+2, "10.0.9.9", name)
			s.Tick(now + 2 + reconnectGrace + 1)
		}
		s.Expire(now + 10e9)
		most = max(most, len(s.Proxies)+len(s.Votes)+len(s.LastEvidence)+len(s.lostPeers)+len(s.goneSince)+len(s.orphans))
	}
	c.Check(most <= 1+5*13, qt.IsTrue, qt.Commentf("%d", most))
	c.Check(s.ReadyProxies(), qt.HasLen, 1)
	c.Check(s.Proxies["stays"].Gone, qt.IsFalse)
}
