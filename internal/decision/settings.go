package decision

// Idempotency says whether the requests of a class may run more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run again
	IdempotentByKey                    // hosts recognize a repeat by its key and drop it
	NonIdempotent                      // must never run twice
)

// DedupScope is the set of hosts that recognize a repeat of a request that one of them has had.
type DedupScope uint8

// The sets of hosts.
const (
	AllHosts DedupScope = iota
	SameZone
	SameCell
)

// Gate is how votes move a rollout.
type Gate uint8

// The kinds of gates.
const (
	SingleVote   Gate = iota // one vote is enough
	MajorityVote             // a share of the routers must vote for it
	Timed                    // stages advance by themselves unless held
)

// RequestClass is a class of requests with the same contract. Times are in nanoseconds.
type RequestClass struct {
	LatencyTarget, Timeout int64 // both from the client's first attempt
	Idempotency            Idempotency
	DedupScope             DedupScope
	DedupWindow            int64 // how long repeats are dropped, from the first attempt
	Value, LateValue       float64
}

// InitialLatency is the mean latency assumed before the first answer, in nanoseconds.
func (c RequestClass) InitialLatency() float64 { return float64(c.LatencyTarget) / 5 }

// Customer is a customer with the rate that it may use, in requests a second.
type Customer struct{ PerSecond float64 }

// LoadField is the meaning of one value of a host's load report.
type LoadField uint8

// The meanings of values.
const (
	UnknownField    LoadField = iota
	InFlight                  // requests in work
	QueueLength               // requests that wait
	Utilization               // share of the cores in use
	MeanServiceTime           // of late, in milliseconds
)

// Settings are what a router is given when it starts. Times are in nanoseconds, shares between 0 and 1.
type Settings struct {
	Rank, Routers    int // this router is number Rank, from 0, of so many
	Classes          []RequestClass
	Customers        []Customer
	OverQuotaValue   float64 // factor of the value of a request beyond its customer's quota
	TimerResolution  int64   // the shortest time between two calls of TimerFired
	Subscribe        bool    // the list of hosts must be asked for
	FetchInterval    int64   // the discovery service expects one call of each router in this time
	MaxOpen          int     // requests open at once, 0 for any number
	MaxAttempts      int
	Hedging          bool // two attempts at once are allowed
	Cancellation     bool
	Gossip           bool
	MixedTargets     bool    // latency targets differ widely: shedding goes by their mean over the requests
	RequireCertainty bool    // waiting is cheap: a rollout advances only once its states are surely below the threshold
	NoEarlyRetry     bool    // a host that works on a request is left to it until the deadline
	FleetRetryBurst  float64 // retries that all routers may send at once, 0 for a default at each router
	MaxRetryAfter    int64
	Gate             Gate
	AdvanceVotes     int
	RollBackVotes    int
	HoldVotes        int
	VoteLifetime     int64
	VoteTimeout      int64
	TrialBurst       float64 // attempts at the trial beyond the exposure cap, of this router
	FleetTrialBurst  float64 // the same of all routers together, 0 if TrialBurst is to be used
	FirstStageCap    float64
	CapPerClass      bool        // the exposure cap holds for each class by itself
	SideBySide       bool        // hosts of the earlier build stay until the release
	GuardedStages    int         // this number of first stages takes idempotent requests only
	KeyAffinity      bool        // a key must not go back to an earlier build than one that has answered it
	ReportedShare    float64     // share of the wrong answers that is reported
	ColdCapacity     float64     // share of its capacity that a host has at its start
	WarmUpTime       int64       // after which it has all of it
	CollapseFactor   float64     // the load at which a cold host collapses, over what it can carry
	LoadFields       []LoadField // the values of a load report
}
