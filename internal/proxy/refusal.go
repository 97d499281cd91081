package proxy

import (
	"net/http"
	"time"

	"portflow/internal/cluster/apierror"
)

// reject responds to a request with the status and headers of an error kind. A retryAfter of 0 means the default of the kind.
func (p *Proxy) reject(w http.ResponseWriter, kind apierror.Kind, retryAfter time.Duration) {
	p.counters.refusals[kind].Add(1)
	response := kind.Response()
	if retryAfter <= 0 {
		retryAfter = response.RetryAfter
	}
	h := w.Header()
	if retryAfter > 0 {
		h["Retry-After"] = []string{apierror.RetryAfter(retryAfter)}
	}
	if response.CloseConnection || p.draining.Load() {
		h["Connection"] = []string{"close"}
	}
	h["Content-Length"] = []string{"0"}
	h["Date"] = nil
	w.WriteHeader(response.Status)
}

// retryAfter returns the delay before a client whose request was shed should retry: by the forecast of when the service has capacity, but at
// most a third of the time to the request's deadline, as clients wait no longer.
func (s *service) retryAfter(deadline int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.proxy.clock()
	return time.Duration(s.forecast.Wait(now, max(0, deadline-now)/3))
}
