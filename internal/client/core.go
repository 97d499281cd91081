package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"portflow/internal/control/server"
)

// Core is the core as the first control process that answers sees it.
func (c *Client) Core(ctx context.Context) (status server.CoreStatus, err error) {
	raw, err := c.Call(ctx, "core.read", "", nil)
	return status, decode(raw, err, &status)
}

// ChangeCore has members go or come, or weighs that.
func (c *Client) ChangeCore(ctx context.Context, change server.CoreChange) (result server.CoreChangeResult, err error) {
	if change.Member == "" || change.Action == "replace" && change.Replacement == "" {
		return result, errors.New("an IP number or a name is missing")
	}
	body, err := json.Marshal(change)
	if err != nil {
		return result, err
	}
	raw, err := c.Call(ctx, "core.change", "", body)
	return result, decode(raw, err, &result)
}

// ErrSingleAddress says that a recovery goes to one process, which is to be named.
var ErrSingleAddress = errors.New("--control: name the one control process that is to become the core")

// RecoverCore makes the one control process that is named the whole core; without the words that confirm it, it asks what
// that may lose, and for the words.
func (c *Client) RecoverCore(ctx context.Context, confirm string, force bool) (result server.CoreRecovery, err error) {
	if len(c.Addresses) != 1 {
		return result, ErrSingleAddress
	}
	body, err := json.Marshal(map[string]any{"confirm": confirm, "force": force})
	if err != nil {
		return result, err
	}
	raw, err := c.Call(ctx, "core.recover", "", body)
	return result, decode(raw, err, &result)
}

func decode(raw []byte, err error, v any) error {
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("what control answered: %w", err)
	}
	return nil
}
