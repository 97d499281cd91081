// Package protocol implements the HTTP protocol between a standalone router and hosts: requests, responses and load reports. The
// connections are managed by internal/upstream.
package protocol

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
)

// Protocol implements upstream.Protocol. ReportFields are the names of the load report values that are read from responses, in the
// order of dispatch.Outcome.LoadReport; if empty, load reports are ignored.
type Protocol struct{ ReportFields []string }

// ReadAnswer implements upstream.Protocol. A status of 503 or 504 with X-Never-Ran is a rejection: the host has not run the request.
// Any other status but 200 is a failure.
func (p Protocol) ReadAnswer(_ *dispatch.Request, resp *http.Response) (dispatch.Outcome, error) {
	body, err := dispatch.ReadBody(resp.Body, resp.ContentLength)
	if err != nil {
		return dispatch.Outcome{}, err
	}
	outcome := dispatch.Outcome{Result: decision.Failed, LoadReport: p.parseLoadReport(resp.Header.Get("Endpoint-Load-Metrics"))}
	switch code := resp.StatusCode; {
	case code == http.StatusOK:
		outcome.Result, outcome.Body = decision.Succeeded, body
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Never-Ran") == "1":
		outcome.Result = decision.Rejected
	}
	return outcome, nil
}

// NewRequest implements upstream.Protocol. http.Transport may resend a request by itself if it has no body or one that can be rewound.
// Therefore even a GET request has a non-nil body, and GetBody is nil.
func (Protocol) NewRequest(to dispatch.Host, r *dispatch.Request, timeout time.Duration) *http.Request {
	req := &http.Request{Method: r.Method, URL: &url.URL{Scheme: "http", Host: to.Address, Opaque: r.Target}, Host: to.Address,
		Header: http.Header{"X-Trace-Id": {r.TraceID}, "User-Agent": nil,
			"X-Expires-In": {strconv.FormatInt(max(0, timeout.Milliseconds()), 10) + "m"}},
		Body: io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body))}
	if r.IdempotencyKey != "" {
		req.Header["idempotency-key"] = []string{r.IdempotencyKey} // not canonical, as http.Transport may resend requests with Idempotency-Key
	}
	if len(r.Body) == 0 && r.Method != http.MethodGet {
		req.Body = http.NoBody // any other empty body would be sent chunked
	}
	return req
}

// fieldAliases has the names that hosts may use in load reports instead of those in the settings.
var fieldAliases = map[string]string{"concurrent": "inflight", "depth": "queue", "load_share": "util", "mean_ms": "latency_ms",
	"tps": "qps", "err_ps": "eps"}

// parseLoadReport parses a load report of the form "TEXT name=value, name=value". It returns nil if any of ReportFields is missing
// or cannot be parsed.
func (p Protocol) parseLoadReport(text string) []float64 {
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok || len(p.ReportFields) == 0 {
		return nil
	}
	values := map[string]float64{}
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = v
		}
	}
	var report []float64
	for _, name := range p.ReportFields {
		v, ok := values[name]
		if !ok {
			v, ok = values[fieldAliases[name]]
		}
		if !ok {
			return nil
		}
		report = append(report, v)
	}
	return report
}
