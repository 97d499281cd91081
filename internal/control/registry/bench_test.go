package registry

import (
	"fmt"
	"testing"

	"portflow/internal/cluster/instance"
)

// BenchmarkHeartbeat measures a heartbeat that changes nothing but the sequence number, at a control process that knows 4,200 hosts, by the
// number of recorded departures.
func BenchmarkHeartbeat(b *testing.B) {
	const hosts = 4200
	for _, departures := range []int{0, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(departures), func(b *testing.B) {
			s := newState(3, true)
			for n := range departures {
				s.recordDeparture(fmt.Sprintf("i-%08x", n))
			}
			heartbeats := make([]instance.Instance, hosts)
			for n := range heartbeats {
				heartbeats[n] = instance.Instance{ID: fmt.Sprintf("i-%08x", departures+n), Service: "desk", Address: "10.0.0.1:1", Zone: "z0"}
			}
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				heartbeat := &heartbeats[n%hosts]
				heartbeat.Sequence++
				s.Heartbeat(int64(n), *heartbeat)
				n++
			}
		})
	}
}
