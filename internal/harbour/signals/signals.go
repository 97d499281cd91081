// Package signals is news in numbers: what a control process tells the others and the routers that hang on it. Who is
// behind by more than is kept takes a snapshot, then follows. It is pure.
package signals

import (
	"slices"
	"strings"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/lookout"
	"portflow/internal/harbour/manifest"
)

// Front is a router that carries traffic, as the control process that it hangs on knows it.
type Front struct {
	Name    string `json:"n"`
	Zone    string `json:"z"`
	IP      string `json:"p"`
	Address string `json:"a"` // of its front
	Ready   bool   `json:"r,omitempty"`
	Short   bool   `json:"h,omitempty"` // of room in its zone: it may have what others don't use
	Gone    bool   `json:"g,omitempty"` // it hangs here no longer
	Since   int64  `json:"s"`           // when it came, Unix nanoseconds: the later holds
	Change  int    `json:"c,omitempty"` // counts its changes since then
	Owner   string `json:"o"`
}

// Newer tells whether a holds against b, of one name.
func (a Front) Newer(b Front) bool {
	switch {
	case a.Since != b.Since:
		return a.Since > b.Since
	case a.Change != b.Change:
		return a.Change > b.Change
	}
	return a.Gone && !b.Gone
}

// Figures is what a router goes by when it judges a version: the first of each pair is of failures, the second of times.
type Figures struct {
	Outcomes  [2]float64 `json:"n"`
	Excess    [2]float64 `json:"x"`
	Error     [2]float64 `json:"e"`
	Threshold [2]float64 `json:"t"`
	Left      float64    `json:"l"` // requests that it may still give to the version at once
}

// Poll is a router's vote on a rollout: it stands until it lapses, or until one without a verdict takes it back.
type Poll struct {
	Front   string   `json:"f"`
	Service string   `json:"s"`
	Order   uint64   `json:"o"` // the rollout's number
	Verdict uint8    `json:"v"`
	At      int64    `json:"t"` // when control heard it, by the clock of who tells it
	Figures *Figures `json:"g,omitempty"`
	Shown   bool     `json:"w,omitempty"` // no vote: it only tells figures
}

// Note is one piece of news.
type Note struct {
	Item  *manifest.Item     `json:"i,omitempty"`
	Host  *berths.Host       `json:"h,omitempty"`
	Front *Front             `json:"f,omitempty"`
	Poll  *Poll              `json:"p,omitempty"`
	Aside *lookout.Judgement `json:"a,omitempty"`
	Began int64              `json:"o,omitempty"` // of a rollout's item: when it began, by the clock of who tells it
	First bool               `json:"-"`           // first-hand: other control processes don't know it yet
}

// thing is what a note is about.
type thing struct{ kind, name, of string }

func (n Note) thing() thing {
	switch {
	case n.Item != nil:
		return thing{"item " + n.Item.Kind, n.Item.Name, ""}
	case n.Host != nil:
		return thing{"host", n.Host.ID, ""}
	case n.Front != nil:
		return thing{"front", n.Front.Name, ""}
	case n.Poll != nil:
		return thing{"poll", n.Poll.Front, n.Poll.Service}
	case n.Aside != nil:
		return thing{"aside", n.Aside.ID, ""}
	}
	return thing{}
}

// Last leaves of several notes on one thing the last one, and keeps the order of those that stay. It may use the list that it is given.
func Last(notes []Note) []Note {
	if len(notes) < 2 {
		return notes
	}
	seen := make(map[thing]bool, len(notes))
	at := len(notes)
	for n := len(notes) - 1; n >= 0; n-- {
		if k := notes[n].thing(); !seen[k] {
			seen[k] = true
			at--
			notes[at] = notes[n]
		}
	}
	return notes[at:]
}

// Ledger numbers the news of one life of a control process. It is not safe for two goroutines.
type Ledger struct {
	most int
	last uint64
	kept []Note
}

// NewLedger keeps so many changes for those who are behind.
func NewLedger(most int) *Ledger { return &Ledger{most: most} }

// Add gives a note the next number.
func (l *Ledger) Add(n Note) uint64 {
	l.last++
	if l.kept = append(l.kept, n); len(l.kept) > l.most+l.most/2 { // moved now and then, not each time
		l.kept = append([]Note(nil), l.kept[len(l.kept)-l.most:]...)
	}
	return l.last
}

// Last is the newest number.
func (l *Ledger) Last() uint64 { return l.last }

// After are the notes with numbers above n; ok is false where they are not all kept any more.
func (l *Ledger) After(n uint64) (notes []Note, ok bool) {
	missing := l.last - n
	if n > l.last || missing > uint64(len(l.kept)) {
		return nil, false
	}
	return l.kept[uint64(len(l.kept))-missing:], true
}

// Follower is where one who hears the news has come.
type Follower struct {
	Life string // of whom it hears
	Have uint64
}

// Take tells whether a batch of news follows on what is had: a snapshot always does. A batch that has been had is none.
func (f *Follower) Take(life string, from, to uint64, snapshot bool) bool {
	if snapshot {
		f.Life, f.Have = life, to
		return true
	}
	if life != f.Life || from != f.Have || to < from {
		return false
	}
	f.Have = to
	return true
}

// Roster counts and numbers the routers that are ready: by name, the first has number 0.
func Roster(fronts map[string]Front) (ready []Front) {
	for _, f := range fronts {
		if f.Ready && !f.Gone {
			ready = append(ready, f)
		}
	}
	slices.SortFunc(ready, func(a, b Front) int { return strings.Compare(a.Name, b.Name) })
	return ready
}
