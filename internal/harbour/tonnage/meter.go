// Package tonnage holds callers to their shares of services, over all routers, without a call between them a request. A
// router's Meter says of each request whether it is within its caller's share; a control process's Dealer deals the shares
// out to the routers by what they are asked for. Both are pure: times are handed in, Unix nanoseconds.
package tonnage

import (
	"maps"
	"math"
	"slices"
	"strings"

	"portflow/internal/harbour/manifest"
)

const second = int64(1e9)

const (
	// Loose is how many times its even part of a share a router may give while nothing is known of the caller: most callers
	// are small beside the number of routers, come evenly, and stay within their shares. Nobody hears of them.
	Loose = 4
	// first is how many requests at once a router may give a caller of whom nothing is known: with one a tenth and more of
	// those within their share would find none.
	first = 2
	// Even is the part of a share that is dealt out to all routers evenly, whoever asks, once the caller presses: with it the
	// caller begins at a router that it was not seen at before, and a router that is cut off goes on. The rest is leased by
	// demand.
	Even = 0.1
	// Lease is for how long what was dealt by demand is good without being dealt again, nanoseconds.
	Lease = 3 * second
	// Window is the time over which limits are told to callers, nanoseconds.
	Window = 10 * second
	// spareSafe is the part of a share's burst that only requests that must not be repeated may use.
	spareSafe = 0.2
)

// Room is how full a router finds a service, for callers that are over their share.
type Room uint8

const (
	Ample  Room = iota // over-share requests are taken
	Scarce             // only those that must not be repeated
	None
)

// RoomOf is the room by the part of its hosts' slots that a router uses.
func RoomOf(used float64) Room {
	switch {
	case used < 0.7:
		return Ample
	case used < 0.85:
		return Scarce
	}
	return None
}

// Verdict is what becomes of a request.
type Verdict struct {
	In        bool
	Over      bool    // it is taken, though its caller is over its share
	Share     string  // the name of the share, empty where the caller has none
	Limit     float64 // requests a Window
	Remaining float64 // of them, over all routers, as of the last news
	Reset     int64   // until all of the Window's requests are there again, nanoseconds
	Wait      int64   // where it isn't taken: until its turn comes, nanoseconds
}

// account is one share at a router.
type account struct {
	manifest.Share
	limit    float64 // requests a second, of all routers
	part     float64 // this router's even part of it
	dealt    float64 // what is leased to it
	until    int64   // the lease's end: until then the caller is known to press
	tokens   float64
	at       int64
	want     float64 // requests that came, forgotten over a second
	long     float64 // and over ten
	shortAt  int64   // when a request last found no token
	took     uint64  // within the share, since the meter began
	turn     int64   // when the last one that was sent away is to come back
	told     float64 // requests within the last Window over all routers, as control told
	toldAt   int64
	tookThen uint64 // of this router's, as of then
	away     uint64
	over     uint64
}

// Meter is one service's shares at one router. It is not safe for two goroutines.
type Meter struct {
	header   string
	others   *account            // nil where others have no share of their own
	accounts map[string]*account // by caller
	names    map[string]*account // by share
	awake    map[*account]bool   // those that may have something to report
	routers  int
	carries  float64 // requests a second that the service can carry, 0 where that is not known
	seen     *Census
}

// NewMeter makes a meter; nothing is known of demand.
func NewMeter(shares []manifest.Share, routers int, now int64) *Meter {
	m := &Meter{accounts: map[string]*account{}, awake: map[*account]bool{}, seen: NewCensus(CensusMost)}
	m.Set(shares, routers, now)
	return m
}

// Set takes up other shares or another number of routers; accounts that go on keep what they had.
func (m *Meter) Set(shares []manifest.Share, routers int, now int64) {
	m.routers = max(1, routers)
	old := m.accounts
	m.accounts, m.names = make(map[string]*account, len(shares)), make(map[string]*account, len(shares))
	for _, s := range shares {
		m.header = s.Header
		a := old[s.Caller]
		if a == nil {
			a = &account{at: now, tokens: 1}
		}
		a.Share = s
		m.accounts[s.Caller], m.names[s.Name] = a, a
		m.rate(a)
	}
	m.others = m.accounts[manifest.Others]
	maps.DeleteFunc(m.awake, func(a *account, _ bool) bool { return m.accounts[a.Caller] != a })
}

// Carries tells how many requests a second the service can carry at present: of that some shares are a part.
func (m *Meter) Carries(perSecond float64) {
	m.carries = perSecond
	for _, a := range m.accounts {
		m.rate(a)
	}
}

func (m *Meter) rate(a *account) {
	a.limit = max(a.PerS, a.Part*m.carries)
	a.part = a.limit / float64(m.routers)
}

// Header is the one that names callers.
func (m *Meter) Header() string { return m.header }

// Take says what becomes of a request that comes now. safe tells that it may be repeated.
func (m *Meter) Take(now int64, caller string, safe bool, room Room) Verdict {
	if len(caller) > manifest.LongestCaller || caller == manifest.Others {
		caller = ""
	}
	m.seen.Count(caller)
	a := m.accounts[caller]
	if a == nil || caller == "" {
		a = m.others
	}
	if a == nil { // no share at all: what others leave
		v := Verdict{In: admits(room, safe), Over: true}
		if !v.In {
			v.Wait = second
		}
		return v
	}
	if a.Watch {
		return Verdict{In: true}
	}
	m.awake[a] = true
	a.fill(now)
	a.want++
	a.long++
	v := Verdict{Share: a.Name, Limit: a.limit * float64(Window/second)}
	need := 1.0
	if safe && a.burst() > 1 { // what must not be repeated has the last of it to itself
		need += min(spareSafe*a.burst(), a.burst()-1)
	}
	if a.tokens < 1 {
		a.shortAt = now
	}
	switch {
	case a.tokens >= need:
		a.tokens--
		a.took++
		v.In = true
	case admits(room, safe):
		a.over++
		v.In, v.Over = true, true
	default:
		a.away++
		pace := max(a.rate(now), 0.01)
		a.turn = max(a.turn, now) + int64(float64(second)/pace)
		v.Wait = min(a.turn-now, Window)
		a.turn = now + v.Wait
	}
	v.Remaining = max(0, v.Limit-a.used(now))
	if a.limit > 0 {
		v.Reset = int64(min(float64(Window), (v.Limit-v.Remaining)/a.limit*float64(second)))
	}
	return v
}

func admits(room Room, safe bool) bool { return room == Ample || room == Scarce && !safe }

// rate is what this router may take a second now.
func (a *account) rate(now int64) float64 {
	if now < a.until {
		return Even*a.part + a.dealt
	}
	return Loose * a.part
}

// burst is this router's part of the share's.
func (a *account) burst() float64 {
	if a.at >= a.until {
		return max(first, Loose*a.Burst*a.part/max(a.limit, 1e-9))
	}
	return max(first, a.Burst*a.rate(a.at)/max(a.limit, 1e-9))
}

// large tells whether every router sees the caller now and then, if it comes evenly and has the most that it may.
func (a *account) large() bool { return a.part*10 >= 1 && a.limit >= 10 }

// some is how many requests of late are worth a report.
func (a *account) some() float64 {
	if a.large() {
		return 0.9
	}
	return 3
}

func (a *account) fill(now int64) {
	if now <= a.at {
		return
	}
	if a.at < a.until && a.until < now { // the lease has ended in between
		a.fill(a.until)
	}
	past := float64(now-a.at) / float64(second)
	a.tokens = min(a.burst(), a.tokens+a.rate(a.at)*past)
	a.want *= math.Exp(-past)
	a.long *= math.Exp(-past / 10)
	a.at = now
}

// used is about how many requests all routers took within the last Window: what control told, fading out evenly, and what
// this router took since.
func (a *account) used(now int64) float64 {
	left := 1 - float64(now-a.toldAt)/float64(Window)
	if a.toldAt > 0 && left > 0 {
		return a.told*left + float64(a.took-a.tookThen)
	}
	return a.long // the others' are not known: nobody told of a caller that no router saw often
}

// Report is what a router tells control of a share: what it is asked for, and what it has taken in all.
type Report struct {
	Share string  `json:"s"`
	Want  float64 `json:"w"` // requests a second
	Took  uint64  `json:"t"`
	Late  float64 `json:"l"` // requests of about the last ten seconds
	Away  uint64  `json:"a,omitempty"`
	Over  uint64  `json:"o,omitempty"`
	Short bool    `json:"x,omitempty"` // it needs more than a router may give of itself
}

const (
	shortly = 2 * second // for so long after a request found no token its account is short
	atRest  = 0.05       // requests of late under which an account without a lease has nothing to tell
)

// Reports tells of the accounts whose callers press here, or may press over all routers: the small ones at a large number of
// routers hardly ever do. It is for every DealEvery.
func (m *Meter) Reports(now int64) (all []Report) {
	for a := range m.awake {
		if a.Watch {
			continue
		}
		a.fill(now)
		short := a.shortAt > 0 && now-a.shortAt < shortly
		if !short && now >= a.until && a.long < atRest { // nothing to be told until a request or a lease comes
			delete(m.awake, a)
			continue
		}
		if a.until > now {
			short = a.want > Loose*a.part
		}
		if short || a.long >= a.some() && a.long/10 > a.part/2 || a.until > now && a.long > atRest {
			all = append(all, Report{a.Name, math.Round(a.want*100) / 100, a.took, math.Round(a.long), a.away, a.over, short})
		}
	}
	slices.SortFunc(all, func(a, b Report) int { return strings.Compare(a.Share, b.Share) })
	return all
}

// Allotment is what control deals to a router of the share of a caller that presses, and how many requests of it all routers
// took within the last Window.
type Allotment struct {
	Share string  `json:"s"`
	Rate  float64 `json:"r"` // requests a second, beside its part of what is dealt out evenly
	Used  float64 `json:"u"`
	Calm  bool    `json:"c,omitempty"` // the caller doesn't press: nothing is leased, and only Used is told
}

// Dealt takes allotments in; what is not among them ends with its lease.
func (m *Meter) Dealt(now int64, all []Allotment) {
	for _, x := range all {
		if a := m.names[x.Share]; a != nil {
			m.awake[a] = true
			a.fill(now)
			if a.until = now; !x.Calm {
				a.dealt, a.until = max(0, x.Rate), now+Lease
			}
			a.tokens = min(a.tokens, a.burst())
			a.told, a.toldAt, a.tookThen = max(0, x.Used), now, a.took
		}
	}
}

// Census is the callers that a router has seen, for the hour's counts; it is handed on and begun anew.
func (m *Meter) Census() []Count { return m.seen.Hand() }
