package flow

import "net/netip"

// CounterSource holds the counters of a connection. Take returns the traffic since the previous Take.
type CounterSource interface{ Take() Counts }

// Flow is one open connection.
type Flow struct {
	label               Label
	source, destination netip.AddrPort
	counters            CounterSource
	start, lastActive   int64 // start of the current period; time of the last inspection that found traffic
	period              Counts
	next, prev          *Flow // list of the flows in the same wheel slot; nil if not scheduled
	dueSlot             int64 // slot of the next inspection, counted from time 0
}

// Limits holds the timeouts and the capacity of a Cache.
type Limits struct {
	Active, Idle   int64 // timeouts in nanoseconds
	MaxConnections int   // connections with periodic records; further ones have records only at Relabel and Close
}

// wheelSlots is the number of slots of the timing wheel. One turn is the active timeout, so a record is late by at most 2% of
// that timeout.
const wheelSlots = 64

// Cache tracks open connections and emits their records: at the active timeout, at the idle timeout and when a connection is
// closed. A timing wheel schedules the inspections. Cache is not safe for concurrent use.
type Cache struct {
	limits   Limits
	emit     func(Record)
	wheel    [wheelSlots]Flow // list heads, one per slot
	nextSlot int64            // the next slot to scan, counted from time 0
	open     int
}

// NewCache returns an empty cache that passes its records to emitRecord.
func NewCache(l Limits, now int64, emitRecord func(Record)) *Cache {
	l.Active = max(l.Active, wheelSlots)
	c := &Cache{limits: l, emit: emitRecord, nextSlot: now / (l.Active / wheelSlots)}
	for i := range c.wheel {
		c.wheel[i].next, c.wheel[i].prev = &c.wheel[i], &c.wheel[i]
	}
	return c
}

// Len returns the number of open connections, including those beyond MaxConnections.
func (c *Cache) Len() int { return c.open }

// schedule inserts f into the slot of now+after, limited to at least one slot and less than one turn ahead, so that f never
// lands in the slot of the current time.
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

// Open adds a connection. A connection beyond MaxConnections is not scheduled for periodic records.
func (c *Cache) Open(now int64, l Label, source, destination netip.AddrPort, counterSource CounterSource) *Flow {
	f := &Flow{label: l, source: source, destination: destination, counters: counterSource, start: now, lastActive: now}
	if c.open++; c.open <= c.limits.MaxConnections {
		c.schedule(f, now, min(c.limits.Active, c.limits.Idle))
	}
	return f
}

// Relabel attributes further traffic to the label l. Earlier traffic of the period is emitted as a record with the old label;
// if that has neither a carrier nor a band, it counts for the new label instead.
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

// Close removes a connection and emits its last record, even if that has no traffic.
func (c *Cache) Close(now int64, f *Flow, reason Reason, drained bool) {
	c.open--
	f.unlink()
	f.period.Add(f.counters.Take())
	f.label.Drained = f.label.Drained || drained
	c.record(now, f, reason, 1)
}

// record emits the current period of f as a record and starts the next period.
func (c *Cache) record(now int64, f *Flow, reason Reason, ended uint32) {
	c.emit(Record{Label: f.label, Counts: f.period, Source: f.source, Destination: f.destination, Start: f.start,
		End: max(now, f.start), Reason: reason, Count: 1, Connections: ended})
	f.period, f.start = Counts{}, now
}

// Tick inspects the connections that are due, each at most once. It scans the whole wheel if now is before the next slot or more
// than a turn after it, as after a clock jump.
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
			if f.dueSlot <= lastSlot { // the others are not due yet
				c.inspect(now, f)
			}
			f = next
		}
	}
}

// inspect emits a record if the period of f is over, and schedules the next inspection.
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
		f.start = now // no traffic, no record
	}
	f.unlink()
	c.schedule(f, now, min(c.limits.Active, c.limits.Idle))
}

// Flush emits a record with reason Forced for each scheduled connection that has unreported traffic. The connections stay open.
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
