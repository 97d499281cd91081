package consensus

import (
	"maps"
	"slices"

	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// maintainMembership has the preferred proposer propose changes of the members: processes that have come join, and silent members
// whose zone can do without them are removed. A change is a value like any other; mayChangeMembership checks it again before it
// is voted on.
func (n *Node) maintainMembership(e Event) {
	n.trackSilentMembers(e.Now)
	if !n.caughtUp || n.preferredProposer() != n.self.IP || n.hasPendingMembershipChange() {
		return
	}
	joining := n.joiningMembers()
	removable := n.membership.Change(joining, nil).Removable(n.longSilentMembers(e.Now), n.minPerZone)
	leaving := n.selectRemovals(joining, removable)
	if len(leaving) == 0 && n.shouldAwaitRemoval(joining) {
		joining = nil
	}
	if len(joining)+len(leaving) == 0 || e.Now < n.nextMembershipChange {
		return
	}
	if n.tolerance(n.membership.Change(joining, leaving)) < 0 {
		return
	}
	n.nextMembershipChange = e.Now + membershipInterval
	n.submit(e.Now, &pendingOperation{operation: operation.Operation{
		Kind:     operation.ChangeMembers,
		Add:      joining,
		Remove:   leaving,
		Expected: n.membership.Epoch,
	}})
}

// trackSilentMembers notes since when members that were never connected are silent.
func (n *Node) trackSilentMembers(now int64) {
	for _, member := range n.membership.Members {
		_, connected := n.peers[member.IP]
		if member.IP != n.self.IP && !connected && n.silentSince[member.IP] == 0 {
			n.silentSince[member.IP] = now
		}
	}
}

// hasPendingMembershipChange reports whether a change of the members is pending.
func (n *Node) hasPendingMembershipChange() bool {
	return slices.ContainsFunc(n.forwarder.pending, func(op *pendingOperation) bool {
		return op.operation.Kind == operation.ChangeMembers
	})
}

// joiningMembers returns the peers that are to become members: in the place of the same host with its lost disk always, else where a
// zone has fewer live members than it is to have. The others are learners that stand by.
func (n *Node) joiningMembers() (joining []membership.Member) {
	for _, ip := range slices.Sorted(maps.Keys(n.peers)) {
		peer := n.peers[ip]
		if !n.mayJoin(ip, peer) {
			continue
		}
		returnsWithNewDisk := slices.Contains(n.Unreachable(), ip)
		if returnsWithNewDisk || n.liveInZone(peer.Member.Zone, joining) < n.minPerZone {
			joining = append(joining, peer.Member)
		}
	}
	return joining
}

// mayJoin reports whether a peer is no member, has caught up, and was not removed by an operator.
func (n *Node) mayJoin(ip string, peer Peer) bool {
	switch {
	case !peer.CaughtUp, peer.Applied+maxJoinLag < n.hardState.Applied:
		return false
	case peer.Member.ID == "", n.membership.Excludes(peer.Member.ID):
		return false
	}
	return !n.membership.Contains(ip, peer.Member.ID)
}

// longSilentMembers returns the IP addresses of the members that have been silent for so long that they may be removed.
func (n *Node) longSilentMembers(now int64) (silent []string) {
	for _, member := range n.membership.Members {
		if since := n.silentSince[member.IP]; since != 0 && now-since > removalTimeout {
			silent = append(silent, member.IP)
		}
	}
	return silent
}

// shouldAwaitRemoval reports whether members that join should wait until silent ones of their zones can be removed in the same change.
// Counted beside its predecessor, a new member raises the majority, and the core tolerates no more losses than before.
func (n *Node) shouldAwaitRemoval(joining []membership.Member) bool {
	current := n.tolerance(n.membership)
	return current >= 0 && n.tolerance(n.membership.Change(joining, nil)) <= current && n.zoneHasSilentMember(joining)
}

// zoneHasSilentMember reports whether a zone of those that join has a member on another host that is not connected.
func (n *Node) zoneHasSilentMember(joining []membership.Member) bool {
	return slices.ContainsFunc(n.membership.Members, func(member membership.Member) bool {
		_, connected := n.peers[member.IP]
		if member.IP == n.self.IP || connected {
			return false
		}
		return slices.ContainsFunc(joining, func(candidate membership.Member) bool {
			return candidate.Zone == member.Zone && candidate.IP != member.IP
		})
	})
}

// selectRemovals returns which of the removable members are removed: the first, or as many as are needed until the core tolerates a
// loss. Of five members with two lost, a list of four would tolerate none, and one of three does.
func (n *Node) selectRemovals(joining []membership.Member, removable []string) []string {
	for i := range removable {
		leaving := removable[:i+1]
		if n.tolerance(n.membership.Change(joining, leaving)) >= max(1, n.tolerance(n.membership)) {
			return leaving
		}
	}
	return nil
}

// liveInZone returns how many members of a zone are reachable, counting those that join.
func (n *Node) liveInZone(zone string, joining []membership.Member) (count int) {
	for _, member := range n.membership.Members {
		if member.Zone == zone && n.isReachableOrSelf(member) {
			count++
		}
	}
	for _, member := range joining {
		if member.Zone == zone {
			count++
		}
	}
	return count
}

// mayChangeMembership reports whether a change of the members may be voted on. Once it is, it may be decided, and can't be given up:
// if the new members lack a majority, the core waits until enough of them are back. So those that have just promised must be a
// majority of the new members, whatever becomes of those that join. Members that join may be counted only if the change raises
// the margin over a majority, or if there is a single member.
func (n *Node) mayChangeMembership(op operation.Operation) bool {
	next := n.membership.Change(op.Add, op.Remove)
	promised := n.proposer.acks
	if next.HasQuorum(promised) {
		return true
	}
	reachable := maps.Clone(promised)
	for _, member := range op.Add {
		if peer, connected := n.peers[member.IP]; connected {
			reachable[member.IP] = peer.Member.ID
		}
	}
	if !next.HasQuorum(reachable) {
		return false
	}
	return next.QuorumMargin(reachable) > n.membership.QuorumMargin(promised) || len(n.membership.Members) == 1
}

// tolerance returns how many members of a list may be lost beside those that are unreachable now; below 0 there is no majority.
func (n *Node) tolerance(list membership.List) int {
	var down []string
	for _, member := range list.Members {
		if !n.isReachableOrSelf(member) {
			down = append(down, member.IP)
		}
	}
	tolerated, _ := list.Tolerates(down)
	return tolerated
}
