package convoy

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/parts/chance"
)

// talk is what members send each other, in one datagram.
type talk struct {
	From   Member   `json:"f"`
	Part   []Member `json:"p,omitempty"`
	Answer bool     `json:"r,omitempty"`
	Topic  string   `json:"t,omitempty"` // gossip of this topic, and nothing else
	Gossip []byte   `json:"g,omitempty"`
}

const (
	largest = 1400            // bytes of a datagram
	early   = time.Second / 4 // between shuffles while the view is young
	usual   = 4 * time.Second // and later
	young   = 12              // shuffles
)

// Convoy carries a view over datagrams.
type Convoy struct {
	self    Member
	conn    net.PacketConn
	ports   [2]int // by kind
	hear    func(topic string, raw []byte)
	mu      sync.Mutex
	view    *View
	Foreign atomic.Int64 // datagrams that were none of ours
	Sent    atomic.Int64 // bytes
}

// Start takes a socket up; hear gets what members gossip.
func Start(self Member, conn net.PacketConn, ports [2]int, seed uint64, hear func(topic string, raw []byte)) *Convoy {
	c := &Convoy{self: self, conn: conn, ports: ports, hear: hear}
	c.view = New(self, &chance.Source{Seed: seed})
	return c
}

// Meet takes members in that were heard of otherwise: seeds, say.
func (c *Convoy) Meet(all ...Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range all {
		c.view.Meet(m)
	}
}

// Members are those in the view.
func (c *Convoy) Members() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Members()
}

// Run shuffles and hears until the context ends.
func (c *Convoy) Run(ctx context.Context) {
	go c.listen()
	defer c.conn.Close()
	timer := time.NewTimer(early)
	defer timer.Stop()
	for n := 0; ; n++ {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
		to, part, ok := c.view.Begin()
		c.mu.Unlock()
		if ok {
			c.send(to, talk{From: c.self, Part: part})
		}
		if n < young {
			timer.Reset(early)
		} else {
			timer.Reset(usual)
		}
	}
}

// Tell gossips to one member by chance; false says that the view has none of the kind.
func (c *Convoy) Tell(topic string, raw []byte) bool {
	c.mu.Lock()
	to, ok := c.view.Any(Traffic)
	c.mu.Unlock()
	if ok {
		c.send(to, talk{From: c.self, Topic: topic, Gossip: raw})
	}
	return ok
}

func (c *Convoy) send(to Member, t talk) {
	raw, err := json.Marshal(t)
	ip := net.ParseIP(to.IP)
	if err != nil || ip == nil || len(raw) > largest {
		return
	}
	n, _ := c.conn.WriteTo(raw, &net.UDPAddr{IP: ip, Port: c.ports[to.Kind]}) // datagrams may be lost
	c.Sent.Add(int64(n))
}

func (c *Convoy) listen() {
	buffer := make([]byte, largest+1)
	for {
		n, from, err := c.conn.ReadFrom(buffer)
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				continue
			}
			return
		}
		var t talk
		if n > largest || json.Unmarshal(buffer[:n], &t) != nil || t.From.Kind > Traffic || !c.from(from, t.From) {
			c.Foreign.Add(1)
			continue
		}
		switch {
		case t.Topic != "":
			c.hear(t.Topic, t.Gossip)
		case t.Answer:
			c.mu.Lock()
			c.view.End(t.From, t.Part)
			c.mu.Unlock()
		default:
			c.mu.Lock()
			back := c.view.Answer(t.From, t.Part)
			c.mu.Unlock()
			c.send(t.From, talk{From: c.self, Part: back, Answer: true})
		}
	}
}

// from tells whether a datagram comes from where its member is.
func (c *Convoy) from(a net.Addr, m Member) bool {
	host, port, err := net.SplitHostPort(a.String())
	return err == nil && host == m.IP && port == strconv.Itoa(c.ports[m.Kind])
}
