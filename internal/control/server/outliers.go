package server

import (
	"k8s.io/klog/v2"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/registry"
)

// ejectOutliers sets hosts aside that routers have seen do much worse than others: of those that beat here, and whose version is not
// on trial, as that is for the votes to judge. The caller holds the lock; it does nothing while no router has told anything.
func (s *Server) ejectOutliers() {
	if s.outliers.Idle() || s.state.Status() != registry.HasQuorum {
		return
	}
	now := s.clock()
	onTrial := map[string]string{}
	for _, i := range s.state.Set.Live(config.KindRollouts) {
		if ro := rollout.FromItem(i); ro.State == rollout.Running {
			onTrial[ro.Service] = ro.Target
		}
	}
	var candidates []outlier.Candidate
	for _, host := range s.state.Instances.Owned() {
		if target, inRollout := onTrial[host.Service]; host.State == instance.Ready && !host.Unresponsive && (!inRollout || host.Version != target) {
			candidates = append(candidates, outlier.Candidate{ID: host.ID, Service: host.Service})
		}
	}
	for _, ejection := range s.outliers.Detect(now, candidates) {
		klog.InfoS("host set aside", "host", ejection.ID, "service", ejection.Service, "for_ms", (ejection.EjectedUntil-now)/1e6, "times", ejection.Count)
		s.state.PublishEjection(now, ejection, true)
		s.notifySubscribers()
	}
}
