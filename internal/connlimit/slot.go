package connlimit

import (
	"container/list"
	"time"
)

// State is what a connection is doing.
type State uint8

// The states of a connection.
const (
	StateNew     State = iota // nothing has come on it yet
	StateReading              // part of a request has come
	StateIdle                 // between two uses
	StateActive               // in use: it is never evicted
)

// minAge is how long a connection must have been in its state before it may be evicted. A new one is about to be written
// on, and an idle one about to be used again, within a scheduling delay of a busy processor. A client that writes slowly
// gets more time.
var minAge = [StateActive]time.Duration{
	StateNew:     20 * time.Millisecond,
	StateReading: 250 * time.Millisecond,
	StateIdle:    10 * time.Millisecond,
}

// Slot is one connection's part of a Limiter. Its methods are safe for concurrent use, after Attach.
type Slot struct {
	limiter   *Limiter
	closeConn func() // set once, by Attach; closes the connection, which then releases the slot

	// The fields below are guarded by the limiter's mu.
	state    State
	since    time.Time     // of state
	element  *list.Element // in the limiter's byState, nil for an active connection
	released bool
}

// Attach gives the slot its connection, in its first state. closeConn is called without locks held if the connection is
// evicted; it must lead to Release.
func (s *Slot) Attach(state State, closeConn func()) {
	s.closeConn = closeConn
	s.SetState(state)
}

// SetState says what the connection is doing from now on. It may evict the connection that has been idle for longest.
func (s *Slot) SetState(state State) {
	if victim := s.limiter.setState(s, state); victim != nil {
		victim.closeConn()
	}
}

// Release gives the slot up. Further calls do nothing.
func (s *Slot) Release() {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	if s.released {
		return
	}
	s.move(StateActive)
	s.released = true
	<-s.limiter.tokens
}

// move changes the state. The caller holds the limiter's mu.
func (s *Slot) move(state State) {
	if s.element != nil {
		s.limiter.byState[s.state].Remove(s.element)
		s.element = nil
	}
	s.state = state
	s.since = time.Now()
	if state != StateActive {
		s.element = s.limiter.byState[state].PushBack(s)
	}
}
