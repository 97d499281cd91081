package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"portflow/internal/cluster/config"
)

const (
	rejectedBodyIdleTimeout = 2 * time.Second // longest pause within the body of a rejected request
	netHTTPDrainBytes       = 256 << 10       // net/http itself reads up to this much of an unread body before it responds
	drainBufferBytes        = 8 << 10
)

// drainRejectedBody sends the response to a rejected request with a long body at once, and then reads and discards the rest of the body.
// net/http would close the connection half a second after the response. That resets the connection of a client that is still sending, which
// may then lose the response. Draining stops when nothing arrives for rejectedBodyIdleTimeout or the body's time limit is reached. The
// connection is closed unless the end of the body was read.
func (p *Proxy) drainRejectedBody(w http.ResponseWriter, r *http.Request, limits config.Limits) {
	// A client that waits for 100 Continue sends no body.
	if r.ContentLength >= 0 && r.ContentLength <= netHTTPDrainBytes || r.Header.Get("Expect") != "" {
		return
	}
	if r.ContentLength < 0 && w.Header().Get("Connection") != "close" {
		if _, err := io.CopyN(io.Discard, r.Body, netHTTPDrainBytes); err != nil { // usually io.EOF: the body is short
			return
		}
	}
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex() // always supported by net/http for HTTP/1
	_ = controller.Flush()            // if it fails, so do the reads below
	deadline := time.Now().Add(bodyReadTimeout(min(r.ContentLength, int64(limits.BodyBytes))))
	buffer := make([]byte, drainBufferBytes)
	for {
		stall := time.Now().Add(rejectedBodyIdleTimeout)
		if stall.After(deadline) {
			stall = deadline
		}
		controller.SetReadDeadline(stall)
		_, err := r.Body.Read(buffer)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.counters.cuts.add(cutBodyUnread)
			panic(http.ErrAbortHandler) // the rest of the body must not be parsed as the next request
		}
	}
}
