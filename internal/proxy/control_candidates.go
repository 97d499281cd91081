package proxy

import (
	"cmp"
	"net"
	"slices"

	"portflow/internal/cluster/gossip"
)

// controlZones are the zones of the control processes by IP, empty where the zone is not known yet.
func (p *Proxy) controlZones() map[string]string {
	p.mu.Lock()
	zones := p.endpoints.Set.Members()
	p.mu.Unlock()
	for _, m := range p.gossiper.Members() {
		if _, known := zones[m.IP]; m.Kind == gossip.Control && (!known || m.Zone != "") {
			zones[m.IP] = m.Zone
		}
	}
	for _, node := range p.Settings.SeedNodes {
		if host, _, err := net.SplitHostPort(node); err == nil {
			if _, known := zones[host]; !known {
				zones[host] = ""
			}
		}
	}
	return zones
}

// controlDistances returns how far a control process is: 0 in this zone, 1 in this region, 2 beyond.
func (p *Proxy) controlDistances() func(ip string) int {
	zones := p.controlZones()
	return func(ip string) int {
		switch zone := zones[ip]; {
		case zone == p.Settings.Zone:
			return 0
		case p.Settings.ZoneRegions[zone] == p.Settings.Region:
			return 1
		}
		return 2
	}
}

// controlCandidates are the known control processes, the nearest first; among equals in an order of this proxy's own, so that many
// proxies do not all subscribe to the same one.
func (p *Proxy) controlCandidates() (ips []string) {
	distance := p.controlDistances()
	for ip := range p.controlZones() {
		ips = append(ips, ip)
	}
	slices.SortFunc(ips, func(a, b string) int {
		if d := distance(a) - distance(b); d != 0 {
			return d
		}
		return cmp.Compare(hashWithSeed(a, p.Seed), hashWithSeed(b, p.Seed))
	})
	return ips
}

// fnvPrime is the prime of the 64-bit FNV hash.
const fnvPrime = 0x100000001b3

// hashWithSeed is the 64-bit FNV-1a hash of a text that begins at a seed, with its high bits mixed into the low ones.
func hashWithSeed(text string, seed uint64) uint64 {
	for _, c := range []byte(text) {
		seed = (seed ^ uint64(c)) * fnvPrime
	}
	return seed ^ seed>>29
}
