package membership

// Tolerance tracks how many losses the members tolerate, as observed by one process, and how long it takes to recover from a loss. Times
// are monotonic, in nanoseconds, and passed in by the caller. The zero Tolerance is ready to use.
type Tolerance struct {
	Baseline    int      // losses tolerated before the ongoing loss, or at present if there is none
	Current     int      // losses tolerated at present; negative without a majority
	LostAt      int64    // start of the ongoing loss, 0 if there is none
	Lost        []string // IP addresses of the members that are down during the ongoing loss
	LastOutage  int64    // duration of the last loss that ended
	initialized bool     // a list with a majority has been observed
}

// Observe records the current members and the IP addresses of those that are down. It reports whether a loss began or ended with this
// observation. A loss ends once the members tolerate as many losses as before it, or none of them is down.
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

// initialize sets the baseline from the first list that has a majority, and reports whether this list has one. The baseline is the
// number of losses that the list tolerates with all its members up.
func (t *Tolerance) initialize(members List) bool {
	t.initialized = t.Current >= 0 && len(members.Members) > 0
	if t.initialized {
		t.Baseline = len(members.Members) - members.Majority()
	}
	return t.initialized
}
