package bridge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/lookout"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/quorum"
	"portflow/internal/harbour/signals"
	"portflow/internal/testing/digest"
)

const (
	traceMs     = int64(1e6)
	traceSecond = int64(1e9)
)

// eachAlone is the digests of notes, sorted: some come in the order of a map, which means nothing.
func eachAlone(notes []signals.Note) (all []string) {
	for _, n := range notes {
		d := digest.New()
		d.Add(n)
		all = append(all, d.String())
	}
	slices.Sort(all)
	return all
}

// drawnNote is what is heard of few names.
func drawnNote(draw *rand.Rand, now int64) signals.Note {
	owner := []string{"b0", "b1", "b2"}[draw.IntN(3)]
	front := fmt.Sprint("r", draw.IntN(5))
	switch draw.IntN(5) {
	case 0, 1:
		id := fmt.Sprint("h", draw.IntN(8))
		return signals.Note{Host: &berths.Host{ID: id, Service: "desk", Address: id + ":1", Zone: "z0", Slots: 2, State: berths.State(draw.IntN(9) / 4),
			Sequence: uint64(now/traceSecond) - uint64(draw.IntN(3)), Silent: draw.IntN(6) == 0, Owner: owner}}
	case 2:
		return signals.Note{Front: &signals.Front{Name: front, Zone: "z0", IP: "10.0.2.1", Address: "10.0.2.1:1", Ready: draw.IntN(4) > 0, Gone: draw.IntN(9) == 0,
			Since: now - draw.Int64N(5)*traceSecond, Change: draw.IntN(4), Owner: owner}}
	case 3:
		return signals.Note{Poll: &signals.Poll{Front: front, Service: "desk", Order: uint64(draw.IntN(2)), Verdict: uint8(draw.IntN(3)), At: now, Shown: draw.IntN(3) == 0}}
	}
	return signals.Note{Aside: &lookout.Judgement{ID: fmt.Sprint("h", draw.IntN(8)), Service: "desk", Aside: now + draw.Int64N(3*traceSecond), Back: now + 4*traceSecond, Times: 1}}
}

// What a control process knows, tells and answers under drawn news, claims of routers, losses and returns of other processes and
// published items is what it was. The order of the fields of notes counts; names don't, nor the order of news of one step.
func TestTrace(t *testing.T) {
	digest.Pin(t, 25, []string{"5e7beeb11598ae57", "7c7f049e29b66a64", "8a855d36c1cd2ff0", "d2a01d0e02ca8e4a"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		s := state(3+draw.IntN(3), draw.IntN(4) > 0)
		now, seen := 1000*traceSecond, uint64(0)
		for n := range 100 {
			now += draw.Int64N(400 * traceMs)
			note := drawnNote(draw, now)
			peer := 1 + draw.IntN(2)
			ip, name := fmt.Sprint("10.0.1.", peer), fmt.Sprint("b", peer)
			switch draw.IntN(14) {
			case 0, 1, 2, 3:
				s.Take(now, note)
			case 4:
				if note.Front != nil {
					d.Add(s.Claim(now, *note.Front))
				}
			case 5:
				if note.Host != nil {
					h, changed := s.Register.Beat(now, *note.Host)
					if d.Add(h, changed); changed {
						s.TellHost(h, true)
					}
				}
				if note.Poll != nil {
					s.TellPoll(*note.Poll, true)
				}
				if note.Aside != nil {
					s.TellAside(now, *note.Aside, true)
				}
			case 6:
				s.Heard(ip, signals.Status{Member: draw.IntN(3) > 0, Whole: true})
				s.Found(name)
				s.Node.Step(quorum.Event{Now: now, From: ip, Peer: &quorum.Peer{Applied: 1}})
			case 7:
				s.Lost(now, ip, name)
				s.Node.Step(quorum.Event{Now: now, From: ip, Lost: true})
			case 8:
				s.Listed(now, name, []signals.Note{note, drawnNote(draw, now)})
			case 9:
				i := manifest.Item{Kind: manifest.Services, Name: fmt.Sprint("s", draw.IntN(3)), Version: uint64(n + 1), Body: []byte(`{"health-path":"/","name":"s"}`)}
				s.Set.Apply([]manifest.Item{i})
				s.Publish(now, []manifest.Item{i}, draw.IntN(2) == 0)
			case 10:
				s.Forget(now)
			case 11:
				s.Renew()
			default:
				d.Add(s.Tick(now), s.Register.Tick(now, draw.IntN(2) == 0))
			}
			news, ok := s.Ledger.After(seen)
			seen = s.Ledger.Last()
			d.Add(ok, len(news), eachAlone(news), eachAlone(Fit(news, draw.IntN(2) == 0)))
			d.Add(s.Roster(), s.Standing(), s.Status(), s.Counted(), slices.Sorted(slices.Values(s.Members())), s.Fronts, s.Polls, s.Views, s.Asides, s.Register.All(),
				eachAlone(s.Snapshot(now, true)), eachAlone(s.Snapshot(now, false)))
			d.Add(s.Addresses("z0", "r0", map[string]string{"z0": "r0", "z1": "r0"}))
		}
	})
}
