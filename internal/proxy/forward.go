package proxy

import (
	"sync/atomic"
	"time"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/attempt"
)

// forwardCounts counts hand-offs since the last look at whether this router is short.
type forwardCounts struct{ all, otherZone, overShare atomic.Int64 }

// Forward sends a request to a host; the rules chose it a moment ago.
func (s *service) Forward(to dispatch.Host, r *dispatch.Request, left time.Duration, done func(dispatch.Outcome)) dispatch.Attempt {
	c := r.Payload.(*clientRequest)
	if !c.beginAttempt() { // it may have run, or one is out: the rules don't ask for that
		s.proxy.counters.withheld.Add(1)
		go done(dispatch.Outcome{Result: decision.Unsent})
		return unsentAttempt{}
	}
	s.mu.Lock()
	b, began := s.hosts[to.Name], s.proxy.clock()
	s.inFlight++
	s.outliers.RequestSent(began, to.Name)
	if b != nil {
		if b.inFlight++; b.inFlight > b.evenShare {
			s.proxy.forwarded.overShare.Add(1)
		}
		if b.WarmUpUntil+clockSkew > began {
			b.coldWindow.Add(began)
		}
	}
	s.mu.Unlock()
	s.proxy.counters.byRing[to.Distance].Add(1)
	if s.proxy.forwarded.all.Add(1); to.Distance > 0 && !c.hasHomes {
		s.proxy.forwarded.otherZone.Add(1)
	}
	if c.attemptCount++; c.attemptCount > 1 {
		s.proxy.counters.retried.Add(1)
	}
	return s.proxy.upstreams.Forward(to, r, left, func(o dispatch.Outcome) {
		var odd attempt.Event
		if o.Result, odd = c.endAttempt(o.Result); odd != 0 {
			s.proxy.counters.invalidAnswers[odd].Add(1)
		}
		s.mu.Lock()
		if b != nil {
			b.inFlight--
		}
		s.inFlight--
		now := s.proxy.clock()
		s.outliers.RequestEnded(now, to.Name, began, outlierOutcomes[o.Result])
		if o.Result == decision.Succeeded || o.Result == decision.Failed {
			s.forecast.Answered(now)
			if s.meter != nil {
				s.load.Add(now, loadMemory, float64(now-began)/float64(second))
			}
		}
		s.mu.Unlock()
		s.proxy.counters.endings[o.Result].Add(1)
		if a, ok := o.Reply.(*reply); ok && a.misdirected && b != nil {
			s.proxy.markReplaced(to.Name)
		}
		done(o)
	})
}

// unsentAttempt is a hand-off that was not begun.
type unsentAttempt struct{}

func (unsentAttempt) Cancel() {}

func (unsentAttempt) CancelUnsent() {}
