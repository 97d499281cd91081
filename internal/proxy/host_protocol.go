package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/attempt"
)

// clientRequest is a client's request as it goes on, and what is known of its attempts at hosts.
type clientRequest struct {
	host         string
	header       http.Header
	id           string              // of this try
	attemptCount int                 // hand-offs so far
	hasHomes     bool                // it may not go everywhere
	streams      chan *streamedReply // gets an answer that is too long to be read whole, while none is given

	mu            sync.Mutex // over what follows: the reducer, the hand-off and the client's goroutine have it
	attempts      attempt.Request
	conns         []any // that it was written on; as many as hand-offs at most
	firstConn     [1]any
	invalidAnswer attempt.Event   // what came in place of an answer to the present attempt, 0 for none
	bodyMemory    bodyReservation // its body
}

// release tells that its handler is done with it.
func (r *clientRequest) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodyMemory.release()
}

// beginAttempt begins an attempt where that may be.
func (r *clientRequest) beginAttempt() (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts, ok = r.attempts.Begin(); ok {
		r.invalidAnswer = 0
		r.bodyMemory.retain()
	}
	return ok
}

// record tells the attempts an event.
func (r *clientRequest) record(e attempt.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts, _ = r.attempts.Apply(e)
}

// rejectAnswer tells that what came is no answer to the present attempt.
func (r *clientRequest) rejectAnswer(e attempt.Event) {
	r.record(e)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalidAnswer = e
}

// WrittenOn tells whether it was written on this connection before.
func (r *clientRequest) WrittenOn(conn any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.conns, conn)
}

// BeginWrite is asked for leave before a first byte goes to a host. There is none once the final answer is given.
func (r *clientRequest) BeginWrite(conn any) (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts, ok = r.attempts.Apply(attempt.WriteStarted); ok {
		if r.conns == nil {
			r.conns = r.firstConn[:0]
		}
		r.conns = append(r.conns, conn)
	}
	return ok
}

// Wrote tells that so many bytes went. Which are the last is not told: some may have been all. Where some went before, a write
// that fails ends nothing: the host's answer may be there already, and the connection is closed behind an early one.
func (r *clientRequest) Wrote(n int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case n > 0:
		r.attempts, _ = r.attempts.Apply(attempt.WrotePart)
	case err != nil && r.attempts.Current().Phase == attempt.WriteBegun:
		r.attempts, _ = r.attempts.Apply(attempt.WroteNone)
	}
}

// hasWritten tells whether bytes of the present attempt have gone: what comes before that answers another.
func (r *clientRequest) hasWritten() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts.Current().Phase >= attempt.WriteBegun
}

// offerStream gives the client's goroutine an answer to pass on, unless the final one is given.
func (r *clientRequest) offerStream(t *streamedReply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts.Settled {
		return false
	}
	r.streams <- t // one attempt at a time, and one answer to each
	return true
}

// settle tells what is known as the final answer is given: nothing is written, and no answer is taken up, after it.
func (r *clientRequest) settle() attempt.Request {
	r.mu.Lock()
	r.attempts = r.attempts.Settle()
	known := r.attempts
	r.mu.Unlock()
	for {
		select {
		case t := <-r.streams:
			t.done <- errSettled
		default:
			return known
		}
	}
}

// endingEvents are the events that endings of hand-offs tell.
var endingEvents = [...]attempt.Event{decision.Succeeded: attempt.Answered, decision.Failed: attempt.Answered, decision.Rejected: attempt.TurnedAway,
	decision.TimedOut: attempt.TimedOut, decision.ConnectFailed: attempt.ConnectFailed, decision.ConnectionReset: attempt.ConnectionReset, decision.Canceled: attempt.Canceled,
	decision.Unsent: attempt.ConnectFailed, decision.InvalidAnswer: attempt.UnexpectedBytes}

// endAttempt ends the present attempt, and tells the rules no more of it than is known: they send again, and refuse, what surely
// has not run.
func (r *clientRequest) endAttempt(e decision.Result) (told decision.Result, odd attempt.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodyMemory.release()
	r.attempts, _ = r.attempts.Apply(endingEvents[e])
	switch known := r.attempts.Current().Execution; {
	case known == attempt.NotRun && (e == decision.ConnectionReset || e == decision.TimedOut || e == decision.InvalidAnswer):
		e = decision.ConnectFailed
	case known == attempt.NotRun && e == decision.Canceled:
		e = decision.Unsent
	case known != attempt.NotRun && (e == decision.ConnectFailed || e == decision.Unsent || e == decision.Rejected):
		e = decision.ConnectionReset
	}
	return e, r.invalidAnswer
}

// streamedReply is an answer of which only the beginning has been read. Whoever takes it up reads the rest and says when it is done.
type streamedReply struct {
	*reply
	length int64 // -1 where it isn't stated
	rest   io.Reader
	stop   func() // ends rest, also while it is read
	done   chan error
}

// reply is a host's whole answer.
type reply struct {
	status      int
	header      http.Header
	body        []byte
	bodiless    bool // by its kind; the header may state the length that it would have
	notRun      bool // the host says that it has not run the request
	misdirected bool // another host has the address
}

// hostProtocol is what hosts are sent and what they answer.
type hostProtocol struct{ maxBuffered int64 }

// hopByHopHeaders are the headers that concern one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect"}

// endToEndHeaders are headers that are said between a client and a host: Connection can't take them away.
var endToEndHeaders = []string{"Attempt-Id", "Server-Seal", "Request-Not-Run", "Time-Remaining", "Retry-After", "Cache-Control", "Content-Type",
	"Content-Encoding", "Content-Length"}

// forwardedHeader is a header without what concerns one connection only.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); !slices.Contains(endToEndHeaders, name) {
				delete(out, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

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

// requestTarget is a request's target as the library writes it unchanged; ok is false where it can't.
func requestTarget(raw string) (u *url.URL, ok bool) {
	if !strings.HasPrefix(raw, "//") {
		return &url.URL{Opaque: raw}, true
	}
	path, query, more := strings.Cut(raw, "?") // the library puts a scheme before it where it is opaque
	plain, err := url.PathUnescape(path)
	u = &url.URL{Path: plain, RawPath: path, RawQuery: query, ForceQuery: more && query == ""}
	return u, err == nil && u.RequestURI() == raw
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
