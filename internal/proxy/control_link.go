package proxy

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
)

// controlLink is a connection to a control process, from the dial to its end. The one in Proxy.control is the one that this proxy
// follows; another may be tried beside it.
type controlLink struct {
	ip       string
	stream   *stream.Conn[update.Message]
	followed chan struct{} // closed once this proxy follows it
	ended    chan error    // why it ended, once

	// the proxy's lock guards these
	subscription update.Subscription
	clockOffset  update.ClockOffset // of its clock
	incoming     *update.Assembly   // a snapshot that comes in; the next link goes on with it
	lastChunkAt  time.Time          // when its last chunk came
}

const (
	dialTimeout             = time.Second
	catchUpTimeout          = 600 * time.Millisecond // with a control process that is catching up, or without quorum
	partialSnapshotLifetime = 30 * time.Second       // for which a part of a snapshot is kept: no longer than control keeps the rest
)

var (
	errNotUsable = errors.New("it is behind, or hears too few others")
	errNearer    = errors.New("a nearer one is followed")
	errUpdateGap = errors.New("news does not follow")
)

// dialControl opens a link to a control process, which this proxy follows at once; or, as a trial beside the one that there is, once
// it has said that it is complete and has a quorum.
func (p *Proxy) dialControl(ctx context.Context, ip string, statusOnly bool) (*controlLink, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	c, err := p.Network.Dial(ctx, "tcp", net.JoinHostPort(ip, strconv.Itoa(p.Settings.InternalPorts[0])))
	cancel()
	if err != nil {
		return nil, err
	}
	link := &controlLink{
		ip:       ip,
		stream:   stream.Open[update.Message](c, stream.ProxyKeepalive),
		incoming: &update.Assembly{},
		followed: make(chan struct{}),
		ended:    make(chan error, 1),
	}
	hello, progress := p.greeting(link, statusOnly)
	link.stream.Send(update.Message{Hello: &hello, Progress: &progress, StatusOnly: statusOnly})
	if !statusOnly {
		p.switchTo(link)
	}
	go func() { link.ended <- p.receive(link) }() // ends with the stream
	return link, nil
}

// greeting is what a new link begins with: who this proxy is, and what it has received of the updates and of a snapshot.
func (p *Proxy) greeting(link *controlLink, statusOnly bool) (update.Hello, update.Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hello := update.Hello{Name: p.Settings.Name, IP: p.Settings.IP, Zone: p.Settings.Zone}
	if p.control != nil {
		hello.Incarnation, hello.Offset = p.control.subscription.Incarnation, p.control.subscription.Offset
	}
	if p.control != nil && !statusOnly { // a part of a snapshot is continued by any control process that has the rest
		link.incoming, link.lastChunkAt = p.control.incoming, p.control.lastChunkAt
	}
	return hello, link.incoming.Progress()
}

// switchTo has this proxy follow a link; the one before ends.
func (p *Proxy) switchTo(link *controlLink) {
	p.mu.Lock()
	old := p.control
	if old != nil {
		link.subscription = old.subscription
	}
	p.control = link
	p.subscribedAt = time.Now().UnixNano()
	p.mu.Unlock()
	close(link.followed)
	p.reportStatus() // first: others are to be notified that it is subscribed here before they are that it has left there
	if old != nil {
		old.stream.Close(errNearer)
	}
}

// isCurrent reports whether a link is the one that this proxy follows.
func (p *Proxy) isCurrent(link *controlLink) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.control == link
}

// receive handles a link's messages until it ends, and returns why it did.
func (p *Proxy) receive(link *controlLink) error {
	stop := context.AfterFunc(p.ctx, func() { link.stream.Close(p.ctx.Err()) })
	defer stop()
	catchUp := time.AfterFunc(catchUpTimeout, func() { link.stream.Close(errNotUsable) })
	defer catchUp.Stop()
	err := link.stream.Run(func(m update.Message) {
		p.updateClockOffset(link, m)
		if m.Status != nil {
			p.receiveStatus(link, *m.Status, catchUp)
		}
		if p.isCurrent(link) { // not a trial, nor replaced by another
			p.applyMessage(link, m)
		}
	})
	if p.isCurrent(link) {
		p.cutOffSince.CompareAndSwap(0, p.clock())
	}
	return err
}

// receiveStatus follows a link once its control process is usable, and bounds the time for which it is not.
func (p *Proxy) receiveStatus(link *controlLink, status update.Status, catchUp *time.Timer) {
	if !usable(status) {
		catchUp.Reset(catchUpTimeout)
		return
	}
	catchUp.Stop()
	select {
	case <-link.followed:
	default:
		p.switchTo(link)
	}
}

// usable reports whether a control process has a complete state and a quorum.
func usable(status update.Status) bool { return status.Complete && status.HasQuorum }

// applyMessage applies a message of the link that this proxy follows.
func (p *Proxy) applyMessage(link *controlLink, m update.Message) {
	switch {
	case m.Status != nil && usable(*m.Status):
		if p.cutOffSince.Swap(0) != 0 {
			p.rejoinedAt.Store(p.clock()) // others may have taken over its shares
		}
	case m.Batch != nil:
		p.applyBatch(link, *m.Batch)
	case m.Chunk != nil:
		p.applyChunk(link, *m.Chunk)
	case m.Quota != nil:
		p.applyAllocations(*m.Quota)
	}
}
