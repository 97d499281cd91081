// Package export counts the traffic of a router's connections and sends flow records to collectors. Commands only update the
// counters of their connection and never wait for a collector.
package export

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/router/flow"
)

// Meter counts the traffic of a router's connections and queues the flow records for each collector. A nil Meter counts nothing:
// Open and Leave may be called on it.
type Meter struct {
	clock        func() int64
	mu           sync.Mutex // guards cache, the backlogs of queues, leaving and heavyHitters
	cache        *flow.Cache
	queues       []*queue
	leaving      bool
	heavyHitters *flow.HeavyHitters
}

// queue is the backlog for one collector.
type queue struct {
	*flow.Backlog
	wake chan struct{} // capacity 1; receives a value when a record is added
}

// Number of counters and window of Meter.heavyHitters.
const (
	heavyHitterCounters = 256
	heavyHitterWindow   = int64(10 * time.Second)
)

// NewMeter returns a meter with one backlog per collector, each of at most the given number of bytes. clock returns Unix
// nanoseconds.
func NewMeter(l flow.Limits, collectors, bytes int, clock func() int64) *Meter {
	m := &Meter{clock: clock, heavyHitters: flow.NewHeavyHitters(heavyHitterCounters, heavyHitterWindow)}
	for range collectors {
		m.queues = append(m.queues, &queue{flow.NewBacklog(bytes), make(chan struct{}, 1)})
	}
	m.cache = flow.NewCache(l, clock(), m.enqueue)
	return m
}

// enqueue adds a record to each backlog. The cache calls it with mu held.
func (m *Meter) enqueue(r flow.Record) {
	for _, q := range m.queues {
		q.Add(r)
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// Address returns a as an AddrPort if it is a *net.TCPAddr, and the zero AddrPort otherwise.
func Address(a net.Addr) netip.AddrPort {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.AddrPort()
	}
	return netip.AddrPort{}
}

// Tick emits the records that are due. It must be called regularly.
func (m *Meter) Tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cache.Tick(m.clock())
}

// Leave marks the router as shutting down: connections that are closed later are recorded as Forced and Drained.
func (m *Meter) Leave() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Flush emits records for the unreported traffic of open connections.
func (m *Meter) Flush() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cache.Flush(m.clock())
}

// Account returns the ledger of one collector's records and the approximate memory use of its backlog.
func (m *Meter) Account(collector int) (a flow.Ledger, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.queues[collector].Account, m.queues[collector].Bytes()
}

// Greatest returns the n keys with the most commands in the last ten seconds, in descending order. A key's count is an estimate.
func (m *Meter) Greatest(n int) []flow.Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heavyHitters.Largest(m.clock(), n)
}

// Conn holds the counters of one connection. A nil Conn counts nothing: all methods except Take may be called on it.
type Conn struct {
	meter        *Meter
	flow         *flow.Flow
	in, out      atomic.Uint64 // octets that the router read and wrote
	commands     atomic.Uint64
	commandStart atomic.Uint64 // value of in at the last answer, where the next command starts
	relabeling   bool          // guarded by meter.mu; if set, Take counts the octets read up to commandStart only
	taken        flow.Counts   // in, out and commands at the last Take; guarded by meter.mu
	side         flow.Side
	closed       bool
}

// Open starts counting a connection. It returns nil if m is nil.
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

// BytesRead counts n octets that the router read from the connection.
func (c *Conn) BytesRead(n int) {
	if c != nil && n > 0 {
		c.in.Add(uint64(n))
	}
}

// BytesWritten counts n octets that the router wrote to the connection.
func (c *Conn) BytesWritten(n int) {
	if c != nil && n > 0 {
		c.out.Add(uint64(n))
	}
}

// Answered marks the end of an answer: octets read from now on belong to the next command.
func (c *Conn) Answered() {
	if c != nil {
		c.commandStart.Store(c.in.Load())
	}
}

// Command counts a command with the given label and, unless it is 0, key. Octets read since the last answer belong to the command.
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

// Take implements flow.CounterSource. The cache calls it with the meter's mu held.
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

// Close stops counting; further calls have no effect. drained reports that the peer was draining or the router shutting down.
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
