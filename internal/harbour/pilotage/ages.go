package pilotage

import (
	"slices"
	"strings"

	"portflow/internal/harbour/signals"
)

// age is what is known of a service's newest rollout.
type age struct {
	order    uint64
	began    int64 // by this process's clock: then or earlier
	switched int64 // since when it is seen switching, 0 for not
	seen     bool  // this process, or one that told it, has run since the rollout began
}

// Ages knows for how long rollouts have run, by this process's own clock, which never steps. No time of day is needed for
// that where one process that saw a rollout begin is heard: it tells those that start later. An age is never more than the
// truth but by what clocks drift; a rollout that is taken for younger than it is ends late, and none ends early. There is one
// entry a service. It is not safe for two goroutines.
type Ages map[string]age

// Take notes a rollout as it stands now. seen tells that this process runs while it comes; else it was on its disk.
func (a Ages) Take(now int64, r Rollout, seen bool) {
	x, known := a[r.Service]
	if !known || x.order != r.Order {
		x = age{order: r.Order, began: now, seen: seen}
	}
	if r.Switching && x.switched == 0 {
		x.switched = now
	}
	a[r.Service] = x
}

// Hear takes what another process knows, by this process's clock.
func (a Ages) Hear(s signals.Since) {
	if x := a[s.Service]; x.order == s.Order && s.Order > 0 {
		x.began, x.seen = min(x.began, s.Began), true
		a[s.Service] = x
	}
}

// Date goes by the time of day where nobody has run since a rollout began: all were restarted. day is that time now, as more
// than half of the members have it.
func (a Ages) Date(now, day int64, r Rollout) {
	if x := a[r.Service]; x.order == r.Order && !x.seen && r.Dated && day > r.Began {
		x.began = min(x.began, now-(day-r.Began))
		a[r.Service] = x
	}
}

// Here is the rollout with the time of this process's clock in the place of Began. One that isn't known begins now.
func (a Ages) Here(now int64, r Rollout) Rollout {
	r.Began = now
	if x := a[r.Service]; x.order == r.Order && r.Order > 0 {
		r.Began = x.began
	}
	return r
}

// Switched is since when this process has seen a rollout switching.
func (a Ages) Switched(now int64, r Rollout) int64 {
	if x := a[r.Service]; x.order == r.Order && x.switched > 0 {
		return x.switched
	}
	return now
}

// Told is what others are told: of rollouts that were seen from their beginning and began less than a time ago.
func (a Ages) Told(now, within int64) (all []signals.Since) {
	for service, x := range a {
		if x.seen && now-x.began < within {
			all = append(all, signals.Since{Service: service, Order: x.order, Began: x.began})
		}
	}
	slices.SortFunc(all, func(a, b signals.Since) int { return strings.Compare(a.Service, b.Service) })
	return all
}

// agree is by how much clocks may differ, nanoseconds, that are taken for the same: they are compared over lines between
// regions.
const agree = int64(500e6)

// Day is the time of day by the clocks of those members that are heard, this process's among them: apart is by how much each
// is ahead of this one's, members how many there are. Where more than half of the members agree it is the middle one of
// those; else it can't be told, and it is the earlier of the middle two.
func Day(now int64, apart []int64, members int) (day int64, agreed bool) {
	apart = slices.Sorted(slices.Values(apart))
	need := members/2 + 1
	for i := 0; need > 0 && i+need <= len(apart); i++ {
		if j := i + need - 1; apart[j]-apart[i] <= agree {
			for j+1 < len(apart) && apart[j+1]-apart[i] <= agree {
				j++
			}
			return now + apart[(i+j)/2], true
		}
	}
	if len(apart) == 0 {
		return now, false
	}
	return now + apart[(len(apart)-1)/2], false
}
