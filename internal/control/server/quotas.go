package server

import (
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/update"
	"portflow/internal/control/registry"
	"portflow/internal/quota"
)

// loadTicks is the number of ticks between two announcements of loads and capacities.
const loadTicks = ticksPerSecond

// quotaAllocation allocates callers' quotas to the proxies that subscribe here. The server's mu guards it.
type quotaAllocation struct {
	allocator *quota.Allocator
	checksum  uint64 // of the quotas and services that the allocator has
	announced bool   // the other control processes were sent usage the last time
}

func newQuotaAllocation() quotaAllocation { return quotaAllocation{allocator: quota.NewAllocator()} }

// update gives the allocator the configured quotas where they have changed.
func (q *quotaAllocation) update(set *config.Set) {
	if checksum := set.QuotaChecksum(); checksum != q.checksum {
		q.checksum = checksum
		q.allocator.SetQuotas(config.BuildQuotas(set))
	}
}

// usage is what this zone's proxies ask for, and whether the other control processes are to be sent it: also, once, that it is empty.
func (q *quotaAllocation) usage() (usage []quota.ZoneUsage, loads []quota.Load, announce bool) {
	usage, loads = q.allocator.Usage()
	announce = len(usage) > 0 || q.announced
	q.announced = len(usage) > 0
	return usage, loads, announce
}

// handleQuotaReport takes a proxy's report of its callers' usage. The caller holds mu.
func (s *Server) handleQuotaReport(proxy string, report update.QuotaUpdate) {
	now := s.clock()
	allocator := s.quotas.allocator
	allocator.AddReports(now, proxy, report.Reports, report.Loads)
	for service, counts := range report.Callers {
		allocator.AddCallerCounts(now, service, counts)
	}
}

// allocateQuotas allocates callers' quotas to the proxies that subscribe here, and sends the other control processes what these
// proxies ask for; round counts the ticks. Without quotas it does nothing but look for them. The caller holds mu.
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
	if s.state.Status() == registry.HasQuorum { // without quorum, what was allocated ends with its lease
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

// slotsByService are the slots of all ready hosts. The caller holds mu.
func (s *Server) slotsByService() map[string]int {
	slots := map[string]int{}
	for _, host := range s.state.Instances.All() {
		if host.State == instance.Ready && !host.Unresponsive {
			slots[host.Service] += host.Slots
		}
	}
	return slots
}
