package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Ballots are totally ordered, by number and then by proposer.
func TestBallotOrder(t *testing.T) {
	ordered := []Ballot{{}, {0, "a"}, {1, ""}, {1, "a"}, {1, "b"}, {2, "a"}, {10, "a"}}
	for i, a := range ordered {
		for j, b := range ordered {
			qt.Check(t, a.Less(b), qt.Equals, i < j, qt.Commentf("%v and %v", a, b))
		}
	}
}
