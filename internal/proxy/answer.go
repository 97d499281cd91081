package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"portflow/internal/cluster/apierror"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/attempt"
)

// writeAnswer gives a request's final answer; known is what is for ever known of its attempts.
func (p *Proxy) writeAnswer(w http.ResponseWriter, s *service, a dispatch.Answer, c *dispatch.Call, known attempt.Request) {
	h, _ := a.Reply.(*reply)
	switch {
	case a.Kind == dispatch.Succeeded && h != nil:
		p.writeReply(w, h)
	case a.Kind == dispatch.Rejected && known.MayRefuse():
		p.refuse(w, apierror.Overloaded, s.retryAfter(c.Deadline))
	case h != nil && !h.notRun && !attempt.PromisesNotRun(h.status):
		p.writeReply(w, h)
	case p.clock() >= c.Deadline-int64(20e6) && known.Execution() == attempt.NotRun:
		p.refuse(w, apierror.DeadlineExceeded, 0)
	case p.clock() >= c.Deadline-int64(20e6):
		p.refuse(w, apierror.UpstreamTimeout, 0)
	default:
		p.refuse(w, apierror.UpstreamBroken, 0)
	}
}

// retryAfter is after how long one that is sent away now should come back: by the forecast of when there is room, and a third of
// the time that it has at most, as clients wait no longer.
func (s *service) retryAfter(cutOff int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.proxy.clock()
	return time.Duration(s.forecast.Wait(now, max(0, cutOff-now)/3))
}

// beginAnswer begins to give a host's answer, and makes nothing up.
func (p *Proxy) beginAnswer(w http.ResponseWriter, a *reply) http.Header {
	p.counters.answered.Add(1)
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	if p.draining.Load() {
		h["Connection"] = []string{"close"}
	}
	return h
}

// writeReply gives a host's answer as it is.
func (p *Proxy) writeReply(w http.ResponseWriter, a *reply) {
	h := p.beginAnswer(w, a)
	if !a.bodiless {
		h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	}
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// streamReply gives a long answer as it comes, while its client is there. One that breaks off ends the connection, so that it doesn't
// look complete.
func (p *Proxy) streamReply(w http.ResponseWriter, r *http.Request, t *streamedReply) {
	defer context.AfterFunc(r.Context(), t.stop)()
	h := p.beginAnswer(w, t.reply)
	if t.length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(t.length, 10)}
	}
	w.WriteHeader(t.status)
	_, err := w.Write(t.body)
	if err == nil {
		_, err = io.Copy(w, t.rest)
	}
	if t.done <- err; err != nil {
		p.counters.refusals[apierror.UpstreamBroken].Add(1)
		p.counters.cuts.add(cutBroken)
		panic(http.ErrAbortHandler)
	}
}
