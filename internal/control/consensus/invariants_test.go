package consensus

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// decidedState is the set at an index, and when a process first applied it.
type decidedState struct {
	checksum  uint64
	items     map[config.Key]config.Item
	reachedAt int64
}

// violation is a violated invariant. livenessOnly is true if something has not completed in time, but safety is not violated.
type violation struct {
	message      string
	livenessOnly bool
}

// String returns the message, or "" if v is nil.
func (v *violation) String() string {
	if v == nil {
		return ""
	}
	return v.message
}

// fail ends the run because of a safety violation.
func (sim *simulation) fail(format string, args ...any) {
	panic(&violation{fmt.Sprintf("at %.3f s: ", float64(sim.now)/1e9) + fmt.Sprintf(format, args...), false})
}

// failLiveness ends the run because something has not completed in time.
func (sim *simulation) failLiveness(format string, args ...any) {
	panic(&violation{fmt.Sprintf("at %.3f s: ", float64(sim.now)/1e9) + fmt.Sprintf(format, args...), true})
}

// checkState checks that a process has the same set at an index as all others, and that its applied index never decreases.
func (sim *simulation) checkState(m *machine) {
	index, checksum := m.node.Applied(), m.node.Set.Checksum()
	if index < m.applied {
		sim.fail("%s: applied index decreased from %d to %d", m.ip, m.applied, index)
	}
	m.applied = index
	sim.trace = sim.trace*1099511628211 ^ index ^ checksum ^ uint64(sim.now)
	switch {
	case index == 0:
		return
	case index > uint64(len(sim.states)+1):
		sim.fail("%s has applied index %d, but no process has applied %d", m.ip, index, index-1)
	case index <= uint64(len(sim.states)):
		if state := sim.states[index-1]; state.checksum != checksum {
			sim.fail("%s has a different set at index %d: got %v, want %v", m.ip, index, m.node.Set.All(), state.items)
		}
		return
	}
	sim.addState(m, index, checksum)
}

// addState records the set of the first process that applies an index.
func (sim *simulation) addState(m *machine, index, checksum uint64) {
	state := decidedState{checksum, map[config.Key]config.Item{}, sim.now}
	for _, i := range m.node.Set.All() {
		state.items[i.Key()] = i
	}
	sim.states = append(sim.states, state)
	delete(sim.proposedMemberships, index)
	sim.tally["numbers"]++
	sim.checkMembership(m.node.Membership())
	if index > 1 {
		sim.checkTransition(sim.states[index-2], state, index)
	}
}

// checkMembership checks that an epoch has only one member list.
func (sim *simulation) checkMembership(list membership.List) {
	encoded, err := json.Marshal(list)
	if err != nil {
		sim.fail("cannot encode the member list: %v", err)
	}
	known, exists := sim.membershipByEpoch[list.Epoch]
	switch {
	case !exists:
		sim.membershipByEpoch[list.Epoch] = string(encoded)
		sim.tally["lists"]++
	case known != string(encoded):
		sim.fail("epoch %d has two member lists: %s and %s", list.Epoch, known, encoded)
	}
}

// checkTransition compares a state with the previous one: versions of items never decrease, and operations take effect atomically.
func (sim *simulation) checkTransition(before, after decidedState, index uint64) {
	for key, old := range before.items {
		item, exists := after.items[key]
		if !exists || item.Version < old.Version || item.Version == old.Version && !item.Equal(old) {
			sim.fail("at index %d %s replaces %s", index, describeItem(item), describeItem(old))
		}
	}
	for key, item := range after.items {
		if before.items[key].Equal(item) {
			continue
		}
		sim.log("%.3f index %d: %s", float64(sim.now)/1e9, index, describeItem(item))
		if !item.Deleted { // equal deletions may belong to different operations
			sim.checkChangeComplete(item, after, index)
		}
	}
}

// checkChangeComplete checks that a state includes all items of every operation that the item belongs to.
func (sim *simulation) checkChangeComplete(item config.Item, after decidedState, index uint64) {
	for _, copies := range sim.operations {
		op := copies.operation
		if op.Kind != operation.ModifyConfig || !slices.ContainsFunc(op.Items, item.Equal) {
			continue
		}
		for _, other := range op.Items {
			if !includes(after, other) {
				sim.fail("at index %d %s took effect, but %s of the same operation did not", index, describeItem(item), describeItem(other))
			}
		}
	}
}

// survivesLoss reports whether a majority of the members remains if a machine's disk is lost: of the current members, of any members that
// may yet be decided, and of earlier members as long as no other member has the later index on disk.
func (sim *simulation) survivesLoss(m *machine) bool {
	lists := []membership.List{sim.membership()}
	for _, proposed := range sim.proposedMemberships {
		lists = append(lists, proposed...)
	}
	lists = append(lists, sim.largestMembership())
	for index := len(sim.states); index > 0 && !sim.isAppliedElsewhere(m, index); index-- {
		lists = append(lists, sim.membershipAt(index-1))
	}
	return !slices.ContainsFunc(lists, func(list membership.List) bool { return sim.membersWithout(list, m) < list.Majority() })
}

// largestMembership returns the current members and all processes that may be proposed to join. These include recently lost disks, as a
// proposer may not have noticed the loss.
func (sim *simulation) largestMembership() membership.List {
	candidates := slices.DeleteFunc(slices.Clone(sim.lostDisks), func(lost lostDisk) bool { return sim.now-lost.at > 5*second })
	for _, other := range sim.machines {
		if !other.removed {
			candidates = append(candidates, lostDisk{membership.Member{IP: other.ip, ID: other.hardState.DiskID}, 0})
		}
	}
	all := membership.List{Members: slices.Clone(sim.membership().Members)}
	for _, candidate := range candidates {
		if _, exists := all.ByIP(candidate.IP); !exists {
			all.Members = append(all.Members, candidate.Member)
		}
	}
	return all
}

// isAppliedElsewhere reports whether another current member has applied an index on its disk.
func (sim *simulation) isAppliedElsewhere(m *machine, index int) bool {
	members := sim.membership()
	return slices.ContainsFunc(sim.machines, func(other *machine) bool {
		applied := !other.removed && other.hardState.Applied >= uint64(index)
		return other != m && applied && members.Contains(other.ip, other.hardState.DiskID)
	})
}

// membersWithout returns the number of members in a list that still have their disk, not counting m.
func (sim *simulation) membersWithout(list membership.List, m *machine) (count int) {
	for _, member := range list.Members {
		other := sim.byIP[member.IP]
		if other != m && other.hardState.DiskID == member.ID && !other.removed {
			count++
		}
	}
	return count
}

// includes reports whether a state has an item or a later version of it.
func includes(state decidedState, i config.Item) bool {
	current, exists := state.items[i.Key()]
	return exists && (current.Version > i.Version || current.Equal(i))
}

// membership returns the members at the last decided index.
func (sim *simulation) membership() membership.List { return sim.membershipAt(len(sim.states)) }

// membershipAt returns the members at an index, or the founders at index 0.
func (sim *simulation) membershipAt(n int) membership.List {
	if n > 0 {
		return membership.FromItem(sim.states[n-1].items[membership.Key])
	}
	l := membership.List{}
	for _, m := range sim.machines[:len(sim.founders)] {
		l.Members = append(l.Members, membership.Member{IP: m.ip, ID: fmt.Sprintf("d%d", m.id+1)})
	}
	return l
}

// describeItem formats an item for logs and failure messages.
func describeItem(i config.Item) string {
	body := string(i.Body)
	if at := strings.Index(body, `,"host-name`); at > 0 {
		body = body[:at]
	}
	return fmt.Sprintf("%s %s version %d deleted %v %s", i.Kind, i.Name, i.Version, i.Deleted, body)
}

// checkConfirmed checks that a confirmed operation has taken effect at the index in its result.
func (sim *simulation) checkConfirmed(c *call) {
	s := sim.states[c.result.Index-1]
	switch o := c.operation; o.Kind {
	case operation.ModifyConfig:
		for _, i := range o.Items {
			if !includes(s, i) {
				sim.fail("call %d was confirmed at index %d, but the state there has %s, want %s", c.tag, c.result.Index, describeItem(s.items[i.Key()]), describeItem(i))
			}
		}
	case operation.BeginRollout:
		for _, s := range sim.states[:c.result.Index] {
			if strings.Contains(string(s.items[config.Key{Kind: config.KindRollouts, Name: o.Name}].Body), `"`+o.TargetVersion+`"`) {
				return
			}
		}
		sim.fail("call %d was confirmed, but the rollout of %s to %s never began", c.tag, o.Name, o.TargetVersion)
	}
}

// checkEvacuations checks that a confirmed evacuation, or its end, stays in effect until another call may have changed it.
func (sim *simulation) checkEvacuations() {
	var all []*call
	for _, copies := range sim.operations {
		if copies.operation.Kind == operation.Evacuate {
			all = append(all, copies.calls...)
		}
	}
	for _, c := range all {
		if !c.done || c.result.Kind != apierror.None {
			continue
		}
		for n := c.result.Index; n <= uint64(len(sim.states)); n++ {
			i := sim.states[n-1].items[config.Key{Kind: config.KindEvacuations, Name: c.operation.Name}]
			active := strings.Contains(string(i.Body), "true")
			if active != c.operation.Active && !slices.ContainsFunc(all, func(other *call) bool {
				return other.operation.Name == c.operation.Name && other.operation.Active == active && (!other.done || other.result.Kind == apierror.Unavailable || other.endedAt >= c.startedAt)
			}) {
				sim.fail("call %d, started at %.3f s, set zone %s to evacuated %v at index %d, but at index %d it is not, although all calls for the opposite had ended before", c.tag, float64(c.startedAt)/1e9, c.operation.Name, c.operation.Active, c.result.Index, n)
			}
		}
	}
}

// checkOutcomes checks all results at the end of a run: no refused operation has taken effect.
func (sim *simulation) checkOutcomes() {
	sim.checkEvacuations()
	for _, copies := range sim.operations {
		allRejected, conflict := len(copies.calls) > 0, ""
		for _, c := range copies.calls {
			switch {
			case !c.done || c.result.Kind == apierror.None || c.result.Kind == apierror.Unavailable:
				allRejected = false
			case c.result.Kind == apierror.Conflict:
				conflict = c.result.Reason
			}
		}
		if !allRejected && conflict == "" {
			continue
		}
		for n, s := range sim.states {
			switch copies.operation.Kind {
			case operation.ModifyConfig:
				for _, i := range copies.operation.Items {
					if !i.Deleted && s.items[i.Key()].Equal(i) {
						sim.fail("operation %d was refused (%s), but its item %s is in the state at index %d", copies.number, conflict, describeItem(i), n+1)
					}
				}
			case operation.BeginRollout:
				if strings.Contains(string(s.items[config.Key{Kind: config.KindRollouts, Name: copies.operation.Name}].Body), `"target":"`+copies.operation.TargetVersion+`"`) {
					sim.fail("operation %d, a rollout to %s, was refused, but it is in the state at index %d", copies.number, copies.operation.TargetVersion, n+1)
				}
			}
		}
	}
}

// checkLiveness checks that the cluster has recovered long after the last fault.
func (sim *simulation) checkLiveness() {
	if len(sim.states) == 0 {
		sim.failLiveness("the first epoch was never decided%s", sim.describeMachines())
	}
	up := slices.DeleteFunc(slices.Clone(sim.machines), func(m *machine) bool { return !m.up })
	sim.checkCaughtUp(up)
	sim.checkMembersUp(up)
	sim.call(up[0], sim.operations[0]) // ensures that the service exists for checkAnswers
	sim.run(sim.now + second)
	for _, m := range up {
		sim.checkAnswers(m)
	}
}

// checkCaughtUp checks that all running processes have applied the last index.
func (sim *simulation) checkCaughtUp(up []*machine) {
	for _, m := range up {
		switch {
		case m.node.Applied() != uint64(len(sim.states)):
			sim.failLiveness("%s has not applied index %d%s", m.ip, len(sim.states), sim.describeMachines())
		case !m.node.CaughtUp():
			sim.failLiveness("%s has not caught up%s", m.ip, sim.describeMachines())
		}
	}
}

// checkMembersUp checks that all members are up, and that each zone has minPerZone members, or as many as processes are up there.
func (sim *simulation) checkMembersUp(up []*machine) {
	members, live := map[string]int{}, map[string]int{}
	for _, m := range up {
		live[m.zone]++
		if m.node.IsMember() {
			members[m.zone]++
		}
	}
	for _, member := range sim.membership().Members {
		if m := sim.byIP[member.IP]; !m.up || m.hardState.DiskID != member.ID {
			sim.failLiveness("member %s %s is not up%s", member.IP, member.ID, sim.describeMachines())
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(live)) {
		if members[zone] < min(live[zone], sim.minPerZone) {
			sim.failLiveness("zone %s has %d members, but %d processes are up there%s", zone, members[zone], live[zone], sim.describeMachines())
		}
	}
}

// checkAnswers checks that a process confirms an operation and completes a read within a second.
func (sim *simulation) checkAnswers(m *machine) {
	sim.version++
	name := fmt.Sprintf("q%d", m.id)
	body := fmt.Sprintf(`{"host-name":"%s.example","name":"%s","path-prefix":"/","route-kind":"safe_method","service":"desk","timeout-s":1}`, name, name)
	copies := &operationCopies{number: len(sim.operations), operation: operation.Operation{
		Kind:  operation.ModifyConfig,
		Items: []config.Item{item(config.KindRoutes, name, sim.version, body)},
	}}
	sim.operations = append(sim.operations, copies)
	change := sim.call(m, copies)
	read := sim.call(m, nil)
	sim.run(sim.now + second)
	if !change.done || change.result.Kind != apierror.None {
		sim.failLiveness("after the faults %s has not confirmed an operation within 1 s: %v%s", m.ip, change.result, sim.describeMachines())
	}
	if !read.done || read.result.Kind != apierror.None {
		sim.failLiveness("after the faults %s has not completed a read within 1 s: %v%s", m.ip, read.result, sim.describeMachines())
	}
}

// describeMachines describes the state of each machine and the member list, one per line.
func (sim *simulation) describeMachines() string {
	var text strings.Builder
	for _, m := range sim.machines {
		disk := m.node.HardState()
		fmt.Fprintf(&text, "\n%s %s up %v: %v, promised %v, accepted %v at index %d, pending %d, reads %d, voted for members %v", m.ip, disk.DiskID, m.up, m.node,
			disk.Promised, disk.Accepted, disk.AcceptedIndex, len(m.node.forwarder.pending), len(m.node.reads), membershipIn(disk.AcceptedValue))
	}
	fmt.Fprintf(&text, "\n%v", sim.membership())
	return text.String()
}
