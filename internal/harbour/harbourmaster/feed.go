package harbourmaster

import (
	"context"
	"net"
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
)

// feed tells the news on one line until it ends.
func (m *Master) feed(c net.Conn) {
	l := lines.Open[signals.Word](c, lines.Quick) // until it has said who it is
	stop := context.AfterFunc(m.ctx, func() { l.Close(m.ctx.Err()) })
	defer stop()
	self := m.state.Self
	self.Now = m.clock()
	l.Send(signals.Word{Hello: &self})
	f := &follower{line: l, hello: make(chan signals.Hello, 1)}
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
	in    int64 // bytes that had come when it was last looked at
}

// tell sends news as it comes: all that is there at once goes into one batch.
func (m *Master) tell(f *follower) {
	var who signals.Hello
	select {
	case who = <-f.hello:
	case <-f.line.Done():
		return
	}
	at, began := uint64(0), false
	var said signals.Status
	saidAt := time.Time{}
	for {
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
				f.line.Send(signals.Word{Status: &st})
			}
			said, saidAt = st, time.Now()
		}
		if who.Control || st.Whole {
			last := m.state.Ledger.Last()
			notes, ok := m.state.Ledger.After(at)
			switch {
			case !began && who.Life == m.life:
				if _, ok = m.state.Ledger.After(who.Have); ok { // it has been here before
					at, began = who.Have, true
					notes, _ = m.state.Ledger.After(at)
				}
				fallthrough
			default:
				if !began || !ok {
					f.line.Send(signals.Word{News: &signals.News{Life: m.life, To: last, Snapshot: true, Notes: m.state.Snapshot(who.Control), Epoch: epoch, Number: number}})
				} else if last > at {
					if batch := bridge.Fit(notes, who.Control); len(batch) > 0 || last-at > bridge.KeptNews/4 {
						f.line.Send(signals.Word{News: &signals.News{Life: m.life, From: at, To: last, Notes: batch, Epoch: epoch, Number: number}})
					} else {
						last = at // nothing of it is for this one: the numbers go with the next batch
					}
				}
				at, began = last, true
			}
		}
		wait := statusEvery
		if st != said { // it has only just said another: this one follows soon, or others miss what has changed
			wait = statusSoon
		}
		m.mu.Unlock()
		select {
		case <-news:
		case <-time.After(wait):
		case <-f.line.Done():
			return
		}
	}
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

// asked takes what a follower says.
func (m *Master) asked(f *follower, w signals.Word) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case w.Hello != nil:
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
			m.state.Renew()
			m.wake()
		}
		m.convoy.Meet(convoy.Member{IP: w.Hello.IP, Kind: kind, Zone: w.Hello.Zone})
	case w.Front != nil && f.who.Name != "" && !f.who.Control:
		x := *w.Front
		x.Name, x.Owner, x.Gone, x.Since = f.who.Name, m.Boot.Name, false, f.front.Since
		f.front = m.state.Claim(m.clock(), x)
		m.wake()
	case w.Polls != nil && !f.who.Control:
		for _, p := range w.Polls {
			p.Front, p.At = f.who.Name, m.coreNow()
			m.state.TellPoll(p, true)
		}
		m.wake()
	case w.Tons != nil && f.front.Name != "" && !f.who.Control:
		m.tons(f.front.Name, *w.Tons)
	case w.Seen != nil && f.front.Name != "" && !f.who.Control:
		for service, all := range w.Seen {
			m.watch.Told(m.clock(), f.front.Name, service, all)
		}
	case w.Ack != 0:
		f.acked = max(f.acked, w.Ack)
	case w.Agreed != nil && f.who.Control:
		m.agreed(f.who.IP, w.Agreed)
	}
}
