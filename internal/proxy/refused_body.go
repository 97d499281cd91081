package proxy

import (
	"io"
	"net/http"
	"time"

	"portflow/internal/cluster/config"
)

// refusedStall is for how long nothing may come of the body of a request that was refused.
const refusedStall = 2 * time.Second

// libraryReads is up to how many bytes of a refused request's body net/http itself reads away before it answers.
const libraryReads = 256 << 10

// readAway answers a request that is refused beside a long body at once, and then reads what still comes of that. net/http would
// close the connection half a second after the answer, and reset by that a client that sends on, which may lose the answer. It is
// over once nothing comes for a while, or the body's time is up; a connection that isn't read to its request's end ends.
func (p *Proxy) readAway(w http.ResponseWriter, r *http.Request, l config.Limits) {
	if r.ContentLength >= 0 && r.ContentLength <= libraryReads || r.Header.Get("Expect") != "" { // who waits for leave sends nothing
		return
	}
	if r.ContentLength < 0 && w.Header().Get("Connection") != "close" {
		if _, err := io.CopyN(io.Discard, r.Body, libraryReads); err != nil { // also its end
			return
		}
	}
	c := http.NewResponseController(w)
	c.EnableFullDuplex()
	c.Flush()
	end := time.Now().Add(bodyTime(min(r.ContentLength, int64(l.BodyBytes))))
	for b, err := make([]byte, 8<<10), error(nil); err != io.EOF; {
		stall := time.Now().Add(refusedStall)
		if stall.After(end) {
			stall = end
		}
		c.SetReadDeadline(stall)
		if _, err = r.Body.Read(b); err != nil && err != io.EOF {
			p.counters.cuts.add(cutUnread)
			panic(http.ErrAbortHandler) // what is left must not be read as another request
		}
	}
}
