package harbourmaster

import (
	"context"
	"slices"
	"strings"

	"portflow/internal/harbour/bridge"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/harbour/tonnage"
	"portflow/rules"
)

// Survey is who is in the harbour, as one control process sees it. Times are seconds.
type Survey struct {
	Node       string                      `json:"node"`
	Standing   string                      `json:"standing"`
	Current    bool                        `json:"current"` // more than half of the members have confirmed that nothing newer was decided
	Core       []CoreState                 `json:"core"`
	Routers    []RouterState               `json:"routers"`
	Hosts      []HostState                 `json:"hosts"`
	Rollouts   []RolloutState              `json:"rollouts"`
	Shares     []tonnage.State             `json:"shares,omitempty"`
	Callers    map[string][]tonnage.Caller `json:"callers,omitempty"` // by service: the last hour, of the routers that hang here
	Evacuated  []string                    `json:"evacuated"`
	Yielding   []string                    `json:"yielding"` // items that stand and are not in force, with the reason
	Items      int                         `json:"items"`
	Highest    uint64                      `json:"highest"` // version of any item of the configuration, dropped ones too
	News       uint64                      `json:"news"`
	Syncs      int64                       `json:"syncs"`
	Epoch      uint64                      `json:"epoch"`       // of the members
	Number     uint64                      `json:"number"`      // of the last change that is applied here
	Bears      int                         `json:"bears"`       // members more that may be lost; below 0 no order can be taken
	BearsZones []string                    `json:"bears_zones"` // zones, each of which alone may be lost
}

// CoreState is another control process.
type CoreState struct {
	IP     string  `json:"ip"`
	Name   string  `json:"name"`
	Zone   string  `json:"zone"`
	Heard  bool    `json:"heard"`
	Whole  bool    `json:"whole"`
	Same   bool    `json:"same"`   // it has applied the same changes
	Member bool    `json:"member"` // its vote counts
	Silent float64 `json:"silent"` // for how long it hasn't been heard
}

// RouterState is a router.
type RouterState struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Ready  bool   `json:"ready"`
	Number int    `json:"number"` // among those that are ready, -1 for none
	Owner  string `json:"owner"`
	Behind int    `json:"behind"` // changes that it has not acknowledged, -1 where it hangs elsewhere
}

// HostState is a host.
type HostState struct {
	ID      string  `json:"id"`
	Service string  `json:"service"`
	Zone    string  `json:"zone"`
	Version string  `json:"version"`
	State   string  `json:"state"`
	Cold    float64 `json:"cold"`
	Owner   string  `json:"owner"`
}

// RolloutState is a rollout, with the votes that stand.
type RolloutState struct {
	Service string   `json:"service"`
	From    string   `json:"from"`
	Target  string   `json:"target"`
	State   string   `json:"state"`
	Left    float64  `json:"left"` // of its term
	Votes   []string `json:"votes"`
	Judges  []Judge  `json:"judges"` // routers that hang on this process, with the last figures that they told
}

// Judge is what a router that votes goes by. The first of each pair is of failures, the second of times.
type Judge struct {
	Router    string     `json:"router"`
	Age       float64    `json:"age"` // of the figures, seconds
	Outcomes  [2]float64 `json:"outcomes"`
	Excess    [2]float64 `json:"excess"`
	Error     [2]float64 `json:"error"`
	Threshold [2]float64 `json:"threshold"`
	Exposure  float64    `json:"exposure"` // requests that it may still give to the version at once
}

// survey tells what this process knows, in any standing: an operator needs it most when little works. Where it can't confirm
// with more than half of the members that it is the newest, it says so.
func (m *Master) survey(ctx context.Context, _ string, _ []byte) (any, error) {
	err := m.confirm(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	s := Survey{Node: m.Boot.Name, Standing: m.state.Standing().String(), Items: m.state.Set.Len(), Highest: m.state.Set.Highest(), News: m.state.Ledger.Last(),
		Syncs: m.keeper.book.Syncs.Load(), Yielding: manifest.Draw(m.state.Set).Yielding}
	if s.Current = err == nil; !s.Current && s.Standing == bridge.InTouch.String() {
		s.Standing = "not confirmed"
	}
	if !m.dealer.Off() {
		s.Shares, s.Callers = m.dealer.States(now, m.Boot.Name), m.dealer.Hour(now)
	}
	list, silent := m.state.Node.List(), m.state.Node.Silent(now)
	for _, x := range list.Members {
		c := CoreState{IP: x.IP, Name: x.Name, Zone: x.Zone, Member: true, Silent: float64(silent[x.IP]) / 1e9}
		if x.IP == m.Boot.IP {
			c.Heard, c.Whole, c.Same = true, m.state.Node.Whole(), true
		}
		if p := m.state.Peers[x.IP]; p != nil {
			c.Heard, c.Whole, c.Same = true, p.Status.Whole, p.Status.Number == m.state.Node.Applied()
		}
		s.Core = append(s.Core, c)
	}
	for ip, p := range m.state.Peers {
		if _, member := list.At(ip); !member && m.ends[ip] != nil {
			x := m.ends[ip].member
			s.Core = append(s.Core, CoreState{IP: ip, Name: x.Name, Zone: x.Zone, Heard: true, Whole: p.Status.Whole, Same: p.Status.Number == m.state.Node.Applied()})
		}
	}
	s.Epoch, s.Number = list.Epoch, m.state.Node.Applied()
	s.Bears, s.BearsZones = list.Bears(m.state.Node.Down())
	slices.SortFunc(s.Core, func(a, b CoreState) int { return strings.Compare(a.Name, b.Name) })
	number := map[string]int{}
	for i, f := range m.state.Roster() {
		number[f.Name] = i
	}
	behind := map[string]int{}
	for f := range m.hung {
		behind[f.who.Name] = int(m.state.Ledger.Last() - min(f.acked, m.state.Ledger.Last()))
	}
	for _, f := range m.state.Fronts {
		if f.Gone {
			continue
		}
		r := RouterState{Name: f.Name, Zone: f.Zone, Ready: f.Ready, Number: -1, Owner: f.Owner, Behind: -1}
		if n, ok := number[f.Name]; ok {
			r.Number = n
		}
		if n, ok := behind[f.Name]; ok {
			r.Behind = n
		}
		s.Routers = append(s.Routers, r)
	}
	slices.SortFunc(s.Routers, func(a, b RouterState) int { return strings.Compare(a.Name, b.Name) })
	for _, h := range m.state.Register.All() {
		x := HostState{ID: h.ID, Service: h.Service, Zone: h.Zone, Version: h.Version, State: h.State.String(),
			Cold: max(0, float64(h.ColdUntil-now)/1e9), Owner: h.Owner}
		if h.Silent {
			x.State += ", silent"
		}
		if j := m.state.Asides[h.ID]; now < j.Aside {
			x.State += ", set aside"
		} else if now < j.Back {
			x.State += ", on its way back"
		}
		s.Hosts = append(s.Hosts, x)
	}
	for _, i := range m.state.Set.Standing(manifest.Rollouts) {
		r := pilotage.Read(i)
		r = m.state.Ages.Here(now, r)
		x := RolloutState{Service: r.Service, From: r.From, Target: r.Target, State: r.State.String()}
		if r.Switching {
			x.State += ", switching"
		}
		if r.State == pilotage.Running {
			x.Left = float64(r.Began+r.Term-now) / 1e9
			for k, p := range m.state.Polls {
				if k.Service == r.Service && p.Order == r.Order && now-p.At <= pilotage.Life {
					x.Votes = append(x.Votes, k.Front+": "+rules.Verdict(p.Verdict).String())
				}
			}
			slices.Sort(x.Votes)
		}
		for k, p := range m.state.Views {
			if k.Service == r.Service && p.Order == r.Order {
				f := p.Figures
				x.Judges = append(x.Judges, Judge{k.Front, float64(now-p.At) / 1e9, f.Outcomes, f.Excess, f.Error, f.Threshold, f.Left})
			}
		}
		slices.SortFunc(x.Judges, func(a, b Judge) int { return strings.Compare(a.Router, b.Router) })
		s.Rollouts = append(s.Rollouts, x)
	}
	for _, i := range m.state.Set.Standing(manifest.Evacuations) {
		if begun, _ := i.Tree()["begun"].(bool); begun {
			s.Evacuated = append(s.Evacuated, i.Name)
		}
	}
	return s, nil
}
