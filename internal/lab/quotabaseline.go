package lab

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math"

	"portflow/internal/cluster/config"
	"portflow/internal/quota"
)

const (
	exchangeInterval = int64(500e6) // interval of the exchange of counts
	baselineZones    = 6            // zones for partitions, whatever the experiment's Zones
	countBytes       = 12           // encoded size of an exact count, without the caller's name
	minUsageTime     = 0.1          // minimum time in seconds over which a router's own usage is averaged
	drawResolution   = 10007        // number of values of the pseudo-random draw in rejectsFraction
)

// baselineQuota implements the baseline methods. "count" gives each router an equal fraction of the quota. With "usage", all routers
// exchange their counts, and each rejects the fraction of the requests by which the total exceeds the quota. "sketch" is the same with
// the counts in a count-min sketch.
type baselineQuota struct {
	delayQueue
	method       string
	routers      int
	limits       map[string]float64 // by caller, in requests per second
	isolatedZone int                // noZone for none
	routerUp     []bool
	buckets      []map[string]*tokenBucket // by router and caller
	arrived      []counter                 // by router: requests since its last exchange
	views        []usageView               // by router: usage of all routers as of the last exchange that it received
}

var _ quotaMethod = (*baselineQuota)(nil)

type tokenBucket struct {
	tokens     float64
	refilledAt int64
}

// take refills the bucket at rate tokens per second and takes a token if there is one.
func (b *tokenBucket) take(now int64, rate, burst float64) bool {
	b.tokens = min(burst, b.tokens+rate*float64(now-b.refilledAt)/1e9)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// counter counts requests by caller; an implementation may overestimate.
type counter interface {
	add(caller string)
	count(caller string) float64
	size() int // encoded size in bytes
}

type exactCounts map[string]float64

func (c exactCounts) add(caller string)           { c[caller]++ }
func (c exactCounts) count(caller string) float64 { return c[caller] }
func (c exactCounts) size() (n int) {
	for caller := range c {
		n += len(caller) + countBytes
	}
	return n
}

const (
	sketchRows    = 4
	sketchColumns = 256
	sketchBytes   = 2 // encoded size of a cell
)

// countMinSketch is a count-min sketch: it may overestimate a count, but never underestimates it.
type countMinSketch [sketchRows][sketchColumns]float64

// column returns the column of a caller's cell in a row.
func (s *countMinSketch) column(row int, caller string) int {
	h := fnv.New32a()
	writeHash(h, []byte{byte(row)})
	writeHash(h, []byte(caller))
	x := h.Sum32()
	return int((x ^ x>>16) % sketchColumns)
}

// writeHash adds b to a hash; Write of a hash.Hash never returns an error.
func writeHash(h hash.Hash32, b []byte) { _, _ = h.Write(b) }

func (s *countMinSketch) add(caller string) {
	for row := range s {
		s[row][s.column(row, caller)]++
	}
}

func (s *countMinSketch) count(caller string) float64 {
	least := math.Inf(1)
	for row := range s {
		least = min(least, s[row][s.column(row, caller)])
	}
	return least
}

func (s *countMinSketch) size() int { return sketchRows * sketchColumns * sketchBytes }

// usageView is a router's view of the requests to all routers. It is empty before the first exchange.
type usageView struct {
	arrived, before []counter // by router, in the last interval and in the one before it
	at              int64     // end of the last interval
}

// perSecond returns a caller's total request rate in the counters of one exchange interval.
func perSecond(counters []counter, caller string) (total float64) {
	for _, c := range counters {
		total += c.count(caller)
	}
	return total / (float64(exchangeInterval) / 1e9)
}

// forecast extrapolates a caller's request rate to now. A decreasing rate is taken as constant.
func (v usageView) forecast(caller string, now int64) float64 {
	used := perSecond(v.arrived, caller)
	growth := max(0, used-perSecond(v.before, caller))
	return used + growth*float64(now-v.at)/float64(exchangeInterval)
}

func newBaselineQuota(exp QuotaExperiment, quotas []config.Quota) *baselineQuota {
	method := &baselineQuota{method: exp.Method, routers: exp.Routers, limits: map[string]float64{}, isolatedZone: noZone}
	for _, q := range quotas {
		method.limits[q.Caller] = q.Rate
	}
	for range exp.Routers {
		method.routerUp = append(method.routerUp, true)
		method.buckets = append(method.buckets, map[string]*tokenBucket{})
		method.arrived = append(method.arrived, method.newCounter())
		method.views = append(method.views, usageView{})
	}
	return method
}

func (m *baselineQuota) newCounter() counter {
	if m.method == "sketch" {
		return &countMinSketch{}
	}
	return exactCounts{}
}

func (m *baselineQuota) allow(now int64, router int, caller string) quota.Decision {
	limit := m.limits[caller]
	rate := limit / float64(m.routers)
	burst := max(1, rate)
	if m.method != "count" {
		m.arrived[router].add(caller)
		rate, burst = limit, limit
		if m.rejectsFraction(now, router, caller, limit) {
			return quota.Decision{}
		}
	}
	bucket := m.buckets[router][caller]
	if bucket == nil {
		bucket = &tokenBucket{tokens: burst, refilledAt: now}
		m.buckets[router][caller] = bucket
	}
	return quota.Decision{Admitted: bucket.take(now, rate, burst)}
}

// rejectsFraction reports whether to reject a request, with a probability of 1 - limit/usage if the usage exceeds the limit. The draw is
// a hash of the time, the router and its count, so that runs are repeatable.
func (m *baselineQuota) rejectsFraction(now int64, router int, caller string, limit float64) bool {
	view := m.views[router]
	if view.arrived == nil {
		return false
	}
	own := m.arrived[router].count(caller)
	used := max(view.forecast(caller, now), own/max(minUsageTime, float64(now-view.at)/1e9))
	if used <= limit {
		return false
	}
	h := fnv.New32a()
	fmt.Fprint(h, now, router, own)
	return float64(h.Sum32()%drawResolution)/drawResolution > limit/used
}

func (m *baselineQuota) setRouterUp(router int, up bool, _ int64) {
	m.routerUp[router] = up
	if up {
		m.buckets[router] = map[string]*tokenBucket{}
		m.views[router] = usageView{}
	}
}

func (m *baselineQuota) setPartition(zone int, partitioned bool, _ int64) {
	m.isolatedZone = noZone
	if partitioned {
		m.isolatedZone = zone
	}
}

func (m *baselineQuota) step(now int64) (bytes int) {
	m.runDue(now)
	if m.method == "count" || now%exchangeInterval != 0 {
		return 0
	}
	for _, isolated := range []bool{false, true} { // an isolated zone exchanges counts within itself only
		bytes += m.exchange(now, isolated)
	}
	for router := range m.arrived {
		m.arrived[router] = m.newCounter()
	}
	return bytes
}

// exchange sends the counts of the routers on one side of the partition to all routers on that side. It returns the bytes sent.
func (m *baselineQuota) exchange(now int64, isolated bool) (bytes int) {
	var routers []int
	var arrived []counter
	for router, counts := range m.arrived {
		if m.routerUp[router] && (router%baselineZones == m.isolatedZone) == isolated {
			routers = append(routers, router)
			arrived = append(arrived, counts)
			bytes += counts.size()
		}
	}
	for _, router := range routers {
		bytes += arrived[0].size()
		m.post(now+2*interZoneDelay, func() {
			m.views[router] = usageView{arrived: arrived, before: m.views[router].arrived, at: now}
		})
	}
	return bytes
}
