package rollout

import (
	"slices"
	"strings"

	"portflow/internal/cluster/update"
)

// timing is what is known of a service's newest rollout.
type timing struct {
	number         uint64
	startedAt      int64 // by this process's clock: then or earlier
	switchingSince int64 // since when it is seen switching, 0 for not
	observed       bool  // this process, or one that told it, has run since the rollout began
}

// StartTimes knows for how long rollouts have run, by this process's own clock, which never steps. No time of day is needed for
// that where one process that saw a rollout begin is heard: it tells those that start later. An age is never more than the
// truth but by what clocks drift; a rollout that is taken for younger than it is ends late, and none ends early. There is one
// entry a service. It is not safe for two goroutines.
type StartTimes map[string]timing

// Observe notes a rollout as it stands now. seen tells that this process runs while it comes; else it was on its disk.
func (t StartTimes) Observe(now int64, r Rollout, observed bool) {
	entry, known := t[r.Service]
	if !known || entry.number != r.Number {
		entry = timing{number: r.Number, startedAt: now, observed: observed}
	}
	if r.Switching && entry.switchingSince == 0 {
		entry.switchingSince = now
	}
	t[r.Service] = entry
}

// Merge takes what another process knows, by this process's clock.
func (t StartTimes) Merge(start update.RolloutStart) {
	if entry := t[start.Service]; entry.number == start.Number && start.Number > 0 {
		entry.startedAt, entry.observed = min(entry.startedAt, start.StartedAt), true
		t[start.Service] = entry
	}
}

// AdjustToWallClock goes by the time of day where nobody has run since a rollout began: all were restarted. day is that time now, as more
// than half of the members have it.
func (t StartTimes) AdjustToWallClock(now, wallClock int64, r Rollout) {
	if entry := t[r.Service]; entry.number == r.Number && !entry.observed && r.ClocksAgreed && wallClock > r.StartedAt {
		entry.startedAt = min(entry.startedAt, now-(wallClock-r.StartedAt))
		t[r.Service] = entry
	}
}

// Localize is the rollout with the time of this process's clock in the place of Began. One that isn't known begins now.
func (t StartTimes) Localize(now int64, r Rollout) Rollout {
	r.StartedAt = now
	if entry := t[r.Service]; entry.number == r.Number && r.Number > 0 {
		r.StartedAt = entry.startedAt
	}
	return r
}

// SwitchingSince is since when this process has seen a rollout switching.
func (t StartTimes) SwitchingSince(now int64, r Rollout) int64 {
	if entry := t[r.Service]; entry.number == r.Number && entry.switchingSince > 0 {
		return entry.switchingSince
	}
	return now
}

// Announcements is what others are told: of rollouts that were seen from their beginning and began less than a time ago.
func (t StartTimes) Announcements(now, within int64) (starts []update.RolloutStart) {
	for service, entry := range t {
		if entry.observed && now-entry.startedAt < within {
			starts = append(starts, update.RolloutStart{Service: service, Number: entry.number, StartedAt: entry.startedAt})
		}
	}
	slices.SortFunc(starts, func(a, b update.RolloutStart) int { return strings.Compare(a.Service, b.Service) })
	return starts
}

// clockTolerance is by how much clocks may differ, nanoseconds, that are taken for the same: they are compared over lines between
// regions.
const clockTolerance = int64(500e6)

// WallClock is the time of day by the clocks of those members that are heard, this process's among them: apart is by how much each
// is ahead of this one's, members how many there are. Where more than half of the members agree it is the middle one of
// those; else it can't be told, and it is the earlier of the middle two.
func WallClock(now int64, offsets []int64, members int) (wallClock int64, agreed bool) {
	offsets = slices.Sorted(slices.Values(offsets))
	required := members/2 + 1
	for i := 0; required > 0 && i+required <= len(offsets); i++ {
		if j := i + required - 1; offsets[j]-offsets[i] <= clockTolerance {
			for j+1 < len(offsets) && offsets[j+1]-offsets[i] <= clockTolerance {
				j++
			}
			return now + offsets[(i+j)/2], true
		}
	}
	if len(offsets) == 0 {
		return now, false
	}
	return now + offsets[(len(offsets)-1)/2], false
}
