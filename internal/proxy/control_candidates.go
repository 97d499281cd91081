package proxy

import (
	"cmp"
	"net"
	"slices"

	"portflow/internal/cluster/gossip"
)

// controlZones returns the zones of the known control processes by IP. A zone that isn't known yet is empty.
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

// controlDistances returns a function that reports the distance of a control process: 0 in this proxy's zone, 1 in another zone of its
// region, 2 in another region or an unknown zone.
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

// controlCandidates returns the IPs of the known control processes, nearest first. Those at the same distance are ordered by a hash with
// the seed of this proxy, so that not all proxies subscribe to the same one.
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

// hashWithSeed returns the 64-bit FNV-1a hash of text with seed as the offset basis and the high bits mixed into the low ones.
func hashWithSeed(text string, seed uint64) uint64 {
	for _, c := range []byte(text) {
		seed = (seed ^ uint64(c)) * fnvPrime
	}
	return seed ^ seed>>29
}
