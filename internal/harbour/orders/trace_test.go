package orders

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/testing/digest"
)

// drawnOrder is one on few names, so that many meet.
func drawnOrder(draw *rand.Rand, set *manifest.Set, now int64) Order {
	rollout, _ := set.Get(manifest.Key{Kind: manifest.Rollouts, Name: "desk"})
	newest := pilotage.Read(rollout)
	at := func() muster.Member {
		ip := draw.IntN(6)
		return muster.Member{IP: fmt.Sprint("10.0.0.", ip), ID: fmt.Sprint("d", draw.IntN(3)), Name: fmt.Sprint("n", ip), Zone: fmt.Sprint("z", ip%3)}
	}
	switch draw.IntN(12) {
	case 0, 1, 2, 3:
		o := Order{Kind: Modify}
		for range 1 + draw.IntN(3) {
			version := set.Highest() + uint64(draw.IntN(3))
			name := fmt.Sprint("r", draw.IntN(5))
			switch draw.IntN(6) {
			case 0:
				o.Items = append(o.Items, service([]string{"desk", "bags"}[draw.IntN(2)], version))
			case 1:
				o.Items = append(o.Items, drop(manifest.Routes, name, version))
			default:
				o.Items = append(o.Items, route(name, version, []string{"desk", "bags", "nowhere"}[draw.IntN(3)], fmt.Sprint("c", draw.IntN(3))))
			}
		}
		return o
	case 4:
		return Order{Kind: Evacuate, Of: fmt.Sprint("z", draw.IntN(2)), Begun: draw.IntN(2) == 0}
	case 5, 6:
		return Order{Kind: Begin, Of: "desk", Target: fmt.Sprint("v", draw.IntN(3)), Term: 10 * s, Again: 5 * s, Now: now,
			Dated: draw.IntN(2) == 0, Known: newest.Order - uint64(min(draw.IntN(4), 1)), Age: draw.Int64N(20 * s)}
	case 7:
		return Order{Kind: End, Of: "desk", Number: newest.Order, State: pilotage.State(1 + draw.IntN(3)), Now: now}
	case 8:
		return Order{Kind: Tell, Of: "desk", Number: newest.Order}
	case 9:
		return Order{Kind: Settle, Of: []string{"desk", "bags"}[draw.IntN(2)], Version: fmt.Sprint("v", draw.IntN(2))}
	case 10:
		o := Order{Kind: Join, In: []muster.Member{at(), at()}, Out: []string{at().IP}, Number: muster.Of(set).Epoch * uint64(draw.IntN(2))}
		if draw.IntN(4) == 0 {
			o.Hold = []muster.Member{at()}
		}
		return o
	}
	return Order{Kind: Restore, Version: fmt.Sprint("snapshot", draw.IntN(4)), Number: muster.Of(set).Epoch,
		Items: []manifest.Item{service("desk", 1), route("r0", 2, "desk", "a")}}
}

// What drawn orders make of a set, also as they are handed over and come again, is what it was. The order of the fields of items
// and the numbers of kinds of errors count; names don't, but the texts of errors do.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"642c1648d149b2cf", "4ba78587696ac7b8", "2bb1ef900fdfafad", "a223a450d5ca658f"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		set := manifest.NewSet()
		set.Apply([]manifest.Item{service("desk", 1), service("bags", 1)})
		now := 100 * s
		var sent []Order
		for range 60 {
			now += draw.Int64N(3 * s)
			o := drawnOrder(draw, set, now)
			if draw.IntN(4) == 0 {
				o = Bind(set, o)
			}
			if len(sent) > 0 && draw.IntN(5) == 0 {
				o = sent[draw.IntN(len(sent))]
			}
			sent = append(sent, o)
			items, err := Apply(set, o)
			d.Add(o, items, err, faults.Of(err), o.Rests(), IsWhole(items))
			if err != nil {
				continue
			}
			if IsWhole(items) {
				changed, gone := set.Become(items[1:])
				d.Add(changed, gone)
			} else {
				d.Add(set.Apply(items))
			}
			d.Add(set.Sum())
		}
		a, b := route("r", 1, "desk", "a"), route("r", 1, "bags", fmt.Sprint(seed%2))
		d.Add(Differs(a, b), Differs(a, a))
	})
}
