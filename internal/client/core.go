package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"portflow/internal/control/server"
)

// Core returns the membership of the control processes as seen by the first one that answers.
func (c *Client) Core(ctx context.Context) (status server.CoreStatus, err error) {
	raw, err := c.Call(ctx, "core.read", "", nil)
	return status, decode(raw, err, &status)
}

// ChangeCore changes the voting members or, for a dry run, returns the losses that they would tolerate.
func (c *Client) ChangeCore(ctx context.Context, change server.CoreChange) (result server.CoreChangeResult, err error) {
	if change.Member == "" || change.Action == "replace" && change.Replacement == "" {
		return result, errors.New("the IP address or name of a control process is missing")
	}
	body, err := json.Marshal(change)
	if err != nil {
		return result, err
	}
	raw, err := c.Call(ctx, "core.change", "", body)
	return result, decode(raw, err, &result)
}

// ErrSingleAddress is returned by RecoverCore unless the client has exactly one address.
var ErrSingleAddress = errors.New("--control: must name exactly one control process, which becomes the only voting member")

// RecoverCore makes the control process at the client's only address the only voting member. If confirm is empty, it changes nothing, and
// returns what may be lost and the phrase to confirm it with.
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
		return fmt.Errorf("invalid response from control: %w", err)
	}
	return nil
}
