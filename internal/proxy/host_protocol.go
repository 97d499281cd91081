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
)

// hostProtocol is what hosts are sent and what they answer.
type hostProtocol struct{ maxBuffered int64 }

// NewRequest is the client's request as a host gets it. A body that http.Transport can't have anew is never sent again by it.
func (hostProtocol) NewRequest(to dispatch.Host, r *dispatch.Request, left time.Duration) *http.Request {
	c := r.Payload.(*clientRequest)
	h := c.header.Clone()
	h["Expected-Instance"] = []string{to.Name}
	h["Time-Remaining"] = []string{milliseconds(left)}
	if h["User-Agent"] == nil {
		h["User-Agent"] = nil // none of the library's own
	}
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} { // in this spelling it is no leave to send again
		if v, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = v
		}
	}
	u, _ := requestTarget(r.Target)
	u.Scheme, u.Host = "http", to.Address
	req := &http.Request{Method: r.Method, URL: u, Host: c.host,
		Header: h, Body: io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body))}
	if len(r.Body) == 0 && r.Method != http.MethodGet {
		req.Body = http.NoBody // else it would go out in chunks
	}
	return req
}

// RenewDeadline states what is left once there is a connection, where that took a while.
func (hostProtocol) RenewDeadline(r *http.Request, left time.Duration) {
	if said := r.Header["Time-Remaining"]; said[0] != "" {
		if ms, err := strconv.ParseInt(said[0], 10, 64); err == nil && ms > left.Milliseconds()+staleMilliseconds {
			said[0] = milliseconds(left)
		}
	}
}

const staleMilliseconds = 2 // milliseconds that a host may be told too much

func milliseconds(left time.Duration) string {
	return strconv.FormatInt(max(1, left.Milliseconds()), 10)
}

var (
	errUnboundedFailure = errors.New("a refusal or an error that doesn't end")
	errSettled          = errors.New("the final answer is given")
)

// ReadAnswer reads a host's answer whole, and checks that it is one, and the one to this request.
func (s hostProtocol) ReadAnswer(r *dispatch.Request, resp *http.Response) (dispatch.Outcome, error) {
	c := r.Payload.(*clientRequest)
	if !c.hasWritten() {
		c.rejectAnswer(attempt.WrongID)
		return dispatch.Outcome{}, attempt.ErrWrongRequest
	}
	h := resp.Header
	bodiless := r.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	what, err := attempt.Classify(c.id, attempt.Answer{Status: resp.StatusCode, IDs: h["Attempt-Id"], NotRun: h.Get("Request-Not-Run") != "",
		Sealed: h.Get("Server-Seal") != "", Encoded: h.Get("Content-Encoding") != ""})
	if err != nil { // what else it says is no matter
		c.rejectAnswer(what)
		return dispatch.Outcome{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.maxBuffered+1))
	if err != nil {
		c.rejectAnswer(attempt.Truncated)
		return dispatch.Outcome{}, err
	}
	a := &reply{status: resp.StatusCode, header: forwardedHeader(h), body: body, bodiless: bodiless,
		notRun: what != attempt.Answered, misdirected: what == attempt.Misdirected}
	if !bodiless || a.status == http.StatusNoContent {
		delete(a.header, "Content-Length")
	}
	o := dispatch.Outcome{Result: decision.Failed, Reply: a}
	switch {
	case a.notRun:
		o.Result = decision.Rejected
	case a.status < 500 && !attempt.PromisesNotRun(a.status):
		o.Result = decision.Succeeded
	}
	if int64(len(body)) > s.maxBuffered {
		if o.Result != decision.Succeeded {
			c.rejectAnswer(attempt.UnexpectedBytes)
			return dispatch.Outcome{}, errUnboundedFailure
		}
		t := &streamedReply{reply: a, length: resp.ContentLength, rest: resp.Body, stop: func() { resp.Body.Close() }, done: make(chan error, 1)}
		err := errSettled
		if c.offerStream(t) {
			err = <-t.done
		}
		if err != nil {
			c.rejectAnswer(attempt.Truncated)
			return dispatch.Outcome{}, err
		}
	}
	c.record(what)
	return o, nil
}
