// Package ingress receives requests from clients over HTTP/1.1, posts them to the dispatcher, and writes the responses. Start reading
// at Server.serve.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/connlimit"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/router/flow"
	"portflow/internal/router/flow/export"
	"portflow/internal/router/settings"
)

const (
	// readTimeout is the timeout for reading a request, from the start of the connection or the first byte of the request. Clients
	// expect an incomplete request to be terminated within 3 s.
	readTimeout = 2 * time.Second
	// idleTimeout is the timeout for the next request on a connection. Clients expect a connection to stay open for 2 s.
	idleTimeout = 2100 * time.Millisecond
	// idleFraction is the inverse of the fraction of the connections that may be idle. Some clients send one request and keep their
	// connection, and idle connections count towards the clients' limit, a third of all file descriptors.
	idleFraction = 4
	// writeTimeout is the timeout for writing a response, in addition to the longest timeout of a request.
	writeTimeout = 10 * time.Second
	// maxIDLength is the maximum length of a trace ID or an idempotency key.
	maxIDLength = 256
)

// Server is the HTTP server for clients. New returns one.
type Server struct {
	// Meter counts the traffic for flow export. nil disables it. It must not be changed after Serve has been called.
	Meter *export.Meter

	http       http.Server
	settings   settings.Settings
	clock      dispatch.Clock
	post       func(dispatch.Event)
	maxTimeout time.Duration // longest timeout of a request class
	draining   atomic.Bool
	limiter    *connlimit.Limiter
	open       atomic.Int64 // number of requests whose response is not complete
	maxOpen    int64
	recentIDs  idSet // trace IDs
}

// New returns a server that passes requests to post, with at most conns connections and maxOpen open requests. Further requests are
// rejected without being posted.
func New(s settings.Settings, conns, maxOpen int, clock dispatch.Clock, post func(dispatch.Event)) *Server {
	server := &Server{settings: s, clock: clock, post: post, maxOpen: int64(maxOpen), limiter: connlimit.New(conns, conns/idleFraction)}
	for _, class := range s.Settings.Classes {
		server.maxTimeout = max(server.maxTimeout, time.Duration(class.Timeout))
	}
	server.recentIDs.lifetime = int64(server.maxTimeout + readTimeout)
	// WriteTimeout runs from the end of the request header, so it includes the time until the answer. The error log is discarded
	// because it would get a line for each invalid request.
	server.http = http.Server{Handler: http.HandlerFunc(server.serve), ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: server.maxTimeout + writeTimeout, MaxHeaderBytes: 8 << 10, ConnContext: withConn, ErrorLog: stdlog.New(io.Discard, "", 0)}
	return server
}

// Serve accepts connections until Drain closes the listener, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(&limitedListener{l, s.limiter, s.Meter}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain shuts the server down gracefully. For delay, it still accepts connections, but closes each after its next response. Then it
// closes the listener and waits for the open requests, for up to the longest timeout of a request class.
func (s *Server) Drain(delay time.Duration) error {
	s.draining.Store(true)
	s.Meter.Leave()
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(context.Background(), s.maxTimeout)
	defer cancel()
	return s.http.Shutdown(ctx)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*clientConn)
	if r.URL.Path == "/-/ready" && r.Method == http.MethodGet && r.ContentLength == 0 {
		conn.beginResponse()
		s.writeResponse(w, http.StatusOK, nil)
		return
	}
	call, code, err := s.readCall(r, conn)
	if err != nil {
		w.Header().Set("Connection", "close") // the end of the request is unknown
		s.writeResponse(w, code, []byte(err.Error()+"\n"))
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{}) // readTimeout was for the request, which has been read
	defer s.open.Add(-1)
	if s.open.Add(1) > s.maxOpen {
		conn.beginResponse()
		s.writeAnswer(w, dispatch.Answer{Kind: dispatch.Rejected})
		return
	}
	s.post(dispatch.RequestReceived{Call: call})
	select {
	case answer := <-call.Responder.(dispatch.AnswerChan):
		conn.beginResponse()
		s.writeAnswer(w, answer)
	case <-conn.pipelined:
		s.post(dispatch.ClientGone{Call: call})
		w.Header().Set("Connection", "close")
		s.writeResponse(w, http.StatusBadRequest, []byte("bytes after the request\n"))
	case <-r.Context().Done():
		s.post(dispatch.ClientGone{Call: call})
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, a dispatch.Answer) {
	switch a.Kind {
	case dispatch.Succeeded:
		s.writeResponse(w, http.StatusOK, a.Body)
	case dispatch.Rejected:
		if a.RetryAfter > 0 {
			w.Header()["Retry-After"] = []string{strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)}
		}
		s.writeResponse(w, http.StatusServiceUnavailable, nil)
	default:
		s.writeResponse(w, http.StatusInternalServerError, nil)
	}
}

func (s *Server) writeResponse(w http.ResponseWriter, code int, body []byte) {
	h := w.Header()
	h["Content-Type"] = []string{"application/octet-stream"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	h["Date"] = nil
	if s.draining.Load() {
		h["Connection"] = []string{"close"}
	}
	w.WriteHeader(code)
	w.Write(body)
}

// readCall reads a complete request. If it is invalid, readCall returns a status and an error for the response. Requests that
// recipients may understand differently are invalid: those framed other than by one Content-Length, with duplicate header fields, or
// followed by more bytes.
func (s *Server) readCall(r *http.Request, conn *clientConn) (*dispatch.Call, int, error) {
	badRequest := func(format string, args ...any) (*dispatch.Call, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		return badRequest("%s with transfer encodings %q: HTTP/1.1 with Content-Length is required", r.Proto, r.TransferEncoding)
	}
	name := strings.TrimPrefix(r.URL.EscapedPath(), "/")
	answers := make(dispatch.AnswerChan, 1)
	call := &dispatch.Call{Class: slices.Index(s.settings.ClassNames, name), Responder: answers}
	if call.Class < 0 || !strings.HasPrefix(r.RequestURI, "/"+name) || !isVisibleASCII(r.RequestURI, maxTarget) {
		return nil, http.StatusNotFound, fmt.Errorf("path: unknown request class %q", name)
	}
	class := s.settings.Settings.Classes[call.Class]
	if idempotent := class.Idempotency == decision.Idempotent; idempotent && r.Method != http.MethodGet || !idempotent && r.Method != http.MethodPost {
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s is not allowed", r.Method)
	} else if idempotent && r.ContentLength != 0 {
		return badRequest("body of %d bytes is not allowed with %s", r.ContentLength, r.Method)
	}
	var fields [6]string
	for i, h := range [...]string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "Idempotency-Key", "X-Second-Try"} {
		if values := r.Header[h]; len(values) > 1 {
			return badRequest("%s: duplicate header field", h)
		} else if len(values) == 1 {
			fields[i] = values[0]
		}
	}
	trace, qos, customer, expires, idempotencyKey := fields[0], fields[1], fields[2], fields[3], fields[4]
	if trace == "" || !isVisibleASCII(trace, maxIDLength) {
		return badRequest("X-Trace-Id: missing or invalid")
	}
	if qos != name {
		return badRequest("X-Qos: %q does not match the path of %q", qos, name)
	}
	if class.Idempotency == decision.IdempotentByKey && idempotencyKey == "" || !isVisibleASCII(idempotencyKey, maxIDLength) {
		return badRequest("Idempotency-Key: missing or invalid")
	}
	if call.Customer = slices.Index(s.settings.CustomerNames, customer); call.Customer < 0 && len(s.settings.CustomerNames) > 0 {
		return badRequest("X-Customer: unknown customer %q", customer)
	}
	call.Customer = max(0, call.Customer)
	if retried := fields[5]; retried != "" && retried != "1" {
		return badRequest("X-Second-Try: %q is not 1", retried)
	}
	call.Retried = fields[5] == "1"
	remaining, err := parseTimeout(expires)
	if err != nil {
		return badRequest("X-Expires-In: %w", err)
	}
	if class.Timeout > 0 {
		remaining = min(remaining, class.Timeout)
	}
	if remaining == 0 {
		return nil, http.StatusGatewayTimeout, errors.New("X-Expires-In: no time left")
	}
	if obj := r.URL.Query().Get("obj"); obj != "" {
		f := fnv.New64a()
		f.Write([]byte(obj))
		call.Key = max(1, f.Sum64())
	}
	call.Request = &dispatch.Request{Method: r.Method, Target: r.RequestURI, TraceID: trace, IdempotencyKey: idempotencyKey, Class: call.Class, Customer: call.Customer}
	if r.ContentLength != 0 {
		call.Request.Body, err = dispatch.ReadBody(r.Body, r.ContentLength)
		if errors.Is(err, dispatch.ErrTooLarge) {
			return nil, http.StatusRequestEntityTooLarge, err
		} else if err != nil {
			return badRequest("body: %w", err)
		}
	}
	if !conn.requestRead(len(call.Request.Body)) {
		return badRequest("duplicate Content-Length, or bytes after the request")
	}
	conn.flow.Command(flow.Label{Side: flow.Clients, Carrier: uint16(call.Customer + 1), Band: uint8(call.Class + 1)}, call.Key)
	now := s.clock()
	if call.Deadline = now + remaining; !s.recentIDs.add(trace, now) {
		return nil, http.StatusConflict, fmt.Errorf("X-Trace-Id: %q was already used", trace)
	}
	return call, 0, nil
}

// maxTarget is the maximum length of a path with its query.
const maxTarget = 2048

// isVisibleASCII reports whether text has only visible ASCII characters, and at most maxLength of them.
func isVisibleASCII(text string, maxLength int) bool {
	return len(text) <= maxLength && !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' })
}

// idSet has the trace IDs of recent requests. Clients use a new ID for each attempt, so a second request with the same ID is from
// another client: it must not get the answer to the first one, nor be forwarded.
type idSet struct {
	mu                sync.Mutex          // guards rotatedAt, current and previous
	lifetime          int64               // minimum time for which an ID is kept, in nanoseconds
	rotatedAt         int64               // time at which current was last created
	current, previous map[string]struct{} // IDs added since rotatedAt, and in the period before
}

// add adds an ID and reports whether it was not in the set before.
func (s *idSet) add(id string, now int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.rotatedAt > s.lifetime {
		s.previous, s.current, s.rotatedAt = s.current, map[string]struct{}{}, now
	}
	_, inCurrent := s.current[id]
	_, inPrevious := s.previous[id]
	if inCurrent || inPrevious {
		return false
	}
	s.current[id] = struct{}{}
	return true
}

var timeoutUnits = map[string]time.Duration{"m": time.Millisecond, "u": time.Microsecond}

// parseTimeout parses a duration such as 480m (milliseconds) or 480000u (microseconds), and returns it in nanoseconds.
func parseTimeout(text string) (int64, error) {
	if text == "" {
		return 0, errors.New("missing")
	}
	unit, ok := timeoutUnits[text[len(text)-1:]]
	n, err := strconv.ParseUint(text[:len(text)-1], 10, 32)
	if !ok || err != nil {
		return 0, fmt.Errorf("%q is not a duration such as 480m or 480000u", text)
	}
	return int64(n) * int64(unit), nil
}
