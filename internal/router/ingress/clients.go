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
	wholeIn = 2 * time.Second
	idleIn  = 2100 * time.Millisecond // between commands; connections may be closed after 2 s without one
	// one of so many connections may stand idle: clients count those against what they may hold, a third of all
	// descriptors, and some ask once and then keep theirs
	idleOf  = 4
	writeIn = 10 * time.Second // for an answer, beside the longest that its command may take
	longest = 256              // characters of an id or a mark
)

// Server serves clients.
type Server struct {
	// Meter counts what passes, where it is set before Serve.
	Meter *export.Meter

	http     http.Server
	settings settings.Settings
	clock    dispatch.Clock
	post     func(dispatch.Event)
	longest  time.Duration // that a command may take
	leaving  atomic.Bool
	room     *connlimit.Room
	open     atomic.Int64 // commands
	most     int64
	ids      ids
}

// New makes a server whose commands go to post. It holds at most so many connections and open commands; further
// commands are turned away before they reach the router.
func New(s settings.Settings, conns, most int, clock dispatch.Clock, post func(dispatch.Event)) *Server {
	v := &Server{settings: s, clock: clock, post: post, most: int64(most), room: connlimit.New(conns, conns/idleOf)}
	for _, b := range s.Settings.Bands {
		v.longest = max(v.longest, time.Duration(b.CutOff))
	}
	v.ids.keep = int64(v.longest + wholeIn)
	// the write's time runs from the request's head on; what clients send wrong is no matter for the log
	v.http = http.Server{Handler: http.HandlerFunc(v.serve), ReadTimeout: wholeIn, IdleTimeout: idleIn,
		WriteTimeout: v.longest + writeIn, MaxHeaderBytes: 8 << 10, ConnContext: withConn, ErrorLog: stdlog.New(io.Discard, "", 0)}
	return v
}

// Serve takes commands until Leave is done.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(&connections{l, s.room, s.Meter}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Leave ends the service: commands go on coming for a while, each connection is closed after its next answer,
// and what was taken is finished.
func (s *Server) Leave(goOn time.Duration) error {
	s.leaving.Store(true)
	s.Meter.Leave()
	time.Sleep(goOn)
	ctx, cancel := context.WithTimeout(context.Background(), s.longest)
	defer cancel()
	return s.http.Shutdown(ctx)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*clientConn)
	if r.URL.Path == "/-/ready" && r.Method == http.MethodGet && r.ContentLength == 0 {
		conn.answer()
		s.write(w, http.StatusOK, nil)
		return
	}
	c, code, err := s.read(r, conn)
	if err != nil {
		w.Header().Set("Connection", "close") // where its bytes end is not sure
		s.write(w, code, []byte(err.Error()+"\n"))
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{}) // it was for what has been read
	defer s.open.Add(-1)
	if s.open.Add(1) > s.most {
		conn.answer()
		s.answer(w, dispatch.Answer{Kind: dispatch.Dismissed})
		return
	}
	s.post(dispatch.Taken{Command: c})
	select {
	case a := <-c.Answer.(dispatch.Chan):
		conn.answer()
		s.answer(w, a)
	case <-conn.more:
		s.post(dispatch.Left{Command: c})
		w.Header().Set("Connection", "close")
		s.write(w, http.StatusBadRequest, []byte("bytes after the command\n"))
	case <-r.Context().Done():
		s.post(dispatch.Left{Command: c})
	}
}

func (s *Server) answer(w http.ResponseWriter, a dispatch.Answer) {
	switch a.Kind {
	case dispatch.Fulfilled:
		s.write(w, http.StatusOK, a.Body)
	case dispatch.Dismissed:
		if a.Wait > 0 {
			w.Header()["Retry-After"] = []string{strconv.FormatFloat(a.Wait.Seconds(), 'f', 3, 64)}
		}
		s.write(w, http.StatusServiceUnavailable, nil)
	default:
		s.write(w, http.StatusInternalServerError, nil)
	}
}

func (s *Server) write(w http.ResponseWriter, code int, body []byte) {
	h := w.Header()
	h["Content-Type"] = []string{"application/octet-stream"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	h["Date"] = nil
	if s.leaving.Load() {
		h["Connection"] = []string{"close"}
	}
	w.WriteHeader(code)
	w.Write(body)
}

// read takes a command in whole; where it is none, the error says what is wrong, and the status tells the client.
// What could be read in two ways is refused: other framing than a length, fields there twice, bytes to spare.
func (s *Server) read(r *http.Request, conn *clientConn) (*dispatch.Command, int, error) {
	bad := func(format string, args ...any) (*dispatch.Command, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		return bad("%s with transfer encodings %q: HTTP/1.1 and a length are wanted", r.Proto, r.TransferEncoding)
	}
	name := strings.TrimPrefix(r.URL.EscapedPath(), "/")
	answers := make(dispatch.Chan, 1)
	c := &dispatch.Command{Band: slices.Index(s.settings.Bands, name), Answer: answers}
	if c.Band < 0 || !strings.HasPrefix(r.RequestURI, "/"+name) || !plain(r.RequestURI, maxTarget) {
		return nil, http.StatusNotFound, fmt.Errorf("path: no band %q", name)
	}
	band := s.settings.Settings.Bands[c.Band]
	if safe := band.Repeat == decision.Replayable; safe && r.Method != http.MethodGet || !safe && r.Method != http.MethodPost {
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s", r.Method)
	} else if safe && r.ContentLength != 0 {
		return bad("a body of %d bytes with %s", r.ContentLength, r.Method)
	}
	var fields [6]string
	for i, h := range [...]string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "Idempotency-Key", "X-Second-Try"} {
		if values := r.Header[h]; len(values) > 1 {
			return bad("%s: there twice", h)
		} else if len(values) == 1 {
			fields[i] = values[0]
		}
	}
	trace, qos, customer, expires, mark := fields[0], fields[1], fields[2], fields[3], fields[4]
	if trace == "" || !plain(trace, longest) {
		return bad("X-Trace-Id: missing or no id")
	}
	if qos != name {
		return bad("X-Qos: %q on the path of %q", qos, name)
	}
	if band.Repeat == decision.Referenced && mark == "" || !plain(mark, longest) {
		return bad("Idempotency-Key: missing or no mark")
	}
	if c.Carrier = slices.Index(s.settings.Carriers, customer); c.Carrier < 0 && len(s.settings.Carriers) > 0 {
		return bad("X-Customer: no carrier %q", customer)
	}
	c.Carrier = max(0, c.Carrier)
	if again := fields[5]; again != "" && again != "1" {
		return bad("X-Second-Try: %q is not 1", again)
	}
	c.Again = fields[5] == "1"
	left, err := expiry(expires)
	if err != nil {
		return bad("X-Expires-In: %w", err)
	}
	if band.CutOff > 0 {
		left = min(left, band.CutOff)
	}
	if left == 0 {
		return nil, http.StatusGatewayTimeout, errors.New("X-Expires-In: nothing left")
	}
	if obj := r.URL.Query().Get("obj"); obj != "" {
		f := fnv.New64a()
		f.Write([]byte(obj))
		c.Key = max(1, f.Sum64())
	}
	c.Request = &dispatch.Request{Method: r.Method, Target: r.RequestURI, Trace: trace, Mark: mark, Band: c.Band, Carrier: c.Carrier}
	if r.ContentLength != 0 {
		c.Request.Body, err = dispatch.ReadBody(r.Body, r.ContentLength)
		if errors.Is(err, dispatch.ErrTooLarge) {
			return nil, http.StatusRequestEntityTooLarge, err
		} else if err != nil {
			return bad("body: %w", err)
		}
	}
	if !conn.take(len(c.Request.Body)) {
		return bad("a length stated twice, or bytes after the command")
	}
	conn.flow.Command(flow.Label{Side: flow.Clients, Carrier: uint16(c.Carrier + 1), Band: uint8(c.Band + 1)}, c.Key)
	now := s.clock()
	if c.CutOff = now + left; !s.ids.add(trace, now) {
		return nil, http.StatusConflict, fmt.Errorf("X-Trace-Id: %q has come before", trace)
	}
	return c, 0, nil
}

const maxTarget = 2048 // characters of a path with its query

// plain tells whether a text is of visible ASCII characters only, and of no more than so many.
func plain(text string, most int) bool {
	return len(text) <= most && !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' })
}

// ids are those of the commands that came lately. Each try has a new one: what brings one again is another's, and
// must get neither that one's answer nor a second hand-off.
type ids struct {
	mu          sync.Mutex
	keep        int64 // for how long at least
	since       int64
	now, before map[string]struct{}
}

// add takes an id in, unless it is there.
func (i *ids) add(id string, now int64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now-i.since > i.keep {
		i.before, i.now, i.since = i.now, map[string]struct{}{}, now
	}
	_, late := i.now[id]
	_, early := i.before[id]
	if late || early {
		return false
	}
	i.now[id] = struct{}{}
	return true
}

var units = map[string]time.Duration{"m": time.Millisecond, "u": time.Microsecond}

// expiry reads a time such as 480m (milliseconds) or 480000u (microseconds).
func expiry(text string) (int64, error) {
	if text == "" {
		return 0, errors.New("missing")
	}
	unit, ok := units[text[len(text)-1:]]
	n, err := strconv.ParseUint(text[:len(text)-1], 10, 32)
	if !ok || err != nil {
		return 0, fmt.Errorf("%q is no time", text)
	}
	return int64(n) * int64(unit), nil
}
