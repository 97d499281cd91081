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
	"portflow/internal/router/config"
	"portflow/internal/router/flow"
	"portflow/internal/router/flow/export"
	"portflow/internal/router/flow/ipfix"
	"portflow/internal/standin"
	"portflow/internal/standin/collector"
	"portflow/internal/standin/servers"
)

// FlowExperiment is an experiment with flow export on loopback. Clients open short connections to two routers in turn; the first router
// exports flow records to a collector that is down at first.
type FlowExperiment struct {
	Connections       int           `json:"Conns"`     // per router
	CollectorDowntime time.Duration `json:"Down"`      // at least, from the first connection on
	Collector         string        `json:"Collector"` // udp, tcp or netflow9
	BacklogBytes      int           `json:"Memory"`    // memory limit of the exporter's backlog
	Seed              uint64        `json:"Seed"`
}

// FlowResult is the result of a flow experiment. Connections, records and bytes are those of the router that exports.
type FlowResult struct {
	Connections        uint64  `json:"connections"`
	Records            uint64  `json:"records"`
	BytesRouter        uint64  `json:"bytes_router"`    // counted by the clients
	BytesCollector     uint64  `json:"bytes_collector"` // of the clients' side, in both directions
	BytesError         float64 `json:"bytes_error"`     // relative, as is CommandsError
	CommandsError      float64 `json:"commands_error"`
	Folded             uint64  `json:"folded"`
	Lost               uint64  `json:"lost"`            // records
	IdentityViolations int     `json:"identity_broken"` // checks that found the meter's ledger unbalanced
	P99Ratio           float64 `json:"p99_ratio"`       // latency with export to latency without
	BacklogPeak        int     `json:"backlog_peak_bytes"`
	Seed               uint64  `json:"seed"`
}

// countedConn counts the bytes of a connection in both directions.
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

// flowRun is a running flow experiment.
type flowRun struct {
	FlowExperiment
	loopback  *loopbackRun
	collector *collector.Collector
	meter     *export.Meter
	configs   []config.Config
	routers   []*router.Router

	mu                      sync.Mutex // guards latencies
	latencies               [flowRouters][]time.Duration
	clientBytes, successful atomic.Uint64 // bytes and successful requests of the router that exports
	result                  FlowResult
}

const (
	flowRouters = 2 // the first one exports
	flowHosts   = 3
	flowClients = 16 // concurrent

	accountCheckInterval = 64 // requests between two checks of the meter's ledger
	exportTimeout        = 2 * time.Second
)

// RunFlowExperiment runs a flow experiment in real time.
func RunFlowExperiment(exp FlowExperiment) (FlowResult, error) {
	run := &flowRun{FlowExperiment: exp, result: FlowResult{Seed: exp.Seed}}
	coll, err := collector.New(exp.Collector, nil)
	if err != nil {
		return run.result, err
	}
	run.collector = coll
	defer run.stop()
	if err := run.startHosts(); err != nil {
		return run.result, err
	}
	if err := run.startRouters(); err != nil {
		return run.result, err
	}
	coll.Stop() // down before the first connection
	start := time.Now()
	run.sendCommands()
	time.Sleep(exp.CollectorDowntime - time.Since(start))
	if err := coll.Restart(); err != nil {
		return run.result, err
	}
	for _, r := range run.routers {
		if err := r.Drain(); err != nil {
			return run.result, err
		}
	}
	run.compare(run.awaitExport())
	coll.Stop()
	return run.result, nil
}

// stop stops the hosts and the discovery and platform services.
func (run *flowRun) stop() {
	if run.loopback == nil {
		return
	}
	if run.loopback.services != nil {
		run.loopback.services.Close()
	}
	for _, h := range run.loopback.hosts {
		h.Stop()
	}
}

// startHosts starts the hosts and the services, and creates the routers' configurations.
func (run *flowRun) startHosts() (err error) {
	settings := DefaultStorm()
	settings.Kind = "none"
	settings.Routers = flowRouters
	settings.Hosts = flowHosts
	settings.Seed = run.Seed
	socketRun := &loopbackRun{StormExperiment: settings, recorder: newRecorder(settings), start: time.Now(), effects: servers.SharedEffects{}}
	run.loopback = socketRun
	for i := range settings.Hosts {
		h := &servers.Host{
			Name:    fmt.Sprint("h", i),
			Effects: &socketRun.effects,
			Clock:   socketRun.clock,
			OnWork:  func(int64, int64) {},
			Work:    func() int64 { return 1e6 },
		}
		if err := h.Start(&standin.Machine{Cores: 64, QueueNanos: 1e9}); err != nil {
			return err
		}
		socketRun.hosts = append(socketRun.hosts, h)
	}
	if socketRun.services, err = servers.NewServices(releasedBuild, socketRun.memberList(true)); err != nil {
		return err
	}
	run.configs, err = socketRun.routerConfigs()
	return err
}

// startRouters starts the routers, the first one with an exporter.
func (run *flowRun) startRouters() error {
	run.meter = export.NewMeter(flow.Limits{Active: 60e9, Idle: 15e9, MaxConnections: 1024}, 1, run.BacklogBytes, dispatch.NewClock())
	for i, exporter := range []*export.Exporter{export.New(run.exportOptions(), run.meter, zerolog.Nop()), nil} {
		r, err := router.StartWith(context.Background(), run.configs[i], nil, exporter, zerolog.Nop())
		if err != nil {
			return err
		}
		run.routers = append(run.routers, r)
	}
	return nil
}

func (run *flowRun) exportOptions() export.Options {
	version9 := run.Collector == "netflow9"
	network := run.Collector
	if version9 {
		network = "udp"
	}
	return export.Options{
		Version9:   version9,
		Collectors: []export.Collector{{Network: network, Address: run.collector.Address}},
		Enterprise: ipfix.Documentation,
		Names:      ipfix.Names{Carriers: carrierNames, Bands: []string{requestClasses[0].name, requestClasses[1].name}},
		Refresh:    time.Second,
		Packets:    50,
		MTU:        1400,
		Linger:     5 * time.Second,
	}
}

// sendCommands sends all commands to the routers in turn, and checks the meter's ledger at regular intervals.
func (run *flowRun) sendCommands() {
	var workers sync.WaitGroup
	jobs := make(chan int, flowClients)
	for range flowClients {
		workers.Go(func() {
			for i := range jobs {
				run.sendCommand(i)
			}
		})
	}
	for i := range flowRouters * run.Connections {
		jobs <- i
		if i%accountCheckInterval == 0 {
			run.checkAccount()
		}
	}
	close(jobs)
	workers.Wait()
}

// sendCommand sends one command and records its latency.
func (run *flowRun) sendCommand(i int) {
	target := i % flowRouters
	start := time.Now()
	ok, bytes := sendOnce(run.configs[target].Listen, i)
	latency := time.Since(start)
	run.mu.Lock()
	run.latencies[target] = append(run.latencies[target], latency)
	run.mu.Unlock()
	if target != 0 {
		return
	}
	run.clientBytes.Add(bytes)
	if ok {
		run.successful.Add(1)
	}
}

// checkAccount counts a violation if the meter's ledger is unbalanced, and updates the peak of the backlog.
func (run *flowRun) checkAccount() {
	account, backlogBytes := run.meter.Account(0)
	run.result.BacklogPeak = max(run.result.BacklogPeak, backlogBytes)
	if !account.Balanced() {
		run.result.IdentityViolations++
	}
}

// awaitExport waits for up to exportTimeout until the collector has received all exported records. It returns the meter's ledger as of
// the start of the wait.
func (run *flowRun) awaitExport() flow.Ledger {
	account, _ := run.meter.Account(0)
	for deadline := time.Now().Add(exportTimeout); time.Now().Before(deadline); runtime.Gosched() {
		if totals, _, _, _ := run.collector.Totals(); totals.Records >= account.Exported.Records {
			break
		}
	}
	return account
}

// compare fills in the result from the meter's ledger, the collector's totals and the clients' counts.
func (run *flowRun) compare(account flow.Ledger) {
	if !account.Balanced() {
		run.result.IdentityViolations++
	}
	bySide, _ := run.collector.TotalsBySide()
	clientSide := bySide[flow.Clients]
	result := &run.result
	result.Connections = clientSide.Connections
	result.Records = account.Counted.Records
	result.BytesRouter = run.clientBytes.Load()
	result.BytesCollector = clientSide.Forward + clientSide.Reverse
	result.BytesError = relativeError(result.BytesCollector, result.BytesRouter)
	result.CommandsError = relativeError(clientSide.Commands, run.successful.Load())
	result.Lost = account.Lost.Records
	result.P99Ratio = p99(run.latencies[0]) / p99(run.latencies[1])
	result.Folded = run.collector.FoldedRecords()
}

// p99 sorts the latencies and returns the 99th percentile in nanoseconds.
func p99(latencies []time.Duration) float64 {
	slices.Sort(latencies)
	return float64(latencies[len(latencies)*99/100])
}

// relativeError returns the difference of got and want as a fraction of want.
func relativeError(got, want uint64) float64 {
	return max(float64(got)-float64(want), float64(want)-float64(got)) / max(1, float64(want))
}

// sendOnce sends one command on a new connection. ok reports whether it succeeded; bytes is the connection's traffic in both directions.
func sendOnce(address string, i int) (ok bool, bytes uint64) {
	var count atomic.Uint64
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{raw, &count}, err
	}}
	url := fmt.Sprintf("http://%s/%s?obj=%d", address, requestClasses[0].name, i%50)
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return false, 0
	}
	req.Header = http.Header{
		"X-Trace-Id":   {fmt.Sprint("f", i)},
		"X-Qos":        {requestClasses[0].name},
		"X-Customer":   {carrierNames[i/2%3]},
		"X-Expires-In": {"2000m"},
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return false, count.Load()
	}
	_, _ = io.Copy(io.Discard, resp.Body) // countedConn counts the bytes read
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK, count.Load()
}
