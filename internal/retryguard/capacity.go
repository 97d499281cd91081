package retryguard

import (
	"cmp"
	"slices"
)

// Host is an entry of the host list.
type Host struct {
	ID        uint32
	Ready     bool
	Capacity  float64 // relative to other hosts
	StartedAt int64   // start of its process in nanoseconds, 0 if it is warm
}

// Signal is the evidence that the result of an attempt gives about the state of its host.
type Signal uint8

// Results of an attempt.
const (
	Answered         Signal = iota // the host answered, successfully or not
	Overloaded                     // the host is up and rejected the request
	ConnectionFailed               // connect failed or the connection broke; the process may have terminated
	NoAnswer                       // timeout
	NotSent                        // nothing was sent; the signal is ignored
)

// failuresUntilDown is the number of consecutive failures after which a host counts as down. A single failure may be only a
// lost connection.
const failuresUntilDown = 2

// Capacities that are not strictly between these bounds are replaced by 1.
const (
	minCapacity = 1e-3
	maxCapacity = 1e6
)

type hostState struct {
	Host
	coldSince int64 // start of the warm-up, 0 if warm
	down      bool
	known     bool // its state was observed: it has answered or is down
	restarted bool // connections failed while it was down, so it returns cold
	failures  int  // consecutive
}

// Capacity estimates the capacity of all hosts now and a few seconds ahead, taking warm-up and hosts that are down into
// account. Capacities are relative: 1 is one warm host of capacity 1.
type Capacity struct {
	coldCapacity float64 // fraction of its capacity that a host has when it starts
	warmUpTime   int64
	hosts        map[uint32]*hostState
	ready        []*hostState // by ID, so that floating-point sums are deterministic
}

// minColdCapacity is the lower bound for the fraction of its capacity that a host has when it starts.
const minColdCapacity = 0.05

// NewCapacity returns an estimator without hosts. The capacity of a host grows linearly from the fraction coldCapacity at its
// start to its full capacity after warmUpTime nanoseconds.
func NewCapacity(coldCapacity float64, warmUpTime int64) *Capacity {
	return &Capacity{
		coldCapacity: min(1, max(minColdCapacity, coldCapacity)),
		warmUpTime:   max(1, warmUpTime),
		hosts:        map[uint32]*hostState{},
	}
}

// HostsChanged applies an update of the host list. If complete is true, hosts replaces the list; otherwise it has only the
// changed entries.
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

// removeUnlisted removes all hosts that are not in hosts.
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

// applyHost applies one entry of the list. A different start time means a new process, whose state starts afresh.
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

// AttemptEnded updates the state of a host from an attempt's result. A host that was down with failed connections and answers
// again counts as a new, cold process until the list has its new start time.
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

// warmth returns the fraction of its capacity that a host has at the given time.
func (c *Capacity) warmth(s *hostState, at int64) float64 {
	age := at - s.coldSince
	if s.coldSince == 0 || age >= c.warmUpTime {
		return 1
	}
	return c.coldCapacity + (1-c.coldCapacity)*float64(max(0, age))/float64(c.warmUpTime)
}

// At returns the estimated capacity at the given time of all hosts that are up now. A router sends requests to only some of
// the hosts: the others are assumed to be up in the same proportion as those it has observed.
func (c *Capacity) At(at int64) float64 {
	return c.sum(func(s *hostState) float64 { return s.Capacity * c.warmth(s, at) })
}

// Warm returns the capacity that the same hosts would have if all were warm.
func (c *Capacity) Warm() float64 { return c.sum(func(s *hostState) float64 { return s.Capacity }) }

func (c *Capacity) sum(capacity func(*hostState) float64) float64 {
	var up, unknown float64         // sums of capacity(s)
	var knownTotal, upTotal float64 // sums of the capacity when warm
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

// Total returns the capacity that all listed hosts would have if they were up and warm.
func (c *Capacity) Total() (total float64) {
	for _, s := range c.ready {
		total += s.Capacity
	}
	return total
}
