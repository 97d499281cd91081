package lanes

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/signals"
	"portflow/rules"
)

// A router moves to a control process that hasn't heard yet of a host that the former one has told of, and takes its snapshot: the host
// takes nothing. Once the process has heard of it and says so, it does again, also where it has had no later beat; what its owner says
// of it, that it is silent or gone, holds as before.
func TestHostMissingInASnapshot(t *testing.T) {
	host := func(sequence uint64, silent bool, state berths.State) signals.Note {
		return signals.Note{Host: &berths.Host{ID: "h", Service: "desk", Address: "10.0.0.1:1", Zone: "z0", Slots: 3, Sequence: sequence, Silent: silent, State: state, Owner: "a"}}
	}
	other := signals.Note{Host: &berths.Host{ID: "x", Service: "desk", Zone: "z0", Slots: 3, Sequence: 9, Owner: "a"}}
	type take struct {
		notes    []signals.Note
		snapshot bool
		want     rules.Health
		changed  bool // the service's hosts are to be looked at anew
	}
	for name, takes := range map[string][]take{
		"told a little later":        {{[]signals.Note{other}, true, rules.Draining, true}, {[]signals.Note{host(1, false, berths.Ready)}, false, rules.Ready, true}},
		"in the next snapshot":       {{[]signals.Note{other}, true, rules.Draining, true}, {[]signals.Note{other, host(1, false, berths.Ready)}, true, rules.Ready, true}},
		"told with a later beat":     {{[]signals.Note{other}, true, rules.Draining, true}, {[]signals.Note{host(4, false, berths.Ready)}, false, rules.Ready, true}},
		"missing twice":              {{[]signals.Note{other}, true, rules.Draining, true}, {[]signals.Note{other}, true, rules.Draining, false}, {[]signals.Note{host(1, false, berths.Ready)}, false, rules.Ready, true}},
		"silent by its owner's word": {{[]signals.Note{host(1, true, berths.Ready)}, false, rules.Draining, true}, {[]signals.Note{host(1, false, berths.Ready)}, false, rules.Draining, false}, {[]signals.Note{host(2, false, berths.Ready)}, false, rules.Ready, true}},
		"missing, then silent":       {{[]signals.Note{other}, true, rules.Draining, true}, {[]signals.Note{host(1, true, berths.Ready)}, false, rules.Draining, true}},
		"missing, then it leaves":    {{[]signals.Note{other}, true, rules.Draining, true}, {[]signals.Note{host(2, false, berths.Draining)}, false, rules.Draining, true}},
		"gone":                       {{[]signals.Note{host(2, false, berths.Gone)}, false, rules.Gone, true}, {[]signals.Note{host(1, false, berths.Ready)}, false, rules.Gone, false}},
		"named":                      {{[]signals.Note{other, host(1, false, berths.Ready)}, true, rules.Ready, false}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := NewBoard("front", Place{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0"})
			b.Take([]signals.Note{other, host(1, false, berths.Ready)}, true)
			for n, x := range takes {
				got := b.Take(x.notes, x.snapshot)
				c.Check(got.Services["desk"], qt.Equals, x.changed, qt.Commentf("step %d", n))
				for _, h := range b.Hosts("desk") {
					if h.Name == "h" {
						c.Check(h.Health, qt.Equals, x.want, qt.Commentf("step %d", n))
					} else {
						c.Check(h.Health, qt.Equals, rules.Ready)
					}
				}
			}
		})
	}
}

// A host that is silent or missing for ten minutes is taken for gone, and known anew by a later word.
func TestTidy(t *testing.T) {
	c := qt.New(t)
	b := NewBoard("front", Place{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0"})
	note := func(id string, sequence uint64, silent bool) signals.Note {
		return signals.Note{Host: &berths.Host{ID: id, Service: "desk", Zone: "z0", Slots: 3, Sequence: sequence, Silent: silent, Owner: "a"}}
	}
	b.Take([]signals.Note{note("back", 1, true), note("missing", 1, false), note("silent", 1, true), note("well", 1, false)}, true)
	b.Take([]signals.Note{note("back", 1, true), note("silent", 1, true), note("well", 1, false)}, true)
	const minute = int64(60e9)
	for n := range int64(11) {
		if n == 5 {
			b.Take([]signals.Note{note("back", 2, false)}, false)
		}
		c.Check(b.Tidy(n*minute), qt.HasLen, 0, qt.Commentf("minute %d", n))
	}
	c.Check(b.Tidy(11*minute), qt.DeepEquals, map[string]bool{"desk": true})
	health := map[string]rules.Health{}
	for _, h := range b.Hosts("desk") {
		health[h.Name] = h.Health
	}
	c.Check(health, qt.DeepEquals, map[string]rules.Health{"back": rules.Ready, "missing": rules.Gone, "silent": rules.Gone, "well": rules.Ready})
	b.Forget("desk")
	c.Check(b.Tidy(12*minute), qt.HasLen, 0)
	c.Check(len(b.Known)+len(b.quiet)+len(b.missing), qt.Equals, 2)
	c.Check(b.Take([]signals.Note{note("silent", 7, false)}, false).Services["desk"], qt.IsTrue)
	c.Check(b.Hosts("desk"), qt.HasLen, 3)
}
