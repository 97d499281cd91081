// Package simulation is a whole harbour in one process: control processes, routers, hosts and clients on a network in memory and
// on disks in memory, for tests in virtual time. Links have delay and can be cut, connections break as a machine's do, and
// a disk loses what was not synced.
package simulation

import (
	"slices"
	"strings"
	"sync"
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

// Process makes one at an IP number.
func (n *Network) Process(ip string) *Process { return &Process{network: n, ip: ip} }
