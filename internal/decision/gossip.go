package decision

import (
	"encoding/binary"
	"math"
)

// Gossip averaging: on each tick, a router sends its values to one random peer. A router that receives a message averages the
// values into its own by the second line of equation (5), so that the measurements of each router spread to all.

// consensusGain is the gain γ with which a peer's values are averaged in: c_ij in equation (5).
const consensusGain = 0.5

// gossipRateGain is the gain of the mean number of messages received per tick: a time constant of about three seconds.
const gossipRateGain = 0.03

// gossip estimates how many peers are reachable.
type gossip struct {
	gossipRate       float64 // mean number of messages received per tick
	reachableRouters float64 // estimated number of routers that gossip reaches, including this one
}

// trialValues is the number of leading gossipedValues that belong to the trial of one build.
const trialValues = 5*statisticCount + 3

// signedValues is the number of leading gossipedValues that may be negative.
const signedValues = 4

// gossipedValues returns pointers to the values that gossip averages, in the order of a message: those of the trial, then the
// load.
func (d *decider) gossipedValues() []*float64 {
	all := []*float64{
		&d.state[failures],
		&d.state[excessLatency],
		&d.baselineMean[excessLatency].sum,
		&d.trialExcessLatency.sum,

		&d.trialExcessLatency.weight,
		&d.meanSquare[failures],
		&d.meanSquare[excessLatency],
		&d.count[failures],
		&d.count[excessLatency],
		&d.baselineMean[failures].weight,
		&d.baselineMean[excessLatency].weight,
		&d.baselineMean[failures].sum,
		&d.interference,
	}
	for i := range d.fleetLoad {
		all = append(all, &d.fleetLoad[i])
	}
	return all
}

// gossipTick sends one message and updates the number of reachable routers.
func (d *decider) gossipTick() {
	if d.settings.Gossip && d.settings.Routers > 1 {
		d.effects.SendGossip(d.randomPeer(), d.encodeGossip())
	}
	d.updateReachable()
}

// randomPeer returns the rank of a random other router.
func (d *decider) randomPeer() int {
	return (d.settings.Rank + 1 + int(d.random()*float64(d.settings.Routers-1))) % d.settings.Routers
}

// updateReachable estimates how many routers are reachable. Each router sends one message per tick and thus receives one on
// average. A partitioned router must not extrapolate its own few outcomes to the entire fleet.
func (d *decider) updateReachable() {
	d.gossipRate -= gossipRateGain * d.gossipRate
	reachableShare := min(1, 1.3*d.gossipRate) // with a margin for the random number of messages received
	d.reachableRouters = 1 + float64(d.settings.Routers-1)*reachableShare
}

// encodeGossip encodes a message: the newest build, the values of gossipedValues, and the time since the trial was paused,
// in seconds. The build takes two bytes, and each value is a float32 rounded to its upper two bytes, to keep messages small.
func (d *decider) encodeGossip() []byte {
	raw := binary.BigEndian.AppendUint16(nil, uint16(d.rollout.Build))
	pausedFor := min(1e3, float64(d.now-d.pausedAt)/float64(second))
	for _, value := range append(d.gossipedValues(), &pausedFor) {
		raw = binary.BigEndian.AppendUint16(raw, uint16((math.Float32bits(float32(*value))+1<<15)>>16))
	}
	return raw
}

// decodeGossip decodes a message; ok is false if its length is wrong or a value is out of range.
func (d *decider) decodeGossip(raw []byte) (build int, values []float64, ok bool) {
	const size = 2 // bytes of the build and of each value
	if len(raw) != size*(1+trialValues+len(d.fleetLoad)+1) {
		return 0, nil, false
	}
	for i := size; i < len(raw); i += size {
		value := float64(math.Float32frombits(uint32(binary.BigEndian.Uint16(raw[i:])) << 16))
		isSigned := i < size*(1+signedValues)
		if math.IsNaN(value) || math.Abs(value) > 1e6 || !isSigned && value < 0 {
			return 0, nil, false
		}
		values = append(values, value)
	}
	return int(binary.BigEndian.Uint16(raw)), values, true
}

// gossipReceived averages a peer's values into those of this router by the second line of equation (5),
// s_i ← s̄_i + γ(s̄_j − s̄_i). The values of the trial are used only if the peer has the same newest build.
func (d *decider) gossipReceived(build int, values []float64) {
	d.gossipRate += gossipRateGain
	sameBuild := build == d.rollout.Build
	if sameBuild {
		d.joinPause(values[len(values)-1])
	}
	for i, value := range d.gossipedValues() {
		if i >= trialValues || sameBuild {
			*value += consensusGain * (values[i] - *value)
		}
	}
}
