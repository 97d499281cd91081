// Package ingress takes commands from clients over HTTP and gives them their answers.
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
	// for all of a command, from its connection on or its first byte; unreadable ones are owed an end within 3 s
	readTimeout = 2 * time.Second
	idleTimeout = 2100 * time.Millisecond // between commands; connections may be closed after 2 s without one
	// one of so many connections may stand idle: clients count those against what they may hold, a third of all
	// descriptors, and some ask once and then keep theirs
	idleFraction = 4
	writeTimeout = 10 * time.Second // for an answer, beside the longest that its command may take
	maxIDLength  = 256              // characters of an id or a mark
)

// Server serves clients.
type Server struct {
	// Meter counts what passes, where it is set before Serve.
	Meter *export.Meter

	http       http.Server
	settings   settings.Settings
	clock      dispatch.Clock
	post       func(dispatch.Event)
	maxTimeout time.Duration // that a command may take
	draining   atomic.Bool
	limiter    *connlimit.Limiter
	open       atomic.Int64 // commands
	maxOpen    int64
	recentIDs  idSet
}

// New makes a server whose commands go to post. It holds at most so many connections and open commands; further
// commands are turned away before they reach the router.
func New(s settings.Settings, conns, maxOpen int, clock dispatch.Clock, post func(dispatch.Event)) *Server {
	server := &Server{settings: s, clock: clock, post: post, maxOpen: int64(maxOpen), limiter: connlimit.New(conns, conns/idleFraction)}
	for _, class := range s.Settings.Classes {
		server.maxTimeout = max(server.maxTimeout, time.Duration(class.Timeout))
	}
	server.recentIDs.lifetime = int64(server.maxTimeout + readTimeout)
	// the write's time runs from the request's head on; what clients send wrong is no matter for the log
	server.http = http.Server{Handler: http.HandlerFunc(server.serve), ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: server.maxTimeout + writeTimeout, MaxHeaderBytes: 8 << 10, ConnContext: withConn, ErrorLog: stdlog.New(io.Discard, "", 0)}
	return server
}

// Serve takes commands until Leave is done.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(&limitedListener{l, s.limiter, s.Meter}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain ends the service: commands go on coming for a while, each connection is closed after its next answer,
// and what was taken is finished.
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
		w.Header().Set("Connection", "close") // where its bytes end is not sure
		s.writeResponse(w, code, []byte(err.Error()+"\n"))
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{}) // it was for what has been read
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
		s.writeResponse(w, http.StatusBadRequest, []byte("bytes after the command\n"))
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

// readCall takes a command in whole; where it is none, the error says what is wrong, and the status tells the client.
// What could be read in two ways is refused: other framing than a length, fields there twice, bytes to spare.
func (s *Server) readCall(r *http.Request, conn *clientConn) (*dispatch.Call, int, error) {
	badRequest := func(format string, args ...any) (*dispatch.Call, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		return badRequest("%s with transfer encodings %q: HTTP/1.1 and a length are wanted", r.Proto, r.TransferEncoding)
	}
	name := strings.TrimPrefix(r.URL.EscapedPath(), "/")
	answers := make(dispatch.AnswerChan, 1)
	call := &dispatch.Call{Class: slices.Index(s.settings.ClassNames, name), Responder: answers}
	if call.Class < 0 || !strings.HasPrefix(r.RequestURI, "/"+name) || !isVisibleASCII(r.RequestURI, maxTarget) {
		return nil, http.StatusNotFound, fmt.Errorf("path: no band %q", name)
	}
	class := s.settings.Settings.Classes[call.Class]
	if idempotent := class.Idempotency == decision.Idempotent; idempotent && r.Method != http.MethodGet || !idempotent && r.Method != http.MethodPost {
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s", r.Method)
	} else if idempotent && r.ContentLength != 0 {
		return badRequest("a body of %d bytes with %s", r.ContentLength, r.Method)
	}
	var fields [6]string
	for i, h := range [...]string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "Idempotency-Key", "X-Second-Try"} {
		if values := r.Header[h]; len(values) > 1 {
			return badRequest("%s: there twice", h)
		} else if len(values) == 1 {
			fields[i] = values[0]
		}
	}
	trace, qos, customer, expires, idempotencyKey := fields[0], fields[1], fields[2], fields[3], fields[4]
	if trace == "" || !isVisibleASCII(trace, maxIDLength) {
		return badRequest("X-Trace-Id: missing or no id")
	}
	if qos != name {
		return badRequest("X-Qos: %q on the path of %q", qos, name)
	}
	if class.Idempotency == decision.IdempotentByKey && idempotencyKey == "" || !isVisibleASCII(idempotencyKey, maxIDLength) {
		return badRequest("Idempotency-Key: missing or no mark")
	}
	if call.Customer = slices.Index(s.settings.CustomerNames, customer); call.Customer < 0 && len(s.settings.CustomerNames) > 0 {
		return badRequest("X-Customer: no carrier %q", customer)
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
		return nil, http.StatusGatewayTimeout, errors.New("X-Expires-In: nothing left")
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
		return badRequest("a length stated twice, or bytes after the command")
	}
	conn.flow.Command(flow.Label{Side: flow.Clients, Carrier: uint16(call.Customer + 1), Band: uint8(call.Class + 1)}, call.Key)
	now := s.clock()
	if call.Deadline = now + remaining; !s.recentIDs.add(trace, now) {
		return nil, http.StatusConflict, fmt.Errorf("X-Trace-Id: %q has come before", trace)
	}
	return call, 0, nil
}

const maxTarget = 2048 // characters of a path with its query

// isVisibleASCII tells whether a text is of visible ASCII characters only, and of no more than so many.
func isVisibleASCII(text string, maxLength int) bool {
	return len(text) <= maxLength && !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' })
}

// idSet are those of the commands that came lately. Each try has a new one: what brings one again is another's, and
// must get neither that one's answer nor a second hand-off.
type idSet struct {
	mu                sync.Mutex
	lifetime          int64 // for how long at least
	rotatedAt         int64
	current, previous map[string]struct{}
}

// add takes an id in, unless it is there.
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

// parseTimeout reads a time such as 480m (milliseconds) or 480000u (microseconds).
func parseTimeout(text string) (int64, error) {
	if text == "" {
		return 0, errors.New("missing")
	}
	unit, ok := timeoutUnits[text[len(text)-1:]]
	n, err := strconv.ParseUint(text[:len(text)-1], 10, 32)
	if !ok || err != nil {
		return 0, fmt.Errorf("%q is no time", text)
	}
	return int64(n) * int64(unit), nil
}
