// Package servers runs the models of package standin on loopback, for experiments and tests only: hosts, discovery and the
// platform, which speak the protocols that the router expects. The main types are Host and Services; each owns its listener.
package servers

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"portflow/internal/standin"
)

// Host is an HTTP server that models a host. It keeps its address across restarts.
type Host struct {
	Name, Address string
	Effects       *SharedEffects
	Work          func() int64             // returns the work of the next command in nanoseconds
	OnWork        func(now int64, w int64) // called for each request with its work
	Clock         func() int64             // returns the current time in nanoseconds

	mu      sync.Mutex // guards the fields below
	machine *standin.Machine
	server  *http.Server
	started int64 // time of the last Restart in Unix milliseconds, 0 if never restarted
}

// SharedEffects is an EffectLog that several hosts share.
type SharedEffects struct {
	mu sync.Mutex
	standin.EffectLog
}

// Run calls EffectLog.Run; it is safe for concurrent use.
func (s *SharedEffects) Run(now int64, key, trace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.EffectLog.Run(now, key, trace)
}

// Start starts the host, warm, on a free loopback port and sets Address. All other exported fields must be set before.
func (h *Host) Start(m *standin.Machine) error {
	h.machine = m
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.Address = l.Addr().String()
	m.Start(h.Clock(), true)
	h.serve(l)
	return nil
}

// serve starts a goroutine that serves requests until Stop closes the server.
func (h *Host) serve(l net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(h.answer)}
	h.mu.Lock()
	h.server = server
	h.mu.Unlock()
	go func() { _ = server.Serve(l) }() // returns once Stop closes the server
}

// Stop closes the host's connections and its listener, as if its process had exited.
func (h *Host) Stop() {
	h.mu.Lock()
	server := h.server
	h.machine.Stop()
	h.mu.Unlock()
	server.Close()
}

// Restart starts the host again after Stop, cold and on the same address.
func (h *Host) Restart() error {
	l, err := net.Listen("tcp", h.Address)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.machine.Start(h.Clock(), false)
	h.started = time.Now().UnixMilli()
	h.mu.Unlock()
	h.serve(l)
	return nil
}

// Capacity returns the current capacity in seconds of work per second, and whether the host has collapsed.
func (h *Host) Capacity() (capacity float64, collapsed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.Capacity(h.Clock()), h.machine.Collapsed
}

// Started returns the time of the last Restart in Unix milliseconds, or 0 if the host was never restarted.
func (h *Host) Started() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.started
}

func (h *Host) answer(w http.ResponseWriter, r *http.Request) {
	workNanos, now := h.Work(), h.Clock()
	h.OnWork(now, workNanos)
	if key := r.Header.Get("Idempotency-Key"); key != "" && !h.Effects.Run(now, key, r.Header.Get("X-Trace-Id")) {
		workNanos = 1e6 // a recognized repeat costs 1 ms
	}
	h.mu.Lock()
	done, ok := h.machine.Arrive(now, workNanos)
	collapsed := h.machine.Collapsed
	h.mu.Unlock()
	if !ok {
		if collapsed {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(time.Duration(done - now)):
		fmt.Fprintln(w, h.Name)
	case <-r.Context().Done():
	}
}

// Member is an entry of discovery's host list, in its wire format.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
	Image    int     `json:"image_id"`
}

// Services serves discovery and the platform at one address.
type Services struct {
	Address string
	Release string // JSON of the release state that the platform returns

	mu      sync.Mutex // guards the fields below
	members []Member
	version int           // incremented with each change of members
	changed chan struct{} // closed and replaced with each change of members
	server  *http.Server
}

// NewServices starts the services on a free loopback port. release is the platform's state as JSON.
func NewServices(release string, members []Member) (*Services, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Services{Address: l.Addr().String(), Release: release, members: members, version: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/targets", s.targets)
	mux.HandleFunc("/api/watch", s.watch)
	mux.HandleFunc("/api/verdicts", func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, s.Release) })
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }() // returns once Close closes the server
	return s, nil
}

// Close closes the listener and all connections, which ends watches as well.
func (s *Services) Close() { s.server.Close() }

// SetMembers replaces the host list and wakes up requests that wait for a change.
func (s *Services) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = members
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Services) targets(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	changed, version, members := s.changed, s.version, s.members
	s.mu.Unlock()
	if r.FormValue("index") == strconv.Itoa(version) {
		wait, _ := strconv.Atoi(r.FormValue("wait"))
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
			fmt.Fprintf(w, `{"revision":%d,"complete":false,"members":[]}`, version)
			return
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
		version, members = s.version, s.members
		s.mu.Unlock()
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"revision": version, "complete": true, "members": members}) // the router may have disconnected
}

func (s *Services) watch(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintf(w, `{"type":"news","object":%s}`+"\n", s.Release)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		_ = http.NewResponseController(w).Flush() // a disconnect cancels the context
		select {
		case <-tick.C:
			fmt.Fprintln(w, "{}")
		case <-r.Context().Done():
			return
		}
	}
}
