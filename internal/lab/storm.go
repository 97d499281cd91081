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

// StormExperiment is one experiment with a retry storm: hosts fail and return, and clients retry.
type StormExperiment struct {
	Routers      int               `json:"Routers"`
	Hosts        int               `json:"Hosts"`
	Clients      int               `json:"Clients"`
	Outage       time.Duration     `json:"Outage"`
	Kind         string            `json:"Kind"`    // what fails: "hosts", "half", "list", "carrier" or "none"
	Carrier      int               `json:"Carrier"` // of kind "carrier": the one whose keys are requested
	Policy       string            `json:"Policy"`  // "on", "off", or a baseline: "fixed", "budget", "throttle"
	HeedFraction float64           `json:"Heed"`
	MarkRetries  bool              `json:"Marks"`
	SecondOutage bool              `json:"Again"` // a second outage, 3 s after the hosts' return
	SkewRouters  bool              `json:"Busy"`  // one router has nine tenths of the traffic
	Trial        bool              `json:"Trial"` // a build is on trial meanwhile, on every fifth host
	Load         float64           `json:"Load"`  // of the traffic before the outage, as a fraction of the hosts' capacity
	Warmup       time.Duration     `json:"Calm"`
	Cooldown     time.Duration     `json:"After"`
	Seed         uint64            `json:"Seed"`
	Tuning       retryguard.Tuning `json:"Tuning"`
}

// DefaultStorm returns the defaults of the command line.
func DefaultStorm() StormExperiment {
	return StormExperiment{Routers: 3, Hosts: 10, Clients: 2000, Outage: 5 * time.Second, Kind: "hosts", Policy: "on", HeedFraction: 0.7,
		Load: 0.6, Warmup: 6 * time.Second, Cooldown: 15 * time.Second, Seed: 1, Tuning: retryguard.Defaults()}
}

// Result is the result of a run. The peak load is what returning hosts received over any 500 ms, as a multiple of their capacity
// then, over all routers.
type Result struct {
	LoadLimit           float64 `json:"ceiling"`
	PeakLoad            float64 `json:"peak"`
	LoadLimitKept       bool    `json:"ceiling_kept"`
	RecoverySeconds     float64 `json:"recovered_s"` // -1 for never
	Goodput             float64 `json:"goodput"`     // value served in time, as a fraction of all
	FirstAttemptsServed float64 `json:"first_try_served"`
	OtherCarriersServed float64 `json:"other_carriers_served"`
	AttemptsPerCommand  float64 `json:"tries_per_command"`
	Duplicates          int     `json:"duplicates"`
	Lost                int     `json:"lost"`
	FalseAlarms         int     `json:"false_alarms"`
	DetectionMillis     float64 `json:"noticed_ms"` // -1 for not at all
	FailedHosts         int     `json:"fallen"`
	RollbackVotes       int     `json:"votes_back"`
	Commands            int     `json:"commands"`
	Seconds             float64 `json:"seconds"` // that the run took
	Seed                uint64  `json:"seed"`

	Series Series `json:"-"`
}

// Series is what happened over time, by steps of 100 ms.
type Series struct{ Offered, Admitted, Capacity, Served []float64 }

const (
	step       = 100 * time.Millisecond
	loadLimit  = 1.25 // of the peak load: a quarter over the hosts' capacity fits into their queues
	loadWindow = 5    // steps of a load's 500 ms
	maxAdvice  = int64(time.Second)
)

// experimentBands are the experiment's classes: short work of little value that may be repeated, and marked work of more.
var requestClasses = []struct {
	decision.RequestClass
	name             string
	share            float64
	minWork, maxWork int64 // work
}{
	{decision.RequestClass{LatencyTarget: 1500e6, Timeout: 5000e6, Idempotency: decision.Idempotent, Value: 1}, "display", 0.65, 140e6, 240e6},
	{decision.RequestClass{LatencyTarget: 750e6, Timeout: 3000e6, Idempotency: decision.IdempotentByKey, DedupWindow: 2000e6, Value: 5}, "accept", 0.35, 84e6, 140e6},
}

var carrierShares = []float64{0.63, 0.22, 0.15}

const meanWorkSeconds = 0.65*0.19 + 0.35*0.112 // seconds, the mean

const coresPerHost = 3

func (exp StormExperiment) validate() error {
	if exp.Routers < 1 || exp.Hosts < 1 || exp.Clients < 1 || exp.Outage < 0 || exp.Outage > time.Minute || !(exp.Load > 0 && exp.Load < 3) {
		return fmt.Errorf("lab: %d routers, %d hosts, %d clients, outage %v, load %v", exp.Routers, exp.Hosts, exp.Clients, exp.Outage, exp.Load)
	}
	if !slices.Contains([]string{"hosts", "half", "list", "carrier", "none"}, exp.Kind) {
		return fmt.Errorf("lab: kind %q is unknown", exp.Kind)
	}
	if exp.Carrier < 0 || exp.Carrier >= len(carrierShares) {
		return fmt.Errorf("lab: no carrier %d", exp.Carrier)
	}
	return nil
}

func (exp StormExperiment) duration() int64 { return int64(exp.Warmup + exp.Outage + exp.Cooldown) }

// routerSettings returns a router's settings.
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

// commandRate is the commands a second that clients send before the outage.
func (exp StormExperiment) commandRate() float64 {
	return exp.Load * float64(exp.Hosts*coresPerHost) / meanWorkSeconds
}

func (exp StormExperiment) newMachine() *standin.Machine {
	return &standin.Machine{Cores: coresPerHost, ColdStartFactor: 0.33, ColdDuration: 4e9, CollapseFactor: 2, CollapseDuration: 3e9, QueueNanos: 2e9}
}

// newGuard makes a router's guard by the policy, nil for none.
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
		return nil, nil, fmt.Errorf("lab: policy %q is unknown", exp.Policy)
	}
	settings := retryguard.Settings{Tuning: exp.Tuning, Customers: len(carrierShares), Routers: exp.Routers, ColdCapacity: 0.33, WarmUpTime: 4e9,
		MaxRetryAfter: maxAdvice}
	for _, b := range requestClasses {
		settings.Classes = append(settings.Classes, retryguard.Class{LatencyTarget: b.LatencyTarget, Timeout: b.Timeout, Value: b.Value})
	}
	guard, err := retryguard.New(settings, exp.Seed*1000+uint64(rank), now)
	return guard, guard, err
}
