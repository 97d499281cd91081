package lab

import (
	"fmt"
	"io"
	"math"

	"portflow/internal/cluster/config"
	"portflow/internal/quota"
	"portflow/internal/random"
)

// QuotaExperiment is an experiment in virtual time that enforces callers' quotas over many routers and zones, with the allocation of
// the control and proxy processes or with a baseline method. One heavy caller exceeds its quota; many small callers do not.
type QuotaExperiment struct {
	Routers        int     `json:"Routers"`
	Zones          int     `json:"Zones"`
	Method         string  `json:"Way"`     // "dealt" (allocation, as in the processes), or a baseline: "count", "usage", "sketch"
	Fault          string  `json:"Trouble"` // see the fault constants
	QuotaPerSecond float64 `json:"PerS"`    // quota of the heavy caller
	LoadFactor     float64 `json:"Times"`   // request rate of the heavy caller, as a multiple of its quota
	SmallCallers   int     `json:"Others"`  // number of callers that each stay within a quota of 1 request per second
	Duration       int64   `json:"Lasts"`   // nanoseconds
	Seed           uint64  `json:"Seed"`
}

// The faults of a quota experiment. Those that happen once start or change halfway through it.
const (
	faultNone      = "none"
	faultCalm      = "calm"   // the same as none
	faultOneRouter = "one"    // all requests go to one router
	faultMoves     = "moves"  // all requests of the heavy caller go to one router, and then to another
	faultPartition = "cut"    // a zone is partitioned for 8 s
	faultKilled    = "killed" // every third router is down for 5 s
	faultJoined    = "joined" // every third router starts halfway
)

// QuotaResult is the result of a quota experiment. Unless stated otherwise, it is about the heavy caller. An overshoot is the number of
// requests granted within any period of the given length, beyond the quota of that period and the burst, as a multiple of the quota.
type QuotaResult struct {
	Overshoot1s          float64 `json:"over_1s"`
	Overshoot10s         float64 `json:"over_10s"`
	Granted              float64 `json:"given"`          // fraction of the quota that was granted after warmUp; above 1 if more was granted
	OthersGranted        float64 `json:"others"`         // fraction of the small callers' requests that were granted
	MaxDisagreement      float64 `json:"apart"`          // largest difference between routers in the reported remaining fraction of the limit
	BytesPerSecond       float64 `json:"bytes_s"`        // messages between all routers and zones
	RouterBytesPerSecond float64 `json:"bytes_router_s"` // BytesPerSecond divided by the number of routers
	GrantsByRouter       [][]int `json:"-"`              // granted requests by router and second
	RecoverySeconds      float64 `json:"back_s"`         // from the move until recoveredFraction of the quota is granted; negative for never
}

// Times are in nanoseconds.
const (
	second         = int64(1e9)
	quotaStep      = int64(10e6)
	interZoneDelay = int64(35e6) // one way
	inZoneDelay    = int64(1e6)

	warmUp         = 3 * second // excluded from QuotaResult.Granted
	partitionTime  = 8 * second
	downTime       = 5 * second
	reportLifetime = int64(300e6) // age at which a router's reported remaining quota is ignored
	moveStep       = int64(100e6)

	heavyCaller       = "rush"
	smallRate         = 0.7 // requests per second of each small caller
	recoveredFraction = 0.8 // of the quota
	faultStride       = 3   // every third router is killed or joins later
	partitionedZone   = 1
	quotaService      = "desk"
	quotaHeader       = "X-Agency"
	beforeFault       = int64(-1) // time for pickRouter that precedes any change of routers
	burstSeconds      = 1.0       // burst of the heavy caller, in seconds of its quota
	smallCallerRate   = 1
	smallCallerBurst  = 3
)

// quotaMethod is a method of enforcing quotas. step runs once in each quotaStep and returns the bytes of the messages that it sent.
type quotaMethod interface {
	allow(now int64, router int, caller string) quota.Decision
	step(now int64) (bytes int)
	setRouterUp(router int, up bool, now int64)
	setPartition(zone int, partitioned bool, now int64)
}

// quotaRun is a running quota experiment.
type quotaRun struct {
	QuotaExperiment
	method    quotaMethod
	rng       random.Source
	up        []bool    // by router
	granted   []int64   // times of the heavy caller's granted requests, ascending
	remaining []float64 // by router: remaining quota of its last decision, as a fraction of the limit
	reported  []int64   // by router: time of its last decision, 0 for none

	smallRequests, smallGranted int
	bytes                       int
	result                      QuotaResult
}

// RunQuotaExperiment runs a quota experiment.
func RunQuotaExperiment(exp QuotaExperiment) (QuotaResult, error) {
	method, err := exp.newMethod()
	if err != nil {
		return QuotaResult{}, err
	}
	run := &quotaRun{
		QuotaExperiment: exp,
		method:          method,
		rng:             random.Source{Seed: exp.Seed},
		up:              make([]bool, exp.Routers),
		remaining:       make([]float64, exp.Routers),
		reported:        make([]int64, exp.Routers),
	}
	for router := range run.up {
		run.up[router] = true
		if exp.Fault == faultJoined && router%faultStride == 0 {
			run.setRouterUp(router, false, 0)
		}
		run.result.GrantsByRouter = append(run.result.GrantsByRouter, make([]int, exp.Duration/second+1))
	}
	for now := int64(0); now < exp.Duration; now += quotaStep {
		run.applyFault(now)
		run.sendHeavy(now)
		run.sendSmall(now)
		run.bytes += method.step(now)
		run.compareReports(now)
	}
	return run.summarize(), nil
}

func (exp QuotaExperiment) newMethod() (quotaMethod, error) {
	switch exp.Method {
	case "dealt":
		return newAllocatedQuota(exp, exp.quotas()), nil
	case "count", "usage", "sketch":
		return newBaselineQuota(exp, exp.quotas()), nil
	}
	return nil, fmt.Errorf("way: unknown method %q; must be dealt, count, usage or sketch", exp.Method)
}

func (exp QuotaExperiment) quotas() []config.Quota {
	quotas := []config.Quota{{
		Name: "rush", Service: quotaService, CallerHeader: quotaHeader, Caller: heavyCaller,
		Rate: exp.QuotaPerSecond, Burst: burstSeconds * exp.QuotaPerSecond,
	}}
	for n := range exp.SmallCallers {
		quotas = append(quotas, config.Quota{
			Name: fmt.Sprint("small-", n), Service: quotaService, CallerHeader: quotaHeader, Caller: smallCaller(n),
			Rate: smallCallerRate, Burst: smallCallerBurst,
		})
	}
	return quotas
}

func smallCaller(n int) string { return fmt.Sprint("c", n) }

func (run *quotaRun) setRouterUp(router int, up bool, now int64) {
	run.up[router] = up
	run.method.setRouterUp(router, up, now)
}

// applyFault starts or ends the experiment's fault if that is due now.
func (run *quotaRun) applyFault(now int64) {
	since := now - run.Duration/2
	switch {
	case run.Fault == faultPartition && since == 0:
		run.method.setPartition(partitionedZone, true, now)
	case run.Fault == faultPartition && since == partitionTime:
		run.method.setPartition(partitionedZone, false, now)
	case run.Fault == faultKilled && since == 0:
		run.setThirdUp(false, now)
	case run.Fault == faultKilled && since == downTime, run.Fault == faultJoined && since == 0:
		run.setThirdUp(true, now)
	}
}

// setThirdUp starts or stops every third router.
func (run *quotaRun) setThirdUp(up bool, now int64) {
	for router := range run.up {
		if router%faultStride == 0 {
			run.setRouterUp(router, up, now)
		}
	}
}

// pickRouter returns the router for a request that is sent at now: a random one that is up, unless the fault determines it.
func (run *quotaRun) pickRouter(now int64) int {
	switch {
	case run.Fault == faultOneRouter, run.Fault == faultMoves && now < run.Duration/2:
		return 0
	case run.Fault == faultMoves:
		return run.Routers - 1
	}
	for {
		if router := int(run.rng.Float64() * float64(run.Routers)); run.up[router] {
			return router
		}
	}
}

// poisson draws from a Poisson distribution, by Knuth's method.
func (run *quotaRun) poisson(mean float64) (n int) {
	for x := run.rng.Float64(); x > math.Exp(-mean); n++ {
		x *= run.rng.Float64()
	}
	return n
}

func (run *quotaRun) sendHeavy(now int64) {
	for range run.poisson(run.QuotaPerSecond * run.LoadFactor * float64(quotaStep) / 1e9) {
		router := run.pickRouter(now)
		decision := run.method.allow(now, router, heavyCaller)
		run.remaining[router] = decision.Remaining / max(1, decision.Limit)
		run.reported[router] = now
		if decision.Admitted {
			run.granted = append(run.granted, now)
			run.result.GrantsByRouter[router][now/second]++
		}
	}
}

// sendSmall sends the small callers' requests of one step. For the faults one and moves, they go to the first router throughout.
func (run *quotaRun) sendSmall(now int64) {
	for range run.poisson(float64(run.SmallCallers) * smallRate * float64(quotaStep) / 1e9) {
		caller := smallCaller(int(run.rng.Float64() * float64(run.SmallCallers)))
		run.smallRequests++
		if run.method.allow(now, run.pickRouter(beforeFault), caller).Admitted {
			run.smallGranted++
		}
	}
}

// compareReports updates MaxDisagreement once per second, in experiments whose load and routers stay the same.
func (run *quotaRun) compareReports(now int64) {
	steady := run.Fault == faultCalm || run.Fault == faultNone || run.Fault == faultOneRouter
	if !steady || now <= warmUp || now%second != 0 {
		return
	}
	low, high := 1.0, 0.0
	for router, remaining := range run.remaining {
		if at := run.reported[router]; at > 0 && now-at < reportLifetime {
			low = min(low, remaining)
			high = max(high, remaining)
		}
	}
	run.result.MaxDisagreement = max(run.result.MaxDisagreement, high-low)
}

func (run *quotaRun) summarize() QuotaResult {
	result, rate := run.result, run.QuotaPerSecond
	result.Overshoot1s = (float64(run.mostGranted(second)) - 2*rate) / rate
	result.Overshoot10s = (float64(run.mostGranted(10*second)) - 11*rate) / rate
	expected := rate * float64(run.Duration-warmUp) / 1e9
	result.Granted = float64(run.grantedWithin(warmUp, run.Duration)) / expected
	if run.Fault == faultMoves {
		result.RecoverySeconds = run.recoverySeconds()
	}
	if run.smallRequests > 0 {
		result.OthersGranted = float64(run.smallGranted) / float64(run.smallRequests)
	}
	result.BytesPerSecond = float64(run.bytes) / (float64(run.Duration) / 1e9)
	result.RouterBytesPerSecond = result.BytesPerSecond / float64(run.Routers)
	return result
}

// mostGranted returns the maximum number of requests granted within any time window of length span.
func (run *quotaRun) mostGranted(span int64) (highest int) {
	first := 0
	for i, at := range run.granted {
		for at-run.granted[first] >= span {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// grantedWithin counts the requests granted in [from, to).
func (run *quotaRun) grantedWithin(from, to int64) (n int) {
	for _, at := range run.granted {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// recoverySeconds returns the time from the move to the first second in which recoveredFraction of the quota is granted, or a negative
// number for never.
func (run *quotaRun) recoverySeconds() float64 {
	movedAt := run.Duration / 2
	for now := movedAt; now < run.Duration-second; now += moveStep {
		if float64(run.grantedWithin(now, now+second)) >= recoveredFraction*run.QuotaPerSecond {
			return float64(now-movedAt) / 1e9
		}
	}
	return float64(-movedAt) / 1e9
}

// Render writes the heavy caller's granted requests as text: a row per router (at most maxRows), a column per second, and the totals of
// all routers. perSecond is the caller's quota.
func (r QuotaResult) Render(w io.Writer, perSecond float64, maxRows int) {
	const shades = " .:-=+*#%@"
	fmt.Fprintf(w, "granted requests of the heavy caller by router and second (blank: none, @: its quota of %.0f or more)\n", perSecond)
	sums := make([]int, len(r.GrantsByRouter[0]))
	for router, row := range r.GrantsByRouter {
		line := make([]byte, len(row))
		for second, n := range row {
			sums[second] += n
			shade := int(math.Ceil(float64(n) / perSecond * float64(len(shades)-1)))
			line[second] = shades[min(len(shades)-1, shade)]
		}
		if router < maxRows {
			fmt.Fprintf(w, "router %3d |%s|\n", router, line)
		}
	}
	if len(r.GrantsByRouter) > maxRows {
		fmt.Fprintf(w, "and %d more routers\n", len(r.GrantsByRouter)-maxRows)
	}
	fmt.Fprintln(w, "all, a second:", sums[:len(sums)-1])
}
