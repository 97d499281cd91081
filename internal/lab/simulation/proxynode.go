package simulation

import (
	"context"
	"time"

	"portflow/internal/cluster/settings"
	"portflow/internal/proxy"
)

// ProxyNode is a process that carries traffic.
type ProxyNode struct {
	cluster   *Cluster
	Settings  settings.Settings
	ClockSkew time.Duration // of its machine's clock, as of its next start
	Running   *proxy.Proxy
	process   *Process
	cancel    context.CancelFunc
}

// Start starts the process.
func (n *ProxyNode) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.process = n.cluster.Network.Process(n.Settings.IP)
	r, err := proxy.Start(ctx, proxy.Options{Settings: n.Settings, Network: n.process, Seed: n.cluster.nextSeed(), Clock: skewedClock(n.ClockSkew)})
	if err != nil {
		cancel()
		return err
	}
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.Running, n.cancel = r, cancel
	return nil
}

// Kill ends it at once.
func (n *ProxyNode) Kill() {
	n.cluster.mu.Lock()
	cancel := n.cancel
	n.cancel = nil
	n.cluster.mu.Unlock()
	if cancel == nil {
		return
	}
	n.process.Kill()
	cancel()
	n.Running.Close()
}
