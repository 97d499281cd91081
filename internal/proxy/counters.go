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

// counters are the counters of a process, of requests and of attempts. The sizes of the arrays are beyond the number of kinds.
type counters struct {
	received       atomic.Int64     // requests
	answered       atomic.Int64     // requests with a host's answer
	retried        atomic.Int64     // attempts after a request's first
	clientGone     atomic.Int64     // clients that went while their request was at work
	panics         atomic.Int64     // of attempts
	bodyRefused    atomic.Int64     // bodies that there was no memory for
	withheld       atomic.Int64     // attempts that a decision engine asked for and that must not be made
	cuts           cutCounts        // clients' connections that this process ended
	invalidAnswers [16]atomic.Int64 // what came in place of answers, by attempt.Event
	refusals       [32]atomic.Int64 // by apierror.Kind
	results        [16]atomic.Int64 // of attempts, by decision.Result
	byDistance     [3]atomic.Int64  // attempts in this zone, in its region, beyond
}

// resultNames are the names of attempts' results in the log line of counters.
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

// String is the counters as the log line has them: those of requests always, others where they are not zero.
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

// writeNonZero writes a counter behind a space, unless it is zero.
func writeNonZero(b *strings.Builder, name string, counter *atomic.Int64) {
	if n := counter.Load(); n > 0 {
		fmt.Fprintf(b, " %s=%d", name, n)
	}
}

// LogCounters writes the counters on one line.
func (p *Proxy) LogCounters() {
	p.mu.Lock()
	hosts := len(p.endpoints.Instances)
	p.mu.Unlock()
	snapshot := p.snapshot.Load()
	klog.InfoS("counters", "open", p.openRequests.Load(), "routers", snapshot.count, "rank", snapshot.rank, "hosts", hosts,
		"routes", len(snapshot.routing.Routes), "counts", p.counters.String())
}
