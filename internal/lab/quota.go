package lab

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/quota"
	"portflow/internal/random"
)

// This file plays callers' shares in virtual time over many routers and zones: the parts that the harbour's processes use,
// and the ways that were weighed against them.

// QuotaExperiment is one play.
type QuotaExperiment struct {
	Routers        int     `json:"Routers"`
	Zones          int     `json:"Zones"`
	Method         string  `json:"Way"`     // dealt (the harbour's), count, usage, sketch
	Fault          string  `json:"Trouble"` // none, one (all of the caller's requests at one router), moves (from one to another), cut (a zone), killed (a third of the routers, back after 5 s), joined
	QuotaPerSecond float64 `json:"PerS"`    // the caller's share
	LoadFactor     float64 `json:"Times"`   // what it asks for, over its share
	SmallCallers   int     `json:"Others"`  // small callers, each within its share of 1 a second
	Duration       int64   `json:"Lasts"`   // nanoseconds
	Seed           uint64  `json:"Seed"`
}

// QuotaResult is how a play went. Rates are requests a second, of the caller.
type QuotaResult struct {
	Overshoot1s          float64 `json:"over_1s"`  // most within any second, over the share's second and burst
	Overshoot10s         float64 `json:"over_10s"` // most within any ten seconds, over the share's ten and burst
	Granted              float64 `json:"given"`    // part of the share that it got, after three seconds
	OthersGranted        float64 `json:"others"`   // part of the others' requests that was within their shares
	MaxDisagreement      float64 `json:"apart"`    // most that two routers in touch differed in what they said remains, of the limit
	BytesPerSecond       float64 `json:"bytes_s"`  // a second, of all routers and zones together
	RouterBytesPerSecond float64 `json:"bytes_router_s"`
	GrantsByRouter       [][]int `json:"-"`      // by router and second: requests of the caller that were taken
	RecoverySeconds      float64 `json:"back_s"` // after a move: until the new router gives four fifths of the share
}

const (
	quotaStep      = int64(10e6)
	interZoneDelay = int64(35e6) // between zones, one way
	inZoneDelay    = int64(1e6)
	rushingCaller  = "rush"
)

// quotaMethod is one way of holding callers to their shares.
type quotaMethod interface {
	allow(now int64, router int, name string) quota.Decision
	step(now int64) (bytes int)
	setRouterUp(router int, up bool, now int64)
	setPartition(zone int, cut bool, now int64)
}

// RunQuotaExperiment plays one.
func RunQuotaExperiment(exp QuotaExperiment) (QuotaResult, error) {
	quotas := []config.Quota{{Name: "rush", Service: "desk", CallerHeader: "X-Agency", Caller: rushingCaller, Rate: exp.QuotaPerSecond, Burst: exp.QuotaPerSecond}}
	for n := range exp.SmallCallers {
		quotas = append(quotas, config.Quota{Name: fmt.Sprint("small-", n), Service: "desk", CallerHeader: "X-Agency", Caller: fmt.Sprint("c", n), Rate: 1, Burst: 3})
	}
	var method quotaMethod
	switch exp.Method {
	case "dealt":
		method = newAllocatedQuota(exp, quotas)
	case "count", "usage", "sketch":
		method = newBaselineQuota(exp, quotas)
	default:
		return QuotaResult{}, fmt.Errorf("way: %q is none of dealt, count, usage, sketch", exp.Method)
	}
	rng := random.Source{Seed: exp.Seed}
	up := make([]bool, exp.Routers)
	for router := range up {
		up[router] = true
		if exp.Fault == "joined" && router%3 == 0 {
			up[router] = false
			method.setRouterUp(router, false, 0)
		}
	}
	result := QuotaResult{GrantsByRouter: make([][]int, exp.Routers)}
	for router := range result.GrantsByRouter {
		result.GrantsByRouter[router] = make([]int, exp.Duration/int64(1e9)+1)
	}
	var granted []int64
	var smallRequests, smallGranted, bytes float64
	measureFrom, movedAt, recoveredAt := 3*int64(1e9), exp.Duration/2, int64(0)
	remaining := map[int]float64{} // by router: what it said last, and when
	reportedAt := map[int]int64{}
	pickRouter := func(now int64) int {
		switch {
		case exp.Fault == "one", exp.Fault == "moves" && now < movedAt:
			return 0
		case exp.Fault == "moves":
			return exp.Routers - 1
		}
		for { // the directory names those that are up
			if router := int(rng.Float64() * float64(exp.Routers)); up[router] {
				return router
			}
		}
	}
	poisson := func(mean float64) (n int) {
		for x := rng.Float64(); x > math.Exp(-mean); n++ {
			x *= rng.Float64()
		}
		return n
	}
	for now := int64(0); now < exp.Duration; now += quotaStep {
		switch offset := now - exp.Duration/2; {
		case offset == 0 && exp.Fault == "cut":
			method.setPartition(1, true, now)
		case offset == int64(8e9) && exp.Fault == "cut":
			method.setPartition(1, false, now)
		case (offset == 0 || offset == int64(5e9)) && exp.Fault == "killed", offset == 0 && exp.Fault == "joined":
			for router := range up {
				if router%3 == 0 {
					up[router] = exp.Fault == "joined" || offset > 0
					method.setRouterUp(router, up[router], now)
				}
			}
		}
		for range poisson(exp.QuotaPerSecond * exp.LoadFactor * float64(quotaStep) / 1e9) {
			router := pickRouter(now)
			decision := method.allow(now, router, rushingCaller)
			remaining[router], reportedAt[router] = decision.Remaining/max(1, decision.Limit), now
			if decision.Admitted {
				granted = append(granted, now)
				result.GrantsByRouter[router][now/int64(1e9)]++
			}
		}
		for range poisson(float64(exp.SmallCallers) * 0.7 * float64(quotaStep) / 1e9) {
			n := int(rng.Float64() * float64(exp.SmallCallers))
			smallRequests++
			if method.allow(now, pickRouter(-1), fmt.Sprint("c", n)).Admitted {
				smallGranted++
			}
		}
		bytes += float64(method.step(now))
		if now > measureFrom && (exp.Fault == "calm" || exp.Fault == "none" || exp.Fault == "one") && now%int64(1e9) == 0 { // what routers said of late
			low, high := 1.0, 0.0
			for router, x := range remaining {
				if now-reportedAt[router] < int64(300e6) {
					low, high = min(low, x), max(high, x)
				}
			}
			result.MaxDisagreement = max(result.MaxDisagreement, high-low)
		}
	}
	mostWithin := func(span int64) (highest int) {
		first := 0
		for i, offset := range granted {
			for offset-granted[first] >= span {
				first++
			}
			highest = max(highest, i-first+1)
		}
		return highest
	}
	result.Overshoot1s = (float64(mostWithin(1e9)) - 2*exp.QuotaPerSecond) / exp.QuotaPerSecond
	result.Overshoot10s = (float64(mostWithin(10e9)) - 11*exp.QuotaPerSecond) / exp.QuotaPerSecond
	grantedAfterStart := 0
	for _, offset := range granted {
		if offset >= measureFrom {
			grantedAfterStart++
		}
	}
	result.Granted = float64(grantedAfterStart) / (exp.QuotaPerSecond * float64(exp.Duration-measureFrom) / 1e9)
	if exp.Fault == "moves" {
		for now := movedAt; now < exp.Duration-int64(1e9) && recoveredAt == 0; now += int64(100e6) {
			n := 0
			for _, offset := range granted {
				if offset >= now && offset < now+int64(1e9) {
					n++
				}
			}
			if float64(n) >= 0.8*exp.QuotaPerSecond {
				recoveredAt = now
			}
		}
		result.RecoverySeconds = float64(recoveredAt-movedAt) / 1e9
	}
	if smallRequests > 0 {
		result.OthersGranted = smallGranted / smallRequests
	}
	result.BytesPerSecond = bytes / (float64(exp.Duration) / 1e9)
	result.RouterBytesPerSecond = result.BytesPerSecond / float64(exp.Routers)
	return result, nil
}

// Render draws what a caller was given over time: a row a router (the first most), a column a second, and the sum below.
func (r QuotaResult) Render(w io.Writer, perSecond float64, maxRows int) {
	const shades = " .:-=+*#%@"
	fmt.Fprintf(w, "requests of the rushing caller taken, by router and second; blank is none, @ its whole share of %.0f and more\n", perSecond)
	sums := make([]int, len(r.GrantsByRouter[0]))
	for router, row := range r.GrantsByRouter {
		line := make([]byte, len(row))
		for second, n := range row {
			sums[second] += n
			line[second] = shades[min(len(shades)-1, int(math.Ceil(float64(n)/perSecond*float64(len(shades)-1))))]
		}
		if router < maxRows {
			fmt.Fprintf(w, "router %3d |%s|\n", router, line)
		}
	}
	if len(r.GrantsByRouter) > maxRows {
		fmt.Fprintf(w, "and %d more\n", len(r.GrantsByRouter)-maxRows)
	}
	fmt.Fprintln(w, "all, a second:", sums[:len(sums)-1])
}

// delayedCall is what is on its way.
type delayedCall struct {
	at  int64
	run func()
}

// delayQueue delivers what is on its way.
type delayQueue struct{ pending []delayedCall }

func (q *delayQueue) post(at int64, do func()) { q.pending = append(q.pending, delayedCall{at, do}) }

func (q *delayQueue) runDue(now int64) {
	due := slices.DeleteFunc(slices.Clone(q.pending), func(l delayedCall) bool { return l.at > now })
	q.pending = slices.DeleteFunc(q.pending, func(l delayedCall) bool { return l.at <= now })
	for _, l := range due {
		l.run()
	}
}

func encodedSize(v any) int {
	raw, _ := json.Marshal(v)
	return len(raw) + 4
}

// allocatedQuota is the harbour's way: the meters and dealers that its processes use, with the ways between them.
type allocatedQuota struct {
	delayQueue
	meters             []*quota.Meter
	routerUp           []bool
	allocators         []*quota.Allocator
	quotas             []config.Quota
	isolatedZone       int // the zone that is cut off, -1 for none
	partitionChangedAt int64
}

func newAllocatedQuota(exp QuotaExperiment, quotas []config.Quota) *allocatedQuota {
	method := &allocatedQuota{quotas: quotas, isolatedZone: -1}
	for z := range exp.Zones {
		method.allocators = append(method.allocators, quota.NewAllocator())
		method.allocators[z].SetQuotas(map[string][]config.Quota{"desk": quotas})
	}
	for range exp.Routers {
		method.routerUp = append(method.routerUp, true)
		method.meters = append(method.meters, quota.NewMeter(quotas, exp.Routers, 0))
	}
	return method
}

func (m *allocatedQuota) zoneOf(r int) int { return r % len(m.allocators) }

func (m *allocatedQuota) allow(now int64, router int, name string) quota.Decision {
	return m.meters[router].Admit(now, name, false, quota.NoHeadroom)
}

func (m *allocatedQuota) setRouterUp(r int, up bool, now int64) {
	m.routerUp[r] = up
	if !up {
		m.allocators[m.zoneOf(r)].RemoveRouter(fmt.Sprint(r))
	} else {
		live := 0
		for _, x := range m.routerUp {
			if x {
				live++
			}
		}
		m.meters[r] = quota.NewMeter(m.quotas, live, now)
	}
}

func (m *allocatedQuota) setPartition(zone int, cut bool, now int64) {
	m.isolatedZone, m.partitionChangedAt = -1, now
	if cut {
		m.isolatedZone = zone
	}
}

// peerTimeout is how long a process needs to notice that a line is dead.
const peerTimeout = int64(1800e6)

func (m *allocatedQuota) step(now int64) (bytes int) {
	m.runDue(now)
	if now%quota.AllocationInterval != 0 {
		return 0
	}
	live := 0
	for _, allocator := range m.routerUp {
		if allocator {
			live++
		}
	}
	for r, meter := range m.meters {
		if !m.routerUp[r] {
			continue
		}
		if now%int64(1e9) == 0 {
			meter.SetQuotas(m.quotas, live, now)
		}
		reports := meter.Reports(now)
		if len(reports) > 0 {
			bytes += encodedSize(reports)
		}
		m.post(now+inZoneDelay, func() { m.allocators[m.zoneOf(r)].AddReports(now+inZoneDelay, fmt.Sprint(r), reports, nil) })
	}
	for zone, allocator := range m.allocators {
		usage, _ := allocator.Usage()
		for to, other := range m.allocators {
			if to == zone {
				continue
			}
			if m.isolatedZone == zone || m.isolatedZone == to {
				if now-m.partitionChangedAt >= peerTimeout {
					other.ZoneLost(now, fmt.Sprint(zone))
				}
				continue
			}
			if len(usage) > 0 {
				bytes += encodedSize(usage)
			}
			m.post(now+interZoneDelay, func() { other.MergeZone(now+interZoneDelay, fmt.Sprint(zone), usage, nil) })
		}
		if m.isolatedZone == zone && now-m.partitionChangedAt >= peerTimeout { // it hears too few others, and deals no more
			continue
		}
		for router, reports := range allocator.Allocate(now) {
			r := 0
			fmt.Sscan(router, &r)
			bytes += encodedSize(reports)
			m.post(now+inZoneDelay, func() { m.meters[r].ApplyAllocations(now+inZoneDelay, reports) })
		}
	}
	return bytes
}

// baselineQuota are the other ways: even parts by count; what all used lately, told to all, which each router foretells and takes a
// part of the requests by; and the same with counts in a sketch.
type baselineQuota struct {
	delayQueue
	method       string
	routers      int
	limits       map[string]float64
	isolatedZone int
	routerUp     []bool
	buckets      []map[string]*tokenBucket
	unreported   []counter   // by router: what was taken since it told last
	arrived      []counter   // and what came
	views        []usageView // by router: what all used, as of the last news
}

type tokenBucket struct {
	tokens     float64
	refilledAt int64
}

type counter interface {
	add(name string)
	count(name string) float64
	size() int
}

type exactCounts map[string]float64

func (e exactCounts) add(name string)           { e[name]++ }
func (e exactCounts) count(name string) float64 { return e[name] }
func (e exactCounts) size() (n int) {
	for name := range e {
		n += len(name) + 12
	}
	return n
}

// countMinSketch counts in four rows of 256 places.
type countMinSketch [4][256]float64

func (s *countMinSketch) index(row int, name string) int {
	f := fnv.New32a()
	f.Write([]byte{byte(row)})
	f.Write([]byte(name))
	x := f.Sum32()
	return int((x ^ x>>16) % 256)
}

func (s *countMinSketch) add(name string) {
	for row := range s {
		s[row][s.index(row, name)]++
	}
}

func (s *countMinSketch) count(name string) float64 {
	least := math.Inf(1)
	for row := range s {
		least = min(least, s[row][s.index(row, name)])
	}
	return least
}

func (s *countMinSketch) size() int { return 4 * 256 * 2 }

type usageView struct {
	arrived, before []counter // of all routers, in the last interval and the one before it
	at              int64
}

const exchangeInterval = int64(500e6)

func newBaselineQuota(exp QuotaExperiment, quotas []config.Quota) *baselineQuota {
	method := &baselineQuota{method: exp.Method, routers: exp.Routers, limits: map[string]float64{}, isolatedZone: -1}
	for _, q := range quotas {
		method.limits[q.Caller] = q.Rate
	}
	for range exp.Routers {
		method.routerUp = append(method.routerUp, true)
		method.buckets = append(method.buckets, map[string]*tokenBucket{})
		method.unreported, method.arrived = append(method.unreported, method.newCounter()), append(method.arrived, method.newCounter())
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

func (m *baselineQuota) allow(now int64, router int, name string) (decision quota.Decision) {
	limit := m.limits[name]
	rate, burst := limit/float64(m.routers), max(1, limit/float64(m.routers))
	if m.method != "count" {
		m.arrived[router].add(name)
		rate, burst = limit, limit
		perSecond := func(all []counter) (x float64) {
			for _, c := range all {
				x += c.count(name)
			}
			return x / (float64(exchangeInterval) / 1e9)
		}
		if known := m.views[router]; known.arrived != nil {
			used := perSecond(known.arrived)
			used += max(0, used-perSecond(known.before)) * float64(now-known.at) / float64(exchangeInterval) // foretold as it went on growing
			if own := m.arrived[router].count(name) / max(0.1, float64(now-known.at)/1e9); own > used {
				used = own
			}
			hash := fnv.New32a()
			fmt.Fprint(hash, now, router, m.arrived[router].count(name))
			if used > limit && float64(hash.Sum32()%10007)/10007 > limit/used {
				return decision
			}
		}
	}
	bucket := m.buckets[router][name]
	if bucket == nil {
		bucket = &tokenBucket{tokens: burst, refilledAt: now}
		m.buckets[router][name] = bucket
	}
	bucket.tokens = min(burst, bucket.tokens+rate*float64(now-bucket.refilledAt)/1e9)
	bucket.refilledAt = now
	if bucket.tokens >= 1 {
		bucket.tokens--
		decision.Admitted = true
	}
	return decision
}

func (m *baselineQuota) setRouterUp(router int, up bool, _ int64) {
	m.routerUp[router] = up
	if up {
		m.buckets[router], m.views[router] = map[string]*tokenBucket{}, usageView{}
	}
}

func (m *baselineQuota) setPartition(zone int, cut bool, _ int64) {
	if m.isolatedZone = -1; cut {
		m.isolatedZone = zone
	}
}

func (m *baselineQuota) step(now int64) (bytes int) {
	m.runDue(now)
	if m.method == "count" || now%exchangeInterval != 0 {
		return 0
	}
	const zones = 6
	for side := range 2 { // those that are cut off hear each other only
		var arrived []counter
		for router, counts := range m.arrived {
			if m.routerUp[router] && (router%zones == m.isolatedZone) == (side == 1) {
				arrived = append(arrived, counts)
				bytes += counts.size()
			}
		}
		for router := range m.arrived {
			if m.routerUp[router] && (router%zones == m.isolatedZone) == (side == 1) {
				if len(arrived) > 0 {
					bytes += arrived[0].size()
				}
				m.post(now+2*interZoneDelay, func() { m.views[router] = usageView{arrived, m.views[router].arrived, now} })
			}
		}
	}
	for router := range m.arrived {
		m.arrived[router] = m.newCounter()
	}
	return bytes
}
