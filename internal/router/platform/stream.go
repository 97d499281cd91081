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
	headerTimeout     = 10 * time.Second // a platform that is silent answers when it comes back: no need to ask often
	headerRestTimeout = time.Second / 2  // for the rest of an answer's head after its first byte: one cut short never comes
	streamTimeout     = 2 * time.Second  // two signs of life, of which one comes every second; a line cut short never ends
)

var errStreamTimeout = errors.New("silent for too long")

type streamLine struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

type answerReport struct {
	Unit    string `json:"unit"`
	Product string `json:"product"`
	OldMs   int64  `json:"old_ms"`
}

// Run follows the news until the context ends, on one connection after another. A move ends the present one.
func (c *Client) Run(ctx context.Context) { c.address.Run(ctx, c.watchAddress) }

// watchAddress follows the news at one address.
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

// readStream reads one connection's news; told says that some came.
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
			return received, fmt.Errorf("line that can't be read: %w", err) // nor can what comes after it
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

// handleLine posts what a line says; one that says nothing is a sign of life.
func (c *Client) handleLine(raw []byte) error {
	var message streamLine
	if err := json.Unmarshal(raw, &message); err != nil {
		return err
	}
	switch message.Type {
	case "":
	default:
		return fmt.Errorf("type %q is unknown", message.Type)
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
			return fmt.Errorf("product %q is unknown", flagged.Product)
		}
		c.post(dispatch.AnswerFlagged{Host: flagged.Unit, Class: class, Age: flagged.OldMs * int64(time.Millisecond)})
	}
	return nil
}
