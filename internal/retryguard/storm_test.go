package retryguard

import (
	"testing"
)

// Calm traffic raises no alarm in an hour, at the rates of routers with little and much traffic, with as many retries as impatient
// clients send: here a tenth of an hour for each of ten seeds.
func TestNoFalseAlarms(t *testing.T) {
	for _, rate := range []int{2, 30, 240} {
		for _, retryShare := range []float64{0, 0.05, 0.2} {
			alarms := 0
			for seed := range uint64(10) {
				w := newWorkload(t, testSettings(), seed)
				w.detector.baselineRatio = retryShare // as after hours of it
				for i := range w.customers {
					w.customers[i].baselineRatio = retryShare
				}
				w.normalTraffic(360, rate, retryShare)
				alarms += w.Stats.Storms + w.Stats.CustomerStorms
			}
			if alarms > 0 {
				t.Errorf("%d requests a second, %v of them retries: %d alarms in an hour", rate, retryShare, alarms)
			}
		}
	}
}

// A retry storm is detected within half a second of the first unserved second, by its retries alone.
func TestDetectsStorm(t *testing.T) {
	w := newWorkload(t, testSettings(), 1)
	w.normalTraffic(20, 50, 0.05)
	start := w.now
	for !w.detector.Storm && w.now < start+2*second {
		w.now += second / 100
		fingerprint := FingerprintOf(0, w.rnd.IntN(3), uint64(w.rnd.IntN(40)), "") // each of 40 is sent again and again
		req := &Request{Customer: w.rnd.IntN(3), Fingerprint: fingerprint, Remaining: 5 * second}
		w.Admit(w.now, req)
		w.Abandoned(w.now, req)
	}
	if took := w.now - start; took > 1500e6 {
		t.Errorf("detected after %d ms", took/1e6)
	}
	// at once if the hosts are gone
	w = newWorkload(t, testSettings(), 1)
	w.normalTraffic(20, 50, 0.05)
	start = w.now
	for w.now < start+500e6 && !w.detector.Storm {
		w.now += second / 50
		w.key++
		w.request(0, FingerprintOf(0, 0, w.key, ""), false)
	}
	if !w.detector.Storm {
		t.Error("not detected though the hosts are gone")
	}
}

// One customer's retry storm costs the others nothing.
func TestStormOfOneCustomer(t *testing.T) {
	w := newWorkload(t, testSettings(), 4)
	w.normalTraffic(20, 60, 0)
	rejected, others := 0, 0
	for range 1500 {
		w.now += second / 300
		fingerprint := FingerprintOf(0, 1, uint64(w.rnd.IntN(3)+1), "")
		req := &Request{Customer: 1, Fingerprint: fingerprint, Remaining: second}
		if admitted, _ := w.Admit(w.now, req); !admitted {
			rejected++
		} else {
			w.Abandoned(w.now, req)
		}
		if w.rnd.IntN(6) == 0 {
			w.key++
			if admitted, _ := w.request(int(w.key%2)*2, FingerprintOf(0, 0, w.key, ""), true); !admitted {
				others++
			}
		}
	}
	if w.detector.Storm || !w.customers[1].Storm || rejected < 500 || others > 0 {
		t.Errorf("storm of all %v, of the customer %v; %d of its requests rejected, %d of others", w.detector.Storm, w.customers[1].Storm, rejected, others)
	}
}

// The tick that ends a retry storm counts in the calm share as any other: its requests are looked at before the sums are cleared.
func TestBaselineRatioUpdatedWhenStormEnds(t *testing.T) {
	d := NewDetector(0.25)
	d.Storm = true
	d.consecutiveQuiet = quietTicks - 1
	for range 10 {
		d.Count(false)
	}
	d.Tick(false)
	if d.Storm || d.baselineRatio >= initialBaselineRatio {
		t.Errorf("storm %v, calm share %v", d.Storm, d.baselineRatio)
	}
}
