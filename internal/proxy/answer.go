package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"portflow/internal/cluster/apierror"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/attempt"
)

// deadlineSlack is how long before its deadline a request counts as timed out, nanoseconds.
const deadlineSlack = int64(20e6)

// writeAnswer gives a request's final answer; known is what was known of its attempts as it was settled.
func (p *Proxy) writeAnswer(w http.ResponseWriter, s *service, answer dispatch.Answer, call *dispatch.Call, attempts attempt.Request) {
	resp, _ := answer.Reply.(*reply)
	switch {
	case answer.Kind == dispatch.Succeeded && resp != nil:
		p.writeReply(w, resp)
	case answer.Kind == dispatch.Rejected && attempts.MayRefuse():
		p.reject(w, apierror.Overloaded, s.retryAfter(call.Deadline))
	case resp != nil && !resp.notRun && !attempt.PromisesNotRun(resp.status):
		p.writeReply(w, resp)
	case p.clock() >= call.Deadline-deadlineSlack && attempts.Execution() == attempt.NotRun:
		p.reject(w, apierror.DeadlineExceeded, 0)
	case p.clock() >= call.Deadline-deadlineSlack:
		p.reject(w, apierror.UpstreamTimeout, 0)
	default:
		p.reject(w, apierror.UpstreamBroken, 0)
	}
}

// copyHeader gives an answer a host's header, without the fields that net/http would add.
func (p *Proxy) copyHeader(w http.ResponseWriter, resp *reply) http.Header {
	p.counters.answered.Add(1)
	h := w.Header()
	for name, values := range resp.header {
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

// writeReply passes a host's answer on unchanged.
func (p *Proxy) writeReply(w http.ResponseWriter, resp *reply) {
	h := p.copyHeader(w, resp)
	if !resp.noBody {
		h["Content-Length"] = []string{strconv.Itoa(len(resp.body))}
	}
	w.WriteHeader(resp.status)
	_, _ = w.Write(resp.body) // where it fails the client has gone, and net/http ends the connection
}

// forwardStream passes on a long answer, or refuses the request where its client could not tell the answer's end: in HTTP/1.0 an answer
// without a length ends with its connection, also where that is cut.
func (p *Proxy) forwardStream(w http.ResponseWriter, r *http.Request, stream *streamedReply) {
	if stream.length < 0 && !r.ProtoAtLeast(1, 1) {
		stream.done <- attempt.ErrUndelimitedBody
		p.reject(w, apierror.UpstreamBroken, 0)
		return
	}
	p.streamReply(w, r, stream)
}

// streamReply passes a long answer on as it comes, while its client is there. One that breaks off ends the connection, so that it
// doesn't look complete.
func (p *Proxy) streamReply(w http.ResponseWriter, r *http.Request, stream *streamedReply) {
	defer context.AfterFunc(r.Context(), stream.stop)()
	h := p.copyHeader(w, stream.reply)
	if stream.length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(stream.length, 10)}
	}
	w.WriteHeader(stream.status)
	_, err := w.Write(stream.body)
	if err == nil {
		_, err = io.Copy(w, stream.rest)
	}
	stream.done <- err
	if err != nil {
		p.counters.refusals[apierror.UpstreamBroken].Add(1)
		p.counters.cuts.add(cutStreamBroken)
		panic(http.ErrAbortHandler)
	}
}
