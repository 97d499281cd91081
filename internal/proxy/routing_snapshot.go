package proxy

import (
	"k8s.io/klog/v2"

	"portflow/internal/cluster/config"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/endpoint"
)

// routingSnapshot has the state that requests are routed with. It is immutable; publish replaces it.
type routingSnapshot struct {
	routing     *config.RoutingTable
	services    map[string]*service
	proxies     endpoint.ProxyList
	listVersion int              // version of the proxy list
	rank        int              // of this proxy among the ready proxies
	count       int              // number of proxies on the list
	counted     bool             // control announces this proxy as ready; otherwise it was added to the list locally
	history     endpoint.History // recently replaced proxy lists
}

// publish replaces the snapshot after changes of the endpoint table, and notifies the decision engines of the changes. The caller holds
// Proxy.mu, unless no other goroutine of the proxy has been started yet.
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

// rebuildRouting replaces the routing table and the services of a snapshot, and starts new services. It returns the changed services
// including the new ones.
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

// rebuildProxyList replaces the proxy list of a snapshot, and notifies the decision engines of this proxy's rank.
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
