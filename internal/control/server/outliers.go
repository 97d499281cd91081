package server

import (
	"k8s.io/klog/v2"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/registry"
)

// ejectOutliers ejects hosts that proxies have seen do much worse than others. It does nothing while no proxy has reported anything.
// The caller holds mu.
func (s *Server) ejectOutliers() {
	if s.outliers.Idle() || s.state.Status() != registry.HasQuorum {
		return
	}
	now := s.clock()
	for _, ejection := range s.outliers.Detect(now, s.ejectionCandidates()) {
		klog.InfoS("host ejected", "host", ejection.ID, "service", ejection.Service, "for_ms", (ejection.EjectedUntil-now)/1e6, "times", ejection.Count)
		s.state.PublishEjection(now, ejection, true)
		s.subscriptions.notify()
	}
}

// ejectionCandidates are the ready hosts that send heartbeats here, but for those whose version a running rollout introduces: the
// votes decide on that. The caller holds mu.
func (s *Server) ejectionCandidates() (candidates []outlier.Candidate) {
	targets := s.rolloutTargets()
	for _, host := range s.state.Instances.Owned() {
		if host.State != instance.Ready || host.Unresponsive {
			continue
		}
		if target, inRollout := targets[host.Service]; inRollout && host.Version == target {
			continue
		}
		candidates = append(candidates, outlier.Candidate{ID: host.ID, Service: host.Service})
	}
	return candidates
}

// rolloutTargets are the versions that running rollouts introduce, by service. The caller holds mu.
func (s *Server) rolloutTargets() map[string]string {
	targets := map[string]string{}
	for _, item := range s.state.Set.Live(config.KindRollouts) {
		if ro := rollout.FromItem(item); ro.State == rollout.Running {
			targets[ro.Service] = ro.Target
		}
	}
	return targets
}
