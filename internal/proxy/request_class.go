package proxy

import (
	"math"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
)

// classKey is what the decision engine knows of a route; routes with equal keys share a class.
type classKey struct {
	idempotent bool
	timeout    int64 // nanoseconds
	target     int64 // latency, nanoseconds
	priority   int
}

// lateValue is the value of an answer after its latency target, as a fraction of its value in time.
const lateValue = 0.3

// requestClass is the class of a key, whose value halves with each step of priority.
func (k classKey) requestClass() decision.RequestClass {
	c := decision.RequestClass{
		LatencyTarget: k.target,
		Timeout:       k.timeout,
		Idempotency:   decision.NonIdempotent,
		Value:         math.Pow(2, -float64(k.priority)),
		LateValue:     lateValue,
	}
	if k.idempotent {
		c.Idempotency = decision.Idempotent
	}
	return c
}

// distance is how far two keys lie apart: by priority, then by the latency target, then by the timeout.
func (k classKey) distance(other classKey) [3]int64 {
	return [3]int64{
		difference(int64(k.priority), int64(other.priority)),
		difference(k.target, other.target),
		difference(k.timeout, other.timeout),
	}
}

func difference(a, b int64) int64 { return max(a-b, b-a) }

// maxClasses is how many classes a service may have: the decision engine drops none, and each costs it memory and time.
const maxClasses = 256

// classTable numbers the classes of a service in the order in which they were added.
type classTable struct {
	numbers map[classKey]int
	keys    []classKey // by number
	counts  [2]int     // of classes, by idempotenceIndex
}

// number is the number of a key's class, and whether the class was added for it. Once the table is full, a further key shares the
// nearest class of its idempotenceIndex.
func (t *classTable) number(k classKey) (n int, added bool) {
	if n, ok := t.numbers[k]; ok {
		return n, false
	}
	if !t.hasCapacity(k) {
		return t.nearest(k), false
	}
	if t.numbers == nil {
		t.numbers = map[classKey]int{}
	}
	n = len(t.keys)
	t.numbers[k] = n
	t.keys = append(t.keys, k)
	t.counts[k.idempotenceIndex()]++
	return n, true
}

// hasCapacity reports whether a class may be added for a key. The last one is kept for an idempotenceIndex that has none.
func (t *classTable) hasCapacity(k classKey) bool {
	own, other := t.counts[k.idempotenceIndex()], t.counts[1-k.idempotenceIndex()]
	reserved := 0
	if own > 0 && other == 0 {
		reserved = 1
	}
	return len(t.keys) < maxClasses-reserved
}

// nearest is the class of a key's idempotenceIndex that is nearest to it, the first of those as near. A full table has one of each.
func (t *classTable) nearest(k classKey) int {
	best, bestDistance := -1, [3]int64{}
	for n, other := range t.keys {
		if other.idempotent != k.idempotent {
			continue
		}
		if d := k.distance(other); best < 0 || slices.Compare(d[:], bestDistance[:]) < 0 {
			best, bestDistance = n, d
		}
	}
	return best
}

// idempotenceIndex is 1 for keys whose requests may run more than once, 0 for others.
func (k classKey) idempotenceIndex() int {
	if k.idempotent {
		return 1
	}
	return 0
}

// classOf is the number of a route's class at the decision engine.
func (s *service) classOf(r *config.Route) int {
	s.classMu.Lock() // until the class is posted: whoever finds its number posts a request after it
	defer s.classMu.Unlock()
	k := classKey{r.Idempotent, r.Timeout, r.LatencyTarget, r.Priority}
	n, added := s.classes.number(k)
	if added {
		s.dispatcher.Post(dispatch.ClassAdded{RequestClass: k.requestClass()})
	}
	return n
}
