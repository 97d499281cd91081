package registry

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/update"
	"portflow/internal/control/operation"
)

// recordDeparture applies the record of a host's departure as a decided change.
func (s *State) recordDeparture(id string) {
	items := operation.RecordDeparture(id).Items
	s.Set.Apply(items)
	s.Publish(0, items, true)
}

// published returns the last published state of a host, and whether it is sent to other control processes too.
func (s *State) published(id string) (host instance.Instance, firstHand bool) {
	changes, _ := s.Updates.After(0)
	for _, change := range changes {
		if change.Instance != nil && change.Instance.ID == id {
			host, firstHand = *change.Instance, change.FirstHand
		}
	}
	return host, firstHand
}

func readyHost(sequence uint64, owner string) instance.Instance {
	return instance.Instance{ID: "h", Service: "desk", Address: "10.0.0.1:1", Zone: "z0", Sequence: sequence, Owner: owner}
}

// Guards against a control process without memory of a host taking a heartbeat of before its recorded departure for one of a ready host.
func TestLateHeartbeatOfUnknownHost(t *testing.T) {
	c := qt.New(t)
	s := newState(3, true)
	s.recordDeparture("h")
	c.Check(s.HasDeparted("h"), qt.IsTrue)
	c.Check(s.HasDeparted("other"), qt.IsFalse)
	host, changed := s.Heartbeat(0, readyHost(9, ""))
	c.Check(changed, qt.IsTrue)
	c.Check(host.State, qt.Equals, instance.Draining)
	host, _ = s.Heartbeat(0, instance.Instance{ID: "other", Sequence: 1})
	c.Check(host.State, qt.Equals, instance.Ready)
}

// Guards against a control process that missed a departure, as it was partitioned, going on to use the host once it learns of the record.
func TestRecordDrainsKnownHost(t *testing.T) {
	c := qt.New(t)
	s := newState(3, true)
	s.Heartbeat(0, readyHost(9, ""))
	s.recordDeparture("h")
	host, firstHand := s.published("h")
	c.Check(host.State, qt.Equals, instance.Draining)
	c.Check(firstHand, qt.IsFalse)
	host, changed := s.Heartbeat(0, readyHost(10, ""))
	c.Check(host.State, qt.Equals, instance.Draining)
	c.Check(changed, qt.IsFalse)
}

// Guards against a control process of a release without records, or one that restarted, announcing a departed host as ready: its state is
// corrected here, and it is sent the corrected state.
func TestPeerThatForgotIsCorrected(t *testing.T) {
	for name, prepare := range map[string]func(s *State){
		"recorded, host unknown": func(s *State) { s.recordDeparture("h") },
		"recorded, host known":   func(s *State) { s.Merge(0, announce(readyHost(12, "b1"))); s.recordDeparture("h") },
		"not recorded, host gone": func(s *State) {
			gone := readyHost(12, "b1")
			gone.State = instance.Gone
			s.Merge(0, announce(gone))
		},
	} {
		c := qt.New(t)
		s := newState(3, true)
		prepare(s)
		s.Merge(0, announce(readyHost(9, "b1")))
		host, firstHand := s.published("h")
		c.Check(host.State, qt.Not(qt.Equals), instance.Ready, qt.Commentf(name))
		c.Check(firstHand, qt.IsTrue, qt.Commentf(name))
		sender := newState(3, true)
		sender.Self.Name = "b1"
		sender.Instances = instance.NewTable("b1", 1300e6)
		sender.Heartbeat(0, readyHost(9, ""))
		sender.Merge(0, announce(host))
		c.Check(sender.Instances.Lookup("h").State, qt.Equals, host.State, qt.Commentf(name))
	}
}

func announce(host instance.Instance) update.Change { return update.Change{Instance: &host} }

// Records of departures are not sent to proxies, which are sent the hosts.
func TestDeparturesNotInSnapshots(t *testing.T) {
	c := qt.New(t)
	s := newState(3, true)
	s.recordDeparture("h")
	for _, changes := range [][]update.Change{s.Snapshot(0, false), s.ChunkedSnapshot(0)} {
		for _, change := range changes {
			c.Check(change.Item == nil || change.Item.Kind != config.KindDepartures, qt.IsTrue)
		}
	}
	c.Check(s.Set.Departures(), qt.Equals, 1)
}

// Departures don't count towards the tombstones above which a snapshot has none.
func TestDroppedNamesInSnapshotWithManyDepartures(t *testing.T) {
	c := qt.New(t)
	s := newState(3, true)
	s.Set.Merge(config.Item{Kind: config.KindRoutes, Name: "dropped", Version: 2, Deleted: true})
	for n := range maxSnapshotTombstones + 1 {
		s.recordDeparture(fmt.Sprint("h", n))
	}
	c.Check(s.Set.DroppedNames(), qt.Equals, 1)
	dropped := func(change update.Change) bool { return change.Item != nil && change.Item.Name == "dropped" }
	c.Check(slices.ContainsFunc(s.ChunkedSnapshot(0), dropped), qt.IsTrue)
}
