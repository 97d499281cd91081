package registry

import (
	"slices"

	"portflow/internal/cluster/update"
)

// Peer is another control process, as it is heard over the line that this one dialled.
type Peer struct {
	Status update.Status
}

// VotingPeers are the peers that are heard and whose votes count.
func (s *State) VotingPeers() (ips []string) {
	for ip, p := range s.Peers {
		if p.Status.Member {
			ips = append(ips, ip)
		}
	}
	slices.Sort(ips)
	return ips
}

// MemberIPs are the IP numbers of the core that are known, but this one.
func (s *State) MemberIPs() (ips []string) {
	for ip := range s.Set.Members() {
		if ip != s.Self.IP {
			ips = append(ips, ip)
		}
	}
	return ips
}

// UpdatePeer notes that a peer is heard, and how it stands.
func (s *State) UpdatePeer(ip string, status update.Status) {
	peer := s.Peers[ip]
	if peer == nil {
		peer = &Peer{}
		s.Peers[ip] = peer
	}
	peer.Status = status
}

// PeerLost notes that a peer isn't heard any more: its hosts and routers are now for others to hear of.
func (s *State) PeerLost(now int64, ip, name string) {
	delete(s.Peers, ip)
	s.lostPeers[name] = now
	s.Instances.Adopt(now, name)
}

// PeerFound ends that.
func (s *State) PeerFound(name string) {
	delete(s.lostPeers, name)
	s.Instances.Release(name)
}

// ReconcilePeer takes another control process's snapshot, once its notes are taken in: it names all hosts and routers that it hears. Those
// that this one knows as the other's and that aren't named were heard in its former life: they are on their way elsewhere, or lost.
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
