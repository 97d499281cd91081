package endpoint

const (
	// CheckInterval is the time between two calls of Shortage.Check, in nanoseconds.
	CheckInterval       = second / 2
	minSpill            = 4 // minimum number of requests to other zones in an interval for it to count as a spill
	minSpillDivisor     = 5 // a spill also needs more than 1/minSpillDivisor of all requests
	spillChecksToBorrow = 3 // consecutive checks with a spill; longer than a burst to all proxies of a zone, when none could lend
	quietChecksToReturn = 8 // consecutive checks without need, after which borrowing ends
)

// Shortage detects whether a proxy is short of capacity in its own zone and should borrow other proxies' shares. The zero value is not
// short of capacity.
type Shortage struct {
	short       bool
	quietChecks int // consecutive checks without a spill or use of more than the even shares
	spillChecks int // consecutive checks with a spill to other zones
}

// Check reports whether the proxy is now short of capacity. Its arguments count the requests sent since the last check: all of them,
// those sent to other zones without being bound to home regions, and those to hosts where the proxy was above its even share.
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
