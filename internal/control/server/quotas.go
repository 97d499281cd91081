package server

import (
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/update"
	"portflow/internal/control/registry"
	"portflow/internal/quota"
)

// handleQuotaReport takes what a router tells of callers' shares; the caller holds the lock.
func (s *Server) handleQuotaReport(router string, report update.QuotaUpdate) {
	now := s.clock()
	s.allocator.AddReports(now, router, report.Reports, report.Loads)
	for service, census := range report.Callers {
		s.allocator.AddCallerCounts(now, service, census)
	}
}

// allocateQuotas deals callers' shares out to the routers that hang here, and tells the other control processes what these ask for. n
// counts the times. The caller holds the lock; where there are no shares it does nothing else than to see that.
func (s *Server) allocateQuotas(round int) {
	if sum := s.state.Set.QuotaChecksum(); sum != s.quotaSum {
		s.quotaSum = sum
		s.allocator.SetQuotas(config.BuildQuotas(s.state.Set))
	}
	if s.allocator.Empty() {
		return
	}
	now := s.clock()
	slots := map[string]int{}
	for _, host := range s.state.Instances.All() {
		if host.State == instance.Ready && !host.Unresponsive {
			slots[host.Service] += host.Slots
		}
	}
	s.allocator.SetSlots(slots)
	for sub := range s.subscribers {
		if sub.proxy.Name != "" {
			s.allocator.AddRouter(sub.proxy.Name)
		}
	}
	var allotments map[string][]quota.Allocation
	if s.state.Status() == registry.HasQuorum { // else what was dealt ends with its lease
		allotments = s.allocator.Allocate(now)
	}
	var carries map[string]float64
	if round%5 == 0 {
		carries = s.allocator.Capacities()
	}
	sums, loads := s.allocator.Usage()
	announce := len(sums) > 0 || s.sentSums // also that there are none any more
	s.sentSums = len(sums) > 0
	if round%5 != 0 {
		loads = nil
	}
	for sub := range s.subscribers {
		switch {
		case sub.identity.Control && (announce || len(loads) > 0):
			sub.stream.Send(update.Message{Quota: &update.QuotaUpdate{ZoneUsage: sums, Loads: loads}})
		case !sub.identity.Control && (len(allotments[sub.proxy.Name]) > 0 || len(carries) > 0):
			sub.stream.Send(update.Message{Quota: &update.QuotaUpdate{Allocations: allotments[sub.proxy.Name], Capacity: carries}})
		}
	}
}
