package retryguard

// burstSeconds is how much of its rate a pool holds, in seconds: with it, what is let in over half a second stays within a
// fifth of the rate, and one command always fits.
const burstSeconds = 0.1

// workBudget is one carrier's room: seconds of hosts' work that it may still ask for.
type workBudget struct {
	available, rate float64 // rate in seconds of work a second, of all hosts
	retryBudget     float64 // further tries that its budget still has
}

// refill lets a tick's room come in and tells what runs over.
func (p *workBudget) refill(rate, cost float64) (unused float64) {
	p.rate = rate
	p.available += rate * float64(tickInterval) / float64(second)
	if top := p.limit(cost); p.available > top {
		unused = p.available - top
		p.available = top
	}
	return unused
}

func (p *workBudget) limit(cost float64) float64 { return max(burstSeconds*p.rate, 1.2*cost) }

// admissionClass is how a try is let in, the first before the last.
type admissionClass uint8

const (
	appointmentKept admissionClass = iota // it keeps its appointment
	firstTry
	unscheduledRetry
)

// admit takes a command's work from all of the room, all, and from its carrier's part of it, or from what others left
// of theirs, if there is enough for one of its class and worth. First tries have the lowest part to themselves; what
// is worth less for its work needs more.
func (p *workBudget) admit(total *workBudget, unused *float64, admission admissionClass, cost, reserve, value float64) bool {
	limit := total.limit(cost)
	required := cost
	if admission == unscheduledRetry {
		if required += reserve * (limit - cost); total.available < limit/2 && p.retryBudget < 1 {
			return false
		}
	}
	if admission != appointmentKept {
		required += (1 - value) * 0.3 * (limit - cost)
	}
	switch {
	case total.available < required:
		return false
	case p.available >= cost:
		p.available -= cost
	case *unused >= cost:
		*unused -= cost
	default:
		return false
	}
	total.available -= cost
	if admission == unscheduledRetry {
		p.retryBudget = max(0, p.retryBudget-1)
	}
	return true
}
