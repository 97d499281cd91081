package endpoint

// Shortage is whether a router is short of room in its own zone: the one place where that changes is Look.
type Shortage struct {
	short       bool
	quietChecks int // looks in a row in which it used no more than its usual parts
	spillChecks int // looks in a row in which it handed much to other zones
}

const (
	// CheckInterval is the time between two looks, nanoseconds.
	CheckInterval       = second / 2
	minSpill            = 4 // hand-offs to other zones in a look, and a fifth of all, show that a router is short
	spillChecksToBorrow = 3 // such looks in a row: a rush that comes to all of a zone is none that others could help with
	quietChecksToReturn = 8 // quiet looks after which what was lent goes back
)

// Check takes what was handed off since the last look: in all, to other zones though the request might have stayed, and to
// hosts that had more than the usual part then. It tells whether the router is short now.
func (s *Shortage) Check(all, away, over int) bool {
	if s.spillChecks++; away < minSpill || away*5 <= all {
		s.spillChecks = 0
	}
	switch {
	case s.spillChecks >= spillChecksToBorrow:
		s.short, s.quietChecks = true, 0
	case s.spillChecks > 0 || over > 0:
		s.quietChecks = 0
	default:
		if s.quietChecks++; s.quietChecks >= quietChecksToReturn {
			s.short = false
		}
	}
	return s.short
}
