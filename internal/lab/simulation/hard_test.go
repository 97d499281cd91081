package simulation

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
)

// Hard histories: the same operators and checks as those of TestHistories, beside the harms that it lacks, two of one kind at
// once among them, and a closing fault right after an order was acknowledged. Their seeds lie above hard.

var hardSeeds = flag.Int("hard", 0, "hard histories to play, instead of a few")

const (
	hard     = 1_000_000
	marginIn = 15 * time.Second // until the core bears again what it bore, once the harms are over
)

// worse plays one history's harms.
type worse struct {
	*watch
	lasted map[*Master]time.Time // since when its disk has lasted
}

// worst does a few harms, one kind after the other, each waiting for the core to bear losses again, and closes.
func (w *watch) worst() {
	x := &worse{watch: w, lasted: map[*Master]time.Time{}}
	for _, m := range w.h.Masters {
		x.lasted[m] = time.Now()
	}
	w.rest(500, 1500)
	for range 1 + w.n(3) {
		x.round()
	}
	if w.n(4) > 0 {
		x.close()
	}
}

// round does harms of one kind to one process or, in a core that bears it, to two; at times a lesser one of another beside it.
func (x *worse) round() {
	h := x.h
	some := []*Master{h.Masters[x.victim()]}
	if len(h.Masters) >= 6 && x.n(2) == 0 {
		at := (slices.Index(h.Masters, some[0]) + 1 + x.n(len(h.Masters)-1)) % len(h.Masters)
		some = append(some, h.Masters[at])
	}
	undo := []func(){x.harms(some)}
	lasts := time.Duration(2000+x.n(4000)) * time.Millisecond
	if x.n(4) == 0 {
		lasts = time.Duration(20+x.n(6)) * time.Second
	}
	if x.n(3) == 0 {
		undo = append(undo, x.nuisance(slices.Index(h.Masters, some[0])))
	}
	time.Sleep(lasts)
	for _, u := range slices.Backward(undo) {
		u()
	}
	x.margin()
	x.rest(300, 1500)
}

// margin waits until all are members and hear each other, which must come by itself.
func (x *worse) margin() {
	all := len(x.h.Masters)
	for until := time.Now().Add(marginIn); !x.h.listed(all, false) || x.h.core(0).Tolerates != all-all/2-1; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.fault("the margin isn't back", "%v after %v", marginIn, x.record.harms[len(x.record.harms)-1])
			return
		}
	}
}

// victim is one of those of whom more hangs: who confirmed or was read last, who proposes, whose disk has lasted longest; or
// anyone.
func (x *worse) victim() int {
	switch x.n(4) {
	case 0:
		return 0 // the lowest IP number
	case 1:
		oldest := slices.MinFunc(x.h.Masters, func(a, b *Master) int { return x.lasted[a].Compare(x.lasted[b]) })
		return slices.Index(x.h.Masters, oldest)
	}
	return x.target()
}

// each does something to each, and undoes it.
func each(some []*Master, do func(*Master) func()) func() {
	var undo []func()
	for _, m := range some {
		undo = append(undo, do(m))
	}
	return func() {
		for _, u := range undo {
			u()
		}
	}
}

// harms does one kind of harm to some, and gives what undoes it.
func (x *worse) harms(some []*Master) (undo func()) {
	h := x.h
	did := func(what string) {
		x.record.harms = append(x.record.harms, fmt.Sprintf("%s, %d %s", what, len(some), some[0].Boot.IP))
	}
	empty := func(m *Master) {
		m.Disk.Wipe()
		x.lasted[m] = time.Now()
	}
	down := func(m *Master, wiped bool) func() {
		m.Kill()
		h.Sea.Down(m.Boot.IP, true)
		if m.Disk.PowerLoss(x.n(2) == 0); wiped {
			empty(m)
		}
		return func() { h.Sea.Down(m.Boot.IP, false); m.mustStart() }
	}
	nothing := func() {}
	switch x.n(17) {
	case 0: // the time of day jumps and later jumps back; who starts meanwhile, or afterwards, goes by it
		did("clocks step")
		ahead := lo.Ternary(x.n(2) == 0, time.Duration(1), -1)
		by, again := ahead*time.Duration(100+x.n(7_200_000))*time.Millisecond, x.n(2) == 0
		return each(some, func(m *Master) func() {
			if m.Apart = by; again {
				m.Kill()
				m.mustStart()
			}
			return func() {
				m.Apart = 0
				if x.n(2) == 0 {
					m.Kill()
					m.mustStart()
				}
			}
		})
	case 1: // for long
		some = some[:1]
		some[0] = h.Masters[0]
		did("proposer frozen")
		freeze := each(some, x.frozen)
		time.Sleep(time.Duration(18+x.n(5)) * time.Second)
		return freeze
	case 2:
		did("frozen")
		return each(some, x.frozen)
	case 3: // the new machine first, then SIGTERM
		did("replaced as planned")
		return each(some, x.planned)
	case 4:
		did("gone for good")
		return each(some, func(m *Master) func() {
			m.Replace()
			x.lasted[m] = time.Now()
			return m.mustStart
		})
	case 5:
		did("other seeds")
		x.seeds()
		return each(some, func(m *Master) func() {
			m.Kill()
			m.mustStart()
			return nothing
		})
	case 6:
		did("full disk")
		return each(some, func(m *Master) func() {
			m.Disk.fill(true)
			return func() { m.Disk.fill(false) }
		})
	case 7:
		did("hanging disk")
		return each(some, func(m *Master) func() {
			m.Disk.hang(true)
			return func() { m.Disk.hang(false) }
		})
	case 8:
		did("connections reset")
		for range 1 + x.n(8) {
			for _, m := range some {
				h.Sea.Reset(m.Boot.IP, 0.5)
			}
			x.rest(50, 800)
		}
		return nothing
	case 9: // an operator sends the same again
		did("acknowledgements lost")
		return each(h.Masters, func(m *Master) func() {
			ip := m.Boot.IP
			for i := range x.clients {
				h.Sea.Lossy(ip, operatorIP(i), 0.7)
			}
			return func() {
				for i := range x.clients {
					h.Sea.Lossy(ip, operatorIP(i), 0)
				}
			}
		})
	case 10: // acknowledged or not
		did("without power after a change was sent")
		var sent sync.WaitGroup
		sent.Go(func() { x.send(x.n(2), x.order(false, false)[0], 4, false) })
		x.rest(5, 400)
		back := each(some, func(m *Master) func() { return down(m, false) })
		sent.Wait()
		return back
	case 11:
		did("wiped after an acknowledgement")
		if x.acknowledged() {
			x.mu.Lock()
			some[0] = h.Masters[x.took]
			x.mu.Unlock()
			some = lo.Uniq(some)
		}
		return each(some, func(m *Master) func() { return down(m, true) })
	case 12, 13, 14:
		way := []string{"both ways", "what it sends", "what it is sent"}[x.n(3)]
		if x.n(3) == 0 { // from the other control processes alone
			did("cut off, " + way)
			return each(some, func(m *Master) func() { return x.cut(m, way, false) })
		}
		did("zone cut, " + way) // its control process and its routers; clients still reach it
		return each(some, func(m *Master) func() { return x.cut(m, way, true) })
	case 15: // SIGTERM, one after the other
		did("all restarted in turn")
		for _, m := range h.Masters {
			m.Leave()
			m.mustStart()
			x.rest(500, 1000)
			x.margin()
		}
		return nothing
	}
	did("refusing disk")
	return each(some, func(m *Master) func() {
		m.Disk.set(5*time.Millisecond, true)
		return func() { m.Disk.set(5*time.Millisecond, false) }
	})
}

// frozen has a machine stand still.
func (x *worse) frozen(m *Master) func() {
	x.h.Sea.Freeze(m.Boot.IP, true)
	m.Disk.hang(true)
	return func() {
		m.Disk.hang(false)
		x.h.Sea.Freeze(m.Boot.IP, false)
	}
}

// planned has a new machine start, and the old one leave within a second or once the new one is in touch.
func (x *worse) planned(m *Master) func() {
	next := m.Successor()
	next.mustStart()
	if x.n(2) == 0 {
		time.Sleep(time.Second)
	} else {
		for until := time.Now().Add(8 * time.Second); next.Standing() != "in touch" && time.Now().Before(until); {
			time.Sleep(50 * time.Millisecond)
		}
	}
	m.Leave()
	m.become(next)
	x.lasted[m] = time.Now()
	return func() {}
}

// seeds has the settings name other seeds, of as many zones; who starts from now on goes by them.
func (x *worse) seeds() {
	h, from := x.h, x.n(len(x.h.Masters))
	h.mu.Lock()
	defer h.mu.Unlock()
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", h.Masters[(from+i)%len(h.Masters)].Boot.IP, controlPort))
	}
	for _, m := range h.Masters {
		m.Boot.SeedNodes = seeds
	}
	for _, f := range h.Fairways {
		f.Boot.SeedNodes = seeds
	}
}

// cut cuts a control process off from the others, or all machines of its zone from those of the other zones.
func (x *worse) cut(m *Master, way string, zone bool) (undo func()) {
	h := x.h
	var ips []string
	for _, m := range h.Masters {
		ips = append(ips, m.Boot.IP)
	}
	for _, f := range h.Fairways {
		if zone && !slices.Contains(ips, f.Boot.IP) {
			ips = append(ips, f.Boot.IP)
		}
	}
	z := zoneOf(m.Boot.IP)
	turn := func(cut bool) {
		for _, in := range ips {
			for _, out := range ips {
				if zoneOf(in) != z || zoneOf(out) == z {
					continue
				}
				if way != "what it is sent" {
					h.Sea.CutWay(in, out, cut)
				}
				if way != "what it sends" {
					h.Sea.CutWay(out, in, cut)
				}
			}
		}
	}
	turn(true)
	return func() { turn(false) }
}

// acknowledged has an order of some kind be acknowledged just now, and tells whether one was.
func (x *worse) acknowledged() bool {
	for range 6 {
		switch x.n(4) {
		case 0: // an evacuation, begun or ended
			if x.evac(x.n(2), x.n(len(x.h.Masters)), x.n(2) == 0) {
				return true
			}
		case 1:
			x.mu.Lock()
			x.targets++
			target := fmt.Sprint("c", x.targets)
			x.mu.Unlock()
			x.begin(x.n(2), target, 3)
			x.mu.Lock()
			begun := slices.ContainsFunc(x.rolls, func(t timed) bool {
				op := t.op.(rollOp)
				return !op.read && op.target == target && op.status == 200
			})
			x.mu.Unlock()
			if begun {
				return true
			}
		default:
			o := x.order(false, false)[0]
			x.send(x.n(2), o, 4, false)
			x.mu.Lock()
			taken := o.status == 200
			x.mu.Unlock()
			if taken {
				return true
			}
		}
	}
	return false
}

// close strikes within 4 ms of an acknowledgement: all lose power, all are killed, or one loses its disk and the others their
// power or nothing. Half of the time most disks are slow, as what isn't synced would else be so long before the
// acknowledgement has come. Whoever answers afterwards must know what was confirmed, from its first answer on.
func (x *worse) close() {
	h := x.h
	if x.n(2) == 0 {
		for _, m := range h.Masters {
			m.Disk.set(time.Duration(5+x.n(4)*40)*time.Millisecond, false)
		}
	}
	x.acknowledged()
	time.Sleep(time.Duration(x.n(4000)) * time.Microsecond)
	x.mu.Lock()
	took := x.took
	x.mu.Unlock()
	what := []string{"all without power", "wiped, the others without power", "wiped", "all killed"}[x.n(4)]
	at := took
	if x.n(3) == 0 {
		at = x.victim()
	}
	for i, m := range h.Masters {
		wiped := i == at && strings.HasPrefix(what, "wiped")
		if what == "wiped" && !wiped {
			continue
		}
		m.Kill()
		if what != "all killed" {
			m.Disk.PowerLoss(x.n(2) == 0)
		}
		if wiped {
			m.Disk.Wipe()
		}
	}
	x.record.harms = append(x.record.harms, "closing, "+what+" "+h.Masters[at].Boot.IP)
	x.rest(300, 3000)
	for _, m := range h.Masters {
		m.Disk.set(5*time.Millisecond, false)
	}
	first := x.n(len(h.Masters))
	for i := range h.Masters {
		if m := h.Masters[(first+i)%len(h.Masters)]; m.cancel == nil {
			m.mustStart()
			time.Sleep(time.Duration(x.n(2)*x.n(300)) * time.Millisecond)
		}
	}
	for i := range 60 {
		x.look(i%2, i%len(h.Masters))
		if i%4 == 0 {
			x.survey(0, x.n(len(h.Masters)))
			x.rollout(1, x.n(len(h.Masters)))
		}
		time.Sleep(50 * time.Millisecond)
	}
	x.margin()
}

// Hard histories; -args -hard 1000 -from 1 plays as many, and TestHistories with -from 1000001 the same ones.
func TestHardHistories(t *testing.T) {
	n := *hardSeeds
	if n == 0 {
		n = lo.Ternary(raced, 6, 80)
	}
	var mu sync.Mutex
	harms, faults := map[string]int{}, map[string][]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := hard + *from; seed < hard+*from+n; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				r := play(t, seed)
				mu.Lock()
				defer mu.Unlock()
				for _, what := range r.harms {
					harms[what[:strings.LastIndexByte(what, ' ')]]++
				}
				for _, kind := range slices.Sorted(maps.Keys(r.faults)) {
					faults[kind] = append(faults[kind], seed)
					t.Errorf("%s (%d times): %s; %v", kind, len(r.faults[kind]), r.faults[kind][0], strings.Join(r.harms, ", "))
				}
			})
		}
	})
	for _, what := range slices.Sorted(maps.Keys(harms)) {
		t.Log(what, harms[what])
	}
	for _, kind := range slices.Sorted(maps.Keys(faults)) {
		slices.Sort(faults[kind])
		t.Logf("%s: %d histories, seeds %v", kind, len(faults[kind]), faults[kind][:min(20, len(faults[kind]))])
	}
}
