package consensus

import (
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

// voters are those who are asked about the next number: the members, or the founders before there are any; and with them
// those who come in by the value.
func (n *Node) voters() (ips []string) {
	if n.hardState.Applied == 0 {
		return n.hardState.Founders
	}
	for _, m := range n.membership.Members {
		ips = append(ips, m.IP)
	}
	if n.phase == Accepting {
		for _, m := range membershipIn(n.value).Members {
			if !slices.Contains(ips, m.IP) {
				ips = append(ips, m.IP)
			}
		}
	}
	return ips
}

// membershipIn is the list that a value sets, the zero List for none.
func membershipIn(value []config.Item) membership.List {
	for _, i := range value {
		if i.Key() == membership.Key {
			return membership.FromItem(i)
		}
	}
	return membership.List{}
}

// reachesQuorum tells whether those who said yes decide: more than half of the members, or of the founders; and of the members
// that the value makes, as those must have taken it over.
func (n *Node) reachesQuorum(acks map[string]string, value []config.Item) bool {
	if n.hardState.Applied == 0 {
		count := 0
		for ip := range acks {
			if slices.Contains(n.hardState.Founders, ip) {
				count++
			}
		}
		if count < len(n.hardState.Founders)/2+1 {
			return false
		}
	} else if !n.membership.HasQuorum(acks) {
		return false
	}
	next := membershipIn(value)
	return next.Epoch == 0 || next.HasQuorum(acks)
}

// isVoter tells whether a process's word counts at the next number.
func (n *Node) isVoter(ip, id string, value []config.Item) bool {
	if n.hardState.Applied == 0 {
		return slices.Contains(n.hardState.Founders, ip)
	}
	return n.membership.Contains(ip, id) || membershipIn(value).Contains(ip, id)
}
