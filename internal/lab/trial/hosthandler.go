package trial

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	slowOneIn  = 60  // one in this many requests is slow
	abortOneIn = 800 // one in this many requests is aborted by the host

	minWork     = time.Millisecond
	maxWork     = 15 * time.Millisecond
	minSlowWork = 200 * time.Millisecond
	maxSlowWork = 2 * time.Second

	chunkBytes    = 32 << 10 // size of the writes of a response body
	minChunkPause = time.Millisecond
	maxChunkPause = 40 * time.Millisecond
)

// oneIn returns true with probability 1/n.
func (i *instance) oneIn(n int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rng.IntN(n) == 0
}

// between returns a random duration in [low, high).
func (i *instance) between(low, high time.Duration) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return low + time.Duration(i.rng.Int64N(int64(high-low)))
}

// ServeHTTP records the arrival of a request, and rejects, aborts or answers it.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	beginRequest(r, id)
	i.rig.recorder.updateHost(id, func(h *HostView) { h.Arrivals++ })
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != i.id {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	i.recordDeparted(id)
	defer i.open.Add(-1)
	if i.open.Add(1) > hostSlots+hostQueue {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	answerBytes := i.readBody(r, id)
	defer func() {
		if i.ended.Load() { // the shutdown may have aborted the request
			i.recordAborted(id)
		}
	}()
	i.work(r, id)
	aborts := i.oneIn(abortOneIn)
	if aborts {
		i.recordAborted(id)
	}
	if aborts && i.oneIn(2) {
		panic(http.ErrAbortHandler)
	}
	i.writeAnswer(w, id, answerBytes, aborts)
}

// recordDeparted records a request that arrives later than the drain limit after the instance's departure was acknowledged.
func (i *instance) recordDeparted(id string) {
	acked := time.Duration(i.departedAt.Load())
	if now := i.rig.clock.now(); acked > 0 && now-acked > terms.Drain {
		i.rig.recorder.recordDeparted(DepartedArrival{AttemptID: id, Instance: i.id, AckedAt: acked, At: now})
	}
}

// reject responds with a status and the header that promises that the request did not run.
func reject(w http.ResponseWriter, status int) {
	w.Header().Set("Request-Not-Run", "1")
	w.WriteHeader(status)
}

// readBody reads a request's body, records the run, and returns the size of the response that the path asks for. It aborts the handler
// if the body can't be read.
func (i *instance) readBody(r *http.Request, id string) (answerBytes int) {
	body, err := io.ReadAll(r.Body)
	bodyBytes, answerBytes := parseSizes(r.URL.Path)
	i.rig.recorder.updateHost(id, func(h *HostView) {
		h.Ran++
		h.ShuttingDown = h.ShuttingDown || i.shuttingDown.Load()
		h.Garbled = h.Garbled || err == nil && (len(body) != bodyBytes || !matchesPattern(body, id))
	})
	if err != nil {
		i.recordAbandoned(id)
		panic(http.ErrAbortHandler)
	}
	return answerBytes
}

// work sleeps for the request's random processing time. It aborts the handler if the proxy closes the connection meanwhile.
func (i *instance) work(r *http.Request, id string) {
	duration := i.between(minWork, maxWork)
	if i.oneIn(slowOneIn) {
		duration = i.between(minSlowWork, maxSlowWork)
	}
	select {
	case <-time.After(duration):
	case <-r.Context().Done():
		i.recordAbandoned(id)
		panic(http.ErrAbortHandler)
	}
}

// recordAborted records that the host itself aborted a request, or may have.
func (i *instance) recordAborted(id string) {
	i.rig.recorder.updateHost(id, func(h *HostView) { h.BrokeOff = true })
}

// recordAbandoned records that the proxy closed the connection while the host was processing the request.
func (i *instance) recordAbandoned(id string) {
	i.rig.recorder.updateHost(id, func(h *HostView) { h.Abandoned = i.rig.clock.now() })
}

// writeAnswer writes the response body in chunks. If aborts is true, it aborts the handler before the end of the response.
func (i *instance) writeAnswer(w http.ResponseWriter, id string, size int, aborts bool) {
	w.Header().Set("Server-Seal", i.id)
	if !i.oneIn(3) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	body := bodyPattern(id, size)
	for n := 0; n < len(body); n += chunkBytes {
		if aborts && n >= len(body)/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(body[n:min(len(body), n+chunkBytes)]); err != nil {
			i.recordAbandoned(id)
			panic(http.ErrAbortHandler)
		}
		if size > streamThreshold && i.oneIn(4) {
			flush(w)
			time.Sleep(i.between(minChunkPause, maxChunkPause))
		}
	}
	if aborts {
		flush(w)
		panic(http.ErrAbortHandler)
	}
}

// flush sends buffered data. It ignores the error, which the next write returns as well.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }
