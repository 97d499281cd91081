package lab

import (
	"math"
	"slices"
	"sync"
)

// recorder collects the measurements of a retry storm experiment. The record methods are safe for concurrent use. Time series have one
// value per step.
type recorder struct {
	StormExperiment
	sync.Mutex                         // guards the fields below, except for capacity
	commands                           []*command
	attempts                           int
	lost                               int       // attempts without an answer in time
	firstUnservedAt                    int64     // first failure of an attempt that was sent after Warmup, 0 for none
	offered                            []float64 // attempts sent
	admitted                           []float64 // work of requests that reached a host, in seconds
	capacity                           []float64 // capacity of the hosts, in cores
	served                             []float64 // attempts that succeeded within the latency target
	returningLoad                      []float64 // not recorded
	firstAttempts, firstAttemptsServed float64   // of commands in the first 10 s after the outage; those that succeeded
}

// recordAttempt counts an attempt, and the command with its first attempt.
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

// recordWork adds the work of a request at a host, in nanoseconds.
func (r *recorder) recordWork(now int64, work int64) {
	r.Lock()
	defer r.Unlock()
	addToSeries(r.admitted, now, float64(work)/1e9)
}

// recordOutcome records the end of an attempt that was sent at the time sent. answered reports whether the router answered it in time.
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
	case fulfilled && now-sent <= requestClasses[cmd.class].LatencyTarget:
		addToSeries(r.served, now, 1)
		cmd.served = cmd.served || now-cmd.firstSentAt <= requestClasses[cmd.class].Timeout
	case !fulfilled && sent >= int64(r.Warmup) && (r.firstUnservedAt == 0 || now < r.firstUnservedAt):
		r.firstUnservedAt = now
	}
}

// summarize computes the result, except for what recordDetection and the caller add. Service counts as recovered at the first step after
// the outage from which one second reaches 95 % of the rate before the outage, if the next second reaches 85 %.
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
	baseline := sum(r.served, outageStep-40, outageStep) / 40
	for i := returnStep; i+10 <= last; i++ {
		if sum(r.served, i, i+10) >= 0.95*10*baseline && sum(r.served, i+10, i+20) >= 0.85*10*baseline {
			result.RecoverySeconds = float64(i-returnStep) * step.Seconds()
			break
		}
	}
	served, requested, others, othersOK := 0.0, 0.0, 0.0, 0.0
	for _, cmd := range r.commands {
		weight := requestClasses[cmd.class].Value
		requested += weight
		if cmd.served {
			served += weight
		}
		if cmd.carrier != r.Carrier && cmd.firstSentAt >= int64(r.Warmup) {
			if others++; cmd.served {
				othersOK++
			}
		}
	}
	result.Goodput, result.OtherCarriersServed = served/max(1, requested), othersOK/max(1, others)
	result.FirstAttemptsServed = r.firstAttemptsServed / max(1, r.firstAttempts)
	result.AttemptsPerCommand = float64(r.attempts) / max(1, float64(len(r.commands)))
	return result
}

// recordDetection adds the false alarms, which are detections before the outage, and the median time from the first failed attempt to
// the detection. detectedAt has a time per router, 0 for none.
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

func sum(row []float64, from, to int) (s float64) {
	for i := max(0, from); i < to && i < len(row); i++ {
		s += row[i]
	}
	return s
}
