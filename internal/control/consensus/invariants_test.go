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

// decidedState is the set at an index.
type decidedState struct {
	checksum  uint64
	items     map[config.Key]config.Item
	reachedAt int64
}

// violation is an invariant that does not hold: one of safety, or of liveness if something should have ended and has not.
type violation struct {
	message      string
	livenessOnly bool
}

// String returns the message, empty for none.
func (v *violation) String() string {
	if v == nil {
		return ""
	}
	return v.message
}

// fail ends the run because safety is violated.
func (sim *simulation) fail(format string, args ...any) {
	panic(&violation{fmt.Sprintf("at %.3f s: ", float64(sim.now)/1e9) + fmt.Sprintf(format, args...), false})
}

// failLiveness ends the run because something should have ended and has not.
func (sim *simulation) failLiveness(format string, args ...any) {
	panic(&violation{fmt.Sprintf("at %.3f s: ", float64(sim.now)/1e9) + fmt.Sprintf(format, args...), true})
}

// checkState compares a process with all that was decided: each index has one set at all processes, and a process never goes back.
func (sim *simulation) checkState(m *machine) {
	index, checksum := m.node.Applied(), m.node.Set.Checksum()
	if index < m.applied {
		sim.fail("%s went back from %d to %d", m.ip, m.applied, index)
	}
	m.applied = index
	sim.trace = sim.trace*1099511628211 ^ index ^ checksum ^ uint64(sim.now)
	switch {
	case index == 0:
		return
	case index > uint64(len(sim.states)+1):
		sim.fail("%s has number %d, and nobody has had %d", m.ip, index, index-1)
	case index <= uint64(len(sim.states)):
		if state := sim.states[index-1]; state.checksum != checksum {
			sim.fail("%s has another set at number %d: %v, first was %v", m.ip, index, m.node.Set.All(), state.items)
		}
		return
	}
	sim.addState(m, index, checksum)
}

// addState adds the set of a process that is the first to apply an index.
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

// checkMembership checks that an epoch has one list of members.
func (sim *simulation) checkMembership(list membership.List) {
	encoded, err := json.Marshal(list)
	if err != nil {
		sim.fail("the members can't be encoded: %v", err)
	}
	known, exists := sim.membershipByEpoch[list.Epoch]
	switch {
	case !exists:
		sim.membershipByEpoch[list.Epoch] = string(encoded)
		sim.tally["lists"]++
	case known != string(encoded):
		sim.fail("two lists of epoch %d: %s and %s", list.Epoch, known, encoded)
	}
}

// checkTransition compares a state with the one before: versions of items never go back, and a change takes effect as one.
func (sim *simulation) checkTransition(before, after decidedState, index uint64) {
	for key, old := range before.items {
		item, exists := after.items[key]
		if !exists || item.Version < old.Version || item.Version == old.Version && !item.Equal(old) {
			sim.fail("at number %d %s follows on %s", index, describeItem(item), describeItem(old))
		}
	}
	for key, item := range after.items {
		if before.items[key].Equal(item) {
			continue
		}
		sim.log("%.3f number %d: %s", float64(sim.now)/1e9, index, describeItem(item))
		if !item.Deleted { // deletions of many changes are alike
			sim.checkChangeComplete(item, after, index)
		}
	}
}

// checkChangeComplete checks that all of each change is in a state where an item of it has taken effect.
func (sim *simulation) checkChangeComplete(item config.Item, after decidedState, index uint64) {
	for _, copies := range sim.operations {
		op := copies.operation
		if op.Kind != operation.ModifyConfig || !slices.ContainsFunc(op.Items, item.Equal) {
			continue
		}
		for _, other := range op.Items {
			if !includes(after, other) {
				sim.fail("at number %d %s came into force, and %s of the same call did not", index, describeItem(item), describeItem(other))
			}
		}
	}
}

// survivesLoss reports whether the core can lose a machine's disk: with the present members, with any members that may yet be decided,
// and with those before as long as no other disk has the change.
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

// largestMembership returns the present members with all that may be proposed to join. A lost disk may be, by one that has not noticed
// the loss.
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

// isAppliedElsewhere reports whether the disk of another present member has an index.
func (sim *simulation) isAppliedElsewhere(m *machine, index int) bool {
	members := sim.membership()
	return slices.ContainsFunc(sim.machines, func(other *machine) bool {
		applied := !other.removed && other.hardState.Applied >= uint64(index)
		return other != m && applied && members.Contains(other.ip, other.hardState.DiskID)
	})
}

// membersWithout returns how many members of a list still have their disk, without a machine.
func (sim *simulation) membersWithout(list membership.List, m *machine) (count int) {
	for _, member := range list.Members {
		other := sim.byIP[member.IP]
		if other != m && other.hardState.DiskID == member.ID && !other.removed {
			count++
		}
	}
	return count
}

// includes reports whether a state has an item, or a later version of it.
func includes(state decidedState, i config.Item) bool {
	current, exists := state.items[i.Key()]
	return exists && (current.Version > i.Version || current.Equal(i))
}

// membership returns the newest members that were decided.
func (sim *simulation) membership() membership.List { return sim.membershipAt(len(sim.states)) }

// membershipAt returns the members at an index; before the first the founders.
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

// describeItem returns an item for a log.
func describeItem(i config.Item) string {
	body := string(i.Body)
	if at := strings.Index(body, `,"host-name`); at > 0 {
		body = body[:at]
	}
	return fmt.Sprintf("%s %s version %d dropped %v %s", i.Kind, i.Name, i.Version, i.Deleted, body)
}

// checkConfirmed checks that a confirmed operation has taken effect at the index in its answer.
func (sim *simulation) checkConfirmed(c *call) {
	s := sim.states[c.result.Index-1]
	switch o := c.operation; o.Kind {
	case operation.ModifyConfig:
		for _, i := range o.Items {
			if !includes(s, i) {
				sim.fail("call %d is confirmed at number %d, where %s stands and not %s", c.tag, c.result.Index, describeItem(s.items[i.Key()]), describeItem(i))
			}
		}
	case operation.BeginRollout:
		for _, s := range sim.states[:c.result.Index] {
			if strings.Contains(string(s.items[config.Key{Kind: config.KindRollouts, Name: o.Name}].Body), `"`+o.TargetVersion+`"`) {
				return
			}
		}
		sim.fail("call %d began %s to %s, and that was never so", c.tag, o.Name, o.TargetVersion)
	}
}

// checkEvacuations checks that a zone stays as a client was answered, until another client wants it otherwise.
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
				sim.fail("call %d, which began at %.3f s, had zone %s evacuated %v at number %d, and at number %d it is otherwise, though all who wanted that had ended", c.tag, float64(c.startedAt)/1e9, c.operation.Name, c.operation.Active, c.result.Index, n)
			}
		}
	}
}

// checkOutcomes checks all answers at the end of a run: nothing that was refused has taken effect.
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
						sim.fail("call of order %d was refused (%s), and %s of it stands at number %d", copies.number, conflict, describeItem(i), n+1)
					}
				}
			case operation.BeginRollout:
				if strings.Contains(string(s.items[config.Key{Kind: config.KindRollouts, Name: copies.operation.Name}].Body), `"target":"`+copies.operation.TargetVersion+`"`) {
					sim.fail("order %d, a begin to %s, was refused each time and stands at number %d", copies.number, copies.operation.TargetVersion, n+1)
				}
			}
		}
	}
}

// checkLiveness checks what must hold long after the last fault.
func (sim *simulation) checkLiveness() {
	if len(sim.states) == 0 {
		sim.failLiveness("the first epoch was never decided%s", sim.describeMachines())
	}
	up := slices.DeleteFunc(slices.Clone(sim.machines), func(m *machine) bool { return !m.up })
	sim.checkCaughtUp(up)
	sim.checkMembersUp(up)
	sim.call(up[0], sim.operations[0]) // the service exists from here on
	sim.run(sim.now + second)
	for _, m := range up {
		sim.checkAnswers(m)
	}
}

// checkCaughtUp checks that all that are up have applied the last index.
func (sim *simulation) checkCaughtUp(up []*machine) {
	for _, m := range up {
		switch {
		case m.node.Applied() != uint64(len(sim.states)):
			sim.failLiveness("%s is not at number %d%s", m.ip, len(sim.states), sim.describeMachines())
		case !m.node.CaughtUp():
			sim.failLiveness("%s has not caught up%s", m.ip, sim.describeMachines())
		}
	}
}

// checkMembersUp checks that all members are up, and that each zone has minPerZone of them, or all that are up there.
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
			sim.failLiveness("zone %s has %d members, and %d are up there%s", zone, members[zone], live[zone], sim.describeMachines())
		}
	}
}

// checkAnswers checks that a process confirms an operation, and answers a read, within a second.
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
		sim.failLiveness("in the calm %s has not confirmed an order within 1 s: %v%s", m.ip, change.result, sim.describeMachines())
	}
	if !read.done || read.result.Kind != apierror.None {
		sim.failLiveness("in the calm %s has not answered a read within 1 s: %v%s", m.ip, read.result, sim.describeMachines())
	}
}

// describeMachines returns the state of all machines and the members, each on a line of its own.
func (sim *simulation) describeMachines() string {
	var text strings.Builder
	for _, m := range sim.machines {
		disk := m.node.HardState()
		fmt.Fprintf(&text, "\n%s %s up %v: %v, disk %v %v at %d, pending %d, reads %d, voted for %v", m.ip, disk.DiskID, m.up, m.node,
			disk.Promised, disk.Accepted, disk.AcceptedIndex, len(m.node.forwarder.pending), len(m.node.reads), membershipIn(disk.AcceptedValue))
	}
	fmt.Fprintf(&text, "\n%v", sim.membership())
	return text.String()
}
