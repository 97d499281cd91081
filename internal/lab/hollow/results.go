package hollow

import (
	"slices"
	"time"
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

func processRate(name string, a, b ProcessStats, seconds float64) ProcessRate {
	const mb = 1 << 20
	return ProcessRate{Name: name, Cores: (b.CPU - a.CPU).Seconds() / seconds, RSSMB: float64(b.RSS) / mb, PeakMB: float64(b.Peak) / mb, HeapMB: float64(b.Heap) / mb,
		AllocatedKBPerSecond: float64(b.Allocated-a.Allocated) / 1024 / seconds, Mallocs: float64(b.Mallocs-a.Mallocs) / seconds,
		FramesSent: float64(b.FramesSent-a.FramesSent) / seconds, BytesSent: float64(b.BytesSent-a.BytesSent) / seconds, Heartbeats: float64(b.Heartbeats-a.Heartbeats) / seconds,
		Descriptors: b.OpenFiles, DiskMB: float64(b.DiskBytes) / mb, StartupCPU: a.CPU.Seconds()}
}
