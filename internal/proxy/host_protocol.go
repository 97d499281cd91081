package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/attempt"
	"portflow/internal/upstream"
)

// hostProtocol is the protocol between the proxy and hosts. Response bodies of up to maxBuffered bytes are buffered, longer ones streamed.
type hostProtocol struct{ maxBuffered int64 }

var (
	_ upstream.Protocol        = hostProtocol{}
	_ upstream.DeadlineRenewer = hostProtocol{}
)

// NewRequest implements upstream.Protocol. The body has no GetBody, so that http.Transport can't resend it by itself.
func (hostProtocol) NewRequest(to dispatch.Host, r *dispatch.Request, timeout time.Duration) *http.Request {
	request := r.Payload.(*clientRequest)
	u, _ := requestTarget(r.Target) // checkHeader has rejected targets that are not ok
	u.Scheme, u.Host = "http", to.Address
	req := &http.Request{
		Method:        r.Method,
		URL:           u,
		Host:          request.host,
		Header:        hostHeader(request.header, to.Name, timeout),
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) == 0 && r.Method != http.MethodGet {
		req.Body = http.NoBody // otherwise http.Transport would use chunked encoding
	}
	return req
}

// hostHeader returns the request header to send to an instance.
func hostHeader(from http.Header, instance string, timeout time.Duration) http.Header {
	h := from.Clone()
	h["Expected-Instance"] = []string{instance}
	h["Time-Remaining"] = []string{milliseconds(timeout)}
	if h["User-Agent"] == nil {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	// http.Transport retries requests with one of these fields, but doesn't recognize their names in lower case.
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = v
		}
	}
	return h
}

// maxExcessMillis is the number of milliseconds by which Time-Remaining may exceed the time left.
const maxExcessMillis = 2

// RenewDeadline implements upstream.DeadlineRenewer. It lowers a Time-Remaining that exceeds the time left by more than
// maxExcessMillis, because the request had to wait for a connection.
func (hostProtocol) RenewDeadline(r *http.Request, timeout time.Duration) {
	stated := r.Header["Time-Remaining"]
	if ms, err := strconv.ParseInt(stated[0], 10, 64); err == nil && ms > timeout.Milliseconds()+maxExcessMillis {
		stated[0] = milliseconds(timeout)
	}
}

// milliseconds formats a duration for Time-Remaining, as at least 1.
func milliseconds(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Milliseconds()), 10)
}

var (
	errFailureTooLarge = errors.New("unsuccessful response exceeds the buffer size")
	errSettled         = errors.New("request already has its final response")
)

// ReadAnswer implements upstream.Protocol. It checks that a host's response is valid and belongs to this request. A successful response that
// exceeds maxBuffered is streamed to the client, and ReadAnswer returns when the stream has ended.
func (p hostProtocol) ReadAnswer(r *dispatch.Request, resp *http.Response) (dispatch.Outcome, error) {
	request := r.Payload.(*clientRequest)
	if !request.hasWritten() {
		request.recordInvalidAnswer(attempt.WrongID)
		return dispatch.Outcome{}, attempt.ErrWrongRequest
	}
	event, err := attempt.Classify(request.id, answerFields(resp))
	if err != nil { // the rest of the response doesn't matter
		request.recordInvalidAnswer(event)
		return dispatch.Outcome{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, p.maxBuffered+1))
	if err != nil {
		request.recordInvalidAnswer(attempt.Truncated)
		return dispatch.Outcome{}, err
	}
	answer := newReply(r.Method, resp, body, event)
	result := answer.result()
	if int64(len(body)) > p.maxBuffered {
		if result != decision.Succeeded {
			request.recordInvalidAnswer(attempt.UnexpectedBytes)
			return dispatch.Outcome{}, errFailureTooLarge
		}
		if err := request.stream(answer, resp); err != nil {
			request.recordInvalidAnswer(attempt.Truncated)
			return dispatch.Outcome{}, err
		}
	}
	request.record(event)
	return dispatch.Outcome{Result: result, Reply: answer}, nil
}

// answerFields returns the parts of a response's header that attempt.Classify needs.
func answerFields(resp *http.Response) attempt.Answer {
	return attempt.Answer{
		Status:  resp.StatusCode,
		IDs:     resp.Header["Attempt-Id"],
		NotRun:  resp.Header.Get("Request-Not-Run") != "",
		Sealed:  resp.Header.Get("Server-Seal") != "",
		Encoded: resp.Header.Get("Content-Encoding") != "",
	}
}

// newReply converts a host's response to the form in which the client gets it.
func newReply(method string, resp *http.Response, body []byte, event attempt.Event) *reply {
	answer := &reply{
		status:      resp.StatusCode,
		header:      forwardedHeader(resp.Header),
		body:        body,
		noBody:      method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified,
		notRun:      event != attempt.Answered,
		misdirected: event == attempt.Misdirected,
	}
	if !answer.noBody || answer.status == http.StatusNoContent {
		delete(answer.header, "Content-Length")
	}
	return answer
}

// result returns the result that the decision engine gets for a response.
func (r *reply) result() decision.Result {
	switch {
	case r.notRun:
		return decision.Rejected
	case r.status < 500 && !attempt.PromisesNotRun(r.status):
		return decision.Succeeded
	}
	return decision.Failed
}

// stream offers a partly read response to the client's goroutine, and waits until that has forwarded the rest. beginning has what was read.
func (r *clientRequest) stream(beginning *reply, resp *http.Response) error {
	stream := &streamedReply{
		reply:  beginning,
		length: resp.ContentLength,
		rest:   resp.Body,
		stop:   func() { resp.Body.Close() },
		done:   make(chan error, 1),
	}
	if !r.offerStream(stream) {
		return errSettled
	}
	return <-stream.done
}
