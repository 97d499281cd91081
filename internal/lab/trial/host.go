package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/client"
)

const (
	hostSlots = 24 // requests that a host works on at once
	hostQueue = 24 // requests that wait for a slot

	minLifetime       = 6 * time.Second // of an instance that leaves
	lifetimeSpread    = 12 * time.Second
	unlimitedLifetime = 24 * time.Hour // longer than any trial

	shutdownTimeout = 2500 * time.Millisecond // for what an instance that ends still works on
	hostCallTimeout = 4 * time.Second         // for one call to the control processes
)

// host is one address of a service, at which one instance follows another.
type host struct {
	rig     *rig
	service string
	zone    int
	index   int
	rng     *rand.Rand // of its instances' lifetimes; requests have their own
}

// instance is one start of a host.
type instance struct {
	*host
	id       string
	address  string
	sequence atomic.Int64 // of its heartbeats
	draining atomic.Bool
	ended    atomic.Bool
	open     atomic.Int64 // requests that it works on or queues

	mu  sync.Mutex // guards rng
	rng *rand.Rand
}

var _ http.Handler = (*instance)(nil)

// run starts one instance after another until the context ends. Instances leave before that only where leaves is set.
func (h *host) run(ctx context.Context, leaves bool) error {
	for n := 1; ctx.Err() == nil; n++ {
		l, err := net.Listen("tcp", addressOf(hostIP(h.zone, h.index), 0))
		if err != nil {
			return fmt.Errorf("host: %w", err)
		}
		i := &instance{
			host:    h,
			id:      fmt.Sprintf("%s-%d-%d-%d", h.service, h.zone+1, h.index, n),
			address: l.Addr().String(),
			rng:     rand.New(rand.NewPCG(h.rng.Uint64(), 1)),
		}
		lifetime := minLifetime + time.Duration(h.rng.Int64N(int64(lifetimeSpread)))
		if !leaves {
			lifetime = unlimitedLifetime
		}
		i.serve(ctx, l, lifetime)
	}
	return nil
}

// serve answers requests until the instance's lifetime or the context is over. Both goroutines that it starts end before or soon
// after it returns: the server is closed, and the heartbeats' context is cancelled.
func (i *instance) serve(ctx context.Context, l net.Listener, lifetime time.Duration) {
	server := &http.Server{Handler: i}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			i.rig.violate(Violation{"TRIAL: a host", err.Error()})
		}
	}()
	heartbeats, stopHeartbeats := context.WithCancel(ctx)
	defer stopHeartbeats()
	go i.sendHeartbeats(heartbeats)
	select {
	case <-ctx.Done():
	case <-time.After(lifetime):
		i.drainAndLeave(ctx, stopHeartbeats)
	}
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = server.Shutdown(shutdown) // a timeout is expected: what is still at work then is aborted, and recorded as that
	i.ended.Store(true)
	server.Close()
}

// drainAndLeave announces that the instance drains, serves on for longer than the drain's limit, and announces that it leaves.
func (i *instance) drainAndLeave(ctx context.Context, stopHeartbeats func()) {
	i.draining.Store(true)
	i.callControl(ctx, "instances.heartbeat")
	wait(ctx, drainLimit+drainLimit/4)
	stopHeartbeats()
	i.callControl(ctx, "instances.leave")
	i.rig.counters.hostsLeft.Add(1)
}

// sendHeartbeats reports the instance to control until the context ends.
func (i *instance) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		i.callControl(ctx, "instances.heartbeat")
		wait(ctx, heartbeatInterval)
	}
}

// callControl makes one call to a control process, that of the instance's zone first.
func (i *instance) callControl(ctx context.Context, call string) {
	state := "ready"
	if i.draining.Load() {
		state = "draining"
	}
	body := mustMarshal(map[string]any{
		"address": i.address,
		"information": map[string]any{
			"service":    i.service,
			"version":    "v1",
			"zone-name":  zoneName(i.zone),
			"slot-count": hostSlots,
		},
		"current-status": map[string]any{"server-state": state, "sequence": i.sequence.Add(1)},
	})
	control := client.Client{Addresses: controlAddressesFrom(i.zone), HTTP: i.rig.http, Timeout: hostCallTimeout}
	_, _ = control.Call(ctx, call, i.id, body) // a heartbeat that fails is followed by the next; control may be down
}

// mustMarshal encodes what the trial built itself; it panics on values that JSON does not have.
func mustMarshal(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
