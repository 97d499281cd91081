package signals

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/lookout"
)

const s = int64(1e9)

// Whatever the clocks are, and however late words come, a time that is told is taken for no earlier than it was, and for as
// much later as the quickest word of late was on its way.
func TestOffset(t *testing.T) {
	for seed := range uint64(200) {
		draw := rand.New(rand.NewPCG(seed, 5))
		apart := draw.Int64N(7200*s) - 3600*s // the other's clock is ahead by so much
		quickest, now, came := int64(3600)*s, int64(0), int64(0)
		var o Offset
		for range 30 {
			now += draw.Int64N(3 * s)
			way := draw.Int64N(s / 10)
			if draw.IntN(5) == 0 {
				way = draw.Int64N(20 * s) // who hears was frozen
			}
			came = max(came, now+way) // words come in their order
			quickest = min(quickest, came-now)
			o.Heard(now+apart+1, came+1)
			at := now - draw.Int64N(10*s) // when something was
			late := o.Here(at+apart) - at
			qt.Assert(t, late >= 0, qt.IsTrue, qt.Commentf("seed %d: earlier by %d", seed, -late))
			qt.Assert(t, late <= quickest+came/drift, qt.IsTrue, qt.Commentf("seed %d: %d late, %d on its way", seed, late, quickest))
		}
	}
}

// A clock that runs slower than this one's by less than the drift isn't taken for one that is ahead for good.
func TestOffsetDrifts(t *testing.T) {
	var o Offset
	for now := int64(1); now < 100*3600*s; now += 60 * s {
		theirs := now - now/20_000
		o.Heard(theirs, now)
		late := o.Here(theirs) - now
		qt.Assert(t, late >= -60*s/drift && late <= s/1000, qt.IsTrue, qt.Commentf("%d at %d", late, now))
	}
}

// All times of a note move, and nothing else; what its sender has is not touched. Without a time nothing moves.
func TestNoteHere(t *testing.T) {
	c := qt.New(t)
	n := func() []Note {
		return []Note{{Host: &berths.Host{ID: "h", ColdUntil: 50 * s}}, {Host: &berths.Host{ID: "h"}}, {Aside: &lookout.Judgement{ID: "h", Aside: 60 * s, Back: 70 * s}},
			{Poll: &Poll{Front: "r", At: 80 * s}}, {Front: &Front{Name: "r", Since: 90 * s}}, {Began: 40 * s}, {}}
	}
	timed := []bool{true, false, true, true, false, true, false}
	var o Offset
	for i, x := range n() {
		c.Check(x.Here(o), qt.DeepEquals, n()[i])
		c.Check(x.Timed(), qt.Equals, timed[i])
	}
	o.Heard(0, 5)
	c.Check(o, qt.Equals, Offset{})
	o.Heard(105*s, 100*s)
	want := []Note{{Host: &berths.Host{ID: "h", ColdUntil: 45 * s}}, {Host: &berths.Host{ID: "h"}}, {Aside: &lookout.Judgement{ID: "h", Aside: 55 * s, Back: 65 * s}},
		{Poll: &Poll{Front: "r", At: 75 * s}}, {Front: &Front{Name: "r", Since: 90 * s}}, {Began: 35 * s}, {}}
	for i, x := range n() {
		c.Check(x.Here(o), qt.DeepEquals, want[i])
		c.Check(x, qt.DeepEquals, n()[i])
	}
}
