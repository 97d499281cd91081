package retryguard

import (
	"math/rand/v2"
	"testing"

	"portflow/internal/testing/digest"
)

// What a guard lets in, the waits that it tells and what it counts, in drawn traffic with hosts that go and come back, are what
// they were. The order of the fields of Stats and the numbers of signs count; names don't.
func TestTrace(t *testing.T) {
	digest.Pin(t, 25, []string{"9aa8eda84d93ddbe", "4034c0d95d55fb5c", "926a76439b5d793c", "aa6892acdf423db1"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 7))
		w := newWorld(t, testSettings(), seed)
		type open struct {
			try    *Request
			number int
		}
		var all []open
		served := true
		for n := range 3000 {
			w.now += draw.Int64N(second / 50)
			switch at := draw.IntN(20); {
			case at < 10 || len(all) == 0:
				band, key := draw.IntN(2), uint64(draw.IntN(60))
				x := &Request{Class: band, Customer: draw.IntN(3), Fingerprint: FingerprintOf(band, int(key%3), key, ""), Retry: draw.IntN(20) == 0, Remaining: draw.Int64N(5 * second)}
				in, wait := w.Admit(w.now, x)
				if d.Add(in, wait); in {
					w.AttemptStarted(w.now, x, 0)
					all = append(all, open{x, 1})
				}
			case at < 17:
				which := draw.IntN(len(all))
				x := all[which]
				sign := Signal(draw.IntN(5))
				if served {
					sign = Answered
				}
				w.Guard.AttemptEnded(w.now, x.try, uint32(1+draw.IntN(10)), sign, sign == Answered, draw.Int64N(second))
				if sign != Answered && x.number < 3 && draw.IntN(2) == 0 {
					w.AttemptStarted(w.now, x.try, x.number)
					all[which].number++
					break
				}
				if sign != Answered {
					d.Add(w.Rejected(w.now, x.try, draw.Int64N(second)))
				}
				all[which] = all[len(all)-1]
				all = all[:len(all)-1]
			case at < 18:
				w.Abandoned(w.now, all[len(all)-1].try)
				all = all[:len(all)-1]
			case at < 19 && draw.IntN(5) == 0:
				hosts := listHosts(10, w.now-draw.Int64N(6*second))
				for i := range hosts {
					hosts[i].Ready = draw.IntN(3) > 0
				}
				w.HostsChanged(w.now, draw.IntN(2) == 0, hosts[draw.IntN(5):])
			case n%100 == 0:
				served = !served
			}
			if n%50 == 0 {
				d.Add(w.Stats, w.StormActive(0), w.StormActive(1), w.StormActive(2), w.Bytes(), w.capacity.At(w.now), w.capacity.Warm(), w.capacity.Total())
			}
		}
		d.Add(w.Stats)
	})
}
