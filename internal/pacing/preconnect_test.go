package pacing

import "testing"

// Guards against a flood of connections when all routers of a fleet start at once: each host must get at least one connection, and not
// many more than it has requests in flight under peak load.
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
				t.Errorf("%d routers, %d hosts: %d connections to host %d", test.routers, test.hosts, n, i)
			}
		}
	}
}

// A router of a small fleet opens about three connections to each host.
func TestPreconnectCountSmallFleet(t *testing.T) {
	if n := PreconnectCount(140, 0.22, 3); n < 30 || SubsetStride(10, MinHosts) != 1 {
		t.Error(n, SubsetStride(10, MinHosts))
	}
	if PreconnectCount(0, 1, 3) != 0 {
		t.Error("connections are opened although the request rate is unknown")
	}
}
