package simulation

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// httpClient returns a client that dials from process p. Each request times out after limit; zero means no timeout.
func (cl *Cluster) httpClient(p *Process, limit time.Duration) *http.Client {
	return &http.Client{
		Timeout:   limit,
		Transport: &http.Transport{DialContext: p.Dial, DisableCompression: true, IdleConnTimeout: 5 * time.Second},
	}
}

// callRPC sends one call to the control process at address and returns the HTTP status and the response body.
func callRPC(ctx context.Context, client *http.Client, address, call, target string, body []byte) (int, []byte, error) {
	url := "http://" + address + "/-/rpc?call=" + call + "&of=" + target
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, err
}

// Call sends an operator's call to the control processes in turn, beginning with index first, until one returns a final status. It
// returns that status, the index of the control process and its reply, or 0, -1 and nil if there was none within limit.
func (cl *Cluster) Call(call, target string, body []byte, limit time.Duration, first int) (status, answeredBy int, reply []byte) {
	client := cl.httpClient(cl.Network.Process(operatorAddress), operatorTimeout)
	defer client.CloseIdleConnections()
	deadline := time.Now().Add(limit)
	for index := first; time.Now().Before(deadline); index = (index + 1) % len(cl.Controls) {
		address := cl.Controls[index].Settings.ListenAddresses["control"]
		status, raw, err := callRPC(cl.ctx, client, address, call, target, body)
		if err == nil && isFinal(status) {
			return status, index, raw
		}
		time.Sleep(operatorRetryPause)
	}
	return 0, -1, nil
}

// isFinal reports whether a response with this status completes a call, so that it is not sent to another control process.
func isFinal(status int) bool {
	switch status {
	case http.StatusOK, http.StatusBadRequest, http.StatusConflict, http.StatusNotFound:
		return true
	}
	return false
}

const (
	operatorAddress    = "10.200.0.1"
	operatorTimeout    = time.Second // for a call to one control process
	operatorRetryPause = 50 * time.Millisecond

	siteName = "desk.example"
)

// Route describes a route of the cluster's configuration and the clients that use it.
type Route struct {
	Name, Prefix, Service, Version string
	Idempotent                     bool
	Caller                         string // value of the X-Agency header in the clients' requests; empty for no header
}

// itemTable is the JSON encoding of a list of configuration items.
type itemTable struct {
	Columns []string `json:"table-columns"`
	Rows    [][]any  `json:"table-rows"`
}

// ChangeBody returns the body of a configuration change that sets the routes. If services is set, it also sets the limits and all
// services of the layout.
func (cl *Cluster) ChangeBody(services bool, routes ...Route) []byte {
	items := map[string]any{"routes": routeTable(routes)}
	if services {
		items["services"] = cl.serviceTable()
		items["limits"] = map[string]any{
			"header-bytes": 16384, "body-bytes": 1 << 20, "header-timeout-s": 3, "idle-timeout-s": 15, "version": "00000001",
		}
	}
	return mustMarshal(map[string]any{"set-items": items, "drop-names": map[string]any{"routes": []any{}}})
}

func routeTable(routes []Route) itemTable {
	table := itemTable{
		Columns: []string{
			"name", "host-name", "path-prefix", "route-kind", "timeout-s", "target-s", "priority-level", "service", "maximum-attempts", "version",
		},
		Rows: [][]any{},
	}
	for _, r := range routes {
		kind := "unsafe_method"
		if r.Idempotent {
			kind = "safe_method"
		}
		table.Rows = append(table.Rows, []any{r.Name, siteName, r.Prefix, kind, 2, 0.8, 1, r.Service, 2, r.Version})
	}
	return table
}

func (cl *Cluster) serviceTable() itemTable {
	table := itemTable{
		Columns: []string{
			"name", "health-path", "connection-limit", "protocol", "transport-security", "cold-start-s", "cold-per-s", "version",
		},
		Rows: [][]any{},
	}
	for _, s := range cl.Services {
		table.Rows = append(table.Rows, []any{s, "/health", 140, "h1", false, 3, ColdRequestsPerSecond, "00000001"})
	}
	return table
}
