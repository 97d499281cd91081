package flow

import "net/netip"

// Source is a connection's counters; Take tells what has passed since the last time.
type CounterSource interface{ Take() Counts }

// Flow is one open connection.
type Flow struct {
	label               Label
	source, destination netip.AddrPort
	counters            CounterSource
	start, lastActive   int64 // of this period, and when something was last seen to pass
	period              Counts
	next, prev          *Flow // in its slot of the wheel
	dueSlot             int64 // that slot, counted from time 0
}

// Limits are a cache's.
type Limits struct {
	Active, Idle   int64 // time-outs, nanoseconds
	MaxConnections int   // connections at once; others are accounted for when they end, as one record each
}

const wheelSlots = 64 // of the wheel: a turn is the active time-out, so that a record is late by 2% of it at most

// Cache keeps the connections that are open, and makes records of them: when an active period is over, when nothing
// has passed for the idle time-out, and when they end. Whose time it is stands in a timing wheel.
type Cache struct {
	limits   Limits
	emit     func(Record)
	wheel    [wheelSlots]Flow // each the head of its slot's list
	nextSlot int64            // the slot that comes next, counted from time 0
	open     int
}

// NewCache makes an empty cache whose records go to out.
func NewCache(l Limits, now int64, emitRecord func(Record)) *Cache {
	l.Active = max(l.Active, wheelSlots)
	c := &Cache{limits: l, emit: emitRecord, nextSlot: now / (l.Active / wheelSlots)}
	for i := range c.wheel {
		c.wheel[i].next, c.wheel[i].prev = &c.wheel[i], &c.wheel[i]
	}
	return c
}

// Len is how many connections are open in the cache.
func (c *Cache) Len() int { return c.open }

// schedule plans a look, less than a turn ahead: the slot that is being looked through gets none.
func (c *Cache) schedule(f *Flow, now, after int64) {
	width := c.limits.Active / wheelSlots
	due := now + min(max(after, width), (wheelSlots-1)*width)
	f.dueSlot = due / width
	head := &c.wheel[int(f.dueSlot)%wheelSlots]
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
func (c *Cache) Open(now int64, l Label, source, destination netip.AddrPort, counterSource CounterSource) *Flow {
	f := &Flow{label: l, source: source, destination: destination, counters: counterSource, start: now, lastActive: now}
	if c.open++; c.open <= c.limits.MaxConnections {
		c.schedule(f, now, min(c.limits.Active, c.limits.Idle))
	}
	return f
}

// Relabel tells that what passes from now on belongs elsewhere: to another carrier or band. What passed before gives
// a record of its own.
func (c *Cache) Relabel(now int64, f *Flow, l Label) {
	if f.label == l {
		return
	}
	f.period.Add(f.counters.Take())
	if !f.period.Zero() && (f.label.Carrier != 0 || f.label.Band != 0) {
		c.record(now, f, Active, 0)
	}
	f.label = l
}

// Close tells that a connection has ended.
func (c *Cache) Close(now int64, f *Flow, reason Reason, drained bool) {
	c.open--
	f.unlink()
	f.period.Add(f.counters.Take())
	f.label.Drained = f.label.Drained || drained
	c.record(now, f, reason, 1)
}

// record makes one of a flow's present period and begins the next.
func (c *Cache) record(now int64, f *Flow, reason Reason, ended uint32) {
	c.emit(Record{Label: f.label, Counts: f.period, Source: f.source, Destination: f.destination, Start: f.start,
		End: max(now, f.start), Reason: reason, Count: 1, Connections: ended})
	f.period, f.start = Counts{}, now
}

// Tick looks at the connections whose time it is. A clock that jumped has each looked at once at most.
func (c *Cache) Tick(now int64) {
	width := c.limits.Active / wheelSlots
	lastSlot := now / width
	if lastSlot < c.nextSlot || lastSlot-c.nextSlot > wheelSlots {
		c.nextSlot = lastSlot - wheelSlots
	}
	for ; c.nextSlot <= lastSlot; c.nextSlot++ {
		head := &c.wheel[int(c.nextSlot)%wheelSlots]
		for f := head.next; f != head; {
			next := f.next
			if f.dueSlot <= lastSlot { // others were put there for the next turn
				c.inspect(now, f)
			}
			f = next
		}
	}
}

// inspect makes a record of a connection whose period is over, and plans the next look.
func (c *Cache) inspect(now int64, f *Flow) {
	passed := f.counters.Take()
	if f.period.Add(passed); !passed.Zero() {
		f.lastActive = now
	}
	switch {
	case !f.period.Zero() && now-f.lastActive >= c.limits.Idle:
		c.record(now, f, Idle, 0)
	case !f.period.Zero() && now-f.start >= c.limits.Active:
		c.record(now, f, Active, 0)
	case f.period.Zero() && now-f.start >= c.limits.Active:
		f.start = now // nothing to tell
	}
	f.unlink()
	c.schedule(f, now, min(c.limits.Active, c.limits.Idle))
}

// Flush makes a record of what has passed on every connection: a router leaves.
func (c *Cache) Flush(now int64) {
	for i := range c.wheel {
		head := &c.wheel[i]
		for f := head.next; f != head; f = f.next {
			if f.period.Add(f.counters.Take()); !f.period.Zero() {
				c.record(now, f, Forced, 0)
			}
		}
	}
}
