// Package hollow plays a large harbour on loopback: real control processes, and routers and hosts that are hollow. A hollow
// router has a real line to control, with acknowledgements and beats, and real shuffles, and carries no traffic; some hundreds
// share this process. A hollow host beats. What is measured is what the control processes spend, and when the routers have
// been told.
package hollow

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"portflow/internal/cluster/settings"
)

// Plan is one play. Zones belong to regions in turn, three to each.
type Plan struct {
	Routers          int           `json:"routers"`
	Hosts            int           `json:"hosts"`
	Voters           int           `json:"core"` // control processes, at most one a zone
	Zones            int           `json:"zones"`
	Services         int           `json:"services"`
	Routes           int           `json:"routes"`
	Quotas           int           `json:"shares"` // of callers
	RealRouters      int           `json:"real"`   // routers that are real processes, beside the hollow ones
	FreshConnections bool          `json:"fresh"`  // hosts open a connection for each beat
	IdleTime         time.Duration `json:"calm"`   // nanoseconds that are counted with nothing going on
	Changes          int           `json:"changes"`
	Drains           int           `json:"drains"`  // hosts that drain, one after another
	Burst            int           `json:"burst"`   // changes as fast as they are taken, eight at a time
	KillControl      bool          `json:"kill"`    // a control process
	RestartRouters   bool          `json:"restart"` // half of the routers
	PartitionTime    time.Duration `json:"cut"`     // the last region off, for so long
	Profile          string        `json:"profile"` // a folder for processor profiles of the control processes, empty for none
	Seed             uint64        `json:"seed"`
	Progress         func(string)  `json:"-"`
}

// TargetPlan is the size that decides the design.
func TargetPlan() Plan {
	return Plan{Routers: 510, Hosts: 4200, Voters: 7, Zones: 11, Services: 220, Routes: 3200, IdleTime: 15 * time.Second, Changes: 20, Drains: 10,
		Burst: 100, KillControl: true, RestartRouters: true, PartitionTime: 20 * time.Second, Seed: 1}
}

// The bounds of a play: no more than these fit one machine.
const (
	maxRouters     = 1200
	maxHosts       = 10000
	maxRealRouters = 40
	zonesPerRegion = 3
)

// validate checks the plan against the bounds.
func (p Plan) validate() error {
	for _, b := range []struct {
		value, low, high int
		message          string
	}{
		{p.Routers, 1, maxRouters, fmt.Sprintf("routers: 1 to %d", maxRouters)},
		{p.Hosts, 0, maxHosts, fmt.Sprintf("hosts: 0 to %d", maxHosts)},
		{p.RealRouters, 0, maxRealRouters, fmt.Sprintf("real: 0 to %d", maxRealRouters)},
		{p.Zones, 1, 16, "zones: 1 to 16"},
		{p.Voters, 1, p.Zones, "core: at most one a zone"},
	} {
		if b.value < b.low || b.value > b.high {
			return errors.New(b.message)
		}
	}
	switch {
	case p.Services < 1 || p.Services > 2000 || p.Routes < 0 || p.Routes > 20000 || p.Quotas < 0 || p.Quotas > 50000:
		return errors.New("services, routes, shares: 2,000, 20,000 and 50,000 at most")
	case p.IdleTime+p.PartitionTime > 10*time.Minute || p.Changes > 2000 || p.Burst > 2000 || p.Drains > 1000:
		return errors.New("a play is bounded in time: shorter spans, fewer changes")
	}
	return nil
}

const (
	firstInternalPort, lastInternalPort = 27600, 27615
	controlPort, proxyPort, readyPort   = 27001, 27002, 27003
	heartbeatInterval                   = 1300 * time.Millisecond
)

// address is a machine's: the control process of a zone is number 0.
func address(zone, n int) string { return fmt.Sprintf("127.%d.%d.%d", 100+zone, n/200, n%200+1) }

func zoneName(z int) string   { return fmt.Sprintf("z%02d", z) }
func regionOf(z int) int      { return z / zonesPerRegion }
func regionName(z int) string { return fmt.Sprintf("r%d", regionOf(z)) }

// distance is how far two zones are from each other: 0 one zone, 1 one region, 2 beyond.
func distance(a, b int) int {
	switch {
	case a == b:
		return 0
	case regionOf(a) == regionOf(b):
		return 1
	}
	return 2
}

// controlZones are the zones with a control process: one in each region first, then a second, and so on.
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

// settings is a process's settings. A control process is told of the core's zones only, as it takes the core's size from them.
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
	controlZones := p.controlZones()
	for _, z := range controlZones[:min(3, len(controlZones))] {
		b.SeedNodes = append(b.SeedNodes, net.JoinHostPort(address(z, 0), strconv.Itoa(controlPort)))
	}
	if role == controlRole {
		for _, z := range controlZones {
			b.ZoneRegions[zoneName(z)] = regionName(z)
		}
	} else {
		for z := range p.Zones {
			b.ZoneRegions[zoneName(z)] = regionName(z)
		}
	}
	return b
}
