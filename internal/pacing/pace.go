// Package pacing decides when a router makes the calls that every router of its fleet may want to make in the same
// moment: what does no harm in one does in hundreds. It has no clock and no chance of its own.
package pacing

// Calls is the pace of calls to one service that serves the whole fleet in turn.
type Calls struct {
	Every   int64 // within so long the service expects one call of each router, nanoseconds
	Routers int   // of the fleet, this one too
}

// parts: a service that takes one call of each router within Every takes more than a hundred of them one after
// another, so a few routers need hardly wait for each other, and many do for half of that time.
const parts = 100

// usual is Every where the settings don't say.
const usual = int64(10e9)

func (c Calls) every() int64 {
	if c.Every > 0 {
		return c.Every
	}
	return usual
}

// Spread is over how long the fleet's calls are spread that have the same cause, nanoseconds.
func (c Calls) Spread() int64 { return min(c.every()/2, int64(c.Routers)*c.every()/parts) }

// First is how long to wait before a call whose cause all routers have seen; chance is from 0 up to 1.
func (c Calls) First(chance float64) int64 { return int64(chance * float64(c.Spread())) }

// least is the mean wait after a failure, in parts of Every: a service that refuses needs more time than one spread.
const least = 10

// Again is how long to wait after so many failures in a row: half to one and a half of a mean that doubles, from the
// spread or a tenth of Every up to Every. Calls that fail cost the service as much as others, and while more come than
// it can serve, all that it serves comes too late: the fleet's calls must become fewer than that by themselves.
func (c Calls) Again(failures int, chance float64) int64 {
	mean := max(c.Spread(), c.every()/least)
	for ; failures > 1 && mean < c.every(); failures-- {
		mean *= 2
	}
	if c.Routers*10 < parts { // too few to hold up a service: it was down, and is back at any moment
		mean = min(mean, c.every()/least)
	}
	return int64((0.5 + chance) * float64(min(mean, c.every())))
}
