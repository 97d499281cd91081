package server

import (
	"k8s.io/klog/v2"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/registry"
)

// ejectOutliers ejects hosts that perform much worse than others according to the proxies' reports. It does nothing while there are no
// reports, or without a quorum. The caller holds mu.
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

// ejectionCandidates returns the ready hosts that send heartbeats here, except those with the target version of a running rollout: the
// proxies' votes decide on that version. The caller holds mu.
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

// rolloutTargets returns the target versions of running rollouts, by service. The caller holds mu.
func (s *Server) rolloutTargets() map[string]string {
	targets := map[string]string{}
	for _, item := range s.state.Set.Live(config.KindRollouts) {
		if ro := rollout.FromItem(item); ro.State == rollout.Running {
			targets[ro.Service] = ro.Target
		}
	}
	return targets
}
