package proxy

import (
	"math"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/endpoint"
)

// clockSkew is the maximum tolerated difference, in nanoseconds, between the clocks of two machines.
const clockSkew = second / 2

// hostState is the state of a host at this proxy. The service's mu guards it.
type hostState struct {
	instance.Instance
	inFlight   int // number of attempts
	coldWindow endpoint.SlidingWindow
	ejection   outlier.Ejection

	share        endpoint.Share       // computed for shareVersion and shareRouting, and valid until shareUntil
	evenShare    int                  // share.Concurrent without capacity borrowed from other proxies
	shareVersion int                  // version of the proxy list
	shareRouting *config.RoutingTable // compared by pointer
	shareUntil   int64                // Unix nanoseconds
}

// updateHosts updates the states of the service's hosts. A host that was removed is kept while attempts at it are in flight.
func (s *service) updateHosts(instances map[string]instance.Instance, ejections map[string]outlier.Ejection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range instances {
		if h.Service != s.name {
			continue
		}
		host := s.hosts[id]
		if host == nil {
			host = &hostState{}
			s.hosts[id] = host
		}
		host.Instance = h
		host.ejection = ejections[id]
	}
	for id, host := range s.hosts {
		h, known := instances[id]
		if host.inFlight == 0 && (!known || h.State == instance.Gone) {
			delete(s.hosts, id)
			s.outliers.RemoveHost(id)
		}
	}
}

// mayUse reports whether a request may be sent to a host now. It checks the request's home regions, if any, this proxy's share of the
// host, and the limits for a host on probation or in warm-up.
func (s *service) mayUse(h dispatch.Host, homeRegions []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := s.hosts[h.Name]
	if host == nil {
		return false
	}
	p := s.proxy
	if len(homeRegions) > 0 && !slices.Contains(homeRegions, p.Settings.ZoneRegions[host.Zone]) {
		return false
	}
	snapshot := p.snapshot.Load()
	now := p.clock()
	if host.shareOutdated(snapshot, now) {
		p.updateShare(host, snapshot, now)
	}
	switch {
	case host.inFlight >= host.share.Concurrent:
		return false
	case host.inFlight > 0 && now < host.ejection.ProbationUntil: // on probation: one attempt at a time
		return false
	case host.WarmUpUntil+clockSkew <= now:
		return true
	}
	return host.coldWindow.Allows(now, min(host.share.ColdPerSecond, p.coldShare(now, host.Instance, snapshot)))
}

// shareOutdated reports whether the host's share must be recomputed, because the proxy list or the routing table changed or shareUntil
// has passed.
func (h *hostState) shareOutdated(snapshot *routingSnapshot, now int64) bool {
	return h.shareVersion != snapshot.listVersion || h.shareRouting != snapshot.routing || now >= h.shareUntil
}

// updateShare recomputes this proxy's share of a host. Proxies lend each other their shares of the hosts in their own zone; there, a share
// that has grown is used only after endpoint.SettleTime, when the other proxies have reduced theirs. The caller holds the service's mu.
func (p *Proxy) updateShare(host *hostState, snapshot *routingSnapshot, now int64) {
	host.share = p.hostShare(host.Instance, snapshot, snapshot.proxies)
	host.shareVersion = snapshot.listVersion
	host.shareRouting = snapshot.routing
	host.shareUntil = math.MaxInt64
	host.evenShare = host.share.Concurrent
	if host.Zone != p.Settings.Zone {
		return
	}
	concurrent := func(proxies endpoint.ProxyList) int {
		return p.hostShare(host.Instance, snapshot, proxies).Concurrent
	}
	host.share.Concurrent, host.shareUntil = snapshot.history.LeastConcurrent(now, snapshot.proxies, concurrent)
	host.evenShare = host.share.Concurrent
	if p.borrowing.Load() {
		host.evenShare = concurrent(snapshot.proxies.EvenWeights())
	}
}

// hostShare returns this proxy's share of a host for the given list of ready proxies.
func (p *Proxy) hostShare(h instance.Instance, snapshot *routingSnapshot, proxies endpoint.ProxyList) endpoint.Share {
	bounds := endpoint.ColdBounds{
		Overrun:   p.Settings.Terms.ColdOverrun,
		Slack:     p.Settings.Terms.ColdSlack,
		PerSecond: snapshot.routing.Services[h.Service].WarmUpPerSecond,
	}
	location := endpoint.Location{Zone: p.Settings.Zone, Region: p.Settings.Region}
	return endpoint.ShareOf(h, p.Settings.Name, location, p.Settings.ZoneRegions, proxies, bounds)
}

// coldShare returns the least share of a cold host that this proxy recently had, in requests per second. It is 0 while the proxy is
// disconnected from control, for endpoint.SettleTime after it has reconnected, and until control announces it as ready.
func (p *Proxy) coldShare(now int64, h instance.Instance, snapshot *routingSnapshot) int {
	if p.cutOffSince.Load() != 0 || now-p.rejoinedAt.Load() < endpoint.SettleTime || !snapshot.counted {
		return 0
	}
	return snapshot.history.LeastCold(now, func(proxies endpoint.ProxyList) int {
		return p.hostShare(h, snapshot, proxies).ColdPerSecond
	})
}
