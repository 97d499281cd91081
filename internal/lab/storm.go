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
var experimentBands = []struct {
	decision.RequestClass
	name       string
	share      float64
	least, top int64 // work
}{
	{decision.RequestClass{LatencyTarget: 1500e6, Timeout: 5000e6, Idempotency: decision.Idempotent, Value: 1}, "display", 0.65, 140e6, 240e6},
	{decision.RequestClass{LatencyTarget: 750e6, Timeout: 3000e6, Idempotency: decision.IdempotentByKey, DedupWindow: 2000e6, Value: 5}, "accept", 0.35, 84e6, 140e6},
}

var carrierShares = []float64{0.63, 0.22, 0.15}

const meanWorkSeconds = 0.65*0.19 + 0.35*0.112 // seconds, the mean

const coresPerHost = 3

func (x StormExperiment) validate() error {
	if x.Routers < 1 || x.Hosts < 1 || x.Clients < 1 || x.Outage < 0 || x.Outage > time.Minute || !(x.Load > 0 && x.Load < 3) {
		return fmt.Errorf("lab: %d routers, %d hosts, %d clients, outage %v, load %v", x.Routers, x.Hosts, x.Clients, x.Outage, x.Load)
	}
	if !slices.Contains([]string{"hosts", "half", "list", "carrier", "none"}, x.Kind) {
		return fmt.Errorf("lab: kind %q is unknown", x.Kind)
	}
	if x.Carrier < 0 || x.Carrier >= len(carrierShares) {
		return fmt.Errorf("lab: no carrier %d", x.Carrier)
	}
	return nil
}

func (x StormExperiment) duration() int64 { return int64(x.Warmup + x.Outage + x.Cooldown) }

// routerSettings returns a router's settings.
func (x StormExperiment) routerSettings(rank int) decision.Settings {
	out := decision.Settings{Rank: rank, Routers: x.Routers, OverQuotaValue: 0.1, TimerResolution: 5e6, MaxAttempts: 3, Hedging: true,
		Cancellation: true, Gossip: x.Routers > 1, MaxRetryAfter: maxAdvice, Gate: decision.MajorityVote, AdvanceVotes: 1, RollBackVotes: 1, VoteLifetime: 4e9,
		VoteTimeout: 800e6, TrialBurst: 2, FirstStageCap: 0.25, SideBySide: true, KeyAffinity: true, ReportedShare: 0.15, ColdCapacity: 0.33, WarmUpTime: 4e9,
		CollapseFactor: 2}
	for _, b := range experimentBands {
		out.Classes = append(out.Classes, b.RequestClass)
	}
	for _, share := range carrierShares {
		out.Customers = append(out.Customers, decision.Customer{PerSecond: 2 * share * x.commandRate()})
	}
	return out
}

// commandRate is the commands a second that clients send before the outage.
func (x StormExperiment) commandRate() float64 {
	return x.Load * float64(x.Hosts*coresPerHost) / meanWorkSeconds
}

func (x StormExperiment) newMachine() *standin.Machine {
	return &standin.Machine{Cores: coresPerHost, ColdStartFactor: 0.33, ColdDuration: 4e9, CollapseFactor: 2, CollapseDuration: 3e9, QueueNanos: 2e9}
}

// newGuard makes a router's guard by the policy, nil for none.
func (x StormExperiment) newGuard(rank int, now int64) (retryGuard, *retryguard.Guard, error) {
	switch x.Policy {
	case "off":
		return nil, nil, nil
	case "fixed":
		return &fixedLimit{}, nil, nil
	case "budget":
		return &retryBudget{}, nil, nil
	case "throttle":
		return &throttle{rng: random.Source{Seed: x.Seed + uint64(rank)}}, nil, nil
	case "on":
	default:
		return nil, nil, fmt.Errorf("lab: policy %q is unknown", x.Policy)
	}
	settings := retryguard.Settings{Tuning: x.Tuning, Customers: len(carrierShares), Routers: x.Routers, ColdCapacity: 0.33, WarmUpTime: 4e9,
		MaxRetryAfter: maxAdvice}
	for _, b := range experimentBands {
		settings.Classes = append(settings.Classes, retryguard.Class{LatencyTarget: b.LatencyTarget, Timeout: b.Timeout, Value: b.Value})
	}
	observed, err := retryguard.New(settings, x.Seed*1000+uint64(rank), now)
	return observed, observed, err
}
