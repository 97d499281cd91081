package lanes

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/lookout"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/harbour/signals"
	"portflow/internal/testing/digest"
)

// drawnNote is one piece of news about few names, so that many are about the same.
func drawnNote(draw *rand.Rand, now int64) signals.Note {
	zone := fmt.Sprint("z", draw.IntN(4))
	service := fmt.Sprint("s", draw.IntN(3))
	host := fmt.Sprint("h", draw.IntN(12))
	switch draw.IntN(8) {
	case 0, 1, 2:
		return signals.Note{Host: &berths.Host{ID: host, Service: service, Address: host + ":1", Zone: zone,
			Version: fmt.Sprint("v", draw.IntN(3)), Slots: 1 + draw.IntN(4), State: berths.State(draw.IntN(3)),
			ColdUntil: now + draw.Int64N(4*second) - 2*second, Sequence: uint64(draw.IntN(200)), Silent: draw.IntN(4) == 0, Owner: "c1"}}
	case 3:
		name := fmt.Sprint("router", draw.IntN(6))
		return signals.Note{Front: &signals.Front{Name: name, Zone: zone, Ready: draw.IntN(4) > 0, Short: draw.IntN(4) == 0,
			Gone: draw.IntN(8) == 0, Since: int64(draw.IntN(3)), Change: draw.IntN(9)}}
	case 4:
		return signals.Note{Aside: &lookout.Judgement{ID: host, Service: service, Aside: now + draw.Int64N(4*second),
			Back: now + 4*second + draw.Int64N(4*second), Times: draw.IntN(3)}}
	case 5:
		r := pilotage.Rollout{Service: service, Order: uint64(1 + draw.IntN(3)), From: "v0", Target: "v1", Began: now, Term: 15 * second,
			State: pilotage.State(1 + draw.IntN(3))}
		i := r.Item()
		return signals.Note{Item: &i, Began: now - draw.Int64N(second)}
	case 6:
		i := manifest.Item{Kind: manifest.Evacuations, Name: zone, Version: uint64(1 + draw.IntN(40)), Body: fmt.Appendf(nil, `{"begun":%v}`, draw.IntN(2) == 0)}
		return signals.Note{Item: &i}
	}
	kind, body := manifest.Services, fmt.Sprintf(`{"health-path":"/","name":"%s"}`, service)
	if draw.IntN(2) == 0 {
		kind, body = manifest.Settled, fmt.Sprintf(`{"version":"v%d"}`, draw.IntN(2))
	}
	i := manifest.Item{Kind: kind, Name: service, Version: uint64(1 + draw.IntN(40)), Body: []byte(body)}
	return signals.Note{Item: &i}
}

// What the table says after drawn news, snapshots and times is what it was. The order of the fields of what it says and the
// numbers of constants count; names don't.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"289c23d85de978be", "75c24153f12b5473", "2e56f927fd06d87d", "97509e503b119f5c"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		b := NewBoard("router1", Place{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0", "z1": "r0", "z2": "r1"})
		now := 1000 * second
		for range 60 {
			now += draw.Int64N(second / 2)
			var notes []signals.Note
			for range draw.IntN(4) {
				notes = append(notes, drawnNote(draw, now))
			}
			switch draw.IntN(8) {
			case 0:
				d.Add(b.Take(notes, true))
			case 1:
				d.Add(b.Take(notes, false))
			case 2:
				d.Add(b.Lapse(now))
			case 3:
				d.Add(b.Tidy(now))
			case 4:
				b.Forget("s1")
			default:
				d.Add(b.TakeAt(Mark{1, uint64(draw.IntN(50))}, notes, draw.IntN(6) == 0))
			}
			rank, count, roster, counted := b.Standing()
			d.Add(b.At(), rank, count, roster, counted, len(b.Known), b.Asides, b.Set.Sum())
			for n := range 3 {
				service := fmt.Sprint("s", n)
				d.Add(b.Hosts(service), b.Of(service), b.Rollout(service), b.Evacuated(fmt.Sprint("z", n)), b.Ring(fmt.Sprint("z", n)))
				for _, id := range []string{"h1", "h2"} {
					if h, known := b.Known[id]; known {
						d.Add(Part(h, "router1", Place{"z0", "r0"}, map[string]string{"z0": "r0", "z1": "r0"}, roster, Terms{1.5, 5, 5.4}))
					}
				}
			}
		}
	})
}

// Rosters of the past, a router's being short, forecasts and the count of the last second are what they were.
func TestTraceOfParts(t *testing.T) {
	digest.Pin(t, 50, []string{"d74a85972e05fc81", "cadcb8926acf65f0"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 2))
		var past Past
		var short Short
		var forecast Forecast
		var window Window
		now := 1000 * second
		is := Roster{}
		part := func(r Roster) int {
			return Part(berths.Host{ID: "h", Zone: "z0", Slots: 3}, "a", Place{"z0", "r0"}, nil, r, Terms{1.5, 5, 5.4}).Open
		}
		for range 200 {
			now += draw.Int64N(second / 10)
			switch draw.IntN(5) {
			case 0:
				past = past.Then(now, is, draw.IntN(4) > 0)
				is = Roster{"z0": {{"a", 1 + draw.IntN(Lend)}, {"b", 1 + draw.IntN(Lend)}}, "z1": {{"c", 1}}}
				d.Add(is.Usual())
			case 1:
				all := draw.IntN(50)
				d.Add(short.Look(all, draw.IntN(all+1), draw.IntN(all+1)))
			case 2:
				forecast.Answered(now)
			case 3:
				d.Add(forecast.Wait(now, second))
			default:
				window.Add(now)
			}
			least, until := past.Open(now, is, part)
			d.Add(least, until, past.Cold(now, part), window.Room(now, 1+draw.IntN(20)))
		}
	})
}
