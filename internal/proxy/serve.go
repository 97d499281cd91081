package proxy

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

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/connlimit"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/httpframing"
	"portflow/internal/proxy/attempt"
)

// counters are the counters of a process, by what became of requests and of hand-offs.
type counters struct {
	received, answered, retried, clientGone, panics atomic.Int64
	bodyRefused                                     atomic.Int64     // bodies that there was no memory for
	withheld                                        atomic.Int64     // hand-offs that were wanted and must not be
	cuts                                            cutCounts        // clients' connections that this process ended
	invalidAnswers                                  [16]atomic.Int64 // what came in place of answers, by attempt.Event
	refusals                                        [32]atomic.Int64
	endings                                         [16]atomic.Int64
	byRing                                          [3]atomic.Int64 // hand-offs to this zone, its region, beyond
}

var endingNames = [...]string{decision.Succeeded: "fulfilled", decision.Failed: "failed", decision.Rejected: "turned_away", decision.TimedOut: "timed_out",
	decision.ConnectFailed: "no_connect", decision.ConnectionReset: "reset", decision.Canceled: "recalled", decision.Unsent: "unsent", decision.InvalidAnswer: "spoilt"}

func (c *counters) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "taken=%d answered=%d again=%d gone=%d panics=%d", c.received.Load(), c.answered.Load(), c.retried.Load(), c.clientGone.Load(), c.panics.Load())
	if n := c.withheld.Load(); n > 0 {
		fmt.Fprintf(&b, " withheld=%d", n)
	}
	if n := c.bodyRefused.Load(); n > 0 {
		fmt.Fprintf(&b, " unstowed=%d", n)
	}
	for _, e := range attempt.Events() {
		if n := c.invalidAnswers[e].Load(); n > 0 {
			fmt.Fprintf(&b, " odd.%s=%d", strings.ReplaceAll(e.String(), " ", "_"), n)
		}
	}
	for _, k := range apierror.All() {
		if n := c.refusals[k].Load(); n > 0 {
			fmt.Fprintf(&b, " %s=%d", k, n)
		}
	}
	for e, name := range endingNames {
		if n := c.endings[e].Load(); n > 0 {
			fmt.Fprintf(&b, " sent.%s=%d", name, n)
		}
	}
	b.WriteString(c.cuts.String())
	fmt.Fprintf(&b, " sent.zone=%d sent.region=%d sent.beyond=%d", c.byRing[0].Load(), c.byRing[1].Load(), c.byRing[2].Load())
	return b.String()
}

// startServers begins to serve clients and the platform's checks.
func (p *Proxy) startServers(front, readiness net.Listener) {
	r := chi.NewRouter()
	r.Get("/-/readiness", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
		if !p.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	checks := &http.Server{Handler: r, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second, ErrorLog: discardLog}
	go checks.Serve(readiness)
	go p.serveClients(front)
	go func() {
		<-p.ctx.Done()
		checks.Close()
		front.Close()
		p.server.Load().Close()
	}()
}

var discardLog = stdlog.New(io.Discard, "", 0) // what clients send wrong is counted, not logged

// serveClients serves clients. The server is made before any limits have come; caller replaces its bounds by those in force.
func (p *Proxy) serveClients(l net.Listener) {
	limits := p.snapshot.Load().routing.Limits
	s := &http.Server{Handler: p, ReadHeaderTimeout: time.Duration(limits.HeaderTimeout), IdleTimeout: time.Duration(limits.IdleTimeout),
		MaxHeaderBytes: config.HeaderMost, ErrorLog: discardLog, ConnState: p.connStateChanged, ConnContext: withClientConn,
		DisableGeneralOptionsHandler: true} // which would answer beside ServeHTTP, so that nobody takes the request's framing
	p.server.Store(s)
	p.front.Store(&l)
	defer close(p.accepted)
	s.Serve(&limitedListener{l, p.connections, &p.counters.cuts, func() config.Limits { return p.snapshot.Load().routing.Limits }})
}

// limitedListener keeps clients' connections within their room.
type limitedListener struct {
	net.Listener
	limiter *connlimit.Limiter
	cuts    *cutCounts
	limits  func() config.Limits
}

func (l *limitedListener) Accept() (net.Conn, error) {
	place := l.limiter.Acquire(nil)
	c, err := l.Listener.Accept()
	if err != nil {
		place.Release()
		return nil, err
	}
	v := &clientConn{Conn: c, slot: place, cuts: l.cuts, limits: l.limits, phase: readingHead, since: time.Now()}
	place.Attach(connlimit.StateNew, v.evict)
	return v, nil
}

// connPhase is what a client's connection is waiting for.
type connPhase uint8

const (
	readingHead connPhase = iota // the first or the rest of a request's head
	idling                       // the next request, of which nothing has come
	handling                     // the handler: its deadlines are its own
)

// clientConn is a client's connection. It sees how a request is framed, which net/http doesn't tell.
type clientConn struct {
	net.Conn
	slot              *connlimit.Slot
	cuts              *cutCounts // nil where nobody counts
	limits            func() config.Limits
	mu                sync.Mutex
	phase             connPhase
	since             time.Time // when the phase's deadline was set last
	idleFor           int64     // nanoseconds, as the present request was taken
	evicting          bool      // its place is wanted for another connection
	counted           bool      // it has been counted
	unfinishedRequest bool      // it is new, or a request on it isn't answered yet
	answered          bool      // the last request has its whole answer, and the connection does not stand idle yet
	pipelined         bool      // something has come while a request was at work: the library looks for a client's end no more then
	framing           httpframing.Stream
}

func (c *clientConn) Read(b []byte) (int, error) {
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
func (c *clientConn) observe(read []byte, size int) {
	c.mu.Lock()
	begins := len(read) > 0 && (c.phase == idling || c.phase == readingHead && !c.framing.Begun())
	if begins {
		c.phase, c.evicting = readingHead, false
	}
	c.pipelined = c.pipelined || len(read) == 1 && size == 1 // as it looks
	c.framing.Read(read)
	c.mu.Unlock()
	if begins {
		c.slot.SetState(connlimit.StateReading)
	}
}

// headSlop is by how many bytes a head may pass the limit before its end has come: as many as net/http's buffer has. What is
// whole by then is judged by its size.
const headSlop = 4096

var errLongHead = errors.New("the head is longer than header-bytes")

// overlong tells whether the head that comes in is longer than the limits in force allow.
func (c *clientConn) overlong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == readingHead && c.framing.Head() > c.limits().HeaderBytes+headSlop
}

// refuseHead answers a head that is too long, and waits for a moment so that the answer isn't lost by a reset.
func (c *clientConn) refuseHead() {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		http.StatusRequestHeaderFieldsTooLarge, http.StatusText(http.StatusRequestHeaderFieldsTooLarge))
	c.Conn.SetReadDeadline(time.Now().Add(resetAvoidance))
	io.Copy(io.Discard, c.Conn)
}

// resetAvoidance is how long a refused client that still sends gets to read its answer: a connection that is closed beside unread
// bytes is reset, and the client may lose the answer by that.
const resetAvoidance = 500 * time.Millisecond

// allowed is how long the present phase may last by the limits in force; the caller holds the lock.
func (c *clientConn) allowed() time.Duration {
	if c.phase == idling {
		return time.Duration(c.limits().IdleTimeout)
	}
	return time.Duration(c.limits().HeaderTimeout)
}

// SetReadDeadline replaces the deadlines of idle connections and of heads, which net/http has from the limits that stood when
// its server was made, by those of the limits in force.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if now := time.Now(); c.phase != handling && t.After(now) {
		c.since = now
		if t = now.Add(c.allowed()); c.evicting {
			t = time.Unix(1, 0)
		}
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// extend tells, at a deadline or where its place is wanted, whether there is more time: the limits may have been raised since it was set, and a request may
// have arrived in the moment of the deadline.
func (c *clientConn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling {
		return false
	}
	if !c.framing.Begun() && c.peek() == bytesWait {
		c.phase, c.since, c.evicting = readingHead, time.Now(), false
	}
	if due := c.since.Add(c.allowed()); !c.evicting && time.Now().Before(due) {
		return c.Conn.SetReadDeadline(due) == nil
	}
	if !c.counted { // net/http may read again after a deadline
		c.counted = true
		c.cuts.add(c.why())
	}
	return false
}

// why is the cause for which the connection ends at its read deadline; the caller holds the lock.
func (c *clientConn) why() cutCause {
	switch {
	case c.evicting:
		return cutRoom
	case c.phase == idling:
		return cutIdle
	}
	return cutHead
}

// beginRequest begins a request, and tells how it is framed.
func (c *clientConn) beginRequest() httpframing.Fields {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleFor, c.evicting, c.answered = handling, c.limits().IdleTimeout, false, false
	return c.framing.Next()
}

// Write gives a client that takes nothing as long as one that says nothing, by the limits that stood when its request was taken
// or by those in force, whichever is longer. One that takes an answer slowly, and yet takes some of it, has as long again.
func (c *clientConn) Write(b []byte) (int, error) {
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
func (c *clientConn) push(b []byte) (n int) {
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
func (c *clientConn) stall() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(max(c.idleFor, c.limits().IdleTimeout))
}

// clientGone tells whether the client went while its request stood behind another.
func (c *clientConn) clientGone() bool {
	c.mu.Lock()
	behind := c.pipelined
	c.pipelined = false
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
func (c *clientConn) peek() pending {
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

// markIdle tells that the connection's request has its answer. The beginning of the next one may have come behind it.
func (c *clientConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = false
	if c.phase = idling; c.framing.Begun() {
		c.phase = readingHead
	}
}

type clientConnKey struct{}

func withClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

func (c *clientConn) Close() error {
	defer c.slot.Release()
	c.linger()
	return c.Conn.Close()
}

// evict ends the connection, whose place is wanted for another, by its read deadline: then its reader alone decides, and what has
// come by that moment is served. net/http says only once it has read a whole head that a connection is in use.
func (c *clientConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling || c.framing.Whole() {
		return
	}
	c.evicting = true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// connStateChanged follows a client's connection, as the library tells of it.
func (p *Proxy) connStateChanged(c net.Conn, s http.ConnState) {
	v, ok := c.(*clientConn)
	if !ok {
		return
	}
	p.unfinished.Add(v.unfinished(s))
	switch s {
	case http.StateActive:
		v.slot.SetState(connlimit.StateActive)
	case http.StateIdle:
		v.markIdle()
		v.slot.SetState(connlimit.StateIdle)
	}
}

// ServeHTTP takes a client's request and gives it its one final answer. A panic says that the answer breaks off.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handle(w, r)
	if from, known := r.Context().Value(clientConnKey{}).(*clientConn); known {
		from.answerComplete()
	}
}

// handle gives a request its final answer.
func (p *Proxy) handle(w http.ResponseWriter, r *http.Request) {
	p.counters.received.Add(1)
	p.openRequests.Add(1)
	defer p.openRequests.Add(-1)
	began := p.clock()
	v := p.snapshot.Load()
	from, known := r.Context().Value(clientConnKey{}).(*clientConn)
	var framed httpframing.Fields
	if known {
		framed = from.beginRequest() // before the body's deadline is set, which would else be taken for that of a head
	}
	if r.ContentLength != 0 { // also for what is left of it once a request is refused: the library reads that
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime(r.ContentLength)))
	}
	read := r.ContentLength == 0 // the request is read whole
	defer func() {
		if !read {
			p.readAway(w, r, v.routing.Limits)
		}
	}()
	if known {
		if x := framed; x.Ambiguous() || x.TransferEncodings > 0 && !r.ProtoAtLeast(1, 1) { // the library passes over codings there
			p.refuse(w, apierror.Malformed, 0)
			return
		}
	}
	if r.Method == http.MethodOptions && r.RequestURI == "*" { // asks about this router, not about a service
		w.Header().Set("Content-Length", "0")
		return
	}
	if _, ok := requestTarget(r.RequestURI); !ok || len(r.Header["Attempt-Id"]) > 1 { // can't go on as it came, or has two ids
		p.refuse(w, apierror.Malformed, 0)
		return
	}
	if headSize(r) > v.routing.Limits.HeaderBytes {
		p.refuse(w, apierror.HeaderTooLarge, 0)
		return
	}
	if !p.ready.Load() || p.refusing.Load() {
		p.refuse(w, apierror.Unavailable, 0)
		return
	}
	route := v.routing.Match(hostName(r.Host), r.URL.EscapedPath())
	if route == nil {
		p.refuse(w, apierror.NoRoute, 0)
		return
	}
	left := route.Timeout
	if t := r.Header.Get("Time-Remaining"); t != "" {
		ms, err := strconv.ParseFloat(t, 64)
		if err != nil || !(ms >= 0) || ms > 1e9 {
			p.refuse(w, apierror.Malformed, 0)
			return
		}
		left = min(left, int64(ms*1e6))
	}
	body, weight, fault := p.readBody(w, r, v.routing.Limits)
	read = fault == apierror.None
	load := &clientRequest{id: r.Header.Get("Attempt-Id"), streams: make(chan *streamedReply, 1), attempts: attempt.Request{Idempotent: route.Idempotent},
		bodyMemory: bodyReservation{total: &p.heldBodyBytes, bytes: weight, holders: 1}}
	defer load.release()
	if fault != apierror.None {
		p.refuse(w, fault, 0)
		return
	}
	s := v.services[p.chooseService(route)]
	if s == nil {
		p.refuse(w, apierror.NoService, 0)
		return
	}
	if v.routing.Quotas != nil {
		if wait, ok := s.checkQuota(w, r, route.Idempotent); !ok {
			p.refuse(w, apierror.QuotaExceeded, wait)
			return
		}
	}
	answers := make(dispatch.AnswerChan, 1)
	load.host, load.header, load.hasHomes = r.Host, forwardedHeader(r.Header), len(route.HomeRegions) > 0
	c := &dispatch.Call{Class: s.bandOf(route), Deadline: began + left, Responder: answers, MaxAttempts: route.MaxAttempts,
		Allowed: func(h dispatch.Host) bool { return s.mayUse(h, route.HomeRegions) },
		Request: &dispatch.Request{Method: r.Method, Target: r.RequestURI, Body: body, Payload: load}}
	if known && from.clientGone() {
		p.counters.clientGone.Add(1)
		p.counters.cuts.add(cutGone)
		panic(http.ErrAbortHandler)
	}
	s.dispatcher.Post(dispatch.RequestReceived{Call: c})
	select {
	case a := <-answers:
		p.writeAnswer(w, s, a, c, load.settle())
	case t := <-load.streams:
		load.settle()
		s.dispatcher.Post(dispatch.StreamStarted{Call: c})
		if t.length < 0 && !r.ProtoAtLeast(1, 1) { // the connection's end would be its only one, also where it is cut
			t.done <- attempt.ErrNoStatedEnd
			p.refuse(w, apierror.UpstreamBroken, 0)
			return
		}
		p.streamReply(w, r, t)
	case <-r.Context().Done(): // also where only its writing side is shut: no answer, as one that isn't given would be a success
		load.settle()
		p.counters.clientGone.Add(1)
		p.counters.cuts.add(cutGone)
		s.dispatcher.Post(dispatch.ClientGone{Call: c})
		panic(http.ErrAbortHandler)
	}
}

// headSize is about how many bytes a request's head has.
func headSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + 20
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// bodyTimeout is for a body, beside a second for each megabyte of it that is stated.
const bodyTimeout = 5 * time.Second

// bodyTime is how long a body of this length may take, -1 for one that isn't stated.
func bodyTime(length int64) time.Duration {
	return bodyTimeout + time.Duration(max(0, length)>>20)*time.Second
}

// readBody reads a request's body whole, within the memory that bodies have. It tells how much of that it has taken up, which is
// the caller's to give back whatever the fault.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, l config.Limits) (body []byte, weight int64, fault apierror.Kind) {
	if r.ContentLength == 0 {
		return nil, 0, apierror.None
	}
	if r.ContentLength > int64(l.BodyBytes) {
		return nil, 0, apierror.BodyTooLarge
	}
	crowded := func() ([]byte, int64, apierror.Kind) {
		p.counters.bodyRefused.Add(1)
		w.Header()["Connection"] = []string{"close"} // what comes of it is not waited for
		return nil, weight, apierror.Overloaded
	}
	var err error
	if r.ContentLength > 0 {
		if !p.reserveBody(r.ContentLength, r.ContentLength) {
			return crowded()
		}
		weight = r.ContentLength
		body = make([]byte, weight)
		_, err = io.ReadFull(r.Body, body)
	} else {
		var parts [][]byte
		from, total := http.MaxBytesReader(w, r.Body, int64(l.BodyBytes)), int64(0)
		for err == nil {
			last := len(parts) - 1
			if last < 0 || len(parts[last]) == cap(parts[last]) {
				more := max(firstChunkBytes, total/2)
				if !p.reserveBody(more, total+more) {
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
				if !p.reserveBody(total, total) {
					return crowded()
				}
				body = slices.Concat(parts...)
				p.heldBodyBytes.Add(-weight)
				weight = total
			}
		}
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, weight, apierror.BodyTooLarge
	case err != nil:
		return nil, weight, apierror.Malformed
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, weight, apierror.None
}

// refusedStall is for how long nothing may come of the body of a request that was refused.
const refusedStall = 2 * time.Second

// libraryReads is up to how many bytes of a refused request's body net/http itself reads away before it answers.
const libraryReads = 256 << 10

// readAway answers a request that is refused beside a long body at once, and then reads what still comes of that. net/http would
// close the connection half a second after the answer, and reset by that a client that sends on, which may lose the answer. It is
// over once nothing comes for a while, or the body's time is up; a connection that isn't read to its request's end ends.
func (p *Proxy) readAway(w http.ResponseWriter, r *http.Request, l config.Limits) {
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
	end := time.Now().Add(bodyTime(min(r.ContentLength, int64(l.BodyBytes))))
	for b, err := make([]byte, 8<<10), error(nil); err != io.EOF; {
		stall := time.Now().Add(refusedStall)
		if stall.After(end) {
			stall = end
		}
		c.SetReadDeadline(stall)
		if _, err = r.Body.Read(b); err != nil && err != io.EOF {
			p.counters.cuts.add(cutUnread)
			panic(http.ErrAbortHandler) // what is left must not be read as another request
		}
	}
}

// chooseService is a route's service for one request, by the weights.
func (p *Proxy) chooseService(r *config.Route) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	sum := 0.0
	for _, w := range r.Backends {
		sum += w.Weight
	}
	at := p.randomFloat() * sum
	for _, w := range r.Backends {
		if at -= w.Weight; at < 0 {
			return w.Service
		}
	}
	return r.Backends[0].Service
}

// writeAnswer gives a request's final answer; known is what is for ever known of its attempts.
func (p *Proxy) writeAnswer(w http.ResponseWriter, s *service, a dispatch.Answer, c *dispatch.Call, known attempt.Request) {
	h, _ := a.Reply.(*reply)
	switch {
	case a.Kind == dispatch.Succeeded && h != nil:
		p.writeReply(w, h)
	case a.Kind == dispatch.Rejected && known.MayRefuse():
		p.refuse(w, apierror.Overloaded, s.retryAfter(c.Deadline))
	case h != nil && !h.notRun && !attempt.PromisesNotRun(h.status):
		p.writeReply(w, h)
	case p.clock() >= c.Deadline-int64(20e6) && known.Execution() == attempt.NotRun:
		p.refuse(w, apierror.DeadlineExceeded, 0)
	case p.clock() >= c.Deadline-int64(20e6):
		p.refuse(w, apierror.UpstreamTimeout, 0)
	default:
		p.refuse(w, apierror.UpstreamBroken, 0)
	}
}

// beginAnswer begins to give a host's answer, and makes nothing up.
func (p *Proxy) beginAnswer(w http.ResponseWriter, a *reply) http.Header {
	p.counters.answered.Add(1)
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	if p.draining.Load() {
		h["Connection"] = []string{"close"}
	}
	return h
}

// writeReply gives a host's answer as it is.
func (p *Proxy) writeReply(w http.ResponseWriter, a *reply) {
	h := p.beginAnswer(w, a)
	if !a.bodiless {
		h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	}
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// streamReply gives a long answer as it comes, while its client is there. One that breaks off ends the connection, so that it doesn't
// look complete.
func (p *Proxy) streamReply(w http.ResponseWriter, r *http.Request, t *streamedReply) {
	defer context.AfterFunc(r.Context(), t.stop)()
	h := p.beginAnswer(w, t.reply)
	if t.length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(t.length, 10)}
	}
	w.WriteHeader(t.status)
	_, err := w.Write(t.body)
	if err == nil {
		_, err = io.Copy(w, t.rest)
	}
	if t.done <- err; err != nil {
		p.counters.refusals[apierror.UpstreamBroken].Add(1)
		p.counters.cuts.add(cutBroken)
		panic(http.ErrAbortHandler)
	}
}

// refuse answers by the table of faults.
func (p *Proxy) refuse(w http.ResponseWriter, k apierror.Kind, wait time.Duration) {
	p.counters.refusals[k].Add(1)
	a := k.Response()
	if wait <= 0 {
		wait = a.RetryAfter
	}
	h := w.Header()
	if wait > 0 {
		h["Retry-After"] = []string{apierror.RetryAfter(wait)}
	}
	if a.CloseConnection || p.draining.Load() {
		h["Connection"] = []string{"close"}
	}
	h["Content-Length"] = []string{"0"}
	h["Date"] = nil
	w.WriteHeader(a.Status)
}

// Ready tells whether the process takes requests.
func (p *Proxy) Ready() bool { return p.ready.Load() && !p.draining.Load() }

// Close lets the connections to hosts go; the context that it was started with has ended.
func (p *Proxy) Close() { p.upstreams.Shutdown() }

// acceptAfterTerm is for how long after Leave a router takes requests at the most: what is sent later than 3 s after a SIGTERM has a right to
// its end, whatever is left of the grace.
const acceptAfterTerm = 2800 * time.Millisecond

// Drain ends the service: out of the directory and not ready at once, connections closed after their next answer. Who still comes
// is served for a while, then refused, with leave to go elsewhere at once, until shortly before the grace ends; what was taken has
// at least half of the grace to be finished.
func (p *Proxy) Drain() {
	p.draining.Store(true)
	p.reportStatus()
	grace := time.Duration(p.Settings.Terms.Grace)
	takes := min(acceptAfterTerm, grace/2)
	time.Sleep(takes)
	p.refusing.Store(true)
	time.Sleep(grace*3/4 - 200*time.Millisecond - takes)
	p.finishConnections(grace / 5)
	p.LogCounters()
}
