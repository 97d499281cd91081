package consensus

import (
	"fmt"
	"maps"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// A testCluster is a few processes whose messages come at once, in the order in which they are said, to whom they may come: what is
// told step by step, where a drawn world is told by chance.
type testCluster struct {
	now         int64
	ips         []string
	members     map[string]*testMember
	inFlight    []envelope
	deliverable func(from, to string, m Message) bool // whether a message comes; nil for all
	answers     map[uint64]Result
	lastTag     uint64
	minPerZone  int
}

type testMember struct {
	node         *Node
	member       membership.Member
	hardState    HardState
	items        map[config.Key]config.Item
	incarnations int
	up           bool
}

type envelope struct {
	from, to string
	message  Message
}

// newTestCluster has members 1 to n at number 1, in zones by turns, and as many learners that have the same.
func newTestCluster(members, learners, zones int) *testCluster {
	tc := &testCluster{now: 1000 * second, members: map[string]*testMember{}, answers: map[uint64]Result{}, lastTag: 100, minPerZone: 1}
	l := membership.List{Epoch: 1}
	for n := range members + learners {
		m := membership.Member{IP: fmt.Sprint(n + 1), ID: fmt.Sprintf("d%d", n+1), Name: fmt.Sprintf("c%d", n+1), Zone: fmt.Sprintf("z%d", n%zones)}
		if tc.ips = append(tc.ips, m.IP); n < members {
			l.Members = append(l.Members, m)
		}
		tc.members[m.IP] = &testMember{member: m, hardState: HardState{DiskID: m.ID, Applied: 1}, items: map[config.Key]config.Item{}}
	}
	service := item(config.KindServices, "desk", 1, `{"health-path":"/","name":"desk"}`)
	for _, s := range tc.members {
		s.items[membership.Key], s.items[service.Key()] = l.Item(), service
	}
	return tc
}

// start starts a process with what its disk holds, in a life of its own or in a named one.
func (tc *testCluster) start(ip, life string) {
	s := tc.members[ip]
	set := config.NewSet()
	for _, k := range slices.SortedFunc(maps.Keys(s.items), compareKeys) {
		set.Merge(s.items[k])
	}
	if s.incarnations++; life == "" {
		life = fmt.Sprintf("%s.%d", ip, s.incarnations)
	}
	s.node, s.up = New(s.member, life, tc.minPerZone, s.hardState, set, tc.now), true
}

// diskImage is what a disk holds, to be put back.
func (m *testMember) diskImage() (HardState, map[config.Key]config.Item) {
	return m.hardState, maps.Clone(m.items)
}

// setHeard has one process hear of another, or no more.
func (tc *testCluster) setHeard(ip, other string, heard bool) {
	if s, o := tc.members[ip], tc.members[other]; s.up && ip != other {
		if e := (Event{From: other, PeerLost: true}); !heard {
			tc.step(ip, e)
		} else if o.up {
			tc.step(ip, Event{From: other, Peer: &Peer{o.member, o.node.Membership().Epoch, o.node.Applied(), o.node.CaughtUp()}})
		}
	}
}

// step is one event of a process; its record is synced at once.
func (tc *testCluster) step(ip string, e Event) {
	s := tc.members[ip]
	if !s.up {
		return
	}
	e.Now, e.Random = tc.now, 0.5
	effects := s.node.Step(e)
	if effects.HardState != nil {
		s.hardState = *effects.HardState
		for _, i := range effects.SaveItems {
			s.items[i.Key()] = i
		}
		for _, k := range effects.DeleteKeys {
			delete(s.items, k)
		}
	}
	for _, all := range []map[string][]Message{effects.Send, effects.SendAfterSync} {
		for _, to := range slices.Sorted(maps.Keys(all)) {
			for _, m := range all[to] {
				tc.inFlight = append(tc.inFlight, envelope{ip, to, m})
			}
		}
	}
	for _, a := range effects.Answers {
		tc.answers[a.Tag] = a.Result
	}
}

// deliver brings all that is under way, and what comes of it.
func (tc *testCluster) deliver() {
	for len(tc.inFlight) > 0 {
		m := tc.inFlight[0]
		tc.inFlight = tc.inFlight[1:]
		if tc.members[m.from].up && tc.members[m.to] != nil && tc.members[m.to].up && (tc.deliverable == nil || m.from == m.to || tc.deliverable(m.from, m.to, m.message)) {
			tc.step(m.to, Event{From: m.from, Message: &m.message})
		}
	}
}

// run lets time pass: ticks every 50 ms, and all that may hear each other do.
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

// connectAll has all that are up hear each other.
func (tc *testCluster) connectAll() {
	for _, ip := range tc.ips {
		for _, other := range tc.ips {
			if ip != other && (tc.deliverable == nil || tc.deliverable(other, ip, Message{})) {
				tc.setHeard(ip, other, true)
			}
		}
	}
	tc.deliver()
}

// stop ends a process; others hear of it when they are told.
func (tc *testCluster) stop(ip string) { tc.members[ip].up = false }

// serviceOperation is an order that sets a service.
func serviceOperation(name string, v uint64, path string) operation.Operation {
	return operation.Operation{Kind: operation.ModifyConfig, Items: []config.Item{item(config.KindServices, name, v, fmt.Sprintf(`{"health-path":"/%s","name":"%s"}`, path, name))}}
}

// submit sends one to a process, and tells its tag.
func (tc *testCluster) submit(ip string, o operation.Operation) uint64 {
	tc.lastTag++
	tc.step(ip, Event{Operation: &o, Tag: tc.lastTag})
	tc.deliver()
	return tc.lastTag
}

// isConfirmed tells whether an order was.
func (tc *testCluster) isConfirmed(tag uint64) bool {
	r, there := tc.answers[tag]
	return there && r.Err() == nil
}

// serviceBody is what stands under a name at a process.
func (tc *testCluster) serviceBody(ip, name string) string {
	i, _ := tc.members[ip].node.Set.Lookup(config.Key{Kind: config.KindServices, Name: name})
	return string(i.Body)
}
