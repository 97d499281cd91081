// Package simulation runs a complete cluster in one process, for tests in virtual time: control processes, proxies, hosts and clients
// on an in-memory network and in-memory disks. Links have a delay and can be partitioned, connections break when a process or machine
// fails, and disks lose unsynced data on a power loss.
//
// The package provides the network (Network, Process, conn, packetConn), the disks (Disk) and the cluster that uses them (Cluster,
// ControlNode, ProxyNode, Host), with clients' traffic and a check of the cluster's invariants (Cluster.Verify). It never opens a
// socket or a file. Cluster is the entry point; the tests run scenarios on it and check some of the histories for linearizability.
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
	firstClientPort   = 20000 // lowest local port of dialed connections
	clientPorts       = 40000 // number of local ports, after which they are reused
)

// link identifies one direction between two machines by their IP addresses.
type link struct{ from, to string }

// Network connects machines, each of which has its own IP address.
type Network struct {
	Delay      func(a, b string) time.Duration // one-way delay between two IP addresses
	AckTimeout time.Duration                   // time after which a sender aborts a connection with unacknowledged data

	mu          sync.Mutex             // guards the fields below; locked after the mutexes of connections and pipes
	listeners   map[string]*listener   // by address
	packetConns map[string]*packetConn // by address
	conns       map[*conn]bool
	blocked     map[link]bool
	down        map[string]bool  // by IP address: the machine is powered off
	frozen      map[string]bool  // by IP address
	lossRates   map[link]float64 // fraction of writes that are dropped and reset their connection
	port        int              // determines the local port of the last dialed connection
	rng         random.Source
	SentBytes   map[link]int64 // bytes sent over connections and in datagrams
}

// NewNetwork creates a network without faults, apart from datagramLoss. The delay function takes the IP addresses of sender and
// receiver; seed determines which writes, datagrams and connections are lost.
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

// SetPartition blocks or unblocks both directions between two machines.
func (n *Network) SetPartition(a, b string, blocked bool) {
	n.setBlocked(blocked, link{a, b}, link{b, a})
}

// SetOneWayPartition blocks or unblocks the direction from one machine to another. While it is blocked, data in the reverse direction
// arrives but is not acknowledged, so that its sender aborts the connection after AckTimeout.
func (n *Network) SetOneWayPartition(from, to string, blocked bool) {
	n.setBlocked(blocked, link{from, to})
}

// Freeze stops a machine's traffic, or resumes it. Other machines abort connections to a frozen machine after AckTimeout; data that the
// frozen machine sends is buffered and sent when it resumes. Its processes keep running, and so do their timers.
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

// setBlocked blocks links, or unblocks them and resumes all connections that are no longer blocked.
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

// ResetConnections resets a random fraction of a machine's connections and returns their number. Both ends see the reset.
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

// SetLoss sets the fraction of writes from one machine to another that are lost; 0 disables losses. A lost write resets its connection,
// so that a caller may miss the reply to a call that was executed.
func (n *Network) SetLoss(from, to string, fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.lossRates, link{from, to})
	if fraction > 0 {
		n.lossRates[link{from, to}] = fraction
	}
}

// dropsNext reports whether the next write on a link is to be lost, chosen at random with the link's loss rate.
func (n *Network) dropsNext(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	fraction, lossy := n.lossRates[link{from, to}]
	return lossy && n.rng.Float64() < fraction
}

// ReceivedBytes returns the number of bytes that other machines have sent to a machine. Lost datagrams count, writes lost due to SetLoss do not.
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

// allConns returns both ends of all connections in random order; n.mu must be held.
func (n *Network) allConns() (all []*conn) {
	for c := range n.conns {
		all = append(all, c)
	}
	return all
}

// SetPoweredOff powers a machine off or on. Powering off ends the machine's connections without notice to the other ends.
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

// isBlocked reports whether traffic from one machine to another is blocked; n.mu must be held.
func (n *Network) isBlocked(from, to string) bool {
	return n.blocked[link{from, to}] || n.down[from] || n.down[to] || n.frozen[from] || n.frozen[to]
}

// Process returns the network interface for one run of a process on the machine with this IP address.
func (n *Network) Process(ip string) *Process { return &Process{network: n, ip: ip} }
