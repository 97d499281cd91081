package lab

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/dispatch"
	"portflow/internal/router"
	"portflow/internal/router/flow"
	"portflow/internal/router/flow/export"
	"portflow/internal/router/flow/ipfix"
	"portflow/internal/standin"
	"portflow/internal/standin/collector"
	"portflow/internal/standin/servers"
)

// FlowExperiment is an experiment with flow export on loopback: short connections to two routers in turn, one of which exports
// to a collector that is away for a time.
type FlowExperiment struct {
	Connections       int           `json:"Conns"`
	CollectorDowntime time.Duration `json:"Down"`
	Collector         string        `json:"Collector"` // udp, tcp or netflow9
	BacklogBytes      int           `json:"Memory"`    // of the backlog
	Seed              uint64        `json:"Seed"`
}

// FlowResult is what a run tells.
type FlowResult struct {
	Connections        uint64  `json:"connections"`
	Records            uint64  `json:"records"`
	BytesRouter        uint64  `json:"bytes_router"`
	BytesCollector     uint64  `json:"bytes_collector"`
	BytesError         float64 `json:"bytes_error"`
	CommandsError      float64 `json:"commands_error"`
	Folded             uint64  `json:"folded"`
	Lost               uint64  `json:"lost"`
	IdentityViolations int     `json:"identity_broken"`
	P99Ratio           float64 `json:"p99_ratio"`
	BacklogPeak        int     `json:"backlog_peak_bytes"`
	Seed               uint64  `json:"seed"`
}

// countedConn is a client's connection that counts its own bytes.
type countedConn struct {
	net.Conn
	bytes *atomic.Uint64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// RunFlowExperiment plays the experiment.
func RunFlowExperiment(exp FlowExperiment) (result FlowResult, err error) {
	settings := DefaultStorm()
	settings.Kind, settings.Routers, settings.Hosts, settings.Seed, result.Seed = "none", 2, 3, exp.Seed, exp.Seed
	coll, err := collector.New(exp.Collector, nil)
	if err != nil {
		return result, err
	}
	lb := &loopbackRun{StormExperiment: settings, recorder: newRecorder(settings), start: time.Now(), effects: servers.SharedEffects{}}
	for i := range settings.Hosts {
		hostServer := &servers.Host{Name: fmt.Sprint("h", i), Effects: &lb.effects, Clock: lb.clock, OnWork: func(int64, int64) {}, Work: func() int64 { return 1e6 }}
		if err := hostServer.Start(&standin.Machine{Cores: 64, QueueNanos: 1e9}); err != nil {
			return result, err
		}
		defer hostServer.Stop()
		lb.hosts = append(lb.hosts, hostServer)
	}
	if lb.services, err = servers.NewServices(`{"release":1,"tranche":0,"mode":"stable","exposure":1,"old_ms":60000}`, lb.memberList(true)); err != nil {
		return result, err
	}
	defer lb.services.Close()
	configs, err := lb.routerConfigs()
	if err != nil {
		return result, err
	}
	network := exp.Collector
	if network == "netflow9" {
		network = "udp"
	}
	meter := export.NewMeter(flow.Limits{Active: 60e9, Idle: 15e9, MaxConnections: 1024}, 1, exp.BacklogBytes, dispatch.NewClock())
	exporter := export.New(export.Options{Version9: exp.Collector == "netflow9", Collectors: []export.Collector{{Network: network, Address: coll.Address}},
		Enterprise: ipfix.Documentation, Names: ipfix.Names{Carriers: carrierNames, Bands: []string{experimentBands[0].name, experimentBands[1].name}},
		Refresh: time.Second, Packets: 50, MTU: 1400, Linger: 5 * time.Second}, meter, zerolog.Nop())
	var nodes []*router.Router
	for i, flowExporter := range []*export.Exporter{exporter, nil} {
		n, err := router.StartWith(context.Background(), configs[i], nil, flowExporter, zerolog.Nop())
		if err != nil {
			return result, err
		}
		nodes = append(nodes, n)
	}
	coll.Stop() // away from the first connection on
	var bytes, commands atomic.Uint64
	latencies := [2][]time.Duration{}
	var mu sync.Mutex
	var workers sync.WaitGroup
	start := time.Now()
	jobs := make(chan int, 16) // so many clients at once
	for range cap(jobs) {
		workers.Go(func() {
			for i := range jobs {
				sentAt := time.Now()
				ok, n := sendOnce(configs[i%2].Listen, i)
				latency := time.Since(sentAt)
				mu.Lock()
				latencies[i%2] = append(latencies[i%2], latency)
				mu.Unlock()
				if i%2 == 0 {
					bytes.Add(n)
					if ok {
						commands.Add(1)
					}
				}
			}
		})
	}
	for i := range 2 * exp.Connections {
		jobs <- i
		if i%64 == 0 {
			account, backlogBytes := meter.Account(0)
			if result.BacklogPeak = max(result.BacklogPeak, backlogBytes); !account.Balanced() {
				result.IdentityViolations++
			}
		}
	}
	close(jobs)
	workers.Wait()
	time.Sleep(exp.CollectorDowntime - time.Since(start))
	if err := coll.Restart(); err != nil {
		return result, err
	}
	for _, n := range nodes {
		if err := n.Drain(); err != nil {
			return result, err
		}
	}
	account, _ := meter.Account(0)
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); runtime.Gosched() {
		if sum, _, _, _ := coll.Totals(); sum.Records >= account.Exported.Records {
			break
		}
	}
	bySide, _ := coll.TotalsBySide()
	clientSide := bySide[flow.Clients]
	result.Connections, result.Records, result.BytesRouter, result.BytesCollector = clientSide.Connections, account.Counted.Records, bytes.Load(), clientSide.Forward+clientSide.Reverse
	result.BytesError = relativeError(result.BytesCollector, result.BytesRouter)
	result.CommandsError = relativeError(clientSide.Commands, commands.Load())
	result.Lost = account.Lost.Records
	if !account.Balanced() {
		result.IdentityViolations++
	}
	for i := range latencies {
		slices.Sort(latencies[i])
	}
	p99 := func(t []time.Duration) float64 { return float64(t[len(t)*99/100]) }
	result.P99Ratio = p99(latencies[0]) / p99(latencies[1])
	result.Folded = coll.FoldedRecords()
	coll.Stop()
	return result, nil
}

// relativeError is by how much one is off another, as a part of it.
func relativeError(got, want uint64) float64 {
	return max(float64(got)-float64(want), float64(want)-float64(got)) / max(1, float64(want))
}

// sendOnce plays one command on a connection of its own.
func sendOnce(address string, i int) (ok bool, bytes uint64) {
	var count atomic.Uint64
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{raw, &count}, err
	}}
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/"+experimentBands[0].name+"?obj="+fmt.Sprint(i%50), nil)
	if err != nil {
		return false, 0
	}
	req.Header = http.Header{"X-Trace-Id": {fmt.Sprint("f", i)}, "X-Qos": {experimentBands[0].name}, "X-Customer": {carrierNames[i/2%3]}, "X-Expires-In": {"2000m"}}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return false, count.Load()
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK, count.Load()
}
