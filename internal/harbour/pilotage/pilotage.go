// Package pilotage is a rollout as the control processes see it: an order, the votes of designated routers, and an end that
// is decided once. It is pure; the routers' own judgement is the rules'.
package pilotage

import (
	"encoding/json"
	"fmt"
	"hash/fnv"

	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/signals"
	"portflow/rules"
)

// State is where a rollout stands.
type State uint8

const (
	None State = iota
	Running
	Completed
	RolledBack
)

var names = [...]string{None: "none", Running: "running", Completed: "completed", RolledBack: "rolled_back"}

func (s State) String() string { return names[s] }

// Parse reads a state's name.
func Parse(name string) State {
	for s, n := range names {
		if n == name {
			return State(s)
		}
	}
	return None
}

// Rollout is one order. Times are nanoseconds. Began and Ended are of the time of day, and for people to read: what goes by a
// rollout's age asks Ages, which puts its own clock's time in the place of Began.
type Rollout struct {
	Service string `json:"-"`
	Order   uint64 `json:"order"` // counts the service's orders, from 1
	From    string `json:"from"`
	Base    uint64 `json:"base"` // the order that brought From in, 0 for none
	Target  string `json:"target"`
	Began   int64  `json:"began"`           // Unix
	Dated   bool   `json:"dated,omitempty"` // more than half of the members' clocks agreed on that
	Term    int64  `json:"term"`
	State   State  `json:"state"`
	Ended   int64  `json:"ended,omitempty"` // Unix, when that was decided
	// Switching is a rollout that is completed and not yet told to be: the routers leave the old hosts, which stop on the word.
	Switching bool `json:"switching,omitempty"`
	// Past is what the service's orders before this one asked for, as Asked has it, the newest first; 0 for none.
	Past [MostPast]uint64 `json:"past,omitzero"`
}

// MostPast is how many earlier orders of a service are known. More don't come to an end within the time in which an operator
// sends one of them again.
const MostPast = 8

// Asked is what an order asks for, as a sum: two orders of one service that ask for the same have the same sum. It is never 0.
func Asked(target string, term int64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s", term, target)
	return max(1, h.Sum64())
}

// Next is the order that comes after this one, whatever it asks for: it knows what this one asked for, and those before it.
func (r Rollout) Next() Rollout {
	next := Rollout{Service: r.Service, Order: r.Order + 1, Base: r.Build(), State: Running, Past: r.Past}
	if r.Order > 0 {
		copy(next.Past[1:], r.Past[:])
		next.Past[0] = Asked(r.Target, r.Term)
	}
	return next
}

// Read is a rollout's item.
func Read(i manifest.Item) (r Rollout) {
	if json.Unmarshal(i.Body, &r) != nil || r.State > RolledBack {
		return Rollout{Service: i.Name}
	}
	r.Service = i.Name
	return r
}

// Item is the rollout as it is kept. The end holds against the order, whichever way it came, and the word that it is
// completed against the end. Items of earlier releases have half of these versions.
func (r Rollout) Item() manifest.Item {
	body, _ := json.Marshal(r)
	version := r.Order * 4
	switch {
	case r.Switching:
		version++
	case r.State > Running:
		version += 2
	}
	return manifest.Item{Kind: manifest.Rollouts, Name: r.Service, Version: version, Body: body}
}

// ID names one order of one service.
func (r Rollout) ID() string { return fmt.Sprintf("%s#%d", r.Service, r.Order) }

// switching is how long the routers have to leave the old hosts before operators hear that a rollout is completed: those
// hosts stop on the word, whatever they have in work.
const switching = int64(800e6)

// Told is the state as operators hear it. It goes by what the core has decided and by no clock, so that whoever reads after
// another has heard that a rollout is completed hears the same.
func (r Rollout) Told() State {
	if r.Switching {
		return Running
	}
	return r.State
}

// Vacated tells whether the routers have had their time to leave the old hosts of a rollout that this process has seen
// switching since a time by its clock; before is how many processes propose it first.
func Vacated(now, since int64, before int) bool { return now-since >= switching+int64(before)*turn }

// Settled is a service's version that is not on trial: where the newest rollout completed, its target.
func Settled(first manifest.Item, r Rollout) string {
	switch r.State {
	case Completed:
		return r.Target
	case Running, RolledBack:
		return r.From
	}
	var v struct {
		Version string `json:"version"`
	}
	json.Unmarshal(first.Body, &v)
	return v.Version
}

// Build is the number of the settled version's build, as the routers' rules count builds: that of the order that brought it
// in.
func (r Rollout) Build() uint64 {
	if r.State == Completed {
		return r.Order
	}
	return r.Base
}

// News is what the rules are told of the rollout. Before the first order the settled build has run for long.
func (r Rollout) News(now int64, share float64) rules.News {
	n := rules.News{Build: int(r.Order), Standing: rules.Released, Cap: 1, Age: now - r.Began}
	switch r.State {
	case None:
		n.Age = int64(3600e9)
	case Running:
		n.Standing, n.Cap = rules.OnTrial, share
	case RolledBack:
		n.Standing, n.Cap = rules.Withdrawn, 0
	}
	return n
}

const (
	// Voters is how many votes it takes: two, so that no router alone can end a rollout; the rules have one voter more, as
	// one may be cut off.
	Voters = 2
	// Life is for how long a vote stands; the rules renew it after half of that.
	Life = int64(2e9)
	// turn is how long each control process waits for the one before it.
	turn = int64(400e6)
	// late is how long before the term a good version is let through, at the earliest: an earlier end gains nothing, and a
	// build may turn bad late. Deciding takes two rounds through the core, and a turn more where a process is lost.
	late = int64(3200e6)
	// last is what is left of the term when a rollout without clear votes is ended: operators look about once a second.
	last = int64(1500e6)
)

// Judge tells how a rollout should end by the votes, or that it runs on. Only routers that control counts may vote.
func Judge(now int64, r Rollout, votes []signals.Poll, roster []signals.Front, before int) State {
	counted := make(map[string]bool, len(roster))
	for _, f := range roster {
		counted[f.Name] = true
	}
	on, back := 0, 0
	newest := int64(0)
	for _, p := range votes {
		if !counted[p.Front] || now-p.At > Life {
			continue
		}
		switch rules.Verdict(p.Verdict) {
		case rules.On:
			on++
		case rules.Back:
			back++
			newest = max(newest, p.At)
		}
	}
	need := min(Voters, max(1, len(roster)))
	wait := int64(before) * turn
	age := now - r.Began
	switch {
	case back >= need && now-newest >= min(wait, Life/2):
		return RolledBack
	case on >= need && back == 0 && age >= r.Term-min(late, r.Term/2)+wait:
		return Completed
	case age >= r.Term-min(last, r.Term/5)+wait: // nobody found out: what is not known to be good doesn't replace what is
		return RolledBack
	}
	return Running
}
