package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"portflow/internal/cluster/config"
)

const (
	rejectedBodyIdleTimeout = 2 * time.Second // for which nothing may come of the body of a refused request
	netHTTPDrainBytes       = 256 << 10       // of a refused request's body that net/http itself reads before it answers
	drainBufferBytes        = 8 << 10
)

// drainRejectedBody sends the answer of a request that is refused beside a long body at once, and then reads what still comes of the
// body. net/http would close the connection half a second after the answer, which resets the connection of a client that still
// sends, and the client may lose the answer. Draining ends once nothing comes for rejectedBodyIdleTimeout, or the body's time is up; a
// connection that isn't read to its request's end is closed.
func (p *Proxy) drainRejectedBody(w http.ResponseWriter, r *http.Request, limits config.Limits) {
	if r.ContentLength >= 0 && r.ContentLength <= netHTTPDrainBytes || r.Header.Get("Expect") != "" { // a client that waits for 100 sends nothing
		return
	}
	if r.ContentLength < 0 && w.Header().Get("Connection") != "close" {
		if _, err := io.CopyN(io.Discard, r.Body, netHTTPDrainBytes); err != nil { // also io.EOF: the body is short
			return
		}
	}
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex() // net/http's HTTP/1 server always can
	_ = controller.Flush()            // where it fails, the reads below fail too
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
			panic(http.ErrAbortHandler) // the rest must not be read as another request
		}
	}
}
