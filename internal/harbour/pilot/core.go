package pilot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"portflow/internal/harbour/harbourmaster"
)

// Core is the core as the first control process that answers sees it.
func (p *Pilot) Core(ctx context.Context) (s harbourmaster.CoreSurvey, err error) {
	raw, err := p.Call(ctx, "core.read", "", nil)
	return s, decode(raw, err, &s)
}

// ChangeCore has members go or come, or weighs that.
func (p *Pilot) ChangeCore(ctx context.Context, c harbourmaster.CoreChange) (out harbourmaster.CoreOutcome, err error) {
	if c.Who == "" || c.Do == "replace" && c.With == "" {
		return out, errors.New("an IP number or a name is missing")
	}
	body, err := json.Marshal(c)
	if err != nil {
		return out, err
	}
	raw, err := p.Call(ctx, "core.change", "", body)
	return out, decode(raw, err, &out)
}

// ErrOne says that a recovery goes to one process, which is to be named.
var ErrOne = errors.New("--control: name the one control process that is to become the core")

// RecoverCore makes the one control process that is named the whole core; without the words that confirm it, it asks what
// that may lose, and for the words.
func (p *Pilot) RecoverCore(ctx context.Context, confirm string, force bool) (out harbourmaster.CoreRecovery, err error) {
	if len(p.Control) != 1 {
		return out, ErrOne
	}
	body, err := json.Marshal(map[string]any{"confirm": confirm, "force": force})
	if err != nil {
		return out, err
	}
	raw, err := p.Call(ctx, "core.recover", "", body)
	return out, decode(raw, err, &out)
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
