// Package quota holds callers to their shares of services, over all routers, without a call between them a request. A
// router's Meter says of each request whether it is within its caller's share; a control process's Dealer deals the shares
// out to the routers by what they are asked for. Both are pure: times are handed in, Unix nanoseconds.
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
	// UnknownCallerFactor is how many times its even part of a share a router may give while nothing is known of the caller: most callers
	// are small beside the number of routers, come evenly, and stay within their shares. Nobody hears of them.
	UnknownCallerFactor = 4
	// minBurst is how many requests at once a router may give a caller of whom nothing is known: with one a tenth and more of
	// those within their share would find none.
	minBurst = 2
	// EvenFraction is the part of a share that is dealt out to all routers evenly, whoever asks, once the caller presses: with it the
	// caller begins at a router that it was not seen at before, and a router that is cut off goes on. The rest is leased by
	// demand.
	EvenFraction = 0.1
	// LeaseDuration is for how long what was dealt by demand is good without being dealt again, nanoseconds.
	LeaseDuration = 3 * second
	// LimitWindow is the time over which limits are told to callers, nanoseconds.
	LimitWindow = 10 * second
	// reservedBurstFraction is the part of a share's burst that only requests that must not be repeated may use.
	reservedBurstFraction = 0.2
)

// Headroom is how full a router finds a service, for callers that are over their share.
type Headroom uint8

const (
	AmpleHeadroom  Headroom = iota // over-share requests are taken
	ScarceHeadroom                 // only those that must not be repeated
	NoHeadroom
)

// HeadroomFor is the room by the part of its hosts' slots that a router uses.
func HeadroomFor(used float64) Headroom {
	switch {
	case used < 0.7:
		return AmpleHeadroom
	case used < 0.85:
		return ScarceHeadroom
	}
	return NoHeadroom
}

// Decision is what becomes of a request.
type Decision struct {
	Admitted   bool
	OverQuota  bool    // it is taken, though its caller is over its share
	Quota      string  // the name of the share, empty where the caller has none
	Limit      float64 // requests a Window
	Remaining  float64 // of them, over all routers, as of the last news
	Reset      int64   // until all of the Window's requests are there again, nanoseconds
	RetryAfter int64   // where it isn't taken: until its turn comes, nanoseconds
}

// bucket is one share at a router.
type bucket struct {
	config.Quota
	limit            float64 // requests a second, of all routers
	evenRate         float64 // this router's even part of it
	leasedRate       float64 // what is leased to it
	leaseEnd         int64   // the lease's end: until then the caller is known to press
	tokens           float64
	updatedAt        int64
	demand           float64 // requests that came, forgotten over a second
	recentRequests   float64 // and over ten
	emptyAt          int64   // when a request last found no token
	admitted         uint64  // within the share, since the meter began
	nextRetryAt      int64   // when the last one that was sent away is to come back
	reportedUsage    float64 // requests within the last Window over all routers, as control told
	reportedAt       int64
	admittedAtReport uint64 // of this router's, as of then
	rejected         uint64
	overQuota        uint64
}

// Meter is one service's shares at one router. It is not safe for two goroutines.
type Meter struct {
	header       string
	otherCallers *bucket            // nil where others have no share of their own
	byCaller     map[string]*bucket // by caller
	byQuota      map[string]*bucket // by share
	active       map[*bucket]bool   // those that may have something to report
	proxies      int
	capacity     float64 // requests a second that the service can carry, 0 where that is not known
	callers      *CallerCounter
}

// NewMeter makes a meter; nothing is known of demand.
func NewMeter(quotas []config.Quota, proxies int, now int64) *Meter {
	m := &Meter{byCaller: map[string]*bucket{}, active: map[*bucket]bool{}, callers: NewCallerCounter(MaxCallers)}
	m.SetQuotas(quotas, proxies, now)
	return m
}

// SetQuotas takes up other shares or another number of routers; accounts that go on keep what they had.
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

// SetCapacity tells how many requests a second the service can carry at present: of that some shares are a part.
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

// CallerHeader is the one that names callers.
func (m *Meter) CallerHeader() string { return m.header }

// Admit says what becomes of a request that comes now. safe tells that it may be repeated.
func (m *Meter) Admit(now int64, caller string, idempotent bool, headroom Headroom) Decision {
	if len(caller) > config.MaxCallerBytes || caller == config.OtherCallers {
		caller = ""
	}
	m.callers.Add(caller)
	b := m.byCaller[caller]
	if b == nil || caller == "" {
		b = m.otherCallers
	}
	if b == nil { // no share at all: what others leave
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
	if idempotent && b.burst() > 1 { // what must not be repeated has the last of it to itself
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

// rate is what this router may take a second now.
func (b *bucket) rate(now int64) float64 {
	if now < b.leaseEnd {
		return EvenFraction*b.evenRate + b.leasedRate
	}
	return UnknownCallerFactor * b.evenRate
}

// burst is this router's part of the share's.
func (b *bucket) burst() float64 {
	if b.updatedAt >= b.leaseEnd {
		return max(minBurst, UnknownCallerFactor*b.Burst*b.evenRate/max(b.limit, 1e-9))
	}
	return max(minBurst, b.Burst*b.rate(b.updatedAt)/max(b.limit, 1e-9))
}

// seenByAllRouters tells whether every router sees the caller now and then, if it comes evenly and has the most that it may.
func (b *bucket) seenByAllProxies() bool { return b.evenRate*10 >= 1 && b.limit >= 10 }

// reportThreshold is how many requests of late are worth a report.
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
	if b.updatedAt < b.leaseEnd && b.leaseEnd < now { // the lease has ended in between
		b.refill(b.leaseEnd)
	}
	elapsed := float64(now-b.updatedAt) / float64(second)
	b.tokens = min(b.burst(), b.tokens+b.rate(b.updatedAt)*elapsed)
	b.demand *= math.Exp(-elapsed)
	b.recentRequests *= math.Exp(-elapsed / 10)
	b.updatedAt = now
}

// windowUsage is about how many requests all routers took within the last Window: what control told, fading out evenly, and what
// this router took since.
func (b *bucket) windowUsage(now int64) float64 {
	weight := 1 - float64(now-b.reportedAt)/float64(LimitWindow)
	if b.reportedAt > 0 && weight > 0 {
		return b.reportedUsage*weight + float64(b.admitted-b.admittedAtReport)
	}
	return b.recentRequests // the others' are not known: nobody told of a caller that no router saw often
}

// Report is what a router tells control of a share: what it is asked for, and what it has taken in all.
type Report struct {
	Quota     string  `json:"s"`
	Demand    float64 `json:"w"` // requests a second
	Admitted  uint64  `json:"t"`
	Recent    float64 `json:"l"` // requests of about the last ten seconds
	Rejected  uint64  `json:"a,omitempty"`
	OverQuota uint64  `json:"o,omitempty"`
	Short     bool    `json:"x,omitempty"` // it needs more than a router may give of itself
}

const (
	shortagePeriod = 2 * second // for so long after a request found no token its account is short
	idleRequests   = 0.05       // requests of late under which an account without a lease has nothing to tell
)

// Reports tells of the accounts whose callers press here, or may press over all routers: the small ones at a large number of
// routers hardly ever do. It is for every DealEvery.
func (m *Meter) Reports(now int64) (reports []Report) {
	for a := range m.active {
		if a.WatchOnly {
			continue
		}
		a.refill(now)
		shortage := a.emptyAt > 0 && now-a.emptyAt < shortagePeriod
		if !shortage && now >= a.leaseEnd && a.recentRequests < idleRequests { // nothing to be told until a request or a lease comes
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

// Allocation is what control deals to a router of the share of a caller that presses, and how many requests of it all routers
// took within the last Window.
type Allocation struct {
	Quota string  `json:"s"`
	Rate  float64 `json:"r"` // requests a second, beside its part of what is dealt out evenly
	Used  float64 `json:"u"`
	Calm  bool    `json:"c,omitempty"` // the caller doesn't press: nothing is leased, and only Used is told
}

// ApplyAllocations takes allotments in; what is not among them ends with its lease.
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

// DrainCallerCounts is the callers that a router has seen, for the hour's counts; it is handed on and begun anew.
func (m *Meter) DrainCallerCounts() []CallerCount { return m.callers.Drain() }
