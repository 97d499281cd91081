package simulation

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	dialRetryInterval = 200 * time.Millisecond // while the link is blocked
	listenBacklog     = 512                    // connections
	packetBacklog     = 256                    // datagrams
)

// Process is the network interface of one process. It implements the network that control processes and proxies use.
type Process struct {
	network *Network
	ip      string

	mu      sync.Mutex // guards the fields below; may be locked while network.mu is held
	killed  bool
	closers []io.Closer // listeners and packet connections
	conns   []*conn
}

// Kill closes all listeners and sockets of the process and resets its connections, as the operating system does when a process
// terminates.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	closers, conns := p.closers, p.conns
	p.mu.Unlock()
	for _, c := range closers {
		c.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

// addConn registers a connection of the process, or resets it if the process has been killed.
func (p *Process) addConn(c *conn) {
	p.mu.Lock()
	killed := p.killed
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	if killed {
		c.reset()
	}
}

// Listen listens on a TCP address. Addresses are not checked against the machine's IP address.
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
	ln := &listener{
		network: network,
		process: p,
		addr:    bindAddr,
		backlog: make(chan *conn, listenBacklog),
		done:    make(chan struct{}),
	}
	network.listeners[address] = ln
	p.mu.Lock()
	p.closers = append(p.closers, ln)
	p.mu.Unlock()
	return ln, nil
}

// Dial opens a TCP connection. While the link is blocked in either direction it retries until ctx is done, as TCP does. It returns
// ECONNREFUSED if nothing listens on the address or the listener's backlog is full.
func (p *Process) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	remoteIP := to.IP.String()
	roundTrip := 2 * p.network.Delay(p.ip, remoteIP)
	for {
		blocked := p.isUnreachable(remoteIP)
		wait := roundTrip
		if blocked {
			wait = dialRetryInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
		if !blocked {
			return p.connect(to, address)
		}
	}
}

// isUnreachable reports whether traffic between the process and a machine is blocked in either direction.
func (p *Process) isUnreachable(ip string) bool {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.network.isBlocked(p.ip, ip) || p.network.isBlocked(ip, p.ip)
}

// connect opens a connection to an address that a process listens on.
func (p *Process) connect(to *net.TCPAddr, address string) (net.Conn, error) {
	network := p.network
	network.mu.Lock()
	target := network.listeners[address]
	if target == nil {
		network.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	network.port++
	from := &net.TCPAddr{IP: net.ParseIP(p.ip), Port: network.port%clientPorts + firstClientPort}
	local, remote := newConnPair(network, from, to)
	network.conns[local] = true
	network.conns[remote] = true
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

// ListenPacket listens on a UDP address.
func (p *Process) ListenPacket(address string) (net.PacketConn, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.packetConns[address] != nil {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	c := &packetConn{
		network:  p.network,
		addr:     addr,
		incoming: make(chan datagram, packetBacklog),
		done:     make(chan struct{}),
	}
	p.network.packetConns[address] = c
	p.mu.Lock()
	p.closers = append(p.closers, c)
	p.mu.Unlock()
	return c, nil
}

// listener accepts TCP connections for a process.
type listener struct {
	network *Network
	process *Process
	addr    *net.TCPAddr
	backlog chan *conn
	done    chan struct{}
	once    sync.Once
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
		l.resetBacklog()
	})
	return nil
}

// resetBacklog resets the connections that have not been accepted.
func (l *listener) resetBacklog() {
	for {
		select {
		case c := <-l.backlog:
			c.reset()
		default:
			return
		}
	}
}

func (l *listener) Addr() net.Addr { return l.addr }
