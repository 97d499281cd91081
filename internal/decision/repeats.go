// Repeats and shedding: whether a command may be handed off again, and whom a router turns away.

package decision

import (
	"math"
)

func (d *decider) lastLook(c *command) int64 { return c.cutOff - 2*d.set.Tick }

// nextLook is when a command wants another look: for a second copy, later than most answers, or its last.
func (d *decider) nextLook(c *command) int64 {
	last := d.lastLook(c)
	if !d.set.Copies || c.band.Repeat == SingleUse || len(c.handOffs) != 1 {
		return last
	}
	return min(last, d.now+max(int64(2.5*d.expected(c)), c.band.Contract/8)) // nothing is late before
}

// mayRepeat tells whether the band allows another hand-off; ran counts the present one as having run.
func (d *decider) mayRepeat(c *command, ran bool) bool {
	first := c.mayHaveRun()
	switch {
	case len(c.handOffs) >= c.most:
		return false
	case c.band.Repeat == SingleUse:
		return first == nil && !ran
	case c.band.Repeat == Referenced && first != nil:
		return d.now+2*d.set.Tick < first.at+c.band.Memory
	}
	return true
}

// give ends a command at once: dismissed where that promises nothing untrue, else scrapped.
func (d *decider) give(c *command) {
	c.answer = scrap
	if first := c.mayHaveRun(); first == nil || c.band.Repeat == Replayable ||
		c.band.Repeat == Referenced && c.band.Group == AllHosts && d.mayRepeat(c, true) {
		c.answer = dismiss
	}
	d.differ = append(d.differ, c)
}

// look gives a command its second copy, or its last answer.
func (d *decider) look(c *command) {
	if c.over {
		return
	}
	if d.now >= d.lastLook(c) {
		c.answer, d.differ = scrap, append(d.differ, c)
		return
	}
	c.due = d.queue.Add(d.lastLook(c), c)
	if c.out == 1 && d.set.Copies && d.pressure < 0.5 && d.mayRepeat(c, false) && d.now < c.contract &&
		d.again.take() {
		if h := d.pick(c); h != nil && !c.met(h) {
			c.next, c.until, d.differ = h, c.cutOff, append(d.differ, c)
		}
	}
}

// beyond tells whether a command is beyond its carrier's share, by what all routers take of that carrier.
func (d *decider) beyond(c *command) bool {
	if c.carrier >= len(d.set.Carriers) {
		return false
	}
	d.own[carriers+c.carrier]++
	may := d.set.Carriers[c.carrier].PerSecond * float64(tickLen) / float64(second)
	return d.chance()*d.load[carriers+c.carrier]*d.company > may
}

// sheds turns away the commands worth least for their work while answers come too late, by Little's law (some
// past 0.7 of the shortest contract, most past 1.15), or half of the room is taken. Own figures are newer.
func (d *decider) sheds(c *command) bool {
	over, contract, below, all, sum := 0, math.Inf(1), 0.0, 0.0, 0.0
	if d.beyond(c) || c.cutOff < c.contract { // clients that give up early have their work done for nothing
		over = 1
	}
	c.band.rate[over]++
	value := func(b *band, i int) float64 { return b.Importance / b.typical * [2]float64{1, d.set.OverShare}[i] }
	for _, b := range d.bands {
		contract = min(contract, float64(b.Contract))
		for i := range b.rate {
			b.rate[i] *= 0.999 // a memory of a thousand commands
			if all += b.rate[i]; value(b, i) < value(c.band, over) {
				below += b.rate[i]
			}
			sum += b.rate[i] * float64(b.Contract)
		}
	}
	if d.set.Mixed && all > 0 {
		contract = sum / all
	}
	is, routers, waiting := d.load, d.company, d.load[open]
	if d.own[open] >= 5 {
		is, routers, waiting = d.mine, 1, d.own[open]
	}
	// hosts that hang keep commands open, so no more than what the answers took asks for
	took := min(waiting*float64(tickLen), 2.5*is[times]*float64(second)) / max(is[answers], 0.1/routers)
	if d.pressure = 2*took/contract - 1.4; waiting*routers < 5 || d.now-d.began < 2*second {
		d.pressure = 0 // the pace is not known at once
	}
	d.pressure = min(0.9, max(d.pressure, 2*d.own[open]/float64(d.set.Most)-1))
	return d.pressure > 0 && d.chance() < (d.pressure*all-below)/c.band.rate[over]
}
