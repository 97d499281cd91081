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
	for _, test := range []struct{ members, silent, come, zones int }{
		{3, 0, 1, 3}, {3, 1, 1, 3}, {3, 1, 1, 4}, {3, 1, 2, 4}, {4, 0, 1, 3}, {4, 1, 1, 3}, {4, 1, 1, 5}, {5, 0, 1, 3}, {5, 1, 1, 5}, {5, 1, 1, 6}, {5, 2, 1, 7},
		{5, 2, 2, 7}, {5, 2, 2, 5}, {6, 0, 1, 3}, {6, 1, 1, 6}, {6, 1, 1, 7}, {6, 2, 2, 8},
	} {
		all := test.members + test.come
		for some := range 1 << all {
			var lost []string
			old, joining := 0, 0
			for n := range all {
				if some>>n&1 == 0 {
					continue
				}
				lost = append(lost, fmt.Sprint(n+1))
				if n >= test.members {
					joining++
				} else {
					old++
				}
				if n >= test.members-test.silent && n < test.members { // it is lost already
					old = 99
				}
			}
			if tolerated := test.members - test.silent - (test.members/2 + 1); old+joining > max(tolerated, 0) && (old != 0 || joining != 1) {
				continue
			}
			tc := newTestCluster(test.members, test.come, test.zones)
			tc.minPerZone = 3
			for n, ip := range tc.ips {
				if n < test.members-test.silent || n >= test.members {
					tc.start(ip, "")
				}
			}
			struck := false
			tc.deliverable = func(_, _ string, m Message) bool {
				if !struck && m.Kind == Accept && membershipIn(m.Value).Epoch == 2 {
					struck = true
					for _, ip := range lost {
						tc.stop(ip)
					}
				}
				return true
			}
			for _, ip := range tc.ips { // they hear each other, and the silent ones not
				for _, other := range tc.ips {
					tc.setHeard(ip, other, true)
				}
			}
			tc.run(6 * second)
			for _, ip := range tc.ips {
				for _, gone := range lost {
					if struck {
						tc.setHeard(ip, gone, false)
					}
				}
			}
			played++
			if struck {
				voted++
			}
			if !tc.makesProgress() {
				var left []string
				for _, ip := range tc.ips {
					if s := tc.members[ip]; s.up {
						left = append(left, fmt.Sprintf("%s: %v, votes for %v", ip, s.node, membershipIn(s.hardState.AcceptedValue).Members))
					}
				}
				t.Errorf("%d members, %d of them silent, %d come in, %d zones, lost %v: %q", test.members, test.silent, test.come, test.zones, lost, left)
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
	tc := newTestCluster(3, 1, 4)
	tc.start("1", "")
	tc.start("2", "")
	tc.connectAll()
	tc.run(second)
	list := tc.members["1"].node.Membership()
	value := append(serviceOperation("gate", 1, "held").Items, list.Change([]membership.Member{tc.members["4"].member}, nil).Item())
	if restored {
		value = []config.Item{{Kind: operation.ReplaceAllKey.Kind, Name: operation.ReplaceAllKey.Name, Version: 2}, value[1], value[0]}
	}
	for _, ip := range []string{"1", "2"} {
		m := Message{Kind: Accept, Index: 2, Ballot: Ballot{99, "gone"}, Value: value, DiskID: "d3", Epoch: 1, Applied: 1}
		tc.step(ip, Event{From: "3", Message: &m})
	}
	tc.inFlight = slices.DeleteFunc(tc.inFlight, func(m envelope) bool { return m.to == "3" })
	return tc
}

// A list that was voted on may have been decided, and what came with it may have been confirmed. Where those that are left are
// no majority of it nothing is confirmed and nothing answered otherwise, for as long as it lasts; it goes on by itself
// once one of the lost is back, with what was voted on.
func TestListThatWaits(t *testing.T) {
	for _, back := range []string{"3", "4"} {
		t.Run(back+" comes back", func(t *testing.T) {
			c := qt.New(t)
			tc := undecidedMembership(false)
			for n := range 20 {
				tag := tc.submit("1", serviceOperation("gate", 1, fmt.Sprint("other", n)))
				tc.run(3 * second)
				c.Assert(tc.answers[tag].Kind, qt.Equals, apierror.Unavailable)
			}
			c.Check(tc.members["1"].node.Applied(), qt.Equals, uint64(1))
			c.Check(tc.members["1"].node.HasQuorum(), qt.IsFalse, qt.Commentf("operators see that it is alone, and may recover"))
			tc.start(back, "")
			tc.run(5 * second)
			c.Check(tc.serviceBody("1", "gate"), qt.Contains, "held")
			c.Check(tc.serviceBody("2", "gate"), qt.Contains, "held")
			c.Check(tc.makesProgress(), qt.IsTrue)
		})
	}
}

// The way out where they never come: one process is made the whole core. It keeps what it had voted for, as that may have been
// confirmed, and those that are left come in again.
func TestListThatWaitsRecovered(t *testing.T) {
	for _, restored := range []bool{false, true} {
		t.Run(fmt.Sprint("restored ", restored), func(t *testing.T) {
			c := qt.New(t)
			tc := undecidedMembership(restored)
			tc.run(5 * second)
			c.Assert(tc.members["1"].node.Applied(), qt.Equals, uint64(1))
			tc.step("1", Event{Recover: true})
			tc.deliver()
			c.Check(tc.members["1"].node.Membership().Members, qt.DeepEquals, []membership.Member{tc.members["1"].member})
			c.Check(tc.serviceBody("1", "gate"), qt.Contains, "held")
			tc.run(5 * second)
			c.Check(tc.makesProgress(), qt.IsTrue)
			c.Check(tc.members["2"].node.IsMember(), qt.IsTrue)
			c.Check(tc.serviceBody("2", "gate"), qt.Contains, "held")
			c.Check(tc.members["2"].node.Membership().Epoch > 1<<recoveryEpochShift, qt.IsTrue)
			_, exists := tc.members["1"].node.Set.Lookup(config.Key{Kind: config.KindServices, Name: "desk"})
			c.Check(exists, qt.Equals, !restored)
			tc.checkSame(c)
		})
	}
}
