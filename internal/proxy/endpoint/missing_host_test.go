package endpoint

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
)

// A host that a snapshot doesn't name must get no requests until a change names it, even with the heartbeat that the table had before.
// If its owner reports it as unresponsive, draining or gone, it must still get none.
func TestHostMissingFromSnapshot(t *testing.T) {
	host := func(sequence uint64, unresponsive bool, state instance.State) update.Change {
		return update.Change{Instance: &instance.Instance{ID: "h", Service: "desk", Address: "10.0.0.1:1", Zone: "z0", Slots: 3, Sequence: sequence, Unresponsive: unresponsive, State: state, Owner: "a"}}
	}
	other := update.Change{Instance: &instance.Instance{ID: "x", Service: "desk", Zone: "z0", Slots: 3, Sequence: 9, Owner: "a"}}
	type step struct {
		changes  []update.Change
		snapshot bool
		want     decision.Health
		changed  bool // whether the service is reported as changed
	}
	for name, steps := range map[string][]step{
		"named by a later change":      {{[]update.Change{other}, true, decision.Draining, true}, {[]update.Change{host(1, false, instance.Ready)}, false, decision.Ready, true}},
		"named by the next snapshot":   {{[]update.Change{other}, true, decision.Draining, true}, {[]update.Change{other, host(1, false, instance.Ready)}, true, decision.Ready, true}},
		"named with a later heartbeat": {{[]update.Change{other}, true, decision.Draining, true}, {[]update.Change{host(4, false, instance.Ready)}, false, decision.Ready, true}},
		"missing from two snapshots":   {{[]update.Change{other}, true, decision.Draining, true}, {[]update.Change{other}, true, decision.Draining, false}, {[]update.Change{host(1, false, instance.Ready)}, false, decision.Ready, true}},
		"unresponsive, then back":      {{[]update.Change{host(1, true, instance.Ready)}, false, decision.Draining, true}, {[]update.Change{host(1, false, instance.Ready)}, false, decision.Draining, false}, {[]update.Change{host(2, false, instance.Ready)}, false, decision.Ready, true}},
		"missing, then unresponsive":   {{[]update.Change{other}, true, decision.Draining, true}, {[]update.Change{host(1, true, instance.Ready)}, false, decision.Draining, true}},
		"missing, then draining":       {{[]update.Change{other}, true, decision.Draining, true}, {[]update.Change{host(2, false, instance.Draining)}, false, decision.Draining, true}},
		"gone":                         {{[]update.Change{host(2, false, instance.Gone)}, false, decision.Gone, true}, {[]update.Change{host(1, false, instance.Ready)}, false, decision.Gone, false}},
		"named":                        {{[]update.Change{other, host(1, false, instance.Ready)}, true, decision.Ready, false}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table := NewTable("front", Location{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0"})
			table.Apply([]update.Change{other, host(1, false, instance.Ready)}, true)
			for n, x := range steps {
				got := table.Apply(x.changes, x.snapshot)
				c.Check(got.Services["desk"], qt.Equals, x.changed, qt.Commentf("step %d", n))
				for _, h := range table.Hosts("desk") {
					if h.Name == "h" {
						c.Check(h.Health, qt.Equals, x.want, qt.Commentf("step %d", n))
					} else {
						c.Check(h.Health, qt.Equals, decision.Ready)
					}
				}
			}
		})
	}
}

// A host that is unresponsive or missing for more than ten minutes must become gone, and a later change must add it again.
func TestRemoveStale(t *testing.T) {
	c := qt.New(t)
	table := NewTable("front", Location{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0"})
	hostChange := func(id string, sequence uint64, unresponsive bool) update.Change {
		return update.Change{Instance: &instance.Instance{ID: id, Service: "desk", Zone: "z0", Slots: 3, Sequence: sequence, Unresponsive: unresponsive, Owner: "a"}}
	}
	table.Apply([]update.Change{hostChange("back", 1, true), hostChange("missing", 1, false), hostChange("silent", 1, true), hostChange("well", 1, false)}, true)
	table.Apply([]update.Change{hostChange("back", 1, true), hostChange("silent", 1, true), hostChange("well", 1, false)}, true)
	const minute = int64(60e9)
	for n := range int64(11) {
		if n == 5 {
			table.Apply([]update.Change{hostChange("back", 2, false)}, false)
		}
		c.Check(table.RemoveStale(n*minute), qt.HasLen, 0, qt.Commentf("minute %d", n))
	}
	c.Check(table.RemoveStale(11*minute), qt.DeepEquals, map[string]bool{"desk": true})
	health := map[string]decision.Health{}
	for _, h := range table.Hosts("desk") {
		health[h.Name] = h.Health
	}
	c.Check(health, qt.DeepEquals, map[string]decision.Health{"back": decision.Ready, "missing": decision.Gone, "silent": decision.Gone, "well": decision.Ready})
	table.ForgetGone("desk")
	c.Check(table.RemoveStale(12*minute), qt.HasLen, 0)
	c.Check(len(table.Instances)+len(table.staleSince)+len(table.missing), qt.Equals, 2)
	c.Check(table.Apply([]update.Change{hostChange("silent", 7, false)}, false).Services["desk"], qt.IsTrue)
	c.Check(table.Hosts("desk"), qt.HasLen, 3)
}
