//go:build !race

package consensus

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"testing"
)

// forge sends a message in the name of a process that never sent it.
func (sim *simulation) forge(from, to *machine, epoch uint64, x Message) {
	x.Epoch, x.DiskID, x.Applied = epoch, from.hardState.DiskID, from.applied
	sim.deliver(from, to, func() { sim.step(to, Event{From: from.ip, Message: &x}) })
}

// mutants each break a rule, in what carries the messages and keeps the disks. That two incarnations use the same ballots is found by none
// of 4,000 seeds, but by TestTwoIncarnationsOneBallot; promises that aren't kept on disk are found by the exhaustive search, and votes that
// are reported too early by TestVoteReportedOnceOnDisk, and rarely here.
var mutants = map[string]mutant{
	"a wiped disk is the same member still":              {keepID: true},
	"a wiped disk is a founder still":                    {firstSeed: 530, keepFounders: true, keepID: true},
	"promises and votes are sent before they are synced": {unsynced: true},
	"reads ask nobody":                                   {localReads: true},
	"votes aren't kept on disk":                          {hardState: func(d *HardState) { d.Accepted, d.AcceptedIndex, d.AcceptedValue = Ballot{}, 0, nil }},
	"a promise tells of no vote": {message: func(_ *simulation, _, _ *machine, x *Message) bool {
		if x.Kind == Promise {
			x.Accepted, x.Value = Ballot{}, nil
		}
		return true
	}},
	"a read is answered with what is applied, not what is voted on": {message: func(_ *simulation, _, _ *machine, x *Message) bool {
		if x.Kind == ReadIndexReply {
			x.Index, x.Accepted = x.Applied, Ballot{}
		}
		return true
	}},
	"one that is behind promises and votes": {message: func(sim *simulation, from, to *machine, x *Message) bool {
		if (x.Kind == Prepare || x.Kind == Accept) && from != to && to.up && to.node.Applied()+1 < x.Index {
			kind := map[MessageKind]MessageKind{Prepare: Promise, Accept: Accepted}[x.Kind]
			sim.forge(to, from, x.Epoch, Message{Kind: kind, Index: x.Index, Ballot: x.Ballot})
			return false
		}
		return true
	}},
	"those who come in need not take the list over": {firstSeed: 450, message: func(sim *simulation, from, to *machine, x *Message) bool {
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
	"a commit is taken for whatever was voted for": {message: func(_ *simulation, _, to *machine, x *Message) bool {
		if x.Kind == Commit && to.up {
			x.Ballot = to.node.HardState().Accepted
		}
		return true
	}},
	"a ballot that was promised away is voted for": {message: func(sim *simulation, from, to *machine, x *Message) bool {
		if x.Kind == Rejected {
			x.Kind, x.Ballot, x.Accepted = Accepted, x.Accepted, Ballot{}
		}
		return true
	}},
}

// Each rule is needed: with one broken, some seed finds that what was decided, confirmed or read does not hold. Violations of liveness
// don't count here, nor those of the answers to operations that depend on none of the rules.
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
				t.Fatalf("%d seeds find nothing, %d violate liveness", runs, excluded)
			}
			t.Logf("found by seed %d, after %d seeds: %.150s", foundSeed, runs, description)
		})
	}
}
