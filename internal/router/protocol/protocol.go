// Package protocol is what the present router says to hosts: commands, their answers and load reports. The connections are
// those of internal/upstream.
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

// Protocol is the protocol. Report names the values of load reports, none where there are none.
type Protocol struct{ ReportFields []string }

// ReadAnswer reads an answer whole.
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

// NewRequest is the command on the wire. http.Transport sends again by itself what has a body that it can have anew,
// and an empty one counts as such: a body that can't be rewound stops that.
func (Protocol) NewRequest(to dispatch.Host, r *dispatch.Request, timeout time.Duration) *http.Request {
	req := &http.Request{Method: r.Method, URL: &url.URL{Scheme: "http", Host: to.Address, Opaque: r.Target}, Host: to.Address,
		Header: http.Header{"X-Trace-Id": {r.TraceID}, "User-Agent": nil,
			"X-Expires-In": {strconv.FormatInt(max(0, timeout.Milliseconds()), 10) + "m"}},
		Body: io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body))}
	if r.IdempotencyKey != "" {
		req.Header["idempotency-key"] = []string{r.IdempotencyKey} // in this spelling it is no leave to send again
	}
	if len(r.Body) == 0 && r.Method != http.MethodGet {
		req.Body = http.NoBody // else it would go out in chunks
	}
	return req
}

// fieldAliases are other names of a report's values, as hosts write them.
var fieldAliases = map[string]string{"concurrent": "inflight", "depth": "queue", "load_share": "util", "mean_ms": "latency_ms",
	"tps": "qps", "err_ps": "eps"}

// parseLoadReport reads a load report, "TEXT name=value, name=value"; one that lacks a value says nothing.
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
