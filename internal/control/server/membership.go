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
	"portflow/internal/control/registry"
	"portflow/internal/control/rpc"
)

// CoreStatus is the membership of the control processes as one of them sees it. Times are seconds.
type CoreStatus struct {
	Node           string        `json:"node"`
	Status         string        `json:"standing"`
	Current        bool          `json:"current"` // a majority of the members has confirmed that nothing newer was decided
	Epoch          uint64        `json:"epoch"`
	Index          uint64        `json:"number"` // of the last change that is applied here
	Members        []CoreMember  `json:"members"`
	Learners       []CoreMember  `json:"learners"` // connected, and not members
	Excluded       []CoreMember  `json:"held"`     // removed by an operator: never voted in again with these disks but by an operator
	Tolerates      int           `json:"bears"`    // further members that may be lost; below 0 no operation is possible
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
	SilentSeconds float64 `json:"silent"` // how long it has not been connected
	CaughtUp      bool    `json:"whole"`
	Leaving       bool    `json:"leaving"`
	Epoch         uint64  `json:"epoch"`
	Index         uint64  `json:"number"`
}

// CoreTolerance is since when the members tolerate fewer losses than before, and how long that took the last time, as this process
// has seen it since it started.
type CoreTolerance struct {
	Baseline     int      `json:"level"` // members that could be lost before
	Lost         []string `json:"lost"`  // IPs of members that are not connected since
	SinceSeconds float64  `json:"since"` // how long ago the loss came, 0 for none
	LastSeconds  float64  `json:"last"`  // how long it took after the last loss until the tolerance was restored
}

// CoreChange asks for a change of the members.
type CoreChange struct {
	Action      string `json:"do"`   // remove, add or replace
	Member      string `json:"who"`  // an IP or a name
	Replacement string `json:"with"` // that is added in its place
	DryRun      bool   `json:"dry"`
	Force       bool   `json:"force"`
}

// CoreChangeResult is what the members tolerate before and after a change.
type CoreChangeResult struct {
	Done           bool        `json:"done"` // it is in force; otherwise it was a dry run
	Epoch          uint64      `json:"epoch"`
	Members        []string    `json:"members"` // names, afterwards
	Tolerates      [2]int      `json:"bears"`   // before and after
	ToleratedZones [2][]string `json:"zones"`   // each of which alone may be lost, before and after
}

// Actions of a CoreChange.
const (
	removeMember  = "remove"
	addMember     = "add"
	replaceMember = "replace"
)

// membershipCalls are the operators' calls that are about the members themselves.
func (s *Server) membershipCalls() []rpc.Call {
	return []rpc.Call{
		{Name: "core.read", MaxBody: maxSmallBody, Handle: s.handleCoreRead},
		{Name: "core.change", MaxBody: maxSmallBody, Handle: s.handleCoreChange},
		{Name: "core.recover", MaxBody: maxSmallBody, Handle: s.handleCoreRecover},
	}
}

// unavailable are the IPs of those members of a list that can't be counted on: not connected, connected with another disk, or leaving.
// The caller holds mu.
func (s *Server) unavailable(list membership.List) (ips []string) {
	for _, member := range list.Members {
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
	peer := s.connectedPeer(member)
	return peer != nil && !peer.Status.Leaving
}

// connectedPeer is a control process that is connected, with the disk that the member is known by; nil for none. The caller holds mu.
func (s *Server) connectedPeer(member membership.Member) *registry.Peer {
	peer, conn := s.state.Peers[member.IP], s.peers[member.IP]
	if peer == nil || conn == nil || conn.member.ID != member.ID {
		return nil
	}
	return peer
}

// updateTolerance follows how many losses the members tolerate. The caller holds mu.
func (s *Server) updateTolerance() {
	list := s.state.Node.Membership()
	switch began, restored := s.tolerance.Observe(s.clock(), list, s.unavailable(list)); {
	case began:
		klog.InfoS("margin lost", "bears", s.tolerance.Current, "before", s.tolerance.Baseline, "lost", s.tolerance.Lost, "epoch", list.Epoch)
	case restored:
		klog.InfoS("margin restored", "after_ms", s.tolerance.LastOutage/1e6, "bears", s.tolerance.Current, "epoch", list.Epoch, "of", len(list.Members))
	}
}

// learners are the control processes that are connected and no members, by IP. The caller holds mu.
func (s *Server) learners() (learners []membership.Member) {
	list := s.state.Node.Membership()
	for ip := range s.state.Peers {
		if conn := s.peers[ip]; conn != nil && !list.Contains(ip, conn.member.ID) {
			learners = append(learners, conn.member)
		}
	}
	if !s.state.Node.IsMember() {
		learners = append(learners, s.self())
	}
	slices.SortFunc(learners, func(a, b membership.Member) int { return strings.Compare(a.IP, b.IP) })
	return learners
}

func (s *Server) self() membership.Member {
	return membership.Member{IP: s.Settings.IP, ID: s.state.Self.ID, Name: s.Settings.Name, Zone: s.Settings.Zone}
}

// describe is the state of a control process, as far as it is known here. The caller holds mu.
func (s *Server) describe(member membership.Member) CoreMember {
	status := CoreMember{IP: member.IP, Name: member.Name, Zone: member.Zone, DiskID: member.ID}
	if member.IP == s.Settings.IP && member.ID == s.state.Self.ID {
		node := s.state.Node
		status.Heard = true
		status.CaughtUp = node.CaughtUp()
		status.Leaving = s.stopping
		status.Epoch = node.Membership().Epoch
		status.Index = node.Applied()
		return status
	}
	peer := s.connectedPeer(member)
	if peer == nil {
		status.SilentSeconds = seconds(s.state.Node.SilentFor(s.clock())[member.IP])
		return status
	}
	status.Heard = true
	status.CaughtUp = peer.Status.Complete
	status.Leaving = peer.Status.Leaving
	status.Epoch = peer.Status.Epoch
	status.Index = peer.Status.Number
	return status
}

func (s *Server) describeAll(members []membership.Member) []CoreMember {
	return lo.Map(members, func(member membership.Member, _ int) CoreMember { return s.describe(member) })
}

// handleCoreRead answers with the members as this process sees them, whatever its status.
func (s *Server) handleCoreRead(ctx context.Context, _ string, _ []byte) (any, error) {
	err := s.confirmLatest(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.state.Node.Membership()
	status := CoreStatus{
		Node:     s.Settings.Name,
		Status:   s.state.Status().String(),
		Current:  err == nil,
		Epoch:    list.Epoch,
		Index:    s.state.Node.Applied(),
		Members:  s.describeAll(list.Members),
		Learners: s.describeAll(s.learners()),
		Excluded: s.describeAll(list.Excluded),
		Tolerance: CoreTolerance{
			Baseline:    s.tolerance.Baseline,
			Lost:        s.tolerance.Lost,
			LastSeconds: seconds(s.tolerance.LastOutage),
		},
	}
	status.Tolerates, status.ToleratedZones = list.Tolerates(s.unavailable(list))
	if s.tolerance.LostAt != 0 {
		status.Tolerance.SinceSeconds = seconds(s.clock() - s.tolerance.LostAt)
	}
	return status, nil
}

// findMember finds a control process by its IP or its name.
func findMember(members []membership.Member, ref string) (membership.Member, bool) {
	return lo.Find(members, func(member membership.Member) bool { return member.IP == ref || member.Name == ref })
}

// handleCoreChange changes the members, or says what a change would do.
func (s *Server) handleCoreChange(ctx context.Context, _ string, body []byte) (any, error) {
	var change CoreChange
	if err := json.Unmarshal(body, &change); err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "the change of members")
	}
	if err := s.confirmLatest(ctx); err != nil {
		return nil, err
	}
	op, result, err := s.planChange(change)
	if err != nil {
		return nil, err
	}
	if change.DryRun {
		return result, nil
	}
	if err := checkTolerance(result, change.Force); err != nil {
		return nil, err
	}
	if len(op.Add)+len(op.Remove)+len(op.Exclude) > 0 {
		if err := s.submit(ctx, op); err != nil {
			return nil, err
		}
	}
	result.Done = true
	result.Epoch = s.epoch()
	return result, nil
}

// checkTolerance refuses a change that leaves too few members connected.
func checkTolerance(result CoreChangeResult, force bool) error {
	before, after := result.Tolerates[0], result.Tolerates[1]
	switch {
	case after < 0:
		return apierror.New(apierror.Invalid, "of the members that this leaves more than half aren't heard, so it can't be taken over; bring them back, or see pilot core recover")
	case after < 1 && after < before && !force:
		return apierror.New(apierror.Invalid, "the core would bear no loss afterwards, and bears %d now; --force does it all the same", before)
	}
	return nil
}
