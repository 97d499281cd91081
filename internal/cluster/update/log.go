package update

import "slices"

// Log numbers the changes of one incarnation of a control process, from 1, and keeps the last ones. It is not safe for concurrent
// use.
type Log struct {
	capacity int
	last     uint64
	changes  []Change
}

// NewLog returns an empty log that keeps at least capacity changes.
func NewLog(capacity int) *Log { return &Log{capacity: capacity} }

// Add adds a change and returns its number.
func (l *Log) Add(change Change) uint64 {
	l.last++
	l.changes = append(l.changes, change)
	if len(l.changes) > l.capacity+l.capacity/2 { // moves the list now and then, not at each change
		l.changes = slices.Clone(l.changes[len(l.changes)-l.capacity:])
	}
	return l.last
}

// Last returns the number of the last change, 0 if there is none.
func (l *Log) Last() uint64 { return l.last }

// After returns the changes with numbers above the given one; ok is false if some of them aren't kept any more.
func (l *Log) After(number uint64) (changes []Change, ok bool) {
	missing := l.last - number
	if number > l.last || missing > uint64(len(l.changes)) {
		return nil, false
	}
	return l.changes[uint64(len(l.changes))-missing:], true
}

// Subscription is the position of a subscriber in the log of a control process.
type Subscription struct {
	Incarnation string // of the control process
	Offset      uint64 // number of the last change that was received
}

// Advance moves the position behind a batch, and reports whether the batch follows on it. A snapshot always does; a batch that was
// received before doesn't.
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
