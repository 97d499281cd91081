package decision

import (
	"math"

	"portflow/internal/pacing"
	"portflow/internal/random"
)

// discovery is when the list of hosts is asked for next.
type discovery struct {
	fetchAt       int64         // math.MaxInt64 while a call is in flight
	fetchFailures int           // calls in a row that failed
	fetchSource   random.Source // of its own, so that no other draw depends on it
}

// fetchFailed makes the next call after a while, as a call or the subscription has failed. The service has all routers as
// its callers.
func (d *decider) fetchFailed() {
	d.fetchFailures++
	d.fetchAt = d.now + d.fetchPacing().RetryDelay(d.fetchFailures, d.fetchSource.Float64())
}

func (d *decider) fetchPacing() pacing.Calls {
	return pacing.Calls{Interval: d.settings.FetchInterval, Callers: d.settings.Routers}
}

// fetchIfDue asks for the list of hosts when it is time.
func (d *decider) fetchIfDue() {
	if d.settings.Subscribe && d.now >= d.fetchAt {
		d.fetchAt = math.MaxInt64
		d.effects.WatchHosts(true)
	}
}
