package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"time"

	"portflow/internal/dispatch"
)

const (
	headersIn = 10 * time.Second // a platform that is silent answers when it comes back: no need to ask often
	restIn    = time.Second / 2  // for the rest of an answer's head after its first byte: one cut short never comes
	silentFor = 2 * time.Second  // two signs of life, of which one comes every second; a line cut short never ends
)

var errSilent = errors.New("silent for too long")

type line struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

type report struct {
	Unit    string `json:"unit"`
	Product string `json:"product"`
	OldMs   int64  `json:"old_ms"`
}

// Run follows the news until the context ends, on one connection after another. A move ends the present one.
func (p *Platform) Run(ctx context.Context) { p.address.Run(ctx, p.stay) }

// stay follows the news at one address.
func (p *Platform) stay(ctx context.Context, at string) {
	for failures := 0; ctx.Err() == nil; {
		told, err := p.follow(ctx, at)
		if told {
			failures = 0
		}
		if failures++; ctx.Err() == nil && failures == 1 {
			p.log.Warn().Err(err).Msg("platform's news")
		}
		p.waits.Wait(ctx, failures)
	}
}

// follow reads one connection's news; told says that some came.
func (p *Platform) follow(ctx context.Context, at string) (told bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(headersIn, func() { cancel(errSilent) })
	defer silence.Stop()
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { silence.Reset(restIn) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, api(at)+"watch", nil)
	if err != nil {
		return false, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	silence.Reset(silentFor)
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, largest)
	for lines.Scan() {
		silence.Reset(silentFor)
		if err := p.tell(lines.Bytes()); err != nil {
			return told, fmt.Errorf("line that can't be read: %w", err) // nor can what comes after it
		}
		told = true
	}
	if cause := context.Cause(ctx); cause != nil {
		return told, cause
	}
	if err := lines.Err(); err != nil {
		return told, err
	}
	return told, fmt.Errorf("stream ended")
}

// tell posts what a line says; one that says nothing is a sign of life.
func (p *Platform) tell(raw []byte) error {
	var l line
	if err := json.Unmarshal(raw, &l); err != nil {
		return err
	}
	switch l.Type {
	case "":
	default:
		return fmt.Errorf("type %q is unknown", l.Type)
	case "news":
		n, err := DecodeNews(l.Object)
		if err != nil {
			return err
		}
		p.post(n)
	case "report":
		var r report
		if err := json.Unmarshal(l.Object, &r); err != nil {
			return err
		}
		band := p.band(r.Product)
		if band < 0 {
			return fmt.Errorf("product %q is unknown", r.Product)
		}
		p.post(dispatch.Flagged{Host: r.Unit, Band: band, Age: r.OldMs * int64(time.Millisecond)})
	}
	return nil
}
