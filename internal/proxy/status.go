package proxy

import (
	"time"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
	"portflow/internal/proxy/endpoint"
)

// Ready tells whether the process takes requests.
func (p *Proxy) Ready() bool { return p.ready.Load() && !p.draining.Load() }

// reportStatus tells control how this router is.
func (p *Proxy) reportStatus() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control == nil {
		return
	}
	p.control.stream.Send(update.Message{Proxy: &update.Proxy{Name: p.Settings.Name, Zone: p.Settings.Zone, IP: p.Settings.IP,
		Address: p.Settings.ListenAddresses["front"], Ready: p.Ready(), LacksCapacity: p.borrowing.Load(), RegisteredAt: p.subscribedAt}})
}

// RouteVersions are those of the routes that this router goes by, dropped ones too.
func (p *Proxy) RouteVersions() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]uint64{}
	for _, i := range p.endpoints.Set.All() {
		if i.Kind == config.KindRoutes {
			all[i.Name] = i.Version
		}
	}
	return all
}

// UsableHosts is how many hosts of a service this router may use as far as control has told.
func (p *Proxy) UsableHosts(service string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.endpoints.Hosts(service) {
		if h.Health == decision.Ready {
			n++
		}
	}
	return n
}

// runTicker looks whether this router is short, and writes the counters now and then.
func (p *Proxy) runTicker() {
	t := time.NewTicker(time.Duration(endpoint.CheckInterval))
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-t.C:
		case <-p.ctx.Done():
			return
		}
		p.reportOutliers()
		h := &p.forwarded
		if short := p.shortage.Check(int(h.all.Swap(0)), int(h.otherZone.Swap(0)), int(h.overShare.Swap(0))); p.borrowing.Swap(short) != short {
			klog.InfoS("short of room in the zone", "is", short)
			p.reportStatus()
		}
		if n%20 == 0 {
			p.removeStaleHosts()
			p.LogCounters()
		}
	}
}
