package proxy

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
)

// controlLink is a held connection to a control process, from the dial to its end. The one in Fairway.link is the one that this router
// follows; another may be tried beside it.
type controlLink struct {
	ip           string
	stream       *stream.Conn[update.Message]
	subscription update.Subscription
	clockOffset  update.ClockOffset // of its clock; under the lock
	incoming     *update.Assembly   // a snapshot that comes in; it goes on on the next line
	lastChunkAt  time.Time          // when its last chunk did
	chosen       chan struct{}      // closed once this router follows it
	ended        chan error         // why it ended, once
}

const (
	dialTimeout             = time.Second
	avoidFor                = 3 * time.Second         // a control process that failed is asked after the others
	nearerCheckInterval     = 1500 * time.Millisecond // for a nearer one
	catchUpTimeout          = 600 * time.Millisecond  // with a control process that is behind, or hears too few others
	partialSnapshotLifetime = 30 * time.Second        // for which a part of a snapshot is kept: no longer than control keeps the rest
)

// followControl keeps a line to a control process, for as long as this one runs: the nearest that takes it.
func (p *Proxy) followControl() {
	avoid := map[string]time.Time{}
	for p.ctx.Err() == nil {
		p.dropStaleSnapshot()
		all := p.candidates()
		slices.SortStableFunc(all, func(a, b string) int { // those that failed lately come last
			return int(min(1, max(0, time.Until(avoid[a])))) - int(min(1, max(0, time.Until(avoid[b]))))
		})
		if len(all) > 0 {
			k, err := p.dialControl(p.ctx, all[0], false)
			if err != nil {
				p.avoidControl(avoid, all[0], err)
			}
			for err == nil && k != nil {
				next := p.waitForNearer(k, avoid) // until it ends, or a nearer one has taken its place
				if why := <-k.ended; next != nil {
					klog.InfoS("line ended", "to", k.ip, "why", why)
				} else {
					p.avoidControl(avoid, k.ip, why)
				}
				k = next
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-p.ctx.Done():
		}
	}
}

// avoidControl notes that a control process is of no use for a while.
func (p *Proxy) avoidControl(avoid map[string]time.Time, ip string, why error) {
	klog.InfoS("line ended", "to", ip, "why", why)
	avoid[ip] = time.Now().Add(avoidFor)
}

var errBehind = errors.New("it is behind, or hears too few others")

var errNearer = errors.New("a nearer one is followed")

// waitForNearer tries, every now and then, the nearest control process that is nearer than the one that this router follows and hasn't failed
// it of late: who starts knows seeds only, and would else follow one of another region for good. It is tried beside the line that
// there is, which ends only once the nearer one has said that it is whole and hears more than half of the core: one that is cut off,
// dark or frozen for long costs the router nothing. It returns the one that is followed in the place of k, or nil once k has ended.
func (p *Proxy) waitForNearer(k *controlLink, avoid map[string]time.Time) *controlLink {
	t := time.NewTicker(nearerCheckInterval)
	defer t.Stop()
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	go func() {
		select {
		case <-k.stream.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	for {
		select {
		case <-t.C:
		case <-k.stream.Done():
			return nil
		}
		far := p.distances()
		for _, ip := range p.candidates() {
			if far(ip) >= far(k.ip) {
				break
			}
			if time.Now().Before(avoid[ip]) {
				continue
			}
			x, err := p.dialControl(ctx, ip, true)
			if err == nil {
				select {
				case <-x.chosen:
					return x
				case <-k.stream.Done():
				case err = <-x.ended:
				}
				select {
				case <-x.chosen: // which ended k
					return x
				default:
				}
				x.stream.Close(errBehind)
			}
			if err != nil && ctx.Err() == nil {
				p.avoidControl(avoid, ip, err)
			}
			break // another one at the next look
		}
	}
}

// dialControl opens a line to a control process, which this router follows at once; or, as a trial beside the one that there is, once it
// has said that it may be followed.
func (p *Proxy) dialControl(ctx context.Context, ip string, trial bool) (*controlLink, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	c, err := p.Network.Dial(ctx, "tcp", net.JoinHostPort(ip, strconv.Itoa(p.Settings.InternalPorts[0])))
	cancel()
	if err != nil {
		return nil, err
	}
	l := stream.Open[update.Message](c, stream.ProxyKeepalive)
	k := &controlLink{ip: ip, stream: l, incoming: &update.Assembly{}, chosen: make(chan struct{}), ended: make(chan error, 1)}
	p.mu.Lock()
	hello := update.Hello{Name: p.Settings.Name, IP: p.Settings.IP, Zone: p.Settings.Zone}
	if p.control != nil {
		hello.Incarnation, hello.Offset = p.control.subscription.Incarnation, p.control.subscription.Offset
	}
	if p.control != nil && !trial { // a part of a snapshot goes on, by whoever has the rest
		k.incoming, k.lastChunkAt = p.control.incoming, p.control.lastChunkAt
	}
	part := k.incoming.Progress()
	p.mu.Unlock()
	l.Send(update.Message{Hello: &hello, Progress: &part, StatusOnly: trial})
	if !trial {
		p.switchTo(k)
	}
	go func() { k.ended <- p.receive(k) }()
	return k, nil
}

// switchTo has this router follow a line; the one before ends.
func (p *Proxy) switchTo(k *controlLink) {
	p.mu.Lock()
	old := p.control
	if old != nil {
		k.subscription = old.subscription
	}
	p.control = k
	p.subscribedAt = time.Now().UnixNano()
	p.mu.Unlock()
	close(k.chosen)
	p.reportStatus() // first: others are to hear that it hangs here before they hear that it has left there
	if old != nil {
		old.stream.Close(errNearer)
	}
}

// isCurrent tells whether a line is the one that this router follows.
func (p *Proxy) isCurrent(k *controlLink) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.control == k
}

// receive hears what is said on a line until it ends.
func (p *Proxy) receive(k *controlLink) error {
	l := k.stream
	stop := context.AfterFunc(p.ctx, func() { l.Close(p.ctx.Err()) })
	defer stop()
	timer := time.AfterFunc(catchUpTimeout, func() { l.Close(errBehind) })
	defer timer.Stop()
	err := l.Run(func(w update.Message) {
		p.updateClockOffset(k, w)
		if w.Status != nil {
			if w.Status.Complete && w.Status.HasQuorum {
				timer.Stop()
				select {
				case <-k.chosen:
				default:
					p.switchTo(k)
				}
			} else {
				timer.Reset(catchUpTimeout)
			}
		}
		switch {
		case !p.isCurrent(k): // it is tried, or another has taken its place
		case w.Status != nil && w.Status.Complete && w.Status.HasQuorum:
			if p.cutOffSince.Swap(0) != 0 {
				p.rejoinedAt.Store(p.clock()) // others may have taken its parts over
			}
		case w.Batch != nil:
			p.takeUpdate(k, *w.Batch)
		case w.Chunk != nil:
			p.takeChunk(k, *w.Chunk)
		case w.Quota != nil:
			p.applyAllotments(*w.Quota)
		}
	})
	if p.isCurrent(k) {
		p.cutOffSince.CompareAndSwap(0, p.clock())
	}
	return err
}
