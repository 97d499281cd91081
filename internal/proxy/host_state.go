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

// hostState is one host as this router uses it.
type hostState struct {
	instance.Instance
	inFlight     int
	coldWindow   endpoint.SlidingWindow
	share        endpoint.Share // as of a roster and a chart, and no longer than until
	evenShare    int            // its part of the open ones while nobody lends any
	shareVersion int
	shareRouting *config.RoutingTable
	shareUntil   int64
	ejection     outlier.Ejection
}

// clockSkew is by how much the clocks of machines may differ.
const clockSkew = second / 2

// mayUse tells whether a request with these homes may go to a host now, as far as this router's parts and the news go.
func (s *service) mayUse(h dispatch.Host, homes []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.hosts[h.Name]
	if b == nil {
		return false
	}
	f := s.proxy
	if len(homes) > 0 && !slices.Contains(homes, f.Settings.ZoneRegions[b.Zone]) {
		return false
	}
	v := f.snapshot.Load()
	now := f.clock()
	if b.shareVersion != v.listVersion || b.shareRouting != v.routing || now >= b.shareUntil { // the parts change with the roster and the service only
		b.share, b.shareVersion, b.shareRouting, b.shareUntil = f.hostShare(b.Instance, v, v.proxies), v.listVersion, v.routing, math.MaxInt64
		b.evenShare = b.share.Concurrent
		if b.Zone == f.Settings.Zone { // where routers lend to each other
			open := func(all endpoint.ProxyList) int { return f.hostShare(b.Instance, v, all).Concurrent }
			b.share.Concurrent, b.shareUntil = v.history.LeastConcurrent(now, v.proxies, open)
			if b.evenShare = b.share.Concurrent; f.borrowing.Load() {
				b.evenShare = open(v.proxies.EvenWeights())
			}
		}
	}
	p := b.share
	if b.inFlight >= p.Concurrent || b.inFlight > 0 && now < b.ejection.ProbationUntil { // one on its way back is met gently
		return false
	}
	if b.WarmUpUntil+clockSkew <= now {
		return true
	}
	return b.coldWindow.Allows(now, min(p.ColdPerSecond, f.coldShare(now, b.Instance, v)))
}

func (p *Proxy) hostShare(h instance.Instance, v *routingSnapshot, all endpoint.ProxyList) endpoint.Share {
	t := endpoint.ColdBounds{Overrun: p.Settings.Terms.ColdOverrun, Slack: p.Settings.Terms.ColdSlack, PerSecond: v.routing.Services[h.Service].WarmUpPerSecond}
	return endpoint.ShareOf(h, p.Settings.Name, endpoint.Location{Zone: p.Settings.Zone, Region: p.Settings.Region}, p.Settings.ZoneRegions, all, t)
}

// coldShare is the least part of a cold host that this router has had of late: one that is cut off, has just come back, or isn't
// counted yet has none.
func (p *Proxy) coldShare(now int64, h instance.Instance, v *routingSnapshot) int {
	if p.cutOffSince.Load() != 0 || now-p.rejoinedAt.Load() < endpoint.SettleTime || !v.counted {
		return 0
	}
	return v.history.LeastCold(now, func(all endpoint.ProxyList) int { return p.hostShare(h, v, all).ColdPerSecond })
}
