// Package harbourmaster is the control process: it hears hosts and routers, keeps the items on disk, takes orders and tells
// the news. What it knows is bridge.State.
package harbourmaster

import (
	"context"
	"fmt"
	"maps"
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
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/papers"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/harbour/quorum"
	"portflow/internal/harbour/rpc"
	"portflow/internal/harbour/sea"
	"portflow/internal/harbour/signals"
	"portflow/internal/harbour/soundings"
	"portflow/internal/harbour/tonnage"
	"portflow/internal/parts/chance"
	"portflow/internal/parts/router"
)

// Options are how a control process runs.
type Options struct {
	Boot    papers.Boot
	PerZone int // control processes in each zone, as the deploy file has it
	Sea     sea.Sea
	Disk    storage.Storage
	Seed    uint64
	Clock   router.Clock // nanoseconds since 1970, never back; none for this machine's, anchored once
}

// Master is a control process that runs.
type Master struct {
	Options
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex // over all that follows
	state     *bridge.State
	news      chan struct{} // closed and made anew when there is news
	ends      map[string]*end
	sought    map[string]bool                      // by IP number, control processes that are named by anything just now
	departing map[string]uint64                    // hosts that say they leave, whose news more than half of the members haven't acknowledged: its number
	departed  map[string]bool                      // hosts that leave, whose news from here they have
	acks      chan struct{}                        // closed and made anew when one of the members acknowledges news, while such hosts wait
	waits     map[uint64]chan quorum.Result        // orders and reads that are under way, by tag
	hung      map[*follower]bool                   // who follows here
	back      map[string]*lines.Line[signals.Word] // by IP number, lines that other control processes dialled
	lastTag   uint64
	rounds    map[string]bool // rollouts whose end this process asks for now
	shelf     soundings.Shelf // snapshots that are asked for
	dock      soundings.Dock  // one that is restored
	restores  int             // how many this life has put in force, or tried to
	settling  map[string]bool // services whose first version this process asks for now
	armed     bool            // a tick of the agreement comes soon
	dirty     bool            // the disk has missed something
	leaving   bool            // it ends
	margin    muster.Margin   // of losses that the core bears, as it is seen here
	recovery  string          // what an operator confirmed when this process was made the whole core
	draw      chance.Source
	stands    bridge.Standing
	dealer    *tonnage.Dealer // of callers' shares
	dealOf    uint64          // the sum of the shares and services that it goes by
	toldSums  bool            // to the other control processes, the last time
	watch     *lookout.Watch
	cuts      signals.Shelf // snapshots that routers are sent
	tidying   bool          // they are looked at again soon

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
	member   muster.Member
	line     *lines.Line[signals.Word]
	follower signals.Follower
	offset   signals.Offset
	again    func()        // ends the dial that is under way
	poke     chan struct{} // has it dialled at once
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
	m := &Master{Options: o, ctx: ctx, cancel: cancel, news: make(chan struct{}), ends: map[string]*end{},
		departing: map[string]uint64{}, departed: map[string]bool{}, acks: make(chan struct{}),
		waits: map[uint64]chan quorum.Result{}, hung: map[*follower]bool{}, back: map[string]*lines.Line[signals.Word]{}, rounds: map[string]bool{}, settling: map[string]bool{},
		dealer: tonnage.NewDealer(), watch: lookout.NewWatch(), draw: chance.Source{Seed: o.Seed},
		clock: o.Clock, life: strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.FormatUint(o.Seed%1e6, 36)}
	if m.clock == nil {
		m.clock = router.NewClock() // a step of the time of day changes nothing
	}
	disk, set, gone, made := m.load(items, cells, whole, book.Repaired)
	member := muster.Member{IP: b.IP, ID: disk.ID, Name: b.Name, Zone: b.Zone}
	m.state = bridge.NewState(signals.Hello{Name: b.Name, IP: b.IP, Zone: b.Zone, Control: true, ID: disk.ID},
		quorum.New(member, m.life, o.PerZone, disk, set, m.clock()), b.Heartbeat)
	for _, i := range set.Standing(manifest.Rollouts) {
		m.state.Ages.Take(m.clock(), pilotage.Read(i), false)
	}
	m.keeper = &keeper{book: book, in: make(chan job, jobs), stop: make(chan struct{}), fail: func(err error) {
		m.refused.Add(1) // the lock may be held
		klog.ErrorS(err, "logbook")
	}}
	if made || len(gone) > 0 {
		m.keeper.keep(job{gone: gone, cells: record(disk), whole: true, done: func() {}})
	}
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
	m.mu.Lock()
	defer m.mu.Unlock()
	klog.InfoS("harbourmaster serves", "node", b.Name, "zone", b.Zone, "items", len(items), "new_disk", made, "spoilt", book.Repaired,
		"core", m.state.Node.String(), "start_ms", time.Since(began).Milliseconds())
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

// wake tells those who follow that there is news; the caller holds the lock.
func (m *Master) wake() {
	close(m.news)
	m.news = make(chan struct{})
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
			gone := func(id string) bool { return m.state.Register.Host(id).ID == "" }
			maps.DeleteFunc(m.departing, func(id string, _ uint64) bool { return gone(id) })
			maps.DeleteFunc(m.departed, func(id string, _ bool) bool { return gone(id) })
		}
		m.step(quorum.Event{Tick: true})
		m.heal()
		m.keepMargin()
		m.deal(n)
		m.judge()
		m.change()
		m.mu.Unlock()
		m.steer()
		if n%300 == 299 {
			m.mu.Lock()
			m.state.Forget(m.clock())
			m.mu.Unlock()
		}
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
		"routers", len(m.state.Roster()), "core", len(m.state.Peers)+1, "agreed", m.state.Node.String(), "agreement", m.state.Node.Counts, "news", m.state.Ledger.Last(),
		"syncs", m.keeper.book.Syncs.Load(), "said", lines.Said.Load(), "said_bytes", lines.SaidBytes.Load(), "beats", lines.Beats.Load(), "foreign", lines.Foreign.Load()+m.convoy.Foreign.Load(), "disk_refusals", m.refused.Load(), "disk_opened_again", m.keeper.book.Reopened.Load(), "calls", m.desk.Counts())
}
