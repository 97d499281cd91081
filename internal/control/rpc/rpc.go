// Package rpc serves the calls of hosts and operators: a call is declared beside its handler, and answered by the table of
// faults.
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

// Call is one call and its handler. The answer is JSON, nil for none.
type Call struct {
	Name    string
	MaxBody int64 // bytes of its body
	Handle  func(ctx context.Context, of string, body []byte) (any, error)
}

// Server serves calls and counts them.
type Server struct {
	calls  map[string]Call
	mu     sync.Mutex
	counts map[string]int64 // by call and kind of error
	Panics atomic.Int64
}

// New makes a desk for calls.
func New(calls ...Call) *Server {
	return &Server{calls: lo.KeyBy(calls, func(c Call) string { return c.Name }), counts: map[string]int64{}}
}

// Mount adds the desk to a router.
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

// bodyTimeout is how long a call's body may take, beside a second for each megabyte of it that is stated.
const bodyTimeout = 3 * time.Second

// bodyTime is how long a body of this stated length (-1 for none) may take; more than the most bytes of a call add nothing.
func bodyTime(length, most int64) time.Duration {
	return bodyTimeout + time.Duration(max(0, min(length, most)))*time.Second>>20
}

// readFault is the kind of error of a body that could not be read: incomplete where time was up or the connection broke off,
// which another try may mend, and malformed otherwise.
func readFault(err error) apierror.Kind {
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, io.ErrUnexpectedEOF) {
		return apierror.Incomplete
	}
	return apierror.Malformed
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("call")
	defer func() {
		if result := recover(); result != nil {
			s.Panics.Add(1)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusInternalServerError)
		}
	}()
	call, ok := s.calls[name]
	if !ok {
		s.writeError(w, "", apierror.New(apierror.UnknownCall, "call: no %q", name))
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime(r.ContentLength, call.MaxBody)))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, call.MaxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		s.writeError(w, name, apierror.New(apierror.BodyTooLarge, "%s: a body of more than %d bytes", name, call.MaxBody))
		return
	} else if err != nil {
		s.writeError(w, name, apierror.Wrap(readFault(err), err, "%s: the body can't be read whole", name))
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
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

// WriteJSON answers with JSON.
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
	w.Write(raw)
}

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

// Counts are how often each call ended in each kind.
func (s *Server) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Assign(s.counts)
}

// ParseObject reads a body that must be one table, or empty where that is allowed.
func ParseObject(body []byte) (any, error) {
	var v map[string]any
	if err := json.Unmarshal(body, &v); err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "the body is no table")
	}
	return v, nil
}
