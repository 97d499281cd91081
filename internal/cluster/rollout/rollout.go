// Package rollout implements the control side of a rollout: its stored form, how the votes of proxies decide its outcome, and how long
// it has been running. The package does no input or output and reads no clock. How a proxy arrives at its vote is up to package decision.
package rollout

import (
	"encoding/json"
	"fmt"
	"hash/fnv"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
)

// State is the state of a rollout.
type State uint8

// The states of a rollout. None means that the service has never had one.
const (
	None State = iota
	Running
	Completed
	RolledBack
)

var stateNames = [...]string{None: "none", Running: "running", Completed: "completed", RolledBack: "rolled_back"}

func (s State) String() string { return stateNames[s] }

// ParseState is the inverse of State.String. It returns None for an unknown name.
func ParseState(name string) State {
	for s, n := range stateNames {
		if n == name {
			return State(s)
		}
	}
	return None
}

// Rollout is a rollout of one service to a target version. Times are in nanoseconds. As stored, StartedAt and EndedAt are wall-clock
// times, for display. Code that needs the age of a rollout calls StartTimes.Localize first, which sets StartedAt to a time of the local
// clock.
type Rollout struct {
	Service      string `json:"-"`
	Number       uint64 `json:"order"` // number of this rollout within the service, from 1
	From         string `json:"from"`
	BaseNumber   uint64 `json:"base"` // number of the rollout that introduced From, 0 if none did
	Target       string `json:"target"`
	StartedAt    int64  `json:"began"`           // Unix nanoseconds, unless localized
	ClocksAgreed bool   `json:"dated,omitempty"` // the clocks of a majority of the members agreed on StartedAt
	Duration     int64  `json:"term"`
	State        State  `json:"state"`
	EndedAt      int64  `json:"ended,omitempty"` // Unix nanoseconds when the outcome was decided
	// Switching is set while a completed rollout is still reported as running, so that proxies can move off the old hosts, which stop
	// as soon as completion is reported.
	Switching bool `json:"switching,omitempty"`
	// PastDigests has the Digest of each of the service's previous rollouts, newest first, and 0 where there is none.
	PastDigests [MaxPastDigests]uint64 `json:"past,omitzero"`
}

// MaxPastDigests is the number of previous rollouts of a service that late copies of a request are checked against. No more than that
// end within the time for which a client retries a request.
const MaxPastDigests = 8

// Digest returns a hash of what a rollout request asks for: requests with the same target and duration have the same digest. It is
// never 0.
func Digest(target string, duration int64) uint64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d %s", duration, target)
	return max(1, hash.Sum64())
}

// Next returns the rollout that follows r, with its number, base and past digests set. The caller fills in the request and the start
// time.
func (r Rollout) Next() Rollout {
	next := Rollout{Service: r.Service, Number: r.Number + 1, BaseNumber: r.StableBuild(), State: Running, PastDigests: r.PastDigests}
	if r.Number > 0 {
		copy(next.PastDigests[1:], r.PastDigests[:])
		next.PastDigests[0] = Digest(r.Target, r.Duration)
	}
	return next
}

// FromItem decodes a rollout from its configuration item. For an invalid item it returns a Rollout with only the service set.
func FromItem(item config.Item) (r Rollout) {
	if json.Unmarshal(item.Body, &r) != nil || r.State > RolledBack {
		return Rollout{Service: item.Name}
	}
	r.Service = item.Name
	return r
}

// Item encodes the rollout as a configuration item. Its version grows from running to switching to ended, and with each number, so that
// a later state of the rollout supersedes an earlier one in whatever order they arrive. Earlier releases wrote half of these versions.
func (r Rollout) Item() config.Item {
	body, _ := json.Marshal(r)
	version := r.Number * 4
	switch {
	case r.Switching:
		version++
	case r.State > Running:
		version += 2
	}
	return config.Item{Kind: config.KindRollouts, Name: r.Service, Version: version, Body: body}
}

// ID identifies the rollout among those of all services.
func (r Rollout) ID() string { return fmt.Sprintf("%s#%d", r.Service, r.Number) }

// switchingTime is the time, in nanoseconds, that proxies have to move off the old hosts before a rollout is reported as completed. The
// old hosts then stop, even with requests in flight.
const switchingTime = int64(800e6)

// VisibleState returns the state that is reported to operators. It depends only on replicated data, not on a clock: once one reader has
// seen a rollout as completed, every later reader does.
func (r Rollout) VisibleState() State {
	if r.Switching {
		return Running
	}
	return r.State
}

// SwitchComplete reports whether this process should propose the end of switching, for a rollout that it has seen switching since the
// given local time. rank is the number of control processes that propose before this one.
func SwitchComplete(now, since int64, rank int) bool {
	return now-since >= switchingTime+int64(rank)*proposalDelay
}

// StableVersion returns the version of a service that is not on trial, given its newest rollout. Before the first rollout that is the
// version in the service's stable-version item, initial.
func StableVersion(initial config.Item, r Rollout) string {
	switch r.State {
	case Completed:
		return r.Target
	case Running, RolledBack:
		return r.From
	}
	var body struct {
		Version string `json:"version"`
	}
	_ = json.Unmarshal(initial.Body, &body) // without a body there is no version
	return body.Version
}

// StableBuild returns the build number of the stable version: the number of the rollout that introduced it, 0 if none did.
func (r Rollout) StableBuild() uint64 {
	if r.State == Completed {
		return r.Number
	}
	return r.BaseNumber
}

// DecisionInput returns the rollout as input for package decision. r must be localized, with now on the same clock. maxShare caps the
// share of requests that go to a build on trial. Before the first rollout the stable build counts as released an hour ago.
func (r Rollout) DecisionInput(now int64, maxShare float64) decision.Rollout {
	input := decision.Rollout{Build: int(r.Number), State: decision.Released, ExposureCap: 1, Age: now - r.StartedAt}
	switch r.State {
	case None:
		input.Age = int64(3600e9)
	case Running:
		input.State, input.ExposureCap = decision.OnTrial, maxShare
	case RolledBack:
		input.State, input.ExposureCap = decision.RolledBack, 0
	}
	return input
}

const (
	// RequiredVotes is the number of votes that end a rollout: two, so that no proxy alone can end one. Package decision has one more voter
	// than that, as one may be disconnected.
	RequiredVotes = 2
	// VoteLifetime is the time for which a vote counts, in nanoseconds. Package decision renews a vote after half of it.
	VoteLifetime = int64(2e9)
	// proposalDelay is the time, in nanoseconds, that a control process waits per preceding one before it proposes an outcome itself.
	proposalDelay = int64(400e6)
	// earlyCompletionMargin is how long before the end of its duration a rollout may complete, in nanoseconds. Completing earlier gains
	// nothing, and a build may still turn bad. The margin covers two consensus rounds, and one proposalDelay more if a process fails.
	earlyCompletionMargin = int64(3200e6)
	// timeoutMargin is how long before the end of its duration a rollout without a decisive vote is rolled back, in nanoseconds. It leaves
	// time for operators, who poll about once a second, to see the outcome.
	timeoutMargin = int64(1500e6)
)

// Decide returns the outcome that this process should propose for a running rollout, or Running if it is to continue. r must be
// localized. Only votes of the given proxies count, and only until they expire. rank is the number of control processes that propose
// before this one.
func Decide(now int64, r Rollout, votes []update.Vote, proxies []update.Proxy, rank int) State {
	counted := make(map[string]bool, len(proxies))
	for _, proxy := range proxies {
		counted[proxy.Name] = true
	}
	completeVotes, rollbackVotes := 0, 0
	newestRollbackVote := int64(0)
	for _, vote := range votes {
		if !counted[vote.Proxy] || now-vote.ReceivedAt > VoteLifetime {
			continue
		}
		switch decision.Verdict(vote.Verdict) {
		case decision.Advance:
			completeVotes++
		case decision.RollBack:
			rollbackVotes++
			newestRollbackVote = max(newestRollbackVote, vote.ReceivedAt)
		}
	}
	required := min(RequiredVotes, max(1, len(proxies)))
	wait := int64(rank) * proposalDelay
	age := now - r.StartedAt
	switch {
	case rollbackVotes >= required && now-newestRollbackVote >= min(wait, VoteLifetime/2):
		return RolledBack
	case completeVotes >= required && rollbackVotes == 0 && age >= r.Duration-min(earlyCompletionMargin, r.Duration/2)+wait:
		return Completed
	case age >= r.Duration-min(timeoutMargin, r.Duration/5)+wait: // undecided: a version not known to be good must not replace one that is
		return RolledBack
	}
	return Running
}
