package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/decay"
)

// simulate runs proxies that send requests to the hosts of one zone. respond returns the latency of a request that is sent at now, or a
// negative one if the host never answers, and whether the request fails. Ejected hosts get no requests, those on probation one at a time
// from each proxy. It returns the times at which each host was ejected, the number of failed requests, and the largest number of hosts
// that were ejected or on probation at once.
func simulate(proxies, hosts int, perSecond float64, duration int64, respond func(draw *rand.Rand, host int, now int64) (latency int64, fails bool)) (ejectedAt map[int][]int64, failures int, maxEjected int) {
	draw := rand.New(rand.NewPCG(7, 7))
	recorders, detector := make([]*Recorder, proxies), NewDetector()
	var candidates []Candidate
	for host := range hosts {
		candidates = append(candidates, Candidate{fmt.Sprint("h", host), "desk"})
	}
	for proxy := range recorders {
		recorders[proxy] = NewRecorder()
	}
	type request struct {
		proxy, host                int
		sentAt, endsAt, timesOutAt int64
		result                     Outcome
	}
	var pending []request
	inFlight := map[[2]int]int{}
	ejections := map[int]Ejection{}
	ejectedAt = map[int][]int64{}
	for now := int64(0); now < duration; now += second / 100 {
		remaining := pending[:0]
		for _, sent := range pending {
			if sent.endsAt <= now || sent.timesOutAt <= now {
				outcome := sent.result
				if sent.endsAt > now { // timed out
					outcome = Failure
				}
				if outcome == Failure {
					failures++
				}
				recorders[sent.proxy].RequestEnded(now, fmt.Sprint("h", sent.host), sent.sentAt, outcome)
				inFlight[[2]int{sent.proxy, sent.host}]--
				continue
			}
			remaining = append(remaining, sent)
		}
		pending = remaining
		for proxy := range recorders {
			if draw.Float64() > perSecond/100 {
				continue
			}
			host := draw.IntN(hosts)
			for ejection, exists := ejections[host]; exists && (now < ejection.EjectedUntil || now < ejection.ProbationUntil && inFlight[[2]int{proxy, host}] > 0); ejection, exists = ejections[host] {
				host = draw.IntN(hosts)
			}
			latency, fails := respond(draw, host, now)
			sent := request{proxy, host, now, now + latency, now + 5*second, Success}
			if fails {
				sent.result = Failure
			}
			if latency < 0 {
				sent.endsAt = 1 << 62
			}
			recorders[proxy].RequestSent(now, fmt.Sprint("h", host))
			inFlight[[2]int{proxy, host}]++
			pending = append(pending, sent)
		}
		if now%ReportInterval == 0 {
			for proxy, recorder := range recorders {
				if stats := recorder.Report(now); stats != nil {
					detector.AddReport(now, fmt.Sprint(proxy), "desk", stats)
				}
			}
			for _, ejection := range detector.Detect(now, candidates) {
				host := 0
				fmt.Sscanf(ejection.ID, "h%d", &host)
				ejections[host] = ejection
				ejectedAt[host] = append(ejectedAt[host], now)
			}
			count := 0
			for _, ejection := range ejections {
				if now < ejection.ProbationUntil {
					count++
				}
			}
			maxEjected = max(maxEjected, count)
		}
	}
	return ejectedAt, failures, maxEjected
}

func usualLatency(draw *rand.Rand) int64 {
	return second/10 + int64(draw.ExpFloat64()*float64(second)/10)
}

// Six of fifty hosts hang, fail or slow down: all six must be ejected within seconds, and at most one healthy host may be. Where
// all hosts behave alike, at most a few may be ejected, however badly they do.
func TestDetectOutliers(t *testing.T) {
	degraded := func(h int, now int64) bool { return h < 6 && now > 5*second && now < 15*second }
	for name, test := range map[string]struct {
		respond  func(draw *rand.Rand, h int, now int64) (int64, bool)
		detected int // of the six degraded hosts
		false    int // most false positives allowed
	}{
		"hang": {func(d *rand.Rand, h int, now int64) (int64, bool) {
			if degraded(h, now) && d.Float64() < 0.44 {
				return -1, false
			}
			return usualLatency(d), d.Float64() < 0.002
		}, 6, 0},
		"fail": {func(d *rand.Rand, h int, now int64) (int64, bool) {
			return usualLatency(d), d.Float64() < 0.002 || degraded(h, now) && d.Float64() < 0.5
		}, 6, 0},
		"slow": {func(d *rand.Rand, h int, now int64) (int64, bool) {
			if degraded(h, now) {
				return usualLatency(d) * 13 / 2, false
			}
			return usualLatency(d), false
		}, 6, 1},
		"well": {func(d *rand.Rand, h int, now int64) (int64, bool) { return usualLatency(d), d.Float64() < 0.01 }, 0, 0},
		"all fail alike": {func(d *rand.Rand, h int, now int64) (int64, bool) {
			return usualLatency(d), now > 5*second && d.Float64() < 0.5
		}, 0, 4},
		"all turn slow": {func(d *rand.Rand, h int, now int64) (int64, bool) {
			if now > 5*second {
				return usualLatency(d) * 8, false
			}
			return usualLatency(d), false
		}, 0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ejectedAt, failures, maxEjected := simulate(15, 50, 22, 30*second, test.respond)
			detected, falsePositives, slowest := 0, 0, int64(0)
			for h, times := range ejectedAt {
				if h < 6 && test.detected > 0 {
					detected++
					slowest = max(slowest, times[0]-5*second)
				} else {
					falsePositives++
				}
			}
			t.Logf("detected %d hosts, the last after %.1f s; %d false positives; %d failed requests; at most %d ejected at once", detected, float64(slowest)/1e9, falsePositives, failures, maxEjected)
			c.Check(detected, qt.Equals, test.detected)
			c.Check(falsePositives <= test.false, qt.IsTrue)
			c.Check(maxEjected <= MaxEjected(50), qt.IsTrue)
			c.Check(slowest < 5*second, qt.IsTrue)
		})
	}
}

// At most a fifth of the hosts may be ejected at once, however many fail, and a host that keeps failing must be ejected for longer each
// time. Impossible statistics must be ignored.
func TestEjectionLimits(t *testing.T) {
	c := qt.New(t)
	ejectedAt, _, maxEjected := simulate(15, 50, 22, 60*second, func(d *rand.Rand, h int, now int64) (int64, bool) {
		return usualLatency(d), h < 25 && d.Float64() < 0.9
	})
	c.Check(maxEjected, qt.Equals, 10)
	c.Check(len(ejectedAt) >= 10, qt.IsTrue)
	singleHost, _, _ := simulate(15, 50, 22, 60*second, func(d *rand.Rand, h int, now int64) (int64, bool) {
		return usualLatency(d), h == 0 && d.Float64() < 0.9
	})
	times := singleHost[0]
	c.Assert(len(times) >= 3, qt.IsTrue)
	for i := 2; i < len(times); i++ {
		c.Check(times[i]-times[i-1] > times[i-1]-times[i-2], qt.IsTrue, qt.Commentf("%v", times))
	}
	for hosts, want := range map[int]int{0: 0, 1: 0, 2: 0, 3: 1, 9: 1, 10: 2, 50: 10} {
		c.Check(MaxEjected(hosts), qt.Equals, want)
	}
	detector := NewDetector()
	detector.AddReport(1, "r", "desk", []Stats{{"h0", 1, 9}, {"h0", -1, -1}, {"h0", 9, 9}, {"", 9, 9}}) // more failures than outcomes, and negative numbers, are ignored
	c.Check(detector.Detect(2, []Candidate{{"h0", "desk"}, {"h1", "desk"}, {"h2", "desk"}}), qt.HasLen, 1)
	c.Check(detector.Detect(2+2*reportExpiry, []Candidate{{"h0", "desk"}}), qt.HasLen, 0)
	c.Check(detector.Idle(), qt.IsTrue)
}

// A returning host must not be ejected for requests sent before its ejection, even if they failed or became overdue during it. Failures
// after its return must eject it again.
func TestOutcomesFromBeforeReturnDoNotCount(t *testing.T) {
	c := qt.New(t)
	detector := NewDetector()
	hosts := []Candidate{{"h0", "desk"}, {"h1", "desk"}, {"h2", "desk"}}
	proxies := []string{"r0", "r1"}
	outcomes := map[string]*decay.Sum{"r0": {}, "r1": {}} // of h0, by proxy
	total := 0
	reportAndDetect := func(now int64) (ejections []Ejection) {
		for _, proxy := range proxies {
			outcomes[proxy].Decay(now, outcomeDecay)
			if outcomes[proxy].Total >= 0.3 {
				detector.AddReport(now, proxy, "desk", []Stats{{"h0", roundHundredths(outcomes[proxy].Count), roundHundredths(outcomes[proxy].Total)}, {"", 60 + roundHundredths(outcomes[proxy].Count), roundHundredths(outcomes[proxy].Total)}})
			} else {
				detector.AddReport(now, proxy, "desk", nil)
			}
		}
		ejections = detector.Detect(now, hosts)
		total += len(ejections)
		return ejections
	}
	for range 8 {
		outcomes["r0"].Add(0, outcomeDecay, 1)
		outcomes["r1"].Add(0, outcomeDecay, 1)
	}
	first := reportAndDetect(1)
	c.Assert(first, qt.HasLen, 1)
	for now := 1 + ReportInterval; now < first[0].ProbationUntil+baseEjection; now += ReportInterval {
		if now > 3*second && now <= 3*second+ReportInterval { // sent before the ejection, overdue only now
			for range 4 {
				outcomes["r0"].Add(now, outcomeDecay, 1)
			}
		}
		c.Check(reportAndDetect(now), qt.HasLen, 0, qt.Commentf("at %.1f s, ejected until %.1f s", float64(now)/1e9, float64(first[0].EjectedUntil)/1e9))
	}
	c.Check(total, qt.Equals, 1)

	detector, total = NewDetector(), 0
	outcomes["r0"], outcomes["r1"] = &decay.Sum{}, &decay.Sum{}
	for range 8 {
		outcomes["r0"].Add(0, outcomeDecay, 1)
	}
	first = reportAndDetect(1)
	c.Assert(first, qt.HasLen, 1)
	for now := 1 + ReportInterval; now < first[0].EjectedUntil; now += ReportInterval {
		c.Check(reportAndDetect(now), qt.HasLen, 0)
	}
	now := first[0].EjectedUntil + ReportInterval
	outcomes["r0"].Add(now, outcomeDecay, 1)
	c.Check(reportAndDetect(now), qt.HasLen, 0)
	outcomes["r1"].Add(now, outcomeDecay, 1)
	outcomes["r1"].Add(now, outcomeDecay, 1)
	again := reportAndDetect(now + 1)
	c.Assert(again, qt.HasLen, 1)
	c.Check(again[0].Count, qt.Equals, 2)
}
