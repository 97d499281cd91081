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

// clockSkew is by how much the clocks of machines may differ, nanoseconds.
const clockSkew = second / 2

// hostState is one host as this proxy uses it; the service's lock guards it.
type hostState struct {
	instance.Instance
	inFlight   int // attempts
	coldWindow endpoint.SlidingWindow
	ejection   outlier.Ejection

	share        endpoint.Share       // as of shareVersion and shareRouting, and no longer than until shareUntil
	evenShare    int                  // its part of the host's concurrent requests while no proxy lends any
	shareVersion int                  // version of the proxy list
	shareRouting *config.RoutingTable // its identity
	shareUntil   int64                // nanoseconds
}

// updateHosts replaces what is known of the service's hosts. One that has gone stays while attempts at it are in flight.
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

// mayUse reports whether a request with these home regions may go to a host now, by the proxy's share of it and its state.
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
	case host.inFlight > 0 && now < host.ejection.ProbationUntil: // one attempt at a time on probation
		return false
	case host.WarmUpUntil+clockSkew <= now:
		return true
	}
	return host.coldWindow.Allows(now, min(host.share.ColdPerSecond, p.coldShare(now, host.Instance, snapshot)))
}

// shareOutdated reports whether the host's share is to be computed anew: it changes with the proxy list and the service only.
func (h *hostState) shareOutdated(snapshot *routingSnapshot, now int64) bool {
	return h.shareVersion != snapshot.listVersion || h.shareRouting != snapshot.routing || now >= h.shareUntil
}

// updateShare computes this proxy's share of a host. In its own zone, where proxies lend each other theirs, a share that has grown is
// used only once the others have had time to shrink theirs.
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

// hostShare is this proxy's share of a host where these are the ready proxies.
func (p *Proxy) hostShare(h instance.Instance, snapshot *routingSnapshot, proxies endpoint.ProxyList) endpoint.Share {
	bounds := endpoint.ColdBounds{
		Overrun:   p.Settings.Terms.ColdOverrun,
		Slack:     p.Settings.Terms.ColdSlack,
		PerSecond: snapshot.routing.Services[h.Service].WarmUpPerSecond,
	}
	location := endpoint.Location{Zone: p.Settings.Zone, Region: p.Settings.Region}
	return endpoint.ShareOf(h, p.Settings.Name, location, p.Settings.ZoneRegions, proxies, bounds)
}

// coldShare is the least share of a cold host that this proxy has had of late, requests a second: none for one that is cut off from
// control, has just rejoined, or isn't on the proxy list yet.
func (p *Proxy) coldShare(now int64, h instance.Instance, snapshot *routingSnapshot) int {
	if p.cutOffSince.Load() != 0 || now-p.rejoinedAt.Load() < endpoint.SettleTime || !snapshot.counted {
		return 0
	}
	return snapshot.history.LeastCold(now, func(proxies endpoint.ProxyList) int {
		return p.hostShare(h, snapshot, proxies).ColdPerSecond
	})
}
