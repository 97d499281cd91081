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

const hangTime = time.Hour // run time of requests that hang; longer than any client waits

var _ http.Handler = (*Host)(nil)

// ServeHTTP runs a request. Unless the Expected-Instance header names this host, it returns status 421 without running it.
func (host *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expected-Instance"); expected != host.ID {
		w.Header().Set("Answering-Instance", host.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // if the body is truncated, the request's context is canceled
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

// recordExecution counts the start of a request. It returns whether the request is to fail and how long it runs, both chosen at random.
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

// writeLongResponse writes a body of ResponseBytes, or aborts the connection after about AbortAfterBytes.
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

// recordArrival records the arrival of an attempt and checks the invariants for arrivals: a draining host receives none after the drain
// limit, and a cold host stays within its request rate limit.
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
		host.cluster.violation("FAILBACK: cold host %s received %d requests within one second", host.ID, n)
	}
}

// recordAttempt records that an attempt arrived at a host at time now.
func (cl *Cluster) recordAttempt(id string, now time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.arrived[id] {
		cl.reattempts = append(cl.reattempts, now)
	}
	cl.arrived[id] = true
}

// checkDrain records a violation if an attempt arrives later than the drain limit after control acknowledged that the host drains;
// host.mu must be held.
func (host *Host) checkDrain(id string, now time.Time) {
	limit := time.Duration(host.cluster.Controls[0].Settings.Terms.DrainLimit)
	if since := now.Sub(host.drainAckedAt); !host.drainAckedAt.IsZero() && since > limit {
		host.cluster.violation("DRAIN: host %s received attempt %s %v after control acknowledged that it drains", host.ID, id, since)
	}
}
