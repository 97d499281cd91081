package endpoint

import (
	"hash/fnv"

	"portflow/internal/cluster/instance"
)

// This file divides the bounds of each host among the proxies without any messages between them. Each proxy computes its own share from
// the list of ready proxies that control announces. The remainder of a division is assigned by a hash of proxy and host, so that
// different proxies get it at different hosts and few shares change when a proxy is added or removed.

// Share is one proxy's portion of the bounds of one host.
type Share struct {
	Concurrent    int // maximum number of concurrent requests
	ColdPerSecond int // maximum number of requests in any second while the host is cold
}

// ColdBounds defines the bound on requests per second to a cold host, over all proxies: PerSecond*Overrun + Slack.
type ColdBounds struct {
	Overrun, Slack float64
	PerSecond      float64
}

const (
	ownZoneDepth     = 2    // concurrent requests per slot of a host for the proxies of its zone; the excess queues briefly
	sameRegionDepth  = 1    // concurrent requests per slot for the proxies of other zones of its region
	otherRegionDepth = 2    // concurrent requests per slot for the proxies of other regions, which may have no other hosts to use
	coldHeadroom     = 0.85 // fraction of the cold bound that is divided: a request may arrive in the second after it was sent
)

// groups has the ready proxies by their distance from a host: in its zone, in other zones of its region, and in other regions.
type groups struct{ zone, region, beyond []Proxy }

// groupsOf returns the groups for a host in the given zone. The order within a group is unspecified, and divide doesn't depend on it.
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

// nearest returns the nearest group that has proxies.
func (g groups) nearest() []Proxy {
	switch {
	case len(g.zone) > 0:
		return g.zone
	case len(g.region) > 0:
		return g.region
	}
	return g.beyond
}

// concurrent returns the bound on concurrent requests to a host with this many slots, and the group of proxies that share it. Both
// depend on whether the proxy is in the host's zone or region. If the host's zone has no proxies, the rest of its region also gets
// the zone's bound.
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

// ShareOf returns the named proxy's share of a host; self is the proxy's location, and regions maps zones to regions. While the host is
// cold only the nearest group that has proxies may use it: those of its zone, else those of its region, else all others.
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

// divide returns one proxy's share of n, which a group divides evenly or by weight: the integer part of n*weight/total, plus one for
// those proxies with a remainder that come first by remainderPosition, similar to the largest remainder method. The shares add up to n
// for any weights. A proxy that isn't in the group gets 0.
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

// remainderPosition returns a proxy's position in the order in which remainders are assigned at a host, lowest first. It is a hash divided
// by the remainder, so that proxies with greater remainders tend to come first.
func remainderPosition(host, name string, remainder int) uint64 {
	return hashPair(host, name) >> 24 / uint64(remainder)
}

// hashMultiplier is 2^64 divided by the golden ratio, for multiplicative hashing (Knuth, The Art of Computer Programming, 6.4).
const hashMultiplier = 0x9e3779b97f4a7c15

// hashPair returns the 64-bit FNV-1a hash of host and name, with its bits mixed by a shift and a multiplication.
func hashPair(host, name string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(host)) // Write of a hash.Hash never returns an error
	_, _ = f.Write([]byte{0})
	_, _ = f.Write([]byte(name))
	x := f.Sum64()
	x ^= x >> 32
	return x * hashMultiplier
}
