package decision

import (
	"math"

	"portflow/internal/pacing"
)

// Health is the state of a host in the host list.
type Health uint8

// The states of a host.
const (
	Ready    Health = iota
	Draining        // accepts no further requests
	Gone            // removed from the list
)

// ListKind is the kind of host list passed to Engine.HostsChanged.
type ListKind uint8

// The kinds of host lists.
const (
	Delta          ListKind = iota // changed hosts only
	Snapshot                       // all hosts
	CachedSnapshot                 // all hosts, as stored before this router started
	FetchFailed                    // no list: the fetch or the subscription failed
)

// Host is an entry of the host list.
type Host struct {
	ID        uint32
	Zone      int
	Kind      int // kind of machine
	Cell      int // cell within its zone
	Health    Health
	Build     int
	Capacity  float64
	StartedAt int64 // Unix nanoseconds; 0 if unknown, which counts as long ago
	Distance  int   // distance from this router; the nearest usable hosts are chosen
}

// A capacity that is not within these bounds is replaced by 1.
const (
	minCapacity = 1e-3
	maxCapacity = 1e6
)

// The sides of a host: running an earlier build, or counted as on trial.
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
	listedAt  int64 // when this incarnation of the host was first listed, 1 if startedAt is 0
	onTrial   bool  // counts as on trial
	stage     int   // stage of the rollout that applies to it

	inFlight        int     // attempts in flight from this router
	silentSince     int64   // when an attempt last ended, began to stream, or was sent while no other was in flight
	relativeLatency float64 // mean of latency / expected latency, as of latencyAt
	latencyAt       int64
	failures        int     // consecutive connection failures and timeouts
	ejectedUntil    int64   // avoided until then
	queueLength     float64 // queued or running requests, from the latest load report
	reportedAt      int64   // when queueLength was reported

	budget      bucket  // attempts that the host may be sent while it warms up
	creditTaken float64 // value of coldCredit up to which the budget was credited
}

func (h *host) side() int {
	if h.onTrial {
		return trialSide
	}
	return baselineSide
}

// hostPool holds the listed hosts and the values derived from all of them.
type hostPool struct {
	hosts              []*host            // listed hosts, sorted by ID
	subset             [sideCount][]*host // hosts that this router chooses from
	healthyHosts       int                // number of hosts that are ready and not ejected
	hasDistantHosts    bool               // some host has a positive distance
	sideCapacity       [sideCount]float64 // current capacity of the healthy hosts that are warm or have budget
	totalCapacity      float64            // current capacity of all ready hosts
	coldCredit         float64            // cumulative attempts granted to cold hosts, per unit of capacity
	warmTrialHosts     float64            // 0.1 + number of warm, ready hosts of the newest build; nonzero as a divisor
	lastTrialStart     int64              // latest start of a host of the newest build, or of its stage
	slownessByKind     map[int]float64    // by kind of machine: mean relative latency - 1
	connectionShortage int                // attempt results until connections no longer count as scarce
	idleToClose        []*host            // hosts whose idle connections emitEffects closes
}

// coldBudgetRate, divided by the number of routers, is added to the budget of each host whenever hosts are updated. At one
// update per tick, all routers together may send two attempts per second to a host, so that a fleet with only cold hosts can
// start.
const coldBudgetRate = 0.2

// updateHosts recomputes the capacities of the pool and which hosts count as on trial, and places pending requests. It runs
// on each tick and each change of the hosts or of the rollout.
func (d *decider) updateHosts() {
	d.exposureCap = d.rolloutCap()
	d.totalCapacity = 0
	d.sideCapacity = [sideCount]float64{}
	d.healthyHosts = 0
	d.hasDistantHosts = false
	d.lastTrialStart = d.stageSince
	d.warmTrialHosts = 0.1 // a divisor, must not be 0
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
	if d.hasBudget(h) { // otherwise the warm hosts of its side would be sent its share too
		d.sideCapacity[h.side()] += h.capacity * warmUpFactor
	}
}

// updateStage sets whether a host counts as on trial, and its stage. Hosts of the newest build are on trial until it is
// released. Hosts of a build that the rollout does not know yet are on trial in stage 0, with the cap of the first stage.
func (d *decider) updateStage(h *host) {
	h.stage = d.rollout.Stage
	h.onTrial = h.build == d.rollout.Build && d.rollout.State != Released
	if h.build > d.rollout.Build || !d.hasRollout {
		h.stage = 0
		h.onTrial = true
		d.exposureCap = min(d.exposureCap, d.settings.FirstStageCap)
	}
}

// chooseSubsets selects the hosts that this router uses: a router with little traffic uses only some of them.
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

// placePending retries the placement of the requests that found no usable host before.
func (d *decider) placePending() {
	pending := d.pending
	d.pending = nil
	for _, req := range pending {
		if !req.done && req.decidedAnswer == noAnswer && req.inFlight == 0 {
			d.placeRequest(req)
		}
	}
}

// warmUpFactor returns the fraction of its capacity that a host is assumed to have: it rises linearly from ColdCapacity to 1
// over WarmUpTime.
func (d *decider) warmUpFactor(h *host) float64 {
	age := d.now - h.startedAt
	if h.startedAt == 0 || age >= d.settings.WarmUpTime {
		return 1
	}
	return d.settings.ColdCapacity + (1-d.settings.ColdCapacity)*max(0, float64(age)/float64(d.settings.WarmUpTime))
}

// hasBudget credits a host's budget, and reports whether the host is warm or has budget for an attempt.
func (d *decider) hasBudget(h *host) bool {
	warmUpFactor := d.warmUpFactor(h)
	h.budget.add((d.coldCredit - h.creditTaken) * h.capacity * warmUpFactor)
	h.creditTaken = d.coldCredit
	return warmUpFactor == 1 || h.budget.tokens >= 1
}

// slownessMemory is the time constant with which a host's relative latency decays to 1.
const slownessMemory = 5 * second

// slowness returns the mean relative latency of a host, decayed to the current time.
func (d *decider) slowness(h *host) float64 {
	return 1 + (h.relativeLatency-1)*math.Exp(-float64(d.now-h.latencyAt)/float64(slownessMemory))
}

// The durations of ejections, and the number of consecutive failures up to which timeouts do not eject a host.
const (
	overloadEjection    = second / 5 // time for a full queue to drain
	baseEjection        = second / 2 // doubled with each consecutive failure
	maxEjectionDoubling = 4
	toleratedTimeouts   = 2
)

// updateHealth ejects a host after a result that suggests that it is down or overloaded, and ends the ejection when the host
// answers. Consecutive failures lengthen the ejection exponentially.
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

// answersAfterConnectFailure is the number of attempt results for which connections count as scarce after one has failed.
const answersAfterConnectFailure = 30

// updateConnectionShortage closes idle connections for a while after a connection attempt has failed, as hosts may limit the
// number of connections: it closes those of a host whose last attempt in flight has ended.
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

// applyLoadReport updates queueLength from a host's load report. Values out of range are ignored.
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

// resetIfRestarted resets the measurements of a host that is listed for the first time, or with another start time or build.
func (d *decider) resetIfRestarted(h *host, entry Host) {
	if entry.StartedAt == h.startedAt && entry.Build == h.build && h.listedAt != 0 {
		return
	}
	h.listedAt = d.now
	if entry.StartedAt == 0 { // it has been running for a long time
		h.listedAt = 1
	}
	h.budget = bucket{tokens: d.random(), limit: 1} // random, so that routers do not all send their first attempt at once
	h.creditTaken = d.coldCredit
	h.relativeLatency = 1
	h.failures = 0
	h.ejectedUntil = 0
}
