package endpoint

const (
	// CheckInterval is the time between two checks of a Shortage, nanoseconds.
	CheckInterval       = second / 2
	minSpill            = 4 // requests to other zones between two checks, and a fifth of all, show that a proxy is short
	minSpillDivisor     = 5 // a fifth
	spillChecksToBorrow = 3 // such checks in a row: a rush to all proxies of a zone is over by then, and others couldn't help
	quietChecksToReturn = 8 // quiet checks after which what was borrowed is returned
)

// Shortage is whether a proxy is short of capacity in its own zone. The zero value is one that is not. Only Check changes that.
type Shortage struct {
	short       bool
	quietChecks int // in a row in which it used no more than its even shares
	spillChecks int // in a row in which it sent much to other zones
}

// Check takes what was sent since the last check: in all, to other zones though the request might have stayed, and to hosts that had
// more than the even share then. It reports whether the proxy is short now.
func (s *Shortage) Check(total, otherZone, overShare int) bool {
	if otherZone >= minSpill && otherZone*minSpillDivisor > total {
		s.spillChecks++
	} else {
		s.spillChecks = 0
	}
	switch {
	case s.spillChecks >= spillChecksToBorrow:
		s.short, s.quietChecks = true, 0
	case s.spillChecks > 0 || overShare > 0:
		s.quietChecks = 0
	default:
		s.quietChecks++
		if s.quietChecks >= quietChecksToReturn {
			s.short = false
		}
	}
	return s.short
}
