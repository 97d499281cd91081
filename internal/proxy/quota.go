package proxy

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/update"
	"portflow/internal/quota"
)

// updateMeters applies the quotas of a routing table to the meters of the services. The caller holds Proxy.mu. As long as no quota was
// ever configured, it returns at once and there are no meters.
func (p *Proxy) updateMeters(routing *config.RoutingTable, proxies int) {
	if routing.Quotas == nil && !p.quotasActive {
		return
	}
	for name, s := range p.services {
		s.mu.Lock()
		switch quotas := routing.Quotas[name]; {
		case quotas == nil:
			s.meter = nil
		case s.meter == nil:
			s.meter = quota.NewMeter(quotas, proxies, p.clock())
		default:
			s.meter.SetQuotas(quotas, proxies, p.clock())
		}
		s.mu.Unlock()
	}
	if !p.quotasActive {
		p.quotasActive = true
		go p.reportQuotas() // ends when the proxy's context is done
	}
}

// checkQuota charges a request to its caller's quota, and sets the RateLimit fields of the answer's header. If admitted is false, the
// request must be refused, and the caller may retry after retryAfter.
func (s *service) checkQuota(w http.ResponseWriter, r *http.Request, idempotent bool) (retryAfter time.Duration, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meter == nil {
		return 0, true
	}
	headroom := quota.HeadroomFor(float64(s.inFlight) / max(1, s.evenSlots))
	v := s.meter.Admit(s.proxy.clock(), r.Header.Get(s.meter.CallerHeader()), idempotent, headroom)
	if v.Quota != "" { // header fields of draft-ietf-httpapi-ratelimit-headers
		window := quota.LimitWindow / second
		reset := math.Ceil(float64(v.Reset) / float64(second))
		w.Header()["RateLimit-Policy"] = []string{fmt.Sprintf("%q;q=%.0f;w=%d", v.Quota, v.Limit, window)}
		w.Header()["RateLimit"] = []string{fmt.Sprintf("%q;r=%.0f;t=%.0f", v.Quota, math.Floor(v.Remaining), reset)}
	}
	return time.Duration(v.RetryAfter), v.Admitted
}

// applyAllocations applies the quota allocations and the capacities of services that control has sent.
func (p *Proxy) applyAllocations(u update.QuotaUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for name, s := range p.services {
		s.mu.Lock()
		if s.meter != nil {
			if perSecond, stated := u.Capacity[name]; stated {
				s.meter.SetCapacity(perSecond)
			}
			s.meter.ApplyAllocations(now, u.Allocations)
		}
		s.mu.Unlock()
	}
}
