package simulation

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Process is the network as one process has it.
type Process struct {
	network *Network
	ip      string
	mu      sync.Mutex
	killed  bool
	closers []io.Closer
	conns   []*conn
}

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
