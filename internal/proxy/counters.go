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

// counters are the counters of a process, by what became of requests and of hand-offs.
type counters struct {
	received, answered, retried, clientGone, panics atomic.Int64
	bodyRefused                                     atomic.Int64     // bodies that there was no memory for
	withheld                                        atomic.Int64     // hand-offs that were wanted and must not be
	cuts                                            cutCounts        // clients' connections that this process ended
	invalidAnswers                                  [16]atomic.Int64 // what came in place of answers, by attempt.Event
	refusals                                        [32]atomic.Int64
	endings                                         [16]atomic.Int64
	byRing                                          [3]atomic.Int64 // hand-offs to this zone, its region, beyond
}

var endingNames = [...]string{decision.Succeeded: "fulfilled", decision.Failed: "failed", decision.Rejected: "turned_away", decision.TimedOut: "timed_out",
	decision.ConnectFailed: "no_connect", decision.ConnectionReset: "reset", decision.Canceled: "recalled", decision.Unsent: "unsent", decision.InvalidAnswer: "spoilt"}

func (c *counters) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "taken=%d answered=%d again=%d gone=%d panics=%d", c.received.Load(), c.answered.Load(), c.retried.Load(), c.clientGone.Load(), c.panics.Load())
	if n := c.withheld.Load(); n > 0 {
		fmt.Fprintf(&b, " withheld=%d", n)
	}
	if n := c.bodyRefused.Load(); n > 0 {
		fmt.Fprintf(&b, " unstowed=%d", n)
	}
	for _, e := range attempt.Events() {
		if n := c.invalidAnswers[e].Load(); n > 0 {
			fmt.Fprintf(&b, " odd.%s=%d", strings.ReplaceAll(e.String(), " ", "_"), n)
		}
	}
	for _, k := range apierror.All() {
		if n := c.refusals[k].Load(); n > 0 {
			fmt.Fprintf(&b, " %s=%d", k, n)
		}
	}
	for e, name := range endingNames {
		if n := c.endings[e].Load(); n > 0 {
			fmt.Fprintf(&b, " sent.%s=%d", name, n)
		}
	}
	b.WriteString(c.cuts.String())
	fmt.Fprintf(&b, " sent.zone=%d sent.region=%d sent.beyond=%d", c.byRing[0].Load(), c.byRing[1].Load(), c.byRing[2].Load())
	return b.String()
}

// LogCounters writes the counters on one line.
func (p *Proxy) LogCounters() {
	p.mu.Lock()
	hosts := len(p.endpoints.Instances)
	p.mu.Unlock()
	v := p.snapshot.Load()
	klog.InfoS("counters", "open", p.openRequests.Load(), "routers", v.count, "rank", v.rank, "hosts", hosts, "routes", len(v.routing.Routes),
		"counts", p.counters.String())
}
