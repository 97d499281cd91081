package server

import (
	"context"
	"slices"
	"strings"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/registry"
	"portflow/internal/decision"
	"portflow/internal/quota"
)

// ClusterStatus is who is in the harbour, as one control process sees it. Times are seconds.
type ClusterStatus struct {
	Node           string                           `json:"node"`
	Status         string                           `json:"standing"`
	Current        bool                             `json:"current"` // more than half of the members have confirmed that nothing newer was decided
	Voters         []VoterStatus                    `json:"core"`
	Proxies        []ProxyStatus                    `json:"routers"`
	Instances      []InstanceStatus                 `json:"hosts"`
	Rollouts       []RolloutStatus                  `json:"rollouts"`
	Quotas         []quota.Status                   `json:"shares,omitempty"`
	Callers        map[string][]quota.CallerHistory `json:"callers,omitempty"` // by service: the last hour, of the routers that hang here
	Evacuated      []string                         `json:"evacuated"`
	Overridden     []string                         `json:"yielding"` // items that stand and are not in force, with the reason
	Items          int                              `json:"items"`
	HighestVersion uint64                           `json:"highest"` // version of any item of the configuration, dropped ones too
	LastUpdate     uint64                           `json:"news"`
	Syncs          int64                            `json:"syncs"`
	Epoch          uint64                           `json:"epoch"`       // of the members
	Index          uint64                           `json:"number"`      // of the last change that is applied here
	Tolerates      int                              `json:"bears"`       // members more that may be lost; below 0 no order can be taken
	ToleratedZones []string                         `json:"bears_zones"` // zones, each of which alone may be lost
}

// VoterStatus is another control process.
type VoterStatus struct {
	IP            string  `json:"ip"`
	Name          string  `json:"name"`
	Zone          string  `json:"zone"`
	Heard         bool    `json:"heard"`
	CaughtUp      bool    `json:"whole"`
	UpToDate      bool    `json:"same"`   // it has applied the same changes
	Member        bool    `json:"member"` // its vote counts
	SilentSeconds float64 `json:"silent"` // for how long it hasn't been heard
}

// ProxyStatus is a router.
type ProxyStatus struct {
	Name           string `json:"name"`
	Zone           string `json:"zone"`
	Ready          bool   `json:"ready"`
	Number         int    `json:"number"` // among those that are ready, -1 for none
	Owner          string `json:"owner"`
	UnackedUpdates int    `json:"behind"` // changes that it has not acknowledged, -1 where it hangs elsewhere
}

// InstanceStatus is a host.
type InstanceStatus struct {
	ID            string  `json:"id"`
	Service       string  `json:"service"`
	Zone          string  `json:"zone"`
	Version       string  `json:"version"`
	State         string  `json:"state"`
	WarmupSeconds float64 `json:"cold"`
	Owner         string  `json:"owner"`
}

// RolloutStatus is a rollout, with the votes that stand.
type RolloutStatus struct {
	Service     string         `json:"service"`
	From        string         `json:"from"`
	Target      string         `json:"target"`
	State       string         `json:"state"`
	LeftSeconds float64        `json:"left"` // of its term
	Votes       []string       `json:"votes"`
	Proxies     []ProxyMetrics `json:"judges"` // routers that hang on this process, with the last figures that they told
}

// ProxyMetrics is what a router that votes goes by. The first of each pair is of failures, the second of times.
type ProxyMetrics struct {
	Proxy      string     `json:"router"`
	AgeSeconds float64    `json:"age"` // of the figures, seconds
	Outcomes   [2]float64 `json:"outcomes"`
	Excess     [2]float64 `json:"excess"`
	Error      [2]float64 `json:"error"`
	Threshold  [2]float64 `json:"threshold"`
	Exposure   float64    `json:"exposure"` // requests that it may still give to the version at once
}

// handleClusterRead tells what this process knows, in any standing: an operator needs it most when little works. Where it can't confirm
// with more than half of the members that it is the newest, it says so.
func (s *Server) handleClusterRead(ctx context.Context, _ string, _ []byte) (any, error) {
	err := s.confirmLatest(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	status := ClusterStatus{Node: s.Settings.Name, Status: s.state.Status().String(), Items: s.state.Set.Len(), HighestVersion: s.state.Set.HighestVersion(), LastUpdate: s.state.Updates.Last(),
		Syncs: s.writer.store.Syncs.Load(), Overridden: config.NewRoutingTable(s.state.Set).Inactive}
	if status.Current = err == nil; !status.Current && status.Status == registry.HasQuorum.String() {
		status.Status = "not confirmed"
	}
	if !s.allocator.Empty() {
		status.Quotas, status.Callers = s.allocator.Statuses(now, s.Settings.Name), s.allocator.LastHour(now)
	}
	list, silent := s.state.Node.Membership(), s.state.Node.SilentFor(now)
	for _, x := range list.Members {
		voter := VoterStatus{IP: x.IP, Name: x.Name, Zone: x.Zone, Member: true, SilentSeconds: float64(silent[x.IP]) / 1e9}
		if x.IP == s.Settings.IP {
			voter.Heard, voter.CaughtUp, voter.UpToDate = true, s.state.Node.CaughtUp(), true
		}
		if p := s.state.Peers[x.IP]; p != nil {
			voter.Heard, voter.CaughtUp, voter.UpToDate = true, p.Status.Complete, p.Status.Number == s.state.Node.Applied()
		}
		status.Voters = append(status.Voters, voter)
	}
	for ip, p := range s.state.Peers {
		if _, member := list.ByIP(ip); !member && s.peers[ip] != nil {
			x := s.peers[ip].member
			status.Voters = append(status.Voters, VoterStatus{IP: ip, Name: x.Name, Zone: x.Zone, Heard: true, CaughtUp: p.Status.Complete, UpToDate: p.Status.Number == s.state.Node.Applied()})
		}
	}
	status.Epoch, status.Index = list.Epoch, s.state.Node.Applied()
	status.Tolerates, status.ToleratedZones = list.Tolerates(s.state.Node.Unreachable())
	slices.SortFunc(status.Voters, func(a, b VoterStatus) int { return strings.Compare(a.Name, b.Name) })
	rank := map[string]int{}
	for i, f := range s.state.ReadyProxies() {
		rank[f.Name] = i
	}
	behind := map[string]int{}
	for f := range s.subscribers {
		behind[f.identity.Name] = int(s.state.Updates.Last() - min(f.acked, s.state.Updates.Last()))
	}
	for _, f := range s.state.Proxies {
		if f.Gone {
			continue
		}
		r := ProxyStatus{Name: f.Name, Zone: f.Zone, Ready: f.Ready, Number: -1, Owner: f.Owner, UnackedUpdates: -1}
		if n, ok := rank[f.Name]; ok {
			r.Number = n
		}
		if n, ok := behind[f.Name]; ok {
			r.UnackedUpdates = n
		}
		status.Proxies = append(status.Proxies, r)
	}
	slices.SortFunc(status.Proxies, func(a, b ProxyStatus) int { return strings.Compare(a.Name, b.Name) })
	for _, host := range s.state.Instances.All() {
		x := InstanceStatus{ID: host.ID, Service: host.Service, Zone: host.Zone, Version: host.Version, State: host.State.String(),
			WarmupSeconds: max(0, float64(host.WarmUpUntil-now)/1e9), Owner: host.Owner}
		if host.Unresponsive {
			x.State += ", silent"
		}
		if ejection := s.state.Ejections[host.ID]; now < ejection.EjectedUntil {
			x.State += ", set aside"
		} else if now < ejection.ProbationUntil {
			x.State += ", on its way back"
		}
		status.Instances = append(status.Instances, x)
	}
	for _, i := range s.state.Set.Live(config.KindRollouts) {
		r := rollout.FromItem(i)
		r = s.state.RolloutAges.Localize(now, r)
		x := RolloutStatus{Service: r.Service, From: r.From, Target: r.Target, State: r.State.String()}
		if r.Switching {
			x.State += ", switching"
		}
		if r.State == rollout.Running {
			x.LeftSeconds = float64(r.StartedAt+r.Duration-now) / 1e9
			for key, p := range s.state.Votes {
				if key.Service == r.Service && p.Number == r.Number && now-p.ReceivedAt <= rollout.VoteLifetime {
					x.Votes = append(x.Votes, key.Proxy+": "+decision.Verdict(p.Verdict).String())
				}
			}
			slices.Sort(x.Votes)
		}
		for key, p := range s.state.Metrics {
			if key.Service == r.Service && p.Number == r.Number {
				f := p.Evidence
				x.Proxies = append(x.Proxies, ProxyMetrics{key.Proxy, float64(now-p.ReceivedAt) / 1e9, f.Outcomes, f.Excess, f.Error, f.Threshold, f.Allowance})
			}
		}
		slices.SortFunc(x.Proxies, func(a, b ProxyMetrics) int { return strings.Compare(a.Proxy, b.Proxy) })
		status.Rollouts = append(status.Rollouts, x)
	}
	for _, i := range s.state.Set.Live(config.KindEvacuations) {
		if begun, _ := i.Tree()["begun"].(bool); begun {
			status.Evacuated = append(status.Evacuated, i.Name)
		}
	}
	return status, nil
}
