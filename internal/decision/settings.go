package decision

// Idempotency is whether the requests of a class may run more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // hosts recognize a repeat by its key and do not run it again
	NonIdempotent                      // must never run twice
)

// DedupScope is the set of hosts that recognize a repeat of a request that one of them has received.
type DedupScope uint8

// The scopes of deduplication, around the host that received the request first.
const (
	AllHosts DedupScope = iota
	SameZone
	SameCell // the same cell of the same zone
)

// Gate is the way in which votes control a rollout.
type Gate uint8

// The kinds of gates.
const (
	SingleVote   Gate = iota // one vote is enough
	MajorityVote             // a fraction of the routers must vote for a change
	Timed                    // stages advance by themselves unless a vote holds them
)

// RequestClass holds the properties that the requests of a class share. Times are in nanoseconds.
type RequestClass struct {
	LatencyTarget, Timeout int64 // from the client's first attempt
	Idempotency            Idempotency
	DedupScope             DedupScope
	DedupWindow            int64   // time from the first attempt during which repeats are recognized
	Value, LateValue       float64 // value of an answer within the latency target and of a later one, in any unit
}

// InitialLatency is the mean latency assumed before the first answer, in nanoseconds.
func (c RequestClass) InitialLatency() float64 { return float64(c.LatencyTarget) / 5 }

// Customer is a customer with its quota, in requests per second over all routers.
type Customer struct{ PerSecond float64 }

// LoadField is the meaning of one value of a host's load report.
type LoadField uint8

// The fields of a load report.
const (
	UnknownField    LoadField = iota
	InFlight                  // requests being processed
	QueueLength               // requests that wait
	Utilization               // fraction of the cores in use
	MeanServiceTime           // mean of recent requests, in milliseconds
)

// Settings is the configuration of an Engine. Times are in nanoseconds, fractions between 0 and 1.
type Settings struct {
	Rank, Routers    int // index of this router, from 0, and number of routers
	Classes          []RequestClass
	Customers        []Customer
	OverQuotaValue   float64 // factor for the value of a request beyond its customer's quota
	TimerResolution  int64   // shortest time between two calls of TimerFired
	Subscribe        bool    // request the host list through Effects.WatchHosts
	FetchInterval    int64   // time in which the discovery service expects one call from each router, 0 for a default
	MaxOpen          int     // maximum number of open requests, 0 for no limit
	MaxAttempts      int     // maximum number of attempts per request
	Hedging          bool    // allow two attempts in flight for a request
	Cancellation     bool    // cancel attempts whose request needs no answer
	Gossip           bool    // exchange statistics and load with the other routers
	MixedTargets     bool    // latency targets differ widely: shed by their mean over the requests, not by the shortest
	RequireCertainty bool    // advance a rollout only once its statistics are clearly below the thresholds
	NoEarlyRetry     bool    // let each attempt run until the request's deadline
	FleetRetryBurst  float64 // retries that all routers together may send at once, split by RankChanged; 0 for a default per router
	MaxRetryAfter    int64   // upper bound of the delay passed to Effects.Reject
	Gate             Gate
	AdvanceVotes     int         // votes required to advance a stage
	RollBackVotes    int         // votes required to roll back
	HoldVotes        int         // votes required to hold a stage
	VoteLifetime     int64       // time after which the platform discards a vote that is not renewed
	VoteTimeout      int64       // timeout of a call that casts a vote
	TrialBurst       float64     // attempts that this router may send to the trial beyond the exposure cap
	FleetTrialBurst  float64     // the same for all routers together, split by RankChanged; 0 to use TrialBurst
	FirstStageCap    float64     // exposure cap of builds that the rollout does not know yet
	CapPerClass      bool        // apply the exposure cap to each class separately
	SideBySide       bool        // hosts of the earlier build stay until the release
	GuardedStages    int         // number of first stages in which the trial gets idempotent requests only
	KeyAffinity      bool        // a key must not go back to a build earlier than one that has answered it
	ReportedShare    float64     // fraction of the wrong answers that clients report
	ColdCapacity     float64     // fraction of its capacity that a host has when it starts
	WarmUpTime       int64       // time from its start until a host has its full capacity
	CollapseFactor   float64     // ratio of the load at which a cold host collapses to its capacity
	LoadFields       []LoadField // meaning of each value of a load report, in order
}
