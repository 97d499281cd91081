// Package connlimit bounds the number of connections. At the limit, it closes a connection that is not in use to make room
// for a new one. The package does no I/O itself: its users open the connections and report the state of each.
//
// Start reading at Limiter.Acquire. The states of a connection are in slot.go.
package connlimit

import (
	"container/list"
	"sync"
	"time"
)

// retryInterval is how often a waiting Acquire looks for a connection to evict. It is shorter than every minAge.
const retryInterval = 5 * time.Millisecond

// Limiter bounds the number of connections. It is safe for concurrent use.
type Limiter struct {
	tokens  chan struct{} // semaphore: one token for each acquired slot
	maxIdle int

	mu      sync.Mutex             // guards byState and the state, since, element and released fields of all slots
	byState [StateActive]list.List // evictable slots (*Slot) by state, longest in that state first
}

// New returns a Limiter for up to maxConns connections. If more than maxIdle of them are idle, idle ones are closed although
// there are free slots.
func New(maxConns, maxIdle int) *Limiter {
	return &Limiter{tokens: make(chan struct{}, maxConns), maxIdle: maxIdle}
}

// Len returns the number of acquired slots, including those that have no connection yet.
func (l *Limiter) Len() int { return len(l.tokens) }

// TryAcquire returns a free slot without waiting or evicting a connection, or nil if there is none. The caller must call
// Attach or Release on the slot.
func (l *Limiter) TryAcquire() *Slot {
	select {
	case l.tokens <- struct{}{}:
		return &Slot{limiter: l, state: StateActive}
	default:
		return nil
	}
}

// Acquire waits for a free slot, evicting connections if necessary. It returns nil if done is closed first. The caller must
// call Attach or Release on the slot.
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

// evict closes one evictable connection, if there is one.
func (l *Limiter) evict() {
	if victim := l.victim(); victim != nil {
		victim.closeConn()
	}
}

// victim selects a connection to evict and marks it active, so that it is not selected again. Idle connections come first,
// as their clients only have to reconnect. If connections without a complete request occupy more than half of the slots,
// these come first, so that they cannot displace all others.
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

// setState changes a slot's state unless it was released. If more than maxIdle connections are idle, it returns the one
// to evict, or nil if none is old enough.
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

// takeEvictable returns the connection that has been in this state longest and marks it active. It returns nil if there is
// none, or if it is younger than minAge. The caller holds mu.
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
