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

// updateMeters has the services' meters follow the quotas of a routing table; the caller holds the lock of the proxy. Where there are
// no quotas this is all that they cost.
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
		go p.reportQuotas() // ends with the process's context
	}
}

// checkQuota counts a request against its caller's quota, and states that in the answer's header; admitted is false where the request
// is to be refused, and retryAfter when to come back.
func (s *service) checkQuota(w http.ResponseWriter, r *http.Request, idempotent bool) (retryAfter time.Duration, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meter == nil {
		return 0, true
	}
	headroom := quota.HeadroomFor(float64(s.inFlight) / max(1, s.evenSlots))
	v := s.meter.Admit(s.proxy.clock(), r.Header.Get(s.meter.CallerHeader()), idempotent, headroom)
	if v.Quota != "" { // as the RateLimit header fields of draft-ietf-httpapi-ratelimit-headers
		window := quota.LimitWindow / second
		reset := math.Ceil(float64(v.Reset) / float64(second))
		w.Header()["RateLimit-Policy"] = []string{fmt.Sprintf("%q;q=%.0f;w=%d", v.Quota, v.Limit, window)}
		w.Header()["RateLimit"] = []string{fmt.Sprintf("%q;r=%.0f;t=%.0f", v.Quota, math.Floor(v.Remaining), reset)}
	}
	return time.Duration(v.RetryAfter), v.Admitted
}

// applyAllocations applies what control has allocated to this proxy.
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
