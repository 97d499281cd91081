package quota

import (
	"cmp"
	"slices"
	"strings"
)

// MaxCallers is how many callers a router counts by name at once: some 10 KB a service. The rest is counted together, as
// Others are.
const MaxCallers = 256

// CallerCount is how many requests a caller sent.
type CallerCount struct {
	Caller   string `json:"c"` // empty for those without a name, and for all that were not counted by name
	Requests uint64 `json:"n"`
}

// CallerCounter counts requests by caller within a bound: callers that come often push out those that came once (space saving), and
// what these had is counted together.
type CallerCounter struct {
	capacity int
	counts   map[string]uint64
	rest     uint64
}

// NewCallerCounter makes one that counts so many callers by name.
func NewCallerCounter(capacity int) *CallerCounter {
	return &CallerCounter{capacity: capacity, counts: map[string]uint64{}}
}

// Add counts one request.
func (c *CallerCounter) Add(caller string) {
	if caller == "" {
		c.rest++
		return
	}
	if leastCount, counted := c.counts[caller]; counted || len(c.counts) < c.capacity {
		c.counts[caller] = leastCount + 1
		return
	}
	least, leastCount := "", ^uint64(0) // rare: there are more callers than places
	for name, count := range c.counts {
		if count < leastCount || count == leastCount && name < least {
			least, leastCount = name, count
		}
	}
	if leastCount > 1 { // not a newcomer's place yet
		c.counts[least] = leastCount - 1
		c.rest += 2
		return
	}
	delete(c.counts, least)
	c.rest += leastCount
	c.counts[caller] = 1
}

// Drain gives the counts, the greatest first, and begins anew.
func (c *CallerCounter) Drain() (all []CallerCount) {
	for name, n := range c.counts {
		all = append(all, CallerCount{name, n})
	}
	if c.rest > 0 {
		all = append(all, CallerCount{"", c.rest})
	}
	slices.SortFunc(all, func(a, b CallerCount) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), strings.Compare(a.Caller, b.Caller))
	})
	c.counts, c.rest = map[string]uint64{}, 0
	return all
}

// MinuteHistory keeps counts by minute for an hour, of so many callers at most.
type MinuteHistory struct {
	maxCallers   int
	minutes      [60]map[string]uint64
	newestMinute int64 // the newest minute, counted from 1970
}

// NewMinuteHistory makes an empty one.
func NewMinuteHistory(maxCallers int) *MinuteHistory {
	return &MinuteHistory{maxCallers: maxCallers, newestMinute: -1}
}

const minute = 60 * second

// Add counts what a router handed on.
func (h *MinuteHistory) Add(now int64, all []CallerCount) {
	h.advance(now)
	counts := h.minutes[h.newestMinute%60]
	for _, c := range all {
		name := c.Caller
		if _, exists := counts[name]; !exists && len(counts) >= h.maxCallers {
			name = ""
		}
		counts[name] += c.Requests
	}
}

func (h *MinuteHistory) advance(now int64) {
	for at := max(h.newestMinute+1, now/minute-59); at <= now/minute; at++ {
		h.minutes[at%60] = map[string]uint64{}
		h.newestMinute = at
	}
}

// CallerHistory is one caller's counts, the oldest minute first.
type CallerHistory struct {
	Name    string   `json:"caller"`
	Minutes []uint64 `json:"minutes"`
}

// All are the callers' counts of the last hour, by name.
func (h *MinuteHistory) All(now int64) (all []CallerHistory) {
	h.advance(now)
	names := map[string]bool{}
	for _, counts := range h.minutes {
		for name := range counts {
			names[name] = true
		}
	}
	for name := range names {
		caller := CallerHistory{Name: name}
		for i := h.newestMinute - 59; i <= h.newestMinute; i++ {
			caller.Minutes = append(caller.Minutes, h.minutes[(i%60+60)%60][name])
		}
		all = append(all, caller)
	}
	slices.SortFunc(all, func(a, b CallerHistory) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// ExcessRequests is how many of a caller's requests of the last hour would have been over a share of so many a second: by whole
// minutes, so that what a burst bears within one is left out.
func (c CallerHistory) ExcessRequests(perSecond float64) (n uint64) {
	for _, x := range c.Minutes {
		if allowed := uint64(perSecond * 60); x > allowed {
			n += x - allowed
		}
	}
	return n
}
