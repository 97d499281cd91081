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
	hostSlots = 24 // slot count that an instance reports
	hostQueue = 24 // open requests that it accepts beyond its slots

	// Lifetimes of instances that leave are random in [minLifetime, minLifetime+lifetimeSpread).
	minLifetime       = 4 * time.Second
	lifetimeSpread    = 10 * time.Second
	unlimitedLifetime = 24 * time.Hour // longer than any trial

	shutdownTimeout = 2500 * time.Millisecond // for requests that are open when an instance shuts down
	hostCallTimeout = 4 * time.Second         // for one call to control, retries included
)

// host runs the instances of a service at one IP address, one after the other.
type host struct {
	rig     *rig
	service string
	zone    int
	index   int
	rng     *rand.Rand // for the lifetimes, departures and seeds of instances; requests use instance.rng

	departing sync.WaitGroup // instances that serve on after their departure, and late heartbeats
}

// instance is an HTTP server that registers with control under its own ID and port.
type instance struct {
	*host
	id       string
	address  string
	sequence atomic.Int64 // sequence number of the last call to control
	draining atomic.Bool
	ended    atomic.Bool

	departure  departure
	departedAt atomic.Int64 // offset in nanoseconds of the first acknowledgement of the departure; 0 for none

	shuttingDown atomic.Bool
	open         atomic.Int64 // number of requests being handled

	mu  sync.Mutex // guards rng
	rng *rand.Rand
}

var _ http.Handler = (*instance)(nil)

// run runs one instance after another until ctx is done. Instances leave before that only if leaves is true; they serve on beside the next
// ones for some time.
func (h *host) run(ctx context.Context, leaves bool) error {
	defer h.departing.Wait()
	for n := 1; ctx.Err() == nil; n++ {
		l, err := net.Listen("tcp", addressOf(h.rig.layout.hostIP(h.zone, h.index), 0))
		if err != nil {
			return fmt.Errorf("listen for instance: %w", err)
		}
		i := &instance{
			host:      h,
			id:        fmt.Sprintf("%s-%d-%d-%d", h.service, h.zone+1, h.index, n),
			address:   l.Addr().String(),
			rng:       rand.New(rand.NewPCG(h.rng.Uint64(), 1)),
			departure: drawDeparture(h.rng),
		}
		lifetime := minLifetime + time.Duration(h.rng.Int64N(int64(lifetimeSpread)))
		if !leaves {
			lifetime = unlimitedLifetime
		}
		i.serve(ctx, l, lifetime)
	}
	return nil
}

// serve handles requests until the lifetime expires or ctx is done. It returns once the instance has announced its departure; the instance
// serves on in a goroutine of host.departing, which closes the server. The heartbeats end with their context.
func (i *instance) serve(ctx context.Context, l net.Listener, lifetime time.Duration) {
	server := &http.Server{Handler: i, ConnContext: withHostConn}
	go func() {
		if err := server.Serve(hostListener{l, i}); !errors.Is(err, http.ErrServerClosed) {
			i.rig.violate(Violation{"TRIAL: host failed", err.Error()})
		}
	}()
	heartbeats, stopHeartbeats := context.WithCancel(ctx)
	go i.sendHeartbeats(heartbeats)
	select {
	case <-ctx.Done():
	case <-time.After(lifetime):
		i.depart(ctx, stopHeartbeats)
	}
	stopHeartbeats()
	i.departing.Go(func() {
		wait(ctx, i.departure.serveOn)
		i.shutDown(server)
	})
}

// shutDown closes the server. Requests that are still open after shutdownTimeout are aborted and recorded as such.
func (i *instance) shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	i.shuttingDown.Store(true)
	_ = server.Shutdown(ctx)
	i.ended.Store(true)
	server.Close()
}

// sendHeartbeats sends heartbeats to control until ctx is done.
func (i *instance) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		i.callControl(ctx, "instances.heartbeat")
		wait(ctx, heartbeatInterval)
	}
}

// callControl makes one call to control, starting with the control process in the instance's zone, and reports whether it was
// acknowledged.
func (i *instance) callControl(ctx context.Context, call string) (acknowledged bool) {
	return i.send(ctx, call, i.statusBody(), i.rig.layout.controlAddressesFrom(i.zone), hostCallTimeout)
}

// send sends the body of a call to the control processes with the given addresses, and reports whether one acknowledged it.
func (i *instance) send(ctx context.Context, call string, body []byte, addresses []string, timeout time.Duration) (acknowledged bool) {
	control := client.Client{Addresses: addresses, HTTP: i.rig.http, Timeout: timeout}
	_, err := control.Call(ctx, call, i.id, body)
	return err == nil // control may be down; the next heartbeat makes up for a failed one
}

// statusBody returns the body of the next call to control.
func (i *instance) statusBody() []byte {
	state := "ready"
	if i.draining.Load() {
		state = "draining"
	}
	return mustMarshal(map[string]any{
		"address": i.address,
		"information": map[string]any{
			"service":    i.service,
			"version":    "v1",
			"zone-name":  zoneName(i.zone),
			"slot-count": hostSlots,
		},
		"current-status": map[string]any{"server-state": state, "sequence": i.sequence.Add(1)},
	})
}

// mustMarshal encodes a value as JSON, and panics if JSON can't represent it.
func mustMarshal(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
