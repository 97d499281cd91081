package lab

import (
	"encoding/json"
	"slices"
	"strconv"

	"portflow/internal/cluster/config"
	"portflow/internal/quota"
)

const (
	peerTimeout   = int64(1800e6) // until a process notices that a peer is unreachable
	frameOverhead = 4             // bytes of a message in addition to its JSON
	noZone        = -1
)

// delayedCall is a message in flight; run delivers it.
type delayedCall struct {
	at  int64
	run func()
}

// delayQueue holds messages in flight. Due messages are delivered in the order in which they were posted.
type delayQueue struct{ pending []delayedCall }

func (q *delayQueue) post(at int64, run func()) { q.pending = append(q.pending, delayedCall{at, run}) }

func (q *delayQueue) runDue(now int64) {
	due := slices.DeleteFunc(slices.Clone(q.pending), func(c delayedCall) bool { return c.at > now })
	q.pending = slices.DeleteFunc(q.pending, func(c delayedCall) bool { return c.at <= now })
	for _, c := range due {
		c.run()
	}
}

// encodedSize returns the size of a message with v as its content.
func encodedSize(v any) int {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // reports and allocations have only numbers and strings
	}
	return len(raw) + frameOverhead
}

// allocatedQuota runs the meters of the proxies and the allocators of the control processes, with network delays between them.
type allocatedQuota struct {
	delayQueue
	meters             []*quota.Meter // by router
	routerUp           []bool
	allocators         []*quota.Allocator // by zone
	quotas             []config.Quota
	isolatedZone       int   // noZone for none
	partitionChangedAt int64 // start or end of the last partition
}

var _ quotaMethod = (*allocatedQuota)(nil)

func newAllocatedQuota(exp QuotaExperiment, quotas []config.Quota) *allocatedQuota {
	method := &allocatedQuota{quotas: quotas, isolatedZone: noZone}
	for range exp.Zones {
		allocator := quota.NewAllocator()
		allocator.SetQuotas(map[string][]config.Quota{quotaService: quotas})
		method.allocators = append(method.allocators, allocator)
	}
	for range exp.Routers {
		method.routerUp = append(method.routerUp, true)
		method.meters = append(method.meters, quota.NewMeter(quotas, exp.Routers, 0))
	}
	return method
}

func (m *allocatedQuota) zoneOf(router int) int { return router % len(m.allocators) }

func (m *allocatedQuota) allow(now int64, router int, caller string) quota.Decision {
	return m.meters[router].Admit(now, caller, false, quota.NoHeadroom)
}

func (m *allocatedQuota) setRouterUp(router int, up bool, now int64) {
	m.routerUp[router] = up
	if !up {
		m.allocators[m.zoneOf(router)].RemoveRouter(strconv.Itoa(router))
		return
	}
	m.meters[router] = quota.NewMeter(m.quotas, m.liveRouters(), now)
}

func (m *allocatedQuota) liveRouters() (live int) {
	for _, up := range m.routerUp {
		if up {
			live++
		}
	}
	return live
}

func (m *allocatedQuota) setPartition(zone int, partitioned bool, now int64) {
	m.isolatedZone = noZone
	m.partitionChangedAt = now
	if partitioned {
		m.isolatedZone = zone
	}
}

// partitionNoticed reports whether the processes have noticed the last start or end of a partition.
func (m *allocatedQuota) partitionNoticed(now int64) bool {
	return now-m.partitionChangedAt >= peerTimeout
}

func (m *allocatedQuota) step(now int64) (bytes int) {
	m.runDue(now)
	if now%quota.AllocationInterval != 0 {
		return 0
	}
	bytes = m.sendReports(now)
	for zone, allocator := range m.allocators {
		bytes += m.sendUsage(now, zone, allocator)
		if m.isolatedZone == zone && m.partitionNoticed(now) { // a control process without a quorum allocates nothing
			continue
		}
		bytes += m.sendAllocations(now, allocator)
	}
	return bytes
}

// sendReports sends the meters' reports to the allocators of their zones. Once per second, it also sets the meters' router count.
func (m *allocatedQuota) sendReports(now int64) (bytes int) {
	live := m.liveRouters()
	for router, meter := range m.meters {
		if !m.routerUp[router] {
			continue
		}
		if now%second == 0 {
			meter.SetQuotas(m.quotas, live, now)
		}
		reports := meter.Reports(now)
		if len(reports) > 0 {
			bytes += encodedSize(reports)
		}
		arrival := now + inZoneDelay
		m.post(arrival, func() {
			m.allocators[m.zoneOf(router)].AddReports(arrival, strconv.Itoa(router), reports, nil)
		})
	}
	return bytes
}

// sendUsage sends an allocator's usage to the allocators of the other zones, or reports the zone as lost to those that a partition
// separates from it.
func (m *allocatedQuota) sendUsage(now int64, zone int, allocator *quota.Allocator) (bytes int) {
	usage, _ := allocator.Usage() // the experiment has no loads
	name := strconv.Itoa(zone)
	for to, other := range m.allocators {
		switch {
		case to == zone:
		case m.isolatedZone == zone || m.isolatedZone == to:
			if m.partitionNoticed(now) {
				other.ZoneLost(now, name)
			}
		default:
			if len(usage) > 0 {
				bytes += encodedSize(usage)
			}
			arrival := now + interZoneDelay
			m.post(arrival, func() { other.MergeZone(arrival, name, usage, nil) })
		}
	}
	return bytes
}

// sendAllocations sends the allocations of a zone to its routers.
func (m *allocatedQuota) sendAllocations(now int64, allocator *quota.Allocator) (bytes int) {
	for name, allocations := range allocator.Allocate(now) {
		router, err := strconv.Atoi(name)
		if err != nil {
			panic(err) // sendReports names the routers by their numbers
		}
		bytes += encodedSize(allocations)
		arrival := now + inZoneDelay
		m.post(arrival, func() { m.meters[router].ApplyAllocations(arrival, allocations) })
	}
	return bytes
}
