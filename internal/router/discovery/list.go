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

// Message is one of discovery's answers.
type Message struct {
	Revision uint64
	dispatch.List
}

type message struct {
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
func Decode(raw []byte, s settings.Settings) (Message, error) {
	var in message
	if err := json.Unmarshal(raw, &in); err != nil {
		return Message{}, err
	}
	if in.Revision == nil {
		return Message{}, fmt.Errorf("revision: missing")
	}
	out := Message{Revision: *in.Revision, List: dispatch.List{Form: decision.Changes}}
	if in.Complete {
		out.Form = decision.Whole
		if len(in.Members) == 0 {
			return out, fmt.Errorf("members: a whole list without any")
		}
	}
	seen := map[string]bool{}
	for i, m := range in.Members {
		health, ok := phases[m.Phase]
		switch {
		case m.ID == "" || seen[m.ID]:
			return out, fmt.Errorf("members[%d].id: %q is missing or there twice", i, m.ID)
		case !ok:
			return out, fmt.Errorf("members[%d].phase: %q is unknown", i, m.Phase)
		case m.HostPort == "" && health != decision.Gone:
			return out, fmt.Errorf("members[%d].host_port: missing", i)
		case m.UpSince < 0 || m.UpSince > math.MaxInt64/1_000_000:
			return out, fmt.Errorf("members[%d].up_since_ms: %d is no time", i, m.UpSince)
		case m.Image < 0 || m.Image > math.MaxUint16:
			return out, fmt.Errorf("members[%d].image_id: %d is no build", i, m.Image)
		}
		seen[m.ID] = true
		out.Hosts = append(out.Hosts, dispatch.Host{Name: m.ID, Address: m.HostPort, Zone: slices.Index(s.Zones, m.Locality),
			Kind: slices.Index(s.Kinds, m.Flavor), Cell: m.Cell, Health: health, Build: m.Image, Size: m.Size,
			Started: m.UpSince * int64(time.Millisecond)})
	}
	return out, nil
}

// Watch keeps the list up to date.
type Watch struct {
	address  *resolver.Address
	url      string // there
	settings settings.Settings
	post     func(dispatch.Event)
	log      zerolog.Logger
	client   http.Client
	revision uint64
	behind   bool // the list that is here has no revision there: the whole of it is wanted
	on       chan bool
	waits    backoff.Waits
	asked    bool // the router wants the list, where it must be asked for
}

const (
	// a change is answered at once whatever this is; short, so that a connection that went silent is soon found
	waitFor = 3 * time.Second
	slack   = time.Second            // for the answer after it
	restIn  = 500 * time.Millisecond // for the rest of an answer after its first byte: one cut short never comes
	largest = 4 << 20                // a list of thousands of hosts
)

// New makes a watch on discovery's address.
func New(at string, s settings.Settings, log zerolog.Logger, post func(dispatch.Event)) *Watch {
	return &Watch{address: resolver.New(at), settings: s, post: post, log: log,
		client: http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 2,
			IdleConnTimeout: time.Second, MaxResponseHeaderBytes: 64 << 10}, CheckRedirect: resolver.NoRedirect},
		on: make(chan bool, 1), behind: true}
}

// Known tells the revision of the list that the router begins with: the first call asks for what came after it. It is
// called before Run.
func (w *Watch) Known(revision uint64) { w.revision, w.behind = revision, false }

// Seed sets the chance of the waits between calls that fail. It is called before Run.
func (w *Watch) Seed(seed uint64) { w.waits.Draw.Seed = seed }

// Move has the list asked for at another address: the whole of it, as that one counts its revisions by itself.
func (w *Watch) Move(address string) { w.address.Move(address) }

// Watch starts or stops the watch where it is the router's to ask for it.
func (w *Watch) Watch(on bool) {
	select {
	case <-w.on:
	default:
	}
	w.on <- on
}

// Run watches until the context ends: at once, or where it must be asked for, after each time it is. A call
// that fails is repeated after a wait that grows, or told, so that the router asks again. A move ends the call.
//
// What is asked for is what came after the list that is here, also after a failure: the whole list is made anew at a
// service that all routers share, and one that can't keep up with them would never catch up (docs/fleet.md).
func (w *Watch) Run(ctx context.Context) { w.address.Run(ctx, w.stay) }

// stay watches at one address.
func (w *Watch) stay(ctx context.Context, at string) {
	defer w.client.CloseIdleConnections()
	w.url = "http://" + at + "/api/targets"
	defer func() { w.revision, w.behind = 0, true }() // the next address counts by itself
	failures := 0
	for ctx.Err() == nil {
		if w.settings.Subscribe && !w.asked {
			select {
			case w.asked = <-w.on:
				continue
			case <-ctx.Done():
				return
			}
		}
		m, err := w.ask(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.client.CloseIdleConnections() // what can't be read leaves a connection of no use
			if failures++; failures == 1 {
				w.log.Warn().Err(err).Msg("discovery")
			}
			if w.settings.Subscribe {
				w.asked = false
				w.post(dispatch.List{Form: decision.CallFailed})
				continue
			}
			w.waits.Wait(ctx, failures)
			continue
		}
		back := failures > 0
		failures, w.behind = 0, false
		if w.revision = m.Revision; len(m.Hosts) > 0 || back { // also that calls are answered again
			w.post(m.List)
		}
	}
}

func (w *Watch) ask(ctx context.Context) (Message, error) {
	url, whole := w.url, w.behind
	if !whole {
		url += "?index=" + strconv.FormatUint(w.revision, 10) + "&wait=" + strconv.FormatInt(waitFor.Milliseconds(), 10)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	over := time.AfterFunc(waitFor+slack, cancel)
	defer over.Stop()
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { over.Reset(restIn) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, url, nil)
	if err != nil {
		return Message{}, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return Message{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, largest))
	if err != nil {
		return Message{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return Message{}, fmt.Errorf("status %s", resp.Status)
	}
	m, err := Decode(raw, w.settings)
	if err == nil && !whole && m.Revision < w.revision {
		err = fmt.Errorf("revision %d after %d", m.Revision, w.revision)
		w.revision, w.behind = 0, true
	}
	if err == nil && whole && m.Form != decision.Whole {
		err = fmt.Errorf("changes where the whole list was asked for")
	}
	return m, err
}
