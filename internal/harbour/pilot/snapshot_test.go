package pilot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-chi/chi/v5"

	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/rpc"
	"portflow/internal/harbour/soundings"
)

// harbour is a control process that serves the two calls on a set, as a handler is to do it.
type harbour struct {
	mu       sync.Mutex
	set      *manifest.Set
	number   uint64
	shelf    soundings.Shelf
	dock     soundings.Dock
	calls    int
	every    func(n int) // before each call is answered, under the lock
	lose     int         // each so many answers are lost
	restored int
}

func (h *harbour) serve(c *qt.C) string {
	ask := func(_ context.Context, _ string, body []byte) (any, error) {
		var a soundings.Ask
		if err := json.Unmarshal(body, &a); err != nil {
			return nil, faults.Wrap(faults.Malformed, err, "the ask")
		}
		return h.shelf.Answer(time.Now().UnixNano(), a, func() ([]manifest.Item, uint64, uint64) { return h.set.All(), 1, h.number })
	}
	piece := func(_ context.Context, _ string, body []byte) (any, error) {
		var p soundings.Piece
		if err := json.Unmarshal(body, &p); err != nil {
			return nil, faults.Wrap(faults.Malformed, err, "the piece")
		}
		l, items, head, err := h.dock.Take(time.Now().UnixNano(), p.Chunk)
		if items != nil {
			h.set.Become(items)
			h.number++
			h.restored++
			h.dock.Ended(head, true)
			l.Done = true
		}
		return l, err
	}
	under := func(do func(context.Context, string, []byte) (any, error)) func(context.Context, string, []byte) (any, error) {
		return func(ctx context.Context, of string, body []byte) (any, error) {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.calls++; h.every != nil {
				h.every(h.calls)
			}
			v, err := do(ctx, of, body)
			if h.lose > 0 && h.calls%h.lose == 0 {
				panic(http.ErrAbortHandler)
			}
			return v, err
		}
	}
	r := chi.NewRouter()
	rpc.New(rpc.Call{Name: soundings.SnapshotCall, Most: 1 << 10, Do: under(ask)},
		rpc.Call{Name: soundings.RestoreCall, Most: 2 * soundings.MostChunk, Do: under(piece)}).Mount(r)
	s := httptest.NewServer(r)
	c.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func filled(routes int) *manifest.Set {
	set := manifest.NewSet()
	for n := range routes {
		set.Merge(manifest.Item{Kind: manifest.Routes, Name: fmt.Sprint("r", n), Version: uint64(n), Body: fmt.Appendf(nil,
			`{"name":"r%d","host-name":"a.example","path-prefix":"/r%d/","route-kind":"safe_method","timeout-s":1.5,"target-s":0.6,"priority-level":2,"service":"desk","maximum-attempts":2}`, n, n)})
	}
	set.Merge(manifest.Item{Kind: manifest.Rollouts, Name: "desk", Version: 3, Body: []byte(`{"order":3}`)})
	set.Merge(manifest.Item{Kind: manifest.Routes, Name: "gone", Version: 3, Dropped: true})
	return set
}

// A snapshot is written whole while changes go on, and restored into an empty control process: all items stand there, also
// where answers are lost on the way.
func TestSnapshotAndRestore(t *testing.T) {
	for _, lose := range []int{0, 3} {
		c := qt.New(t)
		path := filepath.Join(c.TempDir(), "snapshot")
		from := &harbour{set: filled(2500), number: 9, lose: lose}
		want := from.set.Sum()
		from.every = func(n int) {
			if n > 1 {
				from.number++
				from.set.Apply([]manifest.Item{{Kind: manifest.Routes, Name: fmt.Sprint("r", n), Version: uint64(9000 + n), Dropped: true}})
			}
		}
		p := &Pilot{Control: []string{from.serve(c)}, HTTP: &http.Client{}, Limit: 10 * time.Second}
		h, err := p.Snapshot(context.Background(), path)
		c.Assert(err, qt.IsNil)
		c.Check(h.Number, qt.Equals, uint64(9))
		c.Check(from.calls > 3, qt.IsTrue)
		_, err = os.Stat(path + ".partial")
		c.Check(os.IsNotExist(err), qt.IsTrue)
		c.Check(IsSnapshot(path), qt.IsTrue)

		to := &harbour{set: filled(7), lose: lose}
		p.Control = []string{"127.0.0.1:1", to.serve(c)} // the first is not there
		p.Limit = 500 * time.Millisecond
		_, err = p.RestoreSnapshot(context.Background(), path)
		c.Assert(err, qt.IsNil)
		c.Check(to.set.Sum(), qt.Equals, want)
		c.Check(to.restored, qt.Equals, 1)
	}
}

// A control process that has forgotten the cut is asked for another; one that always has, is not asked for ever. One that
// does not serve the call is told from one that refuses.
func TestSnapshotRefused(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "snapshot")
	h := &harbour{set: filled(2500), number: 1}
	h.every = func(n int) {
		if n == 3 {
			h.shelf, h.number = soundings.Shelf{}, 2
		}
	}
	p := &Pilot{Control: []string{h.serve(c)}, HTTP: &http.Client{}, Limit: 5 * time.Second}
	head, err := p.Snapshot(context.Background(), path)
	c.Assert(err, qt.IsNil)
	c.Check(head.Number, qt.Equals, uint64(2))
	h.every = func(int) { h.shelf = soundings.Shelf{}; h.number++ }
	other := filepath.Join(c.TempDir(), "other")
	_, err = p.Snapshot(context.Background(), other)
	var r *Refused
	c.Check(errors.As(err, &r) && r.Kind == "missing", qt.IsTrue, qt.Commentf("%v", err))
	_, err = os.Stat(other)
	c.Check(os.IsNotExist(err), qt.IsTrue)

	router := chi.NewRouter()
	rpc.New().Mount(router)
	s := httptest.NewServer(router)
	defer s.Close()
	p.Control = []string{strings.TrimPrefix(s.URL, "http://")}
	_, err = p.Snapshot(context.Background(), path)
	c.Check(err, qt.ErrorIs, ErrUnserved)
	_, err = p.RestoreSnapshot(context.Background(), path)
	c.Check(err, qt.ErrorIs, ErrUnserved)
}

// A file that is cut at any chunk or byte, spoilt anywhere, or holds what control would refuse, is refused before anything is
// sent.
func TestRestoreInvalid(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	path := filepath.Join(dir, "snapshot")
	h := &harbour{set: filled(1200), number: 1}
	p := &Pilot{Control: []string{h.serve(c)}, HTTP: &http.Client{}, Limit: 5 * time.Second}
	_, err := p.Snapshot(context.Background(), path)
	c.Assert(err, qt.IsNil)
	raw, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	calls := h.calls
	bad := filepath.Join(dir, "bad")
	for at := 0; at < len(raw); at += 1 + len(raw)/150 {
		spoilt := append([]byte(nil), raw...)
		spoilt[at] ^= 0x5a
		for _, b := range [][]byte{spoilt, raw[:at], append(append([]byte(nil), raw...), raw[:at+4]...)} {
			c.Assert(os.WriteFile(bad, b, 0o600), qt.IsNil)
			_, err := p.RestoreSnapshot(context.Background(), bad)
			c.Assert(err, qt.ErrorMatches, "(?s).*bad: .*", qt.Commentf("%d", at))
		}
	}
	c.Check(h.calls, qt.Equals, calls)
	h.set.Apply([]manifest.Item{{Kind: manifest.Routes, Name: "wrong", Version: 5, Body: []byte(`{"name":"wrong","path-prefix":"no slash"}`)}})
	h.number++
	_, err = p.Snapshot(context.Background(), path)
	c.Assert(err, qt.IsNil)
	_, err = p.RestoreSnapshot(context.Background(), path)
	c.Check(err, qt.ErrorMatches, "(?s).*routes wrong: .*path-prefix.*")
	c.Check(h.restored, qt.Equals, 0)
}
