package membership

// Tolerance follows over time how many losses the members tolerate, as one process sees them, and how long it took until a loss was
// made up for. It reads no clock: times are those of a monotonic clock, in nanoseconds. The zero Tolerance is ready to use.
type Tolerance struct {
	Baseline    int      // losses tolerated before the present loss; without one, those tolerated now
	Current     int      // losses tolerated now; below 0 there is no majority
	LostAt      int64    // when the present loss began, 0 for none
	Lost        []string // IP addresses of the members lost in it
	LastOutage  int64    // how long the last loss took until it was over
	initialized bool     // a list with a majority was seen
}

// Observe takes the present members, and the IP addresses of those that are down. It reports whether a loss has begun, or is over: the
// members tolerate as many losses as before it, or none of them is down.
func (t *Tolerance) Observe(now int64, members List, down []string) (began, restored bool) {
	t.Current, _ = members.Tolerates(down)
	if !t.initialized && !t.initialize(members) {
		return false, false
	}
	tolerant := len(down) == 0 || t.Current >= t.Baseline
	lost := t.LostAt != 0
	switch {
	case !lost && !tolerant:
		t.LostAt = now
		t.Lost = down
	case !tolerant:
		t.Lost = down
	case lost:
		t.LastOutage = now - t.LostAt
		t.LostAt = 0
		t.Lost = nil
		t.Baseline = t.Current
	default:
		t.Baseline = t.Current
	}
	return !lost && !tolerant, lost && tolerant
}

// initialize begins with the first list that has a majority, and reports whether this one has. The baseline is what the list tolerates
// with all its members up.
func (t *Tolerance) initialize(members List) bool {
	t.initialized = t.Current >= 0 && len(members.Members) > 0
	if t.initialized {
		t.Baseline = len(members.Members) - members.Majority()
	}
	return t.initialized
}
