package hollow

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

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
