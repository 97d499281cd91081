// Package harbourmaster is the control process: it hears hosts and routers, keeps the items on disk, takes orders and tells
// the news. What it knows is bridge.State.
package harbourmaster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/syndtr/goleveldb/leveldb/storage"
	"k8s.io/klog/v2"

	"portflow/internal/harbour/bridge"
	"portflow/internal/harbour/convoy"
	"portflow/internal/harbour/lines"
	"portflow/internal/harbour/logbook"
	"portflow/internal/harbour/lookout"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/papers"
	"portflow/internal/harbour/rpc"
	"portflow/internal/harbour/sea"
	"portflow/internal/harbour/signals"
	"portflow/internal/harbour/tonnage"
	"portflow/internal/parts/router"
)

var errFull = errors.New("too many orders wait for the disk")

// Options are how a control process runs.
type Options struct {
	Boot    papers.Boot
	PerZone int // control processes in each zone, as the deploy file has it
	Sea     sea.Sea
	Disk    storage.Storage
	Seed    uint64
}

// Master is a control process that runs.
type Master struct {
	Options
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex // over all that follows
	state    *bridge.State
	news     chan struct{} // closed and made anew when there is news
	ends     map[string]*end
	waits    map[uint64]*wait
	hung     map[*follower]bool // who follows here
	lastID   uint64
	rounds   map[string]bool // registers that this process proposes for now
	stands   bridge.Standing
	dealer   *tonnage.Dealer // of callers' shares
	dealOf   uint64          // the sum of the items that it goes by
	toldSums bool            // to the other control processes, the last time
	watch    *lookout.Watch

	clock   router.Clock // anchored once: a step of the time of day changes nothing
	refused atomic.Int64 // writes by the disk
	keeper  *keeper
	convoy  *convoy.Convoy
	life    string
	server  *http.Server
	desk    *rpc.Desk
}

// end is a line that this process dialled to another of the core.
type end struct {
	ip, name string
	line     *lines.Line[signals.Word]
	follower signals.Follower
	asked    time.Time // when its items were last asked for
}

// wait is an order that waits for the core.
type wait struct {
	need int
	have map[string]bool
	done chan struct{}
	over bool
	say  func(from string, r signals.Reply) // of a register's step
}

// Start brings a control process up; it serves until the context ends.
func Start(parent context.Context, o Options) (*Master, error) {
	began := time.Now()
	book, items, cells, whole, err := logbook.Open(o.Disk)
	if err != nil {
		return nil, err
	}
	b := o.Boot
	ctx, cancel := context.WithCancel(parent)
	self := signals.Hello{Name: b.Name, IP: b.IP, Zone: b.Zone, Control: true}
	m := &Master{Options: o, ctx: ctx, cancel: cancel, news: make(chan struct{}), ends: map[string]*end{},
		waits: map[uint64]*wait{}, hung: map[*follower]bool{}, rounds: map[string]bool{}, dealer: tonnage.NewDealer(), watch: lookout.NewWatch(),
		clock: router.NewClock(), life: strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.FormatUint(o.Seed%1e6, 36)}
	intact := whole || b.FirstStart && !book.Repaired
	m.state = bridge.NewState(self, len(b.Zones)*max(1, o.PerZone), items, intact, b.Heartbeat)
	if err := book.Prune(items, func(k manifest.Key) bool { _, ok := m.state.Set.Get(k); return ok }); err != nil {
		klog.ErrorS(err, "pruning")
	}
	for name, raw := range cells {
		var c signals.Cell
		if json.Unmarshal(raw, &c) == nil {
			m.state.Cells[name] = c
		}
	}
	m.keeper = &keeper{book: book, in: make(chan job, jobs), stop: make(chan struct{}), fail: func(err error) {
		m.refused.Add(1) // the lock may be held
		klog.ErrorS(err, "logbook")
	}}
	go m.keeper.run()
	listener, err := o.Sea.Listen(net.JoinHostPort(b.IP, strconv.Itoa(b.Ports[0])))
	if err != nil {
		return nil, m.undo(fmt.Errorf("network.internal-port-range: %w", err))
	}
	packets, err := o.Sea.Packet(net.JoinHostPort(b.IP, strconv.Itoa(b.Ports[0])))
	if err != nil {
		return nil, m.undo(fmt.Errorf("network.internal-port-range: %w", err))
	}
	m.convoy = convoy.Start(convoy.Member{IP: b.IP, Kind: convoy.Control, Zone: b.Zone}, packets,
		[2]int{b.Ports[0], b.Ports[1]}, o.Seed, func(string, []byte) {})
	m.convoy.Meet(Seeds(b)...)
	serve, err := m.listen()
	if err != nil {
		return nil, m.undo(err)
	}
	m.enrol(intact && !whole)
	go m.convoy.Run(ctx)
	go m.accept(listener)
	go m.look()
	go m.tick()
	serve()
	go func() {
		<-ctx.Done()
		listener.Close()
		m.server.Close()
		close(m.keeper.stop)
		book.Close()
	}()
	klog.InfoS("harbourmaster serves", "node", b.Name, "zone", b.Zone, "items", len(items), "intact", intact, "whole", whole,
		"core", m.state.Size, "start_ms", time.Since(began).Milliseconds())
	return m, nil
}

// Standing tells how far this process may be gone by.
func (m *Master) Standing() bridge.Standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Standing()
}

func (m *Master) undo(err error) error {
	m.cancel()
	return err
}

// Seeds are the control processes that the settings file names.
func Seeds(b papers.Boot) (all []convoy.Member) {
	for _, s := range b.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil && host != b.IP {
			all = append(all, convoy.Member{IP: host, Kind: convoy.Control})
		}
	}
	return all
}

// enrol puts this process on the core's list, and marks the disk where this is the first start.
func (m *Master) enrol(first bool) {
	body, _ := json.Marshal(map[string]string{"name": m.Boot.Name, "zone": m.Boot.Zone})
	i := manifest.Item{Kind: manifest.Core, Name: m.Boot.IP, Version: 1, Body: body}
	m.mu.Lock()
	defer m.mu.Unlock()
	news := m.state.Merge([]manifest.Item{i})
	m.state.Publish(news)
	m.keep(news, first, func() {})
}

// keep has the present versions of items written; done is called under no lock. The caller holds the lock.
func (m *Master) keep(items []manifest.Item, whole bool, done func()) {
	now := make([]manifest.Item, 0, len(items))
	for _, i := range items {
		if x, ok := m.state.Set.Get(i.Key()); ok {
			now = append(now, x)
		}
	}
	m.keeper.keep(job{items: now, whole: whole, done: done})
}

// wake tells those who follow that there is news; the caller holds the lock.
func (m *Master) wake() {
	close(m.news)
	m.news = make(chan struct{})
}

// change is the one place where this process's standing is noted; the caller holds the lock.
func (m *Master) change() {
	if s := m.state.Standing(); s != m.stands {
		klog.InfoS("standing", "from", m.stands, "to", s, "heard", len(m.state.Peers), "items", m.state.Set.Len())
		if m.stands == bridge.Adrift && !m.state.FromDisk { // the disk that was lost holds all again
			cells, err := pack(m.state.Bar())
			if err != nil {
				klog.ErrorS(err, "registers")
			}
			m.keeper.keep(job{items: m.state.Set.All(), cells: cells, whole: err == nil, done: func() {}})
		}
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
		for ip := range ips {
			if ip != m.Boot.IP && m.ends[ip] == nil {
				m.ends[ip] = &end{ip: ip}
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

const dialIn = time.Second

// follow holds a line to another control process, for as long as this one runs.
func (m *Master) follow(e *end) {
	for failures := 0; m.ctx.Err() == nil; failures++ {
		ctx, cancel := context.WithTimeout(m.ctx, dialIn)
		c, err := m.Sea.Dial(ctx, "tcp", net.JoinHostPort(e.ip, strconv.Itoa(m.Boot.Ports[0])))
		cancel()
		if err == nil {
			m.hang(e, c)
			failures = 0
		}
		select {
		case <-time.After(min(time.Second, 50*time.Millisecond<<min(failures, 5))):
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
	hello.Life, hello.Have = e.follower.Life, e.follower.Have
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
		m.change()
	}
}

const askAgain = 400 * time.Millisecond // between askings for what differs: news under way makes sums differ for a moment

// hear takes what the other control process says.
func (m *Master) hear(e *end, l *lines.Line[signals.Word], w signals.Word) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch {
	case w.Hello != nil:
		e.name, e.line = w.Hello.Name, l
		m.convoy.Meet(convoy.Member{IP: w.Hello.IP, Kind: convoy.Control, Zone: w.Hello.Zone})
		m.state.Found(e.name)
	case e.line != l:
	case w.Status != nil:
		if m.state.Heard(e.ip, *w.Status) {
			m.ask(now)
		}
		m.change()
	case w.News != nil:
		if e.follower.Take(w.News.Life, w.News.From, w.News.To, w.News.Snapshot) {
			for _, n := range w.News.Notes {
				m.state.Take(m.clock(), n)
			}
			m.wake()
			l.Send(signals.Word{Ack: w.News.To})
		} else if w.News.Life != e.follower.Life || w.News.To > e.follower.Have {
			l.Close(errors.New("news does not follow"))
		}
	case w.Tons != nil:
		m.dealer.Zone(m.clock(), e.name, w.Tons.Sums, w.Tons.Loads)
	case w.Given:
		news := m.state.Merge(w.Items)
		m.keep(news, false, func() {})
		m.state.Publish(news)
		m.state.Synced(e.ip)
		m.change()
		m.wake()
	case w.Stored != 0:
		m.acknowledged(w.Stored, e.ip)
	case w.Reply != nil:
		if x := m.waits[w.Reply.ID]; x != nil && x.say != nil && m.state.Counts(e.ip) {
			x.say(e.ip, *w.Reply)
		}
	}
}

// ask asks those who have other items for what differs; who was asked lately is asked again by the next tick, if it still
// has. The caller holds the lock.
func (m *Master) ask(now time.Time) {
	for _, e := range m.ends {
		if e.line == nil || now.Sub(e.asked) < askAgain || !m.state.Differs(m.clock(), e.ip) {
			continue
		}
		e.asked = now
		sums := m.state.Set.Sums()
		e.line.Send(signals.Word{Want: sums[:]})
	}
}

// acknowledged counts one holder of an order's items; the caller holds the lock.
func (m *Master) acknowledged(id uint64, from string) {
	x := m.waits[id]
	if x == nil || x.say != nil || from != m.Boot.IP && !m.state.Counts(from) || from == m.Boot.IP && !m.state.Intact() {
		return
	}
	if x.have[from] = true; len(x.have) >= x.need && !x.over {
		x.over = true
		close(x.done)
	}
}

// store has items kept by more than half of the core, and tells them to the routers. It returns once they are kept, or the
// context ends: then they may be kept or not.
func (m *Master) store(ctx context.Context, items []manifest.Item) error {
	if len(items) == 0 {
		return nil
	}
	m.mu.Lock()
	m.lastID++
	id := m.lastID
	x := &wait{need: m.state.Majority(), have: map[string]bool{}, done: make(chan struct{})}
	m.waits[id] = x
	m.state.Merge(items)
	told := false
	tell := func() { // once: by this disk or by more than half of the others, whichever comes first
		if !told {
			told = true
			m.state.Publish(items)
			m.wake()
		}
	}
	m.keep(items, false, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		tell()
		m.acknowledged(id, m.Boot.IP)
	})
	for _, e := range m.ends {
		if e.line != nil {
			e.line.Send(signals.Word{Store: &signals.Store{ID: id, Items: items}})
		}
	}
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.waits, id)
	}()
	select {
	case <-x.done:
		m.mu.Lock()
		defer m.mu.Unlock()
		tell()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-m.ctx.Done():
		return m.ctx.Err()
	}
}

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
		if !who.Control {
			st.Sum = 0 // of no use to a router
		}
		if st != said && (!who.Control || time.Since(saidAt) > statusSoon || st.Whole != said.Whole ||
			st.Majority != said.Majority || st.Intact != said.Intact) || time.Since(saidAt) >= statusEvery {
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
					f.line.Send(signals.Word{News: &signals.News{Life: m.life, To: last, Snapshot: true, Notes: m.state.Snapshot(who.Control)}})
				} else if last > at {
					if batch := bridge.Fit(notes, who.Control); len(batch) > 0 || last-at > bridge.KeptNews/4 {
						f.line.Send(signals.Word{News: &signals.News{Life: m.life, From: at, To: last, Notes: batch}})
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
	case w.Ack != 0:
		f.acked = max(f.acked, w.Ack)
	case w.Store != nil && f.who.Control:
		news, id := m.state.Merge(w.Store.Items), w.Store.ID
		m.keep(w.Store.Items, false, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.state.Publish(news)
			m.wake()
			f.line.Send(signals.Word{Stored: id})
		})
	case w.Want != nil && f.who.Control && len(w.Want) == manifest.Parts:
		f.line.Send(signals.Word{Items: m.state.Set.Differing([manifest.Parts]uint64(w.Want)), Given: true})
	case w.Ask != nil && f.who.Control:
		m.answer(*w.Ask, func(r signals.Reply) { f.line.Send(signals.Word{Reply: &r}) })
	}
}

// tick looks for hosts that have become silent and for rollouts to be ended.
func (m *Master) tick() {
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
		m.mu.Lock()
		for _, h := range m.state.Register.Tick(m.clock(), m.state.Standing() == bridge.InTouch) {
			klog.InfoS("host silent", "host", h.ID, "service", h.Service, "zone", h.Zone)
			m.state.TellHost(h, h.Owner == m.Boot.Name)
			m.wake()
		}
		if m.state.Tick(m.clock()) {
			m.wake()
		}
		if n%5 == 4 {
			m.reclaim()
		}
		m.ask(time.Now())
		m.deal(n)
		m.judge()
		m.change()
		m.mu.Unlock()
		m.steer()
		if n%50 == 49 {
			m.Log()
		}
	}
}

// reclaim tells anew of routers that are heard here and were taken for gone elsewhere; the caller holds the lock.
func (m *Master) reclaim() {
	for f := range m.hung {
		in := f.line.In.Load()
		x, known := m.state.Fronts[f.front.Name]
		if known && (x.Gone || x.Owner != m.Boot.Name) && in > f.in {
			f.front = m.state.Claim(m.clock(), f.front)
			m.wake()
		}
		f.in = in
	}
}

// Log writes the counters on one line.
func (m *Master) Log() {
	m.mu.Lock()
	defer m.mu.Unlock()
	klog.InfoS("counters", "standing", m.state.Standing(), "items", m.state.Set.Len(), "hosts", len(m.state.Register.All()),
		"routers", len(m.state.Roster()), "core", len(m.state.Peers)+1, "news", m.state.Ledger.Last(),
		"syncs", m.keeper.book.Syncs.Load(), "said", lines.Said.Load(), "said_bytes", lines.SaidBytes.Load(), "beats", lines.Beats.Load(), "foreign", lines.Foreign.Load()+m.convoy.Foreign.Load(), "disk_refusals", m.refused.Load(), "calls", m.desk.Counts())
}
