// Package client calls control processes on behalf of an operator. It also validates and compares configuration changes before they are
// sent, and saves and restores snapshots. Start reading at Client.Call.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"portflow/internal/cluster/config"
)

// Client calls the control processes of one cluster. It is safe for concurrent use if its fields are not changed.
type Client struct {
	Addresses []string // host:port of the control processes, tried in this order
	HTTP      *http.Client
	Timeout   time.Duration // of Call, over all processes and retries
}

// ErrNoAnswer is returned if no control process responded, or none with a final answer; see Client.Call and Client.CallEach.
var ErrNoAnswer = errors.New("no control process answered")

// ResponseError is an error response of a control process.
type ResponseError struct {
	Status int    `json:"Status"` // HTTP status
	Kind   string `json:"error"`
	Reason string `json:"reason"`
}

func (e *ResponseError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("control rejected the call with HTTP status %d", e.Status)
	}
	return e.Reason
}

const (
	requestTimeout = time.Second // for each process; longer for large bodies
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// finalStatuses are the HTTP statuses after which no other process is tried, as it would answer alike.
var finalStatuses = []int{400, 404, 409, 412, 413, 422, 501}

// Call sends a call to one control process after another until one answers with success or with one of finalStatuses, and returns the
// response body. A call without a definite outcome is repeated unchanged, possibly after it was executed: calls must be idempotent. body may
// be nil. The error is a *ResponseError if control rejected the call, and ErrNoAnswer if time ran out.
func (c *Client) Call(ctx context.Context, call, subject string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	lastErr := ErrNoAnswer
	for attempt := 0; ctx.Err() == nil && len(c.Addresses) > 0; attempt++ {
		raw, err := c.callOne(ctx, c.Addresses[attempt%len(c.Addresses)], call, subject, body)
		var responseErr *ResponseError
		if err == nil || errors.As(err, &responseErr) && slices.Contains(finalStatuses, responseErr.Status) {
			return raw, err
		}
		lastErr = fmt.Errorf("%w: %s: %w", ErrNoAnswer, c.Addresses[attempt%len(c.Addresses)], err)
		select {
		case <-time.After(min(maxBackoff, minBackoff<<min(attempt, 6))):
		case <-ctx.Done():
		}
	}
	return nil, lastErr
}

func (c *Client) callOne(ctx context.Context, address, call, subject string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+time.Duration(len(body))*time.Microsecond)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: "/-/rpc", RawQuery: url.Values{"call": {call}, "of": {subject}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		responseErr := &ResponseError{Status: resp.StatusCode}
		_ = json.Unmarshal(raw, responseErr) // the status remains if the body has no reason
		return nil, responseErr
	}
	return raw, nil
}

// CallEach sends a call to every control process once, and passes each successful response to handle, which may be nil. It stops at
// the first error of handle and returns it. It returns ErrNoAnswer if no process responded with success.
func (c *Client) CallEach(ctx context.Context, call string, handle func(raw []byte) error) error {
	lastErr := ErrNoAnswer
	for _, address := range c.Addresses {
		raw, err := c.callOne(ctx, address, call, "", nil)
		if err != nil {
			if lastErr != nil {
				lastErr = fmt.Errorf("%w: %s: %w", ErrNoAnswer, address, err)
			}
			continue
		}
		if lastErr = nil; handle != nil {
			if err := handle(raw); err != nil {
				return err
			}
		}
	}
	return lastErr
}

// CheckChange parses a change and validates it as control does, against the current configuration, the response to configuration.read; nil
// for none. It returns all items of the change, and those that would have an effect. Errors name the line or the item.
func CheckChange(raw, current []byte) ([]config.Item, []config.Item, error) {
	if err := checkSyntax(raw); err != nil {
		return nil, nil, err
	}
	items, err := config.ParseChange(raw)
	if err != nil {
		return nil, nil, locateErrors(raw, err)
	}
	set, err := ParseConfiguration(current)
	if err != nil {
		return nil, nil, err
	}
	effective, err := set.CheckChange(items)
	return items, effective, err
}

// ParseConfiguration returns the set of items in a response to configuration.read. The set is empty if raw is nil.
func ParseConfiguration(raw []byte) (*config.Set, error) {
	set := config.NewSet()
	if raw == nil {
		return set, nil
	}
	items, err := config.ParseChange(append(append([]byte(`{"set-items":`), raw...), '}'))
	if err != nil {
		return nil, fmt.Errorf("invalid configuration from control: %w", err)
	}
	for _, i := range items {
		set.Merge(i)
	}
	return set, nil
}

// Diff returns the differences that a change would make to the set, as lines sorted by kind and name: "-" for an old or deleted item, "+" for
// a new one, "=" for an item of the change that has no effect because the current one supersedes it.
func Diff(set *config.Set, items []config.Item) (diff []string) {
	for _, i := range items {
		old, exists := set.Lookup(i.Key())
		before, after := fmt.Sprintf("%s %s", config.FormatVersion(old.Version), old.Body), fmt.Sprintf("%s %s", config.FormatVersion(i.Version), i.Body)
		switch {
		case exists && i.Equal(old):
			continue
		case exists && !i.Supersedes(old):
			diff = append(diff, fmt.Sprintf("= %s %s: version %s has no effect, the current version is %s", i.Kind, i.Name, config.FormatVersion(i.Version), config.FormatVersion(old.Version)))
		case i.Deleted && !exists:
			diff = append(diff, fmt.Sprintf("- %s %s %s", i.Kind, i.Name, config.FormatVersion(i.Version)))
		case i.Deleted:
			diff = append(diff, fmt.Sprintf("- %s %s %s", i.Kind, i.Name, before))
		case !exists:
			diff = append(diff, fmt.Sprintf("+ %s %s %s", i.Kind, i.Name, after))
		default:
			diff = append(diff, fmt.Sprintf("- %s %s %s", i.Kind, i.Name, before), fmt.Sprintf("+ %s %s %s", i.Kind, i.Name, after))
		}
	}
	slices.SortStableFunc(diff, func(a, b string) int { return strings.Compare(a[2:], b[2:]) })
	return diff
}

// RestoreChange returns the change that makes the current configuration equal to a snapshot saved as a change, and the number of items in
// it. It sets the items that differ and deletes those that the snapshot lacks, all with version highest+1, where highest is the highest version
// of any item, including tombstones. Limits can't be deleted: they stay unless the snapshot sets them.
func RestoreChange(snapshot, current []byte, highest uint64) (change []byte, items int, err error) {
	target, _, err := CheckChange(snapshot, nil)
	if err != nil {
		return nil, 0, err
	}
	set, err := ParseConfiguration(current)
	if err != nil {
		return nil, 0, err
	}
	next, inSnapshot := config.NewSet(), map[config.Key]bool{}
	for _, i := range target {
		inSnapshot[i.Key()] = !i.Deleted
		old, exists := set.Lookup(i.Key())
		if i.Deleted || exists && bytes.Equal(old.Body, i.Body) {
			continue
		}
		i.Version = highest + 1
		next.Merge(i)
		items++
	}
	drops := map[string][]map[string]string{}
	for _, i := range set.All() {
		if !inSnapshot[i.Key()] && i.Kind != config.KindLimits {
			drops[i.Kind] = append(drops[i.Kind], map[string]string{"name": i.Name, "version": config.FormatVersion(highest + 1)})
			items++
		}
	}
	encoded, err := next.EncodeChange()
	if err != nil {
		return nil, 0, fmt.Errorf("encode the change that restores the snapshot: %w", err)
	}
	change, err = json.Marshal(map[string]any{"set-items": json.RawMessage(encoded), "drop-names": drops})
	return change, items, err
}
