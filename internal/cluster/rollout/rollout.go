// Package rollout is a rollout as the control processes see it: an order, the votes of designated routers, and an end that
// is decided once. It is pure; the routers' own judgement is the rules'.
package rollout

import (
	"encoding/json"
	"fmt"
	"hash/fnv"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
)

// State is where a rollout stands.
type State uint8

const (
	None State = iota
	Running
	Completed
	RolledBack
)

var stateNames = [...]string{None: "none", Running: "running", Completed: "completed", RolledBack: "rolled_back"}

func (s State) String() string { return stateNames[s] }

// ParseState reads a state's name.
func ParseState(name string) State {
	for s, n := range stateNames {
		if n == name {
			return State(s)
		}
	}
	return None
}

// Rollout is one order. Times are nanoseconds. Began and Ended are of the time of day, and for people to read: what goes by a
// rollout's age asks Ages, which puts its own clock's time in the place of Began.
type Rollout struct {
	Service      string `json:"-"`
	Number       uint64 `json:"order"` // counts the service's orders, from 1
	From         string `json:"from"`
	BaseNumber   uint64 `json:"base"` // the order that brought From in, 0 for none
	Target       string `json:"target"`
	StartedAt    int64  `json:"began"`           // Unix
	ClocksAgreed bool   `json:"dated,omitempty"` // more than half of the members' clocks agreed on that
	Duration     int64  `json:"term"`
	State        State  `json:"state"`
	EndedAt      int64  `json:"ended,omitempty"` // Unix, when that was decided
	// Switching is a rollout that is completed and not yet told to be: the routers leave the old hosts, which stop on the word.
	Switching bool `json:"switching,omitempty"`
	// PastDigests is what the service's orders before this one asked for, as Asked has it, the newest first; 0 for none.
	PastDigests [MaxPastDigests]uint64 `json:"past,omitzero"`
}

// MaxPastDigests is how many earlier orders of a service are known. More don't come to an end within the time in which an operator
// sends one of them again.
const MaxPastDigests = 8

// Digest is what an order asks for, as a sum: two orders of one service that ask for the same have the same sum. It is never 0.
func Digest(target string, duration int64) uint64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d %s", duration, target)
	return max(1, hash.Sum64())
}

// Next is the order that comes after this one, whatever it asks for: it knows what this one asked for, and those before it.
func (r Rollout) Next() Rollout {
	next := Rollout{Service: r.Service, Number: r.Number + 1, BaseNumber: r.StableBuild(), State: Running, PastDigests: r.PastDigests}
	if r.Number > 0 {
		copy(next.PastDigests[1:], r.PastDigests[:])
		next.PastDigests[0] = Digest(r.Target, r.Duration)
	}
	return next
}

// FromItem is a rollout's item.
func FromItem(item config.Item) (r Rollout) {
	if json.Unmarshal(item.Body, &r) != nil || r.State > RolledBack {
		return Rollout{Service: item.Name}
	}
	r.Service = item.Name
	return r
}

// Item is the rollout as it is kept. The end holds against the order, whichever way it came, and the word that it is
// completed against the end. Items of earlier releases have half of these versions.
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

// ID names one order of one service.
func (r Rollout) ID() string { return fmt.Sprintf("%s#%d", r.Service, r.Number) }

// switchingTime is how long the routers have to leave the old hosts before operators hear that a rollout is completed: those
// hosts stop on the word, whatever they have in work.
const switchingTime = int64(800e6)

// VisibleState is the state as operators hear it. It goes by what the core has decided and by no clock, so that whoever reads after
// another has heard that a rollout is completed hears the same.
func (r Rollout) VisibleState() State {
	if r.Switching {
		return Running
	}
	return r.State
}

// SwitchComplete tells whether the routers have had their time to leave the old hosts of a rollout that this process has seen
// switching since a time by its clock; before is how many processes propose it first.
func SwitchComplete(now, since int64, rank int) bool {
	return now-since >= switchingTime+int64(rank)*proposalDelay
}

// StableVersion is a service's version that is not on trial: where the newest rollout completed, its target.
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
	json.Unmarshal(initial.Body, &body)
	return body.Version
}

// StableBuild is the number of the settled version's build, as the routers' rules count builds: that of the order that brought it
// in.
func (r Rollout) StableBuild() uint64 {
	if r.State == Completed {
		return r.Number
	}
	return r.BaseNumber
}

// DecisionInput is what the rules are told of the rollout. Before the first order the settled build has run for long.
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
	// RequiredVotes is how many votes it takes: two, so that no router alone can end a rollout; the rules have one voter more, as
	// one may be cut off.
	RequiredVotes = 2
	// VoteLifetime is for how long a vote stands; the rules renew it after half of that.
	VoteLifetime = int64(2e9)
	// proposalDelay is how long each control process waits for the one before it.
	proposalDelay = int64(400e6)
	// earlyCompletionMargin is how long before the term a good version is let through, at the earliest: an earlier end gains nothing, and a
	// build may turn bad late. Deciding takes two rounds through the core, and a turn more where a process is lost.
	earlyCompletionMargin = int64(3200e6)
	// timeoutMargin is what is left of the term when a rollout without clear votes is ended: operators look about once a second.
	timeoutMargin = int64(1500e6)
)

// Decide tells how a rollout should end by the votes, or that it runs on. Only routers that control counts may vote.
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
	case age >= r.Duration-min(timeoutMargin, r.Duration/5)+wait: // nobody found out: what is not known to be good doesn't replace what is
		return RolledBack
	}
	return Running
}
