package pacing

import "testing"

// All routers of a fleet that starts at once open no more at any host than it has commands in work at a busy time, and
// every host gets some. Three to each host by each router was 14,400 for 60 hosts, which take some 2,000 commands at
// once with all that wait.
func TestPreconnectCountOfAFleet(t *testing.T) {
	for _, x := range []struct{ routers, hosts, most int }{{80, 60, 40}, {300, 150, 40}} {
		at := make([]int, x.hosts)
		perSecond := 20.0 * float64(x.hosts)
		for rank := range x.routers {
			left := PreconnectCount(perSecond, 0.2, x.routers)
			for _, i := range PreconnectOrder(x.hosts, rank) {
				if left > 0 {
					at[i]++
					left--
				}
			}
		}
		for i, n := range at {
			if n == 0 || n > x.most {
				t.Errorf("%d routers, %d hosts: %d at host %d", x.routers, x.hosts, n, i)
			}
		}
	}
}

// Few routers need about three at each of their hosts, as before.
func TestPreconnectCountOfFew(t *testing.T) {
	if n := PreconnectCount(140, 0.22, 3); n < 30 || SubsetStride(10, MinHosts) != 1 {
		t.Error(n, SubsetStride(10, MinHosts))
	}
	if PreconnectCount(0, 1, 3) != 0 {
		t.Error("a rate that isn't known")
	}
}
