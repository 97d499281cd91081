package simulation

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"portflow/internal/cluster/settings"
	"portflow/internal/dispatch"
	"portflow/internal/random"
)

// Layout is a harbour's size: zones, two to a region, each with a control process on its first machine.
type Layout struct {
	Zones          int
	ProxiesPerZone int // in each zone
	HostsPerZone   int // of each service in each zone
	Services       []string
	ServiceTime    time.Duration // a request's at a host
	Concurrency    int
	Rate           float64 // requests a second that must not be repeated, in each zone; twice as many may
	Seed           uint64
	SkewClocks     bool // each process's clock is up to an hour from the time, as of its machine
}

// Cluster is one.
type Cluster struct {
	Layout
	Network    *Network
	Controls   []*ControlNode
	Proxies    []*ProxyNode
	Hosts      []*Host
	mu         sync.Mutex
	executions map[string]int    // by attempt
	arrived    map[string]bool   // attempts that some host has had
	outcomes   map[string]string // by attempt: how the client's request ended
	requests   []time.Time       // when requests were sent
	reattempts []time.Time       // when hosts got one that some host had had before
	rng        random.Source
	lastHost   int
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	Violations []string // rules
}

const (
	controlPort, proxyPort, readyPort, directoryPort = 8001, 8002, 8003, 8004
	firstInternalPort, lastInternalPort              = 7600, 7615
)

// New lays a harbour out; nothing runs before Start.
func New(layout Layout) *Cluster {
	cluster := &Cluster{Layout: layout, executions: map[string]int{}, arrived: map[string]bool{}, outcomes: map[string]string{}, rng: random.Source{Seed: layout.Seed}}
	cluster.ctx, cluster.cancel = context.WithCancel(context.Background())
	cluster.Network = NewNetwork(func(a, b string) time.Duration {
		x, y := zoneIndexOf(a), zoneIndexOf(b)
		switch {
		case x == y:
			return 100 * time.Microsecond
		case x/2 == y/2:
			return 1400 * time.Microsecond
		}
		return 35 * time.Millisecond
	}, layout.Seed)
	zones := map[string]string{}
	var seeds []string
	for z := range layout.Zones {
		zones[zoneName(z)] = regionName(z)
		if z < 3 {
			seeds = append(seeds, fmt.Sprintf("10.%d.0.1:%d", z+1, controlPort))
		}
	}
	newSettings := func(z, n int, role string) settings.Settings {
		ip := fmt.Sprintf("10.%d.0.%d", z+1, n)
		listenOn := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
		return settings.Settings{Name: fmt.Sprintf("front-%s-%d", zoneName(z), n), Role: role, MachineClass: "front", IP: ip, Zone: zoneName(z), Region: regionName(z),
			Serves: []string{"front", "control", "directory"}, Counted: n == 1, FirstStart: true, MemoryMB: 256, Descriptors: 4000, DiskMB: 64,
			ProcessorShare: 1, ListenAddresses: map[string]string{"front": listenOn(proxyPort), "readiness": listenOn(readyPort), "control": listenOn(controlPort),
				"directory": listenOn(directoryPort)}, InternalPorts: [2]int{firstInternalPort, lastInternalPort}, SeedNodes: seeds, ZoneRegions: zones, HeartbeatInterval: 1300e6,
			Terms: settings.Terms{SeedLag: 3e9, Reuse: 2e9, Contact: 5e9, Acknowledge: 6e9, CatchUp: 4e9, DrainLimit: 3e9, Grace: 6e9,
				LossSlack: 200e6, Configuration: 3e9, RollbackSlack: 250e6, OuterStretch: 10e9, BudgetWindow: 10e9, Rollback: 5e9,
				Evacuation: 5e9, Recovery: 15e9, Lifetime: 5e9, BudgetRatio: 0.2, BudgetSlack: 64, ExposureShare: 0.1, ExposureSlack: 50,
				ColdOverrun: 1.5, ColdSlack: 5}}
	}
	for z := range layout.Zones {
		cluster.Controls = append(cluster.Controls, &ControlNode{cluster: cluster, Settings: newSettings(z, 1, "harbourmaster"), Disk: NewDisk()})
		cluster.Controls[z].Disk.SyncDelay = 5 * time.Millisecond
		for n := range layout.ProxiesPerZone {
			cluster.Proxies = append(cluster.Proxies, &ProxyNode{cluster: cluster, Settings: newSettings(z, n+1, "fairway")})
		}
	}
	if rng := (random.Source{Seed: layout.Seed + 77}); layout.SkewClocks {
		for _, node := range cluster.Controls {
			node.ClockSkew = randomSkew(&rng)
		}
		for _, px := range cluster.Proxies {
			px.ClockSkew = randomSkew(&rng)
		}
	}
	return cluster
}

// randomSkew draws by how much a clock is from the time, up to an hour.
func randomSkew(rng *random.Source) time.Duration {
	return time.Duration((rng.Float64()*2 - 1) * float64(time.Hour))
}

func zoneName(z int) string   { return "z" + strconv.Itoa(z) }
func regionName(z int) string { return "r" + strconv.Itoa(z/2) }

func zoneIndexOf(ip string) int {
	n, _ := strconv.Atoi(strings.Split(ip, ".")[1])
	return n - 1
}

// Start starts all processes, and the hosts.
func (cl *Cluster) Start() error {
	for _, node := range cl.Controls {
		if err := node.Start(); err != nil {
			return err
		}
	}
	for _, px := range cl.Proxies {
		if err := px.Start(); err != nil {
			return err
		}
	}
	for _, s := range cl.Services {
		for z := range cl.Zones {
			for range cl.HostsPerZone {
				cl.StartHost(s, z, "v1", 0)
			}
		}
	}
	return nil
}

// Stop ends all.
func (cl *Cluster) Stop() {
	for _, px := range cl.Proxies {
		px.Kill()
	}
	for _, host := range cl.Hosts {
		host.Crash()
	}
	for _, node := range cl.Controls {
		node.Kill()
	}
	cl.cancel()
	cl.background.Wait()
	time.Sleep(20 * time.Second) // timers of connections and of the library
}

func (cl *Cluster) nextSeed() uint64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return uint64(cl.rng.Float64() * (1 << 52))
}

// skewedClock is a machine's, anchored at the start as in service, and apart from the time.
func skewedClock(skew time.Duration) dispatch.Clock {
	local := dispatch.NewClock()
	return func() int64 { return local() + int64(skew) }
}

func (cl *Cluster) violation(format string, args ...any) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.Violations = append(cl.Violations, fmt.Sprintf(format, args...))
}
