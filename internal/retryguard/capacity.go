package retryguard

import (
	"cmp"
	"slices"
)

// Host is a host as the list shows it.
type Host struct {
	ID        uint32
	Ready     bool
	Capacity  float64 // its capacity beside others'
	StartedAt int64   // 0 for long ago
}

// Signal is what the end of a hand-off says of its host.
type Signal uint8

const (
	Answered         Signal = iota // any answer
	Overloaded                     // turned away: it lives, and has enough to do
	ConnectionFailed               // no connection, or one that broke: its process may be gone
	NoAnswer                       // nothing came
	NotSent                        // nothing was sent: it says nothing
)

// failuresUntilDown are the signs in a row after which a host is taken for down: one may be a lost connection's.
const failuresUntilDown = 2

type hostState struct {
	Host
	coldSince int64 // since when it warms up, 0 for warm
	down      bool
	known     bool // it has answered, or is down
	restarted bool // it is down by broken connections: it comes back cold
	failures  int
}

// Capacity is a router's picture of what all hosts can do, now and in the next seconds.
type Capacity struct {
	coldCapacity float64 // part of its capacity that a host starts with
	warmUpTime   int64
	hosts        map[uint32]*hostState
	ready        []*hostState // by id, so that sums come out alike
}

// NewCapacity makes an empty picture; hosts start with a part of their capacity and are warm some time later.
func NewCapacity(coldFrom float64, coldFor int64) *Capacity {
	return &Capacity{coldCapacity: min(1, max(0.05, coldFrom)), warmUpTime: max(1, coldFor), hosts: map[uint32]*hostState{}}
}

// HostsChanged takes up the list, or its changes. What a whole list doesn't name is gone.
func (c *Capacity) HostsChanged(complete bool, hosts []Host) {
	if complete {
		named := make(map[uint32]bool, len(hosts))
		for _, h := range hosts {
			named[h.ID] = true
		}
		for id := range c.hosts {
			if !named[id] {
				delete(c.hosts, id)
			}
		}
	}
	for _, h := range hosts {
		if !h.Ready {
			delete(c.hosts, h.ID)
			continue
		}
		if !(h.Capacity > 1e-3 && h.Capacity < 1e6) {
			h.Capacity = 1
		}
		m := c.hosts[h.ID]
		if m == nil || m.StartedAt != h.StartedAt {
			m = &hostState{coldSince: h.StartedAt}
			c.hosts[h.ID] = m
		}
		m.Host = h
	}
	c.ready = c.ready[:0]
	for _, m := range c.hosts {
		c.ready = append(c.ready, m)
	}
	slices.SortFunc(c.ready, func(a, b *hostState) int { return cmp.Compare(a.ID, b.ID) })
}

// AttemptEnded tells what a hand-off's end says of a host. One that answers after its connections broke is taken for a new
// process, cold since then, unless the list has told its start.
func (c *Capacity) AttemptEnded(now int64, id uint32, s Signal) {
	m := c.hosts[id]
	if m == nil || s == NotSent {
		return
	}
	if s == Answered || s == Overloaded {
		if m.down && m.restarted {
			m.coldSince = now
		}
		m.known, m.down, m.restarted, m.failures = true, false, false, 0
		return
	}
	if m.failures++; m.failures >= failuresUntilDown {
		m.known, m.down = true, true
		m.restarted = m.restarted || s == ConnectionFailed
	}
}

// warmth is the part of its capacity that a host has at a time.
func (c *Capacity) warmth(m *hostState, at int64) float64 {
	if m.coldSince == 0 || at-m.coldSince >= c.warmUpTime {
		return 1
	}
	return c.coldCapacity + (1-c.coldCapacity)*float64(max(0, at-m.coldSince))/float64(c.warmUpTime)
}

// At is what all hosts that are up will be able to do at a time, by sizes. Those that this router has not met count
// by the part of those it has met that is up, as a router of many meets few of its hosts.
func (c *Capacity) At(at int64) float64 {
	return c.sum(func(m *hostState) float64 { return m.Capacity * c.warmth(m, at) })
}

// Warm is what the same hosts could do if they were warm.
func (c *Capacity) Warm() float64 { return c.sum(func(m *hostState) float64 { return m.Capacity }) }

func (c *Capacity) sum(capacity func(*hostState) float64) float64 {
	var up, unknown, known, alive float64
	for _, m := range c.ready {
		switch {
		case !m.known:
			unknown += capacity(m)
		case !m.down:
			up += capacity(m)
			alive += m.Capacity
			known += m.Capacity
		default:
			known += m.Capacity
		}
	}
	if known > 0 {
		unknown *= alive / known
	}
	return up + unknown
}

// Total is what all listed hosts could do if they were up and warm.
func (c *Capacity) Total() (size float64) {
	for _, m := range c.ready {
		size += m.Capacity
	}
	return size
}
