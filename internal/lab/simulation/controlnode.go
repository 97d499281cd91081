package simulation

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/samber/lo"

	"portflow/internal/cluster/settings"
	"portflow/internal/control/server"
)

// ControlNode is a control process and its disk.
type ControlNode struct {
	cluster    *Cluster
	Settings   settings.Settings
	ClockSkew  time.Duration // skew of the machine's clock; a change takes effect at the next Start
	Disk       *Disk
	running    *server.Server
	process    *Process
	diskHandle *diskHandle
	cancel     context.CancelFunc // nil while the process is down
}

// Start starts the control process on its existing disk.
func (n *ControlNode) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.process = n.cluster.Network.Process(n.Settings.IP)
	n.diskHandle = n.Disk.open()
	running, err := server.Start(ctx, server.Options{
		Settings:   n.Settings,
		MinPerZone: 1,
		Network:    n.process,
		Storage:    n.diskHandle,
		Seed:       n.cluster.nextSeed(),
		Clock:      skewedClock(n.ClockSkew),
	})
	if err != nil {
		cancel()
		return err
	}
	n.running, n.cancel = running, cancel
	n.Settings.FirstStart = false
	return nil
}

// Kill terminates the process immediately. The disk keeps its content. It does nothing if the process is down.
func (n *ControlNode) Kill() {
	if n.cancel == nil {
		return
	}
	n.diskHandle.invalidate()
	n.process.Kill()
	n.cancel()
	n.cancel = nil
}

// Shutdown shuts the process down gracefully, as SIGTERM does, and then kills it.
func (n *ControlNode) Shutdown() {
	if n.cancel == nil {
		return
	}
	n.running.Leave()
	n.Kill()
}

// mustStart starts the process and records a violation if that fails.
func (n *ControlNode) mustStart() {
	if err := n.Start(); err != nil {
		n.cluster.violation("failed to start a control process: %v", err)
	}
}

// Replace kills the process and replaces its machine with a new one, which has another IP address and name and an empty disk. The
// new machine is not started. In the settings of all processes its address replaces the old one among the seed nodes.
func (n *ControlNode) Replace() {
	n.Kill()
	n.replaceWith(n.NewSuccessor())
}

// NewSuccessor returns a new machine in the same zone, with another IP address and name and an empty disk. It is not started.
func (n *ControlNode) NewSuccessor() *ControlNode {
	cluster := n.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.lastMachine++
	oldIP := n.Settings.IP
	newIP := fmt.Sprintf("10.%d.1.%d", zoneIndexOf(oldIP)+1, cluster.lastMachine)
	next := &ControlNode{cluster: cluster, Settings: n.Settings, ClockSkew: n.ClockSkew, Disk: NewDisk()}
	next.Disk.SyncDelay = diskSyncDelay
	next.Settings.IP = newIP
	next.Settings.Name = fmt.Sprintf("%s-anew-%d", n.Settings.Name, cluster.lastMachine)
	next.Settings.ListenAddresses = lo.MapValues(n.Settings.ListenAddresses, func(address, _ string) string {
		return moveAddress(address, oldIP, newIP)
	})
	return next
}

// replaceWith replaces this machine with next, which may be running already, also in the seed nodes of all control processes and
// proxies. Running processes use the new seed nodes after their next start.
func (n *ControlNode) replaceWith(next *ControlNode) {
	cluster := n.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	oldIP, newIP := n.Settings.IP, next.Settings.IP
	*n = *next
	moveSeeds := func(seeds []string) []string {
		return lo.Map(seeds, func(address string, _ int) string { return moveAddress(address, oldIP, newIP) })
	}
	for _, node := range cluster.Controls {
		node.Settings.SeedNodes = moveSeeds(node.Settings.SeedNodes)
	}
	for _, proxyNode := range cluster.Proxies {
		proxyNode.Settings.SeedNodes = moveSeeds(proxyNode.Settings.SeedNodes)
	}
}

// Status returns the process's own view of its quorum and state, or "down" if it is not running.
func (n *ControlNode) Status() string {
	if n.cancel == nil {
		return "down"
	}
	return n.running.Status().String()
}

// moveAddress returns the address with oldIP replaced by newIP; an address with another IP is returned unchanged.
func moveAddress(address, oldIP, newIP string) string {
	if host, port, _ := net.SplitHostPort(address); host == oldIP {
		return net.JoinHostPort(newIP, port)
	}
	return address
}

// controlAddress returns the address at which the control process with index at accepts calls.
func (cl *Cluster) controlAddress(at int) string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.Controls[at].Settings.ListenAddresses["control"]
}
