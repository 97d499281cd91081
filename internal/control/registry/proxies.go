package registry

import (
	"slices"
	"strings"

	"portflow/internal/cluster/update"
)

// Proxy is a proxy as control processes know it.
type Proxy = update.Proxy

// orphan is a proxy as it was known when its control process appeared without it.
type orphan struct {
	proxy Proxy
	since int64
}

// reconnectGrace is how long, in nanoseconds, the proxies of a control process which isn't connected any more, or has started again, may
// take to subscribe to another before they count as gone.
const reconnectGrace = int64(1200e6)

// Tick finds proxies that went down with the control process that they subscribed to, and reports whether there are any.
func (s *State) Tick(now int64) (changed bool) {
	for _, proxy := range s.Proxies {
		if at, lost := s.lostPeers[proxy.Owner]; lost && !proxy.Gone && now-at > reconnectGrace {
			proxy.Gone = true
			changed = s.PublishProxy(proxy, false) || changed
		}
	}
	for name, lost := range s.orphans {
		proxy := s.Proxies[name]
		if proxy != lost.proxy { // something newer is known of it
			delete(s.orphans, name)
		} else if now-lost.since > reconnectGrace {
			delete(s.orphans, name)
			proxy.Gone = true
			changed = s.PublishProxy(proxy, false) || changed
		}
	}
	return changed
}

// ClaimProxy publishes a proxy that subscribes here, and returns it as published: whatever is known of it from elsewhere, or from before
// a step of the clock, is older than what it sends now.
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

// PublishProxy publishes a proxy's state, unless a newer one is known, and reports whether it did. firstHand says that it subscribes here.
func (s *State) PublishProxy(proxy update.Proxy, firstHand bool) bool {
	old, known := s.Proxies[proxy.Name]
	if known && !proxy.Supersedes(old) {
		return false
	}
	s.Proxies[proxy.Name] = proxy
	s.Updates.Add(update.Change{Proxy: &proxy, FirstHand: firstHand})
	return true
}

// ReannounceProxies publishes this process's own proxies again, for another process that was disconnected and may count them as gone.
func (s *State) ReannounceProxies() {
	for _, proxy := range s.Proxies {
		if proxy.Owner == s.Self.Name && !proxy.Gone {
			proxy.Revision++
			s.PublishProxy(proxy, true)
		}
	}
}

// ReadyProxies are the proxies that are ready, by name; a proxy's rank is its index.
func (s *State) ReadyProxies() []update.Proxy { return update.ReadyProxies(s.Proxies) }

// maxAddresses is how many addresses a client is given at most.
const maxAddresses = 64

// Addresses are the addresses for a client of a zone and region: of the ready proxies in its zone; without any, in its region; without
// any, of all. They are sorted, and maxAddresses at most.
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
