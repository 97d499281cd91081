package proxy

import (
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/update"
	"portflow/internal/proxy/endpoint"
)

// reportOutliers sends control the statistics of hosts with recent failures, and publishes the services with hosts whose ejection has
// ended.
func (p *Proxy) reportOutliers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	reports := map[string][]outlier.Stats{}
	for name, s := range p.services {
		s.mu.Lock()
		stats := s.outliers.Report(now)
		s.mu.Unlock()
		if stats != nil {
			reports[name] = stats
		}
	}
	if len(reports) > 0 && p.control != nil {
		p.control.stream.Send(update.Message{Outliers: reports})
	}
	if services := p.endpoints.EndEjections(now); len(services) > 0 {
		p.publish(endpoint.Changes{Services: services})
	}
}

// markReplaced marks a host as unresponsive because another host answers at its address: the host terminated without announcing it.
func (p *Proxy) markReplaced(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.endpoints.Instances[id]
	if !ok || h.Unresponsive {
		return
	}
	h.Unresponsive = true
	p.endpoints.Instances[id] = h
	p.publish(endpoint.Changes{Services: map[string]bool{h.Service: true}})
}

// removeStaleHosts removes hosts that have been unresponsive or missing for too long.
func (p *Proxy) removeStaleHosts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if services := p.endpoints.RemoveStale(p.clock()); len(services) > 0 {
		p.publish(endpoint.Changes{Services: services})
	}
}
