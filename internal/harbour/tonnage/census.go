package tonnage

import (
	"cmp"
	"slices"
	"strings"
)

// CensusMost is how many callers a router counts by name at once: some 10 KB a service. The rest is counted together, as
// Others are.
const CensusMost = 256

// Count is how many requests a caller sent.
type Count struct {
	Caller string `json:"c"` // empty for those without a name, and for all that were not counted by name
	N      uint64 `json:"n"`
}

// Census counts requests by caller within a bound: callers that come often push out those that came once (space saving), and
// what these had is counted together.
type Census struct {
	most   int
	counts map[string]uint64
	rest   uint64
}

// NewCensus makes one that counts so many callers by name.
func NewCensus(most int) *Census { return &Census{most: most, counts: map[string]uint64{}} }

// Count counts one request.
func (c *Census) Count(caller string) {
	if caller == "" {
		c.rest++
		return
	}
	if n, there := c.counts[caller]; there || len(c.counts) < c.most {
		c.counts[caller] = n + 1
		return
	}
	least, n := "", ^uint64(0) // rare: there are more callers than places
	for name, x := range c.counts {
		if x < n || x == n && name < least {
			least, n = name, x
		}
	}
	if n > 1 { // not a newcomer's place yet
		c.counts[least] = n - 1
		c.rest += 2
		return
	}
	delete(c.counts, least)
	c.rest += n
	c.counts[caller] = 1
}

// Hand gives the counts, the greatest first, and begins anew.
func (c *Census) Hand() (all []Count) {
	for name, n := range c.counts {
		all = append(all, Count{name, n})
	}
	if c.rest > 0 {
		all = append(all, Count{"", c.rest})
	}
	slices.SortFunc(all, func(a, b Count) int { return cmp.Or(cmp.Compare(b.N, a.N), strings.Compare(a.Caller, b.Caller)) })
	c.counts, c.rest = map[string]uint64{}, 0
	return all
}

// Hours keeps counts by minute for an hour, of so many callers at most.
type Hours struct {
	most    int
	minutes [60]map[string]uint64
	at      int64 // the newest minute, counted from 1970
}

// NewHours makes an empty one.
func NewHours(most int) *Hours { return &Hours{most: most, at: -1} }

const minute = 60 * second

// Add counts what a router handed on.
func (h *Hours) Add(now int64, all []Count) {
	h.turn(now)
	m := h.minutes[h.at%60]
	for _, c := range all {
		name := c.Caller
		if _, there := m[name]; !there && len(m) >= h.most {
			name = ""
		}
		m[name] += c.N
	}
}

func (h *Hours) turn(now int64) {
	for at := max(h.at+1, now/minute-59); at <= now/minute; at++ {
		h.minutes[at%60] = map[string]uint64{}
		h.at = at
	}
}

// Caller is one caller's counts, the oldest minute first.
type Caller struct {
	Name    string   `json:"caller"`
	Minutes []uint64 `json:"minutes"`
}

// All are the callers' counts of the last hour, by name.
func (h *Hours) All(now int64) (all []Caller) {
	h.turn(now)
	names := map[string]bool{}
	for _, m := range h.minutes {
		for name := range m {
			names[name] = true
		}
	}
	for name := range names {
		c := Caller{Name: name}
		for at := h.at - 59; at <= h.at; at++ {
			c.Minutes = append(c.Minutes, h.minutes[(at%60+60)%60][name])
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b Caller) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// HeldBack is how many of a caller's requests of the last hour would have been over a share of so many a second: by whole
// minutes, so that what a burst bears within one is left out.
func (c Caller) HeldBack(perSecond float64) (n uint64) {
	for _, x := range c.Minutes {
		if most := uint64(perSecond * 60); x > most {
			n += x - most
		}
	}
	return n
}
