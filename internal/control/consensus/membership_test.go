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

// makesProgress reports whether the first running member confirms one of 8 operations, each within a second.
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

// Processes are lost while a membership change is being voted on: any subset of old and joining members up to the tolerated
// number, or a single joining member in any case. The others must make progress without an operator.
func TestLossDuringMembershipChange(t *testing.T) {
	runs, voted := 0, 0
	for _, test := range []struct{ members, silent, newMembers, zones int }{
		{3, 0, 1, 3}, {3, 1, 1, 3}, {3, 1, 1, 4}, {3, 1, 2, 4}, {4, 0, 1, 3}, {4, 1, 1, 3}, {4, 1, 1, 5}, {5, 0, 1, 3}, {5, 1, 1, 5}, {5, 1, 1, 6}, {5, 2, 1, 7},
		{5, 2, 2, 7}, {5, 2, 2, 5}, {6, 0, 1, 3}, {6, 1, 1, 6}, {6, 1, 1, 7}, {6, 2, 2, 8},
	} {
		all := test.members + test.newMembers
		for lostSet := range 1 << all {
			var lost []string
			old, joining := 0, 0
			for n := range all {
				if lostSet>>n&1 == 0 {
					continue
				}
				lost = append(lost, fmt.Sprint(n+1))
				if n >= test.members {
					joining++
				} else {
					old++
				}
				if n >= test.members-test.silent && n < test.members { // never started; skip this subset
					old = 99
				}
			}
			if tolerated := test.members - test.silent - (test.members/2 + 1); old+joining > max(tolerated, 0) && (old != 0 || joining != 1) {
				continue
			}
			tc := newTestCluster(test.members, test.newMembers, test.zones)
			tc.minPerZone = 3
			for n, ip := range tc.ips {
				if n < test.members-test.silent || n >= test.members {
					tc.start(ip, "")
				}
			}
			crashed := false
			tc.deliverable = func(_, _ string, m Message) bool {
				if !crashed && m.Kind == Accept && membershipIn(m.Value).Epoch == 2 {
					crashed = true
					for _, ip := range lost {
						tc.stop(ip)
					}
				}
				return true
			}
			for _, ip := range tc.ips { // connects all but the silent members
				for _, other := range tc.ips {
					tc.setConnected(ip, other, true)
				}
			}
			tc.run(6 * second)
			for _, ip := range tc.ips {
				for _, lostIP := range lost {
					if crashed {
						tc.setConnected(ip, lostIP, false)
					}
				}
			}
			runs++
			if crashed {
				voted++
			}
			if !tc.makesProgress() {
				var left []string
				for _, ip := range tc.ips {
					if s := tc.members[ip]; s.up {
						left = append(left, fmt.Sprintf("%s: %v, voted for %v", ip, s.node, membershipIn(s.hardState.AcceptedValue).Members))
					}
				}
				t.Errorf("no progress with %d members, %d of them silent, %d joining, %d zones, lost %v: %q", test.members, test.silent, test.newMembers, test.zones, lost, left)
			}
		}
	}
	if voted < runs/2 {
		t.Errorf("of %d runs only %d put a membership change to the vote, want at least half", runs, voted)
	}
	t.Logf("%d runs, of which %d put a membership change to the vote", runs, voted)
}

// undecidedMembership returns a cluster of three members, of which 3 is lost. 1 and 2 have voted to add 4, so they need 3 or 4 for
// a majority of the new members. The change is decided if 4 has voted as well. The same value also adds a service or, if restored,
// replaces the full configuration.
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

// A membership change that was voted on may have been decided, and operations in the same value may have been confirmed. While the
// running members are no majority of the new members, operations are neither confirmed nor rejected. Once a lost member returns,
// the value is decided and the cluster continues.
func TestUndecidedMembershipBlocks(t *testing.T) {
	for _, returning := range []string{"3", "4"} {
		t.Run(returning+" returns", func(t *testing.T) {
			c := qt.New(t)
			tc := undecidedMembership(false)
			for n := range 20 {
				tag := tc.submit("1", serviceOperation("gate", 1, fmt.Sprint("other", n)))
				tc.run(3 * second)
				c.Assert(tc.answers[tag].Kind, qt.Equals, apierror.Unavailable)
			}
			c.Check(tc.members["1"].node.Applied(), qt.Equals, uint64(1))
			c.Check(tc.members["1"].node.HasQuorum(), qt.IsFalse, qt.Commentf("operators must see that a forced recovery is needed"))
			tc.start(returning, "")
			tc.run(5 * second)
			c.Check(tc.serviceBody("1", "gate"), qt.Contains, "held")
			c.Check(tc.serviceBody("2", "gate"), qt.Contains, "held")
			c.Check(tc.makesProgress(), qt.IsTrue)
		})
	}
}

// If the lost members never return, a forced recovery makes one process the only member. It keeps the value that it voted for,
// which may have been confirmed, and the other running member joins again.
func TestRecoverUndecidedMembership(t *testing.T) {
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
