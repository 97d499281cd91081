package proxy

import (
	"time"

	"portflow/internal/cluster/update"
	"portflow/internal/decision"
	"portflow/internal/quota"
)

const (
	loadTimeConstant = 3 * second  // nanoseconds, for the decay of service.load
	minLoadAnswers   = 0.1         // decayed count of answers up to which no load is reported
	loadInterval     = second      // nanoseconds between two reports of the loads of services
	callersInterval  = 10 * second // nanoseconds between two reports of the request counts of callers
)

// reportQuotas reports the demand of callers with quotas to control until the proxy's context is done. It is started with the first quota.
func (p *Proxy) reportQuotas() {
	t := time.NewTicker(time.Duration(quota.AllocationInterval))
	defer t.Stop()
	for n := int64(1); ; n++ {
		select {
		case <-t.C:
		case <-p.ctx.Done():
			return
		}
		withLoads := n%(loadInterval/quota.AllocationInterval) == 0
		withCallers := n%(callersInterval/quota.AllocationInterval) == 0
		p.sendQuotaReport(withLoads, withCallers)
	}
}

// sendQuotaReport sends control the demand of callers. withLoads adds the loads of the services, withCallers the request counts of callers.
func (p *Proxy) sendQuotaReport(withLoads, withCallers bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := update.QuotaUpdate{Callers: map[string][]quota.CallerCount{}}
	snapshot := p.snapshot.Load()
	for name, s := range p.services {
		if snapshot.routing.Quotas[name] != nil {
			s.addQuotaReport(&report, p.evenSlotShare(name, snapshot), withLoads, withCallers)
		}
	}
	hasContent := len(report.Reports) > 0 || len(report.Loads) > 0 || withCallers
	if p.control != nil && (hasContent || p.reportedDemand) { // also sent once when demand has ended
		p.control.stream.Send(update.Message{Quota: &report})
	}
	p.reportedDemand = len(report.Reports) > 0
}

// addQuotaReport adds the data of a service to a report.
func (s *service) addQuotaReport(report *update.QuotaUpdate, evenSlots float64, withLoads, withCallers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meter == nil {
		return
	}
	now := s.proxy.clock()
	s.evenSlots = evenSlots
	report.Reports = append(report.Reports, s.meter.Reports(now)...)
	s.load.Decay(now, loadTimeConstant)
	if withLoads && s.load.Count > minLoadAnswers {
		seconds := float64(loadTimeConstant) / float64(second)
		report.Loads = append(report.Loads, quota.Load{Service: s.name, Completed: s.load.Count / seconds, Work: s.load.Total / seconds})
	}
	if withCallers {
		report.Callers[s.name] = s.meter.DrainCallerCounts()
	}
}

// evenSlotShare returns the slots of a service's ready hosts divided by the number of ready proxies, both in this proxy's zone. If the zone
// has no slots, both are counted in the region, and if that has none either, everywhere. The caller holds Proxy.mu.
func (p *Proxy) evenSlotShare(name string, snapshot *routingSnapshot) float64 {
	var slots [3]float64 // by distance
	for _, h := range p.endpoints.Hosts(name) {
		if h.Health == decision.Ready {
			slots[h.Distance] += h.Capacity
		}
	}
	var proxies [3]int // by distance
	for zone, list := range snapshot.proxies {
		proxies[p.endpoints.ZoneDistance(zone)] += len(list)
	}
	sum, n := 0.0, 0
	for distance := range slots {
		sum += slots[distance]
		n += proxies[distance]
		if sum > 0 {
			break
		}
	}
	return sum / float64(max(1, n))
}
