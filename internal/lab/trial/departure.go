package trial

import (
	"context"
	"math/rand/v2"
	"time"
)

// Bounds of the random times of a departure.
const (
	minServeOn = 4 * time.Second // after the last call to control; longer than the drain limit
	maxServeOn = 18 * time.Second

	minLateness = time.Second // of a heartbeat that was sent before the departure
	maxLateness = 14 * time.Second

	maxLateHeartbeats = 3 // of an instance
	lateCallTimeout   = time.Second
)

// departure is how an instance leaves.
type departure struct {
	drains   bool            // it reports that it is draining before it deregisters
	serveOn  time.Duration   // how long it serves after its last call to control
	lateness []time.Duration // delays of its last heartbeats before the departure, each sent to another control process
}

// drawDeparture returns a random departure. Half of the instances drain.
func drawDeparture(rng *rand.Rand) departure {
	d := departure{
		drains:  rng.IntN(2) == 0,
		serveOn: minServeOn + time.Duration(rng.Int64N(int64(maxServeOn-minServeOn))),
	}
	for range rng.IntN(maxLateHeartbeats + 1) {
		d.lateness = append(d.lateness, minLateness+time.Duration(rng.Int64N(int64(maxLateness-minLateness))))
	}
	return d
}

// depart announces the instance's departure: as draining first, for longer than the drain limit, or at once. Heartbeats that it sent before
// arrive late.
func (i *instance) depart(ctx context.Context, stopHeartbeats func()) {
	i.delayHeartbeats(ctx)
	if i.departure.drains {
		i.draining.Store(true)
		i.recordDeparture(i.callControl(ctx, "instances.heartbeat"))
		wait(ctx, terms.Drain+terms.Drain/4)
	} else {
		i.rig.counters.leftWithoutDrain.Add(1)
	}
	stopHeartbeats()
	i.recordDeparture(i.callControl(ctx, "instances.leave"))
	if i.departedAt.Load() == 0 {
		i.rig.counters.departuresUnacked.Add(1)
	}
}

// recordDeparture records when a call that announced the departure was first acknowledged.
func (i *instance) recordDeparture(acknowledged bool) {
	if acknowledged && i.departedAt.CompareAndSwap(0, int64(i.rig.clock.now())) {
		i.rig.counters.departuresAcked.Add(1)
	}
}

// delayHeartbeats creates the instance's last heartbeats before its departure and delivers them late, each in a goroutine that ends with
// ctx: the first one to the control process of its zone, and the next ones, sent after silence there, to the others.
func (i *instance) delayHeartbeats(ctx context.Context) {
	addresses := i.rig.layout.controlAddressesFrom(i.zone)
	for n, lateness := range i.departure.lateness {
		body := i.statusBody()
		i.departing.Go(func() {
			wait(ctx, lateness)
			if i.send(ctx, "instances.heartbeat", body, addresses[n:n+1], lateCallTimeout) {
				i.rig.counters.lateHeartbeats.Add(1)
			}
		})
	}
}
