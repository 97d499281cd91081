package lab

import (
	"fmt"
	"io"
	"math"

	"portflow/internal/cluster/config"
	"portflow/internal/quota"
	"portflow/internal/random"
)

// QuotaExperiment is an experiment in virtual time with callers' quotas over many routers and zones: with the parts that the control
// and proxy processes use, or with a method that was weighed against them.
type QuotaExperiment struct {
	Routers        int     `json:"Routers"`
	Zones          int     `json:"Zones"`
	Method         string  `json:"Way"`     // dealt (what the processes do), count, usage, sketch
	Fault          string  `json:"Trouble"` // see the fault constants
	QuotaPerSecond float64 `json:"PerS"`    // of the heavy caller
	LoadFactor     float64 `json:"Times"`   // its requests, as a multiple of its quota
	SmallCallers   int     `json:"Others"`  // each within its quota of 1 a second
	Duration       int64   `json:"Lasts"`   // nanoseconds
	Seed           uint64  `json:"Seed"`
}

// The faults of a quota experiment, which happen in the middle of it.
const (
	faultNone      = "none"
	faultCalm      = "calm"   // the same as none
	faultOneRouter = "one"    // all requests of the heavy caller go to one router
	faultMoves     = "moves"  // they go to one router, and then to another
	faultPartition = "cut"    // a zone is partitioned for 8 s
	faultKilled    = "killed" // a third of the routers is down for 5 s
	faultJoined    = "joined" // a third of the routers starts only then
)

// QuotaResult is the result of a quota experiment. Rates are requests a second, of the heavy caller.
type QuotaResult struct {
	Overshoot1s          float64 `json:"over_1s"`  // most granted within any second, over the quota's second and burst
	Overshoot10s         float64 `json:"over_10s"` // most granted within any ten seconds, over the quota's ten and burst
	Granted              float64 `json:"given"`    // fraction of the quota that was granted, after three seconds
	OthersGranted        float64 `json:"others"`   // fraction of the small callers' requests that was granted
	MaxDisagreement      float64 `json:"apart"`    // most that two routers differed in what they reported as remaining, of the limit
	BytesPerSecond       float64 `json:"bytes_s"`  // of all routers and zones together
	RouterBytesPerSecond float64 `json:"bytes_router_s"`
	GrantsByRouter       [][]int `json:"-"`      // by router and second: requests of the heavy caller that were granted
	RecoverySeconds      float64 `json:"back_s"` // after a move: until the new router grants four fifths of the quota
}

// Times of a quota experiment are nanoseconds.
const (
	second         = int64(1e9)
	quotaStep      = int64(10e6)
	interZoneDelay = int64(35e6) // one way
	inZoneDelay    = int64(1e6)

	warmUp         = 3 * second // before the quota is compared with what is granted
	partitionTime  = 8 * second
	downTime       = 5 * second
	reportLifetime = int64(300e6) // of what a router reported as remaining
	moveStep       = int64(100e6)

	heavyCaller       = "rush"
	smallRate         = 0.7 // requests a second of each small caller
	recoveredFraction = 0.8 // fraction of the quota
	faultStride       = 3   // routers that are killed or join later
	partitionedZone   = 1
	quotaService      = "desk"
	quotaHeader       = "X-Agency"
	beforeFault       = int64(-1) // in place of a time, for requests that no fault moves
	burstSeconds      = 1.0       // of the heavy caller's quota
	smallCallerRate   = 1
	smallCallerBurst  = 3
)

// quotaMethod is one method of limiting callers to their quotas.
type quotaMethod interface {
	allow(now int64, router int, caller string) quota.Decision
	step(now int64) (bytes int)
	setRouterUp(router int, up bool, now int64)
	setPartition(zone int, partitioned bool, now int64)
}

// quotaRun is a quota experiment that runs.
type quotaRun struct {
	QuotaExperiment
	method    quotaMethod
	rng       random.Source
	up        []bool    // by router
	granted   []int64   // times at which requests of the heavy caller were granted
	remaining []float64 // by router: what it reported last as remaining, of the limit
	reported  []int64   // by router: when, 0 for never

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

// newMethod makes the method of an experiment.
func (exp QuotaExperiment) newMethod() (quotaMethod, error) {
	switch exp.Method {
	case "dealt":
		return newAllocatedQuota(exp, exp.quotas()), nil
	case "count", "usage", "sketch":
		return newBaselineQuota(exp, exp.quotas()), nil
	}
	return nil, fmt.Errorf("way: %q is none of dealt, count, usage, sketch", exp.Method)
}

// quotas returns the quotas of all callers.
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

// applyFault begins or ends the experiment's fault if that is due.
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

// setThirdUp starts or ends every third router.
func (run *quotaRun) setThirdUp(up bool, now int64) {
	for router := range run.up {
		if router%faultStride == 0 {
			run.setRouterUp(router, up, now)
		}
	}
}

// pickRouter draws a router that is up, as the directory does, or returns the one that the fault names.
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

// poisson draws a number of events of a Poisson distribution.
func (run *quotaRun) poisson(mean float64) (n int) {
	for x := run.rng.Float64(); x > math.Exp(-mean); n++ {
		x *= run.rng.Float64()
	}
	return n
}

// sendHeavy sends the heavy caller's requests of one step.
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

// sendSmall sends the small callers' requests of one step.
func (run *quotaRun) sendSmall(now int64) {
	for range run.poisson(float64(run.SmallCallers) * smallRate * float64(quotaStep) / 1e9) {
		caller := smallCaller(int(run.rng.Float64() * float64(run.SmallCallers)))
		run.smallRequests++
		if run.method.allow(now, run.pickRouter(beforeFault), caller).Admitted {
			run.smallGranted++
		}
	}
}

// compareReports compares what routers reported lately, once a second while there is no fault.
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

// summarize computes the result.
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

// mostGranted returns the most requests that were granted within any span.
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

// grantedWithin counts the requests that were granted from a time on and before another.
func (run *quotaRun) grantedWithin(from, to int64) (n int) {
	for _, at := range run.granted {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// recoverySeconds returns how long after the move the new router grants most of the quota; it is below 0 for never.
func (run *quotaRun) recoverySeconds() float64 {
	movedAt := run.Duration / 2
	for now := movedAt; now < run.Duration-second; now += moveStep {
		if float64(run.grantedWithin(now, now+second)) >= recoveredFraction*run.QuotaPerSecond {
			return float64(now-movedAt) / 1e9
		}
	}
	return float64(-movedAt) / 1e9
}

// Render writes what the heavy caller was granted over time: a row for each router (at most maxRows), a column for each second, and
// the sums below.
func (r QuotaResult) Render(w io.Writer, perSecond float64, maxRows int) {
	const shades = " .:-=+*#%@"
	fmt.Fprintf(w, "requests of the heavy caller that were granted, by router and second; blank is none, @ its quota of %.0f and more\n", perSecond)
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
		fmt.Fprintf(w, "and %d more\n", len(r.GrantsByRouter)-maxRows)
	}
	fmt.Fprintln(w, "all, a second:", sums[:len(sums)-1])
}
