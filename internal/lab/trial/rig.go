package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxKeptViolations = 40 // further ones are counted only

	hostsPerService          = 4
	hostsPerTransientService = 2

	readyTimeout = 30 * time.Second // for all proxies to have the first configuration
	readyPoll    = 100 * time.Millisecond
	readySettle  = time.Second // hosts that have just come are known everywhere then
)

// rig is a trial that runs.
type rig struct {
	options   Options
	dir       string
	clock     clock
	recorder  *recorder
	http      *http.Client
	control   []*process
	proxies   []*process
	traffic   []clientRoute
	operators *operatorGroup
	loadDone  atomic.Bool // no signal is sent any more, and processes are not started again

	counters struct {
		closedIdle         atomic.Int64 // connections that the proxy closed while they were idle
		refusedConnections atomic.Int64
		hostsLeft          atomic.Int64
	}

	mu           sync.Mutex // guards what follows
	signalLog    []Signal
	signalCounts map[string]int // by role and signal
	violations   []Violation    // the first maxKeptViolations
	violated     int            // all of them
}

// violate records broken rules.
func (r *rig) violate(all ...Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violated += len(all)
	for _, v := range all {
		if len(r.violations) < maxKeptViolations {
			r.violations = append(r.violations, v)
		}
	}
}

func newRig(o Options) (*rig, error) {
	dir, err := makeDir(o.Dir)
	if err != nil {
		return nil, err
	}
	o.Program, err = filepath.Abs(o.Program)
	if err != nil {
		return nil, err
	}
	r := &rig{
		options:      o,
		dir:          dir,
		clock:        clock{time.Now()},
		recorder:     newRecorder(o.Requests),
		http:         &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}},
		signalCounts: map[string]int{},
		traffic:      clientRoutes(),
	}
	r.operators = &operatorGroup{rig: r, changes: NewChanges(), counts: map[changeKind]int{}, results: map[string]int{}}
	for z := range zones {
		r.control = append(r.control, r.newControl(z))
	}
	for n := range zones * proxiesPerZone {
		r.proxies = append(r.proxies, r.newProxy(n))
	}
	return r, nil
}

// makeDir makes a folder where it is missing, a temporary one if no name is given.
func makeDir(dir string) (string, error) {
	if dir == "" {
		return os.MkdirTemp("", "trial")
	}
	return dir, os.MkdirAll(dir, 0o700)
}

func (r *rig) newControl(zone int) *process {
	return &process{
		name: fmt.Sprintf("control-%d", zone+1), ip: controlIP(zone), role: "control", duties: "control,directory",
		zone: zone, index: zone, rig: r,
	}
}

func (r *rig) newProxy(n int) *process {
	return &process{
		name: fmt.Sprintf("proxy-%d", n+1), ip: proxyIP(n), role: "proxy", duties: "front",
		zone: n % zones, index: n, rig: r,
	}
}

// rng returns the random source of one part of the trial.
func (r *rig) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.options.Seed, stream)) }

func (r *rig) progress(text string) {
	if r.options.Progress != nil {
		r.options.Progress(text)
	}
}

func (r *rig) processes() []*process { return slices.Concat(r.control, r.proxies) }

func (r *rig) startAll() error {
	for _, p := range r.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// restart starts a process that has ended; that it does not start is a violation.
func (r *rig) restart(p *process) {
	if err := p.start(); err != nil {
		r.violate(Violation{"PROCESS: not started", err.Error()})
	}
}

// stop kills all processes.
func (r *rig) stop() {
	for _, p := range r.processes() {
		p.kill()
		if p.role != "control" || r.options.Keep {
			continue
		}
		if err := os.RemoveAll(p.dataPath()); err != nil {
			r.progress(fmt.Sprintf("data of %s: %v", p.name, err))
		}
	}
}

// startHosts starts the hosts of each service, some of which leave now and then; the first of a service stays.
func (r *rig) startHosts(ctx context.Context, background *sync.WaitGroup) {
	index := 0
	start := func(service string, n int) {
		for i := range n {
			h := &host{
				rig:     r,
				service: service,
				zone:    (index + i) % zones,
				index:   index,
				rng:     r.rng(uint64(firstHostStream + index*10 + i)),
			}
			background.Go(func() {
				if err := h.run(ctx, i > 0); err != nil {
					r.violate(Violation{"TRIAL: a host", err.Error()})
				}
			})
			index++
		}
	}
	for _, s := range services {
		start(s, hostsPerService)
	}
	for _, s := range transientServices {
		start(s, hostsPerTransientService)
	}
}

// awaitReady waits until all proxies answer that they are ready.
func (r *rig) awaitReady() error {
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(readyPoll) {
		if r.readyProxies() == len(r.proxies) {
			time.Sleep(readySettle)
			return nil
		}
	}
	return fmt.Errorf("the proxies are not ready after %v", readyTimeout)
}

// readyProxies counts the proxies that answer that they are ready.
func (r *rig) readyProxies() (n int) {
	for _, p := range r.proxies {
		resp, err := r.http.Get("http://" + addressOf(p.ip, readinessPort) + "/-/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n++
		}
	}
	return n
}
