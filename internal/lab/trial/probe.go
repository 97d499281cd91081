package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxProbes    = 60               // names that each proxy is asked for
	probeTimeout = 10 * time.Second // for a proxy to route as configured, after the last change and restart: contact-s plus configuration-s and a margin
	probePause   = 200 * time.Millisecond
	probeLimit   = 2 * time.Second // for one request
)

// Expectation is whether a route is in force according to what was acknowledged.
type Expectation struct {
	Name    string
	InForce bool
}

// ExpectedRoutes returns the routes whose newest version was acknowledged, sorted by name.
func (c *Changes) ExpectedRoutes() (all []Expectation) {
	for key, h := range c.items {
		if key.Kind == "routes" && h.hasAcknowledged && !h.hasNewerPending() {
			all = append(all, Expectation{Name: key.Name, InForce: !h.acknowledged.Dropped})
		}
	}
	slices.SortFunc(all, func(a, b Expectation) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// hasNewerPending reports whether a version above the acknowledged one may be in force.
func (h *itemHistory) hasNewerPending() bool {
	return slices.ContainsFunc(h.pending, func(i Item) bool { return i.Version > h.acknowledged.Version })
}

// probeProxies sends requests on dropped and existing routes to each proxy, until all are routed as acknowledged. It records a violation for
// each proxy that isn't within probeTimeout.
func (r *rig) probeProxies(ctx context.Context) {
	r.operators.mu.Lock()
	expected := r.operators.changes.ExpectedRoutes()
	r.operators.mu.Unlock()
	if len(expected) > maxProbes {
		r.rng(probeStream).Shuffle(len(expected), func(i, j int) { expected[i], expected[j] = expected[j], expected[i] })
		expected = expected[:maxProbes]
	}
	began := time.Now()
	var probing sync.WaitGroup
	for _, p := range r.proxies {
		probing.Go(func() {
			for wrong := "unknown"; wrong != ""; {
				if wrong = r.wrongRoute(ctx, p, expected); wrong == "" || time.Since(began) > probeTimeout {
					r.recordProbe(p, wrong)
					return
				}
				wait(ctx, probePause)
			}
		})
	}
	probing.Wait()
	r.progress(fmt.Sprintf("%d routes probed at %d proxies within %v", len(expected), len(r.proxies), time.Since(began).Round(time.Millisecond)))
}

func (r *rig) recordProbe(p *process, wrong string) {
	if wrong != "" {
		r.violate(Violation{"CONFIGURATION: a proxy does not route as acknowledged", p.name + ": " + wrong})
	}
}

// wrongRoute returns a description of the first route that a proxy doesn't route as expected, or "".
func (r *rig) wrongRoute(ctx context.Context, p *process, expected []Expectation) string {
	for _, e := range expected {
		status, err := r.probe(ctx, p, e.Name)
		switch {
		case err != nil:
			return fmt.Sprintf("%s: %v", e.Name, err)
		case e.InForce != (status != http.StatusNotFound):
			return fmt.Sprintf("%s: status %d, in force: %v", e.Name, status, e.InForce)
		}
	}
	return ""
}

// probe sends one request on a route and returns the status of the response.
func (r *rig) probe(ctx context.Context, p *process, route string) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	url := "http://" + addressOf(p.ip, frontPort) + requestPath(r.prefixOf(route), 0, 1)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, err
	}
	req.Host = siteName
	req.Header.Set("Attempt-Id", fmt.Sprintf("probe-%016x", rand.Uint64()))
	req.Header.Set("Time-Remaining", fmt.Sprint(probeLimit.Milliseconds()))
	resp, err := r.http.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// prefixOf returns the path prefix of a route.
func (r *rig) prefixOf(route string) string {
	for _, known := range r.traffic {
		if known.name == route {
			return known.prefix
		}
	}
	return idlePrefix(route)
}
