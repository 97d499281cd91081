package proxy

import (
	"math"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
)

// classKey has the properties of a route that the decision engine uses. Routes with equal keys share a request class.
type classKey struct {
	idempotent bool
	timeout    int64 // nanoseconds
	target     int64 // latency target, nanoseconds
	priority   int
}

// lateValue is the value of a response after its latency target, as a fraction of its value within the target.
const lateValue = 0.3

// requestClass returns the request class for a key. The value of a request halves with each priority step.
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

// distance returns the differences of two keys in priority, latency target and timeout, to be compared in this order.
func (k classKey) distance(other classKey) [3]int64 {
	return [3]int64{
		difference(int64(k.priority), int64(other.priority)),
		difference(k.target, other.target),
		difference(k.timeout, other.timeout),
	}
}

func difference(a, b int64) int64 { return max(a-b, b-a) }

// maxClasses is the maximum number of classes of a service. The decision engine never drops a class, and each costs it memory and time.
const maxClasses = 256

// classTable numbers the request classes of a service in the order in which they were added.
type classTable struct {
	numbers map[classKey]int
	keys    []classKey // by number
	counts  [2]int     // number of classes, by idempotenceIndex
}

// number returns the class number for a key and whether the class was added for it. Once the table is full, a new key gets the nearest class
// with the same idempotence.
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

// hasCapacity reports whether a class may be added for a key. While all classes have the idempotence of the key, the last number is reserved
// for a class of the other kind.
func (t *classTable) hasCapacity(k classKey) bool {
	own, other := t.counts[k.idempotenceIndex()], t.counts[1-k.idempotenceIndex()]
	reserved := 0
	if own > 0 && other == 0 {
		reserved = 1
	}
	return len(t.keys) < maxClasses-reserved
}

// nearest returns the class with the least distance to a key among those with its idempotence, the first one on a tie. A full table has at
// least one class of each kind.
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

// idempotenceIndex returns 1 if requests with this key are idempotent, 0 otherwise.
func (k classKey) idempotenceIndex() int {
	if k.idempotent {
		return 1
	}
	return 0
}

// classOf returns the class number that the decision engine uses for a route, and adds the class if it is new.
func (s *service) classOf(r *config.Route) int {
	s.classMu.Lock() // held until the class is posted, so that no request with its number is posted earlier
	defer s.classMu.Unlock()
	k := classKey{r.Idempotent, r.Timeout, r.LatencyTarget, r.Priority}
	n, added := s.classes.number(k)
	if added {
		s.dispatcher.Post(dispatch.ClassAdded{RequestClass: k.requestClass()})
	}
	return n
}
