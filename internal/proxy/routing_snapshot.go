package proxy

import (
	"k8s.io/klog/v2"

	"portflow/internal/cluster/config"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/endpoint"
)

// routingSnapshot is what requests are routed by. It is immutable: publish replaces it as a whole.
type routingSnapshot struct {
	routing     *config.RoutingTable
	services    map[string]*service
	proxies     endpoint.ProxyList
	listVersion int              // version of the proxy list
	rank        int              // of this proxy on the list
	count       int              // of proxies on the list
	counted     bool             // this proxy is on the list by control's word, not only by its own
	history     endpoint.History // of the proxy list
}

// publish makes a snapshot of the endpoint table after changes, and notifies the decision engines of them. The caller holds the
// lock of the proxy, or nothing else runs yet.
func (p *Proxy) publish(c endpoint.Changes) {
	next := routingSnapshot{}
	if old := p.snapshot.Load(); old != nil {
		next = *old
	}
	if c.Routing || next.routing == nil {
		c.Services = p.rebuildRouting(&next, c.Services)
	}
	if c.Proxies || next.proxies == nil {
		p.rebuildProxyList(&next)
	}
	if c.Routing || c.Proxies {
		p.updateMeters(next.routing, next.count)
	}
	p.snapshot.Store(&next)
	for name := range c.Services {
		if s := p.services[name]; s != nil {
			p.publishHosts(s)
		}
	}
}

// rebuildRouting replaces a snapshot's routing table and services, and starts services that are new. It returns the changed services
// with those added.
func (p *Proxy) rebuildRouting(next *routingSnapshot, changed map[string]bool) map[string]bool {
	next.routing = next.routing.Rebuild(p.endpoints.Set)
	for _, item := range next.routing.Inactive {
		klog.InfoS("yields", "item", item)
	}
	for name := range next.routing.Services {
		if p.services[name] != nil {
			continue
		}
		p.services[name] = p.startService(name)
		if changed == nil {
			changed = map[string]bool{}
		}
		changed[name] = true
	}
	next.services = make(map[string]*service, len(p.services))
	for name, s := range p.services {
		next.services[name] = s
	}
	return changed
}

// rebuildProxyList replaces a snapshot's proxy list, and notifies the decision engines of this proxy's rank.
func (p *Proxy) rebuildProxyList(next *routingSnapshot) {
	p.history = p.history.Append(p.clock(), next.proxies, next.counted)
	next.history = p.history
	next.listVersion++
	next.rank, next.count, next.proxies, next.counted = p.endpoints.ProxyRank()
	for _, s := range p.services {
		s.dispatcher.Post(dispatch.RankChanged{Rank: next.rank, Routers: next.count})
	}
}

// publishHosts notifies a service's decision engine of its hosts and of its rollout.
func (p *Proxy) publishHosts(s *service) {
	s.updateHosts(p.endpoints.InstancesOf(s.name), p.endpoints.Ejections)
	hosts := p.endpoints.Hosts(s.name)
	if r := p.endpoints.Rollout(s.name); r != s.rollout {
		if s.rollout.Number != r.Number || s.rollout.State != r.State {
			klog.InfoS("rollout", "service", s.name, "order", r.Number, "target", r.Target, "state", r.State)
		}
		s.rollout = r
		s.notifyRollout(r.DecisionInput(p.clock(), trialShare(p.Settings.Terms)))
	}
	s.dispatcher.Post(dispatch.HostsChanged{Kind: decision.Delta, Hosts: hosts})
	p.endpoints.ForgetGone(s.name)
}
