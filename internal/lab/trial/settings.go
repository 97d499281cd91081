package trial

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// listenPorts are the listening ports by their names in the settings.
var listenPorts = map[string]int{"front": frontPort, "readiness": readinessPort, "control": controlPort, "directory": directoryPort}

// bounds are the values of terms.bounds in the settings, by name.
var bounds = map[string]float64{
	"acknowledge-s":      6,
	"budget-slack":       64,
	"budget-window-s":    10,
	"catch-up-s":         4,
	"cold-overrun":       1.5,
	"cold-slack":         5,
	"configuration-s":    terms.Configuration.Seconds(),
	"contact-s":          terms.Contact.Seconds(),
	"drain-limit-s":      terms.Drain.Seconds(),
	"evacuation-s":       5,
	"exposure-share":     0.1,
	"exposure-slack":     50,
	"grace-s":            terms.Grace.Seconds(),
	"loss-slack-s":       terms.LossSlack.Seconds(),
	"outer-stretch-s":    10,
	"recovery-s":         15,
	"retry-budget-ratio": 0.2,
	"reuse-after-s":      2,
	"rollback-s":         5,
	"rollback-slack-s":   0.25,
	"seed-lag-s":         3,
	"ttl_max_s":          5,
}

// settingsFile builds the text of a settings file.
type settingsFile struct{ strings.Builder }

func (f *settingsFile) set(name string, value any) { fmt.Fprintf(f, "%s=%v\n", name, value) }

// settings returns the text of the settings file for the next incarnation.
func (p *process) settings() string {
	var f settingsFile
	p.describe(&f)
	f.set("self-description.limits.processor-share", 1)
	f.set("self-description.limits.memory-mb", 256)
	f.set("self-description.limits.file-descriptors", 2048)
	for _, name := range slices.Sorted(maps.Keys(listenPorts)) {
		f.set("network.listen-addresses."+name, addressOf(p.ip, listenPorts[name]))
	}
	f.set("network.internal-port-range", "7660,7675")
	f.set("network.seed-nodes", strings.Join(p.rig.layout.controlAddresses(), ","))
	for z := range zones {
		f.set("network.zones."+zoneName(z), regionName(z))
	}
	f.set("platform.heartbeat-interval-s", heartbeatInterval.Seconds())
	for _, name := range slices.Sorted(maps.Keys(bounds)) {
		f.set("terms.bounds."+name, bounds[name])
	}
	return f.String()
}

// describe sets the self-description. Only control processes have a data directory.
func (p *process) describe(f *settingsFile) {
	f.set("self-description.node-name", p.name)
	f.set("self-description.role", p.role)
	f.set("self-description.machine-class", "front")
	f.set("self-description.serves", p.duties)
	f.set("self-description.ip-address", p.ip)
	f.set("self-description.zone-name", zoneName(p.zone))
	f.set("self-description.region-name", regionName(p.zone))
	f.set("self-description.counted", true)
	f.set("self-description.first-start", p.starts == 0)
	if p.role == "control" {
		f.set("self-description.data-directory", p.dataPath())
		f.set("self-description.limits.disk-mb", 256)
	}
}
