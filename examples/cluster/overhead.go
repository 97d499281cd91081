package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"
)

// This file measures what a router costs a request: the time that it adds to a host's own, and its processor's, beside a
// proxy that does nothing but pass requests on.

const (
	overheadServiceTime = 5 * time.Millisecond // a host's
	overheadRate        = 300                  // requests a second, all through one router
	overheadDuration    = 10 * time.Second
	bareProxyAddress    = "127.7.1.99:8150"
)

// runBareProxy is such a proxy: net/http on both sides, hosts in turn. It runs in a process of its own.
func runBareProxy(hosts []string) error {
	l, err := net.Listen("tcp", bareProxyAddress)
	if err != nil {
		return err
	}
	var turn atomic.Int64
	client := &http.Transport{MaxIdleConnsPerHost: 64}
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := r.Clone(r.Context())
		req.URL.Scheme, req.URL.Host = "http", hosts[int(turn.Add(1))%len(hosts)]
		resp, err := client.RoundTrip(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		io.Copy(w, resp.Body)
	}))
}

// measureOverhead plays the same requests straight at the hosts, through the bare proxy and through a router, twice over in turn.
func measureOverhead(ctx context.Context, router *exec.Cmd, hosts []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	proxy := exec.CommandContext(ctx, self, "-bare", strings.Join(hosts, ","))
	if err := proxy.Start(); err != nil {
		return err
	}
	defer proxy.Wait()
	defer proxy.Process.Kill()
	time.Sleep(300 * time.Millisecond)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "\nTHROUGH\tREQUESTS\tNOT 200\tp50 ms\tp99 ms\tPROCESSOR ms A REQUEST\n")
	for range 2 {
		for _, x := range []struct {
			name    string
			to      []string
			process *exec.Cmd
		}{{"nothing", hosts, nil}, {"bare proxy", []string{bareProxyAddress}, proxy}, {"router", []string{listenAddress(0, proxyPort)}, router}} {
			before := cpuSeconds(x.process)
			latencies, wrong := generateLoad(x.to)
			cpu := cpuSeconds(x.process) - before
			slices.Sort(latencies)
			ms := func(part float64) float64 {
				return float64(latencies[int(part*float64(len(latencies)-1))].Microseconds()) / 1000
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\t%.3f\n", x.name, len(latencies), wrong, ms(0.5), ms(0.99), cpu.Seconds()*1000/float64(len(latencies)))
		}
	}
	return w.Flush()
}

// generateLoad sends requests at an even pace and tells how long each took.
func generateLoad(to []string) (latencies []time.Duration, wrong int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var all sync.WaitGroup
	t := time.NewTicker(time.Second / overheadRate)
	defer t.Stop()
	for n := range int(overheadDuration.Seconds() * overheadRate) {
		<-t.C
		all.Go(func() {
			host := to[n%len(to)]
			req, _ := http.NewRequest("GET", "http://"+host+"/look/1", bytes.NewReader(nil))
			req.Host = "desk.example"
			req.Header.Set("Attempt-Id", strconv.Itoa(n))
			req.Header.Set("Time-Remaining", "2000")
			start := time.Now()
			resp, err := client.Do(req)
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			if latencies = append(latencies, time.Since(start)); !ok {
				wrong++
			}
		})
	}
	all.Wait()
	return latencies, wrong
}

// cpuSeconds is the time that a process has had of the processor, as the system counts it in hundredths of a second.
func cpuSeconds(c *exec.Cmd) time.Duration {
	if c == nil {
		return 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	var ticks int64
	for _, at := range []int{11, 12} { // of the program and of the system for it
		if at < len(fields) {
			n, _ := strconv.ParseInt(fields[at], 10, 64)
			ticks += n
		}
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}
