//go:build !race

package consensus

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"testing"
)

// forge sends a message that appears to come from a process that never sent it.
func (sim *simulation) forge(from, to *machine, epoch uint64, x Message) {
	x.Epoch, x.DiskID, x.Applied = epoch, from.hardState.DiskID, from.applied
	sim.deliver(from, to, func() { sim.step(to, Event{From: from.ip, Message: &x}) })
}

// mutants each break one rule that safety depends on, in the messages, on the disks or in how a process is run. Three rules are left to
// other tests, as random faults rarely or never reveal that they are broken: that no ballot is used by two incarnations to
// TestIncarnationsUseDistinctBallots, that promises are kept on disk to the exhaustive search, and that votes are reported only once they are
// on disk to TestVoteReportedAfterSync.
var mutants = map[string]mutant{
	"a wiped disk keeps its ID":                          {keepID: true},
	"a wiped disk keeps its ID and its founders":         {firstSeed: 530, keepFounders: true, keepID: true},
	"promises and votes are sent before they are synced": {unsynced: true},
	"reads do not query a quorum":                        {localReads: true},
	"votes are not written to disk":                      {hardState: func(d *HardState) { d.Accepted, d.AcceptedIndex, d.AcceptedValue = Ballot{}, 0, nil }},
	"promises do not report the vote": {message: func(_ *simulation, _, _ *machine, x *Message) bool {
		if x.Kind == Promise {
			x.Accepted, x.Value = Ballot{}, nil
		}
		return true
	}},
	"replies to reads do not report the vote": {message: func(_ *simulation, _, _ *machine, x *Message) bool {
		if x.Kind == ReadIndexReply {
			x.Index, x.Accepted = x.Applied, Ballot{}
		}
		return true
	}},
	"an acceptor that is behind promises and votes": {message: func(sim *simulation, from, to *machine, x *Message) bool {
		if (x.Kind == Prepare || x.Kind == Accept) && from != to && to.up && to.node.Applied()+1 < x.Index {
			kind := map[MessageKind]MessageKind{Prepare: Promise, Accept: Accepted}[x.Kind]
			sim.forge(to, from, x.Epoch, Message{Kind: kind, Index: x.Index, Ballot: x.Ballot})
			return false
		}
		return true
	}},
	"joining members count as votes for their membership change": {firstSeed: 450, message: func(sim *simulation, from, to *machine, x *Message) bool {
		if x.Kind == Accept {
			for _, m := range membershipIn(x.Value).Members {
				if o := sim.byIP[m.IP]; o != from && !from.node.Membership().Contains(m.IP, m.ID) {
					x := Message{Kind: Accepted, Index: x.Index, Ballot: x.Ballot, Epoch: x.Epoch, DiskID: m.ID}
					sim.deliver(o, from, func() { sim.step(from, Event{From: o.ip, Message: &x}) })
				}
			}
		}
		return true
	}},
	"a commit applies the vote of any ballot": {message: func(_ *simulation, _, to *machine, x *Message) bool {
		if x.Kind == Commit && to.up {
			x.Ballot = to.node.HardState().Accepted
		}
		return true
	}},
	"a rejection counts as a vote": {message: func(sim *simulation, from, to *machine, x *Message) bool {
		if x.Kind == Rejected {
			x.Kind, x.Ballot, x.Accepted = Accepted, x.Accepted, Ballot{}
		}
		return true
	}},
}

// Each rule is necessary: with one broken, some seed violates safety. Violations of liveness do not count, nor do those in the results
// of evacuations and of rejected operations, which depend on none of the rules.
func TestMutants(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(mutants)) {
		t.Run(name, func(t *testing.T) {
			runs, foundSeed, description, excluded := 0, uint64(0), "", 0
			simulateMany(cmp.Or(*firstSeed, mutants[name].firstSeed), max(*seeds, 400), mutants[name], func(seed uint64, sim *simulation, found *violation) bool {
				runs++
				if found != nil && (found.livenessOnly || strings.Contains(found.message, "evacuated") || strings.Contains(found.message, "was refused")) {
					excluded++
				} else if found != nil {
					foundSeed, description = seed, found.message
				}
				return description == ""
			})
			if description == "" {
				t.Fatalf("no violation in %d seeds, apart from %d that do not count", runs, excluded)
			}
			t.Logf("found by seed %d, after %d seeds: %.150s", foundSeed, runs, description)
		})
	}
}
