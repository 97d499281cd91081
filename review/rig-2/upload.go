package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// longBody: after a SIGTERM a proxy breaks off requests with long bodies because their hosts read the body in two parts, and answers in their
// place.
func longBody(rec *record, trouble bool) (int, string) {
	const (
		size    = 4 << 20                 // bytes of a body; body-bytes allows 64 MiB
		part    = 64 << 10                // bytes that a host reads first
		work    = 2500 * time.Millisecond // how long the host works
		grace   = 6 * time.Second         // grace-s
		contact = 5 * time.Second         // contact-s
		count   = 4
	)
	c, err := startCluster(rec, []string{"r1", "r2", "r3"})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return failed, err.Error()
	}
	seen := &arrivals{}
	var mu sync.Mutex
	working, broke := map[string]bool{}, map[string]bool{}
	for n, m := range append(c.machines, c.machines...) {
		h, err := c.startHost(m, n, "desk", "v1", 0, seen)
		if err != nil {
			return failed, err.Error()
		}
		defer h.stop()
		h.handle = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Attempt-Id")
			mu.Lock()
			working[id] = true
			mu.Unlock()
			first := int64(size) // without the disruption the host reads the body at once and works as long
			if trouble {
				first = part
			}
			rec.printf("host %s begins to work on %s", h.id, id)
			n, err := io.CopyN(io.Discard, r.Body, first)
			time.Sleep(work)
			if err == nil {
				var rest int64
				rest, err = io.Copy(io.Discard, r.Body)
				n += rest
			}
			if err != nil || n != size {
				mu.Lock()
				broke[id] = true
				mu.Unlock()
				rec.printf("host %s: the request %s was broken off after %d bytes: %v", h.id, id, n, err)
				return
			}
			rec.printf("host %s answers %s", h.id, id)
			w.Header().Set("Server-Seal", h.id+"."+id)
			_, _ = fmt.Fprintln(w, h.id)
		}
	}
	if err := c.configureBodies(8 << 20); err != nil {
		return failed, err.Error()
	}
	if err := c.awaitReady(); err != nil {
		return failed, err.Error()
	}
	time.Sleep(contact + time.Second) // no trouble for contact-s before the requests
	m := c.machines[0]
	if err := m.proxy.signal(syscall.SIGTERM); err != nil {
		return failed, err.Error()
	}
	termAt := time.Now()
	rec.printf("SIGTERM to the %s; SIGKILL would come %v later", m.proxy.name, grace)
	time.Sleep(200 * time.Millisecond)
	var wait sync.WaitGroup
	lost, answered := 0, 0
	for i := range count {
		wait.Go(func() {
			id := fmt.Sprintf("long-%d", i)
			sentAt := time.Now()
			status, seal, err := sendLong(m, id, make([]byte, size))
			took := time.Since(sentAt)
			rec.printf("client: %s, sent %.1f s after the SIGTERM, gets %d with seal %q after %.2f s: %v", id, sentAt.Sub(termAt).Seconds(), status, seal, took.Seconds(), err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && seal != "":
				answered++
			case working[id] && time.Since(termAt) < grace*5/6: // neither the last sixth of grace-s nor the deadline had come
				lost++
			}
		})
	}
	wait.Wait()
	time.Sleep(work) // until the hosts come to the rest of the bodies
	why := fmt.Sprintf("%d of %d requests were broken off by the proxy while their hosts were at work on them, %d got the answer of their host; hosts saw %d broken off",
		lost, count, answered, len(broke))
	switch {
	case lost > 0:
		return broken, why
	case answered < count:
		return failed, why
	}
	return held, why
}

// sendLong sends a request with a long body and a deadline of 10 s that must run at most once.
func sendLong(m *machine, id string, body []byte) (status int, seal string, err error) {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	req, err := http.NewRequest(http.MethodPost, "http://"+m.front()+"/issue/1", bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "desk.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Time-Remaining", "10000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Server-Seal"), err
}
