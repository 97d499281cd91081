package server

import (
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/update"
	"portflow/internal/control/registry"
	"portflow/internal/quota"
)

// loadTicks is the number of ticks between announcements of loads and capacities.
const loadTicks = ticksPerSecond

// quotaAllocation allocates callers' quotas to the proxies that subscribe here. The server's mu guards it.
type quotaAllocation struct {
	allocator *quota.Allocator
	checksum  uint64 // checksum of the quotas and services last passed to allocator
	announced bool   // the usage last sent to the other control processes was not empty
}

func newQuotaAllocation() quotaAllocation { return quotaAllocation{allocator: quota.NewAllocator()} }

// update passes the configured quotas to the allocator if they have changed.
func (q *quotaAllocation) update(set *config.Set) {
	if checksum := set.QuotaChecksum(); checksum != q.checksum {
		q.checksum = checksum
		q.allocator.SetQuotas(config.BuildQuotas(set))
	}
}

// usage returns the usage and the loads reported by this zone's proxies. announce reports whether to send the usage to the other control
// processes; they are sent an empty one only once.
func (q *quotaAllocation) usage() (usage []quota.ZoneUsage, loads []quota.Load, announce bool) {
	usage, loads = q.allocator.Usage()
	announce = len(usage) > 0 || q.announced
	q.announced = len(usage) > 0
	return usage, loads, announce
}

// handleQuotaReport handles a proxy's report of its callers' usage. The caller holds mu.
func (s *Server) handleQuotaReport(proxy string, report update.QuotaUpdate) {
	now := s.clock()
	allocator := s.quotas.allocator
	allocator.AddReports(now, proxy, report.Reports, report.Loads)
	for service, counts := range report.Callers {
		allocator.AddCallerCounts(now, service, counts)
	}
}

// allocateQuotas allocates callers' quotas to the proxies that subscribe here and sends the usage of these proxies to the other control
// processes. round counts the ticks. It does nothing while no quotas are configured. The caller holds mu.
func (s *Server) allocateQuotas(round int) {
	s.quotas.update(s.state.Set)
	allocator := s.quotas.allocator
	if allocator.Empty() {
		return
	}
	allocator.SetSlots(s.slotsByService())
	for sub := range s.subscriptions.subscribers {
		if sub.proxy.Name != "" {
			allocator.AddRouter(sub.proxy.Name)
		}
	}
	var allocations map[string][]quota.Allocation
	if s.state.Status() == registry.HasQuorum { // without a quorum, allocations expire with their leases
		allocations = allocator.Allocate(s.clock())
	}
	var capacities map[string]float64
	if round%loadTicks == 0 {
		capacities = allocator.Capacities()
	}
	usage, loads, announce := s.quotas.usage()
	if round%loadTicks != 0 {
		loads = nil
	}
	for sub := range s.subscriptions.subscribers {
		own := allocations[sub.proxy.Name]
		switch {
		case sub.identity.Control && (announce || len(loads) > 0):
			sub.stream.Send(update.Message{Quota: &update.QuotaUpdate{ZoneUsage: usage, Loads: loads}})
		case !sub.identity.Control && (len(own) > 0 || len(capacities) > 0):
			sub.stream.Send(update.Message{Quota: &update.QuotaUpdate{Allocations: own, Capacity: capacities}})
		}
	}
}

// slotsByService returns the total slots of the ready hosts of each service. The caller holds mu.
func (s *Server) slotsByService() map[string]int {
	slots := map[string]int{}
	for _, host := range s.state.Instances.All() {
		if host.State == instance.Ready && !host.Unresponsive {
			slots[host.Service] += host.Slots
		}
	}
	return slots
}
