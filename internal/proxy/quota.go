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

const loadMemory = 3 * second // of how quickly a service answers this router

// updateMeters has the services' meters go by the shares of a chart; the caller holds the lock. Where there are none this is all
// that shares cost.
func (p *Proxy) updateMeters(c *config.RoutingTable, routers int) {
	if c.Quotas == nil && !p.quotasActive {
		return
	}
	for name, s := range p.services {
		s.mu.Lock()
		switch shares := c.Quotas[name]; {
		case shares == nil:
			s.meter = nil
		case s.meter == nil:
			s.meter = quota.NewMeter(shares, routers, p.clock())
		default:
			s.meter.SetQuotas(shares, routers, p.clock())
		}
		s.mu.Unlock()
	}
	if !p.quotasActive {
		p.quotasActive = true
		go p.reportQuotas()
	}
}

// checkQuota takes a request of a service with shares, and tells its caller how it stands; ok is false where it is sent away,
// to come back after wait.
func (s *service) checkQuota(w http.ResponseWriter, r *http.Request, safe bool) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meter == nil {
		return 0, true
	}
	room := quota.HeadroomFor(float64(s.inFlight) / max(1, s.evenSlots))
	v := s.meter.Admit(s.proxy.clock(), r.Header.Get(s.meter.CallerHeader()), safe, room)
	if v.Quota != "" { // as the RateLimit header fields of the IETF's draft
		window := quota.LimitWindow / second
		w.Header()["RateLimit-Policy"] = []string{fmt.Sprintf("%q;q=%.0f;w=%d", v.Quota, v.Limit, window)}
		w.Header()["RateLimit"] = []string{fmt.Sprintf("%q;r=%.0f;t=%.0f", v.Quota, math.Floor(v.Remaining),
			math.Ceil(float64(v.Reset)/float64(second)))}
	}
	return time.Duration(v.RetryAfter), v.Admitted
}

// applyAllotments takes what control dealt to this router.
func (p *Proxy) applyAllotments(t update.QuotaUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for name, s := range p.services {
		s.mu.Lock()
		if s.meter != nil {
			if perSecond, told := t.Capacity[name]; told {
				s.meter.SetCapacity(perSecond)
			}
			s.meter.ApplyAllocations(now, t.Allocations)
		}
		s.mu.Unlock()
	}
}
