package proxy

import (
	"time"

	"portflow/internal/cluster/update"
	"portflow/internal/decision"
	"portflow/internal/quota"
)

// censusEvery is the time between two times that the callers' counts are handed on, nanoseconds.
const censusEvery = 10 * second

// reportQuotas tells control what callers with shares ask for, until the process ends; it begins with the first share.
func (p *Proxy) reportQuotas() {
	t := time.NewTicker(time.Duration(quota.AllocationInterval))
	defer t.Stop()
	for n := int64(1); ; n++ {
		select {
		case <-t.C:
		case <-p.ctx.Done():
			return
		}
		p.sendQuotaReport(n%(second/quota.AllocationInterval) == 0, n%(censusEvery/quota.AllocationInterval) == 0)
	}
}

// sendQuotaReport tells what callers ask for; now and then also how quickly services answer, and which callers there were.
func (p *Proxy) sendQuotaReport(loads, census bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tons, v := update.QuotaUpdate{Callers: map[string][]quota.CallerCount{}}, p.snapshot.Load()
	for name, s := range p.services {
		if v.routing.Quotas[name] == nil {
			continue
		}
		slots := p.evenSlotShare(name, v)
		s.mu.Lock()
		if s.meter != nil {
			now := p.clock()
			s.evenSlots = slots
			tons.Reports = append(tons.Reports, s.meter.Reports(now)...)
			s.load.Decay(now, loadMemory)
			if memory := float64(loadMemory) / float64(second); loads && s.load.Count > 0.1 {
				tons.Loads = append(tons.Loads, quota.Load{Service: name, Completed: s.load.Count / memory, Work: s.load.Total / memory})
			}
			if census {
				tons.Callers[name] = s.meter.DrainCallerCounts()
			}
		}
		s.mu.Unlock()
	}
	something := len(tons.Reports) > 0 || len(tons.Loads) > 0 || census
	if p.control != nil && (something || p.reportedDemand) { // also that there is nothing any more
		p.control.stream.Send(update.Message{Quota: &tons})
	}
	p.reportedDemand = len(tons.Reports) > 0
}

// evenSlotShare is this router's even part of the slots of a service's hosts: of its zone's, where there are none of its region's,
// else of all. The caller holds the lock of the process.
func (p *Proxy) evenSlotShare(name string, v *routingSnapshot) float64 {
	var slots [3]float64
	for _, h := range p.endpoints.Hosts(name) {
		if h.Health == decision.Ready {
			slots[h.Distance] += h.Capacity
		}
	}
	routers := [3]int{}
	for z, all := range v.proxies {
		routers[p.endpoints.Ring(z)] += len(all)
	}
	sum, n := 0.0, 0
	for ring := range slots {
		if sum, n = sum+slots[ring], n+routers[ring]; sum > 0 {
			break
		}
	}
	return sum / float64(max(1, n))
}
