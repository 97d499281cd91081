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

func (s *recorded) Cancel()       { s.of.effects.Add(traceRecall, s.number) }
func (s *recorded) CancelUnsent() { s.of.effects.Add(traceRevoke, s.number) }

func (f *recorder) Forward(to Host, r *Request, left time.Duration, done func(Outcome)) Attempt {
	f.count++
	f.effects.Add(traceHandOff, f.count, to, r.Target, int64(left))
	s := &recorded{f, f.count, done}
	f.open = append(f.open, s)
	return s
}
func (f *recorder) CloseIdle(address string) { f.effects.Add(traceClose, address) }
func (f *recorder) Forget(address string)    { f.effects.Add(traceForget, address) }
func (f *recorder) Vote(v decision.Verdict, build, stage int) {
	f.effects.Add(traceVote, v, build, stage)
}
func (f *recorder) SendGossip(peer int, message []byte) { f.effects.Add(traceTell, peer, message) }
func (f *recorder) Watch(on bool)                       { f.effects.Add(traceWatch, on) }

func (a recordedAnswers) Respond(x Answer) {
	a.of.effects.Add(traceGive, a.number, x.Kind, x.Body, int64(x.RetryAfter))
}

// drawnHost is one of few names.
func drawnHost(draw *rand.Rand, now int64) Host {
	n := draw.IntN(8)
	return Host{Name: fmt.Sprint("h", n), Address: fmt.Sprintf("h%d:%d", n, draw.IntN(2)), Cell: n % 2,
		Health: decision.Health(draw.IntN(3)), Build: 4 + draw.IntN(2), Capacity: 1, StartedAt: now - draw.Int64N(4e9), Distance: n % 3}
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
		r.Start(s, Outputs{Upstream: f, Platform: f, Peers: f, HostWatcher: f})
		var commands []*Call
		for n := range 500 {
			now += draw.Int64N(20e6)
			switch at := draw.IntN(20); {
			case at < 8:
				c := &Call{Key: uint64(draw.IntN(20)), Deadline: now + draw.Int64N(2e9),
					Retried: draw.IntN(10) == 0, Request: &Request{Target: fmt.Sprint("/", n)}, Responder: recordedAnswers{f, n}, MaxAttempts: draw.IntN(4)}
				commands = append(commands, c)
				r.Post(RequestReceived{c})
			case at < 15 && len(f.open) > 0:
				which := draw.IntN(len(f.open))
				s := f.open[which]
				f.open = append(f.open[:which], f.open[which+1:]...)
				o := Outcome{Result: decision.Succeeded, Body: []byte("hi"), LoadReport: []float64{draw.Float64(), 1}}
				if draw.IntN(3) == 0 {
					o = Outcome{Result: decision.Result(draw.IntN(int(decision.InvalidAnswer) + 1))}
				}
				s.done(o)
			case at < 16 && len(commands) > 0:
				r.Post(ClientGone{commands[draw.IntN(len(commands))]})
			case at < 17:
				r.Post(HostsChanged{Kind: decision.Delta, Hosts: []Host{drawnHost(draw, now), drawnHost(draw, now)}})
			case at < 18:
				r.Post(RolloutChanged{decision.Rollout{Build: 4 + draw.IntN(2), Stage: draw.IntN(3), State: decision.RolloutState(draw.IntN(4)), ExposureCap: draw.Float64()}})
			case at < 19:
				r.Post(AnswerFlagged{Host: fmt.Sprint("h", draw.IntN(8)), Age: draw.Int64N(1e9)})
			case draw.IntN(3) == 0:
				r.Post(RankChanged{Rank: draw.IntN(3), Routers: 3})
			default:
				r.Post(GossipReceived{Peer: draw.IntN(3), Message: []byte{byte(draw.IntN(4)), byte(n)}})
			}
			for draw.IntN(3) > 0 && r.Step() {
			}
			d.Add(now, r.NextTimer())
		}
	})
}
