// Package connlimit bounds the number of connections. When the bound is reached, a connection that is not in use is closed
// for a new one. The package opens no connection and reads none: its users say what each is doing.
//
// Begin reading at Limiter.Acquire; slot.go has the states of a connection.
package connlimit

import (
	"container/list"
	"sync"
	"time"
)

// retryInterval is the time between two looks for a connection that may be evicted; short beside any of minAge.
const retryInterval = 5 * time.Millisecond

// Limiter is a bound on the number of connections. It is safe for concurrent use.
type Limiter struct {
	tokens  chan struct{} // holds one for each connection
	maxIdle int           // connections that may be idle at once

	mu      sync.Mutex             // guards byState and the slots' states
	byState [StateActive]list.List // of *Slot, the one that has been in its state for longest first
}

// New makes a limiter of maxConns connections, of which maxIdle may be idle at once.
func New(maxConns, maxIdle int) *Limiter {
	return &Limiter{tokens: make(chan struct{}, maxConns), maxIdle: maxIdle}
}

// Len returns the number of connections.
func (l *Limiter) Len() int { return len(l.tokens) }

// TryAcquire returns a slot if one is free, nil otherwise. The caller must call the slot's Attach or Release.
func (l *Limiter) TryAcquire() *Slot {
	select {
	case l.tokens <- struct{}{}:
		return &Slot{limiter: l, state: StateActive}
	default:
		return nil
	}
}

// Acquire waits for a slot, and evicts a connection for it if it must. It returns nil if done is closed first.
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

// evict closes one connection that may be evicted, if there is one.
func (l *Limiter) evict() {
	if victim := l.victim(); victim != nil {
		victim.closeConn()
	}
}

// victim takes the connection to be evicted out of the choice. An idle one costs its client least, another connection; but
// those on which no complete request has come get no more than half of the bound, so that they can't displace the others.
func (l *Limiter) victim() *Slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	order := [...]State{StateIdle, StateNew, StateReading}
	withoutRequest := l.byState[StateNew].Len() + l.byState[StateReading].Len()
	if withoutRequest > cap(l.tokens)/2 {
		order = [...]State{StateNew, StateReading, StateIdle}
	}
	for _, state := range order {
		if s := l.takeEvictable(state); s != nil {
			return s
		}
	}
	return nil
}

// setState changes a slot's state, and returns the connection to be evicted if too many are idle.
func (l *Limiter) setState(s *Slot, state State) *Slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !s.released {
		s.move(state)
	}
	if l.byState[StateIdle].Len() <= l.maxIdle {
		return nil
	}
	return l.takeEvictable(StateIdle)
}

// takeEvictable takes the connection that has been in a state for longest out of the choice, if it has been for long
// enough. The caller holds mu.
func (l *Limiter) takeEvictable(state State) *Slot {
	first := l.byState[state].Front()
	if first == nil {
		return nil
	}
	s := first.Value.(*Slot)
	if time.Since(s.since) < minAge[state] {
		return nil
	}
	s.move(StateActive)
	return s
}
