package muster

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func listOf(n int) (l List) {
	l.Epoch = 1
	for i := range n {
		l.Members = append(l.Members, Member{IP: fmt.Sprint("10.0.0.", i), ID: fmt.Sprint("d", i), Zone: fmt.Sprint("z", i%3)})
	}
	return l
}

func TestMargin(t *testing.T) {
	six, five, seven := listOf(6), listOf(5), listOf(7)
	one, two := []string{"10.0.0.5"}, []string{"10.0.0.4", "10.0.0.5"}
	type look struct {
		at          int64
		l           List
		down        []string
		began, over bool
		now         int
		last        int64
	}
	for name, looks := range map[string][]look{
		"lost and back":                 {{1, six, nil, false, false, 2, 0}, {5, six, one, true, false, 1, 0}, {9, six, one, false, false, 1, 0}, {12, six, nil, false, true, 2, 7}},
		"lost and voted out":            {{1, six, nil, false, false, 2, 0}, {5, six, one, true, false, 1, 0}, {7, five, nil, false, true, 2, 2}},
		"a second loss meanwhile":       {{1, six, nil, false, false, 2, 0}, {5, six, one, true, false, 1, 0}, {6, six, two, false, false, 0, 0}, {8, six, one, false, false, 1, 0}, {9, six, nil, false, true, 2, 4}},
		"a new one in its place":        {{1, six, nil, false, false, 2, 0}, {5, six, one, true, false, 1, 0}, {8, seven, one, false, true, 2, 3}, {9, six, nil, false, false, 2, 3}},
		"an odd one let go for good":    {{1, seven, nil, false, false, 3, 0}, {5, six, nil, false, false, 2, 0}, {6, six, one, true, false, 1, 0}, {9, six, nil, false, true, 2, 3}},
		"it starts during a loss":       {{1, six, []string{"10.0.0.0", "10.0.0.1", "10.0.0.2", "10.0.0.3"}, false, false, -2, 0}, {2, six, one, true, false, 1, 0}, {4, six, nil, false, true, 2, 2}},
		"no list yet":                   {{1, List{}, nil, false, false, -1, 0}, {2, six, nil, false, false, 2, 0}},
		"a loss that an even one bears": {{1, seven, nil, false, false, 3, 0}, {2, seven, one, true, false, 2, 0}, {5, six, nil, false, true, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var m Margin
			for n, x := range looks {
				began, over := m.See(x.at, x.l, x.down)
				c.Check([]any{began, over, m.Now, m.Last}, qt.DeepEquals, []any{x.began, x.over, x.now, x.last}, qt.Commentf("look %d", n))
			}
		})
	}
}

// Who is let go is held out until it comes in again, by its disk; beyond the bound the first is forgotten.
func TestHeld(t *testing.T) {
	c := qt.New(t)
	l := listOf(3)
	gone := l.Members[2]
	l = l.Join(nil, []string{gone.IP}).Hold([]Member{gone})
	c.Check(l.Holds(gone.ID), qt.IsTrue)
	l = l.Hold([]Member{gone})
	c.Check(l.Held, qt.HasLen, 1)
	c.Check(Read(l.Item()).Held, qt.DeepEquals, []Member{gone})
	anew := gone
	anew.ID = "another disk"
	c.Check(l.Join([]Member{anew}, nil).Holds(gone.ID), qt.IsTrue)
	c.Check(l.Join([]Member{gone}, nil).Holds(gone.ID), qt.IsFalse)
	for i := range MostHeld {
		l = l.Hold([]Member{{IP: "10.1.0.1", ID: fmt.Sprint("x", i)}})
	}
	c.Check(l.Held, qt.HasLen, MostHeld)
	c.Check(l.Holds(gone.ID), qt.IsFalse)
}
