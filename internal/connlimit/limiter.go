// Package connlimit keeps a number of connections within a bound. Where it is reached, a connection that is of no use
// at the moment is closed for one that is wanted.
package connlimit

import (
	"container/list"
	"sync"
	"time"
)

// State is what a connection is doing.
type State uint8

const (
	StateNew     State = iota // new, and nothing has come on it
	StateReading              // something has come that is not whole yet
	StateIdle                 // between two uses
	StateActive               // in use: it is never closed to make room
)

// minAge is how long a connection must have been so before it may be closed to make room. What is new is about to
// speak, and an idle one about to be used again: a turn of a full core. Who writes slowly gets a little longer.
var minAge = [StateActive]time.Duration{StateNew: 20 * time.Millisecond, StateReading: 250 * time.Millisecond, StateIdle: 10 * time.Millisecond}

const retryInterval = 5 * time.Millisecond // between looks for a connection that may be closed; short beside any rest

// Limiter is the bound.
type Limiter struct {
	tokens  chan struct{} // holds one for each connection
	maxIdle int           // so many may stand idle
	mu      sync.Mutex
	byState [StateActive]list.List // of *Place, the longest so first
}

// New makes room for so many connections, of which some may stand idle.
func New(maxConns, maxIdle int) *Limiter {
	return &Limiter{tokens: make(chan struct{}, maxConns), maxIdle: maxIdle}
}

// Len is how many connections there are.
func (l *Limiter) Len() int { return len(l.tokens) }

// Slot is one connection's.
type Slot struct {
	limiter  *Limiter
	close    func() // the connection, which leaves then
	state    State
	since    time.Time
	element  *list.Element
	released bool
}

// TryAcquire takes a place if one is free; the caller must Fill or Leave it.
func (l *Limiter) TryAcquire() *Slot {
	select {
	case l.tokens <- struct{}{}:
		return &Slot{limiter: l, state: StateActive}
	default:
		return nil
	}
}

// Acquire waits for a place, and closes a connection for it if it must; nil if done comes first.
func (l *Limiter) Acquire(done <-chan struct{}) *Slot {
	if s := l.TryAcquire(); s != nil {
		return s
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case l.tokens <- struct{}{}:
			return &Slot{limiter: l, state: StateActive}
		case <-done:
			return nil
		case <-timer.C:
			l.evict()
			timer.Reset(retryInterval)
		}
	}
}

// evict closes the connection that has been of no use for longest. An idle one costs its client least, another
// connection; but what has not asked yet gets no more than half of the room, so that it can't push out those that ask.
func (l *Limiter) evict() {
	l.mu.Lock()
	order := [...]State{StateIdle, StateNew, StateReading}
	if l.byState[StateNew].Len()+l.byState[StateReading].Len() > cap(l.tokens)/2 {
		order = [...]State{StateNew, StateReading, StateIdle}
	}
	var victim *Slot
	for i := 0; i < len(order) && victim == nil; i++ {
		victim = l.takeEvictable(order[i])
	}
	l.mu.Unlock()
	if victim != nil {
		victim.close()
	}
}

// takeEvictable takes the connection that has been so for longest out of the choice, to be closed, if it has had its rest; the
// room is locked.
func (l *Limiter) takeEvictable(use State) *Slot {
	first := l.byState[use].Front()
	if first == nil || time.Since(first.Value.(*Slot).since) < minAge[use] {
		return nil
	}
	s := first.Value.(*Slot)
	s.move(StateActive)
	return s
}

// Attach names the connection's end and use.
func (s *Slot) Attach(use State, close func()) {
	s.close = close
	s.SetState(use)
}

// SetState tells what the connection is doing from now on.
func (s *Slot) SetState(use State) {
	l := s.limiter
	l.mu.Lock()
	if !s.released {
		s.move(use)
	}
	var victim *Slot
	if l.byState[StateIdle].Len() > l.maxIdle {
		victim = l.takeEvictable(StateIdle)
	}
	l.mu.Unlock()
	if victim != nil {
		victim.close()
	}
}

// move moves the place; the room is locked.
func (s *Slot) move(use State) {
	if s.element != nil {
		s.limiter.byState[s.state].Remove(s.element)
		s.element = nil
	}
	if s.state, s.since = use, time.Now(); use != StateActive {
		s.element = s.limiter.byState[use].PushBack(s)
	}
}

// Release gives the place up, once however often it is called.
func (s *Slot) Release() {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	if !s.released {
		s.move(StateActive)
		s.released = true
		<-s.limiter.tokens
	}
}
