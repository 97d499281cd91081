package quorum

import (
	"fmt"
	"maps"
	"slices"

	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/orders"
)

// A pool is a few processes whose messages come at once, in the order in which they are said, to whom they may come: what is
// told step by step, where a drawn world is told by chance.
type pool struct {
	now     int64
	ips     []string
	at      map[string]*swimmer
	mail    []posted
	may     func(from, to string, m Message) bool // whether a message comes; nil for all
	answers map[uint64]Result
	tag     uint64
	perZone int
}

type swimmer struct {
	node   *Node
	member muster.Member
	disk   Disk
	items  map[manifest.Key]manifest.Item
	lives  int
	up     bool
}

type posted struct {
	from, to string
	message  Message
}

// newPool has members 1 to n at number 1, in zones by turns, and as many learners that have the same.
func newPool(members, learners, zones int) *pool {
	p := &pool{now: 1000 * second, at: map[string]*swimmer{}, answers: map[uint64]Result{}, tag: 100, perZone: 1}
	l := muster.List{Epoch: 1}
	for n := range members + learners {
		m := muster.Member{IP: fmt.Sprint(n + 1), ID: fmt.Sprintf("d%d", n+1), Name: fmt.Sprintf("c%d", n+1), Zone: fmt.Sprintf("z%d", n%zones)}
		if p.ips = append(p.ips, m.IP); n < members {
			l.Members = append(l.Members, m)
		}
		p.at[m.IP] = &swimmer{member: m, disk: Disk{ID: m.ID, Applied: 1}, items: map[manifest.Key]manifest.Item{}}
	}
	service := item(manifest.Services, "desk", 1, `{"health-path":"/","name":"desk"}`)
	for _, s := range p.at {
		s.items[muster.Key], s.items[service.Key()] = l.Item(), service
	}
	return p
}

// on starts a process with what its disk holds, in a life of its own or in a named one.
func (p *pool) on(ip, life string) {
	s := p.at[ip]
	set := manifest.NewSet()
	for _, k := range slices.SortedFunc(maps.Keys(s.items), keys) {
		set.Merge(s.items[k])
	}
	if s.lives++; life == "" {
		life = fmt.Sprintf("%s.%d", ip, s.lives)
	}
	s.node, s.up = New(s.member, life, p.perZone, s.disk, set, p.now), true
}

// image is what a disk holds, to be put back.
func (s *swimmer) image() (Disk, map[manifest.Key]manifest.Item) { return s.disk, maps.Clone(s.items) }

// hears has one process hear of another, or no more.
func (p *pool) hears(ip, other string, heard bool) {
	if s, o := p.at[ip], p.at[other]; s.up && ip != other {
		if e := (Event{From: other, Lost: true}); !heard {
			p.step(ip, e)
		} else if o.up {
			p.step(ip, Event{From: other, Peer: &Peer{o.member, o.node.List().Epoch, o.node.Applied(), o.node.Whole()}})
		}
	}
}

// step is one event of a process; its record is synced at once.
func (p *pool) step(ip string, e Event) {
	s := p.at[ip]
	if !s.up {
		return
	}
	e.Now, e.Chance = p.now, 0.5
	out := s.node.Step(e)
	if out.Disk != nil {
		s.disk = *out.Disk
		for _, i := range out.Items {
			s.items[i.Key()] = i
		}
		for _, k := range out.Gone {
			delete(s.items, k)
		}
	}
	for _, all := range []map[string][]Message{out.Send, out.Synced} {
		for _, to := range slices.Sorted(maps.Keys(all)) {
			for _, m := range all[to] {
				p.mail = append(p.mail, posted{ip, to, m})
			}
		}
	}
	for _, a := range out.Answers {
		p.answers[a.Tag] = a.Result
	}
}

// deliver brings all that is under way, and what comes of it.
func (p *pool) deliver() {
	for len(p.mail) > 0 {
		m := p.mail[0]
		p.mail = p.mail[1:]
		if p.at[m.from].up && p.at[m.to] != nil && p.at[m.to].up && (p.may == nil || m.from == m.to || p.may(m.from, m.to, m.message)) {
			p.step(m.to, Event{From: m.from, Message: &m.message})
		}
	}
}

// run lets time pass: ticks every 50 ms, and all that may hear each other do.
func (p *pool) run(span int64) {
	for until := p.now + span; p.now < until; p.now += 50 * ms {
		for _, ip := range p.ips {
			p.step(ip, Event{Tick: true})
		}
		p.deliver()
		if p.now%(500*ms) == 0 {
			p.meet()
		}
	}
}

// meet has all that are up hear each other.
func (p *pool) meet() {
	for _, ip := range p.ips {
		for _, other := range p.ips {
			if ip != other && (p.may == nil || p.may(other, ip, Message{})) {
				p.hears(ip, other, true)
			}
		}
	}
	p.deliver()
}

// off ends a process; others hear of it when they are told.
func (p *pool) off(ip string) { p.at[ip].up = false }

// gate is an order that sets a service.
func gate(name string, v uint64, path string) orders.Order {
	return orders.Order{Kind: orders.Modify, Items: []manifest.Item{item(manifest.Services, name, v, fmt.Sprintf(`{"health-path":"/%s","name":"%s"}`, path, name))}}
}

// order sends one to a process, and tells its tag.
func (p *pool) order(ip string, o orders.Order) uint64 {
	p.tag++
	p.step(ip, Event{Order: &o, Tag: p.tag})
	p.deliver()
	return p.tag
}

// confirmed tells whether an order was.
func (p *pool) confirmed(tag uint64) bool {
	r, there := p.answers[tag]
	return there && r.Err() == nil
}

// body is what stands under a name at a process.
func (p *pool) body(ip, name string) string {
	i, _ := p.at[ip].node.Set.Get(manifest.Key{Kind: manifest.Services, Name: name})
	return string(i.Body)
}
