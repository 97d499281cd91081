package consensus

import (
	"maps"
	"slices"

	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// maintainMembership proposes membership changes if this process is the preferred proposer: it adds processes that may join,
// and removes silent members that their zones can do without. A membership change is a value like any other;
// mayChangeMembership checks it again before the vote.
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

// trackSilentMembers starts the silence timer of members that have not been connected since this process started.
func (n *Node) trackSilentMembers(now int64) {
	for _, member := range n.membership.Members {
		_, connected := n.peers[member.IP]
		if member.IP != n.self.IP && !connected && n.silentSince[member.IP] == 0 {
			n.silentSince[member.IP] = now
		}
	}
}

func (n *Node) hasPendingMembershipChange() bool {
	return slices.ContainsFunc(n.forwarder.pending, func(op *pendingOperation) bool {
		return op.operation.Kind == operation.ChangeMembers
	})
}

// joiningMembers returns the peers that should become members: a peer that replaces the member on the same host, which lost its
// disk, or one in a zone with fewer than minPerZone live members. All other peers remain learners.
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

// mayJoin reports whether a peer is not a member, has caught up, and was not excluded by an operator.
func (n *Node) mayJoin(ip string, peer Peer) bool {
	switch {
	case !peer.CaughtUp, peer.Applied+maxJoinLag < n.hardState.Applied:
		return false
	case peer.Member.ID == "", n.membership.Excludes(peer.Member.ID):
		return false
	}
	return !n.membership.Contains(ip, peer.Member.ID)
}

// longSilentMembers returns the IP addresses of the members that have been silent for longer than removalTimeout.
func (n *Node) longSilentMembers(now int64) (silent []string) {
	for _, member := range n.membership.Members {
		if since := n.silentSince[member.IP]; since != 0 && now-since > removalTimeout {
			silent = append(silent, member.IP)
		}
	}
	return silent
}

// shouldAwaitRemoval reports whether the members that join should wait until silent members of their zones can be removed in
// the same change. Adding a new member while its predecessor still counts raises the majority without tolerating more losses.
func (n *Node) shouldAwaitRemoval(joining []membership.Member) bool {
	current := n.tolerance(n.membership)
	return current >= 0 && n.tolerance(n.membership.Change(joining, nil)) <= current && n.zoneHasSilentMember(joining)
}

// zoneHasSilentMember reports whether some joining member's zone has an unconnected member on another host.
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

// selectRemovals returns the shortest prefix of the removable members whose removal leaves a membership that tolerates at least
// one more loss, and no fewer than now; nil if there is none. For example, with two of five members lost, a list of four would
// tolerate no further loss, but a list of three tolerates one.
func (n *Node) selectRemovals(joining []membership.Member, removable []string) []string {
	for i := range removable {
		leaving := removable[:i+1]
		if n.tolerance(n.membership.Change(joining, leaving)) >= max(1, n.tolerance(n.membership)) {
			return leaving
		}
	}
	return nil
}

// liveInZone returns the number of reachable and joining members in a zone.
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

// mayChangeMembership reports whether a membership change may be put to the vote. After that it may be decided and cannot be
// withdrawn: if the new members then lack a majority, the cluster blocks until enough of them return. The members that have
// just promised must therefore be a majority of the new members by themselves. Joining members are counted as well only if the
// change increases the margin over a majority, or if there is only one member.
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

// tolerance returns how many members of a list may be lost in addition to those that are unreachable now. It is negative if the
// reachable ones are no majority.
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
