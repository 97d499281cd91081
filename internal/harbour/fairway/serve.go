package fairway

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
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
	cuts                                 cutCounts        // clients' connections that this process ended
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
	b.WriteString(c.cuts.String())
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

// clients serves clients. The server is made before any limits have come; caller replaces its bounds by those in force.
func (f *Fairway) clients(l net.Listener) {
	limits := f.view.Load().chart.Limits
	s := &http.Server{Handler: f, ReadHeaderTimeout: time.Duration(limits.HeaderFor), IdleTimeout: time.Duration(limits.IdleFor),
		MaxHeaderBytes: manifest.HeaderMost, ErrorLog: silent, ConnState: f.note, ConnContext: withCaller,
		DisableGeneralOptionsHandler: true} // which would answer beside ServeHTTP, so that nobody takes the request's framing
	f.server.Store(s)
	f.front.Store(&l)
	defer close(f.accepted)
	s.Serve(&quayside{l, f.room, &f.counts.cuts, func() manifest.Bounds { return f.view.Load().chart.Limits }})
}

// quayside keeps clients' connections within their room.
type quayside struct {
	net.Listener
	room   *room.Room
	cuts   *cutCounts
	limits func() manifest.Bounds
}

func (q *quayside) Accept() (net.Conn, error) {
	place := q.room.Enter(nil)
	c, err := q.Listener.Accept()
	if err != nil {
		place.Leave()
		return nil, err
	}
	v := &caller{Conn: c, place: place, cuts: q.cuts, limits: q.limits, phase: readingHead, since: time.Now()}
	place.Fill(room.Silent, v.evict)
	return v, nil
}

// phase is what a client's connection is waiting for.
type phase uint8

const (
	readingHead phase = iota // the first or the rest of a request's head
	idling                   // the next request, of which nothing has come
	handling                 // the handler: its deadlines are its own
)

// caller is a client's connection. It sees how a request is framed, which net/http doesn't tell.
type caller struct {
	net.Conn
	place    *room.Place
	cuts     *cutCounts // nil where nobody counts
	limits   func() manifest.Bounds
	mu       sync.Mutex
	phase    phase
	since    time.Time // when the phase's deadline was set last
	idleFor  int64     // nanoseconds, as the present request was taken
	evicted  bool      // its place is wanted for another connection
	cut      bool      // it has been counted
	awaited  bool      // it is new, or a request on it isn't answered yet
	answered bool      // the last request has its whole answer, and the connection does not stand idle yet
	behind   bool      // something has come while a request was at work: the library looks for a client's end no more then
	frames   framing.Stream
}

func (c *caller) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extend() {
		n, err = c.Conn.Read(b)
	}
	if c.observe(b[:n], len(b)); c.overlong() {
		c.refuseHead()
		return 0, &net.OpError{Op: "read", Err: errLongHead} // which net/http says nothing of to the client
	}
	return n, err
}

// observe takes what was read into a buffer of this size.
func (c *caller) observe(read []byte, size int) {
	c.mu.Lock()
	begins := len(read) > 0 && (c.phase == idling || c.phase == readingHead && !c.frames.Begun())
	if begins {
		c.phase, c.evicted = readingHead, false
	}
	c.behind = c.behind || len(read) == 1 && size == 1 // as it looks
	c.frames.Read(read)
	c.mu.Unlock()
	if begins {
		c.place.Set(room.Begun)
	}
}

// headSlop is by how many bytes a head may pass the limit before its end has come: as many as net/http's buffer has. What is
// whole by then is judged by its size.
const headSlop = 4096

var errLongHead = errors.New("the head is longer than header-bytes")

// overlong tells whether the head that comes in is longer than the limits in force allow.
func (c *caller) overlong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == readingHead && c.frames.Head() > c.limits().Header+headSlop
}

// refuseHead answers a head that is too long, and waits for a moment so that the answer isn't lost by a reset.
func (c *caller) refuseHead() {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		http.StatusRequestHeaderFieldsTooLarge, http.StatusText(http.StatusRequestHeaderFieldsTooLarge))
	c.Conn.SetReadDeadline(time.Now().Add(resetAvoidance))
	io.Copy(io.Discard, c.Conn)
}

// resetAvoidance is how long a refused client that still sends gets to read its answer: a connection that is closed beside unread
// bytes is reset, and the client may lose the answer by that.
const resetAvoidance = 500 * time.Millisecond

// allowed is how long the present phase may last by the limits in force; the caller holds the lock.
func (c *caller) allowed() time.Duration {
	if c.phase == idling {
		return time.Duration(c.limits().IdleFor)
	}
	return time.Duration(c.limits().HeaderFor)
}

// SetReadDeadline replaces the deadlines of idle connections and of heads, which net/http has from the limits that stood when
// its server was made, by those of the limits in force.
func (c *caller) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if now := time.Now(); c.phase != handling && t.After(now) {
		c.since = now
		if t = now.Add(c.allowed()); c.evicted {
			t = time.Unix(1, 0)
		}
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// extend tells, at a deadline or where its place is wanted, whether there is more time: the limits may have been raised since it was set, and a request may
// have arrived in the moment of the deadline.
func (c *caller) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling {
		return false
	}
	if !c.frames.Begun() && c.peek() == bytesWait {
		c.phase, c.since, c.evicted = readingHead, time.Now(), false
	}
	if due := c.since.Add(c.allowed()); !c.evicted && time.Now().Before(due) {
		return c.Conn.SetReadDeadline(due) == nil
	}
	if !c.cut { // net/http may read again after a deadline
		c.cut = true
		c.cuts.add(c.why())
	}
	return false
}

// why is the cause for which the connection ends at its read deadline; the caller holds the lock.
func (c *caller) why() cut {
	switch {
	case c.evicted:
		return cutRoom
	case c.phase == idling:
		return cutIdle
	}
	return cutHead
}

// take begins a request, and tells how it is framed.
func (c *caller) take() framing.Fields {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleFor, c.evicted, c.answered = handling, c.limits().IdleFor, false, false
	return c.frames.Take()
}

// Write gives a client that takes nothing as long as one that says nothing, by the limits that stood when its request was taken
// or by those in force, whichever is longer. One that takes an answer slowly, and yet takes some of it, has as long again.
func (c *caller) Write(b []byte) (int, error) {
	written := 0
	for {
		c.Conn.SetWriteDeadline(time.Now().Add(c.stall()))
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n == 0 { // perhaps the deadline had passed before the first attempt, as on a loaded machine
			n = c.push(b[written:])
			written += n
		}
		if n == 0 {
			c.cuts.add(cutStalled)
			return written, err
		}
		if written == len(b) {
			return written, nil
		}
	}
}

// push writes what the connection takes without waiting, whatever its deadline: once that has passed the runtime doesn't try.
func (c *caller) push(b []byte) (n int) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		n, _ = syscall.SendmsgN(int(fd), b, nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
	})
	return max(0, n)
}

// stall is how long a client may take nothing of its answer.
func (c *caller) stall() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(max(c.idleFor, c.limits().IdleFor))
}

// left tells whether the client went while its request stood behind another.
func (c *caller) left() bool {
	c.mu.Lock()
	behind := c.behind
	c.behind = false
	c.mu.Unlock()
	return behind && c.peek() == ended
}

// pending is what waits to be read on a connection.
type pending uint8

const (
	nothingWaits pending = iota // or it can't be told
	bytesWait
	ended // its end, or an error
)

// peek looks at what waits to be read, and takes nothing of it.
func (c *caller) peek() pending {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nothingWaits
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return ended
	}
	n, seen := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		n, _, seen = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return ended
	case seen == syscall.EAGAIN || seen == syscall.EINTR:
		return nothingWaits
	case seen != nil || n == 0:
		return ended
	}
	return bytesWait
}

// rest tells that the connection's request has its answer. The beginning of the next one may have come behind it.
func (c *caller) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = false
	if c.phase = idling; c.frames.Begun() {
		c.phase = readingHead
	}
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

// evict ends the connection, whose place is wanted for another, by its read deadline: then its reader alone decides, and what has
// come by that moment is served. net/http says only once it has read a whole head that a connection is in use.
func (c *caller) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling || c.frames.Whole() {
		return
	}
	c.evicted = true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
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
	from, known := r.Context().Value(callerKey{}).(*caller)
	var framed framing.Fields
	if known {
		framed = from.take() // before the body's deadline is set, which would else be taken for that of a head
	}
	if r.ContentLength != 0 { // also for what is left of it once a request is refused: the library reads that
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime(r.ContentLength)))
	}
	read := r.ContentLength == 0 // the request is read whole
	defer func() {
		if !read {
			f.readAway(w, r, v.chart.Limits)
		}
	}()
	if known {
		if x := framed; x.Doubtful() || x.Codings > 0 && !r.ProtoAtLeast(1, 1) { // the library passes over codings there
			f.refuse(w, faults.Malformed, 0)
			return
		}
	}
	if r.Method == http.MethodOptions && r.RequestURI == "*" { // asks about this router, not about a service
		w.Header().Set("Content-Length", "0")
		return
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
	read = fault == faults.None
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
		f.counts.cuts.add(cutGone)
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
		f.counts.cuts.add(cutGone)
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

// bodyTime is how long a body of this length may take, -1 for one that isn't stated.
func bodyTime(length int64) time.Duration {
	return bodyIn + time.Duration(max(0, length)>>20)*time.Second
}

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

// refusedStall is for how long nothing may come of the body of a request that was refused.
const refusedStall = 2 * time.Second

// libraryReads is up to how many bytes of a refused request's body net/http itself reads away before it answers.
const libraryReads = 256 << 10

// readAway answers a request that is refused beside a long body at once, and then reads what still comes of that. net/http would
// close the connection half a second after the answer, and reset by that a client that sends on, which may lose the answer. It is
// over once nothing comes for a while, or the body's time is up; a connection that isn't read to its request's end ends.
func (f *Fairway) readAway(w http.ResponseWriter, r *http.Request, l manifest.Bounds) {
	if r.ContentLength >= 0 && r.ContentLength <= libraryReads || r.Header.Get("Expect") != "" { // who waits for leave sends nothing
		return
	}
	if r.ContentLength < 0 && w.Header().Get("Connection") != "close" {
		if _, err := io.CopyN(io.Discard, r.Body, libraryReads); err != nil { // also its end
			return
		}
	}
	c := http.NewResponseController(w)
	c.EnableFullDuplex()
	c.Flush()
	end := time.Now().Add(bodyTime(min(r.ContentLength, int64(l.Body))))
	for b, err := make([]byte, 8<<10), error(nil); err != io.EOF; {
		stall := time.Now().Add(refusedStall)
		if stall.After(end) {
			stall = end
		}
		c.SetReadDeadline(stall)
		if _, err = r.Body.Read(b); err != nil && err != io.EOF {
			f.counts.cuts.add(cutUnread)
			panic(http.ErrAbortHandler) // what is left must not be read as another request
		}
	}
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
		f.counts.cuts.add(cutBroken)
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
