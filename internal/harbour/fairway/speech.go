package fairway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"portflow/internal/parts/router"
	"portflow/rules"
)

// cargo is a client's request as it goes on.
type cargo struct {
	host   string
	header http.Header
	id     string       // of this try
	tries  int          // hand-offs so far
	homes  bool         // it may not go everywhere
	stream chan *stream // gets an answer that is too long to be read whole
}

// stream is an answer of which only the beginning has been read. Whoever takes it up reads the rest and says when it is done.
type stream struct {
	*reply
	length int64 // -1 where it isn't stated
	rest   io.Reader
	done   chan error
}

// reply is a host's whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
	unrun  bool // the host says that it has not run the request
	other  bool // another host has the address
}

// speech is what hosts are sent and what they answer.
type speech struct{ largest int64 }

// hop are the headers that concern one connection only.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect"}

// passed is a header without what concerns one connection only.
func passed(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hop {
		delete(out, name)
	}
	return out
}

// Request is the client's request as a host gets it. A body that http.Transport can't have anew is never sent again by it.
func (speech) Request(to router.Host, r *router.Request, left time.Duration) *http.Request {
	c := r.Cargo.(*cargo)
	h := c.header.Clone()
	h["Expected-Instance"] = []string{to.Name}
	h["Time-Remaining"] = []string{strconv.FormatInt(max(1, left.Milliseconds()), 10)}
	if h["User-Agent"] == nil {
		h["User-Agent"] = nil // none of the library's own
	}
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} { // in this spelling it is no leave to send again
		if v, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = v
		}
	}
	req := &http.Request{Method: r.Method, URL: &url.URL{Scheme: "http", Host: to.Address, Opaque: r.Target}, Host: c.host,
		Header: h, Body: io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body))}
	if len(r.Body) == 0 && r.Method != http.MethodGet {
		req.Body = http.NoBody // else it would go out in chunks
	}
	return req
}

var (
	errOther   = errors.New("the answer is another request's")
	errSeal    = errors.New("a success without a seal")
	errLong    = errors.New("a refusal or an error that doesn't end")
	errEncoded = errors.New("an encoding that nobody asked for")
)

// Answer reads a host's answer whole, and checks that it is one, and the one to this request.
func (s speech) Answer(r *router.Request, resp *http.Response) (router.Outcome, error) {
	c := r.Cargo.(*cargo)
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.largest+1))
	if err != nil {
		return router.Outcome{}, err
	}
	long := int64(len(body)) > s.largest
	a := &reply{status: resp.StatusCode, header: passed(resp.Header), body: body,
		unrun: resp.Header.Get("Request-Not-Run") != "" || resp.StatusCode == http.StatusMisdirectedRequest,
		other: resp.StatusCode == http.StatusMisdirectedRequest}
	delete(a.header, "Content-Length")
	o := router.Outcome{Ending: rules.Failed, Reply: a}
	id := resp.Header.Get("Attempt-Id")
	switch {
	case a.unrun:
		o.Ending = rules.TurnedAway
	case id != c.id && (id != "" || a.status < 300):
		return router.Outcome{}, errOther
	case a.status < 300 && resp.Header.Get("Server-Seal") == "":
		return router.Outcome{}, errSeal
	case resp.Header.Get("Content-Encoding") != "":
		return router.Outcome{}, errEncoded
	case a.status < 300, a.status >= 400 && a.status < 500:
		o.Ending = rules.Fulfilled
	}
	if long {
		if o.Ending != rules.Fulfilled {
			return router.Outcome{}, errLong
		}
		t := &stream{reply: a, length: resp.ContentLength, rest: resp.Body, done: make(chan error, 1)}
		c.stream <- t
		if err := <-t.done; err != nil {
			return router.Outcome{}, err
		}
	}
	return o, nil
}
