package retryguard

import (
	"math/rand/v2"
	"testing"

	"portflow/internal/testing/digest"
)

// Guards against unintended changes of admission, waits or Stats, by digests of random traffic with hosts that go down and return.
// The digests depend on the order of the fields of Stats and on the values of constants, but not on names.
func TestTrace(t *testing.T) {
	digest.Pin(t, 25, []string{"9aa8eda84d93ddbe", "4034c0d95d55fb5c", "926a76439b5d793c", "aa6892acdf423db1"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 7))
		w := newWorkload(t, testSettings(), seed)
		type openRequest struct {
			*Request
			attempts int
		}
		var open []openRequest
		hostsAnswer := true
		for n := range 3000 {
			w.now += draw.Int64N(second / 50)
			switch at := draw.IntN(20); {
			case at < 10 || len(open) == 0:
				class, key := draw.IntN(2), uint64(draw.IntN(60))
				req := &Request{
					Class:       class,
					Customer:    draw.IntN(3),
					Fingerprint: FingerprintOf(class, int(key%3), key, ""),
					Retry:       draw.IntN(20) == 0,
					Remaining:   draw.Int64N(5 * second),
				}
				admitted, wait := w.Admit(w.now, req)
				d.Add(admitted, wait)
				if admitted {
					w.AttemptStarted(w.now, req, 0)
					open = append(open, openRequest{req, 1})
				}
			case at < 17:
				which := draw.IntN(len(open))
				req := open[which]
				signal := Signal(draw.IntN(5))
				if hostsAnswer {
					signal = Answered
				}
				w.AttemptEnded(w.now, req.Request, uint32(1+draw.IntN(10)), signal, signal == Answered, draw.Int64N(second))
				if signal != Answered && req.attempts < 3 && draw.IntN(2) == 0 {
					w.AttemptStarted(w.now, req.Request, req.attempts)
					open[which].attempts++
					break
				}
				if signal != Answered {
					d.Add(w.Rejected(w.now, req.Request, draw.Int64N(second)))
				}
				open[which] = open[len(open)-1]
				open = open[:len(open)-1]
			case at < 18:
				w.Abandoned(w.now, open[len(open)-1].Request)
				open = open[:len(open)-1]
			case at < 19 && draw.IntN(5) == 0:
				hosts := newHosts(10, w.now-draw.Int64N(6*second))
				for i := range hosts {
					hosts[i].Ready = draw.IntN(3) > 0
				}
				w.HostsChanged(w.now, draw.IntN(2) == 0, hosts[draw.IntN(5):])
			case n%100 == 0:
				hostsAnswer = !hostsAnswer
			}
			if n%50 == 0 {
				d.Add(w.Stats, w.StormActive(0), w.StormActive(1), w.StormActive(2), w.Bytes(), w.capacity.At(w.now), w.capacity.Warm(), w.capacity.Total())
			}
		}
		d.Add(w.Stats)
	})
}
