package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/decay"
)

// simulate has routers send requests to hosts of one zone for a while. how tells what a host does with a request that is sent at
// a time: how long it takes, and whether it fails; a time under 0 is never. Hosts that are set aside get nothing, those on
// their way back one at a time from each router. It tells when each host was set aside, and how many requests went bad.
func simulate(routers, hosts int, perSecond float64, duration int64, how func(draw *rand.Rand, host int, now int64) (latency int64, fails bool)) (ejectedAt map[int][]int64, failures int, maxEjected int) {
	draw := rand.New(rand.NewPCG(7, 7))
	recorders, detector := make([]*Recorder, routers), NewDetector()
	var all []Candidate
	for host := range hosts {
		all = append(all, Candidate{fmt.Sprint("h", host), "desk"})
	}
	for router := range recorders {
		recorders[router] = NewRecorder()
	}
	type request struct {
		router, host   int
		at, ends, gone int64
		o              Outcome
	}
	var pending []request
	busy := map[[2]int]int{}
	ejections := map[int]Ejection{}
	ejectedAt = map[int][]int64{}
	for now := int64(0); now < duration; now += second / 100 {
		remaining := pending[:0]
		for _, sent := range pending {
			if sent.ends <= now || sent.gone <= now {
				outcome := sent.o
				if sent.ends > now { // its time is over
					outcome = Failure
				}
				if outcome == Failure {
					failures++
				}
				recorders[sent.router].RequestEnded(now, fmt.Sprint("h", sent.host), sent.at, outcome)
				busy[[2]int{sent.router, sent.host}]--
				continue
			}
			remaining = append(remaining, sent)
		}
		pending = remaining
		for router := range recorders {
			if draw.Float64() > perSecond/100 {
				continue
			}
			host := draw.IntN(hosts)
			for j, there := ejections[host]; there && (now < j.EjectedUntil || now < j.ProbationUntil && busy[[2]int{router, host}] > 0); j, there = ejections[host] {
				host = draw.IntN(hosts)
			}
			latency, fails := how(draw, host, now)
			sent := request{router, host, now, now + latency, now + 5*second, Success}
			if fails {
				sent.o = Failure
			}
			if latency < 0 {
				sent.ends = 1 << 62
			}
			recorders[router].RequestSent(now, fmt.Sprint("h", host))
			busy[[2]int{router, host}]++
			pending = append(pending, sent)
		}
		if now%ReportInterval == 0 {
			for router, recorder := range recorders {
				if stats := recorder.Report(now); stats != nil {
					detector.AddReport(now, fmt.Sprint(router), "desk", stats)
				}
			}
			for _, j := range detector.Detect(now, all) {
				host := 0
				fmt.Sscanf(j.ID, "h%d", &host)
				ejections[host] = j
				ejectedAt[host] = append(ejectedAt[host], now)
			}
			count := 0
			for _, j := range ejections {
				if now < j.ProbationUntil {
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

// Of fifty hosts six hang, fail or slow a part of what they are sent: they are found within seconds and come back after that,
// and no other is taken for one; where all are alike, whatever they do, none is.
func TestGreyHosts(t *testing.T) {
	ill := func(h int, now int64) bool { return h < 6 && now > 5*second && now < 15*second }
	for name, x := range map[string]struct {
		how   func(draw *rand.Rand, h int, now int64) (int64, bool)
		found int // of the six
		false int // at most
	}{
		"hang": {func(d *rand.Rand, h int, now int64) (int64, bool) {
			if ill(h, now) && d.Float64() < 0.44 {
				return -1, false
			}
			return usualLatency(d), d.Float64() < 0.002
		}, 6, 0},
		"fail": {func(d *rand.Rand, h int, now int64) (int64, bool) {
			return usualLatency(d), d.Float64() < 0.002 || ill(h, now) && d.Float64() < 0.5
		}, 6, 0},
		"slow": {func(d *rand.Rand, h int, now int64) (int64, bool) {
			if ill(h, now) {
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
			asides, bad, most := simulate(15, 50, 22, 30*second, x.how)
			found, wrong, last := 0, 0, int64(0)
			for h, at := range asides {
				if h < 6 && x.found > 0 {
					found++
					last = max(last, at[0]-5*second)
				} else {
					wrong++
				}
			}
			t.Logf("found %d, the last after %.1f s; %d taken for ill; %d bad; %d aside at once", found, float64(last)/1e9, wrong, bad, most)
			c.Check(found, qt.Equals, x.found)
			c.Check(wrong <= x.false, qt.IsTrue)
			c.Check(most <= MaxEjected(50), qt.IsTrue)
			c.Check(last < 5*second, qt.IsTrue)
		})
	}
}

// However many hosts are ill, at most a fifth is set aside at once; one that stays ill is aside for longer each time.
func TestEjectionBoundAndReturn(t *testing.T) {
	c := qt.New(t)
	asides, _, most := simulate(15, 50, 22, 60*second, func(d *rand.Rand, h int, now int64) (int64, bool) {
		return usualLatency(d), h < 25 && d.Float64() < 0.9
	})
	c.Check(most, qt.Equals, 10)
	c.Check(len(asides) >= 10, qt.IsTrue)
	one, _, _ := simulate(15, 50, 22, 60*second, func(d *rand.Rand, h int, now int64) (int64, bool) {
		return usualLatency(d), h == 0 && d.Float64() < 0.9
	})
	at := one[0]
	c.Assert(len(at) >= 3, qt.IsTrue)
	for i := 2; i < len(at); i++ {
		c.Check(at[i]-at[i-1] > at[i-1]-at[i-2], qt.IsTrue, qt.Commentf("%v", at))
	}
	for hosts, want := range map[int]int{0: 0, 1: 0, 2: 0, 3: 1, 9: 1, 10: 2, 50: 10} {
		c.Check(MaxEjected(hosts), qt.Equals, want)
	}
	w := NewDetector()
	w.AddReport(1, "r", "desk", []Stats{{"h0", 1, 9}, {"h0", -1, -1}, {"h0", 9, 9}, {"", 9, 9}}) // impossible ones count for nothing
	c.Check(w.Detect(2, []Candidate{{"h0", "desk"}, {"h1", "desk"}, {"h2", "desk"}}), qt.HasLen, 1)
	c.Check(w.Detect(2+2*reportExpiry, []Candidate{{"h0", "desk"}}), qt.HasLen, 0)
	c.Check(w.Idle(), qt.IsTrue)
}

// A host that comes back isn't judged by what its routers saw before it was set aside, nor by what they learned meanwhile
// of requests that it had been sent before; two bad outcomes after that are enough.
func TestReturnIsJudgedAnew(t *testing.T) {
	c := qt.New(t)
	w := NewDetector()
	hosts := []Candidate{{"h0", "desk"}, {"h1", "desk"}, {"h2", "desk"}}
	routers := []string{"r0", "r1"}
	seen := map[string]*decay.Sum{"r0": {}, "r1": {}} // of h0
	news := 0
	tell := func(now int64) (judged []Ejection) {
		for _, r := range routers {
			seen[r].Decay(now, outcomeDecay)
			if seen[r].Total >= 0.3 {
				w.AddReport(now, r, "desk", []Stats{{"h0", roundHundredths(seen[r].Count), roundHundredths(seen[r].Total)}, {"", 60 + roundHundredths(seen[r].Count), roundHundredths(seen[r].Total)}})
			} else {
				w.AddReport(now, r, "desk", nil)
			}
		}
		judged = w.Detect(now, hosts)
		news += len(judged)
		return judged
	}
	for range 8 {
		seen["r0"].Add(0, outcomeDecay, 1)
		seen["r1"].Add(0, outcomeDecay, 1)
	}
	first := tell(1)
	c.Assert(first, qt.HasLen, 1)
	for now := 1 + ReportInterval; now < first[0].ProbationUntil+baseEjection; now += ReportInterval {
		if now > 3*second && now <= 3*second+ReportInterval { // overdue, though sent before
			for range 4 {
				seen["r0"].Add(now, outcomeDecay, 1)
			}
		}
		c.Check(tell(now), qt.HasLen, 0, qt.Commentf("at %.1f s, set aside until %.1f s", float64(now)/1e9, float64(first[0].EjectedUntil)/1e9))
	}
	c.Check(news, qt.Equals, 1)

	w, news = NewDetector(), 0
	seen["r0"], seen["r1"] = &decay.Sum{}, &decay.Sum{}
	for range 8 {
		seen["r0"].Add(0, outcomeDecay, 1)
	}
	first = tell(1)
	c.Assert(first, qt.HasLen, 1)
	for now := 1 + ReportInterval; now < first[0].EjectedUntil; now += ReportInterval {
		c.Check(tell(now), qt.HasLen, 0)
	}
	now := first[0].EjectedUntil + ReportInterval
	seen["r0"].Add(now, outcomeDecay, 1)
	c.Check(tell(now), qt.HasLen, 0)
	seen["r1"].Add(now, outcomeDecay, 1)
	seen["r1"].Add(now, outcomeDecay, 1)
	again := tell(now + 1)
	c.Assert(again, qt.HasLen, 1)
	c.Check(again[0].Count, qt.Equals, 2)
}
