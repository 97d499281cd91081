package fairway

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

	"portflow/internal/harbour/attempt"
	"portflow/internal/parts/router"
	"portflow/rules"
)

// cargo is a client's request as it goes on, and what is known of its attempts at hosts.
type cargo struct {
	host   string
	header http.Header
	id     string       // of this try
	tries  int          // hand-offs so far
	homes  bool         // it may not go everywhere
	stream chan *stream // gets an answer that is too long to be read whole, while none is given

	mu       sync.Mutex // over what follows: the reducer, the hand-off and the client's goroutine have it
	attempts attempt.Request
	conns    []any // that it was written on; as many as hand-offs at most
	first    [1]any
	odd      attempt.Event // what came in place of an answer to the present attempt, 0 for none
	stowed   stowed        // its body
}

// leave tells that its handler is done with it.
func (c *cargo) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stowed.leave()
}

// begin begins an attempt where that may be.
func (c *cargo) begin() (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts, ok = c.attempts.Begin(); ok {
		c.odd = 0
		c.stowed.enter()
	}
	return ok
}

// on tells the attempts an event.
func (c *cargo) on(e attempt.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts, _ = c.attempts.On(e)
}

// none tells that what came is no answer to the present attempt.
func (c *cargo) none(e attempt.Event) {
	c.on(e)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.odd = e
}

// Spent tells whether it was written on this connection before.
func (c *cargo) Spent(conn any) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.conns, conn)
}

// Write is asked for leave before a first byte goes to a host. There is none once the final answer is given.
func (c *cargo) Write(conn any) (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts, ok = c.attempts.On(attempt.Writing); ok {
		if c.conns == nil {
			c.conns = c.first[:0]
		}
		c.conns = append(c.conns, conn)
	}
	return ok
}

// Wrote tells that so many bytes went. Which are the last is not told: some may have been all. Where some went before, a write
// that fails ends nothing: the host's answer may be there already, and the connection is closed behind an early one.
func (c *cargo) Wrote(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n > 0:
		c.attempts, _ = c.attempts.On(attempt.WrotePart)
	case err != nil && c.attempts.Last().Phase == attempt.Begun:
		c.attempts, _ = c.attempts.On(attempt.WroteNone)
	}
}

// written tells whether bytes of the present attempt have gone: what comes before that answers another.
func (c *cargo) written() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts.Last().Phase >= attempt.Begun
}

// offer gives the client's goroutine an answer to pass on, unless the final one is given.
func (c *cargo) offer(t *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts.Settled {
		return false
	}
	c.stream <- t // one attempt at a time, and one answer to each
	return true
}

// settle tells what is known as the final answer is given: nothing is written, and no answer is taken up, after it.
func (c *cargo) settle() attempt.Request {
	c.mu.Lock()
	c.attempts = c.attempts.Settle()
	known := c.attempts
	c.mu.Unlock()
	for {
		select {
		case t := <-c.stream:
			t.done <- errGone
		default:
			return known
		}
	}
}

// ends are the events that endings of hand-offs tell.
var ends = [...]attempt.Event{rules.Fulfilled: attempt.Answered, rules.Failed: attempt.Answered, rules.TurnedAway: attempt.TurnedAway,
	rules.TimedOut: attempt.Silence, rules.NoConnect: attempt.Refused, rules.Reset: attempt.Reset, rules.Recalled: attempt.Cancel,
	rules.Unsent: attempt.Refused, rules.Spoilt: attempt.Extra}

// end ends the present attempt, and tells the rules no more of it than is known: they send again, and refuse, what surely
// has not run.
func (c *cargo) end(e rules.Ending) (told rules.Ending, odd attempt.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stowed.leave()
	c.attempts, _ = c.attempts.On(ends[e])
	switch known := c.attempts.Last().Knowledge; {
	case known == attempt.NotRun && (e == rules.Reset || e == rules.TimedOut || e == rules.Spoilt):
		e = rules.NoConnect
	case known == attempt.NotRun && e == rules.Recalled:
		e = rules.Unsent
	case known != attempt.NotRun && (e == rules.NoConnect || e == rules.Unsent || e == rules.TurnedAway):
		e = rules.Reset
	}
	return e, c.odd
}

// stream is an answer of which only the beginning has been read. Whoever takes it up reads the rest and says when it is done.
type stream struct {
	*reply
	length int64 // -1 where it isn't stated
	rest   io.Reader
	stop   func() // ends rest, also while it is read
	done   chan error
}

// reply is a host's whole answer.
type reply struct {
	status   int
	header   http.Header
	body     []byte
	bodiless bool // by its kind; the header may state the length that it would have
	unrun    bool // the host says that it has not run the request
	other    bool // another host has the address
}

// speech is what hosts are sent and what they answer.
type speech struct{ largest int64 }

// hop are the headers that concern one connection only.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect"}

// between are headers that are said between a client and a host: Connection can't take them away.
var between = []string{"Attempt-Id", "Server-Seal", "Request-Not-Run", "Time-Remaining", "Retry-After", "Cache-Control", "Content-Type",
	"Content-Encoding", "Content-Length"}

// passed is a header without what concerns one connection only.
func passed(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); !slices.Contains(between, name) {
				delete(out, name)
			}
		}
	}
	for _, name := range hop {
		delete(out, name)
	}
	return out
}

// Request is the client's request as a host gets it. A body that http.Transport can't have anew is never sent again by it.
func (speech) Request(to router.Host, r *router.Request, left time.Duration) *http.Request {
	c := r.Cargo.(*cargo)
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
	u, _ := target(r.Target)
	u.Scheme, u.Host = "http", to.Address
	req := &http.Request{Method: r.Method, URL: u, Host: c.host,
		Header: h, Body: io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body))}
	if len(r.Body) == 0 && r.Method != http.MethodGet {
		req.Body = http.NoBody // else it would go out in chunks
	}
	return req
}

// Renew states what is left once there is a connection, where that took a while.
func (speech) Renew(r *http.Request, left time.Duration) {
	if said := r.Header["Time-Remaining"]; said[0] != "" {
		if ms, err := strconv.ParseInt(said[0], 10, 64); err == nil && ms > left.Milliseconds()+renewed {
			said[0] = milliseconds(left)
		}
	}
}

const renewed = 2 // milliseconds that a host may be told too much

func milliseconds(left time.Duration) string {
	return strconv.FormatInt(max(1, left.Milliseconds()), 10)
}

// target is a request's target as the library writes it unchanged; ok is false where it can't.
func target(raw string) (u *url.URL, ok bool) {
	if !strings.HasPrefix(raw, "//") {
		return &url.URL{Opaque: raw}, true
	}
	path, query, more := strings.Cut(raw, "?") // the library puts a scheme before it where it is opaque
	plain, err := url.PathUnescape(path)
	u = &url.URL{Path: plain, RawPath: path, RawQuery: query, ForceQuery: more && query == ""}
	return u, err == nil && u.RequestURI() == raw
}

var (
	errLong = errors.New("a refusal or an error that doesn't end")
	errGone = errors.New("the final answer is given")
)

// Answer reads a host's answer whole, and checks that it is one, and the one to this request.
func (s speech) Answer(r *router.Request, resp *http.Response) (router.Outcome, error) {
	c := r.Cargo.(*cargo)
	if !c.written() {
		c.none(attempt.WrongID)
		return router.Outcome{}, attempt.ErrOther
	}
	h := resp.Header
	bodiless := r.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	what, err := attempt.Judge(c.id, attempt.Answer{Status: resp.StatusCode, IDs: h["Attempt-Id"], NotRun: h.Get("Request-Not-Run") != "",
		Sealed: h.Get("Server-Seal") != "", Encoded: h.Get("Content-Encoding") != ""})
	if err != nil { // what else it says is no matter
		c.none(what)
		return router.Outcome{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.largest+1))
	if err != nil {
		c.none(attempt.Cut)
		return router.Outcome{}, err
	}
	a := &reply{status: resp.StatusCode, header: passed(h), body: body, bodiless: bodiless,
		unrun: what != attempt.Answered, other: what == attempt.Misdirected}
	if !bodiless || a.status == http.StatusNoContent {
		delete(a.header, "Content-Length")
	}
	o := router.Outcome{Ending: rules.Failed, Reply: a}
	switch {
	case a.unrun:
		o.Ending = rules.TurnedAway
	case a.status < 500 && !attempt.Promises(a.status):
		o.Ending = rules.Fulfilled
	}
	if int64(len(body)) > s.largest {
		if o.Ending != rules.Fulfilled {
			c.none(attempt.Extra)
			return router.Outcome{}, errLong
		}
		t := &stream{reply: a, length: resp.ContentLength, rest: resp.Body, stop: func() { resp.Body.Close() }, done: make(chan error, 1)}
		err := errGone
		if c.offer(t) {
			err = <-t.done
		}
		if err != nil {
			c.none(attempt.Cut)
			return router.Outcome{}, err
		}
	}
	c.on(what)
	return o, nil
}
