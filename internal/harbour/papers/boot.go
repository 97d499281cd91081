package papers

import (
	"net/netip"
	"strconv"
)

// Boot is what a process is told at its start. Times are nanoseconds.
type Boot struct {
	Name, Role, Class, IP, Zone, Region string
	Serves                              []string
	Counted, FirstStart                 bool
	Data                                string // its folder, empty where it has no disk
	MemoryMB, Descriptors, DiskMB       int
	Share                               float64 // of a core
	Listen                              map[string]string
	Ports                               [2]int // internal ones, the first and the last
	Seeds                               []string
	Zones                               map[string]string // zone: region
	Heartbeat                           int64
	Bounds                              Bounds
}

// Bounds are the terms of a deployment. Times are nanoseconds.
type Bounds struct {
	SeedLag, Reuse, Contact, Acknowledge, CatchUp, DrainLimit, Grace, LossSlack, Configuration, RollbackSlack int64
	OuterStretch, BudgetWindow, Rollback, Evacuation, Recovery, Lifetime                                      int64
	BudgetRatio, BudgetSlack, ExposureShare, ExposureSlack, ColdOverrun, ColdSlack                            float64
}

// ReadBoot reads a settings file. Fields that it doesn't know are passed over.
func ReadBoot(text string) (Boot, error) {
	tree, err := Parse(text)
	if err != nil {
		return Boot{}, err
	}
	r := Read(tree)
	self, network := r.At("self-description"), r.At("network")
	b := Boot{Name: self.At("node-name").Text(), Role: self.At("role").Text(), Class: self.At("machine-class").Text(),
		IP: self.At("ip-address").Text(), Zone: self.At("zone-name").Text(), Region: self.At("region-name").Text(),
		Serves: self.At("serves").Texts(), Counted: self.At("counted").Truth(), FirstStart: self.At("first-start").Truth(),
		Share: self.At("limits.processor-share").Number(0.001, 4096), MemoryMB: self.At("limits.memory-mb").Whole(8, 1<<24),
		Descriptors: self.At("limits.file-descriptors").Whole(64, 1<<30),
		Seeds:       network.At("seed-nodes").Texts(), Listen: map[string]string{}, Zones: map[string]string{}}
	if _, err := netip.ParseAddr(b.IP); err != nil && b.IP != "" {
		self.At("ip-address").Fail("%q is no IP number", b.IP)
	}
	if data := self.At("data-directory"); data.There() && data.Value() != "" {
		b.Data = data.Text()
		b.DiskMB = self.At("limits.disk-mb").Whole(1, 1<<30)
	}
	for name := range network.At("listen-addresses").Table() {
		at := network.At("listen-addresses." + name)
		if _, err := netip.ParseAddrPort(at.Text()); err != nil {
			at.Fail("%v", err)
		}
		b.Listen[name] = at.Text()
	}
	for _, serves := range b.Serves {
		if b.Listen[serves] == "" {
			network.At("listen-addresses."+serves).Fail("missing, though %s is served", serves)
		}
	}
	for i, seed := range b.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			network.At("seed-nodes").Fail("entry %d: %v", i+1, err)
		}
	}
	ports := network.At("internal-port-range")
	if t := ports.Texts(); len(t) != 2 {
		ports.Fail("two ports are wanted, joined by a comma")
	} else {
		for i := range b.Ports {
			if b.Ports[i], err = strconv.Atoi(t[i]); err != nil || b.Ports[i] < 1 || b.Ports[i] > 65535 {
				ports.Fail("%q is no port", t[i])
			}
		}
		if b.Ports[1]-b.Ports[0] < 3 {
			ports.Fail("four ports at least are wanted")
		}
	}
	for name := range network.At("zones").Table() {
		b.Zones[name] = network.At("zones." + name).Text()
	}
	if b.Zone != "" && b.Zones[b.Zone] != b.Region {
		network.At("zones").Fail("zone %q is not in region %q", b.Zone, b.Region)
	}
	b.Heartbeat = r.At("platform.heartbeat-interval-s").Seconds(0.01, 3600)
	t := r.At("terms.bounds")
	seconds := func(name string) int64 { return t.At(name).Seconds(0, 86400) }
	number := func(name string) float64 { return t.At(name).Number(0, 1e9) }
	b.Bounds = Bounds{SeedLag: seconds("seed-lag-s"), Reuse: seconds("reuse-after-s"), Contact: seconds("contact-s"),
		Acknowledge: seconds("acknowledge-s"), CatchUp: seconds("catch-up-s"), DrainLimit: seconds("drain-limit-s"),
		Grace: seconds("grace-s"), LossSlack: seconds("loss-slack-s"), Configuration: seconds("configuration-s"),
		RollbackSlack: seconds("rollback-slack-s"), OuterStretch: seconds("outer-stretch-s"),
		BudgetWindow: seconds("budget-window-s"), Rollback: seconds("rollback-s"), Evacuation: seconds("evacuation-s"),
		Recovery: seconds("recovery-s"), Lifetime: seconds("ttl_max_s"),
		BudgetRatio: number("retry-budget-ratio"), BudgetSlack: number("budget-slack"),
		ExposureShare: number("exposure-share"), ExposureSlack: number("exposure-slack"),
		ColdOverrun: number("cold-overrun"), ColdSlack: number("cold-slack")}
	if err := r.Err(); err != nil {
		return Boot{}, err
	}
	return b, nil
}
