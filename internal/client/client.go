// Package client calls control processes for an operator: one after another until one answers, as every caller does.
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

// Client knows where control is served.
type Client struct {
	Addresses []string // addresses
	HTTP      *http.Client
	Timeout   time.Duration // for a call, over all processes
}

// ErrNoAnswer says that no control process answered.
var ErrNoAnswer = errors.New("no control process answered")

// ResponseError is an answer that ends a call.
type ResponseError struct {
	Status int    `json:"Status"`
	Kind   string `json:"error"`
	Reason string `json:"reason"`
}

func (e *ResponseError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("refused with %d", e.Status)
	}
	return e.Reason
}

const (
	requestTimeout = time.Second // after which the next process is asked
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// finalStatuses are the answers after which nobody else is asked.
var finalStatuses = []int{400, 404, 409, 412, 413, 422, 501}

// Call makes one call. A call without a clear answer is repeated unchanged: orders are made so that this does no harm.
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
		json.Unmarshal(raw, responseErr)
		return nil, responseErr
	}
	return raw, nil
}

// CallEach makes one call to every control process, and hands over what those that answer say.
func (c *Client) CallEach(ctx context.Context, call string, handle func(raw []byte) error) error {
	var lastErr error = ErrNoAnswer
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

// CheckChange reads a change from a file as control does, against the items that stand; each error names its line or its item.
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

// ParseConfiguration makes a set of what configuration.read answered; nil for none.
func ParseConfiguration(raw []byte) (*config.Set, error) {
	set := config.NewSet()
	if raw == nil {
		return set, nil
	}
	items, err := config.ParseChange(append(append([]byte(`{"set-items":`), raw...), '}'))
	if err != nil {
		return nil, fmt.Errorf("what control answered: %w", err)
	}
	for _, i := range items {
		set.Merge(i)
	}
	return set, nil
}

// Diff tells, a line an item, what a change would change of what stands.
func Diff(set *config.Set, items []config.Item) (diff []string) {
	for _, i := range items {
		old, exists := set.Lookup(i.Key())
		before, after := fmt.Sprintf("%s %s", config.FormatVersion(old.Version), old.Body), fmt.Sprintf("%s %s", config.FormatVersion(i.Version), i.Body)
		switch {
		case exists && i.Equal(old):
			continue
		case exists && !i.Supersedes(old):
			diff = append(diff, fmt.Sprintf("= %s %s: %s changes nothing, %s stands", i.Kind, i.Name, config.FormatVersion(i.Version), config.FormatVersion(old.Version)))
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

// RestoreChange is the change that makes what stands into what a snapshot holds: items that differ are set, and those that the
// snapshot lacks are dropped, all with the version after highest, the highest that any item has, dropped ones too. It tells
// how many there are. Limits can't be dropped, and stay where the snapshot has none.
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
		return nil, 0, fmt.Errorf("restoring: %w", err)
	}
	change, err = json.Marshal(map[string]any{"set-items": json.RawMessage(encoded), "drop-names": drops})
	return change, items, err
}
