// Package pacing limits the load that a fleet of routers causes when all of them act at the same moment. calls.go spreads calls to a
// shared service over time; preconnect.go chooses the subset of hosts that a router uses, and how many connections it opens in
// advance. The package has no state and no random source; random numbers are passed in.
package pacing

// Calls computes the delays of calls to a service that all routers of a fleet use.
type Calls struct {
	Interval int64 // nanoseconds in which the service expects one call from each router, 0 for the default of 10 s
	Callers  int   // number of routers in the fleet, including this one
}

// callsPerInterval is the number of calls that a service is assumed to answer sequentially in one interval. A small fleet therefore
// hardly delays its calls, and one of at least half this number spreads them over half the interval.
const callsPerInterval = 100

// defaultInterval is the interval in nanoseconds if Calls.Interval is not set.
const defaultInterval = int64(10e9)

func (c Calls) interval() int64 {
	if c.Interval > 0 {
		return c.Interval
	}
	return defaultInterval
}

// Spread returns the time in nanoseconds over which the fleet spreads calls that have the same cause.
func (c Calls) Spread() int64 {
	return min(c.interval()/2, int64(c.Callers)*c.interval()/callsPerInterval)
}

// FirstDelay returns the delay in nanoseconds before a call that all routers make for the same cause; jitter is a random number in
// [0, 1).
func (c Calls) FirstDelay(jitter float64) int64 { return int64(jitter * float64(c.Spread())) }

// minRetryDivisor is the interval divided by the smallest mean delay after a failure. A service that rejects calls needs more time
// than the spread of a small fleet.
const minRetryDivisor = 10

// RetryDelay returns the delay in nanoseconds after the given number of consecutive failures; jitter is a random number in [0, 1). The
// delay is 0.5 to 1.5 times a mean that starts at the spread or a tenth of the interval, whichever is longer, and doubles with each
// failure up to the interval; in a fleet of fewer than ten routers, the mean stays at a tenth of the interval. Failed calls cost the
// service as much as others, and an overloaded service answers every call too late, so the fleet must reduce its rate of calls on
// its own.
func (c Calls) RetryDelay(failures int, jitter float64) int64 {
	mean := max(c.Spread(), c.interval()/minRetryDivisor)
	for ; failures > 1 && mean < c.interval(); failures-- {
		mean *= 2
	}
	if c.Callers*10 < callsPerInterval { // too few to overload a service; it was down and may recover at any moment
		mean = min(mean, c.interval()/minRetryDivisor)
	}
	return int64((0.5 + jitter) * float64(min(mean, c.interval())))
}
