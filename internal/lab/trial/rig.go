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
	maxKeptViolations = 40 // further violations are only counted
	maxKeptPerRule    = 8

	hostsPerService          = 4
	hostsPerTransientService = 2

	readyTimeout = 30 * time.Second // for all proxies to receive the initial configuration
	readyPoll    = 100 * time.Millisecond
	readySettle  = time.Second // for endpoint updates about hosts that have just started to reach all proxies
)

// rig is a running trial: its processes and the state that clients, hosts and operators share.
type rig struct {
	options   Options
	dir       string
	layout    layout
	clock     clock
	recorder  *recorder
	http      *http.Client
	control   []*process
	proxies   []*process
	traffic   []clientRoute
	operators *operatorGroup
	loadDone  atomic.Bool // disables signalling and the restart of processes that exit unexpectedly

	counters struct {
		closedIdle         atomic.Int64 // idle connections that proxies closed
		refusedConnections atomic.Int64
		departuresAcked    atomic.Int64
		departuresUnacked  atomic.Int64
		leftWithoutDrain   atomic.Int64
		lateHeartbeats     atomic.Int64 // that were answered
	}

	mu           sync.Mutex // guards the fields below
	signalLog    []Signal
	signalCounts map[string]int // by role and signal
	seriesCounts map[seriesKind]int
	violations   []Violation    // the first maxKeptViolations, at most maxKeptPerRule of a rule
	ruleCounts   map[string]int // violations by rule
	violated     int            // number of all violations
}

// violate counts violations and keeps the first ones.
func (r *rig) violate(all ...Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violated += len(all)
	for _, v := range all {
		r.ruleCounts[v.Rule]++
		if len(r.violations) < maxKeptViolations && r.ruleCounts[v.Rule] <= maxKeptPerRule {
			r.violations = append(r.violations, v)
		}
	}
}

func newRig(o Options) (*rig, error) {
	dir, err := makeDir(o.Dir)
	if err != nil {
		return nil, err
	}
	if o.Program, err = filepath.Abs(o.Program); err != nil {
		return nil, err
	}
	if o.Former != "" {
		if o.Former, err = filepath.Abs(o.Former); err != nil {
			return nil, err
		}
	}
	r := &rig{
		options:      o,
		dir:          dir,
		layout:       layout{block: o.Block, proxiesPerZone: o.ProxiesPerZone},
		clock:        clock{time.Now()},
		recorder:     newRecorder(o.Requests),
		http:         &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}},
		signalCounts: map[string]int{},
		seriesCounts: map[seriesKind]int{},
		ruleCounts:   map[string]int{},
		traffic:      clientRoutes(),
	}
	r.operators = &operatorGroup{rig: r, changes: NewChanges(), counts: map[changeKind]int{}, results: map[string]int{}}
	for z := range zones {
		r.control = append(r.control, r.newControl(z))
	}
	for n := range r.layout.proxies() {
		r.proxies = append(r.proxies, r.newProxy(n))
	}
	return r, nil
}

// makeDir creates dir if it does not exist, or a temporary directory if dir is empty.
func makeDir(dir string) (string, error) {
	if dir == "" {
		return os.MkdirTemp("", "trial")
	}
	return dir, os.MkdirAll(dir, 0o700)
}

func (r *rig) newControl(zone int) *process {
	return &process{
		name: fmt.Sprintf("control-%d", zone+1), ip: r.layout.controlIP(zone), role: "control", duties: "control,directory",
		zone: zone, index: zone, rig: r,
	}
}

func (r *rig) newProxy(n int) *process {
	return &process{
		name: fmt.Sprintf("proxy-%d", n+1), ip: r.layout.proxyIP(n), role: "proxy", duties: "front",
		zone: n % zones, index: n, rig: r,
	}
}

// rng returns a new random source that depends only on the seed and on the stream number.
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

// restart starts a process that has exited, and records a violation if that fails.
func (r *rig) restart(p *process) {
	if err := p.start(); err != nil {
		r.violate(Violation{"PROCESS: failed to start", err.Error()})
	}
}

// stop kills all processes and removes the control processes' data unless Options.Keep is set.
func (r *rig) stop() {
	for _, p := range r.processes() {
		p.kill()
		if p.role != "control" || r.options.Keep {
			continue
		}
		if err := os.RemoveAll(p.dataPath()); err != nil {
			r.progress(fmt.Sprintf("remove data of %s: %v", p.name, err))
		}
	}
}

// startHosts runs the hosts of all services in the background. The instances of the first host of a service don't leave.
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
					r.violate(Violation{"TRIAL: host failed", err.Error()})
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

// awaitReady waits until all proxies report that they are ready.
func (r *rig) awaitReady() error {
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(readyPoll) {
		if r.readyProxies() == len(r.proxies) {
			time.Sleep(readySettle)
			return nil
		}
	}
	return fmt.Errorf("proxies not ready after %v", readyTimeout)
}

// readyProxies counts the proxies that report that they are ready.
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
