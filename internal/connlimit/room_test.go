package connlimit

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// What is idle goes first, then what says nothing, then what never ends; what is in use never goes, and what has come a
// moment ago is given its time. Where most have not asked yet, they go before those that have.
func TestMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(6, 6)
		var closed []string
		add := func(name string, use Use) *Place {
			p := r.Enter(nil)
			p.Fill(use, func() {
				closed = append(closed, name)
				p.Leave()
				p.Leave() // a second close gives nothing up
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
		add("busy", Busy)
		add("idle", Idle)
		add("begun", Begun)
		add("silent", Silent)
		add("idle2", Idle)
		add("silent2", Silent)
		time.Sleep(time.Second)
		add("silent3", Silent)
		check("idle")
		since := time.Now()
		add("silent4", Silent) // four of six have not asked
		check("silent")
		add("silent5", Silent)
		check("silent2")
		add("silent6", Silent) // silent3 has just come
		check("begun")
		add("silent7", Silent)
		check("idle2")
		if add("silent8", Silent); time.Since(since) != rest[Silent] {
			t.Error(time.Since(since))
		}
		check("silent3")
		time.Sleep(time.Second)
		for range 5 {
			add("more", Busy)
		}
		check("silent4", "silent5", "silent6", "silent7", "silent8")
		done := make(chan struct{})
		time.AfterFunc(time.Second, func() { close(done) })
		if r.Try() != nil || r.Enter(done) != nil || r.Held() != 6 {
			t.Error("room for another")
		}
	})
}

// Beyond those that may stand idle, the longest so is closed though there is room.
func TestIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(6, 2)
		for range 5 {
			p := r.Enter(nil)
			p.Fill(Idle, p.Leave)
			time.Sleep(rest[Idle])
		}
		if r.Held() != 2 {
			t.Error(r.Held(), "stand idle")
		}
	})
}
