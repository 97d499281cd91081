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

// Sea is the network.
type Sea struct {
	Delay  func(a, b string) time.Duration // one way, by IP number
	Silent time.Duration                   // after which a sender gives up what nobody acknowledges

	mu        sync.Mutex
	listeners map[string]*listener // by address
	packets   map[string]*packet
	conns     map[*conn]bool
	cuts      map[[2]string]bool // from, to
	down      map[string]bool
	frozen    map[string]bool
	lossy     map[[2]string]float64 // from, to: the part of what is sent whose connection breaks instead
	port      int
	draw      random.Source
	Bytes     map[[2]string]int64 // from, to
}

// NewSea makes a calm one.
func NewSea(delay func(a, b string) time.Duration, seed uint64) *Sea {
	return &Sea{Delay: delay, Silent: 1500 * time.Millisecond, listeners: map[string]*listener{}, packets: map[string]*packet{},
		conns: map[*conn]bool{}, cuts: map[[2]string]bool{}, down: map[string]bool{}, frozen: map[string]bool{}, lossy: map[[2]string]float64{}, port: 20000, draw: random.Source{Seed: seed},
		Bytes: map[[2]string]int64{}}
}

// Cut cuts or joins two machines, both ways.
func (s *Sea) Cut(a, b string, cut bool) {
	s.part(cut, [2]string{a, b}, [2]string{b, a})
}

// CutWay cuts or joins one direction between two machines: what the first sends doesn't reach the other. As nothing that
// the other sends is acknowledged either, that gives up after Silent.
func (s *Sea) CutWay(from, to string, cut bool) {
	s.part(cut, [2]string{from, to})
}

// Freeze has a machine stand still, or go on: nothing comes or goes. Others give up what it doesn't acknowledge; what it had
// sent itself waits in its memory and goes out when it is thawed. Its processes' timers run on all the same.
func (s *Sea) Freeze(ip string, frozen bool) {
	s.mu.Lock()
	if frozen {
		s.frozen[ip] = true
	} else {
		delete(s.frozen, ip)
	}
	s.mu.Unlock()
	if !frozen {
		s.part(false)
	}
}

// part cuts ways, or joins them and lets go on what is held up no longer.
func (s *Sea) part(cut bool, ways ...[2]string) {
	s.mu.Lock()
	for _, x := range ways {
		if cut {
			s.cuts[x] = true
		} else {
			delete(s.cuts, x)
		}
	}
	all := s.all()
	s.mu.Unlock()
	if !cut {
		for _, c := range all {
			c.free()
		}
	}
}

// Reset breaks a part of a machine's connections, drawn by lot; both ends are told. It tells how many.
func (s *Sea) Reset(ip string, part float64) (n int) {
	s.mu.Lock()
	all := s.all()
	name := func(c *conn) string { return c.local.String() + " " + c.remote.String() }
	slices.SortFunc(all, func(a, b *conn) int { return strings.Compare(name(a), name(b)) })
	all = slices.DeleteFunc(all, func(c *conn) bool { return c.local.IP.String() != ip || s.draw.Next() >= part })
	s.mu.Unlock()
	for _, c := range all {
		c.reset()
	}
	return len(all)
}

// Lossy has a part of what one machine sends another be lost, 0 for none: the connection breaks in its place, so that a call
// was taken and its answer never comes.
func (s *Sea) Lossy(from, to string, part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lossy, [2]string{from, to})
	if part > 0 {
		s.lossy[[2]string{from, to}] = part
	}
}

// loses tells whether this piece is lost.
func (s *Sea) loses(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	part, lossy := s.lossy[[2]string{from, to}]
	return lossy && s.draw.Next() < part
}

// To is how many bytes a machine was sent from others.
func (s *Sea) To(ip string) (n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x, b := range s.Bytes {
		if x[1] == ip && x[0] != ip {
			n += b
		}
	}
	return n
}

// all are the connections; the sea is locked.
func (s *Sea) all() (all []*conn) {
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// Down takes a machine's power, or gives it back. Its connections are gone without a word.
func (s *Sea) Down(ip string, down bool) {
	s.mu.Lock()
	if down {
		s.down[ip] = true
	} else {
		delete(s.down, ip)
	}
	all := s.all()
	s.mu.Unlock()
	for _, c := range all {
		if down && c.local.IP.String() == ip {
			c.vanish()
		}
	}
}

func (s *Sea) parted(from, to string) bool {
	return s.cuts[[2]string{from, to}] || s.down[from] || s.down[to] || s.frozen[from] || s.frozen[to]
}

// Process is the network as one process has it.
type Process struct {
	sea   *Sea
	ip    string
	mu    sync.Mutex
	over  bool
	ends  []io.Closer
	conns []*conn
}

// Process makes one at an IP number.
func (s *Sea) Process(ip string) *Process { return &Process{sea: s, ip: ip} }

// Kill closes all that the process had open, as the system does for a process that has ended.
func (p *Process) Kill() {
	p.mu.Lock()
	p.over = true
	ends, conns := p.ends, p.conns
	p.mu.Unlock()
	for _, e := range ends {
		e.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

func (p *Process) own(c *conn) {
	p.mu.Lock()
	over := p.over
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	if over {
		c.reset()
	}
}

type listener struct {
	sea     *Sea
	process *Process
	at      *net.TCPAddr
	queue   chan *conn
	done    chan struct{}
	once    sync.Once
}

// Listen waits for connections.
func (p *Process) Listen(address string) (net.Listener, error) {
	at, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	s := p.sea
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	l := &listener{sea: s, process: p, at: at, queue: make(chan *conn, 512), done: make(chan struct{})}
	s.listeners[address] = l
	p.mu.Lock()
	p.ends = append(p.ends, l)
	p.mu.Unlock()
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		l.process.own(c)
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.sea.mu.Lock()
		if l.sea.listeners[l.at.String()] == l {
			delete(l.sea.listeners, l.at.String())
		}
		l.sea.mu.Unlock()
		close(l.done)
		for {
			select {
			case c := <-l.queue:
				c.reset()
			default:
				return
			}
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.at }

// Dial connects.
func (p *Process) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	s, ip := p.sea, to.IP.String()
	way := s.Delay(p.ip, ip)
	for {
		s.mu.Lock()
		parted := s.parted(p.ip, ip) || s.parted(ip, p.ip)
		s.mu.Unlock()
		wait := 2 * way
		if parted {
			wait = 200 * time.Millisecond // and once more
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
		if parted {
			continue
		}
		s.mu.Lock()
		l := s.listeners[address]
		if l == nil {
			s.mu.Unlock()
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		s.port++
		from := &net.TCPAddr{IP: net.ParseIP(p.ip), Port: s.port%40000 + 20000}
		a, b := newPair(s, from, to)
		s.conns[a], s.conns[b] = true, true
		s.mu.Unlock()
		select {
		case l.queue <- b:
		default:
			a.reset()
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		p.own(a)
		return a, nil
	}
}

// piece is some bytes under way, or the end of them.
type piece struct {
	data []byte
	at   time.Time // when they arrive; zero while a cut holds them up
	end  bool
}

// half is one direction of a connection.
type half struct {
	mu       sync.Mutex
	turn     *sync.Cond
	pieces   []piece
	size     int
	err      error // of the reader
	dead     bool  // the reader's machine lost power: the writer isn't told
	deadline time.Time
	alarm    *time.Timer
	rings    time.Time // when the alarm does
}

func newHalf() *half {
	h := &half{}
	h.turn = sync.NewCond(&h.mu)
	return h
}

// wake wakes who waits at a time; a reader and a writer may wait, and neither puts off the other's.
func (h *half) wake(at time.Time) {
	if h.alarm != nil {
		if now := time.Now(); h.rings.After(now) && at.After(h.rings) {
			return
		}
		h.alarm.Stop()
	}
	h.rings = at
	h.alarm = time.AfterFunc(time.Until(at), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.turn.Broadcast()
	})
}

func (h *half) fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil {
		h.err = err
	}
	h.turn.Broadcast()
}

// there tells whether something can be read now; the half is locked.
func (h *half) there() bool {
	return h.err != nil || h.dead || len(h.pieces) > 0 && !h.pieces[0].at.IsZero() && !h.pieces[0].at.After(time.Now())
}

func (h *half) read(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case h.err != nil:
			return 0, h.err
		case h.dead:
			return 0, net.ErrClosed
		case h.there():
			p := &h.pieces[0]
			if p.end {
				return 0, io.EOF
			}
			n := copy(b, p.data)
			if p.data = p.data[n:]; len(p.data) == 0 {
				h.pieces = h.pieces[1:]
			}
			h.size -= n
			h.turn.Broadcast()
			return n, nil
		case !h.deadline.IsZero() && !h.deadline.After(now):
			return 0, os.ErrDeadlineExceeded
		}
		next := h.deadline
		if len(h.pieces) > 0 && !h.pieces[0].at.IsZero() && (next.IsZero() || h.pieces[0].at.Before(next)) {
			next = h.pieces[0].at
		}
		if !next.IsZero() {
			h.wake(next)
		}
		h.turn.Wait()
	}
}

// conn is one side of a connection.
type conn struct {
	sea           *Sea
	local, remote *net.TCPAddr
	in, out       *half
	other         *conn
	once          sync.Once
	mu            sync.Mutex
	writeBy       time.Time
	closed        bool
	gone          bool // its machine lost power
}

func newPair(s *Sea, from, to *net.TCPAddr) (*conn, *conn) {
	there, back := newHalf(), newHalf()
	a := &conn{sea: s, local: from, remote: to, in: back, out: there}
	b := &conn{sea: s, local: to, remote: from, in: there, out: back}
	a.other, b.other = b, a
	return a, b
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
	return c.in.there()
}

const window = 256 << 10 // bytes that may be under way

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	by, closed, gone := c.writeBy, c.closed, c.gone
	c.mu.Unlock()
	if closed || gone {
		return 0, net.ErrClosed
	}
	if c.sea.loses(c.local.IP.String(), c.remote.IP.String()) {
		c.reset()
		return len(b), nil
	}
	h := c.out
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.size > window && h.err == nil {
		if !by.IsZero() && !by.After(time.Now()) {
			return 0, &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}
		}
		if !by.IsZero() {
			h.wake(by)
		}
		h.turn.Wait()
	}
	if h.err != nil {
		return 0, &net.OpError{Op: "write", Err: syscall.EPIPE}
	}
	c.put(piece{data: append([]byte(nil), b...)})
	return len(b), nil
}

// put sends a piece; the half is locked.
func (c *conn) put(p piece) {
	from, to := c.local.IP.String(), c.remote.IP.String()
	c.sea.mu.Lock()
	parted, deaf, frozen := c.sea.parted(from, to), c.sea.parted(to, from), c.sea.frozen[from]
	c.sea.Bytes[[2]string{from, to}] += int64(len(p.data))
	c.sea.mu.Unlock()
	if !parted && c.out.dead { // its power is back, and it knows nothing of the connection
		c.after(func() {
			c.in.fail(syscall.ECONNRESET)
			c.out.fail(syscall.ECONNRESET)
		})
	}
	if !parted && deaf {
		time.AfterFunc(c.sea.Silent, func() { c.unheard() })
	}
	if !parted {
		p.at = time.Now().Add(c.sea.Delay(from, to))
		if n := len(c.out.pieces); n > 0 && c.out.pieces[n-1].at.IsZero() {
			p.at = time.Time{} // behind what is held up
		}
	} else if !frozen {
		time.AfterFunc(c.sea.Silent, func() { c.giveUp() })
	}
	c.out.pieces = append(c.out.pieces, p)
	c.out.size += len(p.data)
	c.out.turn.Broadcast()
}

// giveUp ends this side if what it sent is still held up.
func (c *conn) giveUp() {
	c.out.mu.Lock()
	held := false
	for _, p := range c.out.pieces {
		held = held || p.at.IsZero()
	}
	if held {
		c.out.pieces, c.out.size = nil, 0
	}
	c.out.mu.Unlock()
	if held {
		c.in.fail(syscall.ETIMEDOUT)
		c.out.fail(syscall.ETIMEDOUT)
	}
}

// unheard ends this side if the way back is still cut, so that nothing of what it sent was acknowledged.
func (c *conn) unheard() {
	from, to := c.local.IP.String(), c.remote.IP.String()
	c.sea.mu.Lock()
	deaf := c.sea.parted(to, from)
	c.sea.mu.Unlock()
	if deaf {
		c.in.fail(syscall.ETIMEDOUT)
		c.out.fail(syscall.ETIMEDOUT)
	}
}

// free lets what a cut held up go on.
func (c *conn) free() {
	from, to := c.local.IP.String(), c.remote.IP.String()
	c.sea.mu.Lock()
	parted := c.sea.parted(from, to)
	c.sea.mu.Unlock()
	if parted {
		return
	}
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	for i := range c.out.pieces {
		if c.out.pieces[i].at.IsZero() {
			c.out.pieces[i].at = time.Now().Add(c.sea.Delay(from, to))
		}
	}
	c.out.turn.Broadcast()
}

func (c *conn) end() {
	c.sea.mu.Lock()
	delete(c.sea.conns, c)
	c.sea.mu.Unlock()
}

// Close ends this side: the other reads what was sent, then the end.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.in.mu.Lock()
		unread := c.in.size > 0
		c.in.mu.Unlock()
		c.in.fail(net.ErrClosed)
		c.out.mu.Lock()
		c.put(piece{end: true})
		c.out.mu.Unlock()
		if unread { // closing with unread bytes resets
			c.after(func() { c.other.in.fail(syscall.ECONNRESET) })
		}
		c.after(func() { c.other.out.fail(syscall.EPIPE) })
		c.end()
	})
	return nil
}

// after does something at the other side, once word of it can be there; never over a cut.
func (c *conn) after(f func()) {
	from, to := c.local.IP.String(), c.remote.IP.String()
	time.AfterFunc(c.sea.Delay(from, to), func() {
		c.sea.mu.Lock()
		parted := c.sea.parted(from, to)
		c.sea.mu.Unlock()
		if !parted {
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
		c.after(func() {
			c.other.in.fail(syscall.ECONNRESET)
			c.other.out.fail(syscall.ECONNRESET)
		})
		c.out.fail(net.ErrClosed)
		c.end()
	})
}

// vanish ends this side without a word to the other.
func (c *conn) vanish() {
	c.once.Do(func() {
		c.mu.Lock()
		c.gone = true
		c.mu.Unlock()
		c.in.mu.Lock()
		c.in.dead = true
		c.in.turn.Broadcast()
		c.in.mu.Unlock()
		c.end()
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
	c.in.turn.Broadcast()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBy = t
	return nil
}

type datagram struct {
	raw  []byte
	from *net.UDPAddr
}

// packet is a socket for datagrams; one in fifty is lost.
type packet struct {
	sea  *Sea
	at   *net.UDPAddr
	in   chan datagram
	done chan struct{}
	once sync.Once
}

// ListenPacket opens one.
func (p *Process) ListenPacket(address string) (net.PacketConn, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	p.sea.mu.Lock()
	defer p.sea.mu.Unlock()
	if p.sea.packets[address] != nil {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	c := &packet{sea: p.sea, at: at, in: make(chan datagram, 256), done: make(chan struct{})}
	p.sea.packets[address] = c
	p.mu.Lock()
	p.ends = append(p.ends, c)
	p.mu.Unlock()
	return c, nil
}

func (c *packet) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-c.in:
		return copy(b, d.raw), d.from, nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

func (c *packet) WriteTo(b []byte, to net.Addr) (int, error) {
	u, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, errors.New("no UDP address")
	}
	from, ip := c.at.IP.String(), u.IP.String()
	c.sea.mu.Lock()
	lost := c.sea.parted(from, ip) || c.sea.draw.Next() < 0.02
	c.sea.Bytes[[2]string{from, ip}] += int64(len(b))
	c.sea.mu.Unlock()
	if lost {
		return len(b), nil
	}
	d := datagram{append([]byte(nil), b...), c.at}
	address := net.JoinHostPort(ip, strconv.Itoa(u.Port))
	time.AfterFunc(c.sea.Delay(from, ip), func() {
		c.sea.mu.Lock()
		x := c.sea.packets[address]
		c.sea.mu.Unlock()
		if x == nil {
			return
		}
		select {
		case x.in <- d:
		default:
		}
	})
	return len(b), nil
}

func (c *packet) Close() error {
	c.once.Do(func() {
		c.sea.mu.Lock()
		if c.sea.packets[c.at.String()] == c {
			delete(c.sea.packets, c.at.String())
		}
		c.sea.mu.Unlock()
		close(c.done)
	})
	return nil
}

func (c *packet) LocalAddr() net.Addr              { return c.at }
func (c *packet) SetDeadline(time.Time) error      { return nil }
func (c *packet) SetReadDeadline(time.Time) error  { return nil }
func (c *packet) SetWriteDeadline(time.Time) error { return nil }
