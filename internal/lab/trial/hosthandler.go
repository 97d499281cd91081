package trial

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	slowOneIn  = 60  // requests that take a host long
	abortOneIn = 800 // requests at which a host breaks off

	minWork     = time.Millisecond
	maxWork     = 15 * time.Millisecond
	minSlowWork = 200 * time.Millisecond
	maxSlowWork = 2 * time.Second

	chunkBytes    = 32 << 10 // of an answer that is written in pieces
	minChunkPause = time.Millisecond
	maxChunkPause = 40 * time.Millisecond
)

// oneIn draws a decision that is true once in n.
func (i *instance) oneIn(n int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rng.IntN(n) == 0
}

// between draws a duration.
func (i *instance) between(low, high time.Duration) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return low + time.Duration(i.rng.Int64N(int64(high-low)))
}

// ServeHTTP counts an arrival, works on it, and answers.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	i.rig.recorder.updateHost(id, func(h *HostView) { h.Arrivals++ })
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != i.id {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	defer i.open.Add(-1)
	if i.open.Add(1) > hostSlots+hostQueue {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	answerBytes := i.readBody(r, id)
	defer func() {
		if i.ended.Load() { // the instance's end broke it off, or may have
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

// reject answers that the request has not run.
func reject(w http.ResponseWriter, status int) {
	w.Header().Set("Request-Not-Run", "1")
	w.WriteHeader(status)
}

// readBody reads a request's body, records that it runs, and returns the length of the answer that it asks for. It aborts the
// handler if the body does not come.
func (i *instance) readBody(r *http.Request, id string) (answerBytes int) {
	body, err := io.ReadAll(r.Body)
	bodyBytes, answerBytes := parseSizes(r.URL.Path)
	i.rig.recorder.updateHost(id, func(h *HostView) {
		h.Ran++
		h.Garbled = h.Garbled || err == nil && (len(body) != bodyBytes || !matchesPattern(body, id))
	})
	if err != nil {
		i.recordAbandoned(id)
		panic(http.ErrAbortHandler)
	}
	return answerBytes
}

// work takes the time that a request takes. It aborts the handler if the proxy closes the connection meanwhile.
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

// recordAborted notes that the host ended a request by itself.
func (i *instance) recordAborted(id string) {
	i.rig.recorder.updateHost(id, func(h *HostView) { h.BrokeOff = true })
}

// recordAbandoned notes that the proxy closed the connection while the host was at work.
func (i *instance) recordAbandoned(id string) {
	i.rig.recorder.updateHost(id, func(h *HostView) { h.Abandoned = i.rig.clock.now() })
}

// writeAnswer writes the answer's body in chunks; one that aborts ends in the middle.
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

// flush sends what was written so far. Its error is dropped as the next write returns it too.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }
