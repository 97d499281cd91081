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

// decidedState is the set as it was at a number.
type decidedState struct {
	sum       uint64
	items     map[config.Key]config.Item
	reachedAt int64
}

// violation is a fault that was found. It is unsafe, or else something that should have come to its end did not.
type violation struct {
	message      string
	livenessOnly bool
}

func (b *violation) String() string {
	if b == nil {
		return ""
	}
	return b.message
}

func (sim *simulation) fail(format string, args ...any) {
	panic(&violation{fmt.Sprintf("at %.3f s: ", float64(sim.now)/1e9) + fmt.Sprintf(format, args...), false})
}

// failLiveness is for what should have come to its end.
func (sim *simulation) failLiveness(format string, args ...any) {
	panic(&violation{fmt.Sprintf("at %.3f s: ", float64(sim.now)/1e9) + fmt.Sprintf(format, args...), true})
}

// checkState holds a process against what was ever decided.
func (sim *simulation) checkState(m *machine) {
	n, sum := m.node.Applied(), m.node.Set.Checksum()
	if n < m.applied {
		sim.fail("%s went back from %d to %d", m.ip, m.applied, n)
	}
	m.applied = n
	sim.trace = sim.trace*1099511628211 ^ n ^ sum ^ uint64(sim.now)
	switch {
	case n == 0:
		return
	case n > uint64(len(sim.states)+1):
		sim.fail("%s has number %d, and nobody has had %d", m.ip, n, n-1)
	case n <= uint64(len(sim.states)):
		if s := sim.states[n-1]; s.sum != sum {
			sim.fail("%s has another set at number %d: %v, first was %v", m.ip, n, m.node.Set.All(), s.items)
		}
		return
	}
	s := decidedState{sum, map[config.Key]config.Item{}, sim.now}
	for _, i := range m.node.Set.All() {
		s.items[i.Key()] = i
	}
	sim.states = append(sim.states, s)
	delete(sim.proposedMemberships, n)
	sim.tally["numbers"]++
	l := m.node.Membership()
	raw, _ := json.Marshal(l)
	if was, there := sim.membershipByEpoch[l.Epoch]; there && was != string(raw) {
		sim.fail("two lists of epoch %d: %s and %s", l.Epoch, was, raw)
	} else if !there {
		sim.membershipByEpoch[l.Epoch] = string(raw)
		sim.tally["lists"]++
	}
	if n > 1 {
		sim.checkTransition(sim.states[n-2], s, n)
	}
}

// checkTransition holds one state against the one before.
func (sim *simulation) checkTransition(before, after decidedState, n uint64) {
	for k, i := range before.items {
		if j, there := after.items[k]; !there || j.Version < i.Version || j.Version == i.Version && !j.Equal(i) {
			sim.fail("at number %d %s follows on %s", n, describeItem(j), describeItem(i))
		}
	}
	// a call stands as a whole
	for k, i := range after.items {
		if !before.items[k].Equal(i) {
			sim.log("%.3f number %d: %s", float64(sim.now)/1e9, n, describeItem(i))
		}
		if i.Deleted || before.items[k].Equal(i) { // drops of many calls are alike
			continue
		}
		for _, g := range sim.operations {
			if g.operation.Kind != operation.ModifyConfig || !slices.ContainsFunc(g.operation.Items, func(x config.Item) bool { return x.Equal(i) }) {
				continue
			}
			for _, x := range g.operation.Items {
				if !holds(after, x) {
					sim.fail("at number %d %s came into force, and %s of the same call did not", n, describeItem(i), describeItem(x))
				}
			}
		}
	}
}

// survivesLoss tells whether the core can lose a machine's disk: under the list that holds, under any that may yet be decided, and
// under the one before as long as no other disk has the change of it.
func (sim *simulation) survivesLoss(m *machine) bool {
	lists := []membership.List{sim.membership()}
	for _, more := range sim.proposedMemberships {
		lists = append(lists, more...)
	}
	// who comes in may have been proposed by one that hasn't heard of its loss yet
	available := slices.DeleteFunc(slices.Clone(sim.lostDisks), func(x lostDisk) bool { return sim.now-x.at > 5*second })
	for _, o := range sim.machines {
		if !o.removed {
			available = append(available, lostDisk{membership.Member{IP: o.ip, ID: o.hardState.DiskID}, 0})
		}
	}
	all := membership.List{Members: slices.Clone(lists[0].Members)}
	for _, x := range available {
		if !slices.ContainsFunc(all.Members, func(y membership.Member) bool { return y.IP == x.IP }) {
			all.Members = append(all.Members, x.Member)
		}
	}
	lists = append(lists, all)
	for n := len(sim.states); n > 0; n-- {
		if slices.ContainsFunc(sim.machines, func(o *machine) bool {
			return o != m && !o.removed && o.hardState.Applied >= uint64(n) && lists[0].Contains(o.ip, o.hardState.DiskID)
		}) {
			break
		}
		lists = append(lists, sim.membershipAt(n-1))
	}
	for _, l := range lists {
		n := 0
		for _, x := range l.Members {
			if o := sim.byIP[x.IP]; o != m && o.hardState.DiskID == x.ID && !o.removed {
				n++
			}
		}
		if n < l.Majority() {
			return false
		}
	}
	return true
}

// holds tells whether an item, or a later one in its place, is in a state.
func holds(s decidedState, i config.Item) bool {
	now, there := s.items[i.Key()]
	return there && (now.Version > i.Version || now.Equal(i))
}

// membership is the newest list that was decided.
func (sim *simulation) membership() membership.List { return sim.membershipAt(len(sim.states)) }

// membershipAt is the list at a number; before the first, the founders.
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

func describeItem(i config.Item) string {
	body := string(i.Body)
	if at := strings.Index(body, `,"host-name`); at > 0 {
		body = body[:at]
	}
	return fmt.Sprintf("%s %s version %d dropped %v %s", i.Kind, i.Name, i.Version, i.Deleted, body)
}

// checkConfirmed looks whether an order stands at the number that its caller was told.
func (sim *simulation) checkConfirmed(c *call) {
	s := sim.states[c.result.Index-1]
	switch o := c.operation; o.Kind {
	case operation.ModifyConfig:
		for _, i := range o.Items {
			if !holds(s, i) {
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

// checkEvacuations looks whether a zone stays as somebody was told, until somebody else wants it otherwise.
func (sim *simulation) checkEvacuations() {
	var all []*call
	for _, g := range sim.operations {
		if g.operation.Kind == operation.Evacuate {
			all = append(all, g.calls...)
		}
	}
	for _, c := range all {
		if !c.done || c.result.Kind != apierror.None {
			continue
		}
		for n := c.result.Index; n <= uint64(len(sim.states)); n++ {
			i := sim.states[n-1].items[config.Key{Kind: config.KindEvacuations, Name: c.operation.Name}]
			begun := strings.Contains(string(i.Body), "true")
			if begun != c.operation.Active && !slices.ContainsFunc(all, func(d *call) bool {
				return d.operation.Name == c.operation.Name && d.operation.Active == begun && (!d.done || d.result.Kind == apierror.Unavailable || d.endedAt >= c.startedAt)
			}) {
				sim.fail("call %d, which began at %.3f s, had zone %s evacuated %v at number %d, and at number %d it is otherwise, though all who wanted that had ended", c.tag, float64(c.startedAt)/1e9, c.operation.Name, c.operation.Active, c.result.Index, n)
			}
		}
	}
}

// checkOutcomes looks over all that was told, once the day is over.
func (sim *simulation) checkOutcomes() {
	sim.checkEvacuations()
	for _, g := range sim.operations {
		definite, no := len(g.calls) > 0, ""
		for _, c := range g.calls {
			switch {
			case !c.done || c.result.Kind == apierror.None || c.result.Kind == apierror.Unavailable:
				definite = false
			case c.result.Kind == apierror.Conflict:
				no = c.result.Reason
			}
		}
		if !definite && no == "" {
			continue
		}
		for n, s := range sim.states {
			switch g.operation.Kind {
			case operation.ModifyConfig:
				for _, i := range g.operation.Items {
					if !i.Deleted && s.items[i.Key()].Equal(i) {
						sim.fail("call of order %d was refused (%s), and %s of it stands at number %d", g.number, no, describeItem(i), n+1)
					}
				}
			case operation.BeginRollout:
				if strings.Contains(string(s.items[config.Key{Kind: config.KindRollouts, Name: g.operation.Name}].Body), `"target":"`+g.operation.TargetVersion+`"`) {
					sim.fail("order %d, a begin to %s, was refused each time and stands at number %d", g.number, g.operation.TargetVersion, n+1)
				}
			}
		}
	}
}

// checkLiveness asks what must be so once nothing has harmed for long.
func (sim *simulation) checkLiveness() {
	up := slices.DeleteFunc(slices.Clone(sim.machines), func(m *machine) bool { return !m.up })
	all := func(what string) string {
		s := what
		for _, m := range sim.machines {
			s += fmt.Sprintf("\n%s %s up %v: %v, disk %v %v at %d, waits %d, reads %d, voted for %v", m.ip, m.node.HardState().DiskID, m.up, m.node, m.node.HardState().Promised, m.node.HardState().Accepted, m.node.HardState().AcceptedIndex, len(m.node.forwarder.pending), len(m.node.reads), membershipIn(m.node.HardState().AcceptedValue))
		}
		return s + fmt.Sprintf("\n%v", sim.membership())
	}
	if len(sim.states) == 0 {
		sim.failLiveness("%s", all("the core never began"))
	}
	for _, m := range up {
		switch {
		case m.node.Applied() != uint64(len(sim.states)):
			sim.failLiveness(all("%s is not at number %d"), m.ip, len(sim.states))
		case !m.node.CaughtUp():
			sim.failLiveness(all("%s is not whole"), m.ip)
		}
	}
	// the members live, and each zone has as many of them as there are to be, or all that live there; others stand by
	count, live := map[string]int{}, map[string]int{}
	for _, m := range up {
		if live[m.zone]++; m.node.IsMember() {
			count[m.zone]++
		}
	}
	for _, x := range sim.membership().Members {
		if m := sim.byIP[x.IP]; !m.up || m.hardState.DiskID != x.ID {
			sim.failLiveness(all("member %s %s doesn't live"), x.IP, x.ID)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(live)) {
		if count[zone] < min(live[zone], sim.minPerZone) {
			sim.failLiveness(all("zone %s has %d members, and %d live there"), zone, count[zone], live[zone])
		}
	}
	sim.call(up[0], sim.operations[0]) // the service stands from here on, as is looked at below
	sim.run(sim.now + second)
	for _, m := range up {
		g := &operationCopies{number: len(sim.operations)}
		g.operation = operation.Operation{Kind: operation.ModifyConfig}
		sim.version++
		g.operation.Items = []config.Item{item(config.KindRoutes, fmt.Sprintf("q%d", m.id), sim.version, fmt.Sprintf(`{"host-name":"q%d.example","name":"q%d","path-prefix":"/","route-kind":"safe_method","service":"desk","timeout-s":1}`, m.id, m.id))}
		sim.operations = append(sim.operations, g)
		c, r := sim.call(m, g), sim.call(m, nil)
		sim.run(sim.now + second)
		if !c.done || c.result.Kind != apierror.None {
			sim.failLiveness(all("in the calm %s has not confirmed an order within 1 s: %v"), m.ip, c.result)
		}
		if !r.done || r.result.Kind != apierror.None {
			sim.failLiveness(all("in the calm %s has not answered a read within 1 s: %v"), m.ip, r.result)
		}
	}
}
