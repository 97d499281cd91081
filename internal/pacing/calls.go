// Package pacing decides when and how often a router does what every router of its fleet may want to do at the same moment, and
// which hosts it uses: what does no harm in one router does in hundreds. It is pure: random numbers are passed in. calls.go is
// about calls to one service, preconnect.go about connections to hosts.
package pacing

// Calls paces the calls of a fleet to one service.
type Calls struct {
	Interval int64 // nanoseconds in which the service expects one call of each router, 0 for a default
	Callers  int   // routers of the fleet, with this one
}

// callsPerInterval is how many calls a service is taken to answer, one after another, in an interval: a few routers need hardly wait
// for each other, and many spread their calls over half of it.
const callsPerInterval = 100

// defaultInterval is the interval if the settings have none, in nanoseconds.
const defaultInterval = int64(10e9)

func (c Calls) interval() int64 {
	if c.Interval > 0 {
		return c.Interval
	}
	return defaultInterval
}

// Spread returns the time over which calls with the same cause are spread, in nanoseconds.
func (c Calls) Spread() int64 {
	return min(c.interval()/2, int64(c.Callers)*c.interval()/callsPerInterval)
}

// FirstDelay returns the wait before a call whose cause all routers have seen, in nanoseconds; chance is a random number from 0 up
// to 1.
func (c Calls) FirstDelay(jitter float64) int64 { return int64(jitter * float64(c.Spread())) }

// minRetryFraction is the interval over the least mean wait after a failure: a service that refuses calls needs more time than the
// spread of few.
const minRetryDivisor = 10

// RetryDelay returns the wait after so many failures in a row, in nanoseconds: half to one and a half of a mean that doubles, from
// the spread or a tenth of the interval up to the interval. Calls that fail cost the service as much as others, and while more come
// than it can answer, all of its answers come too late: the fleet's calls must become fewer than that by themselves.
func (c Calls) RetryDelay(failures int, jitter float64) int64 {
	mean := max(c.Spread(), c.interval()/minRetryDivisor)
	for ; failures > 1 && mean < c.interval(); failures-- {
		mean *= 2
	}
	if c.Callers*10 < callsPerInterval { // too few to overload a service: it was down, and may be back at any moment
		mean = min(mean, c.interval()/minRetryDivisor)
	}
	return int64((0.5 + jitter) * float64(min(mean, c.interval())))
}
