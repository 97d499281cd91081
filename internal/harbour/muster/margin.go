package muster

// Margin is how many losses the core bears, followed over time by one process: how long it was less than before. It has no
// clock; times are monotonic nanoseconds.
type Margin struct {
	Level int      // members that could be lost before the present loss; with all heard, that can be now
	Now   int      // that can be lost now; below 0 there is no majority
	Since int64    // of the loss, 0 for none
	Lost  []string // who isn't heard since
	Last  int64    // how long the last loss took until the margin was back
	known bool
}

// See takes the list and who of it isn't heard. It tells that a loss has begun, or that it is over: as many can be lost as
// before, or nobody of the list is missing.
func (m *Margin) See(now int64, l List, down []string) (began, over bool) {
	m.Now, _ = l.Bears(down)
	if !m.known {
		if m.known = m.Now >= 0 && len(l.Members) > 0; !m.known {
			return false, false
		}
		m.Level = len(l.Members) - l.Majority()
	}
	switch enough := len(down) == 0 || m.Now >= m.Level; {
	case m.Since == 0 && !enough:
		m.Since, m.Lost = now, down
		return true, false
	case !enough:
		m.Lost = down
	case m.Since != 0:
		m.Last, m.Since, m.Lost, m.Level = now-m.Since, 0, nil, m.Now
		return false, true
	default:
		m.Level = m.Now
	}
	return false, false
}
