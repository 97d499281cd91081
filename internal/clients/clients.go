// Package clients takes commands from clients over HTTP and gives them their answers.
package clients

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	stdlog "log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/router"
	"portflow/internal/settings"
	"portflow/rules"
)

const (
	headersIn = 10 * time.Second // for a request's head, once its first byte is there
	idleIn    = time.Minute      // between commands
)

// Server serves clients.
type Server struct {
	http     http.Server
	settings settings.Settings
	clock    router.Clock
	post     func(router.Event)
	longest  time.Duration // that a command may take
	leaving  atomic.Bool
	conns    *connections
	open     atomic.Int64 // commands
	most     int64
}

// New makes a server whose commands go to post. It holds at most so many connections and open commands; further
// commands are turned away before they reach the router.
func New(s settings.Settings, conns, most int, clock router.Clock, log zerolog.Logger, post func(router.Event)) *Server {
	v := &Server{settings: s, clock: clock, post: post, most: int64(most), conns: &connections{room: make(chan struct{}, conns)}}
	for _, b := range s.Settings.Bands {
		v.longest = max(v.longest, time.Duration(b.CutOff))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ready", func(w http.ResponseWriter, _ *http.Request) { v.write(w, http.StatusOK, nil) })
	mux.HandleFunc("/{band}", v.serve)
	// the write's time runs from the request's head on
	v.http = http.Server{Handler: mux, ReadHeaderTimeout: headersIn, IdleTimeout: idleIn,
		WriteTimeout: v.longest + headersIn, MaxHeaderBytes: 16 << 10, ErrorLog: stdlog.New(log, "", 0)}
	return v
}

// Serve takes commands until Leave is done.
func (s *Server) Serve(l net.Listener) error {
	s.conns.Listener = l
	if err := s.http.Serve(s.conns); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Leave ends the service: commands go on coming for a while, each connection is closed after its next answer,
// and what was taken is finished.
func (s *Server) Leave(goOn time.Duration) error {
	s.leaving.Store(true)
	time.Sleep(goOn)
	ctx, cancel := context.WithTimeout(context.Background(), s.longest)
	defer cancel()
	return s.http.Shutdown(ctx)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c, code, err := s.read(w, r)
	if err != nil {
		s.write(w, code, []byte(err.Error()+"\n"))
		return
	}
	defer s.open.Add(-1)
	if s.open.Add(1) > s.most {
		s.answer(w, router.Answer{Kind: router.Dismissed})
		return
	}
	s.post(router.Taken{Command: c})
	select {
	case a := <-c.Answer:
		s.answer(w, a)
	case <-r.Context().Done():
		s.post(router.Left{Command: c})
	}
}

func (s *Server) answer(w http.ResponseWriter, a router.Answer) {
	switch a.Kind {
	case router.Fulfilled:
		s.write(w, http.StatusOK, a.Body)
	case router.Dismissed:
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
	if s.leaving.Load() {
		h["Connection"] = []string{"close"}
	}
	w.WriteHeader(code)
	w.Write(body)
}

// read takes a command in whole; where it is none, the error says what is wrong, and the status tells the client.
func (s *Server) read(w http.ResponseWriter, r *http.Request) (*router.Command, int, error) {
	bad := func(format string, args ...any) (*router.Command, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	name := r.PathValue("band")
	c := &router.Command{Band: slices.Index(s.settings.Bands, name), Answer: make(chan router.Answer, 1)}
	if c.Band < 0 {
		return nil, http.StatusNotFound, fmt.Errorf("path: no band %q", name)
	}
	band := s.settings.Settings.Bands[c.Band]
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s", r.Method)
	}
	for _, h := range []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "Idempotency-Key"} {
		if len(r.Header[h]) > 1 {
			return bad("%s: there twice", h)
		}
	}
	trace, mark, customer := r.Header.Get("X-Trace-Id"), r.Header.Get("Idempotency-Key"), r.Header.Get("X-Customer")
	if trace == "" {
		return bad("X-Trace-Id: missing")
	}
	if q := r.Header.Get("X-Qos"); q != "" && q != name {
		return bad("X-Qos: %q on the path of %q", q, name)
	}
	if band.Repeat == rules.Referenced && mark == "" {
		return bad("Idempotency-Key: missing")
	}
	if c.Carrier = slices.Index(s.settings.Carriers, customer); c.Carrier < 0 && len(s.settings.Carriers) > 0 {
		return bad("X-Customer: no carrier %q", customer)
	}
	c.Carrier = max(0, c.Carrier)
	left, err := expiry(r.Header.Get("X-Expires-In"))
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
	c.Request = &router.Request{Method: r.Method, Target: r.RequestURI, Trace: trace, Mark: mark}
	if r.ContentLength != 0 {
		control := http.NewResponseController(w)
		control.SetReadDeadline(time.Now().Add(time.Duration(left)))
		c.Request.Body, err = router.ReadBody(r.Body, r.ContentLength)
		if err != nil {
			w.Header().Set("Connection", "close")
			if errors.Is(err, router.ErrTooLarge) {
				return nil, http.StatusRequestEntityTooLarge, err
			}
			return bad("body: %w", err)
		}
		control.SetReadDeadline(time.Time{})
	}
	c.CutOff = s.clock() + left
	return c, 0, nil
}

var units = map[string]time.Duration{"m": time.Millisecond, "u": time.Microsecond}

// expiry reads a time such as 480m (milliseconds) or 480000u (microseconds).
func expiry(text string) (int64, error) {
	if text == "" {
		return 0, errors.New("missing")
	}
	unit, ok := units[text[len(text)-1:]]
	n, err := strconv.ParseUint(strings.TrimSpace(text[:len(text)-1]), 10, 32)
	if !ok || err != nil {
		return 0, fmt.Errorf("%q is no time", text)
	}
	return int64(n) * int64(unit), nil
}
