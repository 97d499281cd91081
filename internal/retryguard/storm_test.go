package retryguard

import (
	"testing"
)

// Normal traffic raises no false alarm in an hour, simulated as six minutes for each of ten seeds, at various rates and ratios of
// retries.
func TestNoFalseAlarms(t *testing.T) {
	for _, rate := range []int{2, 30, 240} {
		for _, retryShare := range []float64{0, 0.05, 0.2} {
			alarms := 0
			for seed := range uint64(10) {
				w := newWorkload(t, testSettings(), seed)
				w.detector.baselineRatio = retryShare // as learned from a long time of such traffic
				for i := range w.customers {
					w.customers[i].baselineRatio = retryShare
				}
				w.normalTraffic(360, rate, retryShare)
				alarms += w.Stats.Storms + w.Stats.CustomerStorms
			}
			if alarms > 0 {
				t.Errorf("%d requests/s, ratio of retries %v: got %d alarms in an hour, want none", rate, retryShare, alarms)
			}
		}
	}
}

// A retry storm is detected within 1.5 s from its retries alone, and within 0.5 s if the hosts are down.
func TestDetectsStorm(t *testing.T) {
	w := newWorkload(t, testSettings(), 1)
	w.normalTraffic(20, 50, 0.05)
	start := w.now
	for !w.detector.Storm && w.now < start+2*second {
		w.now += second / 100
		fingerprint := FingerprintOf(0, w.rnd.IntN(3), uint64(w.rnd.IntN(40)), "") // 40 requests, retried repeatedly
		req := &Request{Customer: w.rnd.IntN(3), Fingerprint: fingerprint, Remaining: 5 * second}
		w.Admit(w.now, req)
		w.Abandoned(w.now, req)
	}
	if took := w.now - start; took > 1500e6 {
		t.Errorf("detected after %d ms", took/1e6)
	}
	// faster if the hosts are down
	w = newWorkload(t, testSettings(), 1)
	w.normalTraffic(20, 50, 0.05)
	start = w.now
	for w.now < start+500e6 && !w.detector.Storm {
		w.now += second / 50
		w.key++
		w.request(0, FingerprintOf(0, 0, w.key, ""), false)
	}
	if !w.detector.Storm {
		t.Error("retry storm not detected after the hosts went down")
	}
}

// A retry storm of one customer must not cause rejections of other customers' requests.
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
		t.Errorf("retry storm in all traffic %v, of the customer %v; rejected %d of its requests and %d of others", w.detector.Storm, w.customers[1].Storm, rejected, others)
	}
}

// The tick that ends a retry storm updates the baseline ratio, even though it also clears the sums.
func TestBaselineRatioUpdatedWhenStormEnds(t *testing.T) {
	d := NewDetector(0.25)
	d.Storm = true
	d.consecutiveQuiet = quietTicks - 1
	for range 10 {
		d.Count(false)
	}
	d.Tick(false)
	if d.Storm || d.baselineRatio >= initialBaselineRatio {
		t.Errorf("retry storm %v, baseline ratio %v", d.Storm, d.baselineRatio)
	}
}
