package endpoint

import (
	"hash/fnv"

	"portflow/internal/cluster/instance"
)

// This file has the bounds that all proxies keep together without a message between them. Each proxy computes its own share from the
// list of ready proxies that control announces. The remainder of a division goes to some of them, by a hash of proxy and host, so
// that other proxies have it at every host, and few shares move when a proxy comes or goes.

// Share is what one proxy may do at one host.
type Share struct {
	Concurrent    int // requests at once
	ColdPerSecond int // requests within any second while the host is cold
}

// ColdBounds is the bound on a cold host, of which proxies have shares.
type ColdBounds struct {
	Overrun, Slack float64 // the bound is PerSecond times Overrun, and Slack
	PerSecond      float64 // requests a second
}

const (
	ownZoneDepth     = 2    // times its slots is what a host's own zone may have at it at once: what waits there is soon done
	sameRegionDepth  = 1    // times its slots for proxies of its region's other zones
	otherRegionDepth = 2    // times its slots for all beyond: home regions may leave them no other hosts
	coldHeadroom     = 0.85 // of the cold bound is shared out: what is sent in one second may arrive in the next
)

// groups are the ready proxies by how far they are from a host.
type groups struct{ zone, region, beyond []Proxy }

// groupsOf are the groups of a host in a zone. Their order is irrelevant: divide goes by hashes.
func groupsOf(zone string, regions map[string]string, list ProxyList) groups {
	g := groups{zone: list[zone]}
	for z, proxies := range list {
		switch {
		case z == zone:
		case regions[z] == regions[zone]:
			g.region = append(g.region, proxies...)
		default:
			g.beyond = append(g.beyond, proxies...)
		}
	}
	return g
}

// nearest is the nearest group that has proxies.
func (g groups) nearest() []Proxy {
	switch {
	case len(g.zone) > 0:
		return g.zone
	case len(g.region) > 0:
		return g.region
	}
	return g.beyond
}

// concurrent is the bound on concurrent requests of a host with so many slots that a proxy shares, and with which group.
func (g groups) concurrent(slots int, ownZone, ownRegion bool) (bound int, group []Proxy) {
	switch {
	case ownZone:
		return ownZoneDepth * slots, g.zone
	case ownRegion && len(g.zone) == 0:
		return (ownZoneDepth + sameRegionDepth) * slots, g.region
	case ownRegion:
		return sameRegionDepth * slots, g.region
	}
	return otherRegionDepth * slots, g.beyond
}

// ShareOf is the share of a proxy at a host. While the host is cold only the nearest group may use it: the proxies of its zone, where
// there are none those of its region, else all.
func ShareOf(h instance.Instance, name string, self Location, regions map[string]string, list ProxyList, cold ColdBounds) Share {
	g := groupsOf(h.Zone, regions, list)
	ownZone := self.Zone == h.Zone
	bound, group := g.concurrent(h.Slots, ownZone, self.Region == regions[h.Zone])
	coldBound := int(coldHeadroom * (cold.PerSecond*cold.Overrun + cold.Slack))
	return Share{
		Concurrent:    divide(bound, h.ID, name, group, !ownZone),
		ColdPerSecond: divide(coldBound, h.ID, name, g.nearest(), true),
	}
}

// divide is one proxy's share of a number n that a group divides, evenly or by weight: the integer part of its quota n*weight/sum, and
// one more for those first in the order of the remainders at this host, as by the largest remainder method. The shares sum up to
// n whatever the weights. A proxy that isn't in the group has none.
func divide(n int, host, name string, group []Proxy, even bool) int {
	weight := func(p Proxy) int {
		if even {
			return 1
		}
		return p.Weight
	}
	total, own := 0, 0
	for _, p := range group {
		total += weight(p)
		if p.Name == name {
			own = weight(p)
		}
	}
	if n <= 0 || own <= 0 {
		return 0
	}
	share, remaining := n*own/total, n
	for _, p := range group {
		remaining -= n * weight(p) / total
	}
	remainder := n * own % total
	if remaining == 0 || remainder == 0 {
		return share
	}
	position, ahead := remainderPosition(host, name, remainder), 0
	for _, p := range group {
		other := n * weight(p) % total
		if other == 0 || p.Name == name {
			continue
		}
		if x := remainderPosition(host, p.Name, other); x < position || x == position && p.Name < name {
			ahead++
		}
	}
	if ahead < remaining {
		share++
	}
	return share
}

// remainderPosition is a proxy's place in the order of remainders at a host: by a hash, and the sooner the greater its remainder.
func remainderPosition(host, name string, remainder int) uint64 {
	return hashPair(host, name) >> 24 / uint64(remainder)
}

// hashMultiplier is the 64-bit golden ratio of multiplicative hashing (Knuth, The Art of Computer Programming, 6.4).
const hashMultiplier = 0x9e3779b97f4a7c15

// hashPair is the FNV-1a hash of host and name, with its bits mixed.
func hashPair(host, name string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(host)) // a hash's Write never fails
	_, _ = f.Write([]byte{0})
	_, _ = f.Write([]byte(name))
	x := f.Sum64()
	x ^= x >> 32
	return x * hashMultiplier
}
