// Package gossip maintains the membership of the cluster by gossip. Each process keeps a partial view of the others, of bounded size, and
// periodically exchanges a random sample of it with the oldest member of the view. PartialView is the protocol's state machine, without
// input, output or clock; Gossiper runs it over datagrams and also carries payloads by topic.
package gossip

import (
	"slices"

	"portflow/internal/random"
)

// Kind is the role of a process. It is encoded as its number.
type Kind uint8

// The roles of processes.
const (
	Control Kind = iota
	Proxy
)

// Member is a process as listed in a view.
type Member struct {
	IP   string `json:"i"`
	Kind Kind   `json:"k,omitempty"`
	Zone string `json:"z"`
	Age  int    `json:"a,omitempty"` // number of shuffles since it last took part in one itself
}

const (
	// MaxViewSize is the maximum number of members in a view.
	MaxViewSize = 12
	shuffleSize = 5  // members in a shuffle's sample, including the sender
	maxAge      = 40 // a member of a greater Age is removed
)

func sameMember(a, b Member) bool { return a.IP == b.IP && a.Kind == b.Kind }

// PartialView is the view of one process, which is not in it itself. It is not safe for concurrent use.
type PartialView struct {
	self        Member
	members     []Member
	source      *random.Source
	shufflePeer *Member // member that has not answered the current shuffle yet, nil if none
	sentSample  []Member
}

// NewPartialView returns an empty view of the process self. source is the randomness of its samples.
func NewPartialView(self Member, source *random.Source) *PartialView {
	return &PartialView{self: self, source: source}
}

// Members returns a copy of the members in the view.
func (v *PartialView) Members() []Member { return slices.Clone(v.members) }

// Add adds a member that was learned of by other means than a shuffle. A full view may not take it.
func (v *PartialView) Add(m Member) { v.merge([]Member{m}, nil) }

// BeginShuffle begins a shuffle and returns the member to send it to, with the sample to send. ok is false if the view is empty. If the
// previous shuffle was not answered, its member is removed from the view.
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

// AnswerShuffle adds the sample of a shuffle that from began, and returns the sample to reply with.
func (v *PartialView) AnswerShuffle(from Member, sample []Member) []Member {
	reply := v.pickSample(shuffleSize, from)
	v.merge(sample, reply)
	return reply
}

// EndShuffle adds the sample of the reply to the current shuffle. A reply from any other member is ignored.
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

// RandomMember returns a random member of a kind, and false if the view has none.
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

// pickSample returns up to n random members other than exclude.
func (v *PartialView) pickSample(n int, exclude Member) (sample []Member) {
	candidates := slices.DeleteFunc(slices.Clone(v.members), func(m Member) bool { return sameMember(m, exclude) })
	for picked := 0; picked < n && len(candidates) > 0; picked++ {
		i := int(v.source.Float64() * float64(len(candidates)))
		sample = append(sample, candidates[i])
		candidates = slices.Delete(candidates, i, i+1)
	}
	return sample
}

// merge adds the valid members of sample. If the view is full, a new member replaces the next one of replaceable (the members that the other
// side was sent) that is in the view, or else the oldest member, unless the new one is older than that.
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
