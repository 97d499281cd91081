package rollout

import (
	"slices"
	"strings"

	"portflow/internal/cluster/update"
)

// timing has the local times of a service's newest rollout.
type timing struct {
	number         uint64
	startedAt      int64 // not before the real start, except for clock drift
	switchingSince int64 // when this process first saw it switching, 0 if it has not
	observed       bool  // this process, or a peer that announced it, has run since the rollout began
}

// StartTimes records, by service, when the newest rollout began on this process's own clock, which never steps. A process that started
// later learns the time from the announcements of a peer that saw the rollout begin; only where no such peer is connected is the wall
// clock needed. Apart from clock drift a rollout is never taken to be older than it is, so it may end late but never early. It is not
// safe for concurrent use.
type StartTimes map[string]timing

// Observe records the current state of a rollout. observed reports whether the state was decided while this process has been running; it is
// false for a rollout read from disk, which may have begun long before.
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

// Merge applies the announcement of a peer, whose StartedAt must be converted to this process's clock. It is ignored unless it is for the
// rollout that this process knows as the newest.
func (t StartTimes) Merge(start update.RolloutStart) {
	if entry := t[start.Service]; entry.number == start.Number && start.Number > 0 {
		entry.startedAt, entry.observed = min(entry.startedAt, start.StartedAt), true
		t[start.Service] = entry
	}
}

// AdjustToWallClock derives the start time from the wall clock if no process is known to have run since the rollout began, as after a
// restart of all of them. wallClock is the present time that a majority of the members agrees on.
func (t StartTimes) AdjustToWallClock(now, wallClock int64, r Rollout) {
	if entry := t[r.Service]; entry.number == r.Number && !entry.observed && r.ClocksAgreed && wallClock > r.StartedAt {
		entry.startedAt = min(entry.startedAt, now-(wallClock-r.StartedAt))
		t[r.Service] = entry
	}
}

// Localize returns the rollout with StartedAt on this process's clock. An unknown rollout begins now.
func (t StartTimes) Localize(now int64, r Rollout) Rollout {
	r.StartedAt = now
	if entry := t[r.Service]; entry.number == r.Number && r.Number > 0 {
		r.StartedAt = entry.startedAt
	}
	return r
}

// SwitchingSince returns when this process first saw the rollout switching, now if it has not.
func (t StartTimes) SwitchingSince(now int64, r Rollout) int64 {
	if entry := t[r.Service]; entry.number == r.Number && entry.switchingSince > 0 {
		return entry.switchingSince
	}
	return now
}

// Announcements returns the start times to send to peers, sorted by service: those of rollouts that began less than within ago and that
// this process, or a peer that announced them, has observed.
func (t StartTimes) Announcements(now, within int64) (starts []update.RolloutStart) {
	for service, entry := range t {
		if entry.observed && now-entry.startedAt < within {
			starts = append(starts, update.RolloutStart{Service: service, Number: entry.number, StartedAt: entry.startedAt})
		}
	}
	slices.SortFunc(starts, func(a, b update.RolloutStart) int { return strings.Compare(a.Service, b.Service) })
	return starts
}

// clockTolerance is the largest difference, in nanoseconds, between clocks that agree. It allows for the error of comparing clocks over
// connections between regions.
const clockTolerance = int64(500e6)

// WallClock returns the wall-clock time, in Unix nanoseconds, by the clocks of the connected members. offsets has, for each of them and for
// this process, by how much its clock is ahead of now; members is the number of all members. If more than half of the members agree,
// the result is the median of their clocks; otherwise agreed is false and it is the lower median of all offsets.
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
