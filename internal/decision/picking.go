// Hosts: which of them a router uses, what each can take, and the better of two by chance.

package decision

import (
	"math"
	"portflow/internal/pacing"
)

// survey marks the hosts that this router must count as on trial: those of a build that its news does not
// name yet, and of one that is not released. The cap is the lowest that any of them has.
func (d *decider) survey() {
	d.cap = [...]float64{OnTrial: d.news.Cap, GoingBack: d.news.Cap, Released: 1, Withdrawn: 0}[d.news.Standing]
	d.total, d.newest, d.warm = 0, d.stageAt, 0.1
	d.part, d.up = [2]float64{}, 0
	var ready [2][]*host
	d.far = false
	for _, h := range d.fleet {
		d.far = d.far || h.ring > 0
		w := d.warmth(h)
		if h.build == d.news.Build {
			if d.newest = max(d.newest, h.started); w == 1 && h.health == Ready {
				d.warm++
			}
		}
		h.stage, h.trial = d.news.Stage, h.build == d.news.Build && d.news.Standing != Released
		if h.build > d.news.Build || !d.told {
			h.stage, h.trial = 0, true
			d.cap = min(d.cap, d.set.FirstCap)
		}
		h.budget.add(0.2 / float64(d.set.Routers)) // of all, two a second and more with news: a cold fleet starts
		if side := h.side(); h.health == Ready {
			ready[side] = append(ready[side], h)
			d.total += h.size * w
			if h.aside <= d.now {
				if d.up++; d.room(h) { // else the warm ones would get a cold one's part too
					d.part[side] += h.size * w
				}
			}
		}
	}
	// a router that needs few hosts uses a part of them
	need := max(pacing.Fewest, d.mine[answers]*float64(second/tickLen))
	for side, all := range ready {
		d.reach[side] = d.reach[side][:0]
		n := min(pacing.Nth(len(d.fleet), need), pacing.Nth(len(all), 0))
		for i := pacing.First(n, d.set.Rank); i < len(all); i += n {
			d.reach[side] = append(d.reach[side], all[i])
		}
	}
	held := d.held
	d.held = nil
	for _, c := range held {
		if !c.over && c.answer == none && c.out == 0 {
			d.place(c)
		}
	}
}

// warmth is the part of its capacity that a host can surely use.
func (d *decider) warmth(h *host) float64 {
	if h.started == 0 || d.now-h.started >= d.set.ColdFor {
		return 1
	}
	return d.set.ColdFrom + (1-d.set.ColdFrom)*max(0, float64(d.now-h.started)/float64(d.set.ColdFor))
}

// room tells whether a host is warm, or its budget has something left.
func (d *decider) room(h *host) bool {
	w := d.warmth(h)
	h.budget.add((d.credit - h.credited) * h.size * w)
	h.credited = d.credit
	return w == 1 || h.budget.have >= 1
}

// usable tells whether the rules allow a hand-off of c to h.
func (d *decider) usable(c *command, h *host, stuck int) bool {
	if h.health != Ready || h.build < stuck || !d.room(h) || c.may != nil && !c.may.May(h.id) {
		return false
	}
	if h.trial && (c.band.exposure.have < 1 || d.cap <= 0 ||
		h.stage < d.set.Guarded && c.band.Repeat != Replayable) {
		return false
	}
	if first := c.mayHaveRun(); first != nil && c.band.Repeat == Referenced {
		return c.band.Group == AllHosts || h.zone == first.host.zone && (c.band.Group == SameZone ||
			h.cell == first.host.cell)
	}
	return true
}

// fine tells whether h shows no sign of being down and has not had c yet, as far as there are others.
func (d *decider) fine(c *command, h *host) bool {
	return (h.aside <= d.now || d.up == 0) && (!c.met(h) || len(c.handOffs) >= len(d.fleet))
}

// nearest are the hosts of a build that c may go to now, of the nearest ring that has any.
func (d *decider) nearest(c *command, side, stuck int) (all []*host) {
	ring := math.MaxInt
	for _, h := range d.fleet {
		if h.side() == side && h.ring <= ring && d.fine(c, h) && d.usable(c, h, stuck) {
			if h.ring < ring {
				ring, all = h.ring, all[:0]
			}
			all = append(all, h)
		}
	}
	return all
}

// better is the better of two random hosts of a build, or the first to be found where few are fine.
func (d *decider) better(c *command, side, stuck int) (best *host) {
	pool, found, from := d.reach[side], 0, int(d.chance()*float64(len(d.fleet)))
	if d.far {
		pool = d.nearest(c, side, stuck)
	}
	for i := 0; found < 2 && (i < 8 || found == 0 && i < 8+len(d.fleet)); i++ {
		h := best
		if i >= 8 {
			h = d.fleet[(from+i)%len(d.fleet)]
		} else if len(pool) > 0 {
			h = pool[int(d.chance()*float64(len(pool)))]
		}
		if h != best && h.side() == side && d.fine(c, h) && d.usable(c, h, stuck) {
			if found++; best == nil || d.cost(h) < d.cost(best) {
				best = h
			}
		}
	}
	return best
}

// pick chooses the build by its share, then the better of two random hosts inside it.
func (d *decider) pick(c *command) *host {
	stuck := d.bound(c.key)
	best, trial := d.better(c, 0, stuck), d.better(c, 1, stuck)
	only := best == nil
	if trial != nil {
		part := d.part[1] * d.quicker()
		share := part / max(d.part[0]+part, 1e-3)       // its hosts' part of the capacity
		got := d.load[trials] / max(d.load[sent], 1e-3) // of all routers, as a quiet one sends too little
		if d.set.KeysStay {                             // commands of kept keys can go nowhere else
			share = (share - got) / max(1-got, 0.01)
		} else { // made up for commands that may not go there
			share += 4 * (share - got)
		}
		if d.dipAt > 0 && d.now < d.dipAt+dipFor {
			share = 0
		} else if d.condemned {
			share /= 10 // a build that looks bad gets just enough to go on being judged
		} else if c.key != 0 && d.set.KeysStay && stuck < d.news.Build && d.now-d.seenKey[c.key] < 3*second {
			share = 0 // a key that comes often would tie more commands to the trial than the cap lets through
		}
		if only || d.chance() < share {
			best = trial
		}
	}
	if best == nil {
		return nil // rather wait for a host than try one that is down
	} else if d.warmth(best) < 1 {
		best.budget.take()
	}
	d.own[sent]++
	if best.trial {
		if c.band.exposure.take(); only || !d.set.KeysStay {
			d.own[trials]++
		}
	}
	return best
}

// cost is how long a command would take at h: what is there, over what it can do, times how slow it has been.
func (d *decider) cost(h *host) float64 {
	// a report says less the older it is
	there := 1 + float64(h.out) + h.queue*math.Exp(-float64(d.now-h.queuedAt)/float64(second))
	owing := float64(min(h.out, 1)) * float64(d.now-h.waiting) // a sign of life: paused, stalled or silent
	return there / (h.size * d.warmth(h)) * d.slowness(h) * (1 + owing/d.mean)
}

// slowness is a host's mean time over the typical one; it is forgotten over some seconds.
func (d *decider) slowness(h *host) float64 {
	return 1 + (h.slow-1)*math.Exp(-float64(d.now-h.slowAt)/float64(5*second))
}

// expected is the time that the earlier build takes for such a command, by its band and its hint.
func (d *decider) expected(c *command) float64 {
	if c.hint <= 0 || c.band.hint <= 0 {
		return c.band.typical
	}
	return c.band.typical * min(4, max(0.25, float64(c.hint)/c.band.hint))
}

// health sets a host aside after signs that it is down, longer each time, and takes it back after an answer.
func (d *decider) health(h *host, e Ending) {
	switch e {
	case Fulfilled, Failed, Spoilt:
		h.strikes, h.aside = 0, 0
	case TurnedAway:
		h.aside = max(h.aside, d.now+second/5) // a full queue needs a moment
	case NoConnect, Reset, TimedOut:
		if h.strikes++; e != TimedOut || h.strikes > 2 { // one slow answer is no sign of a dead host
			h.aside = d.now + second/2<<min(h.strikes, 4)
		}
	}
}

func (d *decider) report(h *host, values []float64) {
	for i, v := range values[:min(len(values), len(d.set.Reports))] {
		if what := d.set.Reports[i]; (what == Waiting || what == Holding) && v >= 0 && v < 1e6 {
			h.queue, h.queuedAt = v, d.now
		}
	}
}

func (d *decider) show(h *host, e Listed) {
	if e.Started != h.started || e.Build != h.build || h.listed == 0 {
		if h.listed = d.now; e.Started == 0 { // it has run for long
			h.listed = 1
		}
		h.budget, h.credited = bucket{d.chance(), 1}, d.credit // however many routers, each starts at its own time
		h.slow, h.strikes, h.aside = 1, 0, 0
	}
}
