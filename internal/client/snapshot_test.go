package client

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

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/rpc"
	"portflow/internal/control/snapshot"
)

// fakeControl is a control process that serves the two calls on a set, as a handler is to do it.
type fakeControl struct {
	mu       sync.Mutex
	set      *config.Set
	number   uint64
	shelf    snapshot.Cache
	dock     snapshot.Upload
	calls    int
	every    func(n int) // before each call is answered, under the lock
	lose     int         // each so many answers are lost
	restored int
}

func (f *fakeControl) serve(c *qt.C) string {
	ask := func(_ context.Context, _ string, body []byte) (any, error) {
		var request snapshot.ReadRequest
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, apierror.Wrap(apierror.Malformed, err, "the ask")
		}
		return f.shelf.Serve(time.Now().UnixNano(), request, func() ([]config.Item, uint64, uint64) { return f.set.All(), 1, f.number })
	}
	piece := func(_ context.Context, _ string, body []byte) (any, error) {
		var piece snapshot.RestoreRequest
		if err := json.Unmarshal(body, &piece); err != nil {
			return nil, apierror.Wrap(apierror.Malformed, err, "the piece")
		}
		landed, items, head, err := f.dock.AddChunk(time.Now().UnixNano(), piece.Chunk)
		if items != nil {
			f.set.ReplaceAll(items)
			f.number++
			f.restored++
			f.dock.Finish(head, true)
			landed.InForce = true
		}
		return landed, err
	}
	locked := func(do func(context.Context, string, []byte) (any, error)) func(context.Context, string, []byte) (any, error) {
		return func(ctx context.Context, of string, body []byte) (any, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.calls++; f.every != nil {
				f.every(f.calls)
			}
			v, err := do(ctx, of, body)
			if f.lose > 0 && f.calls%f.lose == 0 {
				panic(http.ErrAbortHandler)
			}
			return v, err
		}
	}
	mux := chi.NewRouter()
	rpc.New(rpc.Call{Name: snapshot.SnapshotCall, MaxBody: 1 << 10, Handle: locked(ask)},
		rpc.Call{Name: snapshot.RestoreCall, MaxBody: 2 * snapshot.MaxChunkBytes, Handle: locked(piece)}).Mount(mux)
	server := httptest.NewServer(mux)
	c.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func populatedSet(routes int) *config.Set {
	set := config.NewSet()
	for n := range routes {
		set.Merge(config.Item{Kind: config.KindRoutes, Name: fmt.Sprint("r", n), Version: uint64(n), Body: fmt.Appendf(nil,
			`{"name":"r%d","host-name":"a.example","path-prefix":"/r%d/","route-kind":"safe_method","timeout-s":1.5,"target-s":0.6,"priority-level":2,"service":"desk","maximum-attempts":2}`, n, n)})
	}
	set.Merge(config.Item{Kind: config.KindRollouts, Name: "desk", Version: 3, Body: []byte(`{"order":3}`)})
	set.Merge(config.Item{Kind: config.KindRoutes, Name: "gone", Version: 3, Deleted: true})
	return set
}

// A snapshot is written whole while changes go on, and restored into an empty control process: all items stand there, also
// where answers are lost on the way.
func TestSnapshotAndRestore(t *testing.T) {
	for _, lose := range []int{0, 3} {
		c := qt.New(t)
		path := filepath.Join(c.TempDir(), "snapshot")
		from := &fakeControl{set: populatedSet(2500), number: 9, lose: lose}
		want := from.set.Checksum()
		from.every = func(n int) {
			if n > 1 {
				from.number++
				from.set.Apply([]config.Item{{Kind: config.KindRoutes, Name: fmt.Sprint("r", n), Version: uint64(9000 + n), Deleted: true}})
			}
		}
		p := &Client{Addresses: []string{from.serve(c)}, HTTP: &http.Client{}, Timeout: 10 * time.Second}
		h, err := p.DownloadSnapshot(context.Background(), path)
		c.Assert(err, qt.IsNil)
		c.Check(h.Index, qt.Equals, uint64(9))
		c.Check(from.calls > 3, qt.IsTrue)
		_, err = os.Stat(path + ".partial")
		c.Check(os.IsNotExist(err), qt.IsTrue)
		c.Check(IsSnapshot(path), qt.IsTrue)

		to := &fakeControl{set: populatedSet(7), lose: lose}
		p.Addresses = []string{"127.0.0.1:1", to.serve(c)} // the first is not there
		p.Timeout = 500 * time.Millisecond
		_, err = p.RestoreSnapshot(context.Background(), path)
		c.Assert(err, qt.IsNil)
		c.Check(to.set.Checksum(), qt.Equals, want)
		c.Check(to.restored, qt.Equals, 1)
	}
}

// A control process that has forgotten the cut is asked for another; one that always has, is not asked for ever. One that
// does not serve the call is told from one that refuses.
func TestSnapshotRefused(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "snapshot")
	h := &fakeControl{set: populatedSet(2500), number: 1}
	h.every = func(n int) {
		if n == 3 {
			h.shelf, h.number = snapshot.Cache{}, 2
		}
	}
	p := &Client{Addresses: []string{h.serve(c)}, HTTP: &http.Client{}, Timeout: 5 * time.Second}
	head, err := p.DownloadSnapshot(context.Background(), path)
	c.Assert(err, qt.IsNil)
	c.Check(head.Index, qt.Equals, uint64(2))
	h.every = func(int) { h.shelf = snapshot.Cache{}; h.number++ }
	other := filepath.Join(c.TempDir(), "other")
	_, err = p.DownloadSnapshot(context.Background(), other)
	var r *ResponseError
	c.Check(errors.As(err, &r) && r.Kind == "missing", qt.IsTrue, qt.Commentf("%v", err))
	_, err = os.Stat(other)
	c.Check(os.IsNotExist(err), qt.IsTrue)

	router := chi.NewRouter()
	rpc.New().Mount(router)
	s := httptest.NewServer(router)
	defer s.Close()
	p.Addresses = []string{strings.TrimPrefix(s.URL, "http://")}
	_, err = p.DownloadSnapshot(context.Background(), path)
	c.Check(err, qt.ErrorIs, ErrUnsupported)
	_, err = p.RestoreSnapshot(context.Background(), path)
	c.Check(err, qt.ErrorIs, ErrUnsupported)
}

// A file that is cut at any chunk or byte, spoilt anywhere, or holds what control would refuse, is refused before anything is
// sent.
func TestRestoreInvalid(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	path := filepath.Join(dir, "snapshot")
	h := &fakeControl{set: populatedSet(1200), number: 1}
	p := &Client{Addresses: []string{h.serve(c)}, HTTP: &http.Client{}, Timeout: 5 * time.Second}
	_, err := p.DownloadSnapshot(context.Background(), path)
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
	h.set.Apply([]config.Item{{Kind: config.KindRoutes, Name: "wrong", Version: 5, Body: []byte(`{"name":"wrong","path-prefix":"no slash"}`)}})
	h.number++
	_, err = p.DownloadSnapshot(context.Background(), path)
	c.Assert(err, qt.IsNil)
	_, err = p.RestoreSnapshot(context.Background(), path)
	c.Check(err, qt.ErrorMatches, "(?s).*routes wrong: .*path-prefix.*")
	c.Check(h.restored, qt.Equals, 0)
}
