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

// The overhead of a portflow proxy is measured as the latency and CPU time that it adds to a request, and compared with that of a minimal
// proxy that only forwards requests.
const (
	overheadServiceTime = 5 * time.Millisecond // time that a host takes for a request
	overheadRate        = 300                  // requests per second, all through one proxy
	overheadDuration    = 10 * time.Second
	bareProxyAddress    = "127.7.1.99:8150"
	bareProxyStartTime  = 300 * time.Millisecond
	clockTick           = 10 * time.Millisecond // unit of CPU times in /proc
)

// runBareProxy runs the minimal proxy, which forwards requests to the hosts in turn with net/http. It runs in its own process, so that its
// CPU time can be measured.
func runBareProxy(hosts []string) error {
	l, err := net.Listen("tcp", bareProxyAddress)
	if err != nil {
		return err
	}
	var next atomic.Int64
	client := &http.Transport{MaxIdleConnsPerHost: 64}
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := r.Clone(r.Context())
		req.URL.Scheme, req.URL.Host = "http", hosts[int(next.Add(1))%len(hosts)]
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
		_, _ = io.Copy(w, resp.Body) // on failure the client receives a truncated response
	}))
}

// measureOverhead sends the same requests directly to the hosts, through the minimal proxy and through a portflow proxy, and repeats this once.
func measureOverhead(ctx context.Context, portflowProxy *exec.Cmd, hosts []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	bareProxy := exec.CommandContext(ctx, self, "-bare", strings.Join(hosts, ","))
	if err := bareProxy.Start(); err != nil {
		return err
	}
	defer func() {
		kill(bareProxy)
		_ = bareProxy.Wait() // the error only says that the process was killed
	}()
	time.Sleep(bareProxyStartTime)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "\nTHROUGH\tREQUESTS\tNOT 200\tp50 ms\tp99 ms\tCPU ms PER REQUEST\n")
	for range 2 {
		for _, x := range []struct {
			name      string
			addresses []string
			process   *exec.Cmd
		}{{"nothing", hosts, nil}, {"minimal proxy", []string{bareProxyAddress}, bareProxy}, {"router", []string{listenAddress(0, proxyPort)}, portflowProxy}} {
			before := cpuTime(x.process)
			latencies, failed := generateLoad(x.addresses)
			cpu := cpuTime(x.process) - before
			slices.Sort(latencies)
			ms := func(quantile float64) float64 {
				return float64(latencies[int(quantile*float64(len(latencies)-1))].Microseconds()) / 1000
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\t%.3f\n", x.name, len(latencies), failed, ms(0.5), ms(0.99), cpu.Seconds()*1000/float64(len(latencies)))
		}
	}
	return w.Flush()
}

// generateLoad sends requests at a constant rate, and returns their latencies and the number that failed or had a status other than 200.
func generateLoad(addresses []string) (latencies []time.Duration, failed int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var all sync.WaitGroup
	t := time.NewTicker(time.Second / overheadRate)
	defer t.Stop()
	for n := range int(overheadDuration.Seconds() * overheadRate) {
		<-t.C
		all.Go(func() {
			start := time.Now()
			status, err := sendOnce(client, http.MethodGet, "http://"+addresses[n%len(addresses)]+"/look/1", strconv.Itoa(n))
			latency := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, latency)
			if err != nil || status != http.StatusOK {
				failed++
			}
		})
	}
	all.Wait()
	return latencies, failed
}

// cpuTime returns the user and system CPU time of a process, or 0 if c is nil or the time is not available.
func cpuTime(c *exec.Cmd) time.Duration {
	if c == nil {
		return 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	var ticks int64
	for _, field := range []int{11, 12} { // utime and stime, counted from the state field
		if field < len(fields) {
			n, _ := strconv.ParseInt(fields[field], 10, 64) // 0 if it is not a number
			ticks += n
		}
	}
	return time.Duration(ticks) * clockTick
}
