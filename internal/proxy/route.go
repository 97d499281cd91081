package proxy

import (
	"portflow/internal/cluster/config"
)

// chooseService is a route's service for one request, by the weights.
func (p *Proxy) chooseService(r *config.Route) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	sum := 0.0
	for _, w := range r.Backends {
		sum += w.Weight
	}
	at := p.randomFloat() * sum
	for _, w := range r.Backends {
		if at -= w.Weight; at < 0 {
			return w.Service
		}
	}
	return r.Backends[0].Service
}

// randomFloat is a number from [0, 1) by chance.
func (p *Proxy) randomFloat() float64 {
	p.randomMu.Lock()
	defer p.randomMu.Unlock()
	return p.random.Float64()
}
