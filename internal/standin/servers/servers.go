// Package servers runs the models of package standin on loopback, by the platform's protocol: hosts, discovery and the platform
// itself. It owns their listeners, and it is for experiments and tests only. Begin reading at Host and Services.
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

// Host is a host at an address of its own, which it keeps over restarts.
type Host struct {
	Name, Address string
	Effects       *SharedEffects
	Work          func() int64             // of a command, in nanoseconds
	OnWork        func(now int64, w int64) // is called with each request and its work
	Clock         func() int64

	mu      sync.Mutex // guards what follows
	machine *standin.Machine
	server  *http.Server
	started int64 // Unix milliseconds, 0 for long ago
}

// SharedEffects are effects that several hosts log.
type SharedEffects struct {
	mu sync.Mutex
	standin.EffectLog
}

// Run is EffectLog.Run, safe for concurrent use.
func (s *SharedEffects) Run(now int64, mark, trace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.EffectLog.Run(now, mark, trace)
}

// Start starts a host, warm; its exported fields but for the address are set before.
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

// serve answers requests until the server is closed, which ends the goroutine.
func (h *Host) serve(l net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(h.answer)}
	h.mu.Lock()
	h.server = server
	h.mu.Unlock()
	go func() { _ = server.Serve(l) }() // returns as Stop closes it
}

// Stop ends the host's process: its connections break, and new ones are refused.
func (h *Host) Stop() {
	h.mu.Lock()
	server := h.server
	h.machine.Stop()
	h.mu.Unlock()
	server.Close()
}

// Restart starts the host again, cold.
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

// Capacity returns what the host can do now, in seconds of work a second, and whether it has collapsed.
func (h *Host) Capacity() (capacity float64, collapsed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.Capacity(h.Clock()), h.machine.Collapsed
}

// Started returns when the host last started, in Unix milliseconds, 0 for long ago.
func (h *Host) Started() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.started
}

func (h *Host) answer(w http.ResponseWriter, r *http.Request) {
	need, now := h.Work(), h.Clock()
	h.OnWork(now, need)
	if mark := r.Header.Get("Idempotency-Key"); mark != "" && !h.Effects.Run(now, mark, r.Header.Get("X-Trace-Id")) {
		need = 1e6 // the repeat is known
	}
	h.mu.Lock()
	done, ok := h.machine.Arrive(now, need)
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

// Member is a host on the list.
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

// Services are discovery and the platform, at one address.
type Services struct {
	Address string
	Release string // the state that the platform answers, as JSON

	mu      sync.Mutex // guards what follows
	members []Member
	version int
	changed chan struct{}
	server  *http.Server
}

// NewServices starts services with a release and members.
func NewServices(release string, members []Member) (*Services, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Services{Address: l.Addr().String(), Release: release, members: members, version: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/targets", a.targets)
	mux.HandleFunc("/api/watch", a.watch)
	mux.HandleFunc("/api/verdicts", func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, a.Release) })
	a.server = &http.Server{Handler: mux}
	go func() { _ = a.server.Serve(l) }() // returns as Close closes it
	return a, nil
}

// Close ends the services.
func (a *Services) Close() { a.server.Close() }

// SetMembers replaces the list of members.
func (a *Services) SetMembers(members []Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members = members
	a.version++
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Services) targets(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	changed, version, members := a.changed, a.version, a.members
	a.mu.Unlock()
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
		a.mu.Lock()
		version, members = a.version, a.members
		a.mu.Unlock()
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"revision": version, "complete": true, "members": members}) // the router may be gone
}

func (a *Services) watch(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintf(w, `{"type":"news","object":%s}`+"\n", a.Release)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		_ = http.NewResponseController(w).Flush() // a router that is gone ends the context
		select {
		case <-tick.C:
			fmt.Fprintln(w, "{}")
		case <-r.Context().Done():
			return
		}
	}
}
