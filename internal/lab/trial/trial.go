// Package trial runs the deployed programs on loopback, three control processes and nine proxies, under load, while the
// configuration changes and processes are signalled, and judges what clients, hosts and operators saw: whether each request that was
// read got one whole answer, ran no more often than it may, and whether each acknowledged change is read back.
package trial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/client"
)

// Options are how a trial runs.
type Options struct {
	Program  string        // the deployed program
	Lasts    time.Duration // of the load; the restarts at the end come on top
	Seed     uint64
	Clients  int
	Kills    int    // signals that processes are sent
	Restarts int    // times that all control processes are killed at once at the end
	Procs    int    // GOMAXPROCS of the processes, 0 for all
	Requests int    // the most that are sent
	Dir      string // for logs and data, made where it is missing; empty for a temporary one
	Keep     bool   // keep the control processes' data
	Progress func(string)
}

// Defaults are the options of the short form.
func Defaults() Options {
	return Options{Program: "target/portflowd", Lasts: 18 * time.Second, Seed: 1, Clients: 120, Kills: 12, Restarts: 2, Requests: 1_000_000}
}

// The parts of the load's time: nothing else, changes, changes beside signals, nothing else.
const (
	calmPart    = 0.12
	changesPart = 0.40
	signalsPart = 0.40
)

// rig is a trial that runs.
type rig struct {
	options Options
	dir     string
	clock   clock
	book    *book
	http    *http.Client
	control []*process
	proxies []*process
	traffic []target
	council *council
	over    atomic.Bool

	sums struct {
		closedIdle, refusedConnections, hostsLeft atomic.Int64
	}

	mu         sync.Mutex
	signals    []Signal
	struck     map[string]int
	violations []Violation
	violated   int
}

// mostViolations are kept; further ones are counted only.
const mostViolations = 40

func (r *rig) violate(all ...Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violated += len(all)
	for _, v := range all {
		if len(r.violations) < mostViolations {
			r.violations = append(r.violations, v)
		}
	}
}

// Run runs a trial.
func Run(ctx context.Context, o Options) (*Report, error) {
	r, err := newRig(o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.end()
	if err := r.startAll(); err != nil {
		return nil, err
	}
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	r.startHosts(ctx, &background)
	first := r.council.newOperator(0, r.rng(1))
	if err := first.first(ctx); err != nil {
		return nil, fmt.Errorf("the first configuration: %w", err)
	}
	if err := r.ready(ctx); err != nil {
		return nil, err
	}
	r.progress("the configuration is taken, all proxies are ready")
	all := []*operator{first}
	for n := 1; n < operators; n++ {
		all = append(all, r.council.newOperator(n, r.rng(uint64(1+n))))
	}
	r.load(ctx, all)
	r.over.Store(true)
	r.readAll(ctx, "after the load")
	for n := range o.Restarts {
		r.restart(ctx, all, n)
	}
	r.searchLogs()
	return r.report(), nil
}

func newRig(o Options) (*rig, error) {
	dir := o.Dir
	if dir == "" {
		temporary, err := os.MkdirTemp("", "trial")
		if err != nil {
			return nil, err
		}
		dir = temporary
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	program, err := filepath.Abs(o.Program)
	if err != nil {
		return nil, err
	}
	o.Program = program
	r := &rig{options: o, dir: dir, clock: clock{time.Now()}, book: newBook(o.Requests), struck: map[string]int{}, traffic: targets(),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}}
	r.council = &council{rig: r, changes: NewChanges(), counts: map[string]int{}, results: map[string]int{}}
	for z := range zones {
		r.control = append(r.control, &process{name: fmt.Sprintf("control-%d", z+1), ip: controlIP(z), role: "control",
			duties: "control,directory", zone: z, index: z, rig: r})
	}
	for n := range zones * proxiesPerZone {
		r.proxies = append(r.proxies, &process{name: fmt.Sprintf("proxy-%d", n+1), ip: proxyIP(n), role: "proxy", duties: "front",
			zone: n % zones, index: n, rig: r})
	}
	return r, nil
}

// rng is a source of chance of its own for each part of the trial.
func (r *rig) rng(part uint64) *rand.Rand { return rand.New(rand.NewPCG(r.options.Seed, part)) }

func (r *rig) progress(text string) {
	if r.options.Progress != nil {
		r.options.Progress(text)
	}
}

func (r *rig) processes() []*process {
	return append(append([]*process(nil), r.control...), r.proxies...)
}

func (r *rig) startAll() error {
	for _, p := range r.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// end kills all processes.
func (r *rig) end() {
	for _, p := range r.processes() {
		p.kill()
		if p.role == "control" && !r.options.Keep {
			os.RemoveAll(filepath.Join(r.dir, p.name+".data"))
		}
	}
}

// startHosts starts four hosts of each lasting service and two of each fleeting one; some of them leave now and then.
func (r *rig) startHosts(ctx context.Context, background *sync.WaitGroup) {
	index := 0
	start := func(service string, n int) {
		for i := range n {
			h := &host{rig: r, service: service, zone: (index + i) % zones, index: index, rng: r.rng(uint64(1000 + index*10 + i))}
			background.Go(func() {
				if err := h.run(ctx, i > 0); err != nil {
					r.violate(Violation{"TRIAL: a host", err.Error()})
				}
			})
			index++
		}
	}
	for _, s := range services {
		start(s, 4)
	}
	for _, s := range fleeting {
		start(s, 2)
	}
}

// readyIn is for all proxies to have the first configuration.
const readyIn = 30 * time.Second

// ready waits until all proxies say that they are.
func (r *rig) ready(ctx context.Context) error {
	for began := time.Now(); time.Since(began) < readyIn; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, p := range r.proxies {
			resp, err := r.http.Get("http://" + at(p.ip, readinessPort) + "/-/readiness")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n++
			}
		}
		if n == len(r.proxies) {
			time.Sleep(time.Second) // hosts that have just come are known everywhere then
			return nil
		}
	}
	return fmt.Errorf("the proxies are not ready after %v", readyIn)
}

// load has clients ask through all parts of the trial.
func (r *rig) load(ctx context.Context, all []*operator) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	styles := []Style{Kept, Pipelined, Resting, Fresh}
	for n := range r.options.Clients {
		c := &trialClient{rig: r, name: fmt.Sprintf("%016x-%d", r.options.Seed, n), style: styles[n%len(styles)], zone: n % zones, rng: r.rng(uint64(10_000 + n))}
		clients.Go(func() { c.run(stop) })
	}
	part := func(of float64) time.Duration { return time.Duration(of * float64(r.options.Lasts)) }
	wait(ctx, part(calmPart))
	changing, still := context.WithCancel(ctx)
	var operating sync.WaitGroup
	for _, o := range all {
		operating.Go(func() { o.run(changing) })
	}
	r.progress("changes")
	wait(ctx, part(changesPart))
	r.progress("changes and signals")
	r.disturb(ctx, r.rng(500), part(signalsPart))
	still()
	operating.Wait()
	r.progress("no more changes")
	wait(ctx, part(1-calmPart-changesPart-signalsPart)+terms.Configuration+time.Second)
	close(stop)
	clients.Wait()
	wait(ctx, time.Second) // a second run of what is over would come by then
}

func wait(ctx context.Context, lasts time.Duration) {
	select {
	case <-time.After(lasts):
	case <-ctx.Done():
	}
}

const (
	readIn       = 30 * time.Second // for one control process to answer after a restart
	operatingFor = 700 * time.Millisecond
)

// readAll reads the configuration from each control process and judges it.
func (r *rig) readAll(ctx context.Context, when string) {
	for _, p := range r.control {
		who := p.name + " " + when
		began := time.Now()
		one := client.Client{Addresses: []string{at(p.ip, controlPort)}, HTTP: r.http, Timeout: readIn}
		raw, err := one.Call(ctx, "configuration.read", "", nil)
		if err != nil {
			r.violate(Violation{"CONFIGURATION: not read", fmt.Sprintf("%s: after %v: %v", who, time.Since(began), err)})
			continue
		}
		standing, err := ReadStanding(raw)
		if err != nil {
			r.violate(Violation{"CONFIGURATION: not read", who + ": " + err.Error()})
			continue
		}
		r.council.mu.Lock()
		all := r.council.changes.Check(who, standing)
		r.council.mu.Unlock()
		r.violate(all...)
		r.progress(fmt.Sprintf("%s: %d items read after %v, %d of them wrong", who, len(standing), time.Since(began).Round(time.Millisecond), len(all)))
	}
}

// restart kills all control processes at once, in the midst of changes, starts them again and reads from each.
func (r *rig) restart(ctx context.Context, all []*operator, n int) {
	operating, stop := context.WithCancel(ctx)
	var each sync.WaitGroup
	for _, o := range all {
		each.Go(func() { o.run(operating) })
	}
	wait(ctx, operatingFor+time.Duration(r.rng(uint64(600+n)).Int64N(int64(operatingFor))))
	var killed sync.WaitGroup
	for _, p := range r.control {
		killed.Go(p.kill)
	}
	killed.Wait()
	stop()
	each.Wait()
	for _, p := range r.control {
		if err := p.start(); err != nil {
			r.violate(Violation{"PROCESS: not started", err.Error()})
		}
	}
	r.readAll(ctx, fmt.Sprintf("after all were killed, %d", n+1))
}

// searchLogs looks for races and panics in what the processes wrote.
func (r *rig) searchLogs() {
	for _, p := range r.processes() {
		f, err := os.Open(p.logPath())
		if err != nil {
			continue
		}
		raw, _ := io.ReadAll(io.LimitReader(f, 64<<20))
		f.Close()
		for _, word := range []string{"WARNING: DATA RACE", "panic:", "fatal error:"} {
			if n := bytes.Count(raw, []byte(word)); n > 0 {
				r.violate(Violation{"PROCESS: " + word, fmt.Sprintf("%s: %d times", p.logPath(), n)})
			}
		}
	}
}
