package server

import (
	"slices"

	"github.com/samber/lo"

	"portflow/internal/cluster/apierror"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// changePlan builds the operation for a membership change.
type changePlan struct {
	server   *Server
	list     membership.List     // current members
	learners []membership.Member // control processes that may be added
	op       operation.Operation
}

// planChange returns the operation for a membership change and the losses that the members tolerate before and after it. If the change is
// already in force, the operation adds, removes and excludes nobody.
func (s *Server) planChange(change CoreChange) (operation.Operation, CoreChangeResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.state.Node.Membership()
	plan := changePlan{
		server:   s,
		list:     list,
		learners: s.learners(),
		op:       operation.Operation{Kind: operation.ChangeMembers, Expected: list.Epoch},
	}
	if err := plan.build(change); err != nil {
		return operation.Operation{}, CoreChangeResult{}, err
	}
	next := list.Change(plan.op.Add, plan.op.Remove)
	if next.Epoch == list.Epoch && len(list.Members) == len(plan.op.Remove) {
		return operation.Operation{}, CoreChangeResult{}, apierror.New(apierror.Invalid, "the last voting member can't be removed")
	}
	result := CoreChangeResult{
		Epoch:   list.Epoch,
		Members: lo.Map(next.Members, func(member membership.Member, _ int) string { return member.Name }),
	}
	result.Tolerates[0], result.ToleratedZones[0] = list.Tolerates(s.unavailable(list))
	result.Tolerates[1], result.ToleratedZones[1] = next.Tolerates(s.unavailable(next))
	return plan.op, result, nil
}

func (p *changePlan) build(change CoreChange) error {
	switch change.Action {
	case removeMember:
		return p.remove(change.Member)
	case addMember:
		return p.add(change.Member)
	case replaceMember:
		return p.replace(change.Member, change.Replacement)
	}
	return apierror.New(apierror.Invalid, "do: unknown action %q; must be remove, add or replace", change.Action)
}

// remove removes and excludes a member, or excludes a learner. A process that is already excluded stays excluded.
func (p *changePlan) remove(ref string) error {
	if member, ok := findMember(p.list.Members, ref); ok {
		p.op.Remove = []string{member.IP}
		p.op.Exclude = []membership.Member{member}
		return nil
	}
	if learner, ok := findMember(p.learners, ref); ok {
		p.op.Exclude = []membership.Member{learner}
		return nil
	}
	if _, excluded := findMember(p.list.Excluded, ref); !excluded {
		return apierror.New(apierror.NotFound, "who: no member or learner %q", ref)
	}
	return nil
}

// add adds a learner. It does nothing if ref is an available member.
func (p *changePlan) add(ref string) error {
	if member, ok := findMember(p.list.Members, ref); ok && p.server.isAvailable(member) {
		return nil
	}
	learner, ok := findMember(p.learners, ref)
	if !ok {
		return apierror.New(apierror.NotFound, "%s is not connected: start it with a running control process as seed", ref)
	}
	if status := p.server.describe(learner); !status.CaughtUp {
		return apierror.New(apierror.Unavailable, "%s has not caught up yet: index %d of %d", ref, status.Index, p.server.state.Node.Applied())
	}
	p.op.Add = append(p.op.Add, learner)
	return nil
}

// replace adds a learner and removes and excludes a member in one operation. If the member was removed before, it only adds the learner.
func (p *changePlan) replace(ref, replacement string) error {
	old, isMember := findMember(p.list.Members, ref)
	_, isExcluded := findMember(p.list.Excluded, ref)
	if !isMember && !isExcluded {
		return apierror.New(apierror.NotFound, "who: no member %q", ref)
	}
	if err := p.add(replacement); err != nil {
		return err
	}
	if !isMember {
		return nil
	}
	p.op.Exclude = []membership.Member{old}
	sameIP := func(member membership.Member) bool { return member.IP == old.IP }
	if !slices.ContainsFunc(p.op.Add, sameIP) { // the added member replaces the one with the same IP address
		p.op.Remove = []string{old.IP}
	}
	return nil
}
