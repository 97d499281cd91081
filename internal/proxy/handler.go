package proxy

import (
	"net/http"
	"time"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/dispatch"
	"portflow/internal/httpframing"
	"portflow/internal/proxy/attempt"
)

// ServeHTTP implements http.Handler. It either writes the one final response to a client's request, or panics with http.ErrAbortHandler to
// close the connection, so that a truncated response does not look complete.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.counters.received.Add(1)
	p.openRequests.Add(1)
	defer p.openRequests.Add(-1)
	conn := clientConnOf(r)
	p.handle(w, r, conn)
	conn.markAnswered()
}

// handle processes a request in stages: framing, OPTIONS *, header and route, body, admission, forwarding. The first check that fails
// rejects the request, and the body is drained if it has not been read by then.
func (p *Proxy) handle(w http.ResponseWriter, r *http.Request, conn *clientConn) {
	receivedAt, snapshot := p.clock(), p.snapshot.Load()
	framing := beginRequest(w, r, conn)
	bodyRead := r.ContentLength == 0
	defer func() {
		if !bodyRead {
			p.drainRejectedBody(w, r, snapshot.routing.Limits)
		}
	}()
	if kind := checkFraming(r, framing); kind != apierror.None {
		p.reject(w, kind, 0)
		return
	}
	if isServerOptions(r) {
		w.Header().Set("Content-Length", "0")
		return
	}
	route, timeout, kind := p.checkHeader(r, snapshot.routing)
	if kind != apierror.None {
		p.reject(w, kind, 0)
		return
	}
	body, reserved, kind := p.readBody(w, r, snapshot.routing.Limits)
	bodyRead = kind == apierror.None
	request := newClientRequest(r, route, bodyReservation{total: &p.heldBodyBytes, bytes: reserved, holders: 1})
	defer request.release()
	if kind != apierror.None {
		p.reject(w, kind, 0)
		return
	}
	s, kind, retryAfter := p.admit(w, r, snapshot, route)
	if kind != apierror.None {
		p.reject(w, kind, retryAfter)
		return
	}
	p.awaitAnswer(w, r, conn, s, readRequest{route, request, body, receivedAt + timeout})
}

// beginRequest returns the framing of a request and sets the read deadline of its body. The order matters: until conn.beginRequest is called,
// clientConn would replace that deadline with the one for headers.
func beginRequest(w http.ResponseWriter, r *http.Request, conn *clientConn) httpframing.Fields {
	framing := conn.beginRequest()
	setBodyDeadline(w, r)
	return framing
}

// readRequest is a request that has passed all checks, with its complete body.
type readRequest struct {
	route    *config.Route
	request  *clientRequest
	body     []byte
	deadline int64 // nanoseconds, on the proxy's clock
}

// awaitAnswer passes an admitted request to the decision engine of its service, and writes the response once there is one.
func (p *Proxy) awaitAnswer(w http.ResponseWriter, r *http.Request, conn *clientConn, s *service, read readRequest) {
	request := read.request
	answers := make(dispatch.AnswerChan, 1)
	call := s.newCall(r, read, answers)
	if conn.clientGone() {
		p.countClientGone()
		panic(http.ErrAbortHandler)
	}
	s.dispatcher.Post(dispatch.RequestReceived{Call: call})
	select {
	case answer := <-answers:
		p.writeAnswer(w, s, answer, call, request.settle())
	case stream := <-request.streams:
		request.settle()
		s.dispatcher.Post(dispatch.StreamStarted{Call: call})
		p.forwardStream(w, r, stream)
	case <-r.Context().Done(): // also if the client closed only its sending side; returning normally would send an empty success
		request.settle()
		p.countClientGone()
		s.dispatcher.Post(dispatch.ClientGone{Call: call})
		panic(http.ErrAbortHandler)
	}
}

// admit chooses the service for a request from its route's backends and checks the caller's quota there. retryAfter is the delay before a
// rejected caller may retry.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, snapshot *routingSnapshot, route *config.Route) (
	s *service, kind apierror.Kind, retryAfter time.Duration) {
	s = snapshot.services[p.chooseService(route)]
	if s == nil {
		return nil, apierror.NoService, 0
	}
	if snapshot.routing.Quotas != nil {
		if retryAfter, admitted := s.checkQuota(w, r, route.Idempotent); !admitted {
			return nil, apierror.QuotaExceeded, retryAfter
		}
	}
	return s, apierror.None, 0
}

// newCall returns a request in the form that the decision engine takes.
func (s *service) newCall(r *http.Request, read readRequest, answers dispatch.AnswerChan) *dispatch.Call {
	route := read.route
	read.request.host = r.Host
	read.request.header = forwardedHeader(r.Header)
	return &dispatch.Call{
		Class:       s.classOf(route),
		Deadline:    read.deadline,
		Responder:   answers,
		MaxAttempts: route.MaxAttempts,
		Allowed:     func(h dispatch.Host) bool { return s.mayUse(h, route.HomeRegions) },
		Request:     &dispatch.Request{Method: r.Method, Target: r.RequestURI, Body: read.body, Payload: read.request},
	}
}

// newClientRequest returns the state of a request that has had no attempt yet.
func newClientRequest(r *http.Request, route *config.Route, body bodyReservation) *clientRequest {
	return &clientRequest{
		id:             r.Header.Get("Attempt-Id"),
		hasHomeRegions: len(route.HomeRegions) > 0,
		streams:        make(chan *streamedReply, 1),
		attempts:       attempt.Request{Idempotent: route.Idempotent},
		bodyMemory:     body,
	}
}

// countClientGone counts a client that disconnected while its request was handled.
func (p *Proxy) countClientGone() {
	p.counters.clientGone.Add(1)
	p.counters.cuts.add(cutClientGone)
}
