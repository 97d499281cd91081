package retryguard

// depth is how much of its rate a pool holds, in seconds: with it, what is let in over half a second stays within a
// fifth of the rate, and one command always fits.
const depth = 0.1

// pool is one carrier's room: seconds of hosts' work that it may still ask for.
type pool struct {
	have, rate float64 // rate in seconds of work a second, of all hosts
	allowed    float64 // further tries that its budget still has
}

// turn lets a tick's room come in and tells what runs over.
func (p *pool) turn(rate, cost float64) (over float64) {
	p.rate = rate
	p.have += rate * float64(tickLen) / float64(second)
	if top := p.top(cost); p.have > top {
		over = p.have - top
		p.have = top
	}
	return over
}

func (p *pool) top(cost float64) float64 { return max(depth*p.rate, 1.2*cost) }

// class is how a try is let in, the first before the last.
type class uint8

const (
	expected class = iota // it keeps its appointment
	first
	further
)

// admit takes a command's work from all of the room, all, and from its carrier's part of it, or from what others left
// of theirs, if there is enough for one of its class and worth. First tries have the lowest part to themselves; what
// is worth less for its work needs more.
func (p *pool) admit(all *pool, spare *float64, of class, cost, keep, worth float64) bool {
	top := all.top(cost)
	need := cost
	if of == further {
		if need += keep * (top - cost); all.have < top/2 && p.allowed < 1 {
			return false
		}
	}
	if of != expected {
		need += (1 - worth) * 0.3 * (top - cost)
	}
	switch {
	case all.have < need:
		return false
	case p.have >= cost:
		p.have -= cost
	case *spare >= cost:
		*spare -= cost
	default:
		return false
	}
	all.have -= cost
	if of == further {
		p.allowed = max(0, p.allowed-1)
	}
	return true
}
