package quota

import (
	"maps"
	"math"
	"slices"
	"strings"

	"portflow/internal/cluster/config"
)

const (
	// AllocationInterval is the time between two dealings, nanoseconds; routers report as often.
	AllocationInterval = second / 5
	// GrowthDelay is for how long a part that has grown isn't used, nanoseconds: until all zones have heard of the demand that
	// made it grow and deal by it.
	GrowthDelay = 3 * second / 4
	// ZoneRetention is for how long a zone that isn't heard any more is dealt for, nanoseconds: longer than its control process needs
	// to notice that it hears too few others, and its routers' leases after that.
	ZoneRetention = 11 * second / 2
	// renewInterval is after how long an allotment is told again though it hasn't changed.
	renewInterval = second
	// calmPeriod is for how long a caller must not ask for more than its share, nor press at one router, until that ends.
	contentionTimeout = 5 * second
)

// ZoneUsage is what a zone tells the others of a share.
type ZoneUsage struct {
	Quota     string  `json:"s"`
	Demand    float64 `json:"w"`
	Admitted  uint64  `json:"t"`
	Allocated float64 `json:"d"` // to its routers now, for operators
	Rejected  uint64  `json:"a,omitempty"`
	OverQuota uint64  `json:"o,omitempty"`
	Short     bool    `json:"x,omitempty"` // some router needs more than it may give of itself
}

// Load is how quickly a service answers: what a router tells of itself, and a zone of its routers.
type Load struct {
	Service   string  `json:"s"`
	Completed float64 `json:"n"` // a second, of late
	Work      float64 `json:"w"` // seconds of hosts' work in them
}

// rateSample is a part as it was worked out once.
type rateSample struct {
	at   int64
	rate float64
}

// participant is one router or one other zone that takes part in dealing.
type participant struct {
	reports     map[string]Report
	lastReports map[string]Report // of a router, the last one of each share
	loads       []Load
	expiresAt   int64 // of a zone that isn't heard any more, 0 while it is
	usage       map[string]ZoneUsage
	admitted    map[string]uint64 // of a zone, as of the last sum of each share
	sent        map[string]Allocation
	sentAt      map[string]int64
}

// usageTotal is what all zones took of one share, counted here.
type usageTotal struct {
	admitted uint64
	samples  []struct {
		at         int64
		cumulative uint64
	}
}

// Allocator is one control process's part in dealing shares out. It is not safe for two goroutines.
type Allocator struct {
	quotas         map[string]config.Quota
	services       []string // the services that have shares
	proxies        map[string]*participant
	zones          map[string]*participant
	usage          map[string]*ZoneUsage   // this zone's, by share
	recentRates    map[string][]rateSample // this zone's, by share, of late
	smoothedDemand map[string]float64      // by share: what all ask for, over some time
	contendedAt    map[string]int64        // by share: when its caller was last seen to press
	totals         map[string]*usageTotal
	slots          map[string]int // by service, of hosts that may be used
	callers        map[string]*MinuteHistory
}

// NewAllocator makes one that knows of nothing.
func NewAllocator() *Allocator {
	return &Allocator{quotas: map[string]config.Quota{}, proxies: map[string]*participant{}, zones: map[string]*participant{},
		usage: map[string]*ZoneUsage{}, recentRates: map[string][]rateSample{}, contendedAt: map[string]int64{}, smoothedDemand: map[string]float64{}, totals: map[string]*usageTotal{}, slots: map[string]int{}, callers: map[string]*MinuteHistory{}}
}

// SetQuotas takes up the shares that stand; what is known of others goes.
func (a *Allocator) SetQuotas(byService map[string][]config.Quota) {
	a.quotas, a.services = map[string]config.Quota{}, nil
	for service, quotas := range byService {
		if len(quotas) > 0 {
			a.services = append(a.services, service)
		}
		for _, quota := range quotas {
			a.quotas[quota.Name] = quota
		}
	}
	removed := func(name string) bool { _, exists := a.quotas[name]; return !exists }
	maps.DeleteFunc(a.usage, func(name string, _ *ZoneUsage) bool { return removed(name) })
	maps.DeleteFunc(a.recentRates, func(name string, _ []rateSample) bool { return removed(name) })
	maps.DeleteFunc(a.contendedAt, func(name string, _ int64) bool { return removed(name) })
	maps.DeleteFunc(a.smoothedDemand, func(name string, _ float64) bool { return removed(name) })
	maps.DeleteFunc(a.totals, func(name string, _ *usageTotal) bool { return removed(name) })
	maps.DeleteFunc(a.callers, func(service string, _ *MinuteHistory) bool { return byService[service] == nil })
	for _, party := range a.proxies {
		maps.DeleteFunc(party.reports, func(name string, _ Report) bool { return removed(name) })
		maps.DeleteFunc(party.lastReports, func(name string, _ Report) bool { return removed(name) })
		maps.DeleteFunc(party.sent, func(name string, _ Allocation) bool { return removed(name) })
	}
	for _, party := range a.zones {
		maps.DeleteFunc(party.admitted, func(name string, _ uint64) bool { return removed(name) })
		maps.DeleteFunc(party.usage, func(name string, _ ZoneUsage) bool { return removed(name) })
	}
}

// Empty tells whether there is nothing to deal.
func (a *Allocator) Empty() bool { return len(a.quotas) == 0 }

// SetSlots tells how many requests the hosts of each service may work on at once.
func (a *Allocator) SetSlots(all map[string]int) { a.slots = all }

// AddRouter takes a router of this zone up, which may have nothing to report.
func (a *Allocator) AddRouter(proxy string) { a.proxy(proxy) }

func (a *Allocator) proxy(proxy string) *participant {
	p := a.proxies[proxy]
	if p == nil {
		p = &participant{reports: map[string]Report{}, lastReports: map[string]Report{}, sent: map[string]Allocation{}, sentAt: map[string]int64{}}
		a.proxies[proxy] = p
	}
	return p
}

// AddReports takes what a router of this zone reports: all that it sees press, and its loads where it tells them.
func (a *Allocator) AddReports(now int64, proxy string, reports []Report, loads []Load) {
	party := a.proxy(proxy)
	if party.reports = make(map[string]Report, len(reports)); loads != nil { // else as they were
		party.loads = loads
	}
	for _, report := range reports {
		if _, exists := a.quotas[report.Quota]; !exists || !(report.Demand >= 0 && report.Demand < 1e9) {
			continue
		}
		party.reports[report.Quota] = report
		usage := a.usage[report.Quota]
		if usage == nil {
			usage = &ZoneUsage{Quota: report.Quota}
			a.usage[report.Quota] = usage
		}
		last := party.lastReports[report.Quota] // it may have had nothing to report in between
		if report.Admitted < last.Admitted {    // its meter has begun anew
			last = Report{}
		}
		party.lastReports[report.Quota] = report
		admitted := min(report.Admitted-last.Admitted, uint64(report.Recent)+1) // what came while it had nothing to report is mostly long past
		usage.Admitted += admitted
		usage.Rejected += report.Rejected - last.Rejected
		usage.OverQuota += report.OverQuota - last.OverQuota
		a.total(report.Quota).admitted += admitted
	}
}

// RemoveRouter forgets a router of this zone.
func (a *Allocator) RemoveRouter(proxy string) { delete(a.proxies, proxy) }

// MergeZone takes another zone's sums.
func (a *Allocator) MergeZone(now int64, zone string, zoneUsage []ZoneUsage, loads []Load) {
	party := a.zones[zone]
	if party == nil {
		party = &participant{usage: map[string]ZoneUsage{}, admitted: map[string]uint64{}}
		a.zones[zone] = party
	}
	if party.expiresAt = 0; loads != nil {
		party.loads = loads
	}
	party.usage = make(map[string]ZoneUsage, len(zoneUsage))
	for _, usage := range zoneUsage {
		if _, exists := a.quotas[usage.Quota]; !exists || !(usage.Demand >= 0 && usage.Demand < 1e9) {
			continue
		}
		party.usage[usage.Quota] = usage
		if last, known := party.admitted[usage.Quota]; known && usage.Admitted >= last {
			a.total(usage.Quota).admitted += usage.Admitted - last
		}
		party.admitted[usage.Quota] = usage.Admitted
	}
}

// ZoneLost notes that a zone's control process isn't heard any more: what it wanted last is kept for it for a while.
func (a *Allocator) ZoneLost(now int64, zone string) {
	if p := a.zones[zone]; p != nil && p.expiresAt == 0 {
		p.expiresAt = now + ZoneRetention
	}
}

func (a *Allocator) total(quota string) *usageTotal {
	total := a.totals[quota]
	if total == nil {
		total = &usageTotal{}
		a.totals[quota] = total
	}
	return total
}

// admittedInWindow is what all zones took of a share within the last Window.
func (t *usageTotal) admittedInWindow(now int64) float64 {
	for len(t.samples) > 0 && now-t.samples[0].at > LimitWindow {
		t.samples = t.samples[1:]
	}
	t.samples = append(t.samples, struct {
		at         int64
		cumulative uint64
	}{now, t.admitted})
	return float64(t.admitted - t.samples[0].cumulative)
}

// activeQuotas are the shares that anybody tells of or has told of, by name: the others, most of them where there are many, have
// nothing to be dealt and cost nothing.
func (a *Allocator) activeQuotas() []string {
	names := map[string]bool{}
	for _, p := range a.proxies {
		for name := range p.reports {
			names[name] = true
		}
	}
	for _, p := range a.zones {
		for name := range p.usage {
			names[name] = true
		}
	}
	for name := range a.usage {
		names[name] = true
	}
	for name := range a.smoothedDemand {
		names[name] = true
	}
	for name := range a.totals {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// Allocate is for every DealEvery: it works out what each router of this zone has, and tells what is new to each. parties whose
// time is over go.
func (a *Allocator) Allocate(now int64) (allocations map[string][]Allocation) {
	maps.DeleteFunc(a.zones, func(_ string, party *participant) bool { return party.expiresAt != 0 && now >= party.expiresAt })
	allocations = map[string][]Allocation{}
	for _, name := range a.activeQuotas() {
		quota, exists := a.quotas[name]
		if !exists || quota.WatchOnly {
			continue
		}
		limit := a.limit(quota)
		zoneDemand, totalDemand, shortage := 0.0, 0.0, false
		for _, party := range a.proxies {
			zoneDemand += party.reports[name].Demand
			shortage = shortage || party.reports[name].Short
		}
		if usage := a.usage[name]; usage != nil {
			usage.Demand, usage.Short, usage.Allocated = zoneDemand, shortage, 0
		}
		totalDemand = zoneDemand
		for _, party := range a.zones {
			totalDemand += party.usage[name].Demand
			shortage = shortage || party.usage[name].Short
		}
		if totalDemand == 0 && a.smoothedDemand[name] == 0 && a.totals[name] == nil { // nobody has reported it
			continue
		}
		a.smoothedDemand[name] += (totalDemand - a.smoothedDemand[name]) * 0.1 // over some two seconds
		if shortage || a.smoothedDemand[name] > limit {
			a.contendedAt[name] = now
		}
		lastContended, contended := a.contendedAt[name]
		used, rate := a.total(name).admittedInWindow(now), 0.0
		if contended = contended && now-lastContended < contentionTimeout; !contended { // where any router sees the caller often all are told what all took
			delete(a.recentRates, name)
			delete(a.contendedAt, name)
			for proxy, party := range a.proxies {
				if totalDemand == 0 {
					delete(party.sent, name)
					delete(party.sentAt, name)
				} else if now-party.sentAt[name] >= renewInterval || !party.sent[name].Calm {
					allocation := Allocation{Quota: name, Used: math.Round(used), Calm: true}
					party.sent[name], party.sentAt[name] = allocation, now
					allocations[proxy] = append(allocations[proxy], allocation)
				}
			}
			continue
		}
		if totalDemand > 0 {
			rate = (1 - EvenFraction) * limit * zoneDemand / totalDemand
		}
		zoneRate := a.minRecentRate(name, now, rate)
		if usage := a.usage[name]; usage != nil {
			usage.Allocated = roundDown(zoneRate)
		}
		for proxy, party := range a.proxies {
			allocation := Allocation{Quota: name, Used: math.Round(used)}
			if report := party.reports[name]; zoneDemand > 0 {
				allocation.Rate = roundDown(zoneRate * report.Demand / zoneDemand)
			}
			previous, wasSent := party.sent[name]
			if since := now - party.sentAt[name]; !wasSent || previous.Calm || since >= renewInterval || allocation.Rate < previous.Rate*0.98 || allocation.Rate > previous.Rate*1.05 ||
				math.Abs(allocation.Used-previous.Used) > 0.02*limit*float64(LimitWindow/second) {
				party.sent[name], party.sentAt[name] = allocation, now
				allocations[proxy] = append(allocations[proxy], allocation)
			}
		}
	}
	return allocations
}

// roundDown keeps three figures, downwards.
func roundDown(x float64) float64 {
	if x <= 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(x))-2)
	return math.Floor(x/unit) * unit
}

// minRecentRate is the least part that this zone has had of late; of a caller that has only begun to press it had none.
func (a *Allocator) minRecentRate(quota string, now int64, rate float64) float64 {
	samples := a.recentRates[quota]
	if len(samples) == 0 {
		samples = append(samples, rateSample{now, 0})
	}
	samples = append(samples, rateSample{now, rate})
	for len(samples) > 1 && now-samples[1].at >= GrowthDelay { // the one before the window's first still held in it
		samples = samples[1:]
	}
	a.recentRates[quota] = samples
	lowest := rate
	for _, sample := range samples {
		lowest = min(lowest, sample.rate)
	}
	return lowest
}

// Usage is what the other zones are to know now.
func (a *Allocator) Usage() (usage []ZoneUsage, loads []Load) {
	for _, name := range slices.Sorted(maps.Keys(a.usage)) {
		if _, contended := a.contendedAt[name]; contended || a.usage[name].Demand > 0 {
			usage = append(usage, *a.usage[name])
		}
	}
	return usage, a.loads()
}

// loads are this zone's, by service.
func (a *Allocator) loads() (loads []Load) {
	byService := map[string]Load{}
	for _, party := range a.proxies {
		for _, load := range party.loads {
			sum := byService[load.Service]
			byService[load.Service] = Load{load.Service, sum.Completed + load.Completed, sum.Work + load.Work}
		}
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		loads = append(loads, byService[service])
	}
	return loads
}

// limit is how many requests a second a share has at present.
func (a *Allocator) limit(quota config.Quota) float64 {
	if quota.Fraction == 0 {
		return quota.Rate
	}
	return max(quota.Rate, quota.Fraction*a.Capacity(quota.Service))
}

// Capacity is how many requests a second the hosts of a service can answer at present, by their slots and by how long answers
// took all routers of late; 0 where nothing is known.
func (a *Allocator) Capacity(service string) float64 {
	all := a.loads()
	for _, party := range a.zones {
		all = append(all, party.loads...)
	}
	completed, work := 0.0, 0.0
	for _, load := range all {
		if load.Service == service {
			completed += load.Completed
			work += load.Work
		}
	}
	if completed < 0.5 || work <= 0 {
		return 0
	}
	return roundDown(float64(a.slots[service]) * completed / work)
}

// Capacities is that of all services that have shares, where it is known.
func (a *Allocator) Capacities() map[string]float64 {
	all := map[string]float64{}
	for _, service := range a.services {
		if capacity := a.Capacity(service); capacity > 0 {
			all[service] = capacity
		}
	}
	return all
}

// AddCallerCounts takes the callers that a router has counted.
func (a *Allocator) AddCallerCounts(now int64, service string, all []CallerCount) {
	history := a.callers[service]
	if history == nil {
		history = NewMinuteHistory(1000)
		a.callers[service] = history
	}
	history.Add(now, all)
}

// Status is a share as operators see it at one control process.
type Status struct {
	Quota   string       `json:"share"`
	Service string       `json:"service"`
	Caller  string       `json:"caller"`
	Limit   float64      `json:"limit"` // requests a second
	Used    float64      `json:"used"`  // of late, over all zones, requests a second
	Zones   []ZoneStatus `json:"zones"`
}

// ZoneStatus is one zone's part of a share.
type ZoneStatus struct {
	Zone      string  `json:"zone"`
	Demand    float64 `json:"want"`  // requests a second
	Allocated float64 `json:"dealt"` // beside its even part
	Rejected  uint64  `json:"away"`  // sent away since its control process began
	OverQuota uint64  `json:"over"`  // taken though the caller was over its share
}

// Statuses are all shares, by name.
func (a *Allocator) Statuses(now int64, zone string) (all []Status) {
	for _, name := range slices.Sorted(maps.Keys(a.quotas)) {
		quota := a.quotas[name]
		status := Status{Quota: name, Service: quota.Service, Caller: quota.Caller, Limit: a.limit(quota)}
		if total := a.totals[name]; total != nil && len(total.samples) > 0 {
			status.Used = float64(total.admitted-total.samples[0].cumulative) / max(1, float64(now-total.samples[0].at)/float64(second))
		}
		if usage := a.usage[name]; usage != nil {
			status.Zones = append(status.Zones, ZoneStatus{zone, usage.Demand, usage.Allocated, usage.Rejected, usage.OverQuota})
		}
		for otherZone, party := range a.zones {
			if usage, exists := party.usage[name]; exists {
				status.Zones = append(status.Zones, ZoneStatus{otherZone, usage.Demand, usage.Allocated, usage.Rejected, usage.OverQuota})
			}
		}
		slices.SortFunc(status.Zones, func(a, b ZoneStatus) int { return strings.Compare(a.Zone, b.Zone) })
		all = append(all, status)
	}
	return all
}

// LastHour is a service's callers of the last hour, as the routers of this zone counted them.
func (a *Allocator) LastHour(now int64) map[string][]CallerHistory {
	all := map[string][]CallerHistory{}
	for service, h := range a.callers {
		all[service] = h.All(now)
	}
	return all
}
