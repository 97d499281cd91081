package lab

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"portflow/internal/decision"
	"portflow/internal/random"
	"portflow/internal/retryguard"
	"portflow/internal/standin"
)

// StormExperiment is one experiment: hosts go and return, and clients ask again.
type StormExperiment struct {
	Routers      int               `json:"Routers"`
	Hosts        int               `json:"Hosts"`
	Clients      int               `json:"Clients"`
	Outage       time.Duration     `json:"Outage"`
	Kind         string            `json:"Kind"`    // what goes: "hosts", "half", "list", "carrier" or "none"
	Carrier      int               `json:"Carrier"` // whose keys a storm of one carrier is about
	Policy       string            `json:"Policy"`  // "on", "off", or a baseline: "fixed", "budget", "throttle"
	HeedFraction float64           `json:"Heed"`
	MarkRetries  bool              `json:"Marks"`
	SecondOutage bool              `json:"Again"` // a second outage, 3 s after the hosts' return
	SkewRouters  bool              `json:"Busy"`  // one router has nine tenths of the traffic
	Trial        bool              `json:"Trial"` // a build is on trial meanwhile, on every fifth host
	Load         float64           `json:"Load"`  // calm traffic's part of what the hosts can do
	Warmup       time.Duration     `json:"Calm"`
	Cooldown     time.Duration     `json:"After"`
	Seed         uint64            `json:"Seed"`
	Tuning       retryguard.Tuning `json:"Tuning"`
}

// DefaultStorm are those of the command line.
func DefaultStorm() StormExperiment {
	return StormExperiment{Routers: 3, Hosts: 10, Clients: 2000, Outage: 5 * time.Second, Kind: "hosts", Policy: "on", HeedFraction: 0.7,
		Load: 0.6, Warmup: 6 * time.Second, Cooldown: 15 * time.Second, Seed: 1, Tuning: retryguard.Defaults()}
}

// Result is what a run tells; the greatest load counts what came to returning hosts over any 500 ms as a multiple of
// what they could do then, over all routers.
type Result struct {
	LoadLimit           float64 `json:"ceiling"`
	PeakLoad            float64 `json:"peak"`
	LoadLimitKept       bool    `json:"ceiling_kept"`
	RecoverySeconds     float64 `json:"recovered_s"` // -1 for never
	Goodput             float64 `json:"goodput"`     // worth fulfilled in time of all that was asked for
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
	loadLimit  = 1.25 // the ceiling that runs are held to: a quarter over what hosts can do fits into their queues
	loadWindow = 5    // steps of a load's 500 ms
	maxAdvice  = int64(time.Second)
)

// experimentBands are the experiment's: short work of little worth that may repeat, and marked work of more.
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

// routerSettings are a router's.
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

// commandRate is how many commands clients ask for in calm, a second.
func (x StormExperiment) commandRate() float64 {
	return x.Load * float64(x.Hosts*coresPerHost) / meanWorkSeconds
}

func (x StormExperiment) newMachine() *standin.Machine {
	return &standin.Machine{Cores: coresPerHost, ColdStartFactor: 0.33, ColdDuration: 4e9, CollapseFactor: 2, CollapseDuration: 3e9, QueueNanos: 2e9}
}

// newGuard is a router's, by the policy; nil for none.
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

// command is one that a client wants, with all its tries.
type command struct {
	band, carrier  int
	key            uint64
	idempotencyKey string
	behaviour      standin.ClientBehaviour
	firstSentAt    int64
	attempts       int
	served         bool // within its contract time
}

// recorder counts what clients and hosts saw. Its methods may be called by many goroutines.
type recorder struct {
	StormExperiment
	sync.Mutex
	commands                           []*command
	attempts                           int
	lost                               int
	firstUnservedAt                    int64 // the first try in the outage that went unserved
	offered                            []float64
	admitted                           []float64
	capacity                           []float64
	served                             []float64
	returningLoad                      []float64 // work that came to hosts, as they return
	firstAttempts, firstAttemptsServed float64   // first tries after the return, and those served at once
}

func newRecorder(s StormExperiment) *recorder {
	n := int(s.duration()/int64(step)) + 2
	row := func() []float64 { return make([]float64, n) }
	return &recorder{StormExperiment: s, offered: row(), admitted: row(), capacity: row(), served: row(), returningLoad: row()}
}

func addToSeries(row []float64, at int64, x float64) {
	if i := at / int64(step); i >= 0 && int(i) < len(row) {
		row[i] += x
	}
}

// recordAttempt counts a try.
func (r *recorder) recordAttempt(now int64, c *command) {
	r.Lock()
	defer r.Unlock()
	if c.attempts++; c.attempts == 1 {
		c.firstSentAt = now
		r.commands = append(r.commands, c)
	}
	r.attempts++
	addToSeries(r.offered, now, 1)
}

// recordWork counts a hand-off's work at a host.
func (r *recorder) recordWork(now int64, work int64) {
	r.Lock()
	defer r.Unlock()
	addToSeries(r.admitted, now, float64(work)/1e9)
}

// recordOutcome counts how a try ended: answered says that the router gave it an answer in time.
func (r *recorder) recordOutcome(now, sent int64, cmd *command, fulfilled, answered bool) {
	r.Lock()
	defer r.Unlock()
	returnAt := int64(r.Warmup + r.Outage)
	if firstAttempt := cmd.attempts == 1; firstAttempt && cmd.firstSentAt >= returnAt && cmd.firstSentAt < returnAt+10e9 {
		r.firstAttempts++
		if fulfilled {
			r.firstAttemptsServed++
		}
	}
	if !answered {
		r.lost++
	}
	switch {
	case fulfilled && now-sent <= experimentBands[cmd.band].LatencyTarget:
		addToSeries(r.served, now, 1)
		cmd.served = cmd.served || now-cmd.firstSentAt <= experimentBands[cmd.band].Timeout
	case !fulfilled && sent >= int64(r.Warmup) && (r.firstUnservedAt == 0 || now < r.firstUnservedAt):
		r.firstUnservedAt = now
	}
}

func sum(row []float64, from, to int) (s float64) {
	for i := max(0, from); i < to && i < len(row); i++ {
		s += row[i]
	}
	return s
}

// summarize reads the book.
func (r *recorder) summarize() Result {
	result := Result{LoadLimit: loadLimit, RecoverySeconds: -1, DetectionMillis: -1, Lost: r.lost, Commands: len(r.commands), Seed: r.Seed,
		Series: Series{Offered: r.offered, Admitted: r.admitted, Capacity: r.capacity, Served: r.served}}
	outageStep, returnStep := int(r.Warmup/step), int((r.Warmup+r.Outage)/step)
	last := int(r.duration() / int64(step))
	for i := returnStep; i+loadWindow <= last; i++ {
		if capacity := sum(r.capacity, i, i+loadWindow) * step.Seconds(); capacity > 0 {
			result.PeakLoad = max(result.PeakLoad, sum(r.admitted, i, i+loadWindow)/capacity)
		}
	}
	result.LoadLimitKept = result.PeakLoad <= result.LoadLimit
	calm := sum(r.served, outageStep-40, outageStep) / 40
	for i := returnStep; i+10 <= last; i++ {
		if sum(r.served, i, i+10) >= 0.95*10*calm && sum(r.served, i+10, i+20) >= 0.85*10*calm {
			result.RecoverySeconds = float64(i-returnStep) * step.Seconds()
			break
		}
	}
	served, asked, others, othersOK := 0.0, 0.0, 0.0, 0.0
	for _, cmd := range r.commands {
		weight := experimentBands[cmd.band].Value
		asked += weight
		if cmd.served {
			served += weight
		}
		if cmd.carrier != r.Carrier && cmd.firstSentAt >= int64(r.Warmup) {
			if others++; cmd.served {
				othersOK++
			}
		}
	}
	result.Goodput, result.OtherCarriersServed = served/max(1, asked), othersOK/max(1, others)
	result.FirstAttemptsServed = r.firstAttemptsServed / max(1, r.firstAttempts)
	result.AttemptsPerCommand = float64(r.attempts) / max(1, float64(len(r.commands)))
	return result
}

// recordDetection fills in what guards saw: alarms before the outage, and the median time from its first unserved try on.
func (r *recorder) recordDetection(result *Result, detectedAt []int64) {
	var waits []float64
	for _, detected := range detectedAt {
		if detected == 0 {
			continue
		}
		if detected < int64(r.Warmup) {
			result.FalseAlarms++
		} else if r.firstUnservedAt > 0 {
			waits = append(waits, float64(detected-r.firstUnservedAt)/1e6)
		}
	}
	if len(waits) > 0 {
		slices.Sort(waits)
		result.DetectionMillis = math.Round(waits[len(waits)/2])
	}
}

// newCommand draws a new command of a client.
func (x StormExperiment) newCommand(now int64, client int, rng *random.Source) *command {
	cmd := &command{band: 1}
	if rng.Float64() < experimentBands[0].share {
		cmd.band = 0
	}
	position := float64(client%1000) / 1000 // a client is always of one carrier
	for position >= carrierShares[cmd.carrier] && cmd.carrier < len(carrierShares)-1 {
		position -= carrierShares[cmd.carrier]
		cmd.carrier++
	}
	cmd.key = 1 + uint64(client)
	cmd.behaviour = standin.DrawBehaviour(x.HeedFraction, x.MarkRetries, rng.Float64(), rng.Float64(), rng.Float64(), rng.Float64())
	if x.Kind == "carrier" && cmd.carrier == x.Carrier && now >= int64(x.Warmup) && now < int64(x.Warmup+x.Outage) {
		cmd.key = 1 + uint64(client%5)                                                                                                                                              // a few keys
		cmd.behaviour = standin.ClientBehaviour{Retries: 3, Patience: 0.04, HonoursRetryAfter: cmd.behaviour.HonoursRetryAfter, EarlyFactor: 1, SendsIdempotencyKey: x.MarkRetries} // given up soon, and asked again at once
	}
	if cmd.band == 1 {
		cmd.idempotencyKey = fmt.Sprintf("m%d-%d-%d", x.Seed, client, now)
	}
	return cmd
}

func (c *command) drawWork(d *random.Source) int64 {
	b := experimentBands[c.band]
	return b.least + int64(d.Float64()*float64(b.top-b.least))
}
