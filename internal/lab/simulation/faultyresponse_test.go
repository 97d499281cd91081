package simulation

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// startFaultyHost starts a host that writes raw responses, at the given address or, if that is empty, at a new one. It applies one of
// the faults to faultPercent of its requests.
func (r *faultyHostRun) startFaultyHost(service string, zoneIndex int, address string, faultPercent int, faults ...responseFault) *Host {
	r.Cluster.mu.Lock()
	r.lastMachine++
	n := r.lastMachine
	r.Cluster.mu.Unlock()
	if address == "" {
		address = fmt.Sprintf("10.%d.64.%d:9000", zoneIndex+1, n)
	}
	host := &Host{
		cluster:     r.Cluster,
		ID:          fmt.Sprintf("i-%04d", n),
		Service:     service,
		Zone:        zoneName(zoneIndex),
		Version:     "v1",
		Address:     address,
		ServiceTime: r.ServiceTime,
		slots:       make(chan struct{}, r.Concurrency),
		state:       "ready",
		server:      &http.Server{},
	}
	host.process = r.Network.Process(host.IP())
	ctx, cancel := context.WithCancel(r.ctx)
	host.cancel = cancel
	ln, err := host.process.Listen(address)
	if err != nil {
		panic(err)
	}
	r.Cluster.mu.Lock()
	r.Hosts = append(r.Hosts, host)
	r.Cluster.mu.Unlock()
	r.background.Go(func() { host.sendHeartbeats(ctx, zoneIndex) })
	r.background.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.background.Go(func() { r.serveConn(ctx, host, c, faultPercent, faults) })
		}
	})
	return host
}

// faultyConn is a connection to a faulty host.
type faultyConn struct {
	*faultyHostRun
	ctx          context.Context
	host         *Host
	conn         net.Conn
	faultPercent int
	faults       []responseFault

	writeMu    sync.Mutex // held for a complete response, as two goroutines write them
	previousID string     // ID of the attempt that was answered last
}

// serveConn serves a connection to a faulty host until it ends.
func (r *faultyHostRun) serveConn(ctx context.Context, host *Host, nc net.Conn, faultPercent int, faults []responseFault) {
	defer nc.Close()
	c := &faultyConn{faultyHostRun: r, ctx: ctx, host: host, conn: nc, faultPercent: faultPercent, faults: faults, previousID: "none"}
	reader := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil || !c.serve(req) {
			return
		}
	}
}

// write writes a complete or partial response.
func (c *faultyConn) write(text string) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, _ = io.WriteString(c.conn, text) // after an error the next read fails too
}

// wait waits for a duration, or until the host stops.
func (c *faultyConn) wait(duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-c.ctx.Done():
	}
}

// waitUpTo waits for a random time below a number of milliseconds.
func (c *faultyConn) waitUpTo(millis int) { c.wait(time.Duration(c.intn(millis)) * time.Millisecond) }

func (c *faultyConn) reset() { c.conn.(*conn).reset() }

func idHeader(id string) string { return "Attempt-Id: " + id + "\r\n" }

func rejection(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + idHeader(id) + "Request-Not-Run: full\r\nContent-Length: 0\r\n\r\n"
}

// serve answers one request, and reports whether the connection stays open.
func (c *faultyConn) serve(req *http.Request) bool {
	id := req.Header.Get("Attempt-Id")
	expected := req.Header.Get("Expected-Instance") == c.host.ID
	if req.ContentLength > sendWindow && c.intn(100) < c.faultPercent && slices.Contains(c.faults, earlyRejection) && expected {
		return c.rejectEarly(req, id)
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	if !expected {
		c.count("misdirected")
		c.write("HTTP/1.1 421 Misdirected Request\r\n" + idHeader(id) + "Content-Length: 0\r\n\r\n")
		return true
	}
	c.host.recordArrival(id)
	fault := responseFaultCount
	if c.intn(100) < c.faultPercent {
		fault = c.faults[c.intn(len(c.faults))]
		c.count(responseFaultNames[fault])
	}
	release := func() {}
	select {
	case c.host.slots <- struct{}{}:
		release = func() { <-c.host.slots }
	default: // hosts don't queue requests
		fault = rejectedTwice
	}
	switch fault {
	case closedBeforeRun:
		release()
		return false
	case rejectedTwice, rejectedTwiceLate:
		release()
		c.rejectTwice(id, fault == rejectedTwiceLate)
		return true
	}
	c.execute(id)
	release()
	return c.respond(fault, id)
}

// rejectEarly rejects a request before its body has arrived, and then reads the body.
func (c *faultyConn) rejectEarly(req *http.Request, id string) bool {
	c.count(responseFaultNames[earlyRejection])
	c.host.recordArrival(id)
	c.write(rejection(id))
	c.waitUpTo(400)
	rest, err := io.ReadAll(req.Body)
	if strings.Trim(string(rest), "b") != "" {
		c.violation("UNASKED: unexpected bytes in the body of %s", id)
	}
	return err == nil
}

// rejectTwice sends two rejections for one request.
func (c *faultyConn) rejectTwice(id string, late bool) {
	c.write(rejection(id))
	if late {
		c.waitUpTo(40)
	}
	c.write(rejection(id))
	c.previousID = id
}

// execute simulates running a request, and records it.
func (c *faultyConn) execute(id string) {
	c.Cluster.mu.Lock()
	c.executions[id]++
	c.host.executions++
	c.Cluster.mu.Unlock()
	c.wait(c.host.ServiceTime/2 + time.Duration(c.intn(int(c.host.ServiceTime))))
}

// respond sends the response to a request that has run, altered by the fault, and reports whether the connection stays open.
func (c *faultyConn) respond(fault responseFault, id string) bool {
	body := c.host.ID + " ran " + id
	header := "HTTP/1.1 200 OK\r\n" + idHeader(id) + "Server-Seal: " + c.host.ID + "\r\n"
	okResponse := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	switch fault {
	case noResponse:
		return true
	case resetAfterRun:
		c.reset()
		return false
	case closedAfterRun:
		return false
	case truncatedResponse:
		c.write(okResponse[:c.intn(len(okResponse))])
		return false
	case unframedReset:
		c.write(header + "\r\n" + body[:c.intn(len(body))])
		c.waitUpTo(10)
		c.reset()
		return false
	case unframedResponse:
		c.write(header + "\r\n" + body)
		return false
	case chunkedResponse:
		c.write(fmt.Sprintf("%sTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n%x;y\r\n%s\r\n0\r\nX: 1\r\n\r\n", header, len(body), body))
	case lateResponse:
		c.wait(time.Duration(500+c.intn(2000)) * time.Millisecond)
		c.write(okResponse)
	case lateDuplicate:
		c.write(okResponse)
		c.background.Go(func() {
			c.waitUpTo(300)
			c.write(okResponse)
		})
	default:
		c.write(c.alteredResponse(fault, id, okResponse))
	}
	c.previousID = id
	return true
}

// alteredResponse applies a fault that consists of a single write to a valid response. Without such a fault it returns the response
// unchanged.
func (c *faultyConn) alteredResponse(fault responseFault, id, okResponse string) string {
	switch fault {
	case duplicateResponse:
		return okResponse + okResponse
	case leadingGarbage:
		return "\xff\x00what\r\n\r\n" + okResponse
	case trailingGarbage:
		return okResponse + "\r\n\x00"
	case wrongAttemptID:
		return strings.Replace(okResponse, id, c.previousID, 1)
	case missingAttemptID:
		return strings.Replace(okResponse, idHeader(id), "", 1)
	case protocolSwitch:
		return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n" + idHeader(id) + "Server-Seal: s\r\n\r\n"
	case interimResponses:
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + idHeader(c.previousID) + "Request-Not-Run: 1\r\n\r\n" + okResponse
	case bare429:
		return "HTTP/1.1 429 Too Many Requests\r\n" + idHeader(id) + "Content-Length: 0\r\n\r\n"
	}
	return okResponse
}
