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
	ClockSkew  time.Duration // of its machine's clock, from its next start on
	Disk       *Disk
	running    *server.Server
	process    *Process
	diskHandle *diskHandle
	cancel     context.CancelFunc // nil while the process is down
}

// Start starts a control process on its disk.
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

// Kill ends the process at once; its disk stays.
func (n *ControlNode) Kill() {
	if n.cancel == nil {
		return
	}
	n.diskHandle.invalidate()
	n.process.Kill()
	n.cancel()
	n.cancel = nil
}

// Shutdown ends the process as SIGTERM does: it leaves, and then ends.
func (n *ControlNode) Shutdown() {
	if n.cancel == nil {
		return
	}
	n.running.Leave()
	n.Kill()
}

// mustStart starts the process; that it does not start is a violation.
func (n *ControlNode) mustStart() {
	if err := n.Start(); err != nil {
		n.cluster.violation("a control process does not start: %v", err)
	}
}

// Replace replaces a machine that is lost for good by a new one: another IP address and name, an empty disk. Processes that start from
// now on get its address among their seeds in place of the lost one's.
func (n *ControlNode) Replace() {
	n.Kill()
	n.replaceWith(n.NewSuccessor())
}

// NewSuccessor returns a new machine in the same zone, which doesn't run yet: another IP address and name, an empty disk.
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

// replaceWith puts another machine, which may run, in this one's place, also among the seeds of processes that start from now on.
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

// Status returns the process's own view of its quorum and state, "down" if it does not run.
func (n *ControlNode) Status() string {
	if n.cancel == nil {
		return "down"
	}
	return n.running.Status().String()
}

// moveAddress returns an address, with the new IP address in place of the old one.
func moveAddress(address, oldIP, newIP string) string {
	if host, port, _ := net.SplitHostPort(address); host == oldIP {
		return net.JoinHostPort(newIP, port)
	}
	return address
}

// controlAddress returns the address of a control process's calls.
func (cl *Cluster) controlAddress(at int) string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.Controls[at].Settings.ListenAddresses["control"]
}
