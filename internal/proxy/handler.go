package proxy

import (
	"net/http"
	"strconv"
	"time"

	"portflow/internal/cluster/apierror"
	"portflow/internal/dispatch"
	"portflow/internal/httpframing"
	"portflow/internal/proxy/attempt"
)

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
