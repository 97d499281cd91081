package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/router/config"
	"portflow/internal/router/discovery"
	"portflow/internal/router/flow"
	"portflow/internal/router/settings"
	"portflow/internal/router/site"
	"portflow/internal/standin"
	"portflow/internal/standin/collector"
	"portflow/internal/standin/servers"
)

// recordingConn counts the bytes that a client reads and writes.
type recordingConn struct {
	net.Conn
	in, out *atomic.Uint64
}

func (c recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(uint64(n))
	return n, err
}

func (c recordingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(uint64(n))
	return n, err
}

// Drain must export all flow records: the collector's counts of bytes and requests on client connections must equal the client's, and
// those of requests on host connections must match.
func TestFlowExport(t *testing.T) {
	c, err := collector.New("tcp", nil)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	h := &servers.Host{Name: "h0", Effects: &servers.SharedEffects{}, Clock: func() int64 { return int64(time.Since(start)) },
		OnWork: func(int64, int64) {}, Work: func() int64 { return 1e6 }}
	if err := h.Start(&standin.Machine{Cores: 8, QueueNanos: 1e9}); err != nil {
		t.Fatal(err)
	}
	defer h.Stop()
	services, err := servers.NewServices(`{"release":1,"tranche":0,"mode":"stable","exposure":1,"old_ms":60000}`,
		[]servers.Member{{ID: "h0", HostPort: h.Address, Phase: "Ready", Size: 1, Image: 1}})
	if err != nil {
		t.Fatal(err)
	}
	defer services.Close()
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	listen := l.Addr().String()
	l.Close()
	conf := config.Config{Name: "n0", Listen: listen, Discovery: services.Address, Platform: services.Address, Seed: 1, Cores: 1,
		Memory: 64 << 20, Sockets: 256, Rollout: dispatch.RolloutChanged{Rollout: decision.Rollout{Build: 1, State: decision.Released, ExposureCap: 1, Age: 60e9}},
		KnownHosts: discovery.Update{HostsChanged: dispatch.HostsChanged{Hosts: []dispatch.Host{{Name: "h0", Address: h.Address, Build: 1, Capacity: 1}}}},
		Settings: settings.Settings{ClassNames: []string{"display"}, CustomerNames: []string{"rila", "dunav"}, ConnectTimeout: 250e6, IdleTimeout: 30e9,
			Settings: decision.Settings{Routers: 1, TimerResolution: 5e6, MaxAttempts: 3, Cancellation: true, Gate: decision.MajorityVote, AdvanceVotes: 1, RollBackVotes: 1, VoteLifetime: 4e9,
				ColdCapacity: 0.33, WarmUpTime: 4e9, CollapseFactor: 2, Classes: []decision.RequestClass{{LatencyTarget: 1e9, Timeout: 2e9, Value: 1}},
				Customers: []decision.Customer{{PerSecond: 1000}, {PerSecond: 1000}}}}}
	s, err := site.Parse("f.star", []byte("site(flows = flows(collectors = ['tcp://"+c.Address+"']))"))
	if err != nil {
		t.Fatal(err)
	}
	router, err := Start(context.Background(), conf, s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	var in, out atomic.Uint64
	client := http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return recordingConn{raw, &in, &out}, err
	}}}
	const requests = 60
	for i := range requests {
		r, _ := http.NewRequest(http.MethodGet, "http://"+listen+"/display?obj="+fmt.Sprint(i%7), nil)
		r.Header = http.Header{"X-Trace-Id": {fmt.Sprint("t", i)}, "X-Qos": {"display"}, "X-Customer": {conf.Settings.CustomerNames[i/10%2]},
			"X-Expires-In": {"900m"}}
		resp, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if io.Copy(io.Discard, resp.Body); resp.StatusCode != 200 {
			t.Error(i, resp.Status)
		}
		resp.Body.Close()
	}
	client.CloseIdleConnections()
	if err := router.Drain(); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if all, _, _, _ := c.Totals(); all.Commands >= 2*requests {
			break
		}
	}
	totals, stats := c.TotalsBySide()
	if x := totals[flow.Clients]; x.Forward != out.Load() || x.Reverse != in.Load() || x.Commands != requests || x.Connections == 0 {
		t.Errorf("client connections: got %+v, want %d bytes forward and %d reverse; collector %+v", x, out.Load(), in.Load(), stats)
	}
	if x := totals[flow.Hosts]; x.Commands != requests || x.Forward == 0 || x.Reverse == 0 {
		t.Errorf("host connections: got %+v", x)
	}
	c.Stop()
}
