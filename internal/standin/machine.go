// Package standin holds models of what is around routers: hosts that start cold and can be pushed over, and clients
// that ask again. They have no clock; the emulator plays them in virtual time, and servers on loopback in real time.
package standin

import "sort"

// Machine is a host: cores that take commands in turn, slower while it is cold.
type Machine struct {
	Cores        int
	ColdFrom     float64
	ColdFor      int64
	FallMultiple float64 // sent more than this over what it can do, for FallFor while it is cold, it falls and stays down
	FallFor      int64
	Queue        int64 // the longest wait for a core; what would wait longer is turned away

	Up, Fallen bool
	cold       int64   // since when, 0 for warm
	free       []int64 // when each core is
	came       []work  // lately
}

type work struct {
	at      int64
	seconds float64
}

// Start brings it up, cold since now, or warm.
func (m *Machine) Start(now int64, warm bool) {
	m.Up, m.cold, m.free, m.came = !m.Fallen, now, make([]int64, m.Cores), nil
	if warm {
		m.cold = 0
	}
}

// Stop ends it, and all that it had.
func (m *Machine) Stop() { m.Up = false }

// Capacity is what it can do at a time, in seconds of work a second.
func (m *Machine) Capacity(at int64) float64 {
	if !m.Up {
		return 0
	}
	return float64(m.Cores) * m.warmth(at)
}

func (m *Machine) warmth(at int64) float64 {
	if m.cold == 0 || at-m.cold >= m.ColdFor {
		return 1
	}
	return m.ColdFrom + (1-m.ColdFrom)*float64(max(0, at-m.cold))/float64(m.ColdFor)
}

// Arrive takes a command's work, in nanoseconds, and tells when it is done; false is for a full queue.
func (m *Machine) Arrive(now, need int64) (done int64, ok bool) {
	m.fall(now, float64(need)/1e9)
	if !m.Up {
		return 0, false
	}
	i := 0
	for j := range m.free {
		if m.free[j] < m.free[i] {
			i = j
		}
	}
	begin := max(now, m.free[i])
	if begin-now > m.Queue {
		return 0, false
	}
	m.free[i] = begin + int64(float64(need)/m.warmth(begin))
	return m.free[i], true
}

// fall pushes a cold machine over that was sent too much for too long.
func (m *Machine) fall(now int64, seconds float64) {
	if m.cold == 0 || m.FallFor <= 0 {
		return
	}
	m.came = append(m.came, work{now, seconds})
	i := sort.Search(len(m.came), func(i int) bool { return m.came[i].at > now-m.FallFor })
	m.came = m.came[i:]
	if now-m.cold < m.FallFor {
		return
	}
	sum := 0.0
	for _, w := range m.came {
		sum += w.seconds
	}
	if can := m.Capacity(now-m.FallFor/2) * float64(m.FallFor) / 1e9; sum > m.FallMultiple*can {
		m.Fallen, m.Up = true, false
	}
	if now-m.cold > m.ColdFor+m.FallFor {
		m.cold, m.came = 0, nil
	}
}

// Effects is what all hosts did for commands with a mark, and their common memory, by which a repeat is dropped.
type Effects struct {
	Memory int64
	seen   map[string]effect
	Twice  int // hand-offs of one try whose effect happened a second time
	Runs   int
}

type effect struct {
	at    int64
	trace string
}

// Run tells whether a command runs, or is a repeat that is dropped.
func (e *Effects) Run(now int64, mark, trace string) bool {
	if e.seen == nil {
		e.seen = map[string]effect{}
	}
	was, known := e.seen[mark]
	if known && now-was.at < e.Memory {
		return false
	}
	if known && was.trace == trace {
		e.Twice++
	}
	e.Runs++
	e.seen[mark] = effect{now, trace}
	return true
}
