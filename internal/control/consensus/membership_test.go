package consensus

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// makesProgress tells whether one of those that are left confirms an order within some seconds, asked again and again.
func (tc *testCluster) makesProgress() bool {
	for range 8 {
		for _, ip := range tc.ips {
			if s := tc.members[ip]; s.up && s.node.IsMember() {
				tag := tc.submit(ip, serviceOperation(fmt.Sprintf("g%d", tc.lastTag), 1, ip))
				if tc.run(second); tc.isConfirmed(tag) {
					return true
				}
				break
			}
		}
	}
	return false
}

// A list is voted on while some are lost, whoever they are, within its round trip: as many as the core bore, those that come
// in among them, and one that comes in in any case. Those that are left go on by themselves.
func TestLostWhileAListIsVotedOn(t *testing.T) {
	played, voted := 0, 0
	for _, x := range []struct{ members, silent, come, zones int }{
		{3, 0, 1, 3}, {3, 1, 1, 3}, {3, 1, 1, 4}, {3, 1, 2, 4}, {4, 0, 1, 3}, {4, 1, 1, 3}, {4, 1, 1, 5}, {5, 0, 1, 3}, {5, 1, 1, 5}, {5, 1, 1, 6}, {5, 2, 1, 7},
		{5, 2, 2, 7}, {5, 2, 2, 5}, {6, 0, 1, 3}, {6, 1, 1, 6}, {6, 1, 1, 7}, {6, 2, 2, 8},
	} {
		all := x.members + x.come
		for some := range 1 << all {
			var lost []string
			old, come := 0, 0
			for n := range all {
				if some>>n&1 == 0 {
					continue
				}
				lost = append(lost, fmt.Sprint(n+1))
				if n >= x.members {
					come++
				} else {
					old++
				}
				if n >= x.members-x.silent && n < x.members { // it is lost already
					old = 99
				}
			}
			if bears := x.members - x.silent - (x.members/2 + 1); old+come > max(bears, 0) && (old != 0 || come != 1) {
				continue
			}
			p := newTestCluster(x.members, x.come, x.zones)
			p.perZone = 3
			for n, ip := range p.ips {
				if n < x.members-x.silent || n >= x.members {
					p.start(ip, "")
				}
			}
			struck := false
			p.allowed = func(_, _ string, m Message) bool {
				if !struck && m.Kind == Accept && membershipIn(m.Value).Epoch == 2 {
					struck = true
					for _, ip := range lost {
						p.stop(ip)
					}
				}
				return true
			}
			for _, ip := range p.ips { // they hear each other, and the silent ones not
				for _, other := range p.ips {
					p.setHeard(ip, other, true)
				}
			}
			p.run(6 * second)
			for _, ip := range p.ips {
				for _, gone := range lost {
					if struck {
						p.setHeard(ip, gone, false)
					}
				}
			}
			played++
			if struck {
				voted++
			}
			if !p.makesProgress() {
				var left []string
				for _, ip := range p.ips {
					if s := p.members[ip]; s.up {
						left = append(left, fmt.Sprintf("%s: %v, votes for %v", ip, s.node, membershipIn(s.hardState.AcceptedValue).Members))
					}
				}
				t.Errorf("%d members, %d of them silent, %d come in, %d zones, lost %v: %q", x.members, x.silent, x.come, x.zones, lost, left)
			}
		}
	}
	if voted < played/2 {
		t.Errorf("of %d plays a list was voted on in %d", played, voted)
	}
	t.Logf("%d plays, a list voted on in %d", played, voted)
}

// undecidedMembership is a core of three whose third is lost, and whose first two have voted on a list that needs one of the lost: it was
// proposed with a fourth, and perhaps decided with its vote. What came with it is a change, or a snapshot that was restored.
func undecidedMembership(restored bool) *testCluster {
	p := newTestCluster(3, 1, 4)
	p.start("1", "")
	p.start("2", "")
	p.connectAll()
	p.run(second)
	list := p.members["1"].node.Membership()
	value := append(serviceOperation("gate", 1, "held").Items, list.Change([]membership.Member{p.members["4"].member}, nil).Item())
	if restored {
		value = []config.Item{{Kind: operation.ReplaceAllKey.Kind, Name: operation.ReplaceAllKey.Name, Version: 2}, value[1], value[0]}
	}
	for _, ip := range []string{"1", "2"} {
		m := Message{Kind: Accept, Index: 2, Ballot: Ballot{99, "gone"}, Value: value, DiskID: "d3", Epoch: 1, Applied: 1}
		p.step(ip, Event{From: "3", Message: &m})
	}
	p.inFlight = slices.DeleteFunc(p.inFlight, func(m envelope) bool { return m.to == "3" })
	return p
}

// A list that was voted on may have been decided, and what came with it may have been confirmed. Where those that are left are
// no majority of it nothing is confirmed and nothing answered otherwise, for as long as it lasts; it goes on by itself
// once one of the lost is back, with what was voted on.
func TestListThatWaits(t *testing.T) {
	for _, back := range []string{"3", "4"} {
		t.Run(back+" comes back", func(t *testing.T) {
			c := qt.New(t)
			p := undecidedMembership(false)
			for n := range 20 {
				tag := p.submit("1", serviceOperation("gate", 1, fmt.Sprint("other", n)))
				p.run(3 * second)
				c.Assert(p.answers[tag].Kind, qt.Equals, apierror.Unavailable)
			}
			c.Check(p.members["1"].node.Applied(), qt.Equals, uint64(1))
			c.Check(p.members["1"].node.HasQuorum(), qt.IsFalse, qt.Commentf("operators see that it is alone, and may recover"))
			p.start(back, "")
			p.run(5 * second)
			c.Check(p.serviceBody("1", "gate"), qt.Contains, "held")
			c.Check(p.serviceBody("2", "gate"), qt.Contains, "held")
			c.Check(p.makesProgress(), qt.IsTrue)
		})
	}
}

// The way out where they never come: one process is made the whole core. It keeps what it had voted for, as that may have been
// confirmed, and those that are left come in again.
func TestListThatWaitsRecovered(t *testing.T) {
	for _, restored := range []bool{false, true} {
		t.Run(fmt.Sprint("restored ", restored), func(t *testing.T) {
			c := qt.New(t)
			p := undecidedMembership(restored)
			p.run(5 * second)
			c.Assert(p.members["1"].node.Applied(), qt.Equals, uint64(1))
			p.step("1", Event{Recover: true})
			p.deliver()
			c.Check(p.members["1"].node.Membership().Members, qt.DeepEquals, []membership.Member{p.members["1"].member})
			c.Check(p.serviceBody("1", "gate"), qt.Contains, "held")
			p.run(5 * second)
			c.Check(p.makesProgress(), qt.IsTrue)
			c.Check(p.members["2"].node.IsMember(), qt.IsTrue)
			c.Check(p.serviceBody("2", "gate"), qt.Contains, "held")
			c.Check(p.members["2"].node.Membership().Epoch > 1<<recoveryEpochShift, qt.IsTrue)
			_, exists := p.members["1"].node.Set.Lookup(config.Key{Kind: config.KindServices, Name: "desk"})
			c.Check(exists, qt.Equals, !restored)
			p.checkSame(c)
		})
	}
}
