// The decision module. A front makes one Router an instance with New, tells it what happens and carries out
// the Effects. Every call changes the state, sets what is wanted, and ends in settle, which emits the change.
// The ordinary path is distributed change detection (see docs/design.md): tick, heard, judge.

package decision

import (
	"cmp"
	"maps"
	"math"

	"portflow/internal/pacing"
)

const second = int64(1e9)

func newDecider(s Settings, seed uint64, out Effects) *decider {
	d := blank(s, seed, out)
	d.again, d.level = bucket{5, 10}, 1 // some further hand-offs at once, for a host that ends
	d.exposed = &bucket{s.Free, s.Free}
	for _, b := range s.Bands {
		row := d.row(b)
		d.mean += row.typical / float64(len(s.Bands))
		d.bands = append(d.bands, row)
	}
	return d
}

// row is a band's place in the table.
func (d *decider) row(b Band) *band {
	row := &band{Band: b, exposure: d.exposed, typical: b.Guess()}
	if d.set.CapByBand {
		row.exposure = &bucket{d.set.Free, d.set.Free}
	}
	return row
}

const tickLen = second / 10 // the design's tick

func (d *decider) begin() {
	d.ticks, d.watchAt, d.began = d.now+tickLen, d.now+d.asking().First(d.calls.Next()), d.now
}

// settle works out how the present differs from what is wanted and emits it.
func (d *decider) settle() {
	for i := 0; i < len(d.differ); i++ { // closing a command lists it once more
		c := d.differ[i]
		if c.answer != none && !c.over {
			if c.answer == scrap {
				d.out.Scrap(c.id)
			} else {
				d.out.Dismiss(c.id, d.advice())
			}
			d.close(c)
			d.gone = append(d.gone, c)
		}
		if h := c.next; h != nil {
			c.next = nil
			if c.may != nil && !c.may.May(h.id) { // what was placed in this step took its place
				d.place(c)
				continue
			}
			c.handOffs = append(c.handOffs, &handOff{host: h, build: h.build, at: d.now, until: c.until,
				number: len(c.handOffs), tie: d.tie(c, h.build)})
			c.out++
			if h.out++; h.out == 1 {
				h.waiting = d.now
			}
			d.out.HandOff(c.id, h.id, c.until)
			d.queue.Remove(c.due)
			c.due = d.queue.Add(d.nextLook(c), c)
		}
		for _, h := range c.handOffs {
			if c.over && !h.ended && !h.recalled && d.set.Recalls && !c.streams {
				h.recalled = true
				d.out.Recall(c.id, h.number)
			}
		}
	}
	for _, h := range d.idle {
		d.out.Close(h.id)
	}
	d.differ, d.idle = d.differ[:0], d.idle[:0]
	if d.set.Subscribe && d.now >= d.watchAt {
		d.watchAt = math.MaxInt64
		d.out.Watch(true)
	}
	d.settleVote()
	next := d.ticks
	if at, ok := d.queue.Next(); ok {
		next = min(next, at)
	}
	if next = max(next, d.now+1); d.armed == 0 || next < d.armed {
		d.armed, d.wakes = next, d.wakes+1
		d.out.Wake(next-d.now, d.wakes)
	}
}

func (d *decider) take(c *command) {
	d.own[open]++
	c.band.exposure.add(d.cap)
	d.again.add(0.1) // one further hand-off for ten commands bounds what failures add to an overload
	c.due = d.queue.Add(d.nextLook(c), c)
	if d.sheds(c) {
		d.give(c)
	} else {
		d.place(c)
	}
	d.seenKey[c.key] = d.now
}

// place wants a hand-off to the best host, or holds the command for a short time.
func (d *decider) place(c *command) {
	h := d.pick(c)
	if d.differ = append(d.differ, c); h == nil {
		if d.now-c.at > c.band.Contract/4 { // what can't be placed by then has little hope; say so at once
			d.give(c)
		} else {
			d.held = append(d.held, c)
		}
		return
	}
	c.next, c.until = h, c.cutOff
	spare := c.contract - int64(1.5*c.band.typical) // where one copy must end before the next: leave time for it
	if !d.set.Copies && !d.set.Patient && d.mayRepeat(c, true) && d.again.have >= 1 &&
		float64(spare-d.now) > 4*d.expected(c) {
		c.until = min(c.until, spare)
	}
}

func (d *decider) ended(c *command, o *handOff, e Ending, over bool, took int64, report []float64) {
	h := o.host
	h.out, h.waiting = h.out-1, d.now
	if o.unrun = e == TurnedAway || e == NoConnect || e == Unsent; o.unrun || e == Failed { // surely no answer
		d.stuck.drop(c.key, o.tie)
	}
	d.report(h, report)
	// Hosts may take few connections: after one that fails, those of the next thirty answers are closed.
	if d.health(h, e); e == NoConnect {
		d.scarce = 30
	} else if d.scarce--; d.scarce > 0 && h.out == 0 {
		d.idle = append(d.idle, h)
	}
	ratio := min(8, float64(took)/d.expected(c))
	if e == Failed || e == Reset || e == TimedOut || e == NoConnect || e == Spoilt { // fast is not idle then
		ratio = 8
	}
	if e == Fulfilled || ratio == 8 {
		h.slow, h.slowAt = d.slowness(h)+0.2*(ratio-d.slowness(h)), d.now // about the last five outcomes
	}
	if e == Fulfilled && !c.streams {
		d.own[answers]++
		d.own[times] += float64(took) / float64(second)
		d.tie(c, o.build) // also where the build was going back meanwhile
		if !d.judged(o.build) {
			c.band.typical += 0.01 * (float64(took) - c.band.typical)
			c.band.hint = cmp.Or(c.band.hint, float64(c.hint))
			c.band.hint += 0.01 * (float64(c.hint) - c.band.hint)
			d.models[h.kind] += 0.01 * (ratio - 1 - d.models[h.kind])
			d.mean += 0.01 * (float64(took) - d.mean)
			// the mean of the speeds goes by the quick answers, that did not wait: load moves it little
			speed := min(5, float64(c.band.Contract)/float64(took)*d.expected(c)/c.band.typical/10)
			d.own[earlier]++
			d.own[speeds] += speed
		}
	}
	d.weigh(c, o, e, took)
	if over {
		d.close(c)
	} else if !c.over && c.out == 0 { // again where that is allowed and of use
		worth := c.contract
		if c.band.LateOf > 0 {
			worth = c.cutOff
		}
		if d.mayRepeat(c, false) && float64(worth-d.now) > c.band.typical/2 && (e == NoConnect || d.again.take()) {
			d.place(c)
		} else {
			d.give(c)
		}
	}
}

// flagged counts a wrong answer for as many as the reports stand for.
func (d *decider) flagged(h *host) {
	d.side(h.build).put(failing, 0, 1/max(d.set.FlagShare, 0.05))
}

// listFailed asks again after a while: a call or the subscription is lost. Discovery serves all routers.
func (d *decider) listFailed() {
	d.unheard++
	d.watchAt = d.now + d.asking().Again(d.unheard, d.calls.Next())
}

func (d *decider) asking() pacing.Calls {
	return pacing.Calls{Every: d.set.AskEvery, Routers: d.set.Routers}
}

// woken takes the latest wake-up as come whatever the clock says: an early one must not stop the chain.
func (d *decider) woken(mark uint64) {
	if mark == d.wakes {
		d.armed = 0
	}
	for c, ok := d.queue.Take(d.now); ok; c, ok = d.queue.Take(d.now) {
		d.look(c)
	}
	if d.now >= d.ticks {
		d.ticks += (d.now - d.ticks + tickLen) / tickLen * tickLen
		d.tick()
		d.survey()
		maps.DeleteFunc(d.seenKey, func(_ uint64, at int64) bool { return d.now-at > 3*second })
	}
}
