package signals

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/lookout"
	"portflow/internal/testing/digest"
)

// Snapshots that are cut, sent in chunks, broken off and taken up while changes come, and the changes that are kept, are what they
// were. The chunks are recorded as their bytes. The order of the fields of what is recorded counts; names don't.
func TestTrace(t *testing.T) {
	digest.Pin(t, 6, []string{"8471fcad4cd31a47", "fb7f710f27175e03", "ea8a9ec0296285be", "0a6c95451d667a69"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		h := newHeld("a", 400)
		var r router
		var transfer *Transfer
		var cut *Cut
		for range 12 {
			h.now += draw.Int64N(4e9)
			for range draw.IntN(4) {
				h.set(fmt.Sprintf("route-%05d", draw.IntN(400)), h.number, 10+draw.IntN(400))
			}
			if transfer == nil || draw.IntN(8) == 0 {
				cut = h.cut(r.Part())
				transfer = NewTransfer(cut, r.Part())
				d.Add(cut.Name, cut.To, cut.Number, cut.Of, cut.Bytes, cut.Laid, cut.After(r.Part()))
			}
			words, done := transfer.Next(r.Part())
			for _, word := range words {
				if draw.IntN(12) == 0 {
					word = word[:len(word)/2]
				}
				d.Add(word, r.take(word), r.Part())
			}
			d.Add(done, r.Whole(), h.shelf.Held(), h.made)
			if r.Whole() {
				d.Add(r.close(h.closing(cut)), r.number, len(r.board))
			}
			switch draw.IntN(12) {
			case 0:
				r.Drop()
			case 1:
				d.Add(h.shelf.Tidy(h.now))
			}
			if done {
				transfer = nil
			}
		}
	})
}

// The ledger, its followers, the offset of clocks and the choice of the last notes are what they were.
func TestTraceOfNews(t *testing.T) {
	digest.Pin(t, 50, []string{"815b6ff68a486af7", "0ff99e325a5055cd"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 2))
		l := NewLedger(20)
		f := Follower{}
		var offset Offset
		now := int64(1e12)
		for range 100 {
			now += draw.Int64N(1e9)
			offset.Heard(now+draw.Int64N(1e8), now)
			name := fmt.Sprint("n", draw.IntN(4))
			n := []Note{
				{Host: &berths.Host{ID: name, Sequence: uint64(draw.IntN(9)), ColdUntil: now}},
				{Front: &Front{Name: name, Ready: draw.IntN(2) == 0, Since: now, Owner: "c"}},
				{Poll: &Poll{Front: name, Service: "desk", Order: 1, Verdict: uint8(draw.IntN(3)), At: now}},
				{Aside: &lookout.Judgement{ID: name, Service: "desk", Aside: now, Back: now + 1}},
			}[draw.IntN(4)]
			d.Add(l.Add(n), l.Last(), n.Timed(), n.Here(offset), offset.Ahead(), offset.Here(now))
			from := uint64(max(0, int64(l.Last())-draw.Int64N(30)))
			notes, ok := l.After(from)
			d.Add(ok, Size(notes))
			d.Add(Last(append([]Note{}, notes...)))
			d.Add(f.Take([]string{"a", "b"}[draw.IntN(20)/19], from, l.Last(), draw.IntN(10) == 0), f)
		}
		fronts := map[string]Front{}
		for n := range 6 {
			f := Front{Name: fmt.Sprint("r", n), Ready: draw.IntN(3) > 0, Gone: draw.IntN(4) == 0, Since: int64(draw.IntN(3)), Change: draw.IntN(3)}
			d.Add(f.Newer(fronts["r0"]))
			fronts[f.Name] = f
		}
		d.Add(Roster(fronts))
	})
}
