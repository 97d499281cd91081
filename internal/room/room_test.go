package room

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// What says nothing goes first, then what never ends, then what stands idle; what is in use never goes, and what
// has come a moment ago is given its time.
func TestMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(4)
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
		add("busy", Busy)
		add("idle", Idle)
		add("begun", Begun)
		add("silent", Silent)
		since := time.Now()
		for _, name := range []string{"s2", "s3"} {
			add(name, Silent)
		}
		if took := time.Since(since); took < 2*rest[Silent] || took > 3*rest[Silent] {
			t.Error(took)
		}
		add("b2", Busy) // in the place of s3
		time.Sleep(time.Second)
		add("b3", Busy)
		add("b4", Busy)
		if want := []string{"silent", "s2", "s3", "begun", "idle"}; !slices.Equal(closed, want) {
			t.Error(closed)
		}
		done := make(chan struct{})
		time.AfterFunc(time.Second, func() { close(done) })
		if r.Try() != nil || r.Enter(done) != nil || r.Held() != 4 {
			t.Error("room for a fifth")
		}
	})
}
