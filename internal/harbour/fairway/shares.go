package fairway

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/signals"
	"portflow/internal/harbour/tonnage"
	"portflow/rules"
)

const loadMemory = 3 * second // of how quickly a service answers this router

// meters has the services' meters go by the shares of a chart; the caller holds the lock. Where there are none this is all
// that shares cost.
func (f *Fairway) meters(c *manifest.Chart, routers int) {
	if c.Shares == nil && !f.metering {
		return
	}
	for name, s := range f.services {
		s.mu.Lock()
		switch shares := c.Shares[name]; {
		case shares == nil:
			s.meter = nil
		case s.meter == nil:
			s.meter = tonnage.NewMeter(shares, routers, f.clock())
		default:
			s.meter.Set(shares, routers, f.clock())
		}
		s.mu.Unlock()
	}
	if !f.metering {
		f.metering = true
		go f.report()
	}
}

// within takes a request of a service with shares, and tells its caller how it stands; ok is false where it is sent away,
// to come back after wait.
func (s *service) within(w http.ResponseWriter, r *http.Request, safe bool) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meter == nil {
		return 0, true
	}
	room := tonnage.RoomOf(float64(s.out) / max(1, s.slots))
	v := s.meter.Take(s.f.clock(), r.Header.Get(s.meter.Header()), safe, room)
	if v.Share != "" { // as the RateLimit header fields of the IETF's draft
		window := tonnage.Window / second
		w.Header()["RateLimit-Policy"] = []string{fmt.Sprintf("%q;q=%.0f;w=%d", v.Share, v.Limit, window)}
		w.Header()["RateLimit"] = []string{fmt.Sprintf("%q;r=%.0f;t=%.0f", v.Share, math.Floor(v.Remaining),
			math.Ceil(float64(v.Reset)/float64(second)))}
	}
	return time.Duration(v.Wait), v.In
}

// berthed is this router's even part of the slots of a service's hosts: of its zone's, where there are none of its region's,
// else of all. The caller holds the lock of the process.
func (f *Fairway) berthed(name string, v *view) float64 {
	var slots [3]float64
	for _, h := range f.board.Hosts(name) {
		if h.Health == rules.Ready {
			slots[h.Ring] += h.Size
		}
	}
	routers := [3]int{}
	for z, all := range v.roster {
		routers[f.board.Ring(z)] += len(all)
	}
	sum, n := 0.0, 0
	for ring := range slots {
		if sum, n = sum+slots[ring], n+routers[ring]; sum > 0 {
			break
		}
	}
	return sum / float64(max(1, n))
}

// censusEvery is the time between two times that the callers' counts are handed on, nanoseconds.
const censusEvery = 10 * second

// report tells control what callers with shares ask for, until the process ends; it begins with the first share.
func (f *Fairway) report() {
	t := time.NewTicker(time.Duration(tonnage.DealEvery))
	defer t.Stop()
	for n := int64(1); ; n++ {
		select {
		case <-t.C:
		case <-f.ctx.Done():
			return
		}
		f.tellTons(n%(second/tonnage.DealEvery) == 0, n%(censusEvery/tonnage.DealEvery) == 0)
	}
}

// tellTons tells what callers ask for; now and then also how quickly services answer, and which callers there were.
func (f *Fairway) tellTons(loads, census bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tons, v := signals.Tons{Census: map[string][]tonnage.Count{}}, f.view.Load()
	for name, s := range f.services {
		if v.chart.Shares[name] == nil {
			continue
		}
		slots := f.berthed(name, v)
		s.mu.Lock()
		if s.meter != nil {
			now := f.clock()
			s.slots = slots
			tons.Reports = append(tons.Reports, s.meter.Reports(now)...)
			s.load.Fade(now, loadMemory)
			if memory := float64(loadMemory) / float64(second); loads && s.load.N > 0.1 {
				tons.Loads = append(tons.Loads, tonnage.Load{Service: name, Answers: s.load.N / memory, Work: s.load.Of / memory})
			}
			if census {
				tons.Census[name] = s.meter.Census()
			}
		}
		s.mu.Unlock()
	}
	something := len(tons.Reports) > 0 || len(tons.Loads) > 0 || census
	if f.link != nil && (something || f.toldTons) { // also that there is nothing any more
		f.link.line.Send(signals.Word{Tons: &tons})
	}
	f.toldTons = len(tons.Reports) > 0
}

// dealt takes what control dealt to this router.
func (f *Fairway) dealt(t signals.Tons) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	for name, s := range f.services {
		s.mu.Lock()
		if s.meter != nil {
			if perSecond, told := t.Carries[name]; told {
				s.meter.Carries(perSecond)
			}
			s.meter.Dealt(now, t.Allotments)
		}
		s.mu.Unlock()
	}
}
