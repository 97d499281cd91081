package flow

import "net/netip"

// Source is a connection's counters; Take tells what has passed since the last time.
type Source interface{ Take() Counts }

// Flow is one open connection.
type Flow struct {
	label               Label
	source, destination netip.AddrPort
	from                Source
	start, last         int64 // of this period, and when something was last seen to pass
	period              Counts
	next, prev          *Flow // in its slot of the wheel
	due                 int64 // that slot, counted from time 0
}

// Limits are a cache's.
type Limits struct {
	Active, Idle int64 // time-outs, nanoseconds
	Most         int   // connections at once; others are accounted for when they end, as one record each
}

const slots = 64 // of the wheel: a turn is the active time-out, so that a record is late by 2% of it at most

// Cache keeps the connections that are open, and makes records of them: when an active period is over, when nothing
// has passed for the idle time-out, and when they end. Whose time it is stands in a timing wheel.
type Cache struct {
	limits Limits
	out    func(Record)
	wheel  [slots]Flow // each the head of its slot's list
	turn   int64       // the slot that comes next, counted from time 0
	held   int
}

// NewCache makes an empty cache whose records go to out.
func NewCache(l Limits, now int64, out func(Record)) *Cache {
	l.Active = max(l.Active, slots)
	c := &Cache{limits: l, out: out, turn: now / (l.Active / slots)}
	for i := range c.wheel {
		c.wheel[i].next, c.wheel[i].prev = &c.wheel[i], &c.wheel[i]
	}
	return c
}

// Held is how many connections are open in the cache.
func (c *Cache) Held() int { return c.held }

// put plans a look, less than a turn ahead: the slot that is being looked through gets none.
func (c *Cache) put(f *Flow, now, after int64) {
	width := c.limits.Active / slots
	at := now + min(max(after, width), (slots-1)*width)
	f.due = at / width
	head := &c.wheel[int(f.due)%slots]
	f.prev, f.next = head.prev, head
	head.prev.next, head.prev = f, f
}

func (f *Flow) unlink() {
	if f.next != nil {
		f.prev.next, f.next.prev = f.next, f.prev
		f.next, f.prev = nil, nil
	}
}

// Open takes in a connection. One beyond the bound is not watched, and gives its record when it ends.
func (c *Cache) Open(now int64, l Label, source, destination netip.AddrPort, from Source) *Flow {
	f := &Flow{label: l, source: source, destination: destination, from: from, start: now, last: now}
	if c.held++; c.held <= c.limits.Most {
		c.put(f, now, min(c.limits.Active, c.limits.Idle))
	}
	return f
}

// Relabel tells that what passes from now on belongs elsewhere: to another carrier or band. What passed before gives
// a record of its own.
func (c *Cache) Relabel(now int64, f *Flow, l Label) {
	if f.label == l {
		return
	}
	f.period.Add(f.from.Take())
	if !f.period.Zero() && (f.label.Carrier != 0 || f.label.Band != 0) {
		c.record(now, f, Active, 0)
	}
	f.label = l
}

// Close tells that a connection has ended.
func (c *Cache) Close(now int64, f *Flow, why Reason, drained bool) {
	c.held--
	f.unlink()
	f.period.Add(f.from.Take())
	f.label.Drained = f.label.Drained || drained
	c.record(now, f, why, 1)
}

// record makes one of a flow's present period and begins the next.
func (c *Cache) record(now int64, f *Flow, why Reason, ended uint32) {
	c.out(Record{Label: f.label, Counts: f.period, Source: f.source, Destination: f.destination, Start: f.start,
		End: max(now, f.start), Reason: why, Many: 1, Connections: ended})
	f.period, f.start = Counts{}, now
}

// Tick looks at the connections whose time it is. A clock that jumped has each looked at once at most.
func (c *Cache) Tick(now int64) {
	width := c.limits.Active / slots
	end := now / width
	if end < c.turn || end-c.turn > slots {
		c.turn = end - slots
	}
	for ; c.turn <= end; c.turn++ {
		head := &c.wheel[int(c.turn)%slots]
		for f := head.next; f != head; {
			next := f.next
			if f.due <= end { // others were put there for the next turn
				c.look(now, f)
			}
			f = next
		}
	}
}

// look makes a record of a connection whose period is over, and plans the next look.
func (c *Cache) look(now int64, f *Flow) {
	passed := f.from.Take()
	if f.period.Add(passed); !passed.Zero() {
		f.last = now
	}
	switch {
	case !f.period.Zero() && now-f.last >= c.limits.Idle:
		c.record(now, f, Idle, 0)
	case !f.period.Zero() && now-f.start >= c.limits.Active:
		c.record(now, f, Active, 0)
	case f.period.Zero() && now-f.start >= c.limits.Active:
		f.start = now // nothing to tell
	}
	f.unlink()
	c.put(f, now, min(c.limits.Active, c.limits.Idle))
}

// Flush makes a record of what has passed on every connection: a router leaves.
func (c *Cache) Flush(now int64) {
	for i := range c.wheel {
		head := &c.wheel[i]
		for f := head.next; f != head; f = f.next {
			if f.period.Add(f.from.Take()); !f.period.Zero() {
				c.record(now, f, Forced, 0)
			}
		}
	}
}
