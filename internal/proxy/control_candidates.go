package proxy

import (
	"cmp"
	"net"
	"slices"

	"portflow/internal/cluster/gossip"
)

// controlZones are the control processes, by IP number, with their zones as far as they are known.
func (p *Proxy) controlZones() map[string]string {
	p.mu.Lock()
	known := p.endpoints.Set.Members()
	p.mu.Unlock()
	for _, m := range p.gossiper.Members() {
		if _, there := known[m.IP]; m.Kind == gossip.Control && (!there || m.Zone != "") {
			known[m.IP] = m.Zone
		}
	}
	for _, s := range p.Settings.SeedNodes {
		if host, _, err := net.SplitHostPort(s); err == nil {
			if _, there := known[host]; !there {
				known[host] = ""
			}
		}
	}
	return known
}

// distances tells how far control processes are: 0 this zone, 1 this region, 2 beyond.
func (p *Proxy) distances() func(ip string) int {
	known := p.controlZones()
	return func(ip string) int {
		switch zone := known[ip]; {
		case zone == p.Settings.Zone:
			return 0
		case p.Settings.ZoneRegions[zone] == p.Settings.Region:
			return 1
		}
		return 2
	}
}

// candidates are the control processes that are known, the nearest first; among equals this router's own order, so that
// many do not all hang on the same one.
func (p *Proxy) candidates() (all []string) {
	far := p.distances()
	for ip := range p.controlZones() {
		all = append(all, ip)
	}
	slices.SortFunc(all, func(a, b string) int {
		if d := far(a) - far(b); d != 0 {
			return d
		}
		return cmp.Compare(hashWithSeed(a, p.Seed), hashWithSeed(b, p.Seed))
	})
	return all
}

func hashWithSeed(text string, seed uint64) uint64 {
	for _, c := range []byte(text) {
		seed = (seed ^ uint64(c)) * 0x100000001b3
	}
	return seed ^ seed>>29
}
