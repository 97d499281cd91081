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

// Tally is what became of requests.
type Tally struct {
	mu         sync.Mutex
	Requests   int
	Succeeded  int
	Outcomes   map[string]int
	Slowest    time.Duration
	latencies  []time.Duration
	RateLimits map[string]string // by router: the last RateLimit that it told
}

func (t *Tally) recordRateLimit(router, limit string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.RateLimits == nil {
		t.RateLimits = map[string]string{}
	}
	if limit != "" {
		t.RateLimits[router] = limit
	}
}

// p99 is the time under which 99 in a hundred of those that were served took.
func (t *Tally) p99() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.latencies) == 0 {
		return 0
	}
	slices.Sort(t.latencies)
	return t.latencies[len(t.latencies)*99/100]
}

// Counts tells how many of how many requests were served, and how.
func (t *Tally) Counts() (good, requests int, outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Succeeded, t.Requests, fmt.Sprintf("%v, slowest %v", t.Outcomes, t.Slowest)
}

// GenerateTraffic asks for a route from a zone's clients, so many a second, for a while; each request is one try.
func (cl *Cluster) GenerateTraffic(tally *Tally, zoneIndex int, route Route, perSecond float64, duration time.Duration) {
	cl.background.Go(func() {
		process := cl.Network.Process(fmt.Sprintf("10.%d.200.1", zoneIndex+1))
		client := cl.httpClient(process, 2500*time.Millisecond)
		defer client.CloseIdleConnections()
		var pending sync.WaitGroup
		deadline := time.Now().Add(duration)
		for n := 0; time.Now().Before(deadline); n++ {
			cl.mu.Lock()
			gap := time.Duration(float64(time.Second) / perSecond * (0.5 + cl.rng.Float64()))
			cl.mu.Unlock()
			time.Sleep(gap)
			id := fmt.Sprintf("%s-%d-%d", route.Name, zoneIndex, n)
			address := cl.pickProxy(zoneIndex)
			pending.Go(func() { cl.sendRequest(tally, client, address, route, id) })
		}
		pending.Wait()
	})
}

// pickProxy is a ready router of a zone, or any other, as the directory says.
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

func (cl *Cluster) sendRequest(tally *Tally, client *http.Client, address string, route Route, id string) {
	method := "GET"
	if !route.Idempotent {
		method = "POST"
	}
	req, _ := http.NewRequest(method, "http://"+address+route.Prefix+"x", nil)
	req.Host = "desk.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Time-Remaining", "2000")
	if route.Caller != "" {
		req.Header.Set("X-Agency", route.Caller)
	}
	start := time.Now()
	cl.mu.Lock()
	cl.requests = append(cl.requests, start)
	cl.mu.Unlock()
	outcome, body := "broken", []byte(nil)
	resp, err := client.Do(req)
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		outcome = strconv.Itoa(resp.StatusCode)
		tally.recordRateLimit(address, resp.Header.Get("RateLimit"))
	}
	if err != nil {
		outcome = "broken"
	}
	latency := time.Since(start)
	if outcome == "200" && !strings.HasSuffix(string(body), " ran "+id) {
		cl.violation("MIXED: %s got %q", id, body)
	}
	cl.mu.Lock()
	cl.outcomes[id] = outcome
	cl.mu.Unlock()
	tally.mu.Lock()
	defer tally.mu.Unlock()
	if tally.Outcomes == nil {
		tally.Outcomes = map[string]int{}
	}
	tally.Requests++
	tally.Outcomes[outcome]++
	if outcome == "200" {
		tally.Succeeded++
		tally.latencies = append(tally.latencies, latency)
		tally.Slowest = max(tally.Slowest, latency)
	}
}
