// Package rpc serves calls over HTTP: POST /-/rpc?call=NAME&of=SUBJECT with a JSON body. It owns the reading of bodies within their
// bounds, the form of answers and errors (package apierror has the kinds), and the counts. It never decides what a call does: that is
// its handler's. Begin with Call and Server.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/samber/lo"

	"portflow/internal/cluster/apierror"
)

// Handler carries out a call about a subject, which may be empty. The answer is encoded as JSON, nil for none; errors are answered by
// their kind, see apierror.KindOf.
type Handler func(ctx context.Context, subject string, body []byte) (any, error)

// Call is one call and its handler.
type Call struct {
	Name    string
	MaxBody int64 // bytes of the body
	Handle  Handler
}

// Server serves calls and counts them. It is safe for concurrent use.
type Server struct {
	Panics atomic.Int64 // of handlers; each is answered with 500

	calls map[string]Call // by name; never changes

	mu     sync.Mutex       // guards counts
	counts map[string]int64 // by call and kind of error
}

// New makes a server for calls.
func New(calls ...Call) *Server {
	return &Server{
		calls:  lo.KeyBy(calls, func(call Call) string { return call.Name }),
		counts: map[string]int64{},
	}
}

// Mount adds the server to a router, with answers for all other paths and methods.
func (s *Server) Mount(r chi.Router) {
	r.Post("/-/rpc", s.handle)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, "", apierror.New(apierror.UnknownCall, "nothing is served at %s", r.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", "POST")
		w.WriteHeader(http.StatusMethodNotAllowed)
	})
}

// bodyTimeout is how long a call's body may take, apart from a second for each megabyte of its stated length.
const baseBodyTimeout = 3 * time.Second

// bodyTime is how long a body of this stated length (-1 for none) may take. A length beyond maxBody adds nothing.
func bodyTimeout(length, maxBody int64) time.Duration {
	return baseBodyTimeout + time.Duration(max(0, min(length, maxBody)))*time.Second>>20
}

// readErrorKind is the kind of error of a body that could not be read: incomplete after a timeout or where the connection broke off,
// so that another attempt may succeed, and malformed otherwise.
func readErrorKind(err error) apierror.Kind {
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, io.ErrUnexpectedEOF) {
		return apierror.Incomplete
	}
	return apierror.Malformed
}

// handle serves one call. A handler that panics is answered with 500 and a closed connection.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if recover() != nil {
			s.Panics.Add(1)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusInternalServerError)
		}
	}()
	name := r.URL.Query().Get("call")
	call, exists := s.calls[name]
	if !exists {
		s.writeError(w, "", apierror.New(apierror.UnknownCall, "call: no %q", name))
		return
	}
	body, err := readBody(w, r, call)
	if err != nil {
		s.writeError(w, name, err)
		return
	}
	result, err := call.Handle(r.Context(), r.URL.Query().Get("of"), body)
	if err != nil {
		s.writeError(w, name, err)
		return
	}
	s.count(name, apierror.None)
	if result == nil {
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
		return
	}
	WriteJSON(w, http.StatusOK, result)
}

// readBody reads a call's body, within its bound of bytes and its time.
func readBody(w http.ResponseWriter, r *http.Request, call Call) ([]byte, error) {
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(time.Now().Add(bodyTimeout(r.ContentLength, call.MaxBody)))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, call.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, apierror.New(apierror.BodyTooLarge, "%s: a body of more than %d bytes", call.Name, call.MaxBody)
	}
	if err != nil {
		return nil, apierror.Wrap(readErrorKind(err), err, "%s: the body can't be read whole", call.Name)
	}
	controller.SetReadDeadline(time.Time{}) // none: the handler has its own timeouts
	return body, nil
}

// WriteJSON answers with a value as JSON; a json.RawMessage is written as it is.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	raw, ok := v.(json.RawMessage)
	if !ok {
		var err error
		if raw, err = json.Marshal(v); err != nil {
			status, raw = http.StatusInternalServerError, nil
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw) // fails only where the client is gone
}

// writeError counts an error and answers with it, by its kind.
func (s *Server) writeError(w http.ResponseWriter, name string, err error) {
	kind := apierror.KindOf(err)
	resp := kind.Response()
	s.count(name, kind)
	if resp.RetryAfter > 0 {
		w.Header().Set("Retry-After", apierror.RetryAfter(resp.RetryAfter))
	}
	if resp.CloseConnection {
		w.Header().Set("Connection", "close")
	}
	WriteJSON(w, resp.Status, map[string]string{"error": resp.Name, "reason": err.Error()})
}

func (s *Server) count(name string, kind apierror.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = "none"
	}
	if kind != apierror.None {
		name += "." + kind.String()
	}
	s.counts[name]++
}

// Counts are how often each call ended with each kind of error, by "CALL" for none or "CALL.KIND".
func (s *Server) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Assign(s.counts)
}

// ParseObject decodes a body that must be a JSON object.
func ParseObject(body []byte) (any, error) {
	var v map[string]any
	if err := json.Unmarshal(body, &v); err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "the body is no table")
	}
	return v, nil
}
