package fairway

import (
	"cmp"
	"context"
	"errors"
	"maps"
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

// link is the held connection to the control process that this router follows.
type link struct {
	ip       string
	line     *lines.Line[signals.Word]
	follower signals.Follower
	offset   signals.Offset    // of its clock; under the lock
	incoming *signals.Assembly // a snapshot that comes in; it goes on on the next line
	came     time.Time         // when its last chunk did
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
			ip := all[0]
			ctx, cancel := context.WithTimeout(f.ctx, dialIn)
			c, err := f.Sea.Dial(ctx, "tcp", net.JoinHostPort(ip, strconv.Itoa(f.Boot.Ports[0])))
			cancel()
			if err == nil {
				err = f.hang(ip, c, avoid)
			}
			klog.InfoS("line ended", "to", ip, "why", err)
			if err != errNearer {
				avoid[ip] = time.Now().Add(avoidFor)
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-f.ctx.Done():
		}
	}
}

var errBehind = errors.New("it is behind, or hears too few others")

var errNearer = errors.New("a nearer one is known")

// nearer ends the line once a nearer control process is known that has not failed this router of late. Who starts knows
// seeds only, and would else follow one of another region for good.
func (f *Fairway) nearer(l *lines.Line[signals.Word], ip string, avoid map[string]time.Time) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-l.Done():
			return
		}
		all := f.candidates()
		far := f.distances()
		if len(all) > 0 && far(all[0]) < far(ip) && time.Now().After(avoid[all[0]]) {
			l.Close(errNearer)
			return
		}
	}
}

// hang follows on one connection until it ends.
func (f *Fairway) hang(ip string, c net.Conn, avoid map[string]time.Time) error {
	l := lines.Open[signals.Word](c, lines.Quick)
	stop := context.AfterFunc(f.ctx, func() { l.Close(f.ctx.Err()) })
	defer stop()
	f.mu.Lock()
	k := &link{ip: ip, line: l, incoming: &signals.Assembly{}}
	if f.link != nil {
		k.follower, k.incoming, k.came = f.link.follower, f.link.incoming, f.link.came
	}
	part := k.incoming.Part()
	f.link = k
	hello := signals.Hello{Name: f.Boot.Name, IP: f.Boot.IP, Zone: f.Boot.Zone, Life: k.follower.Life, Have: k.follower.Have}
	f.since = time.Now().UnixNano()
	f.mu.Unlock()
	l.Send(signals.Word{Hello: &hello, Part: &part})
	f.tellSelf()
	tried := maps.Clone(avoid)
	go f.nearer(l, ip, tried)
	timer := time.AfterFunc(patience, func() { l.Close(errBehind) })
	defer timer.Stop()
	err := l.Run(func(w signals.Word) {
		f.heard(k, w)
		switch {
		case w.Status != nil:
			if w.Status.Whole && w.Status.Majority {
				timer.Stop()
				if f.cutOff.Swap(0) != 0 {
					f.rejoined.Store(f.clock()) // others may have taken its parts over
				}
			} else {
				timer.Reset(patience)
			}
		case w.News != nil:
			f.hear(k, *w.News)
		case w.Chunk != nil:
			f.gather(k, *w.Chunk)
		case w.Tons != nil:
			f.dealt(*w.Tons)
		}
	})
	f.cutOff.CompareAndSwap(0, f.clock())
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
