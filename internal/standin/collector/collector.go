// Package collector plays a collector of IPFIX on loopback: it decodes what comes, adds it up, and vanishes, lags or
// loses on command.
package collector

import (
	"crypto/tls"
	"io"
	"net"
	"sync"

	"portflow/internal/router/flow"
	"portflow/internal/router/flow/ipfix"
	"portflow/internal/router/flow/netflow9"
)

// Collector adds up records, by the label that they carry.
type Collector struct {
	Address string

	dropDatagram func(n int) bool
	network      string
	tls          *tls.Config
	mu           sync.Mutex
	sum          flow.Totals
	netFlow9     bool
	reasons      map[flow.Reason]flow.Totals
	sides        [2]flow.Totals
	folded       uint64
	stats        ipfix.Stats
	lost         int // records in datagrams that were dropped
	udp          net.PacketConn
	tcp          net.Listener
	conns        map[net.Conn]bool
	done         sync.WaitGroup
}

const readBuffer = 4 << 20 // bytes, of the UDP socket

// New makes a collector that listens on a free address of the network: udp, tcp or tls, or netflow9 for version 9 over UDP.
func New(network string, config *tls.Config) (*Collector, error) {
	v9 := network == "netflow9"
	if v9 {
		network = "udp"
	}
	c := &Collector{network: network, netFlow9: v9, tls: config, Address: "127.0.0.1:0", reasons: map[flow.Reason]flow.Totals{}}
	return c, c.Restart()
}

// Restart has the collector listen again, on the address that it had.
func (c *Collector) Restart() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = map[net.Conn]bool{}
	if c.network == "udp" {
		l, err := net.ListenPacket("udp", c.Address)
		if err != nil {
			return err
		}
		if u, ok := l.(*net.UDPConn); ok {
			_ = u.SetReadBuffer(readBuffer) // with less some datagrams may be lost, which Stats.Missed shows
		}
		c.udp, c.Address = l, l.LocalAddr().String()
		c.done.Go(func() { c.readDatagrams(l) })
		return nil
	}
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	c.Address = l.Addr().String()
	if c.network == "tls" {
		l = tls.NewListener(l, c.tls)
	}
	c.tcp = l
	c.done.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns[conn] = true
			c.mu.Unlock()
			c.done.Go(func() { c.readStream(conn) })
		}
	})
	return nil
}

// SetDrop sets whether to lose the n-th datagram of UDP, counted from 1; nil for none.
func (c *Collector) SetDrop(lose func(n int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropDatagram = lose
}

// Stop closes all sockets; messages that had come completely are counted.
func (c *Collector) Stop() {
	c.mu.Lock()
	if c.udp != nil {
		c.udp.Close()
	}
	if c.tcp != nil {
		c.tcp.Close()
	}
	for conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.done.Wait()
}

// Totals returns what has come, in all and by the reason that records ended.
func (c *Collector) Totals() (all flow.Totals, by map[flow.Reason]flow.Totals, s ipfix.Stats, dropped int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	by = map[flow.Reason]flow.Totals{}
	for why, sum := range c.reasons {
		by[why] = sum
	}
	return c.sum, by, c.stats, c.lost
}

// FoldedRecords returns how many records came folded into others.
func (c *Collector) FoldedRecords() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.folded
}

// TotalsBySide returns what has come of clients' connections and of hosts'.
func (c *Collector) TotalsBySide() ([2]flow.Totals, ipfix.Stats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sides, c.stats
}

func (c *Collector) read(d *ipfix.Decoder, message []byte) {
	before := d.Stats
	_ = d.Message(message, func(x ipfix.Data) { // Stats.Bad counts its errors
		if r, ok := d.Flow(x); ok {
			c.count(r)
		}
	})
	c.stats.Messages += d.Stats.Messages - before.Messages
	c.stats.Records += d.Stats.Records - before.Records
	c.stats.Unknown += d.Stats.Unknown - before.Unknown
	c.stats.Bad += d.Stats.Bad - before.Bad
	c.stats.Missed += d.Stats.Missed - before.Missed
}

func (c *Collector) count(r ipfix.Read) {
	sum := flow.Totals{Records: uint64(r.Count), Connections: uint64(r.Connections), Counts: r.Counts}
	if c.sum = add(c.sum, sum); r.Count > 1 {
		c.folded += uint64(r.Count)
	}
	c.sides[r.Side&1] = add(c.sides[r.Side&1], sum)
	c.reasons[r.Reason] = add(c.reasons[r.Reason], sum)
}

func add(a, b flow.Totals) flow.Totals {
	a.Records += b.Records
	a.Connections += b.Connections
	a.Add(b.Counts)
	return a
}

func (c *Collector) readDatagrams(l net.PacketConn) {
	d, older := ipfix.NewDecoder(ipfix.Documentation), netflow9.NewDecoder()
	b := make([]byte, 1<<16)
	for n := 1; ; n++ {
		size, _, err := l.ReadFrom(b)
		if err != nil {
			return
		}
		c.mu.Lock()
		if c.dropDatagram != nil && c.dropDatagram(n) {
			c.lost++
		} else if c.netFlow9 {
			_ = older.Message(b[:size], c.count) // what can't be read is missing from the totals
		} else {
			c.read(d, b[:size])
		}
		c.mu.Unlock()
	}
}

func (c *Collector) readStream(conn net.Conn) {
	defer conn.Close()
	d := ipfix.NewDecoder(ipfix.Documentation)
	head := make([]byte, 4)
	for {
		if _, err := io.ReadFull(conn, head); err != nil {
			return
		}
		n, err := ipfix.Length(head)
		if err != nil {
			return
		}
		message := make([]byte, n)
		copy(message, head)
		if _, err := io.ReadFull(conn, message[4:]); err != nil {
			return
		}
		c.mu.Lock()
		c.read(d, message)
		c.mu.Unlock()
	}
}
