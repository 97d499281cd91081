package quota

import (
	"cmp"
	"slices"
	"strings"
)

// MaxCallers is the number of callers that a proxy counts by name for each service, in about 10 KB of memory. Requests of all other
// callers are counted together.
const MaxCallers = 256

// CallerCount is the number of requests that a caller sent.
type CallerCount struct {
	Caller   string `json:"c"` // empty for all requests without a caller or not counted by caller
	Requests uint64 `json:"n"`
}

// CallerCounter counts requests by caller in bounded memory, so that frequent callers displace rare ones. It is a variant of the
// Misra-Gries algorithm that decrements only the smallest counter. Requests taken from a counter are added to a common count, so that
// the total is exact and each caller's count is a lower bound. It is not safe for concurrent use.
type CallerCounter struct {
	capacity int
	counts   map[string]uint64 // by caller
	rest     uint64            // requests that are not in counts
}

// NewCallerCounter returns a counter that counts at most capacity callers by name.
func NewCallerCounter(capacity int) *CallerCounter {
	return &CallerCounter{capacity: capacity, counts: map[string]uint64{}}
}

// Add counts one request. An empty caller stands for a request that names none.
func (c *CallerCounter) Add(caller string) {
	if caller == "" {
		c.rest++
		return
	}
	if leastCount, counted := c.counts[caller]; counted || len(c.counts) < c.capacity {
		c.counts[caller] = leastCount + 1
		return
	}
	least, leastCount := "", ^uint64(0) // the linear search is rare: only if there are more callers than capacity
	for name, count := range c.counts {
		if count < leastCount || count == leastCount && name < least {
			least, leastCount = name, count
		}
	}
	if leastCount > 1 { // the new caller is counted by name only once the smallest counter is down to 1
		c.counts[least] = leastCount - 1
		c.rest += 2
		return
	}
	delete(c.counts, least)
	c.rest += leastCount
	c.counts[caller] = 1
}

// Drain returns the counts, the greatest first, and resets the counter.
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

// MinuteHistory keeps the counts of callers for each minute of the last hour.
type MinuteHistory struct {
	maxCallers   int                   // in each minute; further callers are counted together under the empty name
	minutes      [60]map[string]uint64 // a ring: minute m of Unix time is at m % 60
	newestMinute int64                 // in minutes of Unix time
}

// NewMinuteHistory returns an empty history that counts at most maxCallers callers by name in each minute.
func NewMinuteHistory(maxCallers int) *MinuteHistory {
	return &MinuteHistory{maxCallers: maxCallers, newestMinute: -1}
}

const minute = 60 * second

// Add adds counts to the minute of now.
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

// CallerHistory is the number of requests of one caller in each of the last 60 minutes, the oldest first.
type CallerHistory struct {
	Name    string   `json:"caller"`
	Minutes []uint64 `json:"minutes"`
}

// All returns the history of each caller with requests in the last hour, sorted by name.
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

// ExcessRequests returns how many of the caller's requests in the last hour would have exceeded a quota of perSecond. It compares whole
// minutes, so bursts within a minute don't count.
func (c CallerHistory) ExcessRequests(perSecond float64) (n uint64) {
	for _, x := range c.Minutes {
		if allowed := uint64(perSecond * 60); x > allowed {
			n += x - allowed
		}
	}
	return n
}
