package signals

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"slices"
)

// Bounds of a router's snapshot.
const (
	ChunkBytes = 64 << 10 // notes go into a chunk until their JSON has so many bytes, and one more
	MostBytes  = 64 << 20 // of a whole snapshot's notes, as JSON
	MostNotes  = 1 << 20
	Window     = 32 // chunks that one router may be sent without having acknowledged them
)

// Head says which snapshot a chunk is of. The notes of a snapshot are counted from 0, in the order in which they are sent.
type Head struct {
	Name   string `json:"i"` // one for each snapshot, of all lives
	Life   string `json:"l"` // of whose news it is
	To     uint64 `json:"t"` // the number of the last change of these news that is in it
	Epoch  uint64 `json:"e,omitempty"`
	Number uint64 `json:"u,omitempty"` // the set's epoch and number as of it
	Of     int    `json:"o"`           // notes in all
}

// Chunk is a part of a snapshot: the notes from From on.
type Chunk struct {
	Head
	From  int             `json:"f,omitempty"`
	Sum   []byte          `json:"s"` // SHA-256 over the head's JSON, then all notes up to the end of this chunk, as they are laid out; the last one's is the whole's
	Notes json.RawMessage `json:"n"` // a list of them; last, so that the rest is read without it
}

// Part is how much of a snapshot a router has: the first Have notes of it. The zero Part is of none, and says with a hello that
// the router takes chunks.
type Part struct {
	Name string `json:"i,omitempty"`
	Have int    `json:"h,omitempty"`
}

func (h Head) begin() hash.Hash {
	sum := sha256.New()
	raw, _ := json.Marshal(h) // numbers and texts
	sum.Write(raw)
	return sum
}

// Cut is a snapshot, encoded once for all routers that ask for it: words that are ready to be sent.
type Cut struct {
	Head
	Words [][]byte // as pack laid them out
	Bytes int      // of all of them
	Laid  int      // bytes of the notes as JSON
	ends  []int    // up to which note each chunk goes
}

// NewCut encodes the notes of a snapshot; Of is set. Each word goes through pack, which lays out what is sent: there is never
// more than one chunk that isn't packed.
func NewCut(h Head, notes []Note, pack func(word []byte) []byte) (*Cut, error) {
	return newCut(h, notes, ChunkBytes, pack)
}

func newCut(h Head, notes []Note, most int, pack func(word []byte) []byte) (*Cut, error) {
	if h.Of = len(notes); h.Of > MostNotes {
		return nil, fmt.Errorf("a snapshot of %d notes, over %d", h.Of, MostNotes)
	}
	c, sum := &Cut{Head: h}, h.begin()
	var list bytes.Buffer
	e := json.NewEncoder(&list)
	size := 0
	for at := 0; at < h.Of || at == 0; {
		from := at
		list.Reset()
		list.WriteByte('[')
		for ; at < h.Of && list.Len() < most; at++ {
			if at > from {
				list.WriteByte(',')
			}
			if err := e.Encode(notes[at]); err != nil {
				return nil, err
			}
			list.Truncate(list.Len() - 1) // the encoder ends each with a line
		}
		list.WriteByte(']')
		size += list.Len()
		if c.Laid = size; size > MostBytes {
			return nil, fmt.Errorf("a snapshot of over %d bytes", MostBytes)
		}
		sum.Write(list.Bytes())
		raw, err := json.Marshal(Word{Chunk: &Chunk{Head: h, From: from, Sum: sum.Sum(nil), Notes: json.RawMessage("0")}})
		if err != nil {
			return nil, err
		}
		word := slices.Concat(raw[:len(raw)-len("0}}")], list.Bytes(), []byte("}}"))
		packed := pack(word)
		c.Words, c.ends, c.Bytes = append(c.Words, packed), append(c.ends, at), c.Bytes+len(packed)
		if at == h.Of {
			break
		}
	}
	return c, nil
}

// After is the number of the first chunk that one who has a part is still to be sent; a part of another snapshot, or one that
// doesn't end where a chunk does, is of no use: 0.
func (c *Cut) After(p Part) int {
	if p.Name != c.Name {
		return 0
	}
	n, there := slices.BinarySearch(c.ends, p.Have)
	if !there {
		return 0
	}
	return n + 1
}

// Transfer is a snapshot on its way to one router.
type Transfer struct {
	Cut  *Cut
	next int // chunk that is to be sent
}

// NewTransfer begins behind what the router has.
func NewTransfer(c *Cut, has Part) *Transfer { return &Transfer{Cut: c, next: c.After(has)} }

// Next are the words that may be sent now, has being what the router acknowledged last; done tells that all have been sent with
// them, and that the changes since follow.
func (t *Transfer) Next(has Part) (words [][]byte, done bool) {
	acked := min(t.Cut.After(has), t.next)
	to := min(len(t.Cut.Words), acked+Window)
	if to > t.next {
		words, t.next = t.Cut.Words[t.next:to], to
	}
	return words, t.next == len(t.Cut.Words)
}

// Assembly is a snapshot that comes in at a router, until it is whole and the changes since it have come: nothing of it is in
// force before. It holds one at a time, of MostNotes and MostBytes at most. After an error it is empty.
type Assembly struct {
	head  Head
	notes []Note
	bytes int
	sum   hash.Hash
}

// ErrChunk says that a chunk isn't the next one of what is there.
var ErrChunk = errors.New("a snapshot's chunk does not follow")

// Take takes the next chunk in. The first chunk of another snapshot takes the place of all that is there.
func (a *Assembly) Take(c Chunk) (err error) {
	defer func() {
		if err != nil {
			a.Drop()
		}
	}()
	if c.From == 0 && (c.Name != a.head.Name || len(a.notes) > 0) {
		if c.Name == "" || c.Of < 0 || c.Of > MostNotes {
			return fmt.Errorf("%w: %q of %d notes", ErrChunk, c.Name, c.Of)
		}
		*a = Assembly{head: c.Head, sum: c.Head.begin()}
	}
	if c.Head != a.head || a.sum == nil || c.From != len(a.notes) {
		return fmt.Errorf("%w: note %d of %q, after %d of %q", ErrChunk, c.From, c.Name, len(a.notes), a.head.Name)
	}
	if a.bytes += len(c.Notes); a.bytes > MostBytes {
		return fmt.Errorf("%w: over %d bytes", ErrChunk, MostBytes)
	}
	if a.sum.Write(c.Notes); !bytes.Equal(a.sum.Sum(nil), c.Sum) {
		return fmt.Errorf("%w: its sum is another", ErrChunk)
	}
	var notes []Note
	if err := json.Unmarshal(c.Notes, &notes); err != nil {
		return err
	}
	if n := len(a.notes) + len(notes); n > c.Of || len(notes) == 0 && c.Of > 0 {
		return fmt.Errorf("%w: %d notes of %d", ErrChunk, n, c.Of)
	}
	a.notes = append(a.notes, notes...)
	return nil
}

// Part is how much is there.
func (a *Assembly) Part() Part { return Part{Name: a.head.Name, Have: len(a.notes)} }

// Whole tells whether all chunks are there.
func (a *Assembly) Whole() bool { return a.sum != nil && len(a.notes) == a.head.Of }

// Close takes the batch that follows on a whole snapshot and gives all notes of both, once; ok is false where the batch doesn't.
func (a *Assembly) Close(n News) (notes []Note, ok bool) {
	if !a.Whole() || n.Snapshot || n.Life != a.head.Life || n.From != a.head.To || n.To < n.From {
		return nil, false
	}
	notes = append(a.notes, n.Notes...)
	a.Drop()
	return notes, true
}

// Drop forgets what is there.
func (a *Assembly) Drop() { *a = Assembly{} }

// Shelf keeps the cuts that routers are sent, so that who asks for one at the same number, or little later, is sent the same. It
// holds two; what is older is let go, and who was being sent it begins anew. It is not safe for two goroutines.
type Shelf struct {
	kept []*Making
	made int
	used int64
}

// Making is a cut that is being made, by one goroutine. Cut and Err are set once Done is closed.
type Making struct {
	Head
	Done chan struct{}
	Cut  *Cut
	Err  error
}

const (
	keptCuts  = 2
	unusedFor = int64(30e9) // after which nobody is expected to ask on
)

// Limits of what may have come since a cut that is still used, and of a batch of changes that is sent in one frame: beyond it a
// new snapshot takes less.
const (
	FreshChanges = 1024
	FreshBytes   = 256 << 10
	BatchBytes   = 1 << 20
	freshPart    = 4       // of a cut's own size at the most is sent behind it, as each router is sent that anew
	freshLeast   = 4 << 10 // or this, for a cut that is small itself
)

// Size is about how many bytes notes take as JSON: a bound for what items make of it.
func Size(notes []Note) (size int) {
	for _, n := range notes {
		if size += 200; n.Item != nil {
			size += len(n.Item.Body) + len(n.Item.Name)
		}
	}
	return size
}

// behind is the size of what is sent behind a cut, where these notes came since: the last of each thing.
func behind(notes []Note) int { return Size(Last(slices.Clone(notes))) }

// Fresh is the newest cut, if little has come since or it is still being made: who asks then waits for it and takes it as Named
// gives it, or where more comes than is fresh while one is made nobody would ever get one. None where a new one is to be made.
func (s *Shelf) Fresh(now int64, life string, l *Ledger) *Making {
	s.tidy(now)
	if len(s.kept) == 0 {
		return nil
	}
	m := s.kept[len(s.kept)-1]
	if m.Life != life || m.failed() {
		return nil
	}
	if notes, ok := l.After(m.To); !m.underWay() && (!ok || len(notes) > FreshChanges ||
		behind(notes) > min(FreshBytes, max(freshLeast, m.Cut.Laid/freshPart))) {
		return nil
	}
	s.used = now
	return m
}

// Named is a cut by its name, for who has a part of it or is being sent it; none where it isn't kept any more, or what came since
// isn't, or is more than one batch may be.
func (s *Shelf) Named(now int64, name, life string, l *Ledger) *Making {
	s.tidy(now)
	for _, m := range s.kept {
		if notes, ok := l.After(m.To); ok && m.Name == name && m.Life == life && behind(notes) <= BatchBytes && !m.failed() {
			s.used = now
			return m
		}
	}
	return nil
}

func (m *Making) failed() bool { return !m.underWay() && m.Err != nil }

func (m *Making) underWay() bool {
	select {
	case <-m.Done:
		return false
	default:
		return true
	}
}

// Begin puts a cut there that is to be made; its name and Done are set.
func (s *Shelf) Begin(now int64, h Head) *Making {
	s.made++
	h.Name = fmt.Sprintf("%s.%d", h.Life, s.made)
	m := &Making{Head: h, Done: make(chan struct{})}
	s.kept = append(s.kept, m)
	s.kept = s.kept[max(0, len(s.kept)-keptCuts):]
	s.used = now
	return m
}

// Make makes it of the notes as of its number, and closes Done.
func (m *Making) Make(notes []Note, pack func([]byte) []byte) {
	defer close(m.Done)
	m.Cut, m.Err = NewCut(m.Head, notes, pack)
}

// Tidy lets all cuts go that nobody has asked for in half a minute, and tells whether any is left.
func (s *Shelf) Tidy(now int64) bool {
	s.tidy(now)
	return len(s.kept) > 0
}

func (s *Shelf) tidy(now int64) {
	if now-s.used >= unusedFor {
		s.kept = nil
	}
}

// Held is how many bytes the cuts that are kept take, as they are sent.
func (s *Shelf) Held() (bytes int) {
	for _, m := range s.kept {
		select {
		case <-m.Done:
			if m.Cut != nil {
				bytes += m.Cut.Bytes
			}
		default:
		}
	}
	return bytes
}
