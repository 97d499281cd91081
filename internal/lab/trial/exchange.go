package trial

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// lateAnswerMargin is how long a client waits beyond the timeout that it sends, so that it still receives a late response.
const lateAnswerMargin = 1500 * time.Millisecond

// closesConnection is the suffix of Attempt.Detail for a response after which the proxy closes the connection.
const closesConnection = "closes"

// exchange writes requests back to back while it reads their responses. It reports whether the connection may be reused.
func (c *trialClient) exchange(conn *connection, requests []request) bool {
	written := make([]chan error, len(requests)) // each receives the result of one write, or is closed if the write was not attempted
	for n := range written {
		written[n] = make(chan error, 1)
	}
	go c.writeRequests(conn, requests, written) // returns when all requests are written or the connection closes
	ended := ""                                 // why later requests on the connection can't be answered
	for n := range requests {
		err, begun := <-written[n]
		if !begun {
			return false
		}
		a := &requests[n].attempt
		if n > 0 { // the proxy reads it, and starts its timeout, after the previous response
			a.Deadline = c.rig.clock.now() + requests[n].timeout
		}
		if ended != "" {
			a.Outcome, a.Detail = PipelinedBehind, ended
		} else {
			c.readAnswer(conn, &requests[n], err == nil)
		}
		a.EndedAt = c.rig.clock.now()
		if err != nil {
			a.Detail += ", " + err.Error()
		}
		if ended == "" && (a.Outcome != Complete || strings.HasSuffix(a.Detail, closesConnection)) {
			ended = fmt.Sprintf("behind %s: outcome %d, %s", a.ID, a.Outcome, a.Detail)
			conn.SetWriteDeadline(time.Now()) // unblock the writer: the proxy reads no further requests
		}
		c.rig.recorder.recordAttempt(*a)
	}
	return ended == ""
}

// writeRequests writes requests until a write fails.
func (c *trialClient) writeRequests(conn *connection, requests []request, written []chan error) {
	failed := false
	for n := range requests {
		if failed {
			close(written[n])
			continue
		}
		a := &requests[n].attempt
		a.ConnectedAt = conn.openedAt
		a.BeganAt = c.rig.clock.now()
		a.Deadline = a.BeganAt + requests[n].timeout
		if conn.requests > 0 && n == 0 {
			a.IdleFor = a.BeganAt - conn.idleSince
		}
		err := requests[n].writeTo(conn)
		a.SentAt = c.rig.clock.now()
		written[n] <- err
		failed = err != nil
	}
}

// readAnswer reads one response into the request's attempt; sent is true if the request was written completely.
func (c *trialClient) readAnswer(conn *connection, q *request, sent bool) {
	a := &q.attempt
	conn.SetReadDeadline(time.Now().Add(a.Deadline - c.rig.clock.now() + lateAnswerMargin))
	resp, err := http.ReadResponse(conn.in, &http.Request{Method: q.method})
	if err != nil {
		a.Outcome, a.Detail = failedOutcome(err, sent), "no response header: "+err.Error()
		return
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.Outcome, a.Detail = failedOutcome(err, true), fmt.Sprintf("response incomplete after %d bytes: %v", len(body), err)
		return
	}
	a.Outcome = Complete
	id := resp.Header.Get("Attempt-Id")
	if a.Status == http.StatusOK && (len(body) != q.answerBytes || !matchesPattern(body, a.ID) || id != a.ID) {
		a.Outcome, a.Detail = Mismatched, fmt.Sprintf("response has %d bytes, want %d, id %q", len(body), q.answerBytes, id)
	}
	if resp.Close {
		a.Detail += closesConnection
	}
}

// failedOutcome returns the outcome of a request whose response could not be read.
func failedOutcome(err error, sent bool) Outcome {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return TimedOut
	case !sent:
		return WriteFailed
	}
	return Truncated
}
