package update

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
)

const second = int64(1e9)

// For any clock offset and message delays, a converted time must be neither too early nor late by more than the smallest delay so far
// plus the drift.
func TestClockOffset(t *testing.T) {
	for seed := range uint64(200) {
		draw := rand.New(rand.NewPCG(seed, 5))
		ahead := draw.Int64N(7200*second) - 3600*second // of the other clock
		minDelay, sentAt, receivedAt := int64(3600)*second, int64(0), int64(0)
		var o ClockOffset
		for range 30 {
			sentAt += draw.Int64N(3 * second)
			delay := draw.Int64N(second / 10)
			if draw.IntN(5) == 0 {
				delay = draw.Int64N(20 * second) // the receiver was paused
			}
			receivedAt = max(receivedAt, sentAt+delay) // messages arrive in order
			minDelay = min(minDelay, receivedAt-sentAt)
			o.Observe(sentAt+ahead+1, receivedAt+1)
			eventAt := sentAt - draw.Int64N(10*second) // time of an event that the message refers to
			late := o.ToLocal(eventAt+ahead) - eventAt
			qt.Assert(t, late >= 0, qt.IsTrue, qt.Commentf("seed %d: too early by %d ns", seed, -late))
			qt.Assert(t, late <= minDelay+receivedAt/driftDivisor, qt.IsTrue, qt.Commentf("seed %d: late by %d ns, smallest delay %d ns", seed, late, minDelay))
		}
	}
}

// If the other clock runs slower than the local one, within the drift bound, the estimate must follow it rather than keep the initial
// maximum.
func TestClockOffsetDrift(t *testing.T) {
	var o ClockOffset
	for now := int64(1); now < 100*3600*second; now += 60 * second {
		theirs := now - now/20_000
		o.Observe(theirs, now)
		late := o.ToLocal(theirs) - now
		qt.Assert(t, late >= -60*second/driftDivisor && late <= second/1000, qt.IsTrue, qt.Commentf("late by %d ns at %d", late, now))
	}
}

// ToLocal must convert all times of a change and nothing else, must not modify the received objects, and must convert nothing while no
// offset is known.
func TestChangeToLocal(t *testing.T) {
	c := qt.New(t)
	changes := func() []Change {
		return []Change{{Instance: &instance.Instance{ID: "h", WarmUpUntil: 50 * second}}, {Instance: &instance.Instance{ID: "h"}}, {Ejection: &outlier.Ejection{ID: "h", EjectedUntil: 60 * second, ProbationUntil: 70 * second}},
			{Vote: &Vote{Proxy: "r", ReceivedAt: 80 * second}}, {Proxy: &Proxy{Name: "r", RegisteredAt: 90 * second}}, {RolloutStartedAt: 40 * second}, {}}
	}
	hasTimes := []bool{true, false, true, true, false, true, false}
	var o ClockOffset
	for i, x := range changes() {
		c.Check(x.ToLocal(o), qt.DeepEquals, changes()[i])
		c.Check(x.HasTimes(), qt.Equals, hasTimes[i])
	}
	o.Observe(0, 5)
	c.Check(o, qt.Equals, ClockOffset{})
	o.Observe(105*second, 100*second)
	want := []Change{{Instance: &instance.Instance{ID: "h", WarmUpUntil: 45 * second}}, {Instance: &instance.Instance{ID: "h"}}, {Ejection: &outlier.Ejection{ID: "h", EjectedUntil: 55 * second, ProbationUntil: 65 * second}},
		{Vote: &Vote{Proxy: "r", ReceivedAt: 75 * second}}, {Proxy: &Proxy{Name: "r", RegisteredAt: 90 * second}}, {RolloutStartedAt: 35 * second}, {}}
	for i, x := range changes() {
		c.Check(x.ToLocal(o), qt.DeepEquals, want[i])
		c.Check(x, qt.DeepEquals, changes()[i])
	}
}
