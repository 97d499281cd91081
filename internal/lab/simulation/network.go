// Package simulation runs a complete cluster in one process: control processes, proxies, hosts and clients on a network and on disks
// in memory, for tests in virtual time. Links have delay and can be partitioned, connections break as a machine's do, and a disk
// loses what was not synced.
//
// It owns the network (Network, Process, conn, packetConn), the disks (Disk) and the cluster on them (Cluster, ControlNode, ProxyNode,
// Host) with its traffic and the rules that it is checked by (Cluster.Verify). It never opens a socket or a file. Begin reading at
// Cluster; the tests play scenarios on it, among them histories that are checked for linearizability.
package simulation

import (
	"slices"
	"strings"
	"sync"
	"time"

	"portflow/internal/random"
)

const (
	defaultAckTimeout = 1500 * time.Millisecond
	firstClientPort   = 20000 // of the connections that are dialled
	clientPorts       = 40000 // after which port numbers begin again
)

// link is one direction between two machines, by their IP addresses.
type link struct{ from, to string }

// Network connects machines, each of which has an IP address of its own.
type Network struct {
	Delay      func(a, b string) time.Duration // one way, by IP address
	AckTimeout time.Duration                   // after which a sender gives up what nobody acknowledges

	mu          sync.Mutex             // guards what follows; it is taken after the locks of connections and pipes
	listeners   map[string]*listener   // by address
	packetConns map[string]*packetConn // by address
	conns       map[*conn]bool
	blocked     map[link]bool
	down        map[string]bool // machines without power
	frozen      map[string]bool
	lossRates   map[link]float64 // the fraction of what is sent whose connection breaks instead
	port        int              // of the last connection that was dialled
	rng         random.Source
	SentBytes   map[link]int64
}

// NewNetwork makes a network without faults.
func NewNetwork(delay func(a, b string) time.Duration, seed uint64) *Network {
	return &Network{
		Delay:       delay,
		AckTimeout:  defaultAckTimeout,
		listeners:   map[string]*listener{},
		packetConns: map[string]*packetConn{},
		conns:       map[*conn]bool{},
		blocked:     map[link]bool{},
		down:        map[string]bool{},
		frozen:      map[string]bool{},
		lossRates:   map[link]float64{},
		port:        firstClientPort,
		rng:         random.Source{Seed: seed},
		SentBytes:   map[link]int64{},
	}
}

// SetPartition partitions or joins two machines, both ways.
func (n *Network) SetPartition(a, b string, blocked bool) {
	n.setBlocked(blocked, link{a, b}, link{b, a})
}

// SetOneWayPartition partitions or joins one direction between two machines: what the first sends doesn't reach the other. As nothing
// that the other sends is acknowledged either, that gives up after AckTimeout.
func (n *Network) SetOneWayPartition(from, to string, blocked bool) {
	n.setBlocked(blocked, link{from, to})
}

// Freeze stops a machine's traffic, or resumes it. Others give up what it doesn't acknowledge; what it had sent itself is buffered
// and goes out when it resumes. Its processes' timers run on all the same.
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

// setBlocked blocks directions, or unblocks them and resumes the connections that are no longer held up.
func (n *Network) setBlocked(blocked bool, directions ...link) {
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

// ResetConnections resets a drawn fraction of a machine's connections, and returns how many; both ends see the reset.
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

// SetLoss sets the fraction of what one machine sends another that is lost, 0 for none: the connection breaks in its place, so that
// a call was executed and its answer never comes.
func (n *Network) SetLoss(from, to string, fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.lossRates, link{from, to})
	if fraction > 0 {
		n.lossRates[link{from, to}] = fraction
	}
}

// dropsNext draws whether the next segment is lost.
func (n *Network) dropsNext(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	fraction, lossy := n.lossRates[link{from, to}]
	return lossy && n.rng.Float64() < fraction
}

// ReceivedBytes returns how many bytes other machines have sent to a machine.
func (n *Network) ReceivedBytes(ip string) (total int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for link, sent := range n.SentBytes {
		if link.to == ip && link.from != ip {
			total += sent
		}
	}
	return total
}

// allConns returns the connections; n.mu is held.
func (n *Network) allConns() (all []*conn) {
	for c := range n.conns {
		all = append(all, c)
	}
	return all
}

// SetPoweredOff cuts a machine's power, or restores it. Its connections are lost, and their other ends do not see that.
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

// isBlocked reports whether nothing gets from one machine to another now; n.mu is held.
func (n *Network) isBlocked(from, to string) bool {
	return n.blocked[link{from, to}] || n.down[from] || n.down[to] || n.frozen[from] || n.frozen[to]
}

// Process returns the network for a process on the machine of an IP address.
func (n *Network) Process(ip string) *Process { return &Process{network: n, ip: ip} }
