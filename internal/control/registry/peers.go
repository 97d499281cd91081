package registry

import (
	"slices"

	"portflow/internal/cluster/update"
)

// Peer is another control process to which this one is connected. Status is the last one received on the stream that this process
// dialled.
type Peer struct {
	Status update.Status
}

// VotingPeers returns the IP addresses of the connected peers that are voting members by their own status, sorted.
func (s *State) VotingPeers() (ips []string) {
	for ip, peer := range s.Peers {
		if peer.Status.Member {
			ips = append(ips, ip)
		}
	}
	slices.Sort(ips)
	return ips
}

// MemberIPs returns the IP addresses of the other processes in the applied member list, in no particular order.
func (s *State) MemberIPs() (ips []string) {
	for ip := range s.Set.Members() {
		if ip != s.Self.IP {
			ips = append(ips, ip)
		}
	}
	return ips
}

// UpdatePeer records that a peer is connected, and its latest status.
func (s *State) UpdatePeer(ip string, status update.Status) {
	peer := s.Peers[ip]
	if peer == nil {
		peer = &Peer{}
		s.Peers[ip] = peer
	}
	peer.Status = status
}

// PeerLost records that a peer has disconnected. Its hosts and proxies are expected to move to other control processes; those that don't
// within their timeouts are marked as unresponsive or gone.
func (s *State) PeerLost(now int64, ip, name string) {
	delete(s.Peers, ip)
	s.lostPeers[name] = now
	s.Instances.Adopt(now, name)
}

// PeerFound records that a peer has reconnected.
func (s *State) PeerFound(name string) {
	delete(s.lostPeers, name)
	s.Instances.Release(name)
}

// ReconcilePeer finds the hosts and proxies of another control process that are missing from its snapshot, which lists all that it owns.
// They were connected to its previous incarnation, and are now either moving to another process or lost. The caller must have merged
// the changes of the snapshot before.
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
