package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/client"
)

const (
	hostSlots = 24
	hostQueue = 24

	slowOneIn  = 60  // requests that take a host long
	breakOneIn = 800 // requests at which a host breaks off

	endIn = 2500 * time.Millisecond // for what a host that ends still works on

	chunkBytes = 32 << 10 // of an answer that is written in pieces
)

// host is one place for a host, which has one life after another.
type host struct {
	rig     *rig
	service string
	zone    int
	index   int
	rng     *rand.Rand // of its lives; requests have their own
}

// life is one start of a host.
type life struct {
	*host
	id       string
	address  string
	sequence atomic.Int64
	draining atomic.Bool
	ended    atomic.Bool
	open     atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
}

// run has one life follow on another until the context ends. A life is cut short only where leaves is set.
func (h *host) run(ctx context.Context, leaves bool) error {
	for n := 1; ctx.Err() == nil; n++ {
		l, err := net.Listen("tcp", at(hostIP(h.zone, h.index), 0))
		if err != nil {
			return fmt.Errorf("host: %w", err)
		}
		v := &life{host: h, id: fmt.Sprintf("%s-%d-%d-%d", h.service, h.zone+1, h.index, n), address: l.Addr().String(),
			rng: rand.New(rand.NewPCG(h.rng.Uint64(), 1))}
		lasts := 6*time.Second + time.Duration(h.rng.Int64N(int64(12*time.Second)))
		if !leaves {
			lasts = 24 * time.Hour
		}
		v.live(ctx, l, lasts)
	}
	return nil
}

// live serves until the life is over: it drains, is acknowledged, serves on for the drain's limit, leaves and ends.
func (v *life) live(ctx context.Context, l net.Listener, lasts time.Duration) {
	server := &http.Server{Handler: v}
	go server.Serve(l)
	beats, stop := context.WithCancel(ctx)
	defer stop()
	go v.beat(beats)
	select {
	case <-ctx.Done():
	case <-time.After(lasts):
		v.draining.Store(true)
		v.call(ctx, "instances.heartbeat")
		select {
		case <-time.After(drainLimit + drainLimit/4):
		case <-ctx.Done():
		}
		stop()
		v.call(ctx, "instances.leave")
		v.rig.sums.hostsLeft.Add(1)
	}
	over, cancel := context.WithTimeout(context.Background(), endIn)
	defer cancel()
	server.Shutdown(over) // what is still at work after that is broken off, and known to be
	v.ended.Store(true)
	server.Close()
}

// beat tells control that the host is there.
func (v *life) beat(ctx context.Context) {
	for ctx.Err() == nil {
		v.call(ctx, "instances.heartbeat")
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// call makes one call to a control process, that of the host's zone first.
func (v *life) call(ctx context.Context, call string) {
	state := "ready"
	if v.draining.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{"address": v.address,
		"information":    map[string]any{"service": v.service, "version": "v1", "zone-name": fmt.Sprintf("z%d", v.zone+1), "slot-count": hostSlots},
		"current-status": map[string]any{"server-state": state, "sequence": v.sequence.Add(1)}})
	all := controlAddresses()
	near := append(append([]string(nil), all[v.zone:]...), all[:v.zone]...)
	p := client.Client{Addresses: near, HTTP: v.rig.http, Timeout: 4 * time.Second}
	p.Call(ctx, call, v.id, body)
}

// draw decides by chance, once in n.
func (v *life) draw(n int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rng.IntN(n) == 0
}

func (v *life) between(low, high time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return low + time.Duration(v.rng.Int64N(int64(high-low)))
}

// ServeHTTP counts an arrival, works on it, and answers.
func (v *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	v.rig.book.host(id, func(h *HostView) { h.Arrivals++ })
	w.Header().Set("Attempt-Id", id)
	if to := r.Header.Get("Expected-Instance"); to != "" && to != v.id {
		w.Header().Set("Request-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer v.open.Add(-1)
	if v.open.Add(1) > hostSlots+hostQueue {
		w.Header().Set("Request-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	wanted, answer := sizes(r.URL.Path)
	v.rig.book.host(id, func(h *HostView) {
		h.Ran++
		h.Garbled = h.Garbled || err == nil && (len(body) != wanted || !patterned(body, id))
	})
	if err != nil {
		v.abandon(id)
		panic(http.ErrAbortHandler)
	}
	defer func() {
		if v.ended.Load() { // the life's end broke it off, or may have
			v.rig.book.host(id, func(h *HostView) { h.BrokeOff = true })
		}
	}()
	work := v.between(time.Millisecond, 15*time.Millisecond)
	if v.draw(slowOneIn) {
		work = v.between(200*time.Millisecond, 2*time.Second)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		v.abandon(id)
		panic(http.ErrAbortHandler)
	}
	breaks := v.draw(breakOneIn)
	if breaks {
		v.rig.book.host(id, func(h *HostView) { h.BrokeOff = true })
	}
	if breaks && v.draw(2) {
		panic(http.ErrAbortHandler)
	}
	v.answer(w, r, id, answer, breaks)
}

// abandon notes that the proxy closed the connection while the host was at work.
func (v *life) abandon(id string) {
	v.rig.book.host(id, func(h *HostView) { h.Abandoned = v.rig.clock.now() })
}

// answer writes the answer's body in pieces; one that breaks off ends in the middle.
func (v *life) answer(w http.ResponseWriter, r *http.Request, id string, size int, breaks bool) {
	w.Header().Set("Server-Seal", v.id)
	if !v.draw(3) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	body := pattern(id, size)
	for n := 0; n < len(body); n += chunkBytes {
		if breaks && n >= len(body)/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(body[n:min(len(body), n+chunkBytes)]); err != nil {
			v.abandon(id)
			panic(http.ErrAbortHandler)
		}
		if size > largest && v.draw(4) {
			http.NewResponseController(w).Flush()
			time.Sleep(v.between(time.Millisecond, 40*time.Millisecond))
		}
	}
	if breaks {
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// path is where a request goes: its route's prefix, the length of its body, and that of the answer that it wants.
func path(prefix string, body, answer int) string {
	return fmt.Sprintf("%s%d/%d", prefix, body, answer)
}

// sizes reads what path wrote.
func sizes(path string) (body, answer int) {
	parts := strings.Split(path, "/")
	if len(parts) >= 2 {
		body, _ = strconv.Atoi(parts[len(parts)-2])
		answer, _ = strconv.Atoi(parts[len(parts)-1])
	}
	return body, answer
}

// pattern is a body that tells whose it is.
func pattern(id string, size int) []byte {
	if size <= 0 || id == "" {
		return nil
	}
	return []byte(strings.Repeat(id, size/len(id)+1)[:size])
}

// patterned reports whether a body is, from its first byte to its last, the one of this attempt.
func patterned(body []byte, id string) bool {
	return string(body) == string(pattern(id, len(body)))
}
