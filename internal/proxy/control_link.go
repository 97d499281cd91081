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

// controlLink is a connection to a control process. The proxy follows the one in Proxy.control. It may also have one open to a nearer
// control process, to switch to it once that is usable (tryNearer).
type controlLink struct {
	ip       string
	stream   *stream.Conn[update.Message]
	followed chan struct{} // closed when the proxy begins to follow this link
	ended    chan error    // receives the reason for the end, once

	// The fields below are guarded by Proxy.mu.
	subscription update.Subscription
	clockOffset  update.ClockOffset // of the control process's clock
	incoming     *update.Assembly   // partially received snapshot, which the next link resumes
	lastChunkAt  time.Time          // when the last chunk of incoming was received
}

const (
	dialTimeout             = time.Second
	catchUpTimeout          = 600 * time.Millisecond // until the link to an unusable control process is closed; restarted by each status
	partialSnapshotLifetime = 30 * time.Second       // since its last chunk; at most as long as control keeps the rest
)

var (
	errNotUsable = errors.New("control process is catching up or has no quorum")
	errNearer    = errors.New("switched to a nearer control process")
	errUpdateGap = errors.New("update batch does not follow the last one received")
)

// dialControl opens a link to a control process. The proxy follows it at once. If statusOnly is set, it follows the link only once the
// control process reports a complete state and a quorum; until then control sends nothing but its status.
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
	go func() { link.ended <- p.receive(link) }() // ends when the connection is closed
	return link, nil
}

// greeting returns the content of the first message on a link: the identity of this proxy, the offset up to which it has received updates,
// and the progress of a partial snapshot.
func (p *Proxy) greeting(link *controlLink, statusOnly bool) (update.Hello, update.Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hello := update.Hello{Name: p.Settings.Name, IP: p.Settings.IP, Zone: p.Settings.Zone}
	if p.control != nil {
		hello.Incarnation, hello.Offset = p.control.subscription.Incarnation, p.control.subscription.Offset
	}
	if p.control != nil && !statusOnly { // any control process that has the rest of a partial snapshot can resume it
		link.incoming, link.lastChunkAt = p.control.incoming, p.control.lastChunkAt
	}
	return hello, link.incoming.Progress()
}

// switchTo makes the proxy follow link, and closes the link that it followed before.
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
	p.reportStatus() // before closing old: other processes must learn of the new subscription before the end of the old one
	if old != nil {
		old.stream.Close(errNearer)
	}
}

// isCurrent reports whether link is the one that the proxy follows.
func (p *Proxy) isCurrent(link *controlLink) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.control == link
}

// receive handles the messages of a link until it ends, and returns the reason for its end.
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
		if p.isCurrent(link) { // neither a candidate nor replaced by another link
			p.applyMessage(link, m)
		}
	})
	if p.isCurrent(link) {
		p.cutOffSince.CompareAndSwap(0, p.clock())
	}
	return err
}

// receiveStatus switches to a link once its control process is usable. Each status of one that isn't usable restarts catchUp, which
// closes the link after catchUpTimeout.
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

// applyMessage handles a message on the link that the proxy follows.
func (p *Proxy) applyMessage(link *controlLink, m update.Message) {
	switch {
	case m.Status != nil && usable(*m.Status):
		if p.cutOffSince.Swap(0) != 0 {
			p.rejoinedAt.Store(p.clock()) // other proxies may have taken over its shares of hosts
		}
	case m.Batch != nil:
		p.applyBatch(link, *m.Batch)
	case m.Chunk != nil:
		p.applyChunk(link, *m.Chunk)
	case m.Quota != nil:
		p.applyAllocations(*m.Quota)
	}
}
