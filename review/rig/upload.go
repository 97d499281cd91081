package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	uploadBytes = 4 << 20                 // of the 64 MiB that body-bytes allows
	firstPart   = 64 << 10                // bytes that the host reads before it pauses
	readPause   = 2500 * time.Millisecond // the host's work on the first part
	uploads     = 4                       // sent together, as the grace period has no time for one after another
)

// hostRun is what a host did with a request.
type hostRun struct{ began, answered bool }

// uploadCase: the proxy gets SIGTERM. A request with a long body comes while it still serves, and its host works on the first part before it
// reads the rest. The request has to get the answer of its host, which comes long before the end of the grace period.
func uploadCase(c *cluster, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	runs := map[string]hostRun{}
	pause := time.Duration(0)
	if trouble {
		pause = readPause
	}
	work := func(h *host, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		mu.Lock()
		runs[id] = hostRun{began: true}
		mu.Unlock()
		c.log.add("host %s begins to work on request %s, %d bytes, Time-Remaining %s", h.id, id, r.ContentLength, r.Header.Get("Time-Remaining"))
		if _, err := io.ReadFull(r.Body, make([]byte, firstPart)); err != nil {
			c.log.add("host %s: the proxy broke request %s off in its first part: %v", h.id, id, err)
			return
		}
		time.Sleep(pause)
		rest, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			c.log.add("host %s: the proxy broke request %s off: %v after %d bytes", h.id, id, err, firstPart+rest)
			return
		}
		mu.Lock()
		runs[id] = hostRun{began: true, answered: true}
		mu.Unlock()
		c.log.add("host %s answers request %s with 200 after %d bytes", h.id, id, firstPart+rest)
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
	if err := c.configure(deskConfiguration); err != nil {
		return false, err
	}
	time.Sleep(contactBound) // no trouble for contact-s before the requests
	m := c.machines[0]
	if trouble {
		c.log.add("platform: SIGTERM to the proxy of %s; SIGKILL would follow after %v", m.name, graceBound)
		signal(syscall.SIGTERM, m.proxy)
		time.Sleep(200 * time.Millisecond)
	}
	var wait sync.WaitGroup
	for n := range uploads {
		wait.Go(func() {
			id := fmt.Sprintf("%s-upload-%d", m.name, n)
			sealed := c.upload(m, id)
			mu.Lock()
			defer mu.Unlock()
			if r := runs[id]; r.began && !r.answered && !sealed {
				c.log.add("request %s was broken off while its host was at work on it", id)
				broken = true
			}
		})
	}
	wait.Wait()
	time.Sleep(pause) // the hosts come to the rest of the bodies
	return broken, nil
}

// upload sends one long request that must run at most once, and reports whether it got a complete answer of a host.
func (c *cluster) upload(m *machine, id string) (sealed bool) {
	began := time.Now()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	req, _ := http.NewRequest(http.MethodPost, "http://"+m.address(c.ports.front)+"/issue/1", bytes.NewReader(make([]byte, uploadBytes)))
	req.Host = "desk.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Time-Remaining", "10000")
	c.log.add("client sends request %s to %s", id, m.name)
	resp, err := client.Do(req)
	took := time.Since(began).Seconds()
	if err != nil {
		c.log.add("client: request %s ends without an answer after %.2f s: %v", id, took, err)
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	seal := resp.Header.Get("Server-Seal")
	c.log.add("client: request %s gets %d after %.2f s, Server-Seal %q, %v", id, resp.StatusCode, took, seal, err)
	return seal != "" && err == nil
}
