package proxy

import (
	"net/http"
	"time"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/attempt"
)

// ServeHTTP gives a client's request its one final answer. A panic with http.ErrAbortHandler ends the connection instead, so
// that an answer that breaks off does not look complete.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := clientConnOf(r)
	p.handle(w, r, conn)
	conn.answerComplete()
}

// handle takes a request through its stages: framing, questions about this process, head and route, body, admission, a host. The
// first check that fails refuses the request, and a body that was not read by then is drained.
func (p *Proxy) handle(w http.ResponseWriter, r *http.Request, conn *clientConn) {
	p.counters.received.Add(1)
	p.openRequests.Add(1)
	defer p.openRequests.Add(-1)
	receivedAt, snapshot := p.clock(), p.snapshot.Load()
	framing := conn.beginRequest() // before the body's deadline, which would otherwise be replaced by that of a head
	setBodyDeadline(w, r)
	bodyRead := r.ContentLength == 0
	defer func() {
		if !bodyRead {
			p.drainRefusedBody(w, r, snapshot.routing.Limits)
		}
	}()
	if kind := checkFraming(r, framing); kind != apierror.None {
		p.refuse(w, kind, 0)
		return
	}
	if isServerOptions(r) {
		w.Header().Set("Content-Length", "0")
		return
	}
	route, timeout, kind := p.checkHead(r, snapshot.routing)
	if kind != apierror.None {
		p.refuse(w, kind, 0)
		return
	}
	body, reserved, kind := p.readBody(w, r, snapshot.routing.Limits)
	bodyRead = kind == apierror.None
	request := newClientRequest(r, route, bodyReservation{total: &p.heldBodyBytes, bytes: reserved, holders: 1})
	defer request.release()
	if kind != apierror.None {
		p.refuse(w, kind, 0)
		return
	}
	p.serveRoute(w, r, conn, snapshot, route, request, body, receivedAt+timeout)
}

// serveRoute admits a request that has been read completely, and has the route's service answer it by the deadline.
func (p *Proxy) serveRoute(w http.ResponseWriter, r *http.Request, conn *clientConn, snapshot *routingSnapshot,
	route *config.Route, request *clientRequest, body []byte, deadline int64) {
	s, kind, wait := p.admit(w, r, snapshot, route)
	if kind != apierror.None {
		p.refuse(w, kind, wait)
		return
	}
	answers := make(dispatch.AnswerChan, 1)
	call := s.newCall(r, route, request, body, deadline, answers)
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
		p.passStream(w, r, stream)
	case <-r.Context().Done(): // also where the client shut only its sending side: an empty answer would look like a success
		request.settle()
		p.countClientGone()
		s.dispatcher.Post(dispatch.ClientGone{Call: call})
		panic(http.ErrAbortHandler)
	}
}

// admit chooses the service of a route for one request and checks the caller's quota there; wait is when to come back.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, snapshot *routingSnapshot, route *config.Route) (
	s *service, kind apierror.Kind, wait time.Duration) {
	s = snapshot.services[p.chooseService(route)]
	if s == nil {
		return nil, apierror.NoService, 0
	}
	if snapshot.routing.Quotas != nil {
		if wait, admitted := s.checkQuota(w, r, route.Idempotent); !admitted {
			return nil, apierror.QuotaExceeded, wait
		}
	}
	return s, apierror.None, 0
}

// newCall is a request as the decision engine gets it.
func (s *service) newCall(r *http.Request, route *config.Route, request *clientRequest, body []byte, deadline int64,
	answers dispatch.AnswerChan) *dispatch.Call {
	request.host = r.Host
	request.header = forwardedHeader(r.Header)
	return &dispatch.Call{
		Class:       s.classOf(route),
		Deadline:    deadline,
		Responder:   answers,
		MaxAttempts: route.MaxAttempts,
		Allowed:     func(h dispatch.Host) bool { return s.mayUse(h, route.HomeRegions) },
		Request:     &dispatch.Request{Method: r.Method, Target: r.RequestURI, Body: body, Payload: request},
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
	p.counters.cuts.add(cutGone)
}
