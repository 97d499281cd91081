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
	ClockSkew  time.Duration // of its machine's clock, as of its next start
	Disk       *Disk
	running    *server.Server
	process    *Process
	diskHandle *diskHandle
	cancel     context.CancelFunc
}

// Start starts a control process on its disk.
func (n *ControlNode) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.process = n.cluster.Network.Process(n.Settings.IP)
	n.diskHandle = n.Disk.Open().(*diskHandle)
	r, err := server.Start(ctx, server.Options{Settings: n.Settings, MinPerZone: 1, Network: n.process, Storage: n.diskHandle, Seed: n.cluster.nextSeed(), Clock: skewedClock(n.ClockSkew)})
	if err != nil {
		cancel()
		return err
	}
	n.running, n.cancel = r, cancel
	n.Settings.FirstStart = false
	return nil
}

// Kill ends it at once; its disk stays.
func (n *ControlNode) Kill() {
	if n.cancel == nil {
		return
	}
	n.diskHandle.invalidate()
	n.process.Kill()
	n.cancel()
	n.cancel = nil
}

// Shutdown ends it as SIGTERM does: it does what it does before its end, and is gone.
func (n *ControlNode) Shutdown() {
	if n.cancel == nil {
		return
	}
	n.running.Leave()
	n.Kill()
}

// mustStart is Start where nothing can be done about an error.
func (n *ControlNode) mustStart() {
	if err := n.Start(); err != nil {
		n.cluster.violation("a control process does not start: %v", err)
	}
}

// Replace has a new machine take the place of one that is lost for good: another IP number and name, an empty disk. Who
// starts from now on is given its address with the seeds in the lost one's place.
func (n *ControlNode) Replace() {
	n.Kill()
	n.replaceWith(n.NewSuccessor())
}

// NewSuccessor is a new machine beside this one, which doesn't run yet: another IP number and name, an empty disk.
func (n *ControlNode) NewSuccessor() *ControlNode {
	cluster := n.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.lastHost++
	old, ip := n.Settings.IP, fmt.Sprintf("10.%d.1.%d", zoneIndexOf(n.Settings.IP)+1, cluster.lastHost)
	next := &ControlNode{cluster: cluster, Settings: n.Settings, ClockSkew: n.ClockSkew, Disk: NewDisk()}
	next.Disk.SyncDelay = 5 * time.Millisecond
	next.Settings.IP, next.Settings.Name = ip, fmt.Sprintf("%s-anew-%d", n.Settings.Name, cluster.lastHost)
	next.Settings.ListenAddresses = lo.MapValues(n.Settings.ListenAddresses, func(at, _ string) string { return moveAddress(at, old, ip) })
	return next
}

// replaceWith puts another, which may run, in this one's place, and among the seeds of who starts from now on.
func (n *ControlNode) replaceWith(next *ControlNode) {
	cluster := n.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	old, ip := n.Settings.IP, next.Settings.IP
	*n = *next
	for _, x := range cluster.Controls {
		x.Settings.SeedNodes = lo.Map(x.Settings.SeedNodes, func(at string, _ int) string { return moveAddress(at, old, ip) })
	}
	for _, px := range cluster.Proxies {
		px.Settings.SeedNodes = lo.Map(px.Settings.SeedNodes, func(at string, _ int) string { return moveAddress(at, old, ip) })
	}
}

// Status is how far it may be gone by, as it says of itself.
func (n *ControlNode) Status() string {
	if n.cancel == nil {
		return "down"
	}
	return n.running.Status().String()
}

// moveAddress is an address, at another IP number if it was at the old one.
func moveAddress(address, oldIP, newIP string) string {
	if host, port, _ := net.SplitHostPort(address); host == oldIP {
		return net.JoinHostPort(newIP, port)
	}
	return address
}

// controlAddress is the address of a control process's calls.
func (cl *Cluster) controlAddress(at int) string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.Controls[at].Settings.ListenAddresses["control"]
}
