package settings

import (
	"net/netip"
	"strconv"
)

// Settings are the settings that a process reads at startup. Durations are in nanoseconds.
type Settings struct {
	Name, Role, MachineClass, IP, Zone, Region string
	Serves                                     []string
	Counted, FirstStart                        bool
	DataDirectory                              string // empty if the process has no disk
	MemoryMB, Descriptors, DiskMB              int
	ProcessorShare                             float64           // in processor cores
	ListenAddresses                            map[string]string // "ip:port" by listener name; contains every name in Serves
	InternalPorts                              [2]int            // first and last port of the range for traffic within the cluster
	SeedNodes                                  []string          // "ip:port"
	ZoneRegions                                map[string]string // region by zone
	HeartbeatInterval                          int64
	Terms                                      Terms
}

// Terms are the bounds that were agreed for a deployment (terms.bounds in the file). Durations are in nanoseconds.
type Terms struct {
	SeedLag, Reuse, Contact, Acknowledge, CatchUp, DrainLimit, Grace, LossSlack, Configuration, RollbackSlack int64
	OuterStretch, BudgetWindow, Rollback, Evacuation, Recovery, Lifetime                                      int64
	BudgetRatio, BudgetSlack, ExposureShare, ExposureSlack, ColdOverrun, ColdSlack                            float64
}

// Parse parses and validates a settings file. Unknown settings are ignored. The error lists all faults found, up to maxErrors.
func Parse(text string) (Settings, error) {
	tree, err := ParseTree(text)
	if err != nil {
		return Settings{}, err
	}
	reader := NewReader(tree)
	self, network := reader.At("self-description"), reader.At("network")
	settings := Settings{Name: self.At("node-name").Text(), Role: self.At("role").Text(), MachineClass: self.At("machine-class").Text(),
		IP: self.At("ip-address").Text(), Zone: self.At("zone-name").Text(), Region: self.At("region-name").Text(),
		Serves: self.At("serves").Strings(), Counted: self.At("counted").Bool(), FirstStart: self.At("first-start").Bool(),
		ProcessorShare: self.At("limits.processor-share").Float(0.001, 4096), MemoryMB: self.At("limits.memory-mb").Int(8, 1<<24),
		Descriptors: self.At("limits.file-descriptors").Int(64, 1<<30),
		SeedNodes:   network.At("seed-nodes").Strings(), ListenAddresses: map[string]string{}, ZoneRegions: map[string]string{}}
	if _, err := netip.ParseAddr(settings.IP); err != nil && settings.IP != "" {
		self.At("ip-address").Errorf("%q is not an IP address", settings.IP)
	}
	if data := self.At("data-directory"); data.Exists() && data.Value() != "" {
		settings.DataDirectory = data.Text()
		settings.DiskMB = self.At("limits.disk-mb").Int(1, 1<<30)
	}
	for name := range network.At("listen-addresses").Map() {
		address := network.At("listen-addresses." + name)
		if _, err := netip.ParseAddrPort(address.Text()); err != nil {
			address.Errorf("%v", err)
		}
		settings.ListenAddresses[name] = address.Text()
	}
	for _, serves := range settings.Serves {
		if settings.ListenAddresses[serves] == "" {
			network.At("listen-addresses."+serves).Errorf("missing, but serves includes %s", serves)
		}
	}
	for i, seed := range settings.SeedNodes {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			network.At("seed-nodes").Errorf("entry %d: %v", i+1, err)
		}
	}
	ports := network.At("internal-port-range")
	if terms := ports.Strings(); len(terms) != 2 {
		ports.Errorf("must be the first and last port, separated by a comma")
	} else {
		for i := range settings.InternalPorts {
			if settings.InternalPorts[i], err = strconv.Atoi(terms[i]); err != nil || settings.InternalPorts[i] < 1 || settings.InternalPorts[i] > 65535 {
				ports.Errorf("%q is not a port; must be from 1 to 65535", terms[i])
			}
		}
		if settings.InternalPorts[1]-settings.InternalPorts[0] < 3 {
			ports.Errorf("must contain at least four ports")
		}
	}
	for name := range network.At("zones").Map() {
		settings.ZoneRegions[name] = network.At("zones." + name).Text()
	}
	if settings.Zone != "" && settings.ZoneRegions[settings.Zone] != settings.Region {
		network.At("zones").Errorf("zone %q is not in region %q", settings.Zone, settings.Region)
	}
	settings.HeartbeatInterval = reader.At("platform.heartbeat-interval-s").Seconds(0.01, 3600)
	terms := reader.At("terms.bounds")
	seconds := func(name string) int64 { return terms.At(name).Seconds(0, 86400) }
	number := func(name string) float64 { return terms.At(name).Float(0, 1e9) }
	settings.Terms = Terms{SeedLag: seconds("seed-lag-s"), Reuse: seconds("reuse-after-s"), Contact: seconds("contact-s"),
		Acknowledge: seconds("acknowledge-s"), CatchUp: seconds("catch-up-s"), DrainLimit: seconds("drain-limit-s"),
		Grace: seconds("grace-s"), LossSlack: seconds("loss-slack-s"), Configuration: seconds("configuration-s"),
		RollbackSlack: seconds("rollback-slack-s"), OuterStretch: seconds("outer-stretch-s"),
		BudgetWindow: seconds("budget-window-s"), Rollback: seconds("rollback-s"), Evacuation: seconds("evacuation-s"),
		Recovery: seconds("recovery-s"), Lifetime: seconds("ttl_max_s"),
		BudgetRatio: number("retry-budget-ratio"), BudgetSlack: number("budget-slack"),
		ExposureShare: number("exposure-share"), ExposureSlack: number("exposure-slack"),
		ColdOverrun: number("cold-overrun"), ColdSlack: number("cold-slack")}
	if err := reader.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}
