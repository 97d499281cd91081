// Package standin models the environment of routers: hosts that start cold and can collapse (Machine), clients that retry
// (ClientBehaviour) and services with a queue (CallQueue). The models have no clock and do no I/O; the emulator runs them in
// virtual time, and package servers on loopback in real time.
package standin

import "sort"

// Machine models a host: cores that run one command at a time each, at reduced speed while the machine is cold. Times are in
// nanoseconds.
type Machine struct {
	Cores           int
	ColdStartFactor float64 // fraction of the full speed right after a cold start
	ColdDuration    int64   // time until a cold machine reaches full speed
	// A machine that is sent more than CollapseFactor times its capacity over CollapseDuration collapses and stays down. This can
	// happen until CollapseDuration after it has warmed up.
	CollapseFactor   float64
	CollapseDuration int64
	QueueNanos       int64 // longest wait for a core; work that would wait longer is rejected

	Up, Collapsed bool
	coldSince     int64   // time of the cold start, 0 if warm
	coreFreeAt    []int64 // by core: when it finishes its queued work
	recentWork    []work  // work sent during the past CollapseDuration, if cold
}

type work struct {
	at      int64
	seconds float64
}

// Start starts the machine with empty queues, cold or warm. A machine that has collapsed stays down.
func (m *Machine) Start(now int64, warm bool) {
	m.Up, m.coldSince, m.coreFreeAt, m.recentWork = !m.Collapsed, now, make([]int64, m.Cores), nil
	if warm {
		m.coldSince = 0
	}
}

// Stop takes the machine down. Start discards the work that was queued.
func (m *Machine) Stop() { m.Up = false }

// Capacity returns the capacity at the given time, in seconds of work per second; 0 while the machine is down.
func (m *Machine) Capacity(at int64) float64 {
	if !m.Up {
		return 0
	}
	return float64(m.Cores) * m.speed(at)
}

// speed returns the speed at the given time as a fraction of the full speed.
func (m *Machine) speed(at int64) float64 {
	if m.coldSince == 0 || at-m.coldSince >= m.ColdDuration {
		return 1
	}
	return m.ColdStartFactor + (1-m.ColdStartFactor)*float64(max(0, at-m.coldSince))/float64(m.ColdDuration)
}

// Arrive queues a command that takes workNanos at full speed, and returns when it completes. ok is false if the machine is down
// or the wait for a core would exceed QueueNanos.
func (m *Machine) Arrive(now, workNanos int64) (done int64, ok bool) {
	m.collapse(now, float64(workNanos)/1e9)
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
	m.coreFreeAt[i] = begin + int64(float64(workNanos)/m.speed(begin))
	return m.coreFreeAt[i], true
}

// collapse records the work of a command and collapses a cold machine that has been overloaded for CollapseDuration.
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
	if capacity := m.Capacity(now-m.CollapseDuration/2) * float64(m.CollapseDuration) / 1e9; sum > m.CollapseFactor*capacity {
		m.Collapsed, m.Up = true, false
	}
	if now-m.coldSince > m.ColdDuration+m.CollapseDuration {
		m.coldSince, m.recentWork = 0, nil
	}
}

// EffectLog records the commands with an idempotency key that hosts have run, and deduplicates repeats across these hosts.
type EffectLog struct {
	Retention  int64             // nanoseconds for which a repeat is dropped
	lastRuns   map[string]effect // by idempotency key
	Duplicates int               // number of runs that repeated a run of the same key and trace, after Retention
	Runs       int
}

type effect struct {
	at    int64
	trace string
}

// Run records a command and reports whether it runs; false means that it is a repeat within Retention and is dropped.
func (e *EffectLog) Run(now int64, key, trace string) bool {
	if e.lastRuns == nil {
		e.lastRuns = map[string]effect{}
	}
	last, known := e.lastRuns[key]
	if known && now-last.at < e.Retention {
		return false
	}
	if known && last.trace == trace {
		e.Duplicates++
	}
	e.Runs++
	e.lastRuns[key] = effect{now, trace}
	return true
}
