// Package servers plays what is around routers on loopback, by the platform's protocol: hosts, discovery and the
// platform itself.
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

// Host is a host at an address of its own, which it keeps when it goes and returns.
type Host struct {
	Name, Address string
	Effects       *SharedEffects
	Work          func() int64             // a command's, in nanoseconds
	OnWork        func(now int64, w int64) // is told each hand-off and its work
	Clock         func() int64

	mu      sync.Mutex
	machine *standin.Machine
	server  *http.Server
	started int64 // Unix milliseconds, 0 for long ago
}

// SharedEffects are effects that several hosts log.
type SharedEffects struct {
	mu sync.Mutex
	standin.EffectLog
}

// Run is Effects.Run, by many goroutines.
func (s *SharedEffects) Run(now int64, mark, trace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.EffectLog.Run(now, mark, trace)
}

// Start brings a host up, warm; its maker has set the exported fields but for the address.
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

func (h *Host) serve(l net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(h.answer)}
	h.mu.Lock()
	h.server = server
	h.mu.Unlock()
	go server.Serve(l)
}

// Stop ends the host's process: its connections break, and new ones are refused.
func (h *Host) Stop() {
	h.mu.Lock()
	server := h.server
	h.machine.Stop()
	h.mu.Unlock()
	server.Close()
}

// Restart starts it anew, cold.
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

// Capacity is what the host can do now, in seconds of work a second, and whether it was pushed over.
func (h *Host) Capacity() (can float64, fallen bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.Capacity(h.Clock()), h.machine.Collapsed
}

// Started is when it last started, in Unix milliseconds, 0 for long ago.
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
	fallen := h.machine.Collapsed
	h.mu.Unlock()
	if !ok {
		if fallen {
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

// Services is discovery and the platform, at one address.
type Services struct {
	Address string
	Release string // the state that the platform tells, as JSON
	mu      sync.Mutex
	members []Member
	version int
	changed chan struct{}
	server  *http.Server
}

// NewServices makes one that lists these members.
func NewServices(news string, members []Member) (*Services, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Services{Address: l.Addr().String(), Release: news, members: members, version: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/targets", a.targets)
	mux.HandleFunc("/api/watch", a.watch)
	mux.HandleFunc("/api/verdicts", func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, a.Release) })
	a.server = &http.Server{Handler: mux}
	go a.server.Serve(l)
	return a, nil
}

// Close ends it.
func (a *Services) Close() { a.server.Close() }

// SetMembers puts another list in place of the one before.
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
	json.NewEncoder(w).Encode(map[string]any{"revision": version, "complete": true, "members": members})
}

func (a *Services) watch(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintf(w, `{"type":"news","object":%s}`+"\n", a.Release)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		http.NewResponseController(w).Flush()
		select {
		case <-tick.C:
			fmt.Fprintln(w, "{}")
		case <-r.Context().Done():
			return
		}
	}
}
