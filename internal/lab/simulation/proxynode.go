package simulation

import (
	"context"
	"time"

	"portflow/internal/cluster/settings"
	"portflow/internal/proxy"
)

// ProxyNode is a proxy process.
type ProxyNode struct {
	cluster   *Cluster
	Settings  settings.Settings
	ClockSkew time.Duration // of its machine's clock, from its next start on
	Running   *proxy.Proxy
	process   *Process
	cancel    context.CancelFunc // nil while the process is down
}

// Start starts the process.
func (n *ProxyNode) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.process = n.cluster.Network.Process(n.Settings.IP)
	running, err := proxy.Start(ctx, proxy.Options{
		Settings: n.Settings,
		Network:  n.process,
		Seed:     n.cluster.nextSeed(),
		Clock:    skewedClock(n.ClockSkew),
	})
	if err != nil {
		cancel()
		return err
	}
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.Running, n.cancel = running, cancel
	return nil
}

// Kill ends the process at once.
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
