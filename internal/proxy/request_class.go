package proxy

import (
	"math"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
)

// bandKey is what the rules are told of a route; routes that are alike in it share a band.
type bandKey struct {
	safe                bool
	timeout, targetTime int64
	priority            int
}

// band is what the rules are told.
func (k bandKey) band() decision.RequestClass {
	b := decision.RequestClass{LatencyTarget: k.targetTime, Timeout: k.timeout, Idempotency: decision.NonIdempotent, Value: math.Pow(2, -float64(k.priority)), LateValue: 0.3}
	if k.safe {
		b.Idempotency = decision.Idempotent
	}
	return b
}

// distance is how far two keys lie apart, the priority first, then the target, which the rules go by, then the timeout.
func (k bandKey) distance(other bandKey) [3]int64 {
	apart := func(a, b int64) int64 { return max(a-b, b-a) }
	return [3]int64{apart(int64(k.priority), int64(other.priority)), apart(k.targetTime, other.targetTime), apart(k.timeout, other.timeout)}
}

// maxBands is how many bands a service may have: the rules drop none, and each costs them memory and time.
const maxBands = 256

// bandTable numbers the bands of a service in the order in which they were added.
type bandTable struct {
	numbers map[bandKey]int
	keys    []bandKey // by number
	classes [2]int    // how many are unsafe, and safe
}

// number is the number of a key's band, and whether the band was added for it. Once the table is full, a further key shares the
// nearest band of its class.
func (t *bandTable) number(k bandKey) (n int, added bool) {
	if n, ok := t.numbers[k]; ok {
		return n, false
	}
	if !t.hasRoom(k) {
		return t.nearest(k), false
	}
	if t.numbers == nil {
		t.numbers = map[bandKey]int{}
	}
	n = len(t.keys)
	t.numbers[k] = n
	t.keys = append(t.keys, k)
	t.classes[class(k)]++
	return n, true
}

// hasRoom tells whether a band may be added for a key. The last one is kept for a class that has none.
func (t *bandTable) hasRoom(k bandKey) bool {
	own, other := t.classes[class(k)], t.classes[1-class(k)]
	reserved := 0
	if own > 0 && other == 0 {
		reserved = 1
	}
	return len(t.keys) < maxBands-reserved
}

// nearest is the band of a key's class that is least far from it, the first of those as near. A full table has one of each class.
func (t *bandTable) nearest(k bandKey) int {
	best, least := -1, [3]int64{}
	for n, other := range t.keys {
		if other.safe != k.safe {
			continue
		}
		if d := k.distance(other); best < 0 || slices.Compare(d[:], least[:]) < 0 {
			best, least = n, d
		}
	}
	return best
}

// class is a key's repeat class: 1 for those whose requests may be repeated, 0 for others.
func class(k bandKey) int {
	if k.safe {
		return 1
	}
	return 0
}

// bandOf is the number of a route's band in the rules.
func (s *service) bandOf(r *config.Route) int {
	s.bandMu.Lock() // until the band is posted: who finds its number posts a command after it
	defer s.bandMu.Unlock()
	k := bandKey{r.Idempotent, r.Timeout, r.LatencyTarget, r.Priority}
	n, added := s.bands.number(k)
	if added {
		s.dispatcher.Post(dispatch.ClassAdded{RequestClass: k.band()})
	}
	return n
}
