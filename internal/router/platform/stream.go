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
	// headerTimeout is the timeout for the first byte of a response. It is long because a platform that does not respond answers
	// the pending request once it has recovered.
	headerTimeout = 10 * time.Second
	// headerRestTimeout is the timeout for the rest of the response header. A header that is cut off is never completed.
	headerRestTimeout = time.Second / 2
	// streamTimeout is the timeout for the next line, twice the interval of the platform's keep-alives.
	streamTimeout = 2 * time.Second
)

var errStreamTimeout = errors.New("timeout waiting for data from the platform")

// streamLine is a line of the stream. Keep-alives have no type.
type streamLine struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// answerReport reports a wrong answer of a host to a request of a class.
type answerReport struct {
	Unit    string `json:"unit"`
	Product string `json:"product"`
	OldMs   int64  `json:"old_ms"`
}

// Run follows the stream of updates until ctx is done. When the stream ends, it reconnects after a delay; after SetAddress, at once.
func (c *Client) Run(ctx context.Context) { c.address.Run(ctx, c.watchAddress) }

// watchAddress follows the stream at one address until ctx is done.
func (c *Client) watchAddress(ctx context.Context, at string) {
	for failures := 0; ctx.Err() == nil; {
		received, err := c.readStream(ctx, at)
		if received {
			failures = 0
		}
		if failures++; ctx.Err() == nil && failures == 1 {
			c.log.Warn().Err(err).Msg("platform's news")
		}
		c.backoff.Wait(ctx, failures)
	}
}

// readStream opens the stream and posts its events until it ends. received reports whether any valid line was received.
func (c *Client) readStream(ctx context.Context, at string) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(headerTimeout, func() { cancel(errStreamTimeout) })
	defer timer.Stop()
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { timer.Reset(headerRestTimeout) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, apiURL(at)+"watch", nil)
	if err != nil {
		return false, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	timer.Reset(streamTimeout)
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxMessageBytes)
	for lines.Scan() {
		timer.Reset(streamTimeout)
		if err := c.handleLine(lines.Bytes()); err != nil {
			return received, fmt.Errorf("invalid line: %w", err) // the following lines may be invalid as well
		}
		received = true
	}
	if cause := context.Cause(ctx); cause != nil {
		return received, cause
	}
	if err := lines.Err(); err != nil {
		return received, err
	}
	return received, fmt.Errorf("stream ended")
}

// handleLine posts the event of a line, if the line is not a keep-alive.
func (c *Client) handleLine(raw []byte) error {
	var message streamLine
	if err := json.Unmarshal(raw, &message); err != nil {
		return err
	}
	switch message.Type {
	case "":
	default:
		return fmt.Errorf("unknown type %q", message.Type)
	case "news":
		rollout, err := DecodeRollout(message.Object)
		if err != nil {
			return err
		}
		c.post(rollout)
	case "report":
		var flagged answerReport
		if err := json.Unmarshal(message.Object, &flagged); err != nil {
			return err
		}
		class := c.classIndex(flagged.Product)
		if class < 0 {
			return fmt.Errorf("unknown product %q", flagged.Product)
		}
		c.post(dispatch.AnswerFlagged{Host: flagged.Unit, Class: class, Age: flagged.OldMs * int64(time.Millisecond)})
	}
	return nil
}
