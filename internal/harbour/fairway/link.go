package fairway

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"portflow/internal/harbour/convoy"
	"portflow/internal/harbour/lanes"
	"portflow/internal/harbour/lines"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/harbour/signals"
	"portflow/rules"
)

type pilotageRollout = pilotage.Rollout

// notes takes what the rules note: a vote that has changed, with what it goes by.
type notes struct{ service string }

func (n notes) Write(line []byte) (int, error) {
	klog.InfoS("rules", "service", n.service, "note", strings.TrimSpace(string(line)))
	return len(line), nil
}

const (
	voters   = pilotage.Voters
	voteLife = pilotage.Life
)

// link is a held connection to a control process, from the dial to its end. The one in Fairway.link is the one that this router
// follows; another may be tried beside it.
type link struct {
	ip       string
	line     *lines.Line[signals.Word]
	follower signals.Follower
	offset   signals.Offset    // of its clock; under the lock
	incoming *signals.Assembly // a snapshot that comes in; it goes on on the next line
	came     time.Time         // when its last chunk did
	chosen   chan struct{}     // closed once this router follows it
	ended    chan error        // why it ended, once
}

const (
	dialIn    = time.Second
	avoidFor  = 3 * time.Second         // a control process that failed is asked after the others
	lookEvery = 1500 * time.Millisecond // for a nearer one
	patience  = 600 * time.Millisecond  // with a control process that is behind, or hears too few others
	partFor   = 30 * time.Second        // for which a part of a snapshot is kept: no longer than control keeps the rest
)

// known are the control processes, by IP number, with their zones as far as they are known.
func (f *Fairway) known() map[string]string {
	f.mu.Lock()
	known := f.board.Set.Members()
	f.mu.Unlock()
	for _, m := range f.convoy.Members() {
		if _, there := known[m.IP]; m.Kind == convoy.Control && (!there || m.Zone != "") {
			known[m.IP] = m.Zone
		}
	}
	for _, s := range f.Boot.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			if _, there := known[host]; !there {
				known[host] = ""
			}
		}
	}
	return known
}

// distances tells how far control processes are: 0 this zone, 1 this region, 2 beyond.
func (f *Fairway) distances() func(ip string) int {
	known := f.known()
	return func(ip string) int {
		switch zone := known[ip]; {
		case zone == f.Boot.Zone:
			return 0
		case f.Boot.Zones[zone] == f.Boot.Region:
			return 1
		}
		return 2
	}
}

// candidates are the control processes that are known, the nearest first; among equals this router's own order, so that
// many do not all hang on the same one.
func (f *Fairway) candidates() (all []string) {
	far := f.distances()
	for ip := range f.known() {
		all = append(all, ip)
	}
	slices.SortFunc(all, func(a, b string) int {
		if d := far(a) - far(b); d != 0 {
			return d
		}
		return cmp.Compare(mix(a, f.Seed), mix(b, f.Seed))
	})
	return all
}

func mix(text string, seed uint64) uint64 {
	for _, c := range []byte(text) {
		seed = (seed ^ uint64(c)) * 0x100000001b3
	}
	return seed ^ seed>>29
}

// follow keeps a line to a control process, for as long as this one runs: the nearest that takes it.
func (f *Fairway) follow() {
	avoid := map[string]time.Time{}
	for f.ctx.Err() == nil {
		f.forgetPart()
		all := f.candidates()
		slices.SortStableFunc(all, func(a, b string) int { // those that failed lately come last
			return int(min(1, max(0, time.Until(avoid[a])))) - int(min(1, max(0, time.Until(avoid[b]))))
		})
		if len(all) > 0 {
			k, err := f.dial(f.ctx, all[0], false)
			if err != nil {
				f.failed(avoid, all[0], err)
			}
			for err == nil && k != nil {
				next := f.nearer(k, avoid) // until it ends, or a nearer one has taken its place
				if why := <-k.ended; next != nil {
					klog.InfoS("line ended", "to", k.ip, "why", why)
				} else {
					f.failed(avoid, k.ip, why)
				}
				k = next
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-f.ctx.Done():
		}
	}
}

// failed notes that a control process is of no use for a while.
func (f *Fairway) failed(avoid map[string]time.Time, ip string, why error) {
	klog.InfoS("line ended", "to", ip, "why", why)
	avoid[ip] = time.Now().Add(avoidFor)
}

var errBehind = errors.New("it is behind, or hears too few others")

var errNearer = errors.New("a nearer one is followed")

// nearer tries, every now and then, the nearest control process that is nearer than the one that this router follows and hasn't failed
// it of late: who starts knows seeds only, and would else follow one of another region for good. It is tried beside the line that
// there is, which ends only once the nearer one has said that it is whole and hears more than half of the core: one that is cut off,
// dark or frozen for long costs the router nothing. It returns the one that is followed in the place of k, or nil once k has ended.
func (f *Fairway) nearer(k *link, avoid map[string]time.Time) *link {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	go func() {
		select {
		case <-k.line.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	for {
		select {
		case <-t.C:
		case <-k.line.Done():
			return nil
		}
		far := f.distances()
		for _, ip := range f.candidates() {
			if far(ip) >= far(k.ip) {
				break
			}
			if time.Now().Before(avoid[ip]) {
				continue
			}
			x, err := f.dial(ctx, ip, true)
			if err == nil {
				select {
				case <-x.chosen:
					return x
				case <-k.line.Done():
				case err = <-x.ended:
				}
				select {
				case <-x.chosen: // which ended k
					return x
				default:
				}
				x.line.Close(errBehind)
			}
			if err != nil && ctx.Err() == nil {
				f.failed(avoid, ip, err)
			}
			break // another one at the next look
		}
	}
}

// dial opens a line to a control process, which this router follows at once; or, as a trial beside the one that there is, once it
// has said that it may be followed.
func (f *Fairway) dial(ctx context.Context, ip string, trial bool) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialIn)
	c, err := f.Sea.Dial(ctx, "tcp", net.JoinHostPort(ip, strconv.Itoa(f.Boot.Ports[0])))
	cancel()
	if err != nil {
		return nil, err
	}
	l := lines.Open[signals.Word](c, lines.Quick)
	k := &link{ip: ip, line: l, incoming: &signals.Assembly{}, chosen: make(chan struct{}), ended: make(chan error, 1)}
	f.mu.Lock()
	hello := signals.Hello{Name: f.Boot.Name, IP: f.Boot.IP, Zone: f.Boot.Zone}
	if f.link != nil {
		hello.Life, hello.Have = f.link.follower.Life, f.link.follower.Have
	}
	if f.link != nil && !trial { // a part of a snapshot goes on, by whoever has the rest
		k.incoming, k.came = f.link.incoming, f.link.came
	}
	part := k.incoming.Part()
	f.mu.Unlock()
	l.Send(signals.Word{Hello: &hello, Part: &part, Trial: trial})
	if !trial {
		f.turnTo(k)
	}
	go func() { k.ended <- f.hang(k) }()
	return k, nil
}

// turnTo has this router follow a line; the one before ends.
func (f *Fairway) turnTo(k *link) {
	f.mu.Lock()
	old := f.link
	if old != nil {
		k.follower = old.follower
	}
	f.link = k
	f.since = time.Now().UnixNano()
	f.mu.Unlock()
	close(k.chosen)
	if old != nil {
		old.line.Close(errNearer)
	}
	f.tellSelf()
}

// follows tells whether a line is the one that this router follows.
func (f *Fairway) follows(k *link) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.link == k
}

// hang hears what is said on a line until it ends.
func (f *Fairway) hang(k *link) error {
	l := k.line
	stop := context.AfterFunc(f.ctx, func() { l.Close(f.ctx.Err()) })
	defer stop()
	timer := time.AfterFunc(patience, func() { l.Close(errBehind) })
	defer timer.Stop()
	err := l.Run(func(w signals.Word) {
		f.heard(k, w)
		if w.Status != nil {
			if w.Status.Whole && w.Status.Majority {
				timer.Stop()
				select {
				case <-k.chosen:
				default:
					f.turnTo(k)
				}
			} else {
				timer.Reset(patience)
			}
		}
		switch {
		case !f.follows(k): // it is tried, or another has taken its place
		case w.Status != nil && w.Status.Whole && w.Status.Majority:
			if f.cutOff.Swap(0) != 0 {
				f.rejoined.Store(f.clock()) // others may have taken its parts over
			}
		case w.News != nil:
			f.hear(k, *w.News)
		case w.Chunk != nil:
			f.gather(k, *w.Chunk)
		case w.Tons != nil:
			f.dealt(*w.Tons)
		}
	})
	if f.follows(k) {
		f.cutOff.CompareAndSwap(0, f.clock())
	}
	return err
}

// heard goes by what a word tells of the clock of who says it.
func (f *Fairway) heard(k *link, w signals.Word) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.Hello != nil {
		k.offset.Heard(w.Hello.Now, f.clock())
	}
	k.offset.Heard(w.Now, f.clock())
}

// gather takes a snapshot's chunk. Nothing of it is in force before the whole is there with what came since.
func (f *Fairway) gather(k *link, c signals.Chunk) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := k.incoming.Take(c); err != nil {
		k.line.Close(err)
		return
	}
	k.came = time.Now()
	part := k.incoming.Part()
	k.line.Send(signals.Word{Part: &part})
}

// forgetPart lets a part of a snapshot go whose rest nobody keeps any more.
func (f *Fairway) forgetPart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.link != nil && time.Since(f.link.came) > partFor {
		f.link.incoming.Drop()
	}
}

// hear takes a batch of news.
func (f *Fairway) hear(k *link, n signals.News) {
	f.mu.Lock()
	if notes, ok := k.incoming.Close(n); ok { // the snapshot and what came since, in one step
		n.Notes, n.Snapshot = notes, true
	} else if n.Snapshot {
		k.incoming.Drop()
	}
	if !k.follower.Take(n.Life, n.From, n.To, n.Snapshot) {
		f.mu.Unlock()
		k.line.Close(errors.New("news does not follow"))
		return
	}
	for i := range n.Notes {
		n.Notes[i] = n.Notes[i].Here(k.offset)
	}
	f.publish(f.board.TakeAt(lanes.Mark{Epoch: n.Epoch, Number: n.Number}, n.Notes, n.Snapshot))
	k.line.Send(signals.Word{Ack: n.To})
	f.mu.Unlock()
	if n.Snapshot {
		f.ready.Store(true)
		f.tellSelf()
	}
}

// tellSelf tells control how this router is.
func (f *Fairway) tellSelf() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.link == nil {
		return
	}
	f.link.line.Send(signals.Word{Front: &signals.Front{Name: f.Boot.Name, Zone: f.Boot.Zone, IP: f.Boot.IP,
		Address: f.Boot.Listen["front"], Ready: f.Ready(), Short: f.lent.Load(), Since: f.since}})
}

// Vote tells control a vote, as the rules do.
func (f *Fairway) Vote(p signals.Poll) {
	go func() { // the rules are in the middle of a step, and the lock may be held by who posts to them
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.link != nil && rules.Verdict(p.Verdict) <= rules.Back {
			f.link.line.Send(signals.Word{Polls: []signals.Poll{p}})
		}
	}()
}
