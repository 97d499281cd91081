package proxy

import (
	"sync/atomic"
	"time"

	"portflow/internal/cluster/outlier"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/attempt"
)

// forwardCounts counts attempts since checkShortage last ran.
type forwardCounts struct{ all, otherZone, overShare atomic.Int64 }

// outlierOutcomes maps the result of an attempt to the outcome that outlier detection records for its host.
var outlierOutcomes = [...]outlier.Outcome{
	decision.Succeeded:       outlier.Success,
	decision.Failed:          outlier.Failure,
	decision.Rejected:        outlier.Inconclusive,
	decision.TimedOut:        outlier.Failure,
	decision.ConnectFailed:   outlier.Inconclusive,
	decision.ConnectionReset: outlier.Failure,
	decision.Canceled:        outlier.Inconclusive,
	decision.Unsent:          outlier.Inconclusive,
	decision.InvalidAnswer:   outlier.Failure,
}

// Forward implements dispatch.Upstream. If the request must not be sent again, it makes no attempt and reports decision.Unsent.
func (s *service) Forward(to dispatch.Host, r *dispatch.Request, timeout time.Duration, done func(dispatch.Outcome)) dispatch.Attempt {
	request := r.Payload.(*clientRequest)
	// The request may have run, has an attempt in flight, or is settled. Only the last is expected, just after the client disconnected.
	if !request.beginAttempt() {
		s.proxy.counters.withheld.Add(1)
		go done(dispatch.Outcome{Result: decision.Unsent}) // asynchronous, because the engine is in the middle of a step
		return unsentAttempt{}
	}
	host, startedAt := s.attemptStarted(to)
	s.proxy.countAttempt(to, request)
	return s.proxy.upstreams.Forward(to, r, timeout, func(o dispatch.Outcome) {
		var invalid attempt.Event
		o.Result, invalid = request.endAttempt(o.Result)
		if invalid != 0 {
			s.proxy.counters.invalidAnswers[invalid].Add(1)
		}
		s.attemptEnded(to, host, startedAt, o.Result)
		s.proxy.counters.results[o.Result].Add(1)
		if resp, ok := o.Reply.(*reply); ok && resp.misdirected && host != nil {
			s.proxy.markReplaced(to.Name)
		}
		done(o)
	})
}

// attemptStarted records the start of an attempt. host is nil if the host is no longer known.
func (s *service) attemptStarted(to dispatch.Host) (host *hostState, startedAt int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host, startedAt = s.hosts[to.Name], s.proxy.clock()
	s.inFlight++
	s.outliers.RequestSent(startedAt, to.Name)
	if host == nil {
		return nil, startedAt
	}
	host.inFlight++
	if host.inFlight > host.evenShare {
		s.proxy.forwarded.overShare.Add(1)
	}
	if host.WarmUpUntil+clockSkew > startedAt {
		host.coldWindow.Add(startedAt)
	}
	return host, startedAt
}

// countAttempt counts an attempt by the distance of its host.
func (p *Proxy) countAttempt(to dispatch.Host, request *clientRequest) {
	p.counters.byDistance[to.Distance].Add(1)
	p.forwarded.all.Add(1)
	if to.Distance > 0 && !request.hasHomeRegions {
		p.forwarded.otherZone.Add(1)
	}
	request.attemptCount++
	if request.attemptCount > 1 {
		p.counters.retried.Add(1)
	}
}

// attemptEnded records the end of an attempt. host is what attemptStarted returned and may be nil.
func (s *service) attemptEnded(to dispatch.Host, host *hostState, startedAt int64, result decision.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if host != nil {
		host.inFlight--
	}
	s.inFlight--
	now := s.proxy.clock()
	s.outliers.RequestEnded(now, to.Name, startedAt, outlierOutcomes[result])
	if result != decision.Succeeded && result != decision.Failed {
		return
	}
	s.forecast.Answered(now)
	if s.meter != nil {
		s.load.Add(now, loadTimeConstant, float64(now-startedAt)/float64(second))
	}
}

// unsentAttempt is the dispatch.Attempt of a request that was not sent; there is nothing to cancel.
type unsentAttempt struct{}

func (unsentAttempt) Cancel()       {}
func (unsentAttempt) CancelUnsent() {}
