// Package convoy is how the system's processes know each other: each holds a partial view of bounded size, and shuffles a
// part of it with its oldest neighbour. It is pure.
package convoy

import (
	"slices"

	"portflow/internal/parts/chance"
)

// Kind is what a process does.
type Kind uint8

const (
	Control Kind = iota
	Traffic
)

// Member is one process as a neighbour knows it.
type Member struct {
	IP   string `json:"i"`
	Kind Kind   `json:"k,omitempty"`
	Zone string `json:"z"`
	Age  int    `json:"a,omitempty"` // shuffles since it spoke for itself
}

const (
	Most   = 12 // members of a view
	sample = 5  // of them in a shuffle, the sender among them
	oldest = 40 // shuffles after which a member that nobody hears of is forgotten
)

func same(a, b Member) bool { return a.IP == b.IP && a.Kind == b.Kind }

// View is one process's. It is not safe for two goroutines.
type View struct {
	self    Member
	members []Member
	draw    *chance.Source
	asked   *Member // the neighbour that has not answered the present shuffle
	sent    []Member
}

// New makes an empty view.
func New(self Member, draw *chance.Source) *View { return &View{self: self, draw: draw} }

// Members are those in the view.
func (v *View) Members() []Member { return slices.Clone(v.members) }

// Meet takes in a member that was heard of otherwise.
func (v *View) Meet(m Member) { v.take([]Member{m}, nil) }

// Begin is one shuffle: with whom, and the sample for it. A neighbour that did not answer the one before is dropped.
func (v *View) Begin() (to Member, part []Member, ok bool) {
	if v.asked != nil {
		v.drop(*v.asked)
		v.asked = nil
	}
	for i := range v.members {
		v.members[i].Age++
	}
	v.members = slices.DeleteFunc(v.members, func(m Member) bool { return m.Age > oldest })
	if len(v.members) == 0 {
		return Member{}, nil, false
	}
	at := 0
	for i, m := range v.members {
		if m.Age > v.members[at].Age {
			at = i
		}
	}
	to = v.members[at]
	v.asked = &to
	v.sent = v.pick(sample-1, to)
	return to, append([]Member{v.self}, v.sent...), true
}

// Answer is what a neighbour that began a shuffle is sent; its sample is taken in.
func (v *View) Answer(from Member, part []Member) []Member {
	back := v.pick(sample, from)
	v.take(part, back)
	return back
}

// End takes in the answer to the present shuffle.
func (v *View) End(from Member, part []Member) {
	if v.asked == nil || !same(*v.asked, from) {
		return
	}
	v.asked = nil
	for i := range v.members {
		if same(v.members[i], from) {
			v.members[i].Age = 0
		}
	}
	v.take(part, v.sent)
}

// Any is a member of a kind by chance.
func (v *View) Any(k Kind) (Member, bool) {
	n := 0
	for _, m := range v.members {
		if m.Kind == k {
			n++
		}
	}
	if n == 0 {
		return Member{}, false
	}
	at := int(v.draw.Next() * float64(n))
	for _, m := range v.members {
		if m.Kind == k {
			if at == 0 {
				return m, true
			}
			at--
		}
	}
	return Member{}, false
}

func (v *View) drop(m Member) {
	v.members = slices.DeleteFunc(v.members, func(x Member) bool { return same(x, m) })
}

// pick is so many members by chance, without one.
func (v *View) pick(n int, without Member) (part []Member) {
	all := slices.DeleteFunc(slices.Clone(v.members), func(m Member) bool { return same(m, without) })
	for i := 0; i < n && len(all) > 0; i++ {
		at := int(v.draw.Next() * float64(len(all)))
		part = append(part, all[at])
		all = slices.Delete(all, at, at+1)
	}
	return part
}

// take takes members in; what was given away makes room first, then the oldest.
func (v *View) take(part, given []Member) {
	for _, m := range part {
		if same(m, v.self) || m.IP == "" || m.Age < 0 || m.Kind > Traffic {
			continue
		}
		if at := slices.IndexFunc(v.members, func(x Member) bool { return same(x, m) }); at >= 0 {
			v.members[at].Age = min(v.members[at].Age, m.Age)
			continue
		}
		if len(v.members) >= Most {
			at := -1
			for ; len(given) > 0 && at < 0; given = given[1:] {
				at = slices.IndexFunc(v.members, func(x Member) bool { return same(x, given[0]) })
			}
			if at < 0 {
				at = 0
				for i, x := range v.members {
					if x.Age > v.members[at].Age {
						at = i
					}
				}
				if v.members[at].Age < m.Age {
					continue
				}
			}
			v.members = slices.Delete(v.members, at, at+1)
		}
		v.members = append(v.members, m)
	}
}
