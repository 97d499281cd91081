package retryguard

import (
	"testing"
)

// Guards against admitting more work than the ceiling allows for hosts that restart cold.
func TestAdmittedWorkStaysBelowCeiling(t *testing.T) {
	w := newWorkload(t, testSettings(), 3)
	w.normalTraffic(30, 60, 0)
	baselineWorkRate := w.baselineWorkRate
	w.outage(5, 60)
	if !w.detector.Storm {
		t.Fatal("retry storm not detected")
	}
	restartedAt := w.now
	w.HostsChanged(restartedAt, true, []Host{})
	var cold []Host
	for _, h := range newHosts(10, restartedAt) {
		h.ID += 100
		cold = append(cold, h)
	}
	w.HostsChanged(restartedAt, false, cold)
	if got := w.capacity.At(restartedAt); got < 3.2 || got > 3.4 {
		t.Error("ten cold hosts: got capacity", got)
	}
	work := 0.0
	for w.now < restartedAt+second/2 {
		w.now += second / 1000
		w.key++
		req := &Request{Fingerprint: FingerprintOf(0, 0, w.key, ""), Customer: int(w.key % 3), Remaining: 5 * second}
		if admitted, _ := w.Admit(w.now, req); admitted {
			work += w.latency[0]
		}
	}
	// One of three routers, half a second: the baseline rate or a third of the hosts' capacity, with 50% margin.
	allowed := 1.25 * max(baselineWorkRate*w.capacity.At(w.now)*0.5, w.capacity.At(w.now)/3*0.5) * 1.2
	if work == 0 || work > allowed {
		t.Errorf("admitted %.2f s of work, want more than 0 and at most %.2f", work, allowed)
	}
}

// A request that cannot be answered before its client gives up is rejected even if there is budget for it.
func TestRejectsRequestsWithInsufficientTime(t *testing.T) {
	w := newWorkload(t, testSettings(), 7)
	w.normalTraffic(20, 60, 0)
	w.outage(2, 60)
	w.budget.available = 100
	w.maxInFlight = 100
	if admitted, _ := w.Admit(w.now, &Request{Fingerprint: 1, Remaining: 1e7}); admitted || w.Stats.InsufficientTime == 0 {
		t.Error("admitted with 10 ms left")
	}
}

// For any sequence of calls and clock jumps: nothing panics, memory and waits stay within their bounds, and the number of requests
// in flight is never negative.
func FuzzGuard(f *testing.F) {
	for seed := range uint64(6) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		s := testSettings()
		s.MemoryBytes = 8 << 10
		w := newWorkload(t, s, seed)
		bytes := w.Bytes()
		var open []*Request
		for range 4000 {
			switch w.rnd.IntN(40) {
			case 0:
				w.now += int64(w.rnd.IntN(int(20 * second))) // clock jump
			case 1:
				w.now -= int64(w.rnd.IntN(int(20 * second)))
			case 2:
				w.HostsChanged(w.now, w.rnd.IntN(2) == 0, []Host{{
					ID:        uint32(w.rnd.IntN(12)),
					Ready:     w.rnd.IntN(2) == 0,
					Capacity:  w.rnd.Float64()*3 - 1,
					StartedAt: w.now - int64(w.rnd.IntN(int(10*second))),
				}})
			default:
				w.now += int64(w.rnd.IntN(2e7))
			}
			req := &Request{
				Class:       w.rnd.IntN(4) - 1,
				Customer:    w.rnd.IntN(6) - 1,
				Fingerprint: uint64(w.rnd.IntN(50)) * 0x9e3779b97f4a7c15,
				Retry:       w.rnd.IntN(3) == 0,
				Remaining:   int64(w.rnd.IntN(int(5*second))) - 1e8,
			}
			if admitted, wait := w.Admit(w.now, req); admitted {
				open = append(open, req)
			} else if wait < 0 || wait > s.MaxRetryAfter {
				t.Fatal("wait", wait)
			}
			if len(open) > 0 && w.rnd.IntN(3) > 0 {
				i := w.rnd.IntN(len(open))
				ended := open[i]
				w.AttemptStarted(w.now, ended, w.rnd.IntN(2))
				signal := Signal(w.rnd.IntN(5))
				w.AttemptEnded(w.now, ended, uint32(w.rnd.IntN(12)), signal, signal == Answered, int64(w.rnd.IntN(1e9))-1e7)
				if signal != Answered {
					if wait := w.Rejected(w.now, ended, 25e7); wait < 0 || wait > s.MaxRetryAfter {
						t.Fatal("wait", wait)
					}
				}
				open[i] = open[len(open)-1]
				open = open[:len(open)-1]
			}
			if w.inFlight < 0 || w.Bytes() != bytes || !(w.rateFactor >= minFactor && w.rateFactor <= maxFactor) || !(w.budget.available < 1e6) {
				t.Fatal(w.inFlight, w.Bytes(), w.rateFactor, w.budget.available)
			}
		}
	})
}

// Requests allocate no memory in normal traffic.
func TestNoAllocations(t *testing.T) {
	w := newWorkload(t, testSettings(), 9)
	w.normalTraffic(5, 60, 0.1)
	req := &Request{Fingerprint: 9, Remaining: second}
	if n := testing.AllocsPerRun(2000, func() {
		w.now += second / 200
		*req = Request{Fingerprint: FingerprintOf(0, 0, uint64(w.now), ""), Remaining: second}
		w.Admit(w.now, req)
		w.AttemptStarted(w.now, req, 0)
		w.AttemptEnded(w.now, req, 1, Answered, true, 2e8)
	}); n > 0 {
		t.Error(n, "allocations per request")
	}
}

// New rejects settings that are out of range.
func TestSettings(t *testing.T) {
	for _, invalidate := range []func(*Settings){
		func(s *Settings) { s.Ceiling = 9 },
		func(s *Settings) { s.MemoryBytes = 1 },
		func(s *Settings) { s.Horizon = 0 },
		func(s *Settings) { s.Classes = nil },
		func(s *Settings) { s.Routers = 0 },
	} {
		s := testSettings()
		invalidate(&s)
		if _, err := New(s, 1, 0); err == nil {
			t.Error("accepted:", s)
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	w := newWorkload(b, testSettings(), 9)
	req := &Request{}
	for b.Loop() {
		w.now += second / 200
		*req = Request{Fingerprint: FingerprintOf(0, 0, uint64(w.now), ""), Remaining: second}
		w.Admit(w.now, req)
		w.AttemptStarted(w.now, req, 0)
		w.AttemptEnded(w.now, req, 1, Answered, true, 2e8)
	}
}

// Regression tests: jitter of waits in normal traffic, a clock that is set back, budget for retries by the decision engine, limits
// after a collapse of the hosts, and no retry storm below minExcess excess retries.
func TestEdgeCases(t *testing.T) {
	w := newWorkload(t, testSettings(), 10)
	w.normalTraffic(20, 60, 0)
	waits := map[int64]bool{}
	for i := range uint64(20) { // requests rejected together get different waits in normal traffic
		req := &Request{Fingerprint: i + 1, Remaining: second}
		w.Admit(w.now, req)
		wait := w.Rejected(w.now, req, 250e6)
		waits[wait] = true
		if wait < 125e6 || wait > 375e6 {
			t.Error("waits", wait)
		}
	}
	if len(waits) < 15 {
		t.Error("different waits:", len(waits))
	}
	w.now -= 3600 * second // ticks continue after the clock is set back
	ticksBefore := w.baselineTicks
	w.normalTraffic(2, 60, 0)
	if w.baselineTicks < ticksBefore+15 || w.Stats.ClockJumps != 1 {
		t.Error("ticks after the jump:", w.baselineTicks-ticksBefore, w.Stats.ClockJumps)
	}
	w.outage(2, 60)
	w.budget.available = 1
	req := &Request{Remaining: second}
	w.AttemptStarted(w.now, req, 0)
	w.AttemptStarted(w.now, req, 1)
	if w.budget.available != 1-w.latency[0] {
		t.Error("a retry takes no budget:", w.budget.available)
	}
	w.rateFactor, w.concurrencyFactor, w.answers = 2, 2, 0.1
	w.adjustLimits()
	if w.rateFactor != 1 || w.concurrencyFactor != 1 {
		t.Error("keeps the limits from before the hosts went:", w.rateFactor, w.concurrencyFactor)
	}
	d := NewDetector(0.25)
	for range 4 {
		d.Count(true)
	}
	if d.Tick(false) {
		t.Error("four retries detected as a retry storm")
	}
}
