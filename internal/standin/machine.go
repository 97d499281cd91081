// Package standin has models of what is around routers: hosts that start cold and can collapse (Machine), clients that retry
// (ClientBehaviour) and services with a queue (CallQueue). They have no clock and no I/O; the emulator runs them in virtual time, and
// package servers on loopback in real time.
package standin

import "sort"

// Machine is a host: cores that run commands in turn, slower while it is cold.
type Machine struct {
	Cores            int
	ColdStartFactor  float64
	ColdDuration     int64
	CollapseFactor   float64 // sent more than this multiple of its capacity for CollapseDuration while it is cold, it collapses and stays down
	CollapseDuration int64
	QueueNanos       int64 // the longest wait for a core; what would wait longer is rejected

	Up, Collapsed bool
	coldSince     int64   // since when, 0 for warm
	coreFreeAt    []int64 // when each core is
	recentWork    []work  // lately
}

type work struct {
	at      int64
	seconds float64
}

// Start starts the machine, cold or warm.
func (m *Machine) Start(now int64, warm bool) {
	m.Up, m.coldSince, m.coreFreeAt, m.recentWork = !m.Collapsed, now, make([]int64, m.Cores), nil
	if warm {
		m.coldSince = 0
	}
}

// Stop ends the machine, and all that it runs.
func (m *Machine) Stop() { m.Up = false }

// Capacity returns what the machine can do at a time, in seconds of work a second.
func (m *Machine) Capacity(at int64) float64 {
	if !m.Up {
		return 0
	}
	return float64(m.Cores) * m.warmth(at)
}

// warmth is the fraction of its speed that the machine has at a time.
func (m *Machine) warmth(at int64) float64 {
	if m.coldSince == 0 || at-m.coldSince >= m.ColdDuration {
		return 1
	}
	return m.ColdStartFactor + (1-m.ColdStartFactor)*float64(max(0, at-m.coldSince))/float64(m.ColdDuration)
}

// Arrive queues a command's work, in nanoseconds, and returns when it is done; ok is false for a full queue.
func (m *Machine) Arrive(now, need int64) (done int64, ok bool) {
	m.collapse(now, float64(need)/1e9)
	if !m.Up {
		return 0, false
	}
	i := 0
	for j := range m.coreFreeAt {
		if m.coreFreeAt[j] < m.coreFreeAt[i] {
			i = j
		}
	}
	begin := max(now, m.coreFreeAt[i])
	if begin-now > m.QueueNanos {
		return 0, false
	}
	m.coreFreeAt[i] = begin + int64(float64(need)/m.warmth(begin))
	return m.coreFreeAt[i], true
}

// collapse has a cold machine collapse that was sent too much for too long.
func (m *Machine) collapse(now int64, seconds float64) {
	if m.coldSince == 0 || m.CollapseDuration <= 0 {
		return
	}
	m.recentWork = append(m.recentWork, work{now, seconds})
	i := sort.Search(len(m.recentWork), func(i int) bool { return m.recentWork[i].at > now-m.CollapseDuration })
	m.recentWork = m.recentWork[i:]
	if now-m.coldSince < m.CollapseDuration {
		return
	}
	sum := 0.0
	for _, w := range m.recentWork {
		sum += w.seconds
	}
	if can := m.Capacity(now-m.CollapseDuration/2) * float64(m.CollapseDuration) / 1e9; sum > m.CollapseFactor*can {
		m.Collapsed, m.Up = true, false
	}
	if now-m.coldSince > m.ColdDuration+m.CollapseDuration {
		m.coldSince, m.recentWork = 0, nil
	}
}

// EffectLog is what all hosts did for commands with a key, and their common memory, by which a repeat is dropped.
type EffectLog struct {
	Retention  int64
	lastRuns   map[string]effect
	Duplicates int // attempts whose effect happened a second time
	Runs       int
}

type effect struct {
	at    int64
	trace string
}

// Run reports whether a command runs, or is a repeat that is dropped.
func (e *EffectLog) Run(now int64, mark, trace string) bool {
	if e.lastRuns == nil {
		e.lastRuns = map[string]effect{}
	}
	was, known := e.lastRuns[mark]
	if known && now-was.at < e.Retention {
		return false
	}
	if known && was.trace == trace {
		e.Duplicates++
	}
	e.Runs++
	e.lastRuns[mark] = effect{now, trace}
	return true
}
