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

// Tags that precede the recorded effects in the digest.
const (
	traceStartAttempt = iota
	traceCancel
	traceCancelUnsent
	traceCloseIdle
	traceForget
	traceVote
	traceGossip
	traceWatch
	traceRespond
)

// recorder implements all Outputs of a dispatcher and records their calls in a digest.
type recorder struct {
	effects *digest.Digest
	count   int
	open    []*recordedAttempt
}

type recordedAttempt struct {
	recorder *recorder
	number   int
	done     func(Outcome)
}

// recordingResponder records the answer to a request.
type recordingResponder struct {
	recorder *recorder
	number   int
}

func (a *recordedAttempt) Cancel()       { a.recorder.effects.Add(traceCancel, a.number) }
func (a *recordedAttempt) CancelUnsent() { a.recorder.effects.Add(traceCancelUnsent, a.number) }

func (r *recorder) Forward(to Host, request *Request, timeout time.Duration, done func(Outcome)) Attempt {
	r.count++
	r.effects.Add(traceStartAttempt, r.count, to, request.Target, int64(timeout))
	a := &recordedAttempt{r, r.count, done}
	r.open = append(r.open, a)
	return a
}
func (r *recorder) CloseIdle(address string) { r.effects.Add(traceCloseIdle, address) }
func (r *recorder) Forget(address string)    { r.effects.Add(traceForget, address) }
func (r *recorder) Vote(v decision.Verdict, build, stage int) {
	r.effects.Add(traceVote, v, build, stage)
}
func (r *recorder) SendGossip(peer int, message []byte) { r.effects.Add(traceGossip, peer, message) }
func (r *recorder) Watch(on bool)                       { r.effects.Add(traceWatch, on) }

func (a recordingResponder) Respond(answer Answer) {
	a.recorder.effects.Add(traceRespond, a.number, answer.Kind, answer.Body, int64(answer.RetryAfter))
}

// randomHost returns a host with one of eight names.
func randomHost(rng *rand.Rand, now int64) Host {
	n := rng.IntN(8)
	return Host{Name: fmt.Sprint("h", n), Address: fmt.Sprintf("h%d:%d", n, rng.IntN(2)), Cell: n % 2,
		Health: decision.Health(rng.IntN(3)), Build: 4 + rng.IntN(2), Capacity: 1, StartedAt: now - rng.Int64N(4e9), Distance: n % 3}
}

// TestTrace pins the effects of a dispatcher that handles random events. The digest depends on the order of the fields of Host and on
// the values of constants, but not on names.
func TestTrace(t *testing.T) {
	digest.Pin(t, 25, []string{"c664daf94c73f5b5", "62cd6e7880f351f6", "0a15de61f244dc1b", "f28412759ef51019"}, func(seed uint64, d *digest.Digest) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := int64(1e18)
		outputs := &recorder{effects: d}
		dispatcher := New(func() int64 { return now }, zerolog.Nop())
		config := testConfig()
		config.Seed = seed
		config.Settings.Routers = 3
		dispatcher.Start(config, Outputs{Upstream: outputs, Platform: outputs, Peers: outputs, HostWatcher: outputs})
		var calls []*Call
		for n := range 500 {
			now += rng.Int64N(20e6)
			switch event := rng.IntN(20); {
			case event < 8:
				c := &Call{Key: uint64(rng.IntN(20)), Deadline: now + rng.Int64N(2e9),
					Retried: rng.IntN(10) == 0, Request: &Request{Target: fmt.Sprint("/", n)}, Responder: recordingResponder{outputs, n}, MaxAttempts: rng.IntN(4)}
				calls = append(calls, c)
				dispatcher.Post(RequestReceived{c})
			case event < 15 && len(outputs.open) > 0:
				i := rng.IntN(len(outputs.open))
				attempt := outputs.open[i]
				outputs.open = append(outputs.open[:i], outputs.open[i+1:]...)
				o := Outcome{Result: decision.Succeeded, Body: []byte("hi"), LoadReport: []float64{rng.Float64(), 1}}
				if rng.IntN(3) == 0 {
					o = Outcome{Result: decision.Result(rng.IntN(int(decision.InvalidAnswer) + 1))}
				}
				attempt.done(o)
			case event < 16 && len(calls) > 0:
				dispatcher.Post(ClientGone{calls[rng.IntN(len(calls))]})
			case event < 17:
				dispatcher.Post(HostsChanged{Kind: decision.Delta, Hosts: []Host{randomHost(rng, now), randomHost(rng, now)}})
			case event < 18:
				dispatcher.Post(RolloutChanged{decision.Rollout{Build: 4 + rng.IntN(2), Stage: rng.IntN(3), State: decision.RolloutState(rng.IntN(4)), ExposureCap: rng.Float64()}})
			case event < 19:
				dispatcher.Post(AnswerFlagged{Host: fmt.Sprint("h", rng.IntN(8)), Age: rng.Int64N(1e9)})
			case rng.IntN(3) == 0:
				dispatcher.Post(RankChanged{Rank: rng.IntN(3), Routers: 3})
			default:
				dispatcher.Post(GossipReceived{Peer: rng.IntN(3), Message: []byte{byte(rng.IntN(4)), byte(n)}})
			}
			for rng.IntN(3) > 0 {
				if !dispatcher.Step() {
					break
				}
			}
			d.Add(now, dispatcher.NextTimer())
		}
	})
}
