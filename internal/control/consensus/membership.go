package consensus

import (
	"maps"
	"slices"

	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// maintainMembership has the first member bring in who has come, and let go who has a successor.
func (n *Node) maintainMembership(e Event) {
	for _, member := range n.membership.Members {
		if _, heard := n.peers[member.IP]; member.IP != n.self.IP && !heard && n.silentSince[member.IP] == 0 {
			n.silentSince[member.IP] = e.Now
		}
	}
	if !n.caughtUp || n.preferredProposer() != n.self.IP || slices.ContainsFunc(n.pending, func(p *pendingOperation) bool { return p.operation.Kind == operation.ChangeMembers }) {
		return
	}
	var joining []membership.Member
	for _, ip := range slices.Sorted(maps.Keys(n.peers)) {
		if p := n.peers[ip]; p.CaughtUp && !n.membership.Contains(ip, p.Member.ID) && !n.membership.Excludes(p.Member.ID) && p.Applied+maxJoinLag >= n.hardState.Applied && p.Member.ID != "" &&
			(slices.Contains(n.Unreachable(), ip) || n.liveInZone(p.Member.Zone, joining) < n.minPerZone) { // in the place of its lost disk always
			joining = append(joining, p.Member)
		}
	}
	var silent []string
	for _, member := range n.membership.Members {
		if since := n.silentSince[member.IP]; since != 0 && e.Now-since > removalSilence {
			silent = append(silent, member.IP)
		}
	}
	leaving := n.membership.Change(joining, nil).Removable(silent, n.minPerZone)
	leaving = n.selectRemovals(joining, leaving)
	if len(leaving) == 0 && n.tolerance(n.membership) >= 0 && n.tolerance(n.membership.Change(joining, nil)) <= n.tolerance(n.membership) && n.zoneHasSilentMember(joining) {
		joining = nil // with its predecessor counted too it would be one more to lose, and bear none more: they go by turns in one step
	}
	if len(joining)+len(leaving) > 0 && e.Now >= n.nextMembershipChange && n.tolerance(n.membership.Change(joining, leaving)) >= 0 {
		n.nextMembershipChange = e.Now + membershipInterval
		n.submit(e.Now, &pendingOperation{operation: operation.Operation{Kind: operation.ChangeMembers, Add: joining, Remove: leaving, Expected: n.membership.Epoch}})
	}
}

// zoneHasSilentMember tells whether a member of the zone of one that comes in isn't heard.
func (n *Node) zoneHasSilentMember(joining []membership.Member) bool {
	return slices.ContainsFunc(n.membership.Members, func(m membership.Member) bool {
		_, heard := n.peers[m.IP]
		return m.IP != n.self.IP && !heard && slices.ContainsFunc(joining, func(candidate membership.Member) bool { return candidate.Zone == m.Zone && candidate.IP != m.IP })
	})
}

// selectRemovals tells who of those that may go does: one at a time, or as many as it takes until the core bears a loss, as of five with
// two lost that no list of four would.
func (n *Node) selectRemovals(joining []membership.Member, leaving []string) []string {
	for i := range leaving {
		if n.tolerance(n.membership.Change(joining, leaving[:i+1])) >= max(1, n.tolerance(n.membership)) {
			return leaving[:i+1]
		}
	}
	return nil
}

// liveInZone is how many members of a zone are heard, with those that come in. Where a zone has enough, who comes is a learner that
// stands by: it is voted in once one of them is lost.
func (n *Node) liveInZone(zone string, joining []membership.Member) (count int) {
	for _, m := range n.membership.Members {
		if p, heard := n.peers[m.IP]; m.Zone == zone && (m.IP == n.self.IP || heard && p.Member.ID == m.ID) {
			count++
		}
	}
	for _, m := range joining {
		if m.Zone == zone {
			count++
		}
	}
	return count
}

// mayChangeMembership tells whether a list that an order makes may be voted on. A list that was voted on may have been decided, and so can't
// be given up: once it lacks a majority, the core waits until enough are back. So those who have only just promised must be
// more than half of it, whatever becomes of those that come in. Only where more losses are borne with them than without, or
// where one member is all there is, may they be needed.
func (n *Node) mayChangeMembership(op operation.Operation) bool {
	next, reachable := n.membership.Change(op.Add, op.Remove), maps.Clone(n.acks)
	if next.HasQuorum(n.acks) {
		return true
	}
	for _, m := range op.Add {
		if p, heard := n.peers[m.IP]; heard {
			reachable[m.IP] = p.Member.ID
		}
	}
	return next.HasQuorum(reachable) && (next.QuorumMargin(reachable) > n.membership.QuorumMargin(n.acks) || len(n.membership.Members) == 1)
}

// tolerance is how many members of a list may be lost beside those that aren't heard now. A list that could not lose one more,
// or fewer than the present one, isn't made by letting a member go.
func (n *Node) tolerance(list membership.List) int {
	var down []string
	for _, m := range list.Members {
		if p, heard := n.peers[m.IP]; m.IP != n.self.IP && (!heard || p.Member.ID != m.ID) {
			down = append(down, m.IP)
		}
	}
	members, _ := list.Tolerates(down)
	return members
}
