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

// ServeHTTP gives a client's request its one final answer. A panic with http.ErrAbortHandler ends the connection instead, so
// that an answer that breaks off does not look complete.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.counters.received.Add(1)
	p.openRequests.Add(1)
	defer p.openRequests.Add(-1)
	conn := clientConnOf(r)
	p.handle(w, r, conn)
	conn.markAnswered()
}

// handle takes a request through its stages: framing, questions about this process, head and route, body, admission, a host. The
// first check that fails refuses the request, and a body that was not read by then is drained.
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

// beginRequest takes a request's framing, and then sets the deadline of its body, which clientConn would replace by that of a head
// before.
func beginRequest(w http.ResponseWriter, r *http.Request, conn *clientConn) httpframing.Fields {
	framing := conn.beginRequest()
	setBodyDeadline(w, r)
	return framing
}

// readRequest is a request that has been checked and read completely.
type readRequest struct {
	route    *config.Route
	request  *clientRequest
	body     []byte
	deadline int64 // by the proxy's clock, nanoseconds
}

// awaitAnswer gives an admitted request to its service's decision engine, and its client the answer.
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
	case <-r.Context().Done(): // also where the client shut only its sending side: an empty answer would look like a success
		request.settle()
		p.countClientGone()
		s.dispatcher.Post(dispatch.ClientGone{Call: call})
		panic(http.ErrAbortHandler)
	}
}

// admit chooses the service of a route for one request and checks the caller's quota there; retryAfter is when to come back.
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

// newCall is a request as the decision engine gets it.
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

// newClientRequest is a request whose body has been read, or was refused.
func newClientRequest(r *http.Request, route *config.Route, body bodyReservation) *clientRequest {
	return &clientRequest{
		id:             r.Header.Get("Attempt-Id"),
		hasHomeRegions: len(route.HomeRegions) > 0,
		streams:        make(chan *streamedReply, 1),
		attempts:       attempt.Request{Idempotent: route.Idempotent},
		bodyMemory:     body,
	}
}

// countClientGone counts a client that has gone while its request was at work; its connection is ended.
func (p *Proxy) countClientGone() {
	p.counters.clientGone.Add(1)
	p.counters.cuts.add(cutClientGone)
}
