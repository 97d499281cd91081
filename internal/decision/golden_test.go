package decision

import (
	"reflect"
	"testing"

	"portflow/internal/golden"
)

// Guards against changes of the encoding of gossip messages.
func TestGoldenGossip(t *testing.T) {
	d := emptyDecider(Settings{Customers: []Customer{{PerSecond: 1}, {PerSecond: 2}}, Routers: 3}, 1, nil)
	d.rollout.Build, d.now, d.pausedAt = 0x0102, 7*second, second
	var want []float64
	for n, value := range d.gossipedValues() {
		*value = float64(n + 1) // exact in the encoding's precision
		want = append(want, *value)
	}
	want = append(want, 6)
	raw := golden.Equal(t, "gossip.bin", d.encodeGossip())
	build, values, ok := d.decodeGossip(raw)
	if !ok || build != 0x0102 || !reflect.DeepEqual(values, want) {
		t.Errorf("decodeGossip returned build %d, values %v, ok %v; want values %v", build, values, ok, want)
	}
}
