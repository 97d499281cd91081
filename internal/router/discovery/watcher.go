// Package discovery asks discovery for the list of hosts and watches its changes.
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

// Update is one of discovery's answers.
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

// Decode reads an answer; a contradictory one is an error as a whole.
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
			return update, fmt.Errorf("members: a whole list without any")
		}
	}
	seen := map[string]bool{}
	for i, entry := range in.Members {
		health, ok := phases[entry.Phase]
		switch {
		case entry.ID == "" || seen[entry.ID]:
			return update, fmt.Errorf("members[%d].id: %q is missing or there twice", i, entry.ID)
		case !ok:
			return update, fmt.Errorf("members[%d].phase: %q is unknown", i, entry.Phase)
		case entry.HostPort == "" && health != decision.Gone:
			return update, fmt.Errorf("members[%d].host_port: missing", i)
		case entry.UpSince < 0 || entry.UpSince > math.MaxInt64/1_000_000:
			return update, fmt.Errorf("members[%d].up_since_ms: %d is no time", i, entry.UpSince)
		case entry.Image < 0 || entry.Image > math.MaxUint16:
			return update, fmt.Errorf("members[%d].image_id: %d is no build", i, entry.Image)
		}
		seen[entry.ID] = true
		update.Hosts = append(update.Hosts, dispatch.Host{Name: entry.ID, Address: entry.HostPort, Zone: slices.Index(s.Zones, entry.Locality),
			Kind: slices.Index(s.Kinds, entry.Flavor), Cell: entry.Cell, Health: health, Build: entry.Image, Capacity: entry.Size,
			StartedAt: entry.UpSince * int64(time.Millisecond)})
	}
	return update, nil
}

// Watcher keeps the list up to date.
type Watcher struct {
	address       *resolver.Address
	url           string // there
	settings      settings.Settings
	post          func(dispatch.Event)
	log           zerolog.Logger
	client        http.Client
	revision      uint64
	needsSnapshot bool // the list that is here has no revision there: the whole of it is wanted
	watchRequests chan bool
	backoff       backoff.Backoff
	subscribed    bool // the router wants the list, where it must be asked for
}

const (
	// a change is answered at once whatever this is; short, so that a connection that went silent is soon found
	longPollWait  = 3 * time.Second
	longPollSlack = time.Second            // for the answer after it
	bodyTimeout   = 500 * time.Millisecond // for the rest of an answer after its first byte: one cut short never comes
	maxBodyBytes  = 4 << 20                // a list of thousands of hosts
)

// New makes a watch on discovery's address.
func New(initialAddress string, s settings.Settings, log zerolog.Logger, post func(dispatch.Event)) *Watcher {
	return &Watcher{address: resolver.New(initialAddress), settings: s, post: post, log: log,
		client: http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 2,
			IdleConnTimeout: time.Second, MaxResponseHeaderBytes: 64 << 10}, CheckRedirect: resolver.NoRedirect},
		watchRequests: make(chan bool, 1), needsSnapshot: true}
}

// SetKnown tells the revision of the list that the router begins with: the first call asks for what came after it. It is
// called before Run.
func (w *Watcher) SetKnown(revision uint64) { w.revision, w.needsSnapshot = revision, false }

// Seed sets the chance of the waits between calls that fail. It is called before Run.
func (w *Watcher) Seed(seed uint64) { w.backoff.Source.Seed = seed }

// SetAddress has the list asked for at another address: the whole of it, as that one counts its revisions by itself.
func (w *Watcher) SetAddress(address string) { w.address.Set(address) }

// Watch starts or stops the watch where it is the router's to ask for it.
func (w *Watcher) Watch(on bool) {
	select {
	case <-w.watchRequests:
	default:
	}
	w.watchRequests <- on
}

// Run watches until the context ends: at once, or where it must be asked for, after each time it is. A call
// that fails is repeated after a wait that grows, or told, so that the router asks again. A move ends the call.
//
// What is asked for is what came after the list that is here, also after a failure: the whole list is made anew at a
// service that all routers share, and one that can't keep up with them would never catch up (docs/fleet.md).
func (w *Watcher) Run(ctx context.Context) { w.address.Run(ctx, w.watchAddress) }

// watchAddress watches at one address.
func (w *Watcher) watchAddress(ctx context.Context, address string) {
	defer w.client.CloseIdleConnections()
	w.url = "http://" + address + "/api/targets"
	defer func() { w.revision, w.needsSnapshot = 0, true }() // the next address counts by itself
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
			w.client.CloseIdleConnections() // what can't be read leaves a connection of no use
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
		if w.revision = update.Revision; len(update.Hosts) > 0 || recovered { // also that calls are answered again
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
		err = fmt.Errorf("revision %d after %d", update.Revision, w.revision)
		w.revision, w.needsSnapshot = 0, true
	}
	if err == nil && snapshot && update.Kind != decision.Snapshot {
		err = fmt.Errorf("changes where the whole list was asked for")
	}
	return update, err
}
