package decision

import (
	"math"

	"portflow/internal/pacing"
)

// Health is a host's state on the list.
type Health uint8

// The states of a host.
const (
	Ready    Health = iota
	Draining        // takes no further requests
	Gone
)

// ListKind is how a list of hosts is to be read.
type ListKind uint8

// The kinds of lists.
const (
	Delta          ListKind = iota // changes
	Snapshot                       // complete
	CachedSnapshot                 // complete, but from before this router's start
	FetchFailed                    // none: the call or the subscription failed
)

// Host is a host as the list has it.
type Host struct {
	ID        uint32
	Zone      int
	Kind      int
	Cell      int
	Health    Health
	Build     int
	Capacity  float64
	StartedAt int64 // Unix nanoseconds, 0 for long ago
	Distance  int   // from this router: nearer hosts that have room go first
}

// Capacities outside of these bounds are taken as 1.
const (
	minCapacity = 1e-3
	maxCapacity = 1e6
)

// Hosts are on one of two sides: of an earlier build, or on trial.
const (
	baselineSide = iota
	trialSide
	sideCount
)

type host struct {
	id        uint32
	zone      int
	kind      int
	cell      int
	health    Health
	build     int
	capacity  float64
	startedAt int64
	distance  int
	listedAt  int64 // when this start of the host was listed first, 1 for before this router's start
	onTrial   bool  // it counts as on trial, in this stage
	stage     int

	inFlight        int     // attempts of this router
	silentSince     int64   // when attempts were last sent or answered
	relativeLatency float64 // mean latency over the expected, at latencyAt
	latencyAt       int64
	failures        int   // in a row
	ejectedUntil    int64 // it is avoided until then
	queueLength     float64
	reportedAt      int64 // when queueLength was reported

	budget      bucket  // attempts that it may have while it warms up
	creditTaken float64 // how much of coldCredit went into the budget
}

func (h *host) side() int {
	if h.onTrial {
		return trialSide
	}
	return baselineSide
}

// hostPool is the hosts, and what is known of all of them.
type hostPool struct {
	hosts              []*host            // that are listed and not gone, by id
	subset             [sideCount][]*host // those that this router chooses from
	healthyHosts       int                // that are ready and not ejected
	hasDistantHosts    bool               // not all are near
	sideCapacity       [sideCount]float64 // what the healthy hosts that have a budget can do now
	totalCapacity      float64            // what all ready hosts can do now
	coldCredit         float64            // attempts that cold hosts were given so far, for each unit of capacity
	warmTrialHosts     float64            // number of warm hosts of the build on trial, and a little
	lastTrialStart     int64              // of a host of the build on trial, or of its stage
	slownessByKind     map[int]float64    // by kind of machine: how much longer it takes than the mean
	connectionShortage int                // number of answers after which connections are not in short supply any more
	idleToClose        []*host            // for emitEffects: their idle connections are to be closed
}

// coldBudgetRate is what each host's budget gains whenever hosts are updated, over the number of routers: two attempts a
// second, and more with changes, so that a fleet whose hosts are all cold starts.
const coldBudgetRate = 0.2

// updateHosts derives what all hosts together can do, and which of them count as on trial; it is called with each tick and
// each change of the hosts or of the rollout.
func (d *decider) updateHosts() {
	d.exposureCap = d.rolloutCap()
	d.totalCapacity = 0
	d.sideCapacity = [sideCount]float64{}
	d.healthyHosts = 0
	d.hasDistantHosts = false
	d.lastTrialStart = d.stageSince
	d.warmTrialHosts = 0.1 // it is divided by
	var ready [sideCount][]*host
	for _, h := range d.hosts {
		d.updateHost(h)
		if h.health == Ready {
			ready[h.side()] = append(ready[h.side()], h)
		}
	}
	d.chooseSubsets(ready)
	d.placePending()
}

func (d *decider) updateHost(h *host) {
	d.hasDistantHosts = d.hasDistantHosts || h.distance > 0
	warmUpFactor := d.warmUpFactor(h)
	if h.build == d.rollout.Build {
		d.lastTrialStart = max(d.lastTrialStart, h.startedAt)
		if warmUpFactor == 1 && h.health == Ready {
			d.warmTrialHosts++
		}
	}
	d.updateStage(h)
	h.budget.add(coldBudgetRate / float64(d.settings.Routers))
	if h.health != Ready {
		return
	}
	d.totalCapacity += h.capacity * warmUpFactor
	if h.ejectedUntil > d.now {
		return
	}
	d.healthyHosts++
	if d.hasBudget(h) { // otherwise the warm hosts of its side would be given its share too
		d.sideCapacity[h.side()] += h.capacity * warmUpFactor
	}
}

// updateStage marks a host that counts as on trial: one of the build that is not released, and one of a build that the
// rollout does not name yet, to which the cap of the first stage applies.
func (d *decider) updateStage(h *host) {
	h.stage = d.rollout.Stage
	h.onTrial = h.build == d.rollout.Build && d.rollout.State != Released
	if h.build > d.rollout.Build || !d.hasRollout {
		h.stage = 0
		h.onTrial = true
		d.exposureCap = min(d.exposureCap, d.settings.FirstStageCap)
	}
}

// chooseSubsets chooses the hosts that this router uses: one that needs few hosts uses a part of them.
func (d *decider) chooseSubsets(ready [sideCount][]*host) {
	need := max(pacing.MinHosts, d.ownLoad[answerCount]*float64(second/tickInterval))
	for side, hosts := range ready {
		d.subset[side] = d.subset[side][:0]
		stride := min(pacing.SubsetStride(len(d.hosts), need), pacing.SubsetStride(len(hosts), 0))
		for i := pacing.SubsetOffset(stride, d.settings.Rank); i < len(hosts); i += stride {
			d.subset[side] = append(d.subset[side], hosts[i])
		}
	}
}

// placePending places the requests that no host took before.
func (d *decider) placePending() {
	pending := d.pending
	d.pending = nil
	for _, req := range pending {
		if !req.done && req.decidedAnswer == noAnswer && req.inFlight == 0 {
			d.placeRequest(req)
		}
	}
}

// warmUpFactor is the share of its capacity that a host surely has by now.
func (d *decider) warmUpFactor(h *host) float64 {
	age := d.now - h.startedAt
	if h.startedAt == 0 || age >= d.settings.WarmUpTime {
		return 1
	}
	return d.settings.ColdCapacity + (1-d.settings.ColdCapacity)*max(0, float64(age)/float64(d.settings.WarmUpTime))
}

// hasBudget says whether a host is warm, or may have another attempt.
func (d *decider) hasBudget(h *host) bool {
	warmUpFactor := d.warmUpFactor(h)
	h.budget.add((d.coldCredit - h.creditTaken) * h.capacity * warmUpFactor)
	h.creditTaken = d.coldCredit
	return warmUpFactor == 1 || h.budget.tokens >= 1
}

// slownessMemory is the time constant by which a host's latency is forgotten.
const slownessMemory = 5 * second

// slowness is a host's mean latency over the expected.
func (d *decider) slowness(h *host) float64 {
	return 1 + (h.relativeLatency-1)*math.Exp(-float64(d.now-h.latencyAt)/float64(slownessMemory))
}

// Ejections. One slow answer is no sign of a dead host.
const (
	overloadEjection    = second / 5 // a full queue needs a moment
	baseEjection        = second / 2 // doubled with each failure
	maxEjectionDoubling = 4
	toleratedTimeouts   = 2
)

// updateHealth ejects a host after signs that it is down, for longer each time, and ends the ejection after an answer.
func (d *decider) updateHealth(h *host, result Result) {
	switch result {
	case Succeeded, Failed, InvalidAnswer:
		h.failures = 0
		h.ejectedUntil = 0
	case Rejected:
		h.ejectedUntil = max(h.ejectedUntil, d.now+overloadEjection)
	case ConnectFailed, ConnectionReset, TimedOut:
		h.failures++
		if result != TimedOut || h.failures > toleratedTimeouts {
			h.ejectedUntil = d.now + baseEjection<<min(h.failures, maxEjectionDoubling)
		}
	}
}

// answersAfterConnectFailure is for how many answers connections are taken to be in short supply after one was refused.
const answersAfterConnectFailure = 30

// updateConnectionShortage closes idle connections while hosts take few: after one was refused, those of the next answers.
func (d *decider) updateConnectionShortage(h *host, result Result) {
	if result == ConnectFailed {
		d.connectionShortage = answersAfterConnectFailure
	} else {
		d.connectionShortage--
	}
	if result != ConnectFailed && d.connectionShortage > 0 && h.inFlight == 0 {
		d.idleToClose = append(d.idleToClose, h)
	}
}

// applyLoadReport takes over how many requests a host has.
func (d *decider) applyLoadReport(h *host, values []float64) {
	known := min(len(values), len(d.settings.LoadFields))
	for i, value := range values[:known] {
		field := d.settings.LoadFields[i]
		if (field == QueueLength || field == InFlight) && value >= 0 && value < 1e6 {
			h.queueLength = value
			h.reportedAt = d.now
		}
	}
}

// resetIfRestarted forgets what is known of a host that is listed for the first time, or with another start or build.
func (d *decider) resetIfRestarted(h *host, entry Host) {
	if entry.StartedAt == h.startedAt && entry.Build == h.build && h.listedAt != 0 {
		return
	}
	h.listedAt = d.now
	if entry.StartedAt == 0 { // it has run for long
		h.listedAt = 1
	}
	h.budget = bucket{tokens: d.random(), limit: 1} // however many routers there are, each begins at its own time
	h.creditTaken = d.coldCredit
	h.relativeLatency = 1
	h.failures = 0
	h.ejectedUntil = 0
}
