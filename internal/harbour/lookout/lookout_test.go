package lookout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/parts/faded"
)

// play has routers send requests to hosts of one zone for a while. how tells what a host does with a request that is sent at
// a time: how long it takes, and whether it fails; a time under 0 is never. Hosts that are set aside get nothing, those on
// their way back one at a time from each router. It tells when each host was set aside, and how many requests went bad.
func play(routers, hosts int, perSecond float64, lasts int64, how func(draw *rand.Rand, host int, now int64) (took int64, fails bool)) (asides map[int][]int64, bad int, most int) {
	draw := rand.New(rand.NewPCG(7, 7))
	logs, w := make([]*Log, routers), NewWatch()
	var all []Candidate
	for h := range hosts {
		all = append(all, Candidate{fmt.Sprint("h", h), "desk"})
	}
	for r := range logs {
		logs[r] = NewLog()
	}
	type request struct {
		router, host   int
		at, ends, gone int64
		o              Outcome
	}
	var out []request
	busy := map[[2]int]int{}
	judged := map[int]Judgement{}
	asides = map[int][]int64{}
	for now := int64(0); now < lasts; now += second / 100 {
		rest := out[:0]
		for _, q := range out {
			if q.ends <= now || q.gone <= now {
				o := q.o
				if q.ends > now { // its time is over
					o = Bad
				}
				if o == Bad {
					bad++
				}
				logs[q.router].Ended(now, fmt.Sprint("h", q.host), q.at, o)
				busy[[2]int{q.router, q.host}]--
				continue
			}
			rest = append(rest, q)
		}
		out = rest
		for r := range logs {
			if draw.Float64() > perSecond/100 {
				continue
			}
			h := draw.IntN(hosts)
			for j, there := judged[h]; there && (now < j.Aside || now < j.Back && busy[[2]int{r, h}] > 0); j, there = judged[h] {
				h = draw.IntN(hosts)
			}
			took, fails := how(draw, h, now)
			q := request{r, h, now, now + took, now + 5*second, Good}
			if fails {
				q.o = Bad
			}
			if took < 0 {
				q.ends = 1 << 62
			}
			logs[r].Sent(now, fmt.Sprint("h", h))
			busy[[2]int{r, h}]++
			out = append(out, q)
		}
		if now%LookEvery == 0 {
			for r, l := range logs {
				if counts := l.Look(now); counts != nil {
					w.Told(now, fmt.Sprint(r), "desk", counts)
				}
			}
			for _, j := range w.Judge(now, all) {
				h := 0
				fmt.Sscanf(j.ID, "h%d", &h)
				judged[h] = j
				asides[h] = append(asides[h], now)
			}
			n := 0
			for _, j := range judged {
				if now < j.Back {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return asides, bad, most
}

func usual(draw *rand.Rand) int64 { return second/10 + int64(draw.ExpFloat64()*float64(second)/10) }

// Of fifty hosts six hang, fail or slow a part of what they are sent: they are found within seconds and come back after that,
// and no other is taken for one; where all are alike, whatever they do, none is.
func TestGreyHosts(t *testing.T) {
	ill := func(h int, now int64) bool { return h < 6 && now > 5*second && now < 15*second }
	for name, x := range map[string]struct {
		how   func(draw *rand.Rand, h int, now int64) (int64, bool)
		found int // of the six
		false int // at most
	}{
		"hang": {func(d *rand.Rand, h int, now int64) (int64, bool) {
			if ill(h, now) && d.Float64() < 0.44 {
				return -1, false
			}
			return usual(d), d.Float64() < 0.002
		}, 6, 0},
		"fail": {func(d *rand.Rand, h int, now int64) (int64, bool) {
			return usual(d), d.Float64() < 0.002 || ill(h, now) && d.Float64() < 0.5
		}, 6, 0},
		"slow": {func(d *rand.Rand, h int, now int64) (int64, bool) {
			if ill(h, now) {
				return usual(d) * 13 / 2, false
			}
			return usual(d), false
		}, 6, 1},
		"well": {func(d *rand.Rand, h int, now int64) (int64, bool) { return usual(d), d.Float64() < 0.01 }, 0, 0},
		"all fail alike": {func(d *rand.Rand, h int, now int64) (int64, bool) {
			return usual(d), now > 5*second && d.Float64() < 0.5
		}, 0, 4},
		"all turn slow": {func(d *rand.Rand, h int, now int64) (int64, bool) {
			if now > 5*second {
				return usual(d) * 8, false
			}
			return usual(d), false
		}, 0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			asides, bad, most := play(15, 50, 22, 30*second, x.how)
			found, wrong, last := 0, 0, int64(0)
			for h, at := range asides {
				if h < 6 && x.found > 0 {
					found++
					last = max(last, at[0]-5*second)
				} else {
					wrong++
				}
			}
			t.Logf("found %d, the last after %.1f s; %d taken for ill; %d bad; %d aside at once", found, float64(last)/1e9, wrong, bad, most)
			c.Check(found, qt.Equals, x.found)
			c.Check(wrong <= x.false, qt.IsTrue)
			c.Check(most <= Most(50), qt.IsTrue)
			c.Check(last < 5*second, qt.IsTrue)
		})
	}
}

// However many hosts are ill, at most a fifth is set aside at once; one that stays ill is aside for longer each time.
func TestBoundAndWayBack(t *testing.T) {
	c := qt.New(t)
	asides, _, most := play(15, 50, 22, 60*second, func(d *rand.Rand, h int, now int64) (int64, bool) {
		return usual(d), h < 25 && d.Float64() < 0.9
	})
	c.Check(most, qt.Equals, 10)
	c.Check(len(asides) >= 10, qt.IsTrue)
	one, _, _ := play(15, 50, 22, 60*second, func(d *rand.Rand, h int, now int64) (int64, bool) { return usual(d), h == 0 && d.Float64() < 0.9 })
	at := one[0]
	c.Assert(len(at) >= 3, qt.IsTrue)
	for i := 2; i < len(at); i++ {
		c.Check(at[i]-at[i-1] > at[i-1]-at[i-2], qt.IsTrue, qt.Commentf("%v", at))
	}
	for hosts, want := range map[int]int{0: 0, 1: 0, 2: 0, 3: 1, 9: 1, 10: 2, 50: 10} {
		c.Check(Most(hosts), qt.Equals, want)
	}
	w := NewWatch()
	w.Told(1, "r", "desk", []Count{{"h0", 1, 9}, {"h0", -1, -1}, {"h0", 9, 9}, {"", 9, 9}}) // impossible ones count for nothing
	c.Check(w.Judge(2, []Candidate{{"h0", "desk"}, {"h1", "desk"}, {"h2", "desk"}}), qt.HasLen, 1)
	c.Check(w.Judge(2+2*stale, []Candidate{{"h0", "desk"}}), qt.HasLen, 0)
	c.Check(w.Idle(), qt.IsTrue)
}

// A host that comes back isn't judged by what its routers saw before it was set aside, nor by what they learned meanwhile
// of requests that it had been sent before; two bad outcomes after that are enough.
func TestReturnIsJudgedAnew(t *testing.T) {
	c := qt.New(t)
	w := NewWatch()
	hosts := []Candidate{{"h0", "desk"}, {"h1", "desk"}, {"h2", "desk"}}
	routers := []string{"r0", "r1"}
	seen := map[string]*faded.Sum{"r0": {}, "r1": {}} // of h0
	news := 0
	tell := func(now int64) (judged []Judgement) {
		for _, r := range routers {
			seen[r].Fade(now, memory)
			if seen[r].Of >= 0.3 {
				w.Told(now, r, "desk", []Count{{"h0", round(seen[r].N), round(seen[r].Of)}, {"", 60 + round(seen[r].N), round(seen[r].Of)}})
			} else {
				w.Told(now, r, "desk", nil)
			}
		}
		judged = w.Judge(now, hosts)
		news += len(judged)
		return judged
	}
	for range 8 {
		seen["r0"].Add(0, memory, 1)
		seen["r1"].Add(0, memory, 1)
	}
	first := tell(1)
	c.Assert(first, qt.HasLen, 1)
	for now := 1 + LookEvery; now < first[0].Back+aside; now += LookEvery {
		if now > 3*second && now <= 3*second+LookEvery { // overdue, though sent before
			for range 4 {
				seen["r0"].Add(now, memory, 1)
			}
		}
		c.Check(tell(now), qt.HasLen, 0, qt.Commentf("at %.1f s, set aside until %.1f s", float64(now)/1e9, float64(first[0].Aside)/1e9))
	}
	c.Check(news, qt.Equals, 1)

	w, news = NewWatch(), 0
	seen["r0"], seen["r1"] = &faded.Sum{}, &faded.Sum{}
	for range 8 {
		seen["r0"].Add(0, memory, 1)
	}
	first = tell(1)
	c.Assert(first, qt.HasLen, 1)
	for now := 1 + LookEvery; now < first[0].Aside; now += LookEvery {
		c.Check(tell(now), qt.HasLen, 0)
	}
	now := first[0].Aside + LookEvery
	seen["r0"].Add(now, memory, 1)
	c.Check(tell(now), qt.HasLen, 0)
	seen["r1"].Add(now, memory, 1)
	seen["r1"].Add(now, memory, 1)
	again := tell(now + 1)
	c.Assert(again, qt.HasLen, 1)
	c.Check(again[0].Times, qt.Equals, 2)
}
