package registry

import (
	"slices"

	"portflow/internal/cluster/update"
)

// Peer is another control process, as it appears on the stream that this one dialled.
type Peer struct {
	Status update.Status
}

// VotingPeers are the IPs of the connected peers that are members, sorted.
func (s *State) VotingPeers() (ips []string) {
	for ip, peer := range s.Peers {
		if peer.Status.Member {
			ips = append(ips, ip)
		}
	}
	slices.Sort(ips)
	return ips
}

// MemberIPs are the IPs of the members as they are known here, apart from this process's, in no order.
func (s *State) MemberIPs() (ips []string) {
	for ip := range s.Set.Members() {
		if ip != s.Self.IP {
			ips = append(ips, ip)
		}
	}
	return ips
}

// UpdatePeer notes that a peer is connected, and its status.
func (s *State) UpdatePeer(ip string, status update.Status) {
	peer := s.Peers[ip]
	if peer == nil {
		peer = &Peer{}
		s.Peers[ip] = peer
	}
	peer.Status = status
}

// PeerLost notes that a peer isn't connected any more: its hosts and proxies will appear at other control processes.
func (s *State) PeerLost(now int64, ip, name string) {
	delete(s.Peers, ip)
	s.lostPeers[name] = now
	s.Instances.Adopt(now, name)
}

// PeerFound notes that a peer is connected again.
func (s *State) PeerFound(name string) {
	delete(s.lostPeers, name)
	s.Instances.Release(name)
}

// ReconcilePeer takes another control process's snapshot, once its changes are merged: it names all hosts and proxies of that process.
// Those that this one knows as the other's, and that it doesn't name, were there in an earlier incarnation: they are moving to another
// process, or lost.
func (s *State) ReconcilePeer(now int64, name string, changes []update.Change) {
	instances, proxies := map[string]bool{}, map[string]bool{}
	for _, change := range changes {
		if change.Instance != nil {
			instances[change.Instance.ID] = true
		}
		if change.Proxy != nil {
			proxies[change.Proxy.Name] = true
		}
	}
	s.Instances.Reconcile(now, name, instances)
	for _, proxy := range s.Proxies {
		if proxy.Owner == name && name != s.Self.Name && !proxy.Gone && !proxies[proxy.Name] {
			s.orphans[proxy.Name] = orphan{proxy, now}
		}
	}
}
