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

// fakeControl is a control process that serves snapshot.SnapshotCall and snapshot.RestoreCall for a set.
type fakeControl struct {
	mu         sync.Mutex
	set        *config.Set
	index      uint64
	cache      snapshot.Cache
	upload     snapshot.Upload
	calls      int
	beforeCall func(n int) // if set, called with mu held before the nth call is handled
	dropEvery  int         // drop each dropEvery-th response; 0 for none
	restored   int
}

func (f *fakeControl) serve(c *qt.C) string {
	read := func(_ context.Context, _ string, body []byte) (any, error) {
		var request snapshot.ReadRequest
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, apierror.Wrap(apierror.Malformed, err, "read request")
		}
		return f.cache.Serve(time.Now().UnixNano(), request, func() ([]config.Item, uint64, uint64) { return f.set.All(), 1, f.index })
	}
	restore := func(_ context.Context, _ string, body []byte) (any, error) {
		var restore snapshot.RestoreRequest
		if err := json.Unmarshal(body, &restore); err != nil {
			return nil, apierror.Wrap(apierror.Malformed, err, "restore request")
		}
		response, items, header, err := f.upload.AddChunk(time.Now().UnixNano(), restore.Chunk)
		if items != nil {
			f.set.ReplaceAll(items)
			f.index++
			f.restored++
			f.upload.Finish(header, true)
			response.InForce = true
		}
		return response, err
	}
	locked := func(handle func(context.Context, string, []byte) (any, error)) func(context.Context, string, []byte) (any, error) {
		return func(ctx context.Context, subject string, body []byte) (any, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.calls++; f.beforeCall != nil {
				f.beforeCall(f.calls)
			}
			result, err := handle(ctx, subject, body)
			if f.dropEvery > 0 && f.calls%f.dropEvery == 0 {
				panic(http.ErrAbortHandler)
			}
			return result, err
		}
	}
	mux := chi.NewRouter()
	rpc.New(rpc.Call{Name: snapshot.SnapshotCall, MaxBody: 1 << 10, Handle: locked(read)},
		rpc.Call{Name: snapshot.RestoreCall, MaxBody: 2 * snapshot.MaxChunkBytes, Handle: locked(restore)}).Mount(mux)
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

// A snapshot is consistent although the set changes during the download, and replaces all items of another control process when it is
// restored, also if responses are lost.
func TestSnapshotAndRestore(t *testing.T) {
	for _, dropEvery := range []int{0, 3} {
		c := qt.New(t)
		path := filepath.Join(c.TempDir(), "snapshot")
		source := &fakeControl{set: populatedSet(2500), index: 9, dropEvery: dropEvery}
		want := source.set.Checksum()
		source.beforeCall = func(n int) {
			if n > 1 {
				source.index++
				source.set.Apply([]config.Item{{Kind: config.KindRoutes, Name: fmt.Sprint("r", n), Version: uint64(9000 + n), Deleted: true}})
			}
		}
		client := &Client{Addresses: []string{source.serve(c)}, HTTP: &http.Client{}, Timeout: 10 * time.Second}
		header, err := client.DownloadSnapshot(context.Background(), path)
		c.Assert(err, qt.IsNil)
		c.Check(header.Index, qt.Equals, uint64(9))
		c.Check(source.calls > 3, qt.IsTrue)
		_, err = os.Stat(path + ".partial")
		c.Check(os.IsNotExist(err), qt.IsTrue)
		c.Check(IsSnapshot(path), qt.IsTrue)

		target := &fakeControl{set: populatedSet(7), dropEvery: dropEvery}
		client.Addresses = []string{"127.0.0.1:1", target.serve(c)} // the first is unreachable
		client.Timeout = 500 * time.Millisecond
		_, err = client.RestoreSnapshot(context.Background(), path)
		c.Assert(err, qt.IsNil)
		c.Check(target.set.Checksum(), qt.Equals, want)
		c.Check(target.restored, qt.Equals, 1)
	}
}

// A download starts again if control drops the snapshot, but not forever. Control processes without the calls are reported as
// ErrUnsupported.
func TestSnapshotRestartedOrUnsupported(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "snapshot")
	control := &fakeControl{set: populatedSet(2500), index: 1}
	control.beforeCall = func(n int) {
		if n == 3 {
			control.cache, control.index = snapshot.Cache{}, 2
		}
	}
	p := &Client{Addresses: []string{control.serve(c)}, HTTP: &http.Client{}, Timeout: 5 * time.Second}
	header, err := p.DownloadSnapshot(context.Background(), path)
	c.Assert(err, qt.IsNil)
	c.Check(header.Index, qt.Equals, uint64(2))
	control.beforeCall = func(int) { control.cache = snapshot.Cache{}; control.index++ }
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

// A file that is truncated, corrupted or extended, or has an item that control would reject, is rejected before anything is sent.
func TestRestoreInvalidSnapshot(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	path := filepath.Join(dir, "snapshot")
	control := &fakeControl{set: populatedSet(1200), index: 1}
	p := &Client{Addresses: []string{control.serve(c)}, HTTP: &http.Client{}, Timeout: 5 * time.Second}
	_, err := p.DownloadSnapshot(context.Background(), path)
	c.Assert(err, qt.IsNil)
	raw, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	calls := control.calls
	bad := filepath.Join(dir, "bad")
	for offset := 0; offset < len(raw); offset += 1 + len(raw)/150 {
		corrupted := append([]byte(nil), raw...)
		corrupted[offset] ^= 0x5a
		for _, b := range [][]byte{corrupted, raw[:offset], append(append([]byte(nil), raw...), raw[:offset+4]...)} {
			c.Assert(os.WriteFile(bad, b, 0o600), qt.IsNil)
			_, err := p.RestoreSnapshot(context.Background(), bad)
			c.Assert(err, qt.ErrorMatches, "(?s).*bad: .*", qt.Commentf("%d", offset))
		}
	}
	c.Check(control.calls, qt.Equals, calls)
	control.set.Apply([]config.Item{{Kind: config.KindRoutes, Name: "wrong", Version: 5, Body: []byte(`{"name":"wrong","path-prefix":"no slash"}`)}})
	control.index++
	_, err = p.DownloadSnapshot(context.Background(), path)
	c.Assert(err, qt.IsNil)
	_, err = p.RestoreSnapshot(context.Background(), path)
	c.Check(err, qt.ErrorMatches, "(?s).*routes wrong: .*path-prefix.*")
	c.Check(control.restored, qt.Equals, 0)
}
