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

// deadlineSlack is the time before its deadline, in nanoseconds, from which a request counts as timed out.
const deadlineSlack = int64(20e6)

// writeAnswer writes the final response to a request; attempts is the state of its attempts when it was settled.
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

// copyHeader copies the header of a host's response to w and returns w's header. A nil Date or Content-Type keeps net/http from adding the field.
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

// writeReply forwards a complete response from a host.
func (p *Proxy) writeReply(w http.ResponseWriter, resp *reply) {
	h := p.copyHeader(w, resp)
	if !resp.noBody {
		h["Content-Length"] = []string{strconv.Itoa(len(resp.body))}
	}
	w.WriteHeader(resp.status)
	_, _ = w.Write(resp.body) // on an error the client has disconnected, and net/http closes the connection
}

// forwardStream forwards a streamed response. A response without a length to an HTTP/1.0 client is rejected: it would end when the connection
// is closed, so the client could not detect truncation.
func (p *Proxy) forwardStream(w http.ResponseWriter, r *http.Request, stream *streamedReply) {
	if stream.length < 0 && !r.ProtoAtLeast(1, 1) {
		stream.done <- attempt.ErrUndelimitedBody
		p.reject(w, apierror.UpstreamBroken, 0)
		return
	}
	p.streamReply(w, r, stream)
}

// streamReply copies a streamed response to the client as it arrives, and stops if the client disconnects. If the copy fails, it aborts the
// connection so that the response doesn't look complete.
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
