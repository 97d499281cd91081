// Package platform casts votes on builds and follows the platform's news.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/backoff"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/resolver"
)

type state struct {
	Release  *int    `json:"release"`
	Tranche  int     `json:"tranche"`
	Mode     string  `json:"mode"`
	Exposure float64 `json:"exposure"`
	OldMs    int64   `json:"old_ms"`
}

type vote struct {
	Release int    `json:"release"`
	Tranche int    `json:"tranche"`
	Ruling  string `json:"ruling"`
}

var (
	modes = map[string]decision.Standing{"canary": decision.OnTrial, "reverting": decision.GoingBack,
		"stable": decision.Released, "reverted": decision.Withdrawn}
	rulings = map[decision.Verdict]string{decision.NoVote: "WITHDRAW", decision.On: "PROCEED", decision.Hold: "HOLD",
		decision.Back: "ROLLBACK"}
	refusals = map[int]refusal{http.StatusTooManyRequests: {"throttled", decision.CallsFull},
		http.StatusConflict: {"conflict", decision.Moot}, http.StatusInternalServerError: {"internal", decision.CallError},
		http.StatusBadRequest: {"invalid", decision.CallError}}
)

// refusal is the word that comes with a status, and what both mean.
type refusal struct {
	word   string
	ending decision.CallEnding
}

const largest = 64 << 10 // a message's bytes

// DecodeNews reads the state of the newest build.
func DecodeNews(raw []byte) (dispatch.News, error) {
	var s state
	if err := json.Unmarshal(raw, &s); err != nil {
		return dispatch.News{}, err
	}
	standing, ok := modes[s.Mode]
	switch {
	case s.Release == nil || *s.Release < 0 || *s.Release > math.MaxUint16:
		return dispatch.News{}, errors.New("release: missing or no build")
	case s.Tranche < 0 || s.Tranche > math.MaxUint8:
		return dispatch.News{}, fmt.Errorf("tranche: %d is no stage", s.Tranche)
	case !ok:
		return dispatch.News{}, fmt.Errorf("mode: %q is unknown", s.Mode)
	case !(s.Exposure >= 0 && s.Exposure <= 1):
		return dispatch.News{}, fmt.Errorf("exposure: %v is no share", s.Exposure)
	case s.OldMs < 0 || s.OldMs > math.MaxInt64/1_000_000:
		return dispatch.News{}, fmt.Errorf("old_ms: %d is no age", s.OldMs)
	}
	return dispatch.News{News: decision.News{Build: *s.Release, Stage: s.Tranche, Standing: standing, Cap: s.Exposure,
		Age: s.OldMs * int64(time.Millisecond)}}, nil
}

// Platform is the platform at one address.
type Platform struct {
	address *resolver.Address
	bands   []string
	post    func(dispatch.Event)
	log     zerolog.Logger
	wait    time.Duration
	client  http.Client
	slots   chan struct{}
	waits   backoff.Waits // the news's
}

// A connection may be closed by the platform after any short rest, and a vote on it would then be in doubt:
// each call has a connection of its own. Votes come seldom.
const calls = 4 // at once, far below the 32 connections that the platform holds

// New makes the platform at an address; a vote's answer is waited for so long.
func New(at string, bands []string, wait time.Duration, log zerolog.Logger, post func(dispatch.Event)) *Platform {
	return &Platform{address: resolver.New(at), bands: bands, post: post, log: log, wait: wait,
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext, MaxResponseHeaderBytes: largest},
			CheckRedirect: resolver.NoRedirect},
		slots: make(chan struct{}, calls)}
}

// Seed sets the chance of the waits between calls for the news that fail. It is called before Run.
func (p *Platform) Seed(seed uint64) { p.waits.Draw.Seed = seed }

// Move takes up another address: further votes go there, and the news is followed there from now on.
func (p *Platform) Move(address string) { p.address.Move(address) }

func api(at string) string { return "http://" + at + "/api/" }

// Vote casts a vote; what comes of it is posted as News.
func (p *Platform) Vote(v decision.Verdict, build, stage int) {
	select {
	case p.slots <- struct{}{}:
	default:
		go p.post(dispatch.News{News: decision.News{Reply: true, Ending: decision.CallsFull}})
		return
	}
	go func() {
		n := p.cast(vote{build, stage, rulings[v]})
		<-p.slots
		p.post(n)
	}()
}

func (p *Platform) cast(v vote) dispatch.News {
	ctx, cancel := context.WithTimeout(context.Background(), p.wait)
	defer cancel()
	silent := dispatch.News{News: decision.News{Reply: true, Ending: decision.CallSilent}}
	body, _ := json.Marshal(v) // of two numbers and a word
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, api(p.address.Now())+"verdicts", bytes.NewReader(body))
	if err != nil {
		return silent
	}
	req.GetBody = nil // sent once
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.client.Do(req)
	if err != nil {
		p.log.Debug().Err(err).Msg("vote")
		return silent
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, largest))
	if err != nil {
		return silent
	}
	if r, ok := refusals[resp.StatusCode]; ok { // a status whose answer can't be read may be as wrong as the rest
		var said struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(raw, &said) != nil || said.Error != r.word {
			return silent
		}
		return dispatch.News{News: decision.News{Reply: true, Ending: r.ending}}
	}
	n, err := DecodeNews(raw)
	if resp.StatusCode != http.StatusOK || err != nil {
		p.log.Debug().Err(err).Int("status", resp.StatusCode).Msg("vote's answer")
		return silent
	}
	n.Reply = true
	return n
}

// band is a band's position, -1 for none of that name.
func (p *Platform) band(name string) int { return slices.Index(p.bands, name) }
