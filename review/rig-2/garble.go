package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// garbledAnswers: hosts in all the troubles that the pages name for answers and connections, and clients that compare what they get and what ran.
// It looks for MIXED, TWICE, REFUSED and UNASKED.
func garbledAnswers(rec *record, trouble bool) (int, string) {
	c, err := startCluster(rec, []string{"r1", "r1", "r2"})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return failed, err.Error()
	}
	g := &garbler{c: c, trouble: trouble, runs: map[string]int{}, refused: map[string]int{}, outcomes: map[string]int{}, said: map[string]string{}}
	for n := range 6 {
		h, err := g.start(c.machines[n%3], n)
		if err != nil {
			return failed, err.Error()
		}
		defer h.Close()
	}
	if err := c.configure(1000); err != nil {
		return failed, err.Error()
	}
	if err := c.awaitReady(); err != nil {
		return failed, err.Error()
	}
	time.Sleep(5 * time.Second)
	seconds := 40.0
	if s := os.Getenv("SECONDS_OF_LOAD"); s != "" {
		seconds, _ = strconv.ParseFloat(s, 64)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(seconds*float64(time.Second)))
	defer cancel()
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() { g.client(ctx, c.machines[i%3]) })
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	twice, refused := 0, 0
	for id, n := range g.runs {
		if n > 1 && strings.HasPrefix(id, "u") {
			twice++
			rec.printf("TWICE %s ran %d times", id, n)
		}
	}
	for id, status := range g.refused {
		if g.runs[id] > 0 && strings.HasPrefix(id, "u") {
			refused++
			rec.printf("REFUSED %s got %d and ran", id, status)
		}
	}
	why := fmt.Sprintf("twice %d, refused %d, mixed %d, unasked %d; %v", twice, refused, g.mixed, g.unasked, g.outcomes)
	if twice+refused+g.mixed+g.unasked > 0 {
		return broken, why
	}
	return held, why
}

type garbler struct {
	c       *cluster
	trouble bool
	next    atomic.Int64

	mu       sync.Mutex
	runs     map[string]int
	refused  map[string]int
	outcomes map[string]int
	said     map[string]string // status that the host gave, by seal
	mixed    int
	unasked  int
}

func (g *garbler) start(m *machine, n int) (net.Listener, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", g.c.prefix, 100+n))
	if err != nil {
		return nil, err
	}
	h := &host{id: fmt.Sprintf("i-%s-%d", m.zone, n), zone: m.zone, address: ln.Addr().String(), service: "desk", beat: make(chan struct{}, 1)}
	h.setVersion("v1")
	go g.c.heartbeats(context.Background(), h, m)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go g.serve(h, conn.(*net.TCPConn))
		}
	}()
	return ln, nil
}

func digest(b []byte) string { s := sha256.Sum256(b); return hex.EncodeToString(s[:8]) }

func (g *garbler) serve(h *host, conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 64<<10)
	reset := func() { _ = conn.SetLinger(0) }
	for n := 0; ; n++ {
		if g.trouble && n > 0 && rand.IntN(150) == 0 { // forgets an idle connection: what is sent next is reset
			in.Peek(1)
			reset()
			return
		}
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("Attempt-Id")
		kind := 100
		if g.trouble {
			kind = rand.IntN(400)
		}
		if expected := req.Header.Get("Expected-Instance"); expected != h.id {
			io.Copy(io.Discard, req.Body)
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if kind == 1 {
			io.Copy(io.Discard, req.Body)
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if kind == 2 && req.ContentLength > 64<<10 { // turned away before the body is in; the rest is read on later
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			g.check(req, body)
			continue
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if kind == 3 { // breaks before it runs
			reset()
			return
		}
		g.check(req, body)
		g.mu.Lock()
		g.runs[id]++
		g.mu.Unlock()
		time.Sleep(time.Duration(rand.IntN(15)) * time.Millisecond)
		size := 200 + rand.IntN(3000)
		if rand.IntN(12) == 0 {
			size = 100_000 + rand.IntN(2_000_000)
		}
		answer := make([]byte, size)
		for i := range answer {
			answer[i] = byte('a' + (i*7+size)%26)
		}
		status := "200 OK"
		if kind >= 4 && kind <= 6 {
			status = []string{"500 Internal Server Error", "504 Gateway Timeout", "404 Not Found"}[kind-4]
		}
		if kind == 7 || kind == 8 {
			status = []string{"503 Service Unavailable", "429 Too Many Requests"}[kind-7]
		}
		seal := fmt.Sprintf("%s.%s.%d.%s", h.id, id, rand.IntN(1e9), digest(answer))
		g.mu.Lock()
		g.said[seal] = status[:3]
		g.mu.Unlock()
		head := fmt.Sprintf("HTTP/1.1 %s\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\n", status, id, seal)
		var whole bytes.Buffer
		framing := rand.IntN(3)
		if !g.trouble && framing == 2 {
			framing = 0
		}
		switch framing {
		case 0:
			fmt.Fprintf(&whole, "%sContent-Length: %d\r\n\r\n%s", head, len(answer), answer)
		case 1:
			fmt.Fprintf(&whole, "%sTransfer-Encoding: chunked\r\n\r\n", head)
			for rest := answer; len(rest) > 0; {
				k := min(len(rest), 1+rand.IntN(50_000))
				fmt.Fprintf(&whole, "%x\r\n%s\r\n", k, rest[:k])
				rest = rest[k:]
			}
			whole.WriteString("0\r\n\r\n")
		case 2:
			if rand.IntN(6) > 0 {
				framing = 0
				fmt.Fprintf(&whole, "%sContent-Length: %d\r\n\r\n%s", head, len(answer), answer)
			} else {
				fmt.Fprintf(&whole, "%s\r\n%s", head, answer)
			}
		}
		raw := whole.Bytes()
		switch kind {
		case 10: // the answer is lost
			reset()
			return
		case 11: // silence, then the end
			time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			return
		case 12, 13: // ends early
			if framing == 2 && kind == 13 {
				kind = 12
			}
			conn.Write(raw[:rand.IntN(len(raw))])
			if kind == 12 {
				if rand.IntN(2) == 0 {
					time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
				}
				reset()
			} else {
				if framing == 2 {
					reset()
				}
			}
			return
		case 14:
			conn.Write([]byte("%%% no answer at all\r\n\r\n"))
			return
		case 15: // no seal
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
			continue
		case 16, 17, 18: // a surplus answer at once
			if framing != 2 {
				conn.Write(append(bytes.Clone(raw), raw...))
				continue
			}
		case 19, 20, 21, 22: // a surplus answer later, in the place of the next
			if framing != 2 {
				conn.Write(raw)
				time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
				conn.Write(raw)
				continue
			}
		case 23: // a surplus piece
			if framing != 2 {
				conn.Write(append(bytes.Clone(raw), "abc"...))
				continue
			}
		case 24:
			if framing != 2 {
				conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
		}
		if rand.IntN(4) == 0 { // in pieces
			k := rand.IntN(len(raw))
			conn.Write(raw[:k])
			time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
			conn.Write(raw[k:])
		} else {
			conn.Write(raw)
		}
		if framing == 2 {
			return
		}
	}
}

// check compares a request with what the client said that it sent.
func (g *garbler) check(req *http.Request, body []byte) {
	if want := req.Header.Get("X-Sent"); want != req.Method+" "+req.RequestURI+" "+digest(body) {
		g.mu.Lock()
		g.unasked++
		g.mu.Unlock()
		g.c.rec.printf("UNASKED %s: got %s %s %s, sent %s", req.Header.Get("Attempt-Id"), req.Method, req.RequestURI, digest(body), want)
	}
}

func (g *garbler) client(ctx context.Context, m *machine) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		method, prefix, kind := "GET", "/look/", "s"
		var body []byte
		if rand.IntN(2) == 0 {
			method, prefix, kind = "POST", "/issue/", "u"
			size := rand.IntN(2000)
			if rand.IntN(10) == 0 {
				size = rand.IntN(500_000)
			}
			body = bytes.Repeat([]byte{byte('A' + rand.IntN(26)), byte('a' + rand.IntN(26)), 'x'}, size/3)
		}
		id := fmt.Sprintf("%s%012x", kind, g.next.Add(1))
		target := fmt.Sprintf("%s%d/%%41?q=%d&r=%%20", prefix, rand.IntN(1000), rand.IntN(1000))
		tryCtx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		if rand.IntN(40) == 0 { // the client gives up early
			tryCtx, cancel = context.WithTimeout(context.Background(), time.Duration(rand.IntN(30))*time.Millisecond)
		}
		var reader io.Reader = bytes.NewReader(body)
		if len(body) > 0 && rand.IntN(3) == 0 {
			reader = io.MultiReader(reader) // sent in chunks
		}
		req, _ := http.NewRequestWithContext(tryCtx, method, "http://"+m.front()+target, reader)
		req.Host = "desk.example"
		req.Header.Set("Attempt-Id", id)
		req.Header.Set("Time-Remaining", "1500")
		req.Header.Set("X-Sent", method+" "+target+" "+digest(body))
		req.Close = rand.IntN(10) == 0
		outcome := g.try(transport, req, id)
		cancel()
		g.mu.Lock()
		g.outcomes[outcome]++
		g.mu.Unlock()
	}
}

func (g *garbler) try(transport *http.Transport, req *http.Request, id string) string {
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "none"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut"
	}
	seal := resp.Header.Get("Server-Seal")
	fault := ""
	g.mu.Lock()
	said := g.said[seal]
	if strings.HasPrefix(id, "u") && (resp.StatusCode == 503 || resp.StatusCode == 429 || resp.StatusCode == 408 || resp.StatusCode == 421) {
		g.refused[id] = resp.StatusCode
	}
	g.mu.Unlock()
	switch {
	case resp.StatusCode < 300 && seal == "":
		fault = "success without a seal"
	case seal != "" && said != strconv.Itoa(resp.StatusCode):
		fault = "status " + strconv.Itoa(resp.StatusCode) + " with the seal of an answer with status " + said
	case seal != "" && strings.Split(seal, ".")[1] != id:
		fault = "answer of another request: " + seal
	case resp.StatusCode < 300 && !strings.HasSuffix(seal, "."+digest(body)):
		fault = fmt.Sprintf("body of %d bytes is not the host's: %s", len(body), seal)
	case resp.StatusCode < 300 && resp.Header.Get("Attempt-Id") != id:
		fault = "another Attempt-Id"
	}
	if fault != "" {
		g.mu.Lock()
		g.mixed++
		g.mu.Unlock()
		g.c.rec.printf("MIXED %s: %s", id, fault)
	}
	return strconv.Itoa(resp.StatusCode)
}
