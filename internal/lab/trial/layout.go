package trial

import (
	"fmt"
	"slices"
	"time"
)

// Number and ports of the processes, and timing of the hosts. Each process has a loopback address of its own.
const (
	zones          = 3
	proxiesPerZone = 3

	controlPort   = 8146
	frontPort     = 8144
	readinessPort = 8140
	directoryPort = 8143

	heartbeatInterval = 500 * time.Millisecond
	drainLimit        = 3 * time.Second
)

// terms are configured in the processes and applied by Judge.
var terms = Terms{
	Grace:         6 * time.Second,
	LossSlack:     200 * time.Millisecond,
	Idle:          minIdleTimeout,
	Configuration: 3 * time.Second,
}

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone+1) }

func regionName(zone int) string { return fmt.Sprintf("r%d", zone+1) }

func controlIP(zone int) string { return fmt.Sprintf("127.20.%d.1", zone+1) }

func proxyIP(proxy int) string {
	return fmt.Sprintf("127.20.%d.%d", proxy%zones+1, 10+proxy/zones)
}

func hostIP(zone, host int) string { return fmt.Sprintf("127.20.%d.%d", zone+1, 20+host) }

func addressOf(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func controlAddresses() (all []string) {
	for z := range zones {
		all = append(all, addressOf(controlIP(z), controlPort))
	}
	return all
}

// controlAddressesFrom returns the addresses of all control processes, rotated so that the one with index first comes first.
func controlAddressesFrom(first int) []string {
	all := controlAddresses()
	first %= len(all)
	return slices.Concat(all[first:], all[:first])
}
