package connlimit

import (
	"container/list"
	"time"
)

// State is the state of a connection, as its user reports it. It decides whether and when the connection may be evicted.
type State uint8

// The states of a connection. StateActive must stay the last one, as it bounds the arrays of evictable states.
const (
	StateNew     State = iota // nothing received yet
	StateReading              // part of a request received
	StateIdle                 // between two requests
	StateActive               // in use; never evicted
)

// minAge is how long a connection must have been in a state before it may be evicted. On a busy machine, a new connection
// may have to wait that long for its first bytes to be processed, and an idle one for its next use. Clients that send
// slowly get more time.
var minAge = [StateActive]time.Duration{
	StateNew:     20 * time.Millisecond,
	StateReading: 250 * time.Millisecond,
	StateIdle:    10 * time.Millisecond,
}

// Slot is the permission to have one connection open. Its methods are safe for concurrent use once Attach has been called.
type Slot struct {
	limiter   *Limiter
	closeConn func() // set once, by Attach

	// The fields below are guarded by the limiter's mu.
	state    State
	since    time.Time     // start of the current state
	element  *list.Element // in the limiter's byState; nil in StateActive
	released bool
}

// Attach assigns the slot to a connection in the given state. It must be called at most once. To evict the connection, the
// Limiter calls closeConn without holding locks; closing the connection must call Release, possibly later.
func (s *Slot) Attach(state State, closeConn func()) {
	s.closeConn = closeConn
	s.SetState(state)
}

// SetState changes the state of the connection. If too many connections are idle then, it closes the one that has been idle
// longest, unless that one is younger than minAge.
func (s *Slot) SetState(state State) {
	if victim := s.limiter.setState(s, state); victim != nil {
		victim.closeConn()
	}
}

// Release frees the slot for another connection. Calls after the first have no effect.
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

// move changes the state and the position in byState. The caller holds the limiter's mu.
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
