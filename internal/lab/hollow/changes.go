package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"
)

// pendingChange is a configuration change that is being distributed to all routers.
type pendingChange struct {
	pattern   []byte // identifies the change in an encoded batch
	sent      time.Time
	seenAfter []atomic.Int64 // by router index: nanoseconds from sent until received; 0 if not received
}

// recordSeen records when router n receives the pending change, if the batch in body contains it.
func (r *run) recordSeen(n int, body []byte) {
	if p := r.pending.Load(); p != nil && bytes.Contains(body, p.pattern) {
		p.seenAfter[n].CompareAndSwap(0, int64(time.Since(p.sent)))
	}
}

// sendChange sends a change to the control processes in turn, beginning with number first, until one accepts it. A bad request is
// not retried.
func (r *run) sendChange(ctx context.Context, first int, body []byte, limit time.Duration) (err error) {
	controlZones := r.controlZones()
	err = errors.New("no control process was contacted before the deadline")
	for index, deadline := first, time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; index++ {
		zone := controlZones[index%len(controlZones)]
		var status int
		var raw []byte
		if status, raw, err = callRPC(ctx, zone, "configuration.modify", body, limit); err == nil && status == http.StatusOK {
			return nil
		} else if err == nil {
			if err = fmt.Errorf("%d: %s", status, raw); status == http.StatusBadRequest {
				return err
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

func callRPC(ctx context.Context, zone int, call string, body []byte, limit time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+net.JoinHostPort(address(zone, 0), strconv.Itoa(controlPort))+"/-/rpc?call="+call, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, err
}

var routeColumns = []string{"name", "host-name", "path-prefix", "route-kind", "timeout-s", "target-s", "priority-level", "service", "maximum-attempts", "version"}

func (r *run) routeRow(name string, n, version int) []any {
	return []any{name, fmt.Sprintf("desk-%02d.example", n%40), "/" + name, "safe_method", 2, 0.8, 1, fmt.Sprintf("service-%03d", n%r.Services), 2, fmt.Sprintf("%08x", version)}
}

func (r *run) routeChange(name string, n, version int) []byte {
	return changeBody("routes", routeColumns, [][]any{r.routeRow(name, n, version)})
}

func changeBody(kind string, columns []string, rows [][]any) []byte {
	raw, _ := json.Marshal(map[string]any{"set-items": map[string]any{kind: map[string]any{"table-columns": columns, "table-rows": rows}}})
	return raw
}

const rowsPerChange = 1000

// configure creates the services, routes and quotas, at most rowsPerChange in one change.
func (r *run) configure(ctx context.Context, result *Result) error {
	var services, routes, quotas [][]any
	for n := range r.Services {
		services = append(services, []any{fmt.Sprintf("service-%03d", n), "/health", 140, "h1", false, 3, 20, "00000001"})
	}
	for n := range r.Routes {
		routes = append(routes, r.routeRow(fmt.Sprintf("route-%04d", n), n, 1))
	}
	for n := range r.Quotas {
		quotas = append(quotas, []any{fmt.Sprintf("share-%05d", n), fmt.Sprintf("service-%03d", n%r.Services), "X-Tenant", fmt.Sprintf("tenant-%05d", n), 1, 10, "00000001"})
	}
	for _, table := range []struct {
		kind    string
		columns []string
		rows    [][]any
	}{{"services", []string{"name", "health-path", "connection-limit", "protocol", "transport-security", "cold-start-s", "cold-per-s", "version"}, services},
		{"routes", routeColumns, routes}, {"shares", []string{"name", "service", "caller-header", "caller", "per-s", "burst", "version"}, quotas}} {
		for rows := range slices.Chunk(table.rows, rowsPerChange) {
			sentAt := time.Now()
			if err := r.sendChange(ctx, 0, changeBody(table.kind, table.columns, rows), time.Minute); err != nil {
				return fmt.Errorf("%s: %w", table.kind, err)
			}
			if elapsed := time.Since(sentAt); elapsed > 2*time.Second {
				result.Failures = append(result.Failures, fmt.Sprintf("configuring %d %s took %.1f s, more than 2 s", len(rows), table.kind, elapsed.Seconds()))
			}
		}
	}
	return nil
}
