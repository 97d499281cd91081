package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	lateBy       = 5 * time.Second        // how late the host's last heartbeat comes
	restartAfter = 500 * time.Millisecond // the control process is back within a second
	drainBound   = 3 * time.Second
	servesOn     = 13 * time.Second // after the acknowledgement; "at times many seconds"
)

// departureCase: a heartbeat of a host comes seconds late. Meanwhile the host leaves, and the control process that acknowledged that is
// killed and comes back within a second. Once machines are in touch again, the host must get nothing.
func departureCase(c *cluster, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	var arrivals []arrival
	work := func(h *host, w http.ResponseWriter, r *http.Request) {
		if h.id == "i-leaves" {
			mu.Lock()
			arrivals = append(arrivals, arrival{time.Now(), r.Header.Get("Attempt-Id"), h.id})
			mu.Unlock()
		}
		time.Sleep(60 * time.Millisecond)
		w.Header().Set("Server-Seal", h.seal(r))
		fmt.Fprintln(w, h.id)
	}
	if err := c.start(); err != nil {
		return false, err
	}
	for _, m := range c.machines {
		for n := range 2 {
			h, err := c.startHost(fmt.Sprintf("i-%s-%d", m.zone, n+1), "desk", m.zone, m.ip, work)
			if err != nil {
				return false, err
			}
			defer h.end()
		}
	}
	m1, m2 := c.machines[0], c.machines[1]
	leaving, err := c.startHost("i-leaves", "desk", "z2", m2.ip, work)
	if err != nil {
		return false, err
	}
	defer leaving.server.Close()
	if err := c.configure(deskConfiguration); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := c.startClients(ctx, "z1", "z2", "z3")
	defer clients.Wait()
	defer cancel()
	time.Sleep(contactBound)
	mu.Lock()
	c.log.add("host i-leaves of z2 ran %d requests so far", len(arrivals))
	mu.Unlock()

	close(leaving.stop) // from here on its calls are made below
	time.Sleep(200 * time.Millisecond)
	c.log.add("host i-leaves sends heartbeat %d to %s; it comes %v late", leaving.sequence.Load()+1, m2.name, lateBy)
	late := leaving.heartbeatRequest()
	time.AfterFunc(lateBy, func() { c.deliver(m2, late) })
	time.Sleep(time.Second) // of silence
	if leftAt, err := c.leave(leaving, m1, m2); err != nil || !trouble {
		return c.judgeDeparture(leftAt, leftAt, &mu, &arrivals), err
	} else {
		time.Sleep(100 * time.Millisecond)
		c.log.add("trouble: the control process of %s is killed", m2.name)
		signal(syscall.SIGKILL, m2.control)
		time.Sleep(restartAfter)
		if m2.control, err = c.startAgain(m2); err != nil {
			return false, err
		}
		c.log.add("trouble: the control process of %s is started again, with its disk", m2.name)
		return c.judgeDeparture(leftAt, time.Now(), &mu, &arrivals), nil
	}
}

// leave sends the host's next heartbeat to another control process, as the first one did not answer, and then its departure to the address
// that the answer names. It returns the time of the acknowledgement.
func (c *cluster) leave(h *host, other, own *machine) (leftAt time.Time, err error) {
	_, body, _ := bytes.Cut(h.heartbeatRequest(), []byte("\r\n\r\n"))
	status, answer, err := c.callOnce(other, "instances.heartbeat", h.id, body)
	c.log.add("host %s: no answer from %s within a second; heartbeat %d to %s: %d %s", h.id, own.name, h.sequence.Load(), other.name, status, answer)
	if err != nil || !bytes.Contains(answer, []byte(own.address(c.ports.control))) {
		return time.Time{}, fmt.Errorf("%w: the answer does not name %s: %v", errSetup, own.name, err)
	}
	status, _, err = c.callOnce(own, "instances.leave", h.id, nil)
	c.log.add("host %s: instances.leave to %s: %d", h.id, own.name, status)
	if err != nil || status/100 != 2 {
		return time.Time{}, fmt.Errorf("%w: the departure was not acknowledged: %d %v", errSetup, status, err)
	}
	return time.Now(), nil
}

// judgeDeparture watches the host, which serves on for some seconds, and reports whether it ran requests that the rule forbids. calmSince is
// the time of the last trouble.
func (c *cluster) judgeDeparture(leftAt, calmSince time.Time, mu *sync.Mutex, arrivals *[]arrival) (broken bool) {
	if leftAt.IsZero() {
		return false
	}
	bindsFrom := leftAt.Add(drainBound)
	if calm := calmSince.Add(contactBound); calm.After(bindsFrom) {
		bindsFrom = calm
	}
	time.Sleep(time.Until(leftAt.Add(servesOn)))
	mu.Lock()
	defer mu.Unlock()
	between, after := 0, 0
	for _, a := range *arrivals {
		switch {
		case a.at.After(bindsFrom):
			if after++; after <= 20 {
				c.log.add("host %s runs request %s at %s, %.2f s after the acknowledgement", a.host, a.id, c.log.at(a.at), a.at.Sub(leftAt).Seconds())
			}
		case a.at.After(leftAt):
			between++
		}
	}
	c.log.add("the departure was acknowledged at %s; the rule binds from %s on; %d requests ran between, %d after", c.log.at(leftAt), c.log.at(bindsFrom), between, after)
	return after > 0
}

// heartbeatRequest returns the bytes of a heartbeat request.
func (h *host) heartbeatRequest() []byte {
	body, _ := json.Marshal(map[string]any{
		"address":        h.address,
		"information":    map[string]any{"service": h.service, "version": "v1", "zone-name": h.zone, "slot-count": 3},
		"current-status": map[string]any{"server-state": "ready", "sequence": h.sequence.Add(1), "cold-remaining-s": 0},
	})
	return fmt.Appendf(nil, "POST /-/rpc?call=instances.heartbeat&of=%s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body)
}

// deliver sends bytes that were held up to a control process.
func (c *cluster) deliver(m *machine, raw []byte) {
	conn, err := net.DialTimeout("tcp", m.address(c.ports.control), time.Second)
	if err != nil {
		c.log.add("the late heartbeat finds nobody at %s: %v", m.name, err)
		return
	}
	defer conn.Close()
	_, _ = conn.Write(raw)
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	answer := make([]byte, 256)
	n, err := conn.Read(answer)
	if err != nil && err != io.EOF {
		c.log.add("the late heartbeat reached %s: %v", m.name, err)
		return
	}
	c.log.add("the late heartbeat reached %s: %.15q", m.name, answer[:n])
}
