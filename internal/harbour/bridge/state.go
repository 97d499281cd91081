// Package bridge is what a control process knows and how far it may be gone by: which hosts and routers there are, the
// items (as package quorum has them decided), the votes, the other control processes, and the news. It does no I/O and has no clock.
package bridge

import (
	"maps"
	"slices"
	"strings"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/lookout"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/harbour/quorum"
	"portflow/internal/harbour/signals"
)

// Standing is how far a control process may be gone by.
type Standing uint8

const (
	Adrift  Standing = iota // it may lack what was acknowledged: it feeds nobody and takes no order
	Alone                   // it has had all that was decided when it asked, and doesn't hear more than half of the members now
	InTouch                 // it hears more than half
)

func (s Standing) String() string { return [...]string{"adrift", "alone", "in touch"}[s] }

// Peer is another control process, as it is heard over the line that this one dialled.
type Peer struct {
	Status signals.Status
}

// State is what a control process knows. It is not safe for two goroutines.
type State struct {
	Self     signals.Hello
	Node     *quorum.Node // this process's part in the agreement of the core
	Set      *manifest.Set
	Register *berths.Register
	Fronts   map[string]signals.Front
	Ledger   *signals.Ledger
	Polls    map[PollKey]signals.Poll
	Asides   map[string]lookout.Judgement // by host: those that were set aside of late
	Views    map[PollKey]signals.Poll     // the newest figures of routers that hang here
	Peers    map[string]*Peer             // by IP, those that are heard now
	lost     map[string]int64             // by name, control processes that are not heard, since when
	ended    map[string]int64             // by name, routers that are gone, since when that was seen
	strays   map[string]stray             // by name, routers whose control process is heard, and has started again without them
	Ages     pilotage.Ages                // for how long the rollouts have run
}

// Front is a router as control knows it.
type Front = signals.Front

// stray is a router as it was known when that was noted.
type stray struct {
	front Front
	at    int64
}

// PollKey is whose vote on what.
type PollKey struct{ Front, Service string }

// KeptNews is how many changes are kept for those who are behind.
const KeptNews = 4096

// NewState begins with a node that has what the disk held.
func NewState(self signals.Hello, node *quorum.Node, beat int64) *State {
	return &State{Self: self, Node: node, Set: node.Set, Register: berths.New(self.Name, beat),
		Fronts: map[string]signals.Front{}, Ledger: signals.NewLedger(KeptNews), Polls: map[PollKey]signals.Poll{},
		Views: map[PollKey]signals.Poll{}, Asides: map[string]lookout.Judgement{}, Peers: map[string]*Peer{}, lost: map[string]int64{}, ended: map[string]int64{}, strays: map[string]stray{}, Ages: pilotage.Ages{}}
}

// Standing tells how far this process may be gone by.
func (s *State) Standing() Standing {
	switch {
	case !s.Node.Whole():
		return Adrift
	case !s.Node.Hears():
		return Alone
	}
	return InTouch
}

// Counted are the peers that are heard and whose votes count.
func (s *State) Counted() (ips []string) {
	for ip, p := range s.Peers {
		if p.Status.Member {
			ips = append(ips, ip)
		}
	}
	slices.Sort(ips)
	return ips
}

// Status is what others are told of this process.
func (s *State) Status() signals.Status {
	return signals.Status{Whole: s.Node.Whole(), Member: s.Node.Member(), Majority: s.Standing() == InTouch, Sum: s.Set.Sum(),
		Epoch: s.Node.List().Epoch, Number: s.Node.Applied()}
}

// Heard notes that a peer is heard, and how it stands.
func (s *State) Heard(ip string, st signals.Status) {
	p := s.Peers[ip]
	if p == nil {
		p = &Peer{}
		s.Peers[ip] = p
	}
	p.Status = st
}

// Lost notes that a peer isn't heard any more: its hosts and routers are now for others to hear of.
func (s *State) Lost(now int64, ip, name string) {
	delete(s.Peers, ip)
	s.lost[name] = now
	s.Register.Orphan(now, name)
}

// Found ends that.
func (s *State) Found(name string) {
	delete(s.lost, name)
	s.Register.Return(name)
}

// Listed takes another control process's snapshot, once its notes are taken in: it names all hosts and routers that it hears. Those
// that this one knows as the other's and that aren't named were heard in its former life: they are on their way elsewhere, or lost.
func (s *State) Listed(now int64, name string, notes []signals.Note) {
	hosts, fronts := map[string]bool{}, map[string]bool{}
	for _, n := range notes {
		if n.Host != nil {
			hosts[n.Host.ID] = true
		}
		if n.Front != nil {
			fronts[n.Front.Name] = true
		}
	}
	s.Register.Listed(now, name, hosts)
	for _, f := range s.Fronts {
		if f.Owner == name && name != s.Self.Name && !f.Gone && !fronts[f.Name] {
			s.strays[f.Name] = stray{f, now}
		}
	}
}

// adriftFor is for how long the routers that hung on a control process which isn't heard any more, or has started again, may be on
// their way to another before they are taken for gone.
const adriftFor = int64(1200e6)

// Tick finds routers that went down with the control process that they hung on.
func (s *State) Tick(now int64) (changed bool) {
	for _, f := range s.Fronts {
		if at, lost := s.lost[f.Owner]; lost && !f.Gone && now-at > adriftFor {
			f.Gone = true
			changed = s.TellFront(f, false) || changed
		}
	}
	for name, x := range s.strays {
		f := s.Fronts[name]
		if f != x.front { // something newer is known of it
			delete(s.strays, name)
		} else if now-x.at > adriftFor {
			delete(s.strays, name)
			f.Gone = true
			changed = s.TellFront(f, false) || changed
		}
	}
	return changed
}

// forgetAfter is for how long routers and control processes that are gone, and what was voted, are known: longer than any word of them
// is on its way, or any line is silent before it ends.
const forgetAfter = int64(600e9)

// Forget forgets what has been over for long, so that what is known is bounded by what there is and by what went in that time. It is
// to be called now and then.
func (s *State) Forget(now int64) {
	s.Register.Forget(now)
	for _, polls := range []map[PollKey]signals.Poll{s.Polls, s.Views} {
		maps.DeleteFunc(polls, func(_ PollKey, p signals.Poll) bool { return now-p.At > forgetAfter })
	}
	owners := map[string]bool{}
	for name, f := range s.Fronts {
		at, known := s.ended[name]
		switch {
		case !f.Gone:
			delete(s.ended, name)
			owners[f.Owner] = true
		case !known:
			s.ended[name] = now
		case now-at > forgetAfter:
			delete(s.Fronts, name)
			delete(s.ended, name)
		}
	}
	maps.DeleteFunc(s.lost, func(name string, at int64) bool { return now-at > forgetAfter && !owners[name] })
}

// Renew has this process's own routers told anew to another that was away: it may have taken them for gone.
func (s *State) Renew() {
	for _, f := range s.Fronts {
		if f.Owner == s.Self.Name && !f.Gone {
			f.Change++
			s.TellFront(f, true)
		}
	}
}

// Publish tells items that were decided to the routers that hang here. seen tells that they were decided since this process
// runs, as far as it can tell.
func (s *State) Publish(now int64, items []manifest.Item, seen bool) {
	for _, i := range items {
		if i.Kind == manifest.Rollouts && !i.Dropped {
			s.Ages.Take(now, pilotage.Read(i), seen)
		}
		if stands, ok := s.Set.Get(i.Key()); ok && stands.Same(i) {
			s.Ledger.Add(s.note(now, stands))
		}
	}
}

// note is an item as routers are told it.
func (s *State) note(now int64, i manifest.Item) signals.Note {
	i.Past = nil // is of no use to routers
	n := signals.Note{Item: &i}
	if i.Kind == manifest.Rollouts && !i.Dropped {
		n.Began = s.Ages.Here(now, pilotage.Read(i)).Began
	}
	return n
}

// TellHost makes news of a host that this process hears.
func (s *State) TellHost(h berths.Host, first bool) {
	s.Ledger.Add(signals.Note{Host: &h, First: first})
}

// Claim takes a router up that hangs here: whatever is known of it from elsewhere, or from before a step of its clock, is
// older than what is heard now.
func (s *State) Claim(now int64, f Front) Front {
	old, known := s.Fronts[f.Name]
	if f.Since == 0 || known && (old.Owner != f.Owner || old.Gone) {
		f.Since, f.Change = max(now, old.Since+1), 0
	} else if known {
		f.Since, f.Change = old.Since, old.Change+1
	}
	s.TellFront(f, true)
	return f
}

// TellFront takes up how a router that hangs here is.
func (s *State) TellFront(f signals.Front, first bool) bool {
	old, known := s.Fronts[f.Name]
	if known && !f.Newer(old) {
		return false
	}
	s.Fronts[f.Name] = f
	s.Ledger.Add(signals.Note{Front: &f, First: first})
	return true
}

// TellPoll takes up a router's vote, or its figures alone. Figures stay here: they are for operators, who ask each control
// process; only votes go on to the others.
func (s *State) TellPoll(p signals.Poll, first bool) {
	k := PollKey{p.Front, p.Service}
	if p.Figures != nil {
		s.Views[k] = p
		p.Figures = nil
	}
	if p.Shown {
		return
	}
	if old, ok := s.Polls[k]; ok && old.At >= p.At {
		return
	}
	s.Polls[k] = p
	if first {
		s.Ledger.Add(signals.Note{Poll: &p, First: true})
	}
}

// TellAside takes up that a host is set aside, by this process or by another; what is over is forgotten.
func (s *State) TellAside(now int64, j lookout.Judgement, first bool) {
	maps.DeleteFunc(s.Asides, func(_ string, x lookout.Judgement) bool { return now > x.Back })
	if !j.Newer(s.Asides[j.ID]) {
		return
	}
	s.Asides[j.ID] = j
	s.Ledger.Add(signals.Note{Aside: &j, First: first})
}

// Take takes a note of another control process in.
func (s *State) Take(now int64, n signals.Note) {
	switch {
	case n.Host != nil:
		news, tell := s.Register.Merge(now, *n.Host)
		if news {
			s.TellHost(*n.Host, false)
		} else if tell {
			s.TellHost(s.Register.Host(n.Host.ID), true)
		}
	case n.Front != nil:
		// who claims a router by a clock that is behind, after a restart or as it never heard of it, learns of the claim that
		// stands from here: what it tells would else be passed over until its clock has come as far. That a router has left is no
		// claim: each one that moves is said to have left once others know where it is
		if old := s.Fronts[n.Front.Name]; !s.TellFront(*n.Front, false) && !n.Front.Gone && old.Newer(*n.Front) {
			s.Ledger.Add(signals.Note{Front: &old, First: true})
		}
	case n.Poll != nil:
		s.TellPoll(*n.Poll, false)
	case n.Aside != nil:
		s.TellAside(now, *n.Aside, false)
	}
}

// Snapshot is all that a router must know, or a control process of what only this one hears.
func (s *State) Snapshot(now int64, control bool) (notes []signals.Note) {
	hosts := s.Register.All()
	if control {
		hosts = s.Register.Own()
	} else {
		for _, i := range s.Set.All() {
			notes = append(notes, s.note(now, i))
		}
	}
	for _, h := range hosts {
		notes = append(notes, signals.Note{Host: &h})
	}
	var names []string
	for name, f := range s.Fronts {
		if !control || f.Owner == s.Self.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		f := s.Fronts[name]
		notes = append(notes, signals.Note{Front: &f})
	}
	for _, id := range slices.Sorted(maps.Keys(s.Asides)) {
		j := s.Asides[id]
		notes = append(notes, signals.Note{Aside: &j})
	}
	if control {
		for _, p := range s.Polls {
			notes = append(notes, signals.Note{Poll: &p})
		}
	}
	return notes
}

// Roster is the routers that are ready, as the design counts and numbers them.
func (s *State) Roster() []signals.Front { return signals.Roster(s.Fronts) }

// Members are the IP numbers of the core that are known, but this one.
func (s *State) Members() (ips []string) {
	for ip := range s.Set.Members() {
		if ip != s.Self.IP {
			ips = append(ips, ip)
		}
	}
	return ips
}

// Addresses answers the directory: ready fronts of the client's zone; where none is, of its region; else all.
func (s *State) Addresses(zone, region string, regions map[string]string) (all []string) {
	far := 0
	for _, f := range s.Roster() {
		near := 1
		switch {
		case f.Zone == zone:
			near = 3
		case regions[f.Zone] == region && region != "":
			near = 2
		}
		if near > far {
			far, all = near, all[:0]
		}
		if near == far {
			all = append(all, f.Address)
		}
	}
	slices.SortFunc(all, strings.Compare)
	return all[:min(len(all), 64)]
}

// Fit leaves out of a batch what the follower knows otherwise: control processes tell each other what they hear
// themselves, and items by orders and by repair. Of several notes on one thing the last is enough, in its place.
func Fit(notes []signals.Note, control bool) []signals.Note {
	batch := make([]signals.Note, 0, len(notes))
	for _, n := range notes {
		if control && !n.First || !control && n.Poll != nil {
			continue
		}
		batch = append(batch, n)
	}
	return signals.Last(batch)
}
