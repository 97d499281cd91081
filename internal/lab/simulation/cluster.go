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

// Layout is a cluster's size: zones, two to a region, each with a control process on its first machine.
type Layout struct {
	Zones          int
	ProxiesPerZone int
	HostsPerZone   int // of each service in each zone
	Services       []string
	ServiceTime    time.Duration // of a request at a host
	Concurrency    int           // requests that a host runs at once
	Rate           float64       // unsafe requests a second in each zone; there are twice as many safe ones
	Seed           uint64
	SkewClocks     bool // each machine's clock differs from the time, by maxClockSkew at most
}

const (
	zonesPerRegion = 2
	maxSeeds       = 3 // control processes whose addresses the others are started with

	zoneDelay        = 100 * time.Microsecond // one way, within a zone
	regionDelay      = 1400 * time.Microsecond
	crossRegionDelay = 35 * time.Millisecond
	diskSyncDelay    = 5 * time.Millisecond

	maxClockSkew    = time.Hour
	clockSeedOffset = 77 // keeps the clocks' random draws apart from the others

	timerWait = 20 * time.Second // until the last timers of connections and libraries have fired

	controlRole = "harbourmaster" // the roles by the names that settings files may have
	proxyRole   = "fairway"
)

// Cluster is a cluster and what is recorded of its requests.
type Cluster struct {
	Layout
	Network    *Network
	Controls   []*ControlNode
	Proxies    []*ProxyNode
	Hosts      []*Host
	ctx        context.Context // of hosts and clients; ends with Stop
	cancel     context.CancelFunc
	background sync.WaitGroup // hosts and clients; Stop waits for them

	mu          sync.Mutex        // guards what follows, and the nodes' settings and state
	executions  map[string]int    // by attempt
	arrived     map[string]bool   // attempts that some host has received
	outcomes    map[string]string // by attempt: how the client's request ended
	requests    []time.Time       // when requests were sent
	reattempts  []time.Time       // when hosts received one that had arrived before
	rng         random.Source
	lastMachine int      // the number of the machine that was added last
	Violations  []string // of rules
}

const (
	controlPort, proxyPort, readyPort, directoryPort = 8001, 8002, 8003, 8004
	firstInternalPort, lastInternalPort              = 7600, 7615
)

// New makes a cluster; nothing runs before Start.
func New(layout Layout) *Cluster {
	cluster := &Cluster{
		Layout:     layout,
		Network:    NewNetwork(linkDelay, layout.Seed),
		executions: map[string]int{},
		arrived:    map[string]bool{},
		outcomes:   map[string]string{},
		rng:        random.Source{Seed: layout.Seed},
	}
	cluster.ctx, cluster.cancel = context.WithCancel(context.Background())
	for z := range layout.Zones {
		cluster.Controls = append(cluster.Controls, cluster.newControl(z))
		for n := range layout.ProxiesPerZone {
			proxyNode := &ProxyNode{cluster: cluster, Settings: layout.newSettings(z, n+1, proxyRole)}
			cluster.Proxies = append(cluster.Proxies, proxyNode)
		}
	}
	if layout.SkewClocks {
		cluster.skewClocks()
	}
	return cluster
}

// linkDelay is the delay of one direction between two machines, by their zones and regions.
func linkDelay(a, b string) time.Duration {
	zoneA, zoneB := zoneIndexOf(a), zoneIndexOf(b)
	switch {
	case zoneA == zoneB:
		return zoneDelay
	case zoneA/zonesPerRegion == zoneB/zonesPerRegion:
		return regionDelay
	}
	return crossRegionDelay
}

func (cl *Cluster) newControl(zoneIndex int) *ControlNode {
	disk := NewDisk()
	disk.SyncDelay = diskSyncDelay
	return &ControlNode{cluster: cl, Settings: cl.newSettings(zoneIndex, 1, controlRole), Disk: disk}
}

// newSettings returns the settings of a zone's n-th machine.
func (l Layout) newSettings(zoneIndex, n int, role string) settings.Settings {
	ip := fmt.Sprintf("10.%d.0.%d", zoneIndex+1, n)
	listenOn := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	return settings.Settings{
		Name:           fmt.Sprintf("front-%s-%d", zoneName(zoneIndex), n),
		Role:           role,
		MachineClass:   "front",
		IP:             ip,
		Zone:           zoneName(zoneIndex),
		Region:         regionName(zoneIndex),
		Serves:         []string{"front", "control", "directory"},
		Counted:        n == 1,
		FirstStart:     true,
		MemoryMB:       256,
		Descriptors:    4000,
		DiskMB:         64,
		ProcessorShare: 1,
		ListenAddresses: map[string]string{
			"front":     listenOn(proxyPort),
			"readiness": listenOn(readyPort),
			"control":   listenOn(controlPort),
			"directory": listenOn(directoryPort),
		},
		InternalPorts:     [2]int{firstInternalPort, lastInternalPort},
		SeedNodes:         l.seedNodes(),
		ZoneRegions:       l.zoneRegions(),
		HeartbeatInterval: 1300e6,
		Terms: settings.Terms{
			SeedLag: 3e9, Reuse: 2e9, Contact: 5e9, Acknowledge: 6e9, CatchUp: 4e9, DrainLimit: 3e9, Grace: 6e9,
			LossSlack: 200e6, Configuration: 3e9, RollbackSlack: 250e6, OuterStretch: 10e9, BudgetWindow: 10e9, Rollback: 5e9,
			Evacuation: 5e9, Recovery: 15e9, Lifetime: 5e9, BudgetRatio: 0.2, BudgetSlack: 64, ExposureShare: 0.1, ExposureSlack: 50,
			ColdOverrun: 1.5, ColdSlack: 5,
		},
	}
}

// seedNodes returns the addresses of the first control processes.
func (l Layout) seedNodes() (seeds []string) {
	for z := range min(l.Zones, maxSeeds) {
		seeds = append(seeds, fmt.Sprintf("10.%d.0.1:%d", z+1, controlPort))
	}
	return seeds
}

// zoneRegions returns the region of each zone.
func (l Layout) zoneRegions() map[string]string {
	regions := map[string]string{}
	for z := range l.Zones {
		regions[zoneName(z)] = regionName(z)
	}
	return regions
}

// skewClocks draws each machine's clock.
func (cl *Cluster) skewClocks() {
	rng := random.Source{Seed: cl.Seed + clockSeedOffset}
	for _, node := range cl.Controls {
		node.ClockSkew = randomSkew(&rng)
	}
	for _, proxyNode := range cl.Proxies {
		proxyNode.ClockSkew = randomSkew(&rng)
	}
}

// randomSkew draws by how much a clock differs from the time.
func randomSkew(rng *random.Source) time.Duration {
	return time.Duration((rng.Float64()*2 - 1) * float64(maxClockSkew))
}

func zoneName(z int) string   { return "z" + strconv.Itoa(z) }
func regionName(z int) string { return "r" + strconv.Itoa(z/zonesPerRegion) }

// zoneIndexOf returns the zone of an IP address of the cluster; it panics on others, which no test uses.
func zoneIndexOf(ip string) int {
	n, err := strconv.Atoi(strings.Split(ip, ".")[1])
	if err != nil {
		panic(err)
	}
	return n - 1
}

// Start starts all processes, and the hosts.
func (cl *Cluster) Start() error {
	for _, node := range cl.Controls {
		if err := node.Start(); err != nil {
			return err
		}
	}
	for _, proxyNode := range cl.Proxies {
		if err := proxyNode.Start(); err != nil {
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

// Stop ends all processes and waits until nothing of them is left.
func (cl *Cluster) Stop() {
	for _, proxyNode := range cl.Proxies {
		proxyNode.Kill()
	}
	for _, host := range cl.Hosts {
		host.Crash()
	}
	for _, node := range cl.Controls {
		node.Kill()
	}
	cl.cancel()
	cl.background.Wait()
	time.Sleep(timerWait)
}

// nextSeed draws the seed of one start of a process.
func (cl *Cluster) nextSeed() uint64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return uint64(cl.rng.Float64() * (1 << 52))
}

// skewedClock returns a machine's clock, anchored at the start as in service, that differs from the time.
func skewedClock(skew time.Duration) dispatch.Clock {
	local := dispatch.NewClock()
	return func() int64 { return local() + int64(skew) }
}

// violation records a broken rule.
func (cl *Cluster) violation(format string, args ...any) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.Violations = append(cl.Violations, fmt.Sprintf(format, args...))
}
