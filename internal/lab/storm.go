package lab

import (
	"fmt"
	"slices"
	"time"

	"portflow/internal/decision"
	"portflow/internal/random"
	"portflow/internal/retryguard"
	"portflow/internal/standin"
)

// StormExperiment is an experiment with a retry storm: hosts become unavailable and return, and clients retry.
//
// Kind is the kind of the outage: "hosts" crashes all hosts, "half" every second one, "list" removes all hosts from the host list,
// "carrier" concentrates the commands of one carrier on a few keys, and "none" does nothing.
type StormExperiment struct {
	Routers      int               `json:"Routers"`
	Hosts        int               `json:"Hosts"`
	Clients      int               `json:"Clients"`
	Outage       time.Duration     `json:"Outage"`
	Kind         string            `json:"Kind"`    // kind of the outage, see above
	Carrier      int               `json:"Carrier"` // the affected carrier of kind "carrier"
	Policy       string            `json:"Policy"`  // "on" (the retry guard), "off", or a baseline: "fixed", "budget", "throttle"
	HeedFraction float64           `json:"Heed"`    // fraction of the clients that honour Retry-After
	MarkRetries  bool              `json:"Marks"`   // clients mark retries as such
	SecondOutage bool              `json:"Again"`   // a second outage 3 s after the end of the first; only in Emulate
	SkewRouters  bool              `json:"Busy"`    // at least nine tenths of the clients use the same router
	Trial        bool              `json:"Trial"`   // every fifth host runs a build on trial; only in Emulate
	Load         float64           `json:"Load"`    // load before the outage, as a fraction of the hosts' capacity
	Warmup       time.Duration     `json:"Calm"`    // before the outage
	Cooldown     time.Duration     `json:"After"`   // after the outage
	Seed         uint64            `json:"Seed"`
	Tuning       retryguard.Tuning `json:"Tuning"`
}

// DefaultStorm returns the experiment with the defaults of the command line.
func DefaultStorm() StormExperiment {
	return StormExperiment{Routers: 3, Hosts: 10, Clients: 2000, Outage: 5 * time.Second, Kind: "hosts", Policy: "on", HeedFraction: 0.7,
		Load: 0.6, Warmup: 6 * time.Second, Cooldown: 15 * time.Second, Seed: 1, Tuning: retryguard.Defaults()}
}

// Result is the result of a run. PeakLoad is the largest load of the hosts in any 500 ms after the outage, from all routers, as a
// multiple of their capacity in these 500 ms.
type Result struct {
	LoadLimit           float64 `json:"ceiling"`
	PeakLoad            float64 `json:"peak"`
	LoadLimitKept       bool    `json:"ceiling_kept"`
	RecoverySeconds     float64 `json:"recovered_s"`           // -1 for never
	Goodput             float64 `json:"goodput"`               // value of the commands served in time, as a fraction of the value of all
	FirstAttemptsServed float64 `json:"first_try_served"`      // fraction, of commands in the first 10 s after the outage
	OtherCarriersServed float64 `json:"other_carriers_served"` // fraction, of commands of carriers other than Carrier after Warmup
	AttemptsPerCommand  float64 `json:"tries_per_command"`
	Duplicates          int     `json:"duplicates"`   // attempts with an idempotency key that ran more than once
	Lost                int     `json:"lost"`         // attempts without an answer in time
	FalseAlarms         int     `json:"false_alarms"` // retry storms detected before the outage
	DetectionMillis     float64 `json:"noticed_ms"`   // median time from the first failed attempt to its detection, -1 for none
	FailedHosts         int     `json:"fallen"`       // hosts that collapsed under load and stayed down
	RollbackVotes       int     `json:"votes_back"`
	Commands            int     `json:"commands"`
	Seconds             float64 `json:"seconds"` // duration of the run in real time
	Seed                uint64  `json:"seed"`

	Series Series `json:"-"`
}

// Series has time series with one value per step: attempts offered, work admitted (in seconds), capacity (in cores) and attempts served
// within the latency target.
type Series struct{ Offered, Admitted, Capacity, Served []float64 }

const (
	step       = 100 * time.Millisecond
	loadLimit  = 1.25               // of PeakLoad; the queues of the hosts absorb a quarter more than their capacity
	loadWindow = 5                  // steps; 500 ms
	maxAdvice  = int64(time.Second) // longest Retry-After
)

// requestClasses are the classes of the commands: reads of low value, which are idempotent, and writes of higher value with an
// idempotency key.
var requestClasses = []struct {
	decision.RequestClass
	name             string
	share            float64 // of the commands
	minWork, maxWork int64   // service time in nanoseconds
}{
	{decision.RequestClass{LatencyTarget: 1500e6, Timeout: 5000e6, Idempotency: decision.Idempotent, Value: 1}, "display", 0.65, 140e6, 240e6},
	{decision.RequestClass{LatencyTarget: 750e6, Timeout: 3000e6, Idempotency: decision.IdempotentByKey, DedupWindow: 2000e6, Value: 5}, "accept", 0.35, 84e6, 140e6},
}

// carrierShares is each carrier's fraction of the clients.
var carrierShares = []float64{0.63, 0.22, 0.15}

const meanWorkSeconds = 0.65*0.19 + 0.35*0.112 // weighted by the shares of requestClasses

const coresPerHost = 3

func (exp StormExperiment) validate() error {
	if exp.Routers < 1 || exp.Hosts < 1 || exp.Clients < 1 || exp.Outage < 0 || exp.Outage > time.Minute || !(exp.Load > 0 && exp.Load < 3) {
		return fmt.Errorf("lab: experiment out of range: %d routers, %d hosts, %d clients, outage %v, load %v (at least 1 each, outage of 0 to 1m, load between 0 and 3)",
			exp.Routers, exp.Hosts, exp.Clients, exp.Outage, exp.Load)
	}
	if !slices.Contains([]string{"hosts", "half", "list", "carrier", "none"}, exp.Kind) {
		return fmt.Errorf("lab: unknown kind %q; must be hosts, half, list, carrier or none", exp.Kind)
	}
	if exp.Carrier < 0 || exp.Carrier >= len(carrierShares) {
		return fmt.Errorf("lab: unknown carrier %d; must be 0, 1 or 2", exp.Carrier)
	}
	return nil
}

func (exp StormExperiment) duration() int64 { return int64(exp.Warmup + exp.Outage + exp.Cooldown) }

func (exp StormExperiment) routerSettings(rank int) decision.Settings {
	out := decision.Settings{Rank: rank, Routers: exp.Routers, OverQuotaValue: 0.1, TimerResolution: 5e6, MaxAttempts: 3, Hedging: true,
		Cancellation: true, Gossip: exp.Routers > 1, MaxRetryAfter: maxAdvice, Gate: decision.MajorityVote, AdvanceVotes: 1, RollBackVotes: 1, VoteLifetime: 4e9,
		VoteTimeout: 800e6, TrialBurst: 2, FirstStageCap: 0.25, SideBySide: true, KeyAffinity: true, ReportedShare: 0.15, ColdCapacity: 0.33, WarmUpTime: 4e9,
		CollapseFactor: 2}
	for _, b := range requestClasses {
		out.Classes = append(out.Classes, b.RequestClass)
	}
	for _, share := range carrierShares {
		out.Customers = append(out.Customers, decision.Customer{PerSecond: 2 * share * exp.commandRate()})
	}
	return out
}

// commandRate returns the commands per second that all clients send before the outage.
func (exp StormExperiment) commandRate() float64 {
	return exp.Load * float64(exp.Hosts*coresPerHost) / meanWorkSeconds
}

func (exp StormExperiment) newMachine() *standin.Machine {
	return &standin.Machine{Cores: coresPerHost, ColdStartFactor: 0.33, ColdDuration: 4e9, CollapseFactor: 2, CollapseDuration: 3e9, QueueNanos: 2e9}
}

// newGuard returns the guard of the policy, which is nil for "off". For "on", it returns the same guard with its concrete type as well,
// for its statistics.
func (exp StormExperiment) newGuard(rank int, now int64) (retryGuard, *retryguard.Guard, error) {
	switch exp.Policy {
	case "off":
		return nil, nil, nil
	case "fixed":
		return &fixedLimit{}, nil, nil
	case "budget":
		return &retryBudget{}, nil, nil
	case "throttle":
		return &throttle{rng: random.Source{Seed: exp.Seed + uint64(rank)}}, nil, nil
	case "on":
	default:
		return nil, nil, fmt.Errorf("lab: unknown policy %q; must be on, off, fixed, budget or throttle", exp.Policy)
	}
	settings := retryguard.Settings{Tuning: exp.Tuning, Customers: len(carrierShares), Routers: exp.Routers, ColdCapacity: 0.33, WarmUpTime: 4e9,
		MaxRetryAfter: maxAdvice}
	for _, b := range requestClasses {
		settings.Classes = append(settings.Classes, retryguard.Class{LatencyTarget: b.LatencyTarget, Timeout: b.Timeout, Value: b.Value})
	}
	guard, err := retryguard.New(settings, exp.Seed*1000+uint64(rank), now)
	return guard, guard, err
}
