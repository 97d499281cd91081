package decision

import (
	"reflect"
	"testing"

	"portflow/internal/golden"
)

// What routers tell each other of a build on trial has the same bytes, and is read as the same figures.
func TestGoldenGossip(t *testing.T) {
	d := emptyDecider(Settings{Customers: []Customer{{PerSecond: 1}, {PerSecond: 2}}, Routers: 3}, 1, nil)
	d.rollout.Build, d.now, d.pausedAt = 0x0102, 7*second, second
	var want []float64
	for n, f := range d.gossipedValues() {
		*f = float64(n + 1) // few bits, so that nothing is rounded
		want = append(want, *f)
	}
	want = append(want, 6)
	raw := golden.Equal(t, "gossip.bin", d.encodeGossip())
	build, figures, ok := d.decodeGossip(raw)
	if !ok || build != 0x0102 || !reflect.DeepEqual(figures, want) {
		t.Errorf("read as build %d, %v, %v; not %v", build, figures, ok, want)
	}
}
