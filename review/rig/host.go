package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// host is a stand-in for a server of a service. It follows the pages: it sends heartbeats, refuses requests for another instance, echoes
// Attempt-Id and seals its answers.
type host struct {
	c        *cluster
	id       string
	service  string
	zone     string
	address  string
	sequence atomic.Int64
	stop     chan struct{}
	server   *http.Server
	next     int    // control process that gets the next heartbeat
	redirect string // address for later heartbeats, "" for none
}

// startHost starts a host whose requests go to handle, and its heartbeats.
func (c *cluster) startHost(id, service, zone, ip string, handle func(h *host, w http.ResponseWriter, r *http.Request)) (*host, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	h := &host{c: c, id: id, service: service, zone: zone, address: listener.Addr().String(), stop: make(chan struct{})}
	for i, m := range c.machines {
		if m.zone == zone {
			h.next = i
		}
	}
	h.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			w.Header().Set("Answering-Instance", id)
			return
		}
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != id {
			w.Header().Set("Answering-Instance", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handle(h, w, r)
	})}
	go func() { _ = h.server.Serve(listener) }()
	go h.sendHeartbeats()
	return h, nil
}

func (h *host) end() {
	close(h.stop)
	h.server.Close()
}

func (h *host) sendHeartbeats() {
	for {
		h.sendHeartbeat()
		select {
		case <-time.After(heartbeatEvery):
		case <-h.stop:
			return
		}
	}
}

// sendHeartbeat sends one heartbeat; without an acknowledgement within a second the next control process gets it.
func (h *host) sendHeartbeat() {
	for range h.c.machines {
		body, _ := json.Marshal(map[string]any{
			"address":        h.address,
			"information":    map[string]any{"service": h.service, "version": "v1", "zone-name": h.zone, "slot-count": 3},
			"current-status": map[string]any{"server-state": "ready", "sequence": h.sequence.Add(1), "cold-remaining-s": 0},
		})
		m := h.c.machines[h.next]
		for _, other := range h.c.machines {
			if other.address(h.c.ports.control) == h.redirect {
				m = other
			}
		}
		status, answer, err := h.c.callOnce(m, "instances.heartbeat", h.id, body)
		if err == nil && status/100 == 2 {
			var a struct {
				Address string `json:"heartbeat-address"`
			}
			if json.Unmarshal(answer, &a) == nil && a.Address != "" {
				h.redirect = a.Address
			}
			return
		}
		h.redirect = ""
		h.next = (h.next + 1) % len(h.c.machines)
	}
}

// seal returns a Server-Seal.
func (h *host) seal(r *http.Request) string {
	return fmt.Sprintf("%s.%s", h.id, r.Header.Get("Attempt-Id"))
}
