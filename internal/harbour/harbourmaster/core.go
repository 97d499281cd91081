package harbourmaster

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"portflow/internal/harbour/bridge"
	"portflow/internal/harbour/convoy"
	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/lines"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/orders"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/harbour/quorum"
	"portflow/internal/harbour/signals"
)

// nodeCell is the record of the agreement on disk, beside the items.
const nodeCell = "node"

func record(d quorum.Disk) map[string][]byte {
	raw, err := json.Marshal(d)
	if err != nil { // it holds items that were read as JSON
		panic(err)
	}
	return map[string][]byte{nodeCell: raw}
}

// load is what the disk gives the agreement: the record that it holds, or a new one where the disk is new, was lost or is
// spoilt. Who comes with a new record is no member until it is voted in; only at the first start it may be a founder. A disk
// of before the agreement names the founders by the core's items. gone are items that are not to stay on disk.
func (m *Master) load(items []manifest.Item, cells map[string][]byte, whole, spoilt bool) (d quorum.Disk, set *manifest.Set, gone []manifest.Key, made bool) {
	set = manifest.NewSet()
	var old []string
	for _, i := range items {
		if i.Kind == manifest.Core && i.Key() != muster.Key {
			old, gone = append(old, i.Name), append(gone, i.Key())
			continue
		}
		set.Merge(i)
	}
	gone = append(gone, set.Forgotten()...)
	if raw, there := cells[nodeCell]; there && whole && !spoilt && json.Unmarshal(raw, &d) == nil && d.ID != "" {
		return d, set, gone, false
	}
	d = quorum.Disk{ID: m.life}
	switch {
	case spoilt:
	case whole && len(old) > 0:
		d.Founders = old
	case m.Boot.FirstStart && len(items) == 0:
		for _, s := range m.Boot.Seeds {
			if host, _, err := net.SplitHostPort(s); err == nil && !slices.Contains(d.Founders, host) {
				d.Founders = append(d.Founders, host)
			}
		}
		if len(d.Founders) == 0 {
			d.Founders = []string{m.Boot.IP}
		}
	}
	slices.Sort(d.Founders)
	return d, set, gone, true
}

// step steps the agreement, and does what comes of it. The caller holds the lock.
func (m *Master) step(e quorum.Event) {
	e.Now, e.Chance = m.clock(), m.draw.Next()
	epoch, number, whole := m.state.Node.List().Epoch, m.state.Node.Applied(), m.state.Node.Whole()
	out := m.state.Node.Step(e)
	if out.Disk != nil && !m.dirty {
		synced := out.Synced
		ok := m.keeper.keep(job{items: out.Items, gone: out.Gone, cells: record(*out.Disk), done: func() {
			if len(synced) == 0 {
				return
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			m.say(synced)
		}})
		if !ok { // the disk hangs: what it has is of one number still, and nothing more goes to it until all does
			m.dirty = true
			m.state.Node.Mute(true)
		}
	}
	m.say(out.Send)
	for _, a := range out.Answers {
		if w := m.waits[a.Tag]; w != nil {
			delete(m.waits, a.Tag)
			w <- a.Result
		}
	}
	m.state.Publish(m.clock(), out.News, whole) // what comes before it is whole may be from before it started
	recovered := number > 0 && m.state.Node.Applied() >= number+quorum.Jump
	if out.Cut || recovered { // what isn't there any more can't be told as a change: who follows takes a snapshot
		m.life += "+"
		for f := range m.hung {
			f.line.Close(errors.New("the set was taken over"))
		}
	}
	if l := m.state.Node.List(); l.Epoch != epoch {
		klog.InfoS("members", "epoch", l.Epoch, "of", len(l.Members), "down", m.state.Node.Down(), "member", m.state.Node.Member())
	}
	if out.Changed {
		m.wake()
	}
	m.change()
	if e.Lost || e.Peer != nil || m.state.Node.List().Epoch != epoch { // a loss may be over before the next look
		m.keepMargin()
	}
	if m.state.Node.Busy() && !m.armed {
		m.armed = true
		time.AfterFunc(soon, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.armed = false; m.ctx.Err() == nil {
				m.step(quorum.Event{Tick: true})
			}
		})
	}
}

const soon = 50 * time.Millisecond // between ticks of the agreement while something of it is under way

// heal writes all to a disk that has missed something, once it takes writes again; the caller holds the lock.
func (m *Master) heal() {
	if m.dirty && m.keeper.idle() && m.keeper.keep(job{rewrite: true, items: m.state.Set.All(), cells: record(m.state.Node.Disk()), whole: true, done: func() {}}) {
		m.dirty = false
		m.state.Node.Mute(false)
	}
}

// say sends messages of the agreement, on either line between two processes; what can't be sent is lost, as on its way. The
// caller holds the lock.
func (m *Master) say(all map[string][]quorum.Message) {
	for ip, messages := range all {
		for _, x := range messages {
			if ip == m.Boot.IP {
				m.step(quorum.Event{From: ip, Message: &x})
				continue
			}
			l := m.back[ip] // the line that it dialled, until this process's own is up
			if e := m.ends[ip]; e != nil && e.line != nil {
				l = e.line
			}
			if l == nil {
				continue
			}
			raw, err := json.Marshal(x)
			if err != nil {
				klog.ErrorS(err, "agreement")
				continue
			}
			l.Send(signals.Word{Agreed: raw})
		}
	}
}

// agreed takes a message of the agreement; the caller holds the lock.
func (m *Master) agreed(from string, raw []byte) {
	var x quorum.Message
	if err := json.Unmarshal(raw, &x); err != nil {
		lines.Foreign.Add(1)
		return
	}
	m.step(quorum.Event{From: from, Message: &x})
}

// submit has the core take an order. It returns once the order stands, kept by more than half, or is refused for good, or
// the context ends: then it may stand or not, and is decided or gone soon.
func (m *Master) submit(ctx context.Context, o orders.Order) error {
	return m.await(ctx, quorum.Event{Order: &o})
}

// confirm waits until this process has all that was decided when the call came: it asks more than half of the members.
func (m *Master) confirm(ctx context.Context) error { return m.await(ctx, quorum.Event{Read: true}) }

func (m *Master) await(ctx context.Context, e quorum.Event) error {
	ctx, cancel := context.WithTimeout(ctx, answerIn)
	defer cancel()
	m.mu.Lock()
	err := m.ready()
	if e.Order != nil && e.Order.Kind == orders.Join { // also one that leaves asks for it
		err = m.inTouch()
	}
	if err != nil {
		m.mu.Unlock()
		return err
	}
	m.lastTag++
	e.Tag = m.lastTag
	done := make(chan quorum.Result, 1)
	m.waits[e.Tag] = done
	m.step(e)
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.waits, e.Tag)
	}()
	select {
	case r := <-done:
		return r.Err()
	case <-ctx.Done():
		return faults.Wrap(faults.Unready, ctx.Err(), "not yet known to more than half of the core")
	case <-m.ctx.Done():
		return faults.Wrap(faults.Unready, m.ctx.Err(), "this process ends")
	}
}

// dialled notes that another control process follows here, and is there: this one dials it at once. The caller holds the
// lock.
func (m *Master) dialled(ip string, l *lines.Line[signals.Word]) {
	m.back[ip] = l
	if e := m.ends[ip]; e != nil && e.line == nil {
		if e.again != nil {
			e.again()
		}
		select {
		case e.poke <- struct{}{}:
		default:
		}
	}
}

// change is the one place where this process's standing is noted; the caller holds the lock.
func (m *Master) change() {
	if s := m.state.Standing(); s != m.stands {
		klog.InfoS("standing", "from", m.stands, "to", s, "heard", len(m.state.Peers), "core", m.state.Node.String())
		m.stands = s
		m.wake()
	}
}

// look finds the others of the core and keeps a line to each.
func (m *Master) look() {
	for n := 0; m.ctx.Err() == nil; n++ {
		ips := map[string]bool{}
		for _, s := range m.convoy.Members() {
			if s.Kind == convoy.Control {
				ips[s.IP] = true
			}
		}
		for _, s := range Seeds(m.Boot) {
			ips[s.IP] = true
		}
		m.mu.Lock()
		for _, ip := range m.state.Members() {
			ips[ip] = true
		}
		m.sought = ips
		for ip := range ips {
			if ip != m.Boot.IP && m.ends[ip] == nil {
				m.ends[ip] = &end{ip: ip, poke: make(chan struct{}, 1)}
				go m.follow(m.ends[ip])
			}
		}
		m.mu.Unlock()
		wait := 100 * time.Millisecond
		if n > 50 {
			wait = time.Second
		}
		select {
		case <-time.After(wait):
		case <-m.ctx.Done():
		}
	}
}

const (
	dialIn   = time.Second
	mostDead = 600 // dials of one that nothing names any more, a second or two each, before it is given up
)

// follow holds a line to another control process, for as long as this one runs.
func (m *Master) follow(e *end) {
	for failures := 0; m.ctx.Err() == nil; failures++ {
		ctx, cancel := context.WithTimeout(m.ctx, dialIn)
		m.mu.Lock()
		e.again = cancel
		dead := failures > mostDead && !m.sought[e.ip]
		if dead { // should it come back, it dials this one, and is found
			delete(m.ends, e.ip)
		}
		m.mu.Unlock()
		if dead {
			cancel()
			return
		}
		c, err := m.Sea.Dial(ctx, "tcp", net.JoinHostPort(e.ip, strconv.Itoa(m.Boot.Ports[0])))
		cancel()
		if err == nil {
			m.hang(e, c)
			failures = 0
		}
		select {
		case <-time.After(min(time.Second, 50*time.Millisecond<<min(failures, 5))):
		case <-e.poke: // it dialled: it is there again
		case <-m.ctx.Done():
		}
	}
}

// hang follows on one connection until it ends.
func (m *Master) hang(e *end, c net.Conn) {
	l := lines.Open[signals.Word](c, lines.Slow)
	stop := context.AfterFunc(m.ctx, func() { l.Close(m.ctx.Err()) })
	defer stop()
	hello := m.state.Self
	m.mu.Lock()
	hello.Life, hello.Have, hello.Now = e.follower.Life, e.follower.Have, m.clock()
	m.mu.Unlock()
	l.Send(signals.Word{Hello: &hello})
	err := l.Run(func(w signals.Word) { m.hear(e, l, w) })
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.line == l {
		e.line = nil
		m.state.Lost(m.clock(), e.ip, e.name)
		m.dealer.Lost(m.clock(), e.name)
		klog.InfoS("line lost", "to", e.name, "why", err)
		m.step(quorum.Event{Lost: true, From: e.ip})
	}
}

// hear takes what the other control process says.
func (m *Master) hear(e *end, l *lines.Line[signals.Word], w signals.Word) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case w.Hello != nil:
		e.name, e.line, e.offset = w.Hello.Name, l, signals.Offset{}
		e.offset.Heard(w.Hello.Now, m.clock())
		e.member = muster.Member{IP: e.ip, ID: w.Hello.ID, Name: w.Hello.Name, Zone: w.Hello.Zone}
		m.convoy.Meet(convoy.Member{IP: w.Hello.IP, Kind: convoy.Control, Zone: w.Hello.Zone})
		m.state.Found(e.name)
	case e.line != l:
	case w.Status != nil:
		e.offset.Heard(w.Now, m.clock())
		for _, s := range w.Ages {
			s.Began = e.offset.Here(s.Began)
			m.state.Ages.Hear(s)
		}
		m.state.Heard(e.ip, *w.Status)
		m.step(quorum.Event{From: e.ip, Peer: &quorum.Peer{Member: e.member, Epoch: w.Status.Epoch, Applied: w.Status.Number, Whole: w.Status.Whole && !w.Status.Leaving}})
	case w.News != nil:
		e.offset.Heard(w.Now, m.clock())
		if e.follower.Take(w.News.Life, w.News.From, w.News.To, w.News.Snapshot) {
			for _, n := range w.News.Notes {
				m.state.Take(m.clock(), n.Here(e.offset))
			}
			if w.News.Snapshot {
				m.state.Listed(m.clock(), e.name, w.News.Notes)
			}
			m.wake()
			l.Send(signals.Word{Ack: w.News.To})
		} else if w.News.Life != e.follower.Life || w.News.To > e.follower.Have {
			l.Close(errors.New("news does not follow"))
		}
	case w.Agreed != nil:
		m.agreed(e.ip, w.Agreed)
	case w.Tons != nil:
		m.dealer.Zone(m.clock(), e.name, w.Tons.Sums, w.Tons.Loads)
	}
}

// day is the time of day as the core has it, and whether more than half of the members agree on it. It is for people to read,
// and for rollouts that no process has seen begin. The caller holds the lock.
func (m *Master) day() (int64, bool) {
	apart, list := []int64{}, m.state.Node.List()
	for _, x := range list.Members {
		if e := m.ends[x.IP]; e != nil && e.line != nil && e.member.ID == x.ID {
			apart = append(apart, e.offset.Ahead())
		} else if x.IP == m.Boot.IP {
			apart = append(apart, 0)
		}
	}
	return pilotage.Day(m.clock(), apart, len(list.Members))
}

// ready tells whether this process may take orders; the caller holds the lock.
func (m *Master) ready() error {
	if m.leaving {
		return faults.New(faults.Unready, "this process ends")
	}
	return m.inTouch()
}

func (m *Master) inTouch() error {
	if s := m.state.Standing(); s != bridge.InTouch {
		return faults.New(faults.Unready, "this process is %v: %v, down %v", s, m.state.Node, m.state.Node.Down())
	}
	return nil
}
