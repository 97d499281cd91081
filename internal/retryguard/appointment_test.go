package retryguard

import (
	"testing"
)

// Guards against clients that are rejected together retrying together, early retries gaining an advantage, and retries at their
// appointment lacking priority.
func TestAppointments(t *testing.T) {
	w := newWorkload(t, testSettings(), 5)
	w.normalTraffic(20, 60, 0)
	w.outage(3, 60)
	w.HostsChanged(w.now, true, newHosts(10, w.now))
	for i := range w.capacity.ready {
		w.capacity.ready[i].known, w.capacity.ready[i].down = true, false
	}
	w.now += tickInterval
	perSlot := map[int64]int{}
	for range 600 {
		w.key++
		req := &Request{Fingerprint: FingerprintOf(0, 0, w.key, ""), Remaining: 5 * second}
		if admitted, wait := w.Admit(w.now, req); !admitted {
			if wait <= 0 || wait > second {
				t.Fatal("waits", wait)
			}
			perSlot[wait/slot]++
		}
	}
	most := 0
	for _, n := range perSlot {
		most = max(most, n)
	}
	if len(perSlot) < 5 || most > 150 {
		t.Error(len(perSlot), "slots used, most retries in one slot", most)
	}
	c := w.customer(0)
	early := w.Stats.EarlyRetries
	if got := w.classifyAppointment(c, w.now, w.now-1e8, w.now+3e8); got != unscheduledRetry || w.Stats.EarlyRetries != early+1 {
		t.Error("early retry: got class", got)
	}
	if got := w.classifyAppointment(c, w.now, w.now-1e9, w.now); got != scheduledRetry {
		t.Error("retry at its appointment: got class", got)
	}
	if got := w.classifyAppointment(c, w.now, w.now-second, w.now+2*second); got != unscheduledRetry || w.Stats.EarlyRetries != early+1 {
		t.Error("retry after its wait but before its appointment: got class and early retries", got, w.Stats.EarlyRetries)
	}
	total := workBudget{available: 0.4, rate: 10}
	unused := 0.0
	budget := workBudget{available: 10}
	if budget.admit(&total, &unused, unscheduledRetry, 0.3, 0.5, 0) || !budget.admit(&total, &unused, scheduledRetry, 0.3, 0.5, 0) {
		t.Error("retry at its appointment has no priority over an unscheduled retry")
	}
}

// Customers whose clients ignore Retry-After get no appointments, but a random wait.
func TestIgnoredAppointments(t *testing.T) {
	w := newWorkload(t, testSettings(), 6)
	w.normalTraffic(20, 60, 0)
	w.outage(2, 60)
	for range 200 {
		w.classifyAppointment(w.customer(0), w.now, w.now, w.now+second/2)
	}
	before := w.Stats.Appointments
	req := &Request{Fingerprint: 77, Customer: 0, Remaining: second}
	if wait := w.Rejected(w.now, req, 0); w.Stats.Appointments != before || wait < second/2 || wait > second {
		t.Error(w.Stats.Appointments-before, "new appointments, want 0; wait", wait)
	}
	if len(w.fingerprints.entries)*8 > testSettings().MemoryBytes {
		t.Error("table of fingerprints exceeds MemoryBytes")
	}
}
