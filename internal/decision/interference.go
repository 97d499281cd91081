package decision

import "fmt"

// A build may slow all hosts, in proportion to its traffic. Where hosts of the earlier build stay and become much slower than
// before the trial, the trial is paused for some seconds: if its return slows them again, it is the build.

const (
	slowdownThreshold     = 1.35       // a test begins at this slowdown
	pauseDuration         = 3 * second // one for the backlog to drain, and two to measure
	interferenceThreshold = 0.36       // of the gossiped mean: most routers' finding exceeds it, that of one of three does not
	confirmedSlowdown     = 1.3        // of the second part of a test over the first
	pausingRouters        = 8          // of hundreds one is always wrong; eight find a cause as soon
	maxPauseAge           = 1.5        // seconds since a peer's pause began in which others join it
)

// interferenceTest is the state of such a test.
type interferenceTest struct {
	interference     float64 // gossiped: 1 for a test that found the build to slow all hosts
	speedBeforeTrial float64 // the earlier build's speed before the trial
	acceptedSlowdown float64 // a loss of speed that a test has found not to be the build's fault
	slowTicks        int     // ticks in a row with a slowdown beyond the threshold
	pausedAt         int64   // when the trial was paused, 0 if it is not
	pausedSlowdown   float64 // slowdown measured in the pause
}

func (d *decider) resetInterference() {
	d.interference = 0
	d.acceptedSlowdown = 1
	d.speedBeforeTrial = d.usualSpeed.value()
}

// isPaused says whether the trial is to get no requests now.
func (d *decider) isPaused() bool { return d.pausedAt > 0 && d.now < d.pausedAt+pauseDuration }

// updatePause starts, ends and evaluates a test.
func (d *decider) updatePause() {
	slowdown := d.speedBeforeTrial / max(d.baselineSpeed(), 1e-3)
	if d.now-d.pausedAt < pauseDuration {
		d.pausedSlowdown = slowdown
	}
	d.slowTicks++
	if slowdown < slowdownThreshold*d.acceptedSlowdown {
		d.slowTicks = 0
	}
	switch {
	case d.rollout.State != OnTrial:
		d.pausedAt = 0
	case d.pausedAt == 0 && d.shouldPause():
		d.startPause(0)
	case d.pausedAt > 0 && d.now-d.pausedAt > 2*pauseDuration:
		d.endPause(slowdown)
	}
}

// shouldPause says whether this router begins a test. If the trial is much faster, the earlier hosts are slow by themselves.
func (d *decider) shouldPause() bool {
	return d.slowTicks > confirmationTicks && d.rollout.Stage > 0 && d.settings.SideBySide &&
		d.trialSpeedUp() < slowdownThreshold && d.settings.Rank < pausingRouters
}

// startPause pauses the trial as of age nanoseconds ago.
func (d *decider) startPause(age int64) {
	d.pausedAt = d.now - age
	d.slowTicks = 0
}

// joinPause pauses the trial if a peer has done so, pausedFor seconds ago, and this router measures a slowdown too.
func (d *decider) joinPause(pausedFor float64) {
	isSlow := d.speedBeforeTrial > 1.1*d.acceptedSlowdown*d.baselineSpeed()
	if pausedFor < maxPauseAge && d.pausedAt == 0 && isSlow {
		d.startPause(int64(pausedFor * float64(second)))
	}
}

// endPause compares the slowdown after the trial's return with that in the pause.
func (d *decider) endPause(slowdown float64) {
	d.effects.Log(fmt.Sprintf("trial paused: slowdown %.2f in the pause, %.2f after it", d.pausedSlowdown, slowdown))
	d.pausedAt = 0
	d.interference = 1
	if slowdown/d.pausedSlowdown < confirmedSlowdown {
		d.interference = 0
		d.acceptedSlowdown = max(d.acceptedSlowdown, slowdown)
	}
}
