package endpoint

import (
	"hash/fnv"

	"portflow/internal/cluster/instance"
)

// This file has the bounds that all routers share without a call between them. Each router works out its own part from the
// routers that are ready, by name and zone, as control tells them; what doesn't divide goes to some of them, by a hash of
// router and host, so that at every host others have it, and few parts move when a router comes or goes.

// Share is what one router may do at one host.
type Share struct {
	Concurrent    int // requests at once
	ColdPerSecond int // requests within any second while it is cold
}

// ColdBounds are what the parts are of.
type ColdBounds struct {
	Overrun, Slack float64 // of the bound on cold hosts
	PerSecond      float64
}

const (
	ownZoneDepth     = 2    // times its slots is what a host's own zone may have at it at once: what waits at it is soon done
	sameRegionDepth  = 1    // times its slots for routers of its region's other zones
	otherRegionDepth = 2    // times its slots for all beyond: homes may leave them no other hosts
	coldHeadroom     = 0.85 // of the cold bound is dealt out: what is sent in one second may arrive in the next
)

// ShareOf is the part of a router at a host. While it is cold its keepers alone may use it: the routers of its zone, or where
// there are none those of its region, or else all.
func ShareOf(h instance.Instance, name string, self Location, regions map[string]string, all ProxyList, t ColdBounds) (p Share) {
	var region, beyond []Proxy
	for z, names := range all {
		switch {
		case z == h.Zone:
		case regions[z] == regions[h.Zone]:
			region = append(region, names...)
		default:
			beyond = append(beyond, names...)
		}
	}
	home := all[h.Zone]
	bound, group := otherRegionDepth*h.Slots, beyond
	switch {
	case self.Zone == h.Zone:
		bound, group = ownZoneDepth*h.Slots, home
	case self.Region == regions[h.Zone] && len(home) == 0:
		bound, group = (ownZoneDepth+sameRegionDepth)*h.Slots, region
	case self.Region == regions[h.Zone]:
		bound, group = sameRegionDepth*h.Slots, region
	}
	p.Concurrent = divide(bound, h.ID, name, group, self.Zone != h.Zone)
	keepers := home
	if len(keepers) == 0 {
		keepers = region
	}
	if len(keepers) == 0 {
		keepers = beyond
	}
	p.ColdPerSecond = divide(int(coldHeadroom*(t.PerSecond*t.Overrun+t.Slack)), h.ID, name, keepers, true)
	return p
}

// divide is one's part of a number that is dealt out to a group, evenly or by weight: the whole parts of what each would have,
// and one more for those whose turn it is at this host: by a hash, and the sooner the more they lack. It sums up to the
// number whatever the weights. Who isn't of the group has none.
func divide(n int, host, name string, group []Proxy, even bool) int {
	weight := func(r Proxy) int {
		if even {
			return 1
		}
		return r.Weight
	}
	sum, own := 0, 0
	for _, r := range group {
		sum += weight(r)
		if r.Name == name {
			own = weight(r)
		}
	}
	if n <= 0 || own <= 0 {
		return 0
	}
	part, rest := n*own/sum, n
	for _, r := range group {
		rest -= n * weight(r) / sum
	}
	if rest == 0 || n*own%sum == 0 {
		return part
	}
	mine, before := remainderOrder(host, name, n*own%sum), 0
	for _, r := range group {
		if lacks := n * weight(r) % sum; lacks > 0 && r.Name != name {
			if x := remainderOrder(host, r.Name, lacks); x < mine || x == mine && r.Name < name {
				before++
			}
		}
	}
	if before < rest {
		part++
	}
	return part
}

// remainderOrder orders those who lack a part of one.
func remainderOrder(host, name string, lacks int) uint64 {
	return hashPair(host, name) >> 24 / uint64(lacks)
}

func hashPair(host, name string) uint64 {
	f := fnv.New64a()
	f.Write([]byte(host))
	f.Write([]byte{0})
	f.Write([]byte(name))
	x := f.Sum64()
	x ^= x >> 32
	return x * 0x9e3779b97f4a7c15
}
