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

// CoreStatus is the membership of the control processes as one of them sees it. Durations are in seconds.
type CoreStatus struct {
	Node           string        `json:"node"`
	Status         string        `json:"standing"`
	Current        bool          `json:"current"` // a quorum read confirmed that the answer is up to date
	Epoch          uint64        `json:"epoch"`
	Index          uint64        `json:"number"` // last log index applied by this process
	Members        []CoreMember  `json:"members"`
	Learners       []CoreMember  `json:"learners"` // connected control processes that don't vote
	Excluded       []CoreMember  `json:"held"`     // removed by an operator; with the same disk, only an operator can add them again
	Tolerates      int           `json:"bears"`    // further members that may be lost; negative without a quorum
	ToleratedZones []string      `json:"bears_zones"`
	Tolerance      CoreTolerance `json:"margin"`
}

// CoreMember is a control process, voting or not, as the answering process sees it.
type CoreMember struct {
	IP            string  `json:"ip"`
	Name          string  `json:"name"`
	Zone          string  `json:"zone"`
	DiskID        string  `json:"disk"` // ID of its disk; a process with a new disk is a new member
	Heard         bool    `json:"heard"`
	SilentSeconds float64 `json:"silent"` // time since it was last connected
	CaughtUp      bool    `json:"whole"`
	Leaving       bool    `json:"leaving"`
	Epoch         uint64  `json:"epoch"`
	Index         uint64  `json:"number"`
}

// CoreTolerance describes the ongoing reduction of the number of losses that the members tolerate, and the last one that ended, as
// observed by the answering process since it started.
type CoreTolerance struct {
	Baseline     int      `json:"level"` // tolerated losses before the ongoing reduction, or at present if there is none
	Lost         []string `json:"lost"`  // IP addresses of the members that are unavailable during it
	SinceSeconds float64  `json:"since"` // age of the ongoing reduction, 0 if there is none
	LastSeconds  float64  `json:"last"`  // duration of the last reduction that ended
}

// CoreChange requests a change of the voting members.
type CoreChange struct {
	Action      string `json:"do"`   // remove, add or replace
	Member      string `json:"who"`  // IP address or name
	Replacement string `json:"with"` // IP address or name of the learner to add; for replace only
	DryRun      bool   `json:"dry"`
	Force       bool   `json:"force"`
}

// CoreChangeResult reports the members and the losses that they tolerate before and after a CoreChange.
type CoreChangeResult struct {
	Done           bool        `json:"done"` // the change is in force; false for a dry run
	Epoch          uint64      `json:"epoch"`
	Members        []string    `json:"members"` // names, after the change
	Tolerates      [2]int      `json:"bears"`   // before and after
	ToleratedZones [2][]string `json:"zones"`   // zones of which any one may be lost, before and after
}

// Values of CoreChange.Action.
const (
	removeMember  = "remove"
	addMember     = "add"
	replaceMember = "replace"
)

// membershipCalls returns the operators' calls that read or change the voting members.
func (s *Server) membershipCalls() []rpc.Call {
	return []rpc.Call{
		{Name: "core.read", MaxBody: maxSmallBody, Handle: s.handleCoreRead},
		{Name: "core.change", MaxBody: maxSmallBody, Handle: s.handleCoreChange},
		{Name: "core.recover", MaxBody: maxSmallBody, Handle: s.handleCoreRecover},
	}
}

// unavailable returns the IP addresses of the members in list that are disconnected, connected with a different disk, or shutting down.
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

// connectedPeer returns the connected control process that has the member's IP address and disk, or nil. The caller holds mu.
func (s *Server) connectedPeer(member membership.Member) *registry.Peer {
	peer, conn := s.state.Peers[member.IP], s.peers[member.IP]
	if peer == nil || conn == nil || conn.member.ID != member.ID {
		return nil
	}
	return peer
}

// updateTolerance tracks how many losses the members tolerate and logs reductions and their ends. The caller holds mu.
func (s *Server) updateTolerance() {
	list := s.state.Node.Membership()
	switch began, restored := s.tolerance.Observe(s.clock(), list, s.unavailable(list)); {
	case began:
		klog.InfoS("loss tolerance reduced", "bears", s.tolerance.Current, "before", s.tolerance.Baseline, "lost", s.tolerance.Lost, "epoch", list.Epoch)
	case restored:
		klog.InfoS("loss tolerance restored", "after_ms", s.tolerance.LastOutage/1e6, "bears", s.tolerance.Current, "epoch", list.Epoch, "of", len(list.Members))
	}
}

// learners returns the control processes that are not voting members, among this one and the connected ones, sorted by IP address. The
// caller holds mu.
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

// describe returns the state of a control process as known to this one. The caller holds mu.
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

// handleCoreRead returns the membership as this process sees it, whatever its status.
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

// findMember finds a control process by its IP address or name.
func findMember(members []membership.Member, ref string) (membership.Member, bool) {
	return lo.Find(members, func(member membership.Member) bool { return member.IP == ref || member.Name == ref })
}

// handleCoreChange changes the voting members or, for a dry run, reports the effects of a change.
func (s *Server) handleCoreChange(ctx context.Context, _ string, body []byte) (any, error) {
	var change CoreChange
	if err := json.Unmarshal(body, &change); err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "membership change request")
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

// checkTolerance rejects a change that leaves too few members connected. Force permits a change after which no loss is tolerated, but not
// one after which there is no quorum.
func checkTolerance(result CoreChangeResult, force bool) error {
	before, after := result.Tolerates[0], result.Tolerates[1]
	switch {
	case after < 0:
		return apierror.New(apierror.Invalid, "without a connected majority of the remaining members the change can't be committed; reconnect members, or see portflowctl core recover")
	case after < 1 && after < before && !force:
		return apierror.New(apierror.Invalid, "the voting members would tolerate no loss afterwards, and tolerate %d now; use --force to make the change anyway", before)
	}
	return nil
}
