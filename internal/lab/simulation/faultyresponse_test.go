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

// startFaultyHost starts a host that speaks for itself, at an address that may have been another's; of its requests so many in a hundred
// are answered by each of its quirks.
func (r *faultyHostRun) startFaultyHost(service string, zoneIndex int, address string, faultPercent int, faults ...responseFault) *Host {
	r.Cluster.mu.Lock()
	r.lastHost++
	n := r.lastHost
	r.Cluster.mu.Unlock()
	if address == "" {
		address = fmt.Sprintf("10.%d.64.%d:9000", zoneIndex+1, n)
	}
	host := &Host{cluster: r.Cluster, ID: fmt.Sprintf("i-%04d", n), Service: service, Zone: zoneName(zoneIndex), Version: "v1", Address: address, ServiceTime: r.ServiceTime,
		slots: make(chan struct{}, r.Concurrency), state: "ready", server: &http.Server{}}
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

// serveConn is one connection of such a host.
func (r *faultyHostRun) serveConn(ctx context.Context, host *Host, nc net.Conn, faultPercent int, faults []responseFault) {
	defer nc.Close()
	var mu sync.Mutex // whole answers, whoever sends them
	write := func(text string) {
		mu.Lock()
		defer mu.Unlock()
		io.WriteString(nc, text)
	}
	wait := func(t time.Duration) {
		select {
		case <-time.After(t):
		case <-ctx.Done():
		}
	}
	reader, previousID := bufio.NewReader(nc), "none"
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("Attempt-Id")
		idHeader := "Attempt-Id: " + id + "\r\n"
		if req.ContentLength > sendWindow && r.intn(100) < faultPercent && slices.Contains(faults, earlyRejection) && req.Header.Get("Expected-Instance") == host.ID {
			r.count(responseFaultNames[earlyRejection])
			host.recordArrival(id)
			write("HTTP/1.1 503 Service Unavailable\r\n" + idHeader + "Request-Not-Run: full\r\nContent-Length: 0\r\n\r\n")
			wait(time.Duration(r.intn(400)) * time.Millisecond)
			rest, err := io.ReadAll(req.Body)
			if strings.Trim(string(rest), "b") != "" {
				r.violation("UNASKED: other bytes in the body of %s", id)
			}
			if err != nil {
				return
			}
			continue
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.Header.Get("Expected-Instance") != host.ID {
			r.count("misdirected")
			write("HTTP/1.1 421 Misdirected Request\r\n" + idHeader + "Content-Length: 0\r\n\r\n")
			continue
		}
		host.recordArrival(id)
		fault := responseFaults
		if r.intn(100) < faultPercent {
			fault = faults[r.intn(len(faults))]
			r.count(responseFaultNames[fault])
		}
		rejection := "HTTP/1.1 503 Service Unavailable\r\n" + idHeader + "Request-Not-Run: full\r\nContent-Length: 0\r\n\r\n"
		release := func() {}
		select {
		case host.slots <- struct{}{}:
			release = func() { <-host.slots }
		default: // it has no queue
			fault = rejectedTwice
		}
		switch fault {
		case closedBeforeRun:
			release()
			return
		case rejectedTwice, rejectedTwiceLate:
			release()
			write(rejection)
			if fault == rejectedTwiceLate {
				wait(time.Duration(r.intn(40)) * time.Millisecond)
			}
			write(rejection)
			previousID = id
			continue
		}
		r.Cluster.mu.Lock()
		r.executions[id]++
		host.executions++
		r.Cluster.mu.Unlock()
		wait(host.ServiceTime/2 + time.Duration(r.intn(int(host.ServiceTime))))
		release()
		body := host.ID + " ran " + id
		responseHead := func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + id + "Server-Seal: " + host.ID + "\r\n"
		}
		okResponse := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", responseHead(idHeader), len(body), body)
		switch fault {
		case noResponse:
			continue
		case resetAfterRun:
			nc.(*conn).reset()
			return
		case closedAfterRun:
			return
		case lateResponse:
			wait(time.Duration(500+r.intn(2000)) * time.Millisecond)
			write(okResponse)
		case duplicateResponse:
			write(okResponse + okResponse)
		case lateDuplicate:
			write(okResponse)
			r.background.Go(func() {
				wait(time.Duration(r.intn(300)) * time.Millisecond)
				write(okResponse)
			})
		case truncatedResponse:
			write(okResponse[:r.intn(len(okResponse))])
			return
		case leadingGarbage:
			write("\xff\x00what\r\n\r\n" + okResponse)
		case trailingGarbage:
			write(okResponse + "\r\n\x00")
		case wrongAttemptID:
			write(strings.Replace(okResponse, id, previousID, 1))
		case missingAttemptID:
			write(strings.Replace(okResponse, idHeader, "", 1))
		case protocolSwitch:
			write("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n" + idHeader + "Server-Seal: s\r\n\r\n")
		case interimResponses:
			write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nAttempt-Id: " + previousID + "\r\nRequest-Not-Run: 1\r\n\r\n" + okResponse)
		case chunkedResponse:
			write(fmt.Sprintf("%sTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n%x;y\r\n%s\r\n0\r\nX: 1\r\n\r\n", responseHead(idHeader), len(body), body))
		case unframedReset:
			write(responseHead(idHeader) + "\r\n" + body[:r.intn(len(body))])
			wait(time.Duration(r.intn(10)) * time.Millisecond)
			nc.(*conn).reset()
			return
		case unframedResponse:
			write(responseHead(idHeader) + "\r\n" + body)
			return
		case bare429:
			write("HTTP/1.1 429 Too Many Requests\r\n" + idHeader + "Content-Length: 0\r\n\r\n")
		default:
			write(okResponse)
		}
		previousID = id
	}
}
