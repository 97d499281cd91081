// Package outlier detects gray failures: hosts that fail or do not answer some of their requests although their heartbeats and health
// checks succeed. A single proxy sends each host few requests, so the control process of a zone pools the reports of the zone's proxies.
// It ejects an outlier for a while, and then lets it return on probation.
//
// The package does no input or output, reads no clock and starts no goroutine. Callers pass the time, in nanoseconds.
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
	// ReportInterval is the time between two reports of a proxy, in nanoseconds.
	ReportInterval = second / 2
	outcomeDecay   = 3 * second // time constant of the decay of outcomes
	// A pending request counts as failed after overdueFactor times the mean latency, but not before minOverdue.
	overdueFactor = 4.0
	minOverdue    = second * 2 / 5
	// minFailures is the number of decayed failures required to eject a host, minProbationFailures that for a host which recently
	// returned from an ejection.
	minFailures, minProbationFailures = 4.0, 2.0
	// A host is an outlier if its failure rate exceeds that of the other hosts of its service by more than minExcessRate plus
	// minStandardErrors standard errors.
	minExcessRate, minStandardErrors = 0.2, 3
	// baseEjection is the duration of a host's first ejection. It doubles with each further one, up to maxEjection. Probation lasts half
	// as long as the ejection before it.
	baseEjection, maxEjection = 4 * second, 32 * second
	reportExpiry              = 3 * ReportInterval // age at which a report no longer counts
)

// Stats has the decayed numbers of outcomes and failures that a proxy has seen of one host or, with an empty ID, of all hosts of a
// service.
type Stats struct {
	ID       string  `json:"i,omitempty"`
	Outcomes float64 `json:"n"`
	Failures float64 `json:"b"`
}

type pendingRequest struct {
	sentAt         int64
	countedOverdue bool // already counted as a failure, as it is overdue
}

// hostStats has the decayed outcomes of a host, with a value of 1 for each failure, and its pending requests.
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

// Recorder collects the outcomes of one proxy's requests to the hosts of one service. It is not safe for concurrent use.
type Recorder struct {
	hosts       map[string]*hostStats
	total       hostStats
	meanLatency float64 // moving average over successful requests, in nanoseconds
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder { return &Recorder{hosts: map[string]*hostStats{}} }

// RequestSent records a request that is sent to a host now.
func (r *Recorder) RequestSent(now int64, id string) {
	host := r.hosts[id]
	if host == nil {
		host = &hostStats{}
		r.hosts[id] = host
	}
	host.pending = append(host.pending, pendingRequest{sentAt: now})
}

// Outcome is what the end of a request says about its host.
type Outcome uint8

// The outcomes of requests.
const (
	Success Outcome = iota
	Failure
	Inconclusive // the request did not reach the host, was rejected, or was canceled by the client
)

// RequestEnded records the outcome of the request that was sent to a host at sentAt. Unknown requests are ignored, and one that has been
// counted as overdue is not counted again.
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

// RemoveHost drops the statistics of a terminated host.
func (r *Recorder) RemoveHost(id string) { delete(r.hosts, id) }

// Report counts overdue requests as failures and returns the statistics of the hosts with recent failures, sorted by ID, followed by the
// totals of the service. It returns nil if no host has any. Call it once every ReportInterval.
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

// Ejection keeps requests from a host until EjectedUntil. From then until ProbationUntil the host gets one request at a time from each
// proxy. Both times are on the clock of the process that has the Ejection, so that it ends even if the control process that decided it
// has terminated.
type Ejection struct {
	ID             string `json:"i"`
	Service        string `json:"s"`
	EjectedUntil   int64  `json:"a"`
	ProbationUntil int64  `json:"b"`
	Count          int    `json:"t"` // number of this ejection, from 1, among those in close succession
}

// sameEjectionTolerance is how far EjectedUntil may differ between copies of one ejection that were received over different paths, in
// nanoseconds. A further ejection of the host ends later by more than that.
const sameEjectionTolerance = second

// Supersedes reports whether e replaces old, a known ejection of the same host or the zero Ejection. Another copy of the same
// ejection does not.
func (e Ejection) Supersedes(old Ejection) bool {
	return old.ID == "" || e.EjectedUntil > old.EjectedUntil+sameEjectionTolerance
}

// Candidate is a host that may be ejected.
type Candidate struct {
	ID, Service string
}

// Detector pools the reports of proxies and decides on ejections, on a control process. It is not safe for concurrent use.
type Detector struct {
	reports      map[string]map[string]report     // by proxy and service
	ejections    map[string]Ejection              // by host ID
	beforeReturn map[string]map[string]hostReport // by host ID and proxy: the last report before the ejection ended
}

// hostReport is the part of a proxy's report that is about one host.
type hostReport struct {
	receivedAt int64
	Stats
}

type report struct {
	receivedAt int64
	stats      []Stats
}

// NewDetector returns a Detector without reports or ejections.
func NewDetector() *Detector {
	return &Detector{reports: map[string]map[string]report{}, ejections: map[string]Ejection{}, beforeReturn: map[string]map[string]hostReport{}}
}

// AddReport replaces a proxy's report on the hosts of a service. It keeps stats.
func (d *Detector) AddReport(now int64, proxy, service string, stats []Stats) {
	if d.reports[proxy] == nil {
		d.reports[proxy] = map[string]report{}
	}
	d.reports[proxy][service] = report{now, stats}
}

// RemoveRouter drops the reports of a proxy.
func (d *Detector) RemoveRouter(proxy string) { delete(d.reports, proxy) }

// Idle reports whether there are no reports to evaluate.
func (d *Detector) Idle() bool { return len(d.reports) == 0 }

type pooledStats struct {
	outcomes, failures float64
	proxies            int
}

func (s pooledStats) plus(added Stats) pooledStats {
	return pooledStats{s.outcomes + added.Outcomes, s.failures + added.Failures, s.proxies + 1}
}

// sinceReturn returns a proxy's statistics of a host without the outcomes of requests from before the host was last ejected. An ejected
// host is sent nothing, so a report that arrives before EjectedUntil covers only earlier requests, some of which may have ended or
// become overdue during the ejection. Later reports still include these outcomes, decayed, so that amount is subtracted.
func (d *Detector) sinceReturn(proxy string, r hostReport) Stats {
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

// Detect evaluates the reports and returns the new ejections among hosts, which are all the hosts that this process decides on. At most
// MaxEjected hosts of a service are ejected or on probation at once; those that do worst compared with the others are ejected first.
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
				byHostSinceReturn[stats.ID] = byHostSinceReturn[stats.ID].plus(d.sinceReturn(proxy, hostReport{observed.receivedAt, stats}))
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
		// The standard error is that of a host with the failure rate of the others, so that it is large where all hosts fail often.
		if excess := pooled.failures/max(pooled.outcomes, 1e-9) - othersRate - minStandardErrors*math.Sqrt(othersRate*(1-othersRate)/max(pooled.outcomes, 1)); excess > minExcessRate {
			suspects = append(suspects, suspect{host, excess})
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Or(cmp.Compare(b.margin, a.margin), strings.Compare(a.ID, b.ID)) })
	for _, host := range suspects {
		previous := d.ejections[host.ID]
		alreadyEjected := now < previous.ProbationUntil // and counted in ejected
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

// MaxEjected returns how many of a service's hosts may be ejected at once: a fifth, but at least one of three or more.
func MaxEjected(hosts int) int { return max(hosts/5, min(1, hosts/3)) }
