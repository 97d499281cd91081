package simulation

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const hangTime = time.Hour // of a request that is never answered

var _ http.Handler = (*Host)(nil)

// ServeHTTP runs a request.
func (host *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expected-Instance"); expected != host.ID {
		w.Header().Set("Answering-Instance", host.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a body that ends early cancels the request's context
	id := r.Header.Get("Attempt-Id")
	host.recordArrival(id)
	select {
	case host.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-host.slots }()
	fail, duration := host.recordExecution(id)
	select {
	case <-time.After(duration):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Attempt-Id", id)
	if fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Server-Seal", host.ID)
	if host.ResponseBytes > 0 {
		host.writeLongResponse(w)
		return
	}
	fmt.Fprintf(w, "%s ran %s", host.ID, id)
}

// recordExecution counts a request that runs, and draws whether it fails and how long it runs.
func (host *Host) recordExecution(id string) (fail bool, duration time.Duration) {
	cluster := host.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.executions[id]++
	host.executions++
	fail = host.FailAll || cluster.rng.Float64() < host.FailRate
	if cluster.rng.Float64() < host.HangRate {
		return fail, hangTime
	}
	return fail, host.ServiceTime
}

// writeLongResponse answers with ResponseBytes, or aborts the connection in the middle.
func (host *Host) writeLongResponse(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(host.ResponseBytes))
	chunk := bytes.Repeat([]byte("0123456789abcdef"), 4096)
	for sent := 0; sent < host.ResponseBytes; sent += len(chunk) {
		if host.AbortAfterBytes > 0 && sent >= host.AbortAfterBytes {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(chunk[:min(len(chunk), host.ResponseBytes-sent)]); err != nil {
			return
		}
	}
}

// recordArrival counts a request that arrives, and checks the rules of arrivals: a host gets none once the drain limit has passed
// since control acknowledged that it drains, and a cold one gets few.
func (host *Host) recordArrival(id string) {
	now := time.Now()
	host.cluster.recordAttempt(id, now)
	host.mu.Lock()
	defer host.mu.Unlock()
	host.checkDrain(id, now)
	if now.After(host.warmUntil) {
		return
	}
	expired := func(arrival time.Time) bool { return now.Sub(arrival) >= time.Second }
	host.arrivals = append(slices.DeleteFunc(host.arrivals, expired), now)
	if n := len(host.arrivals); float64(n) > ColdRequestsPerSecond*coldOverrun+coldSlack {
		host.cluster.violation("FAILBACK: cold host %s got %d requests in a second", host.ID, n)
	}
}

// recordAttempt notes that an attempt arrived at some host.
func (cl *Cluster) recordAttempt(id string, now time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.arrived[id] {
		cl.reattempts = append(cl.reattempts, now)
	}
	cl.arrived[id] = true
}

// checkDrain checks that the drain limit has not passed; host.mu is held.
func (host *Host) checkDrain(id string, now time.Time) {
	limit := time.Duration(host.cluster.Controls[0].Settings.Terms.DrainLimit)
	if since := now.Sub(host.drainAckedAt); !host.drainAckedAt.IsZero() && since > limit {
		host.cluster.violation("DRAIN: %s got %s %v after its drain was acknowledged", host.ID, id, since)
	}
}
