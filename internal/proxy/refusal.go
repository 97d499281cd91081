package proxy

import (
	"net/http"
	"time"

	"portflow/internal/cluster/apierror"
)

// refuse answers by the table of faults.
func (p *Proxy) refuse(w http.ResponseWriter, k apierror.Kind, wait time.Duration) {
	p.counters.refusals[k].Add(1)
	a := k.Response()
	if wait <= 0 {
		wait = a.RetryAfter
	}
	h := w.Header()
	if wait > 0 {
		h["Retry-After"] = []string{apierror.RetryAfter(wait)}
	}
	if a.CloseConnection || p.draining.Load() {
		h["Connection"] = []string{"close"}
	}
	h["Content-Length"] = []string{"0"}
	h["Date"] = nil
	w.WriteHeader(a.Status)
}
