package retryguard

import (
	"math/rand/v2"
	"testing"
)

func testSettings() Settings {
	return Settings{
		Tuning:        Defaults(),
		Customers:     3,
		Routers:       3,
		ColdCapacity:  0.33,
		WarmUpTime:    4 * second,
		MaxRetryAfter: second,
		Classes: []Class{
			{LatencyTarget: 1500e6, Timeout: 5 * second, Value: 1},
			{LatencyTarget: 750e6, Timeout: 3 * second, Value: 5},
		},
	}
}

// workload drives a guard with synthetic traffic on a virtual clock. newWorkload starts it with ten warm hosts.
type workload struct {
	*Guard
	now int64
	rnd *rand.Rand
	key uint64 // of the latest new request
}

func newWorkload(t testing.TB, s Settings, seed uint64) *workload {
	w := &workload{now: 1e18, rnd: rand.New(rand.NewPCG(seed, 1))}
	var err error
	if w.Guard, err = New(s, seed, w.now); err != nil {
		t.Fatal(err)
	}
	w.HostsChanged(w.now, true, newHosts(10, 0))
	return w
}

func newHosts(n int, started int64) (all []Host) {
	for i := range n {
		all = append(all, Host{ID: uint32(i + 1), Ready: true, Capacity: 1, StartedAt: started})
	}
	return all
}

// request passes a request to the guard. If it is admitted, its only attempt succeeds if served, and otherwise fails to connect.
func (w *workload) request(customer int, fingerprint uint64, served bool) (admitted bool, wait int64) {
	req := &Request{Class: 0, Customer: customer, Fingerprint: fingerprint, Remaining: 5 * second}
	if admitted, wait = w.Admit(w.now, req); !admitted {
		return
	}
	host := uint32(w.rnd.IntN(10) + 1)
	w.AttemptStarted(w.now, req, 0)
	if served {
		w.AttemptEnded(w.now, req, host, Answered, true, 3e8)
		return
	}
	w.AttemptEnded(w.now, req, host, ConnectionFailed, false, 1e6)
	return admitted, w.Rejected(w.now, req, 25e7)
}

// normalTraffic passes perSecond requests per second to the guard, all of which succeed. retryShare is the fraction that are
// retries of abandoned requests.
func (w *workload) normalTraffic(seconds float64, perSecond int, retryShare float64) {
	for range int(seconds * float64(perSecond)) {
		w.now += second / int64(perSecond)
		w.key++
		fingerprint := FingerprintOf(0, int(w.key%3), w.key, "")
		if w.rnd.Float64() < retryShare/(1-retryShare) {
			w.Abandoned(w.now, &Request{Fingerprint: fingerprint})
		}
		w.request(int(w.key%3), fingerprint, true)
	}
}

// outage passes perSecond new requests per second to the guard while no host accepts connections. Each rejected request is retried
// after its wait.
func (w *workload) outage(seconds float64, perSecond int) {
	type client struct {
		at          int64 // of its next attempt
		fingerprint uint64
		customer    int
	}
	var waiting []client
	end := w.now + int64(seconds*1e9)
	for w.now < end {
		w.now += second / int64(perSecond)
		w.key++
		waiting = append(waiting, client{w.now, FingerprintOf(0, int(w.key%3), w.key, ""), int(w.key % 3)})
		for i := 0; i < len(waiting); i++ {
			if c := &waiting[i]; c.at <= w.now {
				_, wait := w.request(c.customer, c.fingerprint, false)
				c.at = w.now + max(wait, 1e6)
			}
		}
	}
}
