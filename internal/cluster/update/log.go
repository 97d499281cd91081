package update

import "slices"

// Log numbers the changes of one incarnation of a control process, starting from 1, and keeps the most recent ones. It is not safe for
// concurrent use.
type Log struct {
	capacity int
	last     uint64
	changes  []Change
}

// NewLog returns an empty log that keeps at least the last capacity changes.
func NewLog(capacity int) *Log { return &Log{capacity: capacity} }

// Add appends a change and returns its number.
func (l *Log) Add(change Change) uint64 {
	l.last++
	l.changes = append(l.changes, change)
	if len(l.changes) > l.capacity+l.capacity/2 { // amortizes the cost of the copy
		l.changes = slices.Clone(l.changes[len(l.changes)-l.capacity:])
	}
	return l.last
}

// Last returns the number of the last change, or 0 if there is none.
func (l *Log) Last() uint64 { return l.last }

// After returns the changes with numbers above the given one, which the caller must not modify. ok is false if some of them are no
// longer kept, or if number is above Last.
func (l *Log) After(number uint64) (changes []Change, ok bool) {
	missing := l.last - number
	if number > l.last || missing > uint64(len(l.changes)) {
		return nil, false
	}
	return l.changes[uint64(len(l.changes))-missing:], true
}

// Subscription is a subscriber's position in the log of a control process.
type Subscription struct {
	Incarnation string // incarnation of the control process
	Offset      uint64 // number of the last change received
}

// Advance moves the position to the end of a received batch. It returns false and leaves the position unchanged if the batch is of another
// incarnation or doesn't start at the position. A snapshot is accepted in any case.
func (s *Subscription) Advance(incarnation string, from, to uint64, snapshot bool) bool {
	if snapshot {
		s.Incarnation = incarnation
		s.Offset = to
		return true
	}
	if incarnation != s.Incarnation || from != s.Offset || to < from {
		return false
	}
	s.Offset = to
	return true
}
