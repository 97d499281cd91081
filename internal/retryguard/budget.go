package retryguard

// burstSeconds is the burst size of a budget, in seconds at its rate. It limits the work admitted within half a second to 20%
// above the rate.
const burstSeconds = 0.1

// workBudget is a token bucket of work, in seconds of host time.
type workBudget struct {
	available   float64
	rate        float64 // seconds of work per second, over all hosts
	retryBudget float64 // unscheduled retries that may be admitted while work is scarce
}

// refill adds the work of one tick and returns the excess over the limit.
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

// limit returns the size of the bucket, which always fits at least one request of maxCost.
func (b *workBudget) limit(maxCost float64) float64 { return max(burstSeconds*b.rate, 1.2*maxCost) }

// admissionClass is the admission priority of a request, from highest to lowest.
type admissionClass uint8

const (
	scheduledRetry admissionClass = iota // a retry that arrives at its appointment or later
	firstTry
	unscheduledRetry
)

// valueReserve is the fraction of the total budget that a request of value 0 without an appointment must leave unused.
const valueReserve = 0.3

// admit charges cost to the total budget and to the customer's budget b, or to the work that other customers left unused if b is
// too low. It returns false, charging nothing, if too little work is left for the request's priority and value. reserve is the
// fraction of the total budget kept for first tries.
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

// takeWork charges cost to the budget or, if it is too low, to the work that other customers left unused.
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
