package harbourmaster

import (
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"portflow/internal/harbour/bridge"
	"portflow/internal/harbour/convoy"
	"portflow/internal/harbour/lines"
	"portflow/internal/harbour/signals"
)

// accept takes lines of routers and of other control processes.
func (m *Master) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go m.feed(c)
	}
}

const (
	statusEvery = 3 * time.Second // where nothing has changed
	statusSoon  = 200 * time.Millisecond
	told        = int64(time.Hour) // for so long the others are told when a rollout began
	tidyEvery   = 10 * time.Second // of snapshots that were made for routers
)

// feed tells the news on one line until it ends.
func (m *Master) feed(c net.Conn) {
	l := lines.Open[signals.Word](c, lines.Quick) // until it has said who it is
	stop := context.AfterFunc(m.ctx, func() { l.Close(m.ctx.Err()) })
	defer stop()
	self := m.state.Self
	self.Now = m.clock()
	l.Send(signals.Word{Hello: &self})
	f := &follower{line: l, hello: make(chan signals.Hello, 1), taken: make(chan struct{}, 1)}
	go m.tell(f)
	m.mu.Lock()
	m.hung[f] = true
	m.mu.Unlock()
	l.Run(func(w signals.Word) { m.asked(f, w) })
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.hung, f)
	if m.back[f.who.IP] == f.line {
		delete(m.back, f.who.IP)
	}
	m.dealer.Gone(f.front.Name)
	m.watch.Gone(f.front.Name)
	if f.front.Name != "" { // it hangs here no longer
		gone := f.front
		if old := m.state.Fronts[gone.Name]; old.Since == gone.Since && old.Owner == m.Boot.Name {
			gone.Gone, gone.Change = true, old.Change+1
			m.state.TellFront(gone, true)
			m.wake()
		}
	}
}

// follower is one who follows this process's news.
type follower struct {
	line  *lines.Line[signals.Word]
	hello chan signals.Hello
	who   signals.Hello
	front signals.Front // as it told
	acked uint64
	part  *signals.Part // what it has of a snapshot, as it said last; nil where it takes no chunks
	taken chan struct{} // a chunk was acknowledged
	trial bool          // it is a router that follows another one still, until it says how it is
	in    int64         // bytes that had come when it was last looked at
}

// tell sends news as it comes: all that is there at once goes into one batch. Who can't be given changes alone, or to whom they
// would be more than a snapshot, is sent one: a router in chunks, then the changes since it in one batch, with which it takes all
// in at once.
func (m *Master) tell(f *follower) {
	var who signals.Hello
	select {
	case who = <-f.hello:
	case <-f.line.Done():
		return
	}
	at, began := uint64(0), false
	var said signals.Status
	saidAt, timedAt := time.Time{}, time.Time{}
	var sent *signals.Transfer // of the snapshot that it is being sent
	waits := ""                // for which snapshot
	for {
		select {
		case <-f.line.Done():
			return
		default:
		}
		var making chan struct{}
		m.mu.Lock()
		news, st := m.news, m.state.Status()
		st.Leaving = m.leaving && who.Control
		epoch, number := st.Epoch, st.Number
		if !who.Control {
			st.Sum, st.Epoch, st.Number = 0, 0, 0 // of no use to a router
		}
		if st != said && (!who.Control || time.Since(saidAt) > statusSoon || st.Whole != said.Whole ||
			st.Majority != said.Majority || st.Member != said.Member || st.Leaving != said.Leaving) || time.Since(saidAt) >= statusEvery {
			if st != said || who.Control {
				w := signals.Word{Status: &st}
				if time.Since(timedAt) >= statusEvery { // not with each change: that would cost each order its bytes
					if w.Now, timedAt = m.clock(), time.Now(); who.Control {
						w.Ages = m.state.Ages.Told(w.Now, told)
					}
				}
				f.line.Send(w)
			}
			said, saidAt = st, time.Now()
		}
		if who.Control || st.Whole && !f.trial {
			last := m.state.Ledger.Last()
			if _, ok := m.state.Ledger.After(who.Have); !began && sent == nil && ok && who.Life == m.life { // it has been here before
				at, began = who.Have, true
			}
			notes, ok := m.state.Ledger.After(at)
			batch := bridge.Fit(notes, who.Control)
			if f.part != nil && signals.Size(batch) > signals.BatchBytes {
				ok = false
			}
			switch {
			case began && ok:
				if len(batch) > 0 || last-at > bridge.KeptNews/4 {
					w := signals.Word{News: &signals.News{Life: m.life, From: at, To: last, Notes: batch, Epoch: epoch, Number: number}}
					if slices.ContainsFunc(batch, signals.Note.Timed) {
						w.Now = m.clock()
					}
					f.line.Send(w)
					at = last
				} // else nothing of it is for this one: the numbers go with the next batch
			case f.part == nil:
				f.line.Send(signals.Word{News: &signals.News{Life: m.life, To: last, Snapshot: true, Notes: m.state.Snapshot(m.clock(), who.Control), Epoch: epoch, Number: number}, Now: m.clock()})
				at, began = last, true
			default:
				began, who.Life = false, ""
				var cut *signals.Making
				if sent != nil {
					waits = sent.Cut.Name
				}
				if cut, sent = m.cut(f, waits, sent, signals.Head{Life: m.life, To: last, Epoch: epoch, Number: number}); sent == nil {
					making, waits = cut.Done, cut.Name
					break
				}
				words, done := sent.Next(*f.part)
				for _, w := range words {
					f.line.SendFrame(w)
				}
				if !done {
					break
				}
				notes, _ = m.state.Ledger.After(sent.Cut.To) // it is all kept, or the cut weren't sent any more
				f.line.Send(signals.Word{News: &signals.News{Life: m.life, From: sent.Cut.To, To: last, Notes: bridge.Fit(notes, false), Epoch: epoch, Number: number}, Now: m.clock()})
				at, began, sent = last, true, nil
			}
		}
		wait := statusEvery
		if st != said { // it has only just said another: this one follows soon, or others miss what has changed
			wait = statusSoon
		}
		m.mu.Unlock()
		select {
		case <-news:
		case <-f.taken:
		case <-making:
		case <-time.After(wait):
		case <-f.line.Done():
			return
		}
	}
}

// cut finds the snapshot that a router is to be sent, and has one made where none is there: sent is nil until it is. The one that
// it is being sent or waits for goes on as long as it is kept, and one of which the router has a part; else it begins with the
// newest. The caller holds the lock.
func (m *Master) cut(f *follower, waits string, sent *signals.Transfer, h signals.Head) (*signals.Making, *signals.Transfer) {
	now, l := m.clock(), m.state.Ledger
	c := m.cuts.Named(now, waits, h.Life, l)
	if c != nil && sent != nil {
		return c, sent
	}
	if c == nil {
		c = m.cuts.Named(now, f.part.Name, h.Life, l)
	}
	if c == nil {
		c = m.cuts.Fresh(now, h.Life, l)
	}
	if c == nil {
		c = m.cuts.Begin(now, h)
		go c.Make(m.state.Snapshot(m.clock(), false), lines.Frame)
		m.tidy()
	}
	select {
	case <-c.Done:
		if c.Err != nil {
			f.line.Close(c.Err)
			return c, nil
		}
		return c, signals.NewTransfer(c.Cut, *f.part)
	default:
		return c, nil
	}
}

// tidy looks for cuts that nobody asks for any more, as long as one is kept; the caller holds the lock.
func (m *Master) tidy() {
	if m.tidying {
		return
	}
	m.tidying = true
	time.AfterFunc(tidyEvery, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.tidying = false; m.ctx.Err() == nil && m.cuts.Tidy(m.clock()) {
			m.tidy()
		}
	})
}

// found begins to follow another control process that follows here. Its word may be the only one of it: among many routers the
// view that it is noted in forgets it before it is looked at, and it would be no member until gossip brings it up again. The
// caller holds the lock.
func (m *Master) found(ip string) {
	if ip != "" && ip != m.Boot.IP && m.ends[ip] == nil {
		m.ends[ip] = &end{ip: ip, poke: make(chan struct{}, 1)}
		go m.follow(m.ends[ip])
	}
}

// sameLife tells whether two names of lives are of one process that has run on: a mark is put behind the name where its news can't be
// followed any more.
func sameLife(a, b string) bool { return strings.TrimRight(a, "+") == strings.TrimRight(b, "+") }

// asked takes what a follower says.
func (m *Master) asked(f *follower, w signals.Word) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case w.Hello != nil:
		if f.who.IP == "" && !w.Hello.Control {
			f.part, f.trial = w.Part, w.Trial
		}
		select {
		case f.hello <- *w.Hello:
			f.who = *w.Hello
		default:
		}
		kind := convoy.Traffic
		if w.Hello.Control {
			kind = convoy.Control
			f.line.SetPace(lines.Slow)
			m.found(w.Hello.IP)
			m.dialled(w.Hello.IP, f.line)
			if w.Hello.Life != "" && sameLife(w.Hello.Life, m.life) { // else it is told all anew, and takes none of it for gone
				m.state.Renew()
				m.wake()
			}
		}
		m.convoy.Meet(convoy.Member{IP: w.Hello.IP, Kind: kind, Zone: w.Hello.Zone})
	case w.Front != nil && f.who.Name != "" && !f.who.Control:
		x := *w.Front
		x.Name, x.Owner, x.Gone, x.Since = f.who.Name, m.Boot.Name, false, f.front.Since
		f.front, f.trial = m.state.Claim(m.clock(), x), false
		m.wake()
	case w.Polls != nil && !f.who.Control:
		for _, p := range w.Polls {
			p.Front, p.At = f.who.Name, m.clock()
			m.state.TellPoll(p, true)
		}
		m.wake()
	case w.Tons != nil && f.front.Name != "" && !f.who.Control:
		m.tons(f.front.Name, *w.Tons)
	case w.Seen != nil && f.front.Name != "" && !f.who.Control:
		for service, all := range w.Seen {
			m.watch.Told(m.clock(), f.front.Name, service, all)
		}
	case w.Part != nil && f.part != nil:
		f.part = w.Part
		select {
		case f.taken <- struct{}{}:
		default:
		}
	case w.Ack != 0:
		f.acked = max(f.acked, w.Ack)
		if len(m.departing) > 0 && f.who.Control {
			close(m.acks)
			m.acks = make(chan struct{})
		}
	case w.Agreed != nil && f.who.Control:
		m.agreed(f.who.IP, w.Agreed)
	}
}
