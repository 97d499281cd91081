package membership

// Tolerance is how many losses the core bears, followed over time by one process: how long it was less than before. It has no
// clock; times are monotonic nanoseconds.
type Tolerance struct {
	Baseline    int      // members that could be lost before the present loss; with all heard, that can be now
	Current     int      // that can be lost now; below 0 there is no majority
	LostAt      int64    // of the loss, 0 for none
	Lost        []string // who isn't heard since
	LastOutage  int64    // how long the last loss took until the margin was back
	initialized bool
}

// Observe takes the list and who of it isn't heard. It tells that a loss has begun, or that it is over: as many can be lost as
// before, or nobody of the list is missing.
func (t *Tolerance) Observe(now int64, members List, down []string) (began, restored bool) {
	t.Current, _ = members.Tolerates(down)
	if !t.initialized {
		if t.initialized = t.Current >= 0 && len(members.Members) > 0; !t.initialized {
			return false, false
		}
		t.Baseline = len(members.Members) - members.Majority()
	}
	switch tolerant := len(down) == 0 || t.Current >= t.Baseline; {
	case t.LostAt == 0 && !tolerant:
		t.LostAt, t.Lost = now, down
		return true, false
	case !tolerant:
		t.Lost = down
	case t.LostAt != 0:
		t.LastOutage, t.LostAt, t.Lost, t.Baseline = now-t.LostAt, 0, nil, t.Current
		return false, true
	default:
		t.Baseline = t.Current
	}
	return false, false
}
