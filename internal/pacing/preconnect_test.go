package pacing

import "testing"

// All routers of a fleet that starts at once open no more connections to any host than it has requests in flight at a busy time, and
// some to every host. Three to each host by each router were 14,400 for 60 hosts, which have some 2,000 requests at once
// with all that wait.
func TestPreconnectCountLargeFleet(t *testing.T) {
	for _, test := range []struct{ routers, hosts, maxPerHost int }{{80, 60, 40}, {300, 150, 40}} {
		opened := make([]int, test.hosts)
		perSecond := 20.0 * float64(test.hosts)
		for rank := range test.routers {
			remaining := PreconnectCount(perSecond, 0.2, test.routers)
			for _, i := range PreconnectOrder(test.hosts, rank) {
				if remaining > 0 {
					opened[i]++
					remaining--
				}
			}
		}
		for i, n := range opened {
			if n == 0 || n > test.maxPerHost {
				t.Errorf("%d routers, %d hosts: %d at host %d", test.routers, test.hosts, n, i)
			}
		}
	}
}

// Few routers open about three connections to each of their hosts.
func TestPreconnectCountSmallFleet(t *testing.T) {
	if n := PreconnectCount(140, 0.22, 3); n < 30 || SubsetStride(10, MinHosts) != 1 {
		t.Error(n, SubsetStride(10, MinHosts))
	}
	if PreconnectCount(0, 1, 3) != 0 {
		t.Error("connections for an unknown rate")
	}
}
