// Package rpc serves calls over HTTP: POST /-/rpc?call=NAME&of=SUBJECT with a JSON body. It reads bodies within their size and time
// limits, encodes results and errors (package apierror defines the kinds) and counts calls. What a call does is up to its Handler. Start
// reading at Call and Server.
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

// Handler executes a call. subject is the "of" parameter of the request and may be empty. The result is encoded as JSON; a nil result
// gives an empty body. An error is sent with the HTTP status of its kind, see apierror.KindOf.
type Handler func(ctx context.Context, subject string, body []byte) (any, error)

// Call defines a call that a Server accepts.
type Call struct {
	Name    string  // value of the "call" parameter of a request
	MaxBody int64   // maximum size of the request body in bytes
	Handle  Handler // may be called concurrently
}

// Server serves calls and counts them. It is safe for concurrent use.
type Server struct {
	Panics atomic.Int64 // panics of handlers; each gets a response with status 500

	calls map[string]Call // by name; immutable

	mu     sync.Mutex       // guards counts
	counts map[string]int64 // see Counts
}

// New returns a server for the given calls. If several have the same name, the last one is used.
func New(calls ...Call) *Server {
	return &Server{
		calls:  lo.KeyBy(calls, func(call Call) string { return call.Name }),
		counts: map[string]int64{},
	}
}

// Mount registers the server at /-/rpc, and its error responses for all paths and methods that r does not route otherwise.
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

// baseBodyTimeout is the time allowed for receiving a request body, in addition to one second per MiB of its Content-Length.
const baseBodyTimeout = 3 * time.Second

// bodyTimeout returns the time allowed for receiving a body with this Content-Length, which is -1 if unknown. At most maxBody bytes of it
// count.
func bodyTimeout(length, maxBody int64) time.Duration {
	return baseBodyTimeout + time.Duration(max(0, min(length, maxBody)))*time.Second>>20
}

// readErrorKind returns the kind of an error from reading a body: Incomplete after a timeout or a lost connection, for which a retry may
// succeed, and Malformed otherwise.
func readErrorKind(err error) apierror.Kind {
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, io.ErrUnexpectedEOF) {
		return apierror.Incomplete
	}
	return apierror.Malformed
}

// handle serves one call. If the handler panics, it responds with status 500 and closes the connection.
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

// readBody reads the request body, of at most call.MaxBody bytes, within its timeout.
func readBody(w http.ResponseWriter, r *http.Request, call Call) ([]byte, error) {
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(time.Now().Add(bodyTimeout(r.ContentLength, call.MaxBody)))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, call.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, apierror.New(apierror.BodyTooLarge, "%s: a body of more than %d bytes", call.Name, call.MaxBody)
	}
	if err != nil {
		return nil, apierror.Wrap(readErrorKind(err), err, "%s: failed to read the body", call.Name)
	}
	controller.SetReadDeadline(time.Time{}) // no deadline: the handler has its own timeouts
	return body, nil
}

// WriteJSON writes a response with v encoded as JSON; a json.RawMessage is written unchanged. If v can't be encoded, the response has
// status 500 and no body.
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
	_, _ = w.Write(raw) // fails only if the client has disconnected
}

// writeError counts an error and writes the response for its kind. name is the call, empty if there is none with the requested name.
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

// count counts a call under the key that Counts documents.
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

// Counts returns a copy of the number of finished calls by outcome: "CALL" for successful ones, "CALL.KIND" for those that failed with an
// error of that kind. CALL is "none" for unknown calls and paths. Panics are not included.
func (s *Server) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Assign(s.counts)
}

// ParseObject decodes a body that must be a JSON object. The result is a map[string]any, nil for the JSON value null. Errors are of kind
// Malformed.
func ParseObject(body []byte) (any, error) {
	var v map[string]any
	if err := json.Unmarshal(body, &v); err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "the body is not a JSON object")
	}
	return v, nil
}
