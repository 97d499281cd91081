package retryguard

import (
	"cmp"
	"slices"
)

// Host is a host as the list shows it.
type Host struct {
	ID      uint32
	Ready   bool
	Size    float64 // its capacity beside others'
	Started int64   // 0 for long ago
}

// Sign is what the end of a hand-off says of its host.
type Sign uint8

const (
	Answered Sign = iota // any answer
	Refused              // turned away: it lives, and has enough to do
	Broken               // no connection, or one that broke: its process may be gone
	Silent               // nothing came
	Unsent               // nothing was sent: it says nothing
)

// strikes are the signs in a row after which a host is taken for down: one may be a lost connection's.
const strikes = 2

type member struct {
	Host
	cold  int64 // since when it warms up, 0 for warm
	down  bool
	known bool // it has answered, or is down
	died  bool // it is down by broken connections: it comes back cold
	signs int
}

// Fleet is a router's picture of what all hosts can do, now and in the next seconds.
type Fleet struct {
	from    float64 // part of its capacity that a host starts with
	warmIn  int64
	members map[uint32]*member
	ready   []*member // by id, so that sums come out alike
}

// NewFleet makes an empty picture; hosts start with a part of their capacity and are warm some time later.
func NewFleet(coldFrom float64, coldFor int64) *Fleet {
	return &Fleet{from: min(1, max(0.05, coldFrom)), warmIn: max(1, coldFor), members: map[uint32]*member{}}
}

// List takes up the list, or its changes. What a whole list doesn't name is gone.
func (f *Fleet) List(whole bool, hosts []Host) {
	if whole {
		named := make(map[uint32]bool, len(hosts))
		for _, h := range hosts {
			named[h.ID] = true
		}
		for id := range f.members {
			if !named[id] {
				delete(f.members, id)
			}
		}
	}
	for _, h := range hosts {
		if !h.Ready {
			delete(f.members, h.ID)
			continue
		}
		if !(h.Size > 1e-3 && h.Size < 1e6) {
			h.Size = 1
		}
		m := f.members[h.ID]
		if m == nil || m.Started != h.Started {
			m = &member{cold: h.Started}
			f.members[h.ID] = m
		}
		m.Host = h
	}
	f.ready = f.ready[:0]
	for _, m := range f.members {
		f.ready = append(f.ready, m)
	}
	slices.SortFunc(f.ready, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
}

// Ended tells what a hand-off's end says of a host. One that answers after its connections broke is taken for a new
// process, cold since then, unless the list has told its start.
func (f *Fleet) Ended(now int64, id uint32, s Sign) {
	m := f.members[id]
	if m == nil || s == Unsent {
		return
	}
	if s == Answered || s == Refused {
		if m.down && m.died {
			m.cold = now
		}
		m.known, m.down, m.died, m.signs = true, false, false, 0
		return
	}
	if m.signs++; m.signs >= strikes {
		m.known, m.down = true, true
		m.died = m.died || s == Broken
	}
}

// warmth is the part of its capacity that a host has at a time.
func (f *Fleet) warmth(m *member, at int64) float64 {
	if m.cold == 0 || at-m.cold >= f.warmIn {
		return 1
	}
	return f.from + (1-f.from)*float64(max(0, at-m.cold))/float64(f.warmIn)
}

// At is what all hosts that are up will be able to do at a time, by sizes. Those that this router has not met count
// by the part of those it has met that is up, as a router of many meets few of its hosts.
func (f *Fleet) At(at int64) float64 {
	return f.sum(func(m *member) float64 { return m.Size * f.warmth(m, at) })
}

// Up is what the same hosts could do if they were warm.
func (f *Fleet) Up() float64 { return f.sum(func(m *member) float64 { return m.Size }) }

func (f *Fleet) sum(of func(*member) float64) float64 {
	var up, strange, met, alive float64
	for _, m := range f.ready {
		switch {
		case !m.known:
			strange += of(m)
		case !m.down:
			up += of(m)
			alive += m.Size
			met += m.Size
		default:
			met += m.Size
		}
	}
	if met > 0 {
		strange *= alive / met
	}
	return up + strange
}

// Whole is what all listed hosts could do if they were up and warm.
func (f *Fleet) Whole() (size float64) {
	for _, m := range f.ready {
		size += m.Size
	}
	return size
}
