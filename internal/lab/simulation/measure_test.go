package simulation

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/stream"
)

// The measurements of control: its write path, its members and how one that is behind catches up. They go by what can be
// seen from outside alone (calls, syncs of disks, bytes and frames on lines), so that this file also measures versions of
// another making. Times are virtual: they are exact for the emulator's delays, and a busy machine changes none of them.
//
//	go test ./internal/lab/simulation -run 'TestMeasure' -v -timeout 60m -args -measure
//	go test ./internal/lab/simulation -run 'TestMeasure/day' -v -timeout 120m -args -measure -day
var (
	measure = flag.Bool("measure", false, "measure control, and write the figures as rows of tables")
	longDay = flag.Bool("day", false, "of the measurements also the day of 1,100 changes and 330 restarts")
	dayTook = flag.Duration("lasts", 24*time.Hour, "of that day, virtual")
)

// bench is a harbour that is measured: in each zone an operator 0.1 ms from its control process.
type bench struct {
	c       *qt.C
	h       *Harbour
	clients []*http.Client
	draw    *rand.Rand
	mu      sync.Mutex
	turns   map[string]int // by route: its version
	all     sync.WaitGroup
	each    sync.WaitGroup // calls of streams
}

func sized(zones, routers, hosts int, seed uint64) Layout {
	return Layout{Zones: zones, Routers: routers, Hosts: hosts, Services: []string{"desk"}, Work: 80 * time.Millisecond, Slots: 3, Rate: 4, Seed: seed}
}

// measured runs one measurement on a harbour that has been up for 12 s.
func measured(t *testing.T, l Layout, f func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := opening(c, opened(c, l))
		time.Sleep(10 * time.Second)
		f(b)
		b.close()
	})
}

func opening(c *qt.C, h *Harbour) *bench {
	b := &bench{c: c, h: h, draw: rand.New(rand.NewPCG(h.Seed, 8)), turns: map[string]int{}}
	for z := range h.Zones {
		p := h.Sea.Process(fmt.Sprintf("10.%d.210.1", z+1))
		b.clients = append(b.clients, &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: p.Dial,
			DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}})
	}
	return b
}

// close waits for what is under way.
func (b *bench) close() {
	b.all.Wait()
	b.each.Wait()
	for _, x := range b.clients {
		x.CloseIdleConnections()
	}
}

func (b *bench) float() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draw.Float64()
}

// rest waits for so long, give or take a half, so that nothing falls in step.
func (b *bench) rest(d time.Duration) { time.Sleep(time.Duration(float64(d) * (0.5 + b.float()))) }

// once is one call by the operator of a zone to a control process; the status is 0 where no answer came within a second.
func (b *bench) once(from, at int, call, of string, body []byte) (status int, answer []byte) {
	status, answer, err := post(context.Background(), b.clients[from], b.h.Masters[at].Boot.ListenAddresses["control"], call, of, body)
	if err != nil {
		return 0, nil
	}
	return status, answer
}

// outcome is how a call ended that was sent again until it had a clear answer.
type outcome struct {
	sent   time.Time
	took   time.Duration
	tries  int
	status int
}

// insist sends a call to the operator's own control process and then to each in turn, 50 ms after an answer that isn't clear.
func (b *bench) insist(from int, call, of string, body []byte) outcome {
	o := outcome{sent: time.Now()}
	for at := from; time.Since(o.sent) < 30*time.Second; at = (at + 1) % len(b.h.Masters) {
		o.tries++
		if o.status, _ = b.once(from, at, call, of, body); o.status == 200 || o.status == 400 || o.status == 404 || o.status == 409 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	o.took = time.Since(o.sent)
	return o
}

// next is a change of one route to its next version.
func (b *bench) next(route string) []byte {
	b.mu.Lock()
	b.turns[route]++
	n := b.turns[route]
	b.mu.Unlock()
	return b.h.Configure(false, Route{Name: route, Prefix: fmt.Sprintf("/%s/%d/", route, n), Service: "desk", Version: fmt.Sprintf("%08x", n)})
}

// load has the harbour take so many routes.
func (b *bench) load(n int) {
	var part []Route
	for i := range n {
		b.turns[fmt.Sprintf("load-%05d", i)] = 1
		part = append(part, Route{Name: fmt.Sprintf("load-%05d", i), Prefix: fmt.Sprintf("/load/%05d/", i), Service: "desk", Version: "00000001"})
		if len(part) == 400 || i == n-1 {
			b.must(b.h.Configure(false, part...))
			part = nil
		}
	}
}

func (b *bench) must(change []byte) {
	o := b.insist(0, "configuration.modify", "", change)
	b.c.Assert(o.status, qt.Equals, 200, qt.Commentf("%+v of %.300s", o, change))
}

// orders sends so many changes one after another from a zone, each resting for about so long before.
func (b *bench) orders(from, n int, rest time.Duration) (all []outcome) {
	for range n {
		b.rest(rest)
		all = append(all, b.insist(from, "configuration.modify", "", b.next(fmt.Sprintf("one-%d", from))))
	}
	return all
}

// stream sends changes at a rate, each from a zone of those given, without waiting for their ends; wait gives them.
func (b *bench) stream(perS float64, lasts time.Duration, zones ...int) (wait func() []outcome) {
	var mu sync.Mutex
	var all []outcome
	b.all.Go(func() {
		gap := time.Duration(float64(time.Second) / perS)
		for n, until := 0, time.Now().Add(lasts); time.Now().Before(until); n++ {
			change, z := b.next(fmt.Sprintf("stream-%d", n%97)), zones[n%len(zones)]
			b.each.Go(func() {
				o := b.insist(z, "configuration.modify", "", change)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, o)
			})
			b.rest(gap)
		}
	})
	return func() []outcome {
		b.all.Wait()
		b.each.Wait()
		return all
	}
}

// row is one row of a table of latencies: how many, p50, p99, worst, and how many needed more than one try.
func row(name string, all []outcome) string {
	var took []time.Duration
	again, bad := 0, 0
	for _, o := range all {
		took = append(took, o.took)
		if o.tries > 1 {
			again++
		}
		if o.status != 200 {
			bad++
		}
	}
	return fmt.Sprintf("| %s | %d | %s | %d | %d |", name, len(all), spread(took), again, bad)
}

func spread(took []time.Duration) string {
	if len(took) == 0 {
		return "- | - | -"
	}
	slices.Sort(took)
	return fmt.Sprintf("%s | %s | %s", ms(took[(len(took)-1)/2]), ms(took[(len(took)-1)*99/100]), ms(took[len(took)-1]))
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/1e6) }

// spent is what control spent: frames on lines, syncs, bytes between regions.
type spent struct {
	said, syncs, across float64
	at                  time.Time
}

func (b *bench) spent() spent {
	s := spent{said: float64(stream.FramesWritten.Load()), at: time.Now()}
	for _, m := range b.h.Masters {
		m.Disk.mu.Lock()
		s.syncs += float64(m.Disk.Syncs)
		m.Disk.mu.Unlock()
	}
	regions, _ := b.h.Sea.across()
	s.across = float64(regions)
	return s
}

// cost is what each of n orders cost from one time to the next, less what a calm stretch of the same length does. calm is
// per second.
func (a spent) cost(z, calm spent, n int) spent {
	s, k := z.at.Sub(a.at).Seconds(), float64(n)
	return spent{said: (z.said - a.said - calm.said*s) / k, syncs: (z.syncs - a.syncs - calm.syncs*s) / k, across: (z.across - a.across - calm.across*s) / k}
}

// idle is what control spends a second on nothing.
func (b *bench) idle() spent {
	a := b.spent()
	time.Sleep(20 * time.Second)
	return a.cost(b.spent(), spent{}, 20)
}

// seen is what a control process tells of the core; a version that knows no epochs tells who is heard.
type seen struct {
	Standing string `json:"standing"`
	Core     []struct {
		IP     string `json:"ip"`
		Heard  bool   `json:"heard"`
		Whole  bool   `json:"whole"`
		Same   bool   `json:"same"`
		Member *bool  `json:"member"`
	} `json:"core"`
	Bears *int `json:"bears"`
	Items int  `json:"items"`
}

func (b *bench) seen(at int) (s seen) {
	_, raw := b.once(at, at, "harbour.read", "", nil)
	json.Unmarshal(raw, &s)
	return s
}

// bears is how many more losses the core would bear, as a process tells; where it doesn't tell, by who is heard and whole.
func (s seen) bears(size int) int {
	if s.Bears != nil {
		return *s.Bears
	}
	up := 1
	for _, x := range s.Core {
		if x.Heard && x.Whole {
			up++
		}
	}
	return min(up, size) - (size/2 + 1)
}

func (b *bench) power(at int, off bool) {
	m := b.h.Masters[at]
	if off {
		b.h.Sea.Down(m.Boot.IP, true)
		m.Kill()
		m.Disk.PowerLoss(false)
		return
	}
	b.h.Sea.Down(m.Boot.IP, false)
	m.mustStart()
}

// off has control processes cut off from all others, or joined; their clients reach them all the same.
func (b *bench) off(cut bool, at ...int) {
	for i, m := range b.h.Masters {
		for _, x := range at {
			if !slices.Contains(at, i) {
				b.h.Sea.Cut(m.Boot.IP, b.h.Masters[x].Boot.IP, cut)
			}
		}
	}
}

// whole waits until a process stands in touch, and tells how long that took.
func (b *bench) whole(at int, limit time.Duration) time.Duration {
	began := time.Now()
	for b.h.Masters[at].Standing() != "in touch" && time.Since(began) < limit {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// TestMeasure measures with -measure; without it, it holds what an order costs at six members to counts just above those that
// were measured.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Run("guard", guard)
		return
	}
	for _, x := range []struct {
		name string
		f    func(*testing.T)
	}{{"ack", measureAck}, {"cost", measureCost}, {"reads", measureReads}, {"races", measureRaces}, {"start", measureStart}, {"loss", measureLoss},
		{"cutoff", measureCutOff}, {"join", measureJoin}, {"behind", measureBehind}, {"restart", measureRestart}, {"size", measureSize}, {"day", measureDay}} {
		t.Run(x.name, x.f)
	}
}

// The bounds are some 10% above what was measured; see docs/hardening/measured.md.
const (
	mostSaid   = 48.0
	mostSyncs  = 6.2
	mostAcross = 4700.0
)

func guard(t *testing.T) {
	measured(t, sized(6, 0, 0, 1), func(b *bench) {
		calm := b.idle()
		for _, at := range []int{0, 5} {
			a := b.spent()
			all := b.orders(at, 40, 200*time.Millisecond)
			x := a.cost(b.spent(), calm, len(all))
			b.c.Logf("at %d: %.1f frames, %.1f syncs, %.0f bytes between regions an order", at, x.said, x.syncs, x.across)
			b.c.Check(x.said <= mostSaid, qt.IsTrue, qt.Commentf("%.1f frames an order", x.said))
			b.c.Check(x.syncs <= mostSyncs, qt.IsTrue, qt.Commentf("%.1f syncs an order", x.syncs))
			b.c.Check(x.across <= mostAcross, qt.IsTrue, qt.Commentf("%.0f bytes an order", x.across))
			for _, o := range all {
				b.c.Check(o.status == 200 && o.tries == 1 && o.took < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%+v", o))
			}
		}
	})
}

// refuse has a disk refuse, and slow has it take so long for a sync.
func (b *bench) disk(at int, delay time.Duration, refuses bool) {
	b.h.Masters[at].Disk.set(delay, refuses)
}

func measureAck(t *testing.T) {
	t.Log("| acknowledgement | orders | p50 ms | p99 ms | worst ms | sent again | not confirmed |")
	const n = 300
	zones := []int{0, 1, 2, 3, 4, 5}
	for _, x := range []struct {
		name string
		do   func(b *bench)
		at   []int // where orders come
	}{
		{"calm", func(b *bench) {}, []int{0, 1, 5}},
		{"one down for 5 s", func(b *bench) { b.power(1, true); time.Sleep(5 * time.Second) }, []int{0, 5}},
		{"the proposer down for 5 s", func(b *bench) { b.power(0, true); time.Sleep(5 * time.Second) }, []int{1, 5}},
		{"a region gone for 5 s (not the proposer's)", func(b *bench) { b.power(4, true); b.power(5, true); time.Sleep(5 * time.Second) }, []int{0, 2}},
		{"the proposer's region gone for 5 s", func(b *bench) { b.power(0, true); b.power(1, true); time.Sleep(5 * time.Second) }, []int{2, 4}},
		{"slow disk (125 ms) at the proposer", func(b *bench) { b.disk(0, 125*time.Millisecond, false) }, []int{0, 5}},
		{"slow disk (125 ms) at another", func(b *bench) { b.disk(3, 125*time.Millisecond, false) }, []int{0, 3, 5}},
		{"refusing disk at the proposer", func(b *bench) { b.disk(0, 5*time.Millisecond, true) }, []int{0, 5}},
		{"refusing disk at another", func(b *bench) { b.disk(3, 5*time.Millisecond, true) }, []int{0, 3, 5}},
	} {
		for _, at := range x.at {
			measured(t, sized(6, 0, 0, 1), func(b *bench) {
				x.do(b)
				t.Log(row(fmt.Sprintf("%s; at process %d", x.name, at), b.orders(at, n, 100*time.Millisecond)))
			})
		}
	}
	// just gone: the first two seconds after a loss, over many losses
	for _, x := range []struct {
		name  string
		lost  []int
		zones []int
	}{{"one just gone (power)", []int{1}, []int{0, 2, 3, 4, 5}}, {"the proposer just gone (power)", []int{0}, zones[1:]},
		{"a region just gone (not the proposer's)", []int{4, 5}, zones[:4]}, {"the proposer's region just gone", []int{0, 1}, zones[2:]}} {
		measured(t, sized(6, 0, 0, 1), func(b *bench) {
			var all []outcome
			for range 15 {
				for _, i := range x.lost {
					b.power(i, true)
				}
				all = append(all, b.stream(10, 2*time.Second, x.zones...)()...)
				time.Sleep(4 * time.Second)
				for _, i := range x.lost {
					b.power(i, false)
				}
				time.Sleep(8 * time.Second)
				b.rest(time.Second)
			}
			t.Log(row(x.name, all))
		})
	}
	measured(t, sized(6, 0, 0, 1), func(b *bench) {
		var all []outcome
		var mu sync.Mutex
		var each sync.WaitGroup
		for w := range 8 {
			each.Go(func() {
				for range 60 {
					o := b.insist(w%6, "configuration.modify", "", b.next(fmt.Sprintf("worker-%d", w)))
					mu.Lock()
					all = append(all, o)
					mu.Unlock()
				}
			})
		}
		each.Wait()
		t.Log(row("eight under way at once, at all processes", all))
	})
	for _, perS := range []float64{40, 100} {
		measured(t, sized(6, 0, 0, 1), func(b *bench) {
			t.Log(row(fmt.Sprintf("%.0f a second for 30 s, at all processes", perS), b.stream(perS, 30*time.Second, zones...)()))
		})
	}
}

func measureCost(t *testing.T) {
	t.Log("| six members, no routers | frames on lines | syncs | bytes between regions |")
	measured(t, sized(6, 0, 0, 1), func(b *bench) {
		calm := b.idle()
		t.Logf("| a calm second | %.1f | %.2f | %.0f |", calm.said, calm.syncs, calm.across)
		say := func(name string, n int, a spent) {
			x := a.cost(b.spent(), calm, n)
			t.Logf("| %s | %.1f | %.2f | %.0f |", name, x.said, x.syncs, x.across)
		}
		for _, at := range []int{0, 1, 5} {
			a := b.spent()
			all := b.orders(at, 200, 200*time.Millisecond)
			say(fmt.Sprintf("an order at process %d", at), len(all), a)
		}
		a := b.spent()
		all := b.stream(40, 30*time.Second, 0, 1, 2, 3, 4, 5)()
		say("an order of 40 a second", len(all), a)
		for _, at := range []int{0, 5} {
			a = b.spent()
			for range 200 {
				b.rest(100 * time.Millisecond)
				b.once(at, at, "configuration.read", "", nil)
			}
			say(fmt.Sprintf("a read at process %d", at), 200, a)
		}
	})
}

func measureReads(t *testing.T) {
	t.Log("| reads | calls | p50 ms | p99 ms | worst ms | sent again | not 200 |")
	for _, x := range []struct {
		name string
		do   func(b *bench)
		at   []int
	}{
		{"calm", func(b *bench) {}, []int{0, 5}},
		{"40 changes a second", func(b *bench) { b.stream(40, 120*time.Second, 0, 1, 2, 3, 4, 5) }, []int{0, 5}},
		{"a region gone for 5 s (not the proposer's)", func(b *bench) { b.power(4, true); b.power(5, true); time.Sleep(5 * time.Second) }, []int{0, 2}},
		{"the proposer's region gone for 5 s", func(b *bench) { b.power(0, true); b.power(1, true); time.Sleep(5 * time.Second) }, []int{2, 4}},
	} {
		for _, at := range x.at {
			measured(t, sized(6, 0, 0, 1), func(b *bench) {
				o := b.insist(0, "rollouts.begin", "", []byte(`{"service":"desk","target-version":"v2","duration-s":80000}`))
				b.c.Assert(o.status, qt.Equals, 200)
				x.do(b)
				for _, call := range []string{"configuration.read", "rollouts.read"} {
					var all []outcome
					for range 300 {
						b.rest(100 * time.Millisecond)
						all = append(all, b.insist(at, call, "desk", nil))
					}
					t.Log(row(fmt.Sprintf("%s; %s; at process %d", call, x.name, at), all))
				}
			})
		}
	}
	measured(t, sized(6, 0, 0, 1), func(b *bench) {
		var all []outcome
		for range 15 {
			b.power(4, true)
			b.power(5, true)
			for range 20 {
				b.rest(50 * time.Millisecond)
				all = append(all, b.insist(len(all)%4, "configuration.read", "", nil))
			}
			time.Sleep(4 * time.Second)
			b.power(4, false)
			b.power(5, false)
			time.Sleep(8 * time.Second)
		}
		t.Log(row("configuration.read; a region just gone", all))
	})
}

// measureRaces has two operators send two contents of one number at two processes.
func measureRaces(t *testing.T) {
	measured(t, sized(6, 0, 0, 1), func(b *bench) {
		ends := map[string]int{}
		clear := map[string]int{}
		for n := range 1000 {
			one, two := n%6, (n+1+n/6%5)%6
			send := func(at int, prefix string) (int, outcome) {
				x := b.h.Configure(false, Route{Name: fmt.Sprintf("race-%d", n%50), Prefix: fmt.Sprintf("/%s/%d/", prefix, n), Service: "desk", Version: fmt.Sprintf("%08x", n/50+1)})
				status, _ := b.once(at, at, "configuration.modify", "", x)
				if status == 200 || status == 409 {
					return status, outcome{status: status}
				}
				return status, b.insist(at, "configuration.modify", "", x)
			}
			var first, second int
			var a, z outcome
			var each sync.WaitGroup
			each.Go(func() { first, a = send(one, "left") })
			apart := time.Duration(b.float() * float64(100*time.Millisecond))
			each.Go(func() { time.Sleep(apart); second, z = send(two, "right") })
			each.Wait()
			x := []int{first, second}
			slices.Sort(x)
			ends[fmt.Sprint(x)]++
			x = []int{a.status, z.status}
			slices.Sort(x)
			clear[fmt.Sprint(x)]++
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("| 1,000 pairs of rivals, 0 to 100 ms apart | first answers %v | once sent until clear %v |", ends, clear)
	})
}

// measureStart is how long a first start takes: until orders are taken, and until all are members.
func measureStart(t *testing.T) {
	var taken, members []time.Duration
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			h := New(sized(6, 0, 0, seed+1))
			defer h.Stop()
			b := opening(c, h)
			for _, i := range b.draw.Perm(6) { // in any order, within 0.3 s
				c.Assert(h.Masters[i].Start(), qt.IsNil)
				b.rest(50 * time.Millisecond)
			}
			began := time.Now()
			b.all.Go(func() {
				o := b.insist(0, "configuration.modify", "", h.Configure(true, look, issue))
				taken = append(taken, o.took)
			})
			for time.Since(began) < 60*time.Second {
				if s := b.seen(0); s.Standing == "in touch" && len(s.Core) >= 5 && s.bears(6) >= 2 {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			members = append(members, time.Since(began))
			b.close()
		})
	}
	t.Log("| after the last of a first start in any order, 20 seeds | p50 ms | p99 ms | worst ms |")
	t.Logf("| until the first order is confirmed | %s |", spread(taken))
	t.Logf("| until all six are counted | %s |", spread(members))
}

// measureLoss is what orders feel of a loss or of a change of members, and how long the core bears one loss fewer. Orders
// come at 20 a second from 1 s before to 11 s after, at the processes that are left.
func measureLoss(t *testing.T) {
	t.Log("| event, 10 seeds each | orders after it | p50 ms | p99 ms | worst ms | sent again | not confirmed | longest without a confirmation ms (p50, p99, worst) | until the next loss is borne again s (p50, worst) | when that longest, and the worst order, began, s after the event |")
	type parts struct {
		name  string
		do    func(b *bench) // the loss
		after time.Duration
		back  func(b *bench) // what is done against it
		lost  int
	}
	freeze := func(b *bench, at int, on bool) bool {
		x, can := any(b.h.Sea).(interface{ Freeze(string, bool) })
		if can {
			x.Freeze(b.h.Masters[at].Boot.IP, on)
		}
		return can
	}
	for _, x := range []parts{
		{"nothing", func(b *bench) {}, 0, func(b *bench) {}, 5},
		{"the proposer is killed, and started after 3 s", func(b *bench) { b.h.Masters[0].Kill() }, 3 * time.Second, func(b *bench) { b.h.Masters[0].mustStart() }, 0},
		{"the proposer loses power for 3 s", func(b *bench) { b.power(0, true) }, 3 * time.Second, func(b *bench) { b.power(0, false) }, 0},
		{"the proposer is cut off for 6 s", func(b *bench) { b.off(true, 0) }, 6 * time.Second, func(b *bench) { b.off(false, 0) }, 0},
		{"the proposer is frozen for 6 s", func(b *bench) { freeze(b, 0, true) }, 6 * time.Second, func(b *bench) { freeze(b, 0, false) }, 0},
		{"another is killed, and started after 3 s", func(b *bench) { b.h.Masters[5].Kill() }, 3 * time.Second, func(b *bench) { b.h.Masters[5].mustStart() }, 5},
		{"another loses its disk, and is started at once", func(b *bench) { b.h.Masters[5].Kill(); b.h.Masters[5].Disk.Wipe() }, 100 * time.Millisecond, func(b *bench) { b.h.Masters[5].mustStart() }, 5},
		{"the proposer loses its disk, and is started at once", func(b *bench) { b.h.Masters[0].Kill(); b.h.Masters[0].Disk.Wipe() }, 100 * time.Millisecond, func(b *bench) { b.h.Masters[0].mustStart() }, 0},
		{"another is replaced by a new machine after 3 s", func(b *bench) { b.power(5, true) }, 3 * time.Second, func(b *bench) {
			any(b.h.Masters[5]).(interface{ Replace() }).Replace()
			b.h.Masters[5].mustStart()
		}, 5},
		{"the proposer is replaced by a new machine after 3 s", func(b *bench) { b.power(0, true) }, 3 * time.Second, func(b *bench) {
			any(b.h.Masters[0]).(interface{ Replace() }).Replace()
			b.h.Masters[0].mustStart()
		}, 0},
	} {
		_, replaces := any(&Master{}).(interface{ Replace() })
		_, freezes := any(&Sea{}).(interface{ Freeze(string, bool) })
		if !replaces && strings.Contains(x.name, "replaced") || !freezes && strings.Contains(x.name, "frozen") {
			t.Logf("| %s | not measured: this version's emulator can't |", x.name)
			continue
		}
		var all []outcome
		var gaps, repaired []time.Duration
		longest, slowest, when, whence := time.Duration(0), time.Duration(0), time.Duration(0), time.Duration(0)
		for seed := range uint64(10) {
			measured(t, sized(6, 0, 0, seed+1), func(b *bench) {
				zones := slices.DeleteFunc([]int{0, 1, 2, 3, 4, 5}, func(z int) bool { return z == x.lost })
				b.rest(time.Second)
				wait := b.stream(20, 12*time.Second, zones...)
				time.Sleep(time.Second)
				at := time.Now()
				x.do(b)
				b.all.Go(func() {
					time.Sleep(x.after)
					x.back(b)
				})
				watcher := 2
				b.all.Go(func() {
					// the loss must be seen before it can be mended
					down := false
					for time.Since(at) < 40*time.Second {
						s := b.seen(watcher)
						if n := s.bears(6); s.Standing == "in touch" && n >= 2 && (down || time.Since(at) > x.after+4*time.Second) && b.h.Masters[x.lost].Standing() == "in touch" {
							if !down && x.name == "nothing" {
								return
							}
							repaired = append(repaired, time.Since(at))
							return
						} else if n < 2 {
							down = true
						}
						time.Sleep(50 * time.Millisecond)
					}
					repaired = append(repaired, 40*time.Second)
				})
				mine := wait()
				var ends []time.Time
				for _, o := range mine {
					if o.sent.After(at) {
						all = append(all, o)
						if o.took > slowest {
							slowest, whence = o.took, o.sent.Sub(at)
						}
					}
					if o.status == 200 {
						ends = append(ends, o.sent.Add(o.took))
					}
				}
				slices.SortFunc(ends, time.Time.Compare)
				worst := time.Duration(0)
				for i := range ends[1:] {
					if ends[i+1].After(at) {
						worst = max(worst, ends[i+1].Sub(ends[i]))
						if worst > longest {
							longest, when = worst, ends[i].Sub(at)
						}
					}
				}
				gaps = append(gaps, worst)
			})
		}
		slices.Sort(repaired)
		until := "-"
		if len(repaired) > 0 {
			until = fmt.Sprintf("%.1f, %.1f", repaired[(len(repaired)-1)/2].Seconds(), repaired[len(repaired)-1].Seconds())
		}
		t.Logf("%s %s | %s | %.1f, %.1f |", row(x.name, all), strings.ReplaceAll(spread(gaps), " | ", ", "), until, when.Seconds(), whence.Seconds())
	}
}

// measureCutOff is how long a control process that is cut off from all others still answers, and how long routers hang on it:
// while it is asked for all that it does, and while nobody but hosts and the directory's clients ask, so that it has little to
// say to the others.
func measureCutOff(t *testing.T) {
	t.Log("| cut off from all others, 20 seeds: last answered with 200 after the cut | p50 ms | p99 ms | worst ms |")
	for _, x := range []struct {
		name   string
		asked  bool
		silent time.Duration // after which connections give up what nobody acknowledges
	}{{"", true, 1500 * time.Millisecond}, {"nobody reads or orders there: ", false, 1500 * time.Millisecond},
		{"connections give nothing up: ", true, time.Hour}} {
		last := map[string][]time.Duration{}
		for seed := range uint64(20) {
			measured(t, sized(6, 2, 1, seed+1), func(b *bench) {
				b.h.Sea.Silent = x.silent
				b.cutOff(5, x.asked, last)
			})
		}
		for _, name := range slices.Sorted(maps.Keys(last)) {
			t.Logf("| %s%s | %s |", x.name, name, spread(last[name]))
		}
	}
}

func (b *bench) cutOff(at int, asked bool, last map[string][]time.Duration) {
	o := b.insist(0, "rollouts.begin", "", []byte(`{"service":"desk","target-version":"v2","duration-s":80000}`))
	b.c.Assert(o.status, qt.Equals, 200)
	b.rest(2 * time.Second)
	b.off(true, at)
	cut := time.Now()
	const lasts = 12 * time.Second
	var mu sync.Mutex
	note := func(name string, late time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		last[name] = append(last[name], late)
	}
	probe := func(name string, every time.Duration, ask func() bool) {
		b.all.Go(func() {
			b.rest(20 * time.Millisecond)
			late := time.Duration(0)
			for time.Since(cut) < lasts {
				if ask() {
					late = time.Since(cut)
				}
				time.Sleep(every)
			}
			note(name, late)
		})
	}
	call := func(call, of string, body func() []byte) func() bool {
		return func() bool {
			status, _ := b.once(at, at, call, of, body())
			return status == 200
		}
	}
	empty := func() []byte { return nil }
	if asked {
		probe("configuration.read", 20*time.Millisecond, call("configuration.read", "", empty))
		probe("rollouts.read", 20*time.Millisecond, call("rollouts.read", "desk", empty))
		probe("configuration.modify", 20*time.Millisecond, call("configuration.modify", "", func() []byte { return b.next("cut") }))
	}
	probe("instances.heartbeat", 20*time.Millisecond, b.beats(at))
	probe("directory", 20*time.Millisecond, func() bool {
		resp, err := b.clients[at].Get("http://" + b.h.Masters[at].Boot.ListenAddresses["directory"] + "/-/resolution?zone-name=" + zone(at))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode == 200
	})
	b.all.Go(func() { // when its router goes, and how long it hangs there in all, as it looks again now and then
		left, hung := time.Duration(0), time.Duration(0)
		for time.Since(cut) < lasts {
			if b.lineTo(at) {
				hung += 5 * time.Millisecond
			} else if left == 0 {
				left = time.Since(cut)
			}
			time.Sleep(5 * time.Millisecond)
		}
		note("the line of a router of its zone: until it first goes", left)
		note("the line of a router of its zone: in all of the 12 s", hung)
	})
}

// beats is a host's beat to a process, another with each call; it tells whether it was served.
func (b *bench) beats(at int) func() bool {
	n := 0
	return func() bool {
		n++
		body, _ := json.Marshal(map[string]any{"address": fmt.Sprintf("10.%d.64.250:9000", at+1), "information": map[string]any{"service": "desk",
			"version": "v1", "zone-name": zone(at), "slot-count": 3}, "current-status": map[string]any{"server-state": "ready", "sequence": n,
			"cold-remaining-s": 0}})
		status, _ := b.once(at, at, "instances.heartbeat", "i-more", body)
		return status == 200
	}
}

// lineTo tells whether the second router of a zone holds a line to its control process.
func (b *bench) lineTo(at int) bool {
	to, from := b.h.Masters[at].Boot.IP, fmt.Sprintf("10.%d.0.2", at+1)
	b.h.Sea.mu.Lock()
	defer b.h.Sea.mu.Unlock()
	for x := range b.h.Sea.conns {
		if x.local.IP.String() == from && x.remote.IP.String() == to && x.remote.Port == firstPort {
			return true
		}
	}
	return false
}

// measureJoin is what it costs to bring in one whose disk was lost.
func measureJoin(t *testing.T) {
	t.Log("| routes | until it is in touch ms | until the next loss is borne ms | bytes to it | of all to it in the same time when calm |")
	for _, n := range []int{10, 100, 1000, 3200} {
		measured(t, sized(6, 0, 0, 1), func(b *bench) {
			b.load(n)
			time.Sleep(5 * time.Second)
			m := b.h.Masters[5]
			m.Kill()
			m.Disk.Wipe()
			time.Sleep(4 * time.Second)
			before, began := b.h.Sea.To(m.Boot.IP), time.Now()
			m.mustStart()
			whole := b.whole(5, 60*time.Second)
			bytes := b.h.Sea.To(m.Boot.IP) - before
			counted := time.Duration(0)
			for time.Since(began) < 60*time.Second {
				if s := b.seen(0); s.bears(6) >= 2 {
					counted = time.Since(began)
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			calm := b.h.Sea.To(m.Boot.IP)
			time.Sleep(10 * time.Second)
			calm = b.h.Sea.To(m.Boot.IP) - calm
			t.Logf("| %d | %s | %s | %d | %.0f |", n, ms(whole), ms(counted), bytes, float64(calm)*whole.Seconds()/10)
		})
	}
}

// narrow gives a machine a link of so many bytes a second each way to all outside of its zone, by the one thing that the sea asks for when something is
// sent: its delay. What has gone since it was last asked waits behind what went before.
func (b *bench) narrow(ip string, perS float64) {
	s, base := b.h.Sea, b.h.Sea.Delay
	var mu sync.Mutex
	told := map[[2]string]int64{}
	free := map[bool]time.Time{}
	s.Delay = func(from, to string) time.Duration {
		way := base(from, to)
		if from != ip && to != ip || zoneOf(from) == zoneOf(to) {
			return way
		}
		s.mu.Lock()
		n := s.Bytes[[2]string{from, to}]
		s.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		more := n - told[[2]string{from, to}]
		told[[2]string{from, to}] = n
		now, in := time.Now(), to == ip
		if free[in].Before(now) {
			free[in] = now
		}
		free[in] = free[in].Add(time.Duration(float64(more) / perS * 1e9))
		return way + free[in].Sub(now)
	}
}

// fill has the harbour take so many shares, beside its routes.
func (b *bench) fill(shares int) {
	var rows [][]any
	for i := range shares {
		rows = append(rows, []any{fmt.Sprintf("s-%05d", i), "desk", "X-Agency", fmt.Sprintf("tenant-%05d", i), 0.01, 1, "00000001"})
		if len(rows) == 1000 || i == shares-1 {
			raw, _ := json.Marshal(map[string]any{"set-items": map[string]any{"shares": map[string]any{
				"table-columns": []string{"name", "service", "caller-header", "caller", "per-s", "burst", "version"}, "table-rows": rows}}})
			b.must(raw)
			rows = nil
		}
	}
}

// measureBehind is how long one that missed changes is behind, while 40 a second go on.
func measureBehind(t *testing.T) {
	t.Log("| items | missed | a second meanwhile | link | until in touch ms | until all that was confirmed at the start is had ms | bytes to it | heap at its most MB, over before | worst order meanwhile ms |")
	for _, x := range []struct {
		routes, shares, missed int
		perS, link             float64
	}{
		{10, 0, 10, 0, 0}, {10, 0, 100, 0, 0}, {10, 0, 1000, 0, 0},
		{10, 0, 10, 40, 0}, {10, 0, 100, 40, 0}, {10, 0, 1000, 40, 0}, {10, 0, 10000, 40, 0},
		{1000, 0, 1000, 40, 0}, {3200, 0, 1000, 40, 0}, {3200, 0, 1000, 40, 250e3}, {3200, 10000, 100, 40, 250e3}, {3200, 10000, 1000, 40, 250e3},
	} {
		t.Run(fmt.Sprintf("%d+%d missed %d at %.0f link %.0f", x.routes, x.shares, x.missed, x.perS, x.link), func(t *testing.T) {
			measured(t, sized(6, 0, 0, 1), func(b *bench) {
				b.load(x.routes)
				b.fill(x.shares)
				time.Sleep(3 * time.Second)
				m := b.h.Masters[5]
				b.power(5, true)
				time.Sleep(4 * time.Second)
				for i := range x.missed {
					o := b.insist(0, "configuration.modify", "", b.next(fmt.Sprintf("load-%05d", i%max(x.routes, 10))))
					b.c.Assert(o.status, qt.Equals, 200)
				}
				if x.link > 0 {
					b.narrow(m.Boot.IP, x.link)
				}
				wait := func() []outcome { return nil }
				if x.perS > 0 {
					wait = b.stream(x.perS, 20*time.Second, 0, 1, 2, 3, 4)
					time.Sleep(2 * time.Second)
				}
				want := b.next("mark")
				o := b.insist(0, "configuration.modify", "", want)
				b.c.Assert(o.status, qt.Equals, 200)
				runtime.GC()
				var mem runtime.MemStats
				runtime.ReadMemStats(&mem)
				heap, most := mem.HeapAlloc, uint64(0)
				before, began := b.h.Sea.To(m.Boot.IP), time.Now()
				b.power(5, false)
				touch := time.Duration(0)
				for time.Since(began) < 60*time.Second {
					runtime.ReadMemStats(&mem)
					most = max(most, mem.HeapAlloc)
					if m.Standing() == "in touch" {
						touch = time.Since(began)
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				bytes := b.h.Sea.To(m.Boot.IP) - before
				had := time.Duration(0)
				for time.Since(began) < 60*time.Second {
					if status, raw := b.once(5, 5, "configuration.read", "", nil); status == 200 && strings.Contains(string(raw), "/mark/") {
						had = time.Since(began)
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				worst := time.Duration(0)
				for _, o := range wait() {
					worst = max(worst, o.took)
				}
				t.Logf("| %d routes, %d shares | %d | %.0f | %s | %s | %s | %d | %.1f | %s |", x.routes, x.shares, x.missed, x.perS,
					map[bool]string{true: "2 Mbit/s", false: "free"}[x.link > 0], ms(touch), ms(had), bytes, float64(most-min(heap, most))/1e6, ms(worst))
			})
		})
	}
}

// measureRestart is how soon a process that was ended and started again serves.
func measureRestart(t *testing.T) {
	first := map[string][]time.Duration{}
	for seed := range uint64(20) {
		measured(t, sized(6, 2, 1, seed+1), func(b *bench) {
			b.load(100)
			const at = 5
			b.rest(2 * time.Second)
			b.h.Masters[at].Kill()
			b.rest(2 * time.Second)
			wait := b.stream(40, 6*time.Second, 0, 1, 2, 3, 4)
			b.rest(2 * time.Second)
			began := time.Now()
			b.h.Masters[at].mustStart()
			var mu sync.Mutex
			probe := func(name string, ask func() bool) {
				b.all.Go(func() {
					for time.Since(began) < 30*time.Second && !ask() {
						time.Sleep(2 * time.Millisecond)
					}
					mu.Lock()
					defer mu.Unlock()
					first[name] = append(first[name], time.Since(began))
				})
			}
			probe("in touch", func() bool { return b.h.Masters[at].Standing() == "in touch" })
			probe("a beat", b.beats(at))
			probe("configuration.read", func() bool {
				status, _ := b.once(at, at, "configuration.read", "", nil)
				return status == 200
			})
			probe("configuration.modify", func() bool {
				status, _ := b.once(at, at, "configuration.modify", "", b.next("back"))
				return status == 200
			})
			probe("a line of a router of its zone", func() bool { return b.lineTo(at) })
			wait()
		})
	}
	t.Log("| restarted after 2 to 6 s, 40 changes a second, 20 seeds: first | p50 ms | p99 ms | worst ms |")
	for _, name := range []string{"in touch", "a beat", "configuration.read", "configuration.modify", "a line of a router of its zone"} {
		t.Logf("| %s | %s |", name, spread(first[name]))
	}
}

// measureSize is what a change of one route costs of a core by the items that stand: in real time, unlike all else here. Check
// is done for each order by who proposes it, the chart is drawn by each process for each change.
func measureSize(t *testing.T) {
	t.Log("| items | check of one route's change ms | drawing the chart ms | a copy of the set ms |")
	for _, x := range [][2]int{{10, 0}, {1000, 0}, {3200, 0}, {3200, 10000}, {3200, 33000}} {
		set := config.NewSet()
		set.Merge(config.Item{Kind: config.KindServices, Name: "desk", Version: 1, Body: json.RawMessage(`{"cold-per-s":3,"cold-start-s":3,` +
			`"connection-limit":140,"health-path":"/health","name":"desk","protocol":"h1","transport-security":false}`)})
		route := func(i int, version uint64) config.Item {
			return config.Item{Kind: config.KindRoutes, Name: fmt.Sprintf("load-%05d", i), Version: version, Body: fmt.Appendf(nil,
				`{"host-name":"desk.example","maximum-attempts":2,"name":"load-%05d","path-prefix":"/load/%05d/%d","priority-level":1,`+
					`"route-kind":"unsafe_method","service":"desk","target-s":0.8,"timeout-s":2}`, i, i, version)}
		}
		for i := range x[0] {
			set.Merge(route(i, 1))
		}
		for i := range x[1] {
			set.Merge(config.Item{Kind: config.KindQuotas, Name: fmt.Sprintf("s-%05d", i), Version: 1, Body: fmt.Appendf(nil,
				`{"burst":1,"caller":"tenant-%05d","caller-header":"X-Agency","name":"s-%05d","per-s":0.01,"service":"desk"}`, i, i)})
		}
		timed := func(f func()) string {
			var took []time.Duration
			for range 15 {
				began := time.Now()
				f()
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			return ms(took[len(took)/2])
		}
		check := timed(func() {
			if _, err := set.CheckChange([]config.Item{route(7, 2)}); err != nil {
				t.Fatal(err)
			}
		})
		t.Logf("| %d routes, %d shares | %s | %s | %s |", x[0], x[1], check, timed(func() { config.NewRoutingTable(set) }), timed(func() { set.Clone() }))
	}
}

// measureDay is the long run: 1,100 changes and 330 restarts, a part of them with a loss of power and a few with a lost disk.
// What was confirmed stands at all at the end, and all are whole.
func measureDay(t *testing.T) {
	if !*longDay {
		t.Skip("only with -day")
	}
	began := time.Now()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := opening(c, opened(c, sized(6, 1, 1, 1)))
		time.Sleep(10 * time.Second)
		const changes, restarts = 1100, 330
		var mu sync.Mutex
		var all []outcome
		stands := map[string]int{}
		var each sync.WaitGroup
		each.Go(func() {
			for range changes {
				b.rest(*dayTook / changes)
				route := fmt.Sprintf("day-%d", int(b.float()*120))
				change := b.next(route)
				o := b.insist(int(b.float()*6), "configuration.modify", "", change)
				mu.Lock()
				all = append(all, o)
				if o.status == 200 {
					stands[route] = b.turns[route]
				}
				mu.Unlock()
			}
		})
		var whole []time.Duration
		wiped := 0
		each.Go(func() {
			for n := range restarts {
				b.rest(*dayTook / restarts)
				at := int(b.float() * 6)
				b.power(at, true)
				if n%33 == 5 {
					b.h.Masters[at].Disk.Wipe()
					wiped++
				}
				b.rest(10 * time.Second)
				b.power(at, false)
				whole = append(whole, b.whole(at, 60*time.Second))
			}
		})
		each.Wait()
		time.Sleep(30 * time.Second)
		type route struct {
			Name    string `json:"name"`
			Version string `json:"version"`
		}
		lost, unlike := 0, 0
		var one string
		for i := range b.h.Masters {
			c.Check(b.h.Masters[i].Standing(), qt.Equals, "in touch")
			status, raw := b.once(i, i, "configuration.read", "", nil)
			c.Check(status, qt.Equals, 200)
			if i == 0 {
				one = string(raw)
				for name, n := range stands {
					if !strings.Contains(one, fmt.Sprintf("/%s/%d/", name, n)) {
						lost++
					}
				}
			} else if string(raw) != one {
				unlike++
			}
		}
		c.Check(lost, qt.Equals, 0)
		c.Check(unlike, qt.Equals, 0)
		disk := 0
		for _, m := range b.h.Masters {
			size := 0
			m.Disk.mu.Lock()
			for _, f := range m.Disk.files {
				size += len(f.data)
			}
			m.Disk.mu.Unlock()
			disk = max(disk, size)
		}
		t.Log("| a day | orders | p50 ms | p99 ms | worst ms | sent again | not confirmed |")
		t.Log(row(fmt.Sprintf("%d changes, %d restarts (%d of them with a lost disk) in %v", changes, restarts, wiped, *dayTook), all))
		t.Logf("| started until in touch | %d | %s | lost %d | unlike %d | largest disk %d bytes | %d routes |", len(whole), spread(whole), lost, unlike, disk, len(stands))
		b.close()
	})
	t.Logf("took %v of this machine", time.Since(began).Round(time.Second))
}
