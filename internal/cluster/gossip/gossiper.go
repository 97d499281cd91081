package gossip

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/random"
)

// datagram is what members send each other, in one datagram.
type datagram struct {
	From    Member   `json:"f"`
	Sample  []Member `json:"p,omitempty"`
	Reply   bool     `json:"r,omitempty"`
	Topic   string   `json:"t,omitempty"` // gossip of this topic, and nothing else
	Payload []byte   `json:"g,omitempty"`
}

const (
	maxDatagramBytes       = 1400            // bytes of a datagram
	initialShuffleInterval = time.Second / 4 // between shuffles while the view is young
	shuffleInterval        = 4 * time.Second // and later
	initialShuffles        = 12              // shuffles
)

// Gossiper carries a view over datagrams.
type Gossiper struct {
	self      Member
	conn      net.PacketConn
	ports     [2]int // by kind
	deliver   func(topic string, raw []byte)
	mu        sync.Mutex
	view      *PartialView
	Rejected  atomic.Int64 // datagrams that were none of ours
	BytesSent atomic.Int64 // bytes
}

// Start takes a socket up; hear gets what members gossip.
func NewGossiper(self Member, conn net.PacketConn, ports [2]int, seed uint64, deliver func(topic string, raw []byte)) *Gossiper {
	g := &Gossiper{self: self, conn: conn, ports: ports, deliver: deliver}
	g.view = NewPartialView(self, &random.Source{Seed: seed})
	return g
}

// Add takes members in that were heard of otherwise: seeds, say.
func (g *Gossiper) Add(all ...Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range all {
		g.view.Add(m)
	}
}

// Members are those in the view.
func (g *Gossiper) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Members()
}

// Run shuffles and hears until the context ends.
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

// Send gossips to one member by chance; false says that the view has none of the kind.
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
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
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

// sentFrom tells whether a datagram comes from where its member is.
func (g *Gossiper) sentFrom(addr net.Addr, m Member) bool {
	host, port, err := net.SplitHostPort(addr.String())
	return err == nil && host == m.IP && port == strconv.Itoa(g.ports[m.Kind])
}
