package connlimit

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Eviction order: idle connections, then new ones, then those with a partial request. If more than half have no complete request,
// those go before the idle ones. Active connections and those younger than minAge must not be evicted.
func TestEvictsIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(6, 6)
		var closed []string
		add := func(name string, state State) *Slot {
			slot := limiter.Acquire(nil)
			slot.Attach(state, func() {
				closed = append(closed, name)
				slot.Release()
				slot.Release() // must have no effect
			})
			return slot
		}
		check := func(want ...string) {
			t.Helper()
			if !slices.Equal(closed, want) {
				t.Error(closed)
			}
			closed = nil
		}
		add("active", StateActive)
		add("idle", StateIdle)
		add("reading", StateReading)
		add("new", StateNew)
		add("idle2", StateIdle)
		add("new2", StateNew)
		time.Sleep(time.Second)
		add("new3", StateNew)
		check("idle")
		since := time.Now()
		add("new4", StateNew) // four of six have no complete request
		check("new")
		add("new5", StateNew)
		check("new2")
		add("new6", StateNew) // new3 is younger than minAge
		check("reading")
		add("new7", StateNew)
		check("idle2")
		if add("new8", StateNew); time.Since(since) != minAge[StateNew] {
			t.Error(time.Since(since))
		}
		check("new3")
		time.Sleep(time.Second)
		for range 5 {
			add("more", StateActive)
		}
		check("new4", "new5", "new6", "new7", "new8")
		done := make(chan struct{})
		time.AfterFunc(time.Second, func() { close(done) })
		if limiter.TryAcquire() != nil || limiter.Acquire(done) != nil || limiter.Len() != 6 {
			t.Error("got a slot beyond the limit")
		}
	})
}

// Above maxIdle, the connection that has been idle longest must be closed, although there are free slots.
func TestMaxIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(6, 2)
		for range 5 {
			slot := limiter.Acquire(nil)
			slot.Attach(StateIdle, slot.Release)
			time.Sleep(minAge[StateIdle])
		}
		if limiter.Len() != 2 {
			t.Error(limiter.Len(), "connections")
		}
	})
}
