package hollow

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// FormatTable writes a result as human-readable tables.
func FormatTable(out io.Writer, r Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "%d routers, %d hosts, a core of %d, %d services, %d routes, %d shares\n", r.Routers, r.Hosts, r.Voters, r.Services, r.Routes, r.Quotas)
	fmt.Fprintln(w, "process\tcores\tRSS MB\tpeak MB\theap MB\talloc kB/s\tmallocs/s\tframes/s\tbytes/s\tbeats/s\tdescriptors\tdisk MB\tstart-up s")
	for _, x := range append(r.Control, r.RealProxies...) {
		fmt.Fprintf(w, "%s\t%.4f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.1f\t%d\t%.1f\t%.2f\n", x.Name, x.Cores, x.RSSMB, x.PeakMB, x.HeapMB, x.AllocatedKBPerSecond, x.Mallocs,
			x.FramesSent, x.BytesSent, x.Heartbeats, x.Descriptors, x.DiskMB, x.StartupCPU)
	}
	fmt.Fprintln(w, "part\ttook s\tcore CPU s\tbusiest\tcore frames\tkB\trouter snapshots\tkB\tnews\tkB\tnotes host/router/item\tbeats\trefused\tfailed\tdials\tlines")
	for _, name := range []string{"start", "calm", "changes", "drains", "burst", "restart", "killed", "returned", "cut", "healed"} {
		if p, ok := r.Phases[name]; ok {
			fmt.Fprintf(w, "%s\t%.1f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%d\t%d/%d/%d\t%d\t%d\t%d\t%d\t%d\n", name, p.Seconds, p.CPUSeconds, p.BusiestCPUSeconds, p.FramesSent, p.BytesSent/1024,
				p.Frames["snapshot"], p.FrameBytes["snapshot"]/1024, p.Frames["news"], p.FrameBytes["news"]/1024, p.HostChanges, p.RouterChanges, p.ItemChanges, p.Heartbeats, p.HeartbeatsRefused, p.HeartbeatsFailed,
				p.HeartbeatDials, p.StreamDials)
		}
	}
	fmt.Fprintln(w, "what\tn\tp50 ms\tp99 ms\tworst ms\tnever")
	for _, x := range []struct {
		name string
		s    Latencies
	}{{"start: router follows", r.StartReady}, {"change acknowledged", r.ChangeAcked}, {"change told to a router", r.ChangeApplied}, {"burst acknowledged", r.BurstAck},
		{"restarted router follows", r.Restarted}, {"control killed: router follows another", r.FailedOver}, {"cut healed: router follows", r.Healed}} {
		if x.s.Count+x.s.TimedOut > 0 {
			fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%.0f\t%d\n", x.name, x.s.Count, x.s.P50, x.s.P99, x.s.Worst, x.s.TimedOut)
		}
	}
	fmt.Fprintf(w, "burst %.1f a second; shuffles %.0f bytes a second a router\n", r.BurstPerSecond, r.GossipBytesPerRouter)
	fmt.Fprintf(w, "harbour.read %d bytes in %.0f ms, configuration.read %d bytes in %.0f ms\n", r.ClusterRead.Bytes, r.ClusterRead.Millis, r.ConfigurationRead.Bytes, r.ConfigurationRead.Millis)
	for _, text := range r.Failures {
		fmt.Fprintln(w, text)
	}
}
