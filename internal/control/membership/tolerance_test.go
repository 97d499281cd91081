package membership

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func listOfSize(n int) (l List) {
	l.Epoch = 1
	for i := range n {
		l.Members = append(l.Members, Member{IP: fmt.Sprint("10.0.0.", i), ID: fmt.Sprint("d", i), Zone: fmt.Sprint("z", i%3)})
	}
	return l
}

func TestTolerance(t *testing.T) {
	six, five, seven := listOfSize(6), listOfSize(5), listOfSize(7)
	one, two := []string{"10.0.0.5"}, []string{"10.0.0.4", "10.0.0.5"}
	type observation struct {
		at              int64
		l               List
		down            []string
		began, restored bool
		current         int
		lastOutage      int64
	}
	for name, observations := range map[string][]observation{
		"member lost and back":               {{1, six, nil, false, false, 2, 0}, {5, six, one, true, false, 1, 0}, {9, six, one, false, false, 1, 0}, {12, six, nil, false, true, 2, 7}},
		"lost member removed":                {{1, six, nil, false, false, 2, 0}, {5, six, one, true, false, 1, 0}, {7, five, nil, false, true, 2, 2}},
		"second loss during the first":       {{1, six, nil, false, false, 2, 0}, {5, six, one, true, false, 1, 0}, {6, six, two, false, false, 0, 0}, {8, six, one, false, false, 1, 0}, {9, six, nil, false, true, 2, 4}},
		"replacement added":                  {{1, six, nil, false, false, 2, 0}, {5, six, one, true, false, 1, 0}, {8, seven, one, false, true, 2, 3}, {9, six, nil, false, false, 2, 3}},
		"odd member removed for good":        {{1, seven, nil, false, false, 3, 0}, {5, six, nil, false, false, 2, 0}, {6, six, one, true, false, 1, 0}, {9, six, nil, false, true, 2, 3}},
		"first observed during a loss":       {{1, six, []string{"10.0.0.0", "10.0.0.1", "10.0.0.2", "10.0.0.3"}, false, false, -2, 0}, {2, six, one, true, false, 1, 0}, {4, six, nil, false, true, 2, 2}},
		"no list yet":                        {{1, List{}, nil, false, false, -1, 0}, {2, six, nil, false, false, 2, 0}},
		"lost member of an odd list removed": {{1, seven, nil, false, false, 3, 0}, {2, seven, one, true, false, 2, 0}, {5, six, nil, false, true, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var tolerance Tolerance
			for n, x := range observations {
				began, restored := tolerance.Observe(x.at, x.l, x.down)
				c.Check([]any{began, restored, tolerance.Current, tolerance.LastOutage}, qt.DeepEquals, []any{x.began, x.restored, x.current, x.lastOutage}, qt.Commentf("observation %d", n))
			}
		})
	}
}

// A removed member stays excluded until a member with its disk ID is added again. Beyond MaxExcluded entries the oldest is dropped.
func TestExcluded(t *testing.T) {
	c := qt.New(t)
	l := listOfSize(3)
	removed := l.Members[2]
	l = l.Change(nil, []string{removed.IP}).Exclude([]Member{removed})
	c.Check(l.Excludes(removed.ID), qt.IsTrue)
	l = l.Exclude([]Member{removed})
	c.Check(l.Excluded, qt.HasLen, 1)
	c.Check(FromItem(l.Item()).Excluded, qt.DeepEquals, []Member{removed})
	newDisk := removed
	newDisk.ID = "another disk"
	c.Check(l.Change([]Member{newDisk}, nil).Excludes(removed.ID), qt.IsTrue)
	c.Check(l.Change([]Member{removed}, nil).Excludes(removed.ID), qt.IsFalse)
	for i := range MaxExcluded {
		l = l.Exclude([]Member{{IP: "10.1.0.1", ID: fmt.Sprint("x", i)}})
	}
	c.Check(l.Excluded, qt.HasLen, MaxExcluded)
	c.Check(l.Excludes(removed.ID), qt.IsFalse)
}
