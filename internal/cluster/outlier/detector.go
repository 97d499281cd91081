// Package outlier finds grey hosts: those that fail, or don't answer, a part of what they are sent, while their beats and their
// health answers are good. A router sees little of each host, so what all routers of a zone see is pooled by its control
// process, which sets a host aside for a while and lets it back gently. It is pure: times are handed in, Unix nanoseconds.
package outlier

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"portflow/internal/decay"
)

const second = int64(1e9)

const (
	// ReportInterval is the time between two reports of a router, nanoseconds.
	ReportInterval = second / 2
	outcomeDecay   = 3 * second // of outcomes
	overdueFactor  = 4.0        // times the mean, after which a request that is out counts as bad
	minOverdue     = second * 2 / 5
	// minFailures are the bad outcomes that it takes, and again those of a host that is on its way back.
	minFailures, minProbationFailures = 4.0, 2.0
	// minExcessRate is the part of a host's outcomes that are bad, over the others' part and so many standard errors.
	minExcessRate, minStandardErrors = 0.2, 3
	// baseEjection is how long a host is set aside at first; each time it doubles, up to longest. Coming back takes half as long.
	baseEjection, maxEjection = 4 * second, 32 * second
	reportExpiry              = 3 * ReportInterval // after which what a router told counts no more
)

// Stats is what a router saw of a host of late, or, without an ID, of all hosts of a service.
type Stats struct {
	ID       string  `json:"i,omitempty"`
	Outcomes float64 `json:"n"`
	Failures float64 `json:"b"`
}

// pendingRequest is a request that is out.
type pendingRequest struct {
	sentAt         int64
	countedOverdue bool // as overdue
}

// hostStats is a host's outcomes, of them those that were bad, and its requests that are out.
type hostStats struct {
	decay.Sum
	pending []pendingRequest
}

func (s *hostStats) record(now int64, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	s.Add(now, outcomeDecay, value)
}

// Recorder is what one router sees of one service's hosts. It is not safe for two goroutines.
type Recorder struct {
	hosts       map[string]*hostStats
	total       hostStats
	meanLatency float64 // nanoseconds that good answers take
}

// NewRecorder makes an empty one.
func NewRecorder() *Recorder { return &Recorder{hosts: map[string]*hostStats{}} }

// RequestSent notes a request that goes to a host now.
func (r *Recorder) RequestSent(now int64, id string) {
	host := r.hosts[id]
	if host == nil {
		host = &hostStats{}
		r.hosts[id] = host
	}
	host.pending = append(host.pending, pendingRequest{sentAt: now})
}

// Outcome is how a request ended, as far as it says anything of its host.
type Outcome uint8

const (
	Success Outcome = iota
	Failure
	Inconclusive // it never came there, was turned away, or its client left
)

// RequestEnded notes the end of the request that went to a host at began.
func (r *Recorder) RequestEnded(now int64, id string, sentAt int64, outcome Outcome) {
	host := r.hosts[id]
	if host == nil {
		return
	}
	position := slices.IndexFunc(host.pending, func(request pendingRequest) bool { return request.sentAt == sentAt })
	if position < 0 {
		return
	}
	counted := host.pending[position].countedOverdue
	host.pending = slices.Delete(host.pending, position, position+1)
	if outcome == Success {
		latency := float64(now - sentAt)
		r.meanLatency += (latency - r.meanLatency) * max(0.02, 1/(r.total.Count+1))
	}
	if outcome != Inconclusive && !counted {
		host.record(now, outcome == Failure)
		r.total.record(now, outcome == Failure)
	}
}

// RemoveHost forgets a host that has ended.
func (r *Recorder) RemoveHost(id string) { delete(r.hosts, id) }

// Report is for every LookEvery: it counts what is overdue, and tells of the hosts with bad outcomes of late, and of all
// together; nothing where there are none.
func (r *Recorder) Report(now int64) (stats []Stats) {
	overdueAfter := max(float64(minOverdue), overdueFactor*r.meanLatency)
	for id, host := range r.hosts {
		for i := range host.pending {
			if request := &host.pending[i]; !request.countedOverdue && float64(now-request.sentAt) > overdueAfter {
				request.countedOverdue = true
				host.record(now, true)
				r.total.record(now, true)
			}
		}
		if host.Decay(now, outcomeDecay); host.Total >= 0.3 {
			stats = append(stats, Stats{id, roundHundredths(host.Count), roundHundredths(host.Total)})
		}
	}
	if len(stats) == 0 {
		return nil
	}
	slices.SortFunc(stats, func(a, b Stats) int { return strings.Compare(a.ID, b.ID) })
	r.total.Decay(now, outcomeDecay)
	return append(stats, Stats{"", roundHundredths(r.total.Count), roundHundredths(r.total.Total)})
}

func roundHundredths(x float64) float64 { return math.Round(x*100) / 100 }

// Ejection sets a host aside until Aside, and lets it back, with one request at a time a router, until Back. The one with
// the later Aside holds; both are by the clock of who has it, so that it ends though its judge may be gone.
type Ejection struct {
	ID             string `json:"i"`
	Service        string `json:"s"`
	EjectedUntil   int64  `json:"a"`
	ProbationUntil int64  `json:"b"`
	Count          int    `json:"t"` // how often it was judged so
}

// sameEjectionTolerance is by how much times of one judgement may differ that came by two ways; the next one ends later by more than that.
const sameEjectionTolerance = second

// Supersedes tells whether j holds against an older judgement of the host, which may be the same by another way.
func (e Ejection) Supersedes(old Ejection) bool {
	return old.ID == "" || e.EjectedUntil > old.EjectedUntil+sameEjectionTolerance
}

// Candidate is a host that may be judged.
type Candidate struct {
	ID, Service string
}

// Detector is a control process's part. It is not safe for two goroutines.
type Detector struct {
	reports      map[string]map[string]report // by router and service
	ejections    map[string]Ejection
	beforeReturn map[string]map[string]hostReport // by host and router: its last report on the host before the host was let back
}

// hostReport is what a router told of one host.
type hostReport struct {
	receivedAt int64
	Stats
}

type report struct {
	receivedAt int64
	stats      []Stats
}

// NewDetector makes one that knows of nothing.
func NewDetector() *Detector {
	return &Detector{reports: map[string]map[string]report{}, ejections: map[string]Ejection{}, beforeReturn: map[string]map[string]hostReport{}}
}

// AddReport takes what a router sees of a service's hosts.
func (d *Detector) AddReport(now int64, proxy, service string, stats []Stats) {
	if d.reports[proxy] == nil {
		d.reports[proxy] = map[string]report{}
	}
	d.reports[proxy][service] = report{now, stats}
}

// RemoveRouter forgets a router.
func (d *Detector) RemoveRouter(proxy string) { delete(d.reports, proxy) }

// Idle tells whether no router has told anything of late.
func (d *Detector) Idle() bool { return len(d.reports) == 0 }

type pooledStats struct {
	outcomes, failures float64
	proxies            int
}

func (s pooledStats) plus(added Stats) pooledStats {
	return pooledStats{s.outcomes + added.Outcomes, s.failures + added.Failures, s.proxies + 1}
}

// sinceReturn is the part of a router's report on a host that isn't left over from before the host was last set aside.
// Until it is let back it is sent nothing, so whatever is reported by then is of earlier requests, though some of them
// may have ended, or become overdue, only meanwhile. Later reports still hold the rest of these outcomes, which fades.
func (d *Detector) statsSinceReturn(proxy string, r hostReport) Stats {
	ejection, ejected := d.ejections[r.ID]
	if !ejected {
		return r.Stats
	}
	if r.receivedAt < ejection.EjectedUntil {
		if d.beforeReturn[r.ID] == nil {
			d.beforeReturn[r.ID] = map[string]hostReport{}
		}
		d.beforeReturn[r.ID][proxy] = r
		return Stats{ID: r.ID}
	}
	old := d.beforeReturn[r.ID][proxy]
	remaining := math.Exp(-float64(r.receivedAt-old.receivedAt) / float64(outcomeDecay))
	return Stats{ID: r.ID, Outcomes: max(0, r.Outcomes-old.Outcomes*remaining), Failures: max(0, r.Failures-old.Failures*remaining)}
}

// Detect looks at the hosts that this process answers for, and tells which are newly set aside. Of each service at most a fifth
// is at once, or one of three; those that are worst go first.
func (d *Detector) Detect(now int64, hosts []Candidate) (ejections []Ejection) {
	byHost, byHostSinceReturn, byService := map[string]pooledStats{}, map[string]pooledStats{}, map[string]pooledStats{}
	for proxy, services := range d.reports {
		for service, observed := range services {
			if now-observed.receivedAt > reportExpiry {
				delete(services, service)
				continue
			}
			for _, stats := range observed.stats {
				if !(stats.Outcomes >= 0 && stats.Failures >= 0 && stats.Outcomes < 1e9 && stats.Failures <= stats.Outcomes) {
					continue
				}
				if stats.ID == "" {
					byService[service] = byService[service].plus(stats)
					continue
				}
				byHost[stats.ID] = byHost[stats.ID].plus(stats)
				byHostSinceReturn[stats.ID] = byHostSinceReturn[stats.ID].plus(d.statsSinceReturn(proxy, hostReport{observed.receivedAt, stats}))
			}
		}
		if len(services) == 0 {
			delete(d.reports, proxy)
		}
	}
	hostCount, ejected := map[string]int{}, map[string]int{}
	for _, host := range hosts {
		hostCount[host.Service]++
		if ejection, exists := d.ejections[host.ID]; exists && now < ejection.ProbationUntil {
			ejected[host.Service]++
		}
	}
	type suspect struct {
		Candidate
		margin float64
	}
	var suspects []suspect
	for _, host := range hosts {
		pooled, reported := byHostSinceReturn[host.ID]
		ejection, ejectedBefore := d.ejections[host.ID]
		onProbation := ejectedBefore && now >= ejection.EjectedUntil && now < ejection.ProbationUntil+baseEjection
		if !reported || ejectedBefore && now < ejection.EjectedUntil || pooled.failures < minFailures && !(onProbation && pooled.failures >= minProbationFailures) {
			continue
		}
		observed, hostTotals := byService[host.Service], byHost[host.ID]
		othersRate := max(0, observed.failures-hostTotals.failures) / max(1, observed.outcomes-hostTotals.outcomes)
		othersRate = min(1, max(0.01, othersRate))
		// the error is that of a host that is as the others are: where all do badly, it takes much to stand out
		if excess := pooled.failures/max(pooled.outcomes, 1e-9) - othersRate - minStandardErrors*math.Sqrt(othersRate*(1-othersRate)/max(pooled.outcomes, 1)); excess > minExcessRate {
			suspects = append(suspects, suspect{host, excess})
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Or(cmp.Compare(b.margin, a.margin), strings.Compare(a.ID, b.ID)) })
	for _, host := range suspects {
		previous := d.ejections[host.ID]
		alreadyEjected := now < previous.ProbationUntil // it is counted already
		if !alreadyEjected && ejected[host.Service] >= MaxEjected(hostCount[host.Service]) {
			continue
		}
		if !alreadyEjected {
			ejected[host.Service]++
		}
		ejection := Ejection{ID: host.ID, Service: host.Service, Count: 1}
		if previous.Count > 0 && now < previous.ProbationUntil+maxEjection {
			ejection.Count = previous.Count + 1
		}
		duration := min(maxEjection, baseEjection<<min(ejection.Count-1, 10))
		ejection.EjectedUntil, ejection.ProbationUntil = now+duration, now+duration+duration/2
		d.ejections[host.ID] = ejection
		ejections = append(ejections, ejection)
	}
	maps.DeleteFunc(d.ejections, func(_ string, ejection Ejection) bool { return now > ejection.ProbationUntil+maxEjection })
	maps.DeleteFunc(d.beforeReturn, func(id string, _ map[string]hostReport) bool { return d.ejections[id].ID == "" })
	return ejections
}

// MaxEjected is how many of so many hosts of a service may be set aside at once.
func MaxEjected(hosts int) int { return max(hosts/5, min(1, hosts/3)) }
