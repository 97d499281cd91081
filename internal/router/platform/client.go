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

type rolloutJSON struct {
	Release  *int    `json:"release"`
	Tranche  int     `json:"tranche"`
	Mode     string  `json:"mode"`
	Exposure float64 `json:"exposure"`
	OldMs    int64   `json:"old_ms"`
}

type voteJSON struct {
	Release int    `json:"release"`
	Tranche int    `json:"tranche"`
	Ruling  string `json:"ruling"`
}

var (
	rolloutStates = map[string]decision.RolloutState{"canary": decision.OnTrial, "reverting": decision.RollingBack,
		"stable": decision.Released, "reverted": decision.RolledBack}
	verdictNames = map[decision.Verdict]string{decision.NoVote: "WITHDRAW", decision.Advance: "PROCEED", decision.Hold: "HOLD",
		decision.RollBack: "ROLLBACK"}
	voteRefusals = map[int]voteRefusal{http.StatusTooManyRequests: {"throttled", decision.VoteThrottled},
		http.StatusConflict: {"conflict", decision.VoteConflict}, http.StatusInternalServerError: {"internal", decision.VoteFailed},
		http.StatusBadRequest: {"invalid", decision.VoteFailed}}
)

// voteRefusal is the word that comes with a status, and what both mean.
type voteRefusal struct {
	code   string
	result decision.VoteResult
}

const maxMessageBytes = 64 << 10 // a message's bytes

// DecodeRollout reads the state of the newest build.
func DecodeRollout(raw []byte) (dispatch.RolloutChanged, error) {
	var s rolloutJSON
	if err := json.Unmarshal(raw, &s); err != nil {
		return dispatch.RolloutChanged{}, err
	}
	rolloutState, ok := rolloutStates[s.Mode]
	switch {
	case s.Release == nil || *s.Release < 0 || *s.Release > math.MaxUint16:
		return dispatch.RolloutChanged{}, errors.New("release: missing or no build")
	case s.Tranche < 0 || s.Tranche > math.MaxUint8:
		return dispatch.RolloutChanged{}, fmt.Errorf("tranche: %d is no stage", s.Tranche)
	case !ok:
		return dispatch.RolloutChanged{}, fmt.Errorf("mode: %q is unknown", s.Mode)
	case !(s.Exposure >= 0 && s.Exposure <= 1):
		return dispatch.RolloutChanged{}, fmt.Errorf("exposure: %v is no share", s.Exposure)
	case s.OldMs < 0 || s.OldMs > math.MaxInt64/1_000_000:
		return dispatch.RolloutChanged{}, fmt.Errorf("old_ms: %d is no age", s.OldMs)
	}
	return dispatch.RolloutChanged{Rollout: decision.Rollout{Build: *s.Release, Stage: s.Tranche, State: rolloutState, ExposureCap: s.Exposure,
		Age: s.OldMs * int64(time.Millisecond)}}, nil
}

// Client is the platform at one address.
type Client struct {
	address     *resolver.Address
	classNames  []string
	post        func(dispatch.Event)
	log         zerolog.Logger
	voteTimeout time.Duration
	httpClient  http.Client
	voteSlots   chan struct{}
	backoff     backoff.Backoff // the news's
}

// A connection may be closed by the platform after any short rest, and a vote on it would then be in doubt:
// each call has a connection of its own. Votes come seldom.
const maxVoteCalls = 4 // at once, far below the 32 connections that the platform holds

// New makes the platform at an address; a vote's answer is waited for so long.
func New(initialAddress string, names []string, timeout time.Duration, log zerolog.Logger, post func(dispatch.Event)) *Client {
	return &Client{address: resolver.New(initialAddress), classNames: names, post: post, log: log, voteTimeout: timeout,
		httpClient: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext, MaxResponseHeaderBytes: maxMessageBytes},
			CheckRedirect: resolver.NoRedirect},
		voteSlots: make(chan struct{}, maxVoteCalls)}
}

// Seed sets the chance of the waits between calls for the news that fail. It is called before Run.
func (c *Client) Seed(seed uint64) { c.backoff.Source.Seed = seed }

// SetAddress takes up another address: further votes go there, and the news is followed there from now on.
func (c *Client) SetAddress(address string) { c.address.Set(address) }

func apiURL(address string) string { return "http://" + address + "/api/" }

// Vote casts a vote; what comes of it is posted as News.
func (c *Client) Vote(v decision.Verdict, build, stage int) {
	select {
	case c.voteSlots <- struct{}{}:
	default:
		go c.post(dispatch.RolloutChanged{Rollout: decision.Rollout{VoteReply: true, VoteResult: decision.VoteThrottled}})
		return
	}
	go func() {
		result := c.castVote(voteJSON{build, stage, verdictNames[v]})
		<-c.voteSlots
		c.post(result)
	}()
}

func (c *Client) castVote(v voteJSON) dispatch.RolloutChanged {
	ctx, cancel := context.WithTimeout(context.Background(), c.voteTimeout)
	defer cancel()
	unanswered := dispatch.RolloutChanged{Rollout: decision.Rollout{VoteReply: true, VoteResult: decision.VoteUnanswered}}
	body, _ := json.Marshal(v) // of two numbers and a word
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, apiURL(c.address.Current())+"verdicts", bytes.NewReader(body))
	if err != nil {
		return unanswered
	}
	req.GetBody = nil // sent once
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.httpClient.Do(req)
	if err != nil {
		c.log.Debug().Err(err).Msg("vote")
		return unanswered
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	if err != nil {
		return unanswered
	}
	if refusal, ok := voteRefusals[resp.StatusCode]; ok { // a status whose answer can't be read may be as wrong as the rest
		var failure struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(raw, &failure) != nil || failure.Error != refusal.code {
			return unanswered
		}
		return dispatch.RolloutChanged{Rollout: decision.Rollout{VoteReply: true, VoteResult: refusal.result}}
	}
	rollout, err := DecodeRollout(raw)
	if resp.StatusCode != http.StatusOK || err != nil {
		c.log.Debug().Err(err).Int("status", resp.StatusCode).Msg("vote's answer")
		return unanswered
	}
	rollout.VoteReply = true
	return rollout
}

// classIndex is a band's position, -1 for none of that name.
func (c *Client) classIndex(name string) int { return slices.Index(c.classNames, name) }
