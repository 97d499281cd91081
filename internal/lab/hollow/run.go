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

// Latencies summarizes durations in milliseconds.
type Latencies struct {
	Count    int     `json:"n"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Worst    float64 `json:"worst_ms"`
	TimedOut int     `json:"never"` // not finished within the time limit
}

func latencies(took []time.Duration, timedOut int) Latencies {
	out := Latencies{Count: len(took), TimedOut: timedOut}
	if len(took) == 0 {
		return out
	}
	slices.Sort(took)
	ms := func(quantile float64) float64 { return float64(took[int(quantile*float64(len(took)-1))]) / 1e6 }
	out.P50, out.P99, out.Worst = ms(0.5), ms(0.99), ms(1)
	return out
}

// CallResult is the slowest duration and the response size of a repeated operator call.
type CallResult struct {
	Millis float64 `json:"ms"`
	Bytes  int     `json:"bytes"`
}

// ProcessRate is the resource usage of one process while the cluster is idle. CPU, allocations, frames and heartbeats are per second.
type ProcessRate struct {
	Name                 string  `json:"name"`
	Cores                float64 `json:"cores"`
	RSSMB                float64 `json:"rss_mb"`
	PeakMB               float64 `json:"peak_mb"`
	HeapMB               float64 `json:"heap_mb"`
	AllocatedKBPerSecond float64 `json:"allocated_kb_s"`
	Mallocs              float64 `json:"mallocs_s"`
	FramesSent           float64 `json:"said_s"`
	BytesSent            float64 `json:"said_bytes_s"`
	Heartbeats           float64 `json:"beats_s"`
	Descriptors          int     `json:"descriptors"`
	DiskMB               float64 `json:"disk_mb"`
	StartupCPU           float64 `json:"startup_cpu_s"` // CPU seconds before the idle phase
}

// Phase is the total resource usage of all control processes in one phase of a run, and their traffic with routers and hosts.
type Phase struct {
	Seconds              float64          `json:"took_s"`
	CPUSeconds           float64          `json:"core_cpu_s"`
	BusiestCPUSeconds    float64          `json:"busiest_cpu_s"`
	FramesSent           int64            `json:"core_said"`
	BytesSent            int64            `json:"core_said_bytes"`
	Mallocs              int64            `json:"core_mallocs"`
	AllocatedBytes       int64            `json:"core_allocated_bytes"`
	Frames               map[string]int64 `json:"router_frames"`      // frames sent to routers, by kind
	FrameBytes           map[string]int64 `json:"router_frame_bytes"` // bytes of these frames, by kind
	BytesByDistance      [3]int64         `json:"router_bytes_far"`   // by distance: same zone, same region, other region
	UploadBytes          int64            `json:"router_up_bytes"`
	HostChanges          int64            `json:"host_notes"`
	RouterChanges        int64            `json:"router_notes"`
	ItemChanges          int64            `json:"item_notes"`
	Heartbeats           int64            `json:"beats"`
	HeartbeatsByDistance [3]int64         `json:"beats_far"`
	HeartbeatsRefused    int64            `json:"beats_refused"`
	HeartbeatsFailed     int64            `json:"beats_failed"`
	HeartbeatDials       int64            `json:"beat_dials"`
	StreamDials          int64            `json:"line_dials"`
}

// Result is the outcome of a run.
type Result struct {
	Plan
	StartReady           Latencies        `json:"start_ready"` // from the simultaneous start of all routers until each is ready
	ConfigureSeconds     float64          `json:"configure_s"`
	Control              []ProcessRate    `json:"control"` // control processes while idle
	RealProxies          []ProcessRate    `json:"real"`    // proxy processes while idle
	Phases               map[string]Phase `json:"parts"`
	ChangeAcked          Latencies        `json:"change_ack"`
	ChangeApplied        Latencies        `json:"change_told"` // until a router received the change
	FailedOver           Latencies        `json:"killed"`      // until routers of the killed control process are ready with another one
	Restarted            Latencies        `json:"restarted"`
	Healed               Latencies        `json:"healed"` // after a partition: until routers of the region are ready
	BurstPerSecond       float64          `json:"burst_per_s"`
	BurstAck             Latencies        `json:"burst_ack"`
	GossipBytesPerRouter float64          `json:"shuffle_bytes_router_s"`
	ClusterRead          CallResult       `json:"harbour_read"` // slowest of three calls
	ConfigurationRead    CallResult       `json:"configuration_read"`
	Failures             []string         `json:"why,omitempty"` // failed or slow operations
}

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

// pendingChange is a configuration change that is being distributed to all routers.
type pendingChange struct {
	pattern   []byte // identifies the change in an encoded batch
	sent      time.Time
	seenAfter []atomic.Int64 // by router index: nanoseconds from sent until received; 0 if not received
}

func (r *run) controlZones() []int { return r.Plan.controlZones() }
func (r *run) seeds() []int        { h := r.controlZones(); return h[:min(3, len(h))] }

// partitioned reports whether an emulated partition separates two zones.
func (r *run) partitioned(a, b int) bool {
	region := int(r.partitionedRegion.Load()) - 1
	return region >= 0 && (regionOf(a) == region) != (regionOf(b) == region)
}

// recordSeen records when router n receives the pending change, if the batch in body contains it.
func (r *run) recordSeen(n int, body []byte) {
	if p := r.pending.Load(); p != nil && bytes.Contains(body, p.pattern) {
		p.seenAfter[n].CompareAndSwap(0, int64(time.Since(p.sent)))
	}
}

func (r *run) progress(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf(format, args...))
	}
}

// sendCommand sends a command to a child and discards the answer. An error is only reported as progress: a child that does not accept the
// command has exited, which the end of the run reports.
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

// measureAll runs the phases that the plan selects, one after another.
func (r *run) measureAll(ctx context.Context, result *Result) error {
	if err := r.measureIdle(ctx, result); err != nil {
		return err
	}
	result.ClusterRead = r.measureRead(ctx, "harbour.read")
	result.ConfigurationRead = r.measureRead(ctx, "configuration.read")
	r.measureChanges(ctx, result)
	r.measureDrains(result)
	if r.Burst > 0 {
		r.measureBurst(ctx, result)
	}
	if r.RestartRouters {
		if err := r.measureRestart(ctx, result); err != nil {
			return err
		}
	}
	if r.KillControl && r.Voters > 2 {
		if err := r.measureControlLoss(ctx, result); err != nil {
			return err
		}
	}
	if r.PartitionTime > 0 {
		r.measurePartition(ctx, result)
	}
	return nil
}

// measureRestart restarts half of the routers at once and measures the time until they are ready.
func (r *run) measureRestart(ctx context.Context, result *Result) error {
	endPhase := r.beginPhase(result, "restart")
	half := r.routers[:len(r.routers)/2]
	for _, rt := range half {
		rt.cancel()
	}
	time.Sleep(200 * time.Millisecond)
	startedAt := time.Now()
	if err := r.startRouters(ctx, half); err != nil {
		return err
	}
	result.Restarted = r.awaitSubscribed(half, startedAt, 30*time.Second)
	r.awaitQuiet(ctx)
	endPhase()
	r.progress("half of the routers restarted: p50 %.0f, worst %.0f ms, %d never", result.Restarted.P50, result.Restarted.Worst, result.Restarted.TimedOut)
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

// awaitSubscribed waits until all routers have become ready after since, and returns how long that took. Routers that are not ready
// at the limit count as timed out.
func (r *run) awaitSubscribed(routers []*hollowRouter, since time.Time, limit time.Duration) Latencies {
	var durations []time.Duration
	missing := 0
	for deadline := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		durations, missing = durations[:0], 0
		for _, x := range routers {
			if at := x.readySince.Load(); at > since.UnixNano() {
				durations = append(durations, time.Duration(at-since.UnixNano()))
			} else {
				missing++
			}
		}
		if missing == 0 || time.Now().After(deadline) {
			return latencies(durations, missing)
		}
	}
}

// awaitQuiet waits until routers have received no snapshots or batches for two seconds, or until half a minute has passed.
func (r *run) awaitQuiet(ctx context.Context) {
	previous, quiet := int64(-1), 0
	for n := 0; n < 60 && quiet < 4 && ctx.Err() == nil; n++ {
		time.Sleep(500 * time.Millisecond)
		count := int64(0)
		for dist := range 3 {
			count += r.received.Frames[BatchFrame][dist].Load() + r.received.Frames[SnapshotFrame][dist].Load()
		}
		if count == previous {
			quiet++
		} else {
			quiet = 0
		}
		previous = count
	}
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

// controlStats queries all control processes concurrently. The result is by zone and omits processes whose call fails.
func (r *run) controlStats() map[int]ProcessStats {
	var mu sync.Mutex
	var pending sync.WaitGroup
	out := map[int]ProcessStats{}
	for z, c := range r.controls {
		pending.Go(func() {
			var s ProcessStats
			if c.call("stat", &s) == nil {
				mu.Lock()
				defer mu.Unlock()
				out[z] = s
			}
		})
	}
	pending.Wait()
	return out
}

// snapshotCounts returns the current totals of the counters of routers and hosts.
func (r *run) snapshotCounts() (phase Phase) {
	received, heartbeats := &r.received, &r.heartbeats
	phase.Frames, phase.FrameBytes = map[string]int64{}, map[string]int64{}
	for k := range frameKinds {
		for dist := range 3 {
			phase.Frames[k.String()] += received.Frames[k][dist].Load()
			phase.FrameBytes[k.String()] += received.Bytes[k][dist].Load()
			phase.BytesByDistance[dist] += received.Bytes[k][dist].Load()
		}
	}
	for dist := range 3 {
		phase.UploadBytes += received.UploadBytes[dist].Load()
		phase.HeartbeatsByDistance[dist] = heartbeats.ByDistance[dist].Load()
	}
	phase.HostChanges, phase.RouterChanges, phase.ItemChanges, phase.StreamDials = received.Hosts.Load(), received.Routers.Load(), received.Items.Load(), received.Dials.Load()
	phase.Heartbeats, phase.HeartbeatsRefused, phase.HeartbeatsFailed, phase.HeartbeatDials = heartbeats.Acknowledged.Load(), heartbeats.Refused.Load(), heartbeats.Failed.Load(), heartbeats.Dials.Load()
	return phase
}

// beginPhase starts a phase. The returned function ends it and stores the differences of the counters in result.
func (r *run) beginPhase(result *Result, name string) func() {
	start, before, baseline := time.Now(), r.controlStats(), r.snapshotCounts()
	return func() {
		phase := r.snapshotCounts()
		for k := range phase.Frames {
			phase.Frames[k] -= baseline.Frames[k]
			phase.FrameBytes[k] -= baseline.FrameBytes[k]
		}
		for dist := range 3 {
			phase.BytesByDistance[dist] -= baseline.BytesByDistance[dist]
			phase.HeartbeatsByDistance[dist] -= baseline.HeartbeatsByDistance[dist]
		}
		phase.UploadBytes -= baseline.UploadBytes
		phase.HostChanges, phase.RouterChanges, phase.ItemChanges, phase.StreamDials = phase.HostChanges-baseline.HostChanges, phase.RouterChanges-baseline.RouterChanges, phase.ItemChanges-baseline.ItemChanges, phase.StreamDials-baseline.StreamDials
		phase.Heartbeats, phase.HeartbeatsRefused, phase.HeartbeatsFailed, phase.HeartbeatDials = phase.Heartbeats-baseline.Heartbeats, phase.HeartbeatsRefused-baseline.HeartbeatsRefused, phase.HeartbeatsFailed-baseline.HeartbeatsFailed, phase.HeartbeatDials-baseline.HeartbeatDials
		phase.Seconds = time.Since(start).Seconds()
		for z, s := range r.controlStats() {
			b := before[z]
			cpu := (s.CPU - b.CPU).Seconds()
			phase.CPUSeconds += cpu
			phase.BusiestCPUSeconds = max(phase.BusiestCPUSeconds, cpu)
			phase.FramesSent += s.FramesSent - b.FramesSent
			phase.BytesSent += s.BytesSent - b.BytesSent
			phase.Mallocs += s.Mallocs - b.Mallocs
			phase.AllocatedBytes += s.Allocated - b.Allocated
		}
		result.Phases[name] = phase
	}
}

func processRate(name string, a, b ProcessStats, seconds float64) ProcessRate {
	const mb = 1 << 20
	return ProcessRate{Name: name, Cores: (b.CPU - a.CPU).Seconds() / seconds, RSSMB: float64(b.RSS) / mb, PeakMB: float64(b.Peak) / mb, HeapMB: float64(b.Heap) / mb,
		AllocatedKBPerSecond: float64(b.Allocated-a.Allocated) / 1024 / seconds, Mallocs: float64(b.Mallocs-a.Mallocs) / seconds,
		FramesSent: float64(b.FramesSent-a.FramesSent) / seconds, BytesSent: float64(b.BytesSent-a.BytesSent) / seconds, Heartbeats: float64(b.Heartbeats-a.Heartbeats) / seconds,
		Descriptors: b.OpenFiles, DiskMB: float64(b.DiskBytes) / mb, StartupCPU: a.CPU.Seconds()}
}

// measureIdle measures resource usage for IdleTime without changes.
func (r *run) measureIdle(ctx context.Context, result *Result) error {
	r.writeProfiles("calm")
	endPhase := r.beginPhase(result, "calm")
	before, proxiesBefore := r.controlStats(), make([]ProcessStats, len(r.realProxies))
	for n, c := range r.realProxies {
		if err := c.call("stat", &proxiesBefore[n]); err != nil {
			return err
		}
	}
	gossipBefore := r.gossipBytes()
	start := time.Now()
	select {
	case <-time.After(r.IdleTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	seconds := time.Since(start).Seconds()
	endPhase()
	result.GossipBytesPerRouter = float64(r.gossipBytes()-gossipBefore) / seconds / float64(len(r.routers))
	for z, s := range r.controlStats() {
		result.Control = append(result.Control, processRate("control-"+zoneName(z), before[z], s, seconds))
	}
	slices.SortFunc(result.Control, func(a, b ProcessRate) int { return strings.Compare(a.Name, b.Name) })
	for n, c := range r.realProxies {
		var s ProcessStats
		if err := c.call("stat", &s); err != nil {
			return err
		}
		result.RealProxies = append(result.RealProxies, processRate(fmt.Sprintf("real-%02d", n), proxiesBefore[n], s, seconds))
	}
	r.writeProfiles("")
	sum, busiest := 0.0, 0.0
	for _, x := range result.Control {
		sum, busiest = sum+x.Cores, max(busiest, x.Cores)
	}
	r.progress("calm: the core %.3f cores, its busiest %.3f, %d beats a second", sum, busiest, int(float64(result.Phases["calm"].Heartbeats)/seconds))
	return nil
}

// measureRead makes a read call three times and returns the longest duration.
func (r *run) measureRead(ctx context.Context, call string) (result CallResult) {
	for range 3 {
		sentAt := time.Now()
		if _, raw, err := callRPC(ctx, r.controlZones()[0], call, nil, 10*time.Second); err == nil {
			result.Millis, result.Bytes = max(result.Millis, float64(time.Since(sentAt))/1e6), len(raw)
		}
	}
	return result
}

func (r *run) gossipBytes() (n int64) {
	for _, x := range r.routers {
		n += x.gossiper.BytesSent.Load()
	}
	return n
}

// writeProfiles makes all child processes write a CPU profile until the next call. An empty name only ends the current profiles.
func (r *run) writeProfiles(name string) {
	if r.Profile == "" {
		return
	}
	for z, c := range r.controls {
		path := ""
		if name != "" {
			path = filepath.Join(r.Profile, fmt.Sprintf("%s-%s.pprof", name, zoneName(z)))
		}
		r.sendCommand(c, "profile "+path)
	}
	for n, c := range r.realProxies {
		path := ""
		if name != "" {
			path = filepath.Join(r.Profile, fmt.Sprintf("%s-real-%02d.pprof", name, n))
		}
		r.sendCommand(c, "profile "+path)
	}
}

// measureChanges changes one route repeatedly. After each change it waits until all routers have received it or the time limit
// has passed.
func (r *run) measureChanges(ctx context.Context, result *Result) {
	if r.Changes == 0 {
		return
	}
	r.writeProfiles("changes")
	defer r.writeProfiles("")
	endPhase := r.beginPhase(result, "changes")
	var acks, applied []time.Duration
	timedOut := 0
	for n := range r.Changes {
		pending := &pendingChange{pattern: fmt.Appendf(nil, `"n":"probe","v":%d,`, n+1), sent: time.Now(), seenAfter: make([]atomic.Int64, len(r.routers))}
		r.pending.Store(pending)
		if err := r.sendChange(ctx, n, r.routeChange("probe", 0, n+1), 6*time.Second); err != nil {
			result.Failures = append(result.Failures, fmt.Sprintf("change %d: %v", n, err))
			continue
		}
		acks = append(acks, time.Since(pending.sent))
		missing := 1
		for missing > 0 && time.Since(pending.sent) < 6*time.Second {
			time.Sleep(5 * time.Millisecond)
			missing = 0
			for x := range pending.seenAfter {
				if pending.seenAfter[x].Load() == 0 {
					missing++
				}
			}
		}
		timedOut += missing
		for x := range pending.seenAfter {
			if at := pending.seenAfter[x].Load(); at > 0 {
				applied = append(applied, time.Duration(at))
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	result.ChangeAcked, result.ChangeApplied = latencies(acks, r.Changes-len(acks)), latencies(applied, timedOut)
	time.Sleep(time.Second)
	endPhase()
	r.progress("%d changes: acknowledged p50 %.0f, worst %.0f ms; told p50 %.0f, p99 %.0f, worst %.0f ms, %d never", r.Changes, result.ChangeAcked.P50, result.ChangeAcked.Worst,
		result.ChangeApplied.P50, result.ChangeApplied.P99, result.ChangeApplied.Worst, timedOut)
}

// measureDrains makes hosts start draining, one after another.
func (r *run) measureDrains(result *Result) {
	if n := min(r.Drains, len(r.hosts)); n > 0 {
		endPhase := r.beginPhase(result, "drains")
		for _, h := range r.hosts[:n] {
			h.draining.Store(true)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		endPhase()
		r.progress("%d hosts drained: %d notes to routers", n, result.Phases["drains"].HostChanges)
	}
}

// measureBurst sends changes as fast as they are acknowledged, with eight in flight.
func (r *run) measureBurst(ctx context.Context, result *Result) {
	endPhase := r.beginPhase(result, "burst")
	start := time.Now()
	var next atomic.Int64
	var mu sync.Mutex
	var workers sync.WaitGroup
	var durations []time.Duration
	failed := 0
	for range 8 {
		workers.Go(func() {
			for n := int(next.Add(1)); n <= r.Burst && ctx.Err() == nil; n = int(next.Add(1)) {
				sentAt := time.Now()
				err := r.sendChange(ctx, n, r.routeChange(fmt.Sprintf("burst-%04d", n), 0, 1), 10*time.Second)
				mu.Lock()
				if err != nil {
					failed++
					result.Failures = append(result.Failures, fmt.Sprintf("burst %d: %v", n, err))
				} else {
					durations = append(durations, time.Since(sentAt))
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	result.BurstPerSecond = float64(len(durations)) / time.Since(start).Seconds()
	result.BurstAck = latencies(durations, failed)
	r.awaitQuiet(ctx)
	endPhase()
	r.progress("%d changes at once: %.1f a second, p99 %.0f ms, %d failed", r.Burst, result.BurstPerSecond, result.BurstAck.P99, failed)
}

// measureControlLoss kills one control process, waits until its routers are ready with others, and restarts it.
func (r *run) measureControlLoss(ctx context.Context, result *Result) error {
	controlZones := r.controlZones()
	zone := controlZones[len(controlZones)-1]
	var subscribers []*hollowRouter
	for _, x := range r.routers {
		x.mu.Lock()
		if x.conn != nil && x.controlZone == zone {
			subscribers = append(subscribers, x)
		}
		x.mu.Unlock()
	}
	endPhase := r.beginPhase(result, "killed")
	killedAt := time.Now()
	r.controls[zone].kill()
	delete(r.controls, zone)
	result.FailedOver = r.awaitSubscribed(subscribers, killedAt, 30*time.Second)
	time.Sleep(5 * time.Second)
	endPhase()
	r.progress("a control process killed: its %d routers follow others, p50 %.0f, worst %.0f ms, %d never", len(subscribers), result.FailedOver.P50, result.FailedOver.Worst, result.FailedOver.TimedOut)
	endPhase = r.beginPhase(result, "returned")
	if err := r.startControl(zone, false); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	r.awaitQuiet(ctx)
	endPhase()
	return nil
}

// measurePartition separates the last region that has a control process from all others for PartitionTime.
func (r *run) measurePartition(ctx context.Context, result *Result) {
	controlZones := slices.Clone(r.controlZones())
	slices.Sort(controlZones)
	region := regionOf(controlZones[len(controlZones)-1])
	endPhase := r.beginPhase(result, "cut")
	setPartition := func(blocked bool) {
		for z, c := range r.controls {
			command := "cut"
			for x := range r.Zones {
				if blocked && (regionOf(x) == region) != (regionOf(z) == region) {
					command += fmt.Sprintf(" 127.%d.", 100+x)
				}
			}
			r.sendCommand(c, command)
		}
		r.partitionedRegion.Store(0)
		if blocked {
			r.partitionedRegion.Store(int64(region + 1))
		}
	}
	setPartition(true)
	time.Sleep(r.PartitionTime)
	endPhase()
	endPhase = r.beginPhase(result, "healed")
	setPartition(false)
	healedAt := time.Now()
	var regionRouters []*hollowRouter
	for _, x := range r.routers {
		if regionOf(x.zone) == region {
			regionRouters = append(regionRouters, x)
		}
	}
	result.Healed = r.awaitSubscribed(regionRouters, healedAt, 30*time.Second)
	r.awaitQuiet(ctx)
	endPhase()
	r.progress("a region cut off for %v: %d routers follow again, p50 %.0f, worst %.0f ms, %d never", r.PartitionTime, len(regionRouters), result.Healed.P50, result.Healed.Worst, result.Healed.TimedOut)
}

// sendChange sends a change to the control processes in turn, beginning with number first, until one accepts it. A bad request is
// not retried.
func (r *run) sendChange(ctx context.Context, first int, body []byte, limit time.Duration) (err error) {
	controlZones := r.controlZones()
	err = errors.New("no control process was contacted before the deadline")
	for index, deadline := first, time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; index++ {
		zone := controlZones[index%len(controlZones)]
		var status int
		var raw []byte
		if status, raw, err = callRPC(ctx, zone, "configuration.modify", body, limit); err == nil && status == http.StatusOK {
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

func callRPC(ctx context.Context, zone int, call string, body []byte, limit time.Duration) (int, []byte, error) {
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

func (r *run) routeRow(name string, n, version int) []any {
	return []any{name, fmt.Sprintf("desk-%02d.example", n%40), "/" + name, "safe_method", 2, 0.8, 1, fmt.Sprintf("service-%03d", n%r.Services), 2, fmt.Sprintf("%08x", version)}
}

func (r *run) routeChange(name string, n, version int) []byte {
	return changeBody("routes", routeColumns, [][]any{r.routeRow(name, n, version)})
}

func changeBody(kind string, columns []string, rows [][]any) []byte {
	raw, _ := json.Marshal(map[string]any{"set-items": map[string]any{kind: map[string]any{"table-columns": columns, "table-rows": rows}}})
	return raw
}

const rowsPerChange = 1000

// configure creates the services, routes and quotas, at most rowsPerChange in one change.
func (r *run) configure(ctx context.Context, result *Result) error {
	var services, routes, quotas [][]any
	for n := range r.Services {
		services = append(services, []any{fmt.Sprintf("service-%03d", n), "/health", 140, "h1", false, 3, 20, "00000001"})
	}
	for n := range r.Routes {
		routes = append(routes, r.routeRow(fmt.Sprintf("route-%04d", n), n, 1))
	}
	for n := range r.Quotas {
		quotas = append(quotas, []any{fmt.Sprintf("share-%05d", n), fmt.Sprintf("service-%03d", n%r.Services), "X-Tenant", fmt.Sprintf("tenant-%05d", n), 1, 10, "00000001"})
	}
	for _, table := range []struct {
		kind    string
		columns []string
		rows    [][]any
	}{{"services", []string{"name", "health-path", "connection-limit", "protocol", "transport-security", "cold-start-s", "cold-per-s", "version"}, services},
		{"routes", routeColumns, routes}, {"shares", []string{"name", "service", "caller-header", "caller", "per-s", "burst", "version"}, quotas}} {
		for rows := range slices.Chunk(table.rows, rowsPerChange) {
			sentAt := time.Now()
			if err := r.sendChange(ctx, 0, changeBody(table.kind, table.columns, rows), time.Minute); err != nil {
				return fmt.Errorf("%s: %w", table.kind, err)
			}
			if elapsed := time.Since(sentAt); elapsed > 2*time.Second {
				result.Failures = append(result.Failures, fmt.Sprintf("configuring %d %s took %.1f s, more than 2 s", len(rows), table.kind, elapsed.Seconds()))
			}
		}
	}
	return nil
}
