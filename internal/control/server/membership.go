package server

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/samber/lo"
	"k8s.io/klog/v2"

	"portflow/internal/cluster/apierror"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
	"portflow/internal/control/rpc"
)

// CoreStatus is the core as one control process sees it. Times are seconds.
type CoreStatus struct {
	Node           string        `json:"node"`
	Status         string        `json:"standing"`
	Current        bool          `json:"current"` // more than half of the members have confirmed that nothing newer was decided
	Epoch          uint64        `json:"epoch"`
	Index          uint64        `json:"number"` // of the last change that is applied here
	Members        []CoreMember  `json:"members"`
	Learners       []CoreMember  `json:"learners"` // heard, and not members
	Excluded       []CoreMember  `json:"held"`     // let go by an operator: not voted in again by themselves with these disks
	Tolerates      int           `json:"bears"`    // members more that may be lost; below 0 no order can be taken
	ToleratedZones []string      `json:"bears_zones"`
	Tolerance      CoreTolerance `json:"margin"`
}

// CoreMember is a control process.
type CoreMember struct {
	IP            string  `json:"ip"`
	Name          string  `json:"name"`
	Zone          string  `json:"zone"`
	DiskID        string  `json:"disk"` // its ID
	Heard         bool    `json:"heard"`
	SilentSeconds float64 `json:"silent"` // for how long it hasn't been heard
	CaughtUp      bool    `json:"whole"`
	Leaving       bool    `json:"leaving"`
	Epoch         uint64  `json:"epoch"`
	Index         uint64  `json:"number"`
}

// CoreTolerance is how long the core has borne less than before a loss, and did the last time; as this process has seen it
// since it started.
type CoreTolerance struct {
	Baseline     int      `json:"level"` // members that could be lost before
	Lost         []string `json:"lost"`  // who isn't heard since
	SinceSeconds float64  `json:"since"` // how long ago the loss came, 0 for none
	LastSeconds  float64  `json:"last"`  // how long the last one took until the margin was back
}

// CoreChange asks for a change of the members.
type CoreChange struct {
	Action      string `json:"do"`   // remove, add or replace
	Member      string `json:"who"`  // an IP number or a name
	Replacement string `json:"with"` // who comes in its place
	DryRun      bool   `json:"dry"`
	Force       bool   `json:"force"`
}

// CoreChangeResult tells what the core bears before and after a change.
type CoreChangeResult struct {
	Done           bool        `json:"done"` // it stands; else it was only weighed
	Epoch          uint64      `json:"epoch"`
	Members        []string    `json:"members"` // names, afterwards
	Tolerates      [2]int      `json:"bears"`   // before and after
	ToleratedZones [2][]string `json:"zones"`   // each of which alone may be lost, before and after
}

// membershipCalls are the operators' calls that are about the core itself.
func (s *Server) membershipCalls() []rpc.Call {
	return []rpc.Call{
		{Name: "core.read", MaxBody: maxSmallBody, Handle: s.handleCoreRead},
		{Name: "core.change", MaxBody: maxSmallBody, Handle: s.handleCoreChange},
		{Name: "core.recover", MaxBody: maxSmallBody, Handle: s.handleCoreRecover},
	}
}

// unavailable are those of a list that can't be counted on: not heard, heard with another disk, or leaving; the caller holds the
// lock.
func (s *Server) unavailable(l membership.List) (ips []string) {
	for _, member := range l.Members {
		if !s.isAvailable(member) {
			ips = append(ips, member.IP)
		}
	}
	return ips
}

func (s *Server) isAvailable(member membership.Member) bool {
	if member.IP == s.Settings.IP {
		return member.ID == s.state.Self.ID && !s.stopping
	}
	peer, conn := s.state.Peers[member.IP], s.peers[member.IP]
	return peer != nil && conn != nil && conn.member.ID == member.ID && !peer.Status.Leaving
}

// updateTolerance follows how many losses the core bears; the caller holds the lock.
func (s *Server) updateTolerance() {
	list := s.state.Node.Membership()
	switch began, restored := s.tolerance.Observe(s.clock(), list, s.unavailable(list)); {
	case began:
		klog.InfoS("margin lost", "bears", s.tolerance.Current, "before", s.tolerance.Baseline, "lost", s.tolerance.Lost, "epoch", list.Epoch)
	case restored:
		klog.InfoS("margin restored", "after_ms", s.tolerance.LastOutage/1e6, "bears", s.tolerance.Current, "epoch", list.Epoch, "of", len(list.Members))
	}
}

// learners are the control processes that are heard and aren't members; the caller holds the lock.
func (s *Server) learners() (all []membership.Member) {
	list := s.state.Node.Membership()
	for ip := range s.state.Peers {
		if conn := s.peers[ip]; conn != nil && !list.Contains(ip, conn.member.ID) {
			all = append(all, conn.member)
		}
	}
	if self := s.self(); !s.state.Node.IsMember() {
		all = append(all, self)
	}
	slices.SortFunc(all, func(a, b membership.Member) int { return strings.Compare(a.IP, b.IP) })
	return all
}

func (s *Server) self() membership.Member {
	return membership.Member{IP: s.Settings.IP, ID: s.state.Self.ID, Name: s.Settings.Name, Zone: s.Settings.Zone}
}

// describe tells how a process stands; the caller holds the lock.
func (s *Server) describe(member membership.Member) CoreMember {
	status := CoreMember{IP: member.IP, Name: member.Name, Zone: member.Zone, DiskID: member.ID}
	if member.IP == s.Settings.IP && member.ID == s.state.Self.ID {
		node := s.state.Node
		status.Heard, status.CaughtUp, status.Leaving, status.Epoch, status.Index = true, node.CaughtUp(), s.stopping, node.Membership().Epoch, node.Applied()
	} else if peer, conn := s.state.Peers[member.IP], s.peers[member.IP]; peer != nil && conn != nil && conn.member.ID == member.ID {
		status.Heard, status.CaughtUp, status.Leaving, status.Epoch, status.Index = true, peer.Status.Complete, peer.Status.Leaving, peer.Status.Epoch, peer.Status.Number
	} else {
		status.SilentSeconds = float64(s.state.Node.SilentFor(s.clock())[member.IP]) / 1e9
	}
	return status
}

// handleCoreRead tells of the core, in any standing.
func (s *Server) handleCoreRead(ctx context.Context, _ string, _ []byte) (any, error) {
	err := s.confirmLatest(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.state.Node.Membership()
	describeAll := func(members []membership.Member) []CoreMember {
		return lo.Map(members, func(member membership.Member, _ int) CoreMember { return s.describe(member) })
	}
	status := CoreStatus{Node: s.Settings.Name, Status: s.state.Status().String(), Current: err == nil, Epoch: list.Epoch, Index: s.state.Node.Applied(),
		Members: describeAll(list.Members), Learners: describeAll(s.learners()), Excluded: describeAll(list.Excluded),
		Tolerance: CoreTolerance{Baseline: s.tolerance.Baseline, Lost: s.tolerance.Lost, LastSeconds: float64(s.tolerance.LastOutage) / 1e9}}
	status.Tolerates, status.ToleratedZones = list.Tolerates(s.unavailable(list))
	if s.tolerance.LostAt != 0 {
		status.Tolerance.SinceSeconds = float64(s.clock()-s.tolerance.LostAt) / 1e9
	}
	return status, nil
}

// findMember finds a process by its IP number or its name; one that is given an address may have the port left on.
func findMember(members []membership.Member, ref string) (membership.Member, bool) {
	return lo.Find(members, func(member membership.Member) bool { return member.IP == ref || member.Name == ref })
}

// planChange makes an order of a change of members, and tells what the core bears before and after it. Nothing is ordered where
// it stands already. The caller holds the lock.
func (s *Server) planChange(change CoreChange) (op operation.Operation, result CoreChangeResult, err error) {
	list := s.state.Node.Membership()
	old, isMember := findMember(list.Members, change.Member)
	learners := s.learners()
	op = operation.Operation{Kind: operation.ChangeMembers, Expected: list.Epoch}
	addLearner := func(ref string) error {
		candidate, ok := findMember(learners, ref)
		if !ok {
			return apierror.New(apierror.NotFound, "%s is not heard: start it, with a seed that is up", ref)
		}
		if status := s.describe(candidate); !status.CaughtUp {
			return apierror.New(apierror.Unavailable, "%s doesn't hold the whole state yet: number %d of %d", ref, status.Index, s.state.Node.Applied())
		}
		op.Add = append(op.Add, candidate)
		return nil
	}
	switch change.Action {
	case "remove":
		candidate, isLearner := findMember(learners, change.Member)
		_, isExcluded := findMember(list.Excluded, change.Member)
		switch {
		case isMember:
			op.Remove, op.Exclude = []string{old.IP}, []membership.Member{old}
		case isLearner:
			op.Exclude = []membership.Member{candidate}
		case !isExcluded:
			return op, result, apierror.New(apierror.NotFound, "who: no member or learner %q", change.Member)
		}
	case "add":
		if !isMember || !s.isAvailable(old) {
			if err := addLearner(change.Member); err != nil {
				return op, result, err
			}
		}
	case "replace":
		_, isExcluded := findMember(list.Excluded, change.Member)
		if !isMember && !isExcluded {
			return op, result, apierror.New(apierror.NotFound, "who: no member %q", change.Member)
		}
		if candidate, there := findMember(list.Members, change.Replacement); !there || !s.isAvailable(candidate) {
			if err := addLearner(change.Replacement); err != nil {
				return op, result, err
			}
		}
		if isMember {
			op.Exclude = []membership.Member{old}
			if !slices.ContainsFunc(op.Add, func(candidate membership.Member) bool { return candidate.IP == old.IP }) {
				op.Remove = []string{old.IP}
			}
		}
	default:
		return op, result, apierror.New(apierror.Invalid, "do: %q is not remove, add or replace", change.Action)
	}
	next := list.Change(op.Add, op.Remove)
	if next.Epoch == list.Epoch && len(list.Members) == len(op.Remove) {
		return op, result, apierror.New(apierror.Invalid, "the last member can't go")
	}
	result = CoreChangeResult{Epoch: list.Epoch, Members: lo.Map(next.Members, func(candidate membership.Member, _ int) string { return candidate.Name })}
	result.Tolerates[0], result.ToleratedZones[0] = list.Tolerates(s.unavailable(list))
	result.Tolerates[1], result.ToleratedZones[1] = next.Tolerates(s.unavailable(next))
	return op, result, nil
}

// handleCoreChange has members go and come by an order, or tells what that would do.
func (s *Server) handleCoreChange(ctx context.Context, _ string, body []byte) (any, error) {
	var change CoreChange
	if err := json.Unmarshal(body, &change); err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "the change of members")
	}
	if err := s.confirmLatest(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	op, result, err := s.planChange(change)
	s.mu.Unlock()
	switch {
	case err != nil:
		return nil, err
	case change.DryRun:
		return result, nil
	case result.Tolerates[1] < 0:
		return nil, apierror.New(apierror.Invalid, "of the members that this leaves more than half aren't heard, so it can't be taken over; bring them back, or see pilot core recover")
	case result.Tolerates[1] < 1 && result.Tolerates[1] < result.Tolerates[0] && !change.Force:
		return nil, apierror.New(apierror.Invalid, "the core would bear no loss afterwards, and bears %d now; --force does it all the same", result.Tolerates[0])
	}
	if len(op.Add)+len(op.Remove)+len(op.Exclude) > 0 {
		if err := s.submit(ctx, op); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result.Done, result.Epoch = true, s.state.Node.Membership().Epoch
	return result, nil
}
