package registry

import (
	"slices"
	"strings"

	"portflow/internal/cluster/update"
)

// Proxy is the published state of a proxy.
type Proxy = update.Proxy

// orphan is a proxy that is missing from the snapshot of its control process, see ReconcilePeer.
type orphan struct {
	proxy Proxy // state when the snapshot was received
	since int64
}

// reconnectGrace is the time, in nanoseconds, that proxies have to subscribe again after their control process has disconnected or
// restarted. They count as gone after that.
const reconnectGrace = int64(1200e6)

// Tick marks proxies as gone that haven't subscribed again within reconnectGrace after their control process disconnected or restarted.
// It reports whether it published any change. It is to be called periodically.
func (s *State) Tick(now int64) (changed bool) {
	for _, proxy := range s.Proxies {
		if at, lost := s.lostPeers[proxy.Owner]; lost && !proxy.Gone && now-at > reconnectGrace {
			proxy.Gone = true
			changed = s.PublishProxy(proxy, false) || changed
		}
	}
	for name, lost := range s.orphans {
		proxy := s.Proxies[name]
		if proxy != lost.proxy { // a newer state is known
			delete(s.orphans, name)
		} else if now-lost.since > reconnectGrace {
			delete(s.orphans, name)
			proxy.Gone = true
			changed = s.PublishProxy(proxy, false) || changed
		}
	}
	return changed
}

// ClaimProxy publishes the state of a proxy that subscribes to this process, and returns it as published. It sets RegisteredAt and
// Revision so that the state supersedes any known one, also one of another process or one registered by a clock that was ahead.
func (s *State) ClaimProxy(now int64, proxy Proxy) Proxy {
	old, known := s.Proxies[proxy.Name]
	if proxy.RegisteredAt == 0 || known && (old.Owner != proxy.Owner || old.Gone) {
		proxy.RegisteredAt, proxy.Revision = max(now, old.RegisteredAt+1), 0
	} else if known {
		proxy.RegisteredAt, proxy.Revision = old.RegisteredAt, old.Revision+1
	}
	s.PublishProxy(proxy, true)
	return proxy
}

// PublishProxy publishes a proxy's state if it supersedes the known one, and reports whether it did. firstHand is set if the state is to
// be sent to other control processes as well.
func (s *State) PublishProxy(proxy update.Proxy, firstHand bool) bool {
	old, known := s.Proxies[proxy.Name]
	if known && !proxy.Supersedes(old) {
		return false
	}
	s.Proxies[proxy.Name] = proxy
	s.Updates.Add(update.Change{Proxy: &proxy, FirstHand: firstHand})
	return true
}

// ReannounceProxies publishes again, with a new revision, all proxies that subscribe to this process. It serves peers that reconnect, as
// they may have marked these proxies as gone.
func (s *State) ReannounceProxies() {
	for _, proxy := range s.Proxies {
		if proxy.Owner == s.Self.Name && !proxy.Gone {
			proxy.Revision++
			s.PublishProxy(proxy, true)
		}
	}
}

// ReadyProxies returns the proxies that are ready and not gone, sorted by name. A proxy's rank is its index in the result.
func (s *State) ReadyProxies() []update.Proxy { return update.ReadyProxies(s.Proxies) }

// maxAddresses is the maximum number of addresses in the answer to a client.
const maxAddresses = 64

// Addresses returns the addresses of the ready proxies nearest to a client: those in its zone or, if there are none, those in its region
// or, if there are none either, all. They are sorted and at most maxAddresses. regions has the region of each zone.
func (s *State) Addresses(zone, region string, regions map[string]string) (all []string) {
	nearest := 0
	for _, proxy := range s.ReadyProxies() {
		proximity := 1
		switch {
		case proxy.Zone == zone:
			proximity = 3
		case regions[proxy.Zone] == region && region != "":
			proximity = 2
		}
		if proximity > nearest {
			nearest, all = proximity, all[:0]
		}
		if proximity == nearest {
			all = append(all, proxy.Address)
		}
	}
	slices.SortFunc(all, strings.Compare)
	return all[:min(len(all), maxAddresses)]
}
