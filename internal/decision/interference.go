package decision

import "fmt"

// A build on trial may slow down the hosts of the earlier build too, in proportion to its traffic, so that comparing the two
// builds does not show it. If the earlier build becomes much slower than before the trial, the interference test pauses
// traffic to the trial for some seconds. If the earlier build slows down again when the traffic resumes, the build on trial is
// the cause.

const (
	slowdownThreshold     = 1.35       // slowdown that starts a test
	pauseDuration         = 3 * second // one second for the backlog to drain, two to measure
	interferenceThreshold = 0.36       // of the gossiped mean: exceeded if most routers detect interference, not if one of three does
	confirmedSlowdown     = 1.3        // minimum ratio of the slowdown after the pause to that during it
	pausingRouters        = 8          // routers that may start a test; with hundreds, false alarms would be frequent
	maxPauseAge           = 1.5        // seconds after the start of a peer's pause during which other routers join it
)

// interferenceTest is the state of an interference test.
type interferenceTest struct {
	interference     float64 // gossiped: 1 if a test found that the build slows down all hosts
	speedBeforeTrial float64 // speed of the earlier build before the trial
	acceptedSlowdown float64 // largest slowdown that a test has found not to be caused by the build
	slowTicks        int     // consecutive ticks with a slowdown beyond the threshold
	pausedAt         int64   // when the current test paused the trial, 0 if there is no test
	pausedSlowdown   float64 // slowdown measured during the pause
}

func (d *decider) resetInterference() {
	d.interference = 0
	d.acceptedSlowdown = 1
	d.speedBeforeTrial = d.usualSpeed.value()
}

// isPaused reports whether the trial currently gets no requests because of an interference test.
func (d *decider) isPaused() bool { return d.pausedAt > 0 && d.now < d.pausedAt+pauseDuration }

// updatePause measures the slowdown of the earlier build, and starts or ends an interference test.
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

// shouldPause reports whether this router starts a test. There is no test if the trial is much faster than the earlier build,
// as the earlier build is then slow for a reason of its own.
func (d *decider) shouldPause() bool {
	return d.slowTicks > confirmationTicks && d.rollout.Stage > 0 && d.settings.SideBySide &&
		d.trialSpeedUp() < slowdownThreshold && d.settings.Rank < pausingRouters
}

// startPause pauses the trial, with the pause counted from age nanoseconds ago.
func (d *decider) startPause(age int64) {
	d.pausedAt = d.now - age
	d.slowTicks = 0
}

// joinPause pauses the trial if a peer paused it pausedFor seconds ago and this router measures a slowdown too.
func (d *decider) joinPause(pausedFor float64) {
	isSlow := d.speedBeforeTrial > 1.1*d.acceptedSlowdown*d.baselineSpeed()
	if pausedFor < maxPauseAge && d.pausedAt == 0 && isSlow {
		d.startPause(int64(pausedFor * float64(second)))
	}
}

// endPause ends a test: there is interference if the slowdown after the pause is confirmedSlowdown times that during it.
func (d *decider) endPause(slowdown float64) {
	d.effects.Log(fmt.Sprintf("trial paused: slowdown %.2f in the pause, %.2f after it", d.pausedSlowdown, slowdown))
	d.pausedAt = 0
	d.interference = 1
	if slowdown/d.pausedSlowdown < confirmedSlowdown {
		d.interference = 0
		d.acceptedSlowdown = max(d.acceptedSlowdown, slowdown)
	}
}
