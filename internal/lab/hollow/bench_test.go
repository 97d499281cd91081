package hollow

import (
	"encoding/json"
	"fmt"
	"testing"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/update"
	"portflow/internal/proxy/endpoint"
)

// sizes are the cluster sizes of docs/CAPACITY.md: numbers of routers and hosts.
var sizes = [][2]int{{13, 107}, {92, 757}, {300, 2470}, {510, 4200}, {1000, 8235}}

// Measures the encoding of a full snapshot for a router that can't resume from changes, without compression.
func BenchmarkSnapshot(b *testing.B) {
	for _, x := range sizes {
		s := newTestRegistry(x[0], x[1], 3200)
		b.Run(fmt.Sprintf("%d-%d", x[0], x[1]), func(b *testing.B) {
			size := 0
			for b.Loop() {
				raw, err := json.Marshal(update.Message{Batch: &update.Batch{Incarnation: "l", To: 1, Snapshot: true, Changes: s.Snapshot(1, false)}})
				if err != nil {
					b.Fatal(err)
				}
				size = len(raw)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// Measures building a routing table from scratch. Routers rebuild theirs after each configuration change, and reuse unchanged quotas.
func BenchmarkRoutingTable(b *testing.B) {
	for _, x := range [][2]int{{3200, 0}, {3200, 33000}} {
		s := config.NewSet()
		for n := range 220 {
			s.Merge(config.Item{Kind: config.KindServices, Name: fmt.Sprint("service-", n), Version: 1,
				Body: fmt.Appendf(nil, `{"cold-per-s":20,"cold-start-s":3,"connection-limit":140,"health-path":"/health","name":"service-%d"}`, n)})
		}
		for n := range x[0] {
			s.Merge(config.Item{Kind: config.KindRoutes, Name: fmt.Sprint("route-", n), Version: 1,
				Body: fmt.Appendf(nil, `{"host-name":"desk-%d.example","name":"route-%d","path-prefix":"/r%d","priority-level":1,"service":"service-%d","timeout-s":2}`, n%40, n, n, n%220)})
		}
		for n := range x[1] {
			s.Merge(config.Item{Kind: config.KindQuotas, Name: fmt.Sprint("share-", n), Version: 1,
				Body: fmt.Appendf(nil, `{"burst":10,"caller":"tenant-%d","caller-header":"X-Tenant","name":"share-%d","per-s":1,"service":"service-%d"}`, n, n, n%220)})
		}
		b.Run(fmt.Sprintf("%d-routes-%d-shares", x[0], x[1]), func(b *testing.B) {
			for b.Loop() {
				config.NewRoutingTable(s)
			}
			raw, _ := s.EncodeChange()
			b.ReportMetric(float64(len(raw)), "read-bytes")
		})
	}
}

// Measures the computation of a router's share of a host, which a router repeats for each of its hosts after each change of the
// router list.
func BenchmarkRouterShare(b *testing.B) {
	for _, x := range sizes {
		roster, regions := endpoint.ProxyList{}, map[string]string{}
		for z := range 11 {
			regions[zoneName(z)] = regionName(z)
		}
		for n := range x[0] {
			z := zoneName(n % 11)
			roster[z] = append(roster[z], endpoint.Proxy{Name: fmt.Sprintf("router-%04d", n), Weight: 1})
		}
		for _, of := range []struct {
			name string
			zone int
		}{{"own-zone", 0}, {"beyond", 5}} {
			h := instance.Instance{ID: "host-00001", Zone: zoneName(of.zone), Slots: 6}
			b.Run(fmt.Sprintf("%d-routers-%s", x[0], of.name), func(b *testing.B) {
				for b.Loop() {
					endpoint.ShareOf(h, "router-0000", endpoint.Location{Zone: zoneName(0), Region: regionName(0)}, regions, roster, endpoint.ColdBounds{Overrun: 1.5, Slack: 5, PerSecond: 20})
				}
			})
		}
	}
}
