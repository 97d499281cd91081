// Gossip: the random averaging by which what one router saw spreads to all.

package decision

const consensusGain = 0.5 // the paper's consensus gain

func (d *decider) gossipReceived(build int, values []float64) {
	d.gossipRate += 0.03
	pausedFor := values[len(values)-1]
	if build == d.rollout.Build && pausedFor < 1.5 && d.pausedAt == 0 && d.speedBeforeTrial > 1.1*d.acceptedSlowdown*d.baselineSpeed() {
		d.startPause(int64(pausedFor * float64(second))) // join a test that has just begun
	}
	for i, value := range d.gossipedValues() {
		if i >= trialValues || build == d.rollout.Build {
			*value += consensusGain * (values[i] - *value)
		}
	}
}
