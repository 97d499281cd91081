package soundings

import (
	"errors"
	"fmt"
	"time"

	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/papers"
)

// The calls' names.
const (
	SnapshotCall = "harbour.snapshot"
	RestoreCall  = "harbour.restore"
)

// Ask is the body of harbour.snapshot: the snapshot's name, empty for one as of now, and the item that the chunk begins with.
type Ask struct {
	Snapshot string `json:"snapshot,omitempty"`
	From     int    `json:"from,omitempty"`
}

// Part is its answer.
type Part struct {
	Snapshot string `json:"snapshot"`
	Chunk    []byte `json:"chunk"` // base64 in JSON
	Next     int    `json:"next"`
	Items    int    `json:"items"`
	Done     bool   `json:"done"`
}

// Piece is the body of harbour.restore.
type Piece struct {
	Chunk []byte `json:"chunk"`
}

// Landed is its answer: how many items of which snapshot are there, and whether they are in force.
type Landed struct {
	Snapshot string `json:"snapshot"`
	Have     int    `json:"have"`
	Done     bool   `json:"done"`
}

const (
	mostCuts = 2                // that are kept for those who ask on
	idle     = 30 * time.Second // after which nobody is expected to
)

// Shelf keeps the cuts that are being asked for. It is not safe for two goroutines; times are nanoseconds of one clock.
type Shelf struct{ cuts map[string]*cut }

type cut struct {
	head  Head
	items []manifest.Item
	asked int64
}

// Answer answers an ask. present is the set as it stands, in the order of its keys; its items share their bodies with the
// set's, so that a cut costs some 90 bytes an item. Who asks on for a cut that is gone has it from any holder whose set is
// still the same, else an error of kind Missing: it starts again.
func (s *Shelf) Answer(now int64, ask Ask, present func() (items []manifest.Item, epoch, number uint64)) (Part, error) {
	for name, c := range s.cuts {
		if now-c.asked > int64(idle) {
			delete(s.cuts, name)
		}
	}
	c := s.cuts[ask.Snapshot]
	if c == nil {
		items, epoch, number := present()
		h, err := NewHead(items, epoch, number)
		if err != nil {
			return Part{}, faults.Wrap(faults.Oversized, err, "the snapshot can't be laid out")
		}
		if ask.Snapshot != "" && ask.Snapshot != h.String() {
			return Part{}, faults.New(faults.Missing, "snapshot: %q is gone, %q stands", ask.Snapshot, h)
		}
		if c = s.cuts[h.String()]; c == nil {
			c = &cut{head: h, items: items}
			s.keep(c)
		}
	}
	if ask.From < 0 || ask.From > len(c.items) {
		return Part{}, faults.New(faults.Invalid, "from: %d of %d items", ask.From, len(c.items))
	}
	c.asked = now
	raw, next, done := Chunk(c.items, c.head, ask.From)
	return Part{Snapshot: c.head.String(), Chunk: raw, Next: next, Items: len(c.items), Done: done}, nil
}

// keep keeps a cut in the place of the one that was asked for longest ago.
func (s *Shelf) keep(c *cut) {
	if s.cuts == nil {
		s.cuts = map[string]*cut{}
	}
	if len(s.cuts) >= mostCuts {
		oldest := ""
		for name, x := range s.cuts {
			if oldest == "" || x.asked < s.cuts[oldest].asked || x.asked == s.cuts[oldest].asked && name < oldest {
				oldest = name
			}
		}
		delete(s.cuts, oldest)
	}
	s.cuts[c.head.String()] = c
}

// Dock takes one snapshot in that an operator restores. It is not safe for two goroutines.
type Dock struct {
	gather Gather
	items  []manifest.Item
	heard  int64
	given  Head // the last one whose items were given
	force  bool // and they are in force
}

// Ended notes what became of the items that were given, so that a last piece that is sent again is answered so. Of those that
// did not come into force all pieces are wanted again.
func (d *Dock) Ended(h Head, inForce bool) {
	if h != d.given {
		return
	}
	if d.force = inForce; !inForce {
		d.given = Head{}
	}
}

func (d *Dock) reset() { *d = Dock{given: d.given, force: d.force} }

// Take takes a piece. The items and their head are given with the last one, once: the caller puts them in force, answers with
// done, and calls Ended, whatever became of it. A piece that doesn't follow is no error: the answer says where to go on. Another snapshot is refused
// as under way while one comes in, until nothing came of that for 30 s.
func (d *Dock) Take(now int64, raw []byte) (l Landed, items []manifest.Item, head Head, err error) {
	if now-d.heard > int64(idle) {
		d.reset()
	}
	if _, begun := d.gather.Head(); !begun {
		if h, _, _, _, err := read(raw); err == nil && h == d.given { // again, of what was given
			return Landed{Snapshot: h.String(), Have: h.Items, Done: d.force}, nil, h, nil
		}
	}
	news, err := d.gather.Take(raw)
	switch {
	case errors.Is(err, ErrOther):
		return l, nil, head, faults.Wrap(faults.UnderWay, err, "another restore is under way")
	case errors.Is(err, ErrSum):
		d.reset()
		return l, nil, head, faults.Wrap(faults.Invalid, err, "chunk")
	case errors.Is(err, ErrGap):
	case err != nil:
		return l, nil, head, faults.Wrap(faults.Invalid, err, "chunk")
	}
	head, begun := d.gather.Head()
	if !begun { // the first piece is to come
		return l, nil, head, nil
	}
	d.heard = now
	d.items = append(d.items, news...)
	if l = (Landed{Snapshot: head.String(), Have: d.gather.Have()}); d.gather.Done() {
		items, d.given, d.force = d.items, head, false
		d.reset()
	}
	return l, items, head, nil
}

// Valid checks an item of a snapshot as control checks a change's: the error names the item, the field and the reason.
func Valid(i manifest.Item) error {
	r := papers.Read(i.Tree())
	switch {
	case i.Kind == "" || i.Name == "":
		return fmt.Errorf("an item without a kind or a name")
	case i.Dropped:
		return nil
	case i.Kind == manifest.Routes:
		manifest.ReadRoute(r)
	case i.Kind == manifest.Services:
		manifest.ReadService(r)
	case i.Kind == manifest.Shares:
		manifest.ReadShare(r)
	case i.Kind == manifest.Limits:
		manifest.ReadLimits(r)
	}
	if err := r.Err(); err != nil {
		return fmt.Errorf("%s %s: %w", i.Kind, i.Name, err)
	}
	return nil
}
