// Package update is news in numbers: what a control process tells the others and the routers that hang on it. Who is
// behind by more than is kept takes a snapshot, then follows. It is pure.
package update

import (
	"slices"
	"strings"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
)

// Proxy is a router that carries traffic, as the control process that it hangs on knows it.
type Proxy struct {
	Name          string `json:"n"`
	Zone          string `json:"z"`
	IP            string `json:"p"`
	Address       string `json:"a"` // of its front
	Ready         bool   `json:"r,omitempty"`
	LacksCapacity bool   `json:"h,omitempty"` // of room in its zone: it may have what others don't use
	Gone          bool   `json:"g,omitempty"` // it hangs here no longer
	RegisteredAt  int64  `json:"s"`           // when it came, Unix nanoseconds: the later holds
	Revision      int    `json:"c,omitempty"` // counts its changes since then
	Owner         string `json:"o"`
}

// Supersedes tells whether a holds against b, of one name.
func (p Proxy) Supersedes(other Proxy) bool {
	switch {
	case p.RegisteredAt != other.RegisteredAt:
		return p.RegisteredAt > other.RegisteredAt
	case p.Revision != other.Revision:
		return p.Revision > other.Revision
	}
	return p.Gone && !other.Gone
}

// Evidence is what a router goes by when it judges a version: the first of each pair is of failures, the second of times.
type Evidence struct {
	Outcomes  [2]float64 `json:"n"`
	Excess    [2]float64 `json:"x"`
	Error     [2]float64 `json:"e"`
	Threshold [2]float64 `json:"t"`
	Allowance float64    `json:"l"` // requests that it may still give to the version at once
}

// Vote is a router's vote on a rollout: it stands until it lapses, or until one without a verdict takes it back.
type Vote struct {
	Proxy      string    `json:"f"`
	Service    string    `json:"s"`
	Number     uint64    `json:"o"` // the rollout's number
	Verdict    uint8     `json:"v"`
	ReceivedAt int64     `json:"t"` // when control heard it, by the clock of who tells it
	Evidence   *Evidence `json:"g,omitempty"`
	ReportOnly bool      `json:"w,omitempty"` // no vote: it only tells figures
}

// Change is one piece of news.
type Change struct {
	Item             *config.Item       `json:"i,omitempty"`
	Instance         *instance.Instance `json:"h,omitempty"`
	Proxy            *Proxy             `json:"f,omitempty"`
	Vote             *Vote              `json:"p,omitempty"`
	Ejection         *outlier.Ejection  `json:"a,omitempty"`
	RolloutStartedAt int64              `json:"o,omitempty"` // of a rollout's item: when it began, by the clock of who tells it
	FirstHand        bool               `json:"-"`           // first-hand: other control processes don't know it yet
}

// subject is what a note is about.
type subject struct{ kind, name, service string }

func (c Change) subject() subject {
	switch {
	case c.Item != nil:
		return subject{"item " + c.Item.Kind, c.Item.Name, ""}
	case c.Instance != nil:
		return subject{"host", c.Instance.ID, ""}
	case c.Proxy != nil:
		return subject{"front", c.Proxy.Name, ""}
	case c.Vote != nil:
		return subject{"poll", c.Vote.Proxy, c.Vote.Service}
	case c.Ejection != nil:
		return subject{"aside", c.Ejection.ID, ""}
	}
	return subject{}
}

// Compact leaves of several notes on one thing the last one, and keeps the order of those that stay. It may use the list that it is given.
func Compact(changes []Change) []Change {
	if len(changes) < 2 {
		return changes
	}
	seen := make(map[subject]bool, len(changes))
	first := len(changes)
	for i := len(changes) - 1; i >= 0; i-- {
		if key := changes[i].subject(); !seen[key] {
			seen[key] = true
			first--
			changes[first] = changes[i]
		}
	}
	return changes[first:]
}

// Log numbers the news of one life of a control process. It is not safe for two goroutines.
type Log struct {
	capacity int
	last     uint64
	changes  []Change
}

// NewLog keeps so many changes for those who are behind.
func NewLog(capacity int) *Log { return &Log{capacity: capacity} }

// Add gives a note the next number.
func (l *Log) Add(change Change) uint64 {
	l.last++
	if l.changes = append(l.changes, change); len(l.changes) > l.capacity+l.capacity/2 { // moved now and then, not each time
		l.changes = append([]Change(nil), l.changes[len(l.changes)-l.capacity:]...)
	}
	return l.last
}

// Last is the newest number.
func (l *Log) Last() uint64 { return l.last }

// After are the notes with numbers above n; ok is false where they are not all kept any more.
func (l *Log) After(number uint64) (changes []Change, ok bool) {
	missing := l.last - number
	if number > l.last || missing > uint64(len(l.changes)) {
		return nil, false
	}
	return l.changes[uint64(len(l.changes))-missing:], true
}

// Subscription is where one who hears the news has come.
type Subscription struct {
	Incarnation string // of whom it hears
	Offset      uint64
}

// Advance tells whether a batch of news follows on what is had: a snapshot always does. A batch that has been had is none.
func (s *Subscription) Advance(incarnation string, from, to uint64, snapshot bool) bool {
	if snapshot {
		s.Incarnation, s.Offset = incarnation, to
		return true
	}
	if incarnation != s.Incarnation || from != s.Offset || to < from {
		return false
	}
	s.Offset = to
	return true
}

// ReadyProxies counts and numbers the routers that are ready: by name, the first has number 0.
func ReadyProxies(proxies map[string]Proxy) (ready []Proxy) {
	for _, proxy := range proxies {
		if proxy.Ready && !proxy.Gone {
			ready = append(ready, proxy)
		}
	}
	slices.SortFunc(ready, func(a, b Proxy) int { return strings.Compare(a.Name, b.Name) })
	return ready
}
