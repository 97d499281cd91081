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

	"portflow/internal/harbour/faults"
)

// Call is one call and its handler. The answer is JSON, nil for none.
type Call struct {
	Name string
	Most int64 // bytes of its body
	Do   func(ctx context.Context, of string, body []byte) (any, error)
}

// Desk serves calls and counts them.
type Desk struct {
	calls  map[string]Call
	mu     sync.Mutex
	counts map[string]int64 // by call and kind of error
	Panics atomic.Int64
}

// New makes a desk for calls.
func New(calls ...Call) *Desk {
	return &Desk{calls: lo.KeyBy(calls, func(c Call) string { return c.Name }), counts: map[string]int64{}}
}

// Mount adds the desk to a router.
func (d *Desk) Mount(r chi.Router) {
	r.Post("/-/rpc", d.serve)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		d.refuse(w, "", faults.New(faults.UnknownCall, "nothing is served at %s", r.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", "POST")
		w.WriteHeader(http.StatusMethodNotAllowed)
	})
}

// readIn is how long a call's body may take, beside a second for each megabyte of it that is stated.
const readIn = 3 * time.Second

// bodyTime is how long a body of this stated length (-1 for none) may take; more than the most bytes of a call add nothing.
func bodyTime(length, most int64) time.Duration {
	return readIn + time.Duration(max(0, min(length, most)))*time.Second>>20
}

// readFault is the kind of error of a body that could not be read: incomplete where time was up or the connection broke off,
// which another try may mend, and malformed otherwise.
func readFault(err error) faults.Kind {
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, io.ErrUnexpectedEOF) {
		return faults.Incomplete
	}
	return faults.Malformed
}

func (d *Desk) serve(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("call")
	defer func() {
		if v := recover(); v != nil {
			d.Panics.Add(1)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusInternalServerError)
		}
	}()
	c, ok := d.calls[name]
	if !ok {
		d.refuse(w, "", faults.New(faults.UnknownCall, "call: no %q", name))
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime(r.ContentLength, c.Most)))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.Most))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		d.refuse(w, name, faults.New(faults.Oversized, "%s: a body of more than %d bytes", name, c.Most))
		return
	} else if err != nil {
		d.refuse(w, name, faults.Wrap(readFault(err), err, "%s: the body can't be read whole", name))
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	v, err := c.Do(r.Context(), r.URL.Query().Get("of"), body)
	if err != nil {
		d.refuse(w, name, err)
		return
	}
	d.count(name, faults.None)
	if v == nil {
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
		return
	}
	Write(w, http.StatusOK, v)
}

// Write answers with JSON.
func Write(w http.ResponseWriter, status int, v any) {
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

func (d *Desk) refuse(w http.ResponseWriter, name string, err error) {
	k := faults.Of(err)
	a := k.Answer()
	d.count(name, k)
	if a.Again > 0 {
		w.Header().Set("Retry-After", faults.RetryAfter(a.Again))
	}
	if a.Close {
		w.Header().Set("Connection", "close")
	}
	Write(w, a.Status, map[string]string{"error": a.Name, "reason": err.Error()})
}

func (d *Desk) count(name string, k faults.Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if name == "" {
		name = "none"
	}
	if k != faults.None {
		name += "." + k.String()
	}
	d.counts[name]++
}

// Counts are how often each call ended in each kind.
func (d *Desk) Counts() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.Assign(d.counts)
}

// Tree reads a body that must be one table, or empty where that is allowed.
func Tree(body []byte) (any, error) {
	var v map[string]any
	if err := json.Unmarshal(body, &v); err != nil {
		return nil, faults.Wrap(faults.Malformed, err, "the body is no table")
	}
	return v, nil
}
