package quorum

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
	"unsafe"

	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/orders"
)

// All that can happen in a small world, to a depth: messages come in any order or not at all, processes lose their power
// before a record is synced or after, disks are wiped, time runs out. Each state is seen once. A record is synced at once
// unless the power goes; what a process tells itself comes at once.

var (
	depth = flag.Int("depth", 0, "how deep the small worlds are searched, 0 for the depth of every run")
	most  = flag.Int("states", 0, "at how many states of a small world the search ends, 0 for those of every run")
)

// small is one process of the small world; it is never changed, only replaced.
type small struct {
	node  *Node
	disk  Disk
	items []manifest.Item
	now   int64
	life  int
	sum   uint64 // of all of it
}

type letter struct {
	from, to string
	message  Message
	sum      uint64
}

// place is a state of the small world.
type place struct {
	at      map[string]*small
	letters []letter          // under way, in the order of their sums
	decided map[uint64]uint64 // the set at each number, once any process had it
	told    map[uint64]string // by number, what was confirmed there
	left    budget
	path    []string
}

// budget is what may still happen.
type budget struct{ turns, powers, wipes int }

type hunt struct {
	wrong   smallMutant
	seen    map[uint64]int
	steps   int
	decided int
	joined  int
	found   string
	most    int
}

// smallMutant takes a mend out.
type smallMutant struct {
	sameLife, early, keepID bool
	disk                    func(*Disk)
	message                 func(h *hunt, p *place, l *letter)
}

func peek(v reflect.Value) reflect.Value {
	if v.CanInterface() || !v.CanAddr() {
		return v
	}
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

// copied is a value with nothing in common with the old one but bytes, which nobody changes.
func copied(v reflect.Value) reflect.Value {
	to := reflect.New(v.Type()).Elem()
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return to
		}
		if s, ok := v.Interface().(*manifest.Set); ok {
			to.Set(reflect.ValueOf(s.Clone()))
			return to
		}
		to.Set(reflect.New(v.Type().Elem()))
		to.Elem().Set(copied(v.Elem()))
	case reflect.Struct:
		to.Set(v)
		from := reflect.New(v.Type()).Elem()
		from.Set(v)
		for n := range v.NumField() {
			switch v.Type().Field(n).Type.Kind() {
			case reflect.Pointer, reflect.Struct, reflect.Map, reflect.Slice:
				peek(to.Field(n)).Set(copied(peek(from.Field(n))))
			}
		}
	case reflect.Map:
		if v.IsNil() {
			return to
		}
		to.Set(reflect.MakeMapWithSize(v.Type(), v.Len()))
		for _, k := range v.MapKeys() {
			to.SetMapIndex(k, copied(v.MapIndex(k)))
		}
	case reflect.Slice:
		if v.IsNil() {
			return to
		}
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return v
		}
		to.Set(reflect.MakeSlice(v.Type(), v.Len(), v.Len()))
		for n := range v.Len() {
			to.Index(n).Set(copied(v.Index(n)))
		}
	default:
		to.Set(v)
	}
	return to
}

// digest takes a value into a sum, alike for alike values.
func digest(h hash.Hash64, v reflect.Value) {
	var b [8]byte
	word := func(x uint64) {
		binary.LittleEndian.PutUint64(b[:], x)
		h.Write(b[:])
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			word(0)
			return
		}
		if s, ok := v.Interface().(*manifest.Set); ok {
			word(s.Sum())
			return
		}
		digest(h, v.Elem())
	case reflect.Struct:
		from := reflect.New(v.Type()).Elem()
		from.Set(v)
		for n := range v.NumField() {
			if v.Type() != reflect.TypeFor[Node]() || v.Type().Field(n).Name != "Counts" {
				digest(h, peek(from.Field(n)))
			}
		}
	case reflect.Map:
		all := v.MapKeys()
		slices.SortFunc(all, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		word(uint64(len(all)))
		for _, k := range all {
			digest(h, k)
			digest(h, v.MapIndex(k))
		}
	case reflect.Slice, reflect.Array:
		word(uint64(v.Len()))
		if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
			h.Write(v.Bytes())
			return
		}
		for n := range v.Len() {
			digest(h, v.Index(n))
		}
	case reflect.String:
		word(uint64(v.Len()))
		h.Write([]byte(v.String()))
	case reflect.Bool:
		if v.Bool() {
			word(1)
		} else {
			word(0)
		}
	case reflect.Int, reflect.Int64, reflect.Int32, reflect.Int8:
		word(uint64(v.Int()))
	case reflect.Uint, reflect.Uint64, reflect.Uint32, reflect.Uint8:
		word(v.Uint())
	case reflect.Float64:
		word(uint64(v.Float() * 1e6))
	default:
		panic(v.Kind())
	}
}

func digested(all ...any) uint64 {
	h := fnv.New64a()
	for _, x := range all {
		digest(h, reflect.ValueOf(x))
	}
	return h.Sum64()
}

func (p *place) sum() uint64 {
	all := []any{p.left.turns, p.left.powers, p.left.wipes, p.decided, p.told}
	for _, ip := range slices.Sorted(maps.Keys(p.at)) {
		all = append(all, p.at[ip].sum)
	}
	for _, l := range p.letters {
		all = append(all, l.sum)
	}
	return digested(all...)
}

// next is the place with one thing to be changed.
func (p *place) next(what string) *place {
	return &place{maps.Clone(p.at), slices.Clone(p.letters), p.decided, p.told, p.left, append(slices.Clip(p.path), what)}
}

// step is one event of a process. Without power it ends before its record is synced.
func (h *hunt) step(p *place, ip string, e Event, power bool) {
	s := *p.at[ip]
	s.node = copied(reflect.ValueOf(s.node)).Interface().(*Node)
	e.Now = s.now
	before := s
	h.steps++
	queue := []Event{e}
	for len(queue) > 0 && h.found == "" {
		out := s.node.Step(queue[0])
		queue = queue[1:]
		h.looks(p, ip, s.node)
		if out.Disk != nil && power {
			s.disk = *out.Disk
			if h.wrong.disk != nil {
				h.wrong.disk(&s.disk)
			}
			set := manifest.NewSet()
			for _, i := range s.items {
				set.Merge(i)
			}
			for _, i := range out.Items {
				set.Merge(i)
			}
			s.items = set.All()
		}
		for _, a := range out.Answers {
			if a.Result.Err() == nil && a.Tag != 0 {
				h.confirmed(p, ip, a)
			}
		}
		sends := []map[string][]Message{out.Send}
		if power || h.wrong.early {
			sends = append(sends, out.Synced)
		}
		for _, all := range sends {
			for _, to := range slices.Sorted(maps.Keys(all)) {
				for _, m := range all[to] {
					if to == ip {
						queue = append(queue, Event{Now: s.now, From: ip, Message: &m})
					} else if _, there := p.at[to]; there {
						p.post(h, letter{ip, to, m, 0})
					}
				}
			}
		}
	}
	if !power {
		s.disk, s.items = before.disk, before.items
		h.start(p, ip, &s)
		return
	}
	s.sum = 0
	s.sum = digested(s.node, s.disk, s.now, s.life)
	p.at[ip] = &s
}

func (p *place) post(h *hunt, l letter) {
	switch l.message.Kind {
	case Behind, Hand, Handed, Fetch, Changes, Parts, Confirm, Confirmed:
		return // nothing of what is searched for rests on them
	}
	if h.wrong.message != nil {
		h.wrong.message(h, p, &l)
		if l.to == "" {
			return
		}
	}
	l.sum = digested(l.from, l.to, l.message)
	at, there := slices.BinarySearchFunc(p.letters, l, func(a, b letter) int {
		if a.sum < b.sum {
			return -1
		} else if a.sum > b.sum {
			return 1
		}
		return 0
	})
	if !there { // a second one like it tells nothing more
		p.letters = slices.Insert(p.letters, at, l)
	}
}

// start is a new life with what the disk holds. It knows all that is decided, as far as its own disk goes.
func (h *hunt) start(p *place, ip string, s *small) {
	s.life++
	set := manifest.NewSet()
	for _, i := range s.items {
		set.Merge(i)
	}
	m, _ := smallList().At(ip)
	if m.IP == "" {
		m = newcomer
	}
	life := fmt.Sprintf("%s %d", m.Name, s.life)
	if h.wrong.sameLife {
		life = m.Name
	}
	s.node = New(m, life, 1, s.disk, set, s.now)
	s.node.whole = true
	for _, peer := range smallPeers[ip] {
		o := p.at[peer]
		s.node.peers[peer] = Peer{Member: muster.Member{IP: peer, ID: o.disk.ID, Name: peer, Zone: peer}, Epoch: 1, Applied: 1, Whole: true}
	}
	s.sum = digested(s.node, s.disk, s.now, s.life)
	p.at[ip] = s
}

func (h *hunt) looks(p *place, ip string, x *Node) {
	n, sum := x.Applied(), x.Set.Sum()
	if was, there := p.decided[n]; there && was != sum {
		h.found = fmt.Sprintf("%s has another value at number %d, after %d things: %s", ip, n, len(p.path), strings.Join(p.path, "; "))
	} else if !there {
		p.decided = maps.Clone(p.decided)
		p.decided[n] = sum
		h.decided++
		if x.List().Epoch > 1 {
			h.joined++
		}
	}
}

// confirmed: two rivals are never both confirmed.
func (h *hunt) confirmed(p *place, ip string, a Answer) {
	if a.Tag > 2 {
		return
	}
	for tag := range p.told {
		if tag != a.Tag && p.told[tag] != "" {
			h.found = fmt.Sprintf("rivals are confirmed by %s and %s, after %d things: %s", p.told[tag], ip, len(p.path), strings.Join(p.path, "; "))
		}
	}
	p.told = maps.Clone(p.told)
	p.told[a.Tag] = ip
}

// all goes on with whatever can happen next.
func (h *hunt) all(p *place, deep int) {
	if h.found != "" || deep == 0 || len(h.seen) >= h.most {
		return
	}
	sum := p.sum()
	if was, there := h.seen[sum]; there && was >= deep {
		return
	}
	h.seen[sum] = deep
	for n, l := range p.letters {
		q := p.next(fmt.Sprintf("%s %s>%s %d %v", l.message.Kind, l.from, l.to, l.message.Number, l.message.Ballot))
		q.letters = slices.Delete(q.letters, n, n+1)
		m := l.message
		h.step(q, l.to, Event{From: l.from, Message: &m}, true)
		h.all(q, deep-1)
		if p.left.powers > 0 {
			q := p.next(fmt.Sprintf("%s %s>%s %d %v and its power", l.message.Kind, l.from, l.to, l.message.Number, l.message.Ballot))
			q.letters = slices.Delete(q.letters, n, n+1)
			q.left.powers--
			h.step(q, l.to, Event{From: l.from, Message: &m}, false)
			h.all(q, deep-1)
		}
	}
	for _, ip := range slices.Sorted(maps.Keys(p.at)) {
		if p.left.turns > 0 && len(smallPeers[ip]) > 1 && ip != newcomer.IP {
			q := p.next("time at " + ip)
			q.left.turns--
			s := *q.at[ip]
			s.now += 2100 * ms
			q.at[ip] = &s
			h.step(q, ip, Event{Tick: true, Chance: 0}, true)
			h.all(q, deep-1)
		}
		if p.left.wipes > 0 && ip != newcomer.IP {
			q := p.next("wiped " + ip)
			q.left.wipes--
			s := *q.at[ip]
			id := s.disk.ID + "'"
			if h.wrong.keepID {
				id = s.disk.ID
			}
			s.disk, s.items = Disk{ID: id}, nil
			h.start(q, ip, &s)
			s.node.whole = false
			s.sum = digested(s.node, s.disk, s.now, s.life)
			h.all(q, deep-1)
		}
	}
}

var newcomer = muster.Member{IP: "4", ID: "d", Name: "D", Zone: "4"}

func smallList() muster.List {
	l := muster.List{Epoch: 1}
	for n, name := range []string{"A", "B", "C"} {
		l.Members = append(l.Members, muster.Member{IP: fmt.Sprint(n + 1), ID: strings.ToLower(name), Name: name, Zone: fmt.Sprint(n + 1)})
	}
	return l
}

// smallPeers is who hears whom: the second doesn't hear the first, so that both propose.
var smallPeers = map[string][]string{"1": {"2", "3", "4"}, "2": {"3", "4"}, "3": {"1", "2"}, "4": {"1", "2"}}

// smallWorld begins with three members at number 1, a newcomer that holds the same, and rival orders at the first and second.
func (h *hunt) smallWorld(left budget, more map[string]orders.Order) *place {
	p := &place{at: map[string]*small{}, decided: map[uint64]uint64{}, told: map[uint64]string{}, left: left}
	all := append(slices.Clone(smallList().Members), newcomer)
	items := []manifest.Item{smallList().Item(), item(manifest.Services, "desk", 1, `{"health-path":"/","name":"desk"}`)}
	for _, m := range all {
		p.at[m.IP] = &small{disk: Disk{ID: m.ID, Applied: 1}, items: items, now: 1000 * second}
	}
	for _, m := range all {
		h.start(p, m.IP, p.at[m.IP])
	}
	for _, ip := range slices.Sorted(maps.Keys(more)) {
		o := more[ip]
		h.step(p, ip, Event{Order: &o, Tag: 9}, true)
	}
	for n, ip := range []string{"1", "2"} {
		o := orders.Order{Kind: orders.Modify, Items: []manifest.Item{item(manifest.Services, "gate", 1, fmt.Sprintf(`{"health-path":"/%d","name":"gate"}`, n))}}
		h.step(p, ip, Event{Order: &o, Tag: uint64(n + 1)}, true)
	}
	p.path = nil
	return p
}

func swap(in muster.Member, out ...string) orders.Order {
	return orders.Order{Kind: orders.Join, In: []muster.Member{in}, Out: out}
}

// smallWorlds are what is searched: what may happen, and who asks for other members.
var smallWorlds = map[string]struct {
	left  budget
	more  map[string]orders.Order
	depth int
}{
	"rivals":                            {budget{turns: 2}, nil, 12},
	"rivals and power":                  {budget{turns: 1, powers: 2}, nil, 10},
	"a member for another":              {budget{turns: 1}, map[string]orders.Order{"1": swap(newcomer, "3")}, 12},
	"a member for the other proposer":   {budget{turns: 1}, map[string]orders.Order{"1": swap(newcomer, "2")}, 12},
	"a member for another, and a wipe":  {budget{turns: 1, wipes: 1}, map[string]orders.Order{"1": swap(newcomer, "3")}, 10},
	"two lists at once":                 {budget{turns: 1}, map[string]orders.Order{"1": swap(newcomer, "3"), "2": swap(newcomer, "1")}, 12},
	"two lists at once, power and wipe": {budget{turns: 1, powers: 1, wipes: 1}, map[string]orders.Order{"1": swap(newcomer, "3"), "2": swap(newcomer, "1")}, 9},
}

func (h *hunt) run(name string) time.Duration {
	w := smallWorlds[name]
	h.seen = map[uint64]int{}
	began := time.Now()
	for deep := 4; deep <= w.depth && h.found == "" && len(h.seen) < h.most; deep++ {
		if deep < w.depth && *depth == 0 && h.wrong.message == nil && h.wrong.disk == nil && !h.wrong.sameLife && !h.wrong.early && !h.wrong.keepID {
			continue // the whole depth at once
		}
		clear(h.seen)
		h.all(h.smallWorld(w.left, w.more), deep)
	}
	return time.Since(began)
}

// Whatever order messages come in, whoever loses power or disk, and while members change: two halves never both confirm, and a
// number has one value.
func TestSmallWorlds(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(smallWorlds)) {
		t.Run(name, func(t *testing.T) {
			w := smallWorlds[name]
			if *depth > 0 {
				w.depth = *depth
				smallWorlds[name] = w
			}
			h := &hunt{most: max(*most, 1<<16)}
			took := h.run(name)
			if h.found != "" {
				t.Error(h.found)
			}
			t.Logf("depth %d: %d states, %d steps, %d numbers seen first, %d of them of a later epoch, %v; whole: %v", w.depth, len(h.seen), h.steps, h.decided, h.joined, took.Round(time.Millisecond), len(h.seen) < h.most)
		})
	}
}
