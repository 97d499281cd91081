// Package platform is the client of the deployment platform. It casts votes on the rollout of a build and follows the platform's
// stream of updates about it.
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

// voteRefusal is the error code that the platform sends with an HTTP status when it refuses a vote, and the result of such a vote.
type voteRefusal struct {
	code   string
	result decision.VoteResult
}

// maxMessageBytes bounds the header and the body of a response, and each line of the stream.
const maxMessageBytes = 64 << 10

// DecodeRollout parses and validates the state of the newest build's rollout.
func DecodeRollout(raw []byte) (dispatch.RolloutChanged, error) {
	var s rolloutJSON
	if err := json.Unmarshal(raw, &s); err != nil {
		return dispatch.RolloutChanged{}, err
	}
	rolloutState, ok := rolloutStates[s.Mode]
	switch {
	case s.Release == nil || *s.Release < 0 || *s.Release > math.MaxUint16:
		return dispatch.RolloutChanged{}, errors.New("release: missing or not between 0 and 65535")
	case s.Tranche < 0 || s.Tranche > math.MaxUint8:
		return dispatch.RolloutChanged{}, fmt.Errorf("tranche: %d is not between 0 and 255", s.Tranche)
	case !ok:
		return dispatch.RolloutChanged{}, fmt.Errorf("mode: unknown value %q", s.Mode)
	case !(s.Exposure >= 0 && s.Exposure <= 1):
		return dispatch.RolloutChanged{}, fmt.Errorf("exposure: %v is not between 0 and 1", s.Exposure)
	case s.OldMs < 0 || s.OldMs > math.MaxInt64/1_000_000:
		return dispatch.RolloutChanged{}, fmt.Errorf("old_ms: %d is negative or too large", s.OldMs)
	}
	return dispatch.RolloutChanged{Rollout: decision.Rollout{Build: *s.Release, Stage: s.Tranche, State: rolloutState, ExposureCap: s.Exposure,
		Age: s.OldMs * int64(time.Millisecond)}}, nil
}

// Client is a client of the platform. Its methods except Seed and Run are safe for concurrent use.
type Client struct {
	address     *resolver.Address
	classNames  []string // by class index
	post        func(dispatch.Event)
	log         zerolog.Logger
	voteTimeout time.Duration
	httpClient  http.Client
	voteSlots   chan struct{}   // semaphore for votes in progress
	backoff     backoff.Backoff // used by Run
}

// maxVoteCalls bounds the votes in progress, each of which has its own connection. The platform accepts 32 connections.
const maxVoteCalls = 4

// New returns a client of the platform at initialAddress. names are the names of the request classes by index, and timeout is for
// one vote. post receives the events, on any goroutine.
//
// Each call has its own connection. The platform may close an idle connection at any time, and it would then be unknown whether a
// vote on that connection was received.
func New(initialAddress string, names []string, timeout time.Duration, log zerolog.Logger, post func(dispatch.Event)) *Client {
	return &Client{address: resolver.New(initialAddress), classNames: names, post: post, log: log, voteTimeout: timeout,
		httpClient: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext, MaxResponseHeaderBytes: maxMessageBytes},
			CheckRedirect: resolver.NoRedirect},
		voteSlots: make(chan struct{}, maxVoteCalls)}
}

// Seed seeds the random delays between Run's attempts to reconnect. It must be called before Run.
func (c *Client) Seed(seed uint64) { c.backoff.Source.Seed = seed }

// SetAddress switches to another address. Later votes go there, and Run closes the current stream and opens one there.
func (c *Client) SetAddress(address string) { c.address.Set(address) }

func apiURL(address string) string { return "http://" + address + "/api/" }

// Vote implements dispatch.RolloutPlatform. It casts a vote on a goroutine, which ends within the vote timeout, and posts the result
// as a RolloutChanged event with VoteReply set. If too many votes are in progress, it posts VoteThrottled without sending the vote.
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
	body, _ := json.Marshal(v) // cannot fail for integers and a string
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, apiURL(c.address.Current())+"verdicts", bytes.NewReader(body))
	if err != nil {
		return unanswered
	}
	req.GetBody = nil // keeps http.Transport from sending the vote again
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
	if refusal, ok := voteRefusals[resp.StatusCode]; ok { // trusted only with the error code that belongs to the status
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

// classIndex returns the index of a class, or -1 if the name is unknown.
func (c *Client) classIndex(name string) int { return slices.Index(c.classNames, name) }
