package harbourmaster

import (
	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/bridge"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/signals"
	"portflow/internal/harbour/tonnage"
)

// tons takes what a router tells of callers' shares; the caller holds the lock.
func (m *Master) tons(router string, t signals.Tons) {
	now := m.clock()
	m.dealer.Told(now, router, t.Reports, t.Loads)
	for service, all := range t.Census {
		m.dealer.Census(now, service, all)
	}
}

// deal deals callers' shares out to the routers that hang here, and tells the other control processes what these ask for. n
// counts the times. The caller holds the lock; where there are no shares it does nothing else than to see that.
func (m *Master) deal(n int) {
	if sum := m.state.Set.CallersSum(); sum != m.dealOf {
		m.dealOf = sum
		m.dealer.Set(manifest.DrawShares(m.state.Set))
	}
	if m.dealer.Off() {
		return
	}
	now := m.clock()
	slots := map[string]int{}
	for _, h := range m.state.Register.All() {
		if h.State == berths.Ready && !h.Silent {
			slots[h.Service] += h.Slots
		}
	}
	m.dealer.Slots(slots)
	for f := range m.hung {
		if f.front.Name != "" {
			m.dealer.Meet(f.front.Name)
		}
	}
	var news map[string][]tonnage.Allotment
	if m.state.Standing() == bridge.InTouch { // else what was dealt ends with its lease
		news = m.dealer.Deal(now)
	}
	var carries map[string]float64
	if n%5 == 0 {
		carries = m.dealer.CarriesAll()
	}
	sums, loads := m.dealer.Sums()
	tell := len(sums) > 0 || m.toldSums // also that there are none any more
	m.toldSums = len(sums) > 0
	if n%5 != 0 {
		loads = nil
	}
	for f := range m.hung {
		switch {
		case f.who.Control && (tell || len(loads) > 0):
			f.line.Send(signals.Word{Tons: &signals.Tons{Sums: sums, Loads: loads}})
		case !f.who.Control && (len(news[f.front.Name]) > 0 || len(carries) > 0):
			f.line.Send(signals.Word{Tons: &signals.Tons{Allotments: news[f.front.Name], Carries: carries}})
		}
	}
}
