package decision

import (
	"encoding/binary"
	"math"
)

// Gossip averaging: each tick a router sends its figures to one random peer, and what it receives it mixes into its own by
// equation (5)'s second line. So what one router measures spreads to all.

// consensusGain is the gain γ with which a peer's figures are mixed in: c_ij in equation (5).
const consensusGain = 0.5

// gossipRateGain is the gain of the mean number of messages a tick: a memory of some three seconds.
const gossipRateGain = 0.03

// gossip is which peers can be heard.
type gossip struct {
	gossipRate       float64 // mean number of messages received a tick
	reachableRouters float64 // estimated number of routers whose figures come, with this one
}

// trialValues is how many of gossipedValues are of one build's trial.
const trialValues = 5*statisticCount + 3

// signedValues is how many of them, at the beginning, may be below zero.
const signedValues = 4

// gossipedValues are the figures that gossip averages, in the order of a message: first the trial's, then the load.
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

// gossipTick sends this tick's message.
func (d *decider) gossipTick() {
	if d.settings.Gossip && d.settings.Routers > 1 {
		d.effects.SendGossip(d.randomPeer(), d.encodeGossip())
	}
	d.updateReachable()
}

// randomPeer is a random other router.
func (d *decider) randomPeer() int {
	return (d.settings.Rank + 1 + int(d.random()*float64(d.settings.Routers-1))) % d.settings.Routers
}

// updateReachable estimates how many routers can be heard. Each sends one message a tick, so that a router that is cut off
// must not count its few outcomes as many.
func (d *decider) updateReachable() {
	d.gossipRate -= gossipRateGain * d.gossipRate
	reachableShare := min(1, 1.3*d.gossipRate) // with room for the chance that few messages come
	d.reachableRouters = 1 + float64(d.settings.Routers-1)*reachableShare
}

// encodeGossip encodes a message: the build on trial, the figures, and for how many seconds the trial has been paused,
// each figure as the upper half of a float32, as every byte of a message is paid for.
func (d *decider) encodeGossip() []byte {
	raw := binary.BigEndian.AppendUint16(nil, uint16(d.rollout.Build))
	pausedFor := min(1e3, float64(d.now-d.pausedAt)/float64(second))
	for _, value := range append(d.gossipedValues(), &pausedFor) {
		raw = binary.BigEndian.AppendUint16(raw, uint16((math.Float32bits(float32(*value))+1<<15)>>16))
	}
	return raw
}

// decodeGossip decodes a message; ok is false if its length is wrong or a figure is impossible.
func (d *decider) decodeGossip(raw []byte) (build int, values []float64, ok bool) {
	const size = 2 // bytes of the build and of each figure
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

// gossipReceived mixes a peer's figures in, those of the trial only if it is of the same build: equation (5), second line,
// s_i ← s̄_i + γ(s̄_j − s̄_i).
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
