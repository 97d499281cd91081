package proxy

import (
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
	"portflow/internal/proxy/endpoint"
)

// outlierOutcomes is what the endings of hand-offs say of their hosts.
var outlierOutcomes = [...]outlier.Outcome{decision.Succeeded: outlier.Success, decision.Failed: outlier.Failure, decision.Rejected: outlier.Inconclusive,
	decision.TimedOut: outlier.Failure, decision.ConnectFailed: outlier.Inconclusive, decision.ConnectionReset: outlier.Failure, decision.Canceled: outlier.Inconclusive,
	decision.Unsent: outlier.Inconclusive, decision.InvalidAnswer: outlier.Failure}

// reportOutliers tells control of hosts that do badly, and goes on with those that come back.
func (p *Proxy) reportOutliers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, seen := p.clock(), map[string][]outlier.Stats{}
	for name, s := range p.services {
		s.mu.Lock()
		if all := s.outliers.Report(now); all != nil {
			seen[name] = all
		}
		s.mu.Unlock()
	}
	if len(seen) > 0 && p.control != nil {
		p.control.stream.Send(update.Message{Outliers: seen})
	}
	if services := p.endpoints.EndEjections(now); len(services) > 0 {
		p.publish(endpoint.Changes{Services: services})
	}
}

// markReplaced notes that a host's address is another's: it has ended without a word.
func (p *Proxy) markReplaced(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, ok := p.endpoints.Instances[id]; ok && !h.Unresponsive {
		h.Unresponsive = true
		p.endpoints.Instances[id] = h
		p.publish(endpoint.Changes{Services: map[string]bool{h.Service: true}})
	}
}

// removeStaleHosts lets hosts go that have been silent for long.
func (p *Proxy) removeStaleHosts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if services := p.endpoints.RemoveStale(p.clock()); len(services) > 0 {
		p.publish(endpoint.Changes{Services: services})
	}
}
