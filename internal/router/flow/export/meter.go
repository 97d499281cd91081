// Package export counts what passes on a router's connections and sends flow records to collectors, beside the path of
// commands: a command adds to counters that are its connection's own, and never waits for a collector.
package export

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/router/flow"
)

// Meter watches the connections of a router and keeps what collectors are owed.
type Meter struct {
	clock        func() int64
	mu           sync.Mutex
	cache        *flow.Cache
	queues       []*queue
	leaving      bool
	heavyHitters *flow.HeavyHitters
}

// queue is one collector's backlog.
type queue struct {
	*flow.Backlog
	wake chan struct{} // holds one once there is something
}

// Crowd is how many counters find who crowds, and over what time.
const (
	heavyHitterCounters = 256
	heavyHitterWindow   = int64(10 * time.Second)
)

// NewMeter makes a meter that owes its records to so many collectors, each with a backlog of so many bytes.
func NewMeter(l flow.Limits, collectors, bytes int, clock func() int64) *Meter {
	m := &Meter{clock: clock, heavyHitters: flow.NewHeavyHitters(heavyHitterCounters, heavyHitterWindow)}
	for range collectors {
		m.queues = append(m.queues, &queue{flow.NewBacklog(bytes), make(chan struct{}, 1)})
	}
	m.cache = flow.NewCache(l, clock(), m.enqueue)
	return m
}

// put is called by the cache, under the lock.
func (m *Meter) enqueue(r flow.Record) {
	for _, q := range m.queues {
		q.Add(r)
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// Address is a connection's end as records have it.
func Address(a net.Addr) netip.AddrPort {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.AddrPort()
	}
	return netip.AddrPort{}
}

// Tick lets time pass for what is open.
func (m *Meter) Tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cache.Tick(m.clock())
}

// Leave tells that what ends from now on is cut by the router.
func (m *Meter) Leave() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Flush makes records of all that has passed.
func (m *Meter) Flush() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cache.Flush(m.clock())
}

// Account is what became of one collector's records.
func (m *Meter) Account(collector int) (a flow.Ledger, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.queues[collector].Account, m.queues[collector].Bytes()
}

// Greatest are the keys with most commands in the last ten seconds.
func (m *Meter) Greatest(n int) []flow.Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heavyHitters.Largest(m.clock(), n)
}

// Conn is one connection's counters. All its methods may be called on nil, which counts nothing.
type Conn struct {
	meter        *Meter
	flow         *flow.Flow
	in, out      atomic.Uint64 // octets read and written by the router
	commands     atomic.Uint64
	commandStart atomic.Uint64 // of what was read: up to the end of the last answer
	relabeling   bool          // under the meter's lock: only what came before the mark is taken
	taken        flow.Counts   // what was taken before: in, out and commands
	side         flow.Side
	closed       bool
}

// Open begins to watch a connection.
func (m *Meter) Open(l flow.Label, source, destination netip.AddrPort) *Conn {
	if m == nil {
		return nil
	}
	c := &Conn{meter: m, side: l.Side}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.flow = m.cache.Open(m.clock(), l, source, destination, c)
	return c
}

// BytesRead counts octets that were read, Out ones that were written.
func (c *Conn) BytesRead(n int) {
	if c != nil && n > 0 {
		c.in.Add(uint64(n))
	}
}

// BytesWritten counts octets that were written.
func (c *Conn) BytesWritten(n int) {
	if c != nil && n > 0 {
		c.out.Add(uint64(n))
	}
}

// Answered tells that what is read from now on belongs to the next command.
func (c *Conn) Answered() {
	if c != nil {
		c.commandStart.Store(c.in.Load())
	}
}

// Command counts one of a label and a key (0 for none): what was read since the last answer belongs to it.
func (c *Conn) Command(l flow.Label, key uint64) {
	if c == nil {
		return
	}
	m := c.meter
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.closed {
		return
	}
	now := m.clock()
	c.relabeling = true
	m.cache.Relabel(now, c.flow, l)
	c.relabeling = false
	c.commands.Add(1)
	if key != 0 {
		m.heavyHitters.Add(now, key, 1)
	}
}

// Take is the cache's look at the counters, under the meter's lock.
func (c *Conn) Take() flow.Counts {
	now := flow.Counts{Forward: c.in.Load(), Reverse: c.out.Load(), Commands: c.commands.Load()}
	if c.relabeling {
		now.Forward = min(now.Forward, max(c.commandStart.Load(), c.taken.Forward))
	}
	passed := flow.Counts{Forward: now.Forward - c.taken.Forward, Reverse: now.Reverse - c.taken.Reverse,
		Commands: now.Commands - c.taken.Commands}
	if c.taken = now; c.side == flow.Hosts {
		passed.Forward, passed.Reverse = passed.Reverse, passed.Forward
	}
	return passed
}

// Close ends the watch; drained says that the peer, or the router, was leaving.
func (c *Conn) Close(drained bool) {
	if c == nil {
		return
	}
	m := c.meter
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	reason := flow.Ended
	if m.leaving {
		reason = flow.Forced
	}
	m.cache.Close(m.clock(), c.flow, reason, drained || m.leaving)
}
