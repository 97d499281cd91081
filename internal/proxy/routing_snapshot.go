package proxy

import (
	"k8s.io/klog/v2"

	"portflow/internal/cluster/config"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/endpoint"
)

// routingSnapshot is what requests go by; it is replaced as a whole.
type routingSnapshot struct {
	routing     *config.RoutingTable
	services    map[string]*service
	proxies     endpoint.ProxyList
	listVersion int // counts the rosters
	rank        int
	count       int
	counted     bool
	history     endpoint.History
}

// publish makes what the board now says what requests go by; the caller holds the lock, or nothing else runs yet.
func (p *Proxy) publish(c endpoint.Changes) {
	old := p.snapshot.Load()
	v := routingSnapshot{}
	if old != nil {
		v = *old
	}
	if c.Routing || v.routing == nil {
		v.routing = v.routing.Rebuild(p.endpoints.Set)
		for _, y := range v.routing.Inactive {
			klog.InfoS("yields", "item", y)
		}
		for name := range v.routing.Services {
			if p.services[name] == nil {
				p.services[name] = p.startService(name)
				if c.Services == nil {
					c.Services = map[string]bool{}
				}
				c.Services[name] = true
			}
		}
		v.services = make(map[string]*service, len(p.services))
		for name, s := range p.services {
			v.services[name] = s
		}
	}
	if c.Proxies || v.proxies == nil {
		p.history = p.history.Append(p.clock(), v.proxies, v.counted)
		v.history = p.history
		v.listVersion++
		v.rank, v.count, v.proxies, v.counted = p.endpoints.ProxyRank()
		for _, s := range p.services {
			s.dispatcher.Post(dispatch.RankChanged{Rank: v.rank, Routers: v.count})
		}
	}
	if c.Routing || c.Proxies {
		p.updateMeters(v.routing, v.count)
	}
	p.snapshot.Store(&v)
	for name := range c.Services {
		s := p.services[name]
		if s == nil {
			continue
		}
		s.updateHosts(p.endpoints.InstancesOf(name), p.endpoints.Ejections)
		all := p.endpoints.Hosts(name)
		if r := p.endpoints.Rollout(name); r != s.rollout {
			if s.rollout.Number != r.Number || s.rollout.State != r.State {
				klog.InfoS("rollout", "service", name, "order", r.Number, "target", r.Target, "state", r.State)
			}
			s.rollout = r
			s.notifyRollout(r.DecisionInput(p.clock(), trialShare(p.Settings.Terms)))
		}
		s.dispatcher.Post(dispatch.HostsChanged{Kind: decision.Delta, Hosts: all})
		p.endpoints.ForgetGone(name)
	}
}
