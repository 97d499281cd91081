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

// hostProtocol is what hosts are sent and what they answer. Answers of up to maxBuffered bytes are read before they are passed on.
type hostProtocol struct{ maxBuffered int64 }

var (
	_ upstream.Protocol        = hostProtocol{}
	_ upstream.DeadlineRenewer = hostProtocol{}
)

// NewRequest is the client's request as a host gets it. http.Transport retries no request whose body it can't have again.
func (hostProtocol) NewRequest(to dispatch.Host, r *dispatch.Request, timeout time.Duration) *http.Request {
	request := r.Payload.(*clientRequest)
	u, _ := requestTarget(r.Target) // checkHeader has refused those that are not ok
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
		req.Body = http.NoBody // otherwise it would be sent in chunks
	}
	return req
}

// hostHeader is a request's header for a host.
func hostHeader(from http.Header, instance string, timeout time.Duration) http.Header {
	h := from.Clone()
	h["Expected-Instance"] = []string{instance}
	h["Time-Remaining"] = []string{milliseconds(timeout)}
	if h["User-Agent"] == nil {
		h["User-Agent"] = nil // none of net/http's own
	}
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} { // in lower case http.Transport retries no request by it
		if v, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = v
		}
	}
	return h
}

// maxExcessMillis is how many milliseconds too many a host may be given.
const maxExcessMillis = 2

// RenewDeadline states what time is left once there is a connection, where that took a while.
func (hostProtocol) RenewDeadline(r *http.Request, timeout time.Duration) {
	stated := r.Header["Time-Remaining"]
	if ms, err := strconv.ParseInt(stated[0], 10, 64); err == nil && ms > timeout.Milliseconds()+maxExcessMillis {
		stated[0] = milliseconds(timeout)
	}
}

// milliseconds is a time as Time-Remaining states it, at least 1.
func milliseconds(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Milliseconds()), 10)
}

var (
	errFailureTooLarge = errors.New("a refusal or an error that doesn't end")
	errSettled         = errors.New("the final answer is given")
)

// ReadAnswer reads a host's answer, and checks that it is one, and the one to this request. A long one is passed on as it comes.
func (p hostProtocol) ReadAnswer(r *dispatch.Request, resp *http.Response) (dispatch.Outcome, error) {
	request := r.Payload.(*clientRequest)
	if !request.hasWritten() {
		request.recordInvalidAnswer(attempt.WrongID)
		return dispatch.Outcome{}, attempt.ErrWrongRequest
	}
	event, err := attempt.Classify(request.id, answerFields(resp))
	if err != nil { // whatever else it says
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

// answerFields is what an answer's head says of the request.
func answerFields(resp *http.Response) attempt.Answer {
	return attempt.Answer{
		Status:  resp.StatusCode,
		IDs:     resp.Header["Attempt-Id"],
		NotRun:  resp.Header.Get("Request-Not-Run") != "",
		Sealed:  resp.Header.Get("Server-Seal") != "",
		Encoded: resp.Header.Get("Content-Encoding") != "",
	}
}

// newReply is a host's answer as its client gets it.
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

// result is what the decision engine makes of an answer.
func (r *reply) result() decision.Result {
	switch {
	case r.notRun:
		return decision.Rejected
	case r.status < 500 && !attempt.PromisesNotRun(r.status):
		return decision.Succeeded
	}
	return decision.Failed
}

// stream offers an answer whose beginning has been read to the client's goroutine, and waits until that has passed it on.
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
