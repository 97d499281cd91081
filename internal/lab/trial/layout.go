package trial

import (
	"fmt"
	"slices"
	"time"
)

// Ports of the processes, and timing of the hosts. Each process has a loopback address of its own.
const (
	zones = 3

	controlPort   = 8146
	frontPort     = 8144
	readinessPort = 8140
	directoryPort = 8143

	heartbeatInterval = 1300 * time.Millisecond
)

// terms are configured in the processes and applied by Judge.
var terms = Terms{
	Grace:         6 * time.Second,
	LossSlack:     200 * time.Millisecond,
	Idle:          minIdleTimeout,
	Configuration: 3 * time.Second,
	Drain:         3 * time.Second,
	Contact:       5 * time.Second,
}

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone+1) }

func regionName(zone int) string { return fmt.Sprintf("r%d", zone+1) }

// Blocks of loopback addresses. Trials that run at the same time use different blocks.
const (
	MaxBlock       = 20  // highest value of Options.Block
	firstOctet     = 20  // second octet of the addresses of block 0
	octetsPerBlock = 10  // second octets that a block has, of which one is used by each zone
	proxiesPerNet  = 200 // proxies of a zone with the same third octet

	controlNet    = 1 // third octet of the addresses of control processes
	hostNet       = 2
	firstProxyNet = 10
)

// layout assigns an IP address to each process of a trial.
type layout struct {
	block          int
	proxiesPerZone int
}

func (l layout) address(zone, net, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstOctet+l.block*octetsPerBlock+zone, net, host+1)
}

func (l layout) controlIP(zone int) string { return l.address(zone, controlNet, 0) }

func (l layout) hostIP(zone, host int) string { return l.address(zone, hostNet, host) }

func (l layout) proxies() int { return zones * l.proxiesPerZone }

func (l layout) proxyIP(proxy int) string {
	n := proxy / zones
	return l.address(proxy%zones, firstProxyNet+n/proxiesPerNet, n%proxiesPerNet)
}

func addressOf(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (l layout) controlAddresses() (all []string) {
	for z := range zones {
		all = append(all, addressOf(l.controlIP(z), controlPort))
	}
	return all
}

// controlAddressesFrom returns the addresses of all control processes, rotated so that the one with index first comes first.
func (l layout) controlAddressesFrom(first int) []string {
	all := l.controlAddresses()
	first %= len(all)
	return slices.Concat(all[first:], all[:first])
}
