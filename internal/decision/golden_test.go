package decision

import (
	"reflect"
	"testing"

	"portflow/internal/golden"
)

// A gossip message has the same bytes, and is decoded to the same values.
func TestGoldenGossip(t *testing.T) {
	d := emptyDecider(Settings{Customers: []Customer{{PerSecond: 1}, {PerSecond: 2}}, Routers: 3}, 1, nil)
	d.rollout.Build, d.now, d.pausedAt = 0x0102, 7*second, second
	var want []float64
	for n, value := range d.gossipedValues() {
		*value = float64(n + 1) // few bits, so that nothing is rounded
		want = append(want, *value)
	}
	want = append(want, 6)
	raw := golden.Equal(t, "gossip.bin", d.encodeGossip())
	build, values, ok := d.decodeGossip(raw)
	if !ok || build != 0x0102 || !reflect.DeepEqual(values, want) {
		t.Errorf("decoded as build %d, %v, %v; not %v", build, values, ok, want)
	}
}
