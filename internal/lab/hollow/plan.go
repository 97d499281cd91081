// Package hollow is a capacity test that runs a large cluster on loopback: real control processes with emulated ("hollow")
// routers and hosts. Hundreds of hollow routers share this process; each keeps a real stream to a control process, with
// acknowledgements and heartbeats, and takes part in gossip, but serves no traffic. A hollow host only sends heartbeats. The test
// measures the resources that the control processes use and the time until the routers have received a change.
package hollow

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"portflow/internal/cluster/settings"
)

// Plan describes one run. Consecutive zones form a region, three to each.
type Plan struct {
	Routers          int           `json:"routers"`
	Hosts            int           `json:"hosts"`
	Voters           int           `json:"core"` // number of control processes, at most one per zone
	Zones            int           `json:"zones"`
	Services         int           `json:"services"`
	Routes           int           `json:"routes"`
	Quotas           int           `json:"shares"`  // callers' quotas
	RealRouters      int           `json:"real"`    // proxy processes in addition to the hollow routers
	FreshConnections bool          `json:"fresh"`   // hosts open a new connection for each heartbeat
	IdleTime         time.Duration `json:"calm"`    // length of the measurement without changes
	Changes          int           `json:"changes"` // route changes, one after another
	Drains           int           `json:"drains"`  // hosts that start draining, one after another
	Burst            int           `json:"burst"`   // changes sent as fast as they are acknowledged, eight at a time
	KillControl      bool          `json:"kill"`    // kill and restart a control process
	RestartRouters   bool          `json:"restart"` // restart half of the routers
	PartitionTime    time.Duration `json:"cut"`     // duration of the partition of one region; 0 for none
	Profile          string        `json:"profile"` // directory for CPU profiles of all child processes; empty for none
	Seed             uint64        `json:"seed"`
	Progress         func(string)  `json:"-"` // receives progress messages; may be nil
}

// TargetPlan returns the plan with the cluster size that the design has to support.
func TargetPlan() Plan {
	return Plan{Routers: 510, Hosts: 4200, Voters: 7, Zones: 11, Services: 220, Routes: 3200, IdleTime: 15 * time.Second, Changes: 20, Drains: 10,
		Burst: 100, KillControl: true, RestartRouters: true, PartitionTime: 20 * time.Second, Seed: 1}
}

// Limits of a plan, so that a run fits on one machine.
const (
	maxRouters     = 1200
	maxHosts       = 10000
	maxRealRouters = 40
	zonesPerRegion = 3
)

func (p Plan) validate() error {
	for _, b := range []struct {
		value, low, high int
		message          string
	}{
		{p.Routers, 1, maxRouters, fmt.Sprintf("routers must be between 1 and %d", maxRouters)},
		{p.Hosts, 0, maxHosts, fmt.Sprintf("hosts must be between 0 and %d", maxHosts)},
		{p.RealRouters, 0, maxRealRouters, fmt.Sprintf("real must be between 0 and %d", maxRealRouters)},
		{p.Zones, 1, 16, "zones must be between 1 and 16"},
		{p.Voters, 1, p.Zones, "core must be between 1 and the number of zones"},
	} {
		if b.value < b.low || b.value > b.high {
			return errors.New(b.message)
		}
	}
	switch {
	case p.Services < 1 || p.Services > 2000 || p.Routes < 0 || p.Routes > 20000 || p.Quotas < 0 || p.Quotas > 50000:
		return errors.New("services must be between 1 and 2,000, routes between 0 and 20,000, shares between 0 and 50,000")
	case p.IdleTime+p.PartitionTime > 10*time.Minute || p.Changes > 2000 || p.Burst > 2000 || p.Drains > 1000:
		return errors.New("run is too long: calm plus cut may be at most 10 minutes, changes and burst at most 2,000, drains at most 1,000")
	}
	return nil
}

const (
	firstInternalPort, lastInternalPort = 27600, 27615
	controlPort, proxyPort, readyPort   = 27001, 27002, 27003
	heartbeatInterval                   = 1300 * time.Millisecond
)

// address returns the loopback IP address of machine n of a zone. The zone's control process is machine 0.
func address(zone, n int) string { return fmt.Sprintf("127.%d.%d.%d", 100+zone, n/200, n%200+1) }

func zoneName(z int) string   { return fmt.Sprintf("z%02d", z) }
func regionOf(z int) int      { return z / zonesPerRegion }
func regionName(z int) string { return fmt.Sprintf("r%d", regionOf(z)) }

// distance returns 0 for the same zone, 1 for another zone of the same region and 2 for different regions.
func distance(a, b int) int {
	switch {
	case a == b:
		return 0
	case regionOf(a) == regionOf(b):
		return 1
	}
	return 2
}

// controlZones returns the zones that run a control process. Every region gets one before any region gets a second.
func (p Plan) controlZones() (zones []int) {
	for turn := 0; turn < zonesPerRegion; turn++ {
		for z := turn; z < p.Zones; z += zonesPerRegion {
			if len(zones) < p.Voters {
				zones = append(zones, z)
			}
		}
	}
	return zones
}

// settings returns the settings of the process on machine n of a zone. A control process gets the regions of the zones that have
// a control process only, other processes those of all zones.
func (p Plan) settings(name, role string, zone, n int) settings.Settings {
	ip := address(zone, n)
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	b := settings.Settings{Name: name, Role: role, MachineClass: role, IP: ip, Zone: zoneName(zone), Region: regionName(zone), FirstStart: true, MemoryMB: 1024,
		Descriptors: 4000, DiskMB: 64, ProcessorShare: 1, Serves: []string{"front", "control", "directory"}, InternalPorts: [2]int{firstInternalPort, lastInternalPort},
		ListenAddresses: map[string]string{"front": at(proxyPort), "readiness": at(readyPort), "control": at(controlPort), "directory": at(controlPort + 3)},
		ZoneRegions:     map[string]string{}, HeartbeatInterval: int64(heartbeatInterval),
		Terms: settings.Terms{SeedLag: 3e9, Reuse: 2e9, Contact: 5e9, Acknowledge: 6e9, CatchUp: 4e9, DrainLimit: 3e9, Grace: 6e9,
			LossSlack: 200e6, Configuration: 3e9, RollbackSlack: 250e6, OuterStretch: 10e9, BudgetWindow: 10e9, Rollback: 5e9,
			Evacuation: 5e9, Recovery: 15e9, Lifetime: 5e9, BudgetRatio: 0.2, BudgetSlack: 64, ExposureShare: 0.1, ExposureSlack: 50,
			ColdOverrun: 1.5, ColdSlack: 5}}
	zones := p.controlZones()
	for _, z := range zones[:min(3, len(zones))] {
		b.SeedNodes = append(b.SeedNodes, net.JoinHostPort(address(z, 0), strconv.Itoa(controlPort)))
	}
	if role == controlRole {
		for _, z := range zones {
			b.ZoneRegions[zoneName(z)] = regionName(z)
		}
	} else {
		for z := range p.Zones {
			b.ZoneRegions[zoneName(z)] = regionName(z)
		}
	}
	return b
}
