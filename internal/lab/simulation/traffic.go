package simulation

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	clientTimeout  = 2500 * time.Millisecond
	timeRemaining  = "2000"   // milliseconds; value of the Time-Remaining header in clients' requests
	brokenOutcome  = "broken" // no complete response
	successOutcome = "200"
)

// Tally counts the outcomes of requests. Its zero value is ready to use.
type Tally struct {
	mu         sync.Mutex // guards all fields
	Requests   int
	Succeeded  int
	Outcomes   map[string]int    // by HTTP status, or "broken" without a complete response
	Slowest    time.Duration     // highest latency of a successful request
	latencies  []time.Duration   // of successful requests
	RateLimits map[string]string // by proxy address: last RateLimit header received
}

func (t *Tally) recordRateLimit(proxyAddress, limit string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.RateLimits == nil {
		t.RateLimits = map[string]string{}
	}
	if limit != "" {
		t.RateLimits[proxyAddress] = limit
	}
}

// record adds the outcome and latency of one request.
func (t *Tally) record(outcome string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Outcomes == nil {
		t.Outcomes = map[string]int{}
	}
	t.Requests++
	t.Outcomes[outcome]++
	if outcome == successOutcome {
		t.Succeeded++
		t.latencies = append(t.latencies, latency)
		t.Slowest = max(t.Slowest, latency)
	}
}

// p99 returns the 99th percentile latency of successful requests, or zero without any.
func (t *Tally) p99() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.latencies) == 0 {
		return 0
	}
	slices.Sort(t.latencies)
	return t.latencies[len(t.latencies)*99/100]
}

// Counts returns the number of successful requests, the number of all requests, and a description of the outcomes.
func (t *Tally) Counts() (succeeded, requests int, outcomes string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Succeeded, t.Requests, fmt.Sprintf("%v, slowest %v", t.Outcomes, t.Slowest)
}

// GenerateTraffic sends requests for a route from clients in a zone, at a mean rate and for a duration. Each request has its own attempt
// ID, and clients don't retry. It returns immediately; its goroutines end at most clientTimeout after the last request was sent.
func (cl *Cluster) GenerateTraffic(tally *Tally, zoneIndex int, route Route, perSecond float64, duration time.Duration) {
	cl.background.Go(func() {
		process := cl.Network.Process(fmt.Sprintf("10.%d.200.1", zoneIndex+1))
		client := cl.httpClient(process, clientTimeout)
		defer client.CloseIdleConnections()
		var pending sync.WaitGroup
		deadline := time.Now().Add(duration)
		for n := 0; time.Now().Before(deadline); n++ {
			time.Sleep(cl.drawGap(perSecond))
			id := fmt.Sprintf("%s-%d-%d", route.Name, zoneIndex, n)
			address := cl.pickProxy(zoneIndex)
			pending.Go(func() { cl.sendRequest(tally, client, address, route, id) })
		}
		pending.Wait()
	})
}

// drawGap returns a random interval between two requests, uniform within 50% of the mean.
func (cl *Cluster) drawGap(perSecond float64) time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return time.Duration(float64(time.Second) / perSecond * (0.5 + cl.rng.Float64()))
}

// pickProxy returns the address of a random ready proxy of a zone, or of any zone if the zone has none, as the directory does. If no
// proxy is ready, it returns the first one.
func (cl *Cluster) pickProxy(zoneIndex int) string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var local, all []string
	for _, proxyNode := range cl.Proxies {
		if proxyNode.cancel == nil || !proxyNode.Running.Ready() {
			continue
		}
		all = append(all, proxyNode.Settings.ListenAddresses["front"])
		if proxyNode.Settings.Zone == zoneName(zoneIndex) {
			local = append(local, proxyNode.Settings.ListenAddresses["front"])
		}
	}
	if len(local) > 0 {
		all = local
	}
	if len(all) == 0 {
		return cl.Proxies[0].Settings.ListenAddresses["front"]
	}
	return all[int(cl.rng.Float64()*float64(len(all)))]
}

// sendRequest sends one request and records its outcome. A successful response must name the request's attempt ID.
func (cl *Cluster) sendRequest(tally *Tally, client *http.Client, address string, route Route, id string) {
	req := newRequest(address, route, id)
	start := time.Now()
	cl.recordRequest(start)
	outcome, body := brokenOutcome, []byte(nil)
	resp, err := client.Do(req)
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		outcome = strconv.Itoa(resp.StatusCode)
		tally.recordRateLimit(address, resp.Header.Get("RateLimit"))
	}
	if err != nil {
		outcome = brokenOutcome
	}
	latency := time.Since(start)
	if outcome == successOutcome && !strings.HasSuffix(string(body), " ran "+id) {
		cl.violation("MIXED: attempt %s received the response %q", id, body)
	}
	cl.recordOutcome(id, outcome)
	tally.record(outcome, latency)
}

// newRequest creates the HTTP request for a route and attempt ID.
func newRequest(address string, route Route, id string) *http.Request {
	method := http.MethodGet
	if !route.Idempotent {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+address+route.Prefix+"x", nil)
	if err != nil {
		panic(err) // the route's prefix does not form a valid URL
	}
	req.Host = siteName
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Time-Remaining", timeRemaining)
	if route.Caller != "" {
		req.Header.Set("X-Agency", route.Caller)
	}
	return req
}

func (cl *Cluster) recordRequest(start time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.requests = append(cl.requests, start)
}

func (cl *Cluster) recordOutcome(id, outcome string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.outcomes[id] = outcome
}
