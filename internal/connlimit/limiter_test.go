package connlimit

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// What is idle goes first, then what says nothing, then what never ends; what is in use never goes, and what has come a
// moment ago is given its time. Where most have not asked yet, they go before those that have.
func TestEvictsIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(6, 6)
		var closed []string
		add := func(name string, use State) *Slot {
			p := r.Acquire(nil)
			p.Attach(use, func() {
				closed = append(closed, name)
				p.Release()
				p.Release() // a second close gives nothing up
			})
			return p
		}
		check := func(want ...string) {
			t.Helper()
			if !slices.Equal(closed, want) {
				t.Error(closed)
			}
			closed = nil
		}
		add("busy", StateActive)
		add("idle", StateIdle)
		add("begun", StateReading)
		add("silent", StateNew)
		add("idle2", StateIdle)
		add("silent2", StateNew)
		time.Sleep(time.Second)
		add("silent3", StateNew)
		check("idle")
		since := time.Now()
		add("silent4", StateNew) // four of six have not asked
		check("silent")
		add("silent5", StateNew)
		check("silent2")
		add("silent6", StateNew) // silent3 has just come
		check("begun")
		add("silent7", StateNew)
		check("idle2")
		if add("silent8", StateNew); time.Since(since) != minAge[StateNew] {
			t.Error(time.Since(since))
		}
		check("silent3")
		time.Sleep(time.Second)
		for range 5 {
			add("more", StateActive)
		}
		check("silent4", "silent5", "silent6", "silent7", "silent8")
		done := make(chan struct{})
		time.AfterFunc(time.Second, func() { close(done) })
		if r.TryAcquire() != nil || r.Acquire(done) != nil || r.Len() != 6 {
			t.Error("room for another")
		}
	})
}

// Beyond those that may stand idle, the longest so is closed though there is room.
func TestMaxIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(6, 2)
		for range 5 {
			p := r.Acquire(nil)
			p.Attach(StateIdle, p.Release)
			time.Sleep(minAge[StateIdle])
		}
		if r.Len() != 2 {
			t.Error(r.Len(), "stand idle")
		}
	})
}
