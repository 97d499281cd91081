package lab

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/quota"
	"portflow/internal/random"
)

// This file plays callers' shares in virtual time over many routers and zones: the parts that the harbour's processes use,
// and the ways that were weighed against them.

// Tonnage is one play.
type Tonnage struct {
	Routers int     `json:"Routers"`
	Zones   int     `json:"Zones"`
	Way     string  `json:"Way"`     // dealt (the harbour's), count, usage, sketch
	Trouble string  `json:"Trouble"` // none, one (all of the caller's requests at one router), moves (from one to another), cut (a zone), killed (a third of the routers, back after 5 s), joined
	PerS    float64 `json:"PerS"`    // the caller's share
	Times   float64 `json:"Times"`   // what it asks for, over its share
	Others  int     `json:"Others"`  // small callers, each within its share of 1 a second
	Lasts   int64   `json:"Lasts"`   // nanoseconds
	Seed    uint64  `json:"Seed"`
}

// Tally is how a play went. Rates are requests a second, of the caller.
type Tally struct {
	Over1        float64 `json:"over_1s"`  // most within any second, over the share's second and burst
	Over10       float64 `json:"over_10s"` // most within any ten seconds, over the share's ten and burst
	Given        float64 `json:"given"`    // part of the share that it got, after three seconds
	Others       float64 `json:"others"`   // part of the others' requests that was within their shares
	Apart        float64 `json:"apart"`    // most that two routers in touch differed in what they said remains, of the limit
	Bytes        float64 `json:"bytes_s"`  // a second, of all routers and zones together
	BytesARouter float64 `json:"bytes_router_s"`
	Map          [][]int `json:"-"`      // by router and second: requests of the caller that were taken
	Back         float64 `json:"back_s"` // after a move: until the new router gives four fifths of the share
}

const (
	tallyStep = int64(10e6)
	crossing  = int64(35e6) // between zones, one way
	nearby    = int64(1e6)
	caller    = "rush"
)

// way is one way of holding callers to their shares.
type way interface {
	take(now int64, router int, name string) quota.Decision
	tick(now int64) (bytes int)
	live(router int, up bool, now int64)
	cut(zone int, cut bool, now int64)
}

// PlayTonnage plays one.
func PlayTonnage(p Tonnage) (Tally, error) {
	shares := []config.Quota{{Name: "rush", Service: "desk", CallerHeader: "X-Agency", Caller: caller, Rate: p.PerS, Burst: p.PerS}}
	for n := range p.Others {
		shares = append(shares, config.Quota{Name: fmt.Sprint("small-", n), Service: "desk", CallerHeader: "X-Agency", Caller: fmt.Sprint("c", n), Rate: 1, Burst: 3})
	}
	var w way
	switch p.Way {
	case "dealt":
		w = newDealt(p, shares)
	case "count", "usage", "sketch":
		w = newTold(p, shares)
	default:
		return Tally{}, fmt.Errorf("way: %q is none of dealt, count, usage, sketch", p.Way)
	}
	draw := random.Source{Seed: p.Seed}
	up := make([]bool, p.Routers)
	for r := range up {
		up[r] = true
		if p.Trouble == "joined" && r%3 == 0 {
			up[r] = false
			w.live(r, false, 0)
		}
	}
	t := Tally{Map: make([][]int, p.Routers)}
	for r := range t.Map {
		t.Map[r] = make([]int, p.Lasts/int64(1e9)+1)
	}
	var taken []int64
	var small, smallIn, bytes float64
	begins, moved, back := 3*int64(1e9), p.Lasts/2, int64(0)
	remaining := map[int]float64{} // by router: what it said last, and when
	said := map[int]int64{}
	to := func(now int64) int {
		switch {
		case p.Trouble == "one", p.Trouble == "moves" && now < moved:
			return 0
		case p.Trouble == "moves":
			return p.Routers - 1
		}
		for { // the directory names those that are up
			if r := int(draw.Next() * float64(p.Routers)); up[r] {
				return r
			}
		}
	}
	poisson := func(mean float64) (n int) {
		for x := draw.Next(); x > math.Exp(-mean); n++ {
			x *= draw.Next()
		}
		return n
	}
	for now := int64(0); now < p.Lasts; now += tallyStep {
		switch at := now - p.Lasts/2; {
		case at == 0 && p.Trouble == "cut":
			w.cut(1, true, now)
		case at == int64(8e9) && p.Trouble == "cut":
			w.cut(1, false, now)
		case (at == 0 || at == int64(5e9)) && p.Trouble == "killed", at == 0 && p.Trouble == "joined":
			for r := range up {
				if r%3 == 0 {
					up[r] = p.Trouble == "joined" || at > 0
					w.live(r, up[r], now)
				}
			}
		}
		for range poisson(p.PerS * p.Times * float64(tallyStep) / 1e9) {
			r := to(now)
			v := w.take(now, r, caller)
			remaining[r], said[r] = v.Remaining/max(1, v.Limit), now
			if v.Admitted {
				taken = append(taken, now)
				t.Map[r][now/int64(1e9)]++
			}
		}
		for range poisson(float64(p.Others) * 0.7 * float64(tallyStep) / 1e9) {
			n := int(draw.Next() * float64(p.Others))
			small++
			if w.take(now, to(-1), fmt.Sprint("c", n)).Admitted {
				smallIn++
			}
		}
		bytes += float64(w.tick(now))
		if now > begins && (p.Trouble == "calm" || p.Trouble == "none" || p.Trouble == "one") && now%int64(1e9) == 0 { // what routers said of late
			low, high := 1.0, 0.0
			for r, x := range remaining {
				if now-said[r] < int64(300e6) {
					low, high = min(low, x), max(high, x)
				}
			}
			t.Apart = max(t.Apart, high-low)
		}
	}
	within := func(span int64) (most int) {
		from := 0
		for i, at := range taken {
			for at-taken[from] >= span {
				from++
			}
			most = max(most, i-from+1)
		}
		return most
	}
	t.Over1 = (float64(within(1e9)) - 2*p.PerS) / p.PerS
	t.Over10 = (float64(within(10e9)) - 11*p.PerS) / p.PerS
	after := 0
	for _, at := range taken {
		if at >= begins {
			after++
		}
	}
	t.Given = float64(after) / (p.PerS * float64(p.Lasts-begins) / 1e9)
	if p.Trouble == "moves" {
		for now := moved; now < p.Lasts-int64(1e9) && back == 0; now += int64(100e6) {
			n := 0
			for _, at := range taken {
				if at >= now && at < now+int64(1e9) {
					n++
				}
			}
			if float64(n) >= 0.8*p.PerS {
				back = now
			}
		}
		t.Back = float64(back-moved) / 1e9
	}
	if small > 0 {
		t.Others = smallIn / small
	}
	t.Bytes = bytes / (float64(p.Lasts) / 1e9)
	t.BytesARouter = t.Bytes / float64(p.Routers)
	return t, nil
}

// Draw draws what a caller was given over time: a row a router (the first most), a column a second, and the sum below.
func (t Tally) Draw(w io.Writer, perS float64, most int) {
	const shades = " .:-=+*#%@"
	fmt.Fprintf(w, "requests of the rushing caller taken, by router and second; blank is none, @ its whole share of %.0f and more\n", perS)
	sums := make([]int, len(t.Map[0]))
	for r, row := range t.Map {
		line := make([]byte, len(row))
		for s, n := range row {
			sums[s] += n
			line[s] = shades[min(len(shades)-1, int(math.Ceil(float64(n)/perS*float64(len(shades)-1))))]
		}
		if r < most {
			fmt.Fprintf(w, "router %3d |%s|\n", r, line)
		}
	}
	if len(t.Map) > most {
		fmt.Fprintf(w, "and %d more\n", len(t.Map)-most)
	}
	fmt.Fprintln(w, "all, a second:", sums[:len(sums)-1])
}

// later is what is on its way.
type later struct {
	at int64
	do func()
}

// mail delivers what is on its way.
type mail struct{ all []later }

func (m *mail) post(at int64, do func()) { m.all = append(m.all, later{at, do}) }

func (m *mail) deliver(now int64) {
	due := slices.DeleteFunc(slices.Clone(m.all), func(l later) bool { return l.at > now })
	m.all = slices.DeleteFunc(m.all, func(l later) bool { return l.at <= now })
	for _, l := range due {
		l.do()
	}
}

func size(v any) int {
	raw, _ := json.Marshal(v)
	return len(raw) + 4
}

// dealt is the harbour's way: the meters and dealers that its processes use, with the ways between them.
type dealt struct {
	mail
	meters  []*quota.Meter
	up      []bool
	dealers []*quota.Allocator
	shares  []config.Quota
	off     int // the zone that is cut off, -1 for none
	offAt   int64
}

func newDealt(p Tonnage, shares []config.Quota) *dealt {
	d := &dealt{shares: shares, off: -1}
	for z := range p.Zones {
		d.dealers = append(d.dealers, quota.NewAllocator())
		d.dealers[z].SetQuotas(map[string][]config.Quota{"desk": shares})
	}
	for range p.Routers {
		d.up = append(d.up, true)
		d.meters = append(d.meters, quota.NewMeter(shares, p.Routers, 0))
	}
	return d
}

func (d *dealt) zone(r int) int { return r % len(d.dealers) }

func (d *dealt) take(now int64, r int, name string) quota.Decision {
	return d.meters[r].Admit(now, name, false, quota.NoHeadroom)
}

func (d *dealt) live(r int, up bool, now int64) {
	d.up[r] = up
	if !up {
		d.dealers[d.zone(r)].RemoveRouter(fmt.Sprint(r))
	} else {
		n := 0
		for _, x := range d.up {
			if x {
				n++
			}
		}
		d.meters[r] = quota.NewMeter(d.shares, n, now)
	}
}

func (d *dealt) cut(zone int, cut bool, now int64) {
	d.off, d.offAt = -1, now
	if cut {
		d.off = zone
	}
}

// silence is how long a process needs to notice that a line is dead.
const silence = int64(1800e6)

func (d *dealt) tick(now int64) (bytes int) {
	d.deliver(now)
	if now%quota.AllocationInterval != 0 {
		return 0
	}
	live := 0
	for _, x := range d.up {
		if x {
			live++
		}
	}
	for r, m := range d.meters {
		if !d.up[r] {
			continue
		}
		if now%int64(1e9) == 0 {
			m.SetQuotas(d.shares, live, now)
		}
		all := m.Reports(now)
		if len(all) > 0 {
			bytes += size(all)
		}
		d.post(now+nearby, func() { d.dealers[d.zone(r)].AddReports(now+nearby, fmt.Sprint(r), all, nil) })
	}
	for z, x := range d.dealers {
		sums, _ := x.Usage()
		for to, other := range d.dealers {
			if to == z {
				continue
			}
			if d.off == z || d.off == to {
				if now-d.offAt >= silence {
					other.ZoneLost(now, fmt.Sprint(z))
				}
				continue
			}
			if len(sums) > 0 {
				bytes += size(sums)
			}
			d.post(now+crossing, func() { other.MergeZone(now+crossing, fmt.Sprint(z), sums, nil) })
		}
		if d.off == z && now-d.offAt >= silence { // it hears too few others, and deals no more
			continue
		}
		for router, all := range x.Allocate(now) {
			r := 0
			fmt.Sscan(router, &r)
			bytes += size(all)
			d.post(now+nearby, func() { d.meters[r].ApplyAllocations(now+nearby, all) })
		}
	}
	return bytes
}

// told are the other ways: even parts by count; what all used lately, told to all, which each router foretells and takes a
// part of the requests by; and the same with counts in a sketch.
type told struct {
	mail
	way     string
	routers int
	limits  map[string]float64
	off     int
	up      []bool
	buckets []map[string]*evenly
	since   []counter // by router: what was taken since it told last
	came    []counter // and what came
	known   []view    // by router: what all used, as of the last news
}

type evenly struct {
	tokens float64
	at     int64
}

type counter interface {
	add(name string)
	get(name string) float64
	size() int
}

type exact map[string]float64

func (e exact) add(name string)         { e[name]++ }
func (e exact) get(name string) float64 { return e[name] }
func (e exact) size() (n int) {
	for name := range e {
		n += len(name) + 12
	}
	return n
}

// sketch counts in four rows of 256 places.
type sketch [4][256]float64

func (s *sketch) place(row int, name string) int {
	f := fnv.New32a()
	f.Write([]byte{byte(row)})
	f.Write([]byte(name))
	x := f.Sum32()
	return int((x ^ x>>16) % 256)
}

func (s *sketch) add(name string) {
	for row := range s {
		s[row][s.place(row, name)]++
	}
}

func (s *sketch) get(name string) float64 {
	least := math.Inf(1)
	for row := range s {
		least = min(least, s[row][s.place(row, name)])
	}
	return least
}

func (s *sketch) size() int { return 4 * 256 * 2 }

type view struct {
	came, before []counter // of all routers, in the last interval and the one before it
	at           int64
}

const toldEvery = int64(500e6)

func newTold(p Tonnage, shares []config.Quota) *told {
	t := &told{way: p.Way, routers: p.Routers, limits: map[string]float64{}, off: -1}
	for _, s := range shares {
		t.limits[s.Caller] = s.Rate
	}
	for range p.Routers {
		t.up = append(t.up, true)
		t.buckets = append(t.buckets, map[string]*evenly{})
		t.since, t.came = append(t.since, t.counter()), append(t.came, t.counter())
		t.known = append(t.known, view{})
	}
	return t
}

func (t *told) counter() counter {
	if t.way == "sketch" {
		return &sketch{}
	}
	return exact{}
}

func (t *told) take(now int64, r int, name string) (v quota.Decision) {
	limit := t.limits[name]
	rate, burst := limit/float64(t.routers), max(1, limit/float64(t.routers))
	if t.way != "count" {
		t.came[r].add(name)
		rate, burst = limit, limit
		sum := func(all []counter) (x float64) {
			for _, c := range all {
				x += c.get(name)
			}
			return x / (float64(toldEvery) / 1e9)
		}
		if k := t.known[r]; k.came != nil {
			is := sum(k.came)
			is += max(0, is-sum(k.before)) * float64(now-k.at) / float64(toldEvery) // foretold as it went on growing
			if own := t.came[r].get(name) / max(0.1, float64(now-k.at)/1e9); own > is {
				is = own
			}
			draw := fnv.New32a()
			fmt.Fprint(draw, now, r, t.came[r].get(name))
			if is > limit && float64(draw.Sum32()%10007)/10007 > limit/is {
				return v
			}
		}
	}
	b := t.buckets[r][name]
	if b == nil {
		b = &evenly{tokens: burst, at: now}
		t.buckets[r][name] = b
	}
	b.tokens = min(burst, b.tokens+rate*float64(now-b.at)/1e9)
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		v.Admitted = true
	}
	return v
}

func (t *told) live(r int, up bool, _ int64) {
	t.up[r] = up
	if up {
		t.buckets[r], t.known[r] = map[string]*evenly{}, view{}
	}
}

func (t *told) cut(zone int, cut bool, _ int64) {
	if t.off = -1; cut {
		t.off = zone
	}
}

func (t *told) tick(now int64) (bytes int) {
	t.deliver(now)
	if t.way == "count" || now%toldEvery != 0 {
		return 0
	}
	const zones = 6
	for side := range 2 { // those that are cut off hear each other only
		var came []counter
		for r, c := range t.came {
			if t.up[r] && (r%zones == t.off) == (side == 1) {
				came = append(came, c)
				bytes += c.size()
			}
		}
		for r := range t.came {
			if t.up[r] && (r%zones == t.off) == (side == 1) {
				if len(came) > 0 {
					bytes += came[0].size()
				}
				t.post(now+2*crossing, func() { t.known[r] = view{came, t.known[r].came, now} })
			}
		}
	}
	for r := range t.came {
		t.came[r] = t.counter()
	}
	return bytes
}
