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
	Routers  int           `json:"routers"`
	Hosts    int           `json:"hosts"`
	Core     int           `json:"core"` // control processes, at most one a zone
	Zones    int           `json:"zones"`
	Services int           `json:"services"`
	Routes   int           `json:"routes"`
	Shares   int           `json:"shares"` // of callers
	Real     int           `json:"real"`   // routers that are real processes, beside the hollow ones
	Fresh    bool          `json:"fresh"`  // hosts open a connection for each beat
	Calm     time.Duration `json:"calm"`   // nanoseconds that are counted with nothing going on
	Changes  int           `json:"changes"`
	Drains   int           `json:"drains"`  // hosts that drain, one after another
	Burst    int           `json:"burst"`   // changes as fast as they are taken, eight at a time
	Kill     bool          `json:"kill"`    // a control process
	Restart  bool          `json:"restart"` // half of the routers
	Cut      time.Duration `json:"cut"`     // the last region off, for so long
	Profile  string        `json:"profile"` // a folder for processor profiles of the control processes, empty for none
	Seed     uint64        `json:"seed"`
	Progress func(string)  `json:"-"`
}

// Target is the size that decides the design.
func Target() Plan {
	return Plan{Routers: 510, Hosts: 4200, Core: 7, Zones: 11, Services: 220, Routes: 3200, Calm: 15 * time.Second, Changes: 20, Drains: 10,
		Burst: 100, Kill: true, Restart: true, Cut: 20 * time.Second, Seed: 1}
}

// The bounds of a play: no more than these fit one machine.
const (
	mostRouters = 1200
	mostHosts   = 10000
	mostReal    = 40
	perRegion   = 3
)

func (p Plan) check() error {
	switch {
	case p.Routers < 1 || p.Routers > mostRouters:
		return fmt.Errorf("routers: 1 to %d", mostRouters)
	case p.Hosts < 0 || p.Hosts > mostHosts:
		return fmt.Errorf("hosts: 0 to %d", mostHosts)
	case p.Real < 0 || p.Real > mostReal:
		return fmt.Errorf("real: 0 to %d", mostReal)
	case p.Zones < 1 || p.Zones > 16:
		return errors.New("zones: 1 to 16")
	case p.Core < 1 || p.Core > p.Zones:
		return errors.New("core: at most one a zone")
	case p.Services < 1 || p.Services > 2000 || p.Routes < 0 || p.Routes > 20000 || p.Shares < 0 || p.Shares > 50000:
		return errors.New("services, routes, shares: 2,000, 20,000 and 50,000 at most")
	case p.Calm+p.Cut > 10*time.Minute || p.Changes > 2000 || p.Burst > 2000 || p.Drains > 1000:
		return errors.New("a play is bounded in time: shorter spans, fewer changes")
	}
	return nil
}

const (
	firstPort, lastPort               = 27600, 27615
	controlPort, frontPort, readyPort = 27001, 27002, 27003
	beat                              = 1300 * time.Millisecond
)

// address is a machine's: the control process of a zone is number 0.
func address(zone, n int) string { return fmt.Sprintf("127.%d.%d.%d", 100+zone, n/200, n%200+1) }

func zoneName(z int) string   { return fmt.Sprintf("z%02d", z) }
func regionOf(z int) int      { return z / perRegion }
func regionName(z int) string { return fmt.Sprintf("r%d", regionOf(z)) }

// ring is how far two zones are from each other: 0 one zone, 1 one region, 2 beyond.
func ring(a, b int) int {
	switch {
	case a == b:
		return 0
	case regionOf(a) == regionOf(b):
		return 1
	}
	return 2
}

// homes are the zones with a control process: one in each region first, then a second, and so on.
func (p Plan) homes() (zones []int) {
	for turn := 0; turn < perRegion; turn++ {
		for z := turn; z < p.Zones; z += perRegion {
			if len(zones) < p.Core {
				zones = append(zones, z)
			}
		}
	}
	return zones
}

// boot is a process's settings. A control process is told of the core's zones only, as it takes the core's size from them.
func (p Plan) boot(name, role string, zone, n int) settings.Settings {
	ip := address(zone, n)
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	b := settings.Settings{Name: name, Role: role, MachineClass: role, IP: ip, Zone: zoneName(zone), Region: regionName(zone), FirstStart: true, MemoryMB: 1024,
		Descriptors: 4000, DiskMB: 64, ProcessorShare: 1, Serves: []string{"front", "control", "directory"}, InternalPorts: [2]int{firstPort, lastPort},
		ListenAddresses: map[string]string{"front": at(frontPort), "readiness": at(readyPort), "control": at(controlPort), "directory": at(controlPort + 3)},
		ZoneRegions:     map[string]string{}, HeartbeatInterval: int64(beat),
		Terms: settings.Terms{SeedLag: 3e9, Reuse: 2e9, Contact: 5e9, Acknowledge: 6e9, CatchUp: 4e9, DrainLimit: 3e9, Grace: 6e9,
			LossSlack: 200e6, Configuration: 3e9, RollbackSlack: 250e6, OuterStretch: 10e9, BudgetWindow: 10e9, Rollback: 5e9,
			Evacuation: 5e9, Recovery: 15e9, Lifetime: 5e9, BudgetRatio: 0.2, BudgetSlack: 64, ExposureShare: 0.1, ExposureSlack: 50,
			ColdOverrun: 1.5, ColdSlack: 5}}
	homes := p.homes()
	for _, z := range homes[:min(3, len(homes))] {
		b.SeedNodes = append(b.SeedNodes, net.JoinHostPort(address(z, 0), strconv.Itoa(controlPort)))
	}
	if role == control {
		for _, z := range homes {
			b.ZoneRegions[zoneName(z)] = regionName(z)
		}
	} else {
		for z := range p.Zones {
			b.ZoneRegions[zoneName(z)] = regionName(z)
		}
	}
	return b
}
