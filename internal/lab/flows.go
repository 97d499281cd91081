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

// Flows is an experiment with flow export on loopback: short connections to two routers in turn, one of which exports
// to a collector that is away for a time.
type Flows struct {
	Conns     int           `json:"Conns"`
	Down      time.Duration `json:"Down"`
	Collector string        `json:"Collector"` // udp, tcp or netflow9
	Memory    int           `json:"Memory"`    // of the backlog
	Seed      uint64        `json:"Seed"`
}

// FlowsResult is what a run tells.
type FlowsResult struct {
	Connections    uint64  `json:"connections"`
	Records        uint64  `json:"records"`
	BytesRouter    uint64  `json:"bytes_router"`
	BytesCollector uint64  `json:"bytes_collector"`
	BytesError     float64 `json:"bytes_error"`
	CommandsError  float64 `json:"commands_error"`
	Folded         uint64  `json:"folded"`
	Lost           uint64  `json:"lost"`
	IdentityBroken int     `json:"identity_broken"`
	P99Ratio       float64 `json:"p99_ratio"`
	BacklogPeak    int     `json:"backlog_peak_bytes"`
	Seed           uint64  `json:"seed"`
}

// counted is a client's connection that counts its own bytes.
type counted struct {
	net.Conn
	bytes *atomic.Uint64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// PlayFlows plays the experiment.
func PlayFlows(f Flows) (r FlowsResult, err error) {
	s := Defaults()
	s.Kind, s.Routers, s.Hosts, s.Seed, r.Seed = "none", 2, 3, f.Seed, f.Seed
	c, err := collector.New(f.Collector, nil)
	if err != nil {
		return r, err
	}
	l := &loopback{Storm: s, book: newBook(s), began: time.Now(), effects: servers.Shared{}}
	for i := range s.Hosts {
		h := &servers.Host{Name: fmt.Sprint("h", i), Effects: &l.effects, Clock: l.clock, Came: func(int64, int64) {}, Work: func() int64 { return 1e6 }}
		if err := h.Begin(&standin.Machine{Cores: 64, Queue: 1e9}); err != nil {
			return r, err
		}
		defer h.End()
		l.hosts = append(l.hosts, h)
	}
	if l.around, err = servers.NewAround(`{"release":1,"tranche":0,"mode":"stable","exposure":1,"old_ms":60000}`, l.members(true)); err != nil {
		return r, err
	}
	defer l.around.Close()
	configs, err := l.configs()
	if err != nil {
		return r, err
	}
	network := f.Collector
	if network == "netflow9" {
		network = "udp"
	}
	meter := export.NewMeter(flow.Limits{Active: 60e9, Idle: 15e9, Most: 1024}, 1, f.Memory, dispatch.NewClock())
	exporter := export.New(export.Options{Version9: f.Collector == "netflow9", Collectors: []export.Collector{{Network: network, Address: c.Address}},
		Enterprise: ipfix.Documentation, Names: ipfix.Names{Carriers: carriers, Bands: []string{bands[0].name, bands[1].name}},
		Refresh: time.Second, Packets: 50, MTU: 1400, Linger: 5 * time.Second}, meter, zerolog.Nop())
	var nodes []*router.Node
	for i, e := range []*export.Exporter{exporter, nil} {
		n, err := router.StartWith(context.Background(), configs[i], nil, e, zerolog.Nop())
		if err != nil {
			return r, err
		}
		nodes = append(nodes, n)
	}
	c.Vanish() // away from the first connection on
	var bytes, commands atomic.Uint64
	times := [2][]time.Duration{}
	var mu sync.Mutex
	var all sync.WaitGroup
	began := time.Now()
	lanes := make(chan int, 16) // so many clients at once
	for range cap(lanes) {
		all.Go(func() {
			for i := range lanes {
				at := time.Now()
				ok, n := once(configs[i%2].Listen, i)
				took := time.Since(at)
				mu.Lock()
				times[i%2] = append(times[i%2], took)
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
	for i := range 2 * f.Conns {
		lanes <- i
		if i%64 == 0 {
			a, held := meter.Account(0)
			if r.BacklogPeak = max(r.BacklogPeak, held); !a.Holds() {
				r.IdentityBroken++
			}
		}
	}
	close(lanes)
	all.Wait()
	time.Sleep(f.Down - time.Since(began))
	if err := c.Return(); err != nil {
		return r, err
	}
	for _, n := range nodes {
		if err := n.Leave(); err != nil {
			return r, err
		}
	}
	a, _ := meter.Account(0)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); runtime.Gosched() {
		if sum, _, _, _ := c.Sums(); sum.Records >= a.Exported.Records {
			break
		}
	}
	by, _ := c.Sides()
	x := by[flow.Clients]
	r.Connections, r.Records, r.BytesRouter, r.BytesCollector = x.Connections, a.Counted.Records, bytes.Load(), x.Forward+x.Reverse
	r.BytesError = off(r.BytesCollector, r.BytesRouter)
	r.CommandsError = off(x.Commands, commands.Load())
	r.Lost = a.Lost.Records
	if !a.Holds() {
		r.IdentityBroken++
	}
	for i := range times {
		slices.Sort(times[i])
	}
	p99 := func(t []time.Duration) float64 { return float64(t[len(t)*99/100]) }
	r.P99Ratio = p99(times[0]) / p99(times[1])
	r.Folded = c.Folded()
	c.Vanish()
	return r, nil
}

// off is by how much one is off another, as a part of it.
func off(is, want uint64) float64 {
	return max(float64(is)-float64(want), float64(want)-float64(is)) / max(1, float64(want))
}

// once plays one command on a connection of its own.
func once(address string, i int) (ok bool, bytes uint64) {
	var n atomic.Uint64
	t := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return counted{raw, &n}, err
	}}
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/"+bands[0].name+"?obj="+fmt.Sprint(i%50), nil)
	if err != nil {
		return false, 0
	}
	r.Header = http.Header{"X-Trace-Id": {fmt.Sprint("f", i)}, "X-Qos": {bands[0].name}, "X-Customer": {carriers[i/2%3]}, "X-Expires-In": {"2000m"}}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return false, n.Load()
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK, n.Load()
}
