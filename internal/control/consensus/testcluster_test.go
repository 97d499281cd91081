package consensus

import (
	"fmt"
	"maps"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// testCluster runs a few processes in tests that control each step, whereas a simulation is random. Messages arrive without delay in the
// order of sending, unless deliverable drops them.
type testCluster struct {
	now         int64
	ips         []string
	members     map[string]*testMember
	inFlight    []envelope
	deliverable func(from, to string, m Message) bool // reports whether a message arrives; nil if all do
	answers     map[uint64]Result                     // by tag
	lastTag     uint64
	minPerZone  int
}

// testMember is a process of a testCluster, a member or a learner, with its disk.
type testMember struct {
	node         *Node
	member       membership.Member
	hardState    HardState
	items        map[config.Key]config.Item
	incarnations int
	up           bool
}

// envelope is a message in flight.
type envelope struct {
	from, to string
	message  Message
}

// newTestCluster returns a cluster of members with the IP addresses "1", "2" and so on, followed by learners, assigned to the zones
// round-robin. All disks hold index 1, and no process is started.
func newTestCluster(members, learners, zones int) *testCluster {
	tc := &testCluster{now: 1000 * second, members: map[string]*testMember{}, answers: map[uint64]Result{}, lastTag: 100, minPerZone: 1}
	list := membership.List{Epoch: 1}
	for n := range members + learners {
		m := membership.Member{IP: fmt.Sprint(n + 1), ID: fmt.Sprintf("d%d", n+1), Name: fmt.Sprintf("c%d", n+1), Zone: fmt.Sprintf("z%d", n%zones)}
		tc.ips = append(tc.ips, m.IP)
		if n < members {
			list.Members = append(list.Members, m)
		}
		tc.members[m.IP] = &testMember{member: m, hardState: HardState{DiskID: m.ID, Applied: 1}, items: map[config.Key]config.Item{}}
	}
	service := item(config.KindServices, "desk", 1, `{"health-path":"/","name":"desk"}`)
	for _, member := range tc.members {
		member.items[membership.Key], member.items[service.Key()] = list.Item(), service
	}
	return tc
}

// start starts a process from the state on its disk. If incarnation is empty, a new one is assigned.
func (tc *testCluster) start(ip, incarnation string) {
	member := tc.members[ip]
	set := setOf(member.items)
	member.incarnations++
	if incarnation == "" {
		incarnation = fmt.Sprintf("%s.%d", ip, member.incarnations)
	}
	member.node = New(member.member, incarnation, tc.minPerZone, member.hardState, set, tc.now)
	member.up = true
}

// setOf returns a set of items, merged in the order of their keys.
func setOf(items map[config.Key]config.Item) *config.Set {
	set := config.NewSet()
	for _, key := range slices.SortedFunc(maps.Keys(items), compareKeys) {
		set.Merge(items[key])
	}
	return set
}

// diskImage returns a copy of the state on the disk.
func (m *testMember) diskImage() (HardState, map[config.Key]config.Item) {
	return m.hardState, maps.Clone(m.items)
}

// setConnected notifies a process that another one is connected, or that the connection to it is lost. The other is not notified.
func (tc *testCluster) setConnected(ip, other string, connected bool) {
	peer := tc.members[other]
	switch {
	case ip == other || !tc.members[ip].up:
	case !connected:
		tc.step(ip, Event{From: other, PeerLost: true})
	case peer.up:
		status := Peer{peer.member, peer.node.Membership().Epoch, peer.node.Applied(), peer.node.CaughtUp()}
		tc.step(ip, Event{From: other, Peer: &status})
	}
}

// step has a process handle an event. Its write is synced without delay.
func (tc *testCluster) step(ip string, e Event) {
	member := tc.members[ip]
	if !member.up {
		return
	}
	e.Now, e.Random = tc.now, 0.5
	effects := member.node.Step(e)
	member.write(effects)
	tc.send(ip, effects.Send)
	tc.send(ip, effects.SendAfterSync)
	for _, answer := range effects.Answers {
		tc.answers[answer.Tag] = answer.Result
	}
}

// write applies the write of a step to the disk.
func (m *testMember) write(effects Effects) {
	if effects.HardState == nil {
		return
	}
	m.hardState = *effects.HardState
	for _, item := range effects.SaveItems {
		m.items[item.Key()] = item
	}
	for _, key := range effects.DeleteKeys {
		delete(m.items, key)
	}
}

// send puts messages in flight, in the order of their receivers.
func (tc *testCluster) send(from string, messages map[string][]Message) {
	for _, to := range slices.Sorted(maps.Keys(messages)) {
		for _, m := range messages[to] {
			tc.inFlight = append(tc.inFlight, envelope{from, to, m})
		}
	}
}

// deliver delivers all messages in flight, and those sent in response.
func (tc *testCluster) deliver() {
	for len(tc.inFlight) > 0 {
		m := tc.inFlight[0]
		tc.inFlight = tc.inFlight[1:]
		if tc.arrives(m) {
			tc.step(m.to, Event{From: m.from, Message: &m.message})
		}
	}
}

// arrives reports whether a message arrives: both processes are up, and the test lets it through.
func (tc *testCluster) arrives(m envelope) bool {
	to := tc.members[m.to]
	if !tc.members[m.from].up || to == nil || !to.up {
		return false
	}
	return tc.deliverable == nil || m.from == m.to || tc.deliverable(m.from, m.to, m.message)
}

// run advances time by span, with a tick at every process each 50 ms. Every 500 ms it connects all that deliverable allows.
func (tc *testCluster) run(span int64) {
	for until := tc.now + span; tc.now < until; tc.now += 50 * ms {
		for _, ip := range tc.ips {
			tc.step(ip, Event{Tick: true})
		}
		tc.deliver()
		if tc.now%(500*ms) == 0 {
			tc.connectAll()
		}
	}
}

// connectAll connects all running processes that deliverable allows to connect.
func (tc *testCluster) connectAll() {
	for _, ip := range tc.ips {
		for _, other := range tc.ips {
			if ip != other && (tc.deliverable == nil || tc.deliverable(other, ip, Message{})) {
				tc.setConnected(ip, other, true)
			}
		}
	}
	tc.deliver()
}

// stop terminates a process. The others are not notified; see setConnected.
func (tc *testCluster) stop(ip string) { tc.members[ip].up = false }

// serviceOperation returns an operation that sets a service with path as its health path.
func serviceOperation(name string, v uint64, path string) operation.Operation {
	return operation.Operation{Kind: operation.ModifyConfig, Items: []config.Item{item(config.KindServices, name, v, fmt.Sprintf(`{"health-path":"/%s","name":"%s"}`, path, name))}}
}

// submit submits an operation to a process, delivers the messages that result, and returns its tag.
func (tc *testCluster) submit(ip string, o operation.Operation) uint64 {
	tc.lastTag++
	tc.step(ip, Event{Operation: &o, Tag: tc.lastTag})
	tc.deliver()
	return tc.lastTag
}

// isConfirmed reports whether an operation was answered with success.
func (tc *testCluster) isConfirmed(tag uint64) bool {
	result, answered := tc.answers[tag]
	return answered && result.Err() == nil
}

// serviceBody returns the encoded service as applied at a process, or "" if it does not exist.
func (tc *testCluster) serviceBody(ip, name string) string {
	i, _ := tc.members[ip].node.Set.Lookup(config.Key{Kind: config.KindServices, Name: name})
	return string(i.Body)
}
