// Package pilot calls control processes for an operator: one after another until one answers, as every caller does.
package pilot

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

	"portflow/internal/harbour/manifest"
)

// Pilot knows where control is served.
type Pilot struct {
	Control []string // addresses
	HTTP    *http.Client
	Limit   time.Duration // for a call, over all processes
}

// ErrNobody says that no control process answered.
var ErrNobody = errors.New("no control process answered")

// Refused is an answer that ends a call.
type Refused struct {
	Status int    `json:"Status"`
	Kind   string `json:"error"`
	Reason string `json:"reason"`
}

func (r *Refused) Error() string {
	if r.Reason == "" {
		return fmt.Sprintf("refused with %d", r.Status)
	}
	return r.Reason
}

const (
	silence = time.Second // after which the next process is asked
	first   = 50 * time.Millisecond
	longest = time.Second
)

// final are the answers after which nobody else is asked.
var final = []int{400, 404, 409, 412, 413, 422, 501}

// Call makes one call. A call without a clear answer is repeated unchanged: orders are made so that this does no harm.
func (p *Pilot) Call(ctx context.Context, call, of string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Limit)
	defer cancel()
	last := ErrNobody
	for n := 0; ctx.Err() == nil && len(p.Control) > 0; n++ {
		raw, err := p.one(ctx, p.Control[n%len(p.Control)], call, of, body)
		var r *Refused
		if err == nil || errors.As(err, &r) && slices.Contains(final, r.Status) {
			return raw, err
		}
		last = fmt.Errorf("%w: %s: %w", ErrNobody, p.Control[n%len(p.Control)], err)
		select {
		case <-time.After(min(longest, first<<min(n, 6))):
		case <-ctx.Done():
		}
	}
	return nil, last
}

func (p *Pilot) one(ctx context.Context, address, call, of string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, silence+time.Duration(len(body))*time.Microsecond)
	defer cancel()
	at := url.URL{Scheme: "http", Host: address, Path: "/-/rpc", RawQuery: url.Values{"call": {call}, "of": {of}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, at.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		r := &Refused{Status: resp.StatusCode}
		json.Unmarshal(raw, r)
		return nil, r
	}
	return raw, nil
}

// Each makes one call to every control process, and hands over what those that answer say.
func (p *Pilot) Each(ctx context.Context, call string, take func(raw []byte) error) error {
	var last error = ErrNobody
	for _, address := range p.Control {
		raw, err := p.one(ctx, address, call, "", nil)
		if err != nil {
			if last != nil {
				last = fmt.Errorf("%w: %s: %w", ErrNobody, address, err)
			}
			continue
		}
		if last = nil; take != nil {
			if err := take(raw); err != nil {
				return err
			}
		}
	}
	return last
}

// Check reads a change from a file as control does, against the items that stand; each error names its line or its item.
func Check(raw, standing []byte) ([]manifest.Item, []manifest.Item, error) {
	if err := syntax(raw); err != nil {
		return nil, nil, err
	}
	items, err := manifest.Read(raw)
	if err != nil {
		return nil, nil, placed(raw, err)
	}
	set, err := Standing(standing)
	if err != nil {
		return nil, nil, err
	}
	news, err := set.Check(items)
	return items, news, err
}

// Standing makes a set of what configuration.read answered; nil for none.
func Standing(raw []byte) (*manifest.Set, error) {
	set := manifest.NewSet()
	if raw == nil {
		return set, nil
	}
	items, err := manifest.Read(append(append([]byte(`{"set-items":`), raw...), '}'))
	if err != nil {
		return nil, fmt.Errorf("what control answered: %w", err)
	}
	for _, i := range items {
		set.Merge(i)
	}
	return set, nil
}

// Difference tells, a line an item, what a change would change of what stands.
func Difference(set *manifest.Set, items []manifest.Item) (all []string) {
	for _, i := range items {
		old, there := set.Get(i.Key())
		was, now := fmt.Sprintf("%s %s", manifest.Digits(old.Version), old.Body), fmt.Sprintf("%s %s", manifest.Digits(i.Version), i.Body)
		switch {
		case there && i.Same(old):
			continue
		case there && !i.Newer(old):
			all = append(all, fmt.Sprintf("= %s %s: %s changes nothing, %s stands", i.Kind, i.Name, manifest.Digits(i.Version), manifest.Digits(old.Version)))
		case i.Dropped && !there:
			all = append(all, fmt.Sprintf("- %s %s %s", i.Kind, i.Name, manifest.Digits(i.Version)))
		case i.Dropped:
			all = append(all, fmt.Sprintf("- %s %s %s", i.Kind, i.Name, was))
		case !there:
			all = append(all, fmt.Sprintf("+ %s %s %s", i.Kind, i.Name, now))
		default:
			all = append(all, fmt.Sprintf("- %s %s %s", i.Kind, i.Name, was), fmt.Sprintf("+ %s %s %s", i.Kind, i.Name, now))
		}
	}
	slices.SortStableFunc(all, func(a, b string) int { return strings.Compare(a[2:], b[2:]) })
	return all
}

// Restore is the change that makes what stands into what a snapshot holds: items that differ are set, and those that the
// snapshot lacks are dropped, all with the version after highest, the highest that any item has, dropped ones too. It tells
// how many there are. Limits can't be dropped, and stay where the snapshot has none.
func Restore(snapshot, standing []byte, highest uint64) (change []byte, items int, err error) {
	want, _, err := Check(snapshot, nil)
	if err != nil {
		return nil, 0, err
	}
	set, err := Standing(standing)
	if err != nil {
		return nil, 0, err
	}
	next, wanted := manifest.NewSet(), map[manifest.Key]bool{}
	for _, i := range want {
		wanted[i.Key()] = !i.Dropped
		old, there := set.Get(i.Key())
		if i.Dropped || there && bytes.Equal(old.Body, i.Body) {
			continue
		}
		i.Version = highest + 1
		next.Merge(i)
		items++
	}
	drops := map[string][]map[string]string{}
	for _, i := range set.All() {
		if !wanted[i.Key()] && i.Kind != manifest.Limits {
			drops[i.Kind] = append(drops[i.Kind], map[string]string{"name": i.Name, "version": manifest.Digits(highest + 1)})
			items++
		}
	}
	laid, err := next.Write()
	if err != nil {
		return nil, 0, fmt.Errorf("restoring: %w", err)
	}
	change, err = json.Marshal(map[string]any{"set-items": json.RawMessage(laid), "drop-names": drops})
	return change, items, err
}
