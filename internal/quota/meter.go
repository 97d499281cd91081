// Package quota enforces callers' quotas of services over all proxies, without communication on the path of a request. A Meter at
// each proxy admits or rejects requests by token buckets. An Allocator in each control process divides the quotas among zones and
// proxies in proportion to their demand, and leases the resulting rates to the proxies.
//
// The package does no input or output and starts no goroutine. Times are passed in as Unix nanoseconds.
package quota

import (
	"maps"
	"math"
	"slices"
	"strings"

	"portflow/internal/cluster/config"
)

const second = int64(1e9)

const (
	// UnknownCallerFactor is the multiple of its even share of a quota that a proxy admits without a lease. Most callers send few
	// requests in proportion to the number of proxies, spread them evenly and stay within their quotas; they need neither reports
	// nor leases.
	UnknownCallerFactor = 4
	// minBurst is the least capacity of a token bucket, in requests. With a capacity of 1, at least a tenth of the requests of a
	// caller within its quota would find no token.
	minBurst = 2
	// EvenFraction is the fraction of a contended quota that is divided evenly among all proxies regardless of demand. It lets a caller
	// start at a proxy that it hasn't used before, and a proxy continue that has lost its connection to control. The rest is leased
	// in proportion to demand.
	EvenFraction = 0.1
	// LeaseDuration is the time in nanoseconds for which an allocation is valid unless it is renewed.
	LeaseDuration = 3 * second
	// LimitWindow is the time in nanoseconds that the limits and usage stated to callers refer to.
	LimitWindow = 10 * second
	// reservedBurstFraction is the fraction of the burst that is reserved for non-idempotent requests.
	reservedBurstFraction = 0.2
)

// Headroom is the spare capacity of a service as seen by a proxy. It decides which requests over the quota are admitted.
type Headroom uint8

// The amounts of headroom.
const (
	AmpleHeadroom  Headroom = iota // admit all requests over the quota
	ScarceHeadroom                 // admit only non-idempotent ones
	NoHeadroom                     // admit none
)

// HeadroomFor returns the headroom for the fraction of its share of the hosts' slots that a proxy uses; it may exceed 1.
func HeadroomFor(used float64) Headroom {
	switch {
	case used < 0.7:
		return AmpleHeadroom
	case used < 0.85:
		return ScarceHeadroom
	}
	return NoHeadroom
}

// Decision is the result of Meter.Admit for one request. Quota, Limit, Remaining and Reset are set only if an enforced quota applies.
type Decision struct {
	Admitted   bool
	OverQuota  bool    // admitted over the quota; also set, even on rejection, if no quota applies
	Quota      string  // name of the quota
	Limit      float64 // requests per LimitWindow, over all proxies
	Remaining  float64 // estimate of what is left of Limit
	Reset      int64   // nanoseconds until Remaining equals Limit again, if no requests come
	RetryAfter int64   // of a rejected request: nanoseconds until a retry can expect a token
}

// bucket is the token bucket of one quota at one proxy.
type bucket struct {
	config.Quota
	limit            float64 // requests per second, over all proxies
	evenRate         float64 // limit divided by the number of proxies
	leasedRate       float64 // requests per second, until leaseEnd
	leaseEnd         int64   // in the past if there is no lease
	tokens           float64
	updatedAt        int64
	demand           float64 // requests per second: count of arrivals that decays with a time constant of 1 s
	recentRequests   float64 // count of arrivals that decays with a time constant of 10 s
	emptyAt          int64   // when a request last found no token
	admitted         uint64  // requests within the quota, since the bucket was created
	nextRetryAt      int64   // when the last rejected request may retry
	reportedUsage    float64 // Allocation.Used as last received
	reportedAt       int64   // when it was received
	admittedAtReport uint64  // admitted at that time
	rejected         uint64  // requests since the bucket was created
	overQuota        uint64  // requests admitted over the quota since then
}

// Meter applies the quotas of one service at one proxy. It is not safe for concurrent use.
type Meter struct {
	header       string
	otherCallers *bucket            // for callers without a quota of their own; nil if no such quota is configured
	byCaller     map[string]*bucket // by caller
	byQuota      map[string]*bucket // by name of the quota
	active       map[*bucket]bool   // buckets that may have something to report
	proxies      int
	capacity     float64 // requests per second that the service can complete, 0 if unknown
	callers      *CallerCounter
}

// NewMeter returns a meter, without leases, for the quotas of one service. proxies is the number of proxies that share the quotas.
func NewMeter(quotas []config.Quota, proxies int, now int64) *Meter {
	m := &Meter{byCaller: map[string]*bucket{}, active: map[*bucket]bool{}, callers: NewCallerCounter(MaxCallers)}
	m.SetQuotas(quotas, proxies, now)
	return m
}

// SetQuotas replaces the quotas and the number of proxies. Buckets of callers that still have a quota keep their state.
func (m *Meter) SetQuotas(quotas []config.Quota, proxies int, now int64) {
	m.proxies = max(1, proxies)
	old := m.byCaller
	m.byCaller, m.byQuota = make(map[string]*bucket, len(quotas)), make(map[string]*bucket, len(quotas))
	for _, quota := range quotas {
		m.header = quota.CallerHeader
		b := old[quota.Caller]
		if b == nil {
			b = &bucket{updatedAt: now, tokens: 1}
		}
		b.Quota = quota
		m.byCaller[quota.Caller], m.byQuota[quota.Name] = b, b
		m.updateRate(b)
	}
	m.otherCallers = m.byCaller[config.OtherCallers]
	maps.DeleteFunc(m.active, func(b *bucket, _ bool) bool { return m.byCaller[b.Caller] != b })
}

// SetCapacity sets the number of requests per second that the service can complete at present. Quotas with a Fraction depend on it.
func (m *Meter) SetCapacity(perSecond float64) {
	m.capacity = perSecond
	for _, b := range m.byCaller {
		m.updateRate(b)
	}
}

func (m *Meter) updateRate(b *bucket) {
	b.limit = max(b.Rate, b.Fraction*m.capacity)
	b.evenRate = b.limit / float64(m.proxies)
}

// CallerHeader returns the name of the request header that identifies the caller.
func (m *Meter) CallerHeader() string { return m.header }

// Admit decides about a request that arrives at now. caller is the value of the CallerHeader. Requests without a caller, or whose
// caller has no quota or an overlong name, are counted against the quota of config.OtherCallers, if there is one. headroom decides
// about requests that find no token.
func (m *Meter) Admit(now int64, caller string, idempotent bool, headroom Headroom) Decision {
	if len(caller) > config.MaxCallerBytes || caller == config.OtherCallers {
		caller = ""
	}
	m.callers.Add(caller)
	b := m.byCaller[caller]
	if b == nil || caller == "" {
		b = m.otherCallers
	}
	if b == nil { // no quota applies: admit as if over quota
		decision := Decision{Admitted: admitsOverQuota(headroom, idempotent), OverQuota: true}
		if !decision.Admitted {
			decision.RetryAfter = second
		}
		return decision
	}
	if b.WatchOnly {
		return Decision{Admitted: true}
	}
	m.active[b] = true
	b.refill(now)
	b.demand++
	b.recentRequests++
	decision := Decision{Quota: b.Name, Limit: b.limit * float64(LimitWindow/second)}
	needed := 1.0
	if idempotent && b.burst() > 1 { // the last tokens are reserved for non-idempotent requests
		needed += min(reservedBurstFraction*b.burst(), b.burst()-1)
	}
	if b.tokens < 1 {
		b.emptyAt = now
	}
	switch {
	case b.tokens >= needed:
		b.tokens--
		b.admitted++
		decision.Admitted = true
	case admitsOverQuota(headroom, idempotent):
		b.overQuota++
		decision.Admitted, decision.OverQuota = true, true
	default:
		b.rejected++
		rate := max(b.rate(now), 0.01)
		b.nextRetryAt = max(b.nextRetryAt, now) + int64(float64(second)/rate)
		decision.RetryAfter = min(b.nextRetryAt-now, LimitWindow)
		b.nextRetryAt = now + decision.RetryAfter
	}
	decision.Remaining = max(0, decision.Limit-b.windowUsage(now))
	if b.limit > 0 {
		decision.Reset = int64(min(float64(LimitWindow), (decision.Limit-decision.Remaining)/b.limit*float64(second)))
	}
	return decision
}

func admitsOverQuota(headroom Headroom, idempotent bool) bool {
	return headroom == AmpleHeadroom || headroom == ScarceHeadroom && !idempotent
}

// rate returns the requests per second that this proxy may admit at now.
func (b *bucket) rate(now int64) float64 {
	if now < b.leaseEnd {
		return EvenFraction*b.evenRate + b.leasedRate
	}
	return UnknownCallerFactor * b.evenRate
}

// burst returns the capacity of the bucket: the quota's burst in proportion to the rate of this proxy, but at least minBurst.
func (b *bucket) burst() float64 {
	if b.updatedAt >= b.leaseEnd {
		return max(minBurst, UnknownCallerFactor*b.Burst*b.evenRate/max(b.limit, 1e-9))
	}
	return max(minBurst, b.Burst*b.rate(b.updatedAt)/max(b.limit, 1e-9))
}

// seenByAllProxies reports whether a caller that uses its full limit evenly sends each proxy at least one request in 10 s. It is
// false for limits below 10 requests per second.
func (b *bucket) seenByAllProxies() bool { return b.evenRate*10 >= 1 && b.limit >= 10 }

// reportThreshold returns the least recentRequests at which a quota without shortage or lease may be reported.
func (b *bucket) reportThreshold() float64 {
	if b.seenByAllProxies() {
		return 0.9
	}
	return 3
}

func (b *bucket) refill(now int64) {
	if now <= b.updatedAt {
		return
	}
	if b.updatedAt < b.leaseEnd && b.leaseEnd < now { // the lease ended in between: the rate changes there
		b.refill(b.leaseEnd)
	}
	elapsed := float64(now-b.updatedAt) / float64(second)
	b.tokens = min(b.burst(), b.tokens+b.rate(b.updatedAt)*elapsed)
	b.demand *= math.Exp(-elapsed)
	b.recentRequests *= math.Exp(-elapsed / 10)
	b.updatedAt = now
}

// windowUsage estimates the number of requests that all proxies admitted in the last LimitWindow:
//
//	reportedUsage * (1 - age/LimitWindow) + admitted - admittedAtReport
//
// where age is the time since the usage was reported.
func (b *bucket) windowUsage(now int64) float64 {
	weight := 1 - float64(now-b.reportedAt)/float64(LimitWindow)
	if b.reportedAt > 0 && weight > 0 {
		return b.reportedUsage*weight + float64(b.admitted-b.admittedAtReport)
	}
	return b.recentRequests // no usage of other proxies is known
}

// Report is a proxy's report of one quota to control. Admitted, Rejected and OverQuota are cumulative numbers of requests.
type Report struct {
	Quota     string  `json:"s"`
	Demand    float64 `json:"w"` // requests per second
	Admitted  uint64  `json:"t"`
	Recent    float64 `json:"l"` // requests of about the last 10 s
	Rejected  uint64  `json:"a,omitempty"`
	OverQuota uint64  `json:"o,omitempty"`
	Short     bool    `json:"x,omitempty"` // demand exceeds what a proxy may admit without a lease
}

const (
	shortagePeriod = 2 * second // how long a bucket without a lease counts as short after a request found no token
	idleRequests   = 0.05       // recentRequests below which a bucket without a lease is inactive
)

// Reports returns reports, sorted by quota, of the quotas that are short here, that are leased and in use, or whose callers may
// exceed them over all proxies. With many proxies, callers with small quotas hardly ever qualify. It is to be called every
// AllocationInterval.
func (m *Meter) Reports(now int64) (reports []Report) {
	for a := range m.active {
		if a.WatchOnly {
			continue
		}
		a.refill(now)
		shortage := a.emptyAt > 0 && now-a.emptyAt < shortagePeriod
		if !shortage && now >= a.leaseEnd && a.recentRequests < idleRequests { // inactive until the next request or allocation
			delete(m.active, a)
			continue
		}
		if a.leaseEnd > now {
			shortage = a.demand > UnknownCallerFactor*a.evenRate
		}
		if shortage || a.recentRequests >= a.reportThreshold() && a.recentRequests/10 > a.evenRate/2 || a.leaseEnd > now && a.recentRequests > idleRequests {
			reports = append(reports, Report{a.Name, math.Round(a.demand*100) / 100, a.admitted, math.Round(a.recentRequests), a.rejected, a.overQuota, shortage})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return strings.Compare(a.Quota, b.Quota) })
	return reports
}

// Allocation is what control sends a proxy about one quota: the rate leased to the proxy if the quota is contended, and the quota's
// usage over all proxies.
type Allocation struct {
	Quota string  `json:"s"`
	Rate  float64 `json:"r"`           // requests per second, in addition to the proxy's even share
	Used  float64 `json:"u"`           // requests admitted by all proxies in the last LimitWindow
	Calm  bool    `json:"c,omitempty"` // the quota is not contended: nothing is leased, and Rate is unused
}

// ApplyAllocations applies allocations received at now. Each starts or renews a lease of LeaseDuration, or ends it if Calm is set. Leases
// of other quotas run on. Allocations of unknown quotas are ignored.
func (m *Meter) ApplyAllocations(now int64, allocations []Allocation) {
	for _, allocation := range allocations {
		if b := m.byQuota[allocation.Quota]; b != nil {
			m.active[b] = true
			b.refill(now)
			if b.leaseEnd = now; !allocation.Calm {
				b.leasedRate, b.leaseEnd = max(0, allocation.Rate), now+LeaseDuration
			}
			b.tokens = min(b.tokens, b.burst())
			b.reportedUsage, b.reportedAt, b.admittedAtReport = max(0, allocation.Used), now, b.admitted
		}
	}
}

// DrainCallerCounts returns the requests by caller since the previous call, the greatest count first.
func (m *Meter) DrainCallerCounts() []CallerCount { return m.callers.Drain() }
