package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
	"portflow/internal/testing/digest"
)

// Which effect follows in the digest.
const (
	traceHandOff = iota
	traceRecall
	traceRevoke
	traceClose
	traceForget
	traceVote
	traceTell
	traceWatch
	traceGive
)

// recorder stands for all that is around a reducer, and records what it is asked for.
type recorder struct {
	effects *digest.Digest
	count   int
	open    []*recorded
}

type recorded struct {
	of     *recorder
	number int
	done   func(Outcome)
}

// recordedAnswers is a command's client.
type recordedAnswers struct {
	of     *recorder
	number int
}

func (s *recorded) Recall() { s.of.effects.Add(traceRecall, s.number) }
func (s *recorded) Revoke() { s.of.effects.Add(traceRevoke, s.number) }

func (f *recorder) HandOff(to Host, r *Request, left time.Duration, done func(Outcome)) HandOff {
	f.count++
	f.effects.Add(traceHandOff, f.count, to, r.Target, int64(left))
	s := &recorded{f, f.count, done}
	f.open = append(f.open, s)
	return s
}
func (f *recorder) Close(address string)  { f.effects.Add(traceClose, address) }
func (f *recorder) Forget(address string) { f.effects.Add(traceForget, address) }
func (f *recorder) Vote(v decision.Verdict, build, stage int) {
	f.effects.Add(traceVote, v, build, stage)
}
func (f *recorder) Tell(peer int, message []byte) { f.effects.Add(traceTell, peer, message) }
func (f *recorder) Watch(on bool)                 { f.effects.Add(traceWatch, on) }

func (a recordedAnswers) Give(x Answer) {
	a.of.effects.Add(traceGive, a.number, x.Kind, x.Body, int64(x.Wait))
}

// drawnHost is one of few names.
func drawnHost(draw *rand.Rand, now int64) Host {
	n := draw.IntN(8)
	return Host{Name: fmt.Sprint("h", n), Address: fmt.Sprintf("h%d:%d", n, draw.IntN(2)), Cell: n % 2,
		Health: decision.Health(draw.IntN(3)), Build: 4 + draw.IntN(2), Size: 1, Started: now - draw.Int64N(4e9), Ring: n % 3}
}

// The effects of a reducer that is stepped by hand through drawn events are what they were. The order of the fields of Host and
// the numbers of constants count; names don't.
func TestTrace(t *testing.T) {
	digest.Pin(t, 25, []string{"c664daf94c73f5b5", "62cd6e7880f351f6", "0a15de61f244dc1b", "f28412759ef51019"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		now := int64(1e18)
		f := &recorder{effects: d}
		r := New(func() int64 { return now }, zerolog.Nop())
		s := start()
		s.Seed, s.Settings.Routers = seed, 3
		r.Begin(s, Out{Hosts: f, Platform: f, Peers: f, List: f})
		var commands []*Command
		for n := range 500 {
			now += draw.Int64N(20e6)
			switch at := draw.IntN(20); {
			case at < 8:
				c := &Command{Key: uint64(draw.IntN(20)), CutOff: now + draw.Int64N(2e9),
					Again: draw.IntN(10) == 0, Request: &Request{Target: fmt.Sprint("/", n)}, Answer: recordedAnswers{f, n}, Most: draw.IntN(4)}
				commands = append(commands, c)
				r.Post(Taken{c})
			case at < 15 && len(f.open) > 0:
				which := draw.IntN(len(f.open))
				s := f.open[which]
				f.open = append(f.open[:which], f.open[which+1:]...)
				o := Outcome{Ending: decision.Fulfilled, Body: []byte("hi"), Report: []float64{draw.Float64(), 1}}
				if draw.IntN(3) == 0 {
					o = Outcome{Ending: decision.Ending(draw.IntN(int(decision.Spoilt) + 1))}
				}
				s.done(o)
			case at < 16 && len(commands) > 0:
				r.Post(Left{commands[draw.IntN(len(commands))]})
			case at < 17:
				r.Post(List{Form: decision.Changes, Hosts: []Host{drawnHost(draw, now), drawnHost(draw, now)}})
			case at < 18:
				r.Post(News{decision.News{Build: 4 + draw.IntN(2), Stage: draw.IntN(3), Standing: decision.Standing(draw.IntN(4)), Cap: draw.Float64()}})
			case at < 19:
				r.Post(Flagged{Host: fmt.Sprint("h", draw.IntN(8)), Age: draw.Int64N(1e9)})
			case draw.IntN(3) == 0:
				r.Post(Number{Rank: draw.IntN(3), Routers: 3})
			default:
				r.Post(Heard{Peer: draw.IntN(3), Message: []byte{byte(draw.IntN(4)), byte(n)}})
			}
			for draw.IntN(3) > 0 && r.Step() {
			}
			d.Add(now, r.Due())
		}
	})
}
