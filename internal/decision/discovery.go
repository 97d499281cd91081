package decision

import (
	"math"

	"portflow/internal/pacing"
	"portflow/internal/random"
)

// discovery schedules the fetches of the host list.
type discovery struct {
	fetchAt       int64         // when to fetch next; math.MaxInt64 while a fetch or subscription is active
	fetchFailures int           // consecutive failures
	fetchSource   random.Source // separate from decider.source, so that fetches do not shift the other random numbers
}

// fetchFailed schedules the next fetch after a fetch or the subscription has failed. The delay grows with consecutive
// failures and with the number of routers, which all call the same discovery service.
func (d *decider) fetchFailed() {
	d.fetchFailures++
	d.fetchAt = d.now + d.fetchPacing().RetryDelay(d.fetchFailures, d.fetchSource.Float64())
}

func (d *decider) fetchPacing() pacing.Calls {
	return pacing.Calls{Interval: d.settings.FetchInterval, Callers: d.settings.Routers}
}

// fetchIfDue requests the host list and its updates if a fetch is due.
func (d *decider) fetchIfDue() {
	if d.settings.Subscribe && d.now >= d.fetchAt {
		d.fetchAt = math.MaxInt64
		d.effects.WatchHosts(true)
	}
}
