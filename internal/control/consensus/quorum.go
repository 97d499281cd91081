package consensus

import (
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

// voters returns the IP addresses of the processes that are asked about the next index: the members, or the founders before the
// first epoch. While a membership change is being voted on, the joining members are asked as well.
func (n *Node) voters() (ips []string) {
	if n.hardState.Applied == 0 {
		return n.hardState.Founders
	}
	for _, member := range n.membership.Members {
		ips = append(ips, member.IP)
	}
	if n.proposer.phase != Accepting {
		return ips
	}
	for _, member := range membershipIn(n.proposer.value).Members {
		if !slices.Contains(ips, member.IP) {
			ips = append(ips, member.IP)
		}
	}
	return ips
}

// membershipIn returns the member list that a value sets, or the zero List if it sets none.
func membershipIn(value []config.Item) membership.List {
	for _, item := range value {
		if item.Key() == membership.Key {
			return membership.FromItem(item)
		}
	}
	return membership.List{}
}

// reachesQuorum reports whether the processes that acknowledged a value (disk IDs by IP address) are enough to decide it: a
// majority of the members, or of the founders at index 1, and for a membership change also a majority of the new members. The
// quorums of successive epochs thus intersect, as joint consensus requires.
func (n *Node) reachesQuorum(acks map[string]string, value []config.Item) bool {
	if !n.reachesCurrentQuorum(acks) {
		return false
	}
	next := membershipIn(value)
	return next.Epoch == 0 || next.HasQuorum(acks)
}

// reachesCurrentQuorum reports whether the processes that acknowledged are a majority of the current members, or of the
// founders at index 1.
func (n *Node) reachesCurrentQuorum(acks map[string]string) bool {
	if n.hardState.Applied > 0 {
		return n.membership.HasQuorum(acks)
	}
	count := 0
	for ip := range acks {
		if slices.Contains(n.hardState.Founders, ip) {
			count++
		}
	}
	return count >= n.foundersQuorum()
}

func (n *Node) foundersQuorum() int { return len(n.hardState.Founders)/2 + 1 }

// isVoter reports whether the vote of a process counts at the next index when value is voted on there.
func (n *Node) isVoter(ip, diskID string, value []config.Item) bool {
	if n.hardState.Applied == 0 {
		return slices.Contains(n.hardState.Founders, ip)
	}
	return n.membership.Contains(ip, diskID) || membershipIn(value).Contains(ip, diskID)
}

// isReachable reports whether another process is connected with the disk that it is a member with.
func (n *Node) isReachable(member membership.Member) bool {
	peer, connected := n.peers[member.IP]
	return connected && peer.Member.ID == member.ID
}

func (n *Node) isReachableOrSelf(member membership.Member) bool {
	return member.IP == n.self.IP || n.isReachable(member)
}
