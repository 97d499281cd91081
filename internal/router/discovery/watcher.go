// Package discovery fetches the host list from the discovery service and follows its changes by long polling. Start reading at
// Watcher.Run.
package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/backoff"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/resolver"
	"portflow/internal/router/settings"
)

// Update is a response of the discovery service: a complete host list, or changes to an earlier revision.
type Update struct {
	Revision uint64
	dispatch.HostsChanged
}

type updateJSON struct {
	Revision *uint64 `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []struct {
		ID       string  `json:"id"`
		HostPort string  `json:"host_port"`
		Locality string  `json:"locality"`
		Flavor   string  `json:"flavor"`
		Cell     int     `json:"cell"`
		Phase    string  `json:"phase"`
		Size     float64 `json:"size"`
		UpSince  int64   `json:"up_since_ms"`
		Image    int     `json:"image_id"`
	} `json:"members"`
}

var phases = map[string]decision.Health{"Ready": decision.Ready, "Terminating": decision.Draining, "Gone": decision.Gone}

// Decode parses and validates a response. It returns an error if any entry is invalid, or if a complete list is empty.
func Decode(raw []byte, s settings.Settings) (Update, error) {
	var in updateJSON
	if err := json.Unmarshal(raw, &in); err != nil {
		return Update{}, err
	}
	if in.Revision == nil {
		return Update{}, fmt.Errorf("revision: missing")
	}
	update := Update{Revision: *in.Revision, HostsChanged: dispatch.HostsChanged{Kind: decision.Delta}}
	if in.Complete {
		update.Kind = decision.Snapshot
		if len(in.Members) == 0 {
			return update, fmt.Errorf("members: the complete list is empty")
		}
	}
	seen := map[string]bool{}
	for i, entry := range in.Members {
		health, ok := phases[entry.Phase]
		switch {
		case entry.ID == "" || seen[entry.ID]:
			return update, fmt.Errorf("members[%d].id: %q is empty or a duplicate", i, entry.ID)
		case !ok:
			return update, fmt.Errorf("members[%d].phase: unknown value %q", i, entry.Phase)
		case entry.HostPort == "" && health != decision.Gone:
			return update, fmt.Errorf("members[%d].host_port: missing", i)
		case entry.UpSince < 0 || entry.UpSince > math.MaxInt64/1_000_000:
			return update, fmt.Errorf("members[%d].up_since_ms: %d is negative or too large", i, entry.UpSince)
		case entry.Image < 0 || entry.Image > math.MaxUint16:
			return update, fmt.Errorf("members[%d].image_id: %d is not between 0 and 65535", i, entry.Image)
		}
		seen[entry.ID] = true
		update.Hosts = append(update.Hosts, dispatch.Host{Name: entry.ID, Address: entry.HostPort, Zone: slices.Index(s.Zones, entry.Locality),
			Kind: slices.Index(s.Kinds, entry.Flavor), Cell: entry.Cell, Health: health, Build: entry.Image, Capacity: entry.Size,
			StartedAt: entry.UpSince * int64(time.Millisecond)})
	}
	return update, nil
}

// Watcher follows the host list and posts it and its changes as HostsChanged events. Once Run has been called, url, revision,
// needsSnapshot, backoff and subscribed are used only by Run.
type Watcher struct {
	address       *resolver.Address
	url           string // of the host list at the current address
	settings      settings.Settings
	post          func(dispatch.Event)
	log           zerolog.Logger
	client        http.Client
	revision      uint64    // of the latest list or changes
	needsSnapshot bool      // revision is unknown at the current address, so the complete list is required
	watchRequests chan bool // has the argument of the latest call of Watch that Run has not received
	backoff       backoff.Backoff
	subscribed    bool // Watch was called since the last failure; used if settings.Subscribe is set
}

const (
	// longPollWait is how long the service waits for a change before it responds. It is short so that a dead connection is detected
	// soon, and does not delay changes, as the service sends these at once.
	longPollWait = 3 * time.Second
	// longPollSlack is the time for the first byte of a response after longPollWait.
	longPollSlack = time.Second
	// bodyTimeout is the timeout for the rest of a response after its first byte. A response that is cut off is never completed.
	bodyTimeout = 500 * time.Millisecond
	// maxBodyBytes is enough for a list of thousands of hosts.
	maxBodyBytes = 4 << 20
)

// New returns a watcher of the service at initialAddress. Run calls post with each event, one at a time.
func New(initialAddress string, s settings.Settings, log zerolog.Logger, post func(dispatch.Event)) *Watcher {
	return &Watcher{address: resolver.New(initialAddress), settings: s, post: post, log: log,
		client: http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 2,
			IdleConnTimeout: time.Second, MaxResponseHeaderBytes: 64 << 10}, CheckRedirect: resolver.NoRedirect},
		watchRequests: make(chan bool, 1), needsSnapshot: true}
}

// SetKnown sets the revision of the host list that the router starts with. The first call then fetches the changes since that
// revision instead of the complete list. It must be called before Run.
func (w *Watcher) SetKnown(revision uint64) { w.revision, w.needsSnapshot = revision, false }

// Seed seeds the random delays after failed calls. It must be called before Run.
func (w *Watcher) Seed(seed uint64) { w.backoff.Source.Seed = seed }

// SetAddress switches to another address. Run fetches the complete list there, as the revisions of two services are unrelated. It is
// safe for concurrent use.
func (w *Watcher) SetAddress(address string) { w.address.Set(address) }

// Watch implements dispatch.HostWatcher. If settings.Subscribe is set, Watch(true) starts the watch, which continues until a call
// fails. Watch(false) only withdraws a Watch(true) that Run has not received. Watch must not be called concurrently.
func (w *Watcher) Watch(on bool) {
	select {
	case <-w.watchRequests:
	default:
	}
	w.watchRequests <- on
}

// Run follows the host list until ctx is done. It repeats a failed call with exponential backoff. If settings.Subscribe is set, Run
// waits for Watch before the first call, and after a failed one posts FetchFailed and waits for Watch again. SetAddress cancels the
// current call.
//
// Even after a failure, Run fetches only the changes since the last revision. All routers share the service, which computes a
// complete list for each call that requests one: once overloaded by such calls, it would never catch up (docs/fleet.md).
func (w *Watcher) Run(ctx context.Context) { w.address.Run(ctx, w.watchAddress) }

// watchAddress follows the host list at one address until ctx is done.
func (w *Watcher) watchAddress(ctx context.Context, address string) {
	defer w.client.CloseIdleConnections()
	w.url = "http://" + address + "/api/targets"
	defer func() { w.revision, w.needsSnapshot = 0, true }() // revisions are unknown at the next address
	failures := 0
	for ctx.Err() == nil {
		if w.settings.Subscribe && !w.subscribed {
			select {
			case w.subscribed = <-w.watchRequests:
				continue
			case <-ctx.Done():
				return
			}
		}
		update, err := w.fetch(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.client.CloseIdleConnections() // a connection is not reused after a failed call
			if failures++; failures == 1 {
				w.log.Warn().Err(err).Msg("discovery")
			}
			if w.settings.Subscribe {
				w.subscribed = false
				w.post(dispatch.HostsChanged{Kind: decision.FetchFailed})
				continue
			}
			w.backoff.Wait(ctx, failures)
			continue
		}
		recovered := failures > 0
		failures, w.needsSnapshot = 0, false
		// After a failure, even an empty update is posted, to report that calls succeed again.
		if w.revision = update.Revision; len(update.Hosts) > 0 || recovered {
			w.post(update.HostsChanged)
		}
	}
}

func (w *Watcher) fetch(ctx context.Context) (Update, error) {
	url, snapshot := w.url, w.needsSnapshot
	if !snapshot {
		url += "?index=" + strconv.FormatUint(w.revision, 10) + "&wait=" + strconv.FormatInt(longPollWait.Milliseconds(), 10)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(longPollWait+longPollSlack, cancel)
	defer timer.Stop()
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { timer.Reset(bodyTimeout) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, url, nil)
	if err != nil {
		return Update{}, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return Update{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return Update{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return Update{}, fmt.Errorf("status %s", resp.Status)
	}
	update, err := Decode(raw, w.settings)
	if err == nil && !snapshot && update.Revision < w.revision {
		err = fmt.Errorf("revision %d is older than the known revision %d", update.Revision, w.revision)
		w.revision, w.needsSnapshot = 0, true
	}
	if err == nil && snapshot && update.Kind != decision.Snapshot {
		err = fmt.Errorf("got changes in response to a request for the complete list")
	}
	return update, err
}
