// Package pacing decides when a router makes the calls that every router of its fleet may want to make in the same
// moment: what does no harm in one does in hundreds. It has no clock and no chance of its own.
package pacing

// Calls is the pace of calls to one service that serves the whole fleet in turn.
type Calls struct {
	Interval int64 // within so long the service expects one call of each router, nanoseconds
	Callers  int   // of the fleet, this one too
}

// callsPerInterval: a service that takes one call of each router within Every takes more than a hundred of them one after
// another, so a few routers need hardly wait for each other, and many do for half of that time.
const callsPerInterval = 100

// defaultInterval is Every where the settings don't say.
const defaultInterval = int64(10e9)

func (c Calls) interval() int64 {
	if c.Interval > 0 {
		return c.Interval
	}
	return defaultInterval
}

// Spread is over how long the fleet's calls are spread that have the same cause, nanoseconds.
func (c Calls) Spread() int64 {
	return min(c.interval()/2, int64(c.Callers)*c.interval()/callsPerInterval)
}

// FirstDelay is how long to wait before a call whose cause all routers have seen; chance is from 0 up to 1.
func (c Calls) FirstDelay(chance float64) int64 { return int64(chance * float64(c.Spread())) }

// minRetryFraction is the mean wait after a failure, in parts of Every: a service that refuses needs more time than one spread.
const minRetryFraction = 10

// RetryDelay is how long to wait after so many failures in a row: half to one and a half of a mean that doubles, from the
// spread or a tenth of Every up to Every. Calls that fail cost the service as much as others, and while more come than
// it can serve, all that it serves comes too late: the fleet's calls must become fewer than that by themselves.
func (c Calls) RetryDelay(failures int, chance float64) int64 {
	mean := max(c.Spread(), c.interval()/minRetryFraction)
	for ; failures > 1 && mean < c.interval(); failures-- {
		mean *= 2
	}
	if c.Callers*10 < callsPerInterval { // too few to hold up a service: it was down, and is back at any moment
		mean = min(mean, c.interval()/minRetryFraction)
	}
	return int64((0.5 + chance) * float64(min(mean, c.interval())))
}
