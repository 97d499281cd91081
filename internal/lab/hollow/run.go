package hollow

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"portflow/internal/cluster/update"
)

// run is the state of a running test.
type run struct {
	Plan
	dir               string
	controls          map[int]*childProcess // control processes, by zone
	realProxies       []*childProcess
	routers           []*hollowRouter
	hosts             []*hollowHost
	received          UpdateStats
	heartbeats        HeartbeatStats
	partitionedRegion atomic.Int64 // partitioned region plus one; 0 for none
	pending           atomic.Pointer[pendingChange]
	command           []string // arguments that make this executable a child process
}

func (r *run) controlZones() []int { return r.Plan.controlZones() }

func (r *run) seeds() []int { h := r.controlZones(); return h[:min(3, len(h))] }

// partitioned reports whether an emulated partition separates two zones.
func (r *run) partitioned(a, b int) bool {
	region := int(r.partitionedRegion.Load()) - 1
	return region >= 0 && (regionOf(a) == region) != (regionOf(b) == region)
}

func (r *run) progress(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf(format, args...))
	}
}

// sendCommand sends a command to a child and discards the answer. An error is only reported as progress.
func (r *run) sendCommand(child *childProcess, command string) {
	if err := child.call(command, nil); err != nil {
		r.progress("%s: %v", command, err)
	}
}

const runTimeout = 15 * time.Minute

// Run runs a plan. The command-line arguments in command have to make this executable call RunChild. Run ends all child processes
// before it returns.
func Run(parent context.Context, plan Plan, command []string) (result Result, err error) {
	if err := plan.validate(); err != nil {
		return result, err
	}
	dir, err := os.MkdirTemp("", "hollow")
	if err != nil {
		return result, err
	}
	rn := &run{Plan: plan, dir: dir, controls: map[int]*childProcess{}, command: command}
	defer rn.removeDir()
	ctx, cancel := context.WithTimeout(parent, runTimeout)
	defer cancel()
	result = Result{Plan: plan, Phases: map[string]Phase{}}
	defer rn.killChildren()
	if err := rn.startCluster(ctx, &result); err != nil {
		return result, err
	}
	if err := rn.measureAll(ctx, &result); err != nil {
		return result, err
	}
	for _, zone := range rn.controlZones() {
		if child := rn.controls[zone]; child == nil || child.cmd.ProcessState != nil {
			result.Failures = append(result.Failures, "control process exited: "+zoneName(zone))
		}
	}
	return result, ctx.Err()
}

func (r *run) removeDir() {
	if err := os.RemoveAll(r.dir); err != nil {
		r.progress("%v", err)
	}
}

func (r *run) killChildren() {
	for _, child := range r.controls {
		child.kill()
	}
	for _, child := range r.realProxies {
		child.kill()
	}
}

// startCluster starts and configures the control processes, starts hosts and routers, and waits up to a minute until all
// routers are ready.
func (r *run) startCluster(ctx context.Context, result *Result) error {
	for _, zone := range r.controlZones() {
		if err := r.startControl(zone, true); err != nil {
			return err
		}
	}
	start := time.Now()
	if err := r.configure(ctx, result); err != nil {
		return err
	}
	result.ConfigureSeconds = time.Since(start).Seconds()
	r.progress("%d control processes, %d items configured in %.1f s", r.Voters, r.Services+r.Routes+r.Quotas, result.ConfigureSeconds)
	endPhase := r.beginPhase(result, "start")
	r.writeProfiles("start")
	r.startHosts(ctx)
	for n := range r.Routers {
		zone := n % r.Zones
		r.routers = append(r.routers, &hollowRouter{run: r, index: n, name: fmt.Sprintf("router-%04d", n), ip: address(zone, 2000+n/r.Zones), zone: zone})
	}
	startedAt := time.Now()
	if err := r.startRouters(ctx, r.routers); err != nil {
		return err
	}
	if err := r.startRealProxies(); err != nil {
		return err
	}
	go r.sendHeartbeats(ctx) // until the end of the run
	result.StartReady = r.awaitSubscribed(r.routers, startedAt, time.Minute)
	r.awaitQuiet(ctx)
	endPhase()
	r.progress("all subscribed: p50 %.0f, worst %.0f ms, %d never", result.StartReady.P50, result.StartReady.Worst, result.StartReady.TimedOut)
	return nil
}

// startHosts starts the goroutines of all hosts, which end when ctx is done.
func (r *run) startHosts(ctx context.Context) {
	controlZones := r.controlZones()
	for n := range r.Hosts {
		zone := n % r.Zones
		h := &hollowHost{
			run:         r,
			index:       n,
			id:          fmt.Sprintf("host-%05d", n),
			ip:          address(zone, 100+n/r.Zones%1000),
			zone:        zone,
			service:     fmt.Sprintf("service-%03d", n/r.Zones%r.Services),
			controlZone: controlZones[n%len(controlZones)],
		}
		r.hosts = append(r.hosts, h)
		go h.runHeartbeats(ctx)
	}
}

// startRealProxies starts the proxy processes.
func (r *run) startRealProxies() error {
	for n := range r.RealRouters {
		zone := n % r.Zones
		settings := r.settings(fmt.Sprintf("real-%02d", n), proxyRole, zone, 4000+n/r.Zones)
		start := childStart{Role: proxyRole, Settings: settings, Seed: r.Seed + uint64(n)}
		child, err := startChild(r.command, start, filepath.Join(r.dir, fmt.Sprintf("real-%d.log", n)))
		if err != nil {
			return err
		}
		r.realProxies = append(r.realProxies, child)
	}
	return nil
}

func (r *run) startControl(zone int, first bool) error {
	settings := r.settings("control-"+zoneName(zone), controlRole, zone, 0)
	settings.FirstStart = first
	dataDir := filepath.Join(r.dir, zoneName(zone))
	if err := os.MkdirAll(dataDir, 0o755); err != nil {
		return err
	}
	child, err := startChild(r.command, childStart{Role: controlRole, Settings: settings, DataDir: dataDir, Seed: r.Seed + uint64(zone)}, filepath.Join(r.dir, zoneName(zone)+".log"))
	if err != nil {
		return err
	}
	r.controls[zone] = child
	return nil
}

// startRouters starts routers without a subscription to resume, as after a restart.
func (r *run) startRouters(ctx context.Context, routers []*hollowRouter) error {
	for _, x := range routers {
		routerCtx, cancel := context.WithCancel(ctx)
		x.cancel, x.subscription = cancel, update.Subscription{}
		x.readySince.Store(0)
		for attempt := 0; ; attempt++ { // the previous incarnation may not have closed its socket yet
			err := x.start(routerCtx)
			if err == nil {
				break
			} else if attempt > 50 {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// sendHeartbeats sends the heartbeats of all router connections, and closes connections that cross a partition.
func (r *run) sendHeartbeats(ctx context.Context) {
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		for _, x := range r.routers {
			x.sendHeartbeat()
			x.closeIfPartitioned()
		}
	}
}
