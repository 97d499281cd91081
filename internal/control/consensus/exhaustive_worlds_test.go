//go:build !race

package consensus

import (
	"fmt"
	"strings"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// newcomer is the process that is not a member initially.
var newcomer = membership.Member{IP: "4", ID: "d", Name: "D", Zone: "4"}

// firstMembership returns the initial members of a world.
func firstMembership() membership.List {
	return membership.List{Epoch: 1, Members: allMembers()[:3]}
}

// allMembers returns all processes of a world.
func allMembers() (all []membership.Member) {
	for n, name := range []string{"A", "B", "C", "D"} {
		all = append(all, membership.Member{IP: fmt.Sprint(n + 1), ID: strings.ToLower(name), Name: name, Zone: fmt.Sprint(n + 1)})
	}
	return all
}

// worldPeers lists the peers of each process, by index. The second process is not connected to the first, so both propose.
var worldPeers = [][]int{{1, 2, 3}, {2, 3}, {0, 1}, {0, 1}}

// initialState returns the state in which a search begins: three members and a newcomer at index 1, membership changes submitted by
// process index, and two rival operations submitted to the first and second process.
func (sr *searcher) initialState(remaining budget, memberChanges map[int]operation.Operation) *searchState {
	state := &searchState{budget: remaining}
	items := []config.Item{firstMembership().Item(), item(config.KindServices, "desk", 1, `{"health-path":"/","name":"desk"}`)}
	for n, member := range allMembers() {
		state.processes[n] = sr.restart(n, process{hardState: HardState{DiskID: member.ID, Applied: 1}, items: items, now: 1000 * second})
	}
	for n := range 2 {
		if change, exists := memberChanges[n]; exists {
			state = sr.submit(state, n, change, 9, memberChangeDigest)
		}
		body := fmt.Sprintf(`{"health-path":"/%d","name":"gate"}`, n)
		rival := operation.Operation{Kind: operation.ModifyConfig, Items: []config.Item{item(config.KindServices, "gate", 1, body)}}
		state = sr.submit(state, n, rival, uint64(n+1), rivalDigest)
	}
	state.previous = nil
	return state
}

// submit returns the state after an operation is submitted to a process.
func (sr *searcher) submit(state *searchState, at int, op operation.Operation, tag, eventDigest uint64) *searchState {
	return sr.successor(state, transition{
		at:          at,
		target:      state.processes[at],
		event:       Event{Operation: &op, Tag: tag},
		eventDigest: eventDigest,
		powered:     true,
	})
}

// membershipChange returns an operation that adds a member and removes others.
func membershipChange(add membership.Member, remove ...string) operation.Operation {
	return operation.Operation{Kind: operation.ChangeMembers, Add: []membership.Member{add}, Remove: remove}
}

// worlds are the searched worlds, with the events that may happen in each and the membership changes submitted, by process index.
var worlds = map[string]struct {
	limits        budget
	memberChanges map[int]operation.Operation
}{
	"rivals":                                        {budget{ticks: 2}, nil},
	"rivals and power loss":                         {budget{ticks: 1, powerLosses: 2}, nil},
	"rivals and a wipe":                             {budget{ticks: 1, wipes: 1}, nil},
	"replace a member":                              {budget{ticks: 1}, map[int]operation.Operation{0: membershipChange(newcomer, "3")}},
	"replace the other proposer":                    {budget{ticks: 1}, map[int]operation.Operation{0: membershipChange(newcomer, "2")}},
	"add a member, and a wipe":                      {budget{ticks: 1, wipes: 1}, map[int]operation.Operation{0: membershipChange(newcomer)}},
	"two membership changes":                        {budget{ticks: 1}, map[int]operation.Operation{0: membershipChange(newcomer, "3"), 1: membershipChange(newcomer, "1")}},
	"two membership changes, power loss and a wipe": {budget{ticks: 1, powerLosses: 1, wipes: 1}, map[int]operation.Operation{0: membershipChange(newcomer, "3"), 1: membershipChange(newcomer, "1")}},
}
