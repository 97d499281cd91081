package hollow

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Table writes a result for people.
func Table(out io.Writer, r Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "%d routers, %d hosts, a core of %d, %d services, %d routes, %d shares\n", r.Routers, r.Hosts, r.Core, r.Services, r.Routes, r.Shares)
	fmt.Fprintln(w, "process\tcores\tRSS MB\tpeak MB\theap MB\talloc kB/s\tmallocs/s\tframes/s\tbytes/s\tbeats/s\tdescriptors\tdisk MB\tstart-up s")
	for _, x := range append(r.Control, r.Real...) {
		fmt.Fprintf(w, "%s\t%.4f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.1f\t%d\t%.1f\t%.2f\n", x.Name, x.CPU, x.RSS, x.Peak, x.Heap, x.Allocated, x.Mallocs,
			x.Said, x.SaidBytes, x.Beats, x.Descriptors, x.Disk, x.Startup)
	}
	fmt.Fprintln(w, "part\ttook s\tcore CPU s\tbusiest\tcore frames\tkB\trouter snapshots\tkB\tnews\tkB\tnotes host/router/item\tbeats\trefused\tfailed\tdials\tlines")
	for _, name := range []string{"start", "calm", "changes", "drains", "burst", "restart", "killed", "returned", "cut", "healed"} {
		if p, ok := r.Parts[name]; ok {
			fmt.Fprintf(w, "%s\t%.1f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%d\t%d/%d/%d\t%d\t%d\t%d\t%d\t%d\n", name, p.Took, p.CPU, p.Busiest, p.Said, p.Bytes/1024,
				p.Frames["snapshot"], p.Kinds["snapshot"]/1024, p.Frames["news"], p.Kinds["news"]/1024, p.Hosts, p.Fronts, p.Items, p.Beats, p.Refused, p.Failed,
				p.Dials, p.Lines)
		}
	}
	fmt.Fprintln(w, "what\tn\tp50 ms\tp99 ms\tworst ms\tnever")
	for _, x := range []struct {
		name string
		s    Spread
	}{{"start: router follows", r.Ready}, {"change acknowledged", r.Ack}, {"change told to a router", r.Force}, {"burst acknowledged", r.BurstAck},
		{"restarted router follows", r.Restarted}, {"control killed: router follows another", r.Killed}, {"cut healed: router follows", r.Healed}} {
		if x.s.N+x.s.Never > 0 {
			fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%.0f\t%d\n", x.name, x.s.N, x.s.P50, x.s.P99, x.s.Worst, x.s.Never)
		}
	}
	fmt.Fprintf(w, "burst %.1f a second; shuffles %.0f bytes a second a router\n", r.BurstPerS, r.Shuffles)
	fmt.Fprintf(w, "harbour.read %d bytes in %.0f ms, configuration.read %d bytes in %.0f ms\n", r.Read.Bytes, r.Read.MS, r.Config.Bytes, r.Config.MS)
	for _, text := range r.Why {
		fmt.Fprintln(w, text)
	}
}
