package retryguard

import (
	"cmp"
	"slices"
)

// Host is a host as the list has it.
type Host struct {
	ID        uint32
	Ready     bool
	Capacity  float64 // relative to other hosts
	StartedAt int64   // 0 for long ago
}

// Signal is what the end of an attempt says of its host.
type Signal uint8

// What an end says.
const (
	Answered         Signal = iota // any answer
	Overloaded                     // rejected: it is up, and has enough to do
	ConnectionFailed               // no connection, or one that broke: its process may be gone
	NoAnswer                       // no answer in time
	NotSent                        // nothing was sent: it says nothing
)

// failuresUntilDown is the number of failures in a row after which a host is taken for down: one may be a lost connection.
const failuresUntilDown = 2

// Capacities outside of these bounds are taken as 1.
const (
	minCapacity = 1e-3
	maxCapacity = 1e6
)

type hostState struct {
	Host
	coldSince int64 // when it began to warm up, 0 for warm
	down      bool
	known     bool // it has answered, or is down
	restarted bool // it is down by broken connections: it comes back cold
	failures  int  // failures in a row
}

// Capacity estimates what all hosts can do, now and in the next seconds.
type Capacity struct {
	coldCapacity float64 // share of its capacity that a host has at its start
	warmUpTime   int64
	hosts        map[uint32]*hostState
	ready        []*hostState // by id, so that sums are added in the same order
}

// minColdCapacity is the least that a host is taken to do at its start.
const minColdCapacity = 0.05

// NewCapacity makes an estimate without hosts. Hosts have a share of their capacity at their start, and all of it after
// warmUpTime nanoseconds.
func NewCapacity(coldCapacity float64, warmUpTime int64) *Capacity {
	return &Capacity{
		coldCapacity: min(1, max(minColdCapacity, coldCapacity)),
		warmUpTime:   max(1, warmUpTime),
		hosts:        map[uint32]*hostState{},
	}
}

// HostsChanged takes over the complete list of hosts, or changes.
func (c *Capacity) HostsChanged(complete bool, hosts []Host) {
	if complete {
		c.removeUnlisted(hosts)
	}
	for _, h := range hosts {
		c.applyHost(h)
	}
	c.ready = c.ready[:0]
	for _, state := range c.hosts {
		c.ready = append(c.ready, state)
	}
	slices.SortFunc(c.ready, func(a, b *hostState) int { return cmp.Compare(a.ID, b.ID) })
}

// removeUnlisted removes the hosts that a complete list does not name.
func (c *Capacity) removeUnlisted(hosts []Host) {
	listed := make(map[uint32]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = true
	}
	for id := range c.hosts {
		if !listed[id] {
			delete(c.hosts, id)
		}
	}
}

// applyEntry takes over one entry of the list. A host with another start is a new one.
func (c *Capacity) applyHost(h Host) {
	if !h.Ready {
		delete(c.hosts, h.ID)
		return
	}
	isUsable := h.Capacity > minCapacity && h.Capacity < maxCapacity // false for NaN
	if !isUsable {
		h.Capacity = 1
	}
	state := c.hosts[h.ID]
	if state == nil || state.StartedAt != h.StartedAt {
		state = &hostState{coldSince: h.StartedAt}
		c.hosts[h.ID] = state
	}
	state.Host = h
}

// AttemptEnded takes over what an attempt's end says of a host. One that answers after its connections broke is taken for a
// new process that is cold, until the list says when it started.
func (c *Capacity) AttemptEnded(now int64, id uint32, s Signal) {
	state := c.hosts[id]
	if state == nil || s == NotSent {
		return
	}
	if s == Answered || s == Overloaded {
		state.markUp(now)
		return
	}
	state.failures++
	if state.failures >= failuresUntilDown {
		state.known = true
		state.down = true
		state.restarted = state.restarted || s == ConnectionFailed
	}
}

func (s *hostState) markUp(now int64) {
	if s.down && s.restarted {
		s.coldSince = now
	}
	s.known = true
	s.down = false
	s.restarted = false
	s.failures = 0
}

// warmth is the share of its capacity that a host has at a time.
func (c *Capacity) warmth(s *hostState, at int64) float64 {
	age := at - s.coldSince
	if s.coldSince == 0 || age >= c.warmUpTime {
		return 1
	}
	return c.coldCapacity + (1-c.coldCapacity)*float64(max(0, age))/float64(c.warmUpTime)
}

// At is what all hosts that are up will be able to do at a time, in units of a host's capacity. A router meets few of many
// hosts: of those that it has not met, the same share counts as up as of the others.
func (c *Capacity) At(at int64) float64 {
	return c.sum(func(s *hostState) float64 { return s.Capacity * c.warmth(s, at) })
}

// Warm is what the same hosts could do if they were warm.
func (c *Capacity) Warm() float64 { return c.sum(func(s *hostState) float64 { return s.Capacity }) }

func (c *Capacity) sum(capacity func(*hostState) float64) float64 {
	var up, unknown float64         // by capacity
	var knownTotal, upTotal float64 // the same if all were warm
	for _, s := range c.ready {
		switch {
		case !s.known:
			unknown += capacity(s)
		case !s.down:
			up += capacity(s)
			upTotal += s.Capacity
			knownTotal += s.Capacity
		default:
			knownTotal += s.Capacity
		}
	}
	if knownTotal > 0 {
		unknown *= upTotal / knownTotal
	}
	return up + unknown
}

// Total is what all listed hosts could do if they were up and warm.
func (c *Capacity) Total() (total float64) {
	for _, s := range c.ready {
		total += s.Capacity
	}
	return total
}
