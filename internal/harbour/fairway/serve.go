package fairway

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"portflow/internal/harbour/attempt"
	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/parts/framing"
	"portflow/internal/parts/room"
	"portflow/internal/parts/router"
	"portflow/rules"
)

// counts are the counters of a process, by what became of requests and of hand-offs.
type counts struct {
	taken, answered, again, gone, panics atomic.Int64
	withheld                             atomic.Int64     // hand-offs that were wanted and must not be
	odd                                  [16]atomic.Int64 // what came in place of answers, by attempt.Event
	faults                               [32]atomic.Int64
	endings                              [16]atomic.Int64
	rings                                [3]atomic.Int64 // hand-offs to this zone, its region, beyond
}

var endingNames = [...]string{rules.Fulfilled: "fulfilled", rules.Failed: "failed", rules.TurnedAway: "turned_away", rules.TimedOut: "timed_out",
	rules.NoConnect: "no_connect", rules.Reset: "reset", rules.Recalled: "recalled", rules.Unsent: "unsent", rules.Spoilt: "spoilt"}

func (c *counts) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "taken=%d answered=%d again=%d gone=%d panics=%d", c.taken.Load(), c.answered.Load(), c.again.Load(), c.gone.Load(), c.panics.Load())
	if n := c.withheld.Load(); n > 0 {
		fmt.Fprintf(&b, " withheld=%d", n)
	}
	for _, e := range attempt.Events() {
		if n := c.odd[e].Load(); n > 0 {
			fmt.Fprintf(&b, " odd.%s=%d", strings.ReplaceAll(e.String(), " ", "_"), n)
		}
	}
	for _, k := range faults.All() {
		if n := c.faults[k].Load(); n > 0 {
			fmt.Fprintf(&b, " %s=%d", k, n)
		}
	}
	for e, name := range endingNames {
		if n := c.endings[e].Load(); n > 0 {
			fmt.Fprintf(&b, " sent.%s=%d", name, n)
		}
	}
	fmt.Fprintf(&b, " sent.zone=%d sent.region=%d sent.beyond=%d", c.rings[0].Load(), c.rings[1].Load(), c.rings[2].Load())
	return b.String()
}

// serve begins to serve clients and the platform's checks.
func (f *Fairway) serve(front, readiness net.Listener) {
	r := chi.NewRouter()
	r.Get("/-/readiness", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
		if !f.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	checks := &http.Server{Handler: r, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second, ErrorLog: silent}
	go checks.Serve(readiness)
	go f.clients(front)
	go func() {
		<-f.ctx.Done()
		checks.Close()
		front.Close()
		f.server.Load().Close()
	}()
}

var silent = stdlog.New(io.Discard, "", 0) // what clients send wrong is counted, not logged

// clients serves clients by the limits that stand now.
func (f *Fairway) clients(l net.Listener) {
	limits := f.view.Load().chart.Limits
	s := &http.Server{Handler: f, ReadHeaderTimeout: time.Duration(limits.HeaderFor), IdleTimeout: time.Duration(limits.IdleFor),
		MaxHeaderBytes: limits.Header, ErrorLog: silent, ConnState: note, ConnContext: withCaller}
	f.server.Store(s)
	s.Serve(&quayside{l, f.room, func() manifest.Bounds { return f.view.Load().chart.Limits }})
}

// quayside keeps clients' connections within their room.
type quayside struct {
	net.Listener
	room   *room.Room
	limits func() manifest.Bounds
}

func (q *quayside) Accept() (net.Conn, error) {
	place := q.room.Enter(nil)
	c, err := q.Listener.Accept()
	if err != nil {
		place.Leave()
		return nil, err
	}
	v := &caller{Conn: c, place: place, limits: q.limits}
	place.Fill(room.Silent, func() { v.Close() })
	return v, nil
}

// caller is a client's connection. It sees how a request is framed, which net/http doesn't tell.
type caller struct {
	net.Conn
	place  *room.Place
	limits func() manifest.Bounds
	mu     sync.Mutex
	idle   bool
	frames framing.Stream
}

func (c *caller) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.frames.Read(b[:n])
	return n, err
}

// SetReadDeadline has a connection stand idle for as long as the limits that stand now say.
func (c *caller) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if c.idle && !t.IsZero() {
		t = time.Now().Add(time.Duration(c.limits().IdleFor))
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// take begins a request, and tells how it is framed. One that stood behind another in the same packet comes without a read:
// the connection is idle no more all the same, else the library's own deadlines would be taken for that of an idle one.
func (c *caller) take() framing.Fields {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return c.frames.Take()
}

func (c *caller) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

type callerKey struct{}

func withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

func (c *caller) Close() error {
	defer c.place.Leave()
	return c.Conn.Close()
}

func note(c net.Conn, s http.ConnState) {
	v, ok := c.(*caller)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		v.place.Set(room.Busy)
	case http.StateIdle:
		v.rest()
		v.place.Set(room.Idle)
	}
}

// ServeHTTP takes a client's request and gives it its one final answer.
func (f *Fairway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.counts.taken.Add(1)
	f.open.Add(1)
	defer f.open.Add(-1)
	began := f.clock()
	v := f.view.Load()
	if c, ok := r.Context().Value(callerKey{}).(*caller); ok {
		if x := c.take(); x.Doubtful() || x.Codings > 0 && !r.ProtoAtLeast(1, 1) { // the library passes over codings there
			f.refuse(w, faults.Malformed, 0)
			return
		}
	}
	if _, ok := target(r.RequestURI); !ok || len(r.Header["Attempt-Id"]) > 1 { // can't go on as it came, or has two ids
		f.refuse(w, faults.Malformed, 0)
		return
	}
	if size(r) > v.chart.Limits.Header {
		f.refuse(w, faults.Overhead, 0)
		return
	}
	if !f.ready.Load() {
		f.refuse(w, faults.Unready, 0)
		return
	}
	route := v.chart.Route(hostOf(r.Host), r.URL.EscapedPath())
	if route == nil {
		f.refuse(w, faults.Unroutable, 0)
		return
	}
	left := route.Timeout
	if t := r.Header.Get("Time-Remaining"); t != "" {
		ms, err := strconv.ParseFloat(t, 64)
		if err != nil || !(ms >= 0) || ms > 1e9 {
			f.refuse(w, faults.Malformed, 0)
			return
		}
		left = min(left, int64(ms*1e6))
	}
	body, fault := f.body(w, r, v.chart.Limits)
	defer f.held.Add(-int64(len(body)))
	if fault != faults.None {
		f.refuse(w, fault, 0)
		return
	}
	s := v.services[f.choose(route)]
	if s == nil {
		f.refuse(w, faults.Unserved, 0)
		return
	}
	if v.chart.Shares != nil {
		if wait, ok := s.within(w, r, route.Safe); !ok {
			f.refuse(w, faults.OverShare, wait)
			return
		}
	}
	answers := make(router.Chan, 1)
	load := &cargo{host: r.Host, header: passed(r.Header), id: r.Header.Get("Attempt-Id"), homes: len(route.Homes) > 0,
		stream: make(chan *stream, 1), attempts: attempt.Request{Idempotent: route.Safe}}
	c := &router.Command{Band: s.band(route), CutOff: began + left, Answer: answers, Most: route.Most,
		May:     func(h router.Host) bool { return s.may(h, route.Homes) },
		Request: &router.Request{Method: r.Method, Target: r.RequestURI, Body: body, Cargo: load}}
	s.reducer.Post(router.Taken{Command: c})
	select {
	case a := <-answers:
		f.answer(w, s, a, c, load.settle())
	case t := <-load.stream:
		load.settle()
		s.reducer.Post(router.Streams{Command: c})
		if t.length < 0 && !r.ProtoAtLeast(1, 1) { // the connection's end would be its only one, also where it is cut
			t.done <- attempt.ErrUnended
			f.refuse(w, faults.Broken, 0)
			return
		}
		f.passOn(w, t)
	case <-r.Context().Done(): // also where only its writing side is shut: no answer, as one that isn't given would be a success
		load.settle()
		f.counts.gone.Add(1)
		s.reducer.Post(router.Left{Command: c})
		panic(http.ErrAbortHandler)
	}
}

// size is about how many bytes a request's head has.
func size(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + 20
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// bodyIn is for a body, beside a second for each megabyte of it that is stated.
const bodyIn = 5 * time.Second

// body reads a request's body whole. What all bodies together may hold is a quarter of the machine's memory.
func (f *Fairway) body(w http.ResponseWriter, r *http.Request, l manifest.Bounds) ([]byte, faults.Kind) {
	if r.ContentLength == 0 {
		return nil, faults.None
	}
	if r.ContentLength > int64(l.Body) {
		return nil, faults.Oversized
	}
	room := int64(f.Boot.MemoryMB) << 20 / 4
	if f.held.Load()+max(0, r.ContentLength) > room {
		return nil, faults.Crowded
	}
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyIn + time.Duration(max(0, r.ContentLength)>>20)*time.Second))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, min(int64(l.Body), room)))
	f.held.Add(int64(len(body)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return body, faults.Oversized
	case err != nil:
		return body, faults.Malformed
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, faults.None
}

// choose is a route's service for one request, by the weights.
func (f *Fairway) choose(r *manifest.Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	sum := 0.0
	for _, w := range r.Split {
		sum += w.Weight
	}
	at := f.draw() * sum
	for _, w := range r.Split {
		if at -= w.Weight; at < 0 {
			return w.Service
		}
	}
	return r.Split[0].Service
}

// answer gives a request's final answer; known is what is for ever known of its attempts.
func (f *Fairway) answer(w http.ResponseWriter, s *service, a router.Answer, c *router.Command, known attempt.Request) {
	h, _ := a.Reply.(*reply)
	switch {
	case a.Kind == router.Fulfilled && h != nil:
		f.pass(w, h)
	case a.Kind == router.Dismissed && known.MayRefuse():
		f.refuse(w, faults.Crowded, s.wait(c.CutOff))
	case h != nil && !h.unrun && !attempt.Promises(h.status):
		f.pass(w, h)
	case f.clock() >= c.CutOff-int64(20e6) && known.Known() == attempt.NotRun:
		f.refuse(w, faults.Expired, 0)
	case f.clock() >= c.CutOff-int64(20e6):
		f.refuse(w, faults.Late, 0)
	default:
		f.refuse(w, faults.Broken, 0)
	}
}

// pass gives a host's answer as it is.
func (f *Fairway) pass(w http.ResponseWriter, a *reply) {
	f.counts.answered.Add(1)
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if !a.bodiless {
		h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	}
	if f.leaving.Load() {
		h["Connection"] = []string{"close"}
	}
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// passOn gives a long answer as it comes. One that breaks off ends the connection, so that it doesn't look complete.
func (f *Fairway) passOn(w http.ResponseWriter, t *stream) {
	f.counts.answered.Add(1)
	h := w.Header()
	for name, values := range t.header {
		h[name] = values
	}
	if t.length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(t.length, 10)}
	}
	if f.leaving.Load() {
		h["Connection"] = []string{"close"}
	}
	w.WriteHeader(t.status)
	_, err := w.Write(t.body)
	if err == nil {
		_, err = io.Copy(w, t.rest)
	}
	if t.done <- err; err != nil {
		f.counts.faults[faults.Broken].Add(1)
		panic(http.ErrAbortHandler)
	}
}

// refuse answers by the table of faults.
func (f *Fairway) refuse(w http.ResponseWriter, k faults.Kind, wait time.Duration) {
	f.counts.faults[k].Add(1)
	a := k.Answer()
	if wait <= 0 {
		wait = a.Again
	}
	h := w.Header()
	if wait > 0 {
		h["Retry-After"] = []string{faults.RetryAfter(wait)}
	}
	if a.Close || f.leaving.Load() {
		h["Connection"] = []string{"close"}
	}
	h["Content-Length"] = []string{"0"}
	h["Date"] = nil
	w.WriteHeader(a.Status)
}

// Ready tells whether the process takes requests.
func (f *Fairway) Ready() bool { return f.ready.Load() && !f.leaving.Load() }

// Close lets the connections to hosts go; the context that it was started with has ended.
func (f *Fairway) Close() { f.pool.End() }

// Leave ends the service: out of the directory and not ready at once, connections closed after their next answer, what was
// taken is finished, and who still comes is answered until shortly before the grace ends.
func (f *Fairway) Leave() {
	f.leaving.Store(true)
	f.tellSelf()
	time.Sleep(time.Duration(f.Boot.Bounds.Grace)*3/4 - 200*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(f.Boot.Bounds.Grace)/5)
	defer cancel()
	f.server.Load().Shutdown(ctx)
	f.Log()
}
