package server

import (
	"cmp"
	"context"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/registry"
	"portflow/internal/decision"
	"portflow/internal/quota"
)

// ClusterStatus is the cluster as one control process sees it. Durations are in seconds.
type ClusterStatus struct {
	Node           string                           `json:"node"`
	Status         string                           `json:"standing"`
	Current        bool                             `json:"current"` // a quorum read confirmed that the answer is up to date
	Voters         []VoterStatus                    `json:"core"`
	Proxies        []ProxyStatus                    `json:"routers"`
	Instances      []InstanceStatus                 `json:"hosts"`
	Rollouts       []RolloutStatus                  `json:"rollouts"`
	Quotas         []quota.Status                   `json:"shares,omitempty"`
	Callers        map[string][]quota.CallerHistory `json:"callers,omitempty"` // by service; the last hour, as reported by the proxies that subscribe here
	Evacuated      []string                         `json:"evacuated"`
	Overridden     []string                         `json:"yielding"` // configuration items that are not in force, with the reason
	Items          int                              `json:"items"`
	HighestVersion uint64                           `json:"highest"` // highest version of any configuration item, including deleted ones
	LastUpdate     uint64                           `json:"news"`
	Syncs          int64                            `json:"syncs"`
	Epoch          uint64                           `json:"epoch"`       // of the member list
	Index          uint64                           `json:"number"`      // last log index applied by this process
	Tolerates      int                              `json:"bears"`       // further members that may be lost; negative without a quorum
	ToleratedZones []string                         `json:"bears_zones"` // zones of which any one may be lost
}

// VoterStatus is a control process, a voting member or a connected learner.
type VoterStatus struct {
	IP            string  `json:"ip"`
	Name          string  `json:"name"`
	Zone          string  `json:"zone"`
	Heard         bool    `json:"heard"`
	CaughtUp      bool    `json:"whole"`
	UpToDate      bool    `json:"same"`   // it has applied the same log index as the answering process
	Member        bool    `json:"member"` // it is a voting member
	SilentSeconds float64 `json:"silent"` // time since it was last connected
}

// ProxyStatus is a proxy as one control process sees it.
type ProxyStatus struct {
	Name           string `json:"name"`
	Zone           string `json:"zone"`
	Ready          bool   `json:"ready"`
	Number         int    `json:"number"` // rank by name among the ready proxies, -1 if it is not ready
	Owner          string `json:"owner"`
	UnackedUpdates int    `json:"behind"` // updates that it has not acknowledged, -1 if it subscribes to another control process
}

// InstanceStatus is an instance of a service. WarmupSeconds is the remaining warm-up time, 0 if there is none.
type InstanceStatus struct {
	ID            string  `json:"id"`
	Service       string  `json:"service"`
	Zone          string  `json:"zone"`
	Version       string  `json:"version"`
	State         string  `json:"state"`
	WarmupSeconds float64 `json:"cold"`
	Owner         string  `json:"owner"`
}

// RolloutStatus is a rollout with the proxies' unexpired votes.
type RolloutStatus struct {
	Service     string         `json:"service"`
	From        string         `json:"from"`
	Target      string         `json:"target"`
	State       string         `json:"state"`
	LeftSeconds float64        `json:"left"` // remaining part of its duration
	Votes       []string       `json:"votes"`
	Proxies     []ProxyMetrics `json:"judges"` // proxies that subscribe here, with their last evidence
}

// ProxyMetrics is the evidence for a proxy's vote. In each pair, the first value is about failures and the second about response times.
type ProxyMetrics struct {
	Proxy      string     `json:"router"`
	AgeSeconds float64    `json:"age"` // age of the evidence
	Outcomes   [2]float64 `json:"outcomes"`
	Excess     [2]float64 `json:"excess"`
	Error      [2]float64 `json:"error"`
	Threshold  [2]float64 `json:"threshold"`
	Exposure   float64    `json:"exposure"` // requests that the proxy may send to the target version at once
}

// handleClusterRead returns the cluster as known to this process, whatever its status, since operators need it most during failures. The
// answer says whether a quorum read confirmed that it is up to date.
func (s *Server) handleClusterRead(ctx context.Context, _ string, _ []byte) (any, error) {
	err := s.confirmLatest(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clusterStatus(s.clock(), err == nil), nil
}

// clusterStatus returns the answer of handleClusterRead. The caller holds mu, also for the functions below that return parts of it.
func (s *Server) clusterStatus(now int64, confirmed bool) ClusterStatus {
	node := s.state.Node
	status := ClusterStatus{
		Node:           s.Settings.Name,
		Status:         s.state.Status().String(),
		Current:        confirmed,
		Voters:         s.voterStatuses(now),
		Proxies:        s.proxyStatuses(),
		Instances:      s.instanceStatuses(now),
		Rollouts:       s.rolloutStatuses(now),
		Evacuated:      s.evacuatedZones(),
		Overridden:     config.NewRoutingTable(s.state.Set).Inactive,
		Items:          s.state.Set.Len(),
		HighestVersion: s.state.Set.HighestVersion(),
		LastUpdate:     s.state.Updates.Last(),
		Syncs:          s.writer.store.Syncs.Load(),
		Epoch:          node.Membership().Epoch,
		Index:          node.Applied(),
	}
	if !confirmed && status.Status == registry.HasQuorum.String() {
		status.Status = "not confirmed"
	}
	if allocator := s.quotas.allocator; !allocator.Empty() {
		status.Quotas = allocator.Statuses(now, s.Settings.Name)
		status.Callers = allocator.LastHour(now)
	}
	status.Tolerates, status.ToleratedZones = node.Membership().Tolerates(node.Unreachable())
	return status
}

// voterStatuses returns the voting members and the connected learners, sorted by name.
func (s *Server) voterStatuses(now int64) (statuses []VoterStatus) {
	node := s.state.Node
	list, silent := node.Membership(), node.SilentFor(now)
	for _, member := range list.Members {
		status := VoterStatus{IP: member.IP, Name: member.Name, Zone: member.Zone, Member: true, SilentSeconds: seconds(silent[member.IP])}
		if member.IP == s.Settings.IP {
			status.Heard, status.CaughtUp, status.UpToDate = true, node.CaughtUp(), true
		}
		if peer := s.state.Peers[member.IP]; peer != nil {
			status.Heard, status.CaughtUp, status.UpToDate = true, peer.Status.Complete, peer.Status.Number == node.Applied()
		}
		statuses = append(statuses, status)
	}
	for ip, peer := range s.state.Peers {
		conn := s.peers[ip]
		if _, isMember := list.ByIP(ip); isMember || conn == nil {
			continue
		}
		statuses = append(statuses, VoterStatus{
			IP:       ip,
			Name:     conn.member.Name,
			Zone:     conn.member.Zone,
			Heard:    true,
			CaughtUp: peer.Status.Complete,
			UpToDate: peer.Status.Number == node.Applied(),
		})
	}
	slices.SortFunc(statuses, func(a, b VoterStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}

// proxyStatuses returns the proxies that are not marked as gone, sorted by name.
func (s *Server) proxyStatuses() (statuses []ProxyStatus) {
	rank := map[string]int{}
	for i, proxy := range s.state.ReadyProxies() {
		rank[proxy.Name] = i
	}
	unacked := s.unackedUpdates()
	for _, proxy := range s.state.Proxies {
		if proxy.Gone {
			continue
		}
		statuses = append(statuses, ProxyStatus{
			Name:           proxy.Name,
			Zone:           proxy.Zone,
			Ready:          proxy.Ready,
			Number:         valueOr(rank, proxy.Name, -1),
			Owner:          proxy.Owner,
			UnackedUpdates: valueOr(unacked, proxy.Name, -1),
		})
	}
	slices.SortFunc(statuses, func(a, b ProxyStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}

// unackedUpdates returns the number of updates that each subscriber has not acknowledged, by subscriber name.
func (s *Server) unackedUpdates() map[string]int {
	last := s.state.Updates.Last()
	unacked := map[string]int{}
	for sub := range s.subscriptions.subscribers {
		unacked[sub.identity.Name] = int(last - min(sub.acked, last))
	}
	return unacked
}

func valueOr(values map[string]int, key string, fallback int) int {
	if value, exists := values[key]; exists {
		return value
	}
	return fallback
}

func (s *Server) instanceStatuses(now int64) (statuses []InstanceStatus) {
	for _, host := range s.state.Instances.All() {
		statuses = append(statuses, InstanceStatus{
			ID:            host.ID,
			Service:       host.Service,
			Zone:          host.Zone,
			Version:       host.Version,
			State:         instanceState(now, host, s.state.Ejections[host.ID]),
			WarmupSeconds: max(0, seconds(host.WarmUpUntil-now)),
			Owner:         host.Owner,
		})
	}
	return statuses
}

// instanceState returns the state of an instance as shown to operators.
func instanceState(now int64, host instance.Instance, ejection outlier.Ejection) string {
	state := host.State.String()
	if host.Unresponsive {
		state += ", silent"
	}
	switch {
	case now < ejection.EjectedUntil:
		state += ", set aside"
	case now < ejection.ProbationUntil:
		state += ", on its way back"
	}
	return state
}

func (s *Server) rolloutStatuses(now int64) (statuses []RolloutStatus) {
	for _, item := range s.state.Set.Live(config.KindRollouts) {
		ro := s.state.RolloutAges.Localize(now, rollout.FromItem(item))
		status := RolloutStatus{
			Service: ro.Service,
			From:    ro.From,
			Target:  ro.Target,
			State:   ro.State.String(),
			Proxies: s.proxyMetrics(now, ro),
		}
		if ro.Switching {
			status.State += ", switching"
		}
		if ro.State == rollout.Running {
			status.LeftSeconds = seconds(ro.StartedAt + ro.Duration - now)
			status.Votes = s.describeVotes(now, ro)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// describeVotes returns the unexpired votes on a rollout as text, sorted.
func (s *Server) describeVotes(now int64, ro rollout.Rollout) (votes []string) {
	for _, vote := range s.votesOn(ro) {
		if now-vote.ReceivedAt <= rollout.VoteLifetime {
			votes = append(votes, vote.Proxy+": "+decision.Verdict(vote.Verdict).String())
		}
	}
	slices.Sort(votes)
	return votes
}

// proxyMetrics returns the last evidence of each proxy on a rollout, sorted by proxy name.
func (s *Server) proxyMetrics(now int64, ro rollout.Rollout) (metrics []ProxyMetrics) {
	for key, report := range s.state.LastEvidence {
		if key.Service != ro.Service || report.Number != ro.Number {
			continue
		}
		evidence := report.Evidence
		metrics = append(metrics, ProxyMetrics{
			Proxy:      key.Proxy,
			AgeSeconds: seconds(now - report.ReceivedAt),
			Outcomes:   evidence.Outcomes,
			Excess:     evidence.Excess,
			Error:      evidence.Error,
			Threshold:  evidence.Threshold,
			Exposure:   evidence.Allowance,
		})
	}
	slices.SortFunc(metrics, func(a, b ProxyMetrics) int { return cmp.Compare(a.Proxy, b.Proxy) })
	return metrics
}

func (s *Server) evacuatedZones() (zones []string) {
	for _, item := range s.state.Set.Live(config.KindEvacuations) {
		if begun, _ := item.Tree()["begun"].(bool); begun {
			zones = append(zones, item.Name)
		}
	}
	return zones
}

// seconds converts nanoseconds to seconds.
func seconds(nanos int64) float64 { return float64(nanos) / 1e9 }
