package registry

import (
	"slices"
	"strings"

	"portflow/internal/cluster/update"
)

// Proxy is a router as control knows it.
type Proxy = update.Proxy

// orphan is a router as it was known when that was noted.
type orphan struct {
	proxy Proxy
	since int64
}

// reconnectGrace is for how long the routers that hung on a control process which isn't heard any more, or has started again, may be on
// their way to another before they are taken for gone.
const reconnectGrace = int64(1200e6)

// Tick finds routers that went down with the control process that they hung on.
func (s *State) Tick(now int64) (changed bool) {
	for _, proxy := range s.Proxies {
		if at, lost := s.lostPeers[proxy.Owner]; lost && !proxy.Gone && now-at > reconnectGrace {
			proxy.Gone = true
			changed = s.PublishProxy(proxy, false) || changed
		}
	}
	for name, stray := range s.orphans {
		proxy := s.Proxies[name]
		if proxy != stray.proxy { // something newer is known of it
			delete(s.orphans, name)
		} else if now-stray.since > reconnectGrace {
			delete(s.orphans, name)
			proxy.Gone = true
			changed = s.PublishProxy(proxy, false) || changed
		}
	}
	return changed
}

// ClaimProxy takes a router up that hangs here: whatever is known of it from elsewhere, or from before a step of its clock, is
// older than what is heard now.
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

// PublishProxy takes up how a router that hangs here is.
func (s *State) PublishProxy(proxy update.Proxy, firstHand bool) bool {
	old, known := s.Proxies[proxy.Name]
	if known && !proxy.Supersedes(old) {
		return false
	}
	s.Proxies[proxy.Name] = proxy
	s.Updates.Add(update.Change{Proxy: &proxy, FirstHand: firstHand})
	return true
}

// ReannounceProxies has this process's own routers told anew to another that was away: it may have taken them for gone.
func (s *State) ReannounceProxies() {
	for _, f := range s.Proxies {
		if f.Owner == s.Self.Name && !f.Gone {
			f.Revision++
			s.PublishProxy(f, true)
		}
	}
}

// ReadyProxies is the routers that are ready, as the design counts and numbers them.
func (s *State) ReadyProxies() []update.Proxy { return update.ReadyProxies(s.Proxies) }

// Addresses answers the directory: ready fronts of the client's zone; where none is, of its region; else all.
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
	return all[:min(len(all), 64)]
}
