package retryguard

// burstSeconds is how much of its rate a budget holds, in seconds: with it, what is admitted in half a second stays within a
// fifth of the rate.
const burstSeconds = 0.1

// workBudget is how much work may still be admitted, in seconds of a host's time.
type workBudget struct {
	available   float64
	rate        float64 // seconds of work a second, of all hosts
	retryBudget float64 // retries that may be admitted while work is scarce
}

// refill adds a tick's work, and returns what is beyond the limit.
func (b *workBudget) refill(rate, maxCost float64) (unused float64) {
	b.rate = rate
	b.available += rate * float64(tickInterval) / float64(second)
	limit := b.limit(maxCost)
	if b.available > limit {
		unused = b.available - limit
		b.available = limit
	}
	return unused
}

// limit is how much the budget holds; one request always fits.
func (b *workBudget) limit(maxCost float64) float64 { return max(burstSeconds*b.rate, 1.2*maxCost) }

// admissionClass is the priority of a request, the first before the last.
type admissionClass uint8

const (
	scheduledRetry admissionClass = iota // it comes at its appointment or later
	firstTry
	unscheduledRetry
)

// valueReserve is the part of the total budget that a request without an appointment and without value must leave.
const valueReserve = 0.3

// admit takes a request's work from the total budget, and from its customer's, b, or from what others have left unused; it
// returns false if there is too little for its priority and value. reserve is the part that is kept for first tries.
func (b *workBudget) admit(total *workBudget, unused *float64, admission admissionClass, cost, reserve, value float64) bool {
	spare := total.limit(cost) - cost
	required := cost
	if admission == unscheduledRetry {
		required += reserve * spare
		isScarce := total.available < total.limit(cost)/2
		if isScarce && b.retryBudget < 1 {
			return false
		}
	}
	if admission != scheduledRetry {
		required += (1 - value) * valueReserve * spare
	}
	if total.available < required || !b.takeWork(unused, cost) {
		return false
	}
	total.available -= cost
	if admission == unscheduledRetry {
		b.retryBudget = max(0, b.retryBudget-1)
	}
	return true
}

// takeWork takes work from the budget, or else from what others have left unused.
func (b *workBudget) takeWork(unused *float64, cost float64) bool {
	switch {
	case b.available >= cost:
		b.available -= cost
	case *unused >= cost:
		*unused -= cost
	default:
		return false
	}
	return true
}
