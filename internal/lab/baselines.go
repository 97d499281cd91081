package lab

import (
	"portflow/internal/dispatch"
	"portflow/internal/random"
	"portflow/internal/retryguard"
)

type retryGuard = dispatch.Guard

// fixedLimit admits all requests. Those that the decision engine rejects get the longest Retry-After.
type fixedLimit struct{}

func (*fixedLimit) Admit(int64, *retryguard.Request) (bool, int64)                                  { return true, 0 }
func (*fixedLimit) Rejected(int64, *retryguard.Request, int64) int64                                { return maxAdvice }
func (*fixedLimit) AttemptStarted(int64, *retryguard.Request, int)                                  {}
func (*fixedLimit) Abandoned(int64, *retryguard.Request)                                            {}
func (*fixedLimit) AttemptEnded(int64, *retryguard.Request, uint32, retryguard.Signal, bool, int64) {}
func (*fixedLimit) HostsChanged(int64, bool, []retryguard.Host)                                     {}

// retryBudget limits marked retries to a tenth of the successful requests, with a burst of 20.
type retryBudget struct {
	fixedLimit
	tokens float64
}

func (b *retryBudget) Admit(_ int64, req *retryguard.Request) (bool, int64) {
	if !req.Retry {
		return true, 0
	}
	if b.tokens < 1 {
		return false, maxAdvice / 4
	}
	b.tokens--
	return true, 0
}

func (b *retryBudget) AttemptEnded(_ int64, _ *retryguard.Request, _ uint32, _ retryguard.Signal, fulfilled bool, _ int64) {
	if fulfilled {
		b.tokens = min(20, b.tokens+0.1)
	}
}

// throttle is adaptive client-side throttling, applied at the router: it rejects requests with a probability that grows as the recent
// requests exceed twice those that succeeded.
type throttle struct {
	fixedLimit
	rng                random.Source
	requests, accepted float64
	updatedAt          int64
}

func (t *throttle) decay(now int64) {
	for ; t.updatedAt < now; t.updatedAt += int64(step) { // time constant of 10 s
		t.requests *= 0.99
		t.accepted *= 0.99
		if now-t.updatedAt > 1e10 {
			t.updatedAt = now
		}
	}
}

func (t *throttle) Admit(now int64, _ *retryguard.Request) (bool, int64) {
	t.decay(now)
	t.requests++
	if t.rng.Float64() < (t.requests-2*t.accepted)/(t.requests+1) {
		return false, maxAdvice / 4
	}
	return true, 0
}

func (t *throttle) AttemptEnded(_ int64, _ *retryguard.Request, _ uint32, _ retryguard.Signal, fulfilled bool, _ int64) {
	if fulfilled {
		t.accepted++
	}
}
