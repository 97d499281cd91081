package proxy

import (
	"time"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
	"portflow/internal/proxy/endpoint"
)

// ticksPerLogLine is the number of ticks between two log lines of counters.
const ticksPerLogLine = 20

// runTicker reports outliers and checks whether this proxy is short of capacity at each tick, and removes stale hosts and logs the
// counters every ticksPerLogLine ticks, until the proxy's context is done.
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
		p.checkShortage()
		if n%ticksPerLogLine == 0 {
			p.removeStaleHosts()
			p.LogCounters()
		}
	}
}

// checkShortage determines whether this proxy needs to borrow other proxies' shares of hosts, and reports a change to control.
func (p *Proxy) checkShortage() {
	all, otherZone, overShare := p.forwarded.all.Swap(0), p.forwarded.otherZone.Swap(0), p.forwarded.overShare.Swap(0)
	short := p.shortage.Check(int(all), int(otherZone), int(overShare))
	if p.borrowing.Swap(short) != short {
		klog.InfoS("zone is short of capacity", "is", short)
		p.reportStatus()
	}
}

// reportStatus sends this proxy's state to control.
func (p *Proxy) reportStatus() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control == nil {
		return
	}
	p.control.stream.Send(update.Message{Proxy: &update.Proxy{
		Name:          p.Settings.Name,
		Zone:          p.Settings.Zone,
		IP:            p.Settings.IP,
		Address:       p.Settings.ListenAddresses["front"],
		Ready:         p.Ready(),
		LacksCapacity: p.borrowing.Load(),
		RegisteredAt:  p.subscribedAt,
	}})
}

// Ready reports whether the proxy has received a complete snapshot from control and is not draining.
func (p *Proxy) Ready() bool { return p.ready.Load() && !p.draining.Load() }

// Item returns the item of a key that the proxy has received from control, and whether it exists. The item may be deleted.
func (p *Proxy) Item(k config.Key) (config.Item, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints.Set.Lookup(k)
}

// RouteVersions returns the versions of the known routes by name, including deleted routes whose tombstones are kept.
func (p *Proxy) RouteVersions() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := map[string]uint64{}
	for _, item := range p.endpoints.Set.All() {
		if item.Kind == config.KindRoutes {
			versions[item.Name] = item.Version
		}
	}
	return versions
}

// UsableHosts returns the number of a service's hosts that are ready, as of the last update from control.
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
