package simulation

import (
	"context"
	"time"

	"portflow/internal/cluster/settings"
	"portflow/internal/proxy"
)

// ProxyNode is a proxy process and the settings that it starts with.
type ProxyNode struct {
	cluster   *Cluster
	Settings  settings.Settings
	ClockSkew time.Duration // skew of the machine's clock; a change takes effect at the next Start
	Running   *proxy.Proxy  // the last started proxy; nil before the first Start
	process   *Process
	cancel    context.CancelFunc // nil while the process is down
}

// Start starts the proxy, which must not be running.
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

// Kill terminates the process immediately. It does nothing if the process is down.
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
