package proxy

import (
	"fmt"
	"strings"
	"sync/atomic"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/apierror"
	"portflow/internal/decision"
	"portflow/internal/proxy/attempt"
)

// counters are the counters of a proxy process. The arrays are longer than the number of kinds that index them.
type counters struct {
	received       atomic.Int64     // requests received
	answered       atomic.Int64     // requests answered by a host
	retried        atomic.Int64     // attempts after the first one of a request
	clientGone     atomic.Int64     // clients that disconnected while their request was in progress
	panics         atomic.Int64     // panics in attempts
	bodyRefused    atomic.Int64     // request bodies rejected for lack of memory
	withheld       atomic.Int64     // attempts requested by a decision engine but not made, as the request could run twice
	cuts           cutCounts        // client connections ended by this process, by cause
	invalidAnswers [16]atomic.Int64 // invalid answers of hosts, by attempt.Event
	refusals       [32]atomic.Int64 // rejected requests, by apierror.Kind
	results        [16]atomic.Int64 // attempts by decision.Result
	byDistance     [3]atomic.Int64  // attempts by distance of the host: this zone, this region, other regions
}

// resultNames has the names that the log line of counters uses for results.
var resultNames = [...]string{
	decision.Succeeded:       "fulfilled",
	decision.Failed:          "failed",
	decision.Rejected:        "turned_away",
	decision.TimedOut:        "timed_out",
	decision.ConnectFailed:   "no_connect",
	decision.ConnectionReset: "reset",
	decision.Canceled:        "recalled",
	decision.Unsent:          "unsent",
	decision.InvalidAnswer:   "spoilt",
}

// String returns the counters in the format of their log line. The first five and those by distance are always included, the others only
// if they aren't zero.
func (c *counters) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "taken=%d answered=%d again=%d gone=%d panics=%d",
		c.received.Load(), c.answered.Load(), c.retried.Load(), c.clientGone.Load(), c.panics.Load())
	writeNonZero(&b, "withheld", &c.withheld)
	writeNonZero(&b, "unstowed", &c.bodyRefused)
	for _, e := range attempt.Events() {
		writeNonZero(&b, "odd."+strings.ReplaceAll(e.String(), " ", "_"), &c.invalidAnswers[e])
	}
	for _, k := range apierror.All() {
		writeNonZero(&b, k.String(), &c.refusals[k])
	}
	for result, name := range resultNames {
		writeNonZero(&b, "sent."+name, &c.results[result])
	}
	b.WriteString(c.cuts.String())
	fmt.Fprintf(&b, " sent.zone=%d sent.region=%d sent.beyond=%d", c.byDistance[0].Load(), c.byDistance[1].Load(), c.byDistance[2].Load())
	return b.String()
}

// writeNonZero writes a space and a counter, unless the counter is zero.
func writeNonZero(b *strings.Builder, name string, counter *atomic.Int64) {
	if n := counter.Load(); n > 0 {
		fmt.Fprintf(b, " %s=%d", name, n)
	}
}

// LogCounters logs the counters, and the current numbers of open requests, hosts, routes and proxies, in one line.
func (p *Proxy) LogCounters() {
	p.mu.Lock()
	hosts := len(p.endpoints.Instances)
	p.mu.Unlock()
	snapshot := p.snapshot.Load()
	klog.InfoS("counters", "open", p.openRequests.Load(), "routers", snapshot.count, "rank", snapshot.rank, "hosts", hosts,
		"routes", len(snapshot.routing.Routes), "counts", p.counters.String())
}
