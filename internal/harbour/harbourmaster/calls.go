package harbourmaster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/orders"
	"portflow/internal/harbour/rpc"
	"portflow/internal/harbour/soundings"
)

const (
	small = 4 << 10
	large = 8 << 20 // of a configuration: some ten thousand routes
	// callers go on to the next process after a second of silence
	answerIn = 850 * time.Millisecond
)

// calls are those of hosts and operators, each beside its handler.
func (m *Master) calls() []rpc.Call {
	return []rpc.Call{
		{Name: "instances.heartbeat", Most: small, Do: m.heartbeat},
		{Name: "instances.leave", Most: small, Do: m.leave},
		{Name: "configuration.modify", Most: large, Do: m.modify},
		{Name: "configuration.read", Most: small, Do: m.read},
		{Name: "evacuation.begin", Most: small, Do: func(ctx context.Context, zone string, _ []byte) (any, error) {
			return m.evacuate(ctx, zone, true)
		}},
		{Name: "evacuation.finish", Most: small, Do: func(ctx context.Context, zone string, _ []byte) (any, error) {
			return m.evacuate(ctx, zone, false)
		}},
		{Name: "rollouts.begin", Most: small, Do: m.begin},
		{Name: "rollouts.read", Most: small, Do: m.rollout},
		{Name: "harbour.read", Most: small, Do: m.survey},
		{Name: soundings.SnapshotCall, Most: small, Do: m.snapshot},
		{Name: soundings.RestoreCall, Most: large, Do: m.restore},
	}
}

// listen opens the ports that this process serves; what it returns begins to serve them.
func (m *Master) listen() (func(), error) {
	m.desk = rpc.New(append(m.calls(), m.coreCalls()...)...)
	r := chi.NewRouter()
	m.desk.Mount(r)
	r.Get("/-/resolution", m.resolve)
	m.server = &http.Server{Handler: r, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: 16 << 10}
	var all []net.Listener
	for _, name := range []string{"control", "directory"} {
		address := m.Boot.Listen[name]
		if !slices.Contains(m.Boot.Serves, name) {
			continue
		}
		l, err := m.Sea.Listen(address)
		if err != nil {
			return nil, fmt.Errorf("network.listen-addresses.%s: %w", name, err)
		}
		all = append(all, l)
	}
	return func() {
		for _, l := range all {
			go m.server.Serve(l)
		}
	}, nil
}

// resolve answers clients that ask where to go.
func (m *Master) resolve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	m.mu.Lock()
	var all []string
	if m.ready() == nil { // else what it knows of routers is old
		all = m.state.Addresses(q.Get("zone-name"), q.Get("region-name"), m.Boot.Zones)
	}
	m.mu.Unlock()
	if len(all) == 0 {
		a := faults.Unready.Answer()
		w.Header().Set("Retry-After", faults.RetryAfter(a.Again))
		rpc.Write(w, a.Status, map[string]string{"error": a.Name, "reason": "no router is ready"})
		return
	}
	rpc.Write(w, http.StatusOK, map[string]any{"addresses": all, "lifetime-s": min(2, float64(m.Boot.Bounds.Lifetime)/1e9)})
}

func (m *Master) heartbeat(ctx context.Context, id string, body []byte) (any, error) {
	if id == "" || len(id) > 256 {
		return nil, faults.New(faults.Malformed, "of: no id")
	}
	tree, err := rpc.Tree(body)
	if err != nil {
		return nil, err
	}
	now := m.clock()
	h, err := berths.ReadBeat(id, tree, now)
	if err != nil {
		return nil, faults.Wrap(faults.Malformed, err, "the beat of %s", id)
	}
	m.mu.Lock()
	if err := m.ready(); err != nil { // what is told here reaches nobody: the host goes on to another process
		m.mu.Unlock()
		return nil, err
	}
	h, changed := m.state.Register.Beat(now, h)
	m.tellHost(h, changed)
	_, known := m.state.Set.Get(manifest.Key{Kind: manifest.Settled, Name: h.Service})
	to := m.near(h.Zone)
	if !known && !m.settling[h.Service] { // the first hosts' version is the one that is not on trial
		m.settling[h.Service] = true
		go m.settle(h.Service, h.Version)
	}
	_, leaves := m.departing[id]
	m.mu.Unlock()
	if leaves { // few do: others need no timer
		if err := m.spread(ctx, id); err != nil {
			return nil, err
		}
	}
	if to != "" {
		return map[string]string{"heartbeat-address": to}, nil
	}
	return map[string]string{}, nil
}

// takes tells whether another control process takes beats, as it last said: one that starts, is alone or ends refuses them, and a host
// that is sent there comes back by way of any other, which is news of it to all each time. The caller holds the lock.
func (m *Master) takes(ip string) bool {
	p, e := m.state.Peers[ip], m.ends[ip]
	return p != nil && e != nil && e.line != nil && p.Status.Whole && p.Status.Majority && !p.Status.Leaving
}

// near is the control process that a host of a zone should beat to, empty for this one; the caller holds the lock.
func (m *Master) near(zone string) string {
	if zone == m.Boot.Zone {
		return ""
	}
	best := ""
	for ip, of := range m.state.Set.Members() {
		if of == zone && (best == "" || ip < best) && m.takes(ip) {
			best = ip
		}
	}
	if best == "" {
		return ""
	}
	_, port, _ := net.SplitHostPort(m.Boot.Listen["control"])
	return net.JoinHostPort(best, port)
}

// settle has the core note a service's first version.
func (m *Master) settle(service, version string) {
	m.submit(m.ctx, orders.Order{Kind: orders.Settle, Of: service, Version: version})
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.settling, service)
}

func (m *Master) leave(ctx context.Context, id string, _ []byte) (any, error) {
	if id == "" || len(id) > 256 {
		return nil, faults.New(faults.Malformed, "of: no id")
	}
	m.mu.Lock()
	if err := m.ready(); err != nil {
		m.mu.Unlock()
		return nil, err
	}
	h, changed := m.state.Register.Leave(m.clock(), id)
	m.tellHost(h, changed)
	m.mu.Unlock()
	return nil, m.spread(ctx, id)
}

// tellHost makes news of a host that beats here and has changed. One that leaves is told of once more where this process only knows
// by another's word that it does: that one may be cut off, and have told nobody else. The caller holds the lock.
func (m *Master) tellHost(h berths.Host, changed bool) {
	_, waits := m.departing[h.ID]
	leaves := h.State != berths.Ready
	if !changed && (!leaves || waits || m.departed[h.ID]) {
		return
	}
	m.state.TellHost(h, true)
	if leaves {
		m.departing[h.ID] = m.state.Ledger.Last()
		delete(m.departed, h.ID)
	}
	m.wake()
}

// spreadIn is for how long a host that leaves waits for its answer at the most: it goes on to the next process after a second.
const spreadIn = 700 * time.Millisecond

// spread waits until more than half of the members, this process among them, have taken what was told here of a host that
// leaves: it ends on the answer, so routers that hang on any of them must hear of it. A process that was cut off a moment ago
// doesn't know that yet, and so answers nothing. What is told of other hosts waits for nobody.
func (m *Master) spread(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, spreadIn)
	defer cancel()
	for {
		m.mu.Lock()
		number, waits := m.departing[id]
		if waits && m.taken(number) {
			delete(m.departing, id)
			m.departed[id], waits = true, false
		}
		acks := m.acks
		m.mu.Unlock()
		if !waits {
			return nil
		}
		select {
		case <-acks:
		case <-ctx.Done():
			return faults.Wrap(faults.Unready, ctx.Err(), "of: %s leaves, and more than half of the core haven't heard of it yet", id)
		}
	}
}

// taken tells whether more than half of the members have acknowledged the news up to a number; the caller holds the lock.
func (m *Master) taken(number uint64) bool {
	list, yes := m.state.Node.List(), map[string]string{m.Boot.IP: m.state.Self.ID}
	for f := range m.hung {
		if f.who.Control && f.acked >= number {
			yes[f.who.IP] = f.who.ID
		}
	}
	return list.Quorum(yes)
}

// modify takes a configuration, as a whole or not at all.
func (m *Master) modify(ctx context.Context, _ string, body []byte) (any, error) {
	items, err := manifest.Read(body)
	if err != nil {
		return nil, err
	}
	if err := m.submit(ctx, orders.Order{Kind: orders.Modify, Items: items}); err != nil {
		return nil, err
	}
	return map[string]any{}, nil
}

// read tells all items that stand, as they did when the call came or later.
func (m *Master) read(ctx context.Context, _ string, _ []byte) (any, error) {
	if err := m.confirm(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	raw, err := m.state.Set.Write()
	return json.RawMessage(raw), err
}

// evacuate begins or withdraws the evacuation of a zone.
func (m *Master) evacuate(ctx context.Context, zone string, begun bool) (any, error) {
	if _, ok := m.Boot.Zones[zone]; !ok {
		return nil, faults.New(faults.Missing, "of: no zone %q", zone)
	}
	return nil, m.submit(ctx, orders.Order{Kind: orders.Evacuate, Of: zone, Begun: begun})
}
