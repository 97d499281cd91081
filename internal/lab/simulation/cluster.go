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

// Layout configures a cluster. Each zone has a control process on its first machine; two zones form a region.
type Layout struct {
	Zones          int
	ProxiesPerZone int
	HostsPerZone   int // for each service
	Services       []string
	ServiceTime    time.Duration // time that a host takes to run a request
	Concurrency    int           // requests that a host runs concurrently
	Rate           float64       // unsafe requests per second in each zone; safe requests arrive at twice this rate
	Seed           uint64
	SkewClocks     bool // sets each control process's and proxy's clock off by up to maxClockSkew in either direction
}

const (
	zonesPerRegion = 2
	maxSeeds       = 3 // control processes that are listed as seed nodes

	// One-way network delays: within a zone, between zones of a region, and between regions.
	zoneDelay        = 100 * time.Microsecond
	regionDelay      = 1400 * time.Microsecond
	crossRegionDelay = 35 * time.Millisecond

	diskSyncDelay = 5 * time.Millisecond

	maxClockSkew    = time.Hour
	clockSeedOffset = 77 // gives the clock skews a random sequence of their own

	timerWait = 20 * time.Second // time that Stop waits for the last timers of connections and libraries

	controlRole = "harbourmaster" // role names as settings files spell them
	proxyRole   = "fairway"
)

// Cluster is an emulated cluster. It records the outcomes and executions of all requests for Verify.
type Cluster struct {
	Layout
	Network    *Network
	Controls   []*ControlNode
	Proxies    []*ProxyNode
	Hosts      []*Host
	ctx        context.Context // for hosts and clients; canceled by Stop
	cancel     context.CancelFunc
	background sync.WaitGroup // goroutines of hosts and clients; Stop waits for them

	// mu guards the fields below, appends to Hosts, the replacement of control nodes, the running state of proxies, and the fields of
	// hosts that say so.
	mu          sync.Mutex
	executions  map[string]int    // by attempt ID
	arrived     map[string]bool   // by attempt ID: some host has received the attempt
	outcomes    map[string]string // by attempt ID: HTTP status that the client received, or brokenOutcome
	requests    []time.Time       // send times of clients' requests
	reattempts  []time.Time       // arrival times of attempts that some host had already received
	rng         random.Source
	lastMachine int      // number of the machine added last, used in names and IP addresses
	Violations  []string // violated invariants
}

const (
	controlPort, proxyPort, readyPort, directoryPort = 8001, 8002, 8003, 8004
	firstInternalPort, lastInternalPort              = 7600, 7615
)

// New creates a cluster. Start starts its processes.
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

// linkDelay returns the one-way delay between the machines with IP addresses a and b.
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

// newSettings returns the settings of the n-th machine of a zone, counted from 1.
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

// seedNodes returns the control addresses of the first maxSeeds control processes.
func (l Layout) seedNodes() (seeds []string) {
	for z := range min(l.Zones, maxSeeds) {
		seeds = append(seeds, fmt.Sprintf("10.%d.0.1:%d", z+1, controlPort))
	}
	return seeds
}

// zoneRegions returns the region names by zone name.
func (l Layout) zoneRegions() map[string]string {
	regions := map[string]string{}
	for z := range l.Zones {
		regions[zoneName(z)] = regionName(z)
	}
	return regions
}

// skewClocks sets a random clock skew for each control process and proxy.
func (cl *Cluster) skewClocks() {
	rng := random.Source{Seed: cl.Seed + clockSeedOffset}
	for _, node := range cl.Controls {
		node.ClockSkew = randomSkew(&rng)
	}
	for _, proxyNode := range cl.Proxies {
		proxyNode.ClockSkew = randomSkew(&rng)
	}
}

// randomSkew returns a uniform random skew between -maxClockSkew and maxClockSkew.
func randomSkew(rng *random.Source) time.Duration {
	return time.Duration((rng.Float64()*2 - 1) * float64(maxClockSkew))
}

func zoneName(z int) string   { return "z" + strconv.Itoa(z) }
func regionName(z int) string { return "r" + strconv.Itoa(z/zonesPerRegion) }

// zoneIndexOf returns the index of the zone that an IP address of the cluster belongs to. It panics if the second component of
// the address is not a number.
func zoneIndexOf(ip string) int {
	n, err := strconv.Atoi(strings.Split(ip, ".")[1])
	if err != nil {
		panic(err)
	}
	return n - 1
}

// Start starts the control processes, the proxies and then the hosts. It returns the first error and leaves what it started running.
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

// Stop kills all processes and waits until all goroutines of hosts and clients and the remaining timers have ended.
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

// nextSeed returns a random seed for the next start of a process.
func (cl *Cluster) nextSeed() uint64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return uint64(cl.rng.Float64() * (1 << 52))
}

// skewedClock returns a clock that is off by skew. As in production, each process creates its clock when it starts.
func skewedClock(skew time.Duration) dispatch.Clock {
	local := dispatch.NewClock()
	return func() int64 { return local() + int64(skew) }
}

// violation records the violation of an invariant.
func (cl *Cluster) violation(format string, args ...any) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.Violations = append(cl.Violations, fmt.Sprintf(format, args...))
}
