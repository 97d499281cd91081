package quota

import (
	"maps"
	"math"
	"slices"
	"strings"

	"portflow/internal/cluster/config"
)

const (
	// AllocationInterval is the time in nanoseconds between two calls of Allocate. Proxies report their demand at the same interval.
	AllocationInterval = second / 5
	// GrowthDelay is the time in nanoseconds by which an increase of a zone's rate is delayed. By then all zones have received the
	// demand that caused the increase and allocate accordingly; earlier, the zones' rates could add up to more than the quota.
	GrowthDelay = 3 * second / 4
	// ZoneRetention is the time in nanoseconds for which the demand of an unreachable zone still counts. It exceeds the time that the
	// zone's control process takes to notice that it lost its quorum, plus the LeaseDuration of its proxies.
	ZoneRetention = 11 * second / 2
	// renewInterval is the time in nanoseconds after which an unchanged allocation is sent again; it is shorter than LeaseDuration.
	renewInterval = second
	// contentionTimeout is the time in nanoseconds for which a quota stays contended after demand last exceeded it, or a proxy was
	// last short of it.
	contentionTimeout = 5 * second
)

// ZoneUsage is the usage of one quota in one zone, as its control process sends it to the other zones. Admitted, Rejected and
// OverQuota are cumulative numbers of requests.
type ZoneUsage struct {
	Quota     string  `json:"s"`
	Demand    float64 `json:"w"` // requests per second
	Admitted  uint64  `json:"t"`
	Allocated float64 `json:"d"` // requests per second leased to the zone's proxies; only shown to operators
	Rejected  uint64  `json:"a,omitempty"`
	OverQuota uint64  `json:"o,omitempty"`
	Short     bool    `json:"x,omitempty"` // at least one proxy of the zone is short, see Report.Short
}

// Load is the recent throughput of a service and the host time spent on it, as seen by one proxy or by all proxies of a zone.
// Work/Completed is the mean service time in seconds.
type Load struct {
	Service   string  `json:"s"`
	Completed float64 `json:"n"` // requests completed per second
	Work      float64 `json:"w"` // seconds of host time per second
}

// rateSample is a zone's rate for one quota as computed by one call of Allocate.
type rateSample struct {
	at   int64
	rate float64
}

// participant is a proxy of this zone or another zone. All maps are by quota.
type participant struct {
	reports     map[string]Report // of a proxy: its current report
	lastReports map[string]Report // of a proxy: the last report of each quota, also of those that the current report omits
	loads       []Load
	expiresAt   int64 // of a zone: when it is removed if it stays unreachable; 0 while it is reachable
	usage       map[string]ZoneUsage
	admitted    map[string]uint64 // of a zone: ZoneUsage.Admitted as last received
	sent        map[string]Allocation
	sentAt      map[string]int64
}

// usageTotal is the number of requests that all zones admitted within one quota, as counted by this process.
type usageTotal struct {
	admitted uint64
	samples  []struct { // one for each call of admittedInWindow, the oldest first
		at         int64
		cumulative uint64
	}
}

// Allocator divides quotas among zones and proxies. There is one in each control process, which allocates to the proxies of its own
// zone. It is not safe for concurrent use.
type Allocator struct {
	quotas         map[string]config.Quota
	services       []string // services that have quotas
	proxies        map[string]*participant
	zones          map[string]*participant
	usage          map[string]*ZoneUsage     // of this zone, by quota
	recentRates    map[string][]rateSample   // of this zone, by quota, covering GrowthDelay
	smoothedDemand map[string]float64        // by quota: moving average of the demand of all zones, in requests per second
	contendedAt    map[string]int64          // by quota: when it was last contended; absent unless it is contended
	totals         map[string]*usageTotal    // by quota
	slots          map[string]int            // by service, see SetSlots
	callers        map[string]*MinuteHistory // by service
}

// NewAllocator returns an allocator without quotas, proxies or zones.
func NewAllocator() *Allocator {
	return &Allocator{quotas: map[string]config.Quota{}, proxies: map[string]*participant{}, zones: map[string]*participant{},
		usage: map[string]*ZoneUsage{}, recentRates: map[string][]rateSample{}, contendedAt: map[string]int64{}, smoothedDemand: map[string]float64{}, totals: map[string]*usageTotal{}, slots: map[string]int{}, callers: map[string]*MinuteHistory{}}
}

// SetQuotas replaces the configured quotas and drops the state of those that were removed.
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

// Empty reports whether no quotas are configured.
func (a *Allocator) Empty() bool { return len(a.quotas) == 0 }

// SetSlots sets, by service, the number of requests that its usable hosts together can process at once. The allocator keeps the map.
func (a *Allocator) SetSlots(all map[string]int) { a.slots = all }

// AddRouter adds a proxy of this zone, unless it exists already. A proxy without demand receives allocations too.
func (a *Allocator) AddRouter(proxy string) { a.proxy(proxy) }

func (a *Allocator) proxy(proxy string) *participant {
	p := a.proxies[proxy]
	if p == nil {
		p = &participant{reports: map[string]Report{}, lastReports: map[string]Report{}, sent: map[string]Allocation{}, sentAt: map[string]int64{}}
		a.proxies[proxy] = p
	}
	return p
}

// AddReports applies a report of a proxy of this zone. reports replaces the proxy's previous reports; loads replaces its loads unless it
// is nil. Reports of unknown quotas or with implausible demand are ignored.
func (a *Allocator) AddReports(now int64, proxy string, reports []Report, loads []Load) {
	party := a.proxy(proxy)
	if party.reports = make(map[string]Report, len(reports)); loads != nil {
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
		last := party.lastReports[report.Quota] // not necessarily of the previous call
		if report.Admitted < last.Admitted {    // the counters restarted at zero with a new meter
			last = Report{}
		}
		party.lastReports[report.Quota] = report
		// After a gap between reports, most of the difference is older than the window that Recent covers, and doesn't count.
		admitted := min(report.Admitted-last.Admitted, uint64(report.Recent)+1)
		usage.Admitted += admitted
		usage.Rejected += report.Rejected - last.Rejected
		usage.OverQuota += report.OverQuota - last.OverQuota
		a.total(report.Quota).admitted += admitted
	}
}

// RemoveRouter removes a proxy of this zone, and with it the proxy's demand.
func (a *Allocator) RemoveRouter(proxy string) { delete(a.proxies, proxy) }

// MergeZone applies the usage and loads received from another zone, which thereby counts as reachable. zoneUsage replaces the zone's
// previous usage; loads replaces its loads unless it is nil.
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

// ZoneLost records that the control process of a zone is unreachable. The zone's last demand counts for another ZoneRetention.
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

// admittedInWindow returns the number of requests that all zones admitted within the quota in the last LimitWindow. It adds a sample.
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

// activeQuotas returns the names of the quotas that any proxy or zone reports or has reported, sorted. Allocate skips the others, so
// that idle quotas cost nothing.
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

// Allocate computes the allocations of the proxies of this zone and returns, by proxy, those that are to be sent: new, notably changed
// or due for renewal. It is to be called every AllocationInterval. It also removes unreachable zones after ZoneRetention.
//
// A quota is contended if a proxy is short of it or the demand of all zones exceeds it, and for contentionTimeout afterwards. Then
//
//	zone rate  = (1 - EvenFraction) * limit * zone demand / total demand
//	proxy rate = zone rate * proxy demand / zone demand
//
// where an increase of the zone rate is delayed by GrowthDelay. EvenFraction * limit is not leased: the proxies divide it evenly.
// While a quota is not contended, nothing is leased, and proxies are only sent the usage.
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
		if totalDemand == 0 && a.smoothedDemand[name] == 0 && a.totals[name] == nil { // never reported
			continue
		}
		a.smoothedDemand[name] += (totalDemand - a.smoothedDemand[name]) * 0.1 // time constant of 10 AllocationIntervals
		if shortage || a.smoothedDemand[name] > limit {
			a.contendedAt[name] = now
		}
		lastContended, contended := a.contendedAt[name]
		used, rate := a.total(name).admittedInWindow(now), 0.0
		if contended = contended && now-lastContended < contentionTimeout; !contended { // send the usage to all proxies while there is demand
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

// roundDown rounds down to three significant digits; it returns 0 unless x is positive.
func roundDown(x float64) float64 {
	if x <= 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(x))-2)
	return math.Floor(x/unit) * unit
}

// minRecentRate adds the zone's newly computed rate for a quota and returns the lowest one in effect within the last GrowthDelay. Before
// the quota became contended, the rate was 0.
func (a *Allocator) minRecentRate(quota string, now int64, rate float64) float64 {
	samples := a.recentRates[quota]
	if len(samples) == 0 {
		samples = append(samples, rateSample{now, 0})
	}
	samples = append(samples, rateSample{now, rate})
	// Keep the last sample from before the period: its rate was in effect when the period began.
	for len(samples) > 1 && now-samples[1].at >= GrowthDelay {
		samples = samples[1:]
	}
	a.recentRates[quota] = samples
	lowest := rate
	for _, sample := range samples {
		lowest = min(lowest, sample.rate)
	}
	return lowest
}

// Usage returns what is to be sent to the other zones: the usage of this zone for quotas that are contended or have demand here, sorted
// by quota, and the zone's loads.
func (a *Allocator) Usage() (usage []ZoneUsage, loads []Load) {
	for _, name := range slices.Sorted(maps.Keys(a.usage)) {
		if _, contended := a.contendedAt[name]; contended || a.usage[name].Demand > 0 {
			usage = append(usage, *a.usage[name])
		}
	}
	return usage, a.loads()
}

// loads returns the total loads of this zone's proxies, sorted by service.
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

// limit returns the present limit of a quota over all zones, in requests per second.
func (a *Allocator) limit(quota config.Quota) float64 {
	if quota.Fraction == 0 {
		return quota.Rate
	}
	return max(quota.Rate, quota.Fraction*a.Capacity(quota.Service))
}

// Capacity returns the number of requests per second that the hosts of a service can complete at present, by Little's law:
//
//	capacity = slots / mean service time = slots * completed / work
//
// over the recent loads of all zones. It returns 0 where there are too few completed requests.
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

// Capacities returns the capacities of the services that have quotas, by service. Services of unknown capacity are left out.
func (a *Allocator) Capacities() map[string]float64 {
	all := map[string]float64{}
	for _, service := range a.services {
		if capacity := a.Capacity(service); capacity > 0 {
			all[service] = capacity
		}
	}
	return all
}

// AddCallerCounts adds the requests to a service, by caller, that a proxy has counted since its previous report.
func (a *Allocator) AddCallerCounts(now int64, service string, all []CallerCount) {
	history := a.callers[service]
	if history == nil {
		history = NewMinuteHistory(1000)
		a.callers[service] = history
	}
	history.Add(now, all)
}

// Status is the state of a quota as one control process shows it to operators.
type Status struct {
	Quota   string       `json:"share"`
	Service string       `json:"service"`
	Caller  string       `json:"caller"`
	Limit   float64      `json:"limit"` // requests per second
	Used    float64      `json:"used"`  // requests per second, recent mean over all zones
	Zones   []ZoneStatus `json:"zones"`
}

// ZoneStatus is the state of a quota in one zone.
type ZoneStatus struct {
	Zone      string  `json:"zone"`
	Demand    float64 `json:"want"`  // requests per second
	Allocated float64 `json:"dealt"` // requests per second leased to the zone's proxies, in addition to their even shares
	Rejected  uint64  `json:"away"`  // requests rejected since the zone's control process started
	OverQuota uint64  `json:"over"`  // requests admitted over the quota since then
}

// Statuses returns the state of all quotas, sorted by name. zone is the name of this control process's own zone.
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

// LastHour returns, by service, the callers of the last hour as counted by the proxies of this zone.
func (a *Allocator) LastHour(now int64) map[string][]CallerHistory {
	all := map[string][]CallerHistory{}
	for service, h := range a.callers {
		all[service] = h.All(now)
	}
	return all
}
