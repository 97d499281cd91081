// Package simulation is a whole harbour in one process: control processes, routers, hosts and clients on a network in memory and
// on disks in memory, for tests in virtual time. Links have delay and can be cut, connections break as a machine's do, and
// a disk loses what was not synced.
package simulation

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"portflow/internal/random"
)

// Network is the network.
type Network struct {
	Delay      func(a, b string) time.Duration // one way, by IP number
	AckTimeout time.Duration                   // after which a sender gives up what nobody acknowledges

	mu          sync.Mutex
	listeners   map[string]*listener // by address
	packetConns map[string]*packetConn
	conns       map[*conn]bool
	blocked     map[[2]string]bool // from, to
	down        map[string]bool
	frozen      map[string]bool
	lossRates   map[[2]string]float64 // from, to: the part of what is sent whose connection breaks instead
	port        int
	rng         random.Source
	SentBytes   map[[2]string]int64 // from, to
}

// NewNetwork makes a calm one.
func NewNetwork(delay func(a, b string) time.Duration, seed uint64) *Network {
	return &Network{Delay: delay, AckTimeout: 1500 * time.Millisecond, listeners: map[string]*listener{}, packetConns: map[string]*packetConn{},
		conns: map[*conn]bool{}, blocked: map[[2]string]bool{}, down: map[string]bool{}, frozen: map[string]bool{}, lossRates: map[[2]string]float64{}, port: 20000, rng: random.Source{Seed: seed},
		SentBytes: map[[2]string]int64{}}
}

// SetPartition cuts or joins two machines, both ways.
func (n *Network) SetPartition(a, b string, blocked bool) {
	n.setBlocked(blocked, [2]string{a, b}, [2]string{b, a})
}

// SetOneWayPartition cuts or joins one direction between two machines: what the first sends doesn't reach the other. As nothing that
// the other sends is acknowledged either, that gives up after Silent.
func (n *Network) SetOneWayPartition(from, to string, blocked bool) {
	n.setBlocked(blocked, [2]string{from, to})
}

// Freeze has a machine stand still, or go on: nothing comes or goes. Others give up what it doesn't acknowledge; what it had
// sent itself waits in its memory and goes out when it is thawed. Its processes' timers run on all the same.
func (n *Network) Freeze(ip string, frozen bool) {
	n.mu.Lock()
	if frozen {
		n.frozen[ip] = true
	} else {
		delete(n.frozen, ip)
	}
	n.mu.Unlock()
	if !frozen {
		n.setBlocked(false)
	}
}

// setBlocked cuts ways, or joins them and lets go on what is held up no longer.
func (n *Network) setBlocked(blocked bool, directions ...[2]string) {
	n.mu.Lock()
	for _, direction := range directions {
		if blocked {
			n.blocked[direction] = true
		} else {
			delete(n.blocked, direction)
		}
	}
	conns := n.allConns()
	n.mu.Unlock()
	if !blocked {
		for _, c := range conns {
			c.resume()
		}
	}
}

// ResetConnections breaks a part of a machine's connections, drawn by lot; both ends are told. It tells how many.
func (n *Network) ResetConnections(ip string, fraction float64) (count int) {
	n.mu.Lock()
	conns := n.allConns()
	key := func(c *conn) string { return c.local.String() + " " + c.remote.String() }
	slices.SortFunc(conns, func(a, b *conn) int { return strings.Compare(key(a), key(b)) })
	conns = slices.DeleteFunc(conns, func(c *conn) bool { return c.local.IP.String() != ip || n.rng.Float64() >= fraction })
	n.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
	return len(conns)
}

// SetLoss has a part of what one machine sends another be lost, 0 for none: the connection breaks in its place, so that a call
// was taken and its answer never comes.
func (n *Network) SetLoss(from, to string, fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.lossRates, [2]string{from, to})
	if fraction > 0 {
		n.lossRates[[2]string{from, to}] = fraction
	}
}

// dropsNext tells whether this piece is lost.
func (n *Network) dropsNext(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	fraction, lossy := n.lossRates[[2]string{from, to}]
	return lossy && n.rng.Float64() < fraction
}

// ReceivedBytes is how many bytes a machine was sent from others.
func (n *Network) ReceivedBytes(ip string) (total int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for link, sent := range n.SentBytes {
		if link[1] == ip && link[0] != ip {
			total += sent
		}
	}
	return total
}

// allConns are the connections; the sea is locked.
func (n *Network) allConns() (all []*conn) {
	for c := range n.conns {
		all = append(all, c)
	}
	return all
}

// SetPoweredOff takes a machine's power, or gives it back. Its connections are gone without a word.
func (n *Network) SetPoweredOff(ip string, off bool) {
	n.mu.Lock()
	if off {
		n.down[ip] = true
	} else {
		delete(n.down, ip)
	}
	conns := n.allConns()
	n.mu.Unlock()
	for _, c := range conns {
		if off && c.local.IP.String() == ip {
			c.loseSilently()
		}
	}
}

func (n *Network) isBlocked(from, to string) bool {
	return n.blocked[[2]string{from, to}] || n.down[from] || n.down[to] || n.frozen[from] || n.frozen[to]
}

// Process is the network as one process has it.
type Process struct {
	network *Network
	ip      string
	mu      sync.Mutex
	killed  bool
	closers []io.Closer
	conns   []*conn
}

// Process makes one at an IP number.
func (n *Network) Process(ip string) *Process { return &Process{network: n, ip: ip} }

// Kill closes all that the process had open, as the system does for a process that has ended.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	closers, conns := p.closers, p.conns
	p.mu.Unlock()
	for _, e := range closers {
		e.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

func (p *Process) addConn(c *conn) {
	p.mu.Lock()
	killed := p.killed
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	if killed {
		c.reset()
	}
}

type listener struct {
	network *Network
	process *Process
	addr    *net.TCPAddr
	backlog chan *conn
	done    chan struct{}
	once    sync.Once
}

// Listen waits for connections.
func (p *Process) Listen(address string) (net.Listener, error) {
	bindAddr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	network := p.network
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	ln := &listener{network: network, process: p, addr: bindAddr, backlog: make(chan *conn, 512), done: make(chan struct{})}
	network.listeners[address] = ln
	p.mu.Lock()
	p.closers = append(p.closers, ln)
	p.mu.Unlock()
	return ln, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		l.process.addConn(c)
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		if l.network.listeners[l.addr.String()] == l {
			delete(l.network.listeners, l.addr.String())
		}
		l.network.mu.Unlock()
		close(l.done)
		for {
			select {
			case c := <-l.backlog:
				c.reset()
			default:
				return
			}
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }

// Dial connects.
func (p *Process) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	network, ip := p.network, to.IP.String()
	latency := network.Delay(p.ip, ip)
	for {
		network.mu.Lock()
		blocked := network.isBlocked(p.ip, ip) || network.isBlocked(ip, p.ip)
		network.mu.Unlock()
		wait := 2 * latency
		if blocked {
			wait = 200 * time.Millisecond // and once more
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
		if blocked {
			continue
		}
		network.mu.Lock()
		target := network.listeners[address]
		if target == nil {
			network.mu.Unlock()
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		network.port++
		from := &net.TCPAddr{IP: net.ParseIP(p.ip), Port: network.port%40000 + 20000}
		local, remote := newConnPair(network, from, to)
		network.conns[local], network.conns[remote] = true, true
		network.mu.Unlock()
		select {
		case target.backlog <- remote:
		default:
			local.reset()
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		p.addConn(local)
		return local, nil
	}
}

// segment is some bytes under way, or the end of them.
type segment struct {
	data      []byte
	arrivesAt time.Time // when they arrive; zero while a cut holds them up
	fin       bool
}

// pipe is one direction of a connection.
type pipe struct {
	mu         sync.Mutex
	changed    *sync.Cond
	segments   []segment
	buffered   int
	err        error // of the reader
	readerLost bool  // the reader's machine lost power: the writer isn't told
	deadline   time.Time
	timer      *time.Timer
	firesAt    time.Time // when the alarm does
}

func newPipe() *pipe {
	h := &pipe{}
	h.changed = sync.NewCond(&h.mu)
	return h
}

// wakeAt wakes who waits at a time; a reader and a writer may wait, and neither puts off the other's.
func (p *pipe) wakeAt(at time.Time) {
	if p.timer != nil {
		if now := time.Now(); p.firesAt.After(now) && at.After(p.firesAt) {
			return
		}
		p.timer.Stop()
	}
	p.firesAt = at
	p.timer = time.AfterFunc(time.Until(at), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.changed.Broadcast()
	})
}

func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
	}
	p.changed.Broadcast()
}

// readable tells whether something can be read now; the half is locked.
func (p *pipe) readable() bool {
	return p.err != nil || p.readerLost || len(p.segments) > 0 && !p.segments[0].arrivesAt.IsZero() && !p.segments[0].arrivesAt.After(time.Now())
}

func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case p.err != nil:
			return 0, p.err
		case p.readerLost:
			return 0, net.ErrClosed
		case p.readable():
			head := &p.segments[0]
			if head.fin {
				return 0, io.EOF
			}
			n := copy(b, head.data)
			if head.data = head.data[n:]; len(head.data) == 0 {
				p.segments = p.segments[1:]
			}
			p.buffered -= n
			p.changed.Broadcast()
			return n, nil
		case !p.deadline.IsZero() && !p.deadline.After(now):
			return 0, os.ErrDeadlineExceeded
		}
		wake := p.deadline
		if len(p.segments) > 0 && !p.segments[0].arrivesAt.IsZero() && (wake.IsZero() || p.segments[0].arrivesAt.Before(wake)) {
			wake = p.segments[0].arrivesAt
		}
		if !wake.IsZero() {
			p.wakeAt(wake)
		}
		p.changed.Wait()
	}
}

// conn is one side of a connection.
type conn struct {
	network       *Network
	local, remote *net.TCPAddr
	in, out       *pipe
	peer          *conn
	once          sync.Once
	mu            sync.Mutex
	writeDeadline time.Time
	closed        bool
	powerLost     bool // its machine lost power
}

func newConnPair(network *Network, from, to *net.TCPAddr) (*conn, *conn) {
	outbound, inbound := newPipe(), newPipe()
	client := &conn{network: network, local: from, remote: to, in: inbound, out: outbound}
	server := &conn{network: network, local: to, remote: from, in: outbound, out: inbound}
	client.peer, server.peer = server, client
	return client, server
}

func (c *conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := c.in.read(b)
	if err != nil && err != io.EOF {
		err = &net.OpError{Op: "read", Err: err}
	}
	return n, err
}

// Pending tells whether bytes, or the end, can be read now.
func (c *conn) Pending() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.readable()
}

const sendWindow = 256 << 10 // bytes that may be under way

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	deadline, closed, powerLost := c.writeDeadline, c.closed, c.powerLost
	c.mu.Unlock()
	if closed || powerLost {
		return 0, net.ErrClosed
	}
	if c.network.dropsNext(c.local.IP.String(), c.remote.IP.String()) {
		c.reset()
		return len(b), nil
	}
	out := c.out
	out.mu.Lock()
	defer out.mu.Unlock()
	for out.buffered > sendWindow && out.err == nil {
		if !deadline.IsZero() && !deadline.After(time.Now()) {
			return 0, &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}
		}
		if !deadline.IsZero() {
			out.wakeAt(deadline)
		}
		out.changed.Wait()
	}
	if out.err != nil {
		return 0, &net.OpError{Op: "write", Err: syscall.EPIPE}
	}
	c.send(segment{data: append([]byte(nil), b...)})
	return len(b), nil
}

// send sends a piece; the half is locked.
func (c *conn) send(seg segment) {
	from, to := c.local.IP.String(), c.remote.IP.String()
	c.network.mu.Lock()
	blocked, ackBlocked, frozen := c.network.isBlocked(from, to), c.network.isBlocked(to, from), c.network.frozen[from]
	c.network.SentBytes[[2]string{from, to}] += int64(len(seg.data))
	c.network.mu.Unlock()
	if !blocked && c.out.readerLost { // its power is back, and it knows nothing of the connection
		c.afterDelay(func() {
			c.in.fail(syscall.ECONNRESET)
			c.out.fail(syscall.ECONNRESET)
		})
	}
	if !blocked && ackBlocked {
		time.AfterFunc(c.network.AckTimeout, func() { c.abortIfUnacknowledged() })
	}
	if !blocked {
		seg.arrivesAt = time.Now().Add(c.network.Delay(from, to))
		if queued := len(c.out.segments); queued > 0 && c.out.segments[queued-1].arrivesAt.IsZero() {
			seg.arrivesAt = time.Time{} // behind what is held up
		}
	} else if !frozen {
		time.AfterFunc(c.network.AckTimeout, func() { c.abortIfStalled() })
	}
	c.out.segments = append(c.out.segments, seg)
	c.out.buffered += len(seg.data)
	c.out.changed.Broadcast()
}

// abortIfStalled ends this side if what it sent is still held up.
func (c *conn) abortIfStalled() {
	c.out.mu.Lock()
	stalled := false
	for _, seg := range c.out.segments {
		stalled = stalled || seg.arrivesAt.IsZero()
	}
	if stalled {
		c.out.segments, c.out.buffered = nil, 0
	}
	c.out.mu.Unlock()
	if stalled {
		c.in.fail(syscall.ETIMEDOUT)
		c.out.fail(syscall.ETIMEDOUT)
	}
}

// abortIfUnacknowledged ends this side if the way back is still cut, so that nothing of what it sent was acknowledged.
func (c *conn) abortIfUnacknowledged() {
	from, to := c.local.IP.String(), c.remote.IP.String()
	c.network.mu.Lock()
	ackBlocked := c.network.isBlocked(to, from)
	c.network.mu.Unlock()
	if ackBlocked {
		c.in.fail(syscall.ETIMEDOUT)
		c.out.fail(syscall.ETIMEDOUT)
	}
}

// resume lets what a cut held up go on.
func (c *conn) resume() {
	from, to := c.local.IP.String(), c.remote.IP.String()
	c.network.mu.Lock()
	blocked := c.network.isBlocked(from, to)
	c.network.mu.Unlock()
	if blocked {
		return
	}
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	for i := range c.out.segments {
		if c.out.segments[i].arrivesAt.IsZero() {
			c.out.segments[i].arrivesAt = time.Now().Add(c.network.Delay(from, to))
		}
	}
	c.out.changed.Broadcast()
}

func (c *conn) unregister() {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
}

// Close ends this side: the other reads what was sent, then the end.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.in.mu.Lock()
		unread := c.in.buffered > 0
		c.in.mu.Unlock()
		c.in.fail(net.ErrClosed)
		c.out.mu.Lock()
		c.send(segment{fin: true})
		c.out.mu.Unlock()
		if unread { // closing with unread bytes resets
			c.afterDelay(func() { c.peer.in.fail(syscall.ECONNRESET) })
		}
		c.afterDelay(func() { c.peer.out.fail(syscall.EPIPE) })
		c.unregister()
	})
	return nil
}

// afterDelay does something at the other side, once word of it can be there; never over a cut.
func (c *conn) afterDelay(f func()) {
	from, to := c.local.IP.String(), c.remote.IP.String()
	time.AfterFunc(c.network.Delay(from, to), func() {
		c.network.mu.Lock()
		blocked := c.network.isBlocked(from, to)
		c.network.mu.Unlock()
		if !blocked {
			f()
		}
	})
}

// reset ends both sides at once.
func (c *conn) reset() {
	c.once.Do(func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.in.fail(net.ErrClosed)
		c.afterDelay(func() {
			c.peer.in.fail(syscall.ECONNRESET)
			c.peer.out.fail(syscall.ECONNRESET)
		})
		c.out.fail(net.ErrClosed)
		c.unregister()
	})
}

// loseSilently ends this side without a word to the other.
func (c *conn) loseSilently() {
	c.once.Do(func() {
		c.mu.Lock()
		c.powerLost = true
		c.mu.Unlock()
		c.in.mu.Lock()
		c.in.readerLost = true
		c.in.changed.Broadcast()
		c.in.mu.Unlock()
		c.unregister()
	})
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.deadline = t
	c.in.changed.Broadcast()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return nil
}

type datagram struct {
	raw  []byte
	from *net.UDPAddr
}

// packetConn is a socket for datagrams; one in fifty is lost.
type packetConn struct {
	network  *Network
	addr     *net.UDPAddr
	incoming chan datagram
	done     chan struct{}
	once     sync.Once
}

// ListenPacket opens one.
func (p *Process) ListenPacket(address string) (net.PacketConn, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.packetConns[address] != nil {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	c := &packetConn{network: p.network, addr: at, incoming: make(chan datagram, 256), done: make(chan struct{})}
	p.network.packetConns[address] = c
	p.mu.Lock()
	p.closers = append(p.closers, c)
	p.mu.Unlock()
	return c, nil
}

func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-c.incoming:
		return copy(b, d.raw), d.from, nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	u, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, errors.New("no UDP address")
	}
	from, ip := c.addr.IP.String(), u.IP.String()
	c.network.mu.Lock()
	lost := c.network.isBlocked(from, ip) || c.network.rng.Float64() < 0.02
	c.network.SentBytes[[2]string{from, ip}] += int64(len(b))
	c.network.mu.Unlock()
	if lost {
		return len(b), nil
	}
	d := datagram{append([]byte(nil), b...), c.addr}
	address := net.JoinHostPort(ip, strconv.Itoa(u.Port))
	time.AfterFunc(c.network.Delay(from, ip), func() {
		c.network.mu.Lock()
		x := c.network.packetConns[address]
		c.network.mu.Unlock()
		if x == nil {
			return
		}
		select {
		case x.incoming <- d:
		default:
		}
	})
	return len(b), nil
}

func (c *packetConn) Close() error {
	c.once.Do(func() {
		c.network.mu.Lock()
		if c.network.packetConns[c.addr.String()] == c {
			delete(c.network.packetConns, c.addr.String())
		}
		c.network.mu.Unlock()
		close(c.done)
	})
	return nil
}

func (c *packetConn) LocalAddr() net.Addr              { return c.addr }
func (c *packetConn) SetDeadline(time.Time) error      { return nil }
func (c *packetConn) SetReadDeadline(time.Time) error  { return nil }
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }
