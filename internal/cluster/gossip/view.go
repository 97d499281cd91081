// Package gossip is how the system's processes know each other: each holds a partial view of bounded size, and shuffles a
// part of it with its oldest neighbour. It is pure.
package gossip

import (
	"slices"

	"portflow/internal/random"
)

// Kind is what a process does.
type Kind uint8

const (
	Control Kind = iota
	Proxy
)

// Member is one process as a neighbour knows it.
type Member struct {
	IP   string `json:"i"`
	Kind Kind   `json:"k,omitempty"`
	Zone string `json:"z"`
	Age  int    `json:"a,omitempty"` // shuffles since it spoke for itself
}

const (
	MaxViewSize = 12 // members of a view
	shuffleSize = 5  // of them in a shuffle, the sender among them
	maxAge      = 40 // shuffles after which a member that nobody hears of is forgotten
)

func sameMember(a, b Member) bool { return a.IP == b.IP && a.Kind == b.Kind }

// PartialView is one process's. It is not safe for two goroutines.
type PartialView struct {
	self        Member
	members     []Member
	source      *random.Source
	shufflePeer *Member // the neighbour that has not answered the present shuffle
	sentSample  []Member
}

// NewPartialView makes an empty view.
func NewPartialView(self Member, source *random.Source) *PartialView {
	return &PartialView{self: self, source: source}
}

// Members are those in the view.
func (v *PartialView) Members() []Member { return slices.Clone(v.members) }

// Add takes in a member that was heard of otherwise.
func (v *PartialView) Add(m Member) { v.merge([]Member{m}, nil) }

// BeginShuffle is one shuffle: with whom, and the sample for it. A neighbour that did not answer the one before is dropped.
func (v *PartialView) BeginShuffle() (to Member, sample []Member, ok bool) {
	if v.shufflePeer != nil {
		v.drop(*v.shufflePeer)
		v.shufflePeer = nil
	}
	for i := range v.members {
		v.members[i].Age++
	}
	v.members = slices.DeleteFunc(v.members, func(m Member) bool { return m.Age > maxAge })
	if len(v.members) == 0 {
		return Member{}, nil, false
	}
	oldest := 0
	for i, m := range v.members {
		if m.Age > v.members[oldest].Age {
			oldest = i
		}
	}
	to = v.members[oldest]
	v.shufflePeer = &to
	v.sentSample = v.pickSample(shuffleSize-1, to)
	return to, append([]Member{v.self}, v.sentSample...), true
}

// AnswerShuffle is what a neighbour that began a shuffle is sent; its sample is taken in.
func (v *PartialView) AnswerShuffle(from Member, sample []Member) []Member {
	reply := v.pickSample(shuffleSize, from)
	v.merge(sample, reply)
	return reply
}

// EndShuffle takes in the answer to the present shuffle.
func (v *PartialView) EndShuffle(from Member, sample []Member) {
	if v.shufflePeer == nil || !sameMember(*v.shufflePeer, from) {
		return
	}
	v.shufflePeer = nil
	for i := range v.members {
		if sameMember(v.members[i], from) {
			v.members[i].Age = 0
		}
	}
	v.merge(sample, v.sentSample)
}

// RandomMember is a member of a kind by chance.
func (v *PartialView) RandomMember(k Kind) (Member, bool) {
	n := 0
	for _, m := range v.members {
		if m.Kind == k {
			n++
		}
	}
	if n == 0 {
		return Member{}, false
	}
	skip := int(v.source.Float64() * float64(n))
	for _, m := range v.members {
		if m.Kind == k {
			if skip == 0 {
				return m, true
			}
			skip--
		}
	}
	return Member{}, false
}

func (v *PartialView) drop(m Member) {
	v.members = slices.DeleteFunc(v.members, func(x Member) bool { return sameMember(x, m) })
}

// pickSample is so many members by chance, without one.
func (v *PartialView) pickSample(n int, exclude Member) (sample []Member) {
	candidates := slices.DeleteFunc(slices.Clone(v.members), func(m Member) bool { return sameMember(m, exclude) })
	for picked := 0; picked < n && len(candidates) > 0; picked++ {
		i := int(v.source.Float64() * float64(len(candidates)))
		sample = append(sample, candidates[i])
		candidates = slices.Delete(candidates, i, i+1)
	}
	return sample
}

// merge takes members in; what was given away makes room first, then the oldest.
func (v *PartialView) merge(sample, replaceable []Member) {
	for _, m := range sample {
		if sameMember(m, v.self) || m.IP == "" || m.Age < 0 || m.Kind > Proxy {
			continue
		}
		if position := slices.IndexFunc(v.members, func(known Member) bool { return sameMember(known, m) }); position >= 0 {
			v.members[position].Age = min(v.members[position].Age, m.Age)
			continue
		}
		if len(v.members) >= MaxViewSize {
			position := -1
			for ; len(replaceable) > 0 && position < 0; replaceable = replaceable[1:] {
				position = slices.IndexFunc(v.members, func(known Member) bool { return sameMember(known, replaceable[0]) })
			}
			if position < 0 {
				position = 0
				for i, known := range v.members {
					if known.Age > v.members[position].Age {
						position = i
					}
				}
				if v.members[position].Age < m.Age {
					continue
				}
			}
			v.members = slices.Delete(v.members, position, position+1)
		}
		v.members = append(v.members, m)
	}
}
