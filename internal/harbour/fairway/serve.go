package fairway

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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
	unstowed                             atomic.Int64     // bodies that there was no memory for
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
	if n := c.unstowed.Load(); n > 0 {
		fmt.Fprintf(&b, " unstowed=%d", n)
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
		MaxHeaderBytes: limits.Header, ErrorLog: silent, ConnState: f.note, ConnContext: withCaller}
	f.server.Store(s)
	f.front.Store(&l)
	defer close(f.accepted)
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
	place    *room.Place
	limits   func() manifest.Bounds
	mu       sync.Mutex
	idle     bool
	awaited  bool // it is new, or a request on it isn't answered yet
	answered bool // the last request has its whole answer, and the connection does not stand idle yet
	behind   bool // something has come while a request was at work: the library looks for a client's end no more then
	frames   framing.Stream
}

func (c *caller) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.behind = c.behind || n == 1 && len(b) == 1 // as it looks
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
	c.idle, c.answered = false, false
	return c.frames.Take()
}

// Write gives a client that takes nothing as long as one that says nothing.
func (c *caller) Write(b []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(time.Duration(c.limits().IdleFor)))
	return c.Conn.Write(b)
}

// left tells whether the client went while its request stood behind another.
func (c *caller) left() bool {
	c.mu.Lock()
	behind := c.behind
	c.behind = false
	c.mu.Unlock()
	s, ok := c.Conn.(syscall.Conn)
	if !behind || !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	n, seen := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		n, _, seen = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || seen == nil && n == 0 || seen != nil && seen != syscall.EAGAIN && seen != syscall.EINTR
}

func (c *caller) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.answered = true, false
}

type callerKey struct{}

func withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

func (c *caller) Close() error {
	defer c.place.Leave()
	c.linger()
	return c.Conn.Close()
}

// note follows a client's connection, as the library tells of it.
func (f *Fairway) note(c net.Conn, s http.ConnState) {
	v, ok := c.(*caller)
	if !ok {
		return
	}
	f.unfinished.Add(v.unfinished(s))
	switch s {
	case http.StateActive:
		v.place.Set(room.Busy)
	case http.StateIdle:
		v.rest()
		v.place.Set(room.Idle)
	}
}

// ServeHTTP takes a client's request and gives it its one final answer. A panic says that the answer breaks off.
func (f *Fairway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.respond(w, r)
	if from, known := r.Context().Value(callerKey{}).(*caller); known {
		from.served()
	}
}

// respond gives a request its final answer.
func (f *Fairway) respond(w http.ResponseWriter, r *http.Request) {
	f.counts.taken.Add(1)
	f.open.Add(1)
	defer f.open.Add(-1)
	began := f.clock()
	v := f.view.Load()
	if r.ContentLength != 0 { // also for what is left of it once a request is refused: the library reads that
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyIn + time.Duration(max(0, r.ContentLength)>>20)*time.Second))
	}
	from, known := r.Context().Value(callerKey{}).(*caller)
	if known {
		if x := from.take(); x.Doubtful() || x.Codings > 0 && !r.ProtoAtLeast(1, 1) { // the library passes over codings there
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
	if !f.ready.Load() || f.ending.Load() {
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
	body, weight, fault := f.body(w, r, v.chart.Limits)
	load := &cargo{id: r.Header.Get("Attempt-Id"), stream: make(chan *stream, 1), attempts: attempt.Request{Idempotent: route.Safe},
		stowed: stowed{in: &f.held, weight: weight, users: 1}}
	defer load.leave()
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
	load.host, load.header, load.homes = r.Host, passed(r.Header), len(route.Homes) > 0
	c := &router.Command{Band: s.band(route), CutOff: began + left, Answer: answers, Most: route.Most,
		May:     func(h router.Host) bool { return s.may(h, route.Homes) },
		Request: &router.Request{Method: r.Method, Target: r.RequestURI, Body: body, Cargo: load}}
	if known && from.left() {
		f.counts.gone.Add(1)
		panic(http.ErrAbortHandler)
	}
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
		f.passOn(w, r, t)
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

// body reads a request's body whole, within the memory that bodies have. It tells how much of that it has taken up, which is
// the caller's to give back whatever the fault.
func (f *Fairway) body(w http.ResponseWriter, r *http.Request, l manifest.Bounds) (body []byte, weight int64, fault faults.Kind) {
	if r.ContentLength == 0 {
		return nil, 0, faults.None
	}
	if r.ContentLength > int64(l.Body) {
		return nil, 0, faults.Oversized
	}
	crowded := func() ([]byte, int64, faults.Kind) {
		f.counts.unstowed.Add(1)
		w.Header()["Connection"] = []string{"close"} // what comes of it is not waited for
		return nil, weight, faults.Crowded
	}
	var err error
	if r.ContentLength > 0 {
		if !f.stow(r.ContentLength, r.ContentLength) {
			return crowded()
		}
		weight = r.ContentLength
		body = make([]byte, weight)
		_, err = io.ReadFull(r.Body, body)
	} else {
		var parts [][]byte
		from, total := http.MaxBytesReader(w, r.Body, int64(l.Body)), int64(0)
		for err == nil {
			last := len(parts) - 1
			if last < 0 || len(parts[last]) == cap(parts[last]) {
				more := max(firstPart, total/2)
				if !f.stow(more, total+more) {
					return crowded()
				}
				weight += more
				parts = append(parts, make([]byte, 0, more))
				last++
			}
			var n int
			part := parts[last]
			n, err = from.Read(part[len(part):cap(part)])
			parts[last], total = part[:len(part)+n], total+int64(n)
		}
		if err == io.EOF {
			if body, err = parts[0], nil; len(parts) > 1 {
				if !f.stow(total, total) {
					return crowded()
				}
				body = slices.Concat(parts...)
				f.held.Add(-weight)
				weight = total
			}
		}
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, weight, faults.Oversized
	case err != nil:
		return nil, weight, faults.Malformed
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, weight, faults.None
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

// head begins to give a host's answer, and makes nothing up.
func (f *Fairway) head(w http.ResponseWriter, a *reply) http.Header {
	f.counts.answered.Add(1)
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	if f.leaving.Load() {
		h["Connection"] = []string{"close"}
	}
	return h
}

// pass gives a host's answer as it is.
func (f *Fairway) pass(w http.ResponseWriter, a *reply) {
	h := f.head(w, a)
	if !a.bodiless {
		h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	}
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// passOn gives a long answer as it comes, while its client is there. One that breaks off ends the connection, so that it doesn't
// look complete.
func (f *Fairway) passOn(w http.ResponseWriter, r *http.Request, t *stream) {
	defer context.AfterFunc(r.Context(), t.stop)()
	h := f.head(w, t.reply)
	if t.length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(t.length, 10)}
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

// takesFor is for how long after Leave a router takes requests at the most: what is sent later than 3 s after a SIGTERM has a right to
// its end, whatever is left of the grace.
const takesFor = 2800 * time.Millisecond

// Leave ends the service: out of the directory and not ready at once, connections closed after their next answer. Who still comes
// is served for a while, then refused, with leave to go elsewhere at once, until shortly before the grace ends; what was taken has
// at least half of the grace to be finished.
func (f *Fairway) Leave() {
	f.leaving.Store(true)
	f.tellSelf()
	grace := time.Duration(f.Boot.Bounds.Grace)
	takes := min(takesFor, grace/2)
	time.Sleep(takes)
	f.ending.Store(true)
	time.Sleep(grace*3/4 - 200*time.Millisecond - takes)
	f.finish(grace / 5)
	f.Log()
}
