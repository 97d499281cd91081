package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/cluster/update"
)

// Spread is how long something took, milliseconds: over all routers and changes.
type Spread struct {
	N     int     `json:"n"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Worst float64 `json:"worst_ms"`
	Never int     `json:"never"` // within the limit
}

func spread(all []time.Duration, never int) Spread {
	s := Spread{N: len(all), Never: never}
	if len(all) == 0 {
		return s
	}
	slices.Sort(all)
	ms := func(part float64) float64 { return float64(all[int(part*float64(len(all)-1))]) / 1e6 }
	s.P50, s.P99, s.Worst = ms(0.5), ms(0.99), ms(1)
	return s
}

// Answer is one of an operator's calls.
type Answer struct {
	MS    float64 `json:"ms"`
	Bytes int     `json:"bytes"`
}

// Rate is what one process spent in the calm, a second.
type Rate struct {
	Name        string  `json:"name"`
	CPU         float64 `json:"cores"`
	RSS         float64 `json:"rss_mb"`
	Peak        float64 `json:"peak_mb"`
	Heap        float64 `json:"heap_mb"`
	Allocated   float64 `json:"allocated_kb_s"`
	Mallocs     float64 `json:"mallocs_s"`
	Said        float64 `json:"said_s"`
	SaidBytes   float64 `json:"said_bytes_s"`
	Beats       float64 `json:"beats_s"`
	Descriptors int     `json:"descriptors"`
	Disk        float64 `json:"disk_mb"`
	Startup     float64 `json:"startup_cpu_s"` // until the calm began
}

// Part is what one part of a play cost all control processes together, and what it said to routers.
type Part struct {
	Took    float64          `json:"took_s"`
	CPU     float64          `json:"core_cpu_s"`
	Busiest float64          `json:"busiest_cpu_s"`
	Said    int64            `json:"core_said"`
	Bytes   int64            `json:"core_said_bytes"`
	Mallocs int64            `json:"core_mallocs"`
	Alloc   int64            `json:"core_allocated_bytes"`
	Frames  map[string]int64 `json:"router_frames"`      // by kind, to all routers
	Kinds   map[string]int64 `json:"router_frame_bytes"` // the same in bytes
	Far     [3]int64         `json:"router_bytes_far"`   // within the zone, the region, beyond
	Up      int64            `json:"router_up_bytes"`
	Hosts   int64            `json:"host_notes"`
	Fronts  int64            `json:"router_notes"`
	Items   int64            `json:"item_notes"`
	Beats   int64            `json:"beats"`
	FarBeat [3]int64         `json:"beats_far"`
	Refused int64            `json:"beats_refused"`
	Failed  int64            `json:"beats_failed"`
	Dials   int64            `json:"beat_dials"`
	Lines   int64            `json:"line_dials"`
}

// Result is how a play went.
type Result struct {
	Plan
	Ready     Spread          `json:"start_ready"` // a start of all: until each router had a snapshot
	Configure float64         `json:"configure_s"`
	Control   []Rate          `json:"control"` // in the calm
	Real      []Rate          `json:"real"`
	Parts     map[string]Part `json:"parts"`
	Ack       Spread          `json:"change_ack"`
	Force     Spread          `json:"change_told"` // each router has the change
	Killed    Spread          `json:"killed"`      // until the killed one's routers follow others
	Restarted Spread          `json:"restarted"`
	Healed    Spread          `json:"healed"` // after a cut: until the routers of the region follow
	BurstPerS float64         `json:"burst_per_s"`
	BurstAck  Spread          `json:"burst_ack"`
	Shuffles  float64         `json:"shuffle_bytes_router_s"`
	Read      Answer          `json:"harbour_read"` // the longest of three
	Config    Answer          `json:"configuration_read"`
	Why       []string        `json:"why,omitempty"` // what did not go through
}

// rig is a play that runs.
type rig struct {
	Plan
	dir      string
	children map[int]*process // control processes, by zone
	real     []*process
	routers  []*router
	hosts    []*host
	tally    Tally
	beats    Beats
	off      atomic.Int64 // a region that is cut off, plus one
	probe    atomic.Pointer[probe]
	spawned  []string
	command  []string
}

// probe is a change that is on its way to all routers.
type probe struct {
	needle []byte
	sent   time.Time
	at     []atomic.Int64 // nanoseconds after it was sent
}

func (g *rig) homes() []int { return g.Plan.homes() }
func (g *rig) seeds() []int { h := g.homes(); return h[:min(3, len(h))] }

func (g *rig) apart(a, b int) bool {
	off := int(g.off.Load()) - 1
	return off >= 0 && (regionOf(a) == off) != (regionOf(b) == off)
}

// seen notes that a batch has come to a router.
func (g *rig) seen(n int, body []byte) {
	if p := g.probe.Load(); p != nil && bytes.Contains(body, p.needle) {
		p.at[n].CompareAndSwap(0, int64(time.Since(p.sent)))
	}
}

func (g *rig) say(format string, args ...any) {
	if g.Progress != nil {
		g.Progress(fmt.Sprintf(format, args...))
	}
}

// Play plays a plan; command is what makes this program a child. All that it started has ended when it returns.
func Play(parent context.Context, p Plan, command []string) (r Result, err error) {
	if err := p.check(); err != nil {
		return r, err
	}
	dir, err := os.MkdirTemp("", "hollow")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(parent, 15*time.Minute)
	defer cancel()
	g := &rig{Plan: p, dir: dir, children: map[int]*process{}, command: command}
	r = Result{Plan: p, Parts: map[string]Part{}}
	defer func() {
		for _, c := range g.children {
			c.kill()
		}
		for _, c := range g.real {
			c.kill()
		}
	}()
	for _, z := range g.homes() {
		if err := g.master(z, true); err != nil {
			return r, err
		}
	}
	began := time.Now()
	if err := g.configure(ctx, &r); err != nil {
		return r, err
	}
	r.Configure = time.Since(began).Seconds()
	g.say("%d control processes, %d items configured in %.1f s", p.Core, p.Services+p.Routes+p.Shares, r.Configure)
	all := g.part(&r, "start")
	g.profile("start")
	homes := g.homes()
	for n := range p.Hosts {
		z := n % p.Zones
		h := &host{rig: g, n: n, id: fmt.Sprintf("host-%05d", n), ip: address(z, 100+n/p.Zones%1000), zone: z, service: fmt.Sprintf("service-%03d", n/p.Zones%p.Services),
			at: homes[n%len(homes)]}
		g.hosts = append(g.hosts, h)
		go h.run(ctx)
	}
	for n := range p.Routers {
		z := n % p.Zones
		g.routers = append(g.routers, &router{rig: g, n: n, name: fmt.Sprintf("router-%04d", n), ip: address(z, 2000+n/p.Zones), zone: z})
	}
	starts := time.Now()
	if err := g.restart(ctx, g.routers); err != nil {
		return r, err
	}
	for n := range p.Real {
		z := n % p.Zones
		c, err := spawn(command, start{Role: traffic, Boot: p.boot(fmt.Sprintf("real-%02d", n), traffic, z, 4000+n/p.Zones), Seed: p.Seed + uint64(n)},
			filepath.Join(dir, fmt.Sprintf("real-%d.log", n)))
		if err != nil {
			return r, err
		}
		g.real = append(g.real, c)
	}
	go g.pulse(ctx)
	r.Ready = g.follow(g.routers, starts, time.Minute)
	g.settle(ctx)
	all()
	g.say("all follow: p50 %.0f, worst %.0f ms, %d never", r.Ready.P50, r.Ready.Worst, r.Ready.Never)
	if err := g.calm(ctx, &r); err != nil {
		return r, err
	}
	r.Read, r.Config = g.read(ctx, "harbour.read"), g.read(ctx, "configuration.read")
	g.change(ctx, &r)
	g.drain(ctx, &r)
	if p.Burst > 0 {
		g.burst(ctx, &r)
	}
	if p.Restart {
		over := g.part(&r, "restart")
		half := g.routers[:len(g.routers)/2]
		for _, x := range half {
			x.cancel()
		}
		time.Sleep(200 * time.Millisecond)
		at := time.Now()
		if err := g.restart(ctx, half); err != nil {
			return r, err
		}
		r.Restarted = g.follow(half, at, 30*time.Second)
		g.settle(ctx)
		over()
		g.say("half of the routers restarted: p50 %.0f, worst %.0f ms, %d never", r.Restarted.P50, r.Restarted.Worst, r.Restarted.Never)
	}
	if p.Kill && p.Core > 2 {
		if err := g.killOne(ctx, &r); err != nil {
			return r, err
		}
	}
	if p.Cut > 0 {
		g.cutOff(ctx, &r)
	}
	for _, z := range homes {
		if c := g.children[z]; c == nil || c.cmd.ProcessState != nil {
			r.Why = append(r.Why, "a control process ended: "+zoneName(z))
		}
	}
	return r, ctx.Err()
}

func (g *rig) master(z int, first bool) error {
	b := g.boot("control-"+zoneName(z), control, z, 0)
	b.FirstStart = first
	data := filepath.Join(g.dir, zoneName(z))
	if err := os.MkdirAll(data, 0o755); err != nil {
		return err
	}
	c, err := spawn(g.command, start{Role: control, Boot: b, Data: data, Seed: g.Seed + uint64(z)}, filepath.Join(g.dir, zoneName(z)+".log"))
	if err != nil {
		return err
	}
	g.children[z] = c
	return nil
}

// restart starts routers anew, all at once.
func (g *rig) restart(ctx context.Context, all []*router) error {
	for _, x := range all {
		life, cancel := context.WithCancel(ctx)
		x.cancel, x.follower = cancel, update.Subscription{}
		x.ready.Store(0)
		for try := 0; ; try++ { // the old life's socket closes in a moment
			err := x.run(life)
			if err == nil {
				break
			} else if try > 50 {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// follow waits until routers follow control, and tells when they did.
func (g *rig) follow(all []*router, since time.Time, limit time.Duration) Spread {
	var took []time.Duration
	never := 0
	for until := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		took, never = took[:0], 0
		for _, x := range all {
			if at := x.ready.Load(); at > since.UnixNano() {
				took = append(took, time.Duration(at-since.UnixNano()))
			} else {
				never++
			}
		}
		if never == 0 || time.Now().After(until) {
			return spread(took, never)
		}
	}
}

// settle waits until news have stopped for a while.
func (g *rig) settle(ctx context.Context) {
	last, quiet := int64(-1), 0
	for n := 0; n < 60 && quiet < 4 && ctx.Err() == nil; n++ {
		time.Sleep(500 * time.Millisecond)
		now := int64(0)
		for at := range 3 {
			now += g.tally.Frames[Batch][at].Load() + g.tally.Frames[Snapshot][at].Load()
		}
		if now == last {
			quiet++
		} else {
			quiet = 0
		}
		last = now
	}
}

// pulse beats on all lines, and ends those that a cut lies across.
func (g *rig) pulse(ctx context.Context) {
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		for _, x := range g.routers {
			x.beat()
			x.sever()
		}
	}
}

// stats asks all control processes at once.
func (g *rig) stats() map[int]Stat {
	var mu sync.Mutex
	var all sync.WaitGroup
	out := map[int]Stat{}
	for z, c := range g.children {
		all.Go(func() {
			var s Stat
			if c.ask("stat", &s) == nil {
				mu.Lock()
				defer mu.Unlock()
				out[z] = s
			}
		})
	}
	all.Wait()
	return out
}

// counts is the tally at a moment.
func (g *rig) counts() (p Part) {
	t, b := &g.tally, &g.beats
	p.Frames, p.Kinds = map[string]int64{}, map[string]int64{}
	for k := range kinds {
		for at := range 3 {
			p.Frames[k.String()] += t.Frames[k][at].Load()
			p.Kinds[k.String()] += t.Bytes[k][at].Load()
			p.Far[at] += t.Bytes[k][at].Load()
		}
	}
	for at := range 3 {
		p.Up += t.UpBytes[at].Load()
		p.FarBeat[at] = b.Far[at].Load()
	}
	p.Hosts, p.Fronts, p.Items, p.Lines = t.Hosts.Load(), t.Fronts.Load(), t.Items.Load(), t.Dials.Load()
	p.Beats, p.Refused, p.Failed, p.Dials = b.Acknowledged.Load(), b.Refused.Load(), b.Failed.Load(), b.Dials.Load()
	return p
}

// part begins to count; what it returns ends that.
func (g *rig) part(r *Result, name string) func() {
	began, before, was := time.Now(), g.stats(), g.counts()
	return func() {
		p := g.counts()
		for k := range p.Frames {
			p.Frames[k] -= was.Frames[k]
			p.Kinds[k] -= was.Kinds[k]
		}
		for at := range 3 {
			p.Far[at] -= was.Far[at]
			p.FarBeat[at] -= was.FarBeat[at]
		}
		p.Up -= was.Up
		p.Hosts, p.Fronts, p.Items, p.Lines = p.Hosts-was.Hosts, p.Fronts-was.Fronts, p.Items-was.Items, p.Lines-was.Lines
		p.Beats, p.Refused, p.Failed, p.Dials = p.Beats-was.Beats, p.Refused-was.Refused, p.Failed-was.Failed, p.Dials-was.Dials
		p.Took = time.Since(began).Seconds()
		for z, s := range g.stats() {
			b := before[z]
			cpu := (s.CPU - b.CPU).Seconds()
			p.CPU += cpu
			p.Busiest = max(p.Busiest, cpu)
			p.Said += s.Said - b.Said
			p.Bytes += s.SaidBytes - b.SaidBytes
			p.Mallocs += s.Mallocs - b.Mallocs
			p.Alloc += s.Allocated - b.Allocated
		}
		r.Parts[name] = p
	}
}

func rate(name string, a, b Stat, seconds float64) Rate {
	const mb = 1 << 20
	return Rate{Name: name, CPU: (b.CPU - a.CPU).Seconds() / seconds, RSS: float64(b.RSS) / mb, Peak: float64(b.Peak) / mb, Heap: float64(b.Heap) / mb,
		Allocated: float64(b.Allocated-a.Allocated) / 1024 / seconds, Mallocs: float64(b.Mallocs-a.Mallocs) / seconds,
		Said: float64(b.Said-a.Said) / seconds, SaidBytes: float64(b.SaidBytes-a.SaidBytes) / seconds, Beats: float64(b.Beats-a.Beats) / seconds,
		Descriptors: b.Open, Disk: float64(b.Disk) / mb, Startup: a.CPU.Seconds()}
}

// calm counts for a while in which nothing happens.
func (g *rig) calm(ctx context.Context, r *Result) error {
	g.profile("calm")
	over := g.part(r, "calm")
	before, reals := g.stats(), make([]Stat, len(g.real))
	for n, c := range g.real {
		if err := c.ask("stat", &reals[n]); err != nil {
			return err
		}
	}
	shuffles := g.shuffled()
	began := time.Now()
	select {
	case <-time.After(g.Calm):
	case <-ctx.Done():
		return ctx.Err()
	}
	seconds := time.Since(began).Seconds()
	over()
	r.Shuffles = float64(g.shuffled()-shuffles) / seconds / float64(len(g.routers))
	for z, s := range g.stats() {
		r.Control = append(r.Control, rate("control-"+zoneName(z), before[z], s, seconds))
	}
	slices.SortFunc(r.Control, func(a, b Rate) int { return strings.Compare(a.Name, b.Name) })
	for n, c := range g.real {
		var s Stat
		if err := c.ask("stat", &s); err != nil {
			return err
		}
		r.Real = append(r.Real, rate(fmt.Sprintf("real-%02d", n), reals[n], s, seconds))
	}
	g.profile("")
	sum, most := 0.0, 0.0
	for _, x := range r.Control {
		sum, most = sum+x.CPU, max(most, x.CPU)
	}
	g.say("calm: the core %.3f cores, its busiest %.3f, %d beats a second", sum, most, int(float64(r.Parts["calm"].Beats)/seconds))
	return nil
}

// read calls for all that is known, three times.
func (g *rig) read(ctx context.Context, call string) (a Answer) {
	for range 3 {
		at := time.Now()
		if _, raw, err := post(ctx, g.homes()[0], call, nil, 10*time.Second); err == nil {
			a.MS, a.Bytes = max(a.MS, float64(time.Since(at))/1e6), len(raw)
		}
	}
	return a
}

func (g *rig) shuffled() (n int64) {
	for _, x := range g.routers {
		n += x.convoy.BytesSent.Load()
	}
	return n
}

// profile has the control processes write processor profiles of what follows, until the next call.
func (g *rig) profile(name string) {
	if g.Profile == "" {
		return
	}
	for z, c := range g.children {
		to := ""
		if name != "" {
			to = filepath.Join(g.Profile, fmt.Sprintf("%s-%s.pprof", name, zoneName(z)))
		}
		c.ask("profile "+to, nil)
	}
	for n, c := range g.real {
		to := ""
		if name != "" {
			to = filepath.Join(g.Profile, fmt.Sprintf("%s-real-%02d.pprof", name, n))
		}
		c.ask("profile "+to, nil)
	}
}

// change sends changes of one route, one after another, and waits for each until all routers have been told.
func (g *rig) change(ctx context.Context, r *Result) {
	if g.Changes == 0 {
		return
	}
	g.profile("changes")
	defer g.profile("")
	over := g.part(r, "changes")
	var acks, told []time.Duration
	never := 0
	for n := range g.Changes {
		p := &probe{needle: fmt.Appendf(nil, `"n":"probe","v":%d,`, n+1), sent: time.Now(), at: make([]atomic.Int64, len(g.routers))}
		g.probe.Store(p)
		if err := g.order(ctx, n, g.route("probe", 0, n+1), 6*time.Second); err != nil {
			r.Why = append(r.Why, fmt.Sprintf("change %d: %v", n, err))
			continue
		}
		acks = append(acks, time.Since(p.sent))
		missing := 1
		for missing > 0 && time.Since(p.sent) < 6*time.Second {
			time.Sleep(5 * time.Millisecond)
			missing = 0
			for x := range p.at {
				if p.at[x].Load() == 0 {
					missing++
				}
			}
		}
		never += missing
		for x := range p.at {
			if at := p.at[x].Load(); at > 0 {
				told = append(told, time.Duration(at))
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.Ack, r.Force = spread(acks, g.Changes-len(acks)), spread(told, never)
	time.Sleep(time.Second)
	over()
	g.say("%d changes: acknowledged p50 %.0f, worst %.0f ms; told p50 %.0f, p99 %.0f, worst %.0f ms, %d never", g.Changes, r.Ack.P50, r.Ack.Worst,
		r.Force.P50, r.Force.P99, r.Force.Worst, never)
}

// drain has hosts say that they drain, one after another.
func (g *rig) drain(ctx context.Context, r *Result) {
	if n := min(g.Drains, len(g.hosts)); n > 0 {
		over := g.part(r, "drains")
		for _, h := range g.hosts[:n] {
			h.draining.Store(true)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		over()
		g.say("%d hosts drained: %d notes to routers", n, r.Parts["drains"].Hosts)
	}
}

// burst sends changes as fast as they are taken, eight at a time.
func (g *rig) burst(ctx context.Context, r *Result) {
	over := g.part(r, "burst")
	began := time.Now()
	var next atomic.Int64
	var mu sync.Mutex
	var all sync.WaitGroup
	var took []time.Duration
	failed := 0
	for range 8 {
		all.Go(func() {
			for n := int(next.Add(1)); n <= g.Burst && ctx.Err() == nil; n = int(next.Add(1)) {
				at := time.Now()
				err := g.order(ctx, n, g.route(fmt.Sprintf("burst-%04d", n), 0, 1), 10*time.Second)
				mu.Lock()
				if err != nil {
					failed++
					r.Why = append(r.Why, fmt.Sprintf("burst %d: %v", n, err))
				} else {
					took = append(took, time.Since(at))
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	r.BurstPerS = float64(len(took)) / time.Since(began).Seconds()
	r.BurstAck = spread(took, failed)
	g.settle(ctx)
	over()
	g.say("%d changes at once: %.1f a second, p99 %.0f ms, %d failed", g.Burst, r.BurstPerS, r.BurstAck.P99, failed)
}

// killOne kills the control process of the last zone that has one, and starts it again.
func (g *rig) killOne(ctx context.Context, r *Result) error {
	homes := g.homes()
	z := homes[len(homes)-1]
	var hung []*router
	for _, x := range g.routers {
		x.mu.Lock()
		if x.conn != nil && x.to == z {
			hung = append(hung, x)
		}
		x.mu.Unlock()
	}
	over := g.part(r, "killed")
	at := time.Now()
	g.children[z].kill()
	delete(g.children, z)
	r.Killed = g.follow(hung, at, 30*time.Second)
	time.Sleep(5 * time.Second)
	over()
	g.say("a control process killed: its %d routers follow others, p50 %.0f, worst %.0f ms, %d never", len(hung), r.Killed.P50, r.Killed.Worst, r.Killed.Never)
	over = g.part(r, "returned")
	if err := g.master(z, false); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	g.settle(ctx)
	over()
	return nil
}

// cutOff cuts the last region with a control process off.
func (g *rig) cutOff(ctx context.Context, r *Result) {
	homes := slices.Clone(g.homes())
	slices.Sort(homes)
	region := regionOf(homes[len(homes)-1])
	over := g.part(r, "cut")
	fence := func(on bool) {
		for z, c := range g.children {
			word := "cut"
			for x := range g.Zones {
				if on && (regionOf(x) == region) != (regionOf(z) == region) {
					word += fmt.Sprintf(" 127.%d.", 100+x)
				}
			}
			c.ask(word, nil)
		}
		g.off.Store(0)
		if on {
			g.off.Store(int64(region + 1))
		}
	}
	fence(true)
	time.Sleep(g.Cut)
	over()
	over = g.part(r, "healed")
	fence(false)
	at := time.Now()
	var there []*router
	for _, x := range g.routers {
		if regionOf(x.zone) == region {
			there = append(there, x)
		}
	}
	r.Healed = g.follow(there, at, 30*time.Second)
	g.settle(ctx)
	over()
	g.say("a region cut off for %v: %d routers follow again, p50 %.0f, worst %.0f ms, %d never", g.Cut, len(there), r.Healed.P50, r.Healed.Worst, r.Healed.Never)
}

// order sends a change to the control processes in turn until one takes it.
func (g *rig) order(ctx context.Context, first int, body []byte, limit time.Duration) (err error) {
	homes := g.homes()
	err = errors.New("nobody was asked")
	for at, until := first, time.Now().Add(limit); time.Now().Before(until) && ctx.Err() == nil; at++ {
		z := homes[at%len(homes)]
		var status int
		var raw []byte
		if status, raw, err = post(ctx, z, "configuration.modify", body, limit); err == nil && status == http.StatusOK {
			return nil
		} else if err == nil {
			if err = fmt.Errorf("%d: %s", status, raw); status == http.StatusBadRequest {
				return err
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

func post(ctx context.Context, zone int, call string, body []byte, limit time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+net.JoinHostPort(address(zone, 0), strconv.Itoa(controlPort))+"/-/rpc?call="+call, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, err
}

var routeColumns = []string{"name", "host-name", "path-prefix", "route-kind", "timeout-s", "target-s", "priority-level", "service", "maximum-attempts", "version"}

func (g *rig) routeRow(name string, n, version int) []any {
	return []any{name, fmt.Sprintf("desk-%02d.example", n%40), "/" + name, "safe_method", 2, 0.8, 1, fmt.Sprintf("service-%03d", n%g.Services), 2, fmt.Sprintf("%08x", version)}
}

func (g *rig) route(name string, n, version int) []byte {
	return table("routes", routeColumns, [][]any{g.routeRow(name, n, version)})
}

func table(kind string, columns []string, rows [][]any) []byte {
	raw, _ := json.Marshal(map[string]any{"set-items": map[string]any{kind: map[string]any{"table-columns": columns, "table-rows": rows}}})
	return raw
}

const rowsAtOnce = 1000

// configure sets the services, the routes and the shares, a thousand at a time.
func (g *rig) configure(ctx context.Context, r *Result) error {
	var services, routes, shares [][]any
	for n := range g.Services {
		services = append(services, []any{fmt.Sprintf("service-%03d", n), "/health", 140, "h1", false, 3, 20, "00000001"})
	}
	for n := range g.Routes {
		routes = append(routes, g.routeRow(fmt.Sprintf("route-%04d", n), n, 1))
	}
	for n := range g.Shares {
		shares = append(shares, []any{fmt.Sprintf("share-%05d", n), fmt.Sprintf("service-%03d", n%g.Services), "X-Tenant", fmt.Sprintf("tenant-%05d", n), 1, 10, "00000001"})
	}
	for _, t := range []struct {
		kind    string
		columns []string
		rows    [][]any
	}{{"services", []string{"name", "health-path", "connection-limit", "protocol", "transport-security", "cold-start-s", "cold-per-s", "version"}, services},
		{"routes", routeColumns, routes}, {"shares", []string{"name", "service", "caller-header", "caller", "per-s", "burst", "version"}, shares}} {
		for rows := range slices.Chunk(t.rows, rowsAtOnce) {
			at := time.Now()
			if err := g.order(ctx, 0, table(t.kind, t.columns, rows), time.Minute); err != nil {
				return fmt.Errorf("%s: %w", t.kind, err)
			}
			if took := time.Since(at); took > 2*time.Second {
				r.Why = append(r.Why, fmt.Sprintf("%d %s were taken after %.1f s only", len(rows), t.kind, took.Seconds()))
			}
		}
	}
	return nil
}
