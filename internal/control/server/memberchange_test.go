package server

import (
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/settings"
	"portflow/internal/cluster/update"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
)

// testMember returns the control process with number n, in a zone of its own.
func testMember(n int) membership.Member {
	return membership.Member{IP: fmt.Sprint("10.0.0.", n), ID: fmt.Sprint("disk-", n), Name: fmt.Sprint("n", n), Zone: fmt.Sprint("z", n)}
}

func testMembers(size int) membership.List {
	var all []membership.Member
	for n := range size {
		all = append(all, testMember(n+1))
	}
	return membership.List{}.Change(all, nil)
}

// newTestServer returns control process 1 of the given number of members, at index 1, without disk, network or goroutines. Its clock is
// fixed at 1 s. No other process is connected.
func newTestServer(members int) *Server {
	self := testMember(1)
	s := newServer(context.Background(), Options{
		Settings:   settings.Settings{IP: self.IP, Name: self.Name, Zone: self.Zone},
		MinPerZone: 1,
		Clock:      func() int64 { return 1e9 },
	})
	set := config.NewSet()
	set.Merge(testMembers(members).Item())
	s.initState(consensus.HardState{DiskID: self.ID, Applied: 1}, set)
	return s
}

// connectPeer registers another control process as connected, with the given status.
func connectPeer(s *Server, member membership.Member, status update.Status) {
	s.peers[member.IP] = &peerConn{ip: member.IP, member: member}
	s.state.UpdatePeer(member.IP, status)
}

// Processes 1, 2 and 3 are members, of which 3 is down. Learner 4 has caught up, learner 5 has not.
func TestPlanChange(t *testing.T) {
	for name, test := range map[string]struct {
		change               CoreChange
		add, remove, exclude string // last numbers of the IP addresses
		wantTolerates        [2]int
		wantError            apierror.Kind
	}{
		"remove a member that is down":     {change: CoreChange{Action: "remove", Member: "n3"}, remove: "3", exclude: "3", wantTolerates: [2]int{0, 0}},
		"remove a member that is up":       {change: CoreChange{Action: "remove", Member: "10.0.0.2"}, remove: "2", exclude: "2", wantTolerates: [2]int{0, -1}},
		"remove a learner":                 {change: CoreChange{Action: "remove", Member: "n4"}, exclude: "4"},
		"remove an unknown process":        {change: CoreChange{Action: "remove", Member: "n9"}, wantError: apierror.NotFound},
		"add a learner":                    {change: CoreChange{Action: "add", Member: "n4"}, add: "4", wantTolerates: [2]int{0, 0}},
		"add a learner that lacks changes": {change: CoreChange{Action: "add", Member: "n5"}, wantError: apierror.Unavailable},
		"add a member that is up":          {change: CoreChange{Action: "add", Member: "n2"}},
		"add a member that is down":        {change: CoreChange{Action: "add", Member: "n3"}, wantError: apierror.NotFound},
		"replace a member that is down":    {change: CoreChange{Action: "replace", Member: "n3", Replacement: "n4"}, add: "4", remove: "3", exclude: "3", wantTolerates: [2]int{0, 1}},
		"replace by a member":              {change: CoreChange{Action: "replace", Member: "n3", Replacement: "n2"}, remove: "3", exclude: "3"},
		"replace by one not connected":     {change: CoreChange{Action: "replace", Member: "n3", Replacement: "n9"}, wantError: apierror.NotFound},
		"replace an unknown process":       {change: CoreChange{Action: "replace", Member: "n9", Replacement: "n4"}, wantError: apierror.NotFound},
		"unknown action":                   {change: CoreChange{Action: "swap", Member: "n3"}, wantError: apierror.Invalid},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestServer(3)
			connectPeer(s, testMember(2), update.Status{Complete: true, Member: true})
			connectPeer(s, testMember(4), update.Status{Complete: true})
			connectPeer(s, testMember(5), update.Status{})
			op, result, err := s.planChange(test.change)
			if test.wantError != apierror.None {
				c.Assert(err, qt.IsNotNil)
				c.Check(apierror.KindOf(err), qt.Equals, test.wantError)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(lastNumbers(op.Add), qt.Equals, test.add)
			c.Check(strings.TrimPrefix(strings.Join(op.Remove, " "), "10.0.0."), qt.Equals, test.remove)
			c.Check(lastNumbers(op.Exclude), qt.Equals, test.exclude)
			c.Check(op.Expected, qt.Equals, uint64(1))
			c.Check(result.Tolerates, qt.Equals, test.wantTolerates)
			c.Check(result.Done, qt.IsFalse)
		})
	}
}

func lastNumbers(members []membership.Member) string {
	var numbers []string
	for _, member := range members {
		numbers = append(numbers, strings.TrimPrefix(member.IP, "10.0.0."))
	}
	return strings.Join(numbers, " ")
}

// A member that returned with a new disk can replace itself: the old disk is excluded, and the IP address isn't removed.
func TestPlanReplaceSameIP(t *testing.T) {
	c := qt.New(t)
	s := newTestServer(3)
	renewed := testMember(3)
	renewed.ID = "disk-new"
	connectPeer(s, renewed, update.Status{Complete: true})
	op, _, err := s.planChange(CoreChange{Action: "replace", Member: "n3", Replacement: "n3"})
	c.Assert(err, qt.IsNil)
	c.Check(op.Add, qt.DeepEquals, []membership.Member{renewed})
	c.Check(op.Remove, qt.HasLen, 0)
	c.Check(op.Exclude, qt.DeepEquals, []membership.Member{testMember(3)})
}

// The last member can't be removed.
func TestPlanRemoveLast(t *testing.T) {
	c := qt.New(t)
	_, _, err := newTestServer(1).planChange(CoreChange{Action: "remove", Member: "n1"})
	c.Assert(err, qt.IsNotNil)
	c.Check(apierror.KindOf(err), qt.Equals, apierror.Invalid)
}

// A change that leaves no connected majority is rejected even with force. One that leaves no tolerance for losses requires force, unless
// there was none before.
func TestCheckTolerance(t *testing.T) {
	for _, test := range []struct {
		before, after int
		force         bool
		allowed       bool
	}{
		{before: 1, after: 1, allowed: true},
		{before: 1, after: 0},
		{before: 1, after: 0, force: true, allowed: true},
		{before: 0, after: 0, allowed: true},
		{before: 0, after: -1, force: true},
		{before: 2, after: 1, allowed: true},
	} {
		err := checkTolerance(CoreChangeResult{Tolerates: [2]int{test.before, test.after}}, test.force)
		qt.Check(t, err == nil, qt.Equals, test.allowed, qt.Commentf("%+v: %v", test, err))
	}
}

// A process that shuts down is removed from an even number of members, not from an odd one, and never if no loss would be tolerated
// afterwards.
func TestRemovalUseful(t *testing.T) {
	leaving := testMember(1).IP
	for size, want := range map[int]bool{1: false, 2: false, 3: false, 4: true, 5: false, 6: true} {
		list := testMembers(size)
		useful := removalUseful(list, list.Change(nil, []string{leaving}), []string{leaving}, nil)
		qt.Check(t, useful, qt.Equals, want, qt.Commentf("%d members", size))
	}
	list := testMembers(4)
	down := testMember(2).IP
	qt.Check(t, removalUseful(list, list.Change(nil, []string{leaving}), []string{leaving, down}, []string{down}), qt.IsFalse)
}
