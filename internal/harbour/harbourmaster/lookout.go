package harbourmaster

import (
	"k8s.io/klog/v2"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/bridge"
	"portflow/internal/harbour/lookout"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/pilotage"
)

// judge sets hosts aside that routers have seen do much worse than others: of those that beat here, and whose version is not
// on trial, as that is for the votes to judge. The caller holds the lock; it does nothing while no router has told anything.
func (m *Master) judge() {
	if m.watch.Idle() || m.state.Standing() != bridge.InTouch {
		return
	}
	now := m.clock()
	trial := map[string]string{}
	for _, i := range m.state.Set.Standing(manifest.Rollouts) {
		if r := pilotage.Read(i); r.State == pilotage.Running {
			trial[r.Service] = r.Target
		}
	}
	var all []lookout.Candidate
	for _, h := range m.state.Register.Own() {
		if target, on := trial[h.Service]; h.State == berths.Ready && !h.Silent && (!on || h.Version != target) {
			all = append(all, lookout.Candidate{ID: h.ID, Service: h.Service})
		}
	}
	for _, j := range m.watch.Judge(now, all) {
		klog.InfoS("host set aside", "host", j.ID, "service", j.Service, "for_ms", (j.Aside-now)/1e6, "times", j.Times)
		m.state.TellAside(now, j, true)
		m.wake()
	}
}
