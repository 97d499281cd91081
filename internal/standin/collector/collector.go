// Package collector is a fake IPFIX and NetFlow v9 collector on loopback. It decodes and totals the received records, can be
// stopped and restarted, and drops datagrams on request.
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

// Collector totals the received flow records: overall, by end reason and by side.
type Collector struct {
	Address string

	dropDatagram     func(n int) bool // nil drops none
	network          string
	tls              *tls.Config
	mu               sync.Mutex // guards dropDatagram, the totals and the sockets
	totals           flow.Totals
	netFlow9         bool
	reasons          map[flow.Reason]flow.Totals
	sides            [2]flow.Totals
	folded           uint64 // number of flows that arrived merged with others into one record
	stats            ipfix.Stats
	droppedDatagrams int
	udp              net.PacketConn
	tcp              net.Listener
	conns            map[net.Conn]bool
	done             sync.WaitGroup
}

const readBuffer = 4 << 20 // receive buffer of the UDP socket in bytes

// New starts a collector on a free loopback port. The network is udp, tcp or tls for IPFIX, or netflow9 for NetFlow v9 over UDP;
// config is only used for tls.
func New(network string, config *tls.Config) (*Collector, error) {
	v9 := network == "netflow9"
	if v9 {
		network = "udp"
	}
	c := &Collector{network: network, netFlow9: v9, tls: config, Address: "127.0.0.1:0", reasons: map[flow.Reason]flow.Totals{}}
	return c, c.Restart()
}

// Restart listens again after Stop, on the same address. The totals are kept.
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
			_ = u.SetReadBuffer(readBuffer) // if it fails, datagrams may be lost, which Stats.Missed shows
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

// SetDrop sets the function that decides whether to drop the n-th UDP datagram since the last start, counted from 1. nil drops
// none.
func (c *Collector) SetDrop(drop func(n int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropDatagram = drop
}

// Stop closes all sockets and waits until the messages that were read completely have been counted.
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

// Totals returns the totals of all received records, the totals by the reason that flows ended, the IPFIX decoder's statistics,
// and the number of dropped datagrams.
func (c *Collector) Totals() (all flow.Totals, byReason map[flow.Reason]flow.Totals, decoderStats ipfix.Stats, dropped int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byReason = map[flow.Reason]flow.Totals{}
	for reason, totals := range c.reasons {
		byReason[reason] = totals
	}
	return c.totals, byReason, c.stats, c.droppedDatagrams
}

// FoldedRecords returns the number of flows that arrived merged with others into one record.
func (c *Collector) FoldedRecords() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.folded
}

// TotalsBySide returns the totals of connections from clients and of connections to hosts, indexed by the record's Side.
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
	totals := flow.Totals{Records: uint64(r.Count), Connections: uint64(r.Connections), Counts: r.Counts}
	if c.totals = add(c.totals, totals); r.Count > 1 {
		c.folded += uint64(r.Count)
	}
	c.sides[r.Side&1] = add(c.sides[r.Side&1], totals)
	c.reasons[r.Reason] = add(c.reasons[r.Reason], totals)
}

func add(a, b flow.Totals) flow.Totals {
	a.Records += b.Records
	a.Connections += b.Connections
	a.Add(b.Counts)
	return a
}

func (c *Collector) readDatagrams(l net.PacketConn) {
	d, v9 := ipfix.NewDecoder(ipfix.Documentation), netflow9.NewDecoder()
	b := make([]byte, 1<<16)
	for n := 1; ; n++ {
		size, _, err := l.ReadFrom(b)
		if err != nil {
			return
		}
		c.mu.Lock()
		if c.dropDatagram != nil && c.dropDatagram(n) {
			c.droppedDatagrams++
		} else if c.netFlow9 {
			_ = v9.Message(b[:size], c.count) // records that can't be decoded are missing from the totals
		} else {
			c.read(d, b[:size])
		}
		c.mu.Unlock()
	}
}

func (c *Collector) readStream(conn net.Conn) {
	defer conn.Close()
	d := ipfix.NewDecoder(ipfix.Documentation)
	header := make([]byte, 4)
	for {
		if _, err := io.ReadFull(conn, header); err != nil {
			return
		}
		n, err := ipfix.Length(header)
		if err != nil {
			return
		}
		message := make([]byte, n)
		copy(message, header)
		if _, err := io.ReadFull(conn, message[4:]); err != nil {
			return
		}
		c.mu.Lock()
		c.read(d, message)
		c.mu.Unlock()
	}
}
