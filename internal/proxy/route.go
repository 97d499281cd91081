package proxy

import "portflow/internal/cluster/config"

// chooseService chooses a service of the route at random, by the weights of its backends.
func (p *Proxy) chooseService(route *config.Route) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	total := 0.0
	for _, backend := range route.Backends {
		total += backend.Weight
	}
	remaining := p.randomFloat() * total
	for _, backend := range route.Backends {
		if remaining -= backend.Weight; remaining < 0 {
			return backend.Service
		}
	}
	return route.Backends[0].Service
}

// randomFloat returns a random number in [0, 1).
func (p *Proxy) randomFloat() float64 {
	p.randomMu.Lock()
	defer p.randomMu.Unlock()
	return p.random.Float64()
}
