package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/random"
)

// datagram is the content of one datagram: a shuffle, the reply to one, or a payload.
type datagram struct {
	From    Member   `json:"f"`
	Sample  []Member `json:"p,omitempty"`
	Reply   bool     `json:"r,omitempty"`
	Topic   string   `json:"t,omitempty"` // set only with a payload, which is then all that the datagram has
	Payload []byte   `json:"g,omitempty"`
}

const (
	maxDatagramBytes       = 1400
	initialShuffleInterval = time.Second / 4 // for the first initialShuffles shuffles, while the view fills
	shuffleInterval        = 4 * time.Second // after these
	initialShuffles        = 12
)

// Gossiper maintains a PartialView over datagrams, and sends and receives payloads. It is safe for concurrent use.
type Gossiper struct {
	self      Member
	conn      net.PacketConn
	ports     [2]int // by Kind
	deliver   func(topic string, raw []byte)
	mu        sync.Mutex // guards view
	view      *PartialView
	Rejected  atomic.Int64 // number of datagrams that were invalid or not from their member's address
	BytesSent atomic.Int64
}

// NewGossiper returns a Gossiper for conn. It sends no shuffles and receives nothing until Run is called. ports has the UDP port of the
// members of each Kind. deliver is called with each payload that is received, one at a time.
func NewGossiper(self Member, conn net.PacketConn, ports [2]int, seed uint64, deliver func(topic string, raw []byte)) *Gossiper {
	g := &Gossiper{self: self, conn: conn, ports: ports, deliver: deliver}
	g.view = NewPartialView(self, &random.Source{Seed: seed})
	return g
}

// Add adds members that were learned of by other means than a shuffle, such as seeds.
func (g *Gossiper) Add(all ...Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range all {
		g.view.Add(m)
	}
}

// Members returns a copy of the members in the view.
func (g *Gossiper) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Members()
}

// Run sends shuffles and receives datagrams until ctx is done, and then closes the socket.
func (g *Gossiper) Run(ctx context.Context) {
	go g.listen()
	defer g.conn.Close()
	timer := time.NewTimer(initialShuffleInterval)
	defer timer.Stop()
	for n := 0; ; n++ {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		g.mu.Lock()
		to, sample, ok := g.view.BeginShuffle()
		g.mu.Unlock()
		if ok {
			g.write(to, datagram{From: g.self, Sample: sample})
		}
		if n < initialShuffles {
			timer.Reset(initialShuffleInterval)
		} else {
			timer.Reset(shuffleInterval)
		}
	}
}

// Send sends a payload to one random proxy. It returns false if the view has none. A payload may be lost, and one that does not fit into a
// datagram is dropped.
func (g *Gossiper) Send(topic string, raw []byte) bool {
	g.mu.Lock()
	to, ok := g.view.RandomMember(Proxy)
	g.mu.Unlock()
	if ok {
		g.write(to, datagram{From: g.self, Topic: topic, Payload: raw})
	}
	return ok
}

func (g *Gossiper) write(to Member, message datagram) {
	raw, err := json.Marshal(message)
	ip := net.ParseIP(to.IP)
	if err != nil || ip == nil || len(raw) > maxDatagramBytes {
		return
	}
	n, _ := g.conn.WriteTo(raw, &net.UDPAddr{IP: ip, Port: g.ports[to.Kind]}) // datagrams may be lost
	g.BytesSent.Add(int64(n))
}

func (g *Gossiper) listen() {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := g.conn.ReadFrom(buffer)
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				continue
			}
			return
		}
		var message datagram
		if n > maxDatagramBytes || json.Unmarshal(buffer[:n], &message) != nil || message.From.Kind > Proxy || !g.sentFrom(from, message.From) {
			g.Rejected.Add(1)
			continue
		}
		switch {
		case message.Topic != "":
			g.deliver(message.Topic, message.Payload)
		case message.Reply:
			g.mu.Lock()
			g.view.EndShuffle(message.From, message.Sample)
			g.mu.Unlock()
		default:
			g.mu.Lock()
			reply := g.view.AnswerShuffle(message.From, message.Sample)
			g.mu.Unlock()
			g.write(message.From, datagram{From: g.self, Sample: reply, Reply: true})
		}
	}
}

// sentFrom reports whether addr is the address and port of m.
func (g *Gossiper) sentFrom(addr net.Addr, m Member) bool {
	host, port, err := net.SplitHostPort(addr.String())
	return err == nil && host == m.IP && port == strconv.Itoa(g.ports[m.Kind])
}
